"""Start the processes of one customer's site on loopback and wait for them."""

import contextlib
import pathlib
import time
from collections.abc import Mapping
from typing import Any, NamedTuple

import httpx
import yaml

from standins.demo import inventory, process, siteclient
from wigeonhitch.configuration import check, document
from wigeonhitch.operators import credential

__all__ = ["Options", "Site", "open_site"]

READY_TIMEOUT_SECONDS = 30.0


class Options(NamedTuple):
    """Options of a site.

    Parameters
    ----------
    daemons : int
    reboot_seconds : float
        Duration of a worker's reboot.
    vm_lag : float
        Seconds by which the VM list lags behind.
    spare_vms : int
        VMs beyond the pools' sizes.
    settings : mapping
        Sections of the daemons' settings that override the default ones.
    uses_relay : bool
        Whether peers connect through `standins.relay`, see `SiteClient.switch_link`.
    without : str
        Name of the mechanism of `standins.demo.without` to disable.
    tls : bool
        Whether callers, operators and peers use TLS, with certificates made for
        this run.
    """

    daemons: int = 3
    reboot_seconds: float = 1.0
    vm_lag: float = 0.5
    spare_vms: int = 0
    settings: Mapping[str, Mapping[str, Any]] = {}
    uses_relay: bool = False
    without: str = ""
    tls: bool = False


class Site(siteclient.SiteClient):
    """A running site, created by `open_site`.

    Attributes
    ----------
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
        super().__init__(inventory.make_certificates(folder) if options.tls else None)
        self.stack = stack
        self.folder = folder
        self.ports = ports
        stack.callback(ports.close)
        self.intended = intended
        self.options = options
        self.example = pathlib.Path()
        self.operators = tuple(
            credential.make_operator(name, roles, siteclient.SECRET)
            for name, roles in (
                ("ana", ("operations",)),
                ("ben", ("operations", "owner", "quality")),
                ("eva", ("viewer",)),
            )
        )
        self.children: dict[str, process.Child] = {}

    def start_platform(self) -> None:
        """Start the workers' process and the platform stand-in."""
        machines = inventory.list_machines(
            self.intended, self.options.spare_vms, self.ports
        )
        self.workers = {machine["vm"]: machine["address"] for machine in machines}
        pairs = [
            f"{vm}={address.rpartition(':')[2]}" for vm, address in self.workers.items()
        ]
        self._start("workers", ["standins.worker", *pairs]).wait_for_output("ready")
        entries = [
            {
                "vm": f"entry-{number}",
                "kind": "entry",
                "address": f"127.0.0.1:{self.ports.allocate()[0]}",
                "rack": f"entry-rack-{number}",
                "data_centre": self._get_data_centre(number),
                "role": "entry",
            }
            for number in range(self.options.daemons)
        ]
        inventory_file = self.folder / "inventory.yaml"
        inventory_file.write_text(
            yaml.safe_dump(
                {
                    "vms": machines + entries,
                    "reboot_seconds": self.options.reboot_seconds,
                }
            ),
            encoding="utf-8",
        )
        port = self.ports.allocate()[0]
        self.platform_url = f"http://127.0.0.1:{port}"
        arguments = ["standins.platform", "--port", str(port)]
        arguments += ["--inventory", str(inventory_file)]
        arguments += ["--vm-lag", str(self.options.vm_lag)]
        self._start("platform", arguments).wait_for_output("ready")

    def start_daemon(self, number: int, suffix: str = "a") -> siteclient.DaemonPorts:
        """Start a daemon; a replacement gets another suffix."""
        name = f"entry-{number}-{suffix}"
        callers, operators, peers = self.ports.allocate(3)
        ports = siteclient.DaemonPorts(name, callers, operators, peers)
        if self.options.uses_relay:
            ports = ports._replace(relay=self.ports.allocate()[0])
            self.send_relay_command(add=[name, ports.relay, peers])
        seeds = [
            {"name": daemon.name, "address": daemon.advertised_address}
            for daemon in self.daemons.values()
        ]
        settings = self.folder / f"{name}.yaml"
        settings.write_text(
            yaml.safe_dump(self._make_settings(ports, number, seeds)), encoding="utf-8"
        )
        program = ["wigeonhitch.daemon.main"]
        if self.options.without:
            program = ["standins.demo.without", self.options.without]
        self._start(name, [*program, "--settings", str(settings)])
        self.daemons[name] = ports
        return ports

    def wait_until_serving(self, timeout: float = READY_TIMEOUT_SECONDS) -> None:
        """Wait until every daemon answers operators and is registered."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            with contextlib.suppress(httpx.HTTPError):
                answers = [
                    self.request("GET", "/status", daemon=name) for name in self.daemons
                ]
                if all(answer.json().get("registered") for answer in answers):
                    return
            time.sleep(0.05)
        raise RuntimeError(f"daemons of {self.folder.name} don't answer operators")

    def wait_until_ready(
        self, name: str, timeout: float = READY_TIMEOUT_SECONDS
    ) -> float:
        """Wait until a daemon reports readiness; return the elapsed seconds."""
        started = time.monotonic()
        url = f"{self.scheme}://127.0.0.1:{self.daemons[name].callers}/-/ready"
        while time.monotonic() - started < timeout:
            with contextlib.suppress(httpx.HTTPError):
                answer = httpx.get(
                    url, timeout=1.0, trust_env=False, verify=self.verify
                )
                if answer.status_code == 200:
                    return time.monotonic() - started
            if self.children[name].popen.poll() is not None:
                break
            time.sleep(0.05)
        raise RuntimeError(f"{name} isn't ready:\n{self.children[name].read()}")

    def wait_for_operators(self, timeout: float = READY_TIMEOUT_SECONDS) -> None:
        """Wait until every daemon has logged that it serves."""
        for daemon in self.daemons.values():
            self.children[daemon.name].wait_for_output("serving", timeout)

    def wait_until_assigned(self, timeout: float = READY_TIMEOUT_SECONDS) -> None:
        """Wait until every pool has its VMs, some seconds after the activation."""
        sizes = {pool.name: pool.size for pool in self.intended.pools}
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            answer = self.request("GET", "/pools")
            if answer.status_code == 200:
                pools = answer.json()["pools"]
                if all(pool["members"] >= sizes[pool["pool"]] for pool in pools):
                    return
            time.sleep(0.1)
        raise RuntimeError(f"pools of {self.folder.name} don't have their VMs")

    def activate_document(self) -> float:
        """Activate the site's document; return the seconds until daemons are ready."""
        self.wait_until_serving()
        intended = yaml.safe_load(self.example.read_text(encoding="utf-8"))
        self.submit(intended, 0, "first")
        self.wait_until_assigned()
        return max(self.wait_until_ready(name) for name in self.daemons)

    def wait_until_vms_known(self, timeout: float = READY_TIMEOUT_SECONDS) -> None:
        """Wait until each daemon has read which VMs serve each pool.

        A daemon becomes ready earlier: it reads the VMs some seconds after their
        assignment, and correctly answers until then that no worker is available.
        """
        deadline = time.monotonic() + timeout
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

    def start_relay(self) -> None:
        """Start the relay between daemons."""
        self.relay_control_port = self.ports.allocate()[0]
        arguments = ["standins.relay", "--control", str(self.relay_control_port)]
        self._start("relay", arguments).wait_for_output("ready")

    def _start(self, name: str, arguments: list[str]) -> process.Child:
        child = process.start(self.stack, self.folder, name, arguments)
        self.children[name] = child
        return child

    def _get_data_centre(self, number: int) -> str:
        centres = self.intended.data_centres
        return centres[number % len(centres)].name

    def _make_settings(
        self, ports: siteclient.DaemonPorts, number: int, seeds: list[dict[str, str]]
    ) -> dict[str, Any]:
        credentials = [operator._asdict() for operator in self.operators]
        for entry in credentials:
            entry["roles"] = list(entry["roles"])
        sections: dict[str, Any] = {
            "daemon": {
                "name": ports.name,
                "vm": f"entry-{number}",
                "data_centre": self._get_data_centre(number),
            },
            "callers": {"bind": f"127.0.0.1:{ports.callers}"},
            "operators": {
                "bind": f"127.0.0.1:{ports.operators}",
                "credentials": credentials,
            },
            "peers": {
                "bind": f"127.0.0.1:{ports.peers}",
                "advertise": ports.advertised_address,
                "seeds": seeds,
            },
            "platform": {"url": self.platform_url},
        }
        for section, fields in self.options.settings.items():
            sections[section] = sections.get(section, {}) | dict(fields)
        if self.certificates is not None:
            for section in ("callers", "operators", "peers"):
                sections[section]["tls"] = dict(self.certificates)
        return sections


def open_site(
    stack: contextlib.ExitStack,
    folder: pathlib.Path,
    ports: process.Ports,
    example: pathlib.Path,
    options: Options = Options(),  # noqa: B008 - an immutable tuple
) -> Site:
    """Start a site for the fleet document in ``example``.

    The daemons run, but no document is active yet.
    """
    checked = check.check_text(example.read_text(encoding="utf-8"))
    if checked.intended is None:
        raise ValueError(f"{example}: {checked.problems}; expected a valid document")
    process.exit_on_sigterm()
    folder.mkdir(parents=True, exist_ok=True)
    site = Site(stack, folder, ports, checked.intended, options)
    site.example = example
    site.start_platform()
    if options.uses_relay:
        site.start_relay()
    for number in range(options.daemons):
        site.start_daemon(number)
    return site
