"""State machine of two daemons that share one store with faults.

`History` is a hypothesis state machine; a recorded trace calls its rules in the
order of the trace. Each of `SWITCHES` disables one mechanism, after which the
tests must fail.
"""

import random

from hypothesis import stateful
from hypothesis import strategies as st

from standins import platformtable
from wigeonhitch import verdict
from wigeonhitch.idempotency import batch, core, decision, in_doubt, record, sweep
from wigeonhitch.platform import table

KEYS = ("claim/s/a",)
START = 1_000_000.0
ANY_INDEX = st.integers(0, 50)
MIN_SECONDS_BETWEEN_RUNS = sweep.RETENTION_SECONDS - core.SEND_WINDOW_SECONDS
LIMITS = batch.Limits(rate=1000.0, burst=100.0)


class History(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.store = platformtable.Store()
        self.now = 0.0
        self.daemon_count = 0
        self.commits = []
        self.late = []
        self.reads = []
        self.granted = []
        self.runs = {key: [] for key in KEYS}
        self.run_tickets = set()
        self.not_run = set()
        self.told = []
        self.daemons = [self.start_daemon(), self.start_daemon()]

    def start_daemon(self):
        self.daemon_count += 1
        name = f"d{self.daemon_count}"
        daemon = name, core.Core(name, rng=random.Random(1), limits=LIMITS), {}
        self.drive(daemon)
        self.end_reads(True)
        return daemon

    def drive(self, daemon):
        name, claims, keys = daemon
        for action in claims.step(self.now):
            if isinstance(action, decision.Decision):
                self.told.append(
                    action.caller_verdict.ran.value
                    if action.caller_verdict
                    else "granted"
                )
            if isinstance(action, batch.Commit):
                self.commits.append((daemon, action))
            elif isinstance(action, decision.Read):
                self.reads.append((daemon, action))
            elif action.kind is decision.Kind.GRANTED:
                self.granted.append((daemon, action))
            elif action.kind is decision.Kind.REPLAYED:
                answer = self.runs[keys[action.ticket]][-1][1]
                assert action.kept_record.answer.body == answer
            elif action.caller_verdict.ran is verdict.Ran.NO:
                self.tell_not_run(name, action.ticket)

    def tell_not_run(self, name, ticket):
        assert (name, ticket) not in self.run_tickets
        self.not_run.add((name, ticket))

    def apply(self, action, token):
        return self.store.commit(
            action.conditions, action.writes, token, START + self.now
        )

    @stateful.rule(
        which=ANY_INDEX,
        key=st.sampled_from(KEYS),
        wait=st.sampled_from([0.5, 60.0]),
        fate=st.sampled_from(["done", "done", "done", "held", "lost", "late", "down"]),
    )
    def ask(self, which, key=KEYS[0], wait=60.0, fate="done", body="print"):
        daemon = self.daemons[which % 2]
        ticket = daemon[1].acquire(key, body, self.now, self.now + wait)
        daemon[2][ticket] = key
        self.drive(daemon)
        if fate != "held":
            self.end_commits(fate)
        while fate == "done" and self.commits:
            self.end_commits(fate)

    @stateful.precondition(lambda self: self.commits)
    @stateful.rule(fate=st.sampled_from(["done", "lost", "late", "down"]))
    def end_commits(self, fate="done"):
        commits, self.commits = self.commits, []
        for daemon, action in commits:
            result = self.find_result(action, fate)
            daemon[1].on_commit(action.batch, result, self.now)
            self.drive(daemon)

    def find_result(self, action, fate):
        result = table.CommitResult(table.Outcome.UNKNOWN, reason="timeout")
        if fate == "done":
            conflicts = self.apply(action, "t")
            outcome = table.Outcome.NOT_DONE if conflicts else table.Outcome.DONE
            revision = self.store.revision
            return table.CommitResult(
                outcome, revision, conflicts, "", START + self.now
            )
        if fate == "lost":
            self.apply(action, "t")
        elif fate == "late":
            self.late.append(action)
        else:
            result = table.CommitResult(table.Outcome.NOT_DONE, reason="down")
        return result

    @stateful.precondition(lambda self: self.late)
    @stateful.rule(which=ANY_INDEX)
    def land(self, which=0):
        self.apply(self.late.pop(which % len(self.late)), "late")

    @stateful.precondition(lambda self: self.reads)
    @stateful.rule(is_answered=st.sampled_from([True, True, True, False]))
    def end_reads(self, is_answered=True):
        reads, self.reads = self.reads, []
        for daemon, action in reads:
            result = table.ReadResult(table.Outcome.NOT_DONE, reason="down")
            if is_answered:
                rows = tuple(self.store.read(action.keys))
                result = table.ReadResult(
                    table.Outcome.DONE, rows, self.store.revision, START + self.now
                )
            daemon[1].on_read(result, self.now)
            self.drive(daemon)

    @stateful.precondition(lambda self: self.granted)
    @stateful.rule(which=ANY_INDEX, fate=st.sampled_from(["ran", "broken", "not sent"]))
    def use_grant(self, which=0, fate="ran"):
        assert self.granted
        (name, claims, keys), granted = self.granted.pop(which % len(self.granted))
        ticket = granted.ticket
        answer = f"{name}/{ticket}".encode()
        state = record.State.RELEASED
        if fate != "not sent" and self.now < granted.send_before:
            self.runs[keys[ticket]].append((self.now, answer))
            self.run_tickets.add((name, ticket))
            assert (name, ticket) not in self.not_run
            ran = fate == "ran"
            state = record.State.ANSWERED if ran else record.State.UNKNOWN
        else:
            self.tell_not_run(name, ticket)
        kept = record.KeptAnswer(200, (), answer)
        is_kept = state is record.State.ANSWERED
        claims.settle(ticket, state, self.now, kept if is_kept else None)
        self.drive((name, claims, keys))

    @stateful.rule(which=ANY_INDEX)
    def abandon(self, which):
        daemon = self.daemons[which % 2]
        for ticket in list(daemon[2])[-1:]:
            if any(item[1].ticket == ticket for item in self.granted):
                continue
            daemon[1].abandon(ticket, self.now)
            self.drive(daemon)

    @stateful.rule(which=ANY_INDEX)
    def kill(self, which):
        dead = self.daemons[which % 2]
        self.late.extend(action for owner, action in self.commits if owner is dead)
        self.commits = [item for item in self.commits if item[0] is not dead]
        self.reads = [item for item in self.reads if item[0] is not dead]
        self.granted = [item for item in self.granted if item[0] is not dead]
        self.daemons[which % 2] = self.start_daemon()

    @stateful.rule(seconds=st.sampled_from([0.1, 1.0, 20.0]), is_quiet=st.booleans())
    def pass_time(self, seconds, is_quiet=True):
        """Advance the clock; no daemon is driven in between, as if all were paused."""
        self.now += seconds
        for daemon in self.daemons:
            self.drive(daemon)
        while is_quiet and (self.reads or self.commits):
            self.end_reads(True)
            self.end_commits("done")

    @stateful.rule()
    def pass_retention(self):
        self.late.clear()
        self.now += sweep.RETENTION_SECONDS + 1
        rows = self.store.scan("claim/", 0)
        for conditions, writes in sweep.plan_deletions(rows, START + self.now):
            self.store.commit(conditions, writes, "sweep", START + self.now)

    @stateful.invariant()
    def runs_at_most_once(self):
        for runs in self.runs.values():
            for earlier, later in zip(runs, runs[1:], strict=False):
                assert later[0] - earlier[0] > MIN_SECONDS_BETWEEN_RUNS, runs


def ignore_conditions(monkeypatch):
    original = platformtable.Store.commit

    def commit(self, conditions, *rest, **named):
        return original(self, [], *rest, **named)

    monkeypatch.setattr(platformtable.Store, "commit", commit)


def take_over_claims(monkeypatch):
    original = decision.classify_row

    def classify_row(row_record, *rest):
        status = original(row_record, *rest)
        is_taken = status is decision.RowStatus.IN_PROGRESS
        return decision.RowStatus.FREE if is_taken else status

    monkeypatch.setattr(decision, "classify_row", classify_row)


def send_whenever(monkeypatch):
    monkeypatch.setattr(core, "SEND_WINDOW_SECONDS", 2 * sweep.RETENTION_SECONDS)


def release_any_attempt(monkeypatch):
    monkeypatch.setattr(
        in_doubt, "_find_release_version", lambda item, row: row.version
    )


def treat_unknown_as_free(monkeypatch):
    original = core.Core._on_write_failed

    def on_write_failed(self, write, outcome, now):
        if write.is_claim:
            self._accept_claim(self._entries[write.ticket], write.record, 0, now)
        else:
            original(self, write, outcome, now)

    monkeypatch.setattr(core.Core, "_on_write_failed", on_write_failed)


def leave_doubts(monkeypatch):
    monkeypatch.setattr(in_doubt.InDoubtClaims, "add", lambda self, write, now: None)


SWITCHES = {
    switch.__name__: switch
    for switch in (
        ignore_conditions,
        take_over_claims,
        send_whenever,
        release_any_attempt,
        treat_unknown_as_free,
        leave_doubts,
    )
}
