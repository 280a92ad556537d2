"""What a pool's leader works with."""

from collections.abc import Callable
from typing import NamedTuple

from wigeonhitch.platform import advice, rows, workers
from wigeonhitch.pool import view
from wigeonhitch.telemetry import metric

__all__ = ["Dependencies"]


class Dependencies(NamedTuple):
    """What a leader works with.

    ``may_order`` says whether an order may be given at this moment;
    ``get_last_renewal`` returns when it was last renewed; ``get_store_time`` the
    store's clock, in seconds.
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
