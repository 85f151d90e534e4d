"""Polls the other members for the status of an operation."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from functools import partial

import anyio

from frostfall.membership.member_list import MemberList, MemberState
from frostfall.net.member_transport import MemberConnection, PeerOperationStatus
from frostfall.recovery.operation_log import OperationResult, OperationStatus

POLL_INTERVAL = 0.05  # seconds between two polls for the status of an operation
_ENDED = (OperationStatus.SERVED, OperationStatus.FAILED)


class PollReplies(dict[str, PeerOperationStatus]):
    """The replies to a poll, by member name."""

    def ended_result(self) -> OperationResult | None:
        """Return the most conclusive result of the replies, or None if no member has one."""
        return best_result(
            OperationResult(OperationStatus(reply.status), reply.answer) for reply in self.values()
        )

    def members_reporting(self, status: OperationStatus) -> list[str]:
        """Return the members that replied with this status."""
        return [member for member, reply in self.items() if reply.status == status.value]

    def silent_among(self, members: Iterable[str]) -> list[str]:
        """Return the members that did not reply or whose record is incomplete."""
        return [
            member
            for member in members
            if member not in self or self[member].status == OperationStatus.INDETERMINATE.value
        ]

    def all_absent(self, members: Collection[str]) -> bool:
        """Return whether all these members replied that their records lack the operation."""
        return len(self) == len(members) == len(self.members_reporting(OperationStatus.ABSENT))


def best_result(results: Iterable[OperationResult | None]) -> OperationResult | None:
    """Return the most conclusive result: served before failed, then with a stored answer before without."""
    ended = [result for result in results if result and result.status in _ENDED]
    return max(
        ended,
        key=lambda result: (result.status is OperationStatus.SERVED, result.answer is not None),
        default=None,
    )


def incarnations_agreed(membership: MemberList, replies: PollReplies, members: Iterable[str]) -> bool:
    """Return whether this member and these members have all recorded each other's incarnations."""
    tokens = {member: replies[member].incarnation_token for member in members}
    recorded = {member: replies[member].recorded_tokens for member in members}
    return membership.incarnations_agreed(tokens, recorded)


class PeerPoll:
    """Polls members over their connections."""

    def __init__(self, membership: MemberList, connections: dict[str, MemberConnection]) -> None:
        """Use `connections`, by member name; entries may be added later."""
        self._membership = membership
        self._connections = connections

    @property
    def members(self) -> list[str]:
        """The members that can be polled."""
        return list(self._connections)

    async def poll(self, name: str, members: list[str], timeout: float) -> PollReplies:
        """Poll members for at most `timeout` seconds, until all have replied or one reports SERVED."""
        poll_round = _PollRound(self._membership, members)
        if not members:
            return poll_round.replies
        with anyio.move_on_after(timeout):
            while not poll_round.finished.is_set():
                for member in poll_round.take_unreached():
                    reply_to = partial(poll_round.receive, member)
                    self._connections[member].query_status(name, reply_to)
                with anyio.move_on_after(POLL_INTERVAL if poll_round.unreached else None):
                    await poll_round.finished.wait()
        return poll_round.replies


class _PollRound:
    """The state of one poll: its outstanding members and its replies."""

    def __init__(self, membership: MemberList, members: list[str]) -> None:
        self._membership = membership
        self._awaited = set(members)
        self.unreached = list(members)  # still to be polled, or to be polled again after a lost connection
        self.replies = PollReplies()
        self.finished = anyio.Event()

    def take_unreached(self) -> list[str]:
        """Return the members to poll now and clear the list."""
        unreached, self.unreached = self.unreached, []
        return unreached

    def receive(self, member: str, reply: PeerOperationStatus | None) -> None:
        """Record a member's reply; None means that its connection was lost."""
        if reply is None and self._membership.peers[member].state is not MemberState.DEAD:
            self.unreached.append(member)  # the member may be starting
            return
        self._awaited.discard(member)
        if reply is not None:
            self.replies[member] = reply
        if not self._awaited or (reply is not None and reply.status == OperationStatus.SERVED.value):
            self.finished.set()
