"""Retry-After jitter: the retries of rejected clients are spread over a time that grows with their number.

After a power loss, all clients of a fleet reconnect at the same time. With one common delay they would all
return at the same time again. With a delay that does not grow with their number, they would return faster
than they can be served. The module reads no clock.
"""

from __future__ import annotations

import random
from collections import deque

MIN_MEAN_DELAY = 0.3  # seconds
MAX_MEAN_DELAY = 5.0  # seconds
MIN_JITTER = 0.5  # share of the mean delay
MAX_JITTER = 1.5  # share of the mean delay
COUNTING_WINDOW = 1.0  # seconds over which rejections are counted


class RetryAfterJitter:
    """Computes the delays after which rejected clients may retry."""

    def __init__(self, rate: float, seed: int) -> None:
        """Use the minimum mean delay up to `rate` rejections a second, and seed the jitter with `seed`."""
        self._rate = rate
        self._random = random.Random(seed)
        self._rejected_at: deque[float] = deque()

    def next_delay(self, now: float) -> float:
        """Return the delay in seconds for a client rejected at `now` (seconds, which must not decrease)."""
        self._rejected_at.append(now)
        while self._rejected_at[0] < now - COUNTING_WINDOW:
            self._rejected_at.popleft()
        unbounded = MIN_MEAN_DELAY * len(self._rejected_at) / self._rate
        mean_delay = min(max(unbounded, MIN_MEAN_DELAY), MAX_MEAN_DELAY)
        return mean_delay * self._random.uniform(MIN_JITTER, MAX_JITTER)
