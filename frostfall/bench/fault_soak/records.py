"""What clients and servers write down during a soak; the oracle reads nothing else of them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class AnswerKind(Enum):
    """What a final answer says, by the protocol's table."""

    ROW = "row"
    REJECTED = "rejected"  # 53300 or 57P03: it never ran
    FAILED = "failed"


class Idempotency(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


@dataclass(slots=True)
class RequestRecord:
    """One query that a client wrote on one connection, and what came back; times are monotonic seconds."""

    request_id: str
    agent: str
    client_port: int
    idempotency: Idempotency
    written_at: float
    wait_seconds: float
    is_duplicate_id: bool = False  # the client used an id that was in use
    answers: list[AnswerKind] = field(default_factory=list)
    answered_at: float | None = None
    is_value_right: bool = True
    client_left_at: float | None = None  # before its answer
    connection_ended_at: float | None = None  # by the agent or the network, before its answer
    reads_slowly: bool = False

    @property
    def deadline(self) -> float:
        """When the client stops waiting."""
        return self.written_at + self.wait_seconds


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """One attempt whose last byte a server has received."""

    request_id: str
    server: str
    received_at: float
    agent_port: int
    wait_seconds: float
    ran: bool  # False where the server turned it away unseen


@dataclass(slots=True)
class ServerListing:
    """What discovery told of a server, and when it was told last."""

    server: str
    draining_since: float | None = None
    removed_since: float | None = None
