"""Relays and checks of the soak, and short seeded runs of it."""

import random
import subprocess
import sys

import anyio
import pytest

from standins import siteworker
from standins.demo import process
from standins.soak import (
    audit,
    caller,
    environment,
    fault,
    leaderfault,
    main,
    relay,
    restartfault,
    store,
    team,
    vmfleet,
)
from wigeonhitch.jobs import model

pytestmark = pytest.mark.anyio

SHORT_RUN = main.Options(seconds=8.0)

JOB = "00000000000000aa"
FIRST = model.Task(JOB, 0, 0, 0)
SECOND = model.Task(JOB, 0, 1, 0)


def make_job(**fields):
    step = {"count": 1, "cpu": 1000}
    body = {"spec": "", "steps": [step, {**step, "after": [0]}], **fields}
    job = caller.SubmittedJob(JOB, environment.QUEUES[0], body)
    job.accepted, job.submissions, job.final = 1.0, 1, "completed"
    return job


def make_lasting_job():
    step = {"count": 3, "cpu": 500, "perpetual": True, "may_miss": 1}
    job = caller.SubmittedJob(JOB, environment.QUEUES[0], {"spec": "", "steps": [step]})
    job.accepted = 1.0
    return job


def make_observations(
    job, events=(), *, calls=(), spans=(), orders=(), settled_from=80.0
):
    site = vmfleet.VmFleet(None, random.Random(1))
    site.events.extend(siteworker.Event(*event) for event in events)
    site.orders.extend(orders)
    pools = {queue.name: {queue.pool} for queue in environment.QUEUES}
    return audit.Observations(
        [job], list(calls), list(spans), site, pools, settled_from, 100.0
    )


VALID_HISTORY = (
    (10.0, "start", "w", FIRST, 1),
    (11.0, "end", "w", FIRST, 1, "done"),
    (11.1, "noted", "w", FIRST, 1, "done"),
    (11.2, "start", "w", SECOND, 1),
    (12.0, "end", "w", SECOND, 1, "done"),
    (12.1, "noted", "w", SECOND, 1, "done"),
)


def test_each_mechanism_can_be_disabled():
    text = (
        "from standins.soak import without as w; [m() for m in w.MECHANISMS.values()]"
    )
    subprocess.run([sys.executable, "-c", text], check=True)


def test_valid_history_has_no_violation():
    assert audit.check(make_observations(make_job(), VALID_HISTORY)) == []


@pytest.mark.parametrize(
    ("events", "expected"),
    [
        (((9.0, "start", "v", FIRST, 0), *VALID_HISTORY), "two runs at once"),
        ((*VALID_HISTORY, (13.0, "start", "w", FIRST, 2)), "started after a noted end"),
        (VALID_HISTORY[3:], "before an earlier step"),
        (VALID_HISTORY[:2], "completed without all ends"),
    ],
)
def test_invalid_history_is_found(events, expected):
    violations = audit.check(make_observations(make_job(), events))

    assert any(expected in line for line in violations), violations


def test_start_of_refused_job_is_found():
    job = make_job()
    job.accepted, job.refusals = None, 1

    violations = audit.check(make_observations(job, VALID_HISTORY))

    assert sum("refused job started" in line for line in violations) == 2


def test_early_start_is_found():
    job = make_job(start_at_ms=10**13, times=1)

    assert any(
        "early" in line for line in audit.check(make_observations(job, VALID_HISTORY))
    )


def test_start_long_after_cancellation_is_found_unless_disturbed():
    job = make_job()
    job.cancel_sent = job.cancelled = 5.0
    span = fault.Span(8.0, 9.0, "down", "store")

    assert any(
        "after cancel" in line
        for line in audit.check(make_observations(job, VALID_HISTORY))
    )
    assert audit.check(make_observations(job, VALID_HISTORY, spans=[span])) == []


def test_order_beyond_unavailability_limit_is_found():
    tasks = [model.Task(JOB, 0, 0, index) for index in range(3)]
    starts = [(1.0, "start", "w", task, 1) for task in tasks]
    first_end = (
        (2.0, "end", "w", tasks[0], 1, "stopped"),
        (2.0, "ordered", "w", tasks[0], 1),
    )
    second_end = (
        (3.0, "end", "w", tasks[1], 1, "stopped"),
        (3.0, "ordered", "w", tasks[1], 1),
    )
    job = make_lasting_job()

    first = audit.check(make_observations(job, (*starts, *first_end)))
    both = audit.check(make_observations(job, (*starts, *first_end, *second_end)))

    assert not any("others away" in line for line in first)
    assert any("others away" in line for line in both)


def test_lasting_task_that_stays_unavailable_is_found():
    tasks = [model.Task(JOB, 0, 0, index) for index in range(3)]
    long = audit.check(
        make_observations(make_lasting_job(), ((93.0, "start", "w", tasks[0], 1),))
    )
    short = [(95.0, "end", "w", task, 1, "stopped") for task in tasks]
    brief = [(94.0, "start", "w", task, 1) for task in tasks]

    assert sum("is away for" in line for line in long) == 3
    assert audit.check(make_observations(make_lasting_job(), (*brief, *short))) == []


def test_maintenance_above_ceiling_and_shared_token_are_found():
    orders = [vmfleet.Order(1.0, "a", 1, "x", 7), vmfleet.Order(1.5, "b", 1, "x", 7)]
    shared = [vmfleet.Order(1.0, "a", 0, "x", 7), vmfleet.Order(9.0, "a", 0, "y", 7)]

    above = audit.check(make_observations(make_job(), VALID_HISTORY, orders=orders))
    twice = audit.check(make_observations(make_job(), VALID_HISTORY, orders=shared))

    assert any("ceiling" in line for line in above)
    assert any("two holders" in line for line in twice)


def test_start_beyond_a_capacity_that_has_shrunk_is_found():
    observed = make_observations(make_job(), VALID_HISTORY)

    def count(*capacities):
        observed.vm_fleet.capacities[:] = [
            vmfleet.Capacity(time, "w", millicores) for time, millicores in capacities
        ]
        return sum("exceeded" in line for line in audit.check(observed))

    assert count((1.0, 8000), (2.0, 500)) == 2
    assert count((1.0, 8000), (9.0, 500)) == 0
    assert count((1.0, 500), (2.0, 8000)) == 0


def test_task_that_crashes_too_many_workers_is_found():
    job = make_job()
    job.crashes_vms, job.final = True, "failed"
    runs = [
        (10.0 + number, kind, f"w{number}", FIRST, number + 1, outcome)
        for number in range(6)
        for kind, outcome in (("start", ""), ("end", "crashed"))
    ]

    assert audit.check(make_observations(job, runs[:10])) == []
    assert any(
        "crashed 6 workers" in line
        for line in audit.check(make_observations(job, runs))
    )


@pytest.mark.parametrize(
    ("sent", "status", "key", "expected"),
    [
        (25.1, 200, "batch-first-key", "not refused 5.1 s after revocation"),
        (25.1, 429, "batch-first-key", "not refused 5.1 s after revocation"),
        (25.1, 401, "batch-first-key", ""),
        (25.1, 503, "batch-first-key", ""),
        (24.9, 200, "batch-first-key", ""),
        (30.0, 200, "batch-second-key", ""),
        (30.0, 401, "batch-second-key", "valid key refused"),
        (19.0, 401, "batch-first-key", "valid key refused"),
        (1.0, 200, team.UNKNOWN_KEY, "never was valid"),
        (1.0, 401, team.UNKNOWN_KEY, ""),
    ],
)
def test_answer_against_the_state_of_its_key_is_found(sent, status, key, expected):
    """Guards against invalid keys that are served, and valid ones refused."""
    teams = team.Teams()
    teams.revoked["batch-first-key"] = 20.0
    call = caller.Call(
        "d", sent, sent + 0.1, "GET", JOB, status, None, status != 200, key=key
    )
    observed = make_observations(make_job(), VALID_HISTORY, calls=[call])

    violations = audit.check(observed._replace(teams=teams))

    assert len(violations) == bool(expected)
    assert all(expected in line for line in violations)


@pytest.mark.parametrize(
    ("lowered_at", "count"), [(8.1, 0), (7.9, 1), (10.5, 0), (None, 0)]
)
def test_start_above_a_ceiling_that_was_lowered_is_found(lowered_at, count):
    """Guards against late starts above a lowered ceiling, and against findings by runs
    that were started before."""
    job = make_job()
    job.team = "batch"
    teams = team.Teams()
    teams.ceilings[0] = team.Ceiling(0.0, "batch", 2000)
    if lowered_at is not None:
        teams.ceilings.append(team.Ceiling(lowered_at, "batch", 1500))
    job.body["steps"][1].pop("after")
    overlapping = (VALID_HISTORY[0], (11.0, *VALID_HISTORY[3][1:]))

    observed = make_observations(job, (*overlapping, *VALID_HISTORY[1:3]))
    violations = audit.check(observed._replace(teams=teams))

    assert sum("above its ceiling 1500" in line for line in violations) == count


class SettlingCallers:
    """Callers on a simulated clock, whose job becomes final at a given time."""

    def __init__(self, monkeypatch, final_at):
        self.now = 0.0
        self._final_at = final_at
        monkeypatch.setattr(main.http, "read_clock", lambda: self.now)
        monkeypatch.setattr(main.anyio, "sleep", self._sleep)

    async def _sleep(self, seconds):
        self.now += seconds

    async def query(self, job):
        if self.now >= self._final_at:
            job.final = "failed" if job.crashes_vms else "completed"


async def settle(monkeypatch, job, crashed_at, *, pool="alpha", final_at=1e9):
    """Settle a job while one task crashes a VM for 2 s at each of the given times."""
    culprit = make_job()
    culprit.id, culprit.crashes_vms = "00000000000000bb", True
    observed = make_observations(job, VALID_HISTORY, settled_from=0.0)
    observed.jobs.append(culprit)
    guilty = job if job.crashes_vms else culprit
    task = model.Task(guilty.id, 0, 0, 1)
    fleet = observed.vm_fleet
    for number, at in enumerate(crashed_at):
        worker = f"crashed{number}"
        fleet.outages.append(vmfleet.Outage(at, at + 2.0, worker, pool))
        for kind in ("start", "end"):
            fleet.events.append(siteworker.Event(at, kind, worker, task, number + 9))
    callers = SettlingCallers(monkeypatch, final_at)
    observed = await main._settle(callers, observed)
    late = [line for line in audit.check(observed) if "never became final" in line]
    return observed.ended, late


@pytest.mark.parametrize(
    ("crashed_at", "final_at", "ended"),
    [
        ((), 13.0, 13.0),
        ((10.0,), 25.0, 25.0),
        ((0.0, 4.0, 8.0, 12.0, 16.0), 31.0, 31.0),
    ],
)
async def test_job_that_crashes_vms_has_its_time_after_the_last_one(
    monkeypatch, crashed_at, final_at, ended
):
    """Guards against runs that fail though no scheduler could test the job in time."""
    job = make_job()
    job.final, job.crashes_vms = "", True

    time, late = await settle(monkeypatch, job, crashed_at, final_at=final_at)

    assert late == []
    assert ended <= time < ended + 1.0


@pytest.mark.parametrize(
    ("crashed_at", "pool", "ended"),
    [
        ((), "alpha", 14.0),
        ((2.0,), "alpha", 18.0),
        ((2.0, 18.1), "alpha", 18.0),
        ((2.0,), "beta", 14.0),
        ((0.0, 1.0, 2.0, 3.0, 4.0, 12.0), "alpha", 20.0),
    ],
)
async def test_job_that_crashes_vms_and_is_not_given_up_is_found(
    monkeypatch, crashed_at, pool, ended
):
    """Guards against crashes that excuse a job of another pool, one that had time
    enough between them, or a task that isn't given up."""
    job = make_job()
    job.final, job.crashes_vms = "", True

    time, late = await settle(monkeypatch, job, crashed_at, pool=pool)

    assert len(late) == 1
    assert ended <= time < ended + 1.0


async def test_job_beside_tasks_that_crash_vms_has_no_more_time(monkeypatch):
    job = make_job()
    job.final = ""

    time, late = await settle(monkeypatch, job, (2.0, 10.0))

    assert len(late) == 1
    assert 14.0 <= time < 15.0


@pytest.mark.parametrize(("final_at", "count"), [(24.0, 0), (1e9, 1)])
async def test_job_whose_task_crashes_workers_without_end_is_found(
    monkeypatch, final_at, count
):
    job = make_job()
    job.final, job.crashes_vms = "", True
    crashed_at = [4.0 * number for number in range(25)]

    time, late = await settle(monkeypatch, job, crashed_at, final_at=final_at)

    assert len(late) == count
    assert time < 33.0


def test_truncated_answer_is_found_unless_its_daemon_had_a_fault():
    call = caller.Call("d", 10.0, 10.5, "GET", JOB, 0, None, error_name="ReadError")
    kill = fault.Span(10.2, 10.2, "kill", "d")
    stop = fault.Span(9.0, 15.0, "stop", "d")
    elsewhere = fault.Span(10.2, 10.2, "kill", "e")

    def count(*spans):
        return len(
            audit.check(
                make_observations(make_job(), VALID_HISTORY, calls=[call], spans=spans)
            )
        )

    assert [count(), count(stop), count(elsewhere), count(kill)] == [1, 1, 1, 0]


@pytest.mark.parametrize(
    ("plan", "expected"),
    [
        (fault.plan, {*fault.KINDS, fault.CAPACITY_KIND}),
        (leaderfault.plan, set(leaderfault.KINDS)),
        (restartfault.plan, set(restartfault.KINDS)),
    ],
    ids=["all", "leaders", "restarts"],
)
def test_plan_is_reproducible_and_covers_every_kind(plan, expected):
    assert plan(random.Random(3), 16) == plan(random.Random(3), 16)
    kinds = {
        planned.kind for seed in range(60) for planned in plan(random.Random(seed), 16)
    }
    assert kinds == expected


def make_transaction(*parts, **fields):
    keys = [{"table": "t", "part": part, "key": "k", "ver": 0} for part in parts]
    return {"if_rev": keys, "writes": [], "remove": [], **fields}


@pytest.mark.parametrize(
    ("body", "status"),
    [
        (make_transaction("a", "a"), 200),
        (make_transaction("a", "b"), 400),
        (make_transaction("a", "b", across=True), 200),
    ],
)
async def test_transaction_over_several_parts_must_be_declared(body, status):
    answer = await store.Store().answer("/v1/rows-tx", {}, body)

    assert answer.status == status


async def test_pool_of_last_leader_write_is_recorded():
    rows = store.Store()
    place = {"table": "owner", "part": "p", "key": "owner", "ver": 0}

    await rows.answer("/v1/rows-tx", {}, {**make_transaction(), "if_rev": [place]})

    assert rows.last_leader_pool == "p"


@pytest.fixture
async def link():
    """A relay in front of an echo server."""
    ports = process.Ports()
    target, port = ports.allocate(2)
    listener = await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=target
    )

    async def echo(stream):
        async with stream:
            async for data in stream:
                await stream.send(data)

    created = relay.Relay("127.0.0.1", port, "127.0.0.1", target)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, echo)
        await group.start(created.run)
        yield created
        group.cancel_scope.cancel()
    ports.close()


async def ask(stream, timeout=0.3):
    """Return whether an echo arrives in time."""
    with anyio.move_on_after(timeout):
        await stream.send(b"x")
        return await stream.receive() == b"x"
    return False


def connect(link):
    host, _, port = link.address.partition(":")
    return anyio.connect_tcp(host, int(port))


@pytest.mark.parametrize(
    "state", [relay.Link.CUT, relay.Link.CUT_OUT, relay.Link.CUT_BACK]
)
async def test_cut_withholds_bytes_until_it_is_over(link, state):
    async with await connect(link) as stream:
        assert await ask(stream)
        link.switch(state)
        assert not await ask(stream)
        link.switch(relay.Link.OPEN)
        assert await stream.receive() == b"x"


async def test_silenced_connection_stays_silent_while_new_ones_work(link):
    async with await connect(link) as old:
        assert await ask(old)
        link.silence()
        assert not await ask(old)
        async with await connect(link) as new:
            assert await ask(new)


async def test_full_server_accepts_no_new_connection_while_open_ones_work(link):
    async with await connect(link) as old:
        assert await ask(old)
        link.switch(relay.Link.FULL)
        assert await ask(old)
        async with await connect(link) as new:
            assert not await ask(new)
            link.switch(relay.Link.OPEN)
            assert await new.receive() == b"x"


async def test_delayed_answers_affect_only_their_connections(link):
    async with await connect(link) as slow, await connect(link) as other:
        link.answer_delays = {b"x": 0.5}
        assert not await ask(slow)
        await other.send(b"y")
        with anyio.fail_after(0.3):
            assert await other.receive() == b"y"
        assert await slow.receive() == b"x"


async def test_reset_breaks_open_connections(link):
    async with await connect(link) as stream:
        assert await ask(stream)
        link.reset()
        with pytest.raises((anyio.BrokenResourceError, anyio.EndOfStream)):
            await stream.receive()


@pytest.mark.processes
@pytest.mark.parametrize("seed", [1])
async def test_short_run_has_no_violation(seed, tmp_path):
    result = await main.run_seed(seed, tmp_path, SHORT_RUN)

    assert result.violations == []
    assert result.starts > 20


@pytest.mark.processes
async def test_short_run_with_leader_faults_has_no_violation(tmp_path):
    result = await main.run_seed(1, tmp_path, SHORT_RUN._replace(leaders=True))

    assert result.violations == []
    assert result.spans != []
    assert result.starts > 20


@pytest.mark.processes
async def test_short_run_with_teams_has_no_violation(tmp_path):
    """Guards against a plan that leaves out a kind of change of the teams."""
    result = await main.run_seed(1, tmp_path, SHORT_RUN._replace(teams=True))

    assert result.violations == []
    assert {span.kind for span in result.spans} >= set(fault.TEAM_KINDS)
    assert result.starts > 20


async def test_overdue_fault_is_injected_immediately():
    """Guards against a busy run that lags behind its plan and ends unchecked."""
    injected = []

    async def inject(planned):
        injected.append(planned.kind)

    injector = fault.Injector(None, random.Random(1))
    injector._inject = inject

    await injector.run([fault.Fault(-0.1, "kill", 0.5, 1.0)])

    assert injected == ["kill"]
