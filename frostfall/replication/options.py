"""Options for replication: the key `copies` of the operator file's section `group`."""

from __future__ import annotations

from typing import Literal

import msgspec

MAX_VALUE = 1e9  # upper limit of rates (bytes a second) and intervals (seconds)
MIN_VALUES = {
    "rate": 1000.0,  # bytes a second
    "round": 1.0,  # seconds
    "spare": 0.0,  # seconds
}


class ReplicationOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Number of members that hold an agent's record, quorum of a write, and limits of anti-entropy.

    The names of the fields are keys of the operator file.
    """

    kept: int = 3  # holders of a record besides its owner
    acknowledged: int = 2  # holders that must acknowledge a write: the write quorum
    # Handling of non-idempotent work while fewer holders than `acknowledged` are alive.
    few: Literal["refuse", "take"] = "refuse"
    rate: float = 1_000_000.0  # maximum bytes a second that anti-entropy restores
    round: float = 3600.0  # seconds between two comparisons of all replicas, which read the whole log
    spare: float = 60.0  # seconds until another member replaces an unavailable holder; 0 for never

    def __post_init__(self) -> None:
        """Check the values against each other and their limits; raises ValueError naming the key."""
        if not 1 <= self.acknowledged <= self.kept:
            raise ValueError(f"acknowledged: {self.acknowledged} is not from 1 to kept, {self.kept}")
        for key, minimum in MIN_VALUES.items():
            value = getattr(self, key)
            if not minimum <= value <= MAX_VALUE:
                raise ValueError(f"{key}: {value:g} is not from {minimum:g} to 1e9")

    def read_quorum(self, holders: int) -> int:
        """Return the number of holders that a read needs in order to intersect every write quorum.

        With `few: "take"`, writes may have been acknowledged by fewer holders, so that nothing proves the
        absence of an operation; the read quorum is then larger than the number of holders.
        """
        if self.few == "take":
            return holders + 1
        return holders - min(self.acknowledged, holders) + 1
