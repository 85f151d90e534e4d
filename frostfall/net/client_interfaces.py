"""Interfaces that a client's connection uses: the handler of its queries and its owner."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, Protocol

from frostfall.limits.slow_peer_detector import SlowPeerDetector
from frostfall.net.connection_monitor import ConnectionMonitor
from frostfall.net.pending_answers import PendingAnswers

if TYPE_CHECKING:
    from frostfall.net.client_connection import ClientConnection


class QueryHandler(Protocol):
    """Receiver of a connection's queries."""

    def handle_query(self, client: ClientConnection, text: bytes) -> str | None:
        """Accept a query, or return why it is malformed."""

    def client_disconnected(self, client: ClientConnection) -> None:
        """Discard the pending request of a connection that has ended."""


class ConnectionOwner(Protocol):
    """The set of connections to which a connection belongs."""

    slow_peers: SlowPeerDetector[ClientConnection]
    monitor: ConnectionMonitor
    max_request_seconds: float
    malformed_counts: Counter[str]
    pending_answers: PendingAnswers

    @property
    def memory_exceeded(self) -> bool:
        """True if the unprocessed input of all connections exceeds its limit."""

    @property
    def is_full(self) -> bool:
        """True if no further connection fits into the limits."""

    def start_soon(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a task in addition to the connection's own task."""

    def is_open(self, client: ClientConnection) -> bool:
        """Return whether the connection is in the set."""

    def update_buffered(self, client: ClientConnection, buffered_bytes: int) -> None:
        """Record the number of bytes of input that the connection has not processed."""

    def enforce_buffer_limits(self, client: ClientConnection) -> None:
        """Shed connections until buffered output is within limits, after `client`'s output has changed."""

    def mark_active(self, client: ClientConnection) -> None:
        """Record that the connection has sent a whole query."""

    def mark_partial(self, client: ClientConnection) -> None:
        """Record that a partial query has begun on the connection."""

    def mark_idle(self, client: ClientConnection) -> None:
        """Record that the connection's query has been answered."""

    def mark_closing(self, client: ClientConnection) -> None:
        """Record that the connection is closing."""

    def promote(self, client: ClientConnection) -> bool:
        """Evict a silent connection and serve the overflow connection instead; False if none is silent."""
