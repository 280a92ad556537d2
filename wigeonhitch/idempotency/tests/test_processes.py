"""Test that processes claiming the same keys never run a key twice.

The processes are paused, killed and disconnected, and the store loses answers,
delays commits and goes down.
"""

import collections
import pathlib
import signal
import socket
import subprocess
import sys
import time

import httpx
import pytest

KEYS = 400


class Claimants:
    """The platform stand-in and the claimant processes with their output."""

    def __init__(self, folder):
        self.folder = folder
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        self.address = f"http://127.0.0.1:{self.port}"
        self.processes = {}

    def start_platform(self):
        command = [sys.executable, "-m", "standins.platform", "--port", str(self.port)]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.processes["platform"] = process
        assert process.stdout.readline() == "ready\n"

    def start(self, name):
        command = [sys.executable, "-m", "standins.platformclaimant"]
        command += ["--address", self.address, "--name", name, "--keys", str(KEYS)]
        with (self.folder / name).open("w") as out:
            self.processes[name] = subprocess.Popen(command, stdout=out)

    def end(self):
        """Kill all processes, so that the output is complete."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait(10)

    def switch(self, **switches):
        httpx.post(f"{self.address}/switch", json=switches)

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def read(self):
        lines = []
        for file in sorted(self.folder.iterdir()):
            lines += [line.split() for line in file.read_text().splitlines()]
        return lines


@pytest.fixture
def claimants(tmp_path: pathlib.Path):
    running = Claimants(tmp_path)
    running.start_platform()
    for name in ("d1", "d2"):
        running.start(name)
    yield running
    running.end()
    running.processes["platform"].stdout.close()


def wait_for_lines(claimants, count, word):
    """Wait until the claimants have printed ``count`` more lines with ``word``."""

    def count_now():
        return sum(line[0] == word for line in claimants.read())

    target_count = count_now() + count
    deadline = time.monotonic() + 20
    while count_now() < target_count:
        assert time.monotonic() < deadline, f"{count_now()} of {target_count} {word}"
        time.sleep(0.02)


@pytest.mark.processes
def test_no_key_is_sent_twice_while_daemons_and_the_store_fail(claimants):
    wait_for_lines(claimants, 20, "sent")
    claimants.switch(lose={"prefix": "/table/commit", "every": 4})
    wait_for_lines(claimants, 20, "sent")
    claimants.signal("d1", signal.SIGSTOP)
    claimants.switch(late={"prefix": "/table/commit", "every": 5, "seconds": 0.5})
    wait_for_lines(claimants, 20, "sent")
    claimants.switch(down=True)
    wait_for_lines(claimants, 20, "told")
    claimants.signal("d2", signal.SIGKILL)
    claimants.start("d3")
    claimants.switch(down=False)
    claimants.signal("d1", signal.SIGCONT)
    wait_for_lines(claimants, 20, "sent")
    claimants.switch(cut=["d3"])
    wait_for_lines(claimants, 20, "told")
    claimants.switch(cut=[])
    wait_for_lines(claimants, 20, "sent")
    wait_for_lines(claimants, 50, "replayed")

    claimants.end()
    lines = claimants.read()
    sent = collections.defaultdict(list)
    for line in lines:
        if line[0] == "sent":
            sent[line[1]].append(line[2])
    assert {key: runs for key, runs in sent.items() if len(runs) > 1} == {}
    for line in lines:
        if line[0] == "replayed":
            assert sent[line[1]] == [line[2]]
