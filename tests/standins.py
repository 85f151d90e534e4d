"""Small stand-ins for clients and appliances, after their protocol, and builders around them."""

from __future__ import annotations

import copy
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import msgspec
from anyio.abc import ByteStream, SocketAttribute

from frostfall import config
from frostfall.bench.peers import WELCOME, Reader, row
from frostfall.bench.ports import free_port
from frostfall.config import Address
from frostfall.net.streams import STREAM_ERRORS as CLOSED
from frostfall.protocol import pg
from tests.test_config import EXAMPLE

LONG = 10.0  # seconds after which a test that hangs has failed
VITALS = pg.parameter_status("vitals", "inflight=7,queue=2")  # after the answer, before ReadyForQuery
Handler = Callable[[ByteStream], Awaitable[None]]


@asynccontextmanager
async def listening(handler: Handler, port: int = 0) -> AsyncIterator[Address]:
    """Serve connections with a handler for as long as the block lasts."""

    async def guarded(stream: ByteStream) -> None:
        try:
            async with stream:
                await handler(stream)
        except CLOSED:
            pass

    multi = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
    async with multi, anyio.create_task_group() as group:
        group.start_soon(multi.serve, guarded)
        yield Address("127.0.0.1", multi.extra(SocketAttribute.local_port))
        group.cancel_scope.cancel()


def reset(stream: ByteStream) -> None:
    """Let the close that follows be a reset."""
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


class Appliance:
    """Answers as its `mode` says; keeps the statements that it got."""

    def __init__(self, mode: str = "serve", value: bytes = b"value") -> None:
        self.mode, self.value = mode, value
        self.connections = 0
        self.statements: list[bytes] = []
        self.ended = anyio.Event()  # set when a connection has come to its end
        self.asked = anyio.Event()  # set when a query has come

    async def __call__(self, stream: ByteStream) -> None:
        self.connections += 1
        try:
            await self._serve(stream)
        finally:
            self.ended.set()

    async def _serve(self, stream: ByteStream) -> None:
        reader = Reader(stream)
        await reader.startup()
        if self.mode == "mute":
            await anyio.sleep_forever()
        if self.mode == "crowded":
            await stream.send(pg.error_response("FATAL", "53300", "too many"))
            return
        if self.mode == "hang up":
            return
        await stream.send(WELCOME)
        while True:
            kind, payload = await reader.message()
            if kind != b"Q":
                return
            self.statements.append(payload[:-1])
            self.asked.set()
            if self.mode == "silent":
                await stream.receive()
            elif self.mode == "reset":
                reset(stream)
                return
            elif self.mode == "half":
                await stream.send(row(self.value)[:-3])
                return
            elif self.mode == "garbage":
                await stream.send(b"HTTP/1.1 400 Bad Request\r\n\r\n")
            elif self.mode in ("XX000", "53300"):
                await stream.send(pg.error_response("ERROR", self.mode, "no") + VITALS + pg.READY_FOR_QUERY)
            else:
                await stream.send(row(self.value) + VITALS + pg.READY_FOR_QUERY)
                if self.mode == "serve once":
                    return


class Client:
    """A client that speaks simple queries."""

    def __init__(self, stream: ByteStream) -> None:
        self.stream, self.reader = stream, Reader(stream)

    @classmethod
    async def connect(cls, address: Address) -> Client:
        client = cls(await anyio.connect_tcp(address.host, address.port))
        await client.stream.send(pg.startup(user="web", database="orders"))
        while (await client.reader.message())[0] != b"Z":
            pass
        return client

    async def write(self, text: bytes) -> None:
        await self.stream.send(pg.frame(b"Q", text + b"\0"))

    async def answer(self) -> tuple[bytes, bytes]:
        """The kind and payload that matter: D of a row, E of an error, I of nothing."""
        found = (b"", b"")
        while True:
            kind, payload = await self.reader.message()
            if kind in (b"D", b"E", b"I"):
                found = kind, payload
            if kind == b"Z":
                return found

    async def ask(self, text: bytes) -> tuple[bytes, bytes]:
        await self.write(text)
        return await self.answer()


def read(name: str, wait_ms: int = 1000, kind: str = "read") -> bytes:
    """A client's read."""
    return b"SELECT payload FROM entries WHERE ref = 'k1' /* id=%b,c=%b,d=%d */" % (
        name.encode(),
        kind.encode(),
        wait_ms,
    )


def write(name: str, wait_ms: int = 1000, value: bytes = b"9f03") -> bytes:
    """A client's write, of the class that must never run twice."""
    return (
        b"INSERT INTO entries (ref, payload) VALUES ('k1', '\\x%b') RETURNING payload "
        b"/* id=%b,c=order,d=%d */" % (value, name.encode(), wait_ms)
    )


def instance(name: str, address: Address, build: int = 41, lifecycle: str = "in_service") -> dict[str, Any]:
    """One entry of discovery's list."""
    return {
        "instanceId": name,
        "hostPort": str(address),
        "zone": "a",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 0,
        "build": build,
    }


def configured(*instances: dict[str, Any], options: str = "", **changes: Any) -> config.Config:
    """A configuration with these appliances known, alone; `options`: an operator file's text."""
    example = copy.deepcopy(EXAMPLE)
    example |= {
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{free_port()}",
        "peer_listen": "",
        "peers": [],
        "peers_all": "",
    }
    example["release_api"]["address"] = f"127.0.0.1:{free_port()}"
    example["known"]["instances"] = list(instances)
    example["settings"]["nInstances"] = 1
    example |= changes
    told = config.parse_operator_file(options.encode(), "operator.json5") if options else None
    return config.parse(msgspec.json.encode(example), {"FROSTFALL_LOG": "debug"}, told)
