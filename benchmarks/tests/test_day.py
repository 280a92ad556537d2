"""VMs and late jobs of a day, collected from daemons' log lines."""

from benchmarks import day


def build_line(seconds, change, **fields):
    return {"time": f"2026-01-31 10:00:{seconds:06.3f}", "change": change, **fields}


def test_collect_bins_jobs_by_acceptance_time_and_counts_vms_by_pool(tmp_path):
    lines = [
        build_line(12.0, "VM gone", pool="p", vm="b"),
        build_line(10.5, "VM joined", pool="p", vm="a"),
        build_line(11.0, "VM joined", pool="p", vm="b"),
        build_line(11.0, "VM joined", pool="q", vm="c"),
        build_line(14.0, "job complete", took=4.0, objective=2.0),
        build_line(14.1, "job complete", took=1.0, objective=2.0),
    ]

    collected = day.collect(lines)
    day.draw({"one": collected, "other": collected}, tmp_path / "day.png")

    assert collected.vms == {"p": [(0.5, 1), (1.0, 2), (2.0, 1)], "q": [(1.0, 1)]}
    assert collected.jobs == {0.0: 1, 3.0: 1}
    assert collected.late == {0.0: 1, 3.0: 0}
    assert (tmp_path / "day.png").stat().st_size > 0
