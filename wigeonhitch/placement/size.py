"""Estimation of job sizes from the usage that workers report with a lag."""

import collections
import math
from collections import OrderedDict, deque
from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["SizeEstimator"]

# Enough peaks that the 95th percentile is not always the highest; at 16 bytes a
# peak and MAX_KINDS kinds the estimator stays under 10 MB.
MAX_PEAKS = 64
MAX_KINDS = 4096
# With fewer peaks, the declared size is the lower limit of the estimate. A kind that
# is declared ten times too large has few jobs running at once, so requiring more
# peaks would keep workers idle for long; instead, FEW_PEAKS_MARGIN, divided by the
# number of peaks, widens the memory margin.
MIN_PEAKS = 4
FEW_PEAKS_MARGIN = 0.6
# One attempt in twenty exceeds the estimate; checkpointing bulk before the VM runs
# out of memory handles those.
PEAK_QUANTILE = 0.95
# Usage is sampled seconds apart, so the true peak lies above the observed one. For
# memory only: a job short of cores is merely slower, and a job that uses all cores
# it gets would be given ever more of them.
MEMORY_MARGIN = 1.15
# Cores are raised step by step while that shortens the run time of the kind's jobs
# by at least a tenth: some jobs use all cores they get and finish no sooner.
# Compared are the last RUNS_PER_LEVEL jobs at each of up to MAX_LEVELS levels.
CORES_GROWTH_FACTOR = 1.5
MAX_RUN_TIME_RATIO = 0.9
RUNS_PER_LEVEL = 4
MAX_LEVELS = 8


class Peaks(NamedTuple):
    """Latest usage peaks of one kind."""

    cores: deque
    memory: deque


class SizeEstimator:
    """Estimates sizes as a high quantile of peak usage for each kind of job.

    Declared sizes are off by up to ten times in both directions. Too small a
    reservation gets tasks killed for memory; too large a one leaves workers idle
    while deadlines pass. The declared size is used only as a prior.

    Parameters
    ----------
    enabled : bool
        If false, declared sizes are returned; used as a baseline.
    """

    def __init__(self, enabled: bool = True):
        self._enabled = enabled
        self._peaks: OrderedDict[str, Peaks] = collections.OrderedDict()
        self._run_ratios: dict[str, dict[float, list[float]]] = {}
        self._max_cores: dict[str, float] = {}

    def add_cores(self, kind: str, cores: float) -> None:
        """Add the cores that one attempt used, or is expected to be able to use."""
        self._get_peaks(kind).cores.append(cores)

    def add_memory(self, kind: str, memory: float) -> None:
        """Add the peak memory of one attempt, GB."""
        self._get_peaks(kind).memory.append(memory)

    def _get_peaks(self, kind: str) -> "Peaks":
        if kind not in self._peaks:
            self._peaks[kind] = Peaks(*(deque(maxlen=MAX_PEAKS) for _ in range(2)))
        self._peaks.move_to_end(kind)
        if len(self._peaks) > MAX_KINDS:
            oldest, _ = self._peaks.popitem(last=False)
            self._run_ratios.pop(oldest, None)
            self._max_cores.pop(oldest, None)
        return self._peaks[kind]

    def record_saturated(self, kind: str, cores: float, ratio: float) -> float:
        """Record a job that used all its cores; return the cores to learn from it.

        Parameters
        ----------
        kind : str
            Kind of the job.
        cores : float
            Its reservation.
        ratio : float
            Its run time divided by the expected run time.
        """
        runs = self._run_ratios.setdefault(kind, {})
        runs.setdefault(cores, []).append(ratio)
        if len(runs) > MAX_LEVELS:
            del runs[min(runs)]
        sampled = {
            level: times
            for level, times in runs.items()
            if len(times) >= RUNS_PER_LEVEL
        }
        below = [level for level in sampled if level < cores]
        if cores in sampled and below:
            previous = sampled[max(below)][-RUNS_PER_LEVEL:]
            if sum(runs[cores][-RUNS_PER_LEVEL:]) > MAX_RUN_TIME_RATIO * sum(previous):
                self._max_cores.setdefault(kind, max(below))
        runs[cores] = runs[cores][-RUNS_PER_LEVEL:]
        return min(CORES_GROWTH_FACTOR * cores, self._max_cores.get(kind, math.inf))

    def is_confident(self, kind: str) -> bool:
        """Return whether there are enough peaks to ignore the declared size."""
        peaks = self._peaks.get(kind)
        if not self._enabled or peaks is None:
            return False
        return min(len(peaks.cores), len(peaks.memory)) >= MIN_PEAKS

    def estimate(self, kind: str, cores: float, memory: float) -> tuple[float, float]:
        """Return the cores and memory to reserve for a job.

        Parameters
        ----------
        kind : str
            Kind of the job.
        cores, memory : float
            Declared size.

        Examples
        --------
        >>> estimator = SizeEstimator()
        >>> estimator.estimate("pairing", 8.0, 32.0)
        (8.0, 32.0)
        >>> for _ in range(8):
        ...     estimator.add_cores("pairing", 1.0)
        ...     estimator.add_memory("pairing", 4.0)
        >>> estimator.estimate("pairing", 8.0, 32.0)
        (1.0, 4.9)
        """
        peaks = self._peaks.get(kind)
        if not self._enabled or peaks is None:
            return cores, memory
        max_cores = self._max_cores.get(kind, math.inf)
        learned = min(max_cores, _quantile(peaks.cores)) if peaks.cores else cores
        if len(peaks.cores) < MIN_PEAKS:
            learned = max(cores, learned)
        if not peaks.memory:
            return round(learned, 3), memory
        margin = MEMORY_MARGIN + FEW_PEAKS_MARGIN / len(peaks.memory)
        needed = margin * _quantile(peaks.memory)
        if len(peaks.memory) < MIN_PEAKS:
            needed = max(memory, needed)
        return round(learned, 3), round(needed, 3)


def _quantile(values: Iterable[float]) -> float:
    ordered = sorted(values)
    return ordered[math.ceil(PEAK_QUANTILE * len(ordered)) - 1]
