"""Stand-ins for clients and servers that speak the PostgreSQL protocol, and builders of their inputs."""

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
from frostfall.net.streams import STREAM_ERRORS
from frostfall.protocol import pg
from tests.test_config import EXAMPLE

TEST_TIMEOUT_SECONDS = 10.0  # a test that waits longer fails
VITALS = pg.parameter_status("vitals", "inflight=7,queue=2")  # sent between the answer and ReadyForQuery
Handler = Callable[[ByteStream], Awaitable[None]]


@asynccontextmanager
async def tcp_server(handler: Handler, port: int = 0) -> AsyncIterator[Address]:
    """Accept TCP connections on localhost and run the handler for each until the context exits."""

    async def handle_connection(stream: ByteStream) -> None:
        try:
            async with stream:
                await handler(stream)
        except STREAM_ERRORS:
            pass

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, handle_connection)
        yield Address("127.0.0.1", listener.extra(SocketAttribute.local_port))
        group.cancel_scope.cancel()


def reset_on_close(stream: ByteStream) -> None:
    """Make the next close of the socket send a TCP reset."""
    raw_socket = stream.extra(SocketAttribute.raw_socket)
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


class StandInServer:
    """Stand-in for a server that records the statements it receives; `mode` selects its behaviour.

    - "serve": answers each query with one row that holds `value`
    - "serve once": answers one query and closes the connection
    - "mute": reads the startup message and never responds
    - "crowded": rejects the startup because of too many connections
    - "hang up": closes the connection after the startup message
    - "silent": never answers a query
    - "reset": resets the connection after a query
    - "half": closes the connection in the middle of an answer
    - "garbage": answers a query with bytes of another protocol
    - "XX000", "53300": answers each query with an error of this SQLSTATE code
    """

    def __init__(self, mode: str = "serve", value: bytes = b"value") -> None:
        self.mode, self.value = mode, value
        self.connections = 0
        self.statements: list[bytes] = []
        self.connection_ended = anyio.Event()  # set when a connection ends
        self.query_received = anyio.Event()  # set when a query is received

    async def __call__(self, stream: ByteStream) -> None:
        self.connections += 1
        try:
            await self._serve(stream)
        finally:
            self.connection_ended.set()

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
            self.query_received.set()
            if self.mode == "silent":
                await stream.receive()
            elif self.mode == "reset":
                reset_on_close(stream)
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
    """A client that uses the simple query protocol."""

    def __init__(self, stream: ByteStream) -> None:
        self.stream, self.reader = stream, Reader(stream)

    @classmethod
    async def connect(cls, address: Address) -> Client:
        client = cls(await anyio.connect_tcp(address.host, address.port))
        await client.stream.send(pg.startup(user="web", database="orders"))
        while (await client.reader.message())[0] != b"Z":
            pass
        return client

    async def send_query(self, text: bytes) -> None:
        await self.stream.send(pg.frame(b"Q", text + b"\0"))

    async def receive_answer(self) -> tuple[bytes, bytes]:
        """Return the type and payload of the last row (D), error (E) or empty query response (I).

        Reads up to and including ReadyForQuery.
        """
        response = (b"", b"")
        while True:
            kind, payload = await self.reader.message()
            if kind in (b"D", b"E", b"I"):
                response = kind, payload
            if kind == b"Z":
                return response

    async def query(self, text: bytes) -> tuple[bytes, bytes]:
        await self.send_query(text)
        return await self.receive_answer()


def read_statement(request_id: str, deadline_ms: int = 1000, request_class: str = "read") -> bytes:
    """Return a read statement with the request's id, class and deadline in its comment."""
    return b"SELECT payload FROM entries WHERE ref = 'k1' /* id=%b,c=%b,d=%d */" % (
        request_id.encode(),
        request_class.encode(),
        deadline_ms,
    )


def write_statement(request_id: str, deadline_ms: int = 1000, value: bytes = b"9f03") -> bytes:
    """Return a write statement of the non-idempotent class `order`."""
    return (
        b"INSERT INTO entries (ref, payload) VALUES ('k1', '\\x%b') RETURNING payload "
        b"/* id=%b,c=order,d=%d */" % (value, request_id.encode(), deadline_ms)
    )


def instance(name: str, address: Address, build: int = 41, lifecycle: str = "in_service") -> dict[str, Any]:
    """Return one entry of the endpoint list in the format of the discovery service."""
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


def make_config(*instances: dict[str, Any], options: str = "", **changes: Any) -> config.Config:
    """Return a configuration of a single agent without peers that knows these server instances.

    `options` is the text of an operator file; `changes` replaces keys of the deploy file.
    """
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
    operator_options = config.parse_operator_file(options.encode(), "operator.json5") if options else None
    return config.parse(msgspec.json.encode(example), {"FROSTFALL_LOG": "debug"}, operator_options)
