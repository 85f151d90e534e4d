"""What both sides of PostgreSQL's protocol, version 3, have in common: frames and message types."""

from __future__ import annotations

import struct
from enum import Enum

from frostfall.protocol.buffer import Buffer

PROTOCOL_3 = 196608
CANCEL_REQUEST = 80877102  # codes that stand in place of a startup packet's protocol version
SSL_REQUEST = 80877103
GSSENC_REQUEST = 80877104
STARTUP_MOST = 10_000  # bytes: what PostgreSQL itself allows a startup packet
MESSAGE_MOST = 160 * 1024  # bytes: a value of 64 KiB written in hex, and the statement around it
ANSWER_MOST = 72 * 1024  # bytes: a value of 64 KiB as it is, and what is around it
READ_MOST = 32 * 1024  # bytes: what one read takes at most, so that no connection keeps the others waiting
BUFFER_MOST = MESSAGE_MOST + READ_MOST  # bytes: a whole message and the read that completes it

READY = b"Z\x00\x00\x00\x05I"
TERMINATE = b"X\x00\x00\x00\x04"

_LENGTH = struct.Struct("!I")
_STARTUP = struct.Struct("!II")


class Malformed(Enum):
    """Why bytes are no message; a value, not an exception."""

    LENGTH = "a message with a bad length"
    OVERSIZE = "a message over the size limit"
    STARTUP = "no startup message of protocol version 3"
    TYPE = "a message of a type that is not spoken here"
    TEXT = "a message with bad text"
    ORDER = "a message out of order"
    VALUE = "an answer that cannot be the value"
    SILENT = "no whole query in time"


def frame(kind: bytes, payload: bytes) -> bytes:
    """One message as it goes on the wire."""
    return kind + _LENGTH.pack(len(payload) + 4) + payload


def startup(**parameters: str) -> bytes:
    """The message that opens a connection."""
    text = b"".join(part.encode() + b"\0" for pair in parameters.items() for part in pair) + b"\0"
    return _STARTUP.pack(len(text) + 8, PROTOCOL_3) + text


def parameter_status(name: str, value: str) -> bytes:
    """One run-time parameter, as the server tells it."""
    return frame(b"S", name.encode() + b"\0" + value.encode() + b"\0")


def error_response(severity: str, code: str, text: str, detail: str | None = None) -> bytes:
    """An ErrorResponse; `detail` is its field D."""
    fields = [("S", severity), ("V", severity), ("C", code), ("M", text)]
    if detail is not None:
        fields.append(("D", detail))
    return frame(b"E", b"".join(name.encode() + value.encode() + b"\0" for name, value in fields) + b"\0")


def error_fields(payload: bytes) -> dict[str, str]:
    """The fields of an ErrorResponse or a notice by their letters; what cannot be read is left out."""
    parts = (part for part in payload.split(b"\0") if part)
    return {part[:1].decode("latin-1"): part[1:].decode("utf-8", "replace") for part in parts}


def next_message(buffer: Buffer, most: int = MESSAGE_MOST) -> tuple[bytes, bytes] | Malformed | None:
    """The next whole message as its type and its payload; None where more bytes are needed."""
    unread = len(buffer)
    if unread < 5:
        return None
    length = buffer.number(1)
    if length < 4:
        return Malformed.LENGTH
    if length > most:
        return Malformed.OVERSIZE
    if unread < length + 1:
        return None
    message = buffer.take(length + 1)
    return message[:1], message[5:]


def next_startup(buffer: Buffer) -> tuple[int, bytes] | Malformed | None:
    """The next startup packet as its code and what follows; None where more bytes are needed."""
    if len(buffer) < 8:
        return None
    length, code = _STARTUP.unpack(buffer.peek(8))
    if not 8 <= length <= STARTUP_MOST:
        return Malformed.LENGTH
    if len(buffer) < length:
        return None
    return int(code), buffer.take(length)[8:]
