"""Operator routes for documents, proposals and history."""

from collections.abc import Mapping
from typing import Any

from wigeonhitch.configuration import (
    acceptance,
    approval,
    canonical,
    check,
    difference,
    document,
    problem,
    proposal,
    store,
)
from wigeonhitch.operators import route
from wigeonhitch.platform import table

__all__ = ["DocumentRoutes", "make_routes"]

# Versions shown by default: about one day of changes at a sixth of the target.
SHOWN_VERSIONS = 100
# Most versions of one answer; each is one row read from the table.
MOST_VERSIONS = 1000

STATUS_CODES = {
    acceptance.Status.ACCEPTED: 200,
    acceptance.Status.UNCHANGED: 200,
    acceptance.Status.WAITING: 202,
    acceptance.Status.INVALID: 400,
    acceptance.Status.OWN: 403,
    acceptance.Status.NO_ROLE: 403,
    acceptance.Status.MISSING: 404,
    acceptance.Status.CONFLICT: 409,
    acceptance.Status.REUSED: 409,
    acceptance.Status.OTHER_CONTENT: 409,
    acceptance.Status.REJECTED: 409,
    acceptance.Status.STORE_DOWN: 503,
    acceptance.Status.UNKNOWN: 504,
}


def make_routes(documents: store.Store) -> tuple[route.Route, ...]:
    """Return the routes of this slice."""
    handlers = DocumentRoutes(documents)
    one = "/proposals/{proposal}"
    return (
        route.Route("GET", "/document", False, handlers.show),
        route.Route("GET", "/history", False, handlers.show_history),
        route.Route("GET", "/proposals", False, handlers.list_proposals),
        route.Route("POST", "/proposals", True, handlers.submit),
        route.Route("GET", one, False, handlers.show_proposal),
        route.Route("POST", f"{one}/approve", True, handlers.approve),
        route.Route("POST", f"{one}/reject", True, handlers.reject),
    )


class DocumentRoutes:
    """Handlers; each turns a request into one call of the store."""

    def __init__(self, documents: store.Store) -> None:
        self.documents = documents

    async def show(self, request: route.Request) -> route.Answer:
        """Answer with the version in force, or with ``?version=``."""
        version = None
        if "version" in request.query:
            version = read_number(request.query["version"])
            if version is None:
                return refuse("version", request.query["version"], "a whole number")
        found = await self.documents.read_document(version)
        if found.outcome is not table.Outcome.DONE:
            return fail_store()
        if found.intended is None:
            return answer(acceptance.Result(acceptance.Status.MISSING))
        body = {
            "version": found.version,
            "hash": found.hash,
            "document": canonical.to_plain(found.intended),
        }
        return route.Answer(200, body)

    async def submit(self, request: route.Request) -> route.Answer:
        """Submit a document, or an earlier version again (``restore``)."""
        body = request.body if isinstance(request.body, dict) else {}
        unknown = set(body) - {"submission", "base", "document", "restore", "note"}
        if unknown:
            return refuse(sorted(unknown)[0], body[sorted(unknown)[0]], "no such key")
        submission = body.get("submission")
        if not isinstance(submission, str) or not proposal.is_submission_id(submission):
            return refuse(
                "submission", submission, "1 to 64 letters, digits and hyphens"
            )
        base = body.get("base")
        if not is_number(base):
            return refuse("base", base, "the version in force; 0 before the first")
        note = body.get("note", "")
        if not isinstance(note, str):
            return refuse("note", note, "text")
        intended = await self.find_document(body)
        if isinstance(intended, route.Answer):
            return intended
        submitted = store.Submission(submission, base, intended, request.operator, note)
        return answer(await self.documents.submit(submitted))

    async def find_document(
        self, body: Mapping[str, Any]
    ) -> document.Document | route.Answer:
        """Return the submitted or restored document, or why there is none."""
        if ("document" in body) == ("restore" in body):
            return refuse("document", None, "exactly one of document and restore")
        if "document" in body:
            checked = check.check_plain(body["document"])
            if checked.intended is None:
                return refuse_document(checked.problems)
            return checked.intended
        version = body["restore"]
        if not is_number(version):
            return refuse("restore", version, "the number of an earlier version")
        found = await self.documents.read_document(version)
        if found.outcome is not table.Outcome.DONE:
            return fail_store()
        if found.intended is None:
            return answer(acceptance.Result(acceptance.Status.MISSING))
        return found.intended

    async def approve(self, request: route.Request) -> route.Answer:
        """Approve the content that the body's ``hash`` names."""
        body = request.body if isinstance(request.body, dict) else {}
        content = body.get("hash")
        if not isinstance(content, str):
            return refuse("hash", content, "the content hash that is approved")
        submission = request.path["proposal"]
        if not proposal.is_submission_id(submission):
            return answer(acceptance.Result(acceptance.Status.MISSING))
        result = await self.documents.approve(
            submission, request.operator, request.roles, content
        )
        return answer(result)

    async def reject(self, request: route.Request) -> route.Answer:
        """Reject a proposal, or withdraw one's own."""
        body = request.body if isinstance(request.body, dict) else {}
        reason = body.get("reason")
        if not isinstance(reason, str) or not reason:
            return refuse("reason", reason, "text")
        submission = request.path["proposal"]
        if not proposal.is_submission_id(submission):
            return answer(acceptance.Result(acceptance.Status.MISSING))
        result = await self.documents.reject(submission, request.operator, reason)
        code = STATUS_CODES[result.status]
        if result.status is acceptance.Status.REJECTED:
            code = 200
        return route.Answer(code, describe_result(result))

    async def list_proposals(self, request: route.Request) -> route.Answer:
        """Answer with the proposals, newest first; ``?state=`` selects some."""
        found = await self.documents.list_proposals()
        if found.outcome is not table.Outcome.DONE:
            return fail_store()
        known = [proposal.read_proposal(row) for row in found.rows]
        shown = [describe_proposal(one, found.current.version) for one in known if one]
        state = request.query.get("state")
        if state is not None:
            shown = [one for one in shown if one["state"] == state]
        shown.sort(key=lambda one: one["submitted"], reverse=True)
        return route.Answer(200, {"proposals": shown})

    async def show_proposal(self, request: route.Request) -> route.Answer:
        """Answer with one proposal, its document and what it would change."""
        submission = request.path["proposal"]
        if not proposal.is_submission_id(submission):
            return answer(acceptance.Result(acceptance.Status.MISSING))
        state = await self.documents.read_state(submission)
        if state.outcome is not table.Outcome.DONE:
            return fail_store()
        if state.known is None:
            return answer(acceptance.Result(acceptance.Status.MISSING))
        intended = await self.documents.load(state.known.hash)
        base = await self.documents.read_document(state.known.base)
        if intended is None or base.outcome is not table.Outcome.DONE:
            return fail_store()
        changes = difference.compare(base.intended, intended)
        body = describe_proposal(state.known, state.current.version)
        body["changes"] = [difference.format_change(change) for change in changes]
        body["document"] = canonical.to_plain(intended)
        return route.Answer(200, body)

    async def show_history(self, request: route.Request) -> route.Answer:
        """Answer with the newest accepted versions; ``?limit=`` of them."""
        text = request.query.get("limit", str(SHOWN_VERSIONS))
        limit = read_number(text)
        if limit is None or not 1 <= limit <= MOST_VERSIONS:
            return refuse("limit", text, f"a whole number from 1 to {MOST_VERSIONS}")
        found = await self.documents.list_history(limit)
        if found.outcome is not table.Outcome.DONE:
            return fail_store()
        rows = [dict(row.value) for row in found.rows if row.value is not None]
        return route.Answer(200, {"versions": rows})


def is_number(value: Any) -> bool:
    """Return whether a decoded value is a whole number of at least 0."""
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def read_number(text: str) -> int | None:
    """Return a whole number from a query, or None."""
    return int(text) if text.isascii() and text.isdecimal() else None


def refuse(place: str, value: Any, expected: str) -> route.Answer:
    """Answer that one value of the request is wrong."""
    return refuse_document((problem.Problem(place, value, expected),))


def refuse_document(problems: tuple[problem.Problem, ...]) -> route.Answer:
    """Answer with every problem found."""
    body = {
        "status": acceptance.Status.INVALID.name,
        "reason": acceptance.Status.INVALID.value,
        "problems": [problem.format_problem(one) for one in problems],
    }
    return route.Answer(400, body)


def fail_store() -> route.Answer:
    """Answer that the store could not be read, so nothing was done."""
    return answer(acceptance.Result(acceptance.Status.STORE_DOWN))


def answer(result: acceptance.Result) -> route.Answer:
    """Return the answer for a result of the store."""
    return route.Answer(STATUS_CODES[result.status], describe_result(result))


def describe_result(result: acceptance.Result) -> dict[str, Any]:
    """Return a result as a JSON body."""
    reason = result.status.value
    if result.reason:
        reason += f" ({result.reason})"
    body: dict[str, Any] = {
        "status": result.status.name,
        "reason": reason,
        "version": result.version,
    }
    if result.known is not None:
        body["proposal"] = describe_proposal(result.known, result.version)
    return body


def describe_proposal(known: proposal.Proposal, version: int) -> dict[str, Any]:
    """Return a proposal as a JSON body, as seen from the version in force."""
    state = known.state.value
    if known.state is proposal.State.WAITING and known.base != version:
        state = "lapsed"
    return {
        "submission": known.id,
        "state": state,
        "base": known.base,
        "hash": known.hash,
        "author": known.author,
        "note": known.note,
        "version": known.version,
        "submitted": known.submitted,
        "decided": known.decided,
        "decider": known.decider,
        "reason": known.reason,
        "given": canonical.to_plain(known.given),
        "missing": [describe_need(need) for need in known.missing],
    }


def describe_need(need: approval.Need) -> str:
    """Return a missing approval in words."""
    return f"{need.approvals} of {' or '.join(need.roles)} for {need.change}"
