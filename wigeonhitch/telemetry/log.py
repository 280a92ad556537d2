"""Structured log lines, written only when a state changes.

What happens per request is counted in `wigeonhitch.telemetry.metric`; a line
here says that something is now different, with its fields as JSON.
"""

import json
import logging as standard
import sys
from typing import Any, TextIO

from absl import flags, logging

__all__ = [
    "Dependency",
    "Formatter",
    "log_change",
    "log_fault",
    "log_problem",
    "prepare",
]

# Libraries that write a line per request; what they say is counted instead.
CHATTY = ("httpx", "httpcore", "hpack", "asyncio")

LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}


class Formatter(standard.Formatter):
    """Formats each record as one line of JSON."""

    def format(self, record: standard.LogRecord) -> str:
        """Return the line for one record."""
        line = {
            "time": self.formatTime(record),
            "level": record.levelname.lower(),
            "change": record.getMessage(),
        }
        line.update(getattr(record, "fields", {}))
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def prepare(level: str, stream: TextIO = sys.stderr) -> None:
    """Send absl's log lines to ``stream`` as JSON, from ``level`` on.

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
    handler.setFormatter(Formatter())
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
    logging.get_absl_logger().info(change, extra={"fields": fields})


def log_problem(change: str, **fields: Any) -> None:
    """Log a change that an operator should look at, as a warning."""
    logging.get_absl_logger().warning(change, extra={"fields": fields})


def log_fault(change: str, **fields: Any) -> None:
    """Log the exception being handled, a fault of this program, as an error."""
    logging.get_absl_logger().exception(change, extra={"fields": fields})


class Dependency:
    """Logs when something that is depended on is lost, and when it is back.

    Calls that fail in between are counted and told with the return, so that
    an outage makes two lines and not one a call.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._failures = 0

    def note(self, worked: bool, reason: str = "", **fields: Any) -> None:
        """Take note of a call's success or failure."""
        if not worked:
            self._failures += 1
            if self._failures == 1:
                log_change(f"{self._name} lost", reason=reason, **fields)
        elif self._failures:
            log_change(f"{self._name} back", failures=self._failures, **fields)
            self._failures = 0
