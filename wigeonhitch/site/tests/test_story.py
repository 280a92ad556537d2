"""The three ways of the operations page, from whole daemons' own log lines.

Each finds the cause of a failed request by its id alone, in what the daemons
wrote, as the command ``wigeonhitch explain`` reads it.
"""

import io
import logging as standard

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
    async with site.run("a") as (one,):
        site.store.is_down = True
        await site.wait_for(lambda: not one.is_ready)
        assert isinstance(one.handler.find_queue("h", "/q/j7"), message.Answer)

    (line,) = explain(output, "j7")
    assert (line.change, line.fields["reason"]) == ("request refused", "store lost")
    assert '"renewal of the lease lost", "reason": "down"' in output.getvalue()


async def test_a_late_job_leads_to_its_leaders_end(site, output):
    async with site.run("ab") as ones:
        leader = site.find_leader(ones)
        (other,) = [one for one in ones if one is not leader]
        await site.submit(other, "j0")
        site.kill(leader)
        await site.wait_until(other, ["j0"])

    lines = {line.change: line.fields for line in explain(output, "j0")}
    assert lines["job complete"]["took"] > lines["job complete"]["objective"]
    assert lines["leadership claimed"]["epoch"] == 2


async def test_a_failed_job_leads_to_the_task_that_failed_each_time(site, output):
    for worker in site.calls.workers.values():
        worker.choose_end = lambda order: (0.05, model.End.FAILED)
    async with site.run("a") as (one,):
        await site.submit(one, "j0")
        await site.wait_until(one, ["j0"], model.JobState.FAILED)

    lines = explain(output, "j0")
    (failed,) = [line for line in lines if line.change == "job failed"]
    runs = [line.fields["task"] for line in lines if line.change == "run failed"]
    assert runs.count(failed.fields["task"]) >= 3
