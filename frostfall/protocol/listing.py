"""Discovery: its calls over HTTP/1.1, which h11 parses, and the entries of its lists."""

from __future__ import annotations

from dataclasses import dataclass
from email.utils import parsedate_to_datetime
from typing import Literal

import h11
import msgspec

from frostfall.protocol.buffer import Buffer

BODY_MOST = 4 * 1024 * 1024  # bytes: 3,200 entries take over 1 MiB where they come indented
PATH = "/v1/servers"


class Entry(msgspec.Struct, rename="camel"):
    """One appliance, as discovery lists it."""

    instance_id: str
    host_port: str
    lifecycle: Literal["in_service", "terminating", "terminated"]
    zone: str
    cell: int
    weight: float
    started_at_ms: float
    build: int


class Listing(msgspec.Struct):
    """A whole list, or the entries that changed."""

    generation: int
    reset: bool
    instances: list[Entry]


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call without a list; `reusable` tells whether the connection can carry another."""

    why: str
    reusable: bool = False


_DECODER = msgspec.json.Decoder(Listing)


def decode(body: bytes) -> Listing | CallFailed:
    """Read a list."""
    try:
        return _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return CallFailed(f"an unreadable list: {error}")


class Watch:
    """One connection to discovery: a call out, its answer in, and again."""

    def __init__(self, host: str) -> None:
        """Talk to discovery at this `host:port`."""
        self._host = host
        self._http = h11.Connection(h11.CLIENT)
        self._body = Buffer(BODY_MOST)
        self._status = 0
        self.answered_at: int | None = None  # by discovery's clock, in microseconds of Unix time, if it tells

    def call(self, since: int | None, wait_ms: int) -> bytes:
        """The bytes of the next call: for the whole list, or for what is newer than a version."""
        target = PATH if since is None else f"{PATH}?since={since}&timeout_ms={wait_ms}"
        request = h11.Request(method="GET", target=target, headers=[("Host", self._host)])
        head, end = self._http.send(request), self._http.send(h11.EndOfMessage())
        return (head or b"") + (end or b"")

    def feed(self, data: bytes) -> Listing | CallFailed | None:
        """Take in bytes, none at the end of the stream; None where more are needed."""
        try:
            self._http.receive_data(data)
            while True:
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return None
                if isinstance(event, h11.ConnectionClosed):
                    return CallFailed("the connection was closed")
                if isinstance(event, h11.Response):
                    self._status = event.status_code
                    self.answered_at = _date(event)
                elif isinstance(event, h11.Data) and not self._body.feed(bytes(event.data)):
                    return CallFailed("a list over the size limit")
                elif isinstance(event, h11.EndOfMessage):
                    return self._done()
        except h11.RemoteProtocolError as error:
            return CallFailed(f"no HTTP: {error}")

    @property
    def reusable(self) -> bool:
        """Whether the connection can carry another call."""
        return self._http.our_state is h11.IDLE

    def _done(self) -> Listing | CallFailed:
        body = self._body.take(len(self._body))
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        if self._status != 200:
            return CallFailed(f"status {self._status}", self.reusable)
        return decode(body)


def _date(response: h11.Response) -> int | None:
    """The time that a response tells, in microseconds of Unix time; None where it tells none."""
    try:
        text = next(value for name, value in response.headers if name == b"date").decode("ascii")
        return int(parsedate_to_datetime(text).timestamp()) * 1_000_000
    except (StopIteration, ValueError, OverflowError):
        return None
