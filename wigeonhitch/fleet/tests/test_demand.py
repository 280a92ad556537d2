from wigeonhitch.fleet import demand

LIMITS = demand.Limits(scale_up_delay=30.0, scale_down_delay=300.0)


def decide(busy, trends, now, vms=6):
    loads = {
        "a": demand.Load(busy, 8, vms, 2),
        "b": demand.Load(10.0, 8, 6, 2),
    }
    return demand.decide_with_hysteresis(loads, trends, LIMITS, now)


def test_burst_shorter_than_the_delay_moves_nothing():
    changes, trends = decide(40.0, {}, 0.0)
    assert not changes
    changes, trends = decide(20.0, trends, 20.0)
    changes, trends = decide(40.0, trends, 30.0)
    changes, trends = decide(40.0, trends, 50.0)
    assert not changes


def test_sustained_load_takes_a_vm_from_the_emptiest_pool():
    _, trends = decide(40.0, {}, 0.0)
    changes, _ = decide(40.0, trends, 30.0)
    assert changes == {"a": 1, "b": -1}


def test_load_between_the_thresholds_changes_nothing():
    # 6 VMs of 8 slots: requires a VM above 36 busy slots, can give one below 24.
    for busy in (25.0, 35.0):
        _, trends = decide(busy, {}, 0.0)
        assert trends["a"] == demand.Trend()
    assert decide(23.0, {}, 0.0)[1]["a"].below == 0.0


def test_pool_at_its_minimum_size_gives_nothing():
    loads = {
        "a": demand.Load(40.0, 8, 6, 2),
        "b": demand.Load(1.0, 8, 2, 2),
    }
    assert demand.decide_by_threshold(loads, LIMITS) == {}
