"""Operations that must not run twice: intents before anything is sent, ends after, and what is told of both.

No I/O and no clock. An operation is what a client names, over all its tries. The rule that all rests on: an
intent is on disk before the first byte goes to a server, and an intent without an end may have run, for ever.
So no intent in a whole record proves that its owner never sent it. Where a client may have asked another
member before, that member is asked too, after the own intent is on disk: two members that are given the same
operation at once each have their intent down before they ask, so at least one of them hears of the other.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from frostfall.storage.record_index import pack_location, unpack_location
from frostfall.storage.segment_codec import Record, RecordState
from frostfall.storage.write_ahead_log import WriteAheadLog, operation_key

MAX_NAME_BYTES = 180  # bytes of an operation's name; a copy's has its owner's, of 64 at most, before it
MAX_DISCLAIMED_NAMES = (
    100_000  # names told to be unknown here; past that, others are asked about every operation
)
ANSWER_KEPT, ANSWER_OMITTED = 0, 1  # whether an answer is kept whole
HAS_AGE = 2  # a flag: brought by repair, and the last four bytes say how many seconds old it was by then

FindRecord = Callable[[int, Callable[[bytes], bool]], tuple[RecordState, bytes, int] | None]


def encode_payload(name: str, answer: bytes | None = b"", age: int = 0) -> bytes:
    """What stands in an operation's record; None: the answer was too long to be kept."""
    raw = name.encode()
    flags = (ANSWER_KEPT if answer is not None else ANSWER_OMITTED) | (HAS_AGE if age else 0)
    return bytes([len(raw), flags]) + raw + (answer or b"") + (age.to_bytes(4, "little") if age else b"")


def decode_name(data: bytes) -> str:
    """The name in a record's payload."""
    return data[2 : 2 + data[0]].decode("utf-8", "replace")


def decode_answer(data: bytes) -> bytes | None:
    """The answer in a record's payload; None where it was not kept."""
    return (
        None if data[1] & ANSWER_OMITTED else data[2 + data[0] : len(data) - (4 if data[1] & HAS_AGE else 0)]
    )


def decode_age(data: bytes) -> int:
    """Seconds of running that an operation was old when it was brought here; 0 where it began here."""
    return int.from_bytes(data[-4:], "little") if data[1] & HAS_AGE else 0


class OperationStatus(Enum):
    """What a member says of an operation."""

    ABSENT = "none"  # it has no record of it, its record is whole, and it will not begin it any more
    IN_PROGRESS = "open"  # it is at work on it, or may be
    SERVED = "served"
    FAILED = "failed"  # it may have run
    INDETERMINATE = "unsure"  # it has no record of it, and its record proves nothing


@dataclass(slots=True)
class OperationResult:
    """A word, with the answer where there is one."""

    status: OperationStatus
    answer: bytes | None = None


class AdmissionDecision(Enum):
    """What to do with a try at an operation."""

    START = "new"  # nobody can have tried it before
    POLL_PEERS = "ask"  # others are to be asked before anything is sent
    JOIN = "join"  # it is under way here: the same end is for this try too
    REPLAY = "told"  # it has ended
    RETRY = "again"  # it ended without having run, a moment ago: harmless to come again


@dataclass(slots=True)
class Operation:
    """One that is under way here."""

    name: str
    key: int
    needs_poll: bool  # whether others are to be asked
    confirmed_absent: bool = False  # nobody can have run it
    replicated: bool = True  # enough others have the intent on disk
    acknowledged_by: dict[str, str] = field(default_factory=dict)  # by whom, with the tokens of their lives
    fenced: bool = False  # a holder refuses it: others have settled it as never begun here
    vouched_by_replicas: bool = (
        False  # where the own record proves nothing, its copies have been asked instead
    )
    intent_ticket: int = 0  # of the intent; 0 before there is one
    unanswered_members: set[str] = field(default_factory=set)  # members that have not answered yet
    end_state: RecordState | None = None
    answer: bytes | None = None
    end_ticket: int = 0  # of the end's record; 0 while there is none
    client_deadline: int = 0  # microseconds of the owner's clock: when its client stops waiting
    dispatched: bool = False  # an attempt was let go out
    may_have_run: bool = False  # an attempt has ended without proof that it never ran
    waiters: list[Any] = field(default_factory=list)  # the owner's: whom to tell the end

    @property
    def may_dispatch(self) -> bool:
        """Whether all but the intent's sync allows a write."""
        return self.end_state is None and self.replicated and (self.confirmed_absent or not self.needs_poll)


class OperationLog:
    """What one agent knows of operations."""

    def __init__(
        self,
        journal: WriteAheadLog,
        find_record: FindRecord,
        retries_marked: bool,
        max_answer_bytes: int = 4096,
        replicated: bool = False,
    ) -> None:
        """`look` finds in the log; `marked`: clients mark all tries but an operation's first.

        `copied`: others keep copies of intents, and a write waits for them.
        """
        self.journal, self._look, self.retries_marked, self._answer_most = (
            journal,
            find_record,
            retries_marked,
            max_answer_bytes,
        )
        self._copied = replicated
        self.in_progress: dict[str, Operation] = {}
        self.disclaimed: dict[str, None] = {}  # told to be unknown here, in this life
        self.lost: dict[str, int] = {}  # open when an earlier life ended, with their places
        self.incomplete_reason = ""  # why the record proves nothing of what it does not hold

    # ---- a start -----------------------------------------------------------------------------------

    def recover_open_operations(
        self, read_payload: Callable[[int, int], bytes], claim_replica: Callable[[str], bool]
    ) -> int:
        """End what was open when the last life ended, as lost; how many that were.

        `read` gives the payload at a segment and offset. It is on disk with this life's first write, which
        begins a segment: see `carried`. `copies` takes the names of open copies of others, which are not
        this member's to settle.
        """
        count = 0
        for _, place in list(self.journal.index.items()):
            segment, offset, state = unpack_location(place)
            if state not in (RecordState.OPEN, RecordState.OUTCOME_UNKNOWN):
                continue
            data = read_payload(segment, offset)
            if state is RecordState.OPEN and claim_replica(decode_name(data)):
                continue
            self.lost[decode_name(data)] = place
            count += state is RecordState.OPEN
        return count

    def checkpoint_records(self) -> Iterable[Record]:
        """Records that a new segment begins with: what is open, and what is lost for ever."""
        for name, operation in self.in_progress.items():
            # Danger: an intent that still waits to be written would stand twice, its end replace one only.
            if 0 < operation.intent_ticket <= self.journal.durable_ticket and operation.end_state is None:
                yield Record(
                    RecordState.OPEN, operation.key, encode_payload(name), self._place(name, operation.key)
                )
        for name in self.lost:
            key = operation_key(name)
            yield Record(RecordState.OUTCOME_UNKNOWN, key, encode_payload(name), self._place(name, key))

    def _place(self, name: str, key: int) -> int:
        """The place of a name on disk, 0 where it has none."""
        places = self.journal.find_locations(key)
        if not places:
            return 0
        if len(places) == 1:
            return pack_location(*places[0])
        found = self._look(key, lambda data: decode_name(data) == name)
        return found[2] if found else 0

    # ---- tries -------------------------------------------------------------------------------------

    def lookup(self, name: str) -> OperationResult | None:
        """What is known of an operation here, if anything; OSError or ValueError where the log fails."""
        if operation := self.in_progress.get(name):
            if operation.end_state is RecordState.SERVED:
                return OperationResult(OperationStatus.SERVED, operation.answer)
            return OperationResult(
                OperationStatus.FAILED
                if operation.end_state is RecordState.FAILED
                else OperationStatus.IN_PROGRESS
            )
        if name in self.lost:
            return OperationResult(OperationStatus.FAILED)
        found = self._look(operation_key(name), lambda data: decode_name(data) == name)
        if found is None:
            return None
        if found[0] is RecordState.SERVED:
            return OperationResult(OperationStatus.SERVED, decode_answer(found[1]))
        return OperationResult(OperationStatus.FAILED)

    def admit(self, name: str, is_retry: bool) -> tuple[AdmissionDecision, OperationResult | None]:
        """A client's try at an operation: what to do with it, and what is known where it has ended."""
        if (operation := self.in_progress.get(name)) and operation.end_state is RecordState.NOT_EXECUTED:
            return AdmissionDecision.RETRY, None
        told = self.lookup(name)
        if told is None:
            ask = is_retry or not self.retries_marked or name in self.disclaimed
            self.in_progress[name] = Operation(name, operation_key(name), ask, replicated=not self._copied)
            return (AdmissionDecision.POLL_PEERS if ask else AdmissionDecision.START), None
        return (
            AdmissionDecision.JOIN if told.status is OperationStatus.IN_PROGRESS else AdmissionDecision.REPLAY
        ), told

    def record_intent(self, operation: Operation) -> int:
        """Write the intent down; the ticket to wait for before anything is sent."""
        if not operation.intent_ticket:
            record = Record(RecordState.OPEN, operation.key, encode_payload(operation.name))
            operation.intent_ticket = self.journal.append(record)
        return operation.intent_ticket

    def may_dispatch(self, operation: Operation) -> bool:
        """Whether a server may be sent this now: its intent is on disk, and nobody else can have run it."""
        return (
            operation.may_dispatch
            and 0 < operation.intent_ticket <= self.journal.durable_ticket
            and not self.journal.failure_reason
        )

    def is_in_progress(self, operation: Operation) -> bool:
        """Whether this is the one of its name, and has not ended."""
        return operation.end_state is None and self.in_progress.get(operation.name) is operation

    def record_end(self, operation: Operation, state: RecordState, answer: bytes | None = None) -> int:
        """An operation under way has ended: the ticket to wait for before `done`, 0 where none is kept.

        `state` is SERVED with its answer, FAILED where it may have run, NEVER where it provably never did.
        """
        operation.end_state, operation.answer = state, answer
        if not operation.intent_ticket:
            del self.in_progress[operation.name]
            return 0
        if operation.intent_ticket <= self.journal.durable_ticket:
            self._write_end(operation)
        return operation.end_ticket or operation.intent_ticket

    def end_durable(self, operation: Operation) -> int:
        """The ticket of `end` is on disk: one more to wait for, or 0 once the log answers for all of it."""
        if not operation.end_ticket:  # its intent was still on its way to the disk
            self._write_end(operation)
            return operation.end_ticket
        if self.in_progress.get(operation.name) is operation:
            del self.in_progress[operation.name]
        return 0

    def _write_end(self, operation: Operation) -> None:
        name, state, answer = operation.name, operation.end_state, operation.answer
        assert state is not None
        kept = answer if answer is not None and len(answer) <= self._answer_most else None
        data = encode_payload(name, kept if state is RecordState.SERVED else b"")
        place = self._place(name, operation.key)
        operation.end_ticket = self.journal.append(Record(state, operation.key, data, place))

    def restore_from_replica(
        self, state: RecordState, name: str, answer: bytes | None, age: int
    ) -> int | None:
        """Take back one's own operation from a copy; the ticket to wait for, 0 where nothing was lacking.

        One that may have run is to be handed to `restored` once that is on disk. None: not just now.
        """
        if name in self.in_progress:
            return None  # Danger: a try that has no intent yet leaves nothing behind when it ends
        key, found = (
            operation_key(name),
            self._look(operation_key(name), lambda data: decode_name(data) == name),
        )
        place = found[2] if found else 0
        if state is RecordState.SERVED:
            if found and found[0] is RecordState.SERVED:
                return 0
            self.lost.pop(name, None)
            return self.journal.append(
                Record(RecordState.SERVED, key, encode_payload(name, answer, age), place)
            )
        if found or state is RecordState.FENCED or name in self.lost:
            return 0
        # An open copy is of an earlier life, as what is under way now was passed by above.
        return self.journal.append(
            Record(
                RecordState.OUTCOME_UNKNOWN if state is RecordState.OPEN else RecordState.FAILED,
                key,
                encode_payload(name, b"", age),
            )
        )

    def restore_durable(self, name: str) -> None:
        """An operation that may have run has been taken back: it is lost for ever, as after a power loss."""
        key = operation_key(name)
        found = self._look(key, lambda data: decode_name(data) == name)
        if found and found[0] is RecordState.OUTCOME_UNKNOWN:
            self.lost[name] = found[2]

    # ---- between members ---------------------------------------------------------------------------

    def answer_poll(self, name: str) -> OperationResult:
        """Another member asks, with its own intent on disk."""
        operation = self.in_progress.get(name)
        if operation and operation.end_state is None and not operation.intent_ticket:
            # Begun here, and nothing is down yet: it is given away, and has to ask before it goes on.
            operation.needs_poll, operation.confirmed_absent = True, False
        elif not (operation and operation.end_state is RecordState.NOT_EXECUTED):
            told = self.lookup(name)
            if told is not None:
                return told
        if self.retries_marked:  # else all are asked about all
            # Danger: a first try may still lie unread in a buffer here. Once this member has said that it
            # knows nothing of the operation, it must not begin it without asking.
            self.disclaimed[name] = None
            if len(self.disclaimed) > MAX_DISCLAIMED_NAMES:
                self.poll_for_all()
        return OperationResult(
            OperationStatus.INDETERMINATE if self.incomplete_reason else OperationStatus.ABSENT
        )

    def poll_for_all(self) -> None:
        """From now on, in this life, others are asked before any operation is begun."""
        self.retries_marked = False
        self.disclaimed.clear()
        for operation in self.in_progress.values():
            operation.needs_poll = operation.needs_poll or (
                operation.end_state is None and not operation.dispatched
            )

    def start_poll(self, operation: Operation, members: Iterable[str]) -> None:
        """These members are asked now."""
        operation.unanswered_members = set(members)
        if not operation.unanswered_members:
            operation.confirmed_absent = not self.incomplete_reason

    def record_poll_answer(self, operation: Operation, member: str, result: OperationResult) -> None:
        """A member has answered: with the last NONE of all, nobody can have run it."""
        if (
            result.status is OperationStatus.ABSENT
            and member in operation.unanswered_members
            and operation.end_state is None
        ):
            operation.unanswered_members.discard(member)
            operation.confirmed_absent = not operation.unanswered_members and (
                not self.incomplete_reason or operation.vouched_by_replicas
            )
