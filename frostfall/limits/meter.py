"""A progress meter: whether a peer takes, or gives, the bytes that are due at a least rate.

It is told positions, not events: how many bytes the peer has moved in all, and up to which position it owes.
Bytes are cumulative over the life of a connection, times are attended seconds (`limits.attention`).
"""

from __future__ import annotations

import math
from collections import deque
from enum import Enum, auto

import msgspec


class Standing(Enum):
    """How a peer stands."""

    IDLE = auto()  # nothing is owed, or all that was owed at the look before has been moved
    MOVING = auto()  # something is owed, and it goes fast enough so far
    SLOW = auto()  # below the least rate, for less than the window
    STALLED = auto()  # nothing has moved since the look before
    SPENT = auto()  # below the least rate over the whole window: to be given up


class LeastRate(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
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

    def owed(self, span: float, stall: float) -> float:
        """The bytes asked for in a span of seconds, in which one stall is forgiven up to the grace."""
        return self.rate * max(span - min(stall, self.grace), 0.0)


ENDLESS = 1 << 62  # a position for what is due until its end is seen, such as an answer of unknown length


class Meter:
    """One direction of one connection.

    A peer is judged only over a span in which some byte was due at every look. What was due at one look and
    has moved by the next ends the span: a client that asks often and reads at once owes something at many
    looks and is never behind. Steps are natural (a receiver opens its window by whole segments), so the
    longest stall in the window is forgiven up to the grace.
    """

    __slots__ = ("_due", "_marks", "standing")

    def __init__(self) -> None:
        """Nothing has been moved, nothing is owed."""
        self._due = 0  # up to where the peer owed at the last look
        # (time, moved), where more had moved; oldest first
        self._marks: deque[tuple[float, int]] | None = None
        self.standing = Standing.IDLE

    def rest(self) -> None:
        """What was due has come to its end: the next thing due is judged by itself."""
        self._marks, self._due, self.standing = None, 0, Standing.IDLE

    def look(self, now: float, moved: int, due: int, rule: LeastRate) -> Standing:
        """Judge at `now`, with so many bytes moved in all and those up to `due` owed."""
        if moved >= due or moved >= self._due or self._marks is None:
            self._due = due
            self._marks = None if moved >= due else deque([(now, moved)])
            self.standing = Standing.IDLE if moved >= due else Standing.MOVING
            return self.standing
        self._due = due
        marks = self._marks
        fresh = moved > marks[-1][1]
        if fresh:
            marks.append((now, moved))
        # The mark at or before the window's start stays: what moved since then is what moved in the window.
        while len(marks) > 1 and marks[1][0] <= now - rule.window:
            marks.popleft()
        self.standing = self._judge(now, moved, rule, fresh)
        return self.standing

    def _judge(self, now: float, moved: int, rule: LeastRate, fresh: bool) -> Standing:
        marks = self._marks
        assert marks is not None
        since = max(marks[0][0], now - rule.window)
        span, stall, before = now - since, 0.0, since
        for at, _ in marks:
            stall, before = max(stall, at - before), max(at, before)
        stall = max(stall, now - before)
        gained = moved - marks[0][1]
        if gained >= rule.owed(span, stall):
            return Standing.MOVING if fresh else Standing.STALLED
        if span < rule.window:
            return Standing.SLOW if fresh else Standing.STALLED
        return Standing.SPENT

    @property
    def pace(self) -> float:
        """Bytes a second over the span that is judged; 0 where nothing has moved in it or none is."""
        if self._marks is None or len(self._marks) < 2:
            return 0.0
        (first, low), (last, high) = self._marks[0], self._marks[-1]
        return (high - low) / max(last - first, 1e-6)
