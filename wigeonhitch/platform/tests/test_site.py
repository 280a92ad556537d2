"""Decoding, rejection and encoding at the boundary to the platform."""

import json

import orjson
import pytest

from wigeonhitch.jobs import credential, model
from wigeonhitch.platform import (
    entries,
    fleet,
    http,
    ingress,
    node,
    rows,
    table,
    workers,
)
from wigeonhitch.site import message

DONE = table.Outcome.DONE


class Client:
    """Answers every call with a fixed reply and records the calls."""

    def __init__(self, status=200, body=None, outcome=DONE):
        self.reply = http.Reply(outcome, status, body, "", 1.0, 2.0)
        self.sent = []

    async def call(self, method, address, path, **fields):
        self.sent.append((method, path, fields))
        return self.reply


@pytest.fixture
def settings_file(tmp_path):
    path = tmp_path / "node.conf"
    path.write_text(
        "node_name=n1\nzone=z1\nip=10.0.0.1\nlisten_addrs.frontend=10.0.0.1:1\n"
        "listen_addrs.ready=10.0.0.1:2\nplatform.address=10.0.0.2:3\n"
        "limits.cpu_share=0.5\nlimits.cores=3\nparameters.grace_s=6\n"
        "platform.across=false\n"
        "something.new=x\n\nnot a line\n"
    )
    return path


def test_settings_are_loaded_and_unknown_keys_ignored(settings_file):
    settings = node.load(settings_file)

    assert (settings.name, settings.data_centre) == ("n1", "z1")
    assert settings.bounds.termination_grace == 6.0
    assert settings.cores == 1.5
    assert not settings.rates.has_cross_part_transactions


@pytest.mark.parametrize(
    ("lines", "address"),
    [
        ("port_range=7100,7199\nfault_tolerance.machines=2\n", "10.0.0.1:7100"),
        ("port_range=7100,7199\nfault_tolerance.machines=1\n", ""),
        ("port_range=7100,7199\n", ""),
        ("fault_tolerance.machines=3\n", ""),
        ("port_range=7100\nfault_tolerance.machines=3\n", ""),
        ("port_range=0,x\nfault_tolerance.machines=3\n", ""),
        ("port_range=7100,7199\nfault_tolerance.machines=many\n", ""),
        ("port_range=1,7199\nfault_tolerance.machines=3\n", ""),
    ],
)
def test_calls_of_peers_are_served_only_where_the_settings_ask_for_it(
    settings_file, lines, address
):
    """Guards against a listener that nobody asked for, on a port that is in use, and
    against a daemon that doesn't start for a key that it can do without."""
    settings_file.write_text(settings_file.read_text() + "\n" + lines)

    assert node.load(settings_file).relay_address == address


def test_error_lists_all_problems_of_the_settings(tmp_path):
    path = tmp_path / "node.conf"
    path.write_text("node_name=n1\nparameters.grace_s=soon\nplatform.across=perhaps\n")

    with pytest.raises(ValueError, match=r"zone.*platform.address.*'soon'.*'perhaps'"):
        node.load(path)


VALID_ENTRY = {
    "service": "s",
    "address": "a:1",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 1000, "mem_mb": 5},
    "labels": ["k", "r1"],
    "clock_ms": 2500,
}


def test_worker_entry_is_decoded():
    entry = entries.read_worker("i-1", orjson.dumps(VALID_ENTRY))

    assert entry.room == model.Room(1000, 5, 0)
    assert (entry.pool, entry.clock, entry.leaving) == ("s", 2.5, False)


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\x00",
        b"[]",
        b"null",
        orjson.dumps({**VALID_ENTRY, "state": "resting"}),
        orjson.dumps({**VALID_ENTRY, "address": 7}),
        orjson.dumps({**VALID_ENTRY, "capacity": None}),
        orjson.dumps({**VALID_ENTRY, "capacity": {"cpu": "much"}}),
        orjson.dumps(
            {key: VALID_ENTRY[key] for key in VALID_ENTRY if key != "service"}
        ),
    ],
)
def test_invalid_worker_entry_is_rejected(value):
    assert isinstance(entries.read_worker("i-1", value), entries.InvalidEntry)


@pytest.mark.parametrize("value", [b"", b"{}", b'{"version":1,"routes":[{}]}'])
def test_invalid_configuration_is_rejected(value):
    assert isinstance(entries.read_catalogue(value), entries.InvalidEntry)


def test_configuration_is_decoded():
    route = {"name": "r", "host": "h", "path_prefix": "/p/", "service": "s"}
    fields = {"version": 7, "routes": [route], "services": [{"name": "s"}]}

    catalogue = entries.read_catalogue(orjson.dumps(fields))

    assert catalogue.queues == (model.Queue("r", "h", "/p/", "s"),)
    assert catalogue.pools == (model.Pool("s"),)


STEP = {"count": 2, "cpu": 500, "mem_mb": 64, "estimate_ms": 900, "perpetual": True}


def test_job_is_decoded():
    job = ingress.read_job("j", "q", orjson.dumps({"spec": "x", "steps": [STEP]}))

    assert job.steps[0] == model.Step(2, model.Room(500, 64), 0.9, lasting=True)


@pytest.mark.parametrize(
    "step",
    [
        {**STEP, "after": [0]},
        {**STEP, "count": 10**30},
        {**STEP, "cpu": -1},
        {**STEP, "anti_affinity": 10**12},
        {**STEP, "count": model.MAX_OPEN_TASKS + 1},
    ],
)
def test_job_beyond_the_limits_is_refused(step):
    with pytest.raises((ValueError, OverflowError)):
        ingress.read_job("j", "q", json.dumps({"steps": [step]}).encode())


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("status", "outcome", "expected"),
    [
        (412, DONE, "conflict"),
        (429, DONE, "busy"),
        (503, DONE, "down"),
    ],
)
async def test_refused_transaction_is_not_done(status, outcome, expected):
    store = rows.Rows(Client(status, {"rows": []}, outcome), "a")

    change = await store.commit(rows.Transaction((), ()), timeout=1.0)

    assert (change.outcome, change.reason) == (table.Outcome.NOT_DONE, expected)


@pytest.mark.anyio
async def test_transaction_without_an_answer_is_unknown():
    store = rows.Rows(Client(0, None, table.Outcome.UNKNOWN), "a")

    change = await store.commit(rows.Transaction((), ()), timeout=1.0)

    assert change.outcome is table.Outcome.UNKNOWN


@pytest.mark.anyio
async def test_rows_are_written_and_removed_in_one_call():
    client = Client(200, {"ver": 9, "now_ms": 4000})
    store = rows.Rows(client, "a")
    writes = (rows.Write("t", "p", "k", b"v"), rows.Write("t", "p", "old", None))

    change = await store.commit(
        rows.Transaction((rows.Condition("t", "p", "k", 3),), writes), timeout=1.0
    )

    assert (change.version, change.store_time) == (9, 4.0)
    assert client.sent[0][2]["body"] == {
        "if_rev": [{"table": "t", "part": "p", "key": "k", "ver": 3}],
        "writes": [{"table": "t", "part": "p", "key": "k", "value": "dg=="}],
        "remove": [{"table": "t", "part": "p", "key": "old"}],
    }


@pytest.mark.anyio
async def test_unreadable_conflict_is_unknown():
    """An unreadable conflict was read as an empty list of rows.

    All conditioned rows then counted as missing, the record of completed work was
    removed, and a completed job ran again. Such an answer counts as lost.
    """
    store = rows.Rows(Client(412, None), "a")

    change = await store.commit(rows.Transaction((), ()), timeout=1.0)

    assert change.outcome is table.Outcome.UNKNOWN
    assert change.reason != "conflict"


@pytest.mark.anyio
async def test_unreadable_answer_to_a_renewal_is_unknown():
    """An unreadable answer to a lease renewal was read as an empty list of runs.

    All tasks of the VM were then started elsewhere, so that a task ran twice at the
    same time. Such an answer counts as lost.
    """
    calls = workers.Workers(Client(200, None))

    reply = await calls.hold("a", "w", 1, None, 0, wait=0.0, timeout=1.0)

    assert reply.verdict is workers.Verdict.UNKNOWN


@pytest.mark.anyio
async def test_read_of_several_pages_has_the_version_of_the_first():
    """Changes made while a list was read page by page were missed.

    A pool's jobs need several pages. A job added in the range of the first page
    before the last page was read was on no page, and the feed was followed from the
    version of the last page: an accepted job never started or wasn't cancelled. The
    feed must start at the version of the first page.
    """
    client = Client()
    row = {"table": "t", "part": "p", "key": "k", "value": "dg==", "ver": 3}
    pages = [
        {"rows": [row], "truncated": True, "ver": 10, "now_ms": 1500},
        {"rows": [{**row, "key": "l"}], "truncated": False, "ver": 12, "now_ms": 3500},
    ]
    times = iter([(1.0, 2.0), (3.0, 4.0)])

    async def call(method, address, path, **fields):
        return http.Reply(DONE, 200, pages.pop(0), "", *next(times))

    client.call = call
    row_range = await rows.Rows(client, "a").read("t", "p", timeout=1.0)

    assert [row.key for row in row_range.rows] == ["k", "l"]
    assert row_range.version == 10
    assert (row_range.store_time, row_range.sent, row_range.received) == (1.5, 1.0, 4.0)


@pytest.mark.anyio
async def test_transaction_over_several_parts_is_marked():
    client = Client(200, {"ver": 9, "now_ms": 4000})
    conditions = tuple(rows.Condition("t", part, "k", 3) for part in "pq")

    await rows.Rows(client, "a").commit(
        rows.Transaction(conditions, (rows.Write("t", "p", "k", b"v"),)), timeout=1.0
    )

    assert client.sent[0][2]["body"]["across"] is True


@pytest.mark.anyio
async def test_feed_without_history_has_expired():
    feed = await rows.Rows(Client(410), "a").follow("t", 1, wait=0.1, timeout=1.0)

    assert feed.expired


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("status", "body", "outcome", "expected"),
    [
        (200, {"clock_ms": 5}, DONE, workers.Verdict.DONE),
        (409, {"reason": "fence"}, DONE, workers.Verdict.FENCED),
        (409, {"reason": "late"}, DONE, workers.Verdict.LATE),
        (409, {"reason": "room"}, DONE, workers.Verdict.NO_ROOM),
        (421, None, DONE, workers.Verdict.GONE),
        (503, None, DONE, workers.Verdict.UNHEALTHY),
        (400, None, DONE, workers.Verdict.INVALID),
        (500, None, DONE, workers.Verdict.UNKNOWN),
        (0, None, table.Outcome.UNKNOWN, workers.Verdict.UNKNOWN),
        (0, None, table.Outcome.NOT_DONE, workers.Verdict.NOT_DONE),
    ],
)
async def test_answer_of_a_worker_is_classified(status, body, outcome, expected):
    calls = workers.Workers(Client(status, body, outcome))
    order = workers.Start(model.Task("j", 0, 1, 2), 3, "", 1.5, 9)

    reply = await calls.start("a:1", "i-1", order, timeout=1.0)

    assert reply.verdict is expected


@pytest.mark.anyio
async def test_renewal_lists_running_and_ended_runs():
    body = {
        "clock_ms": 7000,
        "running": [["j.0.1.2", 3, "c", 41, 250]],
        "finished": [[5, "j.0.0.0", 1, "done", ""]],
    }
    client = Client(200, body)

    reply = await workers.Workers(client).hold(
        "a:1", "i-1", 9, 8.5, 4, wait=0.6, timeout=1.0
    )

    task = model.Task("j", 0, 1, 2)
    assert reply.running == (workers.Running(task, 3, "c", 41, 250),)
    ended = workers.Ended(5, model.Task("j", 0, 0, 0), 1, model.End.DONE, "")
    assert reply.ended == (ended,)
    assert client.sent[0][2]["body"]["deadline_ms"] == 8500
    assert client.sent[0][2]["headers"] == {"Target-Instance": "i-1"}


@pytest.mark.anyio
async def test_listed_vm_that_cannot_be_decoded_is_skipped():
    good = {"machine": "m", "pool": "p", "state": "up", "id": None}
    body = {"machines": [good, {"machine": 3}, {**good, "state": "odd"}, 7]}

    listing = await fleet.Fleet(Client(200, body), "a").list_vms(timeout=1.0)

    assert [(vm.id, vm.worker) for vm in listing.vms] == [("m", "")]


class FakeRequestHandler:
    """Answers every request with a fixed answer."""

    max_body_bytes = 100

    def __init__(self, answer):
        self.answer = answer
        self.refusal = None

    def find_queue(self, host, path):
        if path.startswith("/p/"):
            return model.Queue("r", host, "/p/", "s")
        return message.Answer(message.Verdict.NO_QUEUE)

    def authorize(self, queue, key):
        return model.ANONYMOUS if self.refusal is None else self.refusal

    async def submit(self, queue, job):
        return self.answer

    async def show(self, queue, id):
        return self.answer

    async def cancel(self, queue, id, team):
        return self.answer

    async def count(self, queue):
        return message.Answer(message.Verdict.FOUND, pending=3)


async def request(answer, method, path, body=b"", *, closing=False, ready=True):
    handler = FakeRequestHandler(answer)
    return await request_of(handler, method, path, body, closing=closing, ready=ready)


async def request_of(handler, method, path, body=b"", *, closing=False, ready=True):
    application = ingress.Ingress(handler, lambda: ready, lambda: closing)
    sent = []

    async def receive():
        return {"type": "http.request", "body": body}

    async def send(event):
        sent.append(event)

    scope = {"type": "http", "method": method, "path": path}
    scope["headers"] = [(b"host", b"h.example:80")]
    await application(scope, receive, send)
    headers = dict(sent[0]["headers"])
    return sent[0]["status"], headers, sent[1]["body"]


JOB = orjson.dumps({"spec": "", "steps": [{"count": 1}]})


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("verdict", "status"),
    [
        (message.Verdict.ACCEPTED, 200),
        (message.Verdict.NOT_RUN, 503),
        (message.Verdict.UNKNOWN, 504),
    ],
)
async def test_submission_is_answered_by_its_verdict(verdict, status):
    answer = message.Answer(verdict, retry_after=1.2)

    answered_status, headers, _ = await request(
        answer, "POST", "/p/0123456789abcdef", JOB
    )

    assert answered_status == status
    assert headers[b"Retry-After"] == b"2"


@pytest.mark.anyio
async def test_status_and_body_of_other_answers():
    running = message.Answer(message.Verdict.FOUND, model.JobState.RUNNING)

    assert (await request(running, "GET", "/p/j"))[2] == b'{"state":"running"}'
    assert (await request(running, "GET", "/p/"))[2] == b'{"pending":3}'
    assert (await request(running, "GET", "/other"))[0] == 404
    assert (await request(running, "POST", "/p/j", b"{"))[0] == 400
    assert (await request(running, "POST", "/p/j", b" " * 101))[0] == 400
    gone = message.Answer(message.Verdict.MISSING)
    assert (await request(gone, "DELETE", "/p/j"))[0] == 410


@pytest.mark.anyio
async def test_readiness_and_closing_of_connections():
    answer = message.Answer(message.Verdict.MISSING)

    assert (await request(answer, "GET", "/v1/readiness"))[0] == 200
    assert (await request(answer, "GET", "/v1/readiness", ready=False))[0] == 503
    headers = (await request(answer, "GET", "/p/j", closing=True))[1]
    assert headers[b"Connection"] == b"close"


@pytest.mark.anyio
async def test_every_request_with_an_invalid_key_gets_401_and_the_scheme():
    """Guards against a call that is carried out without a look at its key."""
    handler = FakeRequestHandler(message.Answer(message.Verdict.ACCEPTED))
    handler.refusal = message.Answer(message.Verdict.UNAUTHORIZED)

    calls = [("POST", "/p/j"), ("GET", "/p/j"), ("DELETE", "/p/j"), ("GET", "/p/")]
    for method, path in calls:
        status, headers, _ = await request_of(handler, method, path, JOB)
        assert status == 401
        assert headers[b"WWW-Authenticate"] == b"Token"


@pytest.mark.parametrize(
    ("values", "reason"),
    [
        ([], "no key"),
        ([b""], "malformed credential"),
        ([b"Token"], "malformed credential"),
        ([b"Token  "], "malformed credential"),
        ([b"Bearer key"], "malformed credential"),
        ([b"Token key", b"Token key"], "several credentials"),
        ([b"Token " + b"k" * 10_000], "credential too long"),
    ],
)
def test_credential_that_cannot_be_looked_up_is_told_by_its_reason(values, reason):
    """Guards against a traceback, or a key that is guessed at, for a bad header."""
    headers = [(b"host", b"h"), *((b"authorization", value) for value in values)]

    assert ingress.read_key(headers) == credential.InvalidKey(reason)


def test_key_is_read_as_its_digest():
    """Guards against a key that is kept in the clear."""
    digest = ingress.read_key([(b"authorization", b"token  \xe9key ")])

    assert digest == credential.compute_digest("\xe9key")
    assert b"key" not in digest


def test_teams_of_a_configuration_hold_digests_and_ceilings():
    """Guards against keyed routes that are served as anonymous ones."""
    tenant = {"name": "t", "api_keys": ["k1", "k2"], "weight": 86}
    tenant["ceiling"] = {"cpu": 7000, "mem_mb": 900, "gpus": 0}
    route = {"name": "q", "host": "h", "path_prefix": "/q/", "service": "p"}
    routes = [route, {**route, "allow_anonymous": True}]
    fields = {"version": 1, "routes": routes, "services": [], "tenants": [tenant]}

    catalogue = entries.read_catalogue(orjson.dumps(fields))

    (team,) = catalogue.teams
    assert team.key_digests == {credential.compute_digest(k) for k in ("k1", "k2")}
    assert (team.weight, team.ceiling) == (86, model.Room(7000, 900, 0))
    assert [queue.is_anonymous for queue in catalogue.queues] == [False, True]
    del fields["tenants"]
    without_teams = entries.read_catalogue(orjson.dumps(fields))
    assert all(queue.is_anonymous for queue in without_teams.queues)


@pytest.mark.parametrize(
    "keys", ["secret", ["good", 4711], [["secret"]], {"secret": 1}]
)
def test_invalid_keys_are_rejected_without_being_named(keys):
    """Guards against keys in the log of an invalid configuration, and against a text
    of which each character counts as a key."""
    tenant = {"name": "t", "api_keys": keys}
    fields = {"version": 1, "routes": [], "services": [], "tenants": [tenant]}

    found = entries.read_catalogue(orjson.dumps(fields))

    assert isinstance(found, entries.InvalidEntry)
    assert not any(text in found.reason for text in ("secret", "good", "4711"))
