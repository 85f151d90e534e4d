"""JSON-RPC 2.0 with one object per line: outgoing calls, incoming results, errors and notifications."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from frostfall.protocol.buffer import ReceiveBuffer

MAX_LINE_BYTES = 256 * 1024  # the rollout API disconnects a reader that falls further behind


@dataclass(frozen=True, slots=True)
class Result:
    """The result of a call that succeeded."""

    id: int
    value: Any


@dataclass(frozen=True, slots=True)
class Failure:
    """The error of a call that failed."""

    id: int
    message: str


@dataclass(frozen=True, slots=True)
class Notification:
    """A message that is not the response to a call."""

    method: str
    params: Any


@dataclass(frozen=True, slots=True)
class MalformedLine:
    """A line that is none of the other messages; the connection cannot be used any further."""

    reason: str


Incoming = Result | Failure | Notification | MalformedLine


def encode_call(number: int, method: str, params: dict[str, Any] | None = None) -> bytes:
    """Encode a call as one line."""
    message = {"jsonrpc": "2.0", "id": number, "method": method}
    return msgspec.json.encode(message | ({"params": params} if params is not None else {})) + b"\n"


class LineReader:
    """Splits received bytes into lines and parses them."""

    def __init__(self) -> None:
        """Begin with nothing received."""
        self._buffer = ReceiveBuffer(MAX_LINE_BYTES)
        self._search_start = 0  # the buffer has no newline before this offset
        self._overflow = False

    def feed(self, data: bytes) -> None:
        """Process received bytes."""
        self._overflow = self._overflow or not self._buffer.feed(data)

    def next_message(self) -> Incoming | None:
        """Return the next message; None until more bytes have been received."""
        while (end := self._buffer.find(b"\n", self._search_start)) >= 0:
            self._search_start = 0
            if line := self._buffer.take(end + 1).strip():
                return _parse_line(line)
        self._search_start = len(self._buffer)
        return MalformedLine("a line over the size limit") if self._overflow else None


def _parse_line(line: bytes) -> Incoming:
    try:
        message = msgspec.json.decode(line)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return MalformedLine(str(error))
    if not isinstance(message, dict):
        return MalformedLine("a line that is no object")
    number, method, error_object = message.get("id"), message.get("method"), message.get("error")
    if isinstance(method, str) and number is None:
        return Notification(method, message.get("params"))
    if isinstance(number, int) and isinstance(error_object, dict):
        return Failure(number, str(error_object.get("message", "")))
    if isinstance(number, int) and "result" in message:
        return Result(number, message["result"])
    return MalformedLine("an object that is neither an answer nor a notification")
