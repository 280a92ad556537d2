"""Accepting, showing and cancelling jobs while the store misbehaves."""

import pytest

from standins import rowstore
from wigeonhitch.jobs import model, progress, record
from wigeonhitch.platform import rows, table
from wigeonhitch.pool import record as pool_record
from wigeonhitch.site import catalogue, desk, message
from wigeonhitch.telemetry import metric

pytestmark = pytest.mark.anyio

QUEUE = model.Queue("q", "h", "/q/", "p")
MOVED = QUEUE._replace(pool="other")
JOB = model.Job("j", "q", "", (model.Step(1, model.Room(1000, 10)),))
TABLE = pool_record.name_job_table("p")
PART = pool_record.name_job_part("p", "j")


class Site:
    """A desk on a store in process."""

    def __init__(self):
        self.store = rowstore.RowStore()
        self.queues = (QUEUE,)
        self.former = []
        self.is_lost = False
        self.desk = desk.Desk(
            self.store,
            lambda: model.Catalogue(1, self.queues, ()),
            lambda queue: self.former,
            metric.Instruments(),
            lambda: self.is_lost,
        )


@pytest.fixture
def site():
    return Site()


async def test_a_job_is_accepted_once_its_row_is_there(site):
    answer = await site.desk.submit(QUEUE, JOB)

    assert answer.verdict is message.Verdict.ACCEPTED
    assert record.read_job("j", site.store.get(TABLE, PART, "j")).job == JOB


async def test_an_id_that_comes_again_stays_one_job(site):
    await site.desk.submit(QUEUE, JOB)
    version = site.store.version

    answer = await site.desk.submit(QUEUE, JOB._replace(spec="other"))

    assert answer.verdict is message.Verdict.ACCEPTED
    assert site.store.version == version


async def test_an_id_that_comes_again_after_its_queue_moved_stays_one_job(site):
    await site.desk.submit(QUEUE, JOB)
    site.former = ["p"]

    answer = await site.desk.submit(MOVED, JOB)

    assert answer.verdict is message.Verdict.ACCEPTED
    other = pool_record.name_job_table("other")
    part = pool_record.name_job_part("other", "j")
    assert site.store.get(other, part, "j") is None
    assert (await site.desk.show(MOVED, "j")).state is model.JobState.QUEUED


@pytest.mark.parametrize("outcome", [table.Outcome.NOT_DONE, table.Outcome.UNKNOWN])
async def test_a_former_pool_that_can_not_be_read_keeps_a_job_from_being_taken_twice(
    site, monkeypatch, outcome
):
    """What could be seen: one job's tasks run twice, in two pools.

    How: a queue had moved to another pool, and a job came again that was accepted in
    the former one. The look there failed, and the job was accepted in the new pool too.

    Cause: a look that failed stood for a job that isn't there. It is refused now:
    nothing was written, and the caller comes again.
    """
    await site.desk.submit(QUEUE, JOB)
    site.former = ["p"]

    async def refuse(*given, **named):
        return rows.Range(outcome, reason="down")

    monkeypatch.setattr(site.store, "read", refuse)
    answer = await site.desk.submit(MOVED, JOB)

    assert answer.verdict is message.Verdict.NOT_RUN
    assert answer.retry_after > 0
    other = pool_record.name_job_table("other")
    part = pool_record.name_job_part("other", "j")
    assert site.store.get(other, part, "j") is None


async def test_not_run_is_only_said_of_what_was_certainly_not_written(site):
    site.store.is_down = True

    answer = await site.desk.submit(QUEUE, JOB)

    assert answer.verdict is message.Verdict.NOT_RUN
    assert answer.retry_after > 0
    assert site.store.get(TABLE, PART, "j") is None


async def test_a_lost_answer_is_resolved_by_the_row(site):
    site.store.loses = 1

    answer = await site.desk.submit(QUEUE, JOB)

    assert answer.verdict is message.Verdict.ACCEPTED


async def test_what_may_yet_be_written_is_never_called_not_run(site):
    site.store.holds_back = 99

    answer = await site.desk.submit(QUEUE, JOB)
    site.store.apply_late()

    assert answer.verdict is message.Verdict.UNKNOWN
    assert site.store.get(TABLE, PART, "j") is not None


async def test_a_store_out_of_reach_refuses_before_anything_is_sent(site):
    site.is_lost = True

    answer = site.desk.find_queue("h", "/q/j")

    assert answer.verdict is message.Verdict.NOT_RUN
    assert site.store.calls == 0


async def test_the_longest_prefix_of_the_host_names_the_queue(site):
    inner = QUEUE._replace(name="inner", prefix="/q/in/")
    site.queues = (QUEUE, inner, QUEUE._replace(host="x"))

    assert site.desk.find_queue("h", "/q/in/j") == inner
    assert site.desk.find_queue("h", "/z").verdict is message.Verdict.NO_QUEUE


async def test_a_cancelled_job_is_shown_so_and_marked_once(site):
    await site.desk.submit(QUEUE, JOB)

    for _ in range(2):
        answer = await site.desk.cancel(QUEUE, "j")
        assert answer.verdict is message.Verdict.ACCEPTED

    assert (await site.desk.show(QUEUE, "j")).state is model.JobState.CANCELLED
    assert record.read_job("j", site.store.get(TABLE, PART, "j")).cancelled


async def test_cancelling_a_completed_job_changes_nothing(site):
    site.store.put(TABLE, PART, "j", record.write_final(model.JobState.COMPLETED, 1))

    await site.desk.cancel(QUEUE, "j")

    assert (await site.desk.show(QUEUE, "j")).state is model.JobState.COMPLETED


@pytest.mark.parametrize("state", [model.JobState.COMPLETED, model.JobState.FAILED])
async def test_a_final_state_that_was_noted_goes_before_a_cancellation(site, state):
    await site.desk.submit(QUEUE, JOB)
    noted = progress.Progress(JOB, 1, 0.0)
    noted.final = state
    value = record.write_progress(noted)
    site.store.put(pool_record.PROGRESS_TABLE, "p", "j", value)
    await site.desk.cancel(QUEUE, "j")

    assert (await site.desk.show(QUEUE, "j")).state is state


async def test_a_job_nobody_submitted_is_missing(site):
    assert (await site.desk.show(QUEUE, "j")).verdict is message.Verdict.MISSING
    assert (await site.desk.cancel(QUEUE, "j")).verdict is message.Verdict.MISSING


async def test_a_store_that_is_away_makes_no_job_missing(site):
    site.store.is_down = True

    assert (await site.desk.show(QUEUE, "j")).verdict is message.Verdict.NOT_RUN


async def test_a_job_with_progress_is_running(site):
    await site.desk.submit(QUEUE, JOB)
    site.store.put(pool_record.PROGRESS_TABLE, "p", "j", b"{}")

    assert (await site.desk.show(QUEUE, "j")).state is model.JobState.RUNNING


async def test_the_count_is_what_the_leader_shows(site):
    board = pool_record.Board({"q": 4, "other": 9})
    value = pool_record.write_board(board)
    site.store.put(pool_record.BOARD_TABLE, "p", pool_record.BOARD_TABLE, value)

    assert (await site.desk.count(QUEUE)).pending == 4


def make_configuration(version, pool="p"):
    route = f'"name":"q","host":"h","path_prefix":"/q/","service":"{pool}"'
    text = f'{{"version":{version},"routes":[{{{route}}}],"services":[]}}'
    return text.encode()


async def test_a_configuration_never_goes_back(site):
    changes = []
    follower = catalogue.Follower(site.store, lambda: changes.append(1))
    for version in (5, 7, 6, 7):
        follower._take_catalogue(make_configuration(version))

    assert follower.catalogue.version == 7
    assert len(changes) == 2


async def test_a_queue_that_moves_keeps_its_former_pool(site):
    follower = catalogue.Follower(site.store, lambda: None)
    follower._take_catalogue(make_configuration(1))
    follower._take_catalogue(make_configuration(2, "other"))

    assert follower.list_former_pools("q") == ["p"]


async def test_the_pool_of_a_queue_that_was_removed_is_remembered(site):
    """It came back in another pool, and a repeated job was accepted there as well."""
    follower = catalogue.Follower(site.store, lambda: None)
    follower._take_catalogue(make_configuration(1))
    follower._take_catalogue(b'{"version":2,"routes":[],"services":[]}')
    follower._take_catalogue(make_configuration(3, "other"))

    assert follower.list_former_pools("q") == ["p"]
