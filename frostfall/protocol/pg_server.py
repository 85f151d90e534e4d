"""The server's side of a connection: what a client says to an agent."""

from __future__ import annotations

from dataclasses import dataclass

from frostfall.protocol import pg
from frostfall.protocol.buffer import Buffer
from frostfall.protocol.pg import Malformed


@dataclass(frozen=True, slots=True)
class Reply:
    """Bytes to write at once, in the course of the protocol."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Query:
    """A statement; until `answered` is called nothing further is read out."""

    text: bytes


@dataclass(frozen=True, slots=True)
class Closed:
    """The connection ends, after these last bytes."""

    data: bytes = b""
    why: Malformed | None = None


Event = Reply | Query | Closed

WELCOME = (
    pg.frame(b"R", b"\0\0\0\0")
    + pg.parameter_status("server_version", "15.0")
    + pg.parameter_status("server_encoding", "UTF8")
    + pg.parameter_status("client_encoding", "UTF8")
    + pg.parameter_status("standard_conforming_strings", "on")
    + pg.frame(b"K", b"\0\0\0\0\0\0\0\0")  # nothing can be cancelled by key: clients close instead
    + pg.READY
)
EMPTY = pg.frame(b"I", b"") + pg.READY


class ServerSide:
    """Fed a client's bytes; `next_event` gives what they mean, one query at a time."""

    def __init__(self) -> None:
        """A connection that has said nothing yet."""
        self._buffer = Buffer(pg.BUFFER_MOST)
        self._started = self._busy = self._closed = self._overflow = False

    @property
    def buffered(self) -> int:
        """Bytes that wait to be read out."""
        return len(self._buffer)

    @property
    def closed(self) -> bool:
        """Whether the last word has been given."""
        return self._closed

    @property
    def busy(self) -> bool:
        """Whether a query waits for its answer."""
        return self._busy

    def feed(self, data: bytes) -> None:
        """Take in what the client sent."""
        self._overflow = self._overflow or not self._buffer.feed(data)

    def answered(self) -> None:
        """The answer to the last query has been given."""
        self._busy = False

    def next_event(self) -> Event | None:
        """What comes next; None where more bytes, or an answer, have to come first."""
        if self._busy or self._closed:
            return None
        event = self._read() if self._started else self._start()
        if event is None and self._overflow:
            event = self.refuse(Malformed.OVERSIZE)
        self._closed = isinstance(event, Closed)
        return event

    def refuse(self, why: Malformed, text: str | None = None) -> Closed:
        """The end of a connection whose client does not speak the protocol."""
        self._closed = True
        return Closed(pg.error_response("FATAL", "08P01", text or why.value), why)

    def reject_partial(self) -> Closed:
        """The end of a connection with a query half read, which was never accepted and so never ran."""
        self._closed = True
        return Closed(pg.error_response("FATAL", "57P03", "shutting down: try again elsewhere"))

    def _start(self) -> Event | None:
        packet = pg.next_startup(self._buffer)
        if packet is None:
            return None
        if isinstance(packet, Malformed):
            return self.refuse(packet)
        code, rest = packet
        if code in (pg.SSL_REQUEST, pg.GSSENC_REQUEST):
            return Reply(b"N")
        if code == pg.CANCEL_REQUEST:
            return Closed()
        if code >> 16 != 3 or not rest.endswith(b"\0"):
            return self.refuse(Malformed.STARTUP)
        self._started = True
        return Reply(WELCOME)

    def _read(self) -> Event | None:
        message = pg.next_message(self._buffer)
        if message is None:
            return None
        if isinstance(message, Malformed):
            return self.refuse(message)
        kind, payload = message
        if kind == b"X":
            return Closed()
        if kind != b"Q":
            return self.refuse(Malformed.TYPE)
        if payload.find(b"\0") != len(payload) - 1:
            return self.refuse(Malformed.TEXT)
        text = payload[:-1]
        if not text.strip(b" \t\r\n;"):
            return Reply(EMPTY)
        self._busy = True
        return Query(text)


def refused(retry_after_ms: int) -> bytes:
    """The answer that says: trying again is harmless, perhaps after so many milliseconds."""
    detail = str(retry_after_ms) if retry_after_ms > 0 else None
    return pg.error_response("ERROR", "53300", "refused: try again", detail) + pg.READY


def malformed(text: str) -> bytes:
    """The answer to a query that cannot be served; those that were read behind it are answered too."""
    return pg.error_response("ERROR", "08P01", text) + pg.READY


def failed() -> bytes:
    """The answer that promises nothing."""
    return pg.error_response("ERROR", "58000", "failed: it may have taken effect") + pg.READY
