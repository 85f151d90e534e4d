"""How an operation ended that this member did not finish: by other members' replies and by replicas."""

from __future__ import annotations

from functools import partial

import anyio

from frostfall.net.operations.context import OperationContext
from frostfall.net.operations.peer_poll import PeerPoll, PollReplies, best_result, incarnations_agreed
from frostfall.recovery.operation_log import Operation, OperationResult, OperationStatus


class OperationSettlement:
    """Finds out how operations ended, from whoever may know."""

    def __init__(self, context: OperationContext, peer_poll: PeerPoll) -> None:
        """Members are polled by `peer_poll`; replicas are read by the context's replication."""
        self._context = context
        self._peer_poll = peer_poll

    async def find_result(self, name: str, deadline: int) -> OperationResult | None:
        """How an operation ended, by other members and by the replicas of those that cannot tell.

        ABSENT where the records of all members are complete and lack it, None where nobody knows.
        `deadline` is in microseconds, as everywhere here.
        """
        context, members = self._context, self._peer_poll.members
        replies = await self._peer_poll.poll(name, members, context.poll_timeout(deadline))
        if self._is_absent_everywhere(name, replies, members):
            return OperationResult(OperationStatus.ABSENT)
        owners = [context.name, *replies.silent_among(members), *context.removed_members]
        return best_result([replies.ended_result(), *await self.read_replicas(name, owners, deadline)])

    def _is_absent_everywhere(self, name: str, replies: PollReplies, members: list[str]) -> bool:
        context = self._context
        is_complete = context.inputs.log_replayed and not context.operation_log.incomplete_reason
        return (
            is_complete
            and not context.removed_members
            and replies.all_absent(members)
            and incarnations_agreed(context.membership, replies, members)
            and self._lacks_record(name)
        )

    def _lacks_record(self, name: str) -> bool:
        try:
            return self._context.operation_log.lookup(name) is None
        except (OSError, ValueError) as error:
            self._context.on_unreadable(error)
            return False

    async def read_replicas(
        self, name: str, owners: list[str], deadline: int, *, fence: bool = False
    ) -> list[OperationResult | None]:
        """What the replicas of these owners' records say of an operation; None for each that cannot tell.

        `fence`: where they lack it, its owner can never begin it any more.
        """
        results: list[OperationResult | None] = [None] * len(owners)
        replication = self._context.replication
        if replication is None or not owners:
            return results
        timeout = self._context.poll_timeout(deadline)

        async def read(index: int, owner: str) -> None:
            is_trusted = partial(self._is_trusted, owner)
            results[index] = await replication.fenced_read(owner, name, fence, timeout, is_trusted)

        async with anyio.create_task_group() as group:
            for index, owner in enumerate(owners):
                group.start_soon(read, index, owner)
        return results

    def _is_trusted(self, owner: str) -> bool:
        return self._context.is_complete(owner) and self._context.membership.no_stale_peers

    async def settle(
        self, operation: Operation, replies: PollReplies, members: list[str], deadline: int
    ) -> OperationResult | None:
        """How an operation ended, by the replies and by the replicas of members that could not tell.

        Sets `confirmed_absent` where no member can have run it.
        """
        result = replies.ended_result()
        owners = replies.silent_among(members) + self._context.removed_members
        if result is not None:
            # An operation that failed at one member may have been served by another, now gone.
            if result.status is OperationStatus.SERVED:
                return result
            return best_result([result, *await self.read_replicas(operation.name, owners, deadline)])
        if not self._may_fence(replies, members):
            return None
        results = await self.read_replicas(operation.name, owners, deadline, fence=True)
        if any(each is None or each.status is not OperationStatus.ABSENT for each in results):
            return best_result(results)
        own_record_counts = not self._context.operation_log.incomplete_reason
        operation.confirmed_absent = own_record_counts or operation.confirmed_by_replicas
        return None

    def _may_fence(self, replies: PollReplies, members: list[str]) -> bool:
        """Whether the operation can be fenced at the replicas of the members that could not tell."""
        membership = self._context.membership
        absent = replies.members_reporting(OperationStatus.ABSENT)
        if self._context.replication is None or not membership.no_stale_peers:
            return False
        if len(absent) + len(replies.silent_among(members)) < len(members):
            return False
        return incarnations_agreed(membership, replies, absent)

    async def check_own_replicas(self, operation: Operation, deadline: int) -> bool:
        """With an incomplete record: whether this member's own replicas lack an operation too.

        They are read before the present intent is replicated; nobody else writes under this member's name.
        """
        (result,) = await self.read_replicas(operation.name, [self._context.name], deadline)
        operation.confirmed_by_replicas = result is not None and result.status is OperationStatus.ABSENT
        return operation.confirmed_by_replicas
