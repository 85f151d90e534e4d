"""A token bucket that is refilled by events instead of time."""

from __future__ import annotations


class TokenBucket:
    """A number of tokens, in fractions, up to a capacity."""

    __slots__ = ("_capacity", "tokens")

    def __init__(self, *, capacity: float, tokens: float) -> None:
        """Start with `tokens` tokens; the bucket holds at most `capacity`."""
        self._capacity = capacity
        self.tokens = tokens

    def earn(self, amount: float) -> None:
        """Add tokens; those above the capacity are lost."""
        self.tokens = min(self.tokens + amount, self._capacity)

    def spend(self, amount: float) -> None:
        """Remove tokens. The caller has to check `tokens` before; the balance may become negative."""
        self.tokens -= amount
