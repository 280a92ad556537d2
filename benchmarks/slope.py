"""Cost of the control decisions by number of daemons, without I/O.

Runs the membership and duty decisions of a whole system in one process under a
simulated clock, at five sizes up to the target of 220 daemons. Bytes are those of
encoded heartbeats and of rows in the platform's JSON answers, without TCP and
HTTP headers; processor time is that of one daemon's decisions alone.

Run ``python -m benchmarks.slope``; ``--json FILE`` writes the figures.
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

DAEMON_COUNTS = (9, 30, 60, 120, 220)
HEARTBEAT_SECONDS = 30  # simulated time, after a start-up phase of the same length
DUTY_SECONDS = 110  # two full reads at 220 daemons, after as long a start-up
REGISTRY = codec.Registry({"heartbeat": message.Heartbeat})
DUTIES = (
    "fleet",
    "sweep",
    *(placement_view.duty_name(shard) for shard in range(placement_view.SHARDS)),
)


class HeartbeatSimulation:
    """Heartbeats of a whole system and their cost."""

    def __init__(self, count: int) -> None:
        peers = [
            core.Peer(
                f"entry-{number:03}-a", f"10.0.{number}.7:7000", f"entry-{number}", "dc"
            )
            for number in range(count)
        ]
        self.members = [
            core.Members(member, core.Limits(), index, 0.0)
            for index, member in enumerate(peers)
        ]
        self.by_name = {member.me.daemon: member for member in self.members}
        for member in self.members:
            member.update_members(peers, 0.0)
        self.byte_count = 0
        self.heartbeats_sent = 0
        self.cpu_seconds = 0.0

    def run(self, now: float) -> None:
        """Run one heartbeat period."""
        for member in self.members:
            started_at = time.process_time()
            actions = member.tick(now)
            self.cpu_seconds += time.process_time() - started_at
            for action in actions:
                if isinstance(action, core.SendHeartbeat):
                    self._deliver(member, action, now)

    def _deliver(
        self, sender: core.Members, action: core.SendHeartbeat, now: float
    ) -> None:
        started_at = time.process_time()
        frame = codec.encode(REGISTRY, sender.me.daemon, action.heartbeat)
        received = codec.decode(REGISTRY, frame[codec.HEADER_SIZE :])
        self.by_name[action.peer.daemon].receive_heartbeat(received.message, now)
        self.cpu_seconds += time.process_time() - started_at
        self.byte_count += len(frame)
        self.heartbeats_sent += 1


class CountingTable:
    """Table for `benchmarks.platform.step_duties` that counts its use."""

    def __init__(self) -> None:
        self.rows = platformtable.Store()
        self.byte_count = self.reads = self.writes = 0

    @property
    def revision(self) -> int:
        """Revision of the table."""
        return self.rows.revision

    def scan(self, prefix: str, since: int) -> list[table.Row]:
        """Count a scan."""
        return self._count(self.rows.scan(prefix, since))

    def read(self, keys: list[str]) -> list[table.Row]:
        """Count a read; a read without keys is not sent."""
        return self._count(self.rows.read(keys)) if keys else []

    def commit(self, conditions: Any, writes: Any, token: str, now: float) -> Any:
        """Count a commit; daemon rows get the fields of real ones."""
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
        full_writes = [
            write._replace(value={**fields, **write.value})
            if write.value and write.key.startswith("daemon/")
            else write
            for write in writes
        ]
        return self.rows.commit(conditions, full_writes, f"{now:032.3f}", now)

    def _count(self, rows: list[table.Row]) -> list[table.Row]:
        body = {"rows": rows, "time": 1764547200.123, "revision": self.revision}
        self.byte_count += len(json.dumps(body, separators=(",", ":")))
        self.reads += 1
        return rows


def measure_heartbeats(count: int) -> dict[str, float]:
    """Return heartbeats, bytes and processor time per daemon and second."""
    system = HeartbeatSimulation(count)
    for second in range(1, HEARTBEAT_SECONDS):
        system.run(float(second))
    system.byte_count, system.heartbeats_sent, system.cpu_seconds = 0, 0, 0.0
    for second in range(HEARTBEAT_SECONDS, 2 * HEARTBEAT_SECONDS):
        system.run(float(second))
    daemon_seconds = count * HEARTBEAT_SECONDS
    alive = min(
        len(member.find_alive(2 * HEARTBEAT_SECONDS - 1)) for member in system.members
    )
    return {
        "sent": system.heartbeats_sent / daemon_seconds,
        "bytes": system.byte_count / daemon_seconds,
        "us": system.cpu_seconds / daemon_seconds * 1e6,
        "alive": alive / count,
    }


def measure_duties(count: int, read_interval: float) -> dict[str, float]:
    """Return reads, bytes and time per daemon and second for all duties."""
    rows = CountingTable()
    limits = duty.Limits(read_interval_per_daemon=read_interval)
    daemons = [duty.Duties(f"entry-{number:03}-a", limits) for number in range(count)]
    for duties in daemons:
        for name in DUTIES:
            duties.want(name)
    cpu_seconds = 0.0
    for half_second in range(4 * DUTY_SECONDS):
        if half_second == 2 * DUTY_SECONDS:
            rows.byte_count = rows.reads = rows.writes = 0
            cpu_seconds = 0.0
        for index, duties in enumerate(daemons):
            started_at = time.process_time()
            platform.step_duties(duties, rows, half_second / 2 + index / count / 2)
            cpu_seconds += time.process_time() - started_at
    daemon_seconds = count * DUTY_SECONDS
    return {
        "bytes": rows.byte_count / daemon_seconds,
        "reads": rows.reads / daemon_seconds,
        "writes": rows.writes / daemon_seconds,
        "us": cpu_seconds / daemon_seconds * 1e6,
    }


def measure_claims(daemons: int, rate: float) -> tuple[platform.Result, float]:
    """Return one daemon's claims at its share, and its writes per second."""
    simulation = platform.ClaimSimulation(platform.batch.DEFAULT_LIMITS, 0.002, 1)
    simulation.core.budget.set_daemon_count(daemons)
    result = simulation.run(rate)
    return result, result.writes / platform.DURATION_SECONDS


def print_claims() -> None:
    """Print waits of granted claims at the budget shares of several sizes."""
    print(
        f"\nClaims of one daemon at its share, {platform.DURATION_SECONDS:.0f} s, ",
        end="",
    )
    print("answers of the table after 2 ms; waits before work, ms")
    print(f"{'daemons':>8}{'keyed/s':>9}{'granted':>9}{'p50':>7}{'p99':>7}", end="")
    print(f"{'max':>7}{'writes/s':>10}{'all daemons':>13}")
    for count in (9, *DAEMON_COUNTS[2:]):
        for rate in (0.5, 2.0, 10.0, 50.0):
            result, writes = measure_claims(count, rate)
            waits = [1e3 * wait for wait in result.waits]
            print(
                f"{count:>8}{rate:>9}{result.granted / result.requested:>9.1%}", end=""
            )
            print(f"{waits[len(waits) // 2]:>7.0f}", end="")
            print(f"{waits[len(waits) * 99 // 100]:>7.0f}{waits[-1]:>7.0f}", end="")
            print(f"{writes:>10.2f}{writes * count:>13.0f}", flush=True)


def run() -> None:
    """Print all tables."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--json", default="")
    arguments = parser.parse_args()
    results: dict[str, Any] = {"beats": {}, "looks": {}, "whole": {}}
    print("Heartbeats, per daemon and second")
    print(f"{'daemons':>8}{'sent':>8}{'bytes':>8}{'us':>8}{'seen alive':>12}")
    for count in DAEMON_COUNTS:
        cost = results["beats"][count] = measure_heartbeats(count)
        print(f"{count:>8}{cost['sent']:>8.2f}{cost['bytes']:>8.0f}", end="")
        print(f"{cost['us']:>8.0f}{cost['alive']:>12.0%}", flush=True)
    print(f"\nDuties ({len(DUTIES)}), per daemon and second")
    print(f"{'daemons':>8}{'rows read':>16}{'bytes':>8}{'reads':>8}", end="")
    print(f"{'writes':>8}{'us':>8}  (us with the stand-in table)")
    for count in DAEMON_COUNTS:
        for name, label, read_interval in (
            ("whole", "all each read", 0.0),
            ("looks", "holders", duty.DEFAULT_LIMITS.read_interval_per_daemon),
        ):
            cost = results[name][count] = measure_duties(count, read_interval)
            print(f"{count:>8}{label:>16}{cost['bytes']:>8.0f}", end="")
            print(f"{cost['reads']:>8.2f}{cost['writes']:>8.2f}", end="")
            print(f"{cost['us']:>8.0f}", flush=True)
    print_claims()
    if arguments.json:
        pathlib.Path(arguments.json).write_text(json.dumps(results), encoding="utf-8")


if __name__ == "__main__":
    run()
