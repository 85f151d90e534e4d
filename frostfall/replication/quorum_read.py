"""Quorum read: the outcome of an operation by its replicas, once holders without a record are fenced.

A write is acknowledged by a write quorum of holders. A reader that reads a read quorum of them, each fenced
first, reads at least one of these (write and ack quorums, and fencing, after BookKeeper: Junqueira, Kelly and
Reed, 2013). Fences apply to an operation and not to a ledger, so that an owner that is only slow continues
with all its other operations. An operation whose intent is at any holder may have run, because its owner may
have received all acknowledgements, and the server is not queried.
"""

from __future__ import annotations

from collections.abc import Iterable

from frostfall.recovery.operation_log import OperationResult, OperationStatus


def resolve_outcome(results: Iterable[OperationResult], quorum: int) -> OperationResult | None:
    """Combine the results of the holders that were read.

    Returns None if the operation is absent from all authoritative results, and these are fewer than `quorum`.
    """
    authoritative = [result for result in results if result.status is not OperationStatus.INDETERMINATE]
    served = [result for result in authoritative if result.status is OperationStatus.SERVED]
    if served:
        return max(served, key=lambda result: result.answer is not None)
    if any(result.status is not OperationStatus.ABSENT for result in authoritative):
        return OperationResult(OperationStatus.FAILED)
    return OperationResult(OperationStatus.ABSENT) if len(authoritative) >= quorum else None
