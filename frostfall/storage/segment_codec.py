"""A segment of the log as bytes: a preamble, then frames, each with a checksum (CRC-32C, RFC 3720).

    segment  = "FFLG" u16 format u16 0, frame(HEADER), frame(BATCH | SYNCED)*
    frame    = mark, u32 length, u8 kind, u64 number, u32 crc(kind, number, payload), payload
    batch    = record*;   record = u32 length, u8 state, u64 key, u64 old place or 0, payload

All little endian. Batches are numbered through all segments, with no gap. One is written only after the one
before it is on disk, and a SYNCED mark with its number follows it, itself not synced: so a bad frame with a
good one behind it was whole once.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import IntEnum

import msgspec
from crc32c import crc32c

FORMAT_VERSION = 2
OLDEST_FORMAT_VERSION = (
    1  # the oldest format that is read: its records have no old place, and its headers name no store
)
SEGMENT_MAGIC = b"FFLG"
FRAME_MARKER = b"\xf5\x1e"
PREAMBLE = struct.Struct("<4sHH")
RECORD_HEADER_V1 = struct.Struct("<IBQ")  # of format 1
FRAME_HEADER = struct.Struct("<2sIBQI")
RECORD_HEADER = struct.Struct("<IBQQ")
_SUMMED = struct.Struct("<BQ")
ANY_LOCATION = 1  # for an old place, in format 1: whichever the key has; no place in a log is this number
MAX_PAYLOAD_BYTES = 1 << 26  # bytes: more in one frame is no frame of ours


class FrameKind(IntEnum):
    """Kinds of frames."""

    HEADER = 1
    BATCH = 2
    SYNCED = 3


class RecordState(IntEnum):
    """What a record says of its key; a FACT has none and is handed to the owner as it is."""

    METADATA = 0
    OPEN = 1  # begun, with no end known
    SERVED = 2  # ended, with an answer
    FAILED = 3  # ended, and it may have run
    NOT_EXECUTED = 4  # ended, and it never ran: as if it had not been
    FENCED = 6  # of a copy: settled by others as never begun, and never to be begun by its owner
    OUTCOME_UNKNOWN = 5  # open when the owner's life ended: it may have run, and nobody will ever know


class SegmentHeader(msgspec.Struct, frozen=True):
    """What a segment says of itself."""

    owner: str
    segment: int
    first: int  # the oldest segment that counts
    batch: int  # the number of its first batch
    elapsed: float  # seconds that the owner had run, over all its lives, when it was begun
    store: str = ""  # made up once for each folder


@dataclass(frozen=True, slots=True)
class Record:
    """One record to be written."""

    state: RecordState
    key: int
    payload: bytes
    previous_location: int = 0  # the place, as from `place_of`, that its key leaves for this one


def encode_frame(kind: FrameKind, number: int, payload: bytes) -> bytes:
    """One frame."""
    checksum = crc32c(payload, crc32c(_SUMMED.pack(kind, number)))
    return FRAME_HEADER.pack(FRAME_MARKER, len(payload), kind, number, checksum) + payload


def encode_segment_start(header: SegmentHeader) -> bytes:
    """The first bytes of a segment."""
    return PREAMBLE.pack(SEGMENT_MAGIC, FORMAT_VERSION, 0) + encode_frame(
        FrameKind.HEADER, header.segment, msgspec.msgpack.encode(header)
    )


def encode_batch(number: int, records: list[Record]) -> tuple[bytes, list[int]]:
    """The frame of a batch, and where in it each record stands."""
    parts: list[bytes] = []
    places, at = [], FRAME_HEADER.size
    for record in records:
        places.append(at)
        parts += (
            RECORD_HEADER.pack(len(record.payload), record.state, record.key, record.previous_location),
            record.payload,
        )
        at += RECORD_HEADER.size + len(record.payload)
    return encode_frame(FrameKind.BATCH, number, b"".join(parts)), places


class SegmentEnd(IntEnum):
    """How a segment ends."""

    COMPLETE = 0
    TORN = 1  # its last write did not go through: it was never told to be on disk
    CORRUPTED = 2  # something that was on disk is not as it was written
    NEWER_FORMAT = 3  # a format that this version does not know


@dataclass(slots=True)
class SegmentScan:
    """What was read of a segment."""

    header: SegmentHeader | None = None
    format_version: int = FORMAT_VERSION
    end: SegmentEnd = SegmentEnd.COMPLETE
    valid_bytes: int = 0  # bytes up to where all is as written
    last_batch: int = 0  # the number of the last good batch; that before the first one where there is none
    reason: str = ""
    batch_count: int = 0
    last_synced_batch: int = 0  # the highest batch that is marked as synced


ScannedRecord = tuple[RecordState, int, int, int, memoryview]  # state, key, old place, offset, payload
RecordVisitor = Callable[[RecordState, int, int, int, memoryview], None]


def _frame_at(data: memoryview, at: int) -> tuple[FrameKind, int, memoryview] | None:
    """The frame that stands here, if a good one does."""
    if at + FRAME_HEADER.size > len(data):
        return None
    mark, length, kind, number, checksum = FRAME_HEADER.unpack_from(data, at)
    end = at + FRAME_HEADER.size + length
    if mark != FRAME_MARKER or length > MAX_PAYLOAD_BYTES or end > len(data) or kind not in (1, 2, 3):
        return None
    payload = data[at + FRAME_HEADER.size : end]
    if crc32c(payload, crc32c(_SUMMED.pack(kind, number))) != checksum:
        return None
    return FrameKind(kind), number, payload


def _good_behind(data: memoryview, at: int) -> bool:
    """Whether a good frame stands anywhere behind this place."""
    raw = bytes(data[at + 1 :])
    place = raw.find(FRAME_MARKER)
    while place >= 0:
        if _frame_at(data, at + 1 + place):
            return True
        place = raw.find(FRAME_MARKER, place + 1)
    return False


def scan_segment(raw: bytes, is_last: bool, visit: RecordVisitor) -> SegmentScan:
    """Read a segment and hand over its records in order; `last`: nothing was written after it.

    What comes back says how it ends. Records before a torn or damaged place have been handed over.
    """
    found = SegmentScan()
    for record in iter_records(raw, is_last, found):
        visit(*record)
    return found


def iter_records(raw: bytes, is_last: bool, scan: SegmentScan) -> Iterator[ScannedRecord]:
    """The same one by one; `found` is filled meanwhile."""
    data, version = memoryview(raw), FORMAT_VERSION
    if len(data) >= PREAMBLE.size:
        magic, version, zero = PREAMBLE.unpack_from(data)
        if magic == SEGMENT_MAGIC and version > FORMAT_VERSION:
            scan.end, scan.reason = (
                SegmentEnd.NEWER_FORMAT,
                f"format {version}, and this version reads up to {FORMAT_VERSION}",
            )
            return
        if magic == SEGMENT_MAGIC and version >= OLDEST_FORMAT_VERSION and zero == 0:
            scan.format_version = version
            first = _frame_at(data, PREAMBLE.size)
            if first and first[0] is FrameKind.HEADER:
                try:
                    scan.header = msgspec.msgpack.decode(first[2], type=SegmentHeader)
                except msgspec.MsgspecError as error:
                    scan.end, scan.reason = SegmentEnd.CORRUPTED, f"header: {error}"
                    return
    if scan.header is None:
        # Danger: a segment is told to be on disk header and all. Only the last one may have no header yet.
        scan.end = SegmentEnd.TORN if is_last and not _good_behind(data, -1) else SegmentEnd.CORRUPTED
        scan.reason = "no header that can be read"
        return
    at = PREAMBLE.size + FRAME_HEADER.size + len(first[2])  # type: ignore[index]
    scan.last_batch = scan.header.batch - 1
    while at < len(data):
        here = _frame_at(data, at)
        if here is None:
            _judge(scan, data, at, is_last)
            break
        kind, number, payload = here
        if kind is FrameKind.BATCH:
            if number != scan.last_batch + 1:
                scan.end, scan.reason = SegmentEnd.CORRUPTED, f"batch {number} behind {scan.last_batch}"
                break
            yield from _records(payload, at + FRAME_HEADER.size, version)
            scan.last_batch, scan.batch_count = number, scan.batch_count + 1
        elif kind is FrameKind.SYNCED:
            scan.last_synced_batch = number
        at += FRAME_HEADER.size + len(payload)
    scan.valid_bytes = at
    if scan.last_synced_batch > scan.last_batch and scan.end is not SegmentEnd.CORRUPTED:
        scan.end, scan.reason = (
            SegmentEnd.CORRUPTED,
            f"batch {scan.last_synced_batch} was on disk and is not here",
        )


def _judge(found: SegmentScan, data: memoryview, at: int, last: bool) -> None:
    """Tell a torn tail from damage."""
    # Danger: the mark behind a segment's last batch is not synced, and may be torn though others follow.
    # Which batch they begin with tells whether it was no more than that.
    if (last or len(data) - at <= FRAME_HEADER.size) and not _good_behind(data, at):
        found.end, found.reason = (
            SegmentEnd.TORN,
            f"{len(data) - at} bytes of a write that did not go through",
        )
    else:
        found.end, found.reason = SegmentEnd.CORRUPTED, f"byte {at} and what follows is not as it was written"


def _records(payload: memoryview, base: int, version: int) -> Iterator[ScannedRecord]:
    at, shape = 0, RECORD_HEADER_V1 if version == 1 else RECORD_HEADER
    unpack, size = shape.unpack_from, shape.size
    while at < len(payload):
        length, state, key, *old = unpack(payload, at)
        yield state, key, old[0] if old else ANY_LOCATION, base + at, payload[at + size : at + size + length]
        at += size + length


def decode_record(raw: bytes, format_version: int = FORMAT_VERSION) -> tuple[RecordState, int, bytes] | None:
    """The record that these bytes begin with, or None where they hold none."""
    shape = RECORD_HEADER_V1 if format_version == 1 else RECORD_HEADER
    if len(raw) < shape.size:
        return None
    length, state, key, *_ = shape.unpack_from(raw)
    if len(raw) < shape.size + length or state > RecordState.FENCED:
        return None
    return RecordState(state), key, raw[shape.size : shape.size + length]
