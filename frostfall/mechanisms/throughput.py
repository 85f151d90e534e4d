"""An estimate of the requests served a second, from the times of their ends."""

from __future__ import annotations

import math

from frostfall.interface import Microseconds


class Throughput:
    """Requests served a second, averaged with exponential decay, and the most that one server carried."""

    __slots__ = ("_memory", "_peak_memory", "peak_per_server", "rate", "updated_at")

    def __init__(self, *, memory: Microseconds, peak_memory: Microseconds) -> None:
        """Start from zero. The rate decays to 1/e in `memory`, the peak in `peak_memory`."""
        self._memory = memory
        self._peak_memory = peak_memory
        self.rate = 0.0  # requests a second
        self.peak_per_server = 0.0  # requests a second
        self.updated_at: Microseconds = 0

    def update(self, now: Microseconds, servers: int) -> float:
        """The current rate, in requests a second, carried by this number of servers."""
        if now != self.updated_at:
            elapsed = self.updated_at - now
            self.updated_at = now
            self.rate *= math.exp(elapsed / self._memory)
            self.peak_per_server *= math.exp(elapsed / self._peak_memory)
        self.peak_per_server = max(self.peak_per_server, self.rate / max(servers, 1))
        return self.rate

    def record(self, now: Microseconds, servers: int, *, served: bool) -> None:
        """Count the end of an attempt, whether or not it served its request."""
        self.rate = self.update(now, servers) + served * 1e6 / self._memory
