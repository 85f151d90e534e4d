"""Exponential backoff."""

from __future__ import annotations

from dataclasses import dataclass

from frostfall.interface import Microseconds


@dataclass(slots=True)
class ExponentialBackoff:
    """Delays that double from `first` up to `longest` until they are reset."""

    first: Microseconds
    longest: Microseconds
    delay: Microseconds = 0  # the last delay returned; 0 after a reset

    def next(self) -> Microseconds:
        """Return the next delay."""
        self.delay = min(max(self.delay * 2, self.first), self.longest)
        return self.delay

    def reset(self) -> None:
        """Restart with the first delay."""
        self.delay = 0
