"""The one owner of queries that were accepted and not answered yet.

A connection closes, and the agent ends, only once nothing of theirs is pending here. Where something fails or
time runs out, what is pending gets its final answer first.
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
    """A query that waits for its final answer."""

    accepted_at: float  # monotonic seconds
    request: str | None = None  # its id, once it has been parsed


class PendingAnswers:
    """Knows which connections wait for an answer, and whether further queries are admitted."""

    def __init__(self, invariants: InvariantMonitor | None = None, trace: RequestTrace | None = None) -> None:
        """Admit queries until `end_admission`."""
        self.invariants = invariants or InvariantMonitor()
        self.trace = trace or RequestTrace()
        self.admitting = True
        self._pending: dict[ClientConnection, PendingAnswer] = {}

    def __len__(self) -> int:
        """How many queries wait for their answers."""
        return len(self._pending)

    @property
    def clients(self) -> list[ClientConnection]:
        """The connections that wait for an answer."""
        return list(self._pending)

    def end_admission(self) -> None:
        """From now on each query is rejected as soon as it is read."""
        self.admitting = False

    def accept(self, client: ClientConnection) -> None:
        """A query was read whole: from now on its connection is owed an answer."""
        if earlier := self._pending.get(client):
            self.invariants.check(Invariant.ACCEPT_ONE_AT_A_TIME, False, earlier.request)
        self._pending[client] = PendingAnswer(monotonic())

    def identify(self, client: ClientConnection, request: str) -> None:
        """The pending query of this connection carries this request id."""
        if pending := self._pending.get(client):
            pending.request = request

    def answered(self, client: ClientConnection) -> None:
        """The final answer was handed to the connection."""
        pending = self._pending.pop(client, None)
        if pending and self.trace.enabled:
            elapsed_ms = round((monotonic() - pending.accepted_at) * 1000, 1)
            self.trace.record(
                Step.ANSWERED, request=pending.request, connection=client.number, elapsed_ms=elapsed_ms
            )

    def client_left(self, client: ClientConnection) -> None:
        """The client is gone by itself, or takes no answers: nothing is owed to it any more."""
        self._pending.pop(client, None)

    def may_close(self, client: ClientConnection) -> bool:
        """The guard of each close by the agent: whether nothing is owed on the connection."""
        pending = self._pending.get(client)
        return self.invariants.check(
            Invariant.CLOSE_WHEN_ANSWERED, pending is None, pending.request if pending else None
        )

    def may_exit(self) -> bool:
        """The guard of the agent's end: whether nothing is owed at all."""
        first = next(iter(self._pending.values()), None)
        detail = f"{len(self._pending)} pending"
        return self.invariants.check(
            Invariant.EXIT_WHEN_ANSWERED, first is None, first.request if first else None, detail
        )
