"""The HTTP form of an answer, the same for every verdict.

| verdict | status | header ``Wigeonhitch-Verdict`` | ``Retry-After`` |
|---|---|---|---|
| ran | the worker's own | ``ran`` | no |
| not run | 503, 404, 400 or 422 | ``not run`` | if a retry can succeed |
| may have run | 504, or 409 for a key in use | ``may have run`` | for a key in use |
"""

import json
import math
from typing import NamedTuple

from wigeonhitch import verdict

__all__ = [
    "REASON_HEADER",
    "Reply",
    "VERDICT_HEADER",
    "add_verdict_headers",
    "make_refusal",
]

VERDICT_HEADER = "wigeonhitch-verdict"
REASON_HEADER = "wigeonhitch-reason"

STATUS = {
    verdict.Reason.UNKNOWN_SERVICE: 404,
    verdict.Reason.BAD_REQUEST: 400,
    verdict.Reason.KEY_REUSED: 422,
    verdict.Reason.CLAIMED: 409,
}
STATUS_NOT_RUN = 503
STATUS_MAY_HAVE_RUN = 504


class Reply(NamedTuple):
    """Status, headers and body of an HTTP answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


def make_refusal(result: verdict.Verdict) -> Reply:
    """Return the answer for a verdict without a worker's answer."""
    default_status = (
        STATUS_NOT_RUN if result.ran is verdict.Ran.NO else STATUS_MAY_HAVE_RUN
    )
    fields = {"verdict": result.ran.value, "reason": result.reason.value}
    headers = [("content-type", "application/json")]
    if result.retry_after > 0:
        fields["retry_after"] = round(result.retry_after, 3)
        headers.append(("retry-after", str(math.ceil(result.retry_after))))
    reply = Reply(
        STATUS.get(result.reason, default_status),
        tuple(headers),
        json.dumps(fields).encode(),
    )
    return add_verdict_headers(reply, result)


def add_verdict_headers(reply: Reply, result: verdict.Verdict) -> Reply:
    """Return the reply with the headers that state the verdict."""
    verdict_headers = (
        (VERDICT_HEADER, result.ran.value),
        (REASON_HEADER, result.reason.value),
    )
    other_headers = tuple(
        header
        for header in reply.headers
        if header[0] not in (VERDICT_HEADER, REASON_HEADER)
    )
    return reply._replace(headers=other_headers + verdict_headers)
