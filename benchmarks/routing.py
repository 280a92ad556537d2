"""Waits, refusals and messages of the slot-counting policies; decision times.

Run as ``python -m benchmarks.routing`` for the tables of waits, or with
``--decisions`` for the time and memory of the decisions alone.
"""

import sys

from benchmarks import routing_decisions, routing_loop, routing_waits
from wigeonhitch.routing import action, event, link

# Length of the arrivals of each run.
DURATION_SECONDS = 20.0

TOTAL_SLOTS = 48

SEEDS = (1, 2, 3)


def compare_waits() -> None:
    """Print waits of each policy and the bound of one ideal queue."""
    print("p99 wait (ms), mean of seeds; bound+2: slots idle for two hops per request")
    print("load  case    policy       wait  bound bound+2  refused/req msgs/req B/req")
    for load in (0.7, 0.9):
        for case in ("even", "slow", "skew"):
            for policy in link.Policy:
                rows = [_measure_waits(load, case, policy, seed) for seed in SEEDS]
                mean = [sum(column) / len(rows) for column in zip(*rows, strict=True)]
                print(
                    f"{load:4.0%}  {case:6}  {policy.value:10}"
                    f" {mean[0]:6.1f} {mean[1]:6.1f} {mean[2]:6.1f}"
                    f"  {mean[3]:11.3f} {mean[4]:8.2f} {mean[5]:5.0f}"
                )


def _measure_waits(
    load: float, case: str, policy: link.Policy, seed: int
) -> tuple[float, ...]:
    loop = routing_loop.EventLoop(seed=seed, policy=policy)
    sent_bytes = [0]

    def add_bytes(sent: action.SendMessages) -> None:
        sent_bytes[0] += sum(
            routing_decisions.count_bytes(each) for each in sent.messages
        )

    loop.on_message = add_bytes
    if case == "slow":
        loop.workers["vm0"].slowdown = 4.0
    factors = [worker.slowdown for worker in loop.workers.values()]
    rate = load * sum(8 / factor for factor in factors) / 0.05
    weights = [5.0, 3.0] + [1.0] * 7 if case == "skew" else None
    loop.offer_load(rate, 0.0, DURATION_SECONDS, weights=weights)
    loop.run(DURATION_SECONDS + 40.0)
    arrivals = loop.list_arrivals()
    ideal_waits = routing_waits.compute_ideal_waits(arrivals, factors, 0.0, 8)
    turnaround_waits = routing_waits.compute_ideal_waits(
        arrivals, factors, 2 * routing_loop.HOP_SECONDS, 8
    )
    waits = [
        done.wait for done in loop.completed.values() if done.started_at is not None
    ]
    requests = len(arrivals)
    return (
        1e3 * routing_waits.quantile(waits, 0.99),
        1e3 * routing_waits.quantile(ideal_waits, 0.99),
        1e3 * routing_waits.quantile(turnaround_waits, 0.99),
        loop.counts["refusals"] / requests,
        loop.counts["messages"] / requests,
        sent_bytes[0] / requests,
    )


def compare_faults() -> None:
    """Print waits while the pool owner is lost from 5 s to 10 s."""
    print("\np99 wait (ms) at 90% of requests that arrive during a fault of 5 s")
    print("fault       policy      " + "".join(f"  seed {seed}" for seed in SEEDS))
    owner, local_counts = link.Policy.OWNER, link.Policy.LOCAL_COUNTS
    for fault, policy in (
        ("none", owner),
        ("kill", owner),
        ("pause", owner),
        ("cut", owner),
        ("none", local_counts),
    ):
        waits = [_measure_fault(fault, policy, seed) for seed in SEEDS]
        cells = "".join(f"{wait:8.1f}" for wait in waits)
        print(f"{fault:10}  {policy.value:12}{cells}")


def _measure_fault(fault: str, policy: link.Policy, seed: int) -> float:
    loop = routing_loop.EventLoop(seed=seed, policy=policy)
    owner = loop.find_owner()
    weights = [0.0 if name == owner else 1.0 for name in loop.names]
    loop.offer_load(0.9 * TOTAL_SLOTS / 0.05, 0.0, DURATION_SECONDS, weights=weights)
    if fault == "kill":
        loop.call_at(5.0, loop.kill, owner)
    elif fault == "pause":
        loop.call_at(5.0, loop.pause, owner)
        loop.call_at(10.0, loop.resume, owner)
    elif fault == "cut":
        loop.call_at(5.0, loop.partitioned.add, owner)
        loop.call_at(10.0, loop.partitioned.discard, owner)
    loop.run(DURATION_SECONDS + 40.0)
    return 1e3 * routing_waits.quantile(
        [
            done.wait
            for done in loop.completed.values()
            if done.started_at is not None and 5.0 <= done.arrived_at < 10.0
        ],
        0.99,
    )


def compare_overload() -> None:
    """Print goodput and latencies at half and twice the capacity."""
    print(
        "\none fifth urgent (2 s), the rest bulk (5 s); goodput: in time, per capacity"
    )
    print("policy      load  busy  goodput  urgent p99 ms  urgent ok  refused after ms")
    for policy in link.Policy:
        for load in (0.5, 2.0):
            _measure_overload(policy, load)


def _measure_overload(policy: link.Policy, load: float) -> None:
    loop = routing_loop.EventLoop(policy=policy)
    urgencies = (event.Urgency("urgent", 1.7), event.Urgency("bulk", 3600.0))
    for name in loop.names:
        loop.deliver(name, event.UrgenciesChanged(urgencies))
    rate = load * TOTAL_SLOTS / 0.05
    loop.offer_load(0.2 * rate, 0.0, DURATION_SECONDS, timeout=2.0)
    bulk = {"urgency": "bulk", "team": "closing", "timeout": 5.0}
    loop.offer_load(0.8 * rate, 0.0, DURATION_SECONDS, **bulk)
    loop.run(DURATION_SECONDS)
    busy = sum(worker.busy_seconds for worker in loop.workers.values()) / (
        TOTAL_SLOTS * DURATION_SECONDS
    )
    goodput = sum(
        loop.get_work(number)
        for number, done in loop.completed.items()
        if done.verdict.ran.name == "YES"
    ) / (TOTAL_SLOTS * DURATION_SECONDS)
    loop.run(DURATION_SECONDS + 20.0)
    urgent = [done for done in loop.completed.values() if done.urgency == "urgent"]
    completed_urgent = [done for done in urgent if done.verdict.ran.name == "YES"]
    times = [done.answered_at - done.arrived_at for done in completed_urgent]
    refused = [
        done.answered_at - done.arrived_at
        for done in loop.completed.values()
        if done.verdict.ran.name == "NO"
    ]
    print(
        f"{policy.value:10} {load:5.1f} {busy:5.1%} {goodput:8.1%}"
        f" {1e3 * routing_waits.quantile(times, 0.99):14.1f}"
        f" {len(completed_urgent) / len(urgent):10.1%}"
        f" {1e3 * routing_waits.quantile(refused, 0.99):17.1f}"
    )


def main() -> None:
    """Print the tables that the arguments select."""
    if "--decisions" in sys.argv[1:]:
        routing_decisions.compare_sizes()
        return
    compare_waits()
    compare_faults()
    compare_overload()
    routing_decisions.compare_connections()


if __name__ == "__main__":
    main()
