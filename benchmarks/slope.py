"""Slopes of the control decisions over the number of daemons, without I/O.

Runs the membership and duty decisions of a whole system in one process on a
set clock, at five sizes up to the target's 220 daemons. Bytes are those of the
encoded heartbeats and of the rows as the platform answers them in JSON, without
TCP and HTTP headers; processor time is that of one daemon's decisions alone.

Run ``python -m benchmarks.slope``; ``--json FILE`` keeps the figures.
"""

import argparse
import json
import pathlib
import time
from typing import Any

from benchmarks import platform
from standins import platformtable
from wigeonhitch.membership import core, duty, message
from wigeonhitch.placement import view as placement_view
from wigeonhitch.platform import table
from wigeonhitch.wire import codec

SIZES = (9, 30, 60, 120, 220)
BEAT_SECONDS = 30  # of set time, after as long for start-up
DUTY_SECONDS = 110  # two readings of all rows at 220 daemons; after as long
REGISTRY = codec.Registry({"heartbeat": message.Heartbeat})
DUTIES = (
    "fleet",
    "sweep",
    *(placement_view.duty_name(shard) for shard in range(placement_view.SHARDS)),
)


class Beats:
    """Heartbeats of a whole system, and what they cost."""

    def __init__(self, count: int) -> None:
        peers = [
            core.Peer(
                f"entry-{number:03}-a", f"10.0.{number}.7:7000", f"entry-{number}", "dc"
            )
            for number in range(count)
        ]
        self.members = [
            core.Members(one, core.Limits(), index, 0.0)
            for index, one in enumerate(peers)
        ]
        self.by_name = {one.me.daemon: one for one in self.members}
        for one in self.members:
            one.update_members(peers, 0.0)
        self.size = 0
        self.sent = 0
        self.spent = 0.0

    def run(self, now: float) -> None:
        """Let one period pass."""
        for one in self.members:
            began = time.process_time()
            actions = one.tick(now)
            self.spent += time.process_time() - began
            for action in actions:
                if isinstance(action, core.SendHeartbeat):
                    self._deliver(one, action, now)

    def _deliver(
        self, sender: core.Members, action: core.SendHeartbeat, now: float
    ) -> None:
        began = time.process_time()
        frame = codec.encode(REGISTRY, sender.me.daemon, action.heartbeat)
        received = codec.decode(REGISTRY, frame[codec.HEADER_SIZE :])
        self.by_name[action.peer.daemon].receive_heartbeat(received.message, now)
        self.spent += time.process_time() - began
        self.size += len(frame)
        self.sent += 1


class Reader:
    """The platform's table for `benchmarks.platform.step_duties`, counted."""

    def __init__(self) -> None:
        self.rows = platformtable.Store()
        self.size = self.reads = self.writes = 0

    @property
    def revision(self) -> int:
        """Revision of the table."""
        return self.rows.revision

    def scan(self, prefix: str, since: int) -> list[table.Row]:
        """Count a scan."""
        return self._count(self.rows.scan(prefix, since))

    def read(self, keys: list[str]) -> list[table.Row]:
        """Count a read; one without keys isn't sent."""
        return self._count(self.rows.read(keys)) if keys else []

    def commit(self, conditions: Any, writes: Any, token: str, now: float) -> Any:
        """Count a commit of a daemon's row, with the fields of a real one."""
        self.writes += 1
        fields = {
            "address": "10.0.12.7:7000",
            "http": "10.0.12.7:8080",
            "vm": "entry-012",
            "data_centre": "altiplano-1",
            "drain": 123456,
            "busy": [],
            "version": 4321,
            "registered": 220,
            "relayed": {},
        }
        full = [
            one._replace(value={**fields, **one.value})
            if one.value and one.key.startswith("daemon/")
            else one
            for one in writes
        ]
        return self.rows.commit(conditions, full, f"{now:032.3f}", now)

    def _count(self, rows: list[table.Row]) -> list[table.Row]:
        body = {"rows": rows, "time": 1764547200.123, "revision": self.revision}
        self.size += len(json.dumps(body, separators=(",", ":")))
        self.reads += 1
        return rows


def measure_beats(count: int) -> dict[str, float]:
    """Return heartbeats, bytes and processor time per daemon and second."""
    system = Beats(count)
    for second in range(1, BEAT_SECONDS):
        system.run(float(second))
    system.size, system.sent, system.spent = 0, 0, 0.0
    for second in range(BEAT_SECONDS, 2 * BEAT_SECONDS):
        system.run(float(second))
    per = count * BEAT_SECONDS
    alive = min(len(one.find_alive(2 * BEAT_SECONDS - 1)) for one in system.members)
    return {
        "sent": system.sent / per,
        "bytes": system.size / per,
        "us": system.spent / per * 1e6,
        "alive": alive / count,
    }


def measure_duties(count: int, look: float) -> dict[str, float]:
    """Return what one daemon reads and spends for all duties a second."""
    rows = Reader()
    limits = duty.Limits(read_interval_per_daemon=look)
    daemons = [duty.Duties(f"entry-{number:03}-a", limits) for number in range(count)]
    for one in daemons:
        for name in DUTIES:
            one.want(name)
    spent = 0.0
    for half in range(4 * DUTY_SECONDS):
        if half == 2 * DUTY_SECONDS:
            rows.size = rows.reads = rows.writes = 0
            spent = 0.0
        for index, one in enumerate(daemons):
            began = time.process_time()
            platform.step_duties(one, rows, half / 2 + index / count / 2)
            spent += time.process_time() - began
    per = count * DUTY_SECONDS
    return {
        "bytes": rows.size / per,
        "reads": rows.reads / per,
        "writes": rows.writes / per,
        "us": spent / per * 1e6,
    }


def measure_claims(daemons: int, rate: float) -> tuple[platform.Run, float]:
    """Return one daemon's claims at its share, and its table writes a second."""
    bench = platform.Bench(platform.batch.DEFAULT_LIMITS, 0.002, 1)
    bench.core.budget.set_daemon_count(daemons)
    done = bench.run(rate)
    return done, done.writes / platform.SECONDS


def print_claims() -> None:
    """Print waits of granted claims at the shares of several systems."""
    print(f"\nClaims of one daemon at its share, {platform.SECONDS:.0f} s, ", end="")
    print("answers of the table after 2 ms; waits before work, ms")
    print(f"{'daemons':>8}{'keyed/s':>9}{'granted':>9}{'p50':>7}{'p99':>7}", end="")
    print(f"{'most':>7}{'writes/s':>10}{'all daemons':>13}")
    for count in (9, *SIZES[2:]):
        for rate in (0.5, 2.0, 10.0, 50.0):
            done, writes = measure_claims(count, rate)
            waits = [1e3 * wait for wait in done.waits]
            print(f"{count:>8}{rate:>9}{done.granted / done.asked:>9.1%}", end="")
            print(f"{waits[len(waits) // 2]:>7.0f}", end="")
            print(f"{waits[len(waits) * 99 // 100]:>7.0f}{waits[-1]:>7.0f}", end="")
            print(f"{writes:>10.2f}{writes * count:>13.0f}", flush=True)


def run() -> None:
    """Print all tables."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--json", default="")
    given = parser.parse_args()
    found: dict[str, Any] = {"beats": {}, "looks": {}, "whole": {}}
    print("Heartbeats, per daemon and second")
    print(f"{'daemons':>8}{'sent':>8}{'bytes':>8}{'us':>8}{'seen alive':>12}")
    for count in SIZES:
        cost = found["beats"][count] = measure_beats(count)
        print(f"{count:>8}{cost['sent']:>8.2f}{cost['bytes']:>8.0f}", end="")
        print(f"{cost['us']:>8.0f}{cost['alive']:>12.0%}", flush=True)
    print(f"\nDuties ({len(DUTIES)}), per daemon and second")
    print(f"{'daemons':>8}{'rows read':>16}{'bytes':>8}{'reads':>8}", end="")
    print(f"{'writes':>8}{'us':>8}  (us with the stand-in table)")
    for count in SIZES:
        for name, label, look in (
            ("whole", "all each look", 0.0),
            ("looks", "holders", duty.DEFAULT_LIMITS.read_interval_per_daemon),
        ):
            cost = found[name][count] = measure_duties(count, look)
            print(f"{count:>8}{label:>16}{cost['bytes']:>8.0f}", end="")
            print(f"{cost['reads']:>8.2f}{cost['writes']:>8.2f}", end="")
            print(f"{cost['us']:>8.0f}", flush=True)
    print_claims()
    if given.json:
        pathlib.Path(given.json).write_text(json.dumps(found), encoding="utf-8")


if __name__ == "__main__":
    run()
