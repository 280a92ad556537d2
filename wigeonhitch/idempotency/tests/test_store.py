"""The claims task against the fake platform."""

import random

import anyio
import pytest

from standins import fake
from wigeonhitch import verdict
from wigeonhitch.idempotency import batch, decision, record, store

ANSWER = record.KeptAnswer(201, (("content-type", "text/plain"),), b"matched")
LARGE = ANSWER._replace(body=b"x" * (store.INLINE_LIMIT + 1))
LIMITS = batch.Limits(rate=1000.0, burst=100.0)


@pytest.fixture
def platform():
    return fake.Fake(suspends=True)


@pytest.fixture
async def daemons(platform, anyio_backend):
    """Two daemons' claims, running."""
    both = [
        store.Claims(
            platform.build_client(name),
            platform.objects,
            name,
            rng=random.Random(7),
            limits=LIMITS,
        )
        for name in ("d1", "d2")
    ]
    async with anyio.create_task_group() as tasks:
        for claims in both:
            await tasks.start(claims.run)
        yield both
        tasks.cancel_scope.cancel()


async def wait_for(counts, name):
    with anyio.fail_after(5):
        while not counts[name]:
            await anyio.sleep(0.005)


async def ask(claims, key="k", fingerprint="print"):
    return await claims.acquire("pairing", key, fingerprint, timeout=3.0)


@pytest.mark.anyio
@pytest.mark.parametrize("answer", [ANSWER, LARGE], ids=["small", "large"])
async def test_a_repeat_at_another_daemon_gets_the_whole_kept_answer(daemons, answer):
    first, second = daemons
    granted = await ask(first)
    assert granted.kind is decision.Kind.GRANTED
    assert first.may_send(granted.claim)
    await first.complete(granted.claim, answer)
    replayed = await ask(second)
    assert replayed.kind is decision.Kind.REPLAYED
    assert replayed.answer == answer
    assert replayed.caller_verdict == verdict.ran(verdict.Reason.REPLAYED)


@pytest.mark.anyio
async def test_a_repeat_of_an_unknown_fate_is_never_sent(daemons):
    first, second = daemons
    granted = await ask(first)
    await first.doubt(granted.claim)
    refused = await ask(second)
    assert (
        refused.caller_verdict[:2] == verdict.may_have_run(verdict.Reason.CLAIMED)[:2]
    )
    spread = (decision.RETURN_FROM, decision.RETURN_UNTIL)
    assert spread[0] <= refused.caller_verdict.retry_after <= spread[1]


@pytest.mark.anyio
async def test_a_released_key_is_granted_again(daemons):
    first, second = daemons
    await first.release((await ask(first)).claim)
    await wait_for(first.counts, "kept released")
    assert (await ask(second)).kind is decision.Kind.GRANTED


@pytest.mark.anyio
async def test_a_key_of_another_request_is_refused(daemons):
    first, second = daemons
    await ask(first)
    refused = await ask(second, fingerprint="other")
    assert refused.caller_verdict == verdict.not_run(verdict.Reason.KEY_REUSED)


@pytest.mark.anyio
async def test_a_store_that_is_down_refuses_and_a_claim_works_afterwards(
    platform, daemons
):
    first = daemons[0]
    await ask(first, "before")
    platform.switch(down=True)
    refused = await ask(first)
    assert refused.caller_verdict.ran is verdict.Ran.NO
    assert refused.caller_verdict.reason is verdict.Reason.STORE_UNAVAILABLE
    assert refused.caller_verdict.retry_after >= 1.0
    platform.switch(down=False)
    with anyio.fail_after(5):
        while (await ask(first)).kind is not decision.Kind.GRANTED:
            await anyio.sleep(0.05)


@pytest.mark.anyio
async def test_claims_of_one_moment_share_writes_and_one_conflict_fails_alone(
    platform, daemons
):
    first, second = daemons
    await ask(second, "k3")
    kinds = {}

    async def note(key):
        kinds[key] = (await ask(first, key)).kind

    before = first.counts["table writes"]
    async with anyio.create_task_group() as tasks:
        for index in range(20):
            tasks.start_soon(note, f"k{index}")
    refused = [key for key in kinds if kinds[key] is not decision.Kind.GRANTED]
    assert refused == ["k3"]
    assert first.counts["table writes"] - before <= 4


@pytest.mark.anyio
async def test_a_caller_that_leaves_frees_its_key(daemons):
    first, second = daemons
    with anyio.CancelScope() as scope:
        scope.cancel()
        await ask(first)
    await anyio.sleep(0.02)
    assert (await ask(second)).kind is decision.Kind.GRANTED


@pytest.mark.anyio
@pytest.mark.parametrize("answer", [ANSWER, LARGE], ids=["small", "large"])
async def test_a_daemon_that_stops_writes_its_answers_first(platform, daemons, answer):
    first = daemons[0]
    await first.complete((await ask(first)).claim, answer)
    assert await first.flush(5.0)
    (row,) = platform.engine.store.scan("claim/", 0)
    assert row.value["state"] == "answered"


@pytest.mark.anyio
async def test_a_daemon_that_stops_does_not_wait_for_a_store_that_is_down(
    platform, daemons
):
    first = daemons[0]
    granted = await ask(first)
    platform.switch(down=True)
    await first.complete(granted.claim, ANSWER)
    assert not await first.flush(0.2)


@pytest.mark.anyio
async def test_a_key_of_one_team_is_free_for_another(daemons):
    first, second = daemons
    one = await first.acquire("s", "k", "print", timeout=3.0, team="a")
    other = await second.acquire("s", "k", "print", timeout=3.0, team="b")
    assert one.kind is other.kind is decision.Kind.GRANTED


@pytest.mark.anyio
async def test_a_kept_body_that_cannot_be_read_is_never_sent_again(platform, daemons):
    first, second = daemons
    await first.complete((await ask(first)).claim, LARGE)
    assert await first.flush(5.0)
    platform.engine.store.objects.clear()
    refused = await ask(second)
    assert refused.kind is decision.Kind.REFUSED
    assert refused.caller_verdict.ran is verdict.Ran.MAYBE
