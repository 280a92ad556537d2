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
    ``get_renewed`` returns when it was last renewed; ``get_store_time`` the
    store's clock, in seconds.
    """

    store: rows.RowStore
    workers: workers.WorkerCalls
    advice: advice.AdviceCalls
    instruments: metric.Instruments
    may_order: Callable[[], bool]
    get_renewed: Callable[[], float]
    get_store_time: Callable[[], float]
    finals_kept: float
    times: view.TimeBounds
