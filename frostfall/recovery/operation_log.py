"""Write-ahead record of operations that must not run twice: intents, ends, and what other members are told.

No I/O and no clock. An operation is what a client names, across all its attempts. The invariant: an intent
is durable before the first byte goes to a server, and an intent without an end may have run. So the absence
of an intent from a complete record proves that its owner never sent the operation. Where a client may have
used another member before, that member is polled too, after the intent here is durable: of two members that
are given the same operation at once, at least one learns of the other.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple, Protocol

from frostfall.recovery.completeness import IncompleteReason
from frostfall.storage.record_index import pack_location, unpack_location
from frostfall.storage.segment_codec import Record, RecordState
from frostfall.storage.write_ahead_log import WriteAheadLog, operation_key

MAX_NAME_BYTES = (
    180  # bytes of an operation's name; a replica's is prefixed with its owner's name, 64 at most
)
MAX_DISCLAIMED_NAMES = 100_000  # names; beyond them, other members are polled about every operation
ANSWER_KEPT = 0  # flag of a payload: the answer is stored in full
ANSWER_OMITTED = 1  # flag of a payload: the answer was too long to be stored
HAS_AGE = 2  # flag of a payload: restored from a replica, its age is appended
AGE_BYTES = 4  # bytes, little-endian: seconds
HEADER_BYTES = 2  # bytes: length of the name, flags

FindRecord = Callable[[int, Callable[[bytes], bool]], tuple[RecordState, bytes, int] | None]


def encode_payload(name: str, answer: bytes | None = b"", age: int = 0) -> bytes:
    """Encode the payload of an operation's record.

    `answer` is None where it was too long to be stored; `age` is in seconds, 0 for an operation begun here.
    """
    raw_name = name.encode()
    flags = ANSWER_OMITTED if answer is None else ANSWER_KEPT
    suffix = b""
    if age:
        flags |= HAS_AGE
        suffix = age.to_bytes(AGE_BYTES, "little")
    return bytes([len(raw_name), flags]) + raw_name + (answer or b"") + suffix


def decode_name(data: bytes) -> str:
    """The operation's name in a payload."""
    return data[HEADER_BYTES : HEADER_BYTES + data[0]].decode("utf-8", "replace")


def decode_answer(data: bytes) -> bytes | None:
    """The answer in a payload; None where it was too long to be stored."""
    if data[1] & ANSWER_OMITTED:
        return None
    end = len(data) - AGE_BYTES if data[1] & HAS_AGE else len(data)
    return data[HEADER_BYTES + data[0] : end]


def decode_age(data: bytes) -> int:
    """Running time in seconds that an operation was old when it was restored; 0 where it began here."""
    return int.from_bytes(data[-AGE_BYTES:], "little") if data[1] & HAS_AGE else 0


class OperationStatus(Enum):
    """What a member reports of an operation."""

    ABSENT = "none"  # its record is complete and lacks the operation, and the member will not begin it
    IN_PROGRESS = "open"  # the member executes it, or may do so
    SERVED = "served"
    FAILED = "failed"  # it may have run
    INDETERMINATE = "unsure"  # the record lacks the operation, but is incomplete


@dataclass(slots=True)
class OperationResult:
    """The status of an operation, with the answer where it is stored."""

    status: OperationStatus
    answer: bytes | None = None

    @property
    def is_answered(self) -> bool:
        """Whether the operation was served and its answer can be given again."""
        return self.status is OperationStatus.SERVED and self.answer is not None


class AdmissionDecision(Enum):
    """What to do with an attempt at an operation."""

    START = "new"  # no other member can have been asked before
    POLL_PEERS = "ask"  # the other members are polled before anything is sent
    JOIN = "join"  # in progress here: its end answers this attempt too
    REPLAY = "told"  # ended: its result is given again
    RETRY = "again"  # ended without having run, a moment ago: a retry is harmless


class Admission(NamedTuple):
    """The decision on an attempt, and the result where the operation is known."""

    decision: AdmissionDecision
    result: OperationResult | None = None


class OperationWaiter(Protocol):
    """Whoever waits for the end of an operation."""

    def notify(self, answer: bytes) -> None:
        """Receive the final answer."""


@dataclass(slots=True)
class Operation:
    """An operation in progress here."""

    name: str
    key: int
    needs_poll: bool  # whether the other members are to be polled
    confirmed_absent: bool = False  # no other member can have run it
    replicated: bool = True  # enough replica holders have the intent on disk
    acknowledged_by: dict[str, str] = field(default_factory=dict)  # holder to the token of its incarnation
    fenced: bool = False  # a holder rejects it: other members have settled it as never begun here
    vouched_by_replicas: bool = False  # the record is incomplete, but the own replicas lack the operation
    intent_ticket: int = 0  # log ticket of the intent; 0 before it is written
    unanswered_members: set[str] = field(default_factory=set)  # members polled that have not answered yet
    end_state: RecordState | None = None
    answer: bytes | None = None
    end_ticket: int = 0  # log ticket of the end; 0 before it is written
    client_deadline: int = 0  # microseconds of the owner's clock at which its client stops waiting
    dispatched: bool = False  # an attempt was allowed to be sent
    may_have_run: bool = False  # an attempt ended without proof that it never ran
    waiters: list[OperationWaiter] = field(default_factory=list)

    @property
    def may_dispatch(self) -> bool:
        """Whether everything but the durability of the intent allows an attempt to be sent."""
        return self.end_state is None and self.replicated and (self.confirmed_absent or not self.needs_poll)


class _StoredOperation(NamedTuple):
    """An operation's record in the log."""

    state: RecordState
    payload: bytes
    location: int  # packed


class OperationLog:
    """The operations that one member knows: those in progress, and those that have ended in its log."""

    def __init__(
        self,
        wal: WriteAheadLog,
        find_record: FindRecord,
        retries_marked: bool,
        max_answer_bytes: int = 4096,
        replicated: bool = False,
    ) -> None:
        """`find_record` reads the log; it raises OSError or ValueError where the log cannot be read.

        `retries_marked`: clients mark each attempt after an operation's first as a retry. `replicated`: other
        members hold replicas of intents, and an attempt waits for them.
        """
        self._wal = wal
        self.retries_marked = retries_marked
        self._find_record = find_record
        self._max_answer_bytes = max_answer_bytes
        self._replicated = replicated
        self.in_progress: dict[str, Operation] = {}
        self.disclaimed: dict[str, None] = {}  # reported as absent in this incarnation, in order
        self.lost: dict[str, int] = {}  # open when an earlier incarnation ended, to their locations
        self.incomplete_reason: IncompleteReason | None = None

    # ---- startup -----------------------------------------------------------------------------------

    def recover_open_operations(
        self, read_payload: Callable[[int, int], bytes], claim_replica: Callable[[str], bool]
    ) -> int:
        """Mark operations left open by earlier incarnations as lost; return how many are newly lost.

        `read_payload` gives the payload at a segment and offset. `claim_replica` is given the name of each
        open record and returns whether it is another member's, which is not settled here. The outcome becomes
        durable with this incarnation's first write, which begins a segment: see `checkpoint_records`.
        """
        newly_lost = 0
        for _, location in list(self._wal.index.items()):
            segment, offset, state = unpack_location(location)
            if state not in (RecordState.OPEN, RecordState.OUTCOME_UNKNOWN):
                continue
            name = decode_name(read_payload(segment, offset))
            if state is RecordState.OPEN and claim_replica(name):
                continue
            self.lost[name] = location
            if state is RecordState.OPEN:
                newly_lost += 1
        return newly_lost

    def checkpoint_records(self) -> Iterable[Record]:
        """Records that a new segment begins with: open operations, and those with a lost outcome."""
        for name, operation in self.in_progress.items():
            # An intent still queued for writing must not be repeated here: its end would replace only one.
            if 0 < operation.intent_ticket <= self._wal.durable_ticket and operation.end_state is None:
                location = self._location(name, operation.key)
                yield Record(RecordState.OPEN, operation.key, encode_payload(name), location)
        for name in self.lost:
            key = operation_key(name)
            location = self._location(name, key)
            yield Record(RecordState.OUTCOME_UNKNOWN, key, encode_payload(name), location)

    def _find(self, name: str, key: int) -> _StoredOperation | None:
        found = self._find_record(key, lambda data: decode_name(data) == name)
        return None if found is None else _StoredOperation(*found)

    def _location(self, name: str, key: int) -> int:
        """The packed location of an operation's record; 0 where it has none."""
        locations = self._wal.find_locations(key)
        if not locations:
            return 0
        if len(locations) == 1:
            return pack_location(*locations[0])
        found = self._find(name, key)
        return found.location if found else 0

    # ---- attempts ----------------------------------------------------------------------------------

    def lookup(self, name: str) -> OperationResult | None:
        """What is known of an operation here, if anything; OSError or ValueError where the log fails."""
        if operation := self.in_progress.get(name):
            if operation.end_state is RecordState.SERVED:
                return OperationResult(OperationStatus.SERVED, operation.answer)
            if operation.end_state is RecordState.FAILED:
                return OperationResult(OperationStatus.FAILED)
            return OperationResult(OperationStatus.IN_PROGRESS)
        if name in self.lost:
            return OperationResult(OperationStatus.FAILED)
        found = self._find(name, operation_key(name))
        if found is None:
            return None
        if found.state is RecordState.SERVED:
            return OperationResult(OperationStatus.SERVED, decode_answer(found.payload))
        return OperationResult(OperationStatus.FAILED)

    def admit(self, name: str, is_retry: bool) -> Admission:
        """Decide what to do with a client's attempt; OSError or ValueError where the log fails."""
        operation = self.in_progress.get(name)
        if operation and operation.end_state is RecordState.NOT_EXECUTED:
            return Admission(AdmissionDecision.RETRY)
        result = self.lookup(name)
        if result is None:
            needs_poll = is_retry or not self.retries_marked or name in self.disclaimed
            self.in_progress[name] = Operation(
                name, operation_key(name), needs_poll, replicated=not self._replicated
            )
            return Admission(AdmissionDecision.POLL_PEERS if needs_poll else AdmissionDecision.START)
        if result.status is OperationStatus.IN_PROGRESS:
            return Admission(AdmissionDecision.JOIN, result)
        return Admission(AdmissionDecision.REPLAY, result)

    def record_intent(self, operation: Operation) -> int:
        """Append the intent; return the log ticket to wait for before anything is sent."""
        if not operation.intent_ticket:
            record = Record(RecordState.OPEN, operation.key, encode_payload(operation.name))
            operation.intent_ticket = self._wal.append(record)
        return operation.intent_ticket

    def may_dispatch(self, operation: Operation) -> bool:
        """Whether an attempt may be sent: the intent is durable, and no other member can have run it."""
        return (
            operation.may_dispatch
            and 0 < operation.intent_ticket <= self._wal.durable_ticket
            and not self._wal.failure_reason
        )

    def is_in_progress(self, operation: Operation) -> bool:
        """Whether this is the current operation of its name, and has not ended."""
        return operation.end_state is None and self.in_progress.get(operation.name) is operation

    def record_end(self, operation: Operation, state: RecordState, answer: bytes | None = None) -> int:
        """End an operation in progress; return the ticket to wait for before `end_durable`, 0 for none.

        `state` is SERVED with its answer, FAILED where it may have run, NOT_EXECUTED where it provably never
        did.
        """
        operation.end_state = state
        operation.answer = answer
        if not operation.intent_ticket:
            del self.in_progress[operation.name]
            return 0
        if operation.intent_ticket <= self._wal.durable_ticket:
            self._append_end(operation, state)
        return operation.end_ticket or operation.intent_ticket

    def end_durable(self, operation: Operation) -> int:
        """The ticket of `record_end` is durable; return one more to wait for, 0 once the end is durable."""
        if not operation.end_ticket and operation.end_state is not None:
            # the ticket was the intent's, which was still queued when the operation ended
            self._append_end(operation, operation.end_state)
            return operation.end_ticket
        if self.in_progress.get(operation.name) is operation:
            del self.in_progress[operation.name]
        return 0

    def _append_end(self, operation: Operation, state: RecordState) -> None:
        stored_answer: bytes | None = b""
        if state is RecordState.SERVED:
            stored_answer = self._storable(operation.answer)
        data = encode_payload(operation.name, stored_answer)
        location = self._location(operation.name, operation.key)
        operation.end_ticket = self._wal.append(Record(state, operation.key, data, location))

    def _storable(self, answer: bytes | None) -> bytes | None:
        return answer if answer is not None and len(answer) <= self._max_answer_bytes else None

    def restore_from_replica(
        self, state: RecordState, name: str, answer: bytes | None, age: int
    ) -> int | None:
        """Restore an own operation from a replica; return the ticket to wait for, 0 where none was missing.

        One that may have run is to be passed to `restore_durable` once that is durable. None: it cannot be
        restored now, because an attempt is in progress. `age` is in seconds.
        """
        if name in self.in_progress:
            return None  # an attempt without an intent leaves nothing in the log when it ends
        key = operation_key(name)
        found = self._find(name, key)
        if state is RecordState.SERVED:
            if found and found.state is RecordState.SERVED:
                return 0
            self.lost.pop(name, None)
            data = encode_payload(name, answer, age)
            return self._wal.append(Record(state, key, data, found.location if found else 0))
        if found or state is RecordState.FENCED or name in self.lost:
            return 0
        # An open replica is of an earlier incarnation: operations in progress here were skipped above.
        restored = RecordState.OUTCOME_UNKNOWN if state is RecordState.OPEN else RecordState.FAILED
        return self._wal.append(Record(restored, key, encode_payload(name, b"", age)))

    def restore_durable(self, name: str) -> None:
        """A restored operation is durable; one that may have run counts as lost, as after a power loss."""
        found = self._find(name, operation_key(name))
        if found and found.state is RecordState.OUTCOME_UNKNOWN:
            self.lost[name] = found.location

    # ---- polls between members ---------------------------------------------------------------------

    def answer_poll(self, name: str) -> OperationResult:
        """Answer another member's poll; its own intent is durable. OSError or ValueError: the log fails."""
        operation = self.in_progress.get(name)
        if operation and operation.end_state is None and not operation.intent_ticket:
            # Admitted here without an intent yet: it yields, and has to poll before it goes on.
            operation.needs_poll = True
            operation.confirmed_absent = False
        elif not (operation and operation.end_state is RecordState.NOT_EXECUTED):
            result = self.lookup(name)
            if result is not None:
                return result
        if self.retries_marked:  # otherwise all operations are polled for anyway
            # A first attempt may still be unread in a socket buffer here. Once this member has reported the
            # operation as absent, it must not begin it without a poll of its own.
            self.disclaimed[name] = None
            if len(self.disclaimed) > MAX_DISCLAIMED_NAMES:
                self.poll_for_all()
        if self.incomplete_reason:
            return OperationResult(OperationStatus.INDETERMINATE)
        return OperationResult(OperationStatus.ABSENT)

    def poll_for_all(self) -> None:
        """For the rest of this incarnation, poll the other members before any operation is begun."""
        self.retries_marked = False
        self.disclaimed.clear()
        for operation in self.in_progress.values():
            if operation.end_state is None and not operation.dispatched:
                operation.needs_poll = True

    def start_poll(self, operation: Operation, members: Iterable[str]) -> None:
        """These members are being polled."""
        operation.unanswered_members = set(members)
        if not operation.unanswered_members:
            operation.confirmed_absent = self.incomplete_reason is None

    def record_poll_answer(self, operation: Operation, member: str, result: OperationResult) -> None:
        """A member has answered: once all report ABSENT, no member can have run the operation."""
        if result.status is not OperationStatus.ABSENT or operation.end_state is not None:
            return
        if member not in operation.unanswered_members:
            return
        operation.unanswered_members.discard(member)
        own_record_counts = self.incomplete_reason is None or operation.vouched_by_replicas
        operation.confirmed_absent = not operation.unanswered_members and own_record_counts
