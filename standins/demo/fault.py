"""Faults brought about during a run: seeded, one after another.

Each step names what it does and undoes it before the next begins, so that a
run's output tells which fault a finding belongs to.
"""

import random
import signal
import time
from collections.abc import Callable
from typing import NamedTuple

from standins.demo import site

__all__ = ["Step", "make_steps", "run_steps"]

PAUSE = 2.0  # seconds between steps


class Step(NamedTuple):
    """One fault: what to do, and how long it lasts (seconds)."""

    name: str
    begin: Callable[[], None]
    end: Callable[[], None]
    lasts: float


def make_steps(at: site.Site, seed: int) -> list[Step]:
    """Return the faults of a run in an order drawn from ``seed``."""
    rng = random.Random(seed)
    names = list(at.daemons)
    paused, cut, killed = rng.sample(names, 3)
    slow, frozen, broken = rng.sample(sorted(at.workers), 3)
    steps = [
        Step(
            "platform down",
            lambda: at.switch(down=True),
            lambda: at.switch(down=False),
            5.0,
        ),
        Step(
            "platform's answers lost after the write",
            lambda: at.switch(lose={"prefix": "/table/commit", "every": 3}),
            lambda: at.switch(lose={"next": 0}),
            5.0,
        ),
        Step(
            f"{paused} paused",
            lambda: at.children[paused].signal(signal.SIGSTOP),
            lambda: at.children[paused].signal(signal.SIGCONT),
            20.0,
        ),
        Step(
            f"{cut} cut off from the platform",
            lambda: at.switch(cut=[cut]),
            lambda: at.switch(cut=[]),
            12.0,
        ),
        Step(
            f"{slow} slow, {frozen} frozen, {broken} breaks its answers",
            lambda: _trouble(at, slow, frozen, broken),
            lambda: _trouble(at, slow, frozen, broken, over=True),
            6.0,
        ),
    ]
    rng.shuffle(steps)
    kill = Step(
        f"{killed} killed and replaced",
        lambda: _kill(at, killed),
        lambda: _replace(at, killed),
        1.0,
    )
    return [*steps, kill]


def run_steps(
    steps: list[Step], tell: Callable[[str], None], is_over: Callable[[], bool]
) -> None:
    """Bring the faults about; each is undone, also when the run is over."""
    for step in steps:
        _sleep(PAUSE, is_over)
        if is_over():
            return
        tell(step.name)
        step.begin()
        _sleep(step.lasts, is_over)
        step.end()


def _sleep(seconds: float, is_over: Callable[[], bool]) -> None:
    until = time.monotonic() + seconds
    while time.monotonic() < until and not is_over():
        time.sleep(0.1)


def _trouble(
    at: site.Site, slow: str, frozen: str, broken: str, over: bool = False
) -> None:
    at.switch_worker(slow, slow=1.0 if over else 10.0)
    at.switch_worker(frozen, frozen=not over)
    at.switch_worker(broken, partial=not over)


def _kill(at: site.Site, name: str) -> None:
    """Kill a daemon; the balancer, which we stand in for, leaves it alone."""
    at.children[name].signal(signal.SIGKILL)
    del at.daemons[name]


def _replace(at: site.Site, name: str) -> None:
    _, number, suffix = name.split("-")
    at.start_daemon(int(number), suffix=chr(ord(suffix) + 1))
