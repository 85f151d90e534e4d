"""TCP streams and listeners over non-blocking sockets, and the errors that end a stream."""

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

LISTEN_BACKLOG = 512  # connections; absorbs a burst while the only core is busy
CONNECT_TIMEOUT_SECONDS = 1.0  # to services; the timeout for upstream servers is in the settings
RESOURCE_RETRY_SECONDS = 0.01  # before a call is repeated that failed for lack of a system resource
# Opening a listener is retried for this time while the machine lacks resources, or while the previous process
# still holds the address during the first part of its drain.
LISTEN_RETRY_SECONDS = 5.0
_TRANSIENT_LISTEN_ERRORS = (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRINUSE)
_TRANSIENT_ERRORS = (errno.ENOBUFS, errno.ENOMEM, errno.EINTR)  # temporary; the connection itself is intact
_INT = struct.Struct("i")
_SIOCOUTQ = termios.TIOCOUTQ  # queries the unacknowledged bytes; see tcp(7)
_SIOCOUTQNSD = 0x894B  # queries the bytes never sent; from linux/sockios.h
_LINGER_NONE = struct.pack("ii", 1, 0)
STREAM_ERRORS = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)


class SocketBudget:
    """Limit of descriptors shared by clients' and upstream connections."""

    def __init__(self, limit: int) -> None:
        """Allow `limit` descriptors."""
        self.limit = limit
        self.used = 0

    @property
    def exhausted(self) -> bool:
        """True if a descriptor has to be closed before another is opened."""
        return self.used >= self.limit


class Backoff:
    """Exponential backoff with jitter between failed attempts; a success resets the delay."""

    def __init__(self, first: float, maximum: float) -> None:
        """After a success, delay by at most `first` seconds; each failure doubles this, up to `maximum`."""
        self._first = first
        self._maximum = maximum
        self._delay = first

    async def sleep(self, succeeded: bool) -> None:
        """Sleep before the next attempt; `succeeded` is the result of the last one."""
        self._delay = self._first if succeeded else min(self._delay * 2, self._maximum)
        await anyio.sleep(self._delay * random.uniform(0.5, 1.0))


class Stream:
    """A TCP connection without buffers outside the kernel: no input is read ahead, no output is queued."""

    def __init__(self, raw: socket.socket) -> None:
        """Take ownership of a connected socket."""
        raw.setblocking(False)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._raw = raw

    @property
    def unacknowledged_bytes(self) -> int:
        """Number of written bytes that the peer has not acknowledged; 0 if unknown."""
        return self._queue_bytes(_SIOCOUTQ)

    @property
    def unsent_bytes(self) -> int:
        """Number of unacknowledged bytes that the kernel has never sent; 0 if unknown."""
        return self._queue_bytes(_SIOCOUTQNSD)

    def _queue_bytes(self, request: int) -> int:
        try:
            return _INT.unpack(fcntl.ioctl(self._raw, request, bytes(_INT.size)))[0]  # type: ignore
        except OSError:
            return 0

    @property
    def has_failed(self) -> bool:
        """True if the connection has been reset or has failed."""
        return self._raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0

    def limit_send_buffer(self, max_bytes: int) -> None:
        """Limit the kernel's send buffer to about `max_bytes`."""
        with suppress(OSError):  # the kernel doubles the requested size to allow for its overhead
            self._raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, max_bytes // 2)

    def reset_on_close(self) -> None:
        """Make `close` reset the connection, which frees the kernel's buffers immediately."""
        with suppress(OSError):
            self._raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)

    @property
    def is_quiet(self) -> bool:
        """True if there is nothing to read, not even the end of the stream."""
        try:
            self._raw.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    @property
    def has_input(self) -> bool:
        """True if bytes are ready to be read; they are not consumed."""
        return self._queue_bytes(termios.FIONREAD) > 0

    @property
    def peer_has_closed(self) -> bool:
        """True if the peer has closed its side or reset the connection; no input is consumed."""
        poll = select.poll()
        poll.register(self._raw, select.POLLRDHUP)
        return bool(poll.poll(0))

    async def wait_readable(self) -> None:
        """Wait for data or the end of the stream; always lets other tasks run first."""
        await anyio.wait_readable(self._raw)

    def read(self, max_bytes: int = MAX_READ_BYTES) -> bytes:
        """Return the data received so far, possibly none; raise one of STREAM_ERRORS at the end."""
        try:
            data = self._raw.recv(max_bytes)
        except BlockingIOError:
            return b""
        except OSError as error:
            if error.errno in _TRANSIENT_ERRORS:
                return b""
            raise anyio.BrokenResourceError from error
        if not data:
            raise anyio.EndOfStream
        return data

    async def receive(self, max_bytes: int = MAX_READ_BYTES) -> bytes:
        """Wait for data and return up to `max_bytes`; raise one of STREAM_ERRORS at the end.

        Other tasks always run first.
        """
        while True:
            await self.wait_readable()
            if data := self.read(max_bytes):
                return data

    def write(self, data: bytes | bytearray | memoryview) -> int:
        """Write as much as the kernel accepts without waiting; return the number of bytes written."""
        try:
            return self._raw.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            if error.errno in _TRANSIENT_ERRORS:
                return 0
            raise anyio.BrokenResourceError from error

    async def wait_writable(self) -> None:
        """Wait until the kernel accepts more data."""
        await anyio.wait_writable(self._raw)

    async def send(self, data: bytes) -> None:
        """Write all data, waiting whenever the kernel accepts no more."""
        sent = self.write(data)
        while sent < len(data):
            await self.wait_writable()
            written = self.write(memoryview(data)[sent:])
            sent += written
            if not written:
                await anyio.sleep(RESOURCE_RETRY_SECONDS)

    def shutdown_write(self) -> None:
        """End the output after the data written so far; the peer reads all of it and then the end."""
        with suppress(OSError):
            self._raw.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close now; tasks that wait on the stream receive ClosedResourceError."""
        anyio.notify_closing(self._raw)
        self._raw.close()


def create_socket(address: Address) -> socket.socket:
    """Return a non-blocking TCP socket of the address's family."""
    raw = socket.socket(socket.AF_INET6 if ":" in address.host else socket.AF_INET, socket.SOCK_STREAM)
    raw.setblocking(False)
    return raw


def open_listener(address: Address) -> socket.socket:
    """Return a non-blocking socket that listens on this address only; raise OSError on failure."""
    listener = create_socket(address)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((address.host, address.port))
        listener.listen(LISTEN_BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


async def open_listener_with_retry(address: Address) -> socket.socket:
    """Open a listener, retrying while resources are short or the address is taken; OSError on failure."""
    deadline = anyio.current_time() + LISTEN_RETRY_SECONDS
    while True:
        try:
            return open_listener(address)
        except OSError as error:
            if error.errno not in _TRANSIENT_LISTEN_ERRORS or anyio.current_time() >= deadline:
                raise
        await anyio.sleep(RESOURCE_RETRY_SECONDS)


async def connect(address: Address) -> Stream:
    """Open a connection; raise OSError on failure. It has no timeout of its own."""
    raw = create_socket(address)
    try:
        # An interrupted connect continues in the background like a non-blocking one.
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
    """Open a connection for the duration of the block; raise TimeoutError after CONNECT_TIMEOUT_SECONDS."""
    with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
        stream = await connect(address)
    try:
        yield stream
    finally:
        stream.close()
