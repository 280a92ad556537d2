"""Jobs, workers and configuration document of the placement benchmarks."""

import random
from typing import NamedTuple

from wigeonhitch.configuration import document
from wigeonhitch.placement import job, view

__all__ = [
    "BULK_WINDOW_SECONDS",
    "BURST_JOB_COUNT",
    "CANCEL_AT_SECONDS",
    "CORES_PER_WORKER",
    "MEMORY_GB_PER_WORKER",
    "POOL",
    "SEED",
    "WORKER_COUNT",
    "Workload",
    "build_workload",
    "make_document",
    "make_vms",
]

SEED = 20
WORKER_COUNT = 30
CORES_PER_WORKER, MEMORY_GB_PER_WORKER = 32.0, 64.0

# Deadline of bulk jobs.
BULK_WINDOW_SECONDS = 3600.0

POOL = "batch"

# A burst of jobs is submitted and later cancelled as a whole.
BURST_AT_SECONDS, CANCEL_AT_SECONDS, BURST_JOB_COUNT = 600.0, 900.0, 3000


class Workload(NamedTuple):
    """Submissions by time, and the jobs cancelled at `CANCEL_AT_SECONDS`."""

    jobs: list[tuple[float, job.Submission]]
    burst: set[str]


def build_workload(seed: int) -> Workload:
    """Return a seeded mix of urgent, bulk and impossible jobs."""
    rng = random.Random(seed)
    kinds = []
    for _ in range(20):
        actual_size = (rng.choice([1.0, 2.0, 4.0, 8.0]), rng.choice([2.0, 4.0, 8.0]))
        declared_factors = (10 ** rng.uniform(-1, 1), 10 ** rng.uniform(-1, 1))
        kinds.append((actual_size, declared_factors))
    jobs = []
    at = 0.0
    while at < 1800.0:
        at += rng.expovariate(1.0)
        jobs.append((at, _make_urgent(rng, len(jobs))))
    for _ in range(1900):
        jobs.append((rng.uniform(0.0, 1800.0), _make_bulk(rng, kinds, len(jobs))))
    for index in range(60):
        at = rng.uniform(0.0, 1800.0)
        jobs.append((at, _make_impossible(rng, kinds, len(jobs), index)))
    burst = set()
    for _ in range(BURST_JOB_COUNT):
        submission = _make_bulk(rng, kinds, len(jobs))
        jobs.append((BURST_AT_SECONDS, submission))
        burst.add(f"{submission.team}/{submission.id}")
    jobs.sort(key=lambda item: item[0])
    return Workload(jobs, burst)


def _make_urgent(rng: random.Random, number: int) -> job.Submission:
    work = {"cores": 2.0, "memory": 4.0 * rng.uniform(0.8, 1.2), "duration": 6.0}
    team = f"team{rng.randrange(10)}"
    fields = {"urgency": "urgent", "kind": f"lookup-{team}", "work": work}
    sizes = {"cores": 2.0, "memory": 5.0, "duration": 6.0, "deadline": 30.0}
    return job.Submission(team, f"u{number}", POOL, **sizes, **fields)


def _make_bulk(rng: random.Random, kinds: list, number: int) -> job.Submission:
    index = rng.randrange(len(kinds))
    actual_size, declared_factors = kinds[index]
    variation = rng.uniform(0.8, 1.2)
    duration = rng.uniform(60.0, 600.0)
    work = {
        "cores": actual_size[0],
        "memory": actual_size[1] * variation,
        "duration": duration,
    }
    declared = (
        min(CORES_PER_WORKER, max(0.1, actual_size[0] * declared_factors[0])),
        min(MEMORY_GB_PER_WORKER, max(0.2, actual_size[1] * declared_factors[1])),
    )
    fields = {"kind": f"kind{index}", "work": work}
    sizes = {
        "duration": duration * 10 ** rng.uniform(-0.5, 0.5),
        "deadline": BULK_WINDOW_SECONDS,
    }
    team = f"team{rng.randrange(10)}"
    return job.Submission(team, f"b{number}", POOL, *declared, **sizes, **fields)


def _make_impossible(
    rng: random.Random, kinds: list, number: int, index: int
) -> job.Submission:
    submission = _make_bulk(rng, kinds, number)
    if index % 3 == 0:
        work = {**submission.work, "fails": True, "duration": 20.0}
        return submission._replace(id=f"x{number}", kind="failing", work=work)
    fields = {"cores": 100.0} if index % 3 == 1 else {"memory": 500.0}
    return submission._replace(id=f"x{number}", kind="huge", **fields)


def make_document(pools: int, teams: int, workers: int) -> document.Document:
    """Return a document with pools of equal size."""
    names = [POOL] if pools == 1 else [f"pool{number}" for number in range(pools)]
    share = 0.4 if pools == 1 else 1.0
    return document.Document(
        fleet="bench",
        data_centres=(),
        kinds=(document.Kind("large", CORES_PER_WORKER, MEMORY_GB_PER_WORKER),),
        pools=tuple(
            document.Pool(name, "large", workers // pools, document.Budget(number=1))
            for name in names
        ),
        services=(),
        urgencies=(),
        teams=tuple(
            document.Team(
                f"team{n}",
                share * workers * CORES_PER_WORKER,
                share * workers * MEMORY_GB_PER_WORKER,
            )
            for n in range(teams)
        ),
    )


def make_vms(fleet_document: document.Document, workers: int) -> list[view.Vm]:
    """Return the workers, assigned to the pools round-robin."""
    pools = [pool.name for pool in fleet_document.pools]
    return [
        view.Vm(
            f"w{n}",
            pools[n % len(pools)],
            CORES_PER_WORKER,
            MEMORY_GB_PER_WORKER,
            f"r{n // 4}",
            "a",
            True,
        )
        for n in range(workers)
    ]
