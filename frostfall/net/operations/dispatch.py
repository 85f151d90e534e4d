"""Authorizes the dispatch of attempts at operations to servers."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from frostfall.net.operations.context import DEADLINE_MARGIN, MICROSECONDS_PER_SECOND, OperationContext
from frostfall.net.operations.endings import OperationEndings
from frostfall.net.operations.peer_poll import POLL_INTERVAL, PeerPoll, PollReplies, incarnations_agreed
from frostfall.net.operations.settlement import OperationSettlement
from frostfall.protocol.attempt_result import FinalOutcome
from frostfall.protocol.pg_server import failure_answer
from frostfall.recovery.operation_log import Operation, OperationResult, OperationStatus
from frostfall.replication.replica_store import ReplicaUpdate
from frostfall.storage.segment_codec import RecordState

FOLLOW_TIMEOUT = POLL_INTERVAL * 4  # seconds; for a poll about an operation that another member executes


class DispatchAuthorizer:
    """Authorizes a dispatch once its intent is durable and replicated and no other member can have run it."""

    def __init__(
        self,
        context: OperationContext,
        peer_poll: PeerPoll,
        settlement: OperationSettlement,
        endings: OperationEndings,
    ) -> None:
        """Create an authorizer; the context's handler answers requests that must not be dispatched."""
        self._context = context
        self._peer_poll = peer_poll
        self._settlement = settlement
        self._endings = endings

    async def authorize(
        self, request: str, operation: Operation, is_obsolete: Callable[[], bool], deadline: int
    ) -> bool:
        """Wait until an attempt may be sent; return False if it must not be, after answering the request.

        No task switch happens between the last check and the return of True. `deadline` is in microseconds.
        """
        if not self._context.operation_log.is_in_progress(operation):
            return False
        if not await self._lacks_earlier_attempts(operation, deadline):
            # An earlier attempt may have failed here and another one may have been served elsewhere.
            await self._answer_from_members(request, operation, deadline)
            return False
        if not await self._wait_intent(operation, is_obsolete, deadline):
            await self._answer_without_intent(request, operation, deadline)
            return False
        must_poll = operation.needs_poll and not operation.confirmed_absent
        if must_poll and not await self._confirm_absent(request, operation, deadline):
            return False
        allowed = not is_obsolete() and self._may_dispatch(operation)
        # Set before the write: if set afterwards, a disk failure in between would make the operation look as
        # if no attempt had been sent.
        operation.dispatched = operation.dispatched or allowed
        return allowed

    async def _lacks_earlier_attempts(self, operation: Operation, deadline: int) -> bool:
        """Return whether this member's record is complete, or its replicas also lack earlier attempts."""
        if self._context.replication is None or self._context.operation_log.incomplete_reason is None:
            return True
        if not operation.needs_poll or operation.confirmed_by_replicas:
            return True
        return await self._settlement.check_own_replicas(operation, deadline)

    def _may_dispatch(self, operation: Operation) -> bool:
        operation_log, membership = self._context.operation_log, self._context.membership
        return (
            operation_log.is_in_progress(operation)
            and operation_log.may_dispatch(operation)
            and not membership.contested_incarnation
            and not membership.superseded_by
            and self._has_write_quorum(operation)
        )

    def _has_write_quorum(self, operation: Operation) -> bool:
        """Return whether enough holders still have the intent: a holder may have lost its disk since."""
        replication = self._context.replication
        return replication is None or replication.has_write_quorum(operation.acknowledged_by)

    async def _wait_intent(
        self, operation: Operation, is_obsolete: Callable[[], bool], deadline: int
    ) -> bool:
        """Wait until the intent is durable here and, if replication is on, at enough holders."""
        disk, replication = self._context.disk, self._context.replication
        ticket = self._context.operation_log.record_intent(operation)
        disk.wake()
        if replication is None or (operation.replicated and self._has_write_quorum(operation)):
            return await disk.wait_durable(ticket)

        def expired() -> bool:
            return is_obsolete() or self._context.clock() >= deadline - DEADLINE_MARGIN

        replicated = False

        async def replicate() -> None:
            nonlocal replicated
            intent = ReplicaUpdate(RecordState.OPEN, operation.name)
            replicated = await replication.quorum_write(intent, expired, operation.acknowledged_by)

        async with anyio.create_task_group() as group:
            group.start_soon(replicate)
            durable = await disk.wait_durable(ticket)
        operation.replicated = replicated
        operation.fenced = not replicated and not expired()
        return durable and replicated

    async def _answer_without_intent(self, request: str, operation: Operation, deadline: int) -> None:
        if operation.fenced:  # other members have settled the operation and have its result
            await self._answer_from_members(request, operation, deadline)
        elif operation.confirmed_absent or not operation.needs_poll:
            self._context.handler.conclude(request, self._context.rejection(), FinalOutcome.REJECTED)
        else:
            self._context.handler.conclude(request, failure_answer(), FinalOutcome.FAILED)

    async def _answer_from_members(self, request: str, operation: Operation, deadline: int) -> None:
        """Answer a request whose operation must not start here with the result that other members have."""
        self._endings.end(operation, RecordState.NOT_EXECUTED)
        result = await self._settlement.find_result(operation.name, deadline)
        self._context.conclude(request, operation, result)

    async def _confirm_absent(self, request: str, operation: Operation, deadline: int) -> bool:
        """Poll all members; return whether none can have run the operation, else answer the request."""
        operation_log, members = self._context.operation_log, self._peer_poll.members
        operation_log.start_poll(operation, members)
        replies = await self._poll_until_agreed(operation, members, deadline)
        if not operation_log.is_in_progress(operation):
            return False
        if operation.confirmed_absent:
            return True
        result = await self._settlement.settle(operation, replies, members, deadline)
        if operation.confirmed_absent:
            return operation_log.is_in_progress(operation)
        executing = replies.members_reporting(OperationStatus.IN_PROGRESS)
        if result is None and executing:
            result = await self._await_executing_members(executing, operation, deadline)
        self._context.conclude(request, operation, result)
        return False

    async def _poll_until_agreed(
        self, operation: Operation, members: list[str], deadline: int
    ) -> PollReplies:
        """Poll until a member replies other than ABSENT, or all have recorded each other's incarnations."""
        context = self._context
        until = context.monotonic_clock() + context.poll_timeout(deadline)
        while True:
            timeout = until - context.monotonic_clock()
            replies = await self._peer_poll.poll(operation.name, members, timeout)
            if not replies.all_absent(members) or context.removed_members:
                return replies
            if incarnations_agreed(context.membership, replies, members):
                absent = OperationResult(OperationStatus.ABSENT)
                for member in members:
                    context.operation_log.record_poll_answer(operation, member, absent)
                return replies
            if context.monotonic_clock() >= until - POLL_INTERVAL:
                return replies
            await anyio.sleep(POLL_INTERVAL)  # some members have not recorded each other's incarnations yet

    async def _await_executing_members(
        self, executing: list[str], operation: Operation, deadline: int
    ) -> OperationResult | None:
        """End the operation here in favour of members that also have an intent; wait for their result."""
        self._endings.end(operation, RecordState.NOT_EXECUTED)
        give_up_at = deadline - DEADLINE_MARGIN - POLL_INTERVAL * MICROSECONDS_PER_SECOND
        result: OperationResult | None = None
        while result is None and executing and self._context.clock() < give_up_at:
            await anyio.sleep(POLL_INTERVAL)
            replies = await self._peer_poll.poll(operation.name, executing, FOLLOW_TIMEOUT)
            result = replies.ended_result()
            still_executing = replies.members_reporting(OperationStatus.IN_PROGRESS)
            executing = [member for member in executing if member not in replies or member in still_executing]
        return result
