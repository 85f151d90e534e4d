"""Output side of a client's connection: buffers data for the kernel and awaits its delivery."""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic
from typing import Protocol

import anyio

from frostfall.net.connection_monitor import ConnectionMonitor
from frostfall.net.streams import RESOURCE_RETRY_SECONDS, Stream

DELIVERY_POLL_SECONDS = 0.01  # between checks whether the last bytes have reached the client
CLOSE_LINGER_SECONDS = 0.25  # time for a client that sent data after the end of the output to close first


class OutputOwner(Protocol):
    """The part of the connection's owner that the output uses."""

    monitor: ConnectionMonitor
    max_request_seconds: float

    @property
    def is_full(self) -> bool:
        """True if no further connection fits into the limits."""


class ClientOutput:
    """Buffers and writes output to one stream; writes raise one of STREAM_ERRORS on a broken connection."""

    def __init__(self, stream: Stream, owner: OutputOwner, chunk_bytes: Callable[[], int]) -> None:
        """Write buffered data in chunks of `chunk_bytes`, so that one client does not delay the others."""
        # Monitor's time at which the kernel last accepted data; valid while data is buffered.
        self.blocked_since = 0.0
        self._stream = stream
        self._owner = owner
        self._chunk_bytes = chunk_bytes
        self._unwritten = bytearray()  # data that the kernel has not accepted yet
        self._flushed = anyio.Event()
        self._end_requested = False

    def __len__(self) -> int:
        """Return the number of bytes that the kernel has not accepted yet."""
        return len(self._unwritten)

    def write(self, data: bytes) -> bool:
        """Write data, or buffer the part that the kernel does not accept; return True to request `flush`."""
        if self._unwritten:
            self._unwritten += data
            return False
        remainder = data[self._stream.write(data) :]
        if not remainder:
            return False
        self.blocked_since = self._owner.monitor.now
        self._flushed = anyio.Event()
        self._unwritten += remainder
        return True

    def end(self) -> None:
        """End the output after the buffered data; the client reads all of it and then the end."""
        self._end_requested = True
        if not self._unwritten:
            self._stream.shutdown_write()

    async def flush(self) -> None:
        """Write the buffered data as the client reads it, then end the output if `end` was called."""
        try:
            while self._unwritten:
                await self._stream.wait_writable()
                if written := self._stream.write(self._unwritten[: self._chunk_bytes()]):
                    del self._unwritten[:written]
                    self.blocked_since = self._owner.monitor.now
                else:  # writable, but no byte was accepted: the kernel lacks memory
                    await anyio.sleep(RESOURCE_RETRY_SECONDS)
            if self._end_requested:
                self._stream.shutdown_write()
        finally:
            self._flushed.set()

    async def wait_flushed(self) -> None:
        """Wait until the kernel has accepted all data or the connection is broken."""
        if self._unwritten:
            await self._flushed.wait()

    async def wait_delivered(self) -> None:
        """Wait after `end` until the client has received all data and, briefly, for it to close first."""
        # Closing with unread input resets the connection, which discards output still in the kernel.
        deadline = monotonic() + self._owner.max_request_seconds
        await self.wait_flushed()
        while self._stream.unacknowledged_bytes and monotonic() < deadline:
            # An acknowledgement may take 40 ms, in which many connections could occupy all descriptors. When
            # the limits are reached, bytes that were sent once are not waited for any longer.
            if self._stream.peer_has_closed or (self._owner.is_full and not self._stream.unsent_bytes):
                return
            await anyio.sleep(DELIVERY_POLL_SECONDS)
        # Data that the client sent before it saw the end of the output turns the close into a reset. Waiting
        # lets the client read its last answer and close first.
        linger_until = min(monotonic() + CLOSE_LINGER_SECONDS, deadline)
        while self._stream.has_input and not self._stream.peer_has_closed and monotonic() < linger_until:
            if self._owner.is_full:
                return
            await anyio.sleep(DELIVERY_POLL_SECONDS)
