"""The log of one owner: what is written next, what is on disk, which segments still count. No I/O.

The driver takes a `Write`, carries it out in the order of its fields, and reports `synced` or `failed`.
Writes follow one another; all that comes in meanwhile goes out with the next one (group commit). Segments
leave whole once all in them has been kept for long enough: ended operations are never copied. What must stay
(facts, open operations, lost ones) is few, and every new segment begins with it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b
from itertools import pairwise

from frostfall.storage import frames
from frostfall.storage.frames import End, Header, Record, State
from frostfall.storage.index import Index, parts_of, place_of
from frostfall.storage.rules import Store

SPANS = 8  # segments that `keep` is cut into at least, so that what is over leaves in time
BATCH_MOST = 1024 * 1024  # bytes of records in one write: more waits for the next


def key_of(name: str) -> int:
    """The key of an operation's name: 64 bits, which two names may share."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "little")


class Condition(Enum):
    """What the record of the past is worth."""

    FRESH = "fresh"  # there was none: a first start, or a lost folder
    WHOLE = "whole"
    DAMAGED = "damaged"  # something that was on disk is gone or changed
    FOREIGN = "foreign"  # it belongs to another agent
    NEWER = "newer"  # a later version wrote it

    @property
    def usable(self) -> bool:
        """Whether the owner may go on writing here."""
        return self in (Condition.FRESH, Condition.WHOLE)


@dataclass(slots=True)
class Write:
    """What the driver does next, in this order; any step that fails has to be told as `failed`."""

    segment: int
    data: bytes
    cut: tuple[int, int] | None = None  # first shorten this segment to so many bytes, and sync that
    begins: bool = False  # the segment is new: an old file of its name is no more, and the folder is synced
    lax: bytes = b""  # written after the sync and not synced itself
    remove: list[int] = field(default_factory=list)  # segments that count no more


class Journal:
    """One owner's log."""

    def __init__(self, owner: str, rules: Store, facts: Callable[[], Iterable[Record]] = tuple) -> None:
        """`facts` gives, at any time, the records that a new segment has to begin with."""
        self.owner, self.rules, self._facts = owner, rules, facts
        self.index = Index()
        self.condition, self.why = Condition.FRESH, ""
        self.store = ""  # made up once for each folder
        self.lives = 0.0  # seconds that earlier lives are known to have run
        self.batch = 0  # the last batch that was laid out
        self.on_disk = 0  # the last batch that is on disk
        self.durable = 0  # the last ticket that is on disk
        self.fault = ""  # why nothing can be written any more
        self.torn = 0  # bytes of torn tails that were found at the start
        self._ticket = 0
        self._waiting: deque[Record] = deque()
        self._out: list[tuple[Record, int]] = []  # records and their offsets, in the write that is out
        self._out_ticket = 0
        self._writing: Write | None = None
        self._first, self._segment, self._size, self._begun = 1, 0, 0, False
        self._cut: tuple[int, int] | None = None
        self._began: dict[int, float] = {}  # when each segment was begun, in seconds of running
        self._sizes: dict[int, int] = {}
        self._versions: dict[int, int] = {}
        self._retired = 0  # segments up to this one leave with the next turn
        self._stale: list[int] = []  # segments that a start broken off has left and that do not count

    # ---- the past ----------------------------------------------------------------------------------

    def recover(
        self, numbers: Sequence[int], load: Callable[[int], bytes], recall: Callable[[bytes], None]
    ) -> None:
        """Read the segments that there are, oldest first; `recall` is handed each fact. Sets `condition`.

        What cannot be used is not read any further; what was read before it is known all the same.
        """
        floor = self._floor(numbers, load)
        self._stale += [number for number in numbers if number < floor]
        for number in numbers:
            if number < floor:
                continue
            if not self.condition.usable:
                break
            self._read(number, load(number), number == numbers[-1], recall)
        if self.condition.usable and self._segment and self._first not in self._began:
            self._bad(Condition.DAMAGED, f"segment {self._first} is missing")
        self._leave([each for each in self._began if each < self._first])
        self.on_disk = self.batch

    def _floor(self, numbers: Sequence[int], load: Callable[[int], bytes]) -> int:
        """The oldest segment that counts, by the newest one of which anything is on disk.

        Danger: that an older one is removed may not be on disk; damaged, it would make all of it unusable.
        """
        for number in reversed(numbers):
            found = frames.Segment()
            first = next(frames.walk(load(number), number == numbers[-1], found), None)
            if first and found.header and found.header.owner == self.owner:
                return found.header.first
        return 0

    def _read(self, number: int, raw: bytes, last: bool, recall: Callable[[bytes], None]) -> None:
        index = self.index

        def apply(state: State, key: int, old: int, offset: int, payload: memoryview) -> None:
            if state == State.FACT:
                recall(bytes(payload))
                return
            _settle(index, state, key, old, place_of(number, offset, state))

        read = frames.read(raw, last, apply)
        header = read.header
        if read.end is End.NEWER:
            self._bad(Condition.NEWER, f"segment {number}: {read.why}")
            return
        if read.end is End.DAMAGED:
            self._bad(Condition.DAMAGED, f"segment {number}: {read.why}")
        if header is None:
            self.torn += len(raw)  # begun and never told to be on disk: as if it were not there
            return
        if header.owner != self.owner:
            self.condition, self.why = Condition.FOREIGN, f"segment {number} belongs to {header.owner!r}"
            return
        if (
            header.segment != number
            or (self._segment and number != self._segment + 1)
            or (self.store and header.store != self.store)
        ):
            self._bad(Condition.DAMAGED, f"segment {number} does not follow segment {self._segment}")
        elif self._segment and header.batch != self.batch + 1:
            self._bad(
                Condition.DAMAGED,
                f"segment {number} begins with batch {header.batch}, "
                f"segment {self._segment} ends with {self.batch}",
            )
        elif self.condition is Condition.FRESH:
            self.condition = Condition.WHOLE
        if read.end is End.TORN:
            self.torn += len(raw) - read.good
            self._cut = number, read.good
        self.store = header.store
        self._segment, self._first = number, header.first
        self.batch, self._size = read.batch, read.good
        self._began[number], self._sizes[number] = header.elapsed, read.good
        self._versions[number] = read.version
        self.lives = max(self.lives, header.elapsed)

    def _bad(self, condition: Condition, why: str) -> None:
        if self.condition.usable:
            self.condition, self.why = condition, why

    def _leave(self, numbers: list[int]) -> None:
        self._stale += numbers
        for number in numbers:
            for kept in (self._began, self._sizes, self._versions):
                kept.pop(number, None)
        if numbers:
            self.index.forget_before(min(self._began, default=self._segment + 1))

    # ---- the present -------------------------------------------------------------------------------

    @property
    def bytes(self) -> int:
        """Bytes of all segments that count."""
        return sum(self._sizes.values())

    @property
    def segments(self) -> int:
        """How many segments count."""
        return len(self._sizes)

    @property
    def full(self) -> bool:
        """Whether the folder has reached the operators' bound."""
        return self.bytes >= self.rules.folder_bytes

    @property
    def numbers(self) -> list[int]:
        """The segments that count, oldest first; the last one is being written."""
        return sorted(self._sizes)

    def size_of(self, segment: int) -> int:
        """Bytes of a segment that are on disk; 0 where it counts no more."""
        return self._sizes.get(segment, 0)

    def age(self, segment: int, elapsed: float) -> float:
        """Seconds of running that what stands in a segment is old at most."""
        return max(elapsed - self._began.get(segment, 0.0), 0.0)

    def holds(self, key: int, place: int) -> bool:
        """Whether a record that stands there is what counts of its key."""
        return place in self.index.get(key)

    def spoilt(self, segment: int, offset: int) -> int:
        """What stands in a segment from here on cannot be read: it counts no more; how much that is."""
        gone = [
            (key, place)
            for key, place in self.index.items()
            if parts_of(place)[0] == segment and parts_of(place)[1] >= offset
        ]
        for key, place in gone:
            self.index.drop(key, place)
        return len(gone)

    def retire(self, segment: int) -> None:
        """Let all segments up to this one leave with the next write: what counts in them stands elsewhere."""
        self._retired = segment

    def version_of(self, segment: int) -> int:
        """The format in which a segment is written."""
        return self._versions.get(segment, frames.FORMAT)

    def find(self, key: int) -> list[tuple[int, int, State]]:
        """Segment, offset and state of each place of a key on disk; who asks compares the names."""
        return [parts_of(place) for place in self.index.get(key)]

    def append(self, record: Record) -> int:
        """Write this with the next batch; the ticket that `durable` reaches once it is on disk."""
        self._ticket += 1
        self._waiting.append(record)
        return self._ticket

    def take(self, elapsed: float) -> Write | None:
        """The next write, if there is something to write and none is out; `elapsed`: seconds of running."""
        if self._writing or self.fault or not (self._waiting or self._retired >= min(self._began, default=1)):
            return None
        assert self.condition.usable, "a record that cannot be used is not written to"
        records, size = list[Record](), 0
        write = Write(self._segment, b"")
        if not self._begun or self._turns(elapsed):
            self._turn(write, elapsed)
            records += self._facts()
        while self._waiting and size < BATCH_MOST:
            records.append(self._waiting.popleft())
            self._out_ticket += 1
            size += len(records[-1].payload)
        self.batch += 1
        body, offsets = frames.batch(self.batch, records)
        base = len(write.data) if write.begins else self._size
        write.data += body
        write.lax = frames.frame(frames.Kind.SYNCED, self.batch, b"")
        self._out = [(record, base + offset) for record, offset in zip(records, offsets)]
        self._writing = write
        return write

    def _turns(self, elapsed: float) -> bool:
        """Whether the segment has become too large, or spans too much time to leave in time."""
        return (
            self._size >= self.rules.segment_bytes
            or self._retired >= min(self._began, default=1)
            or elapsed - self._began[self._segment] >= self.rules.keep / SPANS
        )

    def _turn(self, write: Write, elapsed: float) -> None:
        """Let this write begin a segment, and name those that are over by then."""
        number = self._segment + 1
        order = [*sorted(self._began), number]
        # A segment ends where the next one begins: then its youngest record was written.
        over = [
            each
            for each, behind in pairwise(order)
            if elapsed - self._began.get(behind, elapsed) >= self.rules.keep or each <= self._retired
        ]
        write.segment, write.begins, write.cut, write.remove = number, True, self._cut, [*self._stale, *over]
        left = [each for each in order if each not in over]
        header = Header(self.owner, number, left[0], self.batch + 1, elapsed, self.store)
        write.data = frames.opening(header)
        self._began[number], self._versions[number] = elapsed, frames.FORMAT

    def synced(self) -> None:
        """The write that was taken is on disk."""
        write = self._writing
        assert write is not None
        self._writing = None
        if write.begins:
            self._segment, self._size, self._begun, self._cut = write.segment, 0, True, None
            self._leave([each for each in write.remove if each in self._began])
            self._stale.clear()
        for record, offset in self._out:
            if record.state is not State.FACT:
                _settle(
                    self.index,
                    record.state,
                    record.key,
                    record.old,
                    place_of(write.segment, offset, record.state),
                )
        self._out = []
        self._size += len(write.data) + len(write.lax)
        self._sizes[self._segment] = self._size
        self.on_disk, self.durable = self.batch, self._out_ticket

    def failed(self, why: str) -> None:
        """The write that was taken may or may not be on disk, and will never be tried again.

        Danger: after a sync that failed the kernel may drop what it held; the next one that goes through
        would say nothing of it.
        """
        self.fault = why
        self._waiting.clear()


def _settle(index: Index, state: State, key: int, old: int, place: int) -> None:
    """Put a record's place into the index, in the stead of its key's old one."""
    if old == frames.ANY:
        old = next(iter(index.get(key)), 0)
    if state == State.NEVER:
        if old:
            index.drop(key, old)
    elif not (old and index.move(key, old, place)):
        index.add(key, place)
