"""The main job: both users' fleets on loopback, with traffic and a wave.

Run by ``./demo``. It starts stand-ins and three daemons per user, submits each
user's fleet document as one operator and approves it as another, sends mixed
traffic while a maintenance wave reboots every worker, prints a short table of
what the ground truth says, and ends all it started, also on Ctrl-C.
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
WAVE_LIMIT = 240.0  # seconds in which the wave must end
SETTLE = 1.0  # seconds of traffic after the wave
RULE = "-" * 78


class Result(NamedTuple):
    """What came of one user's run."""

    user: str
    findings: audit.Findings
    wave: str
    rollout: float
    moves: int
    plan: dict[str, Any]


def run() -> None:
    """Run the job; exit status 1 if anything happened that must not."""
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
        print("interrupted; everything that was started is ended", file=sys.stderr)
        sys.exit(130)
    is_fine = all(one.findings.is_clean and one.wave == "done" for one in results)
    sys.exit(0 if is_fine else 1)


def run_users(
    stack: contextlib.ExitStack, folder: pathlib.Path, options: argparse.Namespace
) -> list[Result]:
    """Start both sites, run them side by side and audit them."""
    ports = process.Ports()
    sites = {}
    for user in USERS:
        print(f"{user}: starting platform, workers and three daemons", flush=True)
        example = EXAMPLES / f"{user}.yaml"
        sites[user] = site.open_site(stack, folder / user, ports, example)
    for user, at in sites.items():
        activate_document(user, at)
    finished = anyio.run(run_traffic, sites, options)
    return [make_result(user, sites[user], *finished[user]) for user in USERS]


def activate_document(user: str, at: site.Site) -> None:
    """Submit and approve the document; wait until every daemon serves."""
    took = at.activate_document()
    print(
        f"{user}: document accepted; all daemons ready {took:.1f} s later", flush=True
    )


async def run_traffic(
    sites: dict[str, site.Site], options: argparse.Namespace
) -> dict[str, Any]:
    """Send load to all sites while each site's wave runs."""
    finished: dict[str, Any] = {}

    async def run_one(user: str, at: site.Site) -> None:
        stopped = anyio.Event()
        seed = options.seed * len(USERS) + USERS.index(user)
        load = caller.Load(rate=options.rate, seed=seed)
        outcomes: list[caller.Outcome] = []

        async def send() -> None:
            outcomes.extend(await caller.send_load(at, load, stopped))

        async with anyio.create_task_group() as group:
            group.start_soon(send)
            if options.faults:
                group.start_soon(bring_about, user, at, seed, stopped)
            await anyio.sleep(SETTLE)
            plan, status = await anyio.to_thread.run_sync(run_wave, user, at)
            await anyio.sleep(SETTLE)
            stopped.set()
        finished[user] = (outcomes, plan, status)

    async with anyio.create_task_group() as group:
        for user, at in sites.items():
            group.start_soon(run_one, user, at)
    return finished


async def bring_about(
    user: str, at: site.Site, seed: int, stopped: anyio.Event
) -> None:
    """Bring faults about until the run is over."""
    await anyio.to_thread.run_sync(
        fault.run_steps,
        fault.make_steps(at, seed),
        lambda name: print(f"{user}: {name}", flush=True),
        stopped.is_set,
    )


def run_wave(user: str, at: site.Site) -> tuple[dict[str, Any], str]:
    """Start the document's first wave and follow it; return plan and status."""
    name = at.intended.waves[0].name
    plan = at.request("GET", f"/waves/{name}/plan").json()
    at.request("POST", f"/waves/{name}/start").raise_for_status()
    deadline = time.monotonic() + WAVE_LIMIT
    shown = -1
    while time.monotonic() < deadline:
        wave = at.request_any("GET", f"/waves/{name}")
        done, count = wave.get("done", 0), len(wave.get("vms", ()))
        if done != shown:
            print(f"{user}: wave {name}: {done} of {count} workers", flush=True)
            shown = done
        if wave.get("status") == "done":
            return plan, "done"
        time.sleep(1.0)
    return plan, "not finished"


def make_result(
    user: str,
    at: site.Site,
    outcomes: list[caller.Outcome],
    plan: dict[str, Any],
    status: str,
) -> Result:
    """Audit one site."""
    history = at.read_history()
    findings = audit.audit(outcomes, at.read_logs(), history, at.intended)
    return Result(
        user,
        findings,
        status,
        audit.measure_rollout(history),
        audit.count_moves(history),
        plan,
    )


def print_table(results: list[Result]) -> None:
    """Print what the ground truth says, a column a user."""
    rows: list[tuple[str, list[Any]]] = [
        ("requests answered whole", [one.findings.answered for one in results]),
        ('refused, "not run"', [one.findings.refused for one in results]),
        ('told "may have run"', [one.findings.uncertain for one in results]),
        ("without any answer", [one.findings.unanswered for one in results]),
        ("run twice (must be 0)", [one.findings.run_twice for one in results]),
        (
            'told "not run" but ran (must be 0)',
            [one.findings.not_run_but_ran for one in results],
        ),
        ("answers not whole (must be 0)", [one.findings.not_whole for one in results]),
        (
            "requests cut off by a planned stop (must be 0)",
            [one.findings.cut_off for one in results],
        ),
        ("budget broken (must be 0)", [one.findings.broken_budgets for one in results]),
        ("wave", [one.wave for one in results]),
        ("roll-out time, s", [f"{one.rollout:.1f}" for one in results]),
        ("moves (lower bound)", [describe(one, "moves") for one in results]),
        ("buffer, VMs (lower bound)", [describe(one, "buffer") for one in results]),
    ]
    print(RULE)
    print(f"{'':48}" + "".join(f"{one.user:>15}" for one in results))
    for label, values in rows:
        print(f"{label:48}" + "".join(f"{value!s:>15}" for value in values))
    print(RULE)
    print("TLS is off in this run; docs/operators.md says how it is set.")


def describe(result: Result, measure: str) -> str:
    """Return a measure of the wave beside its lower bound."""
    bound = result.plan["bounds"][measure]
    found = result.moves if measure == "moves" else result.plan["measures"][measure]
    return f"{found} ({bound})"


if __name__ == "__main__":
    run()
