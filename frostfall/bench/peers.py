"""Scripted servers and clients of PostgreSQL's protocol, of normal speed and deliberately slow ones.

All communicate over loopback. A server counts the runs of each request, so that duplicate runs can be
detected.
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
PHONE_SEGMENT_SIZE = 1460  # bytes in a packet to a phone; loopback's own segments have 64 KiB
SMALL_BUFFER = 4096  # bytes of a slow peer's receive buffer, which the kernel doubles
SLOW_INTERVAL = 0.05  # seconds between the reads or writes of a slow peer
_ID = re.compile(rb"id=([0-9A-Za-z-]+)")
_SIZE = re.compile(rb"ref = 'size-(\d+)'")


class ByteSource(Protocol):
    """A source of bytes."""

    async def receive(self) -> bytes:
        """Wait for bytes and return them."""


class Reader:
    """Reads protocol messages from a stream."""

    def __init__(self, stream: ByteSource) -> None:
        """Read from this stream."""
        self.stream, self.data = stream, b""

    async def exactly(self, count: int) -> bytes:
        """Return exactly `count` bytes."""
        while len(self.data) < count:
            self.data += await self.stream.receive()
        out, self.data = self.data[:count], self.data[count:]
        return out

    async def startup(self) -> None:
        """Read and discard a client's startup message."""
        await self.exactly(struct.unpack("!I", await self.exactly(4))[0] - 4)

    async def message(self) -> tuple[bytes, bytes]:
        """Return the type and the payload of the next message."""
        kind, length = struct.unpack("!cI", await self.exactly(5))
        return kind, await self.exactly(length - 4)


def row(value: bytes) -> bytes:
    """Return the answer of a served query with one value, up to CommandComplete."""
    describe = struct.pack("!H", 1) + b"payload\0" + struct.pack("!IHIhih", 0, 0, 17, -1, -1, 1)
    return (
        pg.frame(b"T", describe)
        + pg.frame(b"D", struct.pack("!HI", 1, len(value)) + value)
        + pg.frame(b"C", b"SELECT 1\0")
    )


def statement(name: str, kind: str = "read", size: int = 100, wait_ms: int = 2000, upload: int = 0) -> bytes:
    """Return a query whose answer has `size` bytes; with `upload`, a write of `upload` bytes."""
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
    """Return the value with which servers answer a request, which no other request has."""
    return (name.encode() + b"." * size)[: max(size, len(name))]


class Server:
    """A server whose behavior its script determines.

    `usual` answers after `delay` seconds. `drip` answers the first query of a connection in the same way and
    sends later answers at `rate` bytes per second. `short` stops one byte before the end of a value. `sip`
    reads queries at `rate` bytes per second, from a small buffer.
    """

    def __init__(self, script: str = "usual", rate: float = 100.0, delay: float = 0.002) -> None:
        """Create a server without connections."""
        self.script, self.rate, self.delay = script, rate, delay
        self.runs: Counter[str] = Counter()  # runs of each request that was received completely
        self.connections = 0

    async def serve(self, stream: Stream) -> None:
        """Serve a connection until it ends."""
        self.connections += 1
        reader = Reader(_SlowlyReadStream(stream, self) if self.script == "sip" else stream)
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
                await send_slowly(stream, answer, self.rate)
            elif self.script == "short":
                # Leaves out the last byte of the value, CommandComplete and ReadyForQuery.
                await stream.send(answer[: -len(pg.READY_FOR_QUERY) - 15])
                await anyio.sleep_forever()
            else:
                await stream.send(answer)
            first = False


class _SlowlyReadStream:
    """A stream that is read at the rate of a server."""

    def __init__(self, stream: Stream, server: Server) -> None:
        self._stream, self._server = stream, server

    async def receive(self) -> bytes:
        await anyio.sleep(SLOW_INTERVAL)
        return await self._stream.receive(max(int(self._server.rate * SLOW_INTERVAL), 1))


async def send_slowly(stream: Stream, data: bytes, rate: float) -> None:
    """Send data at `rate` bytes per second."""
    started_at, sent = perf_counter(), 0
    while sent < len(data):
        due = min(int((perf_counter() - started_at) * rate) + 1, len(data))
        if due > sent:
            await stream.send(data[sent:due])
            sent = due
        await anyio.sleep(SLOW_INTERVAL)


@asynccontextmanager
async def listening(
    handler: Callable[[Stream], Awaitable[None]], small: bool = False, port: int = 0
) -> AsyncIterator[Address]:
    """Serve connections with a handler during the block; `small` sets small receive buffers."""
    listener = create_socket(Address("127.0.0.1", 0))
    if small:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    if port:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    listener.listen(512)

    async def handle(stream: Stream) -> None:
        with suppress(*STREAM_ERRORS):
            await handler(stream)
        stream.close()

    async def accept() -> None:
        while True:
            await anyio.wait_readable(listener)
            with suppress(BlockingIOError):
                while True:
                    group.start_soon(handle, Stream(listener.accept()[0]))

    try:
        async with anyio.create_task_group() as group:
            group.start_soon(accept)
            yield Address(*listener.getsockname())
            group.cancel_scope.cancel()
    finally:
        listener.close()


async def dial(address: Address, small: bool = False) -> Stream:
    """Open a client's connection; `small` uses small segments and a small buffer, as a phone does."""
    if not small:
        return await connect(address)
    raw = create_socket(address)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, PHONE_SEGMENT_SIZE)
    with suppress(BlockingIOError):
        raw.connect((address.host, address.port))
    await anyio.wait_writable(raw)
    return Stream(raw)


class NormalClient:
    """A client that reads its answers without delay."""

    def __init__(self, stream: Stream) -> None:
        """Communicate over this stream."""
        self.stream, self.reader = stream, Reader(stream)

    @classmethod
    async def open(cls, address: Address) -> NormalClient:
        """Connect and complete the startup."""
        client = cls(await dial(address))
        await client.stream.send(pg.startup(user="web", database="orders"))
        while (await client.reader.message())[0] != b"Z":
            pass
        return client

    async def ask(self, text: bytes) -> tuple[bytes, bytes]:
        """Send a query; return the answer's type and payload: `D` and a row's value, or `E` and an error."""
        await self.stream.send(pg.frame(b"Q", text + b"\0"))
        answer = (b"", b"")
        while True:
            kind, payload = await self.reader.message()
            if kind in b"DEI":
                answer = kind, payload[6:] if kind == b"D" else payload
            if kind == b"Z":
                return answer


class SlowClient:
    """A client on a slow mobile link: requests large values and reads `rate` bytes per second."""

    def __init__(self, name: str, rate: float, size: int = 16 * 1024, queries: int = 12) -> None:
        """Create a client; with a rate of 0 it does not read at all."""
        self.name, self.rate, self.size, self.queries = name, rate, size, queries
        self.started_at = 0.0
        self.ended: float | None = None  # seconds after which the agent closed the connection
        self.received = 0

    @property
    def shed(self) -> float | None:
        """Return the seconds after which the agent closed the connection with most data unread, or None."""
        return self.ended if self.received * 2 < self.size * self.queries else None

    async def run(self, address: Address) -> None:
        """Send the queries, then read until the agent closes the connection or the task is cancelled."""
        stream = await dial(address, small=True)
        try:
            await self._start_answer(stream)
            queries = [
                statement(f"{self.name}-{number}", size=self.size) for number in range(1, self.queries)
            ]
            await stream.send(b"".join(pg.frame(b"Q", text + b"\0") for text in queries))
            self.started_at = perf_counter()
            while not stream.has_failed:  # unread data would delay the detection of a reset
                due = int((perf_counter() - self.started_at) * self.rate) - self.received
                if due > 0:
                    with anyio.move_on_after(SLOW_INTERVAL):
                        self.received += len(await stream.receive(due))
                await anyio.sleep(SLOW_INTERVAL)
            raise anyio.BrokenResourceError
        except STREAM_ERRORS:
            self.ended = perf_counter() - self.started_at if self.started_at else 0.0
        finally:
            stream.close()

    async def _start_answer(self, stream: Stream) -> None:
        """Send a query until an answer begins, and leave that answer unread."""
        await stream.send(pg.startup(user="web", database="orders"))
        reader, attempts = Reader(stream), 0
        while True:
            kind, _ = await reader.message()
            if kind == b"T":
                return
            if kind == b"Z":
                attempts += 1
                await anyio.sleep(SLOW_INTERVAL if attempts > 1 else 0)
                await stream.send(
                    pg.frame(b"Q", statement(f"{self.name}-0-{attempts}", size=self.size) + b"\0")
                )
