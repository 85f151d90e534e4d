"""Ends operations: writes the end to the log and the replicas, then notifies the waiting clients."""

from __future__ import annotations

from frostfall.net.operations.context import OperationContext
from frostfall.protocol.pg import READY_FOR_QUERY
from frostfall.protocol.pg_server import failure_answer
from frostfall.protocol.recorded_answer import bind
from frostfall.recovery.operation_log import Operation
from frostfall.replication.replica_store import ReplicaUpdate
from frostfall.storage.segment_codec import RecordState


class OperationEndings:
    """Records the ends of operations in progress."""

    def __init__(self, context: OperationContext) -> None:
        """Record ends in the context's operation log."""
        self._context = context

    def end(self, operation: Operation, state: RecordState, answer: bytes | None = None) -> None:
        """End an operation if it is still in progress; an answer is sent to clients once it is durable."""
        operation_log, replication = self._context.operation_log, self._context.replication
        if not operation_log.is_in_progress(operation):
            return
        recorded = None if answer is None else bind(answer, operation.fingerprint)
        ticket = operation_log.record_end(operation, state, recorded)
        if ticket and replication and state is not RecordState.SERVED:
            replication.write_in_background(ReplicaUpdate(state, operation.name))
        if ticket:
            self._finish_when_durable(operation, ticket, answer)
        elif answer is not None:
            self.notify(operation, answer + READY_FOR_QUERY)

    def _finish_when_durable(self, operation: Operation, ticket: int, answer: bytes | None) -> None:
        def on_durable(succeeded: bool) -> None:
            next_ticket = self._context.operation_log.on_end_durable(operation) if succeeded else 0
            if next_ticket:
                self._finish_when_durable(operation, next_ticket, answer)
                return
            if answer is not None:
                # After a disk failure the answer is still valid, and a client that retries learns no less.
                self._send_answer(operation, answer)
            if not succeeded:  # the record stays queued: the operation ends once the record is written
                self._context.disk.when_recovered(
                    lambda: self._finish_when_durable(operation, ticket, answer=None)
                )

        self._context.disk.when_durable(ticket, on_durable)
        self._context.disk.wake()

    def _send_answer(self, operation: Operation, answer: bytes) -> None:
        if self._context.replication and self._context.task_group:
            self._context.task_group.start_soon(self._notify_once_replicated, operation, answer)
        else:
            self.notify(operation, answer + READY_FOR_QUERY)

    async def _notify_once_replicated(self, operation: Operation, answer: bytes) -> None:
        """Send an answer to the waiting clients once enough replica holders have stored it."""
        context = self._context
        if context.replication is None:
            raise RuntimeError("answer awaits replication, but replication is not configured")
        is_stored = len(answer) <= context.options.store.answer_bytes
        recorded = bind(answer, operation.fingerprint) if is_stored else None
        update = ReplicaUpdate(RecordState.SERVED, operation.name, recorded)

        def expired() -> bool:
            return context.clock() >= operation.client_deadline

        # If other members have settled the operation meanwhile, they reported that it may have run. In that
        # case this answer reports the same.
        replicated = await context.replication.quorum_write(update, expired, {})
        self.notify(operation, answer + READY_FOR_QUERY if replicated else failure_answer())

    def notify(self, operation: Operation, answer: bytes) -> None:
        """Send the final answer to all clients that wait for an operation."""
        waiters, operation.waiters = operation.waiters, []
        for waiter in waiters:
            waiter.notify(answer)
