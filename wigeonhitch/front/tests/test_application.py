import anyio
import pytest

from wigeonhitch import verdict
from wigeonhitch.front import reply, sender

pytestmark = pytest.mark.anyio

LOST = sender.Result(verdict.may_have_run(verdict.Reason.BROKEN_ANSWER))
REFUSED = sender.Result(verdict.not_run(verdict.Reason.WORKER_REFUSED))
KEYED = {"idempotency-key": "k1"}


async def test_whole_answer_carries_the_verdict(front):
    answer = await front.ask("POST", body=b"mine")
    assert (answer.status, answer.body) == (200, b'{"echo": "mine"}')
    assert answer.headers["wigeonhitch-verdict"] == "ran"


async def test_lost_answer_of_an_idempotent_request_is_sent_again(front):
    front.sender.results = [LOST]
    assert (await front.ask("GET")).status == 200
    assert len(front.sender.sent) == 2


async def test_lost_answer_without_a_key_is_never_sent_again(front):
    front.sender.results = [LOST]
    answer = await front.ask("POST")
    assert (answer.status, answer.headers["wigeonhitch-verdict"]) == (
        504,
        "may have run",
    )
    assert len(front.sender.sent) == 1


async def test_refused_request_without_a_key_is_sent_again(front):
    front.sender.results = [REFUSED]
    assert (await front.ask("POST")).status == 200
    assert len(front.sender.sent) == 2


async def test_repeat_of_a_key_gets_the_kept_answer(front):
    first = await front.ask("POST", body=b"a", headers=KEYED)
    again = await front.ask("POST", body=b"a", headers=KEYED)
    assert again.body == first.body
    assert again.headers["wigeonhitch-reason"] == verdict.Reason.REPLAYED.value
    assert len(front.sender.sent) == 1


async def test_key_of_another_request_is_refused(front):
    await front.ask("POST", body=b"a", headers=KEYED)
    answer = await front.ask("POST", body=b"b", headers=KEYED)
    assert (answer.status, answer.headers["wigeonhitch-verdict"]) == (422, "not run")


async def test_key_whose_answer_was_lost_is_never_sent_again(front):
    front.sender.results = [LOST]
    first = await front.ask("POST", headers=KEYED)
    again = await front.ask("POST", headers=KEYED)
    for answer in (first, again):
        assert answer.headers["wigeonhitch-verdict"] == "may have run"
    assert len(front.sender.sent) == 1


async def test_key_of_a_request_that_did_not_run_is_released(front):
    front.may_send = False
    assert (await front.ask("POST", headers=KEYED)).status == 503
    front.may_send = True
    assert (await front.ask("POST", headers=KEYED)).status == 200


async def test_nothing_is_sent_after_the_right_to_send_has_lapsed(front):
    front.may_send = False
    answer = await front.ask("POST")
    assert answer.headers["wigeonhitch-verdict"] == "not run"
    assert front.sender.sent == []


async def test_store_down_refuses_keyed_and_serves_idempotent_requests(front):
    front.platform.switch(down=True)
    keyed = await front.ask("POST", headers=KEYED)
    assert (keyed.status, keyed.headers["wigeonhitch-verdict"]) == (503, "not run")
    assert int(keyed.headers["retry-after"]) >= 1
    assert (await front.ask("GET")).status == 200


async def test_caller_that_disconnects_ends_its_attempt(front):
    front.sender.release = anyio.Event()
    left = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(lambda: front.ask("GET", left=left))
        await anyio.wait_all_tasks_blocked()
        assert front.dispatch.held_requests == 1
        left.set()
    assert front.dispatch.held_requests == 0


async def test_keyed_attempt_continues_after_its_caller_disconnects(front):
    front.sender.release = anyio.Event()
    left = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(lambda: front.ask("POST", body=b"a", headers=KEYED, left=left))
        while not front.sender.sent:
            await anyio.sleep(0.001)
        left.set()
        await anyio.wait_all_tasks_blocked()
        front.sender.release.set()
    again = await front.ask("POST", body=b"a", headers=KEYED)
    assert again.headers["wigeonhitch-verdict"] == "ran"
    assert len(front.sender.sent) == 1


@pytest.mark.parametrize("deadline", ["soon", "-1", "nan", "inf"])
async def test_invalid_deadline_is_refused_without_sending(front, deadline):
    answer = await front.ask(headers={"wigeonhitch-deadline": deadline})
    assert (answer.status, answer.headers["wigeonhitch-verdict"]) == (400, "not run")
    assert front.sender.sent == []


@pytest.mark.parametrize(
    ("path", "status"), [("/nothing/x", 404), ("/-/health", 200), ("/-/ready", 200)]
)
async def test_paths_served_without_a_worker(front, path, status):
    assert (await front.ask(path=path)).status == status


async def test_daemon_that_is_not_ready_refuses_with_this_reason(front):
    front.ready = False
    assert (await front.ask(path="/-/ready")).status == 503
    answer = await front.ask()
    assert answer.headers["wigeonhitch-reason"] == verdict.Reason.NOT_READY.value


async def test_internal_error_is_never_reported_as_not_run(front):
    async def fail(attempt):
        raise ZeroDivisionError

    front.sender.send = fail
    answer = await front.ask("POST")
    assert (answer.status, answer.headers["wigeonhitch-verdict"]) == (
        504,
        "may have run",
    )
    assert front.dispatch.held_requests == 0


async def test_trace_context_is_forwarded_to_the_worker(front):
    context = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
    await front.ask(headers={"traceparent": context, "connection": "close"})
    headers = dict(front.sender.sent[0].headers)
    assert headers["traceparent"] == context
    assert "connection" not in headers


def test_every_reason_has_an_answer_that_states_its_verdict():
    for reason in verdict.Reason:
        for result in (verdict.not_run(reason, 1.0), verdict.may_have_run(reason)):
            answer = reply.make_refusal(result)
            assert answer.status >= 400
            assert (reply.VERDICT_HEADER, result.ran.value) in answer.headers
