"""Draw the slopes that `benchmarks.slope` and `benchmarks.control` kept.

Run ``python -m benchmarks.plot SLOPE.json CONTROL.json FOLDER``.
"""

import json
import pathlib
import sys
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402 - the backend is chosen first

LIMIT = 5000.0  # bytes a second for control
TARGET = 220  # daemons


def draw_decisions(found: dict[str, Any], path: pathlib.Path) -> None:
    """Draw bytes a second of the decisions over the daemons."""
    figure, axes = pyplot.subplots(figsize=(6, 3.6), dpi=90)
    labels = {
        "beats": "heartbeats sent",
        "looks": "duties, holders' rows (taken)",
        "whole": "duties, all rows each look (before)",
    }
    for name, label in labels.items():
        sizes = sorted(int(size) for size in found[name])
        bytes_sent = [found[name][str(size)]["bytes"] for size in sizes]
        axes.plot(sizes, bytes_sent, marker="o", label=label)
    axes.axhline(LIMIT, color="grey", linestyle="--", label="all control may spend")
    _finish(figure, axes, "daemons", "bytes/s per daemon", path)


def draw_daemons(found: list[dict[str, Any]], path: pathlib.Path) -> None:
    """Draw bytes a second of real daemons by part, a bar a run."""
    figure, axes = pyplot.subplots(figsize=(6, 3.6), dpi=90)
    names = [f"{one['daemons']}\n{one['workers']}" for one in found]
    parts: dict[str, list[float]] = {}
    for index, one in enumerate(found):
        for label, value in _find_parts(one).items():
            parts.setdefault(label, [0.0] * len(found))[index] += value
    floor = [0.0] * len(found)
    for label, values in sorted(parts.items()):
        axes.bar(names, values, bottom=floor, label=label)
        floor = [low + high for low, high in zip(floor, values, strict=True)]
    axes.axhline(LIMIT, color="grey", linestyle="--")
    _finish(figure, axes, "daemons / workers", "bytes/s per daemon", path)


def _find_parts(one: dict[str, Any]) -> dict[str, float]:
    parts = {"peers": sum(one["peer_bytes"].values())}
    for label, (_, sent) in one["platform"].items():
        name = label.split(" ")[0]
        parts[name] = parts.get(name, 0.0) + sent
    return {name: value for name, value in parts.items() if value >= 1}


def _finish(figure: Any, axes: Any, x: str, y: str, path: pathlib.Path) -> None:
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
    found = json.loads(slope.read_text(encoding="utf-8"))
    draw_decisions(found, folder / "capacity-decisions.png")
    found = json.loads(control.read_text(encoding="utf-8"))
    draw_daemons(found, folder / "capacity-daemons.png")


if __name__ == "__main__":
    run()
