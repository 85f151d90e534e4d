"""Replicas of other members' operations in a member's log, and fences against the owners of operations.

A replica is a record in the holder's own log, under a name that clients cannot use. To settle an operation
whose owner cannot be polled, a member fences the operation at the holders that have no record of it. From
then on, these holders reject all updates of the operation from its owner, so that the outcome that was read
stays valid.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

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

# A replica's name is separator, owner, separator, operation. Names from clients cannot contain the separator.
NAME_SEPARATOR = "\0"


def replica_name(owner: str, name: str) -> str:
    """Return the name of a replica in its holder's log."""
    return f"{NAME_SEPARATOR}{owner}{NAME_SEPARATOR}{name}"


class SplitName(NamedTuple):
    """Owner and operation of a name in a log."""

    owner: str  # empty for an operation of the log's owner
    operation: str


def split_replica_name(name: str) -> SplitName:
    """Split a name in a log into owner and operation."""
    if not is_replica_name(name):
        return SplitName("", name)
    _, owner, operation = name.split(NAME_SEPARATOR, 2)
    return SplitName(owner, operation)


def is_replica_name(name: str) -> bool:
    """Return whether a name in a log is that of a replica."""
    return name.startswith(NAME_SEPARATOR)


@dataclass(frozen=True, slots=True)
class ReplicaUpdate:
    """Update that an owner sends to the holders of its replicas: an operation's intent (OPEN) or its end."""

    state: RecordState
    operation: str
    answer: bytes | None = None


@dataclass(frozen=True, slots=True)
class ReplicaWrite:
    """An accepted update, which is on disk once the log has synced `ticket`.

    A ticket of 0 means that there is nothing to wait for.
    """

    ticket: int
    retry_after_sync: bool = False  # True if it has to be stored again once the ticket is on disk


class _StoredReplica(NamedTuple):
    """A replica's record in the log."""

    state: RecordState
    payload: bytes
    location: int


def merge_states(found: RecordState | None, received: RecordState) -> RecordState | None:
    """Return a replica's state after merging in another member's; None if it does not change."""
    if found is received or found is RecordState.SERVED or received is RecordState.NOT_EXECUTED:
        return None
    if found is None or received is RecordState.SERVED:
        return received
    if RecordState.FENCED in (found, received):
        # A fence without an intent would prove that the operation never ran; an intent without a fence would
        # allow it to begin again.
        return RecordState.FAILED if found is not RecordState.FAILED else None
    return received if found is RecordState.OPEN else None


class ReplicaStore:
    """The replicas of other members' operations that one member holds."""

    def __init__(self, wal: WriteAheadLog, find_record: FindRecord) -> None:
        """Store replicas in this member's own log."""
        self._wal = wal
        self._find_record = find_record
        # Log tickets of operations without an end, by replica name.
        self.open_tickets: dict[str, int] = {}
        # Log tickets of fences that are not on disk yet, by replica name.
        self._pending_fences: dict[str, int] = {}

    def store(self, owner: str, update: ReplicaUpdate) -> ReplicaWrite | None:
        """Store an owner's update; None if the operation is fenced, or has ended and this is an intent."""
        name = replica_name(owner, update.operation)
        if name in self._pending_fences:
            return None
        if update.state is RecordState.OPEN:
            return self._store_intent(name)
        return self._store_end(name, update)

    def _store_intent(self, name: str) -> ReplicaWrite | None:
        if name in self.open_tickets:
            return ReplicaWrite(self.open_tickets[name])
        if self._find(name) is not None:
            return None
        self.open_tickets[name] = self._append(name, RecordState.OPEN)
        return ReplicaWrite(self.open_tickets[name])

    def _store_end(self, name: str, update: ReplicaUpdate) -> ReplicaWrite | None:
        if self._has_unsynced_intent(name):
            # The intent has no location yet that this record could replace.
            return ReplicaWrite(self.open_tickets[name], retry_after_sync=True)
        found = self._find(name)
        if found is not None and found.state is RecordState.FENCED:
            return None
        self.open_tickets.pop(name, None)
        if found is None:
            is_recorded = update.state is RecordState.NOT_EXECUTED
        else:
            is_recorded = found.state in (update.state, RecordState.SERVED)
        if is_recorded:
            return ReplicaWrite(0)
        answer = update.answer if update.state is RecordState.SERVED else b""
        return ReplicaWrite(self._append(name, update.state, answer, replaces=found))

    def restore(
        self, owner: str, state: RecordState, name: str, answer: bytes | None, age: int
    ) -> int | None:
        """Merge in another member's replica, `age` seconds old; return the ticket to wait for.

        Returns 0 if the replica does not change, and None if the merge has to be repeated later, because the
        record that it would replace is not on disk yet.
        """
        full_name = replica_name(owner, name)
        if full_name in self._pending_fences or self._has_unsynced_intent(full_name):
            return None
        found = self._find(full_name)
        received = RecordState.FAILED if state is RecordState.OUTCOME_UNKNOWN else state
        merged = merge_states(found.state if found else None, received)
        if merged is None:
            return 0
        self.open_tickets.pop(full_name, None)
        ticket = self._append(
            full_name,
            merged,
            answer if merged is RecordState.SERVED else b"",
            age=0 if merged is RecordState.OPEN else age,
            replaces=found,
        )
        if merged is RecordState.OPEN:
            self.open_tickets[full_name] = ticket
        return ticket

    def read(self, owner: str, name: str) -> OperationResult:
        """Return an operation's result by its replica; an operation without an end may have run."""
        full_name = replica_name(owner, name)
        if full_name in self.open_tickets:
            return OperationResult(OperationStatus.FAILED)
        found = self._find(full_name)
        if found is None or found.state is RecordState.FENCED:
            return OperationResult(OperationStatus.ABSENT)
        if found.state is RecordState.SERVED:
            return OperationResult(OperationStatus.SERVED, decode_answer(found.payload))
        return OperationResult(OperationStatus.FAILED)

    def fence(self, owner: str, name: str) -> int:
        """Fence an operation; return the ticket to wait for, 0 if the operation has a record here.

        Its owner can then no longer begin the operation with this holder's acknowledgement.
        """
        full_name = replica_name(owner, name)
        if full_name in self._pending_fences:
            return self._pending_fences[full_name]
        if full_name in self.open_tickets or self._find(full_name) is not None:
            return 0
        self._pending_fences[full_name] = self._append(full_name, RecordState.FENCED)
        return self._pending_fences[full_name]

    def on_fence_synced(self, owner: str, name: str) -> None:
        """Handle a fence that is on disk: from now on, the log has its record."""
        self._pending_fences.pop(replica_name(owner, name), None)

    def open_records(self) -> Iterable[Record]:
        """Yield the open replicas that are on disk; a new segment of the log begins with them."""
        for name, ticket in self.open_tickets.items():
            if ticket <= self._wal.durable_ticket and (found := self._find(name)):
                yield Record(RecordState.OPEN, operation_key(name), encode_payload(name), found.location)

    def _find(self, name: str) -> _StoredReplica | None:
        found = self._find_record(operation_key(name), lambda data: decode_name(data) == name)
        return _StoredReplica(*found) if found else None

    def _has_unsynced_intent(self, name: str) -> bool:
        return self.open_tickets.get(name, 0) > self._wal.durable_ticket

    def _append(
        self,
        name: str,
        state: RecordState,
        answer: bytes | None = b"",
        *,
        age: int = 0,
        replaces: _StoredReplica | None = None,
    ) -> int:
        payload = encode_payload(name, answer, age)
        location = replaces.location if replaces else 0
        return self._wal.append(Record(state, operation_key(name), payload, location))
