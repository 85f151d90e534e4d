"""The agent's clock and its timer queue."""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable
from itertools import count

import anyio


class Clock:
    """Unix time in microseconds, read once at the start and advanced by the monotonic clock.

    The clock never goes back, even if the system's wall clock does.
    """

    def __init__(
        self, wall: Callable[[], int] = time.time_ns, monotonic: Callable[[], int] = time.monotonic_ns
    ) -> None:
        """Read the wall clock once; `wall` and `monotonic` return nanoseconds."""
        self._monotonic_ns = monotonic
        self._offset = wall() - monotonic()

    def now(self) -> int:
        """Return microseconds of Unix time, which are comparable among agents."""
        return (self._monotonic_ns() + self._offset) // 1000


class TimerQueue:
    """Timers in a heap, served by one task."""

    def __init__(self, clock: Clock) -> None:
        """Start without timers."""
        self._clock = clock
        self._heap: list[tuple[int, int, str]] = []
        self._order = count()
        self._wake = anyio.Event()
        self.max_lateness = 0  # largest delay of a timer in microseconds, since this field was last reset

    def __len__(self) -> int:
        """Return the number of timers that are set."""
        return len(self._heap)

    def schedule(self, delay: int, token: str) -> None:
        """Set a timer that fires `token` after `delay` microseconds."""
        due = self._clock.now() + max(delay, 0)
        if not self._heap or due < self._heap[0][0]:
            self._wake.set()
        heapq.heappush(self._heap, (due, next(self._order), token))

    async def run(self, fire: Callable[[str], None]) -> None:
        """Call `fire` with each token when it is due, in order, until cancelled."""
        while True:
            self._wake = anyio.Event()
            now = self._clock.now()
            while self._heap and self._heap[0][0] <= now:
                due, _, token = heapq.heappop(self._heap)
                self.max_lateness = max(self.max_lateness, now - due)
                fire(token)
            if not self._heap:
                await self._wake.wait()
                continue
            wait = self._heap[0][0] - self._clock.now()
            with anyio.move_on_after(max(wait, 0) / 1e6):
                await self._wake.wait()
