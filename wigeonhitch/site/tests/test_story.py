"""The three diagnoses of the operators' page, made from whole daemons' log lines.

Each finds the cause of a failed request by its id alone, in the log lines that
the command ``wigeonhitch explain`` reads.
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
    """The log output of the daemons while a test runs."""
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


async def test_a_refused_request_is_traced_to_the_lost_store(site, output):
    async with site.run("a") as (daemon,):
        site.store.is_down = True
        await site.wait_for(lambda: not daemon.is_ready)
        assert isinstance(daemon.handler.find_queue("h", "/q/j7"), message.Answer)

    (line,) = explain(output, "j7")
    assert (line.change, line.fields["reason"]) == ("request refused", "store lost")
    assert '"renewal of the lease lost", "reason": "down"' in output.getvalue()


async def test_a_late_job_is_traced_to_the_end_of_its_leader(site, output):
    async with site.run("ab") as daemons:
        leader = site.find_leader(daemons)
        (other,) = [daemon for daemon in daemons if daemon is not leader]
        await site.submit(other, "j0")
        site.kill(leader)
        await site.wait_until(other, ["j0"])

    lines = {line.change: line.fields for line in explain(output, "j0")}
    assert lines["job complete"]["took"] > lines["job complete"]["objective"]
    assert lines["leadership claimed"]["epoch"] == 2


async def test_a_failed_job_is_traced_to_the_task_that_failed_each_time(site, output):
    for worker in site.calls.workers.values():
        worker.draw_end = lambda order: (0.05, model.End.FAILED)
    async with site.run("a") as (daemon,):
        await site.submit(daemon, "j0")
        await site.wait_until(daemon, ["j0"], model.JobState.FAILED)

    lines = explain(output, "j0")
    (failed,) = [line for line in lines if line.change == "job failed"]
    runs = [line.fields["task"] for line in lines if line.change == "run failed"]
    assert runs.count(failed.fields["task"]) >= 3
