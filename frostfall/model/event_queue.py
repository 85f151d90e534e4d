"""A discrete-event queue that runs callbacks in order of virtual time."""

from __future__ import annotations

import heapq
from collections.abc import Callable

Micros = int
SECOND: Micros = 1_000_000


class EventQueue:
    """A virtual clock with scheduled callbacks; callbacks due at the same time run in scheduling order."""

    def __init__(self, start: Micros) -> None:
        """Create an empty queue with the clock at `start`."""
        self.now = start
        self._heap: list[tuple[Micros, int, Callable[[], None]]] = []
        self._scheduled = 0

    def schedule(self, due: Micros, callback: Callable[[], None]) -> None:
        """Schedule a callback for the time `due`, or for the present time if `due` has passed."""
        self._scheduled += 1
        heapq.heappush(self._heap, (max(due, self.now), self._scheduled, callback))

    def run(self, duration: Micros) -> None:
        """Advance the clock by a duration, running all callbacks that become due."""
        end = self.now + duration
        while self._heap and self._heap[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = end
