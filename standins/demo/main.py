"""Demo: both users' fleets on loopback, with traffic and a maintenance wave.

Run by ``./demo``. It starts stand-ins and three daemons per user, submits each
user's fleet document as one operator and approves it as another, sends mixed
traffic while a maintenance wave reboots every worker, prints a table of the
audited results, and ends all processes that it started, also on Ctrl-C.
"""

import argparse
import contextlib
import pathlib
import sys
import tempfile
import time
from typing import Any, NamedTuple

import anyio

from standins.demo import audit, caller, fault, process, site

__all__ = ["run"]

USERS = ("altiplano", "dielectra")
EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
WAVE_TIMEOUT_SECONDS = 240.0
SETTLE_SECONDS = 1.0  # traffic before and after the wave
SEPARATOR = "-" * 78


class Result(NamedTuple):
    """Results of one user's run."""

    user: str
    findings: audit.Findings
    wave: str
    rollout: float
    moves: int
    plan: dict[str, Any]


def run() -> None:
    """Run the demo; exit with status 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=30.0, help="requests/s per user")
    parser.add_argument("--keep", help="folder for settings and logs; kept")
    parser.add_argument("--faults", action="store_true", help="bring faults about")
    parser.add_argument("--seed", type=int, default=1, help="of traffic and faults")
    options = parser.parse_args()
    try:
        with contextlib.ExitStack() as stack:
            folder = options.keep or stack.enter_context(tempfile.TemporaryDirectory())
            results = run_users(stack, pathlib.Path(folder), options)
            print_table(results)
    except KeyboardInterrupt:
        print("interrupted; all started processes were stopped", file=sys.stderr)
        sys.exit(130)
    is_successful = all(
        result.findings.is_clean and result.wave == "done" for result in results
    )
    sys.exit(0 if is_successful else 1)


def run_users(
    stack: contextlib.ExitStack, folder: pathlib.Path, options: argparse.Namespace
) -> list[Result]:
    """Start the sites, run them concurrently and audit them."""
    ports = process.Ports()
    sites = {}
    for user in USERS:
        print(f"{user}: starting platform, workers and three daemons", flush=True)
        example = EXAMPLES / f"{user}.yaml"
        sites[user] = site.open_site(stack, folder / user, ports, example)
    for user, target in sites.items():
        activate_document(user, target)
    finished = anyio.run(run_traffic, sites, options)
    return [audit_site(user, sites[user], *finished[user]) for user in USERS]


def activate_document(user: str, target: site.Site) -> None:
    """Submit and approve the document; wait until every daemon is ready."""
    elapsed = target.activate_document()
    print(
        f"{user}: document accepted; all daemons ready {elapsed:.1f} s later",
        flush=True,
    )


async def run_traffic(
    sites: dict[str, site.Site], options: argparse.Namespace
) -> dict[str, Any]:
    """Send requests to all sites while each site's wave runs."""
    finished: dict[str, Any] = {}

    async def run_one(user: str, target: site.Site) -> None:
        stopped = anyio.Event()
        seed = options.seed * len(USERS) + USERS.index(user)
        load = caller.Load(rate=options.rate, seed=seed)
        outcomes: list[caller.Outcome] = []

        async def send() -> None:
            outcomes.extend(await caller.send_load(target, load, stopped))

        async with anyio.create_task_group() as group:
            group.start_soon(send)
            if options.faults:
                group.start_soon(inject_faults, user, target, seed, stopped)
            await anyio.sleep(SETTLE_SECONDS)
            plan, status = await anyio.to_thread.run_sync(run_wave, user, target)
            await anyio.sleep(SETTLE_SECONDS)
            stopped.set()
        finished[user] = (outcomes, plan, status)

    async with anyio.create_task_group() as group:
        for user, target in sites.items():
            group.start_soon(run_one, user, target)
    return finished


async def inject_faults(
    user: str, target: site.Site, seed: int, stopped: anyio.Event
) -> None:
    """Inject faults until the run is over."""
    await anyio.to_thread.run_sync(
        fault.run_steps,
        fault.make_steps(target, seed),
        lambda name: print(f"{user}: {name}", flush=True),
        stopped.is_set,
    )


def run_wave(user: str, target: site.Site) -> tuple[dict[str, Any], str]:
    """Start the document's first wave and wait for it; return its plan and status."""
    name = target.intended.waves[0].name
    plan = target.request("GET", f"/waves/{name}/plan").json()
    target.request("POST", f"/waves/{name}/start").raise_for_status()
    deadline = time.monotonic() + WAVE_TIMEOUT_SECONDS
    reported = -1
    while time.monotonic() < deadline:
        wave = target.request_any("GET", f"/waves/{name}")
        done, count = wave.get("done", 0), len(wave.get("vms", ()))
        if done != reported:
            print(f"{user}: wave {name}: {done} of {count} workers", flush=True)
            reported = done
        if wave.get("status") == "done":
            return plan, "done"
        time.sleep(1.0)
    return plan, "not finished"


def audit_site(
    user: str,
    target: site.Site,
    outcomes: list[caller.Outcome],
    plan: dict[str, Any],
    status: str,
) -> Result:
    """Audit one site and return its results."""
    history = target.read_history()
    findings = audit.audit(outcomes, target.read_logs(), history, target.intended)
    return Result(
        user,
        findings,
        status,
        audit.measure_rollout(history),
        audit.count_moves(history),
        plan,
    )


def print_table(results: list[Result]) -> None:
    """Print the audited results, one column per user."""
    rows: list[tuple[str, list[Any]]] = [
        ("requests answered whole", [result.findings.answered for result in results]),
        ('refused, "not run"', [result.findings.refused for result in results]),
        ('told "may have run"', [result.findings.uncertain for result in results]),
        ("without any answer", [result.findings.unanswered for result in results]),
        ("run twice (must be 0)", [result.findings.run_twice for result in results]),
        (
            'told "not run" but ran (must be 0)',
            [result.findings.not_run_but_ran for result in results],
        ),
        (
            "answers not whole (must be 0)",
            [result.findings.incomplete for result in results],
        ),
        (
            "requests cut off by a planned stop (must be 0)",
            [result.findings.interrupted for result in results],
        ),
        (
            "budget broken (must be 0)",
            [result.findings.budget_violations for result in results],
        ),
        ("wave", [result.wave for result in results]),
        ("roll-out time, s", [f"{result.rollout:.1f}" for result in results]),
        ("moves (lower bound)", [describe(result, "moves") for result in results]),
        (
            "buffer, VMs (lower bound)",
            [describe(result, "buffer") for result in results],
        ),
    ]
    print(SEPARATOR)
    print(f"{'':48}" + "".join(f"{result.user:>15}" for result in results))
    for label, values in rows:
        print(f"{label:48}" + "".join(f"{value!s:>15}" for value in values))
    print(SEPARATOR)
    print("TLS is off in this run; docs/operators.md says how it is set.")


def describe(result: Result, measure: str) -> str:
    """Return a measure of the wave together with its lower bound."""
    bound = result.plan["bounds"][measure]
    value = result.moves if measure == "moves" else result.plan["measures"][measure]
    return f"{value} ({bound})"


if __name__ == "__main__":
    run()
