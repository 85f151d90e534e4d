"""Scripted peers after PostgreSQL's protocol: servers and clients that go slowly on purpose, and usual ones.

All speak over loopback. What a server was asked to run is kept by request, so that the rules can be checked.
"""

from __future__ import annotations

import re
import socket
import struct
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from time import perf_counter
from typing import Protocol

import anyio

from frostfall.config import Address
from frostfall.net.streams import STREAM_ERRORS, Stream, connect, create_socket
from frostfall.protocol import pg

WELCOME = pg.frame(b"R", b"\0\0\0\0") + pg.frame(b"K", b"\0" * 8) + pg.READY_FOR_QUERY
SEGMENT = 1460  # bytes: what goes into one packet on the way to a phone; loopback's own are 64 KiB
SMALL_BUFFER = 4096  # bytes that a slow peer's kernel takes in before it, doubled by the kernel
BEAT = 0.05  # seconds: a slow peer reads or writes this often
_ID = re.compile(rb"id=([0-9A-Za-z-]+)")
_SIZE = re.compile(rb"ref = 'size-(\d+)'")


class Receives(Protocol):
    """What brings bytes."""

    async def receive(self) -> bytes:
        """Some bytes, once there are any."""


class Reader:
    """Reads frames from a stream."""

    def __init__(self, stream: Receives) -> None:
        """Read from this one."""
        self.stream, self.data = stream, b""

    async def exactly(self, count: int) -> bytes:
        """So many bytes."""
        while len(self.data) < count:
            self.data += await self.stream.receive()
        out, self.data = self.data[:count], self.data[count:]
        return out

    async def startup(self) -> None:
        """A client's first message."""
        await self.exactly(struct.unpack("!I", await self.exactly(4))[0] - 4)

    async def message(self) -> tuple[bytes, bytes]:
        """The type and the payload of the next message."""
        kind, length = struct.unpack("!cI", await self.exactly(5))
        return kind, await self.exactly(length - 4)


def row(value: bytes) -> bytes:
    """The answer of a query that was served, up to CommandComplete."""
    describe = struct.pack("!H", 1) + b"payload\0" + struct.pack("!IHIhih", 0, 0, 17, -1, -1, 1)
    return (
        pg.frame(b"T", describe)
        + pg.frame(b"D", struct.pack("!HI", 1, len(value)) + value)
        + pg.frame(b"C", b"SELECT 1\0")
    )


def statement(name: str, kind: str = "read", size: int = 100, wait_ms: int = 2000, upload: int = 0) -> bytes:
    """A query whose answer has so many bytes; with `upload`, a write that carries so many."""
    if upload:
        return b"INSERT INTO entries (ref, payload) VALUES ('size-%d', '\\x%b') RETURNING payload " % (
            size,
            b"5f" * upload,
        ) + b"/* id=%b,c=%b,d=%d */" % (name.encode(), kind.encode(), wait_ms)
    return b"SELECT payload FROM entries WHERE ref = 'size-%d' /* id=%b,c=%b,d=%d */" % (
        size,
        name.encode(),
        kind.encode(),
        wait_ms,
    )


def value_for(name: str, size: int) -> bytes:
    """The value that servers give for a request: made for it alone."""
    return (name.encode() + b"." * size)[: max(size, len(name))]


class Server:
    """A server that goes by its script.

    `usual` answers after `delay`; `drip` answers the first query of a connection so and lets further ones
    drip at `rate` bytes a second; `short` stops one byte before the end of a value; `sip` takes queries at
    that rate, from a small buffer.
    """

    def __init__(self, script: str = "usual", rate: float = 100.0, delay: float = 0.002) -> None:
        """Without a connection."""
        self.script, self.rate, self.delay = script, rate, delay
        self.runs: Counter[str] = Counter()  # how often a request's last byte has come
        self.connections = 0

    async def serve(self, stream: Stream) -> None:
        """Serve one connection to its end."""
        self.connections += 1
        reader = Reader(_Sipping(stream, self) if self.script == "sip" else stream)
        await reader.startup()
        await stream.send(WELCOME)
        first = True
        while True:
            kind, payload = await reader.message()
            if kind != b"Q":
                return
            name, size = _ID.search(payload), _SIZE.search(payload)
            request = name[1].decode() if name else ""
            self.runs[request] += 1
            await anyio.sleep(self.delay)
            answer = row(value_for(request, int(size[1]) if size else 100)) + pg.READY_FOR_QUERY
            if self.script == "drip" and not first:
                await drip(stream, answer, self.rate)
            elif self.script == "short":
                # one byte of the value and CommandComplete
                await stream.send(answer[: -len(pg.READY_FOR_QUERY) - 15])
                await anyio.sleep_forever()
            else:
                await stream.send(answer)
            first = False


class _Sipping:
    """A stream that is read at a server's rate."""

    def __init__(self, stream: Stream, server: Server) -> None:
        self._stream, self._server = stream, server

    async def receive(self) -> bytes:
        await anyio.sleep(BEAT)
        return await self._stream.receive(max(int(self._server.rate * BEAT), 1))


async def drip(stream: Stream, data: bytes, rate: float) -> None:
    """Write at so many bytes a second."""
    began, sent = perf_counter(), 0
    while sent < len(data):
        due = min(int((perf_counter() - began) * rate) + 1, len(data))
        if due > sent:
            await stream.send(data[sent:due])
            sent = due
        await anyio.sleep(BEAT)


@asynccontextmanager
async def listening(
    handler: Callable[[Stream], Awaitable[None]], small: bool = False, port: int = 0
) -> AsyncIterator[Address]:
    """Serve connections with a handler for as long as the block lasts; `small`: from small buffers."""
    listener = create_socket(Address("127.0.0.1", 0))
    if small:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    if port:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    listener.listen(512)

    async def guarded(stream: Stream) -> None:
        with suppress(*STREAM_ERRORS):
            await handler(stream)
        stream.close()

    async def accept() -> None:
        while True:
            await anyio.wait_readable(listener)
            with suppress(BlockingIOError):
                while True:
                    group.start_soon(guarded, Stream(listener.accept()[0]))

    try:
        async with anyio.create_task_group() as group:
            group.start_soon(accept)
            yield Address(*listener.getsockname())
            group.cancel_scope.cancel()
    finally:
        listener.close()


async def dial(address: Address, small: bool = False) -> Stream:
    """A client's connection; `small`: as from a phone, with small segments and a small buffer."""
    if not small:
        return await connect(address)
    raw = create_socket(address)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
    with suppress(BlockingIOError):
        raw.connect((address.host, address.port))
    await anyio.wait_writable(raw)
    return Stream(raw)


class UsualClient:
    """A client that reads at once."""

    def __init__(self, stream: Stream) -> None:
        """Speak over this stream."""
        self.stream, self.reader = stream, Reader(stream)

    @classmethod
    async def open(cls, address: Address) -> UsualClient:
        """Connect and be welcomed."""
        client = cls(await dial(address))
        await client.stream.send(pg.startup(user="web", database="orders"))
        while (await client.reader.message())[0] != b"Z":
            pass
        return client

    async def ask(self, text: bytes) -> tuple[bytes, bytes]:
        """The kind and the payload of the answer: D of a row (its value), E of an error."""
        await self.stream.send(pg.frame(b"Q", text + b"\0"))
        found = (b"", b"")
        while True:
            kind, payload = await self.reader.message()
            if kind in b"DEI":
                found = kind, payload[6:] if kind == b"D" else payload
            if kind == b"Z":
                return found


class SlowClient:
    """A phone on a mountain pass: asks for many large values and reads so many bytes a second."""

    def __init__(self, name: str, rate: float, size: int = 16 * 1024, queries: int = 12) -> None:
        """Read nothing at all with a rate of 0."""
        self.name, self.rate, self.size, self.queries = name, rate, size, queries
        self.began = 0.0
        self.ended: float | None = None  # seconds after which the agent ended the connection
        self.got = 0

    @property
    def shed(self) -> float | None:
        """Seconds after which the agent ended the connection with most unread; None where it did not."""
        return self.ended if self.got * 2 < self.size * self.queries else None

    async def run(self, address: Address) -> None:
        """Ask, then read until the agent ends the connection or the task is cancelled."""
        stream = await dial(address, small=True)
        try:
            await self._be_served(stream)
            asked = [statement(f"{self.name}-{number}", size=self.size) for number in range(1, self.queries)]
            await stream.send(b"".join(pg.frame(b"Q", text + b"\0") for text in asked))
            self.began = perf_counter()
            while not stream.has_failed:  # what is unread would hide for long that the connection was reset
                due = int((perf_counter() - self.began) * self.rate) - self.got
                if due > 0:
                    with anyio.move_on_after(BEAT):
                        self.got += len(await stream.receive(due))
                await anyio.sleep(BEAT)
            raise anyio.BrokenResourceError
        except STREAM_ERRORS:
            self.ended = perf_counter() - self.began if self.began else 0.0
        finally:
            stream.close()

    async def _be_served(self, stream: Stream) -> None:
        """Ask until an answer begins, and leave it unread."""
        await stream.send(pg.startup(user="web", database="orders"))
        reader, tries = Reader(stream), 0
        while True:
            kind, _ = await reader.message()
            if kind == b"T":
                return
            if kind == b"Z":
                tries += 1
                await anyio.sleep(BEAT if tries > 1 else 0)
                await stream.send(pg.frame(b"Q", statement(f"{self.name}-0-{tries}", size=self.size) + b"\0"))
