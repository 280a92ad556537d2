"""Submit, approve, reject and read documents in the platform's store.

The document goes into the object store under its content hash before any row
names it, so a version in force always has its content. Every request ends in
an `acceptance.Result`; a store that is down or an answer that is lost is one
of its sentinels.
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

# Tries of one request. A race among a handful of operators is settled within
# two or three; more tries would only hold an operator longer than the ten
# seconds after which a console gives up.
TRIES = 5
# Pause between tries, seconds; grows with the try.
RETRY_PAUSE_SECONDS = 0.2

# Documents kept by hash: the one in force and those being discussed. At the
# target a document takes about 1 MB as records, so eight stay small.
KEPT_DOCUMENTS = 8


class Submission(NamedTuple):
    """A document that an operator submits.

    Parameters
    ----------
    id : str
        Chosen by the operator's program; the same id asks again.
    base : int
        Version that the document was written against; 0 before the first.
    intended : document.Document
        The checked document.
    author : str
        Who submits it.
    note : str
        Why, for people.
    """

    id: str
    base: int
    intended: document.Document
    author: str
    note: str = ""


class Accepted(NamedTuple):
    """An accepted version with its document.

    ``outcome`` tells whether the store answered; ``intended`` is None when
    there is no such version or its content could not be read.
    """

    outcome: table.Outcome
    version: int = 0
    hash: str = ""
    intended: document.Document | None = None


class Listing(NamedTuple):
    """Rows as read, or the reason why not."""

    outcome: table.Outcome
    rows: tuple[table.Row, ...] = ()
    current: proposal.Current = proposal.Current()
    reason: str = ""


class State(NamedTuple):
    """What one read found."""

    outcome: table.Outcome
    current: proposal.Current = proposal.Current()
    known: proposal.Proposal | None = None
    time: float = 0.0


def ignore(version: int, content: str, data: bytes) -> None:
    """Take no note of an accepted version."""


class Store:
    """Operators' requests about documents, carried out on the platform.

    Parameters
    ----------
    rows : table.Table
        The platform's table.
    objects : table.ObjectStore
        The platform's object store.
    sleep : callable
        Waits so many seconds between tries.
    on_accepted : callable
        Called with version, hash and content when a commit from here put a
        version in force. Should the store go down right after, this daemon
        is the only one that knows; it must pass the news on.
    """

    def __init__(
        self,
        rows: table.Table,
        objects: table.ObjectStore,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
        on_accepted: Callable[[int, str, bytes], None] = ignore,
    ) -> None:
        self.rows = rows
        self.objects = objects
        self.sleep = sleep
        self.on_accepted = on_accepted
        self.documents: collections.OrderedDict[str, document.Document] = (
            collections.OrderedDict()
        )

    async def submit(self, submission: Submission) -> acceptance.Result:
        """Submit a document; asking again with the same id is safe.

        Returns
        -------
        acceptance.Result
            ``UNKNOWN`` means that the submission may be stored or in force;
            ask again with the same id. ``STORE_DOWN`` means that it is not.
        """
        data = canonical.encode(submission.intended)
        content = canonical.hash_bytes(data)
        if not await self.put(content, data):
            return acceptance.Result(acceptance.Status.STORE_DOWN)
        self.keep(content, submission.intended)
        submitted = proposal.Proposal(
            submission.id, submission.base, content, submission.author, submission.note
        )
        in_force: dict[int, tuple[approval.Need, ...]] = {}

        async def prepare(state: State) -> bool:
            current = state.current
            if state.known is not None or current.version != submission.base:
                return True
            before = await self.load(current.hash) if current.version else None
            if current.version and before is None:
                return False
            needs = approval.find_needs(before, submission.intended)
            in_force[current.version] = needs
            return True

        def decide(state: State) -> acceptance.Result | acceptance.Commit:
            needs = in_force.get(state.current.version, ())
            stamped = submitted._replace(needs=needs, submitted=state.time)
            return acceptance.decide_submission(state.current, state.known, stamped)

        return await self.carry_out(submission.id, decide, prepare)

    async def approve(
        self, submission: str, operator: str, roles: frozenset[str], content: str
    ) -> acceptance.Result:
        """Approve the content of a proposal on the version it is based on."""

        def decide(state: State) -> acceptance.Result | acceptance.Commit:
            base = state.known.base if state.known else 0
            ordered = tuple(sorted(roles))
            given = approval.Given(operator, ordered, content, base, state.time)
            return acceptance.decide_approval(state.current, state.known, given)

        async def prepare(state: State) -> bool:
            # Held before the commit, so that it can be passed on after it.
            if state.known is None or state.known.hash != content:
                return True
            return await self.load(content) is not None

        return await self.carry_out(submission, decide, prepare)

    async def reject(
        self, submission: str, operator: str, reason: str
    ) -> acceptance.Result:
        """Reject a waiting proposal for good."""

        def decide(state: State) -> acceptance.Result | acceptance.Commit:
            return acceptance.decide_rejection(
                state.current, state.known, operator, reason, state.time
            )

        return await self.carry_out(submission, decide)

    async def carry_out(
        self,
        submission: str,
        decide: Callable[[State], acceptance.Result | acceptance.Commit],
        prepare: Callable | None = None,
    ) -> acceptance.Result:
        """Read, decide and commit until there is a result.

        A commit whose answer was lost is read back by the submission's id
        before anything else is tried. Until a read settles it the result can
        only be ``UNKNOWN``: the lost commit may yet take effect.
        """
        lost = False
        for attempt in range(TRIES):
            if attempt:
                await self.sleep(RETRY_PAUSE_SECONDS * attempt)
            state = await self.read_state(submission)
            if state.outcome is not table.Outcome.DONE:
                continue
            if prepare is not None and not await prepare(state):
                continue
            step = decide(state)
            if isinstance(step, acceptance.Result):
                return step
            done = await self.rows.commit(step.conditions, step.writes, purpose=PURPOSE)
            if done.outcome is table.Outcome.DONE:
                await self.pass_on(step.result)
                return step.result
            lost = lost or done.outcome is table.Outcome.UNKNOWN
        if lost:
            return acceptance.Result(acceptance.Status.UNKNOWN)
        return acceptance.Result(acceptance.Status.STORE_DOWN)

    async def pass_on(self, result: acceptance.Result) -> None:
        """Tell this daemon of a version that it put in force."""
        if result.status is not acceptance.Status.ACCEPTED or result.known is None:
            return
        intended = await self.load(result.known.hash)
        if intended is not None:
            data = canonical.encode(intended)
            self.on_accepted(result.version, result.known.hash, data)

    async def read_state(self, submission: str) -> State:
        """Read the version in force and one proposal."""
        keys = (proposal.CURRENT, proposal.name_proposal(submission))
        found = await self.rows.read(keys, purpose=PURPOSE)
        if found.outcome is not table.Outcome.DONE:
            return State(found.outcome)
        current = proposal.read_current(found.rows[0])
        known = proposal.read_proposal(found.rows[1])
        return State(found.outcome, current, known, found.time)

    async def put(self, content: str, data: bytes) -> bool:
        """Store a document; storing the same content again is harmless."""
        name = proposal.name_object(content)
        for attempt in range(TRIES):
            outcome = await self.objects.put(name, data, purpose=PURPOSE)
            if outcome is table.Outcome.DONE:
                return True
            await self.sleep(RETRY_PAUSE_SECONDS * (attempt + 1))
        return False

    async def load(self, content: str) -> document.Document | None:
        """Return the document of a content hash, or None if unreadable."""
        if content in self.documents:
            self.documents.move_to_end(content)
            return self.documents[content]
        name = proposal.name_object(content)
        data = await self.objects.get(name, purpose=PURPOSE)
        if data is None or canonical.hash_bytes(data) != content:
            return None
        intended = check.load_canonical(data)
        if intended is not None:
            self.keep(content, intended)
        return intended

    def keep(self, content: str, intended: document.Document) -> None:
        """Keep a document for a while."""
        self.documents[content] = intended
        while len(self.documents) > KEPT_DOCUMENTS:
            self.documents.popitem(last=False)

    async def read_document(self, version: int | None = None) -> Accepted:
        """Return an accepted version, the one in force by default."""
        key = proposal.CURRENT if version is None else proposal.name_version(version)
        found = await self.rows.read((key,), purpose=PURPOSE)
        if found.outcome is not table.Outcome.DONE:
            return Accepted(found.outcome)
        value = found.rows[0].value
        if value is None:
            return Accepted(table.Outcome.DONE)
        intended = await self.load(value["hash"])
        if intended is None:
            return Accepted(table.Outcome.NOT_DONE, value["version"], value["hash"])
        return Accepted(found.outcome, value["version"], value["hash"], intended)

    async def list_proposals(self) -> Listing:
        """Return every proposal and the version in force."""
        found = await self.rows.scan(proposal.PROPOSALS, purpose=PURPOSE)
        head = await self.rows.read((proposal.CURRENT,), purpose=PURPOSE)
        for read in (found, head):
            if read.outcome is not table.Outcome.DONE:
                return Listing(read.outcome, reason=read.reason)
        return Listing(found.outcome, found.rows, proposal.read_current(head.rows[0]))

    async def list_history(self, limit: int) -> Listing:
        """Return the newest accepted versions, newest first."""
        head = await self.rows.read((proposal.CURRENT,), purpose=PURPOSE)
        if head.outcome is not table.Outcome.DONE:
            return Listing(head.outcome, reason=head.reason)
        current = proposal.read_current(head.rows[0])
        oldest = max(current.version - limit, 0)
        numbers = range(current.version, oldest, -1)
        keys = tuple(proposal.name_version(number) for number in numbers)
        if not keys:
            return Listing(head.outcome, (), current)
        found = await self.rows.read(keys, purpose=PURPOSE)
        return Listing(found.outcome, found.rows, current, found.reason)
