"""Operators' options for replication: the key `copies` of the section `group`."""

from __future__ import annotations

from typing import Literal

import msgspec

MAX_VALUE = 1e9  # the largest rate (bytes a second) and interval (seconds) that are accepted
MIN_VALUES = {
    "rate": 1000.0,  # bytes a second
    "round": 1.0,  # seconds
    "spare": 0.0,  # seconds
}


class ReplicationOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How many members hold an agent's record, and how many acknowledge a write; fields are the keys."""

    kept: int = 3  # holders of a record besides its owner
    acknowledged: int = 2  # holders that have to acknowledge a write
    few: Literal["refuse", "take"] = "refuse"  # non-idempotent work while fewer holders than that are alive
    rate: float = 1_000_000.0  # bytes a second that anti-entropy restores at most
    round: float = 3600.0  # seconds between two comparisons of all replicas, which read the whole log
    spare: float = 60.0  # seconds after which another member stands in for a holder that is away; 0: never

    def __post_init__(self) -> None:
        """Check the values against each other and their limits; ValueError names the key."""
        if not 1 <= self.acknowledged <= self.kept:
            raise ValueError(f"acknowledged: {self.acknowledged} is not from 1 to kept, {self.kept}")
        for key, minimum in MIN_VALUES.items():
            value = getattr(self, key)
            if not minimum <= value <= MAX_VALUE:
                raise ValueError(f"{key}: {value:g} is not from {minimum:g} to 1e9")

    def read_quorum(self, holders: int) -> int:
        """Return how many of so many holders a read needs, so as to meet every write quorum.

        With `few: "take"`, writes are also acknowledged by fewer holders, and nothing proves that an
        operation is absent: the quorum is then larger than the number of holders.
        """
        if self.few == "take":
            return holders + 1
        return holders - min(self.acknowledged, holders) + 1
