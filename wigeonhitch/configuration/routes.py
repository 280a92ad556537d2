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

# Versions returned by default: about one day of changes at a sixth of the target
# load of 520 a day.
DEFAULT_HISTORY_LIMIT = 100
# Maximum number of versions in one answer; each is one row read from the table.
MAX_HISTORY_LIMIT = 1000

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
    """Return the operator routes of the configuration."""
    handlers = DocumentRoutes(documents)
    proposal_path = "/proposals/{proposal}"
    return (
        route.Route("GET", "/document", False, handlers.show),
        route.Route("GET", "/history", False, handlers.show_history),
        route.Route("GET", "/proposals", False, handlers.list_proposals),
        route.Route("POST", "/proposals", True, handlers.submit),
        route.Route("GET", proposal_path, False, handlers.show_proposal),
        route.Route("POST", f"{proposal_path}/approve", True, handlers.approve),
        route.Route("POST", f"{proposal_path}/reject", True, handlers.reject),
    )


class DocumentRoutes:
    """Handlers of the routes for documents, proposals and history."""

    def __init__(self, documents: store.Store) -> None:
        self.documents = documents

    async def show(self, request: route.Request) -> route.Answer:
        """Answer with the version in force, or with the one of ``?version=``."""
        version = None
        if "version" in request.query:
            version = parse_number(request.query["version"])
            if version is None:
                return reject_value(
                    "version", request.query["version"], "a whole number"
                )
        accepted = await self.documents.read_document(version)
        if accepted.outcome is not table.Outcome.DONE:
            return answer_store_down()
        if accepted.intended is None:
            return answer(acceptance.Result(acceptance.Status.MISSING))
        body = {
            "version": accepted.version,
            "hash": accepted.hash,
            "document": canonical.to_plain(accepted.intended),
        }
        return route.Answer(200, body)

    async def submit(self, request: route.Request) -> route.Answer:
        """Submit a document, or resubmit an earlier version (``restore``)."""
        body = request.body if isinstance(request.body, dict) else {}
        unknown = set(body) - {"submission", "base", "document", "restore", "note"}
        if unknown:
            return reject_value(
                sorted(unknown)[0], body[sorted(unknown)[0]], "no such key"
            )
        submission_id = body.get("submission")
        if not isinstance(submission_id, str) or not proposal.is_submission_id(
            submission_id
        ):
            return reject_value(
                "submission", submission_id, "1 to 64 letters, digits and hyphens"
            )
        base = body.get("base")
        if not is_count(base):
            return reject_value(
                "base", base, "the version in force; 0 before the first"
            )
        note = body.get("note", "")
        if not isinstance(note, str):
            return reject_value("note", note, "text")
        intended = await self.resolve_document(body)
        if isinstance(intended, route.Answer):
            return intended
        submitted = store.Submission(
            submission_id, base, intended, request.operator, note
        )
        return answer(await self.documents.submit(submitted))

    async def resolve_document(
        self, body: Mapping[str, Any]
    ) -> document.Document | route.Answer:
        """Return the submitted or restored document, or the error answer."""
        if ("document" in body) == ("restore" in body):
            return reject_value("document", None, "exactly one of document and restore")
        if "document" in body:
            checked = check.check_plain(body["document"])
            if checked.intended is None:
                return reject_document(checked.problems)
            return checked.intended
        version = body["restore"]
        if not is_count(version):
            return reject_value("restore", version, "the number of an earlier version")
        accepted = await self.documents.read_document(version)
        if accepted.outcome is not table.Outcome.DONE:
            return answer_store_down()
        if accepted.intended is None:
            return answer(acceptance.Result(acceptance.Status.MISSING))
        return accepted.intended

    async def approve(self, request: route.Request) -> route.Answer:
        """Approve the content whose hash is given in the body."""
        body = request.body if isinstance(request.body, dict) else {}
        content_hash = body.get("hash")
        if not isinstance(content_hash, str):
            return reject_value(
                "hash", content_hash, "the content hash that is approved"
            )
        submission_id = request.path["proposal"]
        if not proposal.is_submission_id(submission_id):
            return answer(acceptance.Result(acceptance.Status.MISSING))
        result = await self.documents.approve(
            submission_id, request.operator, request.roles, content_hash
        )
        return answer(result)

    async def reject(self, request: route.Request) -> route.Answer:
        """Reject a proposal, or withdraw it as its author."""
        body = request.body if isinstance(request.body, dict) else {}
        reason = body.get("reason")
        if not isinstance(reason, str) or not reason:
            return reject_value("reason", reason, "text")
        submission_id = request.path["proposal"]
        if not proposal.is_submission_id(submission_id):
            return answer(acceptance.Result(acceptance.Status.MISSING))
        result = await self.documents.reject(submission_id, request.operator, reason)
        code = STATUS_CODES[result.status]
        if result.status is acceptance.Status.REJECTED:
            code = 200
        return route.Answer(code, describe_result(result))

    async def list_proposals(self, request: route.Request) -> route.Answer:
        """Answer with the proposals, newest first, filtered by ``?state=``."""
        listing = await self.documents.list_proposals()
        if listing.outcome is not table.Outcome.DONE:
            return answer_store_down()
        proposals = [proposal.read_proposal(row) for row in listing.rows]
        bodies = [
            describe_proposal(entry, listing.current.version)
            for entry in proposals
            if entry
        ]
        state = request.query.get("state")
        if state is not None:
            bodies = [entry for entry in bodies if entry["state"] == state]
        bodies.sort(key=lambda entry: entry["submitted"], reverse=True)
        return route.Answer(200, {"proposals": bodies})

    async def show_proposal(self, request: route.Request) -> route.Answer:
        """Answer with one proposal, its document and the changes it makes."""
        submission_id = request.path["proposal"]
        if not proposal.is_submission_id(submission_id):
            return answer(acceptance.Result(acceptance.Status.MISSING))
        state = await self.documents.read_state(submission_id)
        if state.outcome is not table.Outcome.DONE:
            return answer_store_down()
        if state.stored is None:
            return answer(acceptance.Result(acceptance.Status.MISSING))
        intended = await self.documents.load_document(state.stored.hash)
        base = await self.documents.read_document(state.stored.base)
        if intended is None or base.outcome is not table.Outcome.DONE:
            return answer_store_down()
        changes = difference.compare(base.intended, intended)
        body = describe_proposal(state.stored, state.current.version)
        body["changes"] = [difference.format_change(change) for change in changes]
        body["document"] = canonical.to_plain(intended)
        return route.Answer(200, body)

    async def show_history(self, request: route.Request) -> route.Answer:
        """Answer with the newest accepted versions, up to ``?limit=``."""
        text = request.query.get("limit", str(DEFAULT_HISTORY_LIMIT))
        limit = parse_number(text)
        if limit is None or not 1 <= limit <= MAX_HISTORY_LIMIT:
            return reject_value(
                "limit", text, f"a whole number from 1 to {MAX_HISTORY_LIMIT}"
            )
        listing = await self.documents.list_history(limit)
        if listing.outcome is not table.Outcome.DONE:
            return answer_store_down()
        rows = [dict(row.value) for row in listing.rows if row.value is not None]
        return route.Answer(200, {"versions": rows})


def is_count(value: Any) -> bool:
    """Return whether a decoded value is a non-negative integer."""
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def parse_number(text: str) -> int | None:
    """Return the non-negative integer that a query value holds, or None."""
    return int(text) if text.isascii() and text.isdecimal() else None


def reject_value(place: str, value: Any, expected: str) -> route.Answer:
    """Return the answer to a request with one invalid value."""
    return reject_document((problem.Problem(place, value, expected),))


def reject_document(problems: tuple[problem.Problem, ...]) -> route.Answer:
    """Return the answer to an invalid request, with every problem found."""
    body = {
        "status": acceptance.Status.INVALID.name,
        "reason": acceptance.Status.INVALID.value,
        "problems": [problem.format_problem(entry) for entry in problems],
    }
    return route.Answer(400, body)


def answer_store_down() -> route.Answer:
    """Return the answer when the store could not be read and nothing was done."""
    return answer(acceptance.Result(acceptance.Status.STORE_DOWN))


def answer(result: acceptance.Result) -> route.Answer:
    """Return the answer for a result of `store.Store`."""
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
    if result.stored is not None:
        body["proposal"] = describe_proposal(result.stored, result.version)
    return body


def describe_proposal(stored: proposal.Proposal, version: int) -> dict[str, Any]:
    """Return a proposal as a JSON body.

    A waiting proposal that is not based on the given version in force is shown
    as lapsed.
    """
    state = stored.state.value
    if stored.state is proposal.State.WAITING and stored.base != version:
        state = "lapsed"
    return {
        "submission": stored.id,
        "state": state,
        "base": stored.base,
        "hash": stored.hash,
        "author": stored.author,
        "note": stored.note,
        "version": stored.version,
        "submitted": stored.submitted,
        "decided": stored.decided,
        "decider": stored.decider,
        "reason": stored.reason,
        "given": canonical.to_plain(stored.given),
        "missing": [describe_need(need) for need in stored.missing],
    }


def describe_need(need: approval.Need) -> str:
    """Return a missing approval as text."""
    return f"{need.approvals} of {' or '.join(need.roles)} for {need.change}"
