"""An asyncio event loop in virtual time: when all tasks wait, the clock advances to the next timer."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Mapping
from typing import Any


class _VirtualTimeSelector(selectors.SelectSelector):
    """A selector that reports no I/O; a wait advances the virtual clock and returns immediately."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("deadlock in virtual time: all tasks wait and no timer is scheduled")
        self.now += max(timeout, 0.0)
        return []

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        return super().get_map()


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop without sockets, whose time is in virtual seconds since its creation."""

    def __init__(self) -> None:
        """Create a loop whose clock is at 0."""
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        # asyncio considers a timer due if the remaining time is less than the clock's resolution, without
        # advancing the clock. Without the added nanosecond, the loop could wait for such a timer forever.
        return self._virtual_selector.now + 1e-9
