"""Where the processes of a running system are reached, and how to speak to them."""

import contextlib
import json
import socket
import ssl
from collections.abc import Mapping
from typing import Any, NamedTuple

import httpx

__all__ = ["SECRET", "SiteClient", "DaemonPorts"]

# Of every operator: the processes listen on loopback only.
SECRET = "loopback-only"


class DaemonPorts(NamedTuple):
    """Ports of one daemon."""

    name: str
    callers: int
    operators: int
    peers: int
    relay: int = 0

    @property
    def advertised_address(self) -> str:
        """The address at which peers reach it."""
        return f"127.0.0.1:{self.relay or self.peers}"


class SiteClient:
    """Speaks to platform, workers, daemons and the relay between daemons.

    Parameters
    ----------
    certificates : mapping of str to str, or None
        Files as in a `schema.Tls`; None without TLS.

    Attributes
    ----------
    platform_url : str
    workers : dict of str to str
        VM to ``host:port``.
    daemons : dict of str to DaemonPorts
    control : int
        Port of the relay, 0 if there is none.
    """

    def __init__(self, certificates: Mapping[str, str] | None) -> None:
        self.certificates = certificates
        self.platform_url = ""
        self.workers: dict[str, str] = {}
        self.daemons: dict[str, DaemonPorts] = {}
        self.control = 0

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

    def request(
        self,
        method: str,
        path: str,
        body: Any = None,
        operator: str = "ana",
        daemon: str = "",
        timeout: float = 10.0,
    ) -> httpx.Response:
        """Send an operator's request to a daemon, the first one by default."""
        ports = self.daemons[daemon or next(iter(self.daemons))]
        return httpx.request(
            method,
            f"{self.scheme}://127.0.0.1:{ports.operators}/operator/v1{path}",
            json=body,
            headers={"Authorization": f"Bearer {operator}:{SECRET}"},
            timeout=timeout,
            trust_env=False,
            verify=self.verify,
        )

    def request_any(self, method: str, path: str) -> dict[str, Any]:
        """Ask each daemon in turn; return the first good answer, or nothing."""
        for name in list(self.daemons):
            with contextlib.suppress(httpx.HTTPError):
                answer = self.request(method, path, daemon=name)
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
        answer = self.request("POST", "/proposals", body)
        if answer.status_code == 202:
            content = answer.json()["proposal"]["hash"]
            path = f"/proposals/{name}/approve"
            answer = self.request("POST", path, {"hash": content}, operator="ben")
        if answer.status_code != 200:
            raise RuntimeError(f"document {name}: {answer.text}; expected 200")

    def list_members(self, pool: str) -> list[str]:
        """Return the VMs that are in a pool now."""
        return [
            one["vm"] for one in self.request("GET", f"/pools/{pool}").json()["vms"]
        ]

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
        self.tell_relay(link=[sender, receiver, state])

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

    def tell_relay(self, **command: Any) -> None:
        """Give the relay a command.

        Raises
        ------
        RuntimeError
            If it isn't carried out.
        """
        with socket.create_connection(("127.0.0.1", self.control), 5.0) as link:
            link.sendall(json.dumps(command).encode() + b"\n")
            if link.recv(16) != b"done\n":
                raise RuntimeError(f"relay: {command} is not done")
