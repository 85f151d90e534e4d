"""The set of clients' connections: which are open, which make room for others, and how they drain."""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator
from time import monotonic
from typing import Any

import anyio
from anyio.abc import TaskGroup

from frostfall import log
from frostfall.limits.arrival_pacing import ArrivalRate
from frostfall.limits.slow_peer_detector import SlowPeerDetector
from frostfall.net.client_acceptor import ClientAcceptor
from frostfall.net.client_connection import (
    CHECK_INTERVAL_SECONDS,
    IDLE_CLOSE_SECONDS,
    ClientConnection,
)
from frostfall.net.client_interfaces import QueryHandler
from frostfall.net.connection_monitor import ConnectionMonitor
from frostfall.net.pending_answers import PendingAnswers
from frostfall.net.reasons import CloseReason
from frostfall.net.streams import SocketBudget, Stream
from frostfall.net.supervision import run_with_restarts

NEW_CONNECTION_GRACE_SECONDS = 0.05  # a usual client writes at once; until then it does not count as silent
ACCEPT_PENDING_SECONDS = 0.6  # for those that the kernel has accepted as accepting ends, also in a crowd
IDLE_CLOSE_FILL_FRACTION = 0.5  # of the bound: with more open, those that are idle for long are closed

_log = log.get_logger("clients")


class ClientConnections:
    """Owns the open connections. Implements `ConnectionOwner` and `AcceptTarget`.

    Where there is no room, the connection closes first that has brought nothing for longest; then an idle one
    of the upstream pool; then the client's that has been idle for longest after its answer.
    """

    def __init__(
        self,
        handler: QueryHandler,
        sockets: SocketBudget,
        max_connections: int,
        max_buffered_bytes: int,
        max_request_seconds: float,
        evict_other: Callable[[], bool],
        slow_peers: SlowPeerDetector[ClientConnection] | None = None,
        monitor: ConnectionMonitor | None = None,
        pending_answers: PendingAnswers | None = None,
    ) -> None:
        """`evict_other` closes a connection of another use, False where it has none to spare.

        `monitor` has to be run by the caller, with `on_tick` after each of its ticks.
        """
        self.slow_peers = slow_peers or SlowPeerDetector[ClientConnection]()
        self.monitor = ConnectionMonitor() if monitor is None else monitor
        self.pending_answers = PendingAnswers() if pending_answers is None else pending_answers
        self.max_request_seconds = max_request_seconds
        self.malformed_counts = Counter[str]()  # rejected input by reason, since the last health line
        self.sockets = sockets
        self.buffered_bytes = 0  # unread, in all connections together
        self._handler = handler
        self._max_connections = max_connections
        self._max_buffered_bytes = max_buffered_bytes
        self._evict_other = evict_other
        self._open: set[ClientConnection] = set()
        # In order of arrival, both without connections that are about to end.
        self._silent: dict[ClientConnection, None] = {}
        self._idle: dict[ClientConnection, None] = {}
        self._draining = False
        self._connection_tasks: TaskGroup | None = None
        self._side_tasks: TaskGroup | None = None
        self._accepting: anyio.CancelScope | None = None
        self._accepting_last: anyio.CancelScope | None = None  # what the kernel has accepted by the end

    def __len__(self) -> int:
        """How many connections are open."""
        return len(self._open)

    def __iter__(self) -> Iterator[ClientConnection]:
        """The open connections, in no order."""
        return iter(self._open)

    async def run(self, listener: socket.socket) -> None:
        """Serve each connection in a task of its own, until stopped and all have ended."""
        try:
            async with anyio.create_task_group() as self._side_tasks:
                async with anyio.create_task_group() as self._connection_tasks:
                    acceptor = ClientAcceptor(listener, self)
                    with anyio.CancelScope() as self._accepting:
                        await run_with_restarts("accept", acceptor.run)
                    # What the kernel has accepted by now would be reset as the listener closes.
                    with anyio.move_on_after(ACCEPT_PENDING_SECONDS) as self._accepting_last:
                        await self._accept_pending(acceptor)
                    listener.close()
                self._side_tasks.cancel_scope.cancel()
        finally:
            listener.close()

    async def _accept_pending(self, acceptor: ClientAcceptor) -> None:
        try:
            await acceptor.accept_pending()
        except Exception:  # the connections that are open still need their answers
            _log.exception("accepting the last connections failed")

    def drain(self) -> None:
        """From now on connections end with their answer, and those that have had one end at once."""
        self._draining = True
        for client in list(self._open):
            client.drain()

    def stop(self) -> None:
        """Accept no more connections; `run` returns once the open ones have ended."""
        if self._accepting:
            self._accepting.cancel()
        self.drain()

    def finish(self) -> None:
        """End every connection now, with a final answer to all that was read from it."""
        if self._accepting_last:
            self._accepting_last.cancel()
        for client in list(self._open):
            client.finish()

    def cut_off(self) -> None:
        """End the connections of clients that have not taken their last bytes."""
        for client in list(self._open):
            client.cut_off()

    def check_all(self) -> None:
        """Check every connection soon, as the options have changed."""
        for client in self._open:
            self.monitor.schedule(client, CHECK_INTERVAL_SECONDS)

    def on_tick(self) -> None:
        """Report who was shed, and with many open close those that have been idle for long."""
        if report := self.slow_peers.shed_counter.report_if_due(monotonic()):
            _log.warning("shed", shed=report.counts, last=report.last_peer)
        if len(self._open) <= self._max_connections * IDLE_CLOSE_FILL_FRACTION:
            return
        before = monotonic() - IDLE_CLOSE_SECONDS
        for client in list(self._idle):  # in the order of their answers
            if client.idle:
                if client.last_used_at > before:
                    break
                client.begin_close(CloseReason.IDLE)

    # ---- for the acceptor --------------------------------------------------------------------------

    @property
    def overflow_count(self) -> int:
        """How many connections are open beyond the bounds; negative where there is room."""
        return max(self.sockets.used - self.sockets.limit, len(self._open) - self._max_connections)

    @property
    def arrival_rate(self) -> ArrivalRate | None:
        """How fast connections may be accepted; None for no limit."""
        return self.slow_peers.options.arrivals

    def add(self, stream: Stream, source: str) -> None:
        """Serve a connection that came from address `source`, after making room if need be."""
        is_overflow = not self._make_room()
        if waiting := self.slow_peers.options.waiting:
            stream.limit_send_buffer(waiting.kernel_bytes)
        client = ClientConnection(stream, self._handler, self, is_overflow, source)
        client.draining = self._draining or is_overflow
        self._open.add(client)
        self.sockets.used += 1
        self._silent[client] = None
        if self._connection_tasks:
            self._connection_tasks.start_soon(self._serve, client)

    def accept_failed(self, error: OSError) -> None:
        """Count a failure to accept."""
        self.malformed_counts[f"cannot accept: {error.strerror}"] += 1

    def close_silent(self) -> bool:
        """Close the connection that has brought nothing for longest, unless it is new."""
        oldest = next(iter(self._silent), None)
        if oldest is None or monotonic() - oldest.opened_at <= NEW_CONNECTION_GRACE_SECONDS:
            return False
        oldest.begin_close()
        return True

    async def _serve(self, client: ClientConnection) -> None:
        try:
            await client.run()
        except Exception:  # a fault in one connection must not end the others
            _log.exception("connection failed")
        finally:
            self._open.discard(client)
            self.mark_closing(client)
            self.update_buffered(client, 0)
            self.monitor.cancel(client)
            self.slow_peers.budget.release(client)
            self.sockets.used -= 1

    def _make_room(self) -> bool:
        """Whether there is room for one more, after closing something if need be."""
        if not self.is_full:
            return True
        if self.close_silent():
            return True
        if len(self._open) < self._max_connections and self._evict_other():
            return True
        if idle := next(iter(self._idle), None):
            idle.begin_close()
        return idle is not None

    # ---- for a connection --------------------------------------------------------------------------

    @property
    def memory_exceeded(self) -> bool:
        """Whether more is unread than there is memory for."""
        return self.buffered_bytes > self._max_buffered_bytes

    @property
    def is_full(self) -> bool:
        """Whether there is no room for one more connection."""
        return self.overflow_count >= 0

    def start_soon(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a task beside the connection's own."""
        if self._side_tasks:
            self._side_tasks.start_soon(work)

    def is_open(self, client: ClientConnection) -> bool:
        """Whether the connection is in the set."""
        return client in self._open

    def update_buffered(self, client: ClientConnection, buffered_bytes: int) -> None:
        """Account for the bytes that the connection holds unread."""
        self.buffered_bytes += buffered_bytes - client.buffered_bytes
        client.buffered_bytes = buffered_bytes

    def enforce_buffer_limits(self, client: ClientConnection) -> None:
        """Shed connections while too much waits to be written, now that this one's account has changed."""
        while found := self.slow_peers.find_eviction(client):
            reason, chosen = found
            chosen.shed(reason)

    def mark_active(self, client: ClientConnection) -> None:
        """The connection has brought a query."""
        self._silent.pop(client, None)
        self._idle.pop(client, None)

    def mark_idle(self, client: ClientConnection) -> None:
        """The connection's query has been answered."""
        if client.idle:
            self._idle[client] = None

    def mark_closing(self, client: ClientConnection) -> None:
        """The connection is about to end."""
        self._silent.pop(client, None)
        self._idle.pop(client, None)

    def promote(self, client: ClientConnection) -> bool:
        """Give an overflow connection the place of a silent one; False where there is none."""
        oldest = next((other for other in self._silent if not other.is_overflow), None)
        if oldest is None:
            return False
        oldest.begin_close()
        client.is_overflow, client.draining = False, self._draining
        return True
