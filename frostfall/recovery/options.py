"""Options for the start of a member: the key `waits` in the section `group` of the operator file."""

from __future__ import annotations

import math

import msgspec


class StartupTimeouts(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Timeouts in seconds after which a start proceeds without a step; safety depends on none of them.

    The names of the fields are keys of the operator file.
    """

    list: float = 5.0  # for discovery's endpoint list; after that, the cached list is used
    others: float = 0.5  # for the members beyond a majority, once a majority has acknowledged
    group: float = 5.0  # for a majority; then keyed work and votes proceed, non-idempotent work does not
    ask: float = 0.5  # for the other members' status of an operation that a client retries

    def __post_init__(self) -> None:
        """Check the ranges; raises ValueError naming the key."""
        for name in ("list", "others", "group", "ask"):
            if not 0 < getattr(self, name) < math.inf:
                raise ValueError(f"{name}: {getattr(self, name):g} is not above 0")
