"""A token bucket whose tokens come with events instead of time."""

from __future__ import annotations


class TokenBucket:
    """Tokens that are earned in parts, saved up to a capacity and spent in parts."""

    __slots__ = ("_capacity", "tokens")

    def __init__(self, *, capacity: float, tokens: float) -> None:
        """Start with `tokens` of at most `capacity`."""
        self._capacity = capacity
        self.tokens = tokens

    def earn(self, amount: float) -> None:
        """Add tokens; what exceeds the capacity is lost."""
        self.tokens = min(self.tokens + amount, self._capacity)

    def spend(self, amount: float) -> None:
        """Take tokens out. The caller has checked `tokens`; the balance may become negative."""
        self.tokens -= amount
