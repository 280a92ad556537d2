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

__all__ = ["Child", "Ports", "exit_on_sigterm", "start"]

START_TIMEOUT_SECONDS = 20.0  # seconds for a stand-in to say that it is ready
STOP_TIMEOUT_SECONDS = 15.0  # seconds from SIGTERM to SIGKILL
FIRST_PORT, LAST_PORT = 10_000, 32_000


class Ports:
    """Hands out loopback ports that nothing listens on, and keeps them.

    They lie below the range from which the kernel gives outgoing connections
    their ports: one of those would take a port between its being handed out
    and its being listened on. A bound socket keeps each one until `close`, so
    that a run beside this one isn't given it before the process that it is
    meant for listens, or while that is down. It doesn't listen itself:
    connections are refused until a process that sets SO_REUSEADDR does.
    """

    def __init__(self) -> None:
        self._next = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)
        self._kept: list[socket.socket] = []

    def allocate(self, count: int = 1) -> list[int]:
        """Return ``count`` free ports, never the same twice."""
        found: list[int] = []
        while len(found) < count:
            self._next = self._next + 1 if self._next < LAST_PORT else FIRST_PORT
            if self._keep(self._next):
                found.append(self._next)
        return found

    def close(self) -> None:
        """Let others have the ports: at the end of a run."""
        while self._kept:
            self._kept.pop().close()

    def _keep(self, port: int) -> bool:
        """Bind a port; False if anything else listens on it or keeps it.

        SO_REUSEADDR is set after the bind: before, two would share the port.
        """
        keeper = socket.socket()
        try:
            keeper.bind(("127.0.0.1", port))
        except OSError:
            keeper.close()
            return False
        keeper.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._kept.append(keeper)
        return True


def exit_on_sigterm() -> None:
    """Let SIGTERM end this program as Ctrl-C does: its exit stacks are run.

    A program that has its own way of ending by SIGTERM keeps it: in a run of
    tests `SystemExit` would fail one of them, and the run would go on.
    """

    def leave(number: int, frame: object) -> None:
        del frame
        sys.exit(128 + number)

    is_main = threading.current_thread() is threading.main_thread()
    if is_main and signal.getsignal(signal.SIGTERM) is signal.SIG_DFL:
        signal.signal(signal.SIGTERM, leave)


class Child:
    """A process that was started, with its output in a file."""

    def __init__(self, name: str, popen: subprocess.Popen, log: pathlib.Path) -> None:
        self.name = name
        self.popen = popen
        self.log = log

    def wait_for_output(
        self, text: str, timeout: float = START_TIMEOUT_SECONDS
    ) -> None:
        """Wait until the output holds ``text``.

        Raises
        ------
        RuntimeError
            If the process ends or the timeout (s) passes first.
        """
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if text in self.read():
                return
            if self.popen.poll() is not None:
                break
            time.sleep(0.02)
        raise RuntimeError(f"{self.name}: no {text!r} in its output:\n{self.read()}")

    def read(self) -> str:
        """Return the output so far."""
        return self.log.read_text(encoding="utf-8", errors="replace")

    def signal(self, number: int) -> None:
        """Send a signal."""
        self.popen.send_signal(number)

    def stop(self, timeout: float = STOP_TIMEOUT_SECONDS) -> int:
        """End the process and return its exit status."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.terminate()
        try:
            return self.popen.wait(timeout)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()


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
    popen = subprocess.Popen(
        [sys.executable, "-m", *arguments],
        stdin=subprocess.DEVNULL,
        stdout=output,
        stderr=subprocess.STDOUT,
        start_new_session=True,
    )
    child = Child(name, popen, log)
    stack.callback(child.stop)
    return child
