"""Counting waiting jobs after a configuration has replaced their route."""

import anyio
import orjson
import pytest

from standins import rowstore
from wigeonhitch.jobs import model, record
from wigeonhitch.platform import entries, http
from wigeonhitch.pool import compaction, core, demand, status, view
from wigeonhitch.pool import record as pool_record
from wigeonhitch.site import handler, waiting
from wigeonhitch.site.tests import conftest
from wigeonhitch.telemetry import metric

pytestmark = pytest.mark.anyio

QUEUE = model.Queue("q", "h", "/q/", "p")
RENAMED_QUEUE = QUEUE._replace(name="renamed")
MOVED_QUEUE = RENAMED_QUEUE._replace(pool="other")
OTHER_QUEUE = model.Queue("r", "h", "/r/", "p")
TIMES = view.TimeBounds(6.5, 1.0)
STEPS = (model.Step(1, model.Room(1000, 10)),)


class Site:
    """Daemons that share a store; each pool's leader has read all of its rows."""

    def __init__(self):
        self.store = rowstore.RowStore()
        self._submitted = 0

    def make_handler(self, *queues):
        """Make the request handler of a daemon that has just started."""
        return handler.RequestHandler(
            self.store, lambda: model.Catalogue(1, queues, ()), metric.Instruments()
        )

    async def submit(self, queue, count):
        """Submit jobs to a queue that is the only one of its configuration."""
        for _ in range(count):
            self._submitted += 1
            job = model.Job(f"j{self._submitted}", queue.name, "", STEPS)
            await self.make_handler(queue).submit(queue, job)

    def remove_paths(self):
        """Rewrite all job rows as an earlier version wrote them, without a path."""
        for row in list(self.store._rows.values()):
            if row.key.startswith("j") and row.table != pool_record.HOLDER_TABLE:
                fields = orjson.loads(row.value)
                del fields["path"]
                self.store.put(row.table, row.part, row.key, orjson.dumps(fields))

    def publish(self, *pools, queues=()):
        """Publish the status of each pool by a leader that has just taken over."""
        for pool in pools:
            value = pool_record.write_status(self._build_status(pool, queues))
            table = pool_record.STATUS_TABLE
            self.store.put(table, pool, table, value)

    def _build_status(self, pool, queues):
        leader = core.Pool(pool, 1, 1, TIMES, 0.0, lambda *args, **kwargs: None)
        leader.on_queues(queues)
        for row in self.store._rows.values():
            if row.table == pool_record.get_job_table(pool):
                location = compaction.RowLocation(row.table, row.part)
                job = record.read_job(row.key, row.value)
                leader.on_job(row.key, job, row.version, location)
        return status.build_status(leader, 0, demand.compute_demand([], 0, 0.0))


@pytest.fixture
def shared():
    return Site()


async def count(request_handler, queue):
    return (await request_handler.count(queue)).pending


async def test_jobs_of_a_replaced_route_are_counted_after_all_daemons_restarted(shared):
    """Guards against a path that reports 0 of its 4 waiting jobs.

    Its route has another name than at their acceptance. Neither the daemon that is
    asked nor the pool's leader has seen the former configuration.
    """
    await shared.submit(QUEUE, 4)
    shared.publish("p", queues=(RENAMED_QUEUE,))

    assert await count(shared.make_handler(RENAMED_QUEUE), RENAMED_QUEUE) == 4


@pytest.mark.parametrize("known", [QUEUE, RENAMED_QUEUE], ids=["older", "newer"])
async def test_the_count_does_not_depend_on_the_leaders_configuration(shared, known):
    await shared.submit(QUEUE, 4)
    await shared.submit(RENAMED_QUEUE, 2)
    shared.publish("p", queues=(known,))

    assert await count(shared.make_handler(QUEUE), QUEUE) == 6
    assert await count(shared.make_handler(RENAMED_QUEUE), RENAMED_QUEUE) == 6


async def test_jobs_of_another_queue_of_the_pool_are_not_counted(shared):
    await shared.submit(QUEUE, 4)
    await shared.submit(OTHER_QUEUE, 9)
    shared.publish("p")
    request_handler = shared.make_handler(RENAMED_QUEUE, OTHER_QUEUE)

    assert await count(request_handler, RENAMED_QUEUE) == 4
    assert await count(request_handler, OTHER_QUEUE) == 9


async def test_jobs_of_a_path_that_no_route_has_are_not_counted_for_another(shared):
    await shared.submit(OTHER_QUEUE, 9)
    shared.publish("p")

    assert await count(shared.make_handler(RENAMED_QUEUE), RENAMED_QUEUE) == 0


async def test_jobs_of_a_route_replaced_by_one_of_another_pool_are_counted(shared):
    await shared.submit(QUEUE, 4)
    await shared.submit(MOVED_QUEUE, 2)
    shared.publish("p", "other")

    assert await count(shared.make_handler(MOVED_QUEUE), MOVED_QUEUE) == 6


async def test_one_of_two_routes_of_a_pool_is_replaced(shared):
    """The other route keeps its count, also if it gets the name of the replaced one."""
    await shared.submit(QUEUE, 4)
    await shared.submit(OTHER_QUEUE, 9)
    shared.publish("p")
    swapped = (QUEUE._replace(name="r"), OTHER_QUEUE._replace(name="q"))

    for queues in ((RENAMED_QUEUE, OTHER_QUEUE), (QUEUE, OTHER_QUEUE), swapped):
        request_handler = shared.make_handler(*queues)
        assert [await count(request_handler, queue) for queue in queues] == [4, 9]


async def test_jobs_follow_the_name_of_their_queue_once_no_route_has_their_path(shared):
    """Guards against a queue that loses its count once callers reach it elsewhere."""
    await shared.submit(QUEUE, 4)
    shared.publish("p")
    moved_queue = QUEUE._replace(prefix="/new/")

    assert await count(shared.make_handler(moved_queue), moved_queue) == 4
    both = shared.make_handler(moved_queue, RENAMED_QUEUE)
    assert await count(both, moved_queue) == 0
    assert await count(both, RENAMED_QUEUE) == 4


async def test_jobs_of_rows_without_a_path_are_counted_by_the_name_of_their_queue(
    shared,
):
    """Guards against open jobs that no count shows after an update of the daemons."""
    await shared.submit(QUEUE, 4)
    await shared.submit(OTHER_QUEUE, 9)
    shared.remove_paths()
    await shared.submit(QUEUE, 2)
    shared.publish("p")
    request_handler = shared.make_handler(QUEUE, OTHER_QUEUE)

    assert await count(request_handler, QUEUE) == 6
    assert await count(request_handler, OTHER_QUEUE) == 9


async def test_a_daemon_remembers_the_former_name_of_a_route_for_rows_without_a_path(
    shared,
):
    """They count for the path's present route, unless another route has the name."""
    await shared.submit(QUEUE, 4)
    shared.remove_paths()
    shared.publish("p")
    queues = (QUEUE,)
    request_handler = handler.RequestHandler(
        shared.store, lambda: model.Catalogue(1, queues, ()), metric.Instruments()
    )
    request_handler.on_catalogue()

    queues = (RENAMED_QUEUE,)
    assert await count(request_handler, RENAMED_QUEUE) == 4
    queues = (RENAMED_QUEUE, OTHER_QUEUE._replace(name="q"))
    assert [await count(request_handler, queue) for queue in queues] == [0, 4]


async def test_a_cancelled_job_keeps_its_path(shared):
    await shared.submit(QUEUE, 1)
    await shared.make_handler(QUEUE).cancel(QUEUE, "j1")

    table, part = pool_record.get_job_table("p"), pool_record.get_job_part("j1")
    row = record.read_job("j1", shared.store.get(table, part, "j1"))
    assert (row.cancelled, row.path) == (True, QUEUE.path)


async def test_whole_daemons_count_jobs_of_a_replaced_route_after_a_restart(
    site, store
):
    """Four jobs wait without VMs while the route gets another name and pool."""
    for id in ("w1", "w2"):
        store.put(entries.WORKER_TABLE, "", id, None)
    async with site.run("ab") as daemons:
        for number in range(4):
            await site.submit(daemons[0], f"j{number}")
        await anyio.sleep(0.1)
    route = {
        **conftest.CONFIGURATION["routes"][0],
        "name": "renamed",
        "service": "other",
    }
    replaced = {"version": 2, "routes": [route], "services": [{"name": "other"}]}
    store.put(entries.OPERATOR_TABLE, "", entries.CATALOGUE_KEY, orjson.dumps(replaced))

    async with site.run("cd", "other") as daemons:
        queue = daemons[0].handler.find_queue("h", "/q/")
        await site.wait_for(lambda: site.find_leader(daemons, "p") is not None)
        await anyio.sleep(1.0)
        counts = [await count(daemon.handler, queue) for daemon in daemons]

    assert (queue.name, counts) == ("renamed", [4, 4])


class MovingQueue:
    """A daemon whose queue moves to another pool, on a clock that is set."""

    def __init__(self, shared, monkeypatch):
        self.queue, self.now = QUEUE, 1000.0
        monkeypatch.setattr(http, "read_clock", lambda: self.now)
        shared.publish("p", "other")
        self.handler = handler.RequestHandler(
            shared.store,
            lambda: model.Catalogue(1, (self.queue,), ()),
            metric.Instruments(),
        )

    def move(self):
        self.handler.on_catalogue()
        self.queue = MOVED_QUEUE
        self.handler.on_catalogue()


async def test_waiting_jobs_are_counted_at_once_after_their_queue_has_moved(
    shared, monkeypatch
):
    """Guards against a moved queue with ten waiting jobs that shows none for 10 s.

    The daemon had looked through all pools before the jobs came, and looked only at the
    queue's new pool until it did so again.
    """
    moving = MovingQueue(shared, monkeypatch)
    assert await count(moving.handler, QUEUE) == 0
    await shared.submit(QUEUE, 10)
    shared.publish("p")
    moving.move()

    assert await count(moving.handler, MOVED_QUEUE) == 10


async def test_a_former_pool_without_jobs_is_not_read_for_long(shared, monkeypatch):
    """Guards against counts that cost a read more for each pool that a queue had."""
    moving = MovingQueue(shared, monkeypatch)
    moving.move()
    moving.now += waiting.FORMER_POOL_SECONDS + 0.1
    await count(moving.handler, MOVED_QUEUE)
    calls = shared.store.calls

    await count(moving.handler, MOVED_QUEUE)

    assert shared.store.calls == calls + 1


async def test_a_daemon_that_starts_after_a_move_counts_jobs_that_come_later(
    shared, monkeypatch
):
    """Guards against a new daemon that misses jobs of a former pool for 10 s.

    It doesn't know of the former pool, and the daemons that haven't applied the move
    accept jobs there after its first count.
    """
    moving = MovingQueue(shared, monkeypatch)
    moving.queue = MOVED_QUEUE
    assert await count(moving.handler, MOVED_QUEUE) == 0
    await shared.submit(QUEUE, 10)
    shared.publish("p")
    moving.now += 2.0

    assert await count(moving.handler, MOVED_QUEUE) == 10


class CountedRoutes(tuple):
    """Counts how often all routes are gone through."""

    passes = 0

    def __iter__(self):
        CountedRoutes.passes += 1
        return super().__iter__()


async def test_requests_do_not_go_through_all_routes(shared):
    """Guards against a daemon that is busy for 0.1 s with each count of waiting jobs.

    Its configuration had 4,450 routes. Meanwhile it applied no newer one.
    """
    queues = [model.Queue(f"r{n}", f"h{n}", "/r/", "p") for n in range(100)]
    routes = CountedRoutes([QUEUE, *queues])
    await shared.submit(QUEUE, 1)
    shared.publish("p", queues=(QUEUE,))
    catalogue = model.Catalogue(1, routes, ())
    request_handler = handler.RequestHandler(
        shared.store, lambda: catalogue, metric.Instruments()
    )
    request_handler.on_catalogue()
    CountedRoutes.passes = 0

    for _ in range(10):
        queue = request_handler.find_queue("h", "/q/")
        assert (await request_handler.count(queue)).pending == 1

    assert CountedRoutes.passes == 0
