"""JSON-RPC 2.0 with one object a line: calls out, results and notifications in."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from frostfall.protocol.buffer import Buffer

LINE_MOST = 256 * 1024  # bytes: the platform cuts off a reader that falls further behind


@dataclass(frozen=True, slots=True)
class Result:
    """The answer to a call that was carried out."""

    id: int
    value: Any


@dataclass(frozen=True, slots=True)
class Failure:
    """The answer to a call that was not."""

    id: int
    message: str


@dataclass(frozen=True, slots=True)
class Notification:
    """Something told unasked."""

    method: str
    params: Any


@dataclass(frozen=True, slots=True)
class Unreadable:
    """A line that is none of these; the connection is of no more use."""

    why: str


Incoming = Result | Failure | Notification | Unreadable


def call(number: int, method: str, params: dict[str, Any] | None = None) -> bytes:
    """The line of a call."""
    message = {"jsonrpc": "2.0", "id": number, "method": method}
    return msgspec.json.encode(message | ({"params": params} if params is not None else {})) + b"\n"


class Lines:
    """Fed bytes; `next_message` gives each line's meaning."""

    def __init__(self) -> None:
        """A connection on which nothing has come yet."""
        self._buffer = Buffer(LINE_MOST)
        self._searched = 0
        self._overflow = False

    def feed(self, data: bytes) -> None:
        """Take in what the other side sent."""
        self._overflow = self._overflow or not self._buffer.feed(data)

    def next_message(self) -> Incoming | None:
        """The next line's meaning; None where more bytes are needed."""
        while (end := self._buffer.find(b"\n", self._searched)) >= 0:
            self._searched = 0
            if line := self._buffer.take(end + 1).strip():
                return _meaning(line)
        self._searched = len(self._buffer)
        return Unreadable("a line over the size limit") if self._overflow else None


def _meaning(line: bytes) -> Incoming:
    try:
        message = msgspec.json.decode(line)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Unreadable(str(error))
    if not isinstance(message, dict):
        return Unreadable("a line that is no object")
    number, method, fault = message.get("id"), message.get("method"), message.get("error")
    if isinstance(method, str) and number is None:
        return Notification(method, message.get("params"))
    if isinstance(number, int) and isinstance(fault, dict):
        return Failure(number, str(fault.get("message", "")))
    if isinstance(number, int) and "result" in message:
        return Result(number, message["result"])
    return Unreadable("an object that is neither an answer nor a notification")
