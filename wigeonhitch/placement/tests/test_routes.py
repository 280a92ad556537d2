import pytest

from wigeonhitch.placement import job

S = job.JobState


def test_a_repeat_returns_the_same_job_and_another_body_conflicts(world):
    assert world.submit("one").status == 202
    world.play("d1", 2)
    repeat = world.submit("one")
    assert (repeat.status, repeat.body["state"]) == (200, "running")
    assert world.submit("one", cores=5.0).status == 409
    assert len(world.fake.engine.tasks.log()) == 1


@pytest.mark.parametrize(
    ("fields", "message"),
    [
        ({"cores": -1}, "cores: Input should be greater than 0"),
        ({"memory": float("nan")}, "memory"),
        ({"id": "a/b"}, "id"),
        ({"colour": "red"}, "unknown fields ['colour']"),
    ],
)
def test_an_invalid_submission_reports_the_field_and_writes_no_row(
    world, fields, message
):
    answer = world.submit("one", **fields)
    assert answer.status == 400
    assert message in answer.body["error"]
    assert world.fake.engine.store.scan("job/", 0) == []


def test_a_lost_answer_and_an_outage_are_distinguished(world):
    world.fake.switch(down=True)
    assert world.submit("one").status == 503
    world.fake.switch(down=False, lose={"prefix": "/table/commit", "every": 1})
    first = world.submit("one")
    world.fake.switch(lose=None)
    assert first.status in (202, 504)
    assert world.submit("one").status == 200


def test_cancellation_takes_one_read_and_one_commit_per_hundred_jobs(world):
    names = [f"j{number}" for number in range(1000)]
    for name in names:
        world.submit(name, cores=40.0)
    before = world.fake.table.writes["jobs"], world.fake.table.reads["jobs"]
    answer = world.ask(world.jobs.cancel_many, {"jobs": names}, team="coffee")
    assert set(answer.body["jobs"].values()) == {"cancelled"}
    assert world.fake.table.writes["jobs"] - before[0] == 10
    assert world.fake.table.reads["jobs"] - before[1] == 10
    again = world.ask(world.jobs.cancel, team="coffee", job="j1")
    assert (again.status, again.body["state"]) == (200, "cancelled")
    assert world.ask(world.jobs.cancel, team="coffee", job="x").status == 404


def test_a_running_job_is_cancelled_once_its_task_has_ended(world):
    world.submit("one")
    world.play("d1", 3)
    assert world.ask(world.jobs.cancel, team="coffee", job="one").status == 202
    world.play("d1", 12)
    ended = world.read_job("one")
    assert (ended.state, ended.reason) == (S.CANCELLED, "stopped after it began")
    assert world.fake.engine.tasks.log()[0]["state"] == "stopped"


def test_a_shown_job_has_the_reason_for_its_wait(make_world):
    world = make_world(quota=(6.0, 64.0))
    world.take_duty("d1")
    world.submit("one", work={"duration": 300.0})
    world.submit("two", work={"duration": 300.0})
    world.play("d1", 10)
    shown = world.ask(world.jobs.show, team="coffee", job="two")
    assert shown.body["reason"] == "the quota of team coffee is used up"
    assert shown.body["state"] == "queued"
    assert shown.body["since"] > 0
