"""Client of the advice service, which decides what workers may run a step."""

from typing import NamedTuple, Protocol

from wigeonhitch.platform import http

__all__ = ["Advice", "AdviceCalls", "AdviceReply", "StepName"]


class StepName(NamedTuple):
    """One step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int


class AdviceReply(NamedTuple):
    """Tickets by worker, or None and the reason without an answer.

    ``validity`` is the time in seconds for which the tickets are valid.
    """

    tickets: dict[str, str] | None
    validity: float = 0.0
    reason: str = ""


class AdviceCalls(Protocol):
    """Calls of a pool's leader to the advice service."""

    async def ask(
        self, step: StepName, workers: list[str], *, timeout: float
    ) -> AdviceReply:
        """Return the tickets of the workers that may run a step."""
        ...


class Advice:
    """Implements `AdviceCalls` over HTTP."""

    def __init__(self, client: http.Client, address: str) -> None:
        self._client = client
        self._address = address

    async def ask(
        self, step: StepName, workers: list[str], *, timeout: float
    ) -> AdviceReply:
        """Return the tickets of the workers that may run a step."""
        if not self._address:
            return AdviceReply(None, reason="no address")
        name = f"{step.job}.{step.occurrence}.{step.step}"
        body = {"step": name, "workers": workers}
        reply = await self._client.call(
            "POST", self._address, "/v1/advise", timeout=timeout, body=body
        )
        if reply.status != 200 or not isinstance(reply.body, dict):
            return AdviceReply(None, reason=reply.reason or f"status {reply.status}")
        tickets = {row[0]: row[1] for row in reply.body.get("good", ())}
        return AdviceReply(tickets, reply.body.get("validity_ms", 0) / 1000)
