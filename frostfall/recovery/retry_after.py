"""Retry-After jitter: rejected clients are spread over a time that grows with their number. No clock.

After a power loss, the clients of a whole fleet reconnect at once. With one common delay they would return at
once again; with a delay that does not grow, they would return faster than they can be served.
"""

from __future__ import annotations

import random
from collections import deque

MIN_SPREAD = 0.3  # seconds: the least mean delay
MAX_SPREAD = 5.0  # seconds: the greatest mean delay
MIN_JITTER = 0.5  # of the mean delay
MAX_JITTER = 1.5  # of the mean delay
COUNTING_WINDOW = 1.0  # seconds over which rejections are counted


class RetryAfterJitter:
    """Hands out the delays after which rejected clients may retry."""

    def __init__(self, rate: float, seed: int) -> None:
        """`rate`: rejections per second up to which the least spread is used."""
        self._rate = rate
        self._random = random.Random(seed)
        self._rejected_at: deque[float] = deque()

    def next_delay(self, now: float) -> float:
        """Seconds after which a client rejected at `now` may retry; `now` (seconds) must not decrease."""
        self._rejected_at.append(now)
        while self._rejected_at[0] < now - COUNTING_WINDOW:
            self._rejected_at.popleft()
        spread = MIN_SPREAD * len(self._rejected_at) / self._rate
        bounded = min(max(spread, MIN_SPREAD), MAX_SPREAD)
        return bounded * self._random.uniform(MIN_JITTER, MAX_JITTER)
