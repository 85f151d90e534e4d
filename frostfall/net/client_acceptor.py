"""Accepts clients' connections from the listening socket at a limited rate."""

from __future__ import annotations

import socket
from contextlib import suppress
from time import monotonic
from typing import Protocol

import anyio
from anyio.lowlevel import checkpoint

from frostfall.limits.arrival_pacing import ArrivalPacer, ArrivalRate
from frostfall.net.streams import LISTEN_BACKLOG, Stream

ACCEPT_RETRY_SECONDS = 0.01  # after an error, or while too many overflow connections are open
MAX_ACCEPTS_PER_BATCH = 16  # so that many new connections do not starve the open ones
MAX_OVERFLOW_CONNECTIONS = 8  # open above the connection limit, to be rejected or closing


class AcceptTarget(Protocol):
    """Receiver of the accepted connections."""

    @property
    def overflow_count(self) -> int:
        """Number of connections above the limits; negative if capacity is free."""

    @property
    def arrival_rate(self) -> ArrivalRate | None:
        """Maximum rate of accepting connections; None for no limit."""

    def add(self, stream: Stream, source: str) -> None:
        """Serve a connection from address `source`."""

    def close_silent(self) -> bool:
        """Close a connection that has sent no query; False if there is none to close."""

    def accept_failed(self, error: OSError) -> None:
        """Count a failed accept."""


class ClientAcceptor:
    """Runs the accept loop of one listening socket."""

    def __init__(self, listener: socket.socket, target: AcceptTarget) -> None:
        """Accept from `listener`, a non-blocking socket, and pass the connections to `target`."""
        self._listener = listener
        self._target = target
        self._pacer = ArrivalPacer()
        self._accepted_count = 0

    async def run(self) -> None:
        """Accept connections until cancelled."""
        while True:
            await anyio.wait_readable(self._listener)
            await self._accept_batch()

    async def accept_pending(self) -> None:
        """Accept only the connections that are already in the kernel's accept queue.

        As new connections may keep the queue from becoming empty, at most one full queue is accepted.
        """
        last = self._accepted_count + LISTEN_BACKLOG + 1
        while self._accepted_count < last and await self._accept_batch():
            await checkpoint()

    async def _accept_batch(self) -> bool:
        """Accept one batch of connections; return False once the kernel's accept queue is empty."""
        # An evicted connection releases its descriptor only when its task next runs.
        while self._target.overflow_count >= MAX_OVERFLOW_CONNECTIONS:
            await anyio.sleep(0 if self._target.close_silent() else ACCEPT_RETRY_SECONDS)
        for _ in range(MAX_ACCEPTS_PER_BATCH):
            if wait := self._pacer.take(monotonic(), self._target.arrival_rate):
                await anyio.sleep(wait)
                break
            try:
                raw, address = self._listener.accept()
            except BlockingIOError:
                return False
            except ConnectionAbortedError:
                break
            except OSError as error:
                self._target.accept_failed(error)
                await anyio.sleep(ACCEPT_RETRY_SECONDS)
                break
            # A request counts as accepted even while its connection is still in the kernel's queue, so all
            # connections are accepted. If the limits are reached, the first query is rejected unprocessed.
            self._accepted_count += 1
            with suppress(OSError):
                self._target.add(Stream(raw), str(address[0]))
            if self._target.overflow_count >= MAX_OVERFLOW_CONNECTIONS:
                break
        return True
