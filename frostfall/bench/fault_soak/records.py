"""What clients, servers and the schedule write down during a soak; the oracle reads nothing else."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

ALL_AGENTS = ""  # as the agent of an interval that concerns all of them


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
    connection: int
    idempotency: Idempotency
    written_at: float
    wait_seconds: float
    is_duplicate_id: bool = False  # the client used an id that was in use
    is_resend: bool = False  # the close of an earlier connection crossed it
    answers: list[AnswerKind] = field(default_factory=list)
    answered_at: float | None = None
    is_value_right: bool = True
    client_left_at: float | None = None  # before its answer
    connection_ended_at: float | None = None  # by the agent or the network, before its answer
    network_broke: bool = False  # a fault of the network ended the connection
    reads_slowly: bool = False

    @property
    def deadline(self) -> float:
        """When the client stops waiting."""
        return self.written_at + self.wait_seconds


@dataclass(frozen=True, slots=True)
class HalfQueryRecord:
    """A client that stopped in the middle of a query and stayed."""

    agent: str
    stopped_at: float
    ended_at: float | None  # when it got an error or a close


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """One attempt whose last byte a server has received."""

    request_id: str
    server: str
    received_at: float
    ran: bool  # False where the server turned it away unseen


@dataclass(frozen=True, slots=True)
class ReadRecord:
    """A query that an agent has read whole, by the preloaded library."""

    request_id: str
    agent: str
    read_at: float


@dataclass(frozen=True, slots=True)
class NotifiedRecord:
    """Discovery has written a server's lifecycle to an agent."""

    agent: str
    server: str
    lifecycle: str
    notified_at: float


@dataclass(frozen=True, slots=True)
class ListChangeRecord:
    """Discovery has a new state of a server, whether or not it has told anybody."""

    server: str
    lifecycle: str
    listed_at: float


@dataclass(slots=True)
class ProcessRecord:
    """One life of an agent's process."""

    agent: str
    started_at: float
    ready_at: float | None = None
    terminated_at: float | None = None  # SIGTERM
    killed_at: float | None = None  # SIGKILL, by the schedule
    drain_ended_at: float | None = None  # SIGKILL at the earliest moment after SIGTERM; it excuses nothing
    ended_at: float | None = None
    exit_code: int | None = None


@dataclass(frozen=True, slots=True)
class Interval:
    """A span in which one agent was held up, or its calls failed."""

    agent: str
    began_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class ResourceRecord:
    """What an agent uses before and after a soak."""

    agent: str
    descriptors_before: int
    descriptors_after: int
    memory_before: int  # bytes
    memory_after: int  # bytes


@dataclass(slots=True)
class SoakRecords:
    """All that was written down while one seed was played."""

    requests: list[RequestRecord] = field(default_factory=list)
    half_queries: list[HalfQueryRecord] = field(default_factory=list)
    attempts: list[AttemptRecord] = field(default_factory=list)
    reads: list[ReadRecord] = field(default_factory=list)
    notified: list[NotifiedRecord] = field(default_factory=list)
    list_changes: list[ListChangeRecord] = field(default_factory=list)
    unreachable: list[Interval] = field(default_factory=list)  # discovery, by the agent's name or ALL_AGENTS
    processes: list[ProcessRecord] = field(default_factory=list)
    stalls: list[Interval] = field(default_factory=list)
    link_pauses: list[Interval] = field(default_factory=list)  # of the links from clients
    resources: list[ResourceRecord] = field(default_factory=list)
    reported: list[str] = field(default_factory=list)  # errors that agents logged, violations among them
    unexpected_answers: list[str] = field(default_factory=list)
    largest_lag: float = 0.0  # seconds by which the stand-ins' own process was late at most
    longest_deadline: float = 2.0  # of all classes, in seconds
