"""Operations in a running agent: clients' tries, the wait before a write, ends, and what others know."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from frostfall import interface as api
from frostfall.membership.member_list import MemberList, MemberState
from frostfall.net.log_writer import LogWriter
from frostfall.net.member_transport import MemberConnection, PeerOperationStatus
from frostfall.net.replication import ReplicationDriver
from frostfall.protocol.ending import Ending, Final
from frostfall.protocol.pg import READY
from frostfall.protocol.pg_client import Row
from frostfall.protocol.pg_server import failed, refused
from frostfall.protocol.statement import Statement
from frostfall.recovery import ledger as operations
from frostfall.recovery.gates import Facts, Gate, Gates
from frostfall.recovery.ledger import Ledger, Operation, Way, Word
from frostfall.recovery.rules import Group
from frostfall.recovery.spread import Spread
from frostfall.replication.replica_store import ReplicaStore, ReplicaUpdate
from frostfall.storage.segment_codec import RecordState

EARLY = 10_000  # microseconds before its deadline at which a try that waits is given up
POLL = 0.05  # seconds between two questions about an operation that is under way elsewhere


class Waiting(Protocol):
    """A client's connection, as far as it matters here."""

    request: str | None

    def answer(self, data: bytes) -> None:
        """Give the final answer."""


class Front(Protocol):
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

    def __init__(self, client: Waiting, request: str) -> None:
        self.client, self.request = client, request

    def tell(self, answer: bytes) -> None:
        """Answer, if the client still waits for this."""
        if self.client.request == self.request:
            self.client.answer(answer)


def _best(found: Iterable[operations.Told | None]) -> operations.Told | None:
    """Of several words the one on how an operation ended: an answer before a failure, kept ones first."""
    ended = [told for told in found if told and told.word in (Word.SERVED, Word.FAILED)]
    return max(ended, key=lambda told: (told.word is Word.SERVED, told.answer is not None), default=None)


def _ended(words: dict[str, PeerOperationStatus]) -> operations.Told | None:
    """The best word of members that know how an operation ended."""
    return _best(operations.Told(Word(told.status), told.answer) for told in words.values())


def _silent(words: dict[str, PeerOperationStatus], others: list[str]) -> list[str]:
    """Members that cannot tell what they know of an operation."""
    return [member for member in others if member not in words or words[member].status == Word.UNSURE.value]


class Operations:
    """One agent's operations, between its clients' tries and what `recovery.ledger` decides."""

    def __init__(
        self,
        name: str,
        rules: Group,
        effects: dict[str, api.Idempotency],
        front: Front,
        clock: Callable[[], int],
        steady: Callable[[], float],
        spread: Spread,
        ledger: Ledger,
        holding: ReplicaStore,
        disk: LogWriter,
        members: MemberList,
        gates: Gates,
        facts: Facts,
        lines: dict[str, MemberConnection],
        copies: ReplicationDriver | None,
        unreadable: Callable[[Exception], None],
        whole: Callable[[str], bool],
    ) -> None:
        """`clock` gives microseconds, as deadlines count them; `unreadable` is told of a log that fails.

        `whole`: whether the record of an owner that is kept here proves something by what it lacks.
        """
        self._name, self.rules, self._effects, self._front = name, rules, effects, front
        self._clock, self._steady, self._spread = clock, steady, spread
        self.ledger, self.holding, self.disk, self.members = ledger, holding, disk, members
        self.gates, self.facts, self._lines, self.copies = gates, facts, lines, copies
        self._unreadable, self._whole = unreadable, whole
        self._gone = [member.name for member in rules.members if member.gone]
        self.group: TaskGroup | None = None  # set before anything else is called
        self._operations: dict[str, Operation] = {}  # by request

    def take(self, statement: Statement, client: Waiting, deadline: int) -> bool:
        """A client's query; whether all is done for it, or will be, without the decision module."""
        effect = self._effects[statement.class_name]
        if effect is not api.Idempotency.NON_IDEMPOTENT:
            gate = Gate.READS_NEAR if effect is api.Idempotency.IDEMPOTENT else Gate.KEYED
            if self.gates.open(gate):
                return False
            client.answer(self._come_again())
            return True
        name = self._name_of(statement)
        again, sure = statement.is_retry or not self.rules.retries_marked, self.facts.read
        if len(name.encode()) > operations.NAME_MOST:
            client.answer(failed())
            return True
        try:
            way, told = self.ledger.admit(name, statement.is_retry) if sure else (Way.ASK, None)
        except (OSError, ValueError) as error:
            self._unreadable(error)
            client.answer(failed())
            return True
        if way is Way.TOLD and told and told.word is Word.FAILED and self.group and self._lines:
            # It may have run by this member's hand, and another one may know that it did.
            self.group.start_soon(self._look_up, name, _Try(client, statement.request), deadline)
        elif way is Way.TOLD and told:
            client.answer(self._told(told))
        elif way is Way.AGAIN:
            # Danger: it never ran here, but an earlier try may have run elsewhere.
            client.answer(failed() if again else self._come_again())
        elif way is Way.ASK and sure and self.copies and (copy := self._copy_of(name)):
            self.ledger.end(self.ledger.live[name], RecordState.NOT_EXECUTED)
            client.answer(self._told(copy))
        elif way is Way.JOIN:
            self._join(name, client, statement.request, deadline)
        elif self.gates.open(Gate.UNSAFE):
            self._operations[statement.request] = operation = self.ledger.live[name]
            operation.until = deadline - EARLY
            return False
        else:
            if sure:
                self.ledger.end(self.ledger.live[name], RecordState.NOT_EXECUTED)
            # Danger: an earlier try may have run, so that to call another one harmless could be a lie.
            if not again:
                client.answer(self._come_again())
            elif self.group and self._lines:
                self.group.start_soon(self._look_up, name, _Try(client, statement.request), deadline)
            else:
                client.answer(failed())
        return True

    def _copy_of(self, name: str) -> operations.Told | None:
        """The answer that another member gave, where its copy is here."""
        try:
            words = [self.holding.read(member, name) for member in (*self.members.peers, *self._gone)]
        except (OSError, ValueError) as error:
            self._unreadable(error)
            return None
        return next((told for told in words if told.word is Word.SERVED and told.answer is not None), None)

    def knows(self, statement: Statement) -> bool:
        """Whether this asks again for an operation that is known here."""
        if self._effects[statement.class_name] is not api.Idempotency.NON_IDEMPOTENT or not self.facts.read:
            return False
        try:
            return self.ledger.known(self._name_of(statement)) is not None
        except (OSError, ValueError):
            return False

    def _name_of(self, statement: Statement) -> str:
        return (statement.field(self.rules.operation) if self.rules.operation else "") or statement.request

    def _told(self, told: operations.Told) -> bytes:
        return told.answer + READY if told.word is Word.SERVED and told.answer is not None else failed()

    def _come_again(self) -> bytes:
        return refused(int(self._spread.next(self._steady()) * 1000))

    def _join(self, name: str, client: Waiting, request: str, deadline: int) -> None:
        one, operation = _Try(client, request), self.ledger.live[name]
        operation.waiting.append(one)

        async def expire() -> None:
            await anyio.sleep(max(deadline - EARLY - self._clock(), 0) / 1e6)
            if one in operation.waiting:
                operation.waiting.remove(one)
                one.tell(failed())

        if self.group:
            self.group.start_soon(expire)

    async def clear(self, request: str, over: Callable[[], bool], deadline: int) -> bool:
        """Wait until an attempt may be written to a server; False where it never will be.

        True is returned without giving others a turn after the last check.
        """
        operation = self._operations.get(request)
        if operation is None:
            return True
        if not self.ledger.under_way(operation):
            return False
        if (
            self.copies
            and self.ledger.doubt
            and operation.ask
            and not operation.vouched
            and (not await self._own_past(request, operation, deadline))
        ):
            return False
        ticket = self.ledger.intend(operation)
        self.disk.wake()
        if not await self._down(operation, ticket, over, deadline):
            if operation.fenced:  # others have settled it, and know more
                await self._find_out(request, operation, deadline)
                return False
            sure = operation.cleared or not operation.ask
            self._front.conclude(
                request, self._come_again() if sure else failed(), Final.REFUSED if sure else Final.FAILED
            )
            return False
        if operation.ask and not operation.cleared and not await self._ask(request, operation, deadline):
            return False
        # Danger: noted after the write, a disk that fails meanwhile would make it look as if there was none.
        let = (
            not over()
            and self.ledger.under_way(operation)
            and self.ledger.may_write(operation)
            and not self.members.contested_incarnation
            and not self.members.superseded_by
            and self._stands(operation)
        )
        operation.written = operation.written or let
        return let

    def _stands(self, operation: Operation) -> bool:
        """Whether enough holders still have the intent: one may have lost its disk since it said so."""
        return self.copies is None or self.copies.has_write_quorum(operation.acknowledged)

    async def _down(self, operation: Operation, ticket: int, over: Callable[[], bool], deadline: int) -> bool:
        """Wait until an intent is on disk here and, where copies are kept, at enough holders."""
        if self.copies is None or (operation.copied and self._stands(operation)):
            return await self.disk.wait_durable(ticket)

        def late() -> bool:
            return over() or self._clock() >= deadline - EARLY

        promised = [False]
        async with anyio.create_task_group() as group:

            async def promise() -> None:
                assert self.copies
                promised[0] = await self.copies.quorum_write(
                    ReplicaUpdate(RecordState.OPEN, operation.name), late, operation.acknowledged
                )

            group.start_soon(promise)
            durable = await self.disk.wait_durable(ticket)
        operation.copied = promised[0]
        operation.fenced = not promised[0] and not late()
        return durable and promised[0]

    async def _ask(self, request: str, operation: Operation, deadline: int) -> bool:
        """Ask all others; whether nobody can have run it. Else the request has its answer, or will have."""
        others, name = list(self._lines), operation.name
        self.ledger.ask(operation, others)
        within = min(self.rules.waits.ask, max(deadline - EARLY - self._clock(), 0) / 1e6)
        until = self._steady() + within
        while True:
            words = await self._words(name, others, until - self._steady())
            none = len(words) == len(others) and all(
                told.status == Word.NONE.value for told in words.values()
            )
            tokens = {member: told.incarnation_token for member, told in words.items()}
            lives = {member: told.recorded_tokens for member, told in words.items()}
            if none and not self._gone and self.members.incarnations_agreed(tokens, lives):
                for member in others:
                    self.ledger.answered(operation, member, operations.Told(Word.NONE))
                break
            if not none or self._gone or self._steady() >= until - POLL:
                break
            await anyio.sleep(POLL)  # they have not all heard of each other's lives yet
        if not self.ledger.under_way(operation):
            return False
        if operation.cleared:
            return True
        known = await self._settle(operation, words, others, deadline)
        if operation.cleared:
            return self.ledger.under_way(operation)
        under_way = [member for member, told in words.items() if told.status == Word.OPEN.value]
        if known is None and under_way:
            # Both have their intents down: this one steps back, and tells what becomes of the other.
            self._end(operation, RecordState.NOT_EXECUTED)
            while known is None and under_way and self._clock() < deadline - EARLY - POLL * 1e6:
                await anyio.sleep(POLL)
                words = await self._words(name, under_way, POLL * 4)
                known = _ended(words)
                under_way = [
                    member
                    for member in under_way
                    if member not in words or words[member].status == Word.OPEN.value
                ]
        answer = self._told(known) if known else failed()
        served = known is not None and known.word is Word.SERVED and known.answer is not None
        self._front.conclude(request, answer, Final.SERVED if served else Final.FAILED)
        return False

    async def _find_out(self, request: str, operation: Operation, deadline: int) -> None:
        """Give a request what others know of its operation, which is not to be begun here."""
        self._end(operation, RecordState.NOT_EXECUTED)
        known = await self._known_elsewhere(operation.name, deadline)
        served = known is not None and known.word is Word.SERVED and known.answer is not None
        self._front.conclude(
            request, self._told(known) if known else failed(), Final.SERVED if served else Final.FAILED
        )

    async def _look_up(self, name: str, one: _Try, deadline: int) -> None:
        """The same for a try that came while no unsafe work is taken here."""
        known = await self._known_elsewhere(name, deadline)
        one.tell(self._told(known) if known else failed())

    async def _known_elsewhere(self, name: str, deadline: int) -> operations.Told | None:
        """How an operation ended, by the others' word and what is held for those that cannot tell."""
        others, within = list(self._lines), min(self.rules.waits.ask, self._left(deadline))
        words = await self._words(name, others, within)
        silent = [self._name, *_silent(words, others), *self._gone]
        return _best([_ended(words), *await self._read(name, silent, False, deadline)])

    async def _read(
        self, name: str, owners: list[str], fence: bool, deadline: int
    ) -> list[operations.Told | None]:
        """What the holders of these owners' records say of an operation, all read at once."""
        found: list[operations.Told | None] = [None] * len(owners)
        if self.copies is None or not owners:
            return found
        within = min(self.rules.waits.ask, self._left(deadline))

        async def read(place: int, owner: str) -> None:
            assert self.copies
            found[place] = await self.copies.fenced_read(
                owner, name, fence, within, partial(self._sure, owner)
            )

        async with anyio.create_task_group() as group:
            for place, owner in enumerate(owners):
                group.start_soon(read, place, owner)
        return found

    async def _settle(
        self, operation: Operation, words: dict[str, PeerOperationStatus], others: list[str], deadline: int
    ) -> operations.Told | None:
        """How it ended by the words and by what those who cannot tell have left at their holders.

        `cleared` where nobody can have run it.
        """
        known, silent = _ended(words), _silent(words, others)
        if known is not None:
            # Danger: one that failed here may have been served by another, who is gone and has left copies.
            if known.word is Word.SERVED:
                return known
            return _best([known, *await self._read(operation.name, silent + self._gone, False, deadline)])
        none = {member: told for member, told in words.items() if told.status == Word.NONE.value}
        if (
            self.copies is None
            or len(none) + len(silent) < len(others)
            or not self.members.no_stale_peers
            or (
                not self.members.incarnations_agreed(
                    {member: told.incarnation_token for member, told in none.items()},
                    {member: told.recorded_tokens for member, told in none.items()},
                )
            )
        ):
            return None
        read = await self._read(operation.name, silent + self._gone, True, deadline)
        if any(told is None or told.word is not Word.NONE for told in read):
            return _best(read)
        operation.cleared = not self.ledger.doubt or operation.vouched
        return None

    async def _own_past(self, request: str, operation: Operation, deadline: int) -> bool:
        """With a record that proves nothing: whether one's own holders know nothing of an operation either.

        Asked before the present intent goes to them; nobody else writes under this member's name.
        """
        (told,) = await self._read(operation.name, [self._name], False, deadline)
        operation.vouched = told is not None and told.word is Word.NONE
        if not operation.vouched:
            # Danger: an earlier try here may have failed and one elsewhere have been served.
            await self._find_out(request, operation, deadline)
        return operation.vouched

    def _left(self, deadline: int) -> float:
        """Seconds until a request has to be given up."""
        return max(deadline - EARLY - self._clock(), 0) / 1e6

    def _sure(self, owner: str) -> bool:
        return self._whole(owner) and self.members.no_stale_peers

    async def _words(self, name: str, members: list[str], within: float) -> dict[str, PeerOperationStatus]:
        found: dict[str, PeerOperationStatus] = {}
        missing = set(members)
        all_there = anyio.Event()
        if not members:
            return found

        def told(member: str, word: PeerOperationStatus | None) -> None:
            if word is None and self.members.peers[member].state is not MemberState.DEAD:
                lost.append(member)  # it may be on its way up
                return
            missing.discard(member)
            if word is not None:
                found[member] = word
            if not missing or (word is not None and word.status == Word.SERVED.value):
                all_there.set()

        lost = list(members)
        with anyio.move_on_after(within):
            while not all_there.is_set():
                again, lost = lost, []
                for member in again:
                    self._lines[member].query_status(name, partial(told, member))
                with anyio.move_on_after(POLL if lost else None):
                    await all_there.wait()
        return found

    def attempted(self, request: str, ending: Ending) -> None:
        """An attempt has ended, also one whose request is done."""
        operation = self._operations.get(request)
        if operation is None:
            return
        if isinstance(ending.answer, Row):
            self._end(operation, RecordState.SERVED, ending.answer.data)
        elif not ending.outcome.never_ran:
            operation.may_have_run = True

    def finish(self, request: str, answer: bytes, end: Final, client: Waiting, over: bool) -> None:
        """A request's final answer: given at once, but for an unsafe one's that was served, once on disk.

        `over`: none of its attempts is out.
        """
        one, operation = _Try(client, request), self._operations.get(request)
        if operation is None:
            one.tell(answer)
            return
        if over:
            del self._operations[request]
        under_way = self.ledger.under_way(operation)
        if end is Final.SERVED:
            if under_way:
                operation.waiting.insert(0, one)
                self._end(operation, RecordState.SERVED, answer[: -len(READY)])
            else:
                one.tell(answer)
                self._tell(operation, answer)  # it was served elsewhere
            return
        if end is Final.REFUSED and operation.ask and not operation.cleared:
            answer = failed()  # an earlier try may have run at another member
        if under_way:
            ran = end is Final.FAILED and operation.written
            self._end(operation, RecordState.FAILED if ran else RecordState.NOT_EXECUTED)
        one.tell(answer)
        self._tell(operation, answer)

    def closed(self, request: str) -> None:
        """A request is over with all its attempts."""
        operation = self._operations.pop(request, None)
        if operation and self.ledger.under_way(operation):  # its client left before it had an end
            self._end(operation, RecordState.FAILED if operation.may_have_run else RecordState.NOT_EXECUTED)
            self._tell(operation, failed())

    def _end(self, operation: Operation, state: RecordState, answer: bytes | None = None) -> None:
        if not self.ledger.under_way(operation):
            return
        ticket = self.ledger.end(operation, state, answer)
        given = None if answer is None else answer + READY
        copied = self.copies is not None and ticket > 0
        if self.copies and copied and state is not RecordState.SERVED:
            self.copies.write_in_background(ReplicaUpdate(state, operation.name))

        def on_disk(good: bool) -> None:
            more = self.ledger.done(operation) if good else 0
            if more:
                self.disk.when_durable(more, on_disk)
                self.disk.wake()
            elif given is not None and copied and self.group:
                self.group.start_soon(self._copied, operation, answer, given)
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
        assert self.copies
        kept = answer if answer is not None and len(answer) <= self.rules.store.answer_bytes else None
        item = ReplicaUpdate(RecordState.SERVED, operation.name, kept)
        # Settled by others meanwhile, it was told to have perhaps run: that is what this client is told too.
        good = await self.copies.quorum_write(item, lambda: self._clock() >= operation.until, {})
        self._tell(operation, given if good else failed())

    def _tell(self, operation: Operation, answer: bytes) -> None:
        waiting, operation.waiting = operation.waiting, []
        for one in waiting:
            one.tell(answer)
