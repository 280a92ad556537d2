"""Processor time and memory of the routing decisions by fleet size."""

import time
import tracemalloc
from typing import Any

from thrift import Thrift
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from wigeonhitch import verdict
from wigeonhitch.routing import action, core, event, peer, rendezvous

__all__ = ["compare_connections", "compare_sizes", "count_bytes"]

# Workers, pools, daemons: the present fleet, a quarter of the target, the target,
# and three other ratios so that the fit can separate the slopes.
FLEET_SIZES = (
    (30, 5, 9),
    (200, 32, 60),
    (800, 128, 220),
    (800, 128, 9),
    (30, 5, 220),
    (800, 5, 9),
)

EVENT_COUNT = 4000


def count_bytes(message: Any) -> int:
    """Return the size of a message as a thrift compact struct."""
    buffer = TTransport.TMemoryBuffer()
    _write(TCompactProtocol.TCompactProtocol(buffer), message)
    return len(buffer.getvalue())


def _write(out: TCompactProtocol.TCompactProtocol, record: tuple) -> None:
    """Write a record as a struct: times in ms, tuples as lists of structs."""
    out.writeStructBegin("")
    for number, value in enumerate(record, 1):
        if isinstance(value, str):
            out.writeFieldBegin("", Thrift.TType.STRING, number)
            out.writeString(value)
        elif isinstance(value, tuple):
            out.writeFieldBegin("", Thrift.TType.LIST, number)
            out.writeListBegin(Thrift.TType.STRUCT, len(value))
            for item in value:
                _write(out, item)
            out.writeListEnd()
        else:
            out.writeFieldBegin("", Thrift.TType.I64, number)
            scaled = 1e3 * value if isinstance(value, float) else value
            out.writeI64(0 if isinstance(value, verdict.Reason) else int(scaled))
        out.writeFieldEnd()
    out.writeFieldStop()
    out.writeStructEnd()


def compare_connections() -> None:
    """Print the limit of connections to one worker over all daemons."""
    print("\nconnections to one worker of 60, over all daemons")
    print("daemons  kept idle  with slots in use  by own counts")
    for daemons in (9, 60, 220):
        members = [f"d{n}" for n in range(daemons)]
        idle_connections = sum(
            rendezvous.compute_connection_limit("vm", member, members, 52)
            for member in members
        )
        local_connections = sum(
            rendezvous.compute_connection_limit("vm", member, members, 60)
            for member in members
        )
        print(
            f"{daemons:7} {idle_connections:10} {idle_connections + 8:18}"
            f" {local_connections:14}"
        )


def compare_sizes() -> None:
    """Print time per decision, fitted slopes and memory by fleet size."""
    print("microseconds of processor time per decision")
    print("workers pools daemons  arrive  grant answer |  ask return | KB/pool")
    rows = []
    for workers, pools, daemons in FLEET_SIZES:
        times = _measure_client(workers, pools, daemons)
        times += _measure_owner(workers, pools, daemons)
        memory = _measure_memory(workers, pools, daemons)
        rows.append((workers / pools, daemons, times))
        cells = " ".join(f"{1e6 * each:6.1f}" for each in times)
        print(f"{workers:7} {pools:5} {daemons:7}  {cells}   {memory:7.1f}")
    print("slopes in µs: a + b·(workers of the pool) + c·daemons")
    for index, name in enumerate(("arrive", "grant", "answer", "ask", "return")):
        a, b, c = _fit([(w, d, 1e6 * times[index]) for w, d, times in rows])
        print(f"  {name:7} {a:7.2f} + {b:7.3f}·workers + {c:7.4f}·daemons")


def _build_core(daemon: str, workers: int, pools: int, daemons: int) -> core.Core:
    routing_core = core.Core(daemon, 1)
    members = frozenset(f"d{n}" for n in range(daemons))
    routing_core.handle(event.MembersChanged(members), 0.0)
    workers_per_pool = workers // pools
    view = {
        f"p{p}": tuple(event.Worker(f"vm{p}-{n}") for n in range(workers_per_pool))
        for p in range(pools)
    }
    routing_core.handle(event.ViewChanged(1, view), 0.0)
    return routing_core


def _measure_client(workers: int, pools: int, daemons: int) -> list[float]:
    """Return the mean times of an arrival, a grant and an answer."""
    members = [f"d{n}" for n in range(daemons)]
    client = _build_core("d0", workers, pools, daemons)
    remote = {
        pool: rank[0]
        for pool in (f"p{n}" for n in range(pools))
        if (rank := rendezvous.rank(pool, members))[0] != "d0"
    }
    names = sorted(remote)
    cpu_seconds = [0.0, 0.0, 0.0]
    for number in range(1, EVENT_COUNT + len(names) + 1):
        now = number * 1e-4
        pool = names[number % len(names)]
        arrival = event.Arrived(number, "s", pool, "urgent", "t", now + 60.0, False)
        started_at = time.process_time()
        actions = client.handle(arrival, now)
        cpu_seconds[0] += time.process_time() - started_at
        sent = [act for act in actions if isinstance(act, action.SendMessages)]
        if isinstance(sent[0].messages[0], peer.Report):
            welcome = event.Received(remote[pool], (peer.Welcome(pool),))
            client.handle(welcome, now)
        else:
            ask = sent[0].messages[0]
            grant = peer.Grant(pool, ask.ask, f"vm{pool[1:]}-0")
            started_at = time.process_time()
            actions = client.handle(event.Received(remote[pool], (grant,)), now)
            cpu_seconds[1] += time.process_time() - started_at
        send = next(act for act in actions if isinstance(act, action.Send))
        end = event.AttemptEnded(number, send.attempt, verdict.ran(), 0.05)
        started_at = time.process_time()
        client.handle(end, now)
        cpu_seconds[2] += time.process_time() - started_at
    return [each / EVENT_COUNT for each in cpu_seconds]


def _measure_owner(workers: int, pools: int, daemons: int) -> list[float]:
    """Return the mean times of an ask and a return at half-used slots."""
    owner = _build_core("d0", workers, pools, daemons)
    others = [f"d{n}" for n in range(1, daemons)]
    for other in others:
        joins = tuple(peer.Report(f"p{n}", (), True) for n in range(pools))
        owner.handle(event.Received(other, joins), 0.0)
    held: list[tuple[str, str, int]] = []
    cpu_seconds = [0.0, 0.0]
    half = workers * 8 // 2
    for number in range(1, EVENT_COUNT + half + 1):
        now = 1.0 + number * 1e-4
        pool = f"p{number % pools}"
        daemon = others[number % len(others)]
        ask = peer.Ask(pool, number, 0, f"t{number % 130}", 0.0, 2.0, 60.0)
        started_at = time.process_time()
        owner.handle(event.Received(daemon, (ask,)), now)
        cpu_seconds[0] += time.process_time() - started_at
        held.append((daemon, pool, number))
        if number > half:
            daemon, pool, returned_number = held[number - half - 1]
            returned = peer.Return(pool, returned_number, peer.Outcome.OK, 0.05)
            started_at = time.process_time()
            owner.handle(event.Received(daemon, (returned,)), now)
            cpu_seconds[1] += time.process_time() - started_at
    return [cpu_seconds[0] / (EVENT_COUNT + half), cpu_seconds[1] / EVENT_COUNT]


def _measure_memory(workers: int, pools: int, daemons: int) -> float:
    """Return KB per pool of a daemon that is client and owner of all pools."""
    tracemalloc.start()
    bytes_before = tracemalloc.get_traced_memory()[0]
    routing_core = _build_core("d0", workers, pools, daemons)
    for number in range(pools):
        join = peer.Report(f"p{number}", (), True)
        routing_core.handle(event.Received("d1", (join,)), 0.0)
        pool = f"p{number}"
        arrival = event.Arrived(number + 1, "s", pool, "urgent", "t", 60.0, False)
        routing_core.handle(arrival, 0.0)
    used_bytes = tracemalloc.get_traced_memory()[0] - bytes_before
    tracemalloc.stop()
    return used_bytes / 1024.0 / pools


def _fit(points: list[tuple[float, float, float]]) -> list[float]:
    """Return the least-squares fit a, b, c of z = a + b·x + c·y."""
    rows = [[1.0, x, y, z] for x, y, z in points]
    table = [[sum(row[i] * row[j] for row in rows) for j in range(4)] for i in range(3)]
    for i in range(3):
        pivot = table[i][i]
        table[i] = [cell / pivot for cell in table[i]]
        for k in range(3):
            if k != i:
                factor = table[k][i]
                pairs = zip(table[k], table[i], strict=True)
                table[k] = [cell - factor * other for cell, other in pairs]
    return [row[3] for row in table]
