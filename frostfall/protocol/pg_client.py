"""The client's side of a connection: what an appliance says to an agent."""

from __future__ import annotations

import re
import struct
from dataclasses import dataclass
from enum import Enum, auto

from frostfall.protocol import pg
from frostfall.protocol.buffer import Buffer
from frostfall.protocol.pg import READ_MOST, Malformed

LOAD_PARAMETER = "vitals"
BUFFER_MOST = pg.ANSWER_MOST + READ_MOST  # bytes: a whole message and the read that completes it
_COLUMN = struct.Struct("!IHIhih")  # table, place, type, its length and modifier, format
_VALUE = struct.Struct("!Hi")  # the row's columns, the value's length
_BINARY = 1
VALUE_MOST = 64 * 1024  # bytes: no value is larger, by the protocol
_KINDS = b"TDCEZSNRK"  # the messages that an appliance may send
_TAG = re.compile(rb"(?:SELECT|INSERT 0) 1\0\Z")


class State(Enum):
    """Where a connection stands."""

    STARTING = auto()
    READY = auto()
    ASKED = auto()  # a query is out
    ANSWERED = auto()  # its answer has come, ReadyForQuery has not
    BROKEN = auto()


@dataclass(frozen=True, slots=True)
class Row:
    """The answer of a query that was served: its messages as they came, without ReadyForQuery."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Refusal:
    """The answer of a query that was not: the error's code."""

    code: str


Answer = Row | Refusal | Malformed


class ClientSide:
    """Fed an appliance's bytes.

    `answer` holds what the last query, or the start, led to; `load` the load report that came with it, which
    may follow the answer and precede ReadyForQuery.
    """

    def __init__(self, user: str, database: str) -> None:
        """A connection that has yet to say who it is: `opening` goes out first."""
        self.opening = pg.startup(user=user, database=database)
        self.state = State.STARTING
        self.answer: Answer | None = None
        self._buffer = Buffer(BUFFER_MOST)
        self._messages: list[bytes] = []
        self.load: str | None = None

    @property
    def reusable(self) -> bool:
        """Whether another query may be written."""
        return self.state is State.READY and not len(self._buffer)

    def ask(self, statement: bytes) -> bytes:
        """The bytes of a query, of which one may be out at a time."""
        if self.state is not State.READY:
            raise RuntimeError(f"a query on a connection in state {self.state.name}")
        self.state, self.answer, self._messages, self.load = State.ASKED, None, [], None
        return pg.frame(b"Q", statement + b"\0")

    def feed(self, data: bytes) -> None:
        """Take in what the appliance sent."""
        if not self._buffer.feed(data):
            self._break(Malformed.OVERSIZE)
        while self.state is not State.BROKEN:
            if not len(self._buffer):
                return None
            if self._buffer.first() not in _KINDS:
                return self._break(Malformed.TYPE)  # noise may look like the start of a long message
            message = pg.next_message(self._buffer, pg.ANSWER_MOST)
            if message is None:
                return None
            if isinstance(message, Malformed):
                self._break(message)
            else:
                self._take(*message)
        return None

    def _break(self, why: Malformed) -> None:
        self.state = State.BROKEN
        self.answer = self.answer or why

    def _take(self, kind: bytes, payload: bytes) -> None:
        if kind == b"S":
            name, _, value = payload.rstrip(b"\0").partition(b"\0")
            if name == LOAD_PARAMETER.encode():
                self.load = value.decode("utf-8", "replace")
        elif kind == b"N":
            pass
        elif kind == b"E" and self.state is not State.ANSWERED:
            starting = self.state is State.STARTING
            self.answer = Refusal(pg.error_fields(payload).get("C", ""))
            self.state = State.BROKEN if starting or self.state is State.READY else State.ANSWERED
        elif self.state is State.STARTING:
            self._starting(kind, payload)
        elif kind == b"Z" and self.state is State.ANSWERED:
            self.state = State.READY
        elif kind in (b"T", b"D", b"C") and self.state is State.ASKED:
            self._row(kind, payload)
        else:
            self._break(Malformed.ORDER)

    def _starting(self, kind: bytes, payload: bytes) -> None:
        if kind == b"Z":
            self.state = State.READY
        elif kind == b"R" and payload != b"\0\0\0\0":
            self._break(Malformed.TYPE)  # a password, which there is none of
        elif kind not in (b"R", b"K"):
            self._break(Malformed.ORDER)

    def _row(self, kind: bytes, payload: bytes) -> None:
        # One RowDescription, one DataRow, CommandComplete; anything else is no answer.
        place = len(self._messages)
        if kind != (b"T", b"D", b"C")[place]:
            return self._break(Malformed.ORDER)
        if not (_is_row_description, _is_data_row, _is_command_complete)[place](payload):
            return self._break(Malformed.VALUE)
        self._messages.append(pg.frame(kind, payload))
        if kind == b"C":
            self.answer, self.state = Row(b"".join(self._messages)), State.ANSWERED
        return None


def _is_row_description(payload: bytes) -> bool:
    """Whether it describes one named column in binary format."""
    name = payload.find(b"\0", 2)
    if payload[:2] != b"\0\x01" or name < 0 or len(payload) != name + 1 + _COLUMN.size:
        return False
    return bool(_COLUMN.unpack(payload[name + 1 :])[-1] == _BINARY)


def _is_data_row(payload: bytes) -> bool:
    """Whether it holds one value, not null, whose length fits."""
    if len(payload) < _VALUE.size:
        return False
    columns, length = _VALUE.unpack(payload[: _VALUE.size])
    return bool(columns == 1 and length == len(payload) - _VALUE.size and length <= VALUE_MOST)


def _is_command_complete(payload: bytes) -> bool:
    """Whether the statement gave one row."""
    return _TAG.match(payload) is not None
