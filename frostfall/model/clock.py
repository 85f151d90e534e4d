"""An event loop whose clock jumps to what is due next: the program's own tasks, in virtual time."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Mapping
from typing import Any


class _Jump(selectors.SelectSelector):
    """Nothing ever comes from outside; waiting takes no time."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("everything waits, and nothing is due")
        self.now += max(timeout, 0.0)
        return []

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        return super().get_map()


class VirtualLoop(asyncio.SelectorEventLoop):
    """One thread, no sockets; `time` is seconds since its start."""

    def __init__(self) -> None:
        """At time 0."""
        self._jump = _Jump()
        super().__init__(self._jump)

    def time(self) -> float:
        """Virtual seconds."""
        # Danger: a timer that is due by less than the clock's resolution would be waited for without end.
        return self._jump.now + 1e-9
