"""The soak: its relays and its checks, and a short seeded run of it all."""

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
    store,
    vmfleet,
)
from wigeonhitch.jobs import model

pytestmark = pytest.mark.anyio

JOB = "00000000000000aa"
FIRST = model.Task(JOB, 0, 0, 0)
SECOND = model.Task(JOB, 0, 1, 0)


def make_job(**fields):
    step = {"count": 1, "cpu": 1000}
    body = {"spec": "", "steps": [step, {**step, "after": [0]}], **fields}
    job = caller.SubmittedJob(JOB, environment.QUEUES[0], body)
    job.accepted, job.tries, job.final = 1.0, 1, "completed"
    return job


def make_lasting_job():
    step = {"count": 3, "cpu": 500, "perpetual": True, "may_miss": 1}
    job = caller.SubmittedJob(JOB, environment.QUEUES[0], {"spec": "", "steps": [step]})
    job.accepted = 1.0
    return job


def make_seen(job, events=(), *, calls=(), spans=(), orders=()):
    site = vmfleet.VmFleet(None, random.Random(1))
    site.events.extend(siteworker.Event(*event) for event in events)
    site.orders.extend(orders)
    return audit.Observations([job], list(calls), list(spans), site, 100.0)


GOOD = (
    (10.0, "start", "w", FIRST, 1),
    (11.0, "end", "w", FIRST, 1, "done"),
    (11.1, "noted", "w", FIRST, 1, "done"),
    (11.2, "start", "w", SECOND, 1),
    (12.0, "end", "w", SECOND, 1, "done"),
    (12.1, "noted", "w", SECOND, 1, "done"),
)


def test_each_mechanism_to_switch_off_is_there():
    text = (
        "from standins.soak import without as w; [m() for m in w.MECHANISMS.values()]"
    )
    subprocess.run([sys.executable, "-c", text], check=True)


def test_a_good_history_shows_nothing():
    assert audit.check(make_seen(make_job(), GOOD)) == []


@pytest.mark.parametrize(
    ("events", "what"),
    [
        (((9.0, "start", "v", FIRST, 0), *GOOD), "two runs at once"),
        ((*GOOD, (13.0, "start", "w", FIRST, 2)), "started after a noted end"),
        (GOOD[3:], "before an earlier step"),
        (GOOD[:2], "completed without all ends"),
    ],
)
def test_a_bad_history_is_found(events, what):
    faults = audit.check(make_seen(make_job(), events))

    assert any(what in line for line in faults), faults


def test_a_refused_job_that_starts_is_found():
    job = make_job()
    job.accepted, job.refusals = None, 1

    faults = audit.check(make_seen(job, GOOD))

    assert sum("refused job started" in line for line in faults) == 2


def test_an_early_start_is_found():
    job = make_job(start_at_ms=10**13, times=1)

    assert any("early" in line for line in audit.check(make_seen(job, GOOD)))


def test_a_start_long_after_the_cancelling_is_found_unless_disturbed():
    job = make_job()
    job.cancel_sent = job.cancelled = 5.0
    span = fault.Span(8.0, 9.0, "down", "store")

    assert any("after cancel" in line for line in audit.check(make_seen(job, GOOD)))
    assert audit.check(make_seen(job, GOOD, spans=[span])) == []


def test_an_order_that_ends_one_lasting_task_too_many_is_found():
    tasks = [model.Task(JOB, 0, 0, index) for index in range(3)]
    starts = [(1.0, "start", "w", task, 1) for task in tasks]
    one = (
        (2.0, "end", "w", tasks[0], 1, "stopped"),
        (2.0, "ordered", "w", tasks[0], 1),
    )
    two = (
        (3.0, "end", "w", tasks[1], 1, "stopped"),
        (3.0, "ordered", "w", tasks[1], 1),
    )
    job = make_lasting_job()

    first = audit.check(make_seen(job, (*starts, *one)))
    both = audit.check(make_seen(job, (*starts, *one, *two)))

    assert not any("others away" in line for line in first)
    assert any("others away" in line for line in both)


def test_a_lasting_task_that_stays_away_is_found():
    tasks = [model.Task(JOB, 0, 0, index) for index in range(3)]
    long = audit.check(
        make_seen(make_lasting_job(), ((93.0, "start", "w", tasks[0], 1),))
    )
    short = [(95.0, "end", "w", task, 1, "stopped") for task in tasks]
    brief = [(94.0, "start", "w", task, 1) for task in tasks]

    assert sum("is away for" in line for line in long) == 3
    assert audit.check(make_seen(make_lasting_job(), (*brief, *short))) == []


def test_an_upkeep_above_the_ceiling_and_a_shared_token_are_found():
    orders = [vmfleet.Order(1.0, "a", 1, "x", 7), vmfleet.Order(1.5, "b", 1, "x", 7)]
    shared = [vmfleet.Order(1.0, "a", 0, "x", 7), vmfleet.Order(9.0, "a", 0, "y", 7)]

    above = audit.check(make_seen(make_job(), GOOD, orders=orders))
    twice = audit.check(make_seen(make_job(), GOOD, orders=shared))

    assert any("ceiling" in line for line in above)
    assert any("two holders" in line for line in twice)


def test_an_answer_that_breaks_off_is_found_but_for_a_fault_of_its_daemon():
    call = caller.Call("d", 10.0, 10.5, "GET", JOB, 0, None, broke="ReadError")
    kill = fault.Span(10.2, 10.2, "kill", "d")
    stop = fault.Span(9.0, 15.0, "stop", "d")
    elsewhere = fault.Span(10.2, 10.2, "kill", "e")

    def count(*spans):
        return len(audit.check(make_seen(make_job(), GOOD, calls=[call], spans=spans)))

    assert [count(), count(stop), count(elsewhere), count(kill)] == [1, 1, 1, 0]


def test_a_plan_repeats_and_in_time_holds_every_kind():
    assert fault.plan(random.Random(3), 16) == fault.plan(random.Random(3), 16)
    kinds = {
        one.kind for seed in range(60) for one in fault.plan(random.Random(seed), 16)
    }
    assert kinds == set(fault.KINDS)


def test_a_plan_against_leaders_repeats_and_in_time_holds_every_kind():
    assert leaderfault.plan(random.Random(3), 16) == leaderfault.plan(
        random.Random(3), 16
    )
    kinds = {
        one.kind
        for seed in range(60)
        for one in leaderfault.plan(random.Random(seed), 16)
    }
    assert kinds == set(leaderfault.KINDS)


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
async def test_a_transaction_over_several_parts_must_say_so(body, status):
    answer = await store.Store().answer("/v1/rows-tx", {}, body)

    assert answer.status == status


async def test_the_pool_whose_leader_wrote_last_is_known():
    rows = store.Store()
    place = {"table": "owner", "part": "p", "key": "owner", "ver": 0}

    await rows.answer("/v1/rows-tx", {}, {**make_transaction(), "if_rev": [place]})

    assert rows.led == "p"


@pytest.fixture
async def link():
    """A relay before a server that echoes."""
    ports = process.Ports()
    target, port = ports.allocate(2)
    listener = await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=target
    )

    async def echo(stream):
        async with stream:
            async for data in stream:
                await stream.send(data)

    made = relay.Relay("127.0.0.1", port, "127.0.0.1", target)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, echo)
        await group.start(made.run)
        yield made
        group.cancel_scope.cancel()
    ports.close()


async def ask(stream, within=0.3):
    """Return whether an echo comes in time."""
    with anyio.move_on_after(within):
        await stream.send(b"x")
        return await stream.receive() == b"x"
    return False


def connect(link):
    host, _, port = link.address.partition(":")
    return anyio.connect_tcp(host, int(port))


@pytest.mark.parametrize(
    "state", [relay.Link.CUT, relay.Link.CUT_OUT, relay.Link.CUT_BACK]
)
async def test_a_cut_holds_bytes_until_it_is_over(link, state):
    async with await connect(link) as stream:
        assert await ask(stream)
        link.switch(state)
        assert not await ask(stream)
        link.switch(relay.Link.OPEN)
        assert await stream.receive() == b"x"


async def test_a_silenced_connection_stays_silent_while_new_ones_work(link):
    async with await connect(link) as old:
        assert await ask(old)
        link.silence()
        assert not await ask(old)
        async with await connect(link) as new:
            assert await ask(new)


async def test_a_full_server_takes_no_new_connection_while_open_ones_work(link):
    async with await connect(link) as old:
        assert await ask(old)
        link.switch(relay.Link.FULL)
        assert await ask(old)
        async with await connect(link) as new:
            assert not await ask(new)
            link.switch(relay.Link.OPEN)
            assert await new.receive() == b"x"


async def test_answers_to_one_kind_of_call_are_late_on_their_connections_only(link):
    async with await connect(link) as slow, await connect(link) as other:
        link.late = {b"x": 0.5}
        assert not await ask(slow)
        await other.send(b"y")
        with anyio.fail_after(0.3):
            assert await other.receive() == b"y"
        assert await slow.receive() == b"x"


async def test_a_reset_breaks_open_connections(link):
    async with await connect(link) as stream:
        assert await ask(stream)
        link.reset()
        with pytest.raises((anyio.BrokenResourceError, anyio.EndOfStream)):
            await stream.receive()


@pytest.mark.processes
@pytest.mark.parametrize("seed", [1])
async def test_a_short_run_keeps_every_promise(seed, tmp_path):
    result = await main.play(seed, tmp_path, seconds=8.0, daemons=3, rate=4.0)

    assert result.faults == []
    assert result.starts > 20


@pytest.mark.processes
async def test_a_short_run_against_leaders_keeps_every_promise(tmp_path):
    result = await main.play(
        1, tmp_path, seconds=8.0, daemons=3, rate=4.0, leaders=True
    )

    assert result.faults == []
    assert result.spans != []
    assert result.starts > 20


async def test_a_fault_that_is_overdue_is_brought_about_at_once():
    """A busy run is late for some, and ended there without a word on its promises."""
    brought = []

    async def bring(one):
        brought.append(one.kind)

    injector = fault.Injector(None, random.Random(1))
    injector._bring = bring

    await injector.run([fault.Fault(-0.1, "kill", 0.5, 1.0)])

    assert brought == ["kill"]
