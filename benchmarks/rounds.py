"""Cost of one round of the fleet's runner, by size of the fleet.

Processor time of the decisions, memory of rows and VM list, and reads and
commits of the real runner against the fake platform. Run it as
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

ROUNDS = 20


def run_cost() -> None:
    """Print processor time of a round and memory of the view, by size."""
    print("\ncost: processor time of a round, memory of rows and list")
    fleet.print_row(("VMs", "pools", "ms/round", "KB", "KB/VM"), (6, 6, 9, 8, 6))
    for pools in (32, 64, 128):
        layout = fleet.Layout("", (5,) * (pools * 3 // 4) + (6,) * (pools // 4), 1, 0)
        tracemalloc.start()
        loop = fleet.Loop(layout, batch.pick_stops, 1)
        used = tracemalloc.get_traced_memory()[0] / 1024
        tracemalloc.stop()
        loop.spent, loop.rounds = 0.0, 0
        for _ in range(ROUNDS):
            loop.run_round()
        cost = loop.spent / loop.rounds * 1e3
        cells = layout.vms, pools, f"{cost:.1f}", f"{used:.0f}"
        fleet.print_row((*cells, f"{used / layout.vms:.2f}"), (6, 6, 9, 8, 6))


def run_waves() -> None:
    """Print processor time of the decisions at 800 VMs, by running waves."""
    print("\n800 VMs, 128 pools: processor time of a round by running waves")
    fleet.print_row(("waves", "ms/round"), (6, 9))
    layout = fleet.Layout("", (5,) * 96 + (6,) * 32, 1, 0)
    for count in (1, 32, 128):
        loop = fleet.Loop(layout, batch.pick_stops, 1)
        names = [pool.name for pool in loop.accepted.pools]
        each = len(names) // count
        first = loop.accepted.waves[0]
        waves = tuple(
            first._replace(name=f"w{number}", pools=tuple(names[number::count][:each]))
            for number in range(count)
        )
        loop.accepted = loop.accepted._replace(waves=waves)
        running = state.WaveStatus.RUNNING
        loop.view.waves = {
            item.name: state.WaveRow(item.name, running) for item in waves
        }
        scene = loop.make_scene()
        begin = time.process_time()
        for _ in range(ROUNDS):
            observer.list_vms_to_check(scene)
            wave.advance(scene)
            move.assign_vms(scene)
            move.pick_moves(scene)
            batch.pick_stops(scene)
            batch.list_finished(scene)
        spent = (time.process_time() - begin) / ROUNDS * 1e3
        fleet.print_row((count, f"{spent:.1f}"), (6, 9))


class Holder:
    """Leases of a daemon that holds every duty."""

    def current(self, duty: str) -> lease.Lease:
        """Return a lease on the version of the duty's row."""
        return lease.Lease(duty, 1, 1e12)


async def run_round(made: runner.Runner, platform: fake.Fake) -> list[float]:
    """Run one round; return reads, commits and processor time in ms."""
    counters = platform.engine.counters
    before = [sum(counters[kind].values()) for kind in ("reads", "writes")]
    begin = time.process_time()
    await made.step()
    spent = time.process_time() - begin
    after = [sum(counters[kind].values()) for kind in ("reads", "writes")]
    return [*(b - a for a, b in zip(before, after, strict=True)), spent * 1e3]


async def run_reads() -> None:
    """Print what rounds of the real runner cost against the fake platform."""
    print("\nrounds of the runner: reads, commits, ms of processor time (with fake)")
    widths = (6, 22, 6, 8, 7)
    fleet.print_row(("VMs", "round", "reads", "commits", "ms"), widths)
    for pools in (32, 64, 128):
        layout = fleet.Layout("", (5,) * (pools * 3 // 4) + (6,) * (pools // 4), 1, 0)
        loop = fleet.Loop(layout, batch.pick_stops, 1)
        fields = [one._asdict() for one in loop.machines.values()]
        for one in fields:
            del one["state"]
        platform = fake.Fake(fields)
        first = [table.Condition("duty/fleet", 0)], [table.Write("duty/fleet", {})]
        await platform.table.commit(*first, purpose="test")
        client = platform.client

        async def check(address: str) -> bool:
            return bool(address)

        clock = functools.partial(operator.attrgetter("now"), platform)
        calls = observer.Platform(client, client, check, clock)
        made = runner.Runner(
            observer.Observer(calls), Holder(), lambda made=loop: made.accepted
        )
        for _ in range(layout.vms // move.MAX_ASSIGNMENTS_PER_ROUND + 2):
            await made.step()
        rows = [("nothing changed", await run_round(made, platform))]
        platform.now += observer.MAX_LIST_INTERVAL_SECONDS
        rows.append(("with the VM list", await run_round(made, platform)))
        small = loop.accepted.waves[0]._replace(pools=("p000",))
        loop.accepted = loop.accepted._replace(waves=(small,))
        begun = [
            table.Write("wave/w", {"status": "running"}),
            table.Write(state.SIGNAL, {}),
        ]
        await platform.table.commit(
            [table.Condition("wave/w", 0)], begun, purpose="test"
        )
        rows.append(("one stop begins", await run_round(made, platform)))
        rows.append(("one stop under way", await run_round(made, platform)))
        for label, cells in rows:
            shown = (int(cells[0]), int(cells[1]), f"{cells[2]:.1f}")
            fleet.print_row((layout.vms, label, *shown), widths)


if __name__ == "__main__":
    run_cost()
    run_waves()
    anyio.run(run_reads)
