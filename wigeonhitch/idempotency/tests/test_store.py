"""Tests of the claims task with a fake platform."""

import random

import anyio
import pytest

from standins import fake
from wigeonhitch import verdict
from wigeonhitch.idempotency import batch, decision, record, store

ANSWER = record.KeptAnswer(201, (("content-type", "text/plain"),), b"matched")
LARGE = ANSWER._replace(body=b"x" * (store.MAX_INLINE_BODY_BYTES + 1))
LIMITS = batch.Limits(rate=1000.0, burst=100.0)


@pytest.fixture
def platform():
    return fake.Fake(suspends=True)


@pytest.fixture
async def daemons(platform, anyio_backend):
    """The running claims tasks of two daemons."""
    claims_pair = [
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
        for claims in claims_pair:
            await tasks.start(claims.run)
        yield claims_pair
        tasks.cancel_scope.cancel()


async def wait_for(counts, name):
    with anyio.fail_after(5):
        while not counts[name]:
            await anyio.sleep(0.005)


async def ask(claims, key="k", fingerprint="print"):
    return await claims.acquire("pairing", key, fingerprint, timeout=3.0)


@pytest.mark.anyio
@pytest.mark.parametrize("answer", [ANSWER, LARGE], ids=["small", "large"])
async def test_a_repeat_at_another_daemon_gets_the_complete_kept_answer(
    daemons, answer
):
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
async def test_a_repeat_of_a_request_of_unknown_outcome_is_never_sent(daemons):
    first, second = daemons
    granted = await ask(first)
    await first.doubt(granted.claim)
    refused = await ask(second)
    assert (
        refused.caller_verdict[:2] == verdict.may_have_run(verdict.Reason.CLAIMED)[:2]
    )
    spread = (decision.MIN_RETRY_AFTER_SECONDS, decision.MAX_RETRY_AFTER_SECONDS)
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
async def test_claims_are_refused_while_the_store_is_down_and_granted_afterwards(
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
async def test_concurrent_claims_share_writes_and_only_the_conflicting_one_fails(
    platform, daemons
):
    first, second = daemons
    await ask(second, "k3")
    kinds = {}

    async def acquire_key(key):
        kinds[key] = (await ask(first, key)).kind

    before = first.counts["table writes"]
    async with anyio.create_task_group() as tasks:
        for index in range(20):
            tasks.start_soon(acquire_key, f"k{index}")
    refused = [key for key in kinds if kinds[key] is not decision.Kind.GRANTED]
    assert refused == ["k3"]
    assert first.counts["table writes"] - before <= 4


@pytest.mark.anyio
async def test_a_cancelled_caller_releases_its_key(daemons):
    first, second = daemons
    with anyio.CancelScope() as scope:
        scope.cancel()
        await ask(first)
    await anyio.sleep(0.02)
    assert (await ask(second)).kind is decision.Kind.GRANTED


@pytest.mark.anyio
@pytest.mark.parametrize("answer", [ANSWER, LARGE], ids=["small", "large"])
async def test_a_stopping_daemon_writes_its_answers_first(platform, daemons, answer):
    first = daemons[0]
    await first.complete((await ask(first)).claim, answer)
    assert await first.flush(5.0)
    (row,) = platform.engine.store.scan("claim/", 0)
    assert row.value["state"] == "answered"


@pytest.mark.anyio
async def test_a_stopping_daemon_does_not_wait_for_an_unavailable_store(
    platform, daemons
):
    first = daemons[0]
    granted = await ask(first)
    platform.switch(down=True)
    await first.complete(granted.claim, ANSWER)
    assert not await first.flush(0.2)


@pytest.mark.anyio
async def test_two_teams_can_claim_the_same_key(daemons):
    first, second = daemons
    granted = await first.acquire("s", "k", "print", timeout=3.0, team="a")
    other = await second.acquire("s", "k", "print", timeout=3.0, team="b")
    assert granted.kind is other.kind is decision.Kind.GRANTED


@pytest.mark.anyio
async def test_a_kept_body_that_cannot_be_read_is_never_sent_again(platform, daemons):
    first, second = daemons
    await first.complete((await ask(first)).claim, LARGE)
    assert await first.flush(5.0)
    platform.engine.store.objects.clear()
    refused = await ask(second)
    assert refused.kind is decision.Kind.REFUSED
    assert refused.caller_verdict.ran is verdict.Ran.MAYBE
