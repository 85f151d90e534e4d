"""The client's side of a connection: what an appliance says to an agent."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from frostfall.protocol import pg
from frostfall.protocol.buffer import Buffer
from frostfall.protocol.pg import Malformed

LOAD_PARAMETER = "vitals"


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
        self._buffer = Buffer(pg.BUFFER_MOST)
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
            message = pg.next_message(self._buffer)
            if message is None:
                return
            if isinstance(message, Malformed):
                self._break(message)
            else:
                self._take(*message)

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
        if kind != (b"T", b"D", b"C")[len(self._messages)]:
            return self._break(Malformed.ORDER)
        self._messages.append(pg.frame(kind, payload))
        if kind == b"C":
            self.answer, self.state = Row(b"".join(self._messages)), State.ANSWERED
        return None
