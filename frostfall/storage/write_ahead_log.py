"""Write-ahead log of one owner: the next write, the durable records and the segments in use, without I/O.

The driver takes a `SegmentWrite`, executes it in the order of its fields, and reports `write_synced` or
`write_failed`. There is one write at a time; records appended meanwhile are written together with the next
one (group commit). A segment is removed as a whole once all its records are older than the retention, so that
ended operations are never copied. The records that must be retained (metadata, open operations and those of
unknown outcome) are few, and every new segment begins with them.
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

SEGMENTS_PER_RETENTION = 8  # minimum number, so that expired records are removed in time
MAX_BATCH_BYTES = 1024 * 1024  # payload size from which further records wait for the next write


def operation_key(name: str) -> int:
    """Return the key of an operation's name: a 64-bit hash, which may be the same for two names."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "little")


@dataclass(slots=True)
class SegmentWrite:
    """A write for the driver, whose steps are executed in the order of the fields.

    The driver reports a failed step by `WriteAheadLog.write_failed`.
    """

    segment: int
    data: bytes
    truncate: Truncation | None = None  # to be executed and synced before anything is written
    # True if the segment is new: an existing file is overwritten, and the directory is synced too.
    starts_segment: bool = False
    unsynced_data: bytes = b""  # data to be written after the sync, and not to be synced
    obsolete_segments: list[int] = field(default_factory=list)  # segments to be removed


@dataclass(slots=True)
class _WriteInFlight:
    """A write that the driver has taken and not reported yet."""

    write: SegmentWrite
    records: list[Record]
    offsets: list[int]  # offsets of the records in their segment
    last_ticket: int
    new_segment: SegmentInfo | None
    dequeued_records: list[Record]  # the records without the carried ones


class WriteAheadLog:
    """Write-ahead log of one owner."""

    def __init__(
        self, owner: str, options: StorageOptions, carried_records: Callable[[], Iterable[Record]] = tuple
    ) -> None:
        """Create an empty log; `carried_records` returns the records that a new segment begins with."""
        self.owner = owner
        self.options = options
        self.index = RecordIndex()
        self.condition = LogCondition.FRESH
        self.condition_reason = ""  # reason for an unusable condition
        self.store_id = ""  # random id, created once for each directory
        self.previous_run_seconds = 0.0  # running time of earlier incarnations, as far as recorded
        self.last_batch = 0  # last batch passed to the driver
        self.last_durable_batch = 0
        self.durable_ticket = 0
        self.failure_reason = ""  # reason why nothing becomes durable until a later write succeeds
        self.torn_bytes = 0  # bytes of torn writes found at the start
        self.carried_records = carried_records
        self._queue: deque[Record] = deque()
        self._last_ticket = 0  # ticket of the last appended record
        self._last_dequeued_ticket = 0  # ticket of the last record passed to the driver
        self._in_flight: _WriteInFlight | None = None
        self._retries_failure = False  # True if the next write is the retry after a failure
        self._segments: dict[int, SegmentInfo] = {}
        self._current_segment = 0
        self._owns_current_segment = False  # True if this log started the segment and may append to it
        self._truncation: Truncation | None = None  # truncation of a torn write, due before the next segment
        self._retired_through = 0  # last of the segments that are removed when the next one starts
        self._leftover_segments: list[int] = []  # unused segments that are to be removed

    def recover(
        self,
        segment_numbers: Sequence[int],
        read_segment: Callable[[int], bytes],
        on_metadata: Callable[[bytes], None],
    ) -> None:
        """Read the existing segments, oldest first, and set `condition`.

        `on_metadata` is called with each metadata record. Reading stops at the first unusable segment, and
        the index retains the records that were read before it.
        """
        recovery = LogRecovery(self.owner, self.store_id, self.index, on_metadata)
        try:
            for _ in recovery.run(segment_numbers, read_segment):
                self._apply_recovered(recovery.log)  # Operators see the progress of the recovery.
        finally:
            # The results are reported to operators even if a segment could not be read.
            self._apply_recovered(recovery.log)
        self.last_durable_batch = self.last_batch
        self._release_segments([each for each in self._segments if each < recovery.log.oldest_segment])

    def _apply_recovered(self, recovered: RecoveredLog) -> None:
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
        """Stop using these segments; their files are removed when the next segment starts."""
        self._leftover_segments += numbers
        for number in numbers:
            self._segments.pop(number, None)
        if numbers:
            self.index.remove_before(min(self._segments, default=self._current_segment + 1))

    @property
    def total_bytes(self) -> int:
        """Return the durable bytes of all segments in use."""
        return sum(segment.size for segment in self._segments.values())

    @property
    def segment_count(self) -> int:
        """Return the number of segments in use."""
        return len(self._segments)

    @property
    def is_full(self) -> bool:
        """Return whether the log has reached its configured size limit."""
        return self.total_bytes >= self.options.folder_bytes

    @property
    def segment_numbers(self) -> list[int]:
        """Return the segments in use, oldest first; the last one is the current segment."""
        return sorted(self._segments)

    def segment_size(self, segment: int) -> int:
        """Return the durable bytes of a segment; 0 if it is not in use."""
        info = self._segments.get(segment)
        return info.size if info else 0

    def max_record_age(self, segment: int, elapsed: float) -> float:
        """Return the maximum age of a segment's records at `elapsed`, both in seconds of running time."""
        info = self._segments.get(segment)
        return max(elapsed - (info.started_at if info else 0.0), 0.0)

    def format_version_of(self, segment: int) -> int:
        """Return the format version of a segment."""
        info = self._segments.get(segment)
        return info.format_version if info else segment_codec.FORMAT_VERSION

    def retire_through(self, segment: int) -> None:
        """Remove all segments up to this one with the next write, as their records have been rewritten."""
        self._retired_through = segment

    def is_current(self, key: int, location: int) -> bool:
        """Return whether the index has this packed location for the key."""
        return location in self.index.get(key)

    def find_locations(self, key: int) -> list[RecordLocation]:
        """Return the locations of a key's durable records; the caller compares the names."""
        return [unpack_location(location) for location in self.index.get(key)]

    def discard_unreadable(self, segment: int, offset: int) -> int:
        """Remove a segment's records from this offset on from the index and return their number."""
        unreadable = []
        for key, packed in self.index.items():
            location = unpack_location(packed)
            if location.segment == segment and location.offset >= offset:
                unreadable.append((key, packed))
        for key, packed in unreadable:
            self.index.remove(key, packed)
        return len(unreadable)

    def append(self, record: Record) -> int:
        """Queue a record; return its ticket, which `durable_ticket` reaches once the record is durable."""
        self._last_ticket += 1
        self._queue.append(record)
        return self._last_ticket

    def next_write(self, elapsed: float) -> SegmentWrite | None:
        """Return the next write at `elapsed` seconds of running time.

        Returns None if there is nothing to write, while the previous write is not reported, and after a
        failure until `retry_failed` is called. Raises LogStateError if the log is unusable.
        """
        if self._in_flight or (self.failure_reason and not self._retries_failure):
            return None
        if not (self._queue or self._has_retired_segments or self._retries_failure):
            return None
        if not self.condition.is_usable:
            raise LogStateError(f"cannot write to a log in condition {self.condition.value}")
        write = SegmentWrite(self._current_segment, b"")
        records: list[Record] = []
        new_segment = None
        if not self._owns_current_segment or self._is_segment_due(elapsed):
            new_segment = self._start_segment(write, elapsed)
            records += self.carried_records()
        dequeued_records = self._dequeue_records()
        records += dequeued_records
        self.last_batch += 1
        batch = segment_codec.encode_batch(self.last_batch, records)
        base = len(write.data) if new_segment else self._segments[self._current_segment].size
        write.data += batch.data
        write.unsynced_data = segment_codec.encode_frame(FrameKind.SYNCED, self.last_batch, b"")
        offsets = [base + offset for offset in batch.record_offsets]
        self._in_flight = _WriteInFlight(
            write, records, offsets, self._last_dequeued_ticket, new_segment, dequeued_records
        )
        return write

    def write_synced(self) -> None:
        """Report that the write in flight is durable; raises LogStateError if there is none."""
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
        """Report that the write in flight failed and may or may not be durable.

        Nothing is written until `retry_failed` is called. The write must not be synced again: after a failed
        sync, the kernel may drop the dirty pages, and the next sync would succeed without them. The records
        stay queued under their tickets for a new segment, and the current segment is truncated first to
        remove any remains of the write.
        """
        self.failure_reason = reason
        self._retries_failure = False
        in_flight, self._in_flight = self._in_flight, None
        if in_flight is None:
            return
        self._queue.extendleft(reversed(in_flight.dequeued_records))
        self._last_dequeued_ticket -= len(in_flight.dequeued_records)
        self.last_batch -= 1
        if in_flight.new_segment is None:
            self._truncation = Truncation(self._current_segment, self._segments[self._current_segment].size)
            self._owns_current_segment = False

    def retry_failed(self) -> None:
        """Allow the next write, which starts a new segment with all records that are not durable yet."""
        self._retries_failure = True

    @property
    def _has_retired_segments(self) -> bool:
        return self._retired_through >= min(self._segments, default=1)

    def _is_segment_due(self, elapsed: float) -> bool:
        """Return whether a new segment is due by the current one's size or time span, or to retire others."""
        current = self._segments[self._current_segment]
        return (
            current.size >= self.options.segment_bytes
            or self._has_retired_segments
            or elapsed - current.started_at >= self.options.keep / SEGMENTS_PER_RETENTION
        )

    def _start_segment(self, write: SegmentWrite, elapsed: float) -> SegmentInfo:
        """Make this write start a segment, and add the segments that are obsolete then."""
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
        """Return the segments whose records have all exceeded the retention or have been rewritten."""
        expired = []
        for number, following in pairwise((*sorted(self._segments), new_segment)):
            # The newest record of a segment was written before the following segment started.
            ended_at = elapsed if following == new_segment else self._segments[following].started_at
            if elapsed - ended_at >= self.options.keep or number <= self._retired_through:
                expired.append(number)
        return expired

    def _dequeue_records(self) -> list[Record]:
        """Remove and return the queued records for one write."""
        dequeued_records: list[Record] = []
        size = 0
        while self._queue and size < MAX_BATCH_BYTES:
            record = self._queue.popleft()
            self._last_dequeued_ticket += 1
            size += len(record.payload)
            dequeued_records.append(record)
        return dequeued_records
