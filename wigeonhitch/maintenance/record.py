"""Row formats of the fleet leader: closed workers, waves, pool sizes and orders."""

from typing import NamedTuple

import orjson

from wigeonhitch.platform import rows

__all__ = [
    "CLOSING_TABLE",
    "FENCE_KEY",
    "FENCE_VALUE",
    "HOME_TABLE",
    "ORDER_TABLE",
    "WAVE_TABLE",
    "Closing",
    "WaveRecord",
    "expect_fence",
    "read_closing",
    "read_order",
    "read_wave",
    "write_closing",
    "write_order",
    "write_wave",
]

CLOSING_TABLE = "closing"
WAVE_TABLE = "wave"
HOME_TABLE = "home"
ORDER_TABLE = "order"

FENCE_KEY = "~fence"
"""Key of the row among the pool sizes that is rewritten to void unanswered commits. No
pool has this name; daemons of earlier versions read it as the size of one."""

FENCE_VALUE = b"0"


class Closing(NamedTuple):
    """A worker that is closed for new tasks and drained, or has ended.

    ``wave`` is the wave for which its VM is maintained, 0 for a move to ``pool``.
    ``ended`` is set once the order was carried out or the VM was lost.
    """

    worker: str
    vm: str
    wave: int = 0
    pool: str = ""
    ended: bool = False

    @property
    def is_ordered(self) -> bool:
        """Whether it was closed for a move or maintenance, and not found lost."""
        return bool(self.wave or self.pool)


class WaveRecord(NamedTuple):
    """Progress of a wave: VMs that are done, and VMs with an order.

    ``ordered`` maps a VM to its worker at the first order; ``confirmed`` are those of
    them whose order was answered as carried out. The others may be under maintenance,
    or may still go down.
    """

    done: frozenset[str] = frozenset()
    ordered: dict[str, str] = {}
    confirmed: frozenset[str] = frozenset()

    def order(self, vm: str, worker: str) -> "WaveRecord":
        """Return the record with an order that is about to be given.

        When an order is repeated, the first one may be the one that is carried out, so
        only the worker at the first order is certain to end.
        """
        return self._replace(ordered={vm: worker, **self.ordered})

    def confirm(self, vm: str) -> "WaveRecord":
        """Return the record with an order that was carried out."""
        return self._replace(confirmed=self.confirmed | {vm})

    def finish(self, vms: set[str]) -> "WaveRecord":
        """Return the record with VMs that are done."""
        ordered = {vm: worker for vm, worker in self.ordered.items() if vm not in vms}
        return WaveRecord(self.done | vms, ordered, self.confirmed - vms)

    def add_results(self, known: "WaveRecord") -> "WaveRecord":
        """Return the record with the orders that another one knows as carried out."""
        confirmed = self.confirmed | (known.confirmed & self.ordered.keys())
        return self._replace(confirmed=confirmed).finish(set(known.done))


def expect_fence(pool: str, version: int) -> rows.Condition:
    """Return the condition that no commit was voided since."""
    return rows.Condition(HOME_TABLE, pool, FENCE_KEY, version)


def write_closing(closing: Closing) -> bytes:
    """Encode a closed worker as a row value."""
    return orjson.dumps(closing[1:])


def read_closing(worker: str, value: bytes) -> Closing:
    """Decode the row of a closed worker."""
    return Closing(worker, *orjson.loads(value))


def write_wave(wave: WaveRecord) -> bytes:
    """Encode the progress of a wave as a row value."""
    row = {"done": sorted(wave.done), "ordered": wave.ordered}
    row["confirmed"] = sorted(wave.confirmed)
    return orjson.dumps(row)


def read_wave(value: bytes) -> WaveRecord:
    """Decode the row of a wave."""
    row = orjson.loads(value)
    confirmed = frozenset(row.get("confirmed", ()))
    return WaveRecord(frozenset(row["done"]), row["ordered"], confirmed)


def write_order(at: float) -> bytes:
    """Encode an order about a VM, given from the store's time ``at`` on."""
    return orjson.dumps({"at": at})


def read_order(value: bytes) -> float:
    """Decode the store's time in seconds from which on an order about a VM is given."""
    return orjson.loads(value)["at"]
