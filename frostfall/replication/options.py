"""What operators set on copies: the key `copies` of the section `group`."""

from __future__ import annotations

from typing import Literal

import msgspec


class ReplicationOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How many other members keep an agent's record, and how many of them a promise waits for."""

    kept: int = 3
    acknowledged: int = 2
    few: Literal["refuse", "take"] = "refuse"  # unsafe work while fewer holders than that are there
    rate: float = 1_000_000.0  # bytes a second that a member takes over at most to make copies whole
    round: float = 3600.0  # seconds between two comparisons of all copies, which read all that is on disk
    spare: float = 60.0  # seconds that a holder is away before another member keeps copies for it; 0: never

    def __post_init__(self) -> None:
        """Check that the figures go together."""
        if not 1 <= self.acknowledged <= self.kept:
            raise ValueError(f"acknowledged: {self.acknowledged} is not from 1 to kept, {self.kept}")
        for key, least in (("rate", 1000.0), ("round", 1.0), ("spare", 0.0)):
            if not least <= getattr(self, key) <= 1e9:
                raise ValueError(f"{key}: {getattr(self, key):g} is not from {least:g} to 1e9")

    def read_quorum(self, holders: int) -> int:
        """How many of so many holders a reader needs, so that no promise can have passed all of them by.

        More than there are where promises are also given with fewer copies: nothing proves absence then.
        """
        if self.few == "take":
            return holders + 1
        return holders - min(self.acknowledged, holders) + 1
