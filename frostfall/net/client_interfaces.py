"""What a client's connection needs of others: a handler of its queries, and the set that owns it."""

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
    """What a connection hands its queries to."""

    def handle_query(self, client: ClientConnection, text: bytes) -> str | None:
        """Accept a query, or say why it is malformed."""

    def client_disconnected(self, client: ClientConnection) -> None:
        """The connection has ended; no answer is owed to it any more."""


class ConnectionOwner(Protocol):
    """What a connection needs of the set of connections that it belongs to."""

    slow_peers: SlowPeerDetector[ClientConnection]
    monitor: ConnectionMonitor
    max_request_seconds: float
    malformed_counts: Counter[str]
    pending_answers: PendingAnswers

    @property
    def memory_exceeded(self) -> bool:
        """Whether all connections together hold more unread than there is memory for."""

    @property
    def is_full(self) -> bool:
        """Whether there is no room for one more connection."""

    def start_soon(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a task beside the connection's own."""

    def is_open(self, client: ClientConnection) -> bool:
        """Whether the connection is in the set."""

    def update_buffered(self, client: ClientConnection, buffered_bytes: int) -> None:
        """Account for the bytes that the connection holds unread."""

    def enforce_buffer_limits(self, client: ClientConnection) -> None:
        """Shed connections for which too much waits to be written."""

    def mark_active(self, client: ClientConnection) -> None:
        """The connection has brought a query."""

    def mark_idle(self, client: ClientConnection) -> None:
        """The connection's query has been answered."""

    def mark_closing(self, client: ClientConnection) -> None:
        """The connection is about to end."""

    def promote(self, client: ClientConnection) -> bool:
        """Give an overflow connection the place of a silent one; False where there is none."""
