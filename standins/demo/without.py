"""A daemon with one mechanism off: ``python -m standins.demo.without NAME ...``.

A proof that cannot fail proves nothing. Each entry of `MECHANISMS` takes one
mechanism out of the daemon; the proof of its property must then fail. Used by
the tests of processes with the environment variable ``WITHOUT`` set to a name.
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
    """Send keyed requests without a claim."""

    async def serve(self: Any, key: str, *given: Any) -> Any:
        del key
        return await self._dispatch.serve(*given)

    guard.IdempotencyGuard.serve = serve


def skip_send_window() -> None:
    """Send whenever, however old the claim is."""
    store.Claims.may_send = lambda self, claim: True


def call_breaks_not_run() -> None:
    """Take every exchange of unknown fate with a worker for "not run"."""
    original = sender.Sender.send
    refused = sender.Result(verdict.not_run(verdict.Reason.NOT_CONNECTED))

    async def send(self: Any, attempt: sender.Attempt) -> sender.Result:
        result = await original(self, attempt)
        return refused if result.verdict.ran is verdict.Ran.MAYBE else result

    sender.Sender.send = send


def tell_unknown_not_run() -> None:
    """Tell callers "not run" for every request of unknown fate."""
    original = dispatcher.Dispatcher.serve
    refused = verdict.not_run(verdict.Reason.DEADLINE)

    async def serve(self: Any, *given: Any) -> dispatcher.FinalAnswer:
        final = await original(self, *given)
        if final.verdict.ran is verdict.Ran.MAYBE:
            return dispatcher.FinalAnswer(refused, None)
        return final

    dispatcher.Dispatcher.serve = serve


def skip_confirmation() -> None:
    """Stop a drained VM without waiting for any daemon."""
    wave.find_unconfirmed = lambda snapshot, row: ()


def ignore_drains() -> None:
    """Send to VMs that are draining, and confirm the drain."""
    workers.Workers._find_unusable = lambda self: frozenset()


def skip_finish() -> None:
    """Stop without finishing what is held."""

    async def stop(self: Any) -> None:
        self.stopping = True

    assembly.Daemon.stop = stop


def keep_duties() -> None:
    """Never take a lost daemon's duties over."""
    original = duty.Duties

    def make(daemon: str, limits: duty.Limits) -> duty.Duties:
        return original(daemon, limits._replace(lease=3600.0))

    holder.duty.Duties = make


def skip_readiness() -> None:
    """Be ready whatever is known of the version in force."""
    assembly.Daemon.is_ready = lambda self: not self.stopping


MECHANISMS: dict[str, Callable[[], None]] = {
    one.__name__: one
    for one in (
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
    """Take the named mechanism out and run the daemon."""
    MECHANISMS[sys.argv.pop(1)]()
    main.run()


if __name__ == "__main__":
    run()
