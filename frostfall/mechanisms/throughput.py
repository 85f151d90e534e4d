"""An estimate of the rate of served requests, from the times at which they ended."""

from __future__ import annotations

import math

from frostfall.interface import Microseconds


class Throughput:
    """The rate of served requests, averaged with exponential decay, and the peak rate per server."""

    __slots__ = ("_decay_time", "_peak_decay_time", "peak_per_server", "rate", "updated_at")

    def __init__(self, *, decay_time: Microseconds, peak_decay_time: Microseconds) -> None:
        """Start from zero. The rate decays to 1/e in `decay_time`, the peak in `peak_decay_time`."""
        self._decay_time = decay_time
        self._peak_decay_time = peak_decay_time
        self.rate = 0.0  # requests per second
        self.peak_per_server = 0.0  # requests per second
        self.updated_at: Microseconds = 0

    def update(self, now: Microseconds, servers: int) -> float:
        """Return the current rate in requests per second; `servers` servers share it."""
        if now != self.updated_at:
            elapsed = self.updated_at - now
            self.updated_at = now
            self.rate *= math.exp(elapsed / self._decay_time)
            self.peak_per_server *= math.exp(elapsed / self._peak_decay_time)
        self.peak_per_server = max(self.peak_per_server, self.rate / max(servers, 1))
        return self.rate

    def record(self, now: Microseconds, servers: int, *, served: bool) -> None:
        """Record the end of an attempt; it counts if the attempt served its request."""
        self.rate = self.update(now, servers) + served * 1e6 / self._decay_time
