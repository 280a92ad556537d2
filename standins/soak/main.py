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

__all__ = ["Options", "Result", "list_recorded_seeds", "run", "run_seed"]

SEEDS_FILE = pathlib.Path(__file__).with_name("seeds.yaml")

START_TIMEOUT_SECONDS = 20.0
"""Time in which a daemon becomes ready, also on a busy machine."""

MIN_SETTLE_SECONDS = audit.SETTLE_SECONDS / 2
"""Time after the last fault that lasting tasks get to run."""

MAX_CONNECTIONS = 200
"""Connections of the callers; each is kept until the daemon's process exits."""


class Options(NamedTuple):
    """What is run with each seed; `soak` describes the fields."""

    seconds: float = 16.0
    daemons: int = 3
    rate: float = 4.0
    without: str = ""
    leaders: bool = False
    teams: bool = False
    restarts: bool = False
    restart_kinds: str = ""
    late: bool = False


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
    options = Options(
        seconds=seconds,
        daemons=daemons,
        rate=rate,
        without=without,
        leaders=leaders,
        teams=teams,
        restarts=restarts,
        restart_kinds=restart_kinds,
        late=late,
    )
    selected = list_recorded_seeds(teams) if kept else range(first, first + seeds)
    root = folder or tempfile.mkdtemp(prefix="soak-")
    failed_count = 0
    for seed in selected:
        log_folder = pathlib.Path(root) / str(seed)
        log_folder.mkdir(parents=True, exist_ok=True)
        result = anyio.run(run_seed, seed, log_folder, options)
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


async def run_seed(seed: int, folder: pathlib.Path, options: Options) -> Result:
    """Run one seed and check it."""
    rng = random.Random(seed)
    restarts_rng = random.Random(seed) if options.restarts else None
    faults = _plan_faults(seed, options, restarts_rng)
    teams = team.Teams() if options.teams else None
    limits = httpx.Limits(max_connections=MAX_CONNECTIONS, keepalive_expiry=60.0)
    async with (
        httpx.AsyncClient(limits=limits, trust_env=False) as client,
        environment.open_environment(
            folder, options.daemons, rng, options.without, teams, restarts_rng
        ) as site,
    ):
        await _wait_until_ready(site)
        callers = caller.Callers(site, rng, client)
        injector = restartfault.Injector(site, rng, restarts_rng)
        leaving = latewrite.LeavingCallers(site, callers, random.Random(seed))
        async with anyio.create_task_group() as group:
            group.start_soon(callers.run, options.rate, options.seconds)
            if options.late:
                group.start_soon(leaving.run, options.seconds)
            if options.leaders:
                group.start_soon(callers.run_at_claims, options.seconds)
            await injector.run(faults)
        probes: list[restartaudit.Probe] = []
        observed = audit.Observations(
            callers.jobs,
            callers.calls,
            injector.spans,
            site.vm_fleet,
            site.queue_pools,
            settled_from=http.read_clock(),
            ended=0.0,
            teams=teams,
            probes=probes,
        )
        async with anyio.create_task_group() as group:
            if options.restarts and not options.teams:
                group.start_soon(_submit_probes, site, callers, probes)
            observed = await _settle(callers, observed)
            group.cancel_scope.cancel()
        if options.late:
            injector.spans.append(await leaving.finish())
            observed = observed._replace(
                ended=http.read_clock(),
                counts=leaving.counts,
                unacknowledged=leaving.unacknowledged,
            )
        return _summarize(seed, site, observed)


def _plan_faults(
    seed: int, options: Options, restarts_rng: random.Random | None
) -> list[fault.Fault]:
    """Return the faults of a run, each kind drawn from a generator of its own."""
    plan = leaderfault.plan if options.leaders else fault.plan
    faults = plan(random.Random(seed), options.seconds)
    if options.teams:
        faults += fault.plan_team_changes(random.Random(seed), options.seconds)
    if restarts_rng is not None:
        faults += restartfault.plan(
            restarts_rng, options.seconds, options.restart_kinds
        )
    if options.late:
        faults += latewrite.plan(random.Random(seed), options.seconds)
    return sorted(faults)


def _summarize(
    seed: int, site: environment.Environment, observed: audit.Observations
) -> Result:
    """Check what was observed and return the results."""
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
