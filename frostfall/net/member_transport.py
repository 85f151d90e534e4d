"""Transport between group members: outgoing connections to peers, and a listener for incoming connections."""

from __future__ import annotations

import os
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from itertools import count
from time import monotonic
from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskGroup

from frostfall import log
from frostfall.config import Address
from frostfall.net.streams import STREAM_ERRORS, Backoff, Stream, open_listener, open_stream
from frostfall.protocol.authenticated_channel import NONCE_BYTES, AuthenticatedChannel, MemberProtocolError
from frostfall.protocol.member_messages import (
    ConsensusMessage,
    EndpointListReply,
    EndpointListRequest,
    Heartbeat,
    MemberMessage,
    OperatorCommand,
    OperatorReport,
    StatusQuery,
    StatusReply,
)

HANDSHAKE_TIMEOUT = 2.0  # seconds for the remote side to prove that it has the key
MIN_RECONNECT_DELAY = 0.05  # seconds
MAX_RECONNECT_DELAY = 0.4  # seconds
# Minimum seconds to wait for new messages; limits polling while no heartbeat is available.
MIN_IDLE_WAIT = 0.02
MAX_UNANSWERED_HEARTBEATS = 10  # a connection with more unanswered heartbeats is closed and reopened
# Accepted connections per member: its current connection, a stale one, and operators' connections.
CONNECTIONS_PER_MEMBER = 4

_log = log.get_logger("group")

Response = MemberMessage | None | Awaitable[MemberMessage]


@dataclass(slots=True)
class PeerOperationStatus:
    """Status of an operation as recorded by another member."""

    status: str  # value of an OperationStatus
    answer: bytes | None
    incarnation_token: str  # token of that member's incarnation
    recorded_tokens: dict[str, str]  # by member: incarnation tokens that the replying member has on disk


# Callbacks receive None if the connection ends before the reply arrives.
StatusCallback = Callable[[PeerOperationStatus | None], None]
ReplyCallback = Callable[[MemberMessage | None], None]


class _PendingRequest(NamedTuple):
    make_request: Callable[[int], MemberMessage]
    on_reply: ReplyCallback


class _StatusWaiters(NamedTuple):
    operation: str
    callbacks: list[StatusCallback]


def _ignore_endpoint_list(endpoint_list: Any) -> None:
    """Discard an endpoint list that was not requested."""


class MemberConnection:
    """Connection to one member that sends heartbeats and requests and receives the replies."""

    def __init__(
        self,
        name: str,
        address: Address,
        key: str,
        heartbeat_interval: float,
        make_heartbeat: Callable[[str], Heartbeat | None],
        on_heartbeat: Callable[[Heartbeat], None],
        identity: Callable[[], tuple[str, str]],
    ) -> None:
        """Create a connection that sends nothing before `run` is called.

        `heartbeat_interval` is in seconds. `make_heartbeat` returns the heartbeat for the member, or None
        while heartbeats are not to be sent. `identity` returns this process's member name and incarnation
        token.
        """
        self.name = name
        self.connected = False  # True once the member has answered a heartbeat on this connection
        self._address = address
        self._key = key
        self._heartbeat_interval = heartbeat_interval
        self._make_heartbeat = make_heartbeat
        self._on_heartbeat = on_heartbeat
        self._identity = identity
        self._request_ids = count(1)
        self._wake = anyio.Event()
        self._next_heartbeat_at = 0.0  # seconds of the monotonic clock
        self._unanswered_heartbeats = 0
        self._pending_queries: dict[str, list[StatusCallback]] = {}  # by operation
        self._queries_in_flight: dict[int, list[_StatusWaiters]] = {}  # by request id
        self._pending_requests: list[_PendingRequest] = []
        self._requests_in_flight: dict[int, ReplyCallback] = {}  # by request id
        self._pending_messages: list[MemberMessage] = []
        self._endpoint_list_wanted = False
        self._on_endpoint_list: Callable[[Any], None] = _ignore_endpoint_list

    def send_heartbeat_now(self) -> None:
        """Send a heartbeat without waiting for the heartbeat interval."""
        self._next_heartbeat_at = 0.0
        self._wake.set()

    def request_endpoint_list(self, on_reply: Callable[[Any], None]) -> None:
        """Request the member's endpoint list as soon as the connection is up."""
        self._on_endpoint_list = on_reply
        self._endpoint_list_wanted = True
        self._wake.set()

    def query_status(self, operation: str, on_reply: StatusCallback) -> None:
        """Query the member's status of an operation; pending queries are sent in one message."""
        if not self.connected:
            on_reply(None)
            return
        self._pending_queries.setdefault(operation, []).append(on_reply)
        self._wake.set()

    def request(self, make_request: Callable[[int], MemberMessage], on_reply: ReplyCallback) -> None:
        """Send the request that `make_request` builds for a request id."""
        if not self.connected:
            on_reply(None)
            return
        self._pending_requests.append(_PendingRequest(make_request, on_reply))
        self._wake.set()

    def send(self, message: MemberMessage) -> None:
        """Send a message that has no reply; messages are dropped while the connection is down."""
        if self.connected:
            self._pending_messages.append(message)
            self._wake.set()

    async def run(self) -> None:
        """Maintain the connection until cancelled, reconnecting with backoff."""
        backoff = Backoff(MIN_RECONNECT_DELAY, MAX_RECONNECT_DELAY)
        while True:
            was_connected = False
            try:
                async with open_stream(self._address) as stream:
                    was_connected = await self._run_connection(stream)
            except (OSError, MemberProtocolError, *STREAM_ERRORS) as error:
                was_connected = self.connected
                _log.debug("member connection closed", member=self.name, reason=repr(error))
            except Exception:
                # An error in a callback must not permanently stop reconnecting to this member.
                _log.exception("member connection failed", member=self.name)
            finally:
                self._reset()
            await backoff.sleep(was_connected)

    def _reset(self) -> None:
        """Clear the state of the connection and call all pending callbacks with None."""
        self.connected = False
        self._next_heartbeat_at = 0.0
        self._unanswered_heartbeats = 0
        queries: list[StatusCallback] = []
        for waiters in self._queries_in_flight.values():
            for each in waiters:
                queries += each.callbacks
        for callbacks in self._pending_queries.values():
            queries += callbacks
        requests = list(self._requests_in_flight.values())
        requests += [pending.on_reply for pending in self._pending_requests]
        self._queries_in_flight.clear()
        self._pending_queries.clear()
        self._requests_in_flight.clear()
        self._pending_requests.clear()
        self._pending_messages.clear()
        for on_status in queries:
            on_status(None)
        for on_reply in requests:
            on_reply(None)

    async def _run_connection(self, stream: Stream) -> bool:
        """Send and receive until the connection ends; return whether the member answered a heartbeat."""
        channel = await _open_channel(stream, self._key)
        with anyio.fail_after(HANDSHAKE_TIMEOUT):
            await _receive_nonce(stream, channel)
        async with anyio.create_task_group() as group:

            async def receive() -> None:
                # Errors of a child task would be raised as an exception group, which `run` does not handle.
                with suppress(MemberProtocolError, *STREAM_ERRORS):
                    while True:
                        for message in channel.receive_data(await stream.receive()):
                            self._process(message)
                group.cancel_scope.cancel()

            group.start_soon(receive)
            with suppress(*STREAM_ERRORS):
                # A machine that loses power never closes its connections. The limit counts sent heartbeats
                # instead of time, so that a pause of this process does not close the connection.
                while self._unanswered_heartbeats <= MAX_UNANSWERED_HEARTBEATS:
                    await self._send_pending(stream, channel)
            group.cancel_scope.cancel()
        return self.connected

    async def _send_pending(self, stream: Stream, channel: AuthenticatedChannel) -> None:
        """Send all pending messages, then wait for new ones or until the next heartbeat is due."""
        self._wake = anyio.Event()
        now = monotonic()
        if now >= self._next_heartbeat_at and (heartbeat := self._make_heartbeat(self.name)):
            heartbeat.request_id = next(self._request_ids)
            self._next_heartbeat_at = now + self._heartbeat_interval
            self._unanswered_heartbeats += 1
            await stream.send(channel.encode(heartbeat))
        if self._pending_queries:
            await self._send_queries(stream, channel)
        messages, self._pending_messages = self._pending_messages, []
        for message in messages:
            await stream.send(channel.encode(message))
        requests, self._pending_requests = self._pending_requests, []
        for pending in requests:
            request_id = next(self._request_ids)
            self._requests_in_flight[request_id] = pending.on_reply
            await stream.send(channel.encode(pending.make_request(request_id)))
        if self._endpoint_list_wanted:
            self._endpoint_list_wanted = False
            await stream.send(channel.encode(EndpointListRequest(next(self._request_ids))))
        with anyio.move_on_after(max(self._next_heartbeat_at - monotonic(), MIN_IDLE_WAIT)):
            await self._wake.wait()

    async def _send_queries(self, stream: Stream, channel: AuthenticatedChannel) -> None:
        request_id = next(self._request_ids)
        waiters = [_StatusWaiters(name, callbacks) for name, callbacks in self._pending_queries.items()]
        self._pending_queries = {}
        self._queries_in_flight[request_id] = waiters
        operations = [each.operation for each in waiters]
        await stream.send(channel.encode(StatusQuery(request_id, operations, *self._identity())))

    def _process(self, message: MemberMessage) -> None:
        if isinstance(message, EndpointListReply):
            self._on_endpoint_list(message.endpoint_list)
        if isinstance(message, Heartbeat):
            self.connected = True
            self._unanswered_heartbeats = 0
            self._on_heartbeat(message)
        elif on_reply := self._requests_in_flight.pop(_request_id(message), None):
            on_reply(message)
        elif isinstance(message, StatusReply):
            self._process_statuses(message)

    def _process_statuses(self, reply: StatusReply) -> None:
        waiters = self._queries_in_flight.pop(reply.request_id, [])
        for each, (status, answer) in zip(waiters, reply.statuses):
            for callback in each.callbacks:
                callback(PeerOperationStatus(status, answer, reply.incarnation_token, reply.recorded_tokens))


class MemberListener:
    """Accepts connections from other members and from operators."""

    def __init__(self, key: str, max_connections: int, respond: Callable[[MemberMessage], Response]) -> None:
        """Create a listener; `respond` returns the reply to a message, an awaitable of the reply, or None."""
        self._key = key
        self._max_connections = max_connections
        self._respond = respond
        self._connection_count = 0

    async def run(self, address: Address) -> None:
        """Listen until cancelled. Raises OSError if the listener cannot be opened."""
        listener = open_listener(address)
        try:
            async with anyio.create_task_group() as group:
                while True:
                    await anyio.wait_readable(listener)
                    with suppress(BlockingIOError, ConnectionError):
                        raw, _ = listener.accept()
                        if self._connection_count >= self._max_connections:
                            raw.close()
                            continue
                        self._connection_count += 1
                        group.start_soon(self._serve, Stream(raw))
        finally:
            listener.close()

    async def _serve(self, stream: Stream) -> None:
        try:
            await self._serve_messages(stream)
        except (OSError, MemberProtocolError, *STREAM_ERRORS) as error:
            if isinstance(error, MemberProtocolError | TimeoutError):
                _log.warning("connection rejected", reason=repr(error))
        except Exception:
            # An error in the handler of one connection must not close the others.
            _log.exception("connection handler failed")
        finally:
            self._connection_count -= 1
            stream.close()

    async def _serve_messages(self, stream: Stream) -> None:
        channel = await _open_channel(stream, self._key, is_initiator=False)
        messages: list[MemberMessage] = []
        with anyio.fail_after(HANDSHAKE_TIMEOUT):
            while not messages:
                messages = channel.receive_data(await stream.receive())
        sender = _ReplySender(stream, channel)
        async with anyio.create_task_group() as group:
            with suppress(MemberProtocolError, *STREAM_ERRORS):
                while True:
                    for message in messages:
                        await self._reply(message, sender, group)
                    messages = channel.receive_data(await stream.receive())
            group.cancel_scope.cancel()

    async def _reply(self, message: MemberMessage, sender: _ReplySender, group: TaskGroup) -> None:
        response = self._respond(message)
        if isinstance(response, Awaitable):
            group.start_soon(sender.send_later, response)
        elif response is not None:
            await sender.send(response)


class _ReplySender:
    """Sends replies on one connection, one at a time."""

    def __init__(self, stream: Stream, channel: AuthenticatedChannel) -> None:
        self._stream = stream
        self._channel = channel
        self._lock = anyio.Lock()

    async def send(self, reply: MemberMessage) -> None:
        """Send a reply after all earlier replies are sent."""
        # Frames are numbered when they are encoded, and a long frame is sent in several parts, so frames
        # must not interleave.
        async with self._lock:
            await self._stream.send(self._channel.encode(reply))

    async def send_later(self, reply: Awaitable[MemberMessage]) -> None:
        """Wait for a reply and send it; do nothing if the connection has ended."""
        with suppress(*STREAM_ERRORS):
            await self.send(await reply)


async def send_operator_command(
    address: Address, key: str, command: str, operator: str = "", register_key: str = "", value: str = ""
) -> OperatorReport:
    """Send an operator's command to one member and return its report.

    Raises OSError, MemberProtocolError or one of STREAM_ERRORS if the command or its report fails.
    """
    async with open_stream(address) as stream:
        channel = await _open_channel(stream, key)
        with anyio.fail_after(HANDSHAKE_TIMEOUT):
            await _receive_nonce(stream, channel)
            await stream.send(channel.encode(OperatorCommand(1, command, operator, register_key, value)))
            while True:
                for message in channel.receive_data(await stream.receive()):
                    if isinstance(message, OperatorReport):
                        return message


async def _open_channel(stream: Stream, key: str, is_initiator: bool = True) -> AuthenticatedChannel:
    """Send a nonce and return the channel that uses the nonce."""
    nonce = os.urandom(NONCE_BYTES)
    await stream.send(nonce)
    return AuthenticatedChannel(key, is_initiator, nonce)


async def _receive_nonce(stream: Stream, channel: AuthenticatedChannel) -> None:
    while not channel.is_ready:
        channel.receive_data(await stream.receive())


def _request_id(message: MemberMessage) -> int:
    """Return the request id of a message, or 0 for a consensus message."""
    return 0 if isinstance(message, ConsensusMessage) else message.request_id
