"""Write-ahead record of operations that must not run twice: their intents, ends and status polls.

The module does no I/O and reads no clock. An operation is identified by the name that its client gives it,
and spans all attempts under that name. The invariant: an intent is durable before the first byte is sent to
a server, and an operation with an intent but no end may have run. The absence of an intent from a complete
record therefore proves that its owner never sent the operation. Where a client may have used another member
before, that member is polled as well, after the local intent is durable. When two members receive the same
operation concurrently, at least one of them therefore detects the other.
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

MAX_NAME_BYTES = 180  # bytes; a replica's stored name adds its owner's name, of at most 64 bytes, as a prefix
MAX_REPORTED_ABSENT = 100_000  # names; above this limit, members are polled about every operation
ANSWER_STORED = 0  # payload flag: the answer is stored in full
ANSWER_OMITTED = 1  # payload flag: the answer was too long to be stored
HAS_AGE = 2  # payload flag: the operation was restored from a replica, and its age is appended
AGE_BYTES = 4  # bytes of the age, which is in seconds and little-endian
HEADER_BYTES = 2  # bytes of the payload header: one for the name's length, one for the flags

FindRecord = Callable[[int, Callable[[bytes], bool]], tuple[RecordState, bytes, int] | None]


def encode_payload(name: str, answer: bytes | None = b"", age: int = 0) -> bytes:
    """Encode the payload of an operation's record.

    `answer` is None if it was too long to be stored. `age` is in seconds, and 0 for an operation that this
    member began.
    """
    raw_name = name.encode()
    flags = ANSWER_OMITTED if answer is None else ANSWER_STORED
    suffix = b""
    if age:
        flags |= HAS_AGE
        suffix = age.to_bytes(AGE_BYTES, "little")
    return bytes([len(raw_name), flags]) + raw_name + (answer or b"") + suffix


def decode_name(data: bytes) -> str:
    """Return the operation's name from a payload."""
    return data[HEADER_BYTES : HEADER_BYTES + data[0]].decode("utf-8", "replace")


def decode_answer(data: bytes) -> bytes | None:
    """Return the answer from a payload; None if it was too long to be stored."""
    if data[1] & ANSWER_OMITTED:
        return None
    end = len(data) - AGE_BYTES if data[1] & HAS_AGE else len(data)
    return data[HEADER_BYTES + data[0] : end]


def decode_age(data: bytes) -> int:
    """Return an operation's age at its restoration, in seconds of running time; 0 if it began here."""
    return int.from_bytes(data[-AGE_BYTES:], "little") if data[1] & HAS_AGE else 0


class OperationStatus(Enum):
    """Status of an operation as a member reports it."""

    # The record is complete and lacks the operation, which the member will not begin without a poll.
    ABSENT = "none"
    IN_PROGRESS = "open"  # The member executes the operation, or may still do so.
    SERVED = "served"
    FAILED = "failed"  # The operation failed, and may have run.
    INDETERMINATE = "unsure"  # The record lacks the operation, but is incomplete.


@dataclass(slots=True)
class OperationResult:
    """Status of an operation, with its answer if one is stored."""

    status: OperationStatus
    answer: bytes | None = None

    @property
    def is_answered(self) -> bool:
        """Return whether the operation was served and its answer can be replayed."""
        return self.status is OperationStatus.SERVED and self.answer is not None


class AdmissionDecision(Enum):
    """How to handle a client's attempt at an operation."""

    START = "new"  # No other member can have received the operation before.
    POLL_PEERS = "ask"  # The other members are polled before anything is sent.
    JOIN = "join"  # The operation is in progress here, and its end answers this attempt too.
    REPLAY = "told"  # The operation has ended, and its result is returned again.
    RETRY = "again"  # The operation has just ended without having run, so a retry is safe.


class Admission(NamedTuple):
    """Decision on an attempt, with the operation's result if one is recorded."""

    decision: AdmissionDecision
    result: OperationResult | None = None


class OperationWaiter(Protocol):
    """Callback for the end of an operation."""

    def notify(self, answer: bytes) -> None:
        """Handle the final answer."""


@dataclass(slots=True)
class Operation:
    """An operation in progress at this member."""

    name: str
    key: int
    needs_poll: bool  # True if the other members have to be polled before an attempt
    fingerprint: bytes = b""  # of the statement that began the operation
    confirmed_absent: bool = False  # True once no other member can have run the operation
    replicated: bool = True  # True once enough replica holders have the intent on disk
    acknowledged_by: dict[str, str] = field(default_factory=dict)  # incarnation tokens by replica holder
    # True if a replica holder rejects the operation: other members have settled it as never begun here.
    fenced: bool = False
    # True if this member's record is incomplete, but the replicas of the record lack the operation.
    confirmed_by_replicas: bool = False
    intent_ticket: int = 0  # log ticket of the intent; 0 before it is appended
    unanswered_members: set[str] = field(default_factory=set)  # polled members that have not answered yet
    end_state: RecordState | None = None
    answer: bytes | None = None
    end_ticket: int = 0  # log ticket of the end; 0 before it is appended
    client_deadline: int = 0  # microseconds of the owner's clock at which the client stops waiting
    dispatched: bool = False  # True once an attempt was allowed to be sent
    may_have_run: bool = False  # True once an attempt ended without proof that it did not run
    waiters: list[OperationWaiter] = field(default_factory=list)

    @property
    def may_dispatch(self) -> bool:
        """Return whether all conditions for sending an attempt hold, except the intent's durability."""
        return self.end_state is None and self.replicated and (self.confirmed_absent or not self.needs_poll)


class _StoredOperation(NamedTuple):
    """An operation's record in the log."""

    state: RecordState
    payload: bytes
    location: int  # packed


class OperationLog:
    """The operations of one member: those in progress, and the ended ones in its log."""

    def __init__(
        self,
        wal: WriteAheadLog,
        find_record: FindRecord,
        retries_marked: bool,
        max_answer_bytes: int = 4096,
        replicated: bool = False,
    ) -> None:
        """Create the operations of a member whose log is `wal`.

        `find_record` reads a record from the log, and raises OSError or ValueError if the log cannot be read.
        `retries_marked` states that clients mark each attempt after an operation's first as a retry.
        `replicated` states that other members hold replicas of intents, and that an attempt waits for them.
        """
        self._wal = wal
        self.retries_marked = retries_marked
        self._find_record = find_record
        self._max_answer_bytes = max_answer_bytes
        self._replicated = replicated
        self.in_progress: dict[str, Operation] = {}
        # Names that this incarnation has reported as absent; a dict is an ordered set.
        self.reported_absent: dict[str, None] = {}
        # Packed locations, by name, of operations that were open when an earlier incarnation ended.
        self.lost: dict[str, int] = {}
        self.incomplete_reason: IncompleteReason | None = None

    def recover_open_operations(
        self, read_payload: Callable[[int, int], bytes], claim_replica: Callable[[str], bool]
    ) -> int:
        """Mark operations left open by earlier incarnations as lost; return the number of newly lost ones.

        `read_payload` returns the payload at a segment and offset. `claim_replica` is called with the name of
        each open record, and returns whether the record is a replica of another member's operation, which is
        not settled here. The lost outcome becomes durable with this incarnation's first write, because that
        write starts a segment (see `checkpoint_records`).
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
        """Yield the records that a new segment begins with: open operations and those of lost outcome."""
        for name, operation in self.in_progress.items():
            # A queued intent must not be repeated here, because its end would replace only one of the two.
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
        """Return the packed location of an operation's record; 0 if it has none."""
        locations = self._wal.find_locations(key)
        if not locations:
            return 0
        if len(locations) == 1:
            return pack_location(*locations[0])
        found = self._find(name, key)
        return found.location if found else 0

    def lookup(self, name: str) -> OperationResult | None:
        """Return this member's result of an operation; None if it has no record of the operation.

        Raises OSError or ValueError if the log cannot be read.
        """
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
        """Decide how to handle an attempt; raises OSError or ValueError if the log cannot be read."""
        operation = self.in_progress.get(name)
        if operation and operation.end_state is RecordState.NOT_EXECUTED:
            return Admission(AdmissionDecision.RETRY)
        result = self.lookup(name)
        if result is None:
            needs_poll = is_retry or not self.retries_marked or name in self.reported_absent
            self.in_progress[name] = Operation(
                name, operation_key(name), needs_poll, replicated=not self._replicated
            )
            return Admission(AdmissionDecision.POLL_PEERS if needs_poll else AdmissionDecision.START)
        if result.status is OperationStatus.IN_PROGRESS:
            return Admission(AdmissionDecision.JOIN, result)
        return Admission(AdmissionDecision.REPLAY, result)

    def record_intent(self, operation: Operation) -> int:
        """Append the intent if it is not appended yet; return the log ticket to wait for before sending."""
        if not operation.intent_ticket:
            record = Record(RecordState.OPEN, operation.key, encode_payload(operation.name))
            operation.intent_ticket = self._wal.append(record)
        return operation.intent_ticket

    def may_dispatch(self, operation: Operation) -> bool:
        """Return whether an attempt may be sent: the intent is durable and nobody else can have run it."""
        return (
            operation.may_dispatch
            and 0 < operation.intent_ticket <= self._wal.durable_ticket
            and not self._wal.failure_reason
        )

    def is_in_progress(self, operation: Operation) -> bool:
        """Return whether this is the current operation of its name and has not ended."""
        return operation.end_state is None and self.in_progress.get(operation.name) is operation

    def record_end(self, operation: Operation, state: RecordState, answer: bytes | None = None) -> int:
        """End an operation in progress; return the ticket to wait for before `on_end_durable`, or 0.

        `state` is SERVED with the answer, FAILED if the operation may have run, or NOT_EXECUTED if it
        provably did not run.
        """
        operation.end_state = state
        operation.answer = answer
        if not operation.intent_ticket:
            del self.in_progress[operation.name]
            return 0
        if operation.intent_ticket <= self._wal.durable_ticket:
            self._append_end(operation, state)
        return operation.end_ticket or operation.intent_ticket

    def on_end_durable(self, operation: Operation) -> int:
        """Handle a durable ticket of `record_end`; return the next ticket, 0 once the end is durable."""
        if not operation.end_ticket and operation.end_state is not None:
            # The ticket was that of the intent, which was still queued when the operation ended.
            self._append_end(operation, operation.end_state)
            return operation.end_ticket
        if self.in_progress.get(operation.name) is operation:
            del self.in_progress[operation.name]
        return 0

    def _append_end(self, operation: Operation, state: RecordState) -> None:
        stored_answer: bytes | None = b""
        if state is RecordState.SERVED:
            stored_answer = self._storable_answer(operation.answer)
        data = encode_payload(operation.name, stored_answer)
        location = self._location(operation.name, operation.key)
        operation.end_ticket = self._wal.append(Record(state, operation.key, data, location))

    def _storable_answer(self, answer: bytes | None) -> bytes | None:
        return answer if answer is not None and len(answer) <= self._max_answer_bytes else None

    def restore_from_replica(
        self, state: RecordState, name: str, answer: bytes | None, age: int
    ) -> int | None:
        """Restore one of this member's operations from a replica; return the ticket to wait for.

        Returns 0 if nothing was missing, and None if the operation cannot be restored now because an attempt
        is in progress. An operation that may have run has to be passed to `on_restore_durable` once the
        ticket is durable. `age` is in seconds.
        """
        if name in self.in_progress:
            return None  # An attempt without an intent leaves nothing in the log when it ends.
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
        # An open replica belongs to an earlier incarnation: operations in progress were excluded above.
        restored = RecordState.OUTCOME_UNKNOWN if state is RecordState.OPEN else RecordState.FAILED
        return self._wal.append(Record(restored, key, encode_payload(name, b"", age)))

    def on_restore_durable(self, name: str) -> None:
        """Handle a durable restored operation: if it may have run, it is lost, as after a power loss."""
        found = self._find(name, operation_key(name))
        if found and found.state is RecordState.OUTCOME_UNKNOWN:
            self.lost[name] = found.location

    def answer_poll(self, name: str) -> OperationResult:
        """Return the answer to another member's poll, which was sent once the sender's intent was durable.

        Raises OSError or ValueError if the log cannot be read.
        """
        operation = self.in_progress.get(name)
        if operation and operation.end_state is None and not operation.intent_ticket:
            # The operation is admitted here without an intent yet: it yields to the sender's, and has to
            # poll the other members before it proceeds.
            operation.needs_poll = True
            operation.confirmed_absent = False
        elif not (operation and operation.end_state is RecordState.NOT_EXECUTED):
            result = self.lookup(name)
            if result is not None:
                return result
        if self.retries_marked:  # Without marked retries, members are polled about all operations anyway.
            # A first attempt may still be unread in a socket buffer of this member. Once the member has
            # reported the operation as absent, it must not begin the operation without a poll of its own.
            self.reported_absent[name] = None
            if len(self.reported_absent) > MAX_REPORTED_ABSENT:
                self.require_poll_for_all()
        if self.incomplete_reason:
            return OperationResult(OperationStatus.INDETERMINATE)
        return OperationResult(OperationStatus.ABSENT)

    def require_poll_for_all(self) -> None:
        """Require a poll before every operation for the rest of this incarnation."""
        self.retries_marked = False
        self.reported_absent.clear()
        for operation in self.in_progress.values():
            if operation.end_state is None and not operation.dispatched:
                operation.needs_poll = True

    def start_poll(self, operation: Operation, members: Iterable[str]) -> None:
        """Record that these members are being polled."""
        operation.unanswered_members = set(members)
        if not operation.unanswered_members:
            operation.confirmed_absent = self.incomplete_reason is None

    def record_poll_answer(self, operation: Operation, member: str, result: OperationResult) -> None:
        """Record a member's answer; once all report ABSENT, no member can have run the operation."""
        if result.status is not OperationStatus.ABSENT or operation.end_state is not None:
            return
        if member not in operation.unanswered_members:
            return
        operation.unanswered_members.discard(member)
        own_absence_proven = self.incomplete_reason is None or operation.confirmed_by_replicas
        operation.confirmed_absent = not operation.unanswered_members and own_absence_proven
