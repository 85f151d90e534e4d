"""Codec for the segments of the write-ahead log: a preamble, then frames, each with a CRC-32C (RFC 3720).

    segment  = "FFLG" u16 format version, u16 0, frame(HEADER), frame(BATCH | SYNCED)*
    frame    = marker, u32 length, u8 kind, u64 number, u32 crc(kind, number, payload), payload
    batch    = record*;   record = u32 length, u8 state, u64 key, u64 previous location or 0, payload

All integers are little-endian. Batches are numbered without gaps across all segments. A batch is written only
after the previous one has been synced, and is followed by a SYNCED frame with its number, which is not synced
itself. An invalid frame with a valid frame after it was therefore intact before: it is corruption, and not a
torn write.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

import msgspec
from crc32c import crc32c

FORMAT_VERSION = 2
# Format version 1 has no previous location in its records and no store id in its headers.
OLDEST_FORMAT_VERSION = 1
SEGMENT_MAGIC = b"FFLG"
FRAME_MARKER = b"\xf5\x1e"
PREAMBLE = struct.Struct("<4sHH")
FRAME_HEADER = struct.Struct("<2sIBQI")
RECORD_HEADER = struct.Struct("<IBQQ")
RECORD_HEADER_V1 = struct.Struct("<IBQ")
# Previous location of all records of format version 1, which replace any location of their key. No packed
# location has this value.
ANY_LOCATION = 1
MAX_PAYLOAD_BYTES = 1 << 26  # maximum for one frame

_CHECKSUMMED_FIELDS = struct.Struct("<BQ")  # a frame's kind and number


class FrameKind(IntEnum):
    """Kind of a frame; the values are stored."""

    HEADER = 1
    BATCH = 2
    SYNCED = 3


class RecordState(IntEnum):
    """State of a record's key; the values are stored.

    METADATA records have no key, and their payload is passed to the log's owner unchanged.
    """

    METADATA = 0
    OPEN = 1  # The operation was begun, and its outcome is not recorded yet.
    SERVED = 2  # The operation ended with an answer.
    FAILED = 3  # The operation ended with an error, and may have run.
    NOT_EXECUTED = 4  # The operation ended without having run, as if it had never begun.
    OUTCOME_UNKNOWN = 5  # The operation was open when its owner's incarnation ended, and may have run.
    # A quorum has settled that the operation never began, and its owner must not begin it (replicas only).
    FENCED = 6


class SegmentHeader(msgspec.Struct, frozen=True):
    """Payload of a segment's first frame; the encoded names of its fields are stored."""

    owner: str
    segment: int
    oldest_segment: int = msgspec.field(name="first")  # oldest segment in use when this one was started
    first_batch: int = msgspec.field(name="batch")
    # Running time of the owner, summed over its incarnations, at the segment's start, in seconds.
    elapsed_seconds: float = msgspec.field(name="elapsed")
    store_id: str = msgspec.field(name="store", default="")  # random id of the directory


@dataclass(frozen=True, slots=True)
class Record:
    """A record to be written."""

    state: RecordState
    key: int
    payload: bytes
    previous_location: int = 0  # packed location of the record that this one replaces; 0 for none


class DecodedRecord(NamedTuple):
    """A record decoded at a given offset."""

    state: RecordState
    key: int
    payload: bytes


class Frame(NamedTuple):
    """A frame with a valid checksum."""

    kind: FrameKind
    number: int
    payload: memoryview


class EncodedBatch(NamedTuple):
    """A batch encoded as a frame, with each record's offset in the frame."""

    data: bytes
    record_offsets: list[int]


class SegmentEnd(IntEnum):
    """State of the end of a segment."""

    COMPLETE = 0
    TORN = 1  # The last write was interrupted, and was never reported as durable.
    CORRUPTED = 2  # Durable data is missing or changed.
    NEWER_FORMAT = 3  # The segment has a format version that this program does not support.


@dataclass(slots=True)
class SegmentScan:
    """Result of reading a segment."""

    header: SegmentHeader | None = None
    format_version: int = FORMAT_VERSION
    end: SegmentEnd = SegmentEnd.COMPLETE
    reason: str = ""  # reason for an end other than COMPLETE
    valid_bytes: int = 0  # length of the intact prefix
    # Number of the last valid batch; one less than the header's first batch if there is none.
    last_batch: int = 0
    batch_count: int = 0
    last_synced_batch: int = 0  # last batch with a SYNCED frame

    def finish(self, end: SegmentEnd, reason: str) -> None:
        """Record an end of the segment other than COMPLETE."""
        self.end = end
        self.reason = reason


# State (as a plain integer), key, previous location, offset in the segment, payload. It is a plain tuple for
# speed, because a start reads every record of the log.
ScannedRecord = tuple[RecordState, int, int, int, memoryview]
RecordVisitor = Callable[[RecordState, int, int, int, memoryview], None]


def encode_frame(kind: FrameKind, number: int, payload: bytes) -> bytes:
    """Encode one frame."""
    checksum = crc32c(payload, crc32c(_CHECKSUMMED_FIELDS.pack(kind, number)))
    return FRAME_HEADER.pack(FRAME_MARKER, len(payload), kind, number, checksum) + payload


def encode_segment_start(header: SegmentHeader) -> bytes:
    """Encode the preamble and the header frame of a segment."""
    preamble = PREAMBLE.pack(SEGMENT_MAGIC, FORMAT_VERSION, 0)
    return preamble + encode_frame(FrameKind.HEADER, header.segment, msgspec.msgpack.encode(header))


def encode_batch(number: int, records: list[Record]) -> EncodedBatch:
    """Encode a batch of records as one frame."""
    parts: list[bytes] = []
    offsets: list[int] = []
    offset = FRAME_HEADER.size
    for record in records:
        offsets.append(offset)
        parts += (
            RECORD_HEADER.pack(len(record.payload), record.state, record.key, record.previous_location),
            record.payload,
        )
        offset += RECORD_HEADER.size + len(record.payload)
    return EncodedBatch(encode_frame(FrameKind.BATCH, number, b"".join(parts)), offsets)


def decode_frame(data: memoryview, offset: int) -> Frame | None:
    """Decode the frame at an offset; None if there is no complete frame with a valid checksum."""
    if offset + FRAME_HEADER.size > len(data):
        return None
    marker, length, kind, number, checksum = FRAME_HEADER.unpack_from(data, offset)
    end = offset + FRAME_HEADER.size + length
    if marker != FRAME_MARKER or length > MAX_PAYLOAD_BYTES or end > len(data) or kind not in (1, 2, 3):
        return None
    payload = data[offset + FRAME_HEADER.size : end]
    if crc32c(payload, crc32c(_CHECKSUMMED_FIELDS.pack(kind, number))) != checksum:
        return None
    return Frame(FrameKind(kind), number, payload)


def decode_record(raw: bytes, format_version: int = FORMAT_VERSION) -> DecodedRecord | None:
    """Decode the record at the start of `raw`; None if it is incomplete or has an unknown state."""
    header = _record_header(format_version)
    if len(raw) < header.size:
        return None
    length, state, key, *_ = header.unpack_from(raw)
    if len(raw) < header.size + length or state > RecordState.FENCED:
        return None
    return DecodedRecord(RecordState(state), key, raw[header.size : header.size + length])


def scan_segment(raw: bytes, is_last: bool, visit: RecordVisitor) -> SegmentScan:
    """Read a segment and pass its records to `visit` in order.

    `is_last` states that no later segment exists, so that the last write of this one may be torn. Records
    before a torn or corrupted frame are visited too.
    """
    scan = SegmentScan()
    for record in iter_records(raw, is_last, scan):
        visit(*record)
    return scan


def iter_records(raw: bytes, is_last: bool, scan: SegmentScan) -> Iterator[ScannedRecord]:
    """Yield the records of a segment in order and fill `scan`. See `scan_segment`."""
    data = memoryview(raw)
    offset = _scan_header(data, is_last, scan)
    if scan.header is None:
        return
    scan.last_batch = scan.header.first_batch - 1
    while offset < len(data):
        frame = decode_frame(data, offset)
        if frame is None:
            _classify_bad_frame(scan, data, offset, is_last)
            break
        kind, number, payload = frame
        if kind is FrameKind.BATCH:
            if number != scan.last_batch + 1:
                scan.finish(SegmentEnd.CORRUPTED, f"batch {number} behind {scan.last_batch}")
                break
            yield from iter_batch_records(payload, offset + FRAME_HEADER.size, scan.format_version)
            scan.last_batch = number
            scan.batch_count += 1
        elif kind is FrameKind.SYNCED:
            scan.last_synced_batch = number
        offset += FRAME_HEADER.size + len(payload)
    scan.valid_bytes = offset
    if scan.last_synced_batch > scan.last_batch and scan.end is not SegmentEnd.CORRUPTED:
        scan.finish(SegmentEnd.CORRUPTED, f"batch {scan.last_synced_batch} was on disk and is not here")


def iter_batch_records(payload: memoryview, base_offset: int, format_version: int) -> Iterator[ScannedRecord]:
    """Yield the records of a batch frame's payload, which starts at `base_offset` in the segment."""
    header = _record_header(format_version)
    unpack = header.unpack_from
    size = header.size
    offset = 0
    while offset < len(payload):
        length, state, key, *previous = unpack(payload, offset)
        location = previous[0] if previous else ANY_LOCATION
        yield state, key, location, base_offset + offset, payload[offset + size : offset + size + length]
        offset += size + length


def _record_header(format_version: int) -> struct.Struct:
    return RECORD_HEADER_V1 if format_version == 1 else RECORD_HEADER


def _has_valid_frame_after(data: memoryview, offset: int) -> bool:
    """Return whether a valid frame starts anywhere after this offset."""
    remainder = bytes(data[offset + 1 :])
    position = remainder.find(FRAME_MARKER)
    while position >= 0:
        if decode_frame(data, offset + 1 + position):
            return True
        position = remainder.find(FRAME_MARKER, position + 1)
    return False


def _scan_header(data: memoryview, is_last: bool, scan: SegmentScan) -> int:
    """Read preamble and header and return the offset after them; `scan.header` stays None if unusable."""
    if len(data) >= PREAMBLE.size:
        magic, version, reserved = PREAMBLE.unpack_from(data)
        if magic == SEGMENT_MAGIC and version > FORMAT_VERSION:
            reason = f"format {version}, and this version reads up to {FORMAT_VERSION}"
            scan.finish(SegmentEnd.NEWER_FORMAT, reason)
            return 0
        if magic == SEGMENT_MAGIC and version >= OLDEST_FORMAT_VERSION and reserved == 0:
            scan.format_version = version
            frame = decode_frame(data, PREAMBLE.size)
            if frame and frame.kind is FrameKind.HEADER:
                try:
                    scan.header = msgspec.msgpack.decode(frame.payload, type=SegmentHeader)
                except msgspec.MsgspecError as error:
                    scan.finish(SegmentEnd.CORRUPTED, f"header: {error}")
                    return 0
                return PREAMBLE.size + FRAME_HEADER.size + len(frame.payload)
    # A segment is reported as durable together with its header, so only the last segment may lack its header.
    is_torn = is_last and not _has_valid_frame_after(data, -1)
    scan.finish(SegmentEnd.TORN if is_torn else SegmentEnd.CORRUPTED, "no header that can be read")
    return 0


def _classify_bad_frame(scan: SegmentScan, data: memoryview, offset: int, is_last: bool) -> None:
    """Classify an invalid frame as a torn write or as corruption."""
    remaining = len(data) - offset
    # The SYNCED frame after a segment's last batch is not synced, so it may be torn even if later segments
    # exist. The first batch number of the next segment reveals a loss of more than this frame.
    may_be_torn = is_last or remaining <= FRAME_HEADER.size
    if may_be_torn and not _has_valid_frame_after(data, offset):
        scan.finish(SegmentEnd.TORN, f"{remaining} bytes of a write that did not go through")
    else:
        scan.finish(SegmentEnd.CORRUPTED, f"byte {offset} and what follows is not as it was written")
