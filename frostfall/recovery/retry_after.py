"""When a crowd that is refused is to come again: spread over a time that grows with the crowd. No clock.

Clients of a whole fleet come back at once after a power loss. Told the same time all, they would come at once
again; told a time that does not grow, they would come more often than they can be served.
"""

from __future__ import annotations

import random
from collections import deque

MIN_SPREAD, MAX_SPREAD = 0.3, 5.0  # seconds: the width of the spread, and the soonest half of it
COUNTING_WINDOW = 1.0  # seconds over which refusals are counted


class RetryAfterJitter:
    """Hands out times to come again."""

    def __init__(self, rate: float, seed: int) -> None:
        """`rate`: refusals a second that need no more than the least width."""
        self._rate, self._random = rate, random.Random(seed)
        self._given: deque[float] = deque()

    def next_delay(self, now: float) -> float:
        """Seconds after which one more that is refused at `now` (seconds, never less than before) comes."""
        given = self._given
        given.append(now)
        while given[0] < now - COUNTING_WINDOW:
            given.popleft()
        width = min(max(MIN_SPREAD * len(given) / self._rate, MIN_SPREAD), MAX_SPREAD)
        return width * self._random.uniform(0.5, 1.5)
