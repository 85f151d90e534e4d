"""Recovery of the write-ahead log at a start: reads the segments and determines whether they are usable.

The module does no I/O: the caller passes a function that reads a segment.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from frostfall.storage import segment_codec
from frostfall.storage.record_index import RecordIndex, pack_location
from frostfall.storage.segment_codec import RecordState, SegmentEnd, SegmentHeader, SegmentScan


class LogCondition(Enum):
    """Condition of the log at a start; the values are reported to operators."""

    FRESH = "fresh"  # There was no log: this is a first start, or the directory was lost.
    INTACT = "whole"
    CORRUPTED = "damaged"  # Durable data is missing or changed.
    FOREIGN_OWNER = "foreign"  # The log belongs to another agent.
    NEWER_FORMAT = "newer"  # A later version of the program wrote the log.

    @property
    def is_usable(self) -> bool:
        """Return whether the owner may continue to write to the log."""
        return self in (LogCondition.FRESH, LogCondition.INTACT)


class Truncation(NamedTuple):
    """A segment to be truncated, and the bytes that remain."""

    segment: int
    size: int


@dataclass(slots=True)
class SegmentInfo:
    """A segment in use."""

    started_at: float  # seconds of the owner's running time
    format_version: int
    size: int = 0  # durable bytes


@dataclass(slots=True)
class RecoveredLog:
    """State of the log as a start has found it."""

    store_id: str  # empty if none was found
    condition: LogCondition = LogCondition.FRESH
    condition_reason: str = ""  # reason for an unusable condition
    previous_run_seconds: float = 0.0  # running time of earlier incarnations, as far as recorded
    torn_bytes: int = 0  # bytes of torn writes
    last_batch: int = 0
    segments: dict[int, SegmentInfo] = field(default_factory=dict)  # the segments read, by number
    current_segment: int = 0  # the newest segment; 0 if there is none
    oldest_segment: int = 1  # the oldest segment in use, by the newest header
    truncation: Truncation | None = None  # truncation of a torn write, due before the next segment
    leftover_segments: list[int] = field(default_factory=list)  # unused segments that are to be removed


class LogRecovery:
    """Reads the segments of one owner's log into an index."""

    def __init__(
        self, owner: str, store_id: str, index: RecordIndex, on_metadata: Callable[[bytes], None]
    ) -> None:
        """Create a recovery into `index`; `store_id` is the id that the segments must have, empty for any."""
        self._owner = owner
        self._index = index
        self._on_metadata = on_metadata
        self.log = RecoveredLog(store_id)

    def run(self, segment_numbers: Sequence[int], read_segment: Callable[[int], bytes]) -> Iterator[None]:
        """Read the existing segments into `log`, oldest first, up to the first unusable one.

        The generator yields after each segment, so that the caller can report the progress.
        """
        log = self.log
        oldest = self._find_oldest_segment(segment_numbers, read_segment)
        log.leftover_segments = [number for number in segment_numbers if number < oldest]
        for number in segment_numbers:
            if number < oldest:
                continue
            if not log.condition.is_usable:
                break
            self._recover_segment(number, read_segment(number), is_last=number == segment_numbers[-1])
            yield
        if log.condition.is_usable and log.current_segment and log.oldest_segment not in log.segments:
            self._mark_unusable(LogCondition.CORRUPTED, f"segment {log.oldest_segment} is missing")

    def _find_oldest_segment(
        self, segment_numbers: Sequence[int], read_segment: Callable[[int], bytes]
    ) -> int:
        """Return the oldest segment in use, by the header of the newest segment with a record; 0 if none.

        Older segments may still exist if their removal did not become durable. They must not be read, because
        a corrupted one would make the whole log count as corrupted.
        """
        for number in reversed(segment_numbers):
            scan = SegmentScan()
            is_last = number == segment_numbers[-1]
            first_record = next(segment_codec.iter_records(read_segment(number), is_last, scan), None)
            if first_record and scan.header and scan.header.owner == self._owner:
                return scan.header.oldest_segment
        return 0

    def _recover_segment(self, number: int, raw: bytes, is_last: bool) -> None:
        apply = self._index.apply
        on_metadata = self._on_metadata
        log = self.log

        def visit(state: RecordState, key: int, previous: int, offset: int, payload: memoryview) -> None:
            if state == RecordState.METADATA:
                on_metadata(bytes(payload))
                return
            apply(state, key, previous, pack_location(number, offset, state))

        scan = segment_codec.scan_segment(raw, is_last, visit)
        header = scan.header
        if scan.end is SegmentEnd.NEWER_FORMAT:
            self._mark_unusable(LogCondition.NEWER_FORMAT, f"segment {number}: {scan.reason}")
            return
        if scan.end is SegmentEnd.CORRUPTED:
            self._mark_unusable(LogCondition.CORRUPTED, f"segment {number}: {scan.reason}")
        if header is None:
            log.torn_bytes += len(raw)  # The segment was never reported as durable, so it is ignored.
            return
        if header.owner != self._owner:
            log.condition = LogCondition.FOREIGN_OWNER
            log.condition_reason = f"segment {number} belongs to {header.owner!r}"
            return
        self._check_continuity(number, header)
        if scan.end is SegmentEnd.TORN:
            log.torn_bytes += len(raw) - scan.valid_bytes
            log.truncation = Truncation(number, scan.valid_bytes)
        log.store_id = header.store_id
        log.last_batch = scan.last_batch
        log.previous_run_seconds = max(log.previous_run_seconds, header.elapsed_seconds)
        log.current_segment = number
        log.oldest_segment = header.oldest_segment
        log.segments[number] = SegmentInfo(header.elapsed_seconds, scan.format_version, scan.valid_bytes)

    def _check_continuity(self, number: int, header: SegmentHeader) -> None:
        """Check that a segment continues the previously read one."""
        log = self.log
        previous = log.current_segment
        if (
            header.segment != number
            or (previous and number != previous + 1)
            or (log.store_id and header.store_id != log.store_id)
        ):
            reason = f"segment {number} does not follow segment {previous}"
            self._mark_unusable(LogCondition.CORRUPTED, reason)
        elif previous and header.first_batch != log.last_batch + 1:
            self._mark_unusable(
                LogCondition.CORRUPTED,
                f"segment {number} begins with batch {header.first_batch}, "
                f"segment {previous} ends with {log.last_batch}",
            )
        elif log.condition is LogCondition.FRESH:
            log.condition = LogCondition.INTACT

    def _mark_unusable(self, condition: LogCondition, reason: str) -> None:
        log = self.log
        if log.condition.is_usable:
            log.condition = condition
            log.condition_reason = reason
