"""One task that looks at connections when their time has come, in attended time."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Callable
from time import monotonic

import anyio

from frostfall import log
from frostfall.limits.stall_adjusted_clock import StallAdjustedClock
from frostfall.limits.timer_wheel import Timer, TimerWheel

TURN = 0.1  # seconds: how finely deadlines of connections are kept
GAP_MOST = 0.5  # seconds: between two turns, more than this the agent has slept through

_log = log.get("watch")


class Watched(Timer, ABC):
    """What is looked at."""

    @abstractmethod
    def look(self, now: float) -> float | None:
        """Check what has its time; seconds until the next look, or None until it is armed again."""


class Watchdog:
    """The wheel of all connections' deadlines."""

    def __init__(self, steady: Callable[[], float] = monotonic) -> None:
        """Go by this clock, in seconds."""
        self._steady = steady
        self._wheel: TimerWheel[Watched] = TimerWheel()
        self.attention = StallAdjustedClock(TURN, GAP_MOST)

    def __len__(self) -> int:
        """How many are waiting for their next look."""
        return len(self._wheel)

    @property
    def now(self) -> float:
        """Attended seconds, as of the last turn."""
        return self.attention.now

    def arm(self, owner: Watched, seconds: float) -> None:
        """Look at it after so many seconds, or before."""
        turns = math.ceil(seconds / TURN)
        if not owner.armed or owner.due_tick > self._wheel.tick + turns:
            self._wheel.schedule(owner, turns)

    def disarm(self, owner: Watched) -> None:
        """Look at it no more."""
        self._wheel.cancel(owner)

    def turn(self) -> None:
        """Look at all whose time has come."""
        now = self.attention.advance(self._steady())
        for owner in self._wheel.advance(int(now / TURN)):
            try:
                again = owner.look(now)
            except Exception:
                # Danger: a fault in one connection must not end the watch over the others.
                _log.exception("look failed")
                again = None
            if again is not None:
                self._wheel.schedule(owner, math.ceil(again / TURN))

    async def run(self, each: Callable[[], None]) -> None:
        """Take turns for good; `each` is called after every one."""
        while True:
            await anyio.sleep(TURN)
            self.turn()
            each()
