"""Replication driver of an agent: replicates its own operations and stores replicas for other members."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup

from frostfall.membership.member_list import MemberList, MemberState
from frostfall.net.log_writer import LogWriter
from frostfall.net.member_transport import MemberConnection
from frostfall.net.pending_reply import PendingReply
from frostfall.protocol.member_messages import (
    FencedRead,
    MemberMessage,
    ReplicateReply,
    ReplicateRequest,
    StatusReply,
)
from frostfall.recovery.operation_log import OperationResult, OperationStatus
from frostfall.replication.anti_entropy import AntiEntropyScheduler
from frostfall.replication.options import ReplicationOptions
from frostfall.replication.quorum_read import resolve_outcome
from frostfall.replication.replica_store import ReplicaStore, ReplicaUpdate
from frostfall.storage.segment_codec import RecordState

RETRY_INTERVAL = 0.05  # seconds between attempts to reach a holder
MAX_RETRY_DELAY = 2.0  # seconds; upper limit of the doubling delay between background attempts
MAX_PENDING_DELIVERIES = 10_000  # background updates that wait for holders; further updates are dropped

ReplyCallback = Callable[[MemberMessage | None], None]


class HolderCounts(NamedTuple):
    """Number of holders of an agent that can acknowledge a write, and the number required."""

    available: int
    required: int


class _HolderAnswer(NamedTuple):
    """A holder's answer to a read, with the token of the incarnation that answered."""

    result: OperationResult
    incarnation_token: str


@dataclass(frozen=True, slots=True)
class _Read:
    """Parameters of a read at an owner's holders."""

    owner: str
    operation: str
    fence: bool
    is_trusted: Callable[[], bool]  # returns whether this member's own record and incarnation can be trusted


class _RepeatedRequests:
    """Requests to several members, repeated after RETRY_INTERVAL for members that have not replied."""

    def __init__(self, names: Iterable[str]) -> None:
        self.missing = list(names)  # members to which no request was sent yet, or whose request failed
        self._due = 0.0
        self._changed = anyio.Event()

    def send(self, send_to: Callable[[str], None]) -> None:
        """Send to the missing members, unless the last attempt was less than RETRY_INTERVAL ago."""
        # Requests fail immediately without a connection, so that immediate retries would be a busy loop.
        if self.missing and (now := anyio.current_time()) >= self._due:
            names, self.missing, self._due = self.missing, [], now + RETRY_INTERVAL
            for name in names:
                send_to(name)

    def finished(self, name: str, answered: bool) -> None:
        """Record that a request has ended, with or without an answer."""
        if not answered:
            self.missing.append(name)
        self._changed.set()

    async def wait(self) -> None:
        """Wait up to RETRY_INTERVAL for a request to end."""
        with anyio.move_on_after(RETRY_INTERVAL):
            await self._changed.wait()
        self._changed = anyio.Event()


class ReplicationDriver:
    """Performs quorum writes and fenced reads of one agent, and handles those of other members."""

    def __init__(
        self,
        own: str,
        options: ReplicationOptions,
        scheduler: AntiEntropyScheduler,
        members: MemberList,
        disk: LogWriter,
        store: ReplicaStore,
    ) -> None:
        """Create a driver; `connections` and `task_group` must be set before any other method is called."""
        self._own_name = own
        self._options = options
        self._scheduler = scheduler
        self._members = members
        self._disk = disk
        self.store = store
        self.ensemble = scheduler.ensembles[own]
        self.required_acknowledgements = min(options.acknowledged, len(self.ensemble))
        self.connections: dict[str, MemberConnection] = {}  # by member
        self.task_group: TaskGroup | None = None
        self._pending_deliveries = 0

    @property
    def holder_counts(self) -> HolderCounts:
        """Number of live holders with a complete and current record, and the number that a write requires."""
        available = sum(self._is_alive(name) and self._has_valid_record(name) for name in self.ensemble)
        required = self.required_acknowledgements
        if self._options.few == "take":
            required = min(required, available)
        return HolderCounts(available, required)

    @property
    def is_degraded(self) -> bool:
        """Return whether writes require fewer acknowledgements than configured."""
        return self.holder_counts.required < self.required_acknowledgements

    def _is_alive(self, name: str) -> bool:
        return self._members.peers[name].state is MemberState.ALIVE

    def _has_valid_record(self, name: str) -> bool:
        peer = self._members.peers[name]
        return not (peer.incomplete_reason or peer.stale_reason or peer.latest_stale_reason)

    async def quorum_write(
        self, update: ReplicaUpdate, expired: Callable[[], bool], acknowledged: dict[str, str]
    ) -> bool:
        """Wait until enough holders have an update on disk; return False if rejected or expired.

        `acknowledged` receives the holders that stored the update, with the tokens of their incarnations.
        """
        requests = _RepeatedRequests(self.ensemble)
        is_rejected = False

        def on_reply(name: str, reply: MemberMessage | None) -> None:
            nonlocal is_rejected
            if isinstance(reply, ReplicateReply):
                if reply.rejected:
                    is_rejected = True
                else:
                    acknowledged[name] = reply.incarnation_token
            requests.finished(name, isinstance(reply, ReplicateReply))

        while not expired():
            requests.send(lambda name: self._send(name, update, partial(on_reply, name)))
            if is_rejected:
                return False
            if self.has_write_quorum(acknowledged):
                for name in requests.missing:
                    self.write_in_background(update, name)
                return True
            # An acknowledgement that is no longer valid is discarded, and the update is sent to the holder's
            # current incarnation again.
            for name in [name for name, token in acknowledged.items() if not self._is_valid(name, token)]:
                del acknowledged[name]
                requests.missing.append(name)
            await requests.wait()
        return False

    def has_write_quorum(self, acknowledged: dict[str, str]) -> bool:
        """Return whether enough acknowledgements are still valid."""
        return sum(self._is_valid(*each) for each in acknowledged.items()) >= self.holder_counts.required

    def _is_valid(self, name: str, token: str) -> bool:
        # A holder that has lost its disk has also lost its fences, and would acknowledge an operation that
        # other members have already resolved as never started. An acknowledgement is therefore valid only
        # from the incarnation recorded here, and only while the holder's record is complete and current.
        return token == self._members.peers[name].recorded_incarnation.token and self._has_valid_record(name)

    def _send(self, name: str, update: ReplicaUpdate, on_reply: ReplyCallback) -> None:
        def request(request_id: int) -> ReplicateRequest:
            return ReplicateRequest(
                request_id,
                self._own_name,
                update.state,
                update.operation,
                update.answer,
                self._members.incarnation_token,
            )

        if connection := self.connections.get(name):
            connection.request(request, on_reply)
        else:
            on_reply(None)

    def write_in_background(self, update: ReplicaUpdate, *names: str) -> None:
        """Send an update to the named holders, or to all if none is named, without waiting for replies."""
        for name in names or self.ensemble:
            if self._pending_deliveries < MAX_PENDING_DELIVERIES and self.task_group:
                self._pending_deliveries += 1
                self.task_group.start_soon(self._deliver, name, update)

    async def _deliver(self, name: str, update: ReplicaUpdate) -> None:
        """Send an update repeatedly until the holder stores or rejects it."""
        delay = RETRY_INTERVAL
        try:
            while True:
                pending = PendingReply()
                self._send(name, update, pending.resolve)
                reply = await pending.wait()
                if isinstance(reply, ReplicateReply) and (reply.rejected or reply.stored):
                    return
                await anyio.sleep(delay)
                delay = min(delay * 2, MAX_RETRY_DELAY)
        finally:
            self._pending_deliveries -= 1

    async def handle_write(self, message: ReplicateRequest) -> MemberMessage:
        """Store an owner's update and acknowledge the update once it is on disk."""
        update = ReplicaUpdate(RecordState(message.state), message.operation, message.answer)
        token = self._members.incarnation_token
        peer = self._members.peers.get(message.owner)
        if peer is None or message.incarnation_token != peer.recorded_incarnation.token:
            # An earlier incarnation must not receive an acknowledgement of its intent: this holder may have
            # reported to a later incarnation that it has no record of the operation. A reply without a token
            # is not a valid acknowledgement.
            return ReplicateReply(message.request_id, False, stored=False)
        while (write := self.store.store(message.owner, update)) is not None:
            await self._sync(write.ticket)
            if not write.retry_after_sync:
                # A holder whose replicas are not complete yet may lack fences, so the reply carries no token.
                is_complete = self._scheduler.is_complete(message.owner)
                return ReplicateReply(message.request_id, False, token if is_complete else "")
        return ReplicateReply(message.request_id, True, token)

    async def handle_read(
        self, message: FencedRead, is_trusted: Callable[[], bool], incarnation_tokens: dict[str, str]
    ) -> MemberMessage:
        """Return the replica's status of an operation, and fence the operation if requested and absent.

        `is_trusted` returns whether the reader's incarnation is on disk and this member's record is
        complete. `incarnation_tokens` has the tokens of the other members' incarnations that are on disk.
        """
        result = self.store.read(message.owner, message.operation)
        status = result.status
        if status is OperationStatus.ABSENT:
            if message.fence:
                await self._sync(self.store.fence(message.owner, message.operation))
                self.store.on_fence_synced(message.owner, message.operation)
            if not is_trusted():
                status = OperationStatus.INDETERMINATE
        statuses = [(status.value, result.answer)]
        return StatusReply(message.request_id, statuses, self._members.incarnation_token, incarnation_tokens)

    async def _sync(self, ticket: int) -> None:
        """Wait until a ticket is on disk, so that nothing is acknowledged while writes fail."""
        self._disk.wake()
        await self._disk.wait_written(ticket)

    async def fenced_read(
        self, owner: str, name: str, fence: bool, timeout: float, is_trusted: Callable[[], bool]
    ) -> OperationResult | None:
        """Read the outcome of an operation at its owner's holders, and fence the operation if it is absent.

        Returns None if too few holders with authoritative records answer within `timeout` seconds.
        """
        read = _Read(owner, name, fence, is_trusted)
        quorum = self._options.read_quorum(len(self._scheduler.ensembles[owner]))
        answers: dict[str, _HolderAnswer] = {}
        with anyio.move_on_after(timeout):
            while True:
                result = await self._gather(read, answers)
                if result.status is not OperationStatus.ABSENT or not fence:
                    return result
                # A holder may have lost its disk after it was read and before the next holder was fenced, and
                # have been restored without its fence. A holder that gives the same answer again in the same
                # incarnation has had its fence throughout.
                second_answers: dict[str, _HolderAnswer] = {}
                result = await self._gather(read, second_answers)
                if result.status is not OperationStatus.ABSENT:
                    return result
                if _count_confirmed_absent(answers, second_answers) >= quorum:
                    return result
                answers.clear()
        last_result = resolve_outcome((answer.result for answer in answers.values()), quorum)
        if last_result is None or last_result.status is OperationStatus.ABSENT:
            return None
        return last_result

    async def _gather(self, read: _Read, answers: dict[str, _HolderAnswer]) -> OperationResult:
        """Read at all holders until the answers resolve; never return if too few are authoritative."""
        ensemble = self._scheduler.ensembles[read.owner]
        spares = self._spare_holders(read.owner, ensemble)
        requests = _RepeatedRequests([*ensemble, *spares])

        def on_reply(holder: str, reply: MemberMessage | None) -> None:
            if isinstance(reply, StatusReply):
                answers[holder] = self._evaluate_reply(holder, reply, in_ensemble=holder in ensemble)
            requests.finished(holder, isinstance(reply, StatusReply))

        def send_to(holder: str) -> None:
            self._send_read(read, holder, read.fence and holder in ensemble, partial(on_reply, holder))

        quorum = self._options.read_quorum(len(ensemble))
        while True:
            requests.send(send_to)
            result = resolve_outcome((answer.result for answer in answers.values()), quorum)
            # A holder that missed the end of the operation has only the intent, and another holder may have
            # the answer.
            is_last = len(answers) == len(ensemble) + len(spares)
            if result is not None and (result.status is not OperationStatus.FAILED or is_last):
                return result
            await requests.wait()

    def _spare_holders(self, owner: str, ensemble: Iterable[str]) -> list[str]:
        """Return live members outside the ensemble, which may store operations for an unavailable holder."""
        if not self._options.spare:
            return []
        return [name for name in self.connections if self._is_alive(name) and name not in (owner, *ensemble)]

    def _evaluate_reply(self, holder: str, reply: StatusReply, in_ensemble: bool) -> _HolderAnswer:
        """Return a holder's answer, with status INDETERMINATE if the reply is not conclusive."""
        status, answer = reply.statuses[0]
        token = reply.incarnation_token
        is_current = (
            holder == self._own_name or self._members.peers[holder].recorded_incarnation.token == token
        )
        is_conclusive = is_current or status in (OperationStatus.SERVED.value, OperationStatus.FAILED.value)
        # A spare holder stores only some operations, so the absence of a record there is not conclusive.
        if not in_ensemble and status == OperationStatus.ABSENT.value:
            is_conclusive = False
        conclusive_status = OperationStatus(status) if is_conclusive else OperationStatus.INDETERMINATE
        return _HolderAnswer(OperationResult(conclusive_status, answer), token)

    def _send_read(self, read: _Read, holder: str, fence: bool, on_reply: ReplyCallback) -> None:
        def request(request_id: int) -> FencedRead:
            token = self._members.incarnation_token
            return FencedRead(request_id, read.owner, read.operation, fence, self._own_name, token)

        if holder == self._own_name and self.task_group:
            self.task_group.start_soon(self._read_own, request(0), read.is_trusted, on_reply)
        elif connection := self.connections.get(holder):
            connection.request(request, on_reply)
        else:
            on_reply(None)

    async def _read_own(
        self, message: FencedRead, is_trusted: Callable[[], bool], on_reply: ReplyCallback
    ) -> None:
        on_reply(await self.handle_read(message, is_trusted, {}))


def _count_confirmed_absent(first: dict[str, _HolderAnswer], second: dict[str, _HolderAnswer]) -> int:
    """Return the number of holders that reported no record in both reads, in the same incarnation."""
    return sum(
        first.get(holder) == answer and answer.result.status is OperationStatus.ABSENT
        for holder, answer in second.items()
    )
