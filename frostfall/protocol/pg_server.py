"""The server's side of the PostgreSQL protocol, for connections from clients to an agent."""

from __future__ import annotations

from dataclasses import dataclass

from frostfall.protocol import pg
from frostfall.protocol.buffer import ReceiveBuffer
from frostfall.protocol.pg import MalformedReason


@dataclass(frozen=True, slots=True)
class Reply:
    """Bytes to write at once, as the protocol requires."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Query:
    """A statement; no further event follows until `mark_answered` is called."""

    text: bytes


@dataclass(frozen=True, slots=True)
class Closed:
    """The connection is to be closed, after `data` has been written."""

    data: bytes = b""
    reason: MalformedReason | None = None


Event = Reply | Query | Closed

STARTUP_RESPONSE = (
    pg.frame(b"R", b"\0\0\0\0")
    + pg.parameter_status("server_version", "15.0")
    + pg.parameter_status("server_encoding", "UTF8")
    + pg.parameter_status("client_encoding", "UTF8")
    + pg.parameter_status("standard_conforming_strings", "on")
    + pg.frame(b"K", b"\0\0\0\0\0\0\0\0")  # a cancellation key that is never valid: clients cancel by closing
    + pg.READY_FOR_QUERY
)
EMPTY_QUERY_RESPONSE = pg.frame(b"I", b"") + pg.READY_FOR_QUERY


class ServerProtocol:
    """Parses a client's bytes into events, with one query at a time."""

    def __init__(self) -> None:
        """Begin with nothing received."""
        self._buffer = ReceiveBuffer(pg.MAX_BUFFER_BYTES)
        self._started = self._busy = self._closed = self._overflow = False
        self._needs_input = True  # no further event follows until more bytes have been received

    @property
    def buffered(self) -> int:
        """The number of bytes that have not been parsed."""
        return len(self._buffer)

    @property
    def has_partial_message(self) -> bool:
        """Return whether the bytes that have not been parsed are the beginning of one message."""
        return self._needs_input and len(self._buffer) > 0

    @property
    def closed(self) -> bool:
        """Return whether the connection has ended, so that no event follows."""
        return self._closed

    @property
    def busy(self) -> bool:
        """Return whether a query awaits its answer."""
        return self._busy

    def feed(self, data: bytes) -> None:
        """Process received bytes."""
        self._needs_input = False
        self._overflow = self._overflow or not self._buffer.feed(data)

    def mark_answered(self) -> None:
        """Record that the last query has been answered, so that the next one can be parsed."""
        self._busy = False

    def next_event(self) -> Event | None:
        """Return the next event; None until more bytes have been received or the last query is answered."""
        if self._busy or self._closed:
            return None
        event = self._next_query_event() if self._started else self._next_startup_event()
        if event is None and self._overflow:
            event = self.close_malformed(MalformedReason.OVERSIZE)
        self._needs_input = event is None
        if isinstance(event, Closed):
            self._close()
        return event

    def _close(self) -> None:
        """End the connection: no further input is parsed, so none is kept."""
        self._closed = True
        self._buffer.clear()

    def close_malformed(self, reason: MalformedReason, text: str | None = None) -> Closed:
        """Close the connection of a client that violates the protocol."""
        self._close()
        return Closed(pg.error_response("FATAL", "08P01", text or reason.value), reason)

    def reject_partial_query(self) -> Closed:
        """Close a connection with a partly received query, which was never accepted and so never ran."""
        self._close()
        return Closed(pg.error_response("FATAL", "57P03", "shutting down: try again elsewhere"))

    def reject_for_capacity(self) -> Closed:
        """Close a connection with a partly received query because its place is needed for another one."""
        self._close()
        return Closed(pg.error_response("FATAL", "53300", "refused: too many connections"))

    def _next_startup_event(self) -> Event | None:
        packet = pg.next_startup(self._buffer)
        if packet is None:
            return None
        if isinstance(packet, MalformedReason):
            return self.close_malformed(packet)
        code, rest = packet
        if code in (pg.SSL_REQUEST, pg.GSSENC_REQUEST):
            return Reply(b"N")
        if code == pg.CANCEL_REQUEST:
            return Closed()
        if code >> 16 != 3 or not rest.endswith(b"\0"):
            return self.close_malformed(MalformedReason.STARTUP)
        self._started = True
        return Reply(STARTUP_RESPONSE)

    def _next_query_event(self) -> Event | None:
        message = pg.next_message(self._buffer)
        if message is None:
            return None
        if isinstance(message, MalformedReason):
            return self.close_malformed(message)
        kind, payload = message
        if kind == b"X":
            return Closed()
        if kind != b"Q":
            return self.close_malformed(MalformedReason.TYPE)
        if payload.find(b"\0") != len(payload) - 1:
            return self.close_malformed(MalformedReason.TEXT)
        text = payload[:-1]
        if not text.strip(b" \t\r\n;"):
            return Reply(EMPTY_QUERY_RESPONSE)
        self._busy = True
        return Query(text)


def rejection_answer(retry_after_ms: int) -> bytes:
    """Encode the answer to a request that never ran; a positive `retry_after_ms` is sent as its detail."""
    detail = str(retry_after_ms) if retry_after_ms > 0 else None
    return pg.error_response("ERROR", "53300", "refused: try again", detail) + pg.READY_FOR_QUERY


def malformed_query_answer(text: str) -> bytes:
    """Encode the answer to an invalid query; unlike `close_malformed`, later queries are answered too."""
    return pg.error_response("ERROR", "08P01", text) + pg.READY_FOR_QUERY


def failure_answer() -> bytes:
    """Encode the answer to a request that failed and may have run."""
    return pg.error_response("ERROR", "58000", "failed: it may have taken effect") + pg.READY_FOR_QUERY
