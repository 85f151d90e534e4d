"""Interfaces of the agent and client connections that operations use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

import anyio

from frostfall import interface as api
from frostfall.protocol.attempt_result import FinalOutcome


class WaitingClient(Protocol):
    """The part of a client connection that operations use."""

    request: str | None  # id of the request whose answer the client awaits

    def answer(self, data: bytes) -> None:
        """Send the final answer."""


class RequestHandler(Protocol):
    """The part of the agent that operations and recovery use."""

    def post(self, event: api.Event) -> None:
        """Post an event to the policy engine."""

    def conclude(self, request: str, answer: bytes, outcome: FinalOutcome) -> None:
        """Send the final answer of a request and cancel the attempts in flight for it."""

    def stop(self) -> None:
        """Shut down gracefully."""


@dataclass(eq=False, frozen=True, slots=True)
class ClientAttempt:
    """A client's attempt that awaits the end of an operation."""

    client: WaitingClient
    request: str
    fingerprint: bytes  # of the statement

    def notify(self, answer: bytes) -> None:
        """Answer the client if it still awaits this request."""
        if self.client.request == self.request:
            self.client.answer(answer)


class JoinedAttempt:
    """A client's attempt that waits for the end of an operation that another attempt has begun."""

    def __init__(self, attempt: ClientAttempt) -> None:
        """Begin to wait."""
        self.answered = anyio.Event()
        self._attempt = attempt

    def notify(self, answer: bytes) -> None:
        """Answer the client if it still awaits this request."""
        self.answered.set()
        self._attempt.notify(answer)
