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

FORMAT = 2
OLDEST = 1  # the oldest format that is read: its records have no old place, and its headers name no store
MAGIC = b"FFLG"
MARK = b"\xf5\x1e"
PREAMBLE = struct.Struct("<4sHH")
RECORD_1 = struct.Struct("<IBQ")  # of format 1
FRAME = struct.Struct("<2sIBQI")
RECORD = struct.Struct("<IBQQ")
_SUMMED = struct.Struct("<BQ")
ANY = 1  # for an old place, in format 1: whichever the key has; no place in a log is this number
PAYLOAD_MOST = 1 << 26  # bytes: more in one frame is no frame of ours


class Kind(IntEnum):
    """Kinds of frames."""

    HEADER = 1
    BATCH = 2
    SYNCED = 3


class State(IntEnum):
    """What a record says of its key; a FACT has none and is handed to the owner as it is."""

    FACT = 0
    OPEN = 1  # begun, with no end known
    SERVED = 2  # ended, with an answer
    FAILED = 3  # ended, and it may have run
    NEVER = 4  # ended, and it never ran: as if it had not been
    FENCED = 6  # of a copy: settled by others as never begun, and never to be begun by its owner
    LOST = 5  # open when the owner's life ended: it may have run, and nobody will ever know


class Header(msgspec.Struct, frozen=True):
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

    state: State
    key: int
    payload: bytes
    old: int = 0  # the place, as from `place_of`, that its key leaves for this one


def frame(kind: Kind, number: int, payload: bytes) -> bytes:
    """One frame."""
    checksum = crc32c(payload, crc32c(_SUMMED.pack(kind, number)))
    return FRAME.pack(MARK, len(payload), kind, number, checksum) + payload


def opening(header: Header) -> bytes:
    """The first bytes of a segment."""
    return PREAMBLE.pack(MAGIC, FORMAT, 0) + frame(
        Kind.HEADER, header.segment, msgspec.msgpack.encode(header)
    )


def batch(number: int, records: list[Record]) -> tuple[bytes, list[int]]:
    """The frame of a batch, and where in it each record stands."""
    parts: list[bytes] = []
    places, at = [], FRAME.size
    for record in records:
        places.append(at)
        parts += RECORD.pack(len(record.payload), record.state, record.key, record.old), record.payload
        at += RECORD.size + len(record.payload)
    return frame(Kind.BATCH, number, b"".join(parts)), places


class End(IntEnum):
    """How a segment ends."""

    WHOLE = 0
    TORN = 1  # its last write did not go through: it was never told to be on disk
    DAMAGED = 2  # something that was on disk is not as it was written
    NEWER = 3  # a format that this version does not know


@dataclass(slots=True)
class Segment:
    """What was read of a segment."""

    header: Header | None = None
    version: int = FORMAT
    end: End = End.WHOLE
    good: int = 0  # bytes up to where all is as written
    batch: int = 0  # the number of the last good batch; that before the first one where there is none
    why: str = ""
    batches: int = 0
    marked: int = 0  # the highest batch that is marked as synced


Found = tuple[State, int, int, int, memoryview]  # state, key, old place, offset, payload
Apply = Callable[[State, int, int, int, memoryview], None]


def _frame_at(data: memoryview, at: int) -> tuple[Kind, int, memoryview] | None:
    """The frame that stands here, if a good one does."""
    if at + FRAME.size > len(data):
        return None
    mark, length, kind, number, checksum = FRAME.unpack_from(data, at)
    end = at + FRAME.size + length
    if mark != MARK or length > PAYLOAD_MOST or end > len(data) or kind not in (1, 2, 3):
        return None
    payload = data[at + FRAME.size : end]
    if crc32c(payload, crc32c(_SUMMED.pack(kind, number))) != checksum:
        return None
    return Kind(kind), number, payload


def _good_behind(data: memoryview, at: int) -> bool:
    """Whether a good frame stands anywhere behind this place."""
    raw = bytes(data[at + 1 :])
    place = raw.find(MARK)
    while place >= 0:
        if _frame_at(data, at + 1 + place):
            return True
        place = raw.find(MARK, place + 1)
    return False


def read(raw: bytes, last: bool, apply: Apply) -> Segment:
    """Read a segment and hand over its records in order; `last`: nothing was written after it.

    What comes back says how it ends. Records before a torn or damaged place have been handed over.
    """
    found = Segment()
    for record in walk(raw, last, found):
        apply(*record)
    return found


def walk(raw: bytes, last: bool, found: Segment) -> Iterator[Found]:
    """The same one by one; `found` is filled meanwhile."""
    data, version = memoryview(raw), FORMAT
    if len(data) >= PREAMBLE.size:
        magic, version, zero = PREAMBLE.unpack_from(data)
        if magic == MAGIC and version > FORMAT:
            found.end, found.why = End.NEWER, f"format {version}, and this version reads up to {FORMAT}"
            return
        if magic == MAGIC and version >= OLDEST and zero == 0:
            found.version = version
            first = _frame_at(data, PREAMBLE.size)
            if first and first[0] is Kind.HEADER:
                try:
                    found.header = msgspec.msgpack.decode(first[2], type=Header)
                except msgspec.MsgspecError as error:
                    found.end, found.why = End.DAMAGED, f"header: {error}"
                    return
    if found.header is None:
        # Danger: a segment is told to be on disk header and all. Only the last one may have no header yet.
        found.end = End.TORN if last and not _good_behind(data, -1) else End.DAMAGED
        found.why = "no header that can be read"
        return
    at = PREAMBLE.size + FRAME.size + len(first[2])  # type: ignore[index]
    found.batch = found.header.batch - 1
    while at < len(data):
        here = _frame_at(data, at)
        if here is None:
            _judge(found, data, at, last)
            break
        kind, number, payload = here
        if kind is Kind.BATCH:
            if number != found.batch + 1:
                found.end, found.why = End.DAMAGED, f"batch {number} behind {found.batch}"
                break
            yield from _records(payload, at + FRAME.size, version)
            found.batch, found.batches = number, found.batches + 1
        elif kind is Kind.SYNCED:
            found.marked = number
        at += FRAME.size + len(payload)
    found.good = at
    if found.marked > found.batch and found.end is not End.DAMAGED:
        found.end, found.why = End.DAMAGED, f"batch {found.marked} was on disk and is not here"


def _judge(found: Segment, data: memoryview, at: int, last: bool) -> None:
    """Tell a torn tail from damage."""
    # Danger: the mark behind a segment's last batch is not synced, and may be torn though others follow.
    # Which batch they begin with tells whether it was no more than that.
    if (last or len(data) - at <= FRAME.size) and not _good_behind(data, at):
        found.end, found.why = End.TORN, f"{len(data) - at} bytes of a write that did not go through"
    else:
        found.end, found.why = End.DAMAGED, f"byte {at} and what follows is not as it was written"


def _records(payload: memoryview, base: int, version: int) -> Iterator[Found]:
    at, shape = 0, RECORD_1 if version == 1 else RECORD
    unpack, size = shape.unpack_from, shape.size
    while at < len(payload):
        length, state, key, *old = unpack(payload, at)
        yield state, key, old[0] if old else ANY, base + at, payload[at + size : at + size + length]
        at += size + length


def record_at(raw: bytes, version: int = FORMAT) -> tuple[State, int, bytes] | None:
    """The record that these bytes begin with, or None where they hold none."""
    shape = RECORD_1 if version == 1 else RECORD
    if len(raw) < shape.size:
        return None
    length, state, key, *_ = shape.unpack_from(raw)
    if len(raw) < shape.size + length or state > State.FENCED:
        return None
    return State(state), key, raw[shape.size : shape.size + length]
