"""Accepts clients' connections from the listening socket, at a bounded pace."""

from __future__ import annotations

import socket
from contextlib import suppress
from time import monotonic
from typing import Protocol

import anyio
from anyio.lowlevel import checkpoint

from frostfall.limits.arrival_pacing import ArrivalPacer, ArrivalRate
from frostfall.net.streams import LISTEN_BACKLOG, Stream

ACCEPT_RETRY_SECONDS = 0.01  # after an error, or while too many connections wait to be rejected
MAX_ACCEPTS_PER_TURN = 16  # so that a flood of connections leaves the open ones their turn
MAX_OVERFLOW_CONNECTIONS = 8  # open at once beyond the bound, to be rejected or being closed


class AcceptTarget(Protocol):
    """Where accepted connections go."""

    @property
    def overflow_count(self) -> int:
        """How many connections are open beyond the bound; negative where there is room."""

    @property
    def arrival_rate(self) -> ArrivalRate | None:
        """How fast connections may be accepted; None for no limit."""

    def add(self, stream: Stream, source: str) -> None:
        """Serve a connection that came from this address."""

    def close_silent(self) -> bool:
        """Close a connection that has brought nothing; False where there is none."""

    def accept_failed(self, error: OSError) -> None:
        """Count a failure to accept."""


class ClientAcceptor:
    """Owns the accept loop of one listening socket."""

    def __init__(self, listener: socket.socket, target: AcceptTarget) -> None:
        """Accept from `listener`, which never blocks, for `target`."""
        self._listener = listener
        self._target = target
        self._pacer = ArrivalPacer()
        self._accepted_count = 0

    async def run(self) -> None:
        """Accept connections until cancelled."""
        while True:
            await anyio.wait_readable(self._listener)
            await self._accept_turn()

    async def accept_pending(self) -> None:
        """Accept those connections only that the kernel has accepted already.

        Under a flow of new ones the queue is never empty; so no more are taken than it holds at a time.
        """
        last = self._accepted_count + LISTEN_BACKLOG + 1
        while self._accepted_count < last and await self._accept_turn():
            await checkpoint()

    async def _accept_turn(self) -> bool:
        """Accept a turn's worth of connections; False once none is left in the kernel's queue."""
        # A connection that is closed for room holds its descriptor until its task has had a turn.
        while self._target.overflow_count >= MAX_OVERFLOW_CONNECTIONS:
            await anyio.sleep(0 if self._target.close_silent() else ACCEPT_RETRY_SECONDS)
        for _ in range(MAX_ACCEPTS_PER_TURN):
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
            # A request counts as accepted while its connection still waits in the kernel's queue, so all are
            # taken from there; without room, the first query is rejected unseen.
            self._accepted_count += 1
            with suppress(OSError):
                self._target.add(Stream(raw), str(address[0]))
            if self._target.overflow_count >= MAX_OVERFLOW_CONNECTIONS:
                break
        return True
