"""The output half of a client's connection: what waits for the kernel, and the end of the delivery."""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic
from typing import Protocol

import anyio

from frostfall.net.connection_monitor import ConnectionMonitor
from frostfall.net.streams import SHORTAGE_PAUSE_SECONDS, Stream

DELIVERY_POLL_SECONDS = 0.01  # between looks at whether the last bytes have reached the client
CLOSE_LINGER_SECONDS = 0.25  # for a client whose next bytes crossed the end, to close first


class OutputOwner(Protocol):
    """What the output needs of its connection's owner."""

    monitor: ConnectionMonitor
    max_request_seconds: float

    @property
    def is_full(self) -> bool:
        """Whether there is no room for one more connection."""


class ClientOutput:
    """Writes to one stream; a write fails with one of STREAM_ERRORS once the connection is broken."""

    def __init__(self, stream: Stream, owner: OutputOwner, piece_bytes: Callable[[], int]) -> None:
        """Write what waits in pieces of `piece_bytes`, so that one client does not hold up the others."""
        self.waiting_since = 0.0  # the monitor's time since when nothing of what waits was taken
        self._stream = stream
        self._owner = owner
        self._piece_bytes = piece_bytes
        self._waiting = bytearray()  # what the kernel has not taken yet
        self._flushed = anyio.Event()
        self._ends = False

    def __len__(self) -> int:
        """How many bytes the kernel has not taken yet."""
        return len(self._waiting)

    def write(self, data: bytes) -> bool:
        """Write data, or keep what the kernel does not take; whether it has to be flushed from now on."""
        if self._waiting:
            self._waiting += data
            return False
        rest = data[self._stream.write(data) :]
        if not rest:
            return False
        self.waiting_since = self._owner.monitor.now
        self._flushed = anyio.Event()
        self._waiting += rest
        return True

    def end(self) -> None:
        """End the output behind what waits; the client reads all of it, and then the end."""
        self._ends = True
        if not self._waiting:
            self._stream.shutdown_write()

    async def flush(self) -> None:
        """Write what waits, as the client reads it."""
        try:
            while self._waiting:
                await self._stream.wait_writable()
                if written := self._stream.write(self._waiting[: self._piece_bytes()]):
                    del self._waiting[:written]
                    self.waiting_since = self._owner.monitor.now
                else:  # writable, and yet nothing was taken: the kernel is short of memory
                    await anyio.sleep(SHORTAGE_PAUSE_SECONDS)
            if self._ends:
                self._stream.shutdown_write()
        finally:
            self._flushed.set()

    async def wait_flushed(self) -> None:
        """Wait until the kernel has taken all, or the connection is broken."""
        if self._waiting:
            await self._flushed.wait()

    async def wait_delivered(self) -> None:
        """Once ended: wait until all has reached the client, and a moment more for it to close first."""
        # A close with bytes unread is a reset, and output that the kernel still holds is lost with it.
        give_up_at = monotonic() + self._owner.max_request_seconds
        await self.wait_flushed()
        while self._stream.unacknowledged_bytes and monotonic() < give_up_at:
            # An acknowledgement may take 40 ms, in which a crowd would hold all descriptors; when full, bytes
            # that were sent once are left to the network.
            if self._stream.peer_has_closed or (self._owner.is_full and not self._stream.unsent_bytes):
                return
            await anyio.sleep(DELIVERY_POLL_SECONDS)
        # Bytes that crossed the end of the output turn the close into a reset: a client is given time to read
        # its last answer and to close first.
        linger_until = min(monotonic() + CLOSE_LINGER_SECONDS, give_up_at)
        while self._stream.has_input and not self._stream.peer_has_closed and monotonic() < linger_until:
            if self._owner.is_full:
                return
            await anyio.sleep(DELIVERY_POLL_SECONDS)
