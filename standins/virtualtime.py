"""Event loop whose time advances at once when all tasks wait for timers."""

import asyncio
import selectors

__all__ = ["VirtualTimeLoop"]


class _Selector(selectors.SelectSelector):
    """Advances its loop's time instead of waiting."""

    loop: "VirtualTimeLoop"

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("all tasks wait, and no timer is set")
        self.loop.advance(timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs tasks that wait for timers only; repeats exactly, whatever the load."""

    def __init__(self) -> None:
        selector = _Selector()
        selector.loop = self
        self._now = 1000.0
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Add to the virtual time."""
        self._now += max(0.0, seconds)
