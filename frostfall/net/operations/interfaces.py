"""What operations need of the agent and of its clients' connections."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from frostfall import interface as api
from frostfall.protocol.attempt_result import FinalOutcome


class WaitingClient(Protocol):
    """A client's connection, as far as operations need it."""

    request: str | None  # the request that it waits for

    def answer(self, data: bytes) -> None:
        """Give the final answer."""


class RequestHandler(Protocol):
    """The agent, as far as operations and recovery need it."""

    def post(self, event: api.Event) -> None:
        """Post an event to the decision module."""

    def conclude(self, request: str, answer: bytes, end: FinalOutcome) -> None:
        """Give a request its final answer, whatever the decision module has in flight for it."""

    def stop(self) -> None:
        """Shut down gracefully."""


@dataclass(eq=False, frozen=True, slots=True)
class ClientAttempt:
    """A client's attempt that waits for the end of an operation."""

    client: WaitingClient
    request: str

    def notify(self, answer: bytes) -> None:
        """Answer the client, if it still waits for this request."""
        if self.client.request == self.request:
            self.client.answer(answer)
