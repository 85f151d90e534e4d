"""What the replicas of an owner's record tell of an operation, once those without a record are fenced.

A write was acknowledged by so many holders; a reader that reads enough of them, each fenced first, meets at
least one of those (write and ack quorums, and fencing, after BookKeeper: Junqueira, Kelly and Reed, 2013).
Fences are by operation and not by ledger, so that an owner that is only slow goes on with all its other
operations. An intent that any holder has may have run: its owner may have had all acknowledgements, and
nobody asks the server.
"""

from __future__ import annotations

from collections.abc import Iterable

from frostfall.recovery.operation_log import OperationResult, OperationStatus


def resolve_outcome(results: Iterable[OperationResult], quorum: int) -> OperationResult | None:
    """Combine the results of the holders that were read; None where fewer than `quorum` are authoritative."""
    authoritative = [result for result in results if result.status is not OperationStatus.INDETERMINATE]
    served = [result for result in authoritative if result.status is OperationStatus.SERVED]
    if served:
        return max(served, key=lambda result: result.answer is not None)
    if any(result.status is not OperationStatus.ABSENT for result in authoritative):
        return OperationResult(OperationStatus.FAILED)
    return OperationResult(OperationStatus.ABSENT) if len(authoritative) >= quorum else None
