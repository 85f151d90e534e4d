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

NAME_MOST = 180  # bytes of an operation's name; a copy's has its owner's, of 64 at most, before it
CEDED_MOST = 100_000  # names told to be unknown here; past that, others are asked about every operation
KEPT, CUT = 0, 1  # whether an answer is kept whole
AGED = 2  # a flag: brought by repair, and the last four bytes say how many seconds old it was by then

Look = Callable[[int, Callable[[bytes], bool]], tuple[RecordState, bytes, int] | None]


def payload(name: str, answer: bytes | None = b"", aged: int = 0) -> bytes:
    """What stands in an operation's record; None: the answer was too long to be kept."""
    raw = name.encode()
    flags = (KEPT if answer is not None else CUT) | (AGED if aged else 0)
    return bytes([len(raw), flags]) + raw + (answer or b"") + (aged.to_bytes(4, "little") if aged else b"")


def name_in(data: bytes) -> str:
    """The name in a record's payload."""
    return data[2 : 2 + data[0]].decode("utf-8", "replace")


def answer_in(data: bytes) -> bytes | None:
    """The answer in a record's payload; None where it was not kept."""
    return None if data[1] & CUT else data[2 + data[0] : len(data) - (4 if data[1] & AGED else 0)]


def aged_in(data: bytes) -> int:
    """Seconds of running that an operation was old when it was brought here; 0 where it began here."""
    return int.from_bytes(data[-4:], "little") if data[1] & AGED else 0


class Word(Enum):
    """What a member says of an operation."""

    NONE = "none"  # it has no record of it, its record is whole, and it will not begin it any more
    OPEN = "open"  # it is at work on it, or may be
    SERVED = "served"
    FAILED = "failed"  # it may have run
    UNSURE = "unsure"  # it has no record of it, and its record proves nothing


@dataclass(slots=True)
class Told:
    """A word, with the answer where there is one."""

    word: Word
    answer: bytes | None = None


class Way(Enum):
    """What to do with a try at an operation."""

    NEW = "new"  # nobody can have tried it before
    ASK = "ask"  # others are to be asked before anything is sent
    JOIN = "join"  # it is under way here: the same end is for this try too
    TOLD = "told"  # it has ended
    AGAIN = "again"  # it ended without having run, a moment ago: harmless to come again


@dataclass(slots=True)
class Operation:
    """One that is under way here."""

    name: str
    key: int
    ask: bool  # whether others are to be asked
    cleared: bool = False  # nobody can have run it
    copied: bool = True  # enough others have the intent on disk
    acknowledged: dict[str, str] = field(default_factory=dict)  # by whom, with the tokens of their lives
    fenced: bool = False  # a holder refuses it: others have settled it as never begun here
    vouched: bool = False  # where the own record proves nothing, its copies have been asked instead
    ticket: int = 0  # of the intent; 0 before there is one
    waiting_for: set[str] = field(default_factory=set)  # members that have not answered yet
    ended: RecordState | None = None
    answer: bytes | None = None
    end_ticket: int = 0  # of the end's record; 0 while there is none
    until: int = 0  # microseconds of the owner's clock: when its client stops waiting
    written: bool = False  # an attempt was let go out
    may_have_run: bool = False  # an attempt has ended without proof that it never ran
    waiting: list[Any] = field(default_factory=list)  # the owner's: whom to tell the end

    @property
    def may_write(self) -> bool:
        """Whether all but the intent's sync allows a write."""
        return self.ended is None and self.copied and (self.cleared or not self.ask)


class Ledger:
    """What one agent knows of operations."""

    def __init__(
        self, journal: WriteAheadLog, look: Look, marked: bool, answer_most: int = 4096, copied: bool = False
    ) -> None:
        """`look` finds in the log; `marked`: clients mark all tries but an operation's first.

        `copied`: others keep copies of intents, and a write waits for them.
        """
        self.journal, self._look, self.marked, self._answer_most = journal, look, marked, answer_most
        self._copied = copied
        self.live: dict[str, Operation] = {}
        self.ceded: dict[str, None] = {}  # told to be unknown here, in this life
        self.lost: dict[str, int] = {}  # open when an earlier life ended, with their places
        self.doubt = ""  # why the record proves nothing of what it does not hold

    # ---- a start -----------------------------------------------------------------------------------

    def settle_past(self, read: Callable[[int, int], bytes], copies: Callable[[str], bool]) -> int:
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
            data = read(segment, offset)
            if state is RecordState.OPEN and copies(name_in(data)):
                continue
            self.lost[name_in(data)] = place
            count += state is RecordState.OPEN
        return count

    def carried(self) -> Iterable[Record]:
        """Records that a new segment begins with: what is open, and what is lost for ever."""
        for name, operation in self.live.items():
            # Danger: an intent that still waits to be written would stand twice, its end replace one only.
            if 0 < operation.ticket <= self.journal.durable_ticket and operation.ended is None:
                yield Record(RecordState.OPEN, operation.key, payload(name), self._place(name, operation.key))
        for name in self.lost:
            key = operation_key(name)
            yield Record(RecordState.OUTCOME_UNKNOWN, key, payload(name), self._place(name, key))

    def _place(self, name: str, key: int) -> int:
        """The place of a name on disk, 0 where it has none."""
        places = self.journal.find_locations(key)
        if not places:
            return 0
        if len(places) == 1:
            return pack_location(*places[0])
        found = self._look(key, lambda data: name_in(data) == name)
        return found[2] if found else 0

    # ---- tries -------------------------------------------------------------------------------------

    def known(self, name: str) -> Told | None:
        """What is known of an operation here, if anything; OSError or ValueError where the log fails."""
        if operation := self.live.get(name):
            if operation.ended is RecordState.SERVED:
                return Told(Word.SERVED, operation.answer)
            return Told(Word.FAILED if operation.ended is RecordState.FAILED else Word.OPEN)
        if name in self.lost:
            return Told(Word.FAILED)
        found = self._look(operation_key(name), lambda data: name_in(data) == name)
        if found is None:
            return None
        if found[0] is RecordState.SERVED:
            return Told(Word.SERVED, answer_in(found[1]))
        return Told(Word.FAILED)

    def admit(self, name: str, again: bool) -> tuple[Way, Told | None]:
        """A client's try at an operation: what to do with it, and what is known where it has ended."""
        if (operation := self.live.get(name)) and operation.ended is RecordState.NOT_EXECUTED:
            return Way.AGAIN, None
        told = self.known(name)
        if told is None:
            ask = again or not self.marked or name in self.ceded
            self.live[name] = Operation(name, operation_key(name), ask, copied=not self._copied)
            return (Way.ASK if ask else Way.NEW), None
        return (Way.JOIN if told.word is Word.OPEN else Way.TOLD), told

    def intend(self, operation: Operation) -> int:
        """Write the intent down; the ticket to wait for before anything is sent."""
        if not operation.ticket:
            record = Record(RecordState.OPEN, operation.key, payload(operation.name))
            operation.ticket = self.journal.append(record)
        return operation.ticket

    def may_write(self, operation: Operation) -> bool:
        """Whether a server may be sent this now: its intent is on disk, and nobody else can have run it."""
        return (
            operation.may_write
            and 0 < operation.ticket <= self.journal.durable_ticket
            and not self.journal.failure_reason
        )

    def under_way(self, operation: Operation) -> bool:
        """Whether this is the one of its name, and has not ended."""
        return operation.ended is None and self.live.get(operation.name) is operation

    def end(self, operation: Operation, state: RecordState, answer: bytes | None = None) -> int:
        """An operation under way has ended: the ticket to wait for before `done`, 0 where none is kept.

        `state` is SERVED with its answer, FAILED where it may have run, NEVER where it provably never did.
        """
        operation.ended, operation.answer = state, answer
        if not operation.ticket:
            del self.live[operation.name]
            return 0
        if operation.ticket <= self.journal.durable_ticket:
            self._write_end(operation)
        return operation.end_ticket or operation.ticket

    def done(self, operation: Operation) -> int:
        """The ticket of `end` is on disk: one more to wait for, or 0 once the log answers for all of it."""
        if not operation.end_ticket:  # its intent was still on its way to the disk
            self._write_end(operation)
            return operation.end_ticket
        if self.live.get(operation.name) is operation:
            del self.live[operation.name]
        return 0

    def _write_end(self, operation: Operation) -> None:
        name, state, answer = operation.name, operation.ended, operation.answer
        assert state is not None
        kept = answer if answer is not None and len(answer) <= self._answer_most else None
        data = payload(name, kept if state is RecordState.SERVED else b"")
        place = self._place(name, operation.key)
        operation.end_ticket = self.journal.append(Record(state, operation.key, data, place))

    def restore(self, state: RecordState, name: str, answer: bytes | None, aged: int) -> int | None:
        """Take back one's own operation from a copy; the ticket to wait for, 0 where nothing was lacking.

        One that may have run is to be handed to `restored` once that is on disk. None: not just now.
        """
        if name in self.live:
            return None  # Danger: a try that has no intent yet leaves nothing behind when it ends
        key, found = operation_key(name), self._look(operation_key(name), lambda data: name_in(data) == name)
        place = found[2] if found else 0
        if state is RecordState.SERVED:
            if found and found[0] is RecordState.SERVED:
                return 0
            self.lost.pop(name, None)
            return self.journal.append(Record(RecordState.SERVED, key, payload(name, answer, aged), place))
        if found or state is RecordState.FENCED or name in self.lost:
            return 0
        # An open copy is of an earlier life, as what is under way now was passed by above.
        return self.journal.append(
            Record(
                RecordState.OUTCOME_UNKNOWN if state is RecordState.OPEN else RecordState.FAILED,
                key,
                payload(name, b"", aged),
            )
        )

    def restored(self, name: str) -> None:
        """An operation that may have run has been taken back: it is lost for ever, as after a power loss."""
        key = operation_key(name)
        found = self._look(key, lambda data: name_in(data) == name)
        if found and found[0] is RecordState.OUTCOME_UNKNOWN:
            self.lost[name] = found[2]

    # ---- between members ---------------------------------------------------------------------------

    def asked(self, name: str) -> Told:
        """Another member asks, with its own intent on disk."""
        operation = self.live.get(name)
        if operation and operation.ended is None and not operation.ticket:
            # Begun here, and nothing is down yet: it is given away, and has to ask before it goes on.
            operation.ask, operation.cleared = True, False
        elif not (operation and operation.ended is RecordState.NOT_EXECUTED):
            told = self.known(name)
            if told is not None:
                return told
        if self.marked:  # else all are asked about all
            # Danger: a first try may still lie unread in a buffer here. Once this member has said that it
            # knows nothing of the operation, it must not begin it without asking.
            self.ceded[name] = None
            if len(self.ceded) > CEDED_MOST:
                self.ask_about_all()
        return Told(Word.UNSURE if self.doubt else Word.NONE)

    def ask_about_all(self) -> None:
        """From now on, in this life, others are asked before any operation is begun."""
        self.marked = False
        self.ceded.clear()
        for operation in self.live.values():
            operation.ask = operation.ask or (operation.ended is None and not operation.written)

    def ask(self, operation: Operation, members: Iterable[str]) -> None:
        """These members are asked now."""
        operation.waiting_for = set(members)
        if not operation.waiting_for:
            operation.cleared = not self.doubt

    def answered(self, operation: Operation, member: str, told: Told) -> None:
        """A member has answered: with the last NONE of all, nobody can have run it."""
        if told.word is Word.NONE and member in operation.waiting_for and operation.ended is None:
            operation.waiting_for.discard(member)
            operation.cleared = not operation.waiting_for and (not self.doubt or operation.vouched)
