"""The soak's command: ``python -m standins.soak.main --seeds 50 --first 1``."""

import pathlib
import random
import sys
import tempfile
from collections.abc import Sequence
from typing import NamedTuple

import anyio
import defopt
import httpx
import yaml

from standins.demo import process
from standins.soak import (
    audit,
    caller,
    environment,
    fault,
    incarnation,
    latewrite,
    leaderfault,
    restartaudit,
    restartfault,
    team,
)
from wigeonhitch.platform import http

__all__ = ["Result", "list_recorded_seeds", "run", "run_seed"]

SEEDS_FILE = pathlib.Path(__file__).with_name("seeds.yaml")

START_TIMEOUT_SECONDS = 20.0
"""Time in which a daemon becomes ready, also on a busy machine."""

MIN_SETTLE_SECONDS = audit.SETTLE_SECONDS / 2
"""Time after the last fault that lasting tasks get to run."""

MAX_CONNECTIONS = 200
"""Connections of the callers; each is kept until the daemon's process exits."""


class Result(NamedTuple):
    """Results of one seed."""

    seed: int
    violations: list[str]
    jobs: int
    calls: int
    refused: int
    starts: int
    spans: list[fault.Span]
    incarnations: Sequence[incarnation.Incarnation] = ()


def run() -> None:
    """Run seeds one after the other; exit with status 1 if a guarantee was violated."""
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
    teams: bool = False,
    restarts: bool = False,
    restart_kinds: str = "",
    late: bool = False,
    folder: str = "",
) -> int:
    """Run seeded faults and check the records of callers and workers.

    Parameters
    ----------
    seeds : int
        Number of runs.
    first : int
        Seed of the first run; the others follow it.
    seconds : float
        Duration of the fault injection of a run.
    daemons : int
        Number of daemon processes.
    rate : float
        Jobs that callers submit per second.
    kept : bool
        Run the seeds that once failed instead of fresh ones.
    without : str
        Mechanism of `standins.soak.without` to disable.
    leaders : bool
        Run the faults that target leaders instead of all others.
    teams : bool
        Run teams with keys and ceilings, and change these.
    restarts : bool
        Run, besides the other faults, those that restart workers under their ids.
    restart_kinds : str
        Regular expression that the names of these faults match.
    late : bool
        Let the store apply writes late, besides the other faults, while callers leave
        and cancel and ask for counts of waiting jobs.
    folder : str
        Folder for the daemons' logs; a temporary one if empty.
    """
    selected = list_recorded_seeds(teams) if kept else range(first, first + seeds)
    root = folder or tempfile.mkdtemp(prefix="soak-")
    failed_count = 0
    for seed in selected:
        log_folder = pathlib.Path(root) / str(seed)
        log_folder.mkdir(parents=True, exist_ok=True)
        result = anyio.run(
            run_seed,
            seed,
            log_folder,
            seconds,
            daemons,
            rate,
            without,
            leaders,
            teams,
            restarts,
            restart_kinds,
            late,
        )
        failed_count += bool(result.violations)
        print(describe(result, log_folder), flush=True)
    print(f"{len(selected)} seeds, {failed_count} with a broken promise")
    return 1 if failed_count else 0


def list_recorded_seeds(teams: bool = False) -> list[int]:
    """Return the seeds that once failed, of runs with teams or of those without."""
    recorded = yaml.safe_load(SEEDS_FILE.read_text()) or ()
    return [entry["seed"] for entry in recorded if entry.get("teams", False) == teams]


def describe(result: Result, log_folder: pathlib.Path) -> str:
    """Return a summary line of a run, and a line for each violation."""
    counts = f"{result.jobs} jobs, {result.calls} calls, {result.refused} refused, "
    counts += f"{result.starts} starts, {len(result.spans)} faults"
    lines = [f"seed {result.seed}: {counts}: {'BROKEN' if result.violations else 'ok'}"]
    lines.extend(f"  {line}" for line in result.violations)
    if result.violations:
        lines.append(f"  logs in {log_folder}")
        for span in sorted(result.spans):
            lines.append(f"  {span.begin:.2f}-{span.end:.2f} {span.kind} {span.target}")
        lines.extend(
            f"  {life.time:.2f} {life.worker} is {life.registered_id}, started at "
            f"{life.start_ms}: {life.vm} at {life.address}"
            for life in result.incarnations
        )
    return "\n".join(lines)


async def run_seed(
    seed: int,
    folder: pathlib.Path,
    seconds: float,
    daemons: int,
    rate: float,
    without: str = "",
    leaders: bool = False,
    teams: bool = False,
    restarts: bool = False,
    restart_kinds: str = "",
    late: bool = False,
) -> Result:
    """Run one seed and check it."""
    rng = random.Random(seed)
    plan = leaderfault.plan if leaders else fault.plan
    faults = plan(random.Random(seed), seconds)
    if teams:
        faults += fault.plan_team_changes(random.Random(seed), seconds)
        faults.sort()
    restarts_rng = random.Random(seed) if restarts else None
    if restarts_rng is not None:
        restarts_plan = restartfault.plan(restarts_rng, seconds, restart_kinds)
        faults = sorted([*faults, *restarts_plan])
    if late:
        faults = sorted([*faults, *latewrite.plan(random.Random(seed), seconds)])
    written = team.Teams() if teams else None
    limits = httpx.Limits(max_connections=MAX_CONNECTIONS, keepalive_expiry=60.0)
    async with (
        httpx.AsyncClient(limits=limits, trust_env=False) as client,
        environment.open_environment(
            folder, daemons, rng, without, written, restarts_rng
        ) as site,
    ):
        await _wait_until_ready(site)
        callers = caller.Callers(site, rng, client)
        injector = restartfault.Injector(site, rng, restarts_rng)
        probes: list[restartaudit.Probe] = []
        leaving = latewrite.LeavingCallers(site, callers, random.Random(seed))
        async with anyio.create_task_group() as group:
            group.start_soon(callers.run, rate, seconds)
            if late:
                group.start_soon(leaving.run, seconds)
            if leaders:
                group.start_soon(callers.run_at_claims, seconds)
            await injector.run(faults)
        observed = audit.Observations(
            callers.jobs,
            callers.calls,
            injector.spans,
            site.vm_fleet,
            site.queue_pools,
            settled_from=http.read_clock(),
            ended=0.0,
            teams=written,
            probes=probes,
        )
        async with anyio.create_task_group() as group:
            if restarts and not teams:
                group.start_soon(_submit_probes, site, callers, probes)
            observed = await _settle(callers, observed)
            group.cancel_scope.cancel()
        if late:
            injector.spans.append(await leaving.finish())
            observed = observed._replace(
                ended=http.read_clock(),
                counts=leaving.counts,
                unacknowledged=leaving.unacknowledged,
            )
        return Result(
            seed,
            audit.check(observed),
            len(observed.jobs),
            len(observed.calls),
            sum(1 for call in observed.calls if call.status in (429, 503)),
            sum(1 for event in site.vm_fleet.events if event.kind == "start"),
            observed.spans,
            site.restarts.incarnations if site.restarts else (),
        )


async def _submit_probes(
    site: environment.Environment,
    callers: caller.Callers,
    probes: list[restartaudit.Probe],
) -> None:
    """Submit a job that needs all VMs of its pool to each queue, after the last fault.

    Probes aren't submitted with teams, whose ceilings keep them waiting.
    """
    await anyio.sleep(audit.RECOVERY_SECONDS)
    for queue in environment.QUEUES:
        probes.append(await restartaudit.submit_probe(site, callers, queue))


async def _wait_until_ready(site: environment.Environment) -> None:
    """Wait until every daemon answers that it is ready."""
    async with httpx.AsyncClient(trust_env=False) as client:
        with anyio.fail_after(START_TIMEOUT_SECONDS):
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


async def _settle(
    callers: caller.Callers, observed: audit.Observations
) -> audit.Observations:
    """Query all jobs until they are final or one is overdue; lasting ones may run.

    Return the observations with the time of the end.
    """
    while True:
        unfinished = [
            job
            for job in observed.jobs
            if job.accepted
            and not job.final
            and not job.is_lasting
            and not job.is_blocked
            and not job.cancelled
        ]
        now = http.read_clock()
        end = min(
            (audit.compute_deadline(observed, job) for job in unfinished),
            default=observed.settled_from + MIN_SETTLE_SECONDS,
        )
        if now >= end:
            return observed._replace(ended=now)
        for job in unfinished:
            await callers.query(job)
        if observed.teams is not None:
            await callers.query_with_invalid_keys()
        await anyio.sleep(0.3)


if __name__ == "__main__":
    run()
