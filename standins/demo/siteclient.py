"""Client for the processes of a running site: addresses and calls."""

import contextlib
import json
import socket
import ssl
from collections.abc import Mapping
from typing import Any, NamedTuple

import httpx

__all__ = ["SECRET", "SiteClient", "DaemonPorts"]

# Shared by all operators: the processes listen on loopback only.
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
        """The address that peers connect to."""
        return f"127.0.0.1:{self.relay or self.peers}"


class SiteClient:
    """Client for the platform, the workers, the daemons and the relay between them.

    Parameters
    ----------
    certificates : mapping of str to str, or None
        Certificate files as in `schema.Tls`; None without TLS.

    Attributes
    ----------
    platform_url : str
    workers : dict of str to str
        VM to ``host:port``.
    daemons : dict of str to DaemonPorts
    relay_control_port : int
        Control port of the relay, 0 without a relay.
    """

    def __init__(self, certificates: Mapping[str, str] | None) -> None:
        self.certificates = certificates
        self.platform_url = ""
        self.workers: dict[str, str] = {}
        self.daemons: dict[str, DaemonPorts] = {}
        self.relay_control_port = 0

    @property
    def scheme(self) -> str:
        """URL scheme of the daemons' listeners."""
        return "http" if self.certificates is None else "https"

    @property
    def verify(self) -> Any:
        """TLS verification argument for httpx."""
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
        """Return the first answer with status 200 of any daemon, or an empty dict."""
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
            If the document isn't accepted.
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
        """Return the VMs that are currently in a pool."""
        return [vm["vm"] for vm in self.request("GET", f"/pools/{pool}").json()["vms"]]

    def change_fleet(self, **fields: Any) -> None:
        """Change the platform's VMs, see `platformfleet.Fleet.change`."""
        httpx.post(f"{self.platform_url}/fleet", json=fields, trust_env=False)

    def switch(self, **fields: Any) -> None:
        """Set fault switches of the platform stand-in."""
        httpx.post(f"{self.platform_url}/switch", json=fields, trust_env=False)

    def switch_worker(self, vm: str, **fields: Any) -> None:
        """Set the fault switches of one worker; those not given are reset."""
        url = f"http://{self.workers[vm]}/standin/switch"
        httpx.post(url, json=fields, trust_env=False)

    def switch_link(self, sender: str, receiver: str, state: str) -> None:
        """Set the state of the link from one daemon to another: open, cut or frozen."""
        self.send_relay_command(link=[sender, receiver, state])

    def isolate(self, name: str, state: str) -> None:
        """Set the state of all links from and to one daemon."""
        for other in self.daemons:
            if other != name:
                self.switch_link(name, other, state)
                self.switch_link(other, name, state)

    def read_logs(self) -> list[dict[str, Any]]:
        """Return the execution logs of all workers."""
        runs: list[dict[str, Any]] = []
        for address in self.workers.values():
            url = f"http://{address}/standin/log"
            runs.extend(httpx.get(url, trust_env=False).json()["log"])
        return runs

    def read_history(self) -> list[dict[str, Any]]:
        """Return all commits of the platform's table."""
        answer = httpx.get(f"{self.platform_url}/history", trust_env=False, timeout=30)
        return answer.json()["history"]

    def send_relay_command(self, **command: Any) -> None:
        """Send a command to the relay.

        Raises
        ------
        RuntimeError
            If the relay doesn't confirm the command.
        """
        with socket.create_connection(
            ("127.0.0.1", self.relay_control_port), 5.0
        ) as connection:
            connection.sendall(json.dumps(command).encode() + b"\n")
            if connection.recv(16) != b"done\n":
                raise RuntimeError(f"relay didn't confirm the command {command}")
