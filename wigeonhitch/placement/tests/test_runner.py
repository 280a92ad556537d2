import anyio
import pytest

from wigeonhitch.placement import job, runner


@pytest.mark.anyio
async def test_the_runner_keeps_its_duties_and_releases_them(world, monkeypatch):
    monkeypatch.setattr("wigeonhitch.placement.keeper.POLL", 0.001)
    platform = world.keep("d1")._platform
    world.submit("one")
    subject = runner.Runner(platform, shards=1)
    with anyio.fail_after(10):
        async with anyio.create_task_group() as group:
            group.start_soon(subject.run)
            while world.read_job("one").state is not job.JobState.FINISHED:
                world.fake.advance(0.5)
                await anyio.sleep(0.002)
            group.cancel_scope.cancel()
    assert platform.leases.held == {}
    assert subject.counters["takeovers"] == 1
