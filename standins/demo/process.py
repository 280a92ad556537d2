"""Start, watch and stop the processes of a run on loopback.

Processes are stopped by their id only. An exit stack owns each of them, so that
none is left after a failure or Ctrl-C.
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

START_TIMEOUT_SECONDS = 20.0  # until a stand-in prints that it is ready
STOP_TIMEOUT_SECONDS = 15.0  # from SIGTERM to SIGKILL
MIN_PORT, MAX_PORT = 10_000, 32_000


class Ports:
    """Allocates loopback ports that nothing listens on, and reserves them.

    The ports lie below the kernel's ephemeral range: an outgoing connection could
    otherwise take a port between its allocation and the process's listen. A bound
    socket reserves each port until `close`, so that a concurrent run isn't given
    it before the process that it is meant for listens, or while that process is
    down. The socket doesn't listen itself: connections are refused until a
    process that sets SO_REUSEADDR listens.
    """

    def __init__(self) -> None:
        self._next = random.SystemRandom().randrange(MIN_PORT, MAX_PORT)
        self._reserved: list[socket.socket] = []

    def allocate(self, count: int = 1) -> list[int]:
        """Return ``count`` free ports; none is returned twice."""
        allocated: list[int] = []
        while len(allocated) < count:
            self._next = self._next + 1 if self._next < MAX_PORT else MIN_PORT
            if self._reserve(self._next):
                allocated.append(self._next)
        return allocated

    def close(self) -> None:
        """Release all ports, at the end of a run."""
        while self._reserved:
            self._reserved.pop().close()

    def _reserve(self, port: int) -> bool:
        """Bind a port; return False if it is in use or reserved by another run.

        SO_REUSEADDR is set after the bind: set before, it would let two runs
        bind the same port.
        """
        reservation = socket.socket()
        try:
            reservation.bind(("127.0.0.1", port))
        except OSError:
            reservation.close()
            return False
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reserved.append(reservation)
        return True


def exit_on_sigterm() -> None:
    """Make SIGTERM exit this program as Ctrl-C does, so that exit stacks unwind.

    An existing handler of SIGTERM is kept: in a test run, `SystemExit` would fail
    one test, and the run would continue.
    """

    def exit_program(number: int, frame: object) -> None:
        del frame
        sys.exit(128 + number)

    is_main = threading.current_thread() is threading.main_thread()
    if is_main and signal.getsignal(signal.SIGTERM) is signal.SIG_DFL:
        signal.signal(signal.SIGTERM, exit_program)


class Child:
    """A started process and the file that holds its output."""

    def __init__(self, name: str, popen: subprocess.Popen, log: pathlib.Path) -> None:
        self.name = name
        self.popen = popen
        self.log = log

    def wait_for_output(
        self, text: str, timeout: float = START_TIMEOUT_SECONDS
    ) -> None:
        """Wait until the output contains ``text``.

        Raises
        ------
        RuntimeError
            If the process ends or the timeout in seconds passes first.
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
        """Stop the process and return its exit status."""
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
    """Start ``python -m arguments``; the stack stops it.

    Parameters
    ----------
    stack : contextlib.ExitStack
        Owner of the process.
    folder : pathlib.Path
        Where its output goes, as ``NAME.log``.
    name : str
        Name of the log file and in error messages.
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
