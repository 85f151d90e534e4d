"""The link to the other members of the group: one connection to each, one listener for theirs."""

from __future__ import annotations

import os
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from itertools import count
from time import monotonic
from typing import Any

import anyio
from anyio.abc import TaskGroup

from frostfall import log
from frostfall.config import Address
from frostfall.net.streams import STREAM_ERRORS, Backoff, Stream, open_listener, open_stream
from frostfall.protocol.authenticated_channel import NONCE_BYTES, AuthenticatedChannel, MemberProtocolError
from frostfall.protocol.member_messages import (
    EndpointListReply,
    EndpointListRequest,
    Heartbeat,
    MemberMessage,
    OperatorCommand,
    OperatorReport,
    StatusQuery,
    StatusReply,
)

HANDSHAKE_TIMEOUT = 2.0  # seconds in which whoever connects has to show that it has the key
MIN_RECONNECT_DELAY, MAX_RECONNECT_DELAY = 0.05, 0.4  # seconds between two tries to reach a member
MIN_IDLE_WAIT = 0.02  # seconds between two looks while there is no word to give
MAX_UNANSWERED_HEARTBEATS = 10  # words without an answer after which a connection is dialled anew
CONNECTIONS_PER_MEMBER = (
    4  # connections taken in for each member: its own, an old one that hangs, and operators
)

_log = log.get_logger("group")
Response = MemberMessage | None | Awaitable[MemberMessage]


@dataclass(slots=True)
class PeerOperationStatus:
    """A word on an operation and its answer, and what the teller has on disk of the others' lives."""

    status: str
    answer: bytes | None
    incarnation_token: str
    recorded_tokens: dict[str, str]


def _nothing(listing: Any) -> None:
    """Nobody waits for a list."""


class MemberConnection:
    """The connection to one member: a word every turn, and questions as they come up."""

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
        """Dial this member; `beat` gives the word for it, or None while there is none to give.

        `who` gives one's own name and the token of one's life.
        """
        self.name, self._address, self._key, self._every, self._who = (
            name,
            address,
            key,
            heartbeat_interval,
            identity,
        )
        self._beat, self._heard = make_heartbeat, on_heartbeat
        self._numbers = count(1)
        self._wake = anyio.Event()
        self._asked: dict[str, list[Callable[[PeerOperationStatus | None], None]]] = {}
        self._out: dict[int, list[tuple[str, list[Callable[[PeerOperationStatus | None], None]]]]] = {}
        self._calls: list[tuple[Callable[[int], MemberMessage], Callable[[MemberMessage | None], None]]] = []
        self._posts: list[MemberMessage] = []
        self._called: dict[int, Callable[[MemberMessage | None], None]] = {}
        self.connected = False
        self._wanted = False
        self._have: Callable[[Any], None] = _nothing
        self._due, self._unanswered = 0.0, 0  # when the next word is due; words since the last answer

    def send_heartbeat_now(self) -> None:
        """Speak now."""
        self._due = 0.0
        self._wake.set()

    def request_endpoint_list(self, on_reply: Callable[[Any], None]) -> None:
        """Ask for the server list that the member has."""
        self._have, self._wanted = on_reply, True
        self._wake.set()

    def query_status(self, operation: str, on_reply: Callable[[PeerOperationStatus | None], None]) -> None:
        """Ask about an operation; told None where the connection ends first, or there is none."""
        if not self.connected:
            on_reply(None)
            return
        self._asked.setdefault(operation, []).append(on_reply)
        self._wake.set()

    def request(
        self, make_request: Callable[[int], MemberMessage], on_reply: Callable[[MemberMessage | None], None]
    ) -> None:
        """Send what `make` makes of a number; told its answer, or None where the connection ends first."""
        if not self.connected:
            on_reply(None)
            return
        self._calls.append((make_request, on_reply))
        self._wake.set()

    def send(self, message: MemberMessage) -> None:
        """Send what nothing answers; it is lost where the connection is down."""
        if self.connected:
            self._posts.append(message)
            self._wake.set()

    async def run(self) -> None:
        """Keep the connection up, for good."""
        back_off = Backoff(MIN_RECONNECT_DELAY, MAX_RECONNECT_DELAY)
        while True:
            spoke = False
            try:
                async with open_stream(self._address) as stream:
                    spoke = await self._speak(stream)
            except (OSError, MemberProtocolError, *STREAM_ERRORS) as error:
                spoke = self.connected
                _log.debug("link ended", member=self.name, why=repr(error))
            except Exception:
                _log.exception("link failed", member=self.name)
            finally:
                self._lose()
            await back_off.sleep(spoke)

    def _lose(self) -> None:
        self.connected, self._due, self._unanswered = False, 0.0, 0
        waiting = [told for asked in self._out.values() for _, each in asked for told in each]
        waiting += [told for each in self._asked.values() for told in each]
        calls = [*self._called.values(), *(told for _, told in self._calls)]
        self._out.clear()
        self._asked.clear()
        self._called.clear()
        self._calls.clear()
        self._posts.clear()
        for told in waiting:
            told(None)
        for called in calls:
            called(None)

    async def _speak(self, stream: Stream) -> bool:
        own = os.urandom(NONCE_BYTES)
        wire = AuthenticatedChannel(self._key, True, own)
        await stream.send(own)
        with anyio.fail_after(HANDSHAKE_TIMEOUT):
            while not wire.is_ready:
                wire.receive_data(await stream.receive())
        async with anyio.create_task_group() as group:

            async def listen_on() -> None:
                # Danger: one exception of a group is raised as a group; the loop above wants the plain one.
                with suppress(MemberProtocolError, *STREAM_ERRORS):
                    while True:
                        for message in wire.receive_data(await stream.receive()):
                            self._take(message)
                group.cancel_scope.cancel()

            group.start_soon(listen_on)
            with suppress(*STREAM_ERRORS):
                # Danger: a machine that lost its power never closes its connections. Counted in words that
                # were spoken, so that one's own pause ends none.
                while self._unanswered <= MAX_UNANSWERED_HEARTBEATS:
                    await self._turn(stream, wire)
            group.cancel_scope.cancel()
        return self.connected

    async def _turn(self, stream: Stream, wire: AuthenticatedChannel) -> None:
        """Say what there is to say, then wait for more or for the next word's time."""
        self._wake = anyio.Event()
        now = monotonic()
        if now >= self._due and (beat := self._beat(self.name)):
            beat.request_id = next(self._numbers)
            self._due, self._unanswered = now + self._every, self._unanswered + 1
            await stream.send(wire.encode(beat))
        if self._asked:
            await self._put(stream, wire)
        posts, self._posts = self._posts, []
        for message in posts:
            await stream.send(wire.encode(message))
        calls, self._calls = self._calls, []
        for make, told in calls:
            number = next(self._numbers)
            self._called[number] = told
            await stream.send(wire.encode(make(number)))
        if self._wanted:
            self._wanted = False
            await stream.send(wire.encode(EndpointListRequest(next(self._numbers))))
        with anyio.move_on_after(max(self._due - monotonic(), MIN_IDLE_WAIT)):
            await self._wake.wait()

    async def _put(self, stream: Stream, wire: AuthenticatedChannel) -> None:
        number, asked = next(self._numbers), list(self._asked.items())
        self._asked = {}
        self._out[number] = asked
        names = [operation for operation, _ in asked]
        await stream.send(wire.encode(StatusQuery(number, names, *self._who())))

    def _take(self, message: MemberMessage) -> None:
        if isinstance(message, EndpointListReply):
            self._have(message.endpoint_list)
        if isinstance(message, Heartbeat):
            self.connected, self._unanswered = True, 0
            self._heard(message)
        elif told := self._called.pop(getattr(message, "request_id", 0), None):
            told(message)
        elif isinstance(message, StatusReply) and (asked := self._out.pop(message.request_id, None)):
            for (_, waiting), (word, answer) in zip(asked, message.statuses):
                for each in waiting:
                    each(
                        PeerOperationStatus(word, answer, message.incarnation_token, message.recorded_tokens)
                    )


class MemberListener:
    """Takes in the other members' connections, and operators'."""

    def __init__(self, key: str, max_connections: int, respond: Callable[[MemberMessage], Response]) -> None:
        """`answer` gives what a message is answered with, if anything, now or later."""
        self._key, self._most, self._answer = key, max_connections, respond
        self._count = 0

    async def run(self, address: Address) -> None:
        """Listen for good; OSError where that cannot be."""
        listener = open_listener(address)
        try:
            async with anyio.create_task_group() as group:
                while True:
                    await anyio.wait_readable(listener)
                    with suppress(BlockingIOError, ConnectionError):
                        raw, _ = listener.accept()
                        if self._count >= self._most:
                            raw.close()
                            continue
                        self._count += 1
                        group.start_soon(self._serve, Stream(raw))
        finally:
            listener.close()

    async def _serve(self, stream: Stream) -> None:
        own = os.urandom(NONCE_BYTES)
        wire = AuthenticatedChannel(self._key, False, own)
        try:
            await stream.send(own)
            first: list[MemberMessage] = []
            with anyio.fail_after(HANDSHAKE_TIMEOUT):
                while not first:
                    first = wire.receive_data(await stream.receive())
            turn = anyio.Lock()
            async with anyio.create_task_group() as group:
                with suppress(MemberProtocolError, *STREAM_ERRORS):
                    await self._answer_all(stream, wire, first, group, turn)
                    while True:
                        messages = wire.receive_data(await stream.receive())
                        await self._answer_all(stream, wire, messages, group, turn)
                group.cancel_scope.cancel()
        except (OSError, MemberProtocolError, *STREAM_ERRORS) as error:
            if isinstance(error, MemberProtocolError | TimeoutError):
                _log.warning("a stranger was turned away", why=repr(error))
        except Exception:
            _log.exception("caller failed")
        finally:
            self._count -= 1
            stream.close()

    async def _answer_all(
        self,
        stream: Stream,
        wire: AuthenticatedChannel,
        messages: list[MemberMessage],
        group: TaskGroup,
        turn: anyio.Lock,
    ) -> None:
        for message in messages:
            answer = self._answer(message)
            if isinstance(answer, Awaitable):
                group.start_soon(self._later, stream, wire, answer, turn)
            elif answer is not None:
                await self._say(stream, wire, answer, turn)

    async def _later(
        self, stream: Stream, wire: AuthenticatedChannel, answer: Awaitable[MemberMessage], turn: anyio.Lock
    ) -> None:
        with suppress(*STREAM_ERRORS):
            await self._say(stream, wire, await answer, turn)

    async def _say(
        self, stream: Stream, wire: AuthenticatedChannel, answer: MemberMessage, turn: anyio.Lock
    ) -> None:
        # Danger: frames are counted, and a long one goes out in parts: one at a time.
        async with turn:
            await stream.send(wire.encode(answer))


async def send_operator_command(
    address: Address, key: str, command: str, operator: str = "", register_key: str = "", value: str = ""
) -> OperatorReport:
    """An operator's word to one member; OSError, Stranger or the end of the stream where it fails."""
    async with open_stream(address) as stream:
        own = os.urandom(NONCE_BYTES)
        wire = AuthenticatedChannel(key, True, own)
        await stream.send(own)
        with anyio.fail_after(HANDSHAKE_TIMEOUT):
            while not wire.is_ready:
                wire.receive_data(await stream.receive())
            await stream.send(wire.encode(OperatorCommand(1, command, operator, register_key, value)))
            while True:
                for message in wire.receive_data(await stream.receive()):
                    if isinstance(message, OperatorReport):
                        return message
