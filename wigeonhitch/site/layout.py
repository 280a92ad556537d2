"""Whether the store's rows lie where this version of the product looks for them.

A version that spreads jobs over other tables or parts finds none of those that are
there, and accepts them a second time. So the first daemon notes the layout in the store
before anything else is written, and a daemon of another one does nothing.
"""

import enum

import anyio
import orjson

from wigeonhitch.leadership import record as leader_record
from wigeonhitch.platform import rows, table
from wigeonhitch.pool import record as pool_record
from wigeonhitch.telemetry import log

__all__ = ["LAYOUT_TABLE", "State", "await_layout", "make_layout"]

LAYOUT_TABLE = "layout"

NUMBER = 2
"""Rises with each change of the rows that an earlier version couldn't read."""

TIMEOUT = 1.0
"""Seconds for one call."""

RETRY = 0.1
"""Seconds between tries of a call that failed."""

LOOK_AGAIN = 1.0
"""Seconds between looks at a store of another layout, which may be cleared."""


class State(enum.Enum):
    """What a look at the store has shown."""

    FITS = "fits"
    UNKNOWN = "unknown"
    """The store couldn't be read, or the row has just been written."""
    OTHER = "other"
    """The rows are those of another version."""


def make_layout() -> bytes:
    """Return the row that tells of this version's layout."""
    return orjson.dumps(
        {
            "layout": NUMBER,
            "tables": pool_record.JOB_TABLES,
            "parts": pool_record.JOB_PARTS,
        }
    )


async def await_layout(store: rows.RowStore) -> None:
    """Return once the store has this version's layout; note it in an empty store."""
    told = False
    while (state := await _look(store)) is not State.FITS:
        if state is State.OTHER and not told:
            expected = make_layout().decode()
            log.log_problem("store has another layout", expected=expected)
            told = True
        await anyio.sleep(LOOK_AGAIN if state is State.OTHER else RETRY)


async def _look(store: rows.RowStore) -> State:
    """Compare the row, or write it where no version has been before."""
    state = await _compare(store)
    if state is not None:
        return state
    led = await store.list_parts(leader_record.OWNER_TABLE, timeout=TIMEOUT)
    if led.names is None:
        return State.UNKNOWN
    if led.names:
        # Daemons of this version write the row before they lead anything.
        state = await _compare(store)
        return State.OTHER if state is None else state
    place = (LAYOUT_TABLE, LAYOUT_TABLE, LAYOUT_TABLE)
    change = rows.Transaction(
        (rows.Condition(*place, 0),), (rows.Write(*place, make_layout()),)
    )
    result = await store.commit(change, timeout=TIMEOUT)
    return State.FITS if result.outcome is table.Outcome.DONE else State.UNKNOWN


async def _compare(store: rows.RowStore) -> State | None:
    """Return what the row says, or None where there is none."""
    read = await store.read(LAYOUT_TABLE, LAYOUT_TABLE, timeout=TIMEOUT)
    if read.outcome is not table.Outcome.DONE:
        return State.UNKNOWN
    for row in read.rows:
        return State.FITS if row.value == make_layout() else State.OTHER
    return None
