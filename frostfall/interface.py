"""The interface of the decision module: the events that it receives and the actions that it returns.

The types are independent of any protocol. An adapter translates its protocol into them, so that several
protocols share the same decisions. Times are whole microseconds; the time of an event is passed beside it.
The settings' types are defined in `frostfall/deployment.py` and re-exported here.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from frostfall.deployment import DeduplicationScope as DeduplicationScope
from frostfall.deployment import Idempotency as Idempotency
from frostfall.deployment import Limits as Limits
from frostfall.deployment import Microseconds as Microseconds
from frostfall.deployment import Prices as Prices
from frostfall.deployment import RequestClass as RequestClass
from frostfall.deployment import RolloutControl as RolloutControl
from frostfall.deployment import RolloutSettings as RolloutSettings
from frostfall.deployment import Rules as Rules
from frostfall.deployment import Settings as Settings
from frostfall.deployment import Tenant as Tenant


class Availability(Enum):
    """The state of a server in the server list."""

    UP = auto()
    DRAINING = auto()
    REMOVED = auto()


class ServerListKind(Enum):
    """The relation of an update of the server list to the list so far."""

    CACHED = auto()  # complete, possibly out of date
    COMPLETE = auto()
    DELTA = auto()
    FAILED = auto()  # a call failed or the subscription broke


class ListSource(Enum):
    """The source of the last confirmation of the server list."""

    CONFIGURATION = "configuration"
    PEER = "peer"
    DISCOVERY = "discovery"


class WatchInterruption(Enum):
    """The reason why the watch on the server list is interrupted, other than a failed call."""

    NOT_OPEN = "the process has just started"
    SILENT = "discovery did not answer a call in time"
    MOVED = "the watch is being opened at another address"
    PAUSED = "the process was paused"


class Outcome(Enum):
    """The result of an attempt or of a health check."""

    SUCCESS = auto()
    ERROR = auto()
    OVERLOADED = auto()
    TIMED_OUT = auto()
    UNREACHABLE = auto()
    RESET = auto()
    CANCELLED = auto()
    NEVER_SENT = auto()

    @property
    def never_ran(self) -> bool:
        """Whether the outcome proves that the server never ran the attempt."""
        return self in (Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.NEVER_SENT)


class RolloutPhase(Enum):
    """The phase of the newest build's rollout."""

    TRIAL = auto()
    ROLLING_BACK = auto()
    RELEASED = auto()
    ROLLED_BACK = auto()


class VoteReply(Enum):
    """The platform's reply to a vote; NONE for an update that replies to no vote."""

    NONE = auto()
    COUNTED = auto()
    VOID = auto()
    OVERLOADED = auto()
    ERROR = auto()
    UNKNOWN = auto()  # no reply arrived, so that the vote may have counted


class Verdict(Enum):
    """The verdict of a vote on a build."""

    NONE = auto()
    ON = auto()
    HOLD = auto()
    BACK = auto()


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A server's report of its load; None for values that it does not report."""

    in_flight: float | None = None  # requests at the server
    queued: float | None = None  # requests in its queue
    cpu: float | None = None  # share of its cores in use
    service_time_ms: float | None = None  # recent service time without queueing
    served_per_second: float | None = None


@dataclass(frozen=True, slots=True)
class Server:
    """One entry of the server list."""

    id: int
    build: int
    zone: str
    cell: int
    size: float
    started_at: Microseconds  # 0: long ago
    availability: Availability


@dataclass(frozen=True, slots=True)
class ServerListUpdated:
    """A new server list, a change of the list, or a failure to get one."""

    kind: ServerListKind
    servers: tuple[Server, ...]
    generation: int = 0  # generation of the list, by which agents compare their lists


@dataclass(frozen=True, slots=True)
class DiscoveryTimeRead:
    """The time by discovery's clock, to about a second; an update of the list may follow."""

    time: Microseconds


@dataclass(frozen=True, slots=True)
class WatchInterrupted:
    """An interruption of the watch: changes of the server list may be missed until the next update."""

    reason: WatchInterruption


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request, which gets exactly one final answer."""

    request: str
    class_name: str
    deadline: Microseconds  # clock time at which the client gives up this request
    key: str | None = None
    service_time_hint: Microseconds | None = None
    tenant: str | None = None
    is_retry: bool = False


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The beginning of a streamed answer: its attempt is not cancelled, and no other answer is given."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The end of one attempt."""

    request: str
    attempt: int
    server: int
    outcome: Outcome
    elapsed: Microseconds
    final: bool
    load: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The disconnection of a client, whose request no longer awaits an answer."""

    request: str


@dataclass(frozen=True, slots=True)
class AnswerDue:
    """The agent can wait no longer: the request gets its final answer now, even with attempts in flight."""

    request: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The expiry of a timer that was set."""

    token: str


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """The result of a health check."""

    server: int
    outcome: Outcome
    elapsed: Microseconds
    load: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A message from another agent, with any content."""

    sender: int
    text: str


@dataclass(frozen=True, slots=True)
class RolloutState:
    """The state of the newest build's rollout, which may be slightly out of date."""

    build: int
    stage: int
    phase: RolloutPhase
    cap: float
    age: Microseconds
    reply: VoteReply


@dataclass(frozen=True, slots=True)
class BuildTally:
    """The platform's counts of one build and class in a sample of all attempts."""

    build: int
    class_name: str
    attempts: int
    failed: int
    mean_elapsed: Microseconds
    age: Microseconds


@dataclass(frozen=True, slots=True)
class AnswerDisputed:
    """A client's dispute of an answer, which it considers wrong."""

    server: int
    class_name: str
    age: Microseconds  # since the attempt was sent


@dataclass(frozen=True, slots=True)
class ServerDegraded:
    """A server that reads or sends bytes too slowly during an exchange that has not ended."""

    server: int


Event = (
    ServerListUpdated
    | RequestArrived
    | StreamStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | GossipReceived
    | RolloutState
    | BuildTally
    | AnswerDisputed
    | ServerDegraded
    | AnswerDue
    | WatchInterrupted
    | DiscoveryTimeRead
)


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request to a server; attempts are numbered from 0 in this order."""

    request: str
    server: int
    timeout: Microseconds = 0  # 0: until the request's deadline


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: the request was not served, and a retry by the client is harmless."""

    request: str
    retry_after: Microseconds = 0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: the request was not served, and may have run."""

    request: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a TimerFired event after a delay."""

    delay: Microseconds
    token: str


@dataclass(frozen=True, slots=True)
class CheckServerHealth:
    """Send a health check to a server."""

    server: int


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send at most 256 bytes to another agent."""

    peer: int
    text: str


@dataclass(frozen=True, slots=True)
class WatchServerList:
    """Request the changes of the server list from now on."""


@dataclass(frozen=True, slots=True)
class ReportServerList:
    """Report a changed generation, source or lease of the server list, or withdrawn servers, to operators."""

    generation: int  # latest generation by the last confirmation
    source: ListSource
    lease: str  # name of the lease state, in lower case
    age: Microseconds | None  # time since discovery's last confirmation, or None without one
    withdrawn: int  # servers not used because of peers' claims


@dataclass(frozen=True, slots=True)
class CastVote:
    """Vote on a build."""

    build: int
    stage: int
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a log line for the operators."""

    text: str


Effect = (
    SendAttempt
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | SetTimer
    | CheckServerHealth
    | SendGossip
    | WatchServerList
    | CastVote
    | WriteLog
)
Action = Effect | ReportServerList  # a report has no effect on requests, and some drivers ignore it
