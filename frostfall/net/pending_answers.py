"""Registry of the queries that are accepted and not yet answered.

A connection closes only once its query is answered, and the agent exits only once all are. After a fault or a
timeout, pending queries get their final answer first.
"""

from __future__ import annotations

from dataclasses import dataclass
from time import monotonic
from typing import TYPE_CHECKING

from frostfall.net.invariants import Invariant, InvariantMonitor
from frostfall.net.request_trace import RequestTrace, Step

if TYPE_CHECKING:
    from frostfall.net.client_connection import ClientConnection


@dataclass(slots=True)
class PendingAnswer:
    """An accepted query whose final answer is pending."""

    accepted_at: float  # monotonic seconds
    request: str | None = None  # request id, set once the query is parsed


class PendingAnswers:
    """Records which connections await an answer and whether further queries are admitted."""

    def __init__(self, invariants: InvariantMonitor | None = None, trace: RequestTrace | None = None) -> None:
        """Admit queries until `end_admission`."""
        self.invariants = invariants or InvariantMonitor()
        self.trace = trace or RequestTrace()
        self.admitting = True
        self._pending: dict[ClientConnection, PendingAnswer] = {}

    def __len__(self) -> int:
        """Return the number of queries that await an answer."""
        return len(self._pending)

    @property
    def clients(self) -> list[ClientConnection]:
        """The connections that await an answer."""
        return list(self._pending)

    def end_admission(self) -> None:
        """Stop admission: every later query is rejected as soon as it is read."""
        self.admitting = False

    def accept(self, client: ClientConnection) -> None:
        """Register a query that was read completely; its connection now awaits an answer."""
        if earlier := self._pending.get(client):
            self.invariants.check(Invariant.ACCEPT_ONE_AT_A_TIME, False, earlier.request)
        self._pending[client] = PendingAnswer(monotonic())

    def identify(self, client: ClientConnection, request: str) -> None:
        """Set the request id of the connection's pending query."""
        if pending := self._pending.get(client):
            pending.request = request

    def answered(self, client: ClientConnection) -> None:
        """Remove the connection's pending query: the connection has its final answer."""
        pending = self._pending.pop(client, None)
        if pending and self.trace.enabled:
            elapsed_ms = round((monotonic() - pending.accepted_at) * 1000, 1)
            self.trace.record(
                Step.ANSWERED, request=pending.request, connection=client.number, elapsed_ms=elapsed_ms
            )

    def discard(self, client: ClientConnection) -> None:
        """Drop the pending query of a client that has disconnected or does not read its answers."""
        self._pending.pop(client, None)

    def may_close(self, client: ClientConnection) -> bool:
        """Check, before the agent closes a connection, that no answer is pending on it."""
        pending = self._pending.get(client)
        return self.invariants.check(
            Invariant.CLOSE_WHEN_ANSWERED, pending is None, pending.request if pending else None
        )

    def may_exit(self) -> bool:
        """Check, before the agent exits, that no answer is pending on any connection."""
        first = next(iter(self._pending.values()), None)
        detail = f"{len(self._pending)} pending"
        return self.invariants.check(
            Invariant.EXIT_WHEN_ANSWERED, first is None, first.request if first else None, detail
        )
