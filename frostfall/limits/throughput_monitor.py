"""A progress meter: whether a peer takes, or gives, the bytes that are due at a least rate.

It is told positions, not events: how many bytes the peer has moved in all, and up to which position it owes.
Bytes are cumulative over the life of a connection, times are attended seconds (`limits.attention`).
"""

from __future__ import annotations

import math
from collections import deque
from enum import Enum, auto

import msgspec


class ThroughputVerdict(Enum):
    """How a peer stands."""

    IDLE = auto()  # nothing is owed, or all that was owed at the look before has been moved
    PROGRESSING = auto()  # something is owed, and it goes fast enough so far
    SLOW = auto()  # below the least rate, for less than the window
    STALLED = auto()  # nothing has moved since the look before
    FAILED = auto()  # below the least rate over the whole window: to be given up


class MinimumRate(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """At least so many bytes a second over a window, with a stall of up to the grace forgiven in each window.

    ValueError where the figures do not go together.
    """

    rate: float  # bytes a second
    window: float = 4.0  # seconds
    grace: float = 1.5  # seconds, below the window

    def __post_init__(self) -> None:
        """Check that the figures go together."""
        if not 0 < self.rate < math.inf:
            raise ValueError(f"rate: {self.rate:g} is not above 0")
        if not 0 < self.window < math.inf:
            raise ValueError(f"window: {self.window:g} is not above 0")
        if not 0 <= self.grace < self.window:
            raise ValueError(f"grace: {self.grace:g} is not from 0 to below window, {self.window:g}")

    def required_bytes(self, elapsed: float, longest_stall: float) -> float:
        """The bytes asked for in a span of seconds, in which one stall is forgiven up to the grace."""
        return self.rate * max(elapsed - min(longest_stall, self.grace), 0.0)


END_UNKNOWN = 1 << 62  # a position for what is due until its end is seen, such as an answer of unknown length


class ThroughputMonitor:
    """One direction of one connection.

    A peer is judged only over a span in which some byte was due at every look. What was due at one look and
    has moved by the next ends the span: a client that asks often and reads at once owes something at many
    looks and is never behind. Steps are natural (a receiver opens its window by whole segments), so the
    longest stall in the window is forgiven up to the grace.
    """

    __slots__ = ("_due", "_marks", "verdict")

    def __init__(self) -> None:
        """Nothing has been moved, nothing is owed."""
        self._due = 0  # up to where the peer owed at the last look
        # (time, moved), where more had moved; oldest first
        self._marks: deque[tuple[float, int]] | None = None
        self.verdict = ThroughputVerdict.IDLE

    def reset(self) -> None:
        """What was due has come to its end: the next thing due is judged by itself."""
        self._marks, self._due, self.verdict = None, 0, ThroughputVerdict.IDLE

    def observe(self, now: float, transferred: int, due: int, minimum: MinimumRate) -> ThroughputVerdict:
        """Judge at `now`, with so many bytes moved in all and those up to `due` owed."""
        if transferred >= due or transferred >= self._due or self._marks is None:
            self._due = due
            self._marks = None if transferred >= due else deque([(now, transferred)])
            self.verdict = ThroughputVerdict.IDLE if transferred >= due else ThroughputVerdict.PROGRESSING
            return self.verdict
        self._due = due
        marks = self._marks
        fresh = transferred > marks[-1][1]
        if fresh:
            marks.append((now, transferred))
        # The mark at or before the window's start stays: what moved since then is what moved in the window.
        while len(marks) > 1 and marks[1][0] <= now - minimum.window:
            marks.popleft()
        self.verdict = self._judge(now, transferred, minimum, fresh)
        return self.verdict

    def _judge(self, now: float, moved: int, rule: MinimumRate, fresh: bool) -> ThroughputVerdict:
        marks = self._marks
        assert marks is not None
        since = max(marks[0][0], now - rule.window)
        span, stall, before = now - since, 0.0, since
        for at, _ in marks:
            stall, before = max(stall, at - before), max(at, before)
        stall = max(stall, now - before)
        gained = moved - marks[0][1]
        if gained >= rule.required_bytes(span, stall):
            return ThroughputVerdict.PROGRESSING if fresh else ThroughputVerdict.STALLED
        if span < rule.window:
            return ThroughputVerdict.SLOW if fresh else ThroughputVerdict.STALLED
        return ThroughputVerdict.FAILED

    @property
    def throughput(self) -> float:
        """Bytes a second over the span that is judged; 0 where nothing has moved in it or none is."""
        if self._marks is None or len(self._marks) < 2:
            return 0.0
        (first, low), (last, high) = self._marks[0], self._marks[-1]
        return (high - low) / max(last - first, 1e-6)
