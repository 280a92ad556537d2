from wigeonhitch.placement import job

S = job.JobState


def test_a_submitted_job_is_placed_runs_and_finishes(world):
    assert world.submit("one").status == 202
    world.play("d1", 2)
    running = world.read_job("one")
    assert running.state is S.RUNNING
    assert running.vm
    world.play("d1", 40)
    assert world.read_job("one").state is S.FINISHED
    assert world.fake.engine.store.read([f"reservation/{running.vm}"])[0].value is None
    assert [run["task"] for run in world.fake.engine.tasks.log()] == ["coffee/one/1"]
