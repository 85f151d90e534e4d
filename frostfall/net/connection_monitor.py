"""One task that checks connections as their deadlines come, on a clock that leaves out the agent's stalls."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Callable
from time import monotonic

import anyio

from frostfall import log
from frostfall.limits.stall_adjusted_clock import StallAdjustedClock
from frostfall.limits.timer_wheel import Timer, TimerWheel

TICK_SECONDS = 0.1  # how finely the deadlines of connections are kept
MAX_TICK_GAP_SECONDS = 0.5  # between two ticks: beyond that the agent was stalled

_log = log.get_logger("watch")


class MonitoredConnection(Timer, ABC):
    """A connection with a deadline of its own."""

    @abstractmethod
    def check(self, now: float) -> float | None:
        """Act on a deadline that has come; seconds until the next, or None until it is scheduled."""


class ConnectionMonitor:
    """Owns the timer wheel of all connections' deadlines."""

    def __init__(self, monotonic_clock: Callable[[], float] = monotonic) -> None:
        """Go by this clock, which gives seconds."""
        self.clock = StallAdjustedClock(TICK_SECONDS, MAX_TICK_GAP_SECONDS)
        self._monotonic_clock = monotonic_clock
        self._wheel: TimerWheel[MonitoredConnection] = TimerWheel()

    def __len__(self) -> int:
        """How many connections have a deadline."""
        return len(self._wheel)

    @property
    def now(self) -> float:
        """Stall-adjusted seconds, as of the last tick."""
        return self.clock.now

    def schedule(self, connection: MonitoredConnection, seconds: float) -> None:
        """Check the connection after so many seconds, or before."""
        ticks = math.ceil(seconds / TICK_SECONDS)
        if not connection.armed or connection.due_tick > self._wheel.tick + ticks:
            self._wheel.schedule(connection, ticks)

    def cancel(self, connection: MonitoredConnection) -> None:
        """Check the connection no more."""
        self._wheel.cancel(connection)

    def tick(self) -> None:
        """Check all connections whose deadlines have come."""
        now = self.clock.advance(self._monotonic_clock())
        for connection in self._wheel.advance(int(now / TICK_SECONDS)):
            try:
                delay = connection.check(now)
            except Exception:  # a fault in one connection must not end the checks of the others
                _log.exception("look failed")
                delay = None
            if delay is not None:
                self._wheel.schedule(connection, math.ceil(delay / TICK_SECONDS))

    async def run(self, on_tick: Callable[[], None]) -> None:
        """Tick for good; `on_tick` is called after each tick."""
        while True:
            await anyio.sleep(TICK_SECONDS)
            self.tick()
            on_tick()
