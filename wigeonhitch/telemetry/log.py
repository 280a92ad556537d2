"""Structured log lines as JSON, written only on state changes.

Per-request events are counted in `wigeonhitch.telemetry.metric` instead.
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

# Libraries that log a line per request; requests are counted instead.
QUIET_LOGGERS = ("httpx", "httpcore", "hpack", "asyncio")

MAX_LINES_PER_SECOND = 120
"""Maximum number of lines of one kind per second. The leader of 39 VMs takes over
up to 104 jobs in a second, and the log must cover every job. A line costs about
0.05 ms, so three kinds at this rate take 2% of a core."""

MAX_LINE_BYTES = 4000
"""Maximum size of a line: a pipe accepts this many bytes atomically or none."""

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}


class Limiter:
    """Limits the lines of each kind per second and logs how many were omitted."""

    def __init__(self, max_lines: int = MAX_LINES_PER_SECOND) -> None:
        self._max_lines = max_lines
        self._second = 0
        self._counts: collections.Counter[str] = collections.Counter()

    def admit(self, kind: str, now: float) -> bool:
        """Return whether a line of this kind may be written now."""
        if int(now) != self._second:
            self._second = int(now)
            omitted_lines = {
                counted_kind: count - self._max_lines
                for counted_kind, count in self._counts.items()
                if count > self._max_lines
            }
            self._counts.clear()
            if omitted_lines:
                fields = {"lines": omitted_lines}
                logging.get_absl_logger().info(
                    "lines left out", extra={"fields": fields}
                )
        self._counts[kind] += 1
        return self._counts[kind] <= self._max_lines


class PipeStream:
    """Writes lines to a file descriptor and drops those that would block.

    Attributes
    ----------
    dropped : int
        Number of dropped lines.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write a line if the pipe has room for it."""
        data = text.encode()
        if len(data) > MAX_LINE_BYTES:
            data = data[: MAX_LINE_BYTES - 1] + b"\n"
        if not self._poll.poll(0):
            self.dropped += 1
            return
        try:
            os.write(self._descriptor, data)
        except OSError:
            self.dropped += 1

    def flush(self) -> None:
        """Do nothing, since lines are not buffered."""


LIMITER = Limiter()


class Formatter(standard.Formatter):
    """Formats each record as one line of JSON, including the fixed fields."""

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
    """Write absl's log records of at least ``level`` to ``stream`` as JSON.

    The fields in ``fixed`` are part of each line.

    Raises
    ------
    ValueError
        If ``level`` is unknown.
    """
    if level not in LEVELS:
        raise ValueError(f"log level {level!r}; expected one of {sorted(LEVELS)}")
    flags.FLAGS.mark_as_parsed()  # without this absl warns on each line
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.python_handler.stream = stream
    handler.setFormatter(Formatter(**fixed))
    for name in QUIET_LOGGERS:
        standard.getLogger(name).setLevel(standard.WARNING)
    logging.set_verbosity(logging.converter.standard_to_absl(LEVELS[level]))


def log_change(change: str, **fields: Any) -> None:
    """Log that a state has changed.

    Parameters
    ----------
    change : str
        Fixed text that names the change.
    **fields
        Structured fields of the line.
    """
    if LIMITER.admit(change, time.monotonic()):
        logging.get_absl_logger().info(change, extra={"fields": fields})


def log_warning(change: str, **fields: Any) -> None:
    """Log, as a warning, a change that needs an operator's attention."""
    if LIMITER.admit(change, time.monotonic()):
        logging.get_absl_logger().warning(change, extra={"fields": fields})


def log_exception(change: str, **fields: Any) -> None:
    """Log the exception being handled, a fault of this program, as an error."""
    logging.get_absl_logger().exception(change, extra={"fields": fields})


class OutageLogger:
    """Logs when a dependency becomes unavailable and when it is available again.

    The second line has the number of failed calls, so that an outage makes two
    lines instead of one per call.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._failures = 0

    def record(self, succeeded: bool, reason: str = "", **fields: Any) -> None:
        """Record the success or failure of a call."""
        if not succeeded:
            self._failures += 1
            if self._failures == 1:
                log_change(f"{self._name} lost", reason=reason, **fields)
        elif self._failures:
            log_change(f"{self._name} back", failures=self._failures, **fields)
            self._failures = 0
