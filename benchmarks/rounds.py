"""Cost of one round of the fleet runner by fleet size.

Measures processor time of the decisions, memory of rows and VM list, and reads
and commits of the real runner against the fake platform. Run it as
``python -m benchmarks.rounds``.
"""

import functools
import operator
import time
import tracemalloc

import anyio

from benchmarks import fleet
from standins import fake
from wigeonhitch.fleet import batch, move, observer, runner, state, wave
from wigeonhitch.membership import lease
from wigeonhitch.platform import table

ROUND_COUNT = 20


def measure_cost() -> None:
    """Print processor time of a round and memory of the view by size."""
    print("\ncost: processor time of a round, memory of rows and list")
    fleet.print_row(("VMs", "pools", "ms/round", "KB", "KB/VM"), (6, 6, 9, 8, 6))
    for pools in (32, 64, 128):
        layout = fleet.Layout("", (5,) * (pools * 3 // 4) + (6,) * (pools // 4), 1, 0)
        tracemalloc.start()
        loop = fleet.EventLoop(layout, batch.pick_stops, 1)
        used_kb = tracemalloc.get_traced_memory()[0] / 1024
        tracemalloc.stop()
        loop.cpu_seconds, loop.rounds = 0.0, 0
        for _ in range(ROUND_COUNT):
            loop.run_round()
        round_ms = loop.cpu_seconds / loop.rounds * 1e3
        cells = layout.vms, pools, f"{round_ms:.1f}", f"{used_kb:.0f}"
        fleet.print_row((*cells, f"{used_kb / layout.vms:.2f}"), (6, 6, 9, 8, 6))


def measure_waves() -> None:
    """Print processor time of a round at 800 VMs by number of running waves."""
    print("\n800 VMs, 128 pools: processor time of a round by running waves")
    fleet.print_row(("waves", "ms/round"), (6, 9))
    layout = fleet.Layout("", (5,) * 96 + (6,) * 32, 1, 0)
    for count in (1, 32, 128):
        loop = fleet.EventLoop(layout, batch.pick_stops, 1)
        names = [pool.name for pool in loop.document.pools]
        pools_per_wave = len(names) // count
        template = loop.document.waves[0]
        waves = tuple(
            template._replace(
                name=f"w{number}", pools=tuple(names[number::count][:pools_per_wave])
            )
            for number in range(count)
        )
        loop.document = loop.document._replace(waves=waves)
        running = state.WaveStatus.RUNNING
        loop.view.waves = {
            item.name: state.WaveRow(item.name, running) for item in waves
        }
        snapshot = loop.build_snapshot()
        started_at = time.process_time()
        for _ in range(ROUND_COUNT):
            observer.list_vms_to_check(snapshot)
            wave.advance(snapshot)
            move.assign_vms(snapshot)
            move.pick_moves(snapshot)
            batch.pick_stops(snapshot)
            batch.list_finished(snapshot)
        round_ms = (time.process_time() - started_at) / ROUND_COUNT * 1e3
        fleet.print_row((count, f"{round_ms:.1f}"), (6, 9))


class PermanentLeases:
    """Leases of a daemon that always holds every duty."""

    def current(self, duty: str) -> lease.Lease:
        """Return a lease that does not lapse."""
        return lease.Lease(duty, 1, 1e12)


async def run_round(fleet_runner: runner.Runner, platform: fake.Fake) -> list[float]:
    """Run one round; return reads, commits and processor time in ms."""
    counters = platform.engine.counters
    before = [sum(counters[kind].values()) for kind in ("reads", "writes")]
    started_at = time.process_time()
    await fleet_runner.step()
    cpu_seconds = time.process_time() - started_at
    after = [sum(counters[kind].values()) for kind in ("reads", "writes")]
    return [
        *(later - earlier for earlier, later in zip(before, after, strict=True)),
        cpu_seconds * 1e3,
    ]


async def measure_reads() -> None:
    """Print reads, commits and time per round of the real runner."""
    print("\nrounds of the runner: reads, commits, ms of processor time (with fake)")
    widths = (6, 22, 6, 8, 7)
    fleet.print_row(("VMs", "round", "reads", "commits", "ms"), widths)
    for pools in (32, 64, 128):
        layout = fleet.Layout("", (5,) * (pools * 3 // 4) + (6,) * (pools // 4), 1, 0)
        loop = fleet.EventLoop(layout, batch.pick_stops, 1)
        machines = [machine._asdict() for machine in loop.machines.values()]
        for machine_fields in machines:
            del machine_fields["state"]
        platform = fake.Fake(machines)
        duty_row = [table.Condition("duty/fleet", 0)], [table.Write("duty/fleet", {})]
        await platform.table.commit(*duty_row, purpose="test")
        client = platform.client

        async def check(address: str) -> bool:
            return bool(address)

        clock = functools.partial(operator.attrgetter("now"), platform)
        dependencies = observer.Platform(client, client, check, clock)
        fleet_runner = runner.Runner(
            observer.Observer(dependencies),
            PermanentLeases(),
            lambda loop=loop: loop.document,
        )
        for _ in range(layout.vms // move.MAX_ASSIGNMENTS_PER_ROUND + 2):
            await fleet_runner.step()
        rows = [("nothing changed", await run_round(fleet_runner, platform))]
        platform.now += observer.MAX_LIST_INTERVAL_SECONDS
        rows.append(("with the VM list", await run_round(fleet_runner, platform)))
        single_pool_wave = loop.document.waves[0]._replace(pools=("p000",))
        loop.document = loop.document._replace(waves=(single_pool_wave,))
        wave_writes = [
            table.Write("wave/w", {"status": "running"}),
            table.Write(state.SIGNAL, {}),
        ]
        await platform.table.commit(
            [table.Condition("wave/w", 0)], wave_writes, purpose="test"
        )
        rows.append(("one stop begins", await run_round(fleet_runner, platform)))
        rows.append(("one stop under way", await run_round(fleet_runner, platform)))
        for label, cells in rows:
            formatted = (int(cells[0]), int(cells[1]), f"{cells[2]:.1f}")
            fleet.print_row((layout.vms, label, *formatted), widths)


if __name__ == "__main__":
    measure_cost()
    measure_waves()
    anyio.run(measure_reads)
