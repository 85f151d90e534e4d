"""Operations in a running agent: clients' tries, the wait before a write, ends, and what others know."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from frostfall import interface as api
from frostfall.group_options import GroupOptions
from frostfall.membership.member_list import MemberList, MemberState
from frostfall.net.log_writer import LogWriter
from frostfall.net.member_transport import MemberConnection, PeerOperationStatus
from frostfall.net.replication import ReplicationDriver
from frostfall.protocol.ending import Ending, Final
from frostfall.protocol.pg import READY
from frostfall.protocol.pg_client import Row
from frostfall.protocol.pg_server import failed, refused
from frostfall.protocol.statement import Statement
from frostfall.recovery import operation_log as operations
from frostfall.recovery.operation_log import AdmissionDecision, Operation, OperationLog, OperationStatus
from frostfall.recovery.readiness import Readiness, ReadinessInputs, ReadinessStage
from frostfall.recovery.retry_after import RetryAfterJitter
from frostfall.replication.replica_store import ReplicaStore, ReplicaUpdate
from frostfall.storage.segment_codec import RecordState

DEADLINE_MARGIN = 10_000  # microseconds before its deadline at which a try that waits is given up
POLL_INTERVAL = 0.05  # seconds between two questions about an operation that is under way elsewhere


class WaitingClient(Protocol):
    """A client's connection, as far as it matters here."""

    request: str | None

    def answer(self, data: bytes) -> None:
        """Give the final answer."""


class RequestHandler(Protocol):
    """What is needed of the agent."""

    def post(self, event: api.Event) -> None:
        """Hand an event to the decision module."""

    def conclude(self, request: str, answer: bytes, end: Final) -> None:
        """Give a request its final answer, whatever the module has under way for it."""

    def stop(self) -> None:
        """Stop in order."""


class _Try:
    """A client's try that waits for the end of an operation."""

    __slots__ = ("client", "request")

    def __init__(self, client: WaitingClient, request: str) -> None:
        self.client, self.request = client, request

    def notify(self, answer: bytes) -> None:
        """Answer, if the client still waits for this."""
        if self.client.request == self.request:
            self.client.answer(answer)


def _best(found: Iterable[operations.OperationResult | None]) -> operations.OperationResult | None:
    """Of several words the one on how an operation ended: an answer before a failure, kept ones first."""
    ended = [
        told for told in found if told and told.status in (OperationStatus.SERVED, OperationStatus.FAILED)
    ]
    return max(
        ended, key=lambda told: (told.status is OperationStatus.SERVED, told.answer is not None), default=None
    )


def _ended(words: dict[str, PeerOperationStatus]) -> operations.OperationResult | None:
    """The best word of members that know how an operation ended."""
    return _best(
        operations.OperationResult(OperationStatus(told.status), told.answer) for told in words.values()
    )


def _silent(words: dict[str, PeerOperationStatus], others: list[str]) -> list[str]:
    """Members that cannot tell what they know of an operation."""
    return [
        member
        for member in others
        if member not in words or words[member].status == OperationStatus.INDETERMINATE.value
    ]


class OperationCoordinator:
    """One agent's operations, between its clients' tries and what `recovery.ledger` decides."""

    def __init__(
        self,
        name: str,
        rules: GroupOptions,
        effects: dict[str, api.Idempotency],
        front: RequestHandler,
        clock: Callable[[], int],
        steady: Callable[[], float],
        spread: RetryAfterJitter,
        ledger: OperationLog,
        holding: ReplicaStore,
        disk: LogWriter,
        members: MemberList,
        gates: Readiness,
        facts: ReadinessInputs,
        lines: dict[str, MemberConnection],
        copies: ReplicationDriver | None,
        unreadable: Callable[[Exception], None],
        whole: Callable[[str], bool],
    ) -> None:
        """`clock` gives microseconds, as deadlines count them; `unreadable` is told of a log that fails.

        `whole`: whether the record of an owner that is kept here proves something by what it lacks.
        """
        self._name, self.options, self._effects, self._front = name, rules, effects, front
        self._clock, self._steady, self._spread = clock, steady, spread
        self.operation_log, self.replica_store, self.disk, self.membership = ledger, holding, disk, members
        self.readiness, self.readiness_inputs, self._lines, self.replication = gates, facts, lines, copies
        self._unreadable, self._whole = unreadable, whole
        self._gone = [member.name for member in rules.members if member.gone]
        self.task_group: TaskGroup | None = None  # set before anything else is called
        self._operations: dict[str, Operation] = {}  # by request

    def handle_query(self, statement: Statement, client: WaitingClient, deadline: int) -> bool:
        """A client's query; whether all is done for it, or will be, without the decision module."""
        effect = self._effects[statement.class_name]
        if effect is not api.Idempotency.NON_IDEMPOTENT:
            gate = (
                ReadinessStage.LOCAL_READS if effect is api.Idempotency.IDEMPOTENT else ReadinessStage.KEYED
            )
            if self.readiness.is_ready(gate):
                return False
            client.answer(self._come_again())
            return True
        name = self._name_of(statement)
        again, sure = (
            statement.is_retry or not self.options.retries_marked,
            self.readiness_inputs.log_replayed,
        )
        if len(name.encode()) > operations.MAX_NAME_BYTES:
            client.answer(failed())
            return True
        try:
            way, told = (
                self.operation_log.admit(name, statement.is_retry)
                if sure
                else operations.Admission(AdmissionDecision.POLL_PEERS)
            )
        except (OSError, ValueError) as error:
            self._unreadable(error)
            client.answer(failed())
            return True
        if (
            way is AdmissionDecision.REPLAY
            and told
            and told.status is OperationStatus.FAILED
            and self.task_group
            and self._lines
        ):
            # It may have run by this member's hand, and another one may know that it did.
            self.task_group.start_soon(self._look_up, name, _Try(client, statement.request), deadline)
        elif way is AdmissionDecision.REPLAY and told:
            client.answer(self._told(told))
        elif way is AdmissionDecision.RETRY:
            # Danger: it never ran here, but an earlier try may have run elsewhere.
            client.answer(failed() if again else self._come_again())
        elif (
            way is AdmissionDecision.POLL_PEERS
            and sure
            and self.replication
            and (copy := self._copy_of(name))
        ):
            self.operation_log.record_end(self.operation_log.in_progress[name], RecordState.NOT_EXECUTED)
            client.answer(self._told(copy))
        elif way is AdmissionDecision.JOIN:
            self._join(name, client, statement.request, deadline)
        elif self.readiness.is_ready(ReadinessStage.NON_IDEMPOTENT):
            self._operations[statement.request] = operation = self.operation_log.in_progress[name]
            operation.client_deadline = deadline - DEADLINE_MARGIN
            return False
        else:
            if sure:
                self.operation_log.record_end(self.operation_log.in_progress[name], RecordState.NOT_EXECUTED)
            # Danger: an earlier try may have run, so that to call another one harmless could be a lie.
            if not again:
                client.answer(self._come_again())
            elif self.task_group and self._lines:
                self.task_group.start_soon(self._look_up, name, _Try(client, statement.request), deadline)
            else:
                client.answer(failed())
        return True

    def _copy_of(self, name: str) -> operations.OperationResult | None:
        """The answer that another member gave, where its copy is here."""
        try:
            words = [
                self.replica_store.read(member, name) for member in (*self.membership.peers, *self._gone)
            ]
        except (OSError, ValueError) as error:
            self._unreadable(error)
            return None
        return next(
            (told for told in words if told.status is OperationStatus.SERVED and told.answer is not None),
            None,
        )

    def is_known(self, statement: Statement) -> bool:
        """Whether this asks again for an operation that is known here."""
        if (
            self._effects[statement.class_name] is not api.Idempotency.NON_IDEMPOTENT
            or not self.readiness_inputs.log_replayed
        ):
            return False
        try:
            return self.operation_log.lookup(self._name_of(statement)) is not None
        except (OSError, ValueError):
            return False

    def _name_of(self, statement: Statement) -> str:
        return (
            statement.field(self.options.operation) if self.options.operation else ""
        ) or statement.request

    def _told(self, told: operations.OperationResult) -> bytes:
        return (
            told.answer + READY
            if told.status is OperationStatus.SERVED and told.answer is not None
            else failed()
        )

    def _come_again(self) -> bytes:
        return refused(int(self._spread.next_delay(self._steady()) * 1000))

    def _join(self, name: str, client: WaitingClient, request: str, deadline: int) -> None:
        one, operation = _Try(client, request), self.operation_log.in_progress[name]
        operation.waiters.append(one)

        async def expire() -> None:
            await anyio.sleep(max(deadline - DEADLINE_MARGIN - self._clock(), 0) / 1e6)
            if one in operation.waiters:
                operation.waiters.remove(one)
                one.notify(failed())

        if self.task_group:
            self.task_group.start_soon(expire)

    async def authorize_dispatch(self, request: str, is_over: Callable[[], bool], deadline: int) -> bool:
        """Wait until an attempt may be written to a server; False where it never will be.

        True is returned without giving others a turn after the last check.
        """
        operation = self._operations.get(request)
        if operation is None:
            return True
        if not self.operation_log.is_in_progress(operation):
            return False
        if (
            self.replication
            and self.operation_log.incomplete_reason
            and operation.needs_poll
            and not operation.vouched_by_replicas
            and (not await self._own_past(request, operation, deadline))
        ):
            return False
        ticket = self.operation_log.record_intent(operation)
        self.disk.wake()
        if not await self._down(operation, ticket, is_over, deadline):
            if operation.fenced:  # others have settled it, and know more
                await self._find_out(request, operation, deadline)
                return False
            sure = operation.confirmed_absent or not operation.needs_poll
            self._front.conclude(
                request, self._come_again() if sure else failed(), Final.REFUSED if sure else Final.FAILED
            )
            return False
        if (
            operation.needs_poll
            and not operation.confirmed_absent
            and not await self._ask(request, operation, deadline)
        ):
            return False
        # Danger: noted after the write, a disk that fails meanwhile would make it look as if there was none.
        let = (
            not is_over()
            and self.operation_log.is_in_progress(operation)
            and self.operation_log.may_dispatch(operation)
            and not self.membership.contested_incarnation
            and not self.membership.superseded_by
            and self._stands(operation)
        )
        operation.dispatched = operation.dispatched or let
        return let

    def _stands(self, operation: Operation) -> bool:
        """Whether enough holders still have the intent: one may have lost its disk since it said so."""
        return self.replication is None or self.replication.has_write_quorum(operation.acknowledged_by)

    async def _down(self, operation: Operation, ticket: int, over: Callable[[], bool], deadline: int) -> bool:
        """Wait until an intent is on disk here and, where copies are kept, at enough holders."""
        if self.replication is None or (operation.replicated and self._stands(operation)):
            return await self.disk.wait_durable(ticket)

        def late() -> bool:
            return over() or self._clock() >= deadline - DEADLINE_MARGIN

        promised = [False]
        async with anyio.create_task_group() as group:

            async def promise() -> None:
                assert self.replication
                promised[0] = await self.replication.quorum_write(
                    ReplicaUpdate(RecordState.OPEN, operation.name), late, operation.acknowledged_by
                )

            group.start_soon(promise)
            durable = await self.disk.wait_durable(ticket)
        operation.replicated = promised[0]
        operation.fenced = not promised[0] and not late()
        return durable and promised[0]

    async def _ask(self, request: str, operation: Operation, deadline: int) -> bool:
        """Ask all others; whether nobody can have run it. Else the request has its answer, or will have."""
        others, name = list(self._lines), operation.name
        self.operation_log.start_poll(operation, others)
        within = min(self.options.waits.ask, max(deadline - DEADLINE_MARGIN - self._clock(), 0) / 1e6)
        until = self._steady() + within
        while True:
            words = await self._words(name, others, until - self._steady())
            none = len(words) == len(others) and all(
                told.status == OperationStatus.ABSENT.value for told in words.values()
            )
            tokens = {member: told.incarnation_token for member, told in words.items()}
            lives = {member: told.recorded_tokens for member, told in words.items()}
            if none and not self._gone and self.membership.incarnations_agreed(tokens, lives):
                for member in others:
                    self.operation_log.record_poll_answer(
                        operation, member, operations.OperationResult(OperationStatus.ABSENT)
                    )
                break
            if not none or self._gone or self._steady() >= until - POLL_INTERVAL:
                break
            await anyio.sleep(POLL_INTERVAL)  # they have not all heard of each other's lives yet
        if not self.operation_log.is_in_progress(operation):
            return False
        if operation.confirmed_absent:
            return True
        known = await self._settle(operation, words, others, deadline)
        if operation.confirmed_absent:
            return self.operation_log.is_in_progress(operation)
        under_way = [
            member for member, told in words.items() if told.status == OperationStatus.IN_PROGRESS.value
        ]
        if known is None and under_way:
            # Both have their intents down: this one steps back, and tells what becomes of the other.
            self._end(operation, RecordState.NOT_EXECUTED)
            while (
                known is None
                and under_way
                and self._clock() < deadline - DEADLINE_MARGIN - POLL_INTERVAL * 1e6
            ):
                await anyio.sleep(POLL_INTERVAL)
                words = await self._words(name, under_way, POLL_INTERVAL * 4)
                known = _ended(words)
                under_way = [
                    member
                    for member in under_way
                    if member not in words or words[member].status == OperationStatus.IN_PROGRESS.value
                ]
        answer = self._told(known) if known else failed()
        served = known is not None and known.status is OperationStatus.SERVED and known.answer is not None
        self._front.conclude(request, answer, Final.SERVED if served else Final.FAILED)
        return False

    async def _find_out(self, request: str, operation: Operation, deadline: int) -> None:
        """Give a request what others know of its operation, which is not to be begun here."""
        self._end(operation, RecordState.NOT_EXECUTED)
        known = await self._known_elsewhere(operation.name, deadline)
        served = known is not None and known.status is OperationStatus.SERVED and known.answer is not None
        self._front.conclude(
            request, self._told(known) if known else failed(), Final.SERVED if served else Final.FAILED
        )

    async def _look_up(self, name: str, one: _Try, deadline: int) -> None:
        """The same for a try that came while no unsafe work is taken here."""
        known = await self._known_elsewhere(name, deadline)
        one.notify(self._told(known) if known else failed())

    async def _known_elsewhere(self, name: str, deadline: int) -> operations.OperationResult | None:
        """How an operation ended, by the others' word and what is held for those that cannot tell."""
        others, within = list(self._lines), min(self.options.waits.ask, self._left(deadline))
        words = await self._words(name, others, within)
        silent = [self._name, *_silent(words, others), *self._gone]
        return _best([_ended(words), *await self._read(name, silent, False, deadline)])

    async def _read(
        self, name: str, owners: list[str], fence: bool, deadline: int
    ) -> list[operations.OperationResult | None]:
        """What the holders of these owners' records say of an operation, all read at once."""
        found: list[operations.OperationResult | None] = [None] * len(owners)
        if self.replication is None or not owners:
            return found
        within = min(self.options.waits.ask, self._left(deadline))

        async def read(place: int, owner: str) -> None:
            assert self.replication
            found[place] = await self.replication.fenced_read(
                owner, name, fence, within, partial(self._sure, owner)
            )

        async with anyio.create_task_group() as group:
            for place, owner in enumerate(owners):
                group.start_soon(read, place, owner)
        return found

    async def _settle(
        self, operation: Operation, words: dict[str, PeerOperationStatus], others: list[str], deadline: int
    ) -> operations.OperationResult | None:
        """How it ended by the words and by what those who cannot tell have left at their holders.

        `cleared` where nobody can have run it.
        """
        known, silent = _ended(words), _silent(words, others)
        if known is not None:
            # Danger: one that failed here may have been served by another, who is gone and has left copies.
            if known.status is OperationStatus.SERVED:
                return known
            return _best([known, *await self._read(operation.name, silent + self._gone, False, deadline)])
        none = {member: told for member, told in words.items() if told.status == OperationStatus.ABSENT.value}
        if (
            self.replication is None
            or len(none) + len(silent) < len(others)
            or not self.membership.no_stale_peers
            or (
                not self.membership.incarnations_agreed(
                    {member: told.incarnation_token for member, told in none.items()},
                    {member: told.recorded_tokens for member, told in none.items()},
                )
            )
        ):
            return None
        read = await self._read(operation.name, silent + self._gone, True, deadline)
        if any(told is None or told.status is not OperationStatus.ABSENT for told in read):
            return _best(read)
        operation.confirmed_absent = not self.operation_log.incomplete_reason or operation.vouched_by_replicas
        return None

    async def _own_past(self, request: str, operation: Operation, deadline: int) -> bool:
        """With a record that proves nothing: whether one's own holders know nothing of an operation either.

        Asked before the present intent goes to them; nobody else writes under this member's name.
        """
        (told,) = await self._read(operation.name, [self._name], False, deadline)
        operation.vouched_by_replicas = told is not None and told.status is OperationStatus.ABSENT
        if not operation.vouched_by_replicas:
            # Danger: an earlier try here may have failed and one elsewhere have been served.
            await self._find_out(request, operation, deadline)
        return operation.vouched_by_replicas

    def _left(self, deadline: int) -> float:
        """Seconds until a request has to be given up."""
        return max(deadline - DEADLINE_MARGIN - self._clock(), 0) / 1e6

    def _sure(self, owner: str) -> bool:
        return self._whole(owner) and self.membership.no_stale_peers

    async def _words(self, name: str, members: list[str], within: float) -> dict[str, PeerOperationStatus]:
        found: dict[str, PeerOperationStatus] = {}
        missing = set(members)
        all_there = anyio.Event()
        if not members:
            return found

        def told(member: str, word: PeerOperationStatus | None) -> None:
            if word is None and self.membership.peers[member].state is not MemberState.DEAD:
                lost.append(member)  # it may be on its way up
                return
            missing.discard(member)
            if word is not None:
                found[member] = word
            if not missing or (word is not None and word.status == OperationStatus.SERVED.value):
                all_there.set()

        lost = list(members)
        with anyio.move_on_after(within):
            while not all_there.is_set():
                again, lost = lost, []
                for member in again:
                    self._lines[member].query_status(name, partial(told, member))
                with anyio.move_on_after(POLL_INTERVAL if lost else None):
                    await all_there.wait()
        return found

    def attempt_ended(self, request: str, ending: Ending) -> None:
        """An attempt has ended, also one whose request is done."""
        operation = self._operations.get(request)
        if operation is None:
            return
        if isinstance(ending.answer, Row):
            self._end(operation, RecordState.SERVED, ending.answer.data)
        elif not ending.outcome.never_ran:
            operation.may_have_run = True

    def finish_request(
        self, request: str, answer: bytes, end: Final, client: WaitingClient, over: bool
    ) -> None:
        """A request's final answer: given at once, but for an unsafe one's that was served, once on disk.

        `over`: none of its attempts is out.
        """
        one, operation = _Try(client, request), self._operations.get(request)
        if operation is None:
            one.notify(answer)
            return
        if over:
            del self._operations[request]
        under_way = self.operation_log.is_in_progress(operation)
        if end is Final.SERVED:
            if under_way:
                operation.waiters.insert(0, one)
                self._end(operation, RecordState.SERVED, answer[: -len(READY)])
            else:
                one.notify(answer)
                self._tell(operation, answer)  # it was served elsewhere
            return
        if end is Final.REFUSED and operation.needs_poll and not operation.confirmed_absent:
            answer = failed()  # an earlier try may have run at another member
        if under_way:
            ran = end is Final.FAILED and operation.dispatched
            self._end(operation, RecordState.FAILED if ran else RecordState.NOT_EXECUTED)
        one.notify(answer)
        self._tell(operation, answer)

    def request_closed(self, request: str) -> None:
        """A request is over with all its attempts."""
        operation = self._operations.pop(request, None)
        if operation and self.operation_log.is_in_progress(operation):  # its client left before it had an end
            self._end(operation, RecordState.FAILED if operation.may_have_run else RecordState.NOT_EXECUTED)
            self._tell(operation, failed())

    def _end(self, operation: Operation, state: RecordState, answer: bytes | None = None) -> None:
        if not self.operation_log.is_in_progress(operation):
            return
        ticket = self.operation_log.record_end(operation, state, answer)
        given = None if answer is None else answer + READY
        copied = self.replication is not None and ticket > 0
        if self.replication and copied and state is not RecordState.SERVED:
            self.replication.write_in_background(ReplicaUpdate(state, operation.name))

        def on_disk(good: bool) -> None:
            more = self.operation_log.end_durable(operation) if good else 0
            if more:
                self.disk.when_durable(more, on_disk)
                self.disk.wake()
            elif given is not None and copied and self.task_group:
                self.task_group.start_soon(self._copied, operation, answer, given)
            elif given is not None:
                # Where the disk has failed the row is still true, and who asks again is told no less.
                self._tell(operation, given)

        if ticket:
            self.disk.when_durable(ticket, on_disk)
            self.disk.wake()
        elif given is not None:
            self._tell(operation, given)

    async def _copied(self, operation: Operation, answer: bytes | None, given: bytes) -> None:
        """Give a served answer once enough holders have it."""
        assert self.replication
        kept = answer if answer is not None and len(answer) <= self.options.store.answer_bytes else None
        item = ReplicaUpdate(RecordState.SERVED, operation.name, kept)
        # Settled by others meanwhile, it was told to have perhaps run: that is what this client is told too.
        good = await self.replication.quorum_write(
            item, lambda: self._clock() >= operation.client_deadline, {}
        )
        self._tell(operation, given if good else failed())

    def _tell(self, operation: Operation, answer: bytes) -> None:
        waiting, operation.waiters = operation.waiters, []
        for one in waiting:
            one.notify(answer)
