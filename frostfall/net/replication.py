"""Drives replication in a running agent: its own record at its holders, and the replicas that it holds."""

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

RETRY_INTERVAL = 0.05  # seconds between two attempts to reach a holder
MAX_RETRY_DELAY = 2.0  # seconds between two attempts in the background, doubled up to this
MAX_PENDING_DELIVERIES = 10_000  # updates that wait for holders in the background; further ones are dropped

ReplyCallback = Callable[[MemberMessage | None], None]


class HolderCounts(NamedTuple):
    """How many of an agent's holders can acknowledge a write, and how many have to."""

    available: int
    required: int


class _HolderAnswer(NamedTuple):
    """A holder's answer to a read, and the token of the incarnation in which it gave it."""

    result: OperationResult
    incarnation_token: str


@dataclass(frozen=True, slots=True)
class _Read:
    """What is read at an owner's holders."""

    owner: str
    operation: str
    fence: bool
    is_trusted: Callable[[], bool]  # whether this member's own record and incarnation can be trusted


class _RepeatedRequests:
    """Requests to members, repeated after RETRY_INTERVAL where no reply comes."""

    def __init__(self, names: Iterable[str]) -> None:
        self.missing = list(names)  # members to whom nothing was sent yet, or without an answer
        self._due = 0.0
        self._changed = anyio.Event()

    def send(self, send_to: Callable[[str], None]) -> None:
        """Send to the members that are missing, unless that was tried a moment ago."""
        # A member without a connection fails at once: sent again at once, that would be a busy loop.
        if self.missing and (now := anyio.current_time()) >= self._due:
            names, self.missing, self._due = self.missing, [], now + RETRY_INTERVAL
            for name in names:
                send_to(name)

    def finished(self, name: str, answered: bool) -> None:
        """Note that a request has ended, with or without an answer."""
        if not answered:
            self.missing.append(name)
        self._changed.set()

    async def wait(self) -> None:
        """Wait for a request to end, for RETRY_INTERVAL at most."""
        with anyio.move_on_after(RETRY_INTERVAL):
            await self._changed.wait()
        self._changed = anyio.Event()


class ReplicationDriver:
    """One agent's quorum writes and fenced reads, and its answers to those of others."""

    def __init__(
        self,
        own: str,
        options: ReplicationOptions,
        scheduler: AntiEntropyScheduler,
        members: MemberList,
        disk: LogWriter,
        store: ReplicaStore,
    ) -> None:
        """Set `lines` and `task_group` before anything else is called."""
        self._own_name = own
        self._options = options
        self._scheduler = scheduler
        self._members = members
        self._disk = disk
        self.store = store
        self.ensemble = scheduler.ensembles[own]
        self.required_acknowledgements = min(options.acknowledged, len(self.ensemble))
        self.lines: dict[str, MemberConnection] = {}  # by member
        self.task_group: TaskGroup | None = None
        self._pending_deliveries = 0

    @property
    def holder_counts(self) -> HolderCounts:
        """How many holders are alive with a sound record, and how many of them a write needs."""
        available = sum(self._is_alive(name) and self._sound(name) for name in self.ensemble)
        required = self.required_acknowledgements
        if self._options.few == "take":
            required = min(required, available)
        return HolderCounts(available, required)

    @property
    def is_degraded(self) -> bool:
        """Whether writes are acknowledged by fewer holders than operators asked for."""
        return self.holder_counts.required < self.required_acknowledgements

    def _is_alive(self, name: str) -> bool:
        return self._members.peers[name].state is MemberState.ALIVE

    def _sound(self, name: str) -> bool:
        peer = self._members.peers[name]
        return not (peer.incomplete_reason or peer.stale_reason or peer.latest_stale_reason)

    # ---- the agent's own record -----------------------------------------------------------------------

    async def quorum_write(
        self, update: ReplicaUpdate, expired: Callable[[], bool], acknowledged: dict[str, str]
    ) -> bool:
        """Wait until enough holders have an update on disk; False where one rejects it, or it has expired.

        `acknowledged` receives the holders that have it, with the tokens of their incarnations.
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
            # An acknowledgement that does not count is asked for again, of the holder's present incarnation.
            for name in [name for name, token in acknowledged.items() if not self._is_valid(name, token)]:
                del acknowledged[name]
                requests.missing.append(name)
            await requests.wait()
        return False

    def has_write_quorum(self, acknowledged: dict[str, str]) -> bool:
        """Return whether enough holders still have what they acknowledged."""
        return sum(self._is_valid(*each) for each in acknowledged.items()) >= self.holder_counts.required

    def _is_valid(self, name: str, token: str) -> bool:
        # A holder that has lost its disk since, and its fences with it, would acknowledge what others have
        # settled as never begun. So what it says of itself counts, and what is known of its record here.
        return token == self._members.peers[name].recorded_incarnation.token and self._sound(name)

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

        if connection := self.lines.get(name):
            connection.request(request, on_reply)
        else:
            on_reply(None)

    def write_in_background(self, update: ReplicaUpdate, *names: str) -> None:
        """Send holders an update for which nobody waits; all of them if none is named."""
        for name in names or self.ensemble:
            if self._pending_deliveries < MAX_PENDING_DELIVERIES and self.task_group:
                self._pending_deliveries += 1
                self.task_group.start_soon(self._deliver, name, update)

    async def _deliver(self, name: str, update: ReplicaUpdate) -> None:
        """Send an update to one holder until it has stored or rejected it."""
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

    # ---- replicas of other members' operations --------------------------------------------------------

    async def handle_write(self, message: ReplicateRequest) -> MemberMessage:
        """Store what an owner sends, and acknowledge it once it is on disk."""
        update = ReplicaUpdate(RecordState(message.state), message.operation, message.answer)
        token = self._members.incarnation_token
        peer = self._members.peers.get(message.owner)
        if peer is None or message.incarnation_token != peer.recorded_incarnation.token:
            # A former incarnation must not hear that its intent is stored: a later one may have been told
            # that this holder has no record of it. Without a token, the reply counts for nothing.
            return ReplicateReply(message.request_id, False, stored=False)
        while (write := self.store.store(message.owner, update)) is not None:
            await self._sync(write.ticket)
            if not write.retry_after_sync:
                # A holder whose replicas are not complete yet does not know what is fenced.
                is_complete = self._scheduler.is_complete(message.owner)
                return ReplicateReply(message.request_id, False, token if is_complete else "")
        return ReplicateReply(message.request_id, True, token)

    async def handle_read(
        self, message: FencedRead, is_trusted: Callable[[], bool], incarnation_tokens: dict[str, str]
    ) -> MemberMessage:
        """Answer what the replicas tell of an operation, fencing it where there is none.

        `is_trusted`: whether the reader's incarnation is on disk and this member's record is complete;
        `incarnation_tokens`: the tokens of the other members' incarnations that are on disk here.
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
        """Wait until a ticket is on disk; while the disk fails, nothing is acknowledged."""
        self._disk.wake()
        await self._disk.wait_written(ticket)

    # ---- fenced reads ---------------------------------------------------------------------------------

    async def fenced_read(
        self, owner: str, name: str, fence: bool, timeout: float, is_trusted: Callable[[], bool]
    ) -> OperationResult | None:
        """Read at an owner's holders what became of an operation, and fence it where they have no record.

        None where too few holders with authoritative records answer within `timeout` seconds.
        """
        read = _Read(owner, name, fence, is_trusted)
        quorum = self._options.read_quorum(len(self._scheduler.ensembles[owner]))
        answers: dict[str, _HolderAnswer] = {}
        with anyio.move_on_after(timeout):
            while True:
                result = await self._gather(read, answers)
                if result.status is not OperationStatus.ABSENT or not fence:
                    return result
                # A holder that was read may have lost its disk before the next one was fenced, and be
                # complete again without that fence. One that answers the same in the same incarnation had
                # its fence all the time.
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
        """Read at all holders until their answers resolve; for ever where too few are authoritative."""
        ensemble = self._scheduler.ensembles[read.owner]
        spares = self._spare_holders(read.owner, ensemble)
        requests = _RepeatedRequests([*ensemble, *spares])

        def on_reply(holder: str, reply: MemberMessage | None) -> None:
            if isinstance(reply, StatusReply):
                answers[holder] = self._judge(holder, reply, in_ensemble=holder in ensemble)
            requests.finished(holder, isinstance(reply, StatusReply))

        def send_to(holder: str) -> None:
            self._send_read(read, holder, read.fence and holder in ensemble, partial(on_reply, holder))

        quorum = self._options.read_quorum(len(ensemble))
        while True:
            requests.send(send_to)
            result = resolve_outcome((answer.result for answer in answers.values()), quorum)
            # A holder that missed the end has the intent alone; another one may have the answer.
            is_last = len(answers) == len(ensemble) + len(spares)
            if result is not None and (result.status is not OperationStatus.FAILED or is_last):
                return result
            await requests.wait()

    def _spare_holders(self, owner: str, ensemble: Iterable[str]) -> list[str]:
        """Members outside the ensemble that may hold an operation in place of a holder that was away."""
        if not self._options.spare:
            return []
        return [name for name in self.lines if self._is_alive(name) and name not in (owner, *ensemble)]

    def _judge(self, holder: str, reply: StatusReply, in_ensemble: bool) -> _HolderAnswer:
        """Return a holder's answer, INDETERMINATE where it proves nothing."""
        status, answer = reply.statuses[0]
        token = reply.incarnation_token
        is_present = (
            holder == self._own_name or self._members.peers[holder].recorded_incarnation.token == token
        )
        is_proof = is_present or status in (OperationStatus.SERVED.value, OperationStatus.FAILED.value)
        # A spare holder has what it was given; that it lacks something proves nothing.
        if not in_ensemble and status == OperationStatus.ABSENT.value:
            is_proof = False
        known_status = OperationStatus(status) if is_proof else OperationStatus.INDETERMINATE
        return _HolderAnswer(OperationResult(known_status, answer), token)

    def _send_read(self, read: _Read, holder: str, fence: bool, on_reply: ReplyCallback) -> None:
        def request(request_id: int) -> FencedRead:
            token = self._members.incarnation_token
            return FencedRead(request_id, read.owner, read.operation, fence, self._own_name, token)

        if holder == self._own_name and self.task_group:
            self.task_group.start_soon(self._read_own, request(0), read.is_trusted, on_reply)
        elif connection := self.lines.get(holder):
            connection.request(request, on_reply)
        else:
            on_reply(None)

    async def _read_own(
        self, message: FencedRead, is_trusted: Callable[[], bool], on_reply: ReplyCallback
    ) -> None:
        on_reply(await self.handle_read(message, is_trusted, {}))


def _count_confirmed_absent(first: dict[str, _HolderAnswer], second: dict[str, _HolderAnswer]) -> int:
    """How many holders answered twice, in the same incarnation, that they have no record."""
    return sum(
        first.get(holder) == answer and answer.result.status is OperationStatus.ABSENT
        for holder, answer in second.items()
    )
