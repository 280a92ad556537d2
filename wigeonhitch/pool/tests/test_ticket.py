"""Queues whose policy requires tickets of the advice service."""

import pytest

from wigeonhitch.jobs import model
from wigeonhitch.platform import advice, workers
from wigeonhitch.pool import ticket, vm

NOW = 100.0
STEP = advice.StepName("j", 0, 0)


@pytest.fixture
def advised_bench(bench):
    advice_timing = model.Advice(0.02, 0.001, 3.0)
    queue = model.Queue("q", "h", "/q/", "p", max_attempts=2, advice=advice_timing)
    bench.pool.on_queues([queue])
    bench.add_vm("w1")
    bench.add_vm("w2")
    bench.add_job("j")
    return bench


def answer(bench, tickets, now=NOW):
    bench.pool.tickets.on_advice(STEP, advice.AdviceReply(tickets, 3.0), now)


def test_nothing_starts_without_a_ticket_and_tickets_are_requested_once(advised_bench):
    assert advised_bench.plan() == []
    assert advised_bench.pool.tickets.pop_requested() == STEP
    assert advised_bench.pool.tickets.pop_requested() is None


def test_start_carries_the_ticket_of_its_vm(advised_bench):
    answer(advised_bench, {"w2": "t2"})

    (start,) = advised_bench.plan()

    assert (start.run.vm.id, start.order.ticket) == ("w2", "t2")


def test_ticket_is_not_used_shortly_before_its_expiry(advised_bench):
    answer(advised_bench, {"w2": "t2"})
    for machine in advised_bench.pool.vms.values():
        machine.last_answer = NOW + 2.8

    assert advised_bench.plan(NOW + 2.8) == []
    assert advised_bench.pool.tickets.pop_requested() == STEP


def test_tickets_are_requested_again_if_no_vm_got_one(advised_bench):
    answer(advised_bench, {})
    advised_bench.plan(NOW + 0.1)
    assert advised_bench.pool.tickets.pop_requested() is None

    advised_bench.plan(NOW + ticket.ASK_AGAIN_SECONDS)
    assert advised_bench.pool.tickets.pop_requested() == STEP


@pytest.mark.parametrize("loss", ["gone", "closed", "leaving", "removed"])
def test_tickets_are_requested_again_if_all_their_vms_are_lost(advised_bench, loss):
    """Guards against a step that waits for its tickets to expire beside idle VMs.

    The only VMs with tickets went, and the step asked for others only after the
    tickets' validity.
    """
    answer(advised_bench, {"w2": "t2"})
    machine = advised_bench.pool.vms["w2"]
    if loss == "gone":
        advised_bench.pool.drop_vm(machine, vm.VmEnd.REPLACED)
    elif loss == "closed":
        advised_bench.pool.set_closed(frozenset({"w2"}), {})
    elif loss == "leaving":
        machine.entry = machine.entry._replace(leaving=True)
    else:
        advised_bench.pool.on_worker_removed("w2")

    assert advised_bench.plan(NOW + ticket.ASK_AGAIN_SECONDS) == []

    assert advised_bench.pool.tickets.pop_requested() == STEP


def test_tickets_of_a_silent_vm_are_kept(advised_bench):
    """A new request would delay other steps, and the VM may answer at once."""
    answer(advised_bench, {"w2": "t2"})
    advised_bench.pool.vms["w2"].is_silent = True

    assert advised_bench.plan(NOW + ticket.ASK_AGAIN_SECONDS) == []

    assert advised_bench.pool.tickets.pop_requested() is None


def test_refused_ticket_is_dropped(advised_bench):
    answer(advised_bench, {"w2": "t2"})
    (run,) = advised_bench.start(answered=False)

    reply = workers.OrderReply(workers.Verdict.BAD_TICKET)
    advised_bench.pool.on_start(run, reply, NOW)

    assert advised_bench.pool.tickets.get(STEP, NOW) == {}


def test_tickets_of_a_forgotten_job_are_dropped(advised_bench):
    answer(advised_bench, {"w2": "t2"})

    advised_bench.pool.forget_job("j")

    assert advised_bench.pool.tickets.get(STEP, NOW) == {}


def test_open_vms_with_most_room_are_selected(advised_bench):
    advised_bench.add_vm("w3", cpu=16000)

    selected = ticket.select_vms(advised_bench.pool.vms.values(), NOW)

    assert selected[0] == "w3"
    assert len(selected) == 3
