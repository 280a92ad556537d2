"""VMs and tasks of the platform stand-in, under a clock that the test sets."""

import pytest

from standins import fake
from wigeonhitch.platform import machines, table, tasks

VM = {"kind": "small", "address": "h:1", "rack": "r1", "data_centre": "dc-a"}
DONE, NOT_DONE = table.Outcome.DONE, table.Outcome.NOT_DONE


@pytest.fixture
def platform():
    vms = [VM | {"vm": "w1"}, VM | {"vm": "w2"}]
    return fake.Fake(vms, vm_lag=10.0, usage_lag=2.0, reboot_seconds=30.0)


def start(platform, name="t1", fence=1, lease=60.0, vm="w1", **work):
    spec = tasks.TaskSpec(name, vm, 4.0, 8.0, work, fence, lease)
    return fake.run(platform.tasks.start(spec, purpose="test"))


def find(platform, name="t1"):
    listed = fake.run(platform.tasks.list_tasks((), purpose="test")).tasks
    return next(task for task in listed if task.task == name)


def control(platform, action, fence=1):
    call = platform.tasks.control("t1", action, fence, purpose="test")
    return fake.run(call)


def list_boots(platform):
    listed = fake.run(platform.machines.list_vms(purpose="test"))
    return {machine.vm: machine.boot for machine in listed.machines}


def reboot(platform, boot):
    return fake.run(platform.machines.reboot("w1", boot, purpose="test"))


def test_list_lags_behind_reboot_and_repeated_reboot_has_no_effect(platform):
    platform.advance(20)
    assert reboot(platform, 0) is DONE
    assert list_boots(platform) == {"w1": 0, "w2": 0}
    platform.advance(11)
    assert list_boots(platform) == {"w2": 0}
    platform.advance(30)
    assert reboot(platform, 0) is DONE
    assert reboot(platform, 2) is NOT_DONE
    platform.advance(11)
    assert list_boots(platform) == {"w1": 1, "w2": 0}


def test_vm_may_leave_or_never_return(platform):
    platform.change_fleet(leaving="w2", never_back=["w1"])
    reboot(platform, 0)
    platform.advance(1000)
    (machine,) = fake.run(platform.machines.list_vms(purpose="test")).machines
    assert (machine.vm, machine.state) == ("w2", machines.MachineState.LEAVING)


def test_task_runs_once_and_reports_with_lag(platform):
    assert start(platform, duration=10.0, cores=2.0) is DONE
    assert start(platform, duration=10.0, cores=2.0) is DONE
    platform.advance(1)
    assert find(platform).progress == 0.0
    platform.advance(4)
    platform.advance(3)
    assert find(platform).progress == pytest.approx(0.5)
    assert find(platform).used_cores == 2.0
    platform.advance(20)
    (run,) = platform.engine.tasks.log()
    assert run["ended"] - run["started"] == pytest.approx(10.0)
    assert run["state"] == "finished"


@pytest.mark.parametrize(
    ("work", "reason", "seconds"),
    [
        ({"duration": 10.0, "memory": 16.0}, "out of memory", 2.5),
        ({"duration": 10.0, "fails": True}, "task failed", 5.0),
        ({"duration": 10.0, "vm": "w2"}, "vm fails", 0.1),
        ({"duration": 100.0}, "lease lapsed", 60.0),
        ({"duration": 40.0, "cores": 8.0}, "lease lapsed", 60.0),
    ],
)
def test_task_ends_for_its_reason(platform, work, reason, seconds):
    platform.change_fleet(failing=["w2"])
    start(platform, **work)
    platform.advance(200)
    (run,) = platform.engine.tasks.log()
    assert run["reason"] == reason
    assert run["ended"] - run["started"] == pytest.approx(seconds)


def test_lower_fence_is_refused(platform):
    start(platform, fence=5, duration=100.0)
    assert start(platform, fence=4) is NOT_DONE
    assert control(platform, "stop", 4) is NOT_DONE
    renew = platform.tasks.renew(("t1",), 4, 60.0, purpose="test")
    assert fake.run(renew) is NOT_DONE
    assert control(platform, "stop", 6) is DONE
    assert find(platform).state is tasks.TaskState.STOPPED


def test_throttle_checkpoint_and_resume_change_the_speed(platform):
    start(platform, duration=10.0)
    platform.advance(4)
    control(platform, "throttle")
    platform.advance(4)
    control(platform, "checkpoint")
    platform.advance(20)
    control(platform, "resume")
    platform.advance(4)
    platform.advance(1)
    (run,) = platform.engine.tasks.log()
    assert run["state"] == "finished"
    assert run["ended"] - run["started"] == pytest.approx(4 + 4 + 20 + 5)


def test_reboot_ends_tasks_of_its_vm(platform):
    start(platform, duration=100.0)
    reboot(platform, 0)
    assert platform.engine.tasks.log()[0]["reason"] == "vm lost"
