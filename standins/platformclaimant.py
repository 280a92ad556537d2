"""A process that claims keys like a daemon, for proofs under real failures.

``python -m standins.platformclaimant --address URL --name NAME --keys N``
claims random keys of a fixed set again and again until SIGTERM. Each line it
prints is a fact: ``sent KEY ANSWER`` right before a request would go to a
worker, ``replayed KEY ANSWER``, ``told VERDICT``.
"""

import argparse
import contextlib
import random

import anyio
from absl import logging

from wigeonhitch import verdict
from wigeonhitch.idempotency import decision, record, store
from wigeonhitch.platform import client

__all__ = ["run"]

WORKERS = 6
"""Requests under way at once."""


class Claimant:
    """Claims keys and prints what becomes of them."""

    def __init__(self, claims: store.Claims, options: argparse.Namespace) -> None:
        self._claims = claims
        self._options = options
        self._rng = random.Random(options.name)
        self._serial = 0

    async def run(self) -> None:
        """Claim random keys for ever."""
        while True:
            key = f"k{self._rng.randrange(self._options.keys)}"
            got = await self._claims.acquire("s", key, "print", timeout=2.0)
            if got.kind is decision.Kind.GRANTED and got.claim is not None:
                await self._use(key, got.claim)
            elif got.answer is not None:
                print("replayed", key, got.answer.body.decode(), flush=True)
            elif got.caller_verdict is not None:
                print(
                    "told",
                    got.caller_verdict.ran.value,
                    got.caller_verdict.reason.value,
                    flush=True,
                )
                refused = got.caller_verdict.ran is verdict.Ran.NO
                await anyio.sleep(0.1 if refused else 0.01)

    async def _use(self, key: str, claim: store.Claim) -> None:
        fate = self._rng.choice(["ran", "ran", "ran", "broken", "not sent"])
        await anyio.sleep(self._rng.random() * 0.05)
        if fate == "not sent" or not self._claims.may_send(claim):
            await self._claims.release(claim)
            return
        self._serial += 1
        body = f"{self._options.name}/{self._serial}"
        print("sent", key, body, flush=True)
        await anyio.sleep(self._rng.random() * 0.05)
        if fate == "broken":
            await self._claims.doubt(claim)
            return
        answer = record.KeptAnswer(200, (), body.encode())
        await self._claims.complete(claim, answer)


async def serve(options: argparse.Namespace) -> None:
    """Claim until ended."""
    logging.set_verbosity(logging.ERROR)
    async with contextlib.AsyncExitStack() as stack:
        rng = random.Random(options.name)
        platform = await client.open_client(
            stack, options.address, rng=rng, daemon=options.name
        )
        claims = store.Claims(platform, platform, options.name, rng=rng)
        claimant = Claimant(claims, options)
        async with anyio.create_task_group() as tasks:
            await tasks.start(claims.run)
            for _ in range(WORKERS):
                tasks.start_soon(claimant.run)


def run() -> None:
    """Read the options and claim."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--keys", type=int, required=True)
    anyio.run(serve, parser.parse_args())


if __name__ == "__main__":
    run()
