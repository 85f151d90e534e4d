"""A clock that excludes time in which the process itself was paused or received no CPU time."""

from __future__ import annotations


class StallAdjustedClock:
    """Converts a monotonic clock to stall-adjusted time, which advances by at most `max_gap` per tick.

    While the event loop does not run, bytes from peers wait in the kernel, and the peers' rates cannot be
    determined. Therefore every limit on a peer is counted in stall-adjusted time.
    """

    def __init__(self, interval: float, max_gap: float) -> None:
        """Expect a tick every `interval` seconds; a gap above `max_gap` seconds counts as `max_gap`.

        Raises ValueError unless 0 < interval <= max_gap.
        """
        if not 0 < interval <= max_gap:
            raise ValueError(f"0 < interval <= max_gap required, not {interval:g} and {max_gap:g}")
        self._max_gap = max_gap
        self._last_tick: float | None = None
        self.now = 0.0  # stall-adjusted seconds since the first tick
        self.stalled_seconds = 0.0  # total of the excluded time
        self.stall_count = 0  # gaps above max_gap
        self.stalled = False  # whether the last gap was above max_gap

    def advance(self, monotonic_now: float) -> float:
        """Process a tick at `monotonic_now`; returns the stall-adjusted time. Both are in seconds."""
        gap = 0.0 if self._last_tick is None else max(monotonic_now - self._last_tick, 0.0)
        self._last_tick = monotonic_now
        self.stalled = gap > self._max_gap
        if self.stalled:
            self.stalled_seconds += gap - self._max_gap
            self.stall_count += 1
        # By the monotonic clock alone, every peer would appear stalled after a pause of this process.
        self.now += min(gap, self._max_gap)
        return self.now
