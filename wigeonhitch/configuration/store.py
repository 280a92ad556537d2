"""Submission, approval, rejection and reading of documents in the store.

A document is written to the object store under its content hash before any row
refers to it, so the content of a version in force always exists. Every request
returns an `acceptance.Result`, also when the store is down or an answer lost.
"""

import collections
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio

from wigeonhitch.configuration import (
    acceptance,
    approval,
    canonical,
    check,
    document,
    proposal,
)
from wigeonhitch.platform import table

__all__ = ["Accepted", "Listing", "Store", "Submission"]

PURPOSE = "configuration"

# Attempts per request. A race among a handful of operators is settled within
# two or three; more attempts would take longer than the ten seconds after which
# an operator's client gives up.
MAX_ATTEMPTS = 5
# Pause before the second attempt; it grows linearly with each further one.
RETRY_PAUSE_SECONDS = 0.2

# Documents cached by hash: the one in force and those proposed. A document of
# the target size takes about 1 MB as records, so that eight take little memory.
MAX_CACHED_DOCUMENTS = 8


class Submission(NamedTuple):
    """A document submitted by an operator.

    Parameters
    ----------
    id : str
        Chosen by the operator's client; a retry repeats it.
    base : int
        Version that the document is based on; 0 before the first.
    intended : document.Document
        The checked document.
    author : str
        Name of the operator.
    note : str
        The author's reason for the change.
    """

    id: str
    base: int
    intended: document.Document
    author: str
    note: str = ""


class Accepted(NamedTuple):
    """An accepted version with its document.

    ``outcome`` tells whether the store answered; ``intended`` is None when the
    version does not exist or its content could not be read.
    """

    outcome: table.Outcome
    version: int = 0
    hash: str = ""
    intended: document.Document | None = None


class Listing(NamedTuple):
    """Rows read from the table, or the reason why they could not be read."""

    outcome: table.Outcome
    rows: tuple[table.Row, ...] = ()
    current: proposal.Current = proposal.Current()
    reason: str = ""


class State(NamedTuple):
    """The version in force and one proposal, as read together."""

    outcome: table.Outcome
    current: proposal.Current = proposal.Current()
    stored: proposal.Proposal | None = None
    time: float = 0.0


def ignore_accepted(version: int, content_hash: str, data: bytes) -> None:
    """Ignore an accepted version; the default for ``on_accepted``."""


class Store:
    """Handles operators' requests about documents on the platform's store.

    Parameters
    ----------
    rows : table.Table
        The platform's table.
    objects : table.ObjectStore
        The platform's object store.
    sleep : callable
        Waits a number of seconds between attempts.
    on_accepted : callable
        Called with version, hash and content when a commit of this instance put
        a version in force. If the store goes down right afterwards, only this
        daemon knows of the version and must notify its peers.
    """

    def __init__(
        self,
        rows: table.Table,
        objects: table.ObjectStore,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
        on_accepted: Callable[[int, str, bytes], None] = ignore_accepted,
    ) -> None:
        self.rows = rows
        self.objects = objects
        self.sleep = sleep
        self.on_accepted = on_accepted
        self.cached_documents: collections.OrderedDict[str, document.Document] = (
            collections.OrderedDict()
        )

    async def submit(self, submission: Submission) -> acceptance.Result:
        """Submit a document; a retry with the same id is safe.

        Returns
        -------
        acceptance.Result
            ``UNKNOWN`` means that the submission may be stored or in force;
            retry with the same id. ``STORE_DOWN`` means that it is neither.
        """
        data = canonical.encode(submission.intended)
        content_hash = canonical.hash_bytes(data)
        if not await self.put_document(content_hash, data):
            return acceptance.Result(acceptance.Status.STORE_DOWN)
        self.cache_document(content_hash, submission.intended)
        submitted = proposal.Proposal(
            submission.id,
            submission.base,
            content_hash,
            submission.author,
            submission.note,
        )
        needs_by_version: dict[int, tuple[approval.Need, ...]] = {}

        async def prepare(state: State) -> bool:
            current = state.current
            if state.stored is not None or current.version != submission.base:
                return True
            in_force = (
                await self.load_document(current.hash) if current.version else None
            )
            if current.version and in_force is None:
                return False
            needs = approval.find_needs(in_force, submission.intended)
            needs_by_version[current.version] = needs
            return True

        def decide(state: State) -> acceptance.Result | acceptance.Commit:
            needs = needs_by_version.get(state.current.version, ())
            stamped_submission = submitted._replace(needs=needs, submitted=state.time)
            return acceptance.decide_submission(
                state.current, state.stored, stamped_submission
            )

        return await self.commit_decision(submission.id, decide, prepare)

    async def approve(
        self,
        submission_id: str,
        operator: str,
        roles: frozenset[str],
        content_hash: str,
    ) -> acceptance.Result:
        """Approve the content of a proposal on the version it is based on."""

        def decide(state: State) -> acceptance.Result | acceptance.Commit:
            base = state.stored.base if state.stored else 0
            sorted_roles = tuple(sorted(roles))
            new_approval = approval.Given(
                operator, sorted_roles, content_hash, base, state.time
            )
            return acceptance.decide_approval(state.current, state.stored, new_approval)

        async def prepare(state: State) -> bool:
            # Loaded before the commit, so that peers can be given it afterwards
            # even if the store goes down.
            if state.stored is None or state.stored.hash != content_hash:
                return True
            return await self.load_document(content_hash) is not None

        return await self.commit_decision(submission_id, decide, prepare)

    async def reject(
        self, submission_id: str, operator: str, reason: str
    ) -> acceptance.Result:
        """Reject a waiting proposal; this is final."""

        def decide(state: State) -> acceptance.Result | acceptance.Commit:
            return acceptance.decide_rejection(
                state.current, state.stored, operator, reason, state.time
            )

        return await self.commit_decision(submission_id, decide)

    async def commit_decision(
        self,
        submission_id: str,
        decide: Callable[[State], acceptance.Result | acceptance.Commit],
        prepare: Callable | None = None,
    ) -> acceptance.Result:
        """Read, decide and commit until there is a result.

        After a commit whose answer was lost, the next attempt first reads the
        proposal by its id. Without such a read the result is ``UNKNOWN``, since
        the commit may still take effect.
        """
        outcome_unknown = False
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await self.sleep(RETRY_PAUSE_SECONDS * attempt)
            state = await self.read_state(submission_id)
            if state.outcome is not table.Outcome.DONE:
                continue
            if prepare is not None and not await prepare(state):
                continue
            decision = decide(state)
            if isinstance(decision, acceptance.Result):
                return decision
            commit_result = await self.rows.commit(
                decision.conditions, decision.writes, purpose=PURPOSE
            )
            if commit_result.outcome is table.Outcome.DONE:
                await self.notify_accepted(decision.result)
                return decision.result
            outcome_unknown = (
                outcome_unknown or commit_result.outcome is table.Outcome.UNKNOWN
            )
        if outcome_unknown:
            return acceptance.Result(acceptance.Status.UNKNOWN)
        return acceptance.Result(acceptance.Status.STORE_DOWN)

    async def notify_accepted(self, result: acceptance.Result) -> None:
        """Call ``on_accepted`` if the result put a version in force."""
        if result.status is not acceptance.Status.ACCEPTED or result.stored is None:
            return
        intended = await self.load_document(result.stored.hash)
        if intended is not None:
            data = canonical.encode(intended)
            self.on_accepted(result.version, result.stored.hash, data)

    async def read_state(self, submission_id: str) -> State:
        """Read the version in force and one proposal."""
        keys = (proposal.CURRENT, proposal.get_proposal_key(submission_id))
        answer = await self.rows.read(keys, purpose=PURPOSE)
        if answer.outcome is not table.Outcome.DONE:
            return State(answer.outcome)
        current = proposal.read_current(answer.rows[0])
        stored = proposal.read_proposal(answer.rows[1])
        return State(answer.outcome, current, stored, answer.time)

    async def put_document(self, content_hash: str, data: bytes) -> bool:
        """Write a document to the object store; this is idempotent."""
        name = proposal.get_object_name(content_hash)
        for attempt in range(MAX_ATTEMPTS):
            outcome = await self.objects.put(name, data, purpose=PURPOSE)
            if outcome is table.Outcome.DONE:
                return True
            await self.sleep(RETRY_PAUSE_SECONDS * (attempt + 1))
        return False

    async def load_document(self, content_hash: str) -> document.Document | None:
        """Return the document with a content hash, or None if unreadable."""
        if content_hash in self.cached_documents:
            self.cached_documents.move_to_end(content_hash)
            return self.cached_documents[content_hash]
        name = proposal.get_object_name(content_hash)
        data = await self.objects.get(name, purpose=PURPOSE)
        if data is None or canonical.hash_bytes(data) != content_hash:
            return None
        intended = check.load_canonical(data)
        if intended is not None:
            self.cache_document(content_hash, intended)
        return intended

    def cache_document(self, content_hash: str, intended: document.Document) -> None:
        """Cache a document and evict the least recently used ones."""
        self.cached_documents[content_hash] = intended
        while len(self.cached_documents) > MAX_CACHED_DOCUMENTS:
            self.cached_documents.popitem(last=False)

    async def read_document(self, version: int | None = None) -> Accepted:
        """Return an accepted version, the one in force by default."""
        key = proposal.CURRENT if version is None else proposal.get_version_key(version)
        answer = await self.rows.read((key,), purpose=PURPOSE)
        if answer.outcome is not table.Outcome.DONE:
            return Accepted(answer.outcome)
        value = answer.rows[0].value
        if value is None:
            return Accepted(table.Outcome.DONE)
        intended = await self.load_document(value["hash"])
        if intended is None:
            return Accepted(table.Outcome.NOT_DONE, value["version"], value["hash"])
        return Accepted(answer.outcome, value["version"], value["hash"], intended)

    async def list_proposals(self) -> Listing:
        """Return every proposal and the version in force."""
        answer = await self.rows.scan(proposal.PROPOSALS, purpose=PURPOSE)
        current_answer = await self.rows.read((proposal.CURRENT,), purpose=PURPOSE)
        for reply in (answer, current_answer):
            if reply.outcome is not table.Outcome.DONE:
                return Listing(reply.outcome, reason=reply.reason)
        return Listing(
            answer.outcome, answer.rows, proposal.read_current(current_answer.rows[0])
        )

    async def list_history(self, limit: int) -> Listing:
        """Return the newest accepted versions, newest first."""
        current_answer = await self.rows.read((proposal.CURRENT,), purpose=PURPOSE)
        if current_answer.outcome is not table.Outcome.DONE:
            return Listing(current_answer.outcome, reason=current_answer.reason)
        current = proposal.read_current(current_answer.rows[0])
        oldest = max(current.version - limit, 0)
        numbers = range(current.version, oldest, -1)
        keys = tuple(proposal.get_version_key(number) for number in numbers)
        if not keys:
            return Listing(current_answer.outcome, (), current)
        answer = await self.rows.read(keys, purpose=PURPOSE)
        return Listing(answer.outcome, answer.rows, current, answer.reason)
