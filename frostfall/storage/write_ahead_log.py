"""Write-ahead log of one owner: what is written next, what is durable, which segments are in use. No I/O.

The driver takes a `SegmentWrite`, executes it in the order of its fields, and reports `write_synced` or
`write_failed`. There is one write at a time; records appended meanwhile go out together with the next one
(group commit). A segment is removed as a whole once everything in it is older than the retention: ended
operations are never copied. What has to stay (metadata, open operations and those of unknown outcome) is
little, and every new segment begins with it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b
from itertools import pairwise

from frostfall.storage import segment_codec
from frostfall.storage.errors import LogStateError
from frostfall.storage.log_recovery import LogCondition, LogRecovery, RecoveredLog, SegmentInfo, Truncation
from frostfall.storage.options import StorageOptions
from frostfall.storage.record_index import RecordIndex, RecordLocation, pack_location, unpack_location
from frostfall.storage.segment_codec import (
    FrameKind,
    Record,
    RecordState,
    SegmentHeader,
)

SEGMENTS_PER_RETENTION = 8  # at least, so that expired records are removed in time
MAX_BATCH_BYTES = 1024 * 1024  # of payload in one write; the rest waits for the next one


def operation_key(name: str) -> int:
    """Return the key of an operation's name: a hash of 64 bits, which two names may share."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "little")


@dataclass(slots=True)
class SegmentWrite:
    """Steps for the driver, in this order. A step that fails is reported by `WriteAheadLog.write_failed`."""

    segment: int
    data: bytes
    truncate: Truncation | None = None  # done and synced before anything is written
    # The segment is new: an old file of its name is overwritten, and the directory is synced too.
    starts_segment: bool = False
    unsynced_data: bytes = b""  # written after the sync, and not synced itself
    obsolete_segments: list[int] = field(default_factory=list)  # to be removed


@dataclass(slots=True)
class _WriteInFlight:
    """A write that the driver has taken and not reported yet."""

    write: SegmentWrite
    records: list[Record]
    offsets: list[int]  # of the records in their segment
    last_ticket: int
    new_segment: SegmentInfo | None
    taken: list[Record]  # of the records, those that were queued


class WriteAheadLog:
    """Log of one owner."""

    def __init__(
        self, owner: str, options: StorageOptions, carried_records: Callable[[], Iterable[Record]] = tuple
    ) -> None:
        """Create an empty log; `carried_records` returns what a new segment has to begin with."""
        self.owner = owner
        self.options = options
        self.index = RecordIndex()
        self.condition = LogCondition.FRESH
        self.condition_reason = ""  # of a condition that is not usable
        self.store_id = ""  # random, made once for each directory
        self.previous_run_seconds = 0.0  # running time of earlier incarnations, as far as recorded
        self.last_batch = 0  # handed to the driver
        self.last_durable_batch = 0
        self.durable_ticket = 0
        self.failure_reason = ""  # why nothing becomes durable until a later write succeeds
        self.torn_bytes = 0  # of torn writes that the start found
        self.carried_records = carried_records
        self._queue: deque[Record] = deque()
        self._last_ticket = 0  # appended
        self._last_taken_ticket = 0  # handed to the driver
        self._in_flight: _WriteInFlight | None = None
        self._retries_failure = False  # the next write is the one that may end a failure
        self._segments: dict[int, SegmentInfo] = {}
        self._current_segment = 0
        self._owns_current_segment = False  # started by this incarnation, so that it may append to it
        self._truncation: Truncation | None = None  # of a torn write, due before the next segment
        self._retired_through = 0  # segments up to this one are removed when the next one starts
        self._leftover_segments: list[int] = []  # not in use, and still to be removed

    # ---- recovery at a start -----------------------------------------------------------------------

    def recover(
        self,
        segment_numbers: Sequence[int],
        read_segment: Callable[[int], bytes],
        on_metadata: Callable[[bytes], None],
    ) -> None:
        """Read the existing segments, oldest first, and set `condition`.

        `on_metadata` is called with each metadata record. Reading stops at the first segment that is
        unusable; what was read before it is kept in the index all the same.
        """
        recovery = LogRecovery(self.owner, self.store_id, self.index, on_metadata)
        try:
            for _ in recovery.run(segment_numbers, read_segment):
                self._adopt(recovery.log)  # operators see how far the reading has come
        finally:
            # What was found is reported to operators even if a segment could not be read.
            self._adopt(recovery.log)
        self.last_durable_batch = self.last_batch
        self._release_segments([each for each in self._segments if each < recovery.log.oldest_segment])

    def _adopt(self, recovered: RecoveredLog) -> None:
        self.condition = recovered.condition
        self.condition_reason = recovered.condition_reason
        self.store_id = recovered.store_id
        self.previous_run_seconds = recovered.previous_run_seconds
        self.torn_bytes = recovered.torn_bytes
        self.last_batch = recovered.last_batch
        self._segments = recovered.segments
        self._current_segment = recovered.current_segment
        self._truncation = recovered.truncation
        self._leftover_segments = recovered.leftover_segments

    def _release_segments(self, numbers: list[int]) -> None:
        """Stop using these segments; their files are removed with the next segment's start."""
        self._leftover_segments += numbers
        for number in numbers:
            self._segments.pop(number, None)
        if numbers:
            self.index.remove_before(min(self._segments, default=self._current_segment + 1))

    # ---- segments ----------------------------------------------------------------------------------

    @property
    def total_bytes(self) -> int:
        """Durable bytes of all segments in use."""
        return sum(segment.size for segment in self._segments.values())

    @property
    def segment_count(self) -> int:
        """Number of segments in use."""
        return len(self._segments)

    @property
    def is_full(self) -> bool:
        """Whether the log has reached the operators' bound."""
        return self.total_bytes >= self.options.folder_bytes

    @property
    def segment_numbers(self) -> list[int]:
        """Segments in use, oldest first; the last one is being written."""
        return sorted(self._segments)

    def segment_size(self, segment: int) -> int:
        """Return the durable bytes of a segment; 0 where it is not in use."""
        info = self._segments.get(segment)
        return info.size if info else 0

    def max_record_age(self, segment: int, elapsed: float) -> float:
        """Return the highest age of a segment's records, in seconds of running time, at `elapsed` seconds."""
        info = self._segments.get(segment)
        return max(elapsed - (info.started_at if info else 0.0), 0.0)

    def format_version_of(self, segment: int) -> int:
        """Return the format version in which a segment is written."""
        info = self._segments.get(segment)
        return info.format_version if info else segment_codec.FORMAT_VERSION

    def retire_through(self, segment: int) -> None:
        """Remove all segments up to this one with the next write: their records have been written again."""
        self._retired_through = segment

    # ---- records -----------------------------------------------------------------------------------

    def is_current(self, key: int, location: int) -> bool:
        """Whether the record at this packed location is one that the index has for its key."""
        return location in self.index.get(key)

    def find_locations(self, key: int) -> list[RecordLocation]:
        """Return the durable records of a key; the caller compares the names."""
        return [unpack_location(location) for location in self.index.get(key)]

    def discard_unreadable(self, segment: int, offset: int) -> int:
        """Drop a segment's records from this offset on from the index, and return how many there were."""
        unreadable = []
        for key, packed in self.index.items():
            location = unpack_location(packed)
            if location.segment == segment and location.offset >= offset:
                unreadable.append((key, packed))
        for key, packed in unreadable:
            self.index.remove(key, packed)
        return len(unreadable)

    def append(self, record: Record) -> int:
        """Queue a record for the next write; returns the ticket that `durable_ticket` reaches with it."""
        self._last_ticket += 1
        self._queue.append(record)
        return self._last_ticket

    # ---- writing -----------------------------------------------------------------------------------

    def next_write(self, elapsed: float) -> SegmentWrite | None:
        """Return the next write at `elapsed` seconds of running time.

        None while there is nothing to write, while the previous write is not reported, and after a failure
        until `retry_failed`. Raises LogStateError where the log was found unusable.
        """
        if self._in_flight or (self.failure_reason and not self._retries_failure):
            return None
        if not (self._queue or self._has_retired_segments or self._retries_failure):
            return None
        if not self.condition.is_usable:
            raise LogStateError(f"a log that is {self.condition.value} is not written to")
        write = SegmentWrite(self._current_segment, b"")
        records: list[Record] = []
        new_segment = None
        if not self._owns_current_segment or self._is_segment_due(elapsed):
            new_segment = self._start_segment(write, elapsed)
            records += self.carried_records()
        taken = self._take_queued()
        records += taken
        self.last_batch += 1
        batch = segment_codec.encode_batch(self.last_batch, records)
        base = len(write.data) if new_segment else self._segments[self._current_segment].size
        write.data += batch.data
        write.unsynced_data = segment_codec.encode_frame(FrameKind.SYNCED, self.last_batch, b"")
        offsets = [base + offset for offset in batch.record_offsets]
        self._in_flight = _WriteInFlight(write, records, offsets, self._last_taken_ticket, new_segment, taken)
        return write

    def write_synced(self) -> None:
        """Report that the write in flight is durable. Raises LogStateError where there is none."""
        in_flight = self._in_flight
        if in_flight is None:
            raise LogStateError("no write is in flight")
        self._in_flight = None
        self.failure_reason = ""
        self._retries_failure = False
        write = in_flight.write
        if in_flight.new_segment:
            self._current_segment = write.segment
            self._owns_current_segment = True
            self._truncation = None
            self._segments[write.segment] = in_flight.new_segment
            self._release_segments([number for number in write.obsolete_segments if number in self._segments])
            self._leftover_segments.clear()
        for record, offset in zip(in_flight.records, in_flight.offsets):
            if record.state is not RecordState.METADATA:
                location = pack_location(write.segment, offset, record.state)
                self.index.apply(record.state, record.key, record.previous_location, location)
        self._segments[self._current_segment].size += len(write.data) + len(write.unsynced_data)
        self.last_durable_batch = self.last_batch
        self.durable_ticket = in_flight.last_ticket

    def write_failed(self, reason: str) -> None:
        """Report that the write in flight may or may not be durable; nothing is written until `retry_failed`.

        It must not be synced again: after a failed sync the kernel may drop the dirty pages, and the next
        sync would succeed without them. Its records stay queued, under their tickets, for a new segment; what
        it may have left behind in the present one is cut off first.
        """
        self.failure_reason = reason
        self._retries_failure = False
        in_flight, self._in_flight = self._in_flight, None
        if in_flight is None:
            return
        self._queue.extendleft(reversed(in_flight.taken))
        self._last_taken_ticket -= len(in_flight.taken)
        self.last_batch -= 1
        if in_flight.new_segment is None:
            self._truncation = Truncation(self._current_segment, self._segments[self._current_segment].size)
            self._owns_current_segment = False

    def retry_failed(self) -> None:
        """Let the next write begin a new segment, with all that has not become durable."""
        self._retries_failure = True

    @property
    def _has_retired_segments(self) -> bool:
        return self._retired_through >= min(self._segments, default=1)

    def _is_segment_due(self, elapsed: float) -> bool:
        """Whether a new segment is due: by size, by the time that the current spans, or to retire others."""
        current = self._segments[self._current_segment]
        return (
            current.size >= self.options.segment_bytes
            or self._has_retired_segments
            or elapsed - current.started_at >= self.options.keep / SEGMENTS_PER_RETENTION
        )

    def _start_segment(self, write: SegmentWrite, elapsed: float) -> SegmentInfo:
        """Make this write start a segment, and name the segments that are obsolete by then."""
        number = self._current_segment + 1
        expired = self._expired_segments(number, elapsed)
        remaining = [each for each in (*sorted(self._segments), number) if each not in expired]
        write.segment = number
        write.starts_segment = True
        write.truncate = self._truncation
        write.obsolete_segments = [*self._leftover_segments, *expired]
        write.data = segment_codec.encode_segment_start(
            SegmentHeader(
                owner=self.owner,
                segment=number,
                oldest_segment=remaining[0],
                first_batch=self.last_batch + 1,
                elapsed_seconds=elapsed,
                store_id=self.store_id,
            )
        )
        return SegmentInfo(elapsed, segment_codec.FORMAT_VERSION)

    def _expired_segments(self, new_segment: int, elapsed: float) -> list[int]:
        """Segments whose records have all outlived the retention, or were written again."""
        expired = []
        for number, following in pairwise((*sorted(self._segments), new_segment)):
            # The youngest record of a segment was written before the following one started.
            ended_at = elapsed if following == new_segment else self._segments[following].started_at
            if elapsed - ended_at >= self.options.keep or number <= self._retired_through:
                expired.append(number)
        return expired

    def _take_queued(self) -> list[Record]:
        """Take the queued records that fit into one write."""
        taken: list[Record] = []
        size = 0
        while self._queue and size < MAX_BATCH_BYTES:
            record = self._queue.popleft()
            self._last_taken_ticket += 1
            size += len(record.payload)
            taken.append(record)
        return taken
