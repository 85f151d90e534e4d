"""Coordinates client attempts at operations: starts, joins, replays or rejects them."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from frostfall import interface as api
from frostfall.net.operation_conflict import OperationConflict
from frostfall.net.operations.context import (
    DEADLINE_MARGIN,
    OperationContext,
    encode_result,
    recorded_answer,
)
from frostfall.net.operations.dispatch import DispatchAuthorizer
from frostfall.net.operations.endings import OperationEndings
from frostfall.net.operations.interfaces import ClientAttempt, JoinedAttempt, WaitingClient
from frostfall.net.operations.peer_poll import PeerPoll
from frostfall.net.operations.settlement import OperationSettlement
from frostfall.protocol.attempt_result import AttemptResult, FinalOutcome
from frostfall.protocol.pg import READY_FOR_QUERY
from frostfall.protocol.pg_client import Row
from frostfall.protocol.pg_server import failure_answer
from frostfall.protocol.statement import Statement
from frostfall.recovery.operation_log import (
    MAX_NAME_BYTES,
    Admission,
    AdmissionDecision,
    Operation,
    OperationResult,
    OperationStatus,
)
from frostfall.recovery.readiness import ReadinessStage
from frostfall.storage.segment_codec import RecordState

REJECTION_POLL_TIMEOUT = 100_000  # microseconds; a drain leaves 0.25 s for the last answers


class OperationCoordinator:
    """Maps requests to the operations that they execute."""

    def __init__(self, context: OperationContext) -> None:
        """Create a coordinator; the context's task group must be set before other methods are called."""
        self._context = context
        self._peer_poll = PeerPoll(context.membership, context.connections)
        self._settlement = OperationSettlement(context, self._peer_poll)
        self._endings = OperationEndings(context)
        self._authorizer = DispatchAuthorizer(context, self._peer_poll, self._settlement, self._endings)
        self._operations: dict[str, Operation] = {}  # by request id

    def handle_query(self, statement: Statement, client: WaitingClient, deadline: int) -> bool:
        """Handle a client's query; return False if the policy engine must execute it.

        `deadline` is in microseconds, as in all methods of this class. Raises OperationConflict if the
        operation that the statement names is in progress here or has ended here, with another statement.
        """
        idempotency = self._context.idempotency[statement.class_name]
        if idempotency is not api.Idempotency.NON_IDEMPOTENT:
            return self._reject_unless_ready(idempotency, client)
        name = self._operation_name(statement)
        if len(name.encode()) > MAX_NAME_BYTES:
            client.answer(failure_answer())
            return True
        try:
            admission = self._admit(name, statement)
        except (OSError, ValueError) as error:
            self._context.on_unreadable(error)
            client.answer(failure_answer())
            return True
        attempt = ClientAttempt(client, statement.request, statement.fingerprint)
        match admission.decision:
            case AdmissionDecision.REPLAY:
                self._replay(name, admission.result, attempt, deadline)
            case AdmissionDecision.RETRY:
                # The operation never ran here, but an earlier attempt may have run at another member.
                may_have_run = self._may_be_retry(statement)
                client.answer(failure_answer() if may_have_run else self._context.rejection())
            case AdmissionDecision.JOIN:
                self._join(name, attempt, deadline)
            case AdmissionDecision.START | AdmissionDecision.POLL_PEERS:
                return self._start_operation(name, admission, statement, attempt, deadline)
        return True

    def _reject_unless_ready(self, idempotency: api.Idempotency, client: WaitingClient) -> bool:
        is_keyed = idempotency is not api.Idempotency.IDEMPOTENT
        stage = ReadinessStage.KEYED if is_keyed else ReadinessStage.LOCAL_READS
        if self._context.readiness.is_ready(stage):
            return False
        client.answer(self._context.rejection())
        return True

    def _admit(self, name: str, statement: Statement) -> Admission:
        if not self._context.inputs.log_replayed:
            return Admission(AdmissionDecision.POLL_PEERS)
        admission = self._context.operation_log.admit(name, statement.is_retry)
        if admission.result is None and admission.decision is not AdmissionDecision.RETRY:
            self._context.operation_log.in_progress[name].fingerprint = statement.fingerprint
        return admission

    def _replay(
        self, name: str, result: OperationResult | None, attempt: ClientAttempt, deadline: int
    ) -> None:
        if result is None or result.status is OperationStatus.FAILED:
            # This member may have run the operation, and another member may have its result.
            self._look_up(name, attempt, deadline)
            return
        if result.is_answered and recorded_answer(result, attempt.fingerprint) is None:
            raise OperationConflict
        attempt.notify(encode_result(result, attempt.fingerprint))

    def _start_operation(
        self, name: str, admission: Admission, statement: Statement, attempt: ClientAttempt, deadline: int
    ) -> bool:
        """Start an operation, unless a replica has its answer or this member is not ready.

        Returns False if the operation was started.
        """
        in_progress, log_replayed = self._context.operation_log.in_progress, self._context.inputs.log_replayed
        must_poll = admission.decision is AdmissionDecision.POLL_PEERS
        if must_poll and log_replayed and (result := self._replicated_answer(name)):
            self._abandon(in_progress[name])
            attempt.notify(encode_result(result, attempt.fingerprint))
            return True
        if self._context.readiness.is_ready(ReadinessStage.NON_IDEMPOTENT):
            operation = in_progress[name]
            operation.client_deadline = deadline - DEADLINE_MARGIN
            self._operations[statement.request] = operation
            return False
        if log_replayed:
            self._abandon(in_progress[name])
        # An earlier attempt may have run, so a rejection could wrongly declare a retry safe.
        if self._may_be_retry(statement):
            self._look_up(name, attempt, deadline)
        else:
            attempt.notify(self._context.rejection())
        return True

    def _abandon(self, operation: Operation) -> None:
        """End an admitted operation of which nothing has been written."""
        self._context.operation_log.record_end(operation, RecordState.NOT_EXECUTED)

    def _replicated_answer(self, name: str) -> OperationResult | None:
        """Return the answer of another member, if a replica of its record here contains the answer."""
        context = self._context
        if context.replication is None:
            return None
        try:
            results = [
                context.replica_store.read(owner, name)
                for owner in (*context.membership.peers, *context.removed_members)
            ]
        except (OSError, ValueError) as error:
            context.on_unreadable(error)
            return None
        return next((result for result in results if result.is_answered), None)

    def _look_up(self, name: str, attempt: ClientAttempt, deadline: int) -> None:
        """Answer an attempt with the result that other members report, else that it may have run."""
        if not (self._context.task_group and self._context.connections):
            attempt.notify(failure_answer())
            return

        async def look_up() -> None:
            result = await self._settlement.find_result(name, deadline)
            attempt.notify(encode_result(result, attempt.fingerprint))

        self._context.task_group.start_soon(look_up)

    def _join(self, name: str, attempt: ClientAttempt, deadline: int) -> None:
        """Make an attempt wait for the end of an operation in progress, up to the attempt's own deadline."""
        operation = self._context.operation_log.in_progress[name]
        if operation.fingerprint != attempt.fingerprint:
            raise OperationConflict
        joined = JoinedAttempt(attempt)
        operation.waiters.append(joined)

        async def expire() -> None:
            with anyio.move_on_after(self._context.seconds_left(deadline)):
                await joined.answered.wait()
            if joined in operation.waiters:
                operation.waiters.remove(joined)
                joined.notify(failure_answer())

        if self._context.task_group:
            self._context.task_group.start_soon(expire)

    def is_known(self, statement: Statement) -> bool:
        """Return whether the statement retries an operation that is recorded here."""
        idempotency = self._context.idempotency[statement.class_name]
        if idempotency is not api.Idempotency.NON_IDEMPOTENT or not self._context.inputs.log_replayed:
            return False
        try:
            return self._context.operation_log.lookup(self._operation_name(statement)) is not None
        except (OSError, ValueError):
            return False

    def _operation_name(self, statement: Statement) -> str:
        comment_field = self._context.options.operation
        return (statement.field(comment_field) if comment_field else "") or statement.request

    def _may_be_retry(self, statement: Statement) -> bool:
        return statement.is_retry or not self._context.options.retries_marked

    async def authorize_dispatch(self, request: str, is_obsolete: Callable[[], bool], deadline: int) -> bool:
        """Wait until an attempt may be sent to a server; return False if it must not be sent.

        No task switch happens between the last check and the return of True.
        """
        operation = self._operations.get(request)
        if operation is None:
            return True
        return await self._authorizer.authorize(request, operation, is_obsolete, deadline)

    def attempt_ended(self, request: str, ending: AttemptResult) -> None:
        """Record the end of an attempt, even if its request is already answered."""
        operation = self._operations.get(request)
        if operation is None:
            return
        if isinstance(ending.answer, Row):
            self._endings.end(operation, RecordState.SERVED, ending.answer.data)
        elif not ending.outcome.never_ran:
            operation.may_have_run = True

    def finish_request(
        self,
        request: str,
        answer: bytes,
        outcome: FinalOutcome,
        client: WaitingClient,
        all_attempts_ended: bool,
    ) -> None:
        """Send a request's final answer; a served non-idempotent operation is answered once it is durable.

        `all_attempts_ended` is true if the request has no attempts in flight.
        """
        operation = self._operations.get(request)
        attempt = ClientAttempt(client, request, operation.fingerprint if operation else b"")
        if operation is None:
            attempt.notify(answer)
            return
        if all_attempts_ended:
            del self._operations[request]
        if outcome is FinalOutcome.SERVED:
            self._finish_served(operation, attempt, answer)
            return
        if outcome is FinalOutcome.REJECTED and operation.needs_poll and not operation.confirmed_absent:
            self._reject_if_absent(operation, attempt, answer)
            return
        has_run = outcome is FinalOutcome.FAILED and operation.dispatched
        self._endings.end(operation, RecordState.FAILED if has_run else RecordState.NOT_EXECUTED)
        attempt.notify(answer)
        self._endings.notify(operation, answer)

    def _reject_if_absent(self, operation: Operation, attempt: ClientAttempt, rejection: bytes) -> None:
        """End an operation that never ran here, and poll the members before answering its clients.

        An overloaded agent rejects a request before polling the members, and an earlier attempt may have run
        at one of them. Without the poll, the answer would have to be that the operation may have run.
        """
        self._endings.end(operation, RecordState.NOT_EXECUTED)
        poll_until = self._context.clock() + REJECTION_POLL_TIMEOUT + DEADLINE_MARGIN
        deadline = min(operation.client_deadline, poll_until)

        operation.waiters.insert(0, attempt)

        async def poll_and_answer() -> None:
            result = await self._settlement.find_result(operation.name, deadline)
            is_absent = result is not None and result.status is OperationStatus.ABSENT
            self._endings.notify(
                operation, rejection if is_absent else encode_result(result, operation.fingerprint)
            )

        if self._context.task_group:
            self._context.task_group.start_soon(poll_and_answer)
        else:
            self._endings.notify(operation, failure_answer())

    def _finish_served(self, operation: Operation, attempt: ClientAttempt, answer: bytes) -> None:
        if self._context.operation_log.is_in_progress(operation):
            operation.waiters.insert(0, attempt)
            self._endings.end(operation, RecordState.SERVED, answer[: -len(READY_FOR_QUERY)])
        else:  # another member served the operation
            attempt.notify(answer)
            self._endings.notify(operation, answer)

    def request_closed(self, request: str) -> None:
        """Remove a request that is done and whose attempts have all ended."""
        operation = self._operations.pop(request, None)
        if operation and self._context.operation_log.is_in_progress(operation):
            # The client disconnected before the operation ended.
            has_run = operation.may_have_run
            self._endings.end(operation, RecordState.FAILED if has_run else RecordState.NOT_EXECUTED)
            self._endings.notify(operation, failure_answer())
