"""Process that claims keys as a daemon does, for tests with real failures.

``python -m standins.platformclaimant --address URL --name NAME --keys N``
repeatedly claims random keys of a fixed set until SIGTERM. It prints a line for
each event: ``sent KEY ANSWER`` right before a request would be sent to a worker,
``replayed KEY ANSWER``, and ``told VERDICT``.
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

CONCURRENT_REQUESTS = 6


class Claimant:
    """Claims keys and prints the results."""

    def __init__(self, claims: store.Claims, options: argparse.Namespace) -> None:
        self._claims = claims
        self._options = options
        self._rng = random.Random(options.name)
        self._send_count = 0

    async def run(self) -> None:
        """Claim random keys until cancelled."""
        while True:
            key = f"k{self._rng.randrange(self._options.keys)}"
            result = await self._claims.acquire("s", key, "print", timeout=2.0)
            if result.kind is decision.Kind.GRANTED and result.claim is not None:
                await self._use(key, result.claim)
            elif result.answer is not None:
                print("replayed", key, result.answer.body.decode(), flush=True)
            elif result.caller_verdict is not None:
                print(
                    "told",
                    result.caller_verdict.ran.value,
                    result.caller_verdict.reason.value,
                    flush=True,
                )
                refused = result.caller_verdict.ran is verdict.Ran.NO
                await anyio.sleep(0.1 if refused else 0.01)

    async def _use(self, key: str, claim: store.Claim) -> None:
        outcome = self._rng.choice(["ran", "ran", "ran", "broken", "not sent"])
        await anyio.sleep(self._rng.random() * 0.05)
        if outcome == "not sent" or not self._claims.may_send(claim):
            await self._claims.release(claim)
            return
        self._send_count += 1
        body = f"{self._options.name}/{self._send_count}"
        print("sent", key, body, flush=True)
        await anyio.sleep(self._rng.random() * 0.05)
        if outcome == "broken":
            await self._claims.doubt(claim)
            return
        answer = record.KeptAnswer(200, (), body.encode())
        await self._claims.complete(claim, answer)


async def serve(options: argparse.Namespace) -> None:
    """Claim keys until terminated."""
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
            for _ in range(CONCURRENT_REQUESTS):
                tasks.start_soon(claimant.run)


def run() -> None:
    """Parse the options and claim keys."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--keys", type=int, required=True)
    anyio.run(serve, parser.parse_args())


if __name__ == "__main__":
    run()
