"""Random interleavings of holders, faults and cancellations.

They are checked against the executions and the rows of the fake platform.
"""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from wigeonhitch.placement import job
from wigeonhitch.platform import tasks

DAEMONS = st.sampled_from(["d1", "d2"])
VMS = st.sampled_from(["w0", "w1", "w2"])
ACTIVE = (tasks.TaskState.RUNNING, tasks.TaskState.THROTTLED)
CORES, MEMORY = 32.0, 64.0
QUOTA = (48.0, 96.0)


def find_overlaps(executions):
    """Return jobs of which two attempts overlapped, or one ran after the finish."""
    violations = []
    runs = collections.defaultdict(list)
    for item in executions.values():
        runs[item.spec.task.rpartition("/")[0]].append(item)
    for name, items in runs.items():
        items.sort(key=lambda item: item.started)
        for first, second in zip(items, items[1:], strict=False):
            if first.ended is None or second.started < first.ended:
                violations.append((name, "overlap"))
            if first.state is tasks.TaskState.FINISHED:
                violations.append((name, "ran again"))
    return violations


class History(stateful.RuleBasedStateMachine):
    make = None

    def __init__(self):
        super().__init__()
        self.world = type(self).make(vms=3, quota=QUOTA)
        self.world.take_duty("d1")
        self.names = []
        for number in range(4):
            self.submit(number % 2 > 0, number != 2, 16.0, 8.0, "coffee", 20.0)

    @stateful.rule(
        urgent=st.booleans(),
        rerun=st.booleans(),
        cores=st.sampled_from([4.0, 16.0, 30.0, 40.0]),
        truth=st.sampled_from([2.0, 8.0, 30.0]),
        team=st.sampled_from(["coffee", "cardamom"]),
        seconds=st.sampled_from([2.0, 20.0, 100.0]),
    )
    def submit(self, urgent, rerun, cores, truth, team, seconds):
        name = f"j{len(self.names)}"
        work = {"duration": seconds, "memory": truth, "cores": cores / 2}
        urgency = "urgent" if urgent else "bulk"
        fields = {"rerun": rerun, "cores": cores, "urgency": urgency, "work": work}
        answer = self.world.submit(name, team=team, **fields)
        if answer.status in (200, 202):
            self.names.append((team, name))

    @stateful.rule(daemon=DAEMONS, calls=st.booleans())
    def step(self, daemon, calls):
        self.world.step(daemon, calls)

    @stateful.rule(daemon=DAEMONS)
    def make_delayed_calls(self, daemon):
        self.world.make_calls(daemon)

    @stateful.rule(daemon=DAEMONS, freeze=st.booleans())
    def take_duty(self, daemon, freeze):
        self.world.take_duty(daemon, freeze)

    @stateful.rule(seconds=st.sampled_from([0.5, 3.0, 10.0, 70.0]))
    def advance(self, seconds):
        self.world.fake.advance(seconds)

    @stateful.rule(
        kind=st.sampled_from(["lose", "late"]),
        prefix=st.sampled_from(["/tasks", "/tasks", "/table/commit"]),
        count=st.integers(1, 6),
    )
    def lose_answers(self, kind, prefix, count):
        rule = {"prefix": prefix, "next": count, "seconds": 8.0}
        self.world.fake.switch(**{kind: rule})

    @stateful.rule(daemon=DAEMONS, seconds=st.sampled_from([2.0, 6.0, 30.0]))
    def play(self, daemon, seconds):
        self.world.play(daemon, seconds, step=1.0)

    @stateful.rule(daemon=DAEMONS, seconds=st.sampled_from([1.0, 10.0]))
    def suffer_outage(self, daemon, seconds):
        self.world.fake.switch(down=True)
        self.world.play(daemon, seconds, step=1.0)
        self.world.fake.switch(down=False)

    @stateful.rule(vm=VMS)
    def reboot(self, vm):
        machine = self.world.fake.engine.fleet.live.get(vm)
        if machine is not None:
            fleet = self.world.fake.engine.fleet
            fleet.reboot(vm, machine.boot, self.world.fake.now)
            self.world.fake.advance(0.0)

    @stateful.rule(vm=VMS)
    def drain(self, vm):
        self.world.unusable ^= {vm}

    @stateful.rule(failing=st.sets(VMS, max_size=1))
    def fail(self, failing):
        self.world.fake.change_fleet(failing=sorted(failing))

    @stateful.rule(data=st.data())
    def cancel(self, data):
        if self.names:
            team, name = data.draw(st.sampled_from(self.names))
            self.world.ask(self.world.jobs.cancel, team=team, job=name)

    @stateful.invariant()
    def no_job_runs_twice(self):
        assert find_overlaps(self.world.fake.engine.tasks.executions) == []

    @stateful.invariant()
    def rows_keep_quotas_and_fit_their_workers(self):
        held, used = collections.Counter(), collections.Counter()
        store = self.world.fake.engine.store
        jobs = {}
        for row in store.scan("job/", 0):
            item = job.decode(row.value)
            jobs[item.name] = item
            if item.holds:
                used[item.asked.team, "cores"] += item.cores
                used[item.asked.team, "memory"] += item.memory
                held[item.vm, item.name] = (item.cores, item.memory)
        assert all(value <= QUOTA[0] for key, value in used.items() if "cores" in key)
        assert all(value <= QUOTA[1] for key, value in used.items() if "memory" in key)
        for row in store.scan("reservation/", 0):
            sizes = row.value["jobs"]
            assert sum(size[0] for size in sizes.values()) <= CORES
            assert sum(size[1] for size in sizes.values()) <= MEMORY
            for name, size in sizes.items():
                assert held.pop((row.key.split("/")[1], name)) == tuple(size)
        assert not held

    @stateful.invariant()
    def what_is_told_not_to_have_begun_never_ran(self):
        ran = self.world.fake.engine.tasks.executions
        for row in self.world.fake.engine.store.scan("job/", 0):
            item = job.decode(row.value)
            if item.reason in ("by request", "cancelled before it began"):
                assert item.task not in ran

    def teardown(self):
        """Heal everything: all jobs end within some minutes of quiet."""
        world = self.world
        world.fake.switch(down=False, lose=None, late=None)
        world.fake.change_fleet(failing=[])
        world.unusable.clear()
        world.take_duty("d1")
        for _ in range(40):
            world.play("d1", 50, step=2.5)
            if all(world.read_job(n, t).state in job.ENDED for t, n in self.names):
                break
        else:
            jobs = [world.read_job(name, team) for team, name in self.names]
            live = [item for item in jobs if item.state not in job.ENDED]
            raise AssertionError(f"{len(live)} jobs never end, as {live[0]}")
        self.no_job_runs_twice()
        world.close()


def test_no_job_runs_twice_and_all_end(make_world):
    History.make = staticmethod(make_world)
    settings = hypothesis.settings(
        max_examples=120,
        stateful_step_count=40,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(History, settings=settings)


def test_unconfirmed_start_is_repeated_after_its_worker_has_rebooted(make_world):
    """A job stayed in state STARTING for ever, although its worker was usable.

    A daemon commits the start and makes no call, and the worker reboots. The next
    holder drops the pending call while the worker is away, and no other worker has
    room. Once the worker is back, nothing adds the call again.
    """
    History.make = staticmethod(make_world)
    history = History()
    history.step(calls=False, daemon="d1")
    history.reboot(vm="w0")
    history.reboot(vm="w1")
    history.teardown()
