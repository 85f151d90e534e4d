"""The protocol of the discovery service: long polling over HTTP/1.1, and endpoint lists in JSON."""

from __future__ import annotations

from dataclasses import dataclass
from email.utils import parsedate_to_datetime
from typing import Literal

import h11
import msgspec

from frostfall.protocol.buffer import ReceiveBuffer

MAX_BODY_BYTES = 4 * 1024 * 1024  # 3,200 endpoints take over 1 MiB when the JSON is indented
PATH = "/v1/servers"


class Endpoint(msgspec.Struct, rename="camel"):
    """A server, as listed by discovery."""

    instance_id: str
    host_port: str
    lifecycle: Literal["in_service", "terminating", "terminated"]
    zone: str
    cell: int
    weight: float
    started_at_ms: float
    build: int


class EndpointListUpdate(msgspec.Struct):
    """A complete endpoint list if `reset` is set, otherwise only the endpoints that changed."""

    generation: int
    reset: bool
    instances: list[Endpoint]


@dataclass(frozen=True, slots=True)
class RequestFailed:
    """A request that returned no endpoint list; `reusable` tells whether another request can be sent."""

    reason: str
    reusable: bool = False


_DECODER = msgspec.json.Decoder(EndpointListUpdate)


def decode(body: bytes) -> EndpointListUpdate | RequestFailed:
    """Decode the body of a response."""
    try:
        return _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return RequestFailed(f"an unreadable list: {error}")


class Watch:
    """The HTTP side of one connection to discovery, which carries one request after another."""

    def __init__(self, host: str) -> None:
        """`host` is the value of the Host header, as `host:port`."""
        self._host = host
        self._http = h11.Connection(h11.CLIENT)
        self._body = ReceiveBuffer(MAX_BODY_BYTES)
        self._status = 0
        # Date header of the last response (discovery's clock), in microseconds of Unix time; None if invalid.
        self.answered_at: int | None = None

    def encode_request(self, since: int | None, wait_ms: int) -> bytes:
        """Return the bytes of the next request.

        It asks for the complete list if `since` is None, otherwise for changes after generation `since`, for
        which discovery waits up to `wait_ms` milliseconds.
        """
        target = PATH if since is None else f"{PATH}?since={since}&timeout_ms={wait_ms}"
        request = h11.Request(method="GET", target=target, headers=[("Host", self._host)])
        head, end = self._http.send(request), self._http.send(h11.EndOfMessage())
        return (head or b"") + (end or b"")

    def feed(self, data: bytes) -> EndpointListUpdate | RequestFailed | None:
        """Process received bytes (empty at the end of the stream); None if the response is incomplete."""
        try:
            self._http.receive_data(data)
            while True:
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return None
                if isinstance(event, h11.ConnectionClosed):
                    return RequestFailed("the connection was closed")
                if isinstance(event, h11.Response):
                    self._status = event.status_code
                    self.answered_at = _parse_date(event)
                elif isinstance(event, h11.Data) and not self._body.feed(bytes(event.data)):
                    return RequestFailed("a list over the size limit")
                elif isinstance(event, h11.EndOfMessage):
                    return self._finish_response()
        except h11.RemoteProtocolError as error:
            return RequestFailed(f"no HTTP: {error}")

    @property
    def reusable(self) -> bool:
        """Return whether the connection can carry another request."""
        return self._http.our_state is h11.IDLE

    def _finish_response(self) -> EndpointListUpdate | RequestFailed:
        body = self._body.take(len(self._body))
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        if self._status != 200:
            return RequestFailed(f"status {self._status}", self.reusable)
        return decode(body)


def _parse_date(response: h11.Response) -> int | None:
    """Return the response's Date header in microseconds of Unix time; None if it is missing or malformed."""
    try:
        text = next(value for name, value in response.headers if name == b"date").decode("ascii")
        return int(parsedate_to_datetime(text).timestamp()) * 1_000_000
    except (StopIteration, ValueError, OverflowError):
        return None
