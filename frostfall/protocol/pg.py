"""The parts of the PostgreSQL protocol, version 3, that both sides share: framing and common messages."""

from __future__ import annotations

import struct
from enum import Enum

from frostfall.protocol.buffer import ReceiveBuffer

PROTOCOL_3 = 196608
# Request codes, sent in a startup packet in place of the protocol version.
CANCEL_REQUEST = 80877102
SSL_REQUEST = 80877103
GSSENC_REQUEST = 80877104
MAX_STARTUP_BYTES = 10_000  # the limit of PostgreSQL itself for a startup packet
MAX_MESSAGE_BYTES = 160 * 1024  # a value of 64 KiB in hex and the statement around it
MAX_ANSWER_BYTES = 72 * 1024  # a value of 64 KiB in binary and the message around it
MAX_READ_BYTES = 32 * 1024  # the limit of one read, so that no connection delays the others
MAX_BUFFER_BYTES = MAX_MESSAGE_BYTES + MAX_READ_BYTES  # a whole message and the read that completes it

READY_FOR_QUERY = b"Z\x00\x00\x00\x05I"
TERMINATE = b"X\x00\x00\x00\x04"

_LENGTH = struct.Struct("!I")
_STARTUP = struct.Struct("!II")


class MalformedReason(Enum):
    """The reason why received bytes are not a valid message: returned as a value, not raised."""

    LENGTH = "a message with a bad length"
    OVERSIZE = "a message over the size limit"
    STARTUP = "no startup message of protocol version 3"
    TYPE = "a message of a type that is not spoken here"
    TEXT = "a message with bad text"
    ORDER = "a message out of order"
    VALUE = "an answer that cannot be the value"
    SILENT = "no whole query in time"


def frame(kind: bytes, payload: bytes) -> bytes:
    """Encode a message."""
    return kind + _LENGTH.pack(len(payload) + 4) + payload


def startup(**parameters: str) -> bytes:
    """Encode the startup packet, which opens a connection."""
    text = b"".join(part.encode() + b"\0" for pair in parameters.items() for part in pair) + b"\0"
    return _STARTUP.pack(len(text) + 8, PROTOCOL_3) + text


def parameter_status(name: str, value: str) -> bytes:
    """Encode a ParameterStatus message, in which a server reports a run-time parameter."""
    return frame(b"S", name.encode() + b"\0" + value.encode() + b"\0")


def error_response(severity: str, code: str, text: str, detail: str | None = None) -> bytes:
    """Encode an ErrorResponse; `detail` is its field D."""
    fields = [("S", severity), ("V", severity), ("C", code), ("M", text)]
    if detail is not None:
        fields.append(("D", detail))
    return frame(b"E", b"".join(name.encode() + value.encode() + b"\0" for name, value in fields) + b"\0")


def error_fields(payload: bytes) -> dict[str, str]:
    """Return the fields of an ErrorResponse or NoticeResponse by their letters, with bad UTF-8 replaced."""
    parts = (part for part in payload.split(b"\0") if part)
    return {part[:1].decode("latin-1"): part[1:].decode("utf-8", "replace") for part in parts}


def next_message(
    buffer: ReceiveBuffer, max_length: int = MAX_MESSAGE_BYTES
) -> tuple[bytes, bytes] | MalformedReason | None:
    """Return the next message as its type and payload; None if it is incomplete."""
    unread = len(buffer)
    if unread < 5:
        return None
    length = buffer.peek_uint32(1)
    if length < 4:
        return MalformedReason.LENGTH
    if length > max_length:
        return MalformedReason.OVERSIZE
    if unread < length + 1:
        return None
    message = buffer.take(length + 1)
    return message[:1], message[5:]


def next_startup(buffer: ReceiveBuffer) -> tuple[int, bytes] | MalformedReason | None:
    """Return the next startup packet as its code and the rest; None if it is incomplete."""
    if len(buffer) < 8:
        return None
    length, code = _STARTUP.unpack(buffer.peek(8))
    if not 8 <= length <= MAX_STARTUP_BYTES:
        return MalformedReason.LENGTH
    if len(buffer) < length:
        return None
    return int(code), buffer.take(length)[8:]
