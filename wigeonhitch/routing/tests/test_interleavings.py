"""Invariants of the answers to callers, under any interleaving at two daemons."""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from wigeonhitch import verdict
from wigeonhitch.routing import action, core, event

VMS = ("vm0", "vm1")
RESULTS = {
    "ran": verdict.ran(),
    "refused": verdict.not_run(verdict.Reason.WORKER_REFUSED),
    "down": verdict.not_run(verdict.Reason.NOT_CONNECTED),
    "broken": verdict.may_have_run(verdict.Reason.BROKEN_ANSWER),
    "timeout": verdict.may_have_run(verdict.Reason.TIMEOUT),
}


class Interleavings(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.cores = {name: core.Core(name, 1) for name in "ab"}
        self.links = collections.defaultdict(collections.deque)
        self.arrivals = {}
        self.daemon_by_request = {}
        self.answers = {}
        self.in_flight_attempts = {}
        self.ended = collections.defaultdict(list)
        self.usable = {name: set(VMS) for name in "ab"}
        self.lapsed = set()
        self.revision = 1
        self.in_flight_counts = collections.Counter()
        for name in "ab":
            self.handle(name, event.MembersChanged(frozenset("ab")))
            self.change_view(name, set(VMS))

    def change_view(self, name, usable):
        self.usable[name] = usable
        workers = tuple(event.Worker(vm, 2, 4, vm in usable) for vm in VMS)
        self.handle(name, event.ViewChanged(self.revision, {"p": workers}))

    def handle(self, name, new_event):
        for act in self.cores[name].handle(new_event, self.now):
            if isinstance(act, action.Send):
                self.check_send(name, act)
            elif isinstance(act, action.Answer):
                self.check_answer(act)
            elif isinstance(act, action.SendMessages):
                self.links[name, act.daemon].append(act.messages)
        for vm in VMS:
            assert self.cores[name].in_flight(vm) == self.in_flight_counts[name, vm]

    def check_send(self, name, act):
        arrival = self.arrivals[act.request]
        assert act.request not in self.answers
        assert not [
            key for key in self.in_flight_attempts.values() if key[1] == act.request
        ]
        assert act.vm in self.usable[name]
        assert name not in self.lapsed
        assert self.now < arrival.deadline
        earlier = {end.ran for end in self.ended[act.request]}
        assert verdict.Ran.YES not in earlier
        assert arrival.idempotent or earlier <= {verdict.Ran.NO}
        self.in_flight_attempts[name, act.attempt] = (
            name,
            act.request,
            act.attempt,
            act.vm,
        )
        self.in_flight_counts[name, act.vm] += 1

    def check_answer(self, act):
        assert act.request not in self.answers
        self.answers[act.request] = act.verdict
        if act.verdict.ran is verdict.Ran.NO:
            assert not [
                key for key in self.in_flight_attempts.values() if key[1] == act.request
            ]
            assert {end.ran for end in self.ended[act.request]} <= {verdict.Ran.NO}

    @stateful.rule(
        name=st.sampled_from("ab"), within=st.sampled_from([0.08, 1.0, 9.0]),
        idempotent=st.booleans(), urgency=st.sampled_from(["urgent", "bulk"]),
    )  # fmt: skip
    def arrive(self, name, within, idempotent, urgency):
        number = len(self.arrivals) + 1
        deadline = self.now + within
        arrival = event.Arrived(number, "s", "p", urgency, "t", deadline, idempotent)
        self.arrivals[number] = arrival
        self.daemon_by_request[number] = name
        self.handle(name, arrival)

    @stateful.precondition(lambda self: self.in_flight_attempts)
    @stateful.rule(data=st.data(), end=st.sampled_from(sorted(RESULTS)))
    def end(self, data, end):
        key = data.draw(st.sampled_from(sorted(self.in_flight_attempts)))
        self.finish(key, RESULTS[end])

    def finish(self, key, result):
        name, number, attempt, vm = self.in_flight_attempts.pop(key)
        self.ended[number].append(result)
        self.in_flight_counts[name, vm] -= 1
        self.handle(name, event.AttemptEnded(number, attempt, result, 0.05))

    @stateful.precondition(lambda self: any(self.links.values()))
    @stateful.rule(data=st.data(), lost=st.sampled_from([False, False, False, True]))
    def deliver(self, data, lost):
        link = data.draw(
            st.sampled_from(
                sorted(link for link, queued in self.links.items() if queued)
            )
        )
        messages = self.links[link].popleft()
        if not lost:
            self.handle(link[1], event.Received(link[0], messages))

    @stateful.rule(seconds=st.sampled_from([0.0, 0.01, 0.11, 1.0, 20.0]))
    def advance(self, seconds):
        until = self.now + seconds
        for _ in range(5000):
            due = [each.next_timer() for each in self.cores.values()]
            due = [when for when in due if when is not None and when <= until]
            if not due:
                break
            self.now = max(self.now, min(due))
            for name in "ab":
                self.handle(name, event.Tick())
        else:
            raise AssertionError("a timer stays due")
        self.now = until
        for name in "ab":
            self.handle(name, event.Tick())
        due = {
            number
            for number, arrival in self.arrivals.items()
            if arrival.deadline <= self.now
        }
        assert due <= set(self.answers)

    @stateful.rule(seconds=st.sampled_from([0.2, 5.0]), name=st.sampled_from("ab"))
    def pause_and_resume(self, seconds, name):
        self.now += seconds
        self.handle(name, event.Tick())

    @stateful.rule(name=st.sampled_from("ab"), usable=st.sets(st.sampled_from(VMS)))
    def drain(self, name, usable):
        self.revision += 1
        self.change_view(name, usable)

    @stateful.precondition(lambda self: self.arrivals)
    @stateful.rule(data=st.data())
    def cancel(self, data):
        number = data.draw(st.sampled_from(sorted(self.arrivals)))
        self.handle(self.daemon_by_request[number], event.Cancelled(number))

    @stateful.rule(name=st.sampled_from("ab"), members=st.sampled_from(["a", "ab"]))
    def change_members(self, name, members):
        self.handle(name, event.MembersChanged(frozenset(members)))

    @stateful.rule(name=st.sampled_from("ab"), lapse=st.booleans())
    def change_send_right(self, name, lapse):
        (self.lapsed.add if lapse else self.lapsed.discard)(name)
        self.handle(
            name, event.SendRightLapsed() if lapse else event.SendRightRestored()
        )

    def teardown(self):
        self.advance(30.0)
        assert set(self.answers) == set(self.arrivals)
        for key in sorted(self.in_flight_attempts):
            self.finish(key, RESULTS["timeout"])
        assert all(each.is_idle for each in self.cores.values())


TestInterleavings = Interleavings.TestCase
TestInterleavings.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
