"""The set of clients' connections: tracks open ones, evicts some for new ones, and drains them."""

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
from frostfall.net.client_eviction import EvictionOrder
from frostfall.net.client_interfaces import QueryHandler
from frostfall.net.connection_monitor import ConnectionMonitor
from frostfall.net.pending_answers import PendingAnswers
from frostfall.net.reasons import CloseReason
from frostfall.net.streams import SocketBudget, Stream
from frostfall.net.supervision import run_with_restarts

ACCEPT_PENDING_SECONDS = 0.6  # to accept the full kernel queue after accepting has stopped, also under load
IDLE_CLOSE_FILL_FRACTION = 0.5  # of the connection limit; above it, connections idle for long are closed

_log = log.get_logger("clients")


class ClientConnections:
    """Owns the open connections. Implements `ConnectionOwner` and `AcceptTarget`.

    When a limit is reached, connections are closed in this order: a client's connection without a whole
    query, an idle connection of the upstream pool, the client's connection idle for longest.
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
        """Start without connections.

        `evict_other` closes an idle connection outside this set, and returns False if it has none. The caller
        has to run `monitor`, with `on_tick` after each of its ticks.
        """
        self.slow_peers = slow_peers or SlowPeerDetector[ClientConnection]()
        self.monitor = ConnectionMonitor() if monitor is None else monitor
        self.pending_answers = PendingAnswers() if pending_answers is None else pending_answers
        self.max_request_seconds = max_request_seconds
        self.malformed_counts = Counter[str]()  # rejected input by reason, since the last health log line
        self.evictions = EvictionOrder()
        self.sockets = sockets
        self.buffered_bytes = 0  # unprocessed input of all connections
        self._handler = handler
        self._max_connections = max_connections
        self._max_buffered_bytes = max_buffered_bytes
        self._evict_other = evict_other
        self._open: set[ClientConnection] = set()
        self._draining = False
        self._connection_tasks: TaskGroup | None = None
        self._side_tasks: TaskGroup | None = None
        self._accepting: anyio.CancelScope | None = None
        self._accepting_pending: anyio.CancelScope | None = None  # scope of `_accept_pending`

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    def __iter__(self) -> Iterator[ClientConnection]:
        """Iterate over the open connections, in no particular order."""
        return iter(self._open)

    async def run(self, listener: socket.socket) -> None:
        """Serve each connection in its own task, until `stop` is called and all connections have ended."""
        try:
            async with anyio.create_task_group() as self._side_tasks:
                async with anyio.create_task_group() as self._connection_tasks:
                    acceptor = ClientAcceptor(listener, self)
                    with anyio.CancelScope() as self._accepting:
                        await run_with_restarts("accept", acceptor.run)
                    # Closing the listener would reset the connections in the kernel's accept queue.
                    with anyio.move_on_after(ACCEPT_PENDING_SECONDS) as self._accepting_pending:
                        await self._accept_pending(acceptor)
                    listener.close()
                self._side_tasks.cancel_scope.cancel()
        finally:
            listener.close()

    async def _accept_pending(self, acceptor: ClientAcceptor) -> None:
        try:
            await acceptor.accept_pending()
        except Exception:  # the open connections still await their answers
            _log.exception("accepting the last connections failed")

    def drain(self) -> None:
        """Close each connection after its pending answer, and idle connections immediately."""
        self._draining = True
        for client in list(self._open):
            client.drain()

    def stop(self) -> None:
        """Stop accepting connections; `run` returns once the open ones have ended."""
        if self._accepting:
            self._accepting.cancel()
        self.drain()

    def finish(self) -> None:
        """Close every connection now, with a final answer to each query read from it."""
        if self._accepting_pending:
            self._accepting_pending.cancel()
        for client in list(self._open):
            client.finish()

    def force_close(self) -> None:
        """Close the connections of clients that have not read their remaining output."""
        for client in list(self._open):
            client.force_close()

    def check_all(self) -> None:
        """Schedule an early check of every connection, after the options have changed."""
        for client in self._open:
            self.monitor.schedule(client, CHECK_INTERVAL_SECONDS)

    def on_tick(self) -> None:
        """Log shed clients, and with many connections open close those that have been idle for long."""
        if report := self.slow_peers.shed_counter.report_if_due(monotonic()):
            _log.warning("shed", shed=report.counts, last=report.last_peer)
        if len(self._open) <= self._max_connections * IDLE_CLOSE_FILL_FRACTION:
            return
        before = monotonic() - IDLE_CLOSE_SECONDS
        for client in self.evictions.idle:
            if client.idle:
                if client.last_used_at > before:
                    break
                client.close_when_idle(CloseReason.IDLE)

    @property
    def overflow_count(self) -> int:
        """Number of connections above the limits; negative if capacity is free."""
        return max(self.sockets.used - self.sockets.limit, len(self._open) - self._max_connections)

    @property
    def arrival_rate(self) -> ArrivalRate | None:
        """Maximum rate of accepting connections; None for no limit."""
        return self.slow_peers.options.arrivals

    def add(self, stream: Stream, source: str) -> None:
        """Serve a connection from address `source`, after evicting another if a limit is reached."""
        is_overflow = not self._free_capacity()
        if waiting := self.slow_peers.options.waiting:
            stream.limit_send_buffer(waiting.kernel_bytes)
        client = ClientConnection(stream, self._handler, self, is_overflow, source)
        client.draining = self._draining or is_overflow
        self._open.add(client)
        self.sockets.used += 1
        self.evictions.mark_silent(client)
        if self._connection_tasks:
            self._connection_tasks.start_soon(self._serve, client)

    def accept_failed(self, error: OSError) -> None:
        """Count a failed accept."""
        self.malformed_counts[f"cannot accept: {error.strerror}"] += 1

    def close_silent(self) -> bool:
        """Close a connection without a whole query that is not new; return False if none can be closed."""
        return self.evictions.evict_silent()

    async def _serve(self, client: ClientConnection) -> None:
        try:
            await client.run()
        except Exception:  # an error in one connection must not end the others
            _log.exception("connection failed")
        finally:
            self._open.discard(client)
            self.mark_closing(client)
            self.update_buffered(client, 0)
            self.monitor.cancel(client)
            self.slow_peers.budget.release(client)
            self.sockets.used -= 1

    def _free_capacity(self) -> bool:
        """Evict a connection if the limit is reached; return whether one more can be served."""
        if not self.is_full or self.evictions.evict_silent():
            return True
        if len(self._open) < self._max_connections and self._evict_other():
            return True
        return self.evictions.evict_idle()

    @property
    def memory_exceeded(self) -> bool:
        """True if the unprocessed input of all connections exceeds its limit."""
        return self.buffered_bytes > self._max_buffered_bytes

    @property
    def is_full(self) -> bool:
        """True if no further connection fits into the limits."""
        return self.overflow_count >= 0

    def start_soon(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a task in addition to the connection's own task."""
        if self._side_tasks:
            self._side_tasks.start_soon(work)

    def is_open(self, client: ClientConnection) -> bool:
        """Return whether the connection is in the set."""
        return client in self._open

    def update_buffered(self, client: ClientConnection, buffered_bytes: int) -> None:
        """Record the number of bytes of input that the connection has not processed."""
        self.buffered_bytes += buffered_bytes - client.buffered_bytes
        client.buffered_bytes = buffered_bytes

    def enforce_buffer_limits(self, client: ClientConnection) -> None:
        """Shed connections until buffered output is within limits, after `client`'s output has changed."""
        while eviction := self.slow_peers.find_eviction(client):
            reason, evicted = eviction
            evicted.shed(reason)

    def mark_active(self, client: ClientConnection) -> None:
        """Record that the connection has sent a whole query."""
        self.evictions.remove(client)

    def mark_idle(self, client: ClientConnection) -> None:
        """Record that the connection's query has been answered."""
        if client.idle:
            self.evictions.mark_idle(client)

    def mark_partial(self, client: ClientConnection) -> None:
        """Record that a partial query has begun on the connection."""
        self.evictions.mark_partial(client)

    def mark_closing(self, client: ClientConnection) -> None:
        """Record that the connection is closing."""
        self.evictions.remove(client)

    def promote(self, client: ClientConnection) -> bool:
        """Evict a silent connection and serve the overflow connection instead; False if none is silent."""
        if not self.evictions.replace_silent():
            return False
        client.is_overflow, client.draining = False, self._draining
        return True
