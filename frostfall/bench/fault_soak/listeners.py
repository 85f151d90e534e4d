"""The listening sockets of all stand-ins of a soak, in one task group."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress

import anyio
from anyio.abc import TaskGroup

from frostfall.config import Address
from frostfall.net.streams import STREAM_ERRORS, Stream

BACKLOG = 512  # connections

ConnectionHandler = Callable[[Stream], Awaitable[None]]


class Listeners:
    """Opens sockets on loopback and serves their connections until `close`."""

    def __init__(self, group: TaskGroup) -> None:
        """Run the tasks of all connections in this group."""
        self._group = group
        self._sockets: list[socket.socket] = []

    def open(self, handler: ConnectionHandler, host: str = "127.0.0.1") -> Address:
        """Serve connections at a free port of `host`; return the address."""
        listener = socket.socket()
        listener.setblocking(False)
        listener.bind((host, 0))
        listener.listen(BACKLOG)
        self._sockets.append(listener)
        self._group.start_soon(self._accept, listener, handler)
        return Address(*listener.getsockname())

    def close(self) -> None:
        """Close all sockets; the group has to be cancelled as well."""
        for listener in self._sockets:
            listener.close()

    async def _accept(self, listener: socket.socket, handler: ConnectionHandler) -> None:
        while True:
            await anyio.wait_readable(listener)
            with suppress(BlockingIOError):
                while True:
                    self._group.start_soon(self._serve, Stream(listener.accept()[0]), handler)

    async def _serve(self, stream: Stream, handler: ConnectionHandler) -> None:
        try:
            await handler(stream)
        except* (*STREAM_ERRORS, OSError, ValueError):  # the peer or a fault ended the stream
            pass
        finally:
            stream.close()
