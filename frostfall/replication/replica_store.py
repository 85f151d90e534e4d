"""What a member keeps of other members' operations, and which of them their owners may not begin any more.

A copy stands in the holder's own log under a name that no client can give. Whoever settles an operation of
somebody who cannot be asked has it fenced at the holders that know nothing of it: from then on its owner gets
no acknowledgement for it there, so that what was read stays true.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from frostfall.recovery.operation_log import (
    FindRecord,
    OperationResult,
    OperationStatus,
    decode_answer,
    decode_name,
    encode_payload,
)
from frostfall.storage.segment_codec import Record, RecordState
from frostfall.storage.write_ahead_log import WriteAheadLog, operation_key

NAME_SEPARATOR = "\0"  # no client's name holds it


def replica_name(owner: str, name: str) -> str:
    """The name of a copy in its holder's log."""
    return f"{NAME_SEPARATOR}{owner}{NAME_SEPARATOR}{name}"


def split_replica_name(name: str) -> tuple[str, str]:
    """Owner and operation of a copy's name; the owner is empty for one's own operation."""
    if not is_replica_name(name):
        return "", name
    _, owner, operation = name.split(NAME_SEPARATOR, 2)
    return owner, operation


def is_replica_name(name: str) -> bool:
    """Whether a name in a log is that of a copy."""
    return name.startswith(NAME_SEPARATOR)


@dataclass(frozen=True, slots=True)
class ReplicaUpdate:
    """What an owner asks to be kept: an operation's intent (OPEN) or its end."""

    state: RecordState
    operation: str
    answer: bytes | None = None


@dataclass(frozen=True, slots=True)
class ReplicaWrite:
    """What became of an item: on disk with this ticket; `again`: only then can it be looked at."""

    ticket: int
    retry_after_sync: bool = False


def merge_states(found: RecordState | None, received: RecordState) -> RecordState | None:
    """What becomes of a copy when another party's is taken over; None: it stays as it is."""
    if found is received or found is RecordState.SERVED or received is RecordState.NOT_EXECUTED:
        return None
    if found is None or received is RecordState.SERVED:
        return received
    if RecordState.FENCED in (found, received):
        # Danger: a fence alone would say that it never ran, an intent alone would let it be begun once more.
        return RecordState.FAILED if found is not RecordState.FAILED else None
    return received if found is RecordState.OPEN else None


class ReplicaStore:
    """One member's copies."""

    def __init__(self, journal: WriteAheadLog, find_record: FindRecord) -> None:
        """In this member's own log."""
        self._journal, self._look = journal, find_record
        self.open_tickets: dict[str, int] = {}  # copies of operations without an end, with their tickets
        self._fencing: dict[str, int] = {}  # fences that are on their way to the disk, with their tickets

    def store(self, owner: str, update: ReplicaUpdate) -> ReplicaWrite | None:
        """Keep an owner's item; None where the operation is fenced."""
        name = replica_name(owner, update.operation)
        if name in self._fencing:
            return None
        if update.state is RecordState.OPEN:
            if name in self.open_tickets:
                return ReplicaWrite(self.open_tickets[name])
            if self._find(name) is not None:
                return None  # fenced, or it has ended: it is not begun any more
            record = Record(RecordState.OPEN, operation_key(name), encode_payload(name))
            self.open_tickets[name] = self._journal.append(record)
            return ReplicaWrite(self.open_tickets[name])
        if self.open_tickets.get(name, 0) > self._journal.durable_ticket:
            # Its intent is on its way to the disk and has no place there yet that the end could take.
            return ReplicaWrite(self.open_tickets[name], retry_after_sync=True)
        found = self._find(name)
        if found is not None and found[0] is RecordState.FENCED:
            return None
        self.open_tickets.pop(name, None)
        if (found is None and update.state is RecordState.NOT_EXECUTED) or (
            found is not None and found[0] in (update.state, RecordState.SERVED)
        ):
            return ReplicaWrite(0)
        data = encode_payload(name, update.answer if update.state is RecordState.SERVED else b"")
        return ReplicaWrite(
            self._journal.append(Record(update.state, operation_key(name), data, found[2] if found else 0))
        )

    def restore(
        self, owner: str, state: RecordState, name: str, answer: bytes | None, age: int
    ) -> int | None:
        """Take over what another party has; the ticket to wait for, 0 where nothing was lacking.

        None: not just now, as what is here is still on its way to the disk.
        """
        full = replica_name(owner, name)
        if full in self._fencing or self.open_tickets.get(full, 0) > self._journal.durable_ticket:
            return None
        found = self._find(full)
        told = merge_states(
            found[0] if found else None, RecordState.FAILED if state is RecordState.OUTCOME_UNKNOWN else state
        )
        if told is None:
            return 0
        self.open_tickets.pop(full, None)
        kept = encode_payload(
            full, answer if told is RecordState.SERVED else b"", 0 if told is RecordState.OPEN else age
        )
        ticket = self._journal.append(Record(told, operation_key(full), kept, found[2] if found else 0))
        if told is RecordState.OPEN:
            self.open_tickets[full] = ticket
        return ticket

    def _find(self, name: str) -> tuple[RecordState, bytes, int] | None:
        return self._look(operation_key(name), lambda data: decode_name(data) == name)

    def read(self, owner: str, name: str) -> OperationResult:
        """What the copies say of an owner's operation: an open one may have run."""
        full = replica_name(owner, name)
        if full in self.open_tickets:
            return OperationResult(OperationStatus.FAILED)
        found = self._find(full)
        if found is None or found[0] is RecordState.FENCED:
            return OperationResult(OperationStatus.ABSENT)
        return (
            OperationResult(OperationStatus.SERVED, decode_answer(found[1]))
            if found[0] is RecordState.SERVED
            else OperationResult(OperationStatus.FAILED)
        )

    def fence(self, owner: str, name: str) -> int:
        """Let an operation that is unknown here never be begun by its owner; the ticket to wait for."""
        full = replica_name(owner, name)
        if full in self._fencing:
            return self._fencing[full]
        if full in self.open_tickets or self._find(full) is not None:
            return 0
        self._fencing[full] = self._journal.append(
            Record(RecordState.FENCED, operation_key(full), encode_payload(full))
        )
        return self._fencing[full]

    def fence_synced(self, owner: str, name: str) -> None:
        """The fence is on disk: the log answers for it."""
        self._fencing.pop(replica_name(owner, name), None)

    def open_records(self) -> Iterable[Record]:
        """Open copies that are on disk: a new segment of the log begins with them."""
        for name, ticket in self.open_tickets.items():
            if ticket <= self._journal.durable_ticket and (found := self._find(name)):
                yield Record(RecordState.OPEN, operation_key(name), encode_payload(name), found[2])
