"""The HTTP form of an answer, the same for every verdict.

| verdict | status | header ``Wigeonhitch-Verdict`` | ``Retry-After`` |
|---|---|---|---|
| ran | the worker's own | ``ran`` | no |
| not run | 503, 404 or 422 | ``not run`` | when coming back can help |
| may have run | 504, or 409 for a key in use | ``may have run`` | for a key in use |
"""

import json
import math
from typing import NamedTuple

from wigeonhitch import verdict

__all__ = ["REASON_HEADER", "Reply", "VERDICT_HEADER", "make_refusal", "mark"]

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


def make_refusal(given: verdict.Verdict) -> Reply:
    """Return the answer for a verdict that comes with no worker's answer."""
    default = STATUS_NOT_RUN if given.ran is verdict.Ran.NO else STATUS_MAY_HAVE_RUN
    fields = {"verdict": given.ran.value, "reason": given.reason.value}
    headers = [("content-type", "application/json")]
    if given.retry_after > 0:
        fields["retry_after"] = round(given.retry_after, 3)
        headers.append(("retry-after", str(math.ceil(given.retry_after))))
    reply = Reply(
        STATUS.get(given.reason, default),
        tuple(headers),
        json.dumps(fields).encode(),
    )
    return mark(reply, given)


def mark(reply: Reply, given: verdict.Verdict) -> Reply:
    """Return the reply with the headers that state the verdict."""
    stated = (
        (VERDICT_HEADER, given.ran.value),
        (REASON_HEADER, given.reason.value),
    )
    kept = tuple(
        header
        for header in reply.headers
        if header[0] not in (VERDICT_HEADER, REASON_HEADER)
    )
    return reply._replace(headers=kept + stated)
