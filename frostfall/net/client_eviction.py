"""The clients' connections that may be closed for new ones, and the order in which they are closed."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from enum import Enum
from time import monotonic
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from frostfall.net.client_connection import ClientConnection

NEW_CONNECTION_GRACE_SECONDS = 0.05  # before a connection counts as silent; most clients write immediately


class EvictionGroup(Enum):
    """What a connection without a query in progress has sent; the values are those of the log."""

    SILENT = "silent"  # nothing of a query so far
    PARTIAL = "partial query"  # the beginning of a query
    IDLE = "idle"  # nothing since its last answer


class EvictionOrder:
    """The connections without a query in progress, in the order in which they are closed.

    Each group is in the order in which its connections joined it, and excludes connections that are closing.

    Only a connection that closes at once counts as evicted: one that has to stay, as a query may be pending
    on it, is passed over for the next.
    """

    def __init__(self) -> None:
        """Begin without connections."""
        self.counts = Counter[EvictionGroup]()  # evicted connections by group, since the last health log line
        # With the monotonic seconds at which the connection joined the group.
        self._silent: dict[ClientConnection, float] = {}
        self._partial: dict[ClientConnection, float] = {}
        self._idle: dict[ClientConnection, float] = {}

    @property
    def idle(self) -> list[ClientConnection]:
        """The idle connections, the one idle for longest first."""
        return list(self._idle)

    def mark_silent(self, client: ClientConnection) -> None:
        """Record that the connection was opened."""
        self._silent[client] = monotonic()

    def mark_partial(self, client: ClientConnection) -> None:
        """Record that a query has begun on the connection and is incomplete."""
        self.remove(client)
        self._partial[client] = monotonic()

    def mark_idle(self, client: ClientConnection) -> None:
        """Record that the connection's query has been answered."""
        self._idle[client] = monotonic()

    def remove(self, client: ClientConnection) -> None:
        """Remove a connection that has sent a whole query or is closing."""
        for group in (self._silent, self._partial, self._idle):
            group.pop(client, None)

    def evict_silent(self) -> bool:
        """Close a connection without a whole query that is not new; return False if none can be closed.

        Stalled partial queries come first, as a silent connection may be a client's that is about to write.
        """
        latest = monotonic() - NEW_CONNECTION_GRACE_SECONDS
        return (
            self._evict_stalled(latest)
            or self._evict_first(EvictionGroup.SILENT, _joined_before(self._silent, latest))
            or self._evict_first(EvictionGroup.PARTIAL, _joined_before(self._partial, latest))
        )

    def replace_silent(self) -> bool:
        """Close a connection without a whole query, however new, for one over the limit that has sent one."""
        return (
            self._evict_stalled(monotonic() - NEW_CONNECTION_GRACE_SECONDS)
            or self._evict_first(EvictionGroup.SILENT, _within_limit(self._silent))
            or self._evict_first(EvictionGroup.PARTIAL, _within_limit(self._partial))
        )

    def evict_idle(self) -> bool:
        """Close the connection that is idle for longest; return False if none can be closed."""
        return self._evict_first(EvictionGroup.IDLE, self._idle)

    def _evict_stalled(self, latest: float) -> bool:
        """Close a connection with a partial query of which nothing has been received since `latest`."""
        stalled = (client for client in self._partial if client.last_used_at < latest)
        return self._evict_first(EvictionGroup.PARTIAL, stalled)

    def _evict_first(self, group: EvictionGroup, candidates: Iterable[ClientConnection]) -> bool:
        if any(client.evict() for client in candidates):
            self.counts[group] += 1
            return True
        return False


def _joined_before(group: dict[ClientConnection, float], latest: float) -> Iterator[ClientConnection]:
    return (client for client, joined_at in group.items() if joined_at < latest)


def _within_limit(group: dict[ClientConnection, float]) -> Iterator[ClientConnection]:
    return (client for client in group if not client.is_overflow)
