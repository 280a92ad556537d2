import anyio
import pytest

from wigeonhitch.placement import job, runner, signal


@pytest.mark.anyio
async def test_the_runner_holds_its_duties_and_releases_them(world, monkeypatch):
    monkeypatch.setattr("wigeonhitch.placement.runner.POLL_SECONDS", 0.001)
    platform = world.get_controller("d1")._platform
    world.submit("one")
    shard_runner = runner.Runner(platform, shards=1)
    with anyio.fail_after(10):
        async with anyio.create_task_group() as group:
            group.start_soon(shard_runner.run)
            while world.read_job("one").state is not job.JobState.FINISHED:
                world.fake.advance(0.5)
                await anyio.sleep(0.002)
            group.cancel_scope.cancel()
    assert platform.leases.held == {}
    assert shard_runner.counters["takeovers"] == 1


@pytest.mark.anyio
async def test_an_idle_shard_reads_only_signals_until_a_job_arrives(world, monkeypatch):
    monkeypatch.setattr("wigeonhitch.placement.runner.POLL_SECONDS", 0.001)
    platform = world.get_controller("d1")._platform
    shard_runner = runner.Runner(platform, shards=1)
    scan = platform.table.scan
    scanned = []

    async def record(prefix, **fields):
        scanned.append(prefix)
        return await scan(prefix, **fields)

    async def run_job(name):
        world.submit(name)
        while world.read_job(name).state is not job.JobState.FINISHED:
            world.fake.advance(0.5)
            await anyio.sleep(0.002)

    monkeypatch.setattr(platform.table, "scan", record)
    with anyio.fail_after(10):
        async with anyio.create_task_group() as group:
            group.start_soon(shard_runner.run)
            await run_job("one")
            await anyio.sleep(0.01)
            scanned.clear()
            while len(scanned) < 20:
                world.fake.advance(0.5)
                await anyio.sleep(0.002)
            assert set(scanned) == {signal.PREFIX}
            await run_job("two")
            group.cancel_scope.cancel()
