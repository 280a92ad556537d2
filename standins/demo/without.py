"""Daemon with one mechanism disabled: ``python -m standins.demo.without NAME ...``.

Shows that the process tests can fail. Each entry of `MECHANISMS` disables one
mechanism of the daemon; the test of the property that it ensures must then fail.
The process tests use it when the environment variable ``WITHOUT`` holds a name.
"""

import sys
from collections.abc import Callable
from typing import Any

from wigeonhitch import verdict
from wigeonhitch.daemon import assembly, main, workers
from wigeonhitch.fleet import wave
from wigeonhitch.front import dispatcher, guard, sender
from wigeonhitch.idempotency import store
from wigeonhitch.membership import duty, holder

__all__ = ["MECHANISMS", "run"]


def skip_claims() -> None:
    """Send keyed requests without acquiring a claim."""

    async def serve(self: Any, key: str, *arguments: Any) -> Any:
        del key
        return await self._dispatch.serve(*arguments)

    guard.IdempotencyGuard.serve = serve


def skip_send_window() -> None:
    """Allow sending regardless of the age of the claim."""
    store.Claims.may_send = lambda self, claim: True


def call_breaks_not_run() -> None:
    """Classify every exchange with a worker of unknown outcome as "not run"."""
    original = sender.Sender.send
    refused = sender.Result(verdict.not_run(verdict.Reason.NOT_CONNECTED))

    async def send(self: Any, attempt: sender.Attempt) -> sender.Result:
        result = await original(self, attempt)
        return refused if result.verdict.ran is verdict.Ran.MAYBE else result

    sender.Sender.send = send


def tell_unknown_not_run() -> None:
    """Answer "not run" to callers for every request of unknown outcome."""
    original = dispatcher.Dispatcher.serve
    refused = verdict.not_run(verdict.Reason.DEADLINE)

    async def serve(self: Any, *arguments: Any) -> dispatcher.FinalAnswer:
        final = await original(self, *arguments)
        if final.verdict.ran is verdict.Ran.MAYBE:
            return dispatcher.FinalAnswer(refused, None)
        return final

    dispatcher.Dispatcher.serve = serve


def skip_confirmation() -> None:
    """Stop a drained VM without waiting for the daemons' confirmation."""
    wave.find_unconfirmed = lambda snapshot, row: ()


def ignore_drains() -> None:
    """Keep sending to VMs that are draining, but confirm the drain."""
    workers.Workers._find_unusable = lambda self: frozenset()


def skip_finish() -> None:
    """Stop without finishing held requests."""

    async def stop(self: Any) -> None:
        self.stopping = True

    assembly.Daemon.stop = stop


def keep_duties() -> None:
    """Never take over the duties of a lost daemon."""
    original = duty.Duties

    def make(daemon: str, limits: duty.Limits) -> duty.Duties:
        return original(daemon, limits._replace(lease=3600.0))

    holder.duty.Duties = make


def skip_readiness() -> None:
    """Report readiness without checking the active version."""
    assembly.Daemon.is_ready = lambda self: not self.stopping


MECHANISMS: dict[str, Callable[[], None]] = {
    mechanism.__name__: mechanism
    for mechanism in (
        skip_claims,
        skip_send_window,
        call_breaks_not_run,
        tell_unknown_not_run,
        skip_confirmation,
        ignore_drains,
        skip_finish,
        keep_duties,
        skip_readiness,
    )
}


def run() -> None:
    """Disable the named mechanism and run the daemon."""
    MECHANISMS[sys.argv.pop(1)]()
    main.run()


if __name__ == "__main__":
    run()
