"""Plot the figures that `benchmarks.slope` and `benchmarks.control` wrote.

Run ``python -m benchmarks.plot SLOPE.json CONTROL.json FOLDER``.
"""

import json
import pathlib
import sys
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402 - the backend is chosen first

MAX_CONTROL_BYTES_PER_SECOND = 5000.0  # budget per daemon for all control traffic
TARGET_DAEMON_COUNT = 220


def draw_decisions(costs: dict[str, Any], path: pathlib.Path) -> None:
    """Plot bytes per second of the decisions by number of daemons."""
    figure, axes = pyplot.subplots(figsize=(6, 3.6), dpi=90)
    labels = {
        "beats": "heartbeats sent",
        "looks": "duties, holders' rows (in use)",
        "whole": "duties, all rows each read (earlier)",
    }
    for name, label in labels.items():
        sizes = sorted(int(size) for size in costs[name])
        bytes_sent = [costs[name][str(size)]["bytes"] for size in sizes]
        axes.plot(sizes, bytes_sent, marker="o", label=label)
    axes.axhline(
        MAX_CONTROL_BYTES_PER_SECOND,
        color="grey",
        linestyle="--",
        label="budget of all control traffic",
    )
    _save(figure, axes, "daemons", "bytes/s per daemon", path)


def draw_daemons(measurements: list[dict[str, Any]], path: pathlib.Path) -> None:
    """Plot bytes per second of real daemons by part, one bar per run."""
    figure, axes = pyplot.subplots(figsize=(6, 3.6), dpi=90)
    names = [
        f"{measurement['daemons']}\n{measurement['workers']}"
        for measurement in measurements
    ]
    parts: dict[str, list[float]] = {}
    for index, measurement in enumerate(measurements):
        for label, value in _sum_bytes_by_part(measurement).items():
            parts.setdefault(label, [0.0] * len(measurements))[index] += value
    bottoms = [0.0] * len(measurements)
    for label, values in sorted(parts.items()):
        axes.bar(names, values, bottom=bottoms, label=label)
        bottoms = [
            bottom + height for bottom, height in zip(bottoms, values, strict=True)
        ]
    axes.axhline(MAX_CONTROL_BYTES_PER_SECOND, color="grey", linestyle="--")
    _save(figure, axes, "daemons / workers", "bytes/s per daemon", path)


def _sum_bytes_by_part(measurement: dict[str, Any]) -> dict[str, float]:
    parts = {"peers": sum(measurement["peer_bytes"].values())}
    for label, (_, sent) in measurement["platform"].items():
        name = label.split(" ")[0]
        parts[name] = parts.get(name, 0.0) + sent
    return {name: value for name, value in parts.items() if value >= 1}


def _save(figure: Any, axes: Any, x: str, y: str, path: pathlib.Path) -> None:
    axes.set_xlabel(x)
    axes.set_ylabel(y)
    axes.set_ylim(bottom=0)
    axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path)
    print(path)


def run() -> None:
    """Draw both plots."""
    slope, control, folder = (pathlib.Path(name) for name in sys.argv[1:4])
    folder.mkdir(parents=True, exist_ok=True)
    figures = json.loads(slope.read_text(encoding="utf-8"))
    draw_decisions(figures, folder / "capacity-decisions.png")
    figures = json.loads(control.read_text(encoding="utf-8"))
    draw_daemons(figures, folder / "capacity-daemons.png")


if __name__ == "__main__":
    run()
