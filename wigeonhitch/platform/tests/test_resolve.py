"""The outcome that a resolution reports is true, whatever was lost or late."""

import hypothesis
import pytest
from hypothesis import strategies as st

from standins import platformtable
from wigeonhitch.platform import resolve, table

FATES = st.sampled_from(["answered", "lost", "late", "dropped", "refused"])
EVENTS = st.sampled_from(["overwrite a", "overwrite b", "delete b", "land", "none"])
COMMITS = [
    # A claim, a fenced write, and commits with and without a condition on a row
    # that they write.
    ([("new", 0)], ["new"]),
    ([("a", 1), ("new", 0)], ["new"]),
    ([("a", 1), ("b", 1)], ["a", "b"]),
    ([("a", 1)], ["b"]),
    ([("a", 1), ("b", 1)], ["b"]),
    ([("a", 1), ("b", 1)], ["a", "-b"]),
    ([("a", 1)], ["-a"]),
    ([("a", 1)], ["a"]),
]


def apply_event(store, event, late):
    if event == "land" and late:
        store.commit(*late.pop(), 0.0)
    if event.endswith((" a", " b")):
        verb, key = event.split()
        value = {"by": "other"} if verb == "overwrite" else None
        store.commit([], [table.Write(key, value)], "other", 0.0)


def answer(store, commit):
    conflicts = store.commit(*commit, 0.0)
    body = {"time": 0.0, "revision": store.revision, "conflicts": conflicts}
    return resolve.Reply(resolve.ReplyKind.ANSWERED, 409 if conflicts else 200, body)


def send(store, commit, fate, late):
    """Return the reply to one try whose fate is given."""
    if fate == "refused":
        return resolve.Reply(resolve.ReplyKind.REFUSED)
    if fate == "answered":
        return answer(store, commit)
    if fate == "lost":
        answer(store, commit)
    if fate == "late":
        late.append(commit)
    return resolve.Reply(resolve.ReplyKind.LOST)


def check(conditions, writes, fates, events):
    store = platformtable.Store()
    both = [table.Write("a", {}), table.Write("b", {})]
    store.commit([], both, "first", 0.0)
    conditions = [table.Condition(*item) for item in conditions]
    writes = [
        table.Write(key.strip("-"), None if key.startswith("-") else {"by": "us"})
        for key in writes
    ]
    commit = (conditions, writes, "ours")
    resolution = resolve.Resolution(conditions, writes, "ours")
    late = []
    for fate, event in zip(fates, events, strict=True):
        apply_event(store, event, late)
        step = resolution.next()
        if step is resolve.Step.SEND:
            resolution.on_commit(send(store, commit, fate, late))
        elif step is resolve.Step.READ and fate == "answered":
            rows = store.read(resolution.keys)
            body = {"time": 0.0, "revision": store.revision, "rows": rows}
            reply = resolve.Reply(resolve.ReplyKind.ANSWERED, 200, body)
            resolution.on_read(reply)
        elif step is resolve.Step.READ:
            resolution.on_read(resolve.Reply(resolve.ReplyKind.LOST))
    result = resolution.result()
    while late:
        apply_event(store, "land", late)
    applied = [entry for entry in store.history if entry.token == "ours"]
    assert len(applied) <= 1
    if result.outcome is table.Outcome.DONE:
        assert len(applied) == 1
        deletes_all = all(write.value is None for write in writes)
        unproved = 0 if deletes_all else resolve.LOST_REVISION
        assert result.revision in (applied[0].revision, unproved)
        is_changed = any(row.token != "ours" for row in store.read(resolution.keys))
        assert is_changed or deletes_all or result.revision == applied[0].revision
    if result.outcome is table.Outcome.NOT_DONE:
        assert not applied


def search():
    tries = resolve.MAX_TRIES + 2

    @hypothesis.settings(max_examples=1500, phases=[hypothesis.Phase.generate])
    @hypothesis.given(
        st.sampled_from(COMMITS),
        st.lists(FATES, min_size=tries, max_size=tries),
        st.lists(EVENTS, min_size=tries, max_size=tries),
    )
    def run(commit, fates, events):
        check(*commit, fates, events)

    run()


def test_done_commit_is_applied_once_and_not_done_commit_never():
    search()


def report_conflicts_as_not_done(monkeypatch):
    monkeypatch.setattr(resolve.Resolution, "_never_applied", lambda *_: True)


def report_lost_as_not_done(monkeypatch):
    original = resolve.Resolution.result

    def result(self):
        result_so_far = original(self)
        if result_so_far.outcome is table.Outcome.UNKNOWN:
            return result_so_far._replace(outcome=table.Outcome.NOT_DONE)
        return result_so_far

    monkeypatch.setattr(resolve.Resolution, "result", result)


def repeat_every_commit(monkeypatch):
    original = resolve.Resolution.__init__

    def init(self, *arguments):
        original(self, *arguments)
        self._is_repeatable = True

    monkeypatch.setattr(resolve.Resolution, "__init__", init)


@pytest.mark.parametrize(
    "disable_mechanism",
    [report_conflicts_as_not_done, report_lost_as_not_done, repeat_every_commit],
)
def test_search_finds_a_false_outcome_without_the_mechanism(
    monkeypatch, disable_mechanism
):
    disable_mechanism(monkeypatch)
    with pytest.raises((AssertionError, ExceptionGroup)):
        search()


def test_tries_and_backoff_stay_within_the_deadline():
    left, spent = 2.0, 0.0
    for tries in range(1, 10):
        limit = resolve.compute_try_timeout(left)
        if not limit:
            break
        left -= limit + resolve.compute_backoff(tries, left - limit, 1.0)
        spent = 2.0 - left
    assert spent <= 2.0
    assert resolve.compute_try_timeout(0.01) == 0.0
