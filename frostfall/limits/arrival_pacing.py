"""Rate limit for accepting connections (token bucket), so that bursts do not delay open connections."""

from __future__ import annotations

import math

import msgspec

TOKEN_TOLERANCE = 1e-6  # the fraction of a token that may be missing due to rounding
MIN_WAIT_SECONDS = 1e-6


class ArrivalRate(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rate of accepting connections; others wait in the kernel. Raises ValueError for values out of range."""

    rate: float  # connections per second
    burst: int = 8  # connections accepted at once, with a full bucket

    def __post_init__(self) -> None:
        """Check the ranges."""
        if not 0 < self.rate < math.inf:
            raise ValueError(f"rate: {self.rate:g} is not above 0")
        if self.burst < 1:
            raise ValueError(f"burst: {self.burst} is not above 0")


class ArrivalPacer:
    """A token bucket, with one token for each new connection."""

    def __init__(self) -> None:
        """Begin with a full bucket."""
        self._tokens = math.inf
        self._filled_at = 0.0  # seconds

    def take(self, now: float, limit: ArrivalRate | None) -> float:
        """Take a token at `now`, in seconds. Returns 0, or the seconds until a token is available."""
        if limit is None:
            self._tokens = math.inf
            return 0.0
        elapsed = max(now - self._filled_at, 0.0)
        self._tokens = min(self._tokens + elapsed * limit.rate, limit.burst)
        self._filled_at = now
        # With a coarse clock, rounding could leave the bucket just below one token.
        if self._tokens < 1 - TOKEN_TOLERANCE:
            return max((1 - self._tokens) / limit.rate, MIN_WAIT_SECONDS)
        self._tokens -= 1
        return 0.0
