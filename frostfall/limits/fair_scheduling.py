"""Fair turns: what one connection may do before the others have theirs.

Deficit round robin (M. Shreedhar and G. Varghese, "Efficient fair queueing using deficit round robin",
SIGCOMM 1995): each turn brings a quantum; what one message cost beyond it is paid back in the turns that
follow, so that a connection of large messages gets no more than one of small ones.
"""

from __future__ import annotations

import math

import msgspec


class Quantum(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one turn brings, for parsing and for writing. ValueError where a figure is out of range."""

    size: int = 72 * 1024  # bytes: one answer whole
    messages: int = 32  # however small they are

    def __post_init__(self) -> None:
        """Check that the figures go together."""
        for key in ("size", "messages"):
            if getattr(self, key) <= 0:
                raise ValueError(f"{key}: {getattr(self, key)} is not above 0")


EPSILON = 1e-6  # of a token, and seconds


class ArrivalRate(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How fast new connections are taken in; the rest wait in the kernel. ValueError where out of range."""

    rate: float  # a second
    burst: int = 8  # at once

    def __post_init__(self) -> None:
        """Check that the figures go together."""
        if not 0 < self.rate < math.inf:
            raise ValueError(f"rate: {self.rate:g} is not above 0")
        if self.burst < 1:
            raise ValueError(f"burst: {self.burst} is not above 0")


class ArrivalPacer:
    """A token bucket for arrivals: a crowd does not hold up those that are already there."""

    def __init__(self) -> None:
        """With a full bucket."""
        self._tokens = math.inf
        self._at = 0.0

    def take(self, now: float, limit: ArrivalRate | None) -> float:
        """Take a token at this time, in seconds; how long to wait for it, 0 if it was there."""
        if limit is None:
            self._tokens = math.inf
            return 0.0
        self._tokens = min(self._tokens + max(now - self._at, 0.0) * limit.rate, limit.burst)
        self._at = now
        # Danger: by rounding, a token may lack a trace for ever where the clock is read coarsely.
        if self._tokens < 1 - EPSILON:
            return max((1 - self._tokens) / limit.rate, EPSILON)
        self._tokens -= 1
        return 0.0


class DeficitCounter:
    """The credit of one connection."""

    __slots__ = ("_credit", "_messages", "_quantum")

    def __init__(self, quantum: Quantum) -> None:
        """Without debt."""
        self._quantum = quantum
        self._credit = 0
        self._messages = 0

    def begin_turn(self) -> None:
        """A turn begins. What was left of the last one is not saved up; what it lacked is."""
        self._credit = min(self._credit, 0) + self._quantum.size
        self._messages = self._quantum.messages

    def charge(self, size: int) -> None:
        """One message of so many bytes has been handled."""
        self._credit -= size
        self._messages -= 1

    @property
    def may_continue(self) -> bool:
        """Whether this turn may go on."""
        return self._credit > 0 and self._messages > 0
