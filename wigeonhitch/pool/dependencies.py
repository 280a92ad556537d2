"""Dependencies of a pool's leader."""

import math
from collections.abc import Callable
from typing import NamedTuple

from wigeonhitch.platform import advice, rows, workers
from wigeonhitch.pool import view
from wigeonhitch.telemetry import metric

__all__ = ["Dependencies"]


class Dependencies(NamedTuple):
    """Stores, calls and limits that a leader uses.

    ``may_order`` returns whether an order may be given now, ``get_last_renewal`` the
    time of the last renewal of the leader's lease, and ``get_store_time`` the store's
    clock in seconds. Rows of final jobs are kept for ``final_retention`` seconds. The
    store accepts rows of at most ``max_row_bytes`` bytes.
    """

    store: rows.RowStore
    workers: workers.WorkerCalls
    advice: advice.AdviceCalls
    instruments: metric.Instruments
    may_order: Callable[[], bool]
    get_last_renewal: Callable[[], float]
    get_store_time: Callable[[], float]
    final_retention: float
    times: view.TimeBounds
    max_row_bytes: float = math.inf
