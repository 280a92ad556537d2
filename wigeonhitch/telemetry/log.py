"""Structured log lines, written only when a state changes.

What happens per request is counted in `wigeonhitch.telemetry.metric`; a line
here says that something is now different, with its fields as JSON.
"""

import collections
import json
import logging as standard
import os
import select
import sys
import time
from typing import Any, TextIO

from absl import flags, logging

__all__ = [
    "OutageLogger",
    "Formatter",
    "Limiter",
    "PipeStream",
    "log_change",
    "log_exception",
    "log_warning",
    "configure",
]

# Libraries that write a line per request; what they say is counted instead.
CHATTY = ("httpx", "httpcore", "hpack", "asyncio")

LINES_A_SECOND = 120
"""Lines of one kind that are written in a second. The heaviest seconds of the
leader of 39 VMs take 104 jobs over, so that each job's story stays whole; a
line costs about 0.05 ms, three kinds of them 2% of a core."""

LINE_MOST = 4000
"""Bytes of one line: a pipe takes so many at once or none."""

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}


class Limiter:
    """Bounds the lines of each kind, and tells how many were left out."""

    def __init__(self, most: int = LINES_A_SECOND) -> None:
        self._most = most
        self._second = 0
        self._counts: collections.Counter[str] = collections.Counter()

    def admit(self, kind: str, now: float) -> bool:
        """Whether a line of this kind may be written now."""
        if int(now) != self._second:
            self._second = int(now)
            left_out = {
                one: count - self._most
                for one, count in self._counts.items()
                if count > self._most
            }
            self._counts.clear()
            if left_out:
                fields = {"lines": left_out}
                logging.get_absl_logger().info(
                    "lines left out", extra={"fields": fields}
                )
        self._counts[kind] += 1
        return self._counts[kind] <= self._most


class PipeStream:
    """Writes lines to a descriptor, or drops them where that would block.

    Attributes
    ----------
    dropped : int
        Lines that were dropped.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write a line if the reader has room for it."""
        data = text.encode()
        if len(data) > LINE_MOST:
            data = data[: LINE_MOST - 1] + b"\n"
        if not self._poll.poll(0):
            self.dropped += 1
            return
        try:
            os.write(self._descriptor, data)
        except OSError:
            self.dropped += 1

    def flush(self) -> None:
        """Do nothing: each line is written at once."""


LIMITER = Limiter()


class Formatter(standard.Formatter):
    """Formats each record as one line of JSON, with fixed fields first."""

    def __init__(self, **fixed: Any) -> None:
        super().__init__()
        self._fixed = fixed

    def format(self, record: standard.LogRecord) -> str:
        """Return the line for one record."""
        line = {
            "time": self.formatTime(record),
            "level": record.levelname.lower(),
            **self._fixed,
            "change": record.getMessage(),
        }
        line.update(getattr(record, "fields", {}))
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def configure(
    level: str, stream: "TextIO | PipeStream" = sys.stderr, **fixed: Any
) -> None:
    """Send absl's log lines to ``stream`` as JSON, from ``level`` on.

    ``fixed`` fields stand in each line.

    Raises
    ------
    ValueError
        If ``level`` is none of the known levels.
    """
    if level not in LEVELS:
        raise ValueError(f"log level {level!r}; expected one of {sorted(LEVELS)}")
    flags.FLAGS.mark_as_parsed()  # absl warns on each line until it is told so
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.python_handler.stream = stream
    handler.setFormatter(Formatter(**fixed))
    for name in CHATTY:
        standard.getLogger(name).setLevel(standard.WARNING)
    logging.set_verbosity(logging.converter.standard_to_absl(LEVELS[level]))


def log_change(change: str, **fields: Any) -> None:
    """Log that a state has changed.

    Parameters
    ----------
    change : str
        What changed, in a few fixed words.
    **fields
        Structured fields of the line.
    """
    if LIMITER.admit(change, time.monotonic()):
        logging.get_absl_logger().info(change, extra={"fields": fields})


def log_warning(change: str, **fields: Any) -> None:
    """Log a change that an operator should look at, as a warning."""
    if LIMITER.admit(change, time.monotonic()):
        logging.get_absl_logger().warning(change, extra={"fields": fields})


def log_exception(change: str, **fields: Any) -> None:
    """Log the exception being handled, a fault of this program, as an error."""
    logging.get_absl_logger().exception(change, extra={"fields": fields})


class OutageLogger:
    """Logs when something that is depended on is lost, and when it is back.

    Calls that fail in between are counted and told with the return, so that
    an outage makes two lines and not one a call.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._failures = 0

    def record(self, succeeded: bool, reason: str = "", **fields: Any) -> None:
        """Take note of a call's success or failure."""
        if not succeeded:
            self._failures += 1
            if self._failures == 1:
                log_change(f"{self._name} lost", reason=reason, **fields)
        elif self._failures:
            log_change(f"{self._name} back", failures=self._failures, **fields)
            self._failures = 0
