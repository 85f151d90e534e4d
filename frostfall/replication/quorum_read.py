"""What the copies of an owner's record say of an operation, fenced at those that know nothing of it.

A promise was given only with the acknowledgements of so many holders; whoever reads enough of them, each
fenced first, meets at least one of those (write and ack quorums, and fencing, after BookKeeper: Junqueira,
Kelly and Reed, 2013; here by operation and not by ledger, so that an owner that is only slow goes on with all
else). An intent that any holder has may have run: its owner may have all acknowledgements, and no server asks
about that.
"""

from __future__ import annotations

from collections.abc import Iterable

from frostfall.recovery.operation_log import OperationResult, OperationStatus


def resolve_outcome(results: Iterable[OperationResult], quorum: int) -> OperationResult | None:
    """The one word of the holders that were read; None where too few that are sure were."""
    sure = [told for told in results if told.status is not OperationStatus.INDETERMINATE]
    served = [told for told in sure if told.status is OperationStatus.SERVED]
    if served:
        return max(served, key=lambda told: told.answer is not None)
    if any(told.status is not OperationStatus.ABSENT for told in sure):
        return OperationResult(OperationStatus.FAILED)
    return OperationResult(OperationStatus.ABSENT) if len(sure) >= quorum else None
