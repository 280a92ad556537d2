"""A client of the site: sends a call to one daemon and records the answer."""

import asyncio
import json

import aiohttp

from review.standins2 import site as sites


class Caller:
    """Sends calls of clients."""

    def __init__(self, site: sites.Site) -> None:
        self._site = site
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def call(
        self,
        method: str,
        daemon: sites.Daemon,
        queue: str,
        id: str = "",
        body: object = None,
        timeout: float = 3.0,
        *,
        is_recorded: bool = True,
    ) -> tuple[int, dict]:
        """Send one call; return the status, 0 without an answer, and the body."""
        sent = self._site.record.now()
        headers = {
            "Host": f"{queue}.example",
            "Content-Type": "application/json",
            "Deadline-Ms": str(int(timeout * 1000)),
        }
        url = f"http://{daemon.ip}:{daemon.port}/{queue}/{id}"
        status, fields = 0, {}
        try:
            async with self._session.request(
                method,
                url,
                data=None if body is None else json.dumps(body),
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout),
            ) as response:
                raw = await response.read()
                status = response.status
                fields = json.loads(raw) if raw else {}
        except (TimeoutError, aiohttp.ClientError, OSError):
            pass
        if is_recorded:
            self._site.record.add(
                "call",
                sent=round(sent, 3),
                method=method,
                daemon=daemon.name,
                path=f"/{queue}/{id}",
                status=status,
                body=fields,
            )
        return status, fields

    async def submit(self, queue: str, id: str, body: object, *, tries: int = 5) -> int:
        """Submit a job, again after no answer or a refusal; return the last status."""
        status = 0
        for number in range(tries):
            daemon = self._site.daemons[number % len(self._site.daemons)]
            status, _ = await self.call("POST", daemon, queue, id, body)
            if status in (200, 202, 404):
                break
            await asyncio.sleep(0.3)
        return status

    async def is_ready(self, daemon: sites.Daemon) -> bool:
        """Return whether a daemon says that it is ready."""
        url = f"http://{daemon.ip}:{daemon.ready_port}/v1/readiness"
        try:
            async with self._session.get(
                url, timeout=aiohttp.ClientTimeout(total=1)
            ) as response:
                return response.status == 200
        except (TimeoutError, aiohttp.ClientError, OSError):
            return False

    async def await_ready(self, seconds: float = 20.0) -> bool:
        """Wait until all daemons are ready."""
        for _ in range(int(seconds / 0.1)):
            if all([await self.is_ready(d) for d in self._site.daemons]):
                return True
            await asyncio.sleep(0.1)
        return False
