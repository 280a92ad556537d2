"""One customer's system on loopback: platform, workers and daemons."""

import contextlib
import json
import pathlib
import socket
import ssl
import time
from collections.abc import Mapping
from typing import Any, NamedTuple

import httpx
import yaml

from standins.demo import inventory, process
from wigeonhitch.configuration import check, document
from wigeonhitch.operators import credential

__all__ = ["DaemonPorts", "Options", "Site", "open_site"]

READY_LIMIT = 30.0  # seconds for a daemon to be ready
SECRET = "loopback-only"


class Options(NamedTuple):
    """How a site is made.

    Parameters
    ----------
    daemons : int
    reboot_seconds : float
        Time that a worker's reboot takes.
    vm_lag : float
        Seconds by which the VM list lags.
    spare : int
        VMs beyond the pools' sizes.
    settings : mapping
        Sections of the daemons' settings that differ from the usual.
    relayed : bool
        Whether peers talk through `standins.relay`, see `Site.switch_link`.
    without : str
        A mechanism of `standins.demo.without` that the daemons lack.
    tls : bool
        Whether callers, operators and peers use TLS, by certificates made for
        this run.
    """

    daemons: int = 3
    reboot_seconds: float = 1.0
    vm_lag: float = 0.5
    spare: int = 0
    settings: Mapping[str, Mapping[str, Any]] = {}
    relayed: bool = False
    without: str = ""
    tls: bool = False


class DaemonPorts(NamedTuple):
    """Ports of one daemon."""

    name: str
    callers: int
    operators: int
    peers: int
    relay: int = 0

    @property
    def advertised(self) -> str:
        """The address at which peers reach it."""
        return f"127.0.0.1:{self.relay or self.peers}"


class Site:
    """A running site; `open_site` makes it.

    Attributes
    ----------
    platform_url : str
    workers : dict of str to str
        VM to ``host:port``.
    daemons : dict of str to DaemonPorts
    children : dict of str to process.Child
    """

    def __init__(
        self,
        stack: contextlib.ExitStack,
        folder: pathlib.Path,
        ports: process.Ports,
        intended: document.Document,
        options: Options,
    ) -> None:
        self.stack = stack
        self.folder = folder
        self.ports = ports
        self.intended = intended
        self.options = options
        self.example = pathlib.Path()
        self.operators = tuple(
            credential.make_operator(name, roles, SECRET)
            for name, roles in (
                ("ana", ("operations",)),
                ("ben", ("operations", "owner", "quality")),
                ("eva", ("viewer",)),
            )
        )
        self.platform_url = ""
        self.certificates = inventory.make_certificates(folder) if options.tls else None
        self.workers: dict[str, str] = {}
        self.daemons: dict[str, DaemonPorts] = {}
        self.children: dict[str, process.Child] = {}

    @property
    def scheme(self) -> str:
        """URL scheme of the daemons' listeners."""
        return "http" if self.certificates is None else "https"

    @property
    def verify(self) -> Any:
        """What httpx is to trust."""
        if self.certificates is None:
            return False
        return ssl.create_default_context(cafile=self.certificates["authority"])

    def start_platform(self) -> None:
        """Start the workers' process and the platform stand-in."""
        machines = inventory.list_machines(
            self.intended, self.options.spare, self.ports
        )
        self.workers = {one["vm"]: one["address"] for one in machines}
        pairs = [f"{vm}={at.rpartition(':')[2]}" for vm, at in self.workers.items()]
        self._start("workers", ["standins.worker", *pairs]).wait_for("ready")
        entries = [
            {
                "vm": f"entry-{number}",
                "kind": "entry",
                "address": f"127.0.0.1:{self.ports.take()[0]}",
                "rack": f"entry-rack-{number}",
                "data_centre": self._centre(number),
                "role": "entry",
            }
            for number in range(self.options.daemons)
        ]
        listed = self.folder / "inventory.yaml"
        listed.write_text(
            yaml.safe_dump(
                {
                    "vms": machines + entries,
                    "reboot_seconds": self.options.reboot_seconds,
                }
            ),
            encoding="utf-8",
        )
        port = self.ports.take()[0]
        self.platform_url = f"http://127.0.0.1:{port}"
        arguments = ["standins.platform", "--port", str(port)]
        arguments += ["--inventory", str(listed)]
        arguments += ["--vm-lag", str(self.options.vm_lag)]
        self._start("platform", arguments).wait_for("ready")

    def start_daemon(self, number: int, suffix: str = "a") -> DaemonPorts:
        """Start one daemon; a replaced one gets another suffix."""
        name = f"entry-{number}-{suffix}"
        callers, operators, peers = self.ports.take(3)
        given = DaemonPorts(name, callers, operators, peers)
        if self.options.relayed:
            given = given._replace(relay=self.ports.take()[0])
            self._tell_relay(add=[name, given.relay, peers])
        seeds = [
            {"name": one.name, "address": one.advertised}
            for one in self.daemons.values()
        ]
        settings = self.folder / f"{name}.yaml"
        settings.write_text(
            yaml.safe_dump(self._make_settings(given, number, seeds)), encoding="utf-8"
        )
        program = ["wigeonhitch.daemon.main"]
        if self.options.without:
            program = ["standins.demo.without", self.options.without]
        self._start(name, [*program, "--settings", str(settings)])
        self.daemons[name] = given
        return given

    def wait_until_serving(self, limit: float = READY_LIMIT) -> None:
        """Wait until every daemon listens to operators and is registered."""
        deadline = time.monotonic() + limit
        while time.monotonic() < deadline:
            with contextlib.suppress(httpx.HTTPError):
                answers = [self.ask("GET", "/status", at=name) for name in self.daemons]
                if all(one.json().get("registered") for one in answers):
                    return
            time.sleep(0.05)
        raise RuntimeError(f"daemons of {self.folder.name} don't serve operators")

    def wait_until_ready(self, name: str, limit: float = READY_LIMIT) -> float:
        """Wait for a daemon's readiness path; return the seconds it took."""
        began = time.monotonic()
        url = f"{self.scheme}://127.0.0.1:{self.daemons[name].callers}/-/ready"
        while time.monotonic() - began < limit:
            with contextlib.suppress(httpx.HTTPError):
                answer = httpx.get(
                    url, timeout=1.0, trust_env=False, verify=self.verify
                )
                if answer.status_code == 200:
                    return time.monotonic() - began
            if self.children[name].running.poll() is not None:
                break
            time.sleep(0.05)
        raise RuntimeError(f"{name} isn't ready:\n{self.children[name].read()}")

    def wait_for_operators(self, limit: float = READY_LIMIT) -> None:
        """Wait until every daemon answers operators."""
        for one in self.daemons.values():
            self.children[one.name].wait_for("serving", limit)

    def wait_until_assigned(self, limit: float = READY_LIMIT) -> None:
        """Wait until every pool has its VMs, a few seconds after a document."""
        sizes = {pool.name: pool.size for pool in self.intended.pools}
        deadline = time.monotonic() + limit
        while time.monotonic() < deadline:
            answer = self.ask("GET", "/pools")
            if answer.status_code == 200:
                pools = answer.json()["pools"]
                if all(one["members"] >= sizes[one["pool"]] for one in pools):
                    return
            time.sleep(0.1)
        raise RuntimeError(f"pools of {self.folder.name} don't have their VMs")

    def put_in_force(self) -> float:
        """Put the site's document in force; return the seconds until all are ready."""
        self.wait_until_serving()
        intended = yaml.safe_load(self.example.read_text(encoding="utf-8"))
        self.submit(intended, 0, "first")
        self.wait_until_assigned()
        return max(self.wait_until_ready(name) for name in self.daemons)

    def wait_until_heard(self, limit: float = READY_LIMIT) -> None:
        """Wait until each daemon has read which VMs serve each pool.

        A daemon is ready before: it reads the VMs some seconds after they were
        assigned, and says until then, truly, that no worker is available.
        """
        deadline = time.monotonic() + limit
        for daemon in self.daemons.values():
            for service in self.intended.services:
                path = f"127.0.0.1:{daemon.callers}/{service.name}/x"
                url = f"{self.scheme}://{path}"
                while self._post(url) == 503:
                    if time.monotonic() > deadline:
                        raise RuntimeError(f"{daemon.name} has no {service.name}")
                    time.sleep(0.1)

    def _post(self, url: str) -> int:
        return httpx.post(url, trust_env=False, verify=self.verify).status_code

    def ask(
        self,
        method: str,
        path: str,
        body: Any = None,
        operator: str = "ana",
        at: str = "",
        limit: float = 10.0,
    ) -> httpx.Response:
        """Send an operator's request to a daemon, the first one by default."""
        daemon = self.daemons[at or next(iter(self.daemons))]
        return httpx.request(
            method,
            f"{self.scheme}://127.0.0.1:{daemon.operators}/operator/v1{path}",
            json=body,
            headers={"Authorization": f"Bearer {operator}:{SECRET}"},
            timeout=limit,
            trust_env=False,
            verify=self.verify,
        )

    def ask_any(self, method: str, path: str) -> dict[str, Any]:
        """Ask each daemon in turn; return the first good answer, or nothing."""
        for name in list(self.daemons):
            with contextlib.suppress(httpx.HTTPError):
                answer = self.ask(method, path, at=name)
                if answer.status_code == 200:
                    return answer.json()
        return {}

    def submit(self, intended: dict[str, Any], base: int, name: str) -> None:
        """Submit a document as one operator and approve it as another.

        Raises
        ------
        RuntimeError
            If it isn't accepted.
        """
        body = {"submission": name, "base": base, "document": intended}
        answer = self.ask("POST", "/proposals", body)
        if answer.status_code == 202:
            content = answer.json()["proposal"]["hash"]
            path = f"/proposals/{name}/approve"
            answer = self.ask("POST", path, {"hash": content}, operator="ben")
        if answer.status_code != 200:
            raise RuntimeError(f"document {name}: {answer.text}; expected 200")

    def list_members(self, pool: str) -> list[str]:
        """Return the VMs that are in a pool now."""
        return [one["vm"] for one in self.ask("GET", f"/pools/{pool}").json()["vms"]]

    def change_fleet(self, **fields: Any) -> None:
        """Change the platform's VMs, as `platformfleet.Fleet.change` does."""
        httpx.post(f"{self.platform_url}/fleet", json=fields, trust_env=False)

    def switch(self, **fields: Any) -> None:
        """Set a switch of the platform stand-in."""
        httpx.post(f"{self.platform_url}/switch", json=fields, trust_env=False)

    def switch_worker(self, vm: str, **fields: Any) -> None:
        """Set the switches of one worker."""
        url = f"http://{self.workers[vm]}/standin/switch"
        httpx.post(url, json=fields, trust_env=False)

    def switch_link(self, sender: str, receiver: str, state: str) -> None:
        """Cut, freeze or open the link from one daemon to another."""
        self._tell_relay(link=[sender, receiver, state])

    def isolate(self, name: str, state: str) -> None:
        """Switch all links from and to one daemon."""
        for other in self.daemons:
            if other != name:
                self.switch_link(name, other, state)
                self.switch_link(other, name, state)

    def read_logs(self) -> list[dict[str, Any]]:
        """Return what truly ran on all workers."""
        runs: list[dict[str, Any]] = []
        for address in self.workers.values():
            url = f"http://{address}/standin/log"
            runs.extend(httpx.get(url, trust_env=False).json()["log"])
        return runs

    def read_history(self) -> list[dict[str, Any]]:
        """Return all commits of the platform's table."""
        answer = httpx.get(f"{self.platform_url}/history", trust_env=False, timeout=30)
        return answer.json()["history"]

    def start_relay(self) -> None:
        """Start the relay between daemons."""
        self._control = self.ports.take()[0]
        arguments = ["standins.relay", "--control", str(self._control)]
        self._start("relay", arguments).wait_for("ready")

    def _tell_relay(self, **command: Any) -> None:
        with socket.create_connection(("127.0.0.1", self._control), 5.0) as link:
            link.sendall(json.dumps(command).encode() + b"\n")
            if link.recv(16) != b"done\n":
                raise RuntimeError(f"relay: {command} is not done")

    def _start(self, name: str, arguments: list[str]) -> process.Child:
        child = process.start(self.stack, self.folder, name, arguments)
        self.children[name] = child
        return child

    def _centre(self, number: int) -> str:
        centres = self.intended.data_centres
        return centres[number % len(centres)].name

    def _make_settings(
        self, given: DaemonPorts, number: int, seeds: list[dict[str, str]]
    ) -> dict[str, Any]:
        credentials = [one._asdict() for one in self.operators]
        for one in credentials:
            one["roles"] = list(one["roles"])
        made: dict[str, Any] = {
            "daemon": {
                "name": given.name,
                "vm": f"entry-{number}",
                "data_centre": self._centre(number),
            },
            "callers": {"bind": f"127.0.0.1:{given.callers}"},
            "operators": {
                "bind": f"127.0.0.1:{given.operators}",
                "credentials": credentials,
            },
            "peers": {
                "bind": f"127.0.0.1:{given.peers}",
                "advertise": given.advertised,
                "seeds": seeds,
            },
            "platform": {"url": self.platform_url},
        }
        for section, fields in self.options.settings.items():
            made[section] = made.get(section, {}) | dict(fields)
        if self.certificates is not None:
            for section in ("callers", "operators", "peers"):
                made[section]["tls"] = dict(self.certificates)
        return made


def open_site(
    stack: contextlib.ExitStack,
    folder: pathlib.Path,
    ports: process.Ports,
    example: pathlib.Path,
    options: Options = Options(),  # noqa: B008 - an immutable tuple
) -> Site:
    """Start a whole site for the fleet document in ``example``.

    The daemons run, but no document is in force yet.
    """
    checked = check.check_text(example.read_text(encoding="utf-8"))
    if checked.intended is None:
        raise ValueError(f"{example}: {checked.problems}; expected a valid document")
    process.end_on_signal()
    folder.mkdir(parents=True, exist_ok=True)
    site = Site(stack, folder, ports, checked.intended, options)
    site.example = example
    site.start_platform()
    if options.relayed:
        site.start_relay()
    for number in range(options.daemons):
        site.start_daemon(number)
    return site
