"""Queues whose policy allows only some VMs for a step."""

import pytest

from wigeonhitch.jobs import model
from wigeonhitch.platform import advice, workers
from wigeonhitch.pool import ticket

NOW = 100.0
STEP = advice.StepName("j", 0, 0)


@pytest.fixture
def guarded(bench):
    hint = model.Advice(0.02, 0.001, 3.0)
    queue = model.Queue("q", "h", "/q/", "p", max_attempts=2, advice=hint)
    bench.pool.on_queues([queue])
    bench.add_vm("w1")
    bench.add_vm("w2")
    bench.add_job("j")
    return bench


def answer(bench, tickets, now=NOW):
    bench.pool.tickets.on_opinion(STEP, advice.Opinion(tickets, 3.0), now)


def test_nothing_starts_without_a_ticket_and_the_step_is_asked_for_once(guarded):
    assert guarded.plan() == []
    assert guarded.pool.tickets.pop_requested() == STEP
    assert guarded.pool.tickets.pop_requested() is None


def test_a_start_carries_the_ticket_of_its_vm(guarded):
    answer(guarded, {"w2": "t2"})

    (start,) = guarded.plan()

    assert (start.run.vm.id, start.order.ticket) == ("w2", "t2")


def test_a_ticket_is_not_used_near_its_end(guarded):
    answer(guarded, {"w2": "t2"})
    for one in guarded.pool.vms.values():
        one.last_answer = NOW + 2.8

    assert guarded.plan(NOW + 2.8) == []
    assert guarded.pool.tickets.pop_requested() == STEP


def test_a_step_without_any_allowed_vm_is_asked_for_again_after_a_while(guarded):
    answer(guarded, {})
    guarded.plan(NOW + 0.1)
    assert guarded.pool.tickets.pop_requested() is None

    guarded.plan(NOW + ticket.ASK_AGAIN_SECONDS)
    assert guarded.pool.tickets.pop_requested() == STEP


def test_a_refused_ticket_is_dropped(guarded):
    answer(guarded, {"w2": "t2"})
    (run,) = guarded.start(answered=False)

    reply = workers.OrderReply(workers.Verdict.BAD_TICKET)
    guarded.pool.on_start(run, reply, NOW)

    assert guarded.pool.tickets.get(STEP, NOW) == {}


def test_a_final_jobs_tickets_are_forgotten(guarded):
    answer(guarded, {"w2": "t2"})

    guarded.pool.forget_job("j")

    assert guarded.pool.tickets.get(STEP, NOW) == {}


def test_open_vms_with_most_room_are_named(guarded):
    guarded.add_vm("w3", cpu=16000)

    named = ticket.select_vms(guarded.pool.vms.values(), NOW)

    assert named[0] == "w3"
    assert len(named) == 3
