"""The soak's command: ``python -m standins.soak.main --seeds 50 --first 1``."""

import pathlib
import random
import sys
import tempfile
from typing import NamedTuple

import anyio
import defopt
import httpx
import yaml

from standins.demo import process
from standins.soak import audit, caller, environment, fault, leaderfault
from wigeonhitch.platform import http

__all__ = ["Result", "list_kept", "play", "run"]

KEPT = pathlib.Path(__file__).with_name("seeds.yaml")

START_LIMIT = 20.0
"""Seconds for a daemon to be ready, on a busy machine too."""

FINISH = 14.0
"""Seconds after the last fault in which every accepted job is final."""

CALLERS = 200
"""Connections of the callers; each keeps its own until the process is gone."""


class Result(NamedTuple):
    """What one seed showed."""

    seed: int
    faults: list[str]
    jobs: int
    calls: int
    refused: int
    starts: int
    spans: list[fault.Span]


def run() -> None:
    """Run seeds one after the other; exit status 1 if a promise was broken."""
    process.exit_on_sigterm()
    sys.exit(defopt.run(soak))


def soak(
    *,
    seeds: int = 50,
    first: int = 1,
    seconds: float = 16.0,
    daemons: int = 3,
    rate: float = 4.0,
    kept: bool = False,
    without: str = "",
    leaders: bool = False,
    folder: str = "",
) -> int:
    """Play seeded runs of faults and check what callers and workers saw.

    Parameters
    ----------
    seeds : int
        Number of runs.
    first : int
        Seed of the first run; the others follow it.
    seconds : float
        Length of the faults of a run.
    daemons : int
        Daemons as processes.
    rate : float
        Jobs a second that callers submit.
    kept : bool
        Play the seeds that once failed, in place of fresh ones.
    without : str
        Mechanism of `standins.soak.without` that the daemons lack.
    leaders : bool
        Play the faults that strike leaders, in place of all others.
    folder : str
        Where the daemons' logs of failed runs are kept; a temporary one if empty.
    """
    chosen = list_kept() if kept else range(first, first + seeds)
    keep = folder or tempfile.mkdtemp(prefix="soak-")
    broken = 0
    for seed in chosen:
        place = pathlib.Path(keep) / str(seed)
        place.mkdir(parents=True, exist_ok=True)
        result = anyio.run(play, seed, place, seconds, daemons, rate, without, leaders)
        broken += bool(result.faults)
        print(describe(result, place), flush=True)
    print(f"{len(chosen)} seeds, {broken} with a broken promise")
    return 1 if broken else 0


def list_kept() -> list[int]:
    """Return the seeds that once failed."""
    return [one["seed"] for one in yaml.safe_load(KEPT.read_text()) or ()]


def describe(result: Result, place: pathlib.Path) -> str:
    """Return a line on a run, and a line for each broken promise."""
    counts = f"{result.jobs} jobs, {result.calls} calls, {result.refused} refused, "
    counts += f"{result.starts} starts, {len(result.spans)} faults"
    lines = [f"seed {result.seed}: {counts}: {'BROKEN' if result.faults else 'ok'}"]
    lines.extend(f"  {line}" for line in result.faults)
    if result.faults:
        lines.append(f"  logs in {place}")
        for span in sorted(result.spans):
            lines.append(f"  {span.begin:.2f}-{span.end:.2f} {span.kind} {span.target}")
    return "\n".join(lines)


async def play(
    seed: int,
    folder: pathlib.Path,
    seconds: float,
    daemons: int,
    rate: float,
    without: str = "",
    leaders: bool = False,
) -> Result:
    """Play one seed."""
    rng = random.Random(seed)
    plan = leaderfault.plan if leaders else fault.plan
    faults = plan(random.Random(seed), seconds)
    limits = httpx.Limits(max_connections=CALLERS, keepalive_expiry=60.0)
    async with (
        httpx.AsyncClient(limits=limits, trust_env=False) as client,
        environment.open_environment(folder, daemons, rng, without) as site,
    ):
        await _await_ready(site)
        callers = caller.Callers(site, rng, client)
        injector = leaderfault.Injector(site, rng)
        async with anyio.create_task_group() as group:
            group.start_soon(callers.run, rate, seconds)
            if leaders:
                group.start_soon(callers.run_at_claims, seconds)
            await injector.run(faults)
        await _settle(callers)
        seen = audit.Observations(
            callers.jobs,
            callers.calls,
            injector.spans,
            site.vm_fleet,
            http.read_clock(),
        )
        return Result(
            seed,
            audit.check(seen),
            len(seen.jobs),
            len(seen.calls),
            sum(1 for call in seen.calls if call.status in (429, 503)),
            sum(1 for event in site.vm_fleet.events if event.what == "start"),
            seen.spans,
        )


async def _await_ready(site: environment.Environment) -> None:
    """Wait until every daemon answers that it is ready."""
    async with httpx.AsyncClient(trust_env=False) as client:
        with anyio.fail_after(START_LIMIT):
            for daemon in site.daemons:
                host = daemon.callers.partition(":")[0]
                while not await _is_ready(client, host):
                    await anyio.sleep(0.1)


async def _is_ready(client: httpx.AsyncClient, host: str) -> bool:
    try:
        answer = await client.get(
            f"http://{host}:{environment.READY_PORT}/v1/readiness"
        )
    except httpx.TransportError:
        return False
    return answer.status_code == 200


async def _settle(callers: caller.Callers) -> None:
    """Ask for all jobs until they are final, and the lasting ones are at work."""
    began = http.read_clock()
    while http.read_clock() < began + FINISH:
        left = [
            job
            for job in callers.jobs
            if job.accepted and not job.final and not job.lasts and not job.cancelled
        ]
        for job in left:
            await callers.ask(job)
        if not left and http.read_clock() > began + FINISH / 2:
            return
        await anyio.sleep(0.3)


if __name__ == "__main__":
    run()
