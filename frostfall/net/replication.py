"""Copies in a running agent: its own record at its holders, and what it holds for others."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup

from frostfall.membership.member_list import MemberList, MemberState
from frostfall.net.log_writer import LogWriter
from frostfall.net.member_transport import MemberConnection
from frostfall.protocol.member_messages import (
    FencedRead,
    MemberMessage,
    ReplicateReply,
    ReplicateRequest,
    StatusReply,
)
from frostfall.recovery.operation_log import OperationResult, OperationStatus
from frostfall.replication.anti_entropy import AntiEntropyScheduler
from frostfall.replication.options import ReplicationOptions as Rules
from frostfall.replication.quorum_read import resolve_outcome
from frostfall.replication.replica_store import ReplicaStore, ReplicaUpdate
from frostfall.storage.segment_codec import RecordState

RETRY_INTERVAL = 0.05  # seconds between two tries to reach a holder
MAX_RETRY_DELAY = 2.0  # the same for what nobody waits for: doubled up to this
MAX_PENDING_DELIVERIES = (
    10_000  # items that wait for holders which are not reached; past that, further ones do not
)


class _Said(NamedTuple):
    """A holder's word, and the token of the life in which it gave it."""

    told: OperationResult
    token: str


class _Asking:
    """Members that are asked something, again after a moment where an answer does not come."""

    def __init__(self, names: Iterable[str]) -> None:
        self.missing = list(names)
        self._due = 0.0
        self._changed = anyio.Event()

    def ask(self, send: Callable[[str], None]) -> None:
        """Ask those that are missing, unless that was tried a moment ago."""
        # Danger: a member that is away answers at once that it is; asked again at once, that would spin.
        if self.missing and (now := anyio.current_time()) >= self._due:
            again, self.missing, self._due = self.missing, [], now + RETRY_INTERVAL
            for name in again:
                send(name)

    def came(self, name: str, answered: bool) -> None:
        """A member has answered, or has not."""
        if not answered:
            self.missing.append(name)
        self._changed.set()

    async def wait(self) -> None:
        """Wait for an answer, or for a moment."""
        with anyio.move_on_after(RETRY_INTERVAL):
            await self._changed.wait()
        self._changed = anyio.Event()


class ReplicationDriver:
    """One agent's ensemble, and its part in those of others."""

    def __init__(
        self,
        own: str,
        options: Rules,
        scheduler: AntiEntropyScheduler,
        members: MemberList,
        disk: LogWriter,
        store: ReplicaStore,
    ) -> None:
        """`lines` and `group` are set before anything else is called."""
        self._own, self._rules, self._repair, self._members, self._disk = (
            own,
            options,
            scheduler,
            members,
            disk,
        )
        self.store = store
        self.ensemble = scheduler.ensembles[own]
        self.required_acknowledgements = min(options.acknowledged, len(self.ensemble))
        self.lines: dict[str, MemberConnection] = {}
        self.task_group: TaskGroup | None = None
        self._behind = 0

    @property
    def holder_counts(self) -> tuple[int, int]:
        """How many holders are heard whose word counts, and how many a promise needs."""
        here = sum(
            self._members.peers[name].state is MemberState.ALIVE and self._sound(name)
            for name in self.ensemble
        )
        return here, min(
            self.required_acknowledgements, here
        ) if self._rules.few == "take" else self.required_acknowledgements

    @property
    def is_degraded(self) -> bool:
        """Whether promises are given with fewer copies than operators asked for."""
        return self.holder_counts[1] < self.required_acknowledgements

    @property
    def _lines_here(self) -> list[str]:
        """Members that are heard, in whatever stand; with `spare` any of them may hold something."""
        return (
            [name for name in self.lines if self._members.peers[name].state is MemberState.ALIVE]
            if self._rules.spare
            else []
        )

    # ---- one's own record ---------------------------------------------------------------------------

    async def quorum_write(
        self, update: ReplicaUpdate, expired: Callable[[], bool], acknowledged: dict[str, str]
    ) -> bool:
        """Wait until enough holders have an item on disk; False where one refuses it, or it is `over`.

        `acknowledged` gets the holders that have, with the tokens of their lives.
        """
        refused, asking = [False], _Asking(self.ensemble)

        def told(name: str, answer: MemberMessage | None) -> None:
            if isinstance(answer, ReplicateReply) and not answer.rejected:
                acknowledged[name] = answer.incarnation_token
            elif isinstance(answer, ReplicateReply):
                refused[0] = True
            asking.came(name, isinstance(answer, ReplicateReply))

        while not expired():
            asking.ask(lambda name: self._send(name, update, partial(told, name)))
            if refused[0]:
                return False
            if self.has_write_quorum(acknowledged):
                for name in asking.missing:
                    self.write_in_background(update, name)
                return True
            # A word that does not count is asked for again, in that holder's present life.
            for name in [name for name, token in acknowledged.items() if not self._counts(name, token)]:
                del acknowledged[name]
                asking.missing.append(name)
            await asking.wait()
        return False

    def has_write_quorum(self, acknowledged: dict[str, str]) -> bool:
        """Whether so many holders still have what they acknowledged."""
        return sum(self._counts(*each) for each in acknowledged.items()) >= self.holder_counts[1]

    def _counts(self, name: str, token: str) -> bool:
        # Danger: a holder that has lost its disk since, and with it its fences, would acknowledge what others
        # have settled as never begun. So its own word counts, and what is known of its folder here.
        return token == self._members.peers[name].recorded_incarnation.token and self._sound(name)

    def _sound(self, name: str) -> bool:
        peer = self._members.peers[name]
        return not (peer.incomplete_reason or peer.stale_reason or peer.latest_stale_reason)

    def _send(self, name: str, item: ReplicaUpdate, told: Callable[[MemberMessage | None], None]) -> None:
        if line := self.lines.get(name):
            line.request(
                lambda number: ReplicateRequest(
                    number,
                    self._own,
                    item.state,
                    item.operation,
                    item.answer,
                    self._members.incarnation_token,
                ),
                told,
            )
        else:
            told(None)

    def write_in_background(self, update: ReplicaUpdate, *names: str) -> None:
        """Let holders have an item, for which nobody waits; all of them without a name."""
        for name in names or self.ensemble:
            if self._behind < MAX_PENDING_DELIVERIES and self.task_group:
                self._behind += 1
                self.task_group.start_soon(self._bring, name, update)

    async def _bring(self, name: str, item: ReplicaUpdate) -> None:
        """Bring an item to one holder, however long that takes."""
        pause = RETRY_INTERVAL
        try:
            while True:
                answers: list[MemberMessage | None] = []
                event = anyio.Event()

                def told(
                    answer: MemberMessage | None,
                    answers: list[MemberMessage | None] = answers,
                    event: anyio.Event = event,
                ) -> None:
                    answers.append(answer)
                    event.set()

                self._send(name, item, told)
                await event.wait()
                if isinstance(answers[0], ReplicateReply) and (answers[0].rejected or answers[0].stored):
                    return
                await anyio.sleep(pause)
                pause = min(pause * 2, MAX_RETRY_DELAY)
        finally:
            self._behind -= 1

    # ---- what is held for others ----------------------------------------------------------------------

    async def handle_write(self, message: ReplicateRequest) -> MemberMessage:
        """Keep what another member sends, and say so once it is on disk."""
        item, token = (
            ReplicaUpdate(RecordState(message.state), message.operation, message.answer),
            self._members.incarnation_token,
        )
        peer = self._members.peers.get(message.owner)
        if peer is None or message.incarnation_token != peer.recorded_incarnation.token:
            # Danger: a life that is over must not be told that its intent is kept: a later one may have been
            # told that this holder has nothing of it. No token: this word counts for nothing.
            return ReplicateReply(message.request_id, False, stored=False)
        while (kept := self.store.store(message.owner, item)) is not None:
            self._disk.wake()
            if not await self._disk.wait_durable(kept.ticket):
                await anyio.sleep_forever()  # a failed disk acknowledges nothing
            if not kept.retry_after_sync:
                # Danger: one that has not taken over all yet does not know what is fenced.
                return ReplicateReply(
                    message.request_id, False, token if self._repair.is_complete(message.owner) else ""
                )
        return ReplicateReply(message.request_id, True, token)

    async def handle_read(
        self, message: FencedRead, is_trusted: Callable[[], bool], lives: dict[str, str]
    ) -> MemberMessage:
        """What the copies say; `known`: whether the reader's word and one's own record can be trusted."""
        told = self.store.read(message.owner, message.operation)
        if told.status is OperationStatus.ABSENT and message.fence:
            ticket = self.store.fence(message.owner, message.operation)
            self._disk.wake()
            if not await self._disk.wait_durable(ticket):
                await anyio.sleep_forever()
            self.store.fence_synced(message.owner, message.operation)
        word = (
            OperationStatus.INDETERMINATE
            if told.status is OperationStatus.ABSENT and not is_trusted()
            else told.status
        )
        return StatusReply(
            message.request_id, [(word.value, told.answer)], self._members.incarnation_token, lives
        )

    # ---- settling -------------------------------------------------------------------------------------

    async def fenced_read(
        self, owner: str, name: str, fence: bool, timeout: float, is_trusted: Callable[[], bool]
    ) -> OperationResult | None:
        """Read at an owner's holders what became of an operation, and fence it where they know nothing.

        None where too few holders that are sure of their records answer in time.
        """
        words: dict[str, _Said] = {}
        read = self._rules.read_quorum(len(self._repair.ensembles[owner]))
        with anyio.move_on_after(timeout):
            while True:
                one = await self._gather(owner, name, fence, is_trusted, words)
                if one.status is not OperationStatus.ABSENT or not fence:
                    return one
                # Danger: a holder that was read may have lost its disk before the next one was fenced, and be
                # whole again without that fence. Who says it again in the same life had its fence at once.
                again: dict[str, _Said] = {}
                one = await self._gather(owner, name, fence, is_trusted, again)
                same = [
                    holder
                    for holder, said in again.items()
                    if words.get(holder) == said and said.told.status is OperationStatus.ABSENT
                ]
                if one.status is not OperationStatus.ABSENT or len(same) >= read:
                    return one
                words.clear()
        last = resolve_outcome((said.told for said in words.values()), read)
        return last if last is not None and last.status is not OperationStatus.ABSENT else None

    async def _gather(
        self, owner: str, name: str, fence: bool, known: Callable[[], bool], words: dict[str, _Said]
    ) -> OperationResult:
        """Ask all holders, until their words settle it; for ever where too few that are sure answer."""
        ensemble = self._repair.ensembles[owner]
        spares = [name for name in self._lines_here if name not in (owner, *ensemble)]
        asking = _Asking([*ensemble, *spares])

        def told(holder: str, answer: MemberMessage | None) -> None:
            if isinstance(answer, StatusReply):
                word, given = answer.statuses[0]
                trusted = (
                    holder == self._own
                    or self._members.peers[holder].recorded_incarnation.token == answer.incarnation_token
                )
                sure = trusted or word in (OperationStatus.SERVED.value, OperationStatus.FAILED.value)
                # Danger: a spare holds what it was given; that it lacks something proves nothing.
                sure = sure and (holder in ensemble or word != OperationStatus.ABSENT.value)
                words[holder] = _Said(
                    OperationResult(OperationStatus(word) if sure else OperationStatus.INDETERMINATE, given),
                    answer.incarnation_token,
                )
            asking.came(holder, isinstance(answer, StatusReply))

        def ask(holder: str) -> None:
            def make(number: int) -> FencedRead:
                return FencedRead(
                    number,
                    owner,
                    name,
                    fence and holder in ensemble,
                    self._own,
                    self._members.incarnation_token,
                )

            if holder == self._own and self.task_group:

                async def own() -> None:
                    told(holder, await self.handle_read(make(0), known, {}))

                self.task_group.start_soon(own)
            elif line := self.lines.get(holder):
                line.request(make, partial(told, holder))
            else:
                told(holder, None)

        while True:
            asking.ask(ask)
            one = resolve_outcome(
                (said.told for said in words.values()), self._rules.read_quorum(len(ensemble))
            )
            # Danger: a holder that missed the end has the intent alone; another one may have the answer.
            if one is not None and (
                one.status is not OperationStatus.FAILED or len(words) == len(ensemble) + len(spares)
            ):
                return one
            await asking.wait()
