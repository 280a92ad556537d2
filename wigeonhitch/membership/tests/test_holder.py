"""Tests of the task that holds duties, with a fake platform."""

import anyio
import pytest

from standins import fake
from wigeonhitch.membership import duty, holder

LIMITS = duty.Limits(lease=0.6, margin=0.1, rank_delay=0.02, min_renewal_interval=0.02)
TICK = 0.01


@pytest.fixture
async def platform(anyio_backend):
    """A fake platform with a running clock."""
    platform_fake = fake.Fake(suspends=True)

    async def run():
        while True:
            await anyio.sleep(TICK)
            platform_fake.advance(TICK)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run)
        yield platform_fake
        tasks.cancel_scope.cancel()


@pytest.fixture
async def start(platform):
    """Return a function that starts the holder of one daemon."""
    async with anyio.create_task_group() as tasks:

        async def start(name, **fields):
            duty_holder = holder.Holder(
                platform.build_client(name),
                name,
                fields=lambda: fields,
                clock=lambda: platform.now,
                limits=LIMITS,
            )
            duty_holder.want("fleet")
            await tasks.start(duty_holder.run)
            return duty_holder

        yield start
        tasks.cancel_scope.cancel()


async def wait_for(check):
    with anyio.fail_after(10):
        while not check():
            await anyio.sleep(TICK)


@pytest.mark.anyio
async def test_a_disconnected_holder_is_replaced(platform, start):
    first = await start("d1", address="h:1")
    await wait_for(lambda: first.current("fleet"))
    fence = first.current("fleet").fence
    second = await start("d2")
    await wait_for(lambda: second.daemons.get("d1", {}).get("address") == "h:1")
    platform.switch(cut=["d1"])
    await wait_for(lambda: second.current("fleet"))
    assert first.current("fleet") is None
    assert not first.is_live
    assert second.current("fleet").fence > fence


@pytest.mark.anyio
async def test_a_leaving_holder_releases_its_duty_and_deletes_its_row(platform, start):
    first = await start("d1")
    await wait_for(lambda: first.current("fleet"))
    second = await start("d2")
    assert await first.leave(5.0)
    await wait_for(lambda: second.current("fleet"))
    await wait_for(lambda: list(second.daemons) == ["d2"])
