"""What a member keeps of other members' operations, and which of them their owners may not begin any more.

A copy stands in the holder's own log under a name that no client can give. Whoever settles an operation of
somebody who cannot be asked has it fenced at the holders that know nothing of it: from then on its owner gets
no acknowledgement for it there, so that what was read stays true.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from frostfall.recovery.ledger import Look, Told, Word, answer_in, name_in, payload
from frostfall.storage.segment_codec import Record, RecordState
from frostfall.storage.write_ahead_log import WriteAheadLog, operation_key

MARK = "\0"  # no client's name holds it


def kept_name(owner: str, name: str) -> str:
    """The name of a copy in its holder's log."""
    return f"{MARK}{owner}{MARK}{name}"


def parts_of_copy(name: str) -> tuple[str, str]:
    """Owner and operation of a copy's name; the owner is empty for one's own operation."""
    if not is_copy(name):
        return "", name
    _, owner, operation = name.split(MARK, 2)
    return owner, operation


def is_copy(name: str) -> bool:
    """Whether a name in a log is that of a copy."""
    return name.startswith(MARK)


@dataclass(frozen=True, slots=True)
class Item:
    """What an owner asks to be kept: an operation's intent (OPEN) or its end."""

    state: RecordState
    name: str
    answer: bytes | None = None


@dataclass(frozen=True, slots=True)
class Kept:
    """What became of an item: on disk with this ticket; `again`: only then can it be looked at."""

    ticket: int
    again: bool = False


def merged(found: RecordState | None, told: RecordState) -> RecordState | None:
    """What becomes of a copy when another party's is taken over; None: it stays as it is."""
    if found is told or found is RecordState.SERVED or told is RecordState.NOT_EXECUTED:
        return None
    if found is None or told is RecordState.SERVED:
        return told
    if RecordState.FENCED in (found, told):
        # Danger: a fence alone would say that it never ran, an intent alone would let it be begun once more.
        return RecordState.FAILED if found is not RecordState.FAILED else None
    return told if found is RecordState.OPEN else None


class Holding:
    """One member's copies."""

    def __init__(self, journal: WriteAheadLog, look: Look) -> None:
        """In this member's own log."""
        self._journal, self._look = journal, look
        self.open: dict[str, int] = {}  # copies of operations without an end, with their tickets
        self._fencing: dict[str, int] = {}  # fences that are on their way to the disk, with their tickets

    def keep(self, owner: str, item: Item) -> Kept | None:
        """Keep an owner's item; None where the operation is fenced."""
        name = kept_name(owner, item.name)
        if name in self._fencing:
            return None
        if item.state is RecordState.OPEN:
            if name in self.open:
                return Kept(self.open[name])
            if self._find(name) is not None:
                return None  # fenced, or it has ended: it is not begun any more
            record = Record(RecordState.OPEN, operation_key(name), payload(name))
            self.open[name] = self._journal.append(record)
            return Kept(self.open[name])
        if self.open.get(name, 0) > self._journal.durable_ticket:
            # Its intent is on its way to the disk and has no place there yet that the end could take.
            return Kept(self.open[name], again=True)
        found = self._find(name)
        if found is not None and found[0] is RecordState.FENCED:
            return None
        self.open.pop(name, None)
        if (found is None and item.state is RecordState.NOT_EXECUTED) or (
            found is not None and found[0] in (item.state, RecordState.SERVED)
        ):
            return Kept(0)
        data = payload(name, item.answer if item.state is RecordState.SERVED else b"")
        return Kept(
            self._journal.append(Record(item.state, operation_key(name), data, found[2] if found else 0))
        )

    def restore(
        self, owner: str, state: RecordState, name: str, answer: bytes | None, aged: int
    ) -> int | None:
        """Take over what another party has; the ticket to wait for, 0 where nothing was lacking.

        None: not just now, as what is here is still on its way to the disk.
        """
        full = kept_name(owner, name)
        if full in self._fencing or self.open.get(full, 0) > self._journal.durable_ticket:
            return None
        found = self._find(full)
        told = merged(
            found[0] if found else None, RecordState.FAILED if state is RecordState.OUTCOME_UNKNOWN else state
        )
        if told is None:
            return 0
        self.open.pop(full, None)
        kept = payload(
            full, answer if told is RecordState.SERVED else b"", 0 if told is RecordState.OPEN else aged
        )
        ticket = self._journal.append(Record(told, operation_key(full), kept, found[2] if found else 0))
        if told is RecordState.OPEN:
            self.open[full] = ticket
        return ticket

    def _find(self, name: str) -> tuple[RecordState, bytes, int] | None:
        return self._look(operation_key(name), lambda data: name_in(data) == name)

    def word(self, owner: str, name: str) -> Told:
        """What the copies say of an owner's operation: an open one may have run."""
        full = kept_name(owner, name)
        if full in self.open:
            return Told(Word.FAILED)
        found = self._find(full)
        if found is None or found[0] is RecordState.FENCED:
            return Told(Word.NONE)
        return Told(Word.SERVED, answer_in(found[1])) if found[0] is RecordState.SERVED else Told(Word.FAILED)

    def fence(self, owner: str, name: str) -> int:
        """Let an operation that is unknown here never be begun by its owner; the ticket to wait for."""
        full = kept_name(owner, name)
        if full in self._fencing:
            return self._fencing[full]
        if full in self.open or self._find(full) is not None:
            return 0
        self._fencing[full] = self._journal.append(
            Record(RecordState.FENCED, operation_key(full), payload(full))
        )
        return self._fencing[full]

    def fenced(self, owner: str, name: str) -> None:
        """The fence is on disk: the log answers for it."""
        self._fencing.pop(kept_name(owner, name), None)

    def carried(self) -> Iterable[Record]:
        """Open copies that are on disk: a new segment of the log begins with them."""
        for name, ticket in self.open.items():
            if ticket <= self._journal.durable_ticket and (found := self._find(name)):
                yield Record(RecordState.OPEN, operation_key(name), payload(name), found[2])
