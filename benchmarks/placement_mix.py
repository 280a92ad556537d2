"""The jobs, the workers and the document that placement is measured with."""

import random
from typing import NamedTuple

from wigeonhitch.configuration import document
from wigeonhitch.placement import job, view

__all__ = [
    "CANCEL_AT",
    "CORES",
    "MEMORY",
    "POOL",
    "SEED",
    "WAVE",
    "WINDOW",
    "WORKERS",
    "Mix",
    "make_document",
    "make_mix",
    "make_vms",
]

SEED = 20
WORKERS = 30
CORES, MEMORY = 32.0, 64.0

# Seconds in which bulk jobs are to be done.
WINDOW = 3600.0

POOL = "batch"

# Seconds at which a wave of jobs comes and is cancelled, and how many they are.
WAVE_AT, CANCEL_AT, WAVE = 600.0, 900.0, 3000


class Mix(NamedTuple):
    """Submissions by time, and what is cancelled at `CANCEL_AT`."""

    jobs: list[tuple[float, job.Submission]]
    wave: set[str]


def make_mix(seed: int) -> Mix:
    """Return the seeded mix of jobs."""
    rng = random.Random(seed)
    kinds = []
    for _ in range(20):
        truth = (rng.choice([1.0, 2.0, 4.0, 8.0]), rng.choice([2.0, 4.0, 8.0]))
        off = (10 ** rng.uniform(-1, 1), 10 ** rng.uniform(-1, 1))
        kinds.append((truth, off))
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
    wave = set()
    for _ in range(WAVE):
        asked = _make_bulk(rng, kinds, len(jobs))
        jobs.append((WAVE_AT, asked))
        wave.add(f"{asked.team}/{asked.id}")
    jobs.sort(key=lambda item: item[0])
    return Mix(jobs, wave)


def _make_urgent(rng: random.Random, number: int) -> job.Submission:
    work = {"cores": 2.0, "memory": 4.0 * rng.uniform(0.8, 1.2), "duration": 6.0}
    team = f"team{rng.randrange(10)}"
    fields = {"urgency": "urgent", "kind": f"lookup-{team}", "work": work}
    sizes = {"cores": 2.0, "memory": 5.0, "duration": 6.0, "deadline": 30.0}
    return job.Submission(team, f"u{number}", POOL, **sizes, **fields)


def _make_bulk(rng: random.Random, kinds: list, number: int) -> job.Submission:
    index = rng.randrange(len(kinds))
    truth, off = kinds[index]
    vary = rng.uniform(0.8, 1.2)
    duration = rng.uniform(60.0, 600.0)
    work = {"cores": truth[0], "memory": truth[1] * vary, "duration": duration}
    declared = (
        min(CORES, max(0.1, truth[0] * off[0])),
        min(MEMORY, max(0.2, truth[1] * off[1])),
    )
    fields = {"kind": f"kind{index}", "work": work}
    sizes = {"duration": duration * 10 ** rng.uniform(-0.5, 0.5), "deadline": WINDOW}
    team = f"team{rng.randrange(10)}"
    return job.Submission(team, f"b{number}", POOL, *declared, **sizes, **fields)


def _make_impossible(
    rng: random.Random, kinds: list, number: int, index: int
) -> job.Submission:
    asked = _make_bulk(rng, kinds, number)
    if index % 3 == 0:
        work = {**asked.work, "fails": True, "duration": 20.0}
        return asked._replace(id=f"x{number}", kind="failing", work=work)
    fields = {"cores": 100.0} if index % 3 == 1 else {"memory": 500.0}
    return asked._replace(id=f"x{number}", kind="huge", **fields)


def make_document(pools: int, teams: int, workers: int) -> document.Document:
    """Return a document with equal pools."""
    names = [POOL] if pools == 1 else [f"pool{number}" for number in range(pools)]
    share = 0.4 if pools == 1 else 1.0
    return document.Document(
        fleet="bench",
        data_centres=(),
        kinds=(document.Kind("large", CORES, MEMORY),),
        pools=tuple(
            document.Pool(name, "large", workers // pools, document.Budget(number=1))
            for name in names
        ),
        services=(),
        urgencies=(),
        teams=tuple(
            document.Team(f"team{n}", share * workers * CORES, share * workers * MEMORY)
            for n in range(teams)
        ),
    )


def make_vms(plan: document.Document, workers: int) -> list[view.Vm]:
    """Return the workers, dealt out over the pools."""
    pools = [pool.name for pool in plan.pools]
    return [
        view.Vm(f"w{n}", pools[n % len(pools)], CORES, MEMORY, f"r{n // 4}", "a", True)
        for n in range(workers)
    ]
