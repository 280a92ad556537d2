"""Plot one day of a site before and after a change, from daemons' log lines.

``python -m benchmarks.day BEFORE AFTER IMAGE`` plots for each of two log files
the VMs of each pool, and the accepted and late jobs in bins of half a second by
acceptance time.
"""

import collections
import pathlib
from collections.abc import Iterable
from typing import Any, NamedTuple

import defopt
import matplotlib

from benchmarks import losses

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402 - the backend is chosen first

__all__ = ["Day", "collect", "draw"]

BIN_SECONDS = 0.5
"""Width of a bin of the job histogram."""


class Day(NamedTuple):
    """Plotted series; times in seconds since the first job was accepted."""

    vms: dict[str, list[tuple[float, int]]]
    """Per pool, the VMs known to its leader after each change."""
    jobs: dict[float, int]
    """Completed jobs per bin of acceptance time."""
    late: dict[float, int]
    """Jobs per bin that took longer than their objective."""


def collect(lines: Iterable[dict[str, Any]]) -> Day:
    """Build the plotted series from daemons' log lines."""
    ordered = sorted(lines, key=losses.read_time)
    completions = [line for line in ordered if line["change"] == "job complete"]
    first_accepted_at = min(
        (_compute_accepted_at(line) for line in completions), default=0.0
    )
    jobs: collections.Counter[float] = collections.Counter()
    late: collections.Counter[float] = collections.Counter()
    for line in completions:
        bin_start = (
            (_compute_accepted_at(line) - first_accepted_at)
            // BIN_SECONDS
            * BIN_SECONDS
        )
        jobs[bin_start] += 1
        late[bin_start] += line["took"] > line["objective"]
    return Day(_count_vms(ordered, first_accepted_at), dict(jobs), dict(late))


def _count_vms(
    lines: list[dict[str, Any]], first_accepted_at: float
) -> dict[str, list[tuple[float, int]]]:
    """Return per pool the number of VMs after each join or departure."""
    known_vms: dict[str, set[str]] = collections.defaultdict(set)
    series: dict[str, list[tuple[float, int]]] = collections.defaultdict(list)
    for line in lines:
        if line["change"] not in ("VM joined", "VM gone"):
            continue
        pool = line["pool"]
        update = set.add if line["change"] == "VM joined" else set.discard
        update(known_vms[pool], line["vm"])
        series[pool].append(
            (losses.read_time(line) - first_accepted_at, len(known_vms[pool]))
        )
    return dict(series)


def _compute_accepted_at(line: dict[str, Any]) -> float:
    return losses.read_time(line) - line["took"]


def draw(days: dict[str, Day], path: pathlib.Path) -> None:
    """Plot days below each other under their titles and save the image."""
    figure, rows = pyplot.subplots(
        2 * len(days), 1, figsize=(9, 4 * len(days)), dpi=90, sharex=True
    )
    for number, (title, day) in enumerate(days.items()):
        _draw_vms(rows[2 * number], title, day)
        _draw_jobs(rows[2 * number + 1], day)
    rows[-1].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path)


def _draw_vms(axes: Any, title: str, day: Day) -> None:
    for number, (_, points) in enumerate(sorted(day.vms.items()), start=1):
        times, counts = zip(*points, strict=True)
        axes.step(times, counts, where="post", label=f"pool {number}")
    axes.set_title(title)
    axes.set_ylabel("VMs")
    axes.set_xlim(left=0)
    axes.legend(loc="upper right", fontsize="small")


def _draw_jobs(axes: Any, day: Day) -> None:
    axes.bar(
        day.jobs.keys(), day.jobs.values(), BIN_SECONDS, align="edge", color="silver"
    )
    axes.bar(
        day.late.keys(), day.late.values(), BIN_SECONDS, align="edge", color="firebrick"
    )
    axes.set_ylabel("jobs (late: red)")


def main(before: pathlib.Path, after: pathlib.Path, image: pathlib.Path) -> None:
    """Plot a day before and after a change.

    Parameters
    ----------
    before : pathlib.Path
        Daemons' output of the day before the change.
    after : pathlib.Path
        Daemons' output of the day after the change.
    image : pathlib.Path
        PNG file to write.
    """
    days = {
        title: collect(losses.read_lines(file.read_text()))
        for title, file in (("before", before), ("after", after))
    }
    draw(days, image)


if __name__ == "__main__":
    defopt.run(main)
