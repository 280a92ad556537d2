"""The ceiling of a team over several pools, checked over seeded histories."""

import pytest

from wigeonhitch.jobs import model
from wigeonhitch.pool import quota
from wigeonhitch.pool.tests import quotahistory


def find_violations(seeds, **options):
    for seed in seeds:
        found = quotahistory.check(*quotahistory.simulate(seed, **options))
        if found:
            return found
    return []


@pytest.mark.parametrize("seed", range(6))
def test_no_start_exceeds_the_ceiling_of_a_team_over_all_pools(seed):
    """Guards against leaders that each stay within a ceiling and exceed it together.

    Leaders are killed, paused and cut off, VMs run on while they are silent, ceilings
    are lowered, and writes of shares are lost or applied late.
    """
    site, worlds = quotahistory.simulate(seed)

    assert quotahistory.check(site, worlds) == []
    done = [e for world in worlds for e in world.events if e.outcome == "done"]
    assert len(done) > 20


def let_all_start(monkeypatch):
    monkeypatch.setattr(quota.Quotas, "admits", lambda self, team, room: True)


def ignore_other_pools(monkeypatch):
    free = lambda self: self.effective_ceiling  # noqa: E731
    monkeypatch.setattr(quota._TeamQuota, "compute_free", free)


@pytest.mark.parametrize(
    ("switch_off", "seed"),
    [(let_all_start, 0), (ignore_other_pools, 0)],
)
def test_check_finds_an_exceeded_ceiling_without_mechanism(
    monkeypatch, switch_off, seed
):
    switch_off(monkeypatch)

    assert find_violations(range(seed, seed + 10))


def test_team_without_a_ceiling_is_not_held_back():
    """Guards against rows, and starts that wait, for teams that have no ceiling."""
    site, _ = quotahistory.simulate(3, seconds=5.0, ceilings=(0,))

    assert site.configured[0].ceiling == model.Room()
    assert site.store.list_rows(quota.QUOTA_TABLE) == []
