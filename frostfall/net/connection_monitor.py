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

TICK_SECONDS = 0.1  # seconds: how finely deadlines of connections are kept
MAX_TICK_GAP_SECONDS = 0.5  # seconds: between two turns, more than this the agent has slept through

_log = log.get_logger("watch")


class MonitoredConnection(Timer, ABC):
    """What is looked at."""

    @abstractmethod
    def check(self, now: float) -> float | None:
        """Check what has its time; seconds until the next look, or None until it is armed again."""


class ConnectionMonitor:
    """The wheel of all connections' deadlines."""

    def __init__(self, monotonic_clock: Callable[[], float] = monotonic) -> None:
        """Go by this clock, in seconds."""
        self._steady = monotonic_clock
        self._wheel: TimerWheel[MonitoredConnection] = TimerWheel()
        self.clock = StallAdjustedClock(TICK_SECONDS, MAX_TICK_GAP_SECONDS)

    def __len__(self) -> int:
        """How many are waiting for their next look."""
        return len(self._wheel)

    @property
    def now(self) -> float:
        """Attended seconds, as of the last turn."""
        return self.clock.now

    def schedule(self, connection: MonitoredConnection, seconds: float) -> None:
        """Look at it after so many seconds, or before."""
        turns = math.ceil(seconds / TICK_SECONDS)
        if not connection.armed or connection.due_tick > self._wheel.tick + turns:
            self._wheel.schedule(connection, turns)

    def cancel(self, connection: MonitoredConnection) -> None:
        """Look at it no more."""
        self._wheel.cancel(connection)

    def tick(self) -> None:
        """Look at all whose time has come."""
        now = self.clock.advance(self._steady())
        for owner in self._wheel.advance(int(now / TICK_SECONDS)):
            try:
                again = owner.check(now)
            except Exception:
                # Danger: a fault in one connection must not end the watch over the others.
                _log.exception("look failed")
                again = None
            if again is not None:
                self._wheel.schedule(owner, math.ceil(again / TICK_SECONDS))

    async def run(self, on_tick: Callable[[], None]) -> None:
        """Take turns for good; `each` is called after every one."""
        while True:
            await anyio.sleep(TICK_SECONDS)
            self.tick()
            on_tick()
