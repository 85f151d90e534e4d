"""Whether the absence of an operation from a record proves that it never ran."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class IncompleteReason:
    """Why a record is incomplete: the absence of an operation in it proves nothing."""

    detail: str

    def __str__(self) -> str:
        """The reason as it is logged, stored and sent to other members."""
        return self.detail


def incomplete_detail(reason: IncompleteReason | None) -> str:
    """The reason as it is logged, stored and sent to other members; empty for a complete record."""
    return "" if reason is None else reason.detail
