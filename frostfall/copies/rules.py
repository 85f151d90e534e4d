"""What operators set on copies: the key `copies` of the section `group`."""

from __future__ import annotations

import msgspec


class Copies(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How many other members keep an agent's record, and how many of them a promise waits for."""

    kept: int = 3
    acknowledged: int = 2

    def __post_init__(self) -> None:
        """Check that the figures go together."""
        if not 1 <= self.acknowledged <= self.kept:
            raise ValueError(f"acknowledged: {self.acknowledged} is not from 1 to kept, {self.kept}")

    def read(self, holders: int) -> int:
        """How many of so many holders a reader needs, so that no promise can have passed all of them by."""
        return holders - min(self.acknowledged, holders) + 1
