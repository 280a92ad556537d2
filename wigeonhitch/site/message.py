"""Answers to callers' requests on jobs."""

import enum
from typing import NamedTuple, Protocol

from wigeonhitch.jobs import credential, model

__all__ = ["Answer", "RequestHandler", "Verdict", "refuse"]

RETRY_AFTER_SECONDS = 1.0
"""Retry delay told to a refused caller. It is the shortest that can be expressed,
since another daemon may reach the store meanwhile."""


class Verdict(enum.Enum):
    """Outcome told to a caller, including whether the request may have run."""

    ACCEPTED = "accepted"
    FOUND = "found"
    MISSING = "missing"
    NO_QUEUE = "no queue"
    NOT_RUN = "not run"
    """Certainly not carried out, and never will be."""
    UNKNOWN = "unknown"
    """May have been carried out; repeating it is safe."""
    INVALID = "invalid"
    UNAUTHORIZED = "unauthorized"
    """Not carried out, as the caller's key isn't valid."""


class Answer(NamedTuple):
    """Answer to one request; ``retry_after`` is in seconds, 0 for none."""

    verdict: Verdict
    state: model.JobState | None = None
    pending: int | None = None
    retry_after: float = 0.0
    reason: str = ""


def refuse(reason: str) -> Answer:
    """Return the answer to a request that hasn't run and never will."""
    return Answer(Verdict.NOT_RUN, retry_after=RETRY_AFTER_SECONDS, reason=reason)


class RequestHandler(Protocol):
    """Answers callers' requests."""

    @property
    def max_body_bytes(self) -> int:
        """Maximum size of a request's body, in bytes."""
        ...

    def find_queue(self, host: str, path: str) -> model.Queue | Answer:
        """Return the queue of a path, or the answer to the caller if there is none."""
        ...

    def authorize(
        self, queue: model.Queue, key: bytes | credential.InvalidKey
    ) -> model.Team | Answer:
        """Return the team of a caller's key, or the answer to the caller."""
        ...

    async def submit(self, queue: model.Queue, job: model.Job) -> Answer:
        """Accept a job durably, once."""
        ...

    async def show(self, queue: model.Queue, id: str) -> Answer:
        """Return a job's state."""
        ...

    async def cancel(self, queue: model.Queue, id: str, team: str = "") -> Answer:
        """Cancel a job for a caller of a team."""
        ...

    async def count(self, queue: model.Queue) -> Answer:
        """Return how many accepted jobs have not started."""
        ...
