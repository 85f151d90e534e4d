"""TCP streams and listeners over non-blocking sockets, and the errors by which a stream ends."""

from __future__ import annotations

import errno
import fcntl
import os
import random
import select
import socket
import struct
import termios
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import anyio

from frostfall.config import Address
from frostfall.protocol.pg import MAX_READ_BYTES

LISTEN_BACKLOG = 512  # connections: a burst while the one core is busy elsewhere
CONNECT_TIMEOUT_SECONDS = 1.0  # to services; upstream servers have a timeout in the settings
SHORTAGE_PAUSE_SECONDS = 0.01  # before a call is made again for which the kernel had no memory
LISTEN_PATIENCE_SECONDS = 5.0  # for a listening socket, while the machine is short of resources ...
# ... or the process before this one still holds the address, as it does for a part of its drain.
_LISTEN_SHORTAGES = (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRINUSE)
_SHORTAGES = (errno.ENOBUFS, errno.ENOMEM, errno.EINTR)  # of the machine: they say nothing of the connection
_INT = struct.Struct("i")
_SIOCOUTQ = termios.TIOCOUTQ  # bytes not acknowledged: tcp(7)
_SIOCOUTQNSD = 0x894B  # bytes never sent: linux/sockios.h
_LINGER_NONE = struct.pack("ii", 1, 0)
STREAM_ERRORS = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)


class SocketBudget:
    """The descriptors that clients' and upstream connections share."""

    def __init__(self, limit: int) -> None:
        """Allow `limit` descriptors."""
        self.limit = limit
        self.used = 0

    @property
    def exhausted(self) -> bool:
        """Whether one has to be closed before another is opened."""
        return self.used >= self.limit


class Backoff:
    """Exponential backoff with jitter between attempts that fail; a success starts it anew."""

    def __init__(self, first: float, maximum: float) -> None:
        """Sleep for up to `first` seconds, then doubling up to `maximum`."""
        self._first = first
        self._maximum = maximum
        self._delay = first

    async def sleep(self, succeeded: bool) -> None:
        """Sleep before the next attempt."""
        self._delay = self._first if succeeded else min(self._delay * 2, self._maximum)
        await anyio.sleep(self._delay * random.uniform(0.5, 1.0))


class Stream:
    """A TCP connection without buffers of its own: nothing is read ahead or kept back."""

    def __init__(self, raw: socket.socket) -> None:
        """Take over a connected socket."""
        raw.setblocking(False)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._raw = raw

    @property
    def unacknowledged_bytes(self) -> int:
        """Bytes that the kernel holds and the peer has not acknowledged; 0 if unknown."""
        return self._queue_bytes(_SIOCOUTQ)

    @property
    def unsent_bytes(self) -> int:
        """Those of them that the kernel has never sent; 0 if unknown."""
        return self._queue_bytes(_SIOCOUTQNSD)

    def _queue_bytes(self, request: int) -> int:
        try:
            return _INT.unpack(fcntl.ioctl(self._raw, request, bytes(_INT.size)))[0]  # type: ignore
        except OSError:
            return 0

    @property
    def has_failed(self) -> bool:
        """Whether the connection has been reset or has failed."""
        return self._raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0

    def limit_send_buffer(self, max_bytes: int) -> None:
        """Let the kernel hold about so many bytes of output, and no more."""
        with suppress(OSError):  # the kernel doubles the figure, for its own overhead
            self._raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, max_bytes // 2)

    def reset_on_close(self) -> None:
        """Make the coming close a reset, which frees at once what the kernel still holds."""
        with suppress(OSError):
            self._raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)

    @property
    def is_quiet(self) -> bool:
        """Whether no input waits to be read, not even the end of the stream."""
        try:
            self._raw.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    @property
    def has_input(self) -> bool:
        """Whether bytes wait to be read; they stay unread."""
        return self._queue_bytes(termios.FIONREAD) > 0

    @property
    def peer_has_closed(self) -> bool:
        """Whether the peer has ended its side or reset the connection; nothing is read."""
        poll = select.poll()
        poll.register(self._raw, select.POLLRDHUP)
        return bool(poll.poll(0))

    async def wait_readable(self) -> None:
        """Wait until there is something to read, or the end; other tasks run first."""
        await anyio.wait_readable(self._raw)

    def read(self, max_bytes: int = MAX_READ_BYTES) -> bytes:
        """What has come by now, or nothing. At the end of the stream, one of STREAM_ERRORS."""
        try:
            data = self._raw.recv(max_bytes)
        except BlockingIOError:
            return b""
        except OSError as error:
            if error.errno in _SHORTAGES:
                return b""
            raise anyio.BrokenResourceError from error
        if not data:
            raise anyio.EndOfStream
        return data

    async def receive(self, max_bytes: int = MAX_READ_BYTES) -> bytes:
        """Up to `max_bytes`, once there are any; other tasks run first. At the end, one of STREAM_ERRORS."""
        while True:
            await self.wait_readable()
            if data := self.read(max_bytes):
                return data

    def write(self, data: bytes | bytearray | memoryview) -> int:
        """Write what the kernel takes without waiting; how many bytes that was."""
        try:
            return self._raw.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            if error.errno in _SHORTAGES:
                return 0
            raise anyio.BrokenResourceError from error

    async def wait_writable(self) -> None:
        """Wait until more can be written."""
        await anyio.wait_writable(self._raw)

    async def send(self, data: bytes) -> None:
        """Write all data, waiting where the kernel takes no more."""
        sent = self.write(data)
        while sent < len(data):
            await self.wait_writable()
            written = self.write(memoryview(data)[sent:])
            sent += written
            if not written:
                await anyio.sleep(SHORTAGE_PAUSE_SECONDS)

    def shutdown_write(self) -> None:
        """End the output behind what was written; the peer reads all of it, and then the end."""
        with suppress(OSError):
            self._raw.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close now; tasks that wait on the stream get ClosedResourceError."""
        anyio.notify_closing(self._raw)
        self._raw.close()


def create_socket(address: Address) -> socket.socket:
    """A non-blocking TCP socket of this address's family."""
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


async def open_listener_patiently(address: Address) -> socket.socket:
    """A listening socket, once the resources and the address are free; OSError where that cannot be."""
    give_up_at = anyio.current_time() + LISTEN_PATIENCE_SECONDS
    while True:
        try:
            return open_listener(address)
        except OSError as error:
            if error.errno not in _LISTEN_SHORTAGES or anyio.current_time() >= give_up_at:
                raise
        await anyio.sleep(SHORTAGE_PAUSE_SECONDS)


async def connect(address: Address) -> Stream:
    """A new connection; OSError where it is refused."""
    raw = create_socket(address)
    try:
        # Interrupted, it goes on coming up like any other.
        with suppress(BlockingIOError, InterruptedError):
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
