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

from frostfall.storage import segment_codec
from frostfall.storage.options import StorageOptions
from frostfall.storage.record_index import RecordIndex, pack_location, unpack_location
from frostfall.storage.segment_codec import Record, RecordState, SegmentEnd, SegmentHeader

SEGMENTS_PER_RETENTION = 8  # segments that `keep` is cut into at least, so that what is over leaves in time
MAX_BATCH_BYTES = 1024 * 1024  # bytes of records in one write: more waits for the next


def operation_key(name: str) -> int:
    """The key of an operation's name: 64 bits, which two names may share."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "little")


class LogCondition(Enum):
    """What the record of the past is worth."""

    FRESH = "fresh"  # there was none: a first start, or a lost folder
    INTACT = "whole"
    CORRUPTED = "damaged"  # something that was on disk is gone or changed
    FOREIGN_OWNER = "foreign"  # it belongs to another agent
    NEWER_FORMAT = "newer"  # a later version wrote it

    @property
    def is_usable(self) -> bool:
        """Whether the owner may go on writing here."""
        return self in (LogCondition.FRESH, LogCondition.INTACT)


@dataclass(slots=True)
class SegmentWrite:
    """What the driver does next, in this order; any step that fails has to be told as `failed`."""

    segment: int
    data: bytes
    truncate: tuple[int, int] | None = None  # first shorten this segment to so many bytes, and sync that
    starts_segment: bool = (
        False  # the segment is new: an old file of its name is no more, and the folder is synced
    )
    unsynced_data: bytes = b""  # written after the sync and not synced itself
    obsolete_segments: list[int] = field(default_factory=list)  # segments that count no more


class WriteAheadLog:
    """One owner's log."""

    def __init__(
        self, owner: str, options: StorageOptions, carried_records: Callable[[], Iterable[Record]] = tuple
    ) -> None:
        """`facts` gives, at any time, the records that a new segment has to begin with."""
        self.owner, self.options, self._facts = owner, options, carried_records
        self.index = RecordIndex()
        self.condition, self.condition_reason = LogCondition.FRESH, ""
        self.store_id = ""  # made up once for each folder
        self.previous_run_seconds = 0.0  # seconds that earlier lives are known to have run
        self.last_batch = 0  # the last batch that was laid out
        self.last_durable_batch = 0  # the last batch that is on disk
        self.durable_ticket = 0  # the last ticket that is on disk
        self.failure_reason = ""  # why nothing can be written any more
        self.torn_bytes = 0  # bytes of torn tails that were found at the start
        self._ticket = 0
        self._waiting: deque[Record] = deque()
        self._out: list[tuple[Record, int]] = []  # records and their offsets, in the write that is out
        self._out_ticket = 0
        self._writing: SegmentWrite | None = None
        self._first, self._segment, self._size, self._begun = 1, 0, 0, False
        self._cut: tuple[int, int] | None = None
        self._began: dict[int, float] = {}  # when each segment was begun, in seconds of running
        self._sizes: dict[int, int] = {}
        self._versions: dict[int, int] = {}
        self._retired = 0  # segments up to this one leave with the next turn
        self._stale: list[int] = []  # segments that a start broken off has left and that do not count

    # ---- the past ----------------------------------------------------------------------------------

    def recover(
        self,
        segment_numbers: Sequence[int],
        read_segment: Callable[[int], bytes],
        on_metadata: Callable[[bytes], None],
    ) -> None:
        """Read the segments that there are, oldest first; `recall` is handed each fact. Sets `condition`.

        What cannot be used is not read any further; what was read before it is known all the same.
        """
        floor = self._floor(segment_numbers, read_segment)
        self._stale += [number for number in segment_numbers if number < floor]
        for number in segment_numbers:
            if number < floor:
                continue
            if not self.condition.is_usable:
                break
            self._read(number, read_segment(number), number == segment_numbers[-1], on_metadata)
        if self.condition.is_usable and self._segment and self._first not in self._began:
            self._bad(LogCondition.CORRUPTED, f"segment {self._first} is missing")
        self._leave([each for each in self._began if each < self._first])
        self.last_durable_batch = self.last_batch

    def _floor(self, numbers: Sequence[int], load: Callable[[int], bytes]) -> int:
        """The oldest segment that counts, by the newest one of which anything is on disk.

        Danger: that an older one is removed may not be on disk; damaged, it would make all of it unusable.
        """
        for number in reversed(numbers):
            found = segment_codec.SegmentScan()
            first = next(segment_codec.iter_records(load(number), number == numbers[-1], found), None)
            if first and found.header and found.header.owner == self.owner:
                return found.header.oldest_segment
        return 0

    def _read(self, number: int, raw: bytes, last: bool, recall: Callable[[bytes], None]) -> None:
        index = self.index

        def apply(state: RecordState, key: int, old: int, offset: int, payload: memoryview) -> None:
            if state == RecordState.METADATA:
                recall(bytes(payload))
                return
            _settle(index, state, key, old, pack_location(number, offset, state))

        read = segment_codec.scan_segment(raw, last, apply)
        header = read.header
        if read.end is SegmentEnd.NEWER_FORMAT:
            self._bad(LogCondition.NEWER_FORMAT, f"segment {number}: {read.reason}")
            return
        if read.end is SegmentEnd.CORRUPTED:
            self._bad(LogCondition.CORRUPTED, f"segment {number}: {read.reason}")
        if header is None:
            self.torn_bytes += len(raw)  # begun and never told to be on disk: as if it were not there
            return
        if header.owner != self.owner:
            self.condition, self.condition_reason = (
                LogCondition.FOREIGN_OWNER,
                f"segment {number} belongs to {header.owner!r}",
            )
            return
        if (
            header.segment != number
            or (self._segment and number != self._segment + 1)
            or (self.store_id and header.store_id != self.store_id)
        ):
            self._bad(LogCondition.CORRUPTED, f"segment {number} does not follow segment {self._segment}")
        elif self._segment and header.first_batch != self.last_batch + 1:
            self._bad(
                LogCondition.CORRUPTED,
                f"segment {number} begins with batch {header.first_batch}, "
                f"segment {self._segment} ends with {self.last_batch}",
            )
        elif self.condition is LogCondition.FRESH:
            self.condition = LogCondition.INTACT
        if read.end is SegmentEnd.TORN:
            self.torn_bytes += len(raw) - read.valid_bytes
            self._cut = number, read.valid_bytes
        self.store_id = header.store_id
        self._segment, self._first = number, header.oldest_segment
        self.last_batch, self._size = read.last_batch, read.valid_bytes
        self._began[number], self._sizes[number] = header.elapsed_seconds, read.valid_bytes
        self._versions[number] = read.format_version
        self.previous_run_seconds = max(self.previous_run_seconds, header.elapsed_seconds)

    def _bad(self, condition: LogCondition, why: str) -> None:
        if self.condition.is_usable:
            self.condition, self.condition_reason = condition, why

    def _leave(self, numbers: list[int]) -> None:
        self._stale += numbers
        for number in numbers:
            for kept in (self._began, self._sizes, self._versions):
                kept.pop(number, None)
        if numbers:
            self.index.remove_before(min(self._began, default=self._segment + 1))

    # ---- the present -------------------------------------------------------------------------------

    @property
    def total_bytes(self) -> int:
        """Bytes of all segments that count."""
        return sum(self._sizes.values())

    @property
    def segment_count(self) -> int:
        """How many segments count."""
        return len(self._sizes)

    @property
    def is_full(self) -> bool:
        """Whether the folder has reached the operators' bound."""
        return self.total_bytes >= self.options.folder_bytes

    @property
    def segment_numbers(self) -> list[int]:
        """The segments that count, oldest first; the last one is being written."""
        return sorted(self._sizes)

    def segment_size(self, segment: int) -> int:
        """Bytes of a segment that are on disk; 0 where it counts no more."""
        return self._sizes.get(segment, 0)

    def max_record_age(self, segment: int, elapsed: float) -> float:
        """Seconds of running that what stands in a segment is old at most."""
        return max(elapsed - self._began.get(segment, 0.0), 0.0)

    def is_current(self, key: int, location: int) -> bool:
        """Whether a record that stands there is what counts of its key."""
        return location in self.index.get(key)

    def discard_unreadable(self, segment: int, offset: int) -> int:
        """What stands in a segment from here on cannot be read: it counts no more; how much that is."""
        gone = [
            (key, place)
            for key, place in self.index.items()
            if unpack_location(place)[0] == segment and unpack_location(place)[1] >= offset
        ]
        for key, place in gone:
            self.index.remove(key, place)
        return len(gone)

    def retire_through(self, segment: int) -> None:
        """Let all segments up to this one leave with the next write: what counts in them stands elsewhere."""
        self._retired = segment

    def format_version_of(self, segment: int) -> int:
        """The format in which a segment is written."""
        return self._versions.get(segment, segment_codec.FORMAT_VERSION)

    def find_locations(self, key: int) -> list[tuple[int, int, RecordState]]:
        """Segment, offset and state of each place of a key on disk; who asks compares the names."""
        return [unpack_location(place) for place in self.index.get(key)]

    def append(self, record: Record) -> int:
        """Write this with the next batch; the ticket that `durable` reaches once it is on disk."""
        self._ticket += 1
        self._waiting.append(record)
        return self._ticket

    def next_write(self, elapsed: float) -> SegmentWrite | None:
        """The next write, if there is something to write and none is out; `elapsed`: seconds of running."""
        if (
            self._writing
            or self.failure_reason
            or not (self._waiting or self._retired >= min(self._began, default=1))
        ):
            return None
        assert self.condition.is_usable, "a record that cannot be used is not written to"
        records, size = list[Record](), 0
        write = SegmentWrite(self._segment, b"")
        if not self._begun or self._turns(elapsed):
            self._turn(write, elapsed)
            records += self._facts()
        while self._waiting and size < MAX_BATCH_BYTES:
            records.append(self._waiting.popleft())
            self._out_ticket += 1
            size += len(records[-1].payload)
        self.last_batch += 1
        body, offsets = segment_codec.encode_batch(self.last_batch, records)
        base = len(write.data) if write.starts_segment else self._size
        write.data += body
        write.unsynced_data = segment_codec.encode_frame(segment_codec.FrameKind.SYNCED, self.last_batch, b"")
        self._out = [(record, base + offset) for record, offset in zip(records, offsets)]
        self._writing = write
        return write

    def _turns(self, elapsed: float) -> bool:
        """Whether the segment has become too large, or spans too much time to leave in time."""
        return (
            self._size >= self.options.segment_bytes
            or self._retired >= min(self._began, default=1)
            or elapsed - self._began[self._segment] >= self.options.keep / SEGMENTS_PER_RETENTION
        )

    def _turn(self, write: SegmentWrite, elapsed: float) -> None:
        """Let this write begin a segment, and name those that are over by then."""
        number = self._segment + 1
        order = [*sorted(self._began), number]
        # A segment ends where the next one begins: then its youngest record was written.
        over = [
            each
            for each, behind in pairwise(order)
            if elapsed - self._began.get(behind, elapsed) >= self.options.keep or each <= self._retired
        ]
        write.segment, write.starts_segment, write.truncate, write.obsolete_segments = (
            number,
            True,
            self._cut,
            [*self._stale, *over],
        )
        left = [each for each in order if each not in over]
        header = SegmentHeader(self.owner, number, left[0], self.last_batch + 1, elapsed, self.store_id)
        write.data = segment_codec.encode_segment_start(header)
        self._began[number], self._versions[number] = elapsed, segment_codec.FORMAT_VERSION

    def write_synced(self) -> None:
        """The write that was taken is on disk."""
        write = self._writing
        assert write is not None
        self._writing = None
        if write.starts_segment:
            self._segment, self._size, self._begun, self._cut = write.segment, 0, True, None
            self._leave([each for each in write.obsolete_segments if each in self._began])
            self._stale.clear()
        for record, offset in self._out:
            if record.state is not RecordState.METADATA:
                _settle(
                    self.index,
                    record.state,
                    record.key,
                    record.previous_location,
                    pack_location(write.segment, offset, record.state),
                )
        self._out = []
        self._size += len(write.data) + len(write.unsynced_data)
        self._sizes[self._segment] = self._size
        self.last_durable_batch, self.durable_ticket = self.last_batch, self._out_ticket

    def write_failed(self, reason: str) -> None:
        """The write that was taken may or may not be on disk, and will never be tried again.

        Danger: after a sync that failed the kernel may drop what it held; the next one that goes through
        would say nothing of it.
        """
        self.failure_reason = reason
        self._waiting.clear()


def _settle(index: RecordIndex, state: RecordState, key: int, old: int, place: int) -> None:
    """Put a record's place into the index, in the stead of its key's old one."""
    if old == segment_codec.ANY_LOCATION:
        old = next(iter(index.get(key)), 0)
    if state == RecordState.NOT_EXECUTED:
        if old:
            index.remove(key, old)
    elif not (old and index.replace(key, old, place)):
        index.add(key, place)
