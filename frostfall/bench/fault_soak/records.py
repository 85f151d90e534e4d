"""Records of clients, servers, agents and faults of a soak; they are the only input of the oracle."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

ALL_AGENTS = ""  # agent name of an interval that applies to all agents


class AnswerKind(Enum):
    """The kind of a final answer, by the table of the protocol."""

    ROW = "row"
    REJECTED = "rejected"  # SQLSTATE 53300 or 57P03: the request never ran
    FAILED = "failed"


class Idempotency(Enum):
    """The idempotency of a request: only an idempotent one may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


@dataclass(slots=True)
class RequestRecord:
    """One query that a client sent on one connection, and its outcome; times are monotonic seconds."""

    request_id: str
    agent: str
    connection: int
    idempotency: Idempotency
    written_at: float
    wait_seconds: float
    is_duplicate_id: bool = False  # the client used the id of a request that was still open
    is_resend: bool = False  # sent again: the agent closed the earlier connection before it answered
    answers: list[AnswerKind] = field(default_factory=list)
    answered_at: float | None = None
    is_value_correct: bool = True
    client_disconnected_at: float | None = None  # before the answer
    connection_ended_at: float | None = None  # by the agent or the network, before the answer
    ended_by_fault: bool = False  # an injected fault ended the connection
    reads_slowly: bool = False

    @property
    def deadline(self) -> float:
        """The time at which the client stops waiting."""
        return self.written_at + self.wait_seconds


@dataclass(frozen=True, slots=True)
class HalfQueryRecord:
    """A client that stopped in the middle of a query and kept its connection open."""

    agent: str
    stopped_at: float
    ended_at: float | None  # when the client received an error or a close


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """One attempt whose last byte a server has received."""

    request_id: str
    server: str
    received_at: float
    ran: bool  # False if the server rejected the request without running it


@dataclass(frozen=True, slots=True)
class ReadRecord:
    """A query that an agent has read completely, as recorded by the preloaded library."""

    request_id: str
    agent: str
    read_at: float


@dataclass(frozen=True, slots=True)
class NotifiedRecord:
    """Discovery has sent the lifecycle of a server to an agent."""

    agent: str
    server: str
    lifecycle: str
    notified_at: float


@dataclass(frozen=True, slots=True)
class ListChangeRecord:
    """A server changed its state at discovery, whether or not an agent was notified."""

    server: str
    lifecycle: str
    listed_at: float


@dataclass(slots=True)
class ProcessRecord:
    """One process of an agent, from its start to its end; times are monotonic seconds."""

    agent: str
    started_at: float
    ready_at: float | None = None
    terminated_at: float | None = None  # SIGTERM
    killed_at: float | None = None  # SIGKILL, as a scheduled fault
    drain_killed_at: float | None = None  # SIGKILL after the longest allowed drain; excuses no finding
    ended_at: float | None = None
    exit_code: int | None = None


@dataclass(frozen=True, slots=True)
class Interval:
    """A span in which an agent was paused or could not reach discovery; times are monotonic seconds."""

    agent: str
    began_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class ResourceRecord:
    """The resources that an agent uses before and after a soak."""

    agent: str
    descriptors_before: int
    descriptors_after: int
    memory_before: int  # bytes
    memory_after: int  # bytes


@dataclass(slots=True)
class SoakRecords:
    """All records of one seed."""

    requests: list[RequestRecord] = field(default_factory=list)
    half_queries: list[HalfQueryRecord] = field(default_factory=list)
    attempts: list[AttemptRecord] = field(default_factory=list)
    reads: list[ReadRecord] = field(default_factory=list)
    notified: list[NotifiedRecord] = field(default_factory=list)
    list_changes: list[ListChangeRecord] = field(default_factory=list)
    # Outages of discovery, by agent or for ALL_AGENTS.
    unreachable: list[Interval] = field(default_factory=list)
    processes: list[ProcessRecord] = field(default_factory=list)
    stalls: list[Interval] = field(default_factory=list)
    link_pauses: list[Interval] = field(default_factory=list)  # of the links from clients
    resources: list[ResourceRecord] = field(default_factory=list)
    # Errors that agents logged, including violated invariants.
    reported: list[str] = field(default_factory=list)
    unexpected_answers: list[str] = field(default_factory=list)
    largest_lag: float = 0.0  # seconds; largest delay of the stand-ins' own process
    longest_deadline: float = 2.0  # seconds, over all request classes
