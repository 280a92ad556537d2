"""Rows of the fleet's leader: workers to be vacated, and how far waves are."""

from typing import NamedTuple

import orjson

__all__ = [
    "CLOSING_TABLE",
    "HOME_TABLE",
    "ORDER_TABLE",
    "WAVE_TABLE",
    "Closing",
    "WaveRecord",
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


class Closing(NamedTuple):
    """A worker that is to be vacated, or has ended.

    ``wave`` is the wave that its VM is to be maintained for, 0 for a move to
    ``pool``. Once the order was carried out, or its VM was lost, the worker has
    ``ended``.
    """

    worker: str
    vm: str
    wave: int = 0
    pool: str = ""
    ended: bool = False


class WaveRecord(NamedTuple):
    """How far a wave is: VMs that are through, and those that were ordered.

    ``ordered`` maps a VM to the life of its worker at its first order; of these,
    ``confirmed`` are the ones whose order was answered as carried out. Others
    may be under way, or may yet go down.
    """

    done: frozenset[str] = frozenset()
    ordered: dict[str, str] = {}
    confirmed: frozenset[str] = frozenset()

    def order(self, vm: str, worker: str) -> "WaveRecord":
        """Return the record with an order that is about to be given.

        Of an order that is given again the first may be the one that is carried
        out, so only the life at the first one ends for certain.
        """
        return self._replace(ordered={vm: worker, **self.ordered})

    def confirm(self, vm: str) -> "WaveRecord":
        """Return the record with an order that was carried out."""
        return self._replace(confirmed=self.confirmed | {vm})

    def finish(self, vms: set[str]) -> "WaveRecord":
        """Return the record with VMs that are through."""
        ordered = {vm: one for vm, one in self.ordered.items() if vm not in vms}
        return WaveRecord(self.done | vms, ordered, self.confirmed - vms)


def write_closing(closing: Closing) -> bytes:
    """Return the row of a worker to be vacated."""
    return orjson.dumps(closing[1:])


def read_closing(worker: str, value: bytes) -> Closing:
    """Read the row of a worker to be vacated."""
    return Closing(worker, *orjson.loads(value))


def write_wave(wave: WaveRecord) -> bytes:
    """Return a wave's row."""
    row = {"done": sorted(wave.done), "ordered": wave.ordered}
    row["confirmed"] = sorted(wave.confirmed)
    return orjson.dumps(row)


def read_wave(value: bytes) -> WaveRecord:
    """Read a wave's row."""
    row = orjson.loads(value)
    confirmed = frozenset(row.get("confirmed", ()))
    return WaveRecord(frozenset(row["done"]), row["ordered"], confirmed)


def write_order(at: float) -> bytes:
    """Return the row of a VM that is ordered about from the store's time ``at``."""
    return orjson.dumps({"at": at})


def read_order(value: bytes) -> float:
    """Read the store's time from which on a VM was ordered about, in seconds."""
    return orjson.loads(value)["at"]
