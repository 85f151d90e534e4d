"""The replicas that a member stores for other members' operations, and its fences against their owners.

A replica is a record in the holder's own log, under a name that no client can give. A member that settles an
operation whose owner cannot be asked fences it at the holders that have no record of it. From then on these
holders acknowledge nothing of it to its owner, so that the outcome which was read stays true.
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

NAME_SEPARATOR = "\0"  # begins a replica's name and ends its owner's; no client's name may contain it


def replica_name(owner: str, name: str) -> str:
    """Return the name of a replica in its holder's log."""
    return f"{NAME_SEPARATOR}{owner}{NAME_SEPARATOR}{name}"


class SplitName(NamedTuple):
    """The parts of a name in a log."""

    owner: str  # empty for the member's own operation
    operation: str


def split_replica_name(name: str) -> SplitName:
    """Return owner and operation of a name in a log."""
    if not is_replica_name(name):
        return SplitName("", name)
    _, owner, operation = name.split(NAME_SEPARATOR, 2)
    return SplitName(owner, operation)


def is_replica_name(name: str) -> bool:
    """Return whether a name in a log is that of a replica."""
    return name.startswith(NAME_SEPARATOR)


@dataclass(frozen=True, slots=True)
class ReplicaUpdate:
    """What an owner asks its holders to store: an operation's intent (OPEN) or its end."""

    state: RecordState
    operation: str
    answer: bytes | None = None


@dataclass(frozen=True, slots=True)
class ReplicaWrite:
    """An accepted update: it is on disk once the log has synced `ticket` (0: nothing to wait for)."""

    ticket: int
    retry_after_sync: bool = False  # not written yet: store it again once the ticket is on disk


class _StoredReplica(NamedTuple):
    """A replica's record as the log has it."""

    state: RecordState
    payload: bytes
    location: int


def merge_states(found: RecordState | None, received: RecordState) -> RecordState | None:
    """Return the state of a replica once another member's is merged in; None: it stays as it is."""
    if found is received or found is RecordState.SERVED or received is RecordState.NOT_EXECUTED:
        return None
    if found is None or received is RecordState.SERVED:
        return received
    if RecordState.FENCED in (found, received):
        # A fence alone would prove that the operation never ran, an intent alone would let it begin again.
        return RecordState.FAILED if found is not RecordState.FAILED else None
    return received if found is RecordState.OPEN else None


class ReplicaStore:
    """One member's replicas of other members' operations."""

    def __init__(self, wal: WriteAheadLog, find_record: FindRecord) -> None:
        """Store replicas in this member's own log."""
        self._wal = wal
        self._find_record = find_record
        self.open_tickets: dict[str, int] = {}  # by replica name: tickets of operations without an end
        self._pending_fences: dict[str, int] = {}  # by replica name: tickets of fences not yet on disk

    def store(self, owner: str, update: ReplicaUpdate) -> ReplicaWrite | None:
        """Store an owner's update; None where the operation is fenced, or an intent came after its end."""
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
            is_known = update.state is RecordState.NOT_EXECUTED
        else:
            is_known = found.state in (update.state, RecordState.SERVED)
        if is_known:
            return ReplicaWrite(0)
        answer = update.answer if update.state is RecordState.SERVED else b""
        return ReplicaWrite(self._append(name, update.state, answer, replaces=found))

    def restore(
        self, owner: str, state: RecordState, name: str, answer: bytes | None, age: int
    ) -> int | None:
        """Merge in another member's replica, `age` seconds old; the ticket to wait for, 0 for no change.

        None: not now, as the record that it would replace is not on disk yet.
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
        """Return what the replica tells of an owner's operation; an open one may have run."""
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
        """Bar an operation without a record here from beginning; the ticket to wait for, 0 if it has one."""
        full_name = replica_name(owner, name)
        if full_name in self._pending_fences:
            return self._pending_fences[full_name]
        if full_name in self.open_tickets or self._find(full_name) is not None:
            return 0
        self._pending_fences[full_name] = self._append(full_name, RecordState.FENCED)
        return self._pending_fences[full_name]

    def fence_synced(self, owner: str, name: str) -> None:
        """Note that a fence is on disk, so that the log answers for it."""
        self._pending_fences.pop(replica_name(owner, name), None)

    def open_records(self) -> Iterable[Record]:
        """Yield the open replicas that are on disk: a new segment of the log begins with them."""
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
