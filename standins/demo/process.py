"""Starting, watching and ending the processes of a run on loopback.

Processes are ended by their id only. An exit stack owns every one of them, so
that a failure or Ctrl-C leaves none behind.
"""

import contextlib
import pathlib
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Sequence

__all__ = ["Child", "Ports", "end_on_signal", "start"]

START_LIMIT = 20.0  # seconds for a stand-in to say that it is ready
STOP_LIMIT = 15.0  # seconds from SIGTERM to SIGKILL
FIRST_PORT, LAST_PORT = 10_000, 32_000


class Ports:
    """Hands out loopback ports that nothing listens on.

    They lie below the range from which the kernel gives outgoing connections
    their ports: one of those would take a port between its being handed out
    and its being listened on.
    """

    def __init__(self) -> None:
        self._next = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)

    def take(self, count: int = 1) -> list[int]:
        """Return ``count`` free ports, never the same twice."""
        found: list[int] = []
        while len(found) < count:
            self._next = self._next + 1 if self._next < LAST_PORT else FIRST_PORT
            with socket.socket() as probe, contextlib.suppress(OSError):
                probe.bind(("127.0.0.1", self._next))
                found.append(self._next)
        return found


def end_on_signal() -> None:
    """Let SIGTERM end this program as Ctrl-C does: its exit stacks are run."""

    def leave(number: int, frame: object) -> None:
        del frame
        sys.exit(128 + number)

    if threading.current_thread() is threading.main_thread():
        signal.signal(signal.SIGTERM, leave)


class Child:
    """A process that was started, with its output in a file."""

    def __init__(self, name: str, running: subprocess.Popen, log: pathlib.Path) -> None:
        self.name = name
        self.running = running
        self.log = log

    def wait_for(self, text: str, limit: float = START_LIMIT) -> None:
        """Wait until the output holds ``text``.

        Raises
        ------
        RuntimeError
            If the process ends or the limit (s) passes first.
        """
        deadline = time.monotonic() + limit
        while time.monotonic() < deadline:
            if text in self.read():
                return
            if self.running.poll() is not None:
                break
            time.sleep(0.02)
        raise RuntimeError(f"{self.name}: no {text!r} in its output:\n{self.read()}")

    def read(self) -> str:
        """Return the output so far."""
        return self.log.read_text(encoding="utf-8", errors="replace")

    def signal(self, number: int) -> None:
        """Send a signal."""
        self.running.send_signal(number)

    def stop(self, limit: float = STOP_LIMIT) -> int:
        """End the process and return its exit status."""
        if self.running.poll() is None:
            self.running.send_signal(signal.SIGCONT)
            self.running.terminate()
        try:
            return self.running.wait(limit)
        except subprocess.TimeoutExpired:
            self.running.kill()
            return self.running.wait()


def start(
    stack: contextlib.ExitStack,
    folder: pathlib.Path,
    name: str,
    arguments: Sequence[str],
) -> Child:
    """Start ``python -m arguments``; the stack ends it.

    Parameters
    ----------
    stack : contextlib.ExitStack
        Owner of the process.
    folder : pathlib.Path
        Where its output goes, as ``NAME.log``.
    name : str
        Name for people.
    arguments : sequence of str
        Module and its arguments.
    """
    log = folder / f"{name}.log"
    output = stack.enter_context(log.open("wb"))
    running = subprocess.Popen(
        [sys.executable, "-m", *arguments],
        stdin=subprocess.DEVNULL,
        stdout=output,
        stderr=subprocess.STDOUT,
        start_new_session=True,
    )
    child = Child(name, running, log)
    stack.callback(child.stop)
    return child
