"""Options of the membership protocol: the key `turns` in the section `group` of the operator file."""

from __future__ import annotations

import msgspec


class HeartbeatOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How members monitor each other by heartbeats."""

    every: float = 0.2  # seconds between two heartbeats to each member, the length of a period
    suspect: int = 5  # periods without a heartbeat after which a member is suspected
    gone: int = 25  # periods without a heartbeat after which a member counts as dead

    def __post_init__(self) -> None:
        """Check the ranges. Raises ValueError, whose message begins with the key."""
        if not 0.01 <= self.every <= 60:
            raise ValueError(f"every: {self.every:g} is not from 0.01 to 60 seconds")
        if not 1 <= self.suspect < self.gone:
            raise ValueError(f"suspect: {self.suspect} is not from 1 to below gone, {self.gone}")
