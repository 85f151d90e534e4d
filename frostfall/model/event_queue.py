"""A discrete-event queue: callbacks in order of their virtual time."""

from __future__ import annotations

import heapq
from collections.abc import Callable

Micros = int
SECOND: Micros = 1_000_000


class EventQueue:
    """A virtual clock that jumps to the next callback; those due at one time run in scheduling order."""

    def __init__(self, start: Micros) -> None:
        """Empty, with the clock at `start`."""
        self.now = start
        self._heap: list[tuple[Micros, int, Callable[[], None]]] = []
        self._scheduled = 0

    def schedule(self, due: Micros, callback: Callable[[], None]) -> None:
        """Run the callback at a time, or at once where that has passed."""
        self._scheduled += 1
        heapq.heappush(self._heap, (max(due, self.now), self._scheduled, callback))

    def run(self, duration: Micros) -> None:
        """Run all that is due within a duration, and advance the clock by it."""
        end = self.now + duration
        while self._heap and self._heap[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = end
