"""A clock that does not count the time in which the process itself was stopped or got no CPU."""

from __future__ import annotations


class StallAdjustedClock:
    """Turns a monotonic clock into attended time, which one tick advances by no more than a bound.

    While the event loop does not run, the bytes of its peers wait in the kernel, and their rates cannot be
    judged. So every limit on a peer is counted in attended time.
    """

    def __init__(self, interval: float, max_gap: float) -> None:
        """Expect a tick every `interval` seconds; a gap above `max_gap` seconds counts as `max_gap`.

        Raises ValueError unless 0 < interval <= max_gap.
        """
        if not 0 < interval <= max_gap:
            raise ValueError("0 < interval <= max_gap is needed")
        self._max_gap = max_gap
        self._last_tick: float | None = None
        self.now = 0.0  # attended seconds since the first tick
        self.stalled_seconds = 0.0  # left out of the attended time, in all
        self.stall_count = 0  # gaps above max_gap
        self.stalled = False  # whether there was one before the present tick

    def advance(self, monotonic_now: float) -> float:
        """Take a tick at this reading of the monotonic clock, in seconds; the attended time, in seconds."""
        gap = 0.0 if self._last_tick is None else max(monotonic_now - self._last_tick, 0.0)
        self._last_tick = monotonic_now
        self.stalled = gap > self._max_gap
        if self.stalled:
            self.stalled_seconds += gap - self._max_gap
            self.stall_count += 1
        # By the monotonic clock alone, every peer would look stalled after a stop of this process.
        self.now += min(gap, self._max_gap)
        return self.now
