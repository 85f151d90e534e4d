"""Determines how operations ended that this member did not finish, from other members and replicas."""

from __future__ import annotations

from functools import partial

import anyio

from frostfall.net.operations.context import OperationContext
from frostfall.net.operations.peer_poll import PeerPoll, PollReplies, best_result, incarnations_agreed
from frostfall.recovery.operation_log import Operation, OperationResult, OperationStatus


class OperationSettlement:
    """Determines the results of operations from members' replies and replicas."""

    def __init__(self, context: OperationContext, peer_poll: PeerPoll) -> None:
        """Use `peer_poll` to poll members and the context's replication to read replicas."""
        self._context = context
        self._peer_poll = peer_poll

    async def find_result(self, name: str, deadline: int) -> OperationResult | None:
        """Return an operation's result from other members, or from replicas of those that cannot report it.

        Returns ABSENT if the records of all members are complete and lack the operation, and None if the
        result is unknown. `deadline` is in microseconds, as in all methods of this class.
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
        """Read an operation from the replicas of each owner's record; None where they give no result.

        With `fence`, an owner whose replicas lack the operation can no longer start it.
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
        """Return an operation's result from the replies, or from replicas of members that cannot report it.

        Sets `confirmed_absent` if no member can have run the operation.
        """
        result = replies.ended_result()
        owners = replies.silent_among(members) + self._context.removed_members
        if result is not None:
            # An operation that failed at one member may have been served by a member that no longer replies.
            if result.status is OperationStatus.SERVED:
                return result
            return best_result([result, *await self.read_replicas(operation.name, owners, deadline)])
        if not self._may_fence(replies, members):
            return None
        results = await self.read_replicas(operation.name, owners, deadline, fence=True)
        if any(each is None or each.status is not OperationStatus.ABSENT for each in results):
            return best_result(results)
        own_record_confirms = not self._context.operation_log.incomplete_reason
        operation.confirmed_absent = own_record_confirms or operation.confirmed_by_replicas
        return None

    def _may_fence(self, replies: PollReplies, members: list[str]) -> bool:
        """Return whether the operation can be fenced at the replicas of members that cannot report it."""
        membership = self._context.membership
        absent = replies.members_reporting(OperationStatus.ABSENT)
        if self._context.replication is None or not membership.no_stale_peers:
            return False
        if len(absent) + len(replies.silent_among(members)) < len(members):
            return False
        return incarnations_agreed(membership, replies, absent)

    async def check_own_replicas(self, operation: Operation, deadline: int) -> bool:
        """Return whether the replicas of this member's own incomplete record also lack an operation.

        The replicas are read before the current intent is replicated; no other member writes them under this
        member's name.
        """
        (result,) = await self.read_replicas(operation.name, [self._context.name], deadline)
        operation.confirmed_by_replicas = result is not None and result.status is OperationStatus.ABSENT
        return operation.confirmed_by_replicas
