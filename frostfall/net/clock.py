"""The agent's clock and its queue of timers."""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable
from itertools import count

import anyio


class Clock:
    """Unix time in microseconds, anchored once and advanced by the monotonic clock: it never goes back."""

    def __init__(
        self, wall: Callable[[], int] = time.time_ns, steady: Callable[[], int] = time.monotonic_ns
    ) -> None:
        """Anchor the clock; `wall` and `steady` give nanoseconds."""
        self._monotonic_ns = steady
        self._offset = wall() - steady()

    def now(self) -> int:
        """Microseconds of Unix time, which all agents share."""
        return (self._monotonic_ns() + self._offset) // 1000


class TimerQueue:
    """Timers in a heap, which one task waits on."""

    def __init__(self, clock: Clock) -> None:
        """Start with no timer set."""
        self._clock = clock
        self._heap: list[tuple[int, int, str]] = []
        self._order = count()
        self._wake = anyio.Event()
        self.max_lateness = 0  # microseconds, since this was last reset

    def __len__(self) -> int:
        """How many timers are set."""
        return len(self._heap)

    def schedule(self, delay: int, token: str) -> None:
        """Fire a token after a delay in microseconds."""
        due = self._clock.now() + max(delay, 0)
        if not self._heap or due < self._heap[0][0]:
            self._wake.set()
        heapq.heappush(self._heap, (due, next(self._order), token))

    async def run(self, fire: Callable[[str], None]) -> None:
        """Call `fire` with each token as it comes due, in order."""
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
