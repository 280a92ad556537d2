"""The three ways of the operations page, from whole daemons' own log lines.

Each finds the cause of a failed request by its id alone, in what the daemons
wrote, as the command ``wigeonhitch explain`` reads it.
"""

import io
import logging as standard

import anyio
import pytest
from absl import logging

from wigeonhitch.command import story
from wigeonhitch.jobs import model
from wigeonhitch.site import message
from wigeonhitch.telemetry import log

pytestmark = pytest.mark.anyio


@pytest.fixture
def output():
    """What daemons write while a test runs."""
    stream = io.StringIO()
    handler = standard.StreamHandler(stream)
    handler.setFormatter(log.Formatter(daemon="d"))
    logger = logging.get_absl_logger()
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(standard.INFO)
    yield stream
    logger.removeHandler(handler)
    logger.setLevel(level)


def explain(output, id):
    lines = story.read_lines(output.getvalue().splitlines())
    return story.find_story(lines, id)


async def test_a_refused_request_leads_to_the_lost_store(site, output):
    (one,) = site.make_daemons("a")
    async with anyio.create_task_group() as group:
        group.start_soon(one.run)
        await site.wait_for(lambda: site.find_leader([one]) is not None)
        site.store.is_down = True
        await site.wait_for(lambda: not one.is_ready)
        assert isinstance(one.desk.find_queue("h", "/q/j7"), message.Answer)
        group.cancel_scope.cancel()

    (line,) = explain(output, "j7")
    assert (line.change, line.fields["reason"]) == ("request refused", "store lost")
    assert '"renewal of the lease lost", "reason": "down"' in output.getvalue()


async def test_a_late_job_leads_to_its_leaders_end(site, output):
    ones = site.make_daemons("ab")
    scopes = {one: anyio.CancelScope() for one in ones}

    async def run(one):
        with scopes[one]:
            await one.run()

    async with anyio.create_task_group() as group:
        for one in ones:
            group.start_soon(run, one)
        await site.wait_for(lambda: site.find_leader(ones) is not None)
        leader = site.find_leader(ones)
        (other,) = [one for one in ones if one is not leader]
        await site.submit(other, "j0")
        scopes[leader].cancel()
        await site.wait_until(other, ["j0"])
        group.cancel_scope.cancel()

    lines = {line.change: line.fields for line in explain(output, "j0")}
    assert lines["job complete"]["took"] > lines["job complete"]["objective"]
    assert lines["leadership claimed"]["epoch"] == 2


async def test_a_failed_job_leads_to_the_task_that_failed_each_time(site, output):
    for worker in site.calls.workers.values():
        worker.choose_end = lambda order: (0.05, model.End.FAILED)
    (one,) = site.make_daemons("a")
    async with anyio.create_task_group() as group:
        group.start_soon(one.run)
        await site.wait_for(lambda: site.find_leader([one]) is not None)
        await site.submit(one, "j0")
        await site.wait_until(one, ["j0"], model.JobState.FAILED)
        group.cancel_scope.cancel()

    lines = explain(output, "j0")
    (failed,) = [line for line in lines if line.change == "job failed"]
    runs = [line.fields["task"] for line in lines if line.change == "run failed"]
    assert runs.count(failed.fields["task"]) >= 3
