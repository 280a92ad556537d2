"""Guards against jobs that run after their caller was told that there are none.

A submission got no answer, its caller cancelled the job at another daemon and was told
that there is no such job. The submission was accepted seconds later, and the job ran
until somebody cancelled it again, for which nobody had a reason.
"""

import anyio
import pytest

from standins import rowstore
from wigeonhitch.jobs import model, record
from wigeonhitch.platform import rows, table
from wigeonhitch.pool import compaction, core, view
from wigeonhitch.pool import record as pool_record
from wigeonhitch.site import handler, jobrows, message, withdrawal
from wigeonhitch.telemetry import metric

pytestmark = pytest.mark.anyio

QUEUE = model.Queue("q", "h", "/q/", "p")
MOVED_QUEUE = QUEUE._replace(pool="other")
JOB = model.Job("j", "q", "", (model.Step(1, model.Room(1000, 10)),))
PART = pool_record.get_job_part("j")
RETENTION_SECONDS = 120.0


class Site:
    """Request handlers of daemons that share a store."""

    def __init__(self):
        self.store = rowstore.RowStore()
        self.instruments = metric.Instruments()
        self.daemon = self.make_handler()

    def make_handler(self):
        catalogue = model.Catalogue(1, (QUEUE,), ())
        return handler.RequestHandler(self.store, lambda: catalogue, self.instruments)

    def read_job(self, pool="p"):
        """Return the content of the job's row in a pool, or None without one."""
        value = self.store.get(pool_record.get_job_table(pool), PART, "j")
        return record.read_job("j", value) if value else None

    def act_around_commit(self, *, before=None, after=None):
        """Await a function before or after the next transaction is applied."""
        commit = self.store.commit

        async def commit_once(change, *, timeout):
            self.store.commit = commit
            if before is not None:
                await before()
            result = await commit(change, timeout=timeout)
            if after is not None:
                await after()
            return result

        self.store.commit = commit_once

    async def submit_late(self):
        """Submit the job without an answer; the store may apply each attempt later."""
        self.store.deferred_commits = 1000
        answer = await self.make_handler().submit(QUEUE, JOB)
        self.store.deferred_commits = 0
        assert answer.verdict is message.Verdict.UNKNOWN

    async def apply_late(self):
        return self.store.apply_deferred()

    async def lose_store(self):
        self.store.is_down = True

    async def cancel(self, queue=QUEUE, id="j", team=""):
        """Return the verdict on a cancellation at another daemon."""
        return (await self.daemon.cancel(queue, id, team)).verdict

    async def show(self, queue=QUEUE):
        return await self.daemon.show(queue, "j")


@pytest.fixture
def site():
    return Site()


async def test_a_cancellation_that_finds_no_job_is_counted(site):
    """Guards against calls that an operator finds neither in logs nor in metrics."""
    assert await site.cancel() is message.Verdict.MISSING
    assert site.instruments.read("requests_total", {"verdict": "missing"}) == 1


@pytest.mark.parametrize("queue", [QUEUE, MOVED_QUEUE], ids=["", "moved"])
async def test_a_submission_is_not_accepted_after_its_cancellation(site, queue):
    """The store applies each attempt after the caller was told that there is no job."""
    await site.submit_late()

    assert await site.cancel(queue) is message.Verdict.MISSING
    changes = site.store.apply_deferred()

    assert all(change.reason == "conflict" for change in changes)
    assert (await site.show(queue)).verdict is message.Verdict.MISSING
    assert (await site.show()).verdict is message.Verdict.MISSING


async def test_an_attempt_that_is_repeated_after_the_cancellation_is_refused(site):
    """The daemon repeats the write of a submission whose caller has left."""
    site.store.deferred_commits = 1
    site.act_around_commit(after=site.cancel)
    answer = await site.make_handler().submit(QUEUE, JOB)

    assert answer.verdict is message.Verdict.NOT_RUN
    assert answer.reason == withdrawal.REASON
    assert [change.reason for change in site.store.apply_deferred()] == ["conflict"]
    assert await site.cancel() is message.Verdict.MISSING


async def test_an_attempt_that_may_be_applied_later_is_not_told_to_be_refused(site):
    """Guards against a job that runs although its submission was told not to run.

    The second attempt meets a row that is removed before the first one is applied.
    """
    await site.cancel()
    leader = make_leader(site)
    site.store.clock_offset = RETENTION_SECONDS - 1.0
    site.store.deferred_commits = 1
    verdict = (await site.daemon.submit(QUEUE, JOB)).verdict
    site.store.clock_offset = RETENTION_SECONDS + 1.0
    await remove_expired(site, leader)
    site.store.apply_deferred()

    assert not site.read_job().is_withdrawn
    assert verdict is message.Verdict.UNKNOWN


async def test_a_submission_of_a_withdrawn_job_is_told_when_its_id_is_free(site):
    """Guards against callers that repeat every second what is refused for minutes."""
    await site.cancel()
    answer = await site.daemon.submit(QUEUE, JOB)

    assert answer.verdict is message.Verdict.NOT_RUN
    assert answer.retry_after == RETENTION_SECONDS


async def test_a_job_that_is_accepted_during_its_cancellation_is_cancelled(site):
    """Guards against the answer that there is no job beside an accepted one.

    The submission is applied between the reads of the cancellation and its write.
    """
    await site.submit_late()
    site.act_around_commit(before=site.apply_late)

    assert await site.cancel() is message.Verdict.ACCEPTED
    assert site.read_job().cancelled
    assert (await site.show()).state is model.JobState.CANCELLED


async def test_a_withdrawal_without_an_answer_is_told_once_it_is_found(site):
    site.store.lost_answers = 1

    assert await site.cancel() is message.Verdict.MISSING
    assert (await site.daemon.submit(QUEUE, JOB)).verdict is message.Verdict.NOT_RUN


async def test_a_cancellation_is_not_confirmed_before_it_is_written(site):
    """Guards against the answer that there is no job while the write may be void."""
    site.store.deferred_commits = 1000
    assert await site.cancel() is message.Verdict.UNKNOWN
    site.store.deferred_commits = 0
    answer = await site.daemon.submit(QUEUE, JOB)
    site.store.apply_deferred()

    assert answer.verdict is message.Verdict.ACCEPTED
    assert (await site.show()).state is model.JobState.QUEUED


@pytest.mark.parametrize("queue", [QUEUE, MOVED_QUEUE], ids=["", "moved"])
async def test_a_repeated_cancellation_writes_nothing(site, queue):
    await site.cancel()
    version = site.store.version

    assert await site.cancel(queue) is message.Verdict.MISSING
    assert site.store.version == version


@pytest.mark.parametrize("id", ["", "i" * 201, "é" * 101])
async def test_an_id_that_no_job_can_have_is_not_withdrawn(site, id):
    """Guards against rows that the store refuses, or that belong to no job."""
    assert await site.cancel(id=id) is message.Verdict.MISSING
    assert site.store.version == 0


def make_leader(site):
    """Return a leader of the pool that knows the row of the withdrawn job."""
    times = view.TimeBounds(6.5, 1.0)
    leader = core.Pool("p", 1, 1, times, 0.0, lambda *args, **kwargs: None)
    location = compaction.RowLocation(pool_record.get_job_table("p"), PART)
    leader.on_job("j", site.read_job(), site.store.version, location)
    return leader


async def test_the_pools_leader_removes_a_withdrawn_job(site):
    """Guards against rows of cancellations that stay, and an id that is never free."""
    await site.cancel()
    row = site.read_job()
    leader = make_leader(site)
    assert not leader.jobs

    now = row.finished + RETENTION_SECONDS
    assert leader.compactor.collect(now - 1.0, RETENTION_SECONDS) is None
    removal = leader.compactor.collect(now + 1.0, RETENTION_SECONDS).transaction
    await site.store.commit(removal, timeout=1.0)

    assert site.read_job() is None
    answer = await site.daemon.submit(QUEUE, JOB)
    assert answer.verdict is message.Verdict.ACCEPTED


async def remove_expired(site, leader):
    """Let a leader remove the rows that it knows to be expired, in two attempts."""
    for _ in range(2):
        store_time = rowstore.read_times()[0] + site.store.clock_offset
        removal = leader.compactor.collect(store_time, RETENTION_SECONDS)
        if removal is not None:
            change = await site.store.commit(removal.transaction, timeout=1.0)
            leader.compactor.on_result(removal, change)


@pytest.mark.parametrize("age", [0.0, 59.0, 61.0, 119.0])
@pytest.mark.parametrize("first", ["withdrawn", "completed"])
async def test_a_repeated_cancellation_settles_submissions_since_the_first(
    site, first, age
):
    """Guards against a job that runs after its second cancellation was acknowledged.

    The second one finds the row of the first, or that of a job that has ended. The row
    was removed before the submission between them was applied, as the leader knew when
    it expires from before the second.
    """
    if first == "withdrawn":
        await site.cancel()
    else:
        await site.daemon.submit(QUEUE, JOB)
        store_time = rowstore.read_times()[0]
        final = record.write_final(model.JobState.COMPLETED, "p", store_time)
        site.store.put(pool_record.get_job_table("p"), PART, "j", final)
    leader = make_leader(site)
    site.store.clock_offset = age
    await site.submit_late()
    is_withdrawn = first == "withdrawn"
    expected = message.Verdict.MISSING if is_withdrawn else message.Verdict.ACCEPTED
    assert await site.cancel() is expected

    for _ in range(4):
        site.store.clock_offset += RETENTION_SECONDS / 8
        await remove_expired(site, leader)
    changes = site.store.apply_deferred()

    assert all(change.reason == "conflict" for change in changes)
    assert site.read_job().is_withdrawn == is_withdrawn


async def test_a_cancellation_that_is_renewed_does_not_keep_others(site):
    """Guards against a caller that keeps all rows by repeating one cancellation."""
    await site.cancel()
    leader = make_leader(site)
    location = compaction.RowLocation(pool_record.get_job_table("p"), PART)
    renewed = site.read_job()
    other = renewed._replace(finished=renewed.finished + 1.0)
    leader.on_job("other", other, site.store.version, location)
    later = renewed._replace(finished=renewed.finished + 119.0)
    leader.on_job("j", later, site.store.version + 1, location)

    work = leader.compactor.collect(other.finished + 121.0, RETENTION_SECONDS)

    assert work.ids == ("other",)


async def test_renewals_count_towards_the_limit(site, monkeypatch):
    """Guards against a caller that keeps any number of rows by renewing them."""
    monkeypatch.setattr(withdrawal, "MAX_WITHDRAWALS", 2)
    await site.cancel(team="a")
    site.store.clock_offset = 61.0
    assert await site.cancel(team="a") is message.Verdict.MISSING
    site.store.clock_offset = 122.0

    assert await site.cancel(team="a") is message.Verdict.NOT_RUN


async def test_rows_that_are_removed_during_a_cancellation_settle_nothing(
    site, monkeypatch
):
    """Guards against 410 without a row that prevents a late acceptance.

    The rows of a moved queue's job are removed between two reads of the cancellation.
    """
    await site.daemon.submit(QUEUE, JOB)
    await site.submit_late()
    read_holder = jobrows.JobReader.read_holder

    async def read_and_remove(reader, id):
        holder_range = await read_holder(reader, id)
        for table_name in (pool_record.HOLDER_TABLE, pool_record.get_job_table("p")):
            site.store.put(table_name, PART, "j", None)
        monkeypatch.undo()
        return holder_range

    monkeypatch.setattr(jobrows.JobReader, "read_holder", read_and_remove)
    assert await site.cancel(MOVED_QUEUE) is message.Verdict.MISSING

    changes = site.store.apply_deferred()
    assert all(change.reason == "conflict" for change in changes)


async def test_one_team_can_not_fill_the_store_with_withdrawals(site, monkeypatch):
    """Guards against a caller that cancels invented ids.

    Its team is refused until the rows of its earliest cancellation are removed; others
    aren't, and neither are cancellations of accepted jobs.
    """
    monkeypatch.setattr(withdrawal, "MAX_WITHDRAWALS", 3)
    await site.daemon.submit(QUEUE, JOB)
    for number in range(3):
        assert await site.cancel(id=f"x{number}", team="a") is message.Verdict.MISSING
    version = site.store.version
    refusal = await site.daemon.cancel(QUEUE, "x3", "a")

    assert refusal.verdict is message.Verdict.NOT_RUN
    assert 0 < refusal.retry_after <= RETENTION_SECONDS
    assert site.store.version == version
    assert await site.cancel(id="x3", team="b") is message.Verdict.MISSING
    assert await site.cancel(team="a") is message.Verdict.ACCEPTED


async def test_withdrawals_at_the_same_time_count_towards_the_limit(site, monkeypatch):
    """Guards against a caller that exceeds the limit by concurrent cancellations."""
    monkeypatch.setattr(withdrawal, "MAX_WITHDRAWALS", 3)
    verdicts = []

    async def cancel(number):
        verdicts.append(await site.cancel(id=f"x{number}", team="a"))

    async with anyio.create_task_group() as group:
        for number in range(10):
            group.start_soon(cancel, number)

    assert verdicts.count(message.Verdict.MISSING) == 3


async def test_an_earlier_version_takes_a_withdrawn_job_for_a_cancelled_one(site):
    """Guards against a daemon of the version before that accepts or runs the job."""
    await site.submit_late()
    await site.cancel()
    holder = site.store.get(pool_record.HOLDER_TABLE, PART, "j")

    assert all(change.reason == "conflict" for change in site.store.apply_deferred())
    assert holder.decode() not in ("p", "other")
    assert site.read_job().final is model.JobState.CANCELLED


@pytest.mark.parametrize("is_accepted", [True, False], ids=["accepted", "unknown"])
async def test_a_cancellation_that_may_be_written_is_not_told_to_be_refused(
    site, is_accepted
):
    """Guards against the answer that nothing was cancelled after an attempt was made.

    The store leaves the write without an answer, and is down when it is to be repeated.
    """
    if is_accepted:
        await site.daemon.submit(QUEUE, JOB)
    site.store.lost_answers = 1
    site.act_around_commit(after=site.lose_store)

    assert await site.cancel() is message.Verdict.UNKNOWN


async def test_a_cancellation_is_refused_if_the_store_refuses_each_attempt(site):
    """Guards against a caller that is told that its job may have been cancelled."""

    async def refuse(change, *, timeout):
        return rows.Change(table.Outcome.NOT_DONE, reason="busy")

    site.store.commit = refuse
    answer = await site.daemon.cancel(QUEUE, "j")

    assert (answer.verdict, answer.reason) == (message.Verdict.NOT_RUN, "busy")
    assert answer.retry_after > 0
