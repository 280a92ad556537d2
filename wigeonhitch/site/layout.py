"""Checks that the store's rows have the layout that this version uses.

A version that distributes jobs over other tables or parts doesn't find the existing
ones and accepts them a second time. The first daemon therefore records the layout in
the store before anything else is written, and a daemon with another layout does
nothing.
"""

import enum

import anyio
import orjson

from wigeonhitch.leadership import record as leader_record
from wigeonhitch.platform import rows, table
from wigeonhitch.pool import record as pool_record
from wigeonhitch.telemetry import log

__all__ = ["LAYOUT_TABLE", "LayoutState", "await_layout", "encode_layout"]

LAYOUT_TABLE = "layout"

LAYOUT_VERSION = 2
"""Incremented with each change of the rows that an earlier version can't read."""

CALL_TIMEOUT_SECONDS = 1.0
"""Timeout of one call."""

RETRY_DELAY_SECONDS = 0.1
"""Delay before a failed call is retried."""

MISMATCH_RECHECK_SECONDS = 1.0
"""Interval of checks of a store with another layout, which may be cleared."""


class LayoutState(enum.Enum):
    """Result of comparing the store's layout with this version's."""

    MATCH = "fits"
    UNKNOWN = "unknown"
    """The store couldn't be read, or the row has just been written."""
    MISMATCH = "other"
    """The rows were written by a version with another layout."""


def encode_layout() -> bytes:
    """Return the value of the row that describes this version's layout."""
    return orjson.dumps(
        {
            "layout": LAYOUT_VERSION,
            "tables": pool_record.JOB_TABLES,
            "parts": pool_record.JOB_PARTS,
        }
    )


async def await_layout(store: rows.RowStore) -> None:
    """Wait until the store has this version's layout; record it in an empty store."""
    is_reported = False
    while (state := await _check_or_write(store)) is not LayoutState.MATCH:
        if state is LayoutState.MISMATCH and not is_reported:
            expected = encode_layout().decode()
            log.log_warning("store has another layout", expected=expected)
            is_reported = True
        await anyio.sleep(
            MISMATCH_RECHECK_SECONDS
            if state is LayoutState.MISMATCH
            else RETRY_DELAY_SECONDS
        )


async def _check_or_write(store: rows.RowStore) -> LayoutState:
    """Compare the layout row, or write it if no version has used the store yet."""
    state = await _compare(store)
    if state is not None:
        return state
    owners = await store.list_parts(
        leader_record.OWNER_TABLE, timeout=CALL_TIMEOUT_SECONDS
    )
    if owners.names is None:
        return LayoutState.UNKNOWN
    if owners.names:
        # A daemon of this version writes the row before it claims any leadership.
        state = await _compare(store)
        return LayoutState.MISMATCH if state is None else state
    location = (LAYOUT_TABLE, LAYOUT_TABLE, LAYOUT_TABLE)
    transaction = rows.Transaction(
        (rows.Condition(*location, 0),), (rows.Write(*location, encode_layout()),)
    )
    result = await store.commit(transaction, timeout=CALL_TIMEOUT_SECONDS)
    return (
        LayoutState.MATCH
        if result.outcome is table.Outcome.DONE
        else LayoutState.UNKNOWN
    )


async def _compare(store: rows.RowStore) -> LayoutState | None:
    """Compare the layout row; return None if there is none."""
    read = await store.read(LAYOUT_TABLE, LAYOUT_TABLE, timeout=CALL_TIMEOUT_SECONDS)
    if read.outcome is not table.Outcome.DONE:
        return LayoutState.UNKNOWN
    for row in read.rows:
        return (
            LayoutState.MATCH if row.value == encode_layout() else LayoutState.MISMATCH
        )
    return None
