"""Streams: opened within a time, read no further than asked, and the ways in which one ends."""

from __future__ import annotations

import fcntl
import os
import random
import socket
import struct
import termios
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import anyio

from frostfall.config import Address
from frostfall.protocol.pg import READ_MOST

LISTEN_BACKLOG = 512  # connections: a burst that comes while the one core is busy elsewhere
CONNECT_TIMEOUT_SECONDS = 1.0  # seconds: a service that is cut off never accepts; appliances have settings
MAX_DISCARD_READS = 8  # reads: who sends more than that unasked is not waited for
_INT = struct.Struct("i")
_UNSENT, _NOT_SENT = termios.TIOCOUTQ, 0x894B  # SIOCOUTQ, SIOCOUTQNSD: tcp(7), linux/sockios.h
_LINGER_NONE = struct.pack("ii", 1, 0)
STREAM_ERRORS = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)


class SocketBudget:
    """The descriptors that clients and appliances share."""

    def __init__(self, limit: int) -> None:
        """So many at most."""
        self.limit, self.used = limit, 0

    @property
    def exhausted(self) -> bool:
        """Whether another needs one of these closed first."""
        return self.used >= self.limit


class Backoff:
    """Rests between tries that fail: doubling, with jitter, from the first again after one that went well."""

    def __init__(self, first: float, maximum: float) -> None:
        """Rest for so many seconds at first, and at most."""
        self._first, self._most, self._wait = first, maximum, first

    async def sleep(self, succeeded: bool) -> None:
        """Rest before the next try."""
        self._wait = self._first if succeeded else min(self._wait * 2, self._most)
        await anyio.sleep(self._wait * random.uniform(0.5, 1.0))


class Stream:
    """A TCP connection. Nothing is read ahead, and what is written goes out at once as far as it goes."""

    def __init__(self, raw: socket.socket) -> None:
        """Speak over this socket, which is connected."""
        raw.setblocking(False)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._raw = raw

    @property
    def unacknowledged_bytes(self) -> int:
        """Bytes that the kernel holds and the peer's has not acknowledged; 0 where that is not told."""
        return self._held(_UNSENT)

    @property
    def unsent_bytes(self) -> int:
        """Those of them that the kernel has not sent for the first time; 0 where that is not told."""
        return self._held(_NOT_SENT)

    def _held(self, request: int) -> int:
        try:
            return _INT.unpack(fcntl.ioctl(self._raw, request, bytes(_INT.size)))[0]  # type: ignore
        except OSError:
            return 0

    @property
    def has_failed(self) -> bool:
        """Whether the connection has been reset or has failed."""
        return self._raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0

    def limit_send_buffer(self, max_bytes: int) -> None:
        """Let the kernel hold about so many bytes that are not sent, and no more."""
        with suppress(OSError):  # the kernel takes twice what it is told, for what it needs around the bytes
            self._raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, max_bytes // 2)

    def reset_on_close(self) -> None:
        """Let the close that follows be a reset, which frees at once what the kernel still holds."""
        with suppress(OSError):
            self._raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)

    @property
    def is_quiet(self) -> bool:
        """Whether nothing has come that is unread, not even the end."""
        try:
            self._raw.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    async def receive(self, max_bytes: int = READ_MOST) -> bytes:
        """Up to so many bytes, once there are any; each call lets the others have their turn."""
        while True:
            await anyio.wait_readable(self._raw)
            try:
                data = self._raw.recv(max_bytes)
            except BlockingIOError:
                continue
            except OSError as error:
                raise anyio.BrokenResourceError from error
            if not data:
                raise anyio.EndOfStream
            return data

    def write(self, data: bytes | bytearray | memoryview) -> int:
        """Write what goes out without waiting; how many bytes that was."""
        try:
            return self._raw.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise anyio.BrokenResourceError from error

    async def wait_writable(self) -> None:
        """Wait until more can be written."""
        await anyio.wait_writable(self._raw)

    async def send(self, data: bytes) -> None:
        """Write all of it."""
        sent = self.write(data)
        while sent < len(data):
            await self.wait_writable()
            sent += self.write(memoryview(data)[sent:])

    def discard_input(self) -> None:
        """Read away what has come by now, up to a bound: bytes unread make a close a reset."""
        with suppress(OSError):
            for _ in range(MAX_DISCARD_READS):
                if len(self._raw.recv(READ_MOST)) < READ_MOST:
                    return

    def shutdown_read(self) -> None:
        """Let reading end after what has come by now."""
        with suppress(OSError):
            self._raw.shutdown(socket.SHUT_RD)

    def close(self) -> None:
        """Close it now; who waits on it is told."""
        anyio.notify_closing(self._raw)
        self._raw.close()


def create_socket(address: Address) -> socket.socket:
    """A TCP socket of this address's kind, which never waits."""
    raw = socket.socket(socket.AF_INET6 if ":" in address.host else socket.AF_INET, socket.SOCK_STREAM)
    raw.setblocking(False)
    return raw


def open_listener(address: Address) -> socket.socket:
    """A listening socket on this address only, which never blocks; OSError where that cannot be."""
    listener = create_socket(address)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((address.host, address.port))
        listener.listen(LISTEN_BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


async def connect(address: Address) -> Stream:
    """A new connection; OSError where it is refused."""
    raw = create_socket(address)
    try:
        with suppress(BlockingIOError):
            raw.connect((address.host, address.port))
        await anyio.wait_writable(raw)
        if code := raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            raise OSError(code, os.strerror(code))
        return Stream(raw)
    except BaseException:
        raw.close()
        raise


@asynccontextmanager
async def open_stream(address: Address) -> AsyncIterator[Stream]:
    """A connection for as long as the block lasts; TimeoutError where none comes up."""
    with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
        stream = await connect(address)
    try:
        yield stream
    finally:
        stream.close()
