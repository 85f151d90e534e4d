"""Completeness of a record: in a complete one, the absence of an operation proves that it never ran."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class IncompleteReason:
    """Reason why a record is incomplete, so that the absence of an operation from it proves nothing."""

    detail: str

    def __str__(self) -> str:
        """Return the reason as it is logged, stored and sent to other members."""
        return self.detail


def incomplete_detail(reason: IncompleteReason | None) -> str:
    """Return the reason as it is logged, stored and sent to other members; empty for a complete record."""
    return "" if reason is None else reason.detail
