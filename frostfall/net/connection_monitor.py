"""A task that checks connections at their deadlines, on a clock that excludes stalls of the agent."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Callable
from time import monotonic

import anyio

from frostfall import log
from frostfall.limits.stall_adjusted_clock import StallAdjustedClock
from frostfall.limits.timer_wheel import Timer, TimerWheel

TICK_SECONDS = 0.1  # resolution of the deadlines
MAX_TICK_GAP_SECONDS = 0.5  # a longer gap between two ticks counts as a stall of the agent

_log = log.get_logger("watch")


class MonitoredConnection(Timer, ABC):
    """A connection that is checked at its own deadlines."""

    @abstractmethod
    def check(self, now: float) -> float | None:
        """Act on a reached deadline; return the seconds until the next one, or None for no further check."""


class ConnectionMonitor:
    """Owns the timer wheel with the deadlines of all connections."""

    def __init__(self, monotonic_clock: Callable[[], float] = monotonic) -> None:
        """Measure time by `monotonic_clock`, in seconds."""
        self.clock = StallAdjustedClock(TICK_SECONDS, MAX_TICK_GAP_SECONDS)
        self._monotonic_clock = monotonic_clock
        self._wheel: TimerWheel[MonitoredConnection] = TimerWheel()

    def __len__(self) -> int:
        """Return the number of connections with a deadline."""
        return len(self._wheel)

    @property
    def now(self) -> float:
        """Stall-adjusted time in seconds at the last tick."""
        return self.clock.now

    def schedule(self, connection: MonitoredConnection, seconds: float) -> None:
        """Check the connection after at most `seconds`, rounded up to ticks; an earlier deadline stays."""
        ticks = math.ceil(seconds / TICK_SECONDS)
        if not connection.armed or connection.due_tick > self._wheel.tick + ticks:
            self._wheel.schedule(connection, ticks)

    def cancel(self, connection: MonitoredConnection) -> None:
        """Remove the connection's deadline."""
        self._wheel.cancel(connection)

    def tick(self) -> None:
        """Check all connections whose deadlines have been reached."""
        now = self.clock.advance(self._monotonic_clock())
        for connection in self._wheel.advance(int(now / TICK_SECONDS)):
            try:
                delay = connection.check(now)
            except Exception:  # an error in one connection must not end the checks of the others
                _log.exception("connection check failed")
                delay = None
            if delay is not None:
                self._wheel.schedule(connection, math.ceil(delay / TICK_SECONDS))

    async def run(self, on_tick: Callable[[], None]) -> None:
        """Tick until cancelled, and call `on_tick` after each tick."""
        while True:
            await anyio.sleep(TICK_SECONDS)
            self.tick()
            on_tick()
