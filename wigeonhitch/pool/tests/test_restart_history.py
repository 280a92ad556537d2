"""Invariants of two pools whose workers return and move under their ids.

Each mechanism is also switched off: the check must then find a fault, or passing it
would prove nothing.
"""

import pytest

from wigeonhitch.pool.tests import history, restarthistory


@pytest.mark.parametrize(
    ("kind", "seed"), [*((kind, 1) for kind in restarthistory.KINDS), ("all", 2)]
)
def test_restarted_and_moved_workers_run_no_task_twice_and_are_used_again(kind, seed):
    """Guards against facts of one incarnation or pool that are applied to another."""
    site = restarthistory.simulate(seed, kind)

    assert restarthistory.find_faults(site) == []


@pytest.mark.parametrize(
    ("mechanism", "kind", "seed", "fault"),
    [
        ("commit_before_acknowledging", "stalls", 1, "end forgotten before"),
        ("fresh_acknowledgements", "stalls", 7, "started after a noted end"),
        ("opaque_starts", "clocks", 1, "worker isn't used"),
        ("entries_prove_nothing", "entries", 4, "two runs at once"),
    ],
)
def test_check_of_restarts_finds_a_fault_without_mechanism(
    mechanism, kind, seed, fault
):
    """Guards against histories whose check would pass without the mechanism."""
    mechanisms = history.Mechanisms()._replace(**{mechanism: False})
    seeds = range(seed, seed + 5)  # a change of code draws other histories
    lines = (
        line
        for site in (restarthistory.simulate(s, kind, mechanisms) for s in seeds)
        for line in restarthistory.find_faults(site)
    )

    assert any(fault in line for line in lines)
