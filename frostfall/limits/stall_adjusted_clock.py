"""Time as the agent could attend to it: what it slept through counts against nobody."""

from __future__ import annotations


class StallAdjustedClock:
    """Turns the steady clock into attended time, which a late turn advances by no more than a bound.

    A loop that got no CPU, or a process that was stopped, has seen nothing of its peers meanwhile: their
    bytes wait in the kernel, and their rates cannot be judged. So every limit on a peer is counted in
    attended time.
    """

    def __init__(self, interval: float, max_gap: float) -> None:
        """Turns come every `turn` seconds; a gap of more than `most` seconds between two counts as `most`."""
        if not 0 < interval <= max_gap:
            raise ValueError("0 < turn <= most is needed")
        self._most = max_gap
        self._last: float | None = None
        self.now = 0.0  # attended seconds since the first turn
        self.stalled_seconds = 0.0  # seconds that were slept through, in all
        self.stall_count = 0  # how often that happened
        self.stalled = False  # whether it happened before the turn that runs

    def advance(self, monotonic_now: float) -> float:
        """A turn at this reading of the steady clock, in seconds; the attended time, in seconds."""
        gap = 0.0 if self._last is None else max(monotonic_now - self._last, 0.0)
        self._last = monotonic_now
        self.stalled = gap > self._most
        if self.stalled:
            # Danger: judged by the wall, everybody who waited while the agent was stopped looks stalled.
            self.stalled_seconds += gap - self._most
            self.stall_count += 1
        self.now += min(gap, self._most)
        return self.now
