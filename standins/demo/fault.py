"""Fault injection during a demo run: seeded, one fault after another.

Each step is undone before the next one begins and is named in the run's output,
so that a finding can be attributed to a fault.
"""

import random
import signal
import time
from collections.abc import Callable
from typing import NamedTuple

from standins.demo import site

__all__ = ["Step", "make_steps", "run_steps"]

STEP_PAUSE_SECONDS = 2.0


class Step(NamedTuple):
    """One fault: how to inject and undo it, and its duration in seconds."""

    name: str
    begin: Callable[[], None]
    end: Callable[[], None]
    duration: float


def make_steps(target: site.Site, seed: int) -> list[Step]:
    """Return the faults of a run in an order drawn from the seed."""
    rng = random.Random(seed)
    names = list(target.daemons)
    paused, cut, killed = rng.sample(names, 3)
    slow, frozen, broken = rng.sample(sorted(target.workers), 3)
    steps = [
        Step(
            "platform down",
            lambda: target.switch(down=True),
            lambda: target.switch(down=False),
            5.0,
        ),
        Step(
            "platform's answers lost after the write",
            lambda: target.switch(lose={"prefix": "/table/commit", "every": 3}),
            lambda: target.switch(lose={"next": 0}),
            5.0,
        ),
        Step(
            f"{paused} paused",
            lambda: target.children[paused].signal(signal.SIGSTOP),
            lambda: target.children[paused].signal(signal.SIGCONT),
            20.0,
        ),
        Step(
            f"{cut} cut off from the platform",
            lambda: target.switch(cut=[cut]),
            lambda: target.switch(cut=[]),
            12.0,
        ),
        Step(
            f"{slow} slow, {frozen} frozen, {broken} breaks its answers",
            lambda: _set_worker_faults(target, slow, frozen, broken),
            lambda: _set_worker_faults(target, slow, frozen, broken, undo=True),
            6.0,
        ),
    ]
    rng.shuffle(steps)
    kill = Step(
        f"{killed} killed and replaced",
        lambda: _kill(target, killed),
        lambda: _replace(target, killed),
        1.0,
    )
    return [*steps, kill]


def run_steps(
    steps: list[Step], report: Callable[[str], None], is_over: Callable[[], bool]
) -> None:
    """Inject the faults; each one is undone, also if the run ends meanwhile."""
    for step in steps:
        _sleep(STEP_PAUSE_SECONDS, is_over)
        if is_over():
            return
        report(step.name)
        step.begin()
        _sleep(step.duration, is_over)
        step.end()


def _sleep(seconds: float, is_over: Callable[[], bool]) -> None:
    until = time.monotonic() + seconds
    while time.monotonic() < until and not is_over():
        time.sleep(0.1)


def _set_worker_faults(
    target: site.Site, slow: str, frozen: str, broken: str, undo: bool = False
) -> None:
    target.switch_worker(slow, slow=1.0 if undo else 10.0)
    target.switch_worker(frozen, frozen=not undo)
    target.switch_worker(broken, partial=not undo)


def _kill(target: site.Site, name: str) -> None:
    """Kill a daemon and drop it, as a load balancer would, from the callers' list."""
    target.children[name].signal(signal.SIGKILL)
    del target.daemons[name]


def _replace(target: site.Site, name: str) -> None:
    _, number, suffix = name.split("-")
    target.start_daemon(int(number), suffix=chr(ord(suffix) + 1))
