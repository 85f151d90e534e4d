"""Clients: the listener and its connections."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Protocol

import anyio
from anyio.abc import SocketAttribute, SocketListener, SocketStream, TaskGroup

from frostfall import log
from frostfall.config import Address
from frostfall.net.streams import ENDED, READ_MOST, Sockets, close
from frostfall.protocol import pg, pg_server
from frostfall.protocol.pg_server import Closed, Query, Reply, ServerSide

BACKLOG = 512  # connections: a burst that comes while the one core is busy elsewhere
PAUSE = 0.05  # seconds: how long accepting rests after an error, or with a crowd that waits to be refused
CROWD_MOST = 8  # connections beyond the bound that are open at once, only to be refused
FRESH = 5.0  # seconds: a new connection's first request comes with it or soon after

_log = log.get("clients")


class Front(Protocol):
    """What a connection needs of the agent."""

    def take(self, client: Client, text: bytes) -> str | None:
        """Take a query, or say why it is malformed."""

    def left(self, client: Client) -> None:
        """The client has gone."""


class Client:
    """One client's connection."""

    def __init__(self, stream: SocketStream, front: Front, crowded: bool = False) -> None:
        """Serve this stream; a crowded one gets one answer, a refusal."""
        self.crowded = crowded
        self._stream = stream
        self._front = front
        self._machine = ServerSide()
        self._out = bytearray()
        self._wake = anyio.Event()
        self._idle = anyio.Event()
        self._advancing = False
        self._last = False  # whether the connection is to end once what is to be said is said
        self._finished = False  # whether reading has ended for that
        self.used = anyio.current_time()  # when it last brought something
        self._served = False
        self.request: str | None = None  # the request that waits for its answer
        self.draining = False

    async def run(self) -> None:
        """Serve until either side ends it."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._write, group)
                if await self._read():
                    self._finished = True
                    self._wake.set()
                else:  # the client has gone, so nobody is left to write to
                    group.cancel_scope.cancel()
        finally:
            self._front.left(self)
            await close(self._stream)

    def answer(self, data: bytes) -> None:
        """Give the final answer to the query that waits; the next one is then read."""
        self.request = None
        self._served = True
        self._machine.answered()
        self._say(data, last=self.draining and not self._machine.buffered)
        self._advance()
        self._idle.set()

    @property
    def idle(self) -> bool:
        """Whether nothing is under way: no answer is owed and no query half read."""
        return not (self._machine.busy or self._machine.buffered or self._last)

    @property
    def spare(self) -> bool:
        """Whether it is idle and may be closed before its time."""
        # Danger: a client sends a request that crossed a close once more and not again. Closed before it has
        # got an answer, the connection that carries it would lose it.
        return self.idle and (self._served or anyio.current_time() - self.used > FRESH)

    def drain(self) -> None:
        """End once the answer is given, or at once where it may be closed."""
        self.draining = True
        if self.spare:
            self.end()

    def end(self) -> None:
        """End at once where no answer is owed."""
        self.draining = True
        if self.idle:
            self._say(b"", last=True)

    def _say(self, data: bytes, last: bool = False) -> None:
        self._out += data
        if last and not self._last:
            # Danger: a query that was read is taken, and lost if the connection ends; one that was not read
            # is sent once more by its client. So reading ends first; what has come by now comes through.
            self._last = True
            with suppress(OSError):
                self._stream.extra(SocketAttribute.raw_socket).shutdown(socket.SHUT_RD)
        self._wake.set()

    def _advance(self) -> None:
        if self._advancing:  # the agent may answer a query at once, from inside this loop
            return
        self._advancing = True
        try:
            self._events()
        finally:
            self._advancing = False

    def _events(self) -> None:
        while (event := self._machine.next_event()) is not None:
            match event:
                case Reply(data):
                    self._served = self._served or data == pg_server.EMPTY
                    self._say(data)
                case Query() if self.crowded:
                    self.answer(pg_server.refused(0))
                case Query(text):
                    if fault := self._front.take(self, text):
                        _log.info("malformed query", why=fault)
                        self._say(self._machine.refuse(pg.Malformed.TEXT, fault).data, last=True)
                case Closed(data, why):
                    if why:
                        _log.info("malformed input", why=why.value)
                    self._say(data, last=True)

    async def _read(self) -> bool:
        """Read until the connection is to end; False where the client has gone."""
        while not self._machine.closed:
            if self._machine.busy and self._machine.buffered > READ_MOST:
                await self._answered()  # a client that sends ahead waits for its answers
                continue
            try:
                data = await self._stream.receive(READ_MOST)
            except ENDED:
                if not self._last:
                    return False
                while self._machine.busy:
                    await self._answered()
                return True
            self.used = anyio.current_time()
            self._machine.feed(data)
            self._advance()
            if self.draining and self.spare:
                self.end()
        return True

    async def _answered(self) -> None:
        self._idle = anyio.Event()
        await self._idle.wait()

    async def _write(self, group: TaskGroup) -> None:
        try:
            while True:
                if self._out:
                    data = bytes(self._out)
                    self._out.clear()
                    await self._stream.send(data)
                elif self._finished:
                    break
                else:
                    self._wake = anyio.Event()
                    await self._wake.wait()
        except ENDED:
            group.cancel_scope.cancel()


async def listen(address: Address) -> SocketListener:
    """Listen on this address only; OSError where that cannot be."""
    multi = await anyio.create_tcp_listener(
        local_host=address.host, local_port=address.port, backlog=BACKLOG)
    listener = multi.listeners[0]
    if not isinstance(listener, SocketListener):
        raise TypeError("no listener for sockets")
    return listener


class Clients:
    """The listener: takes connections in up to a bound and knows those that are open."""

    def __init__(self, front: Front, sockets: Sockets, most: int,
                 spare: Callable[[], Awaitable[bool]]) -> None:
        """Hold at most so many connections, for which `spare` may close one of another use."""
        self._front = front
        self._sockets = sockets
        self._most = most
        self._spare = spare
        self._open: set[Client] = set()
        self._room = anyio.Event()
        self._crowd = 0
        self._draining = False
        self._accepting: anyio.CancelScope | None = None

    def __len__(self) -> int:
        """How many connections are open."""
        return len(self._open)

    async def run(self, listener: SocketListener) -> None:
        """Serve each connection in a task of its own, until stopped and all have ended."""
        async with anyio.create_task_group() as group:
            with anyio.CancelScope() as self._accepting:
                async with listener:
                    await self._accept(listener, group)

    async def _accept(self, listener: SocketListener, group: TaskGroup) -> None:
        while True:
            if self._crowd >= CROWD_MOST:
                self._room = anyio.Event()
                with anyio.move_on_after(PAUSE):
                    await self._room.wait()
                continue
            try:
                stream = await listener.accept()
            except Exception as error:
                _log.warning("cannot accept", why=repr(error))
                await anyio.sleep(PAUSE)
                continue
            # Danger: a request counts as taken while its connection still waits to be accepted. So none is
            # left waiting: where there is no room, its first query is refused unseen.
            client = Client(stream, self._front, crowded=not await self._make_room())
            client.draining = self._draining or client.crowded
            self._crowd += client.crowded
            self._open.add(client)
            self._sockets.used += 1
            group.start_soon(self._serve, client)

    async def _serve(self, client: Client) -> None:
        try:
            await client.run()
        except Exception:
            _log.exception("connection failed")
        finally:
            self._open.discard(client)
            self._sockets.used -= 1
            self._crowd -= client.crowded
            self._room.set()

    async def _make_room(self) -> bool:
        """Whether there is room for one more, after closing something idle if need be."""
        if not self._sockets.full and len(self._open) < self._most:
            return True
        if len(self._open) < self._most and await self._spare():
            return True
        idle = [client for client in self._open if client.spare]
        if idle:
            min(idle, key=lambda client: client.used).end()
        return bool(idle)

    def drain(self) -> None:
        """From now on connections end with their answer, and those that have had one end at once."""
        self._draining = True
        for client in self._open:
            client.drain()

    def stop(self) -> None:
        """Take in no more connections; `run` returns once the open ones have ended."""
        if self._accepting:
            self._accepting.cancel()
        self._draining = True
        for client in self._open:
            client.end()
