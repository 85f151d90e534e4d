"""The client's side of the PostgreSQL protocol, for connections from an agent to servers."""

from __future__ import annotations

import re
import struct
from dataclasses import dataclass
from enum import Enum, auto

from frostfall.protocol import pg
from frostfall.protocol.buffer import ReceiveBuffer
from frostfall.protocol.pg import MAX_READ_BYTES, MalformedReason

LOAD_PARAMETER = "vitals"
MAX_BUFFER_BYTES = pg.MAX_ANSWER_BYTES + MAX_READ_BYTES  # a whole message and the read that completes it
_COLUMN = struct.Struct("!IHIhih")  # table, column number, type, its length and modifier, format
_VALUE = struct.Struct("!Hi")  # number of columns in the row, length of the value
_BINARY = 1
MAX_VALUE_BYTES = 64 * 1024  # the protocol's limit for a value
_MESSAGE_TYPES = b"TDCEZSNRK"  # types of the messages that a server may send
_TAG = re.compile(rb"(?:SELECT|INSERT 0) 1\0\Z")


class ConnectionState(Enum):
    """The state of a connection."""

    STARTING = auto()
    READY = auto()
    QUERY_SENT = auto()  # the answer is incomplete
    ANSWER_RECEIVED = auto()  # ReadyForQuery is still missing
    BROKEN = auto()


@dataclass(frozen=True, slots=True)
class Row:
    """The answer to a query that succeeded: its messages as received, without ReadyForQuery."""

    data: bytes


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """The answer to a query that failed: its SQLSTATE code."""

    code: str


Answer = Row | ErrorAnswer | MalformedReason


class ClientProtocol:
    """Parses a server's bytes into the answer to the query under way.

    `answer` holds the result of the last query, or of a failed start. `load_report` holds the load report
    sent with it, which may also follow the answer, before ReadyForQuery.
    """

    def __init__(self, user: str, database: str) -> None:
        """Begin a connection, on which `startup_message` has to be sent first."""
        self.startup_message = pg.startup(user=user, database=database)
        self.state = ConnectionState.STARTING
        self.answer: Answer | None = None
        self._buffer = ReceiveBuffer(MAX_BUFFER_BYTES)
        self._messages: list[bytes] = []
        self.load_report: str | None = None

    @property
    def reusable(self) -> bool:
        """Return whether another query can be sent."""
        return self.state is ConnectionState.READY and not len(self._buffer)

    def encode_query(self, statement: bytes) -> bytes:
        """Return the bytes of a query.

        Raises RuntimeError unless the connection is ready: only one query may be under way at a time.
        """
        if self.state is not ConnectionState.READY:
            raise RuntimeError(f"cannot send a query on a connection in state {self.state.name}")
        self.state, self.answer, self._messages, self.load_report = ConnectionState.QUERY_SENT, None, [], None
        return pg.frame(b"Q", statement + b"\0")

    def feed(self, data: bytes) -> None:
        """Process received bytes."""
        if not self._buffer.feed(data):
            self._fail(MalformedReason.OVERSIZE)
        while self.state is not ConnectionState.BROKEN:
            if not len(self._buffer):
                return None
            if self._buffer.peek_byte() not in _MESSAGE_TYPES:
                return self._fail(MalformedReason.TYPE)  # garbage could pass for the start of a long message
            message = pg.next_message(self._buffer, pg.MAX_ANSWER_BYTES)
            if message is None:
                return None
            if isinstance(message, MalformedReason):
                self._fail(message)
            else:
                self._handle_message(*message)
        return None

    def _fail(self, reason: MalformedReason) -> None:
        self.state = ConnectionState.BROKEN
        self.answer = self.answer or reason

    def _handle_message(self, kind: bytes, payload: bytes) -> None:
        if kind == b"S":
            name, _, value = payload.rstrip(b"\0").partition(b"\0")
            if name == LOAD_PARAMETER.encode():
                self.load_report = value.decode("utf-8", "replace")
        elif kind == b"N":
            pass
        elif kind == b"E" and self.state is not ConnectionState.ANSWER_RECEIVED:
            starting = self.state is ConnectionState.STARTING
            self.answer = ErrorAnswer(pg.error_fields(payload).get("C", ""))
            self.state = (
                ConnectionState.BROKEN
                if starting or self.state is ConnectionState.READY
                else ConnectionState.ANSWER_RECEIVED
            )
        elif self.state is ConnectionState.STARTING:
            self._handle_startup_message(kind, payload)
        elif kind == b"Z" and self.state is ConnectionState.ANSWER_RECEIVED:
            self.state = ConnectionState.READY
        elif kind in (b"T", b"D", b"C") and self.state is ConnectionState.QUERY_SENT:
            self._handle_row_message(kind, payload)
        else:
            self._fail(MalformedReason.ORDER)

    def _handle_startup_message(self, kind: bytes, payload: bytes) -> None:
        if kind == b"Z":
            self.state = ConnectionState.READY
        elif kind == b"R" and payload != b"\0\0\0\0":
            self._fail(MalformedReason.TYPE)  # the server requests a password, and the agent has none
        elif kind not in (b"R", b"K"):
            self._fail(MalformedReason.ORDER)

    def _handle_row_message(self, kind: bytes, payload: bytes) -> None:
        # A valid answer is one RowDescription, one DataRow and CommandComplete, in this order.
        position = len(self._messages)
        if kind != (b"T", b"D", b"C")[position]:
            return self._fail(MalformedReason.ORDER)
        if not (_is_row_description, _is_data_row, _is_command_complete)[position](payload):
            return self._fail(MalformedReason.VALUE)
        self._messages.append(pg.frame(kind, payload))
        if kind == b"C":
            self.answer, self.state = Row(b"".join(self._messages)), ConnectionState.ANSWER_RECEIVED
        return None


def _is_row_description(payload: bytes) -> bool:
    """Return whether the payload describes one column, in binary format."""
    name_end = payload.find(b"\0", 2)
    if payload[:2] != b"\0\x01" or name_end < 0 or len(payload) != name_end + 1 + _COLUMN.size:
        return False
    return bool(_COLUMN.unpack(payload[name_end + 1 :])[-1] == _BINARY)


def _is_data_row(payload: bytes) -> bool:
    """Return whether the payload holds one value that is not null, with a correct and allowed length."""
    if len(payload) < _VALUE.size:
        return False
    columns, length = _VALUE.unpack(payload[: _VALUE.size])
    return bool(columns == 1 and length == len(payload) - _VALUE.size and length <= MAX_VALUE_BYTES)


def _is_command_complete(payload: bytes) -> bool:
    """Return whether the statement returned one row."""
    return _TAG.match(payload) is not None
