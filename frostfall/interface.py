"""The interface of the decision module: the events it is given and the actions it may take.

These types belong to the project, not to any protocol. An adapter translates its own protocol into
them, so that a second one can go through the same decisions. Times are whole microseconds; an event's
time is the clock handed in beside it. The settings' types stand in `frostfall/deployment.py` and are
names of this module too.
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
    """What the server list says of a server."""

    UP = auto()
    DRAINING = auto()
    REMOVED = auto()


class ServerListKind(Enum):
    """How a piece of the server list relates to what is already known."""

    CACHED = auto()  # complete, possibly out of date
    COMPLETE = auto()
    DELTA = auto()
    FAILED = auto()  # a call failed or the subscription broke


class ListSource(Enum):
    """From whom the last confirmation of the server list came."""

    CONFIGURATION = "configuration"
    PEER = "peer"
    DISCOVERY = "discovery"


class WatchInterruption(Enum):
    """Why the watch of the server list tells nothing for now, without a call having failed."""

    NOT_OPEN = "the process has just started"
    SILENT = "a call was not answered in time"
    MOVED = "it is opened at another address"
    PAUSED = "the process was stopped for a while"


class Outcome(Enum):
    """How an attempt ended."""

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
        """Whether this proves that the server never ran the attempt."""
        return self in (Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.NEVER_SENT)


class RolloutPhase(Enum):
    """Where the newest build stands."""

    TRIAL = auto()
    ROLLING_BACK = auto()
    RELEASED = auto()
    ROLLED_BACK = auto()


class VoteReply(Enum):
    """What became of a vote; NONE for news that answers no vote."""

    NONE = auto()
    COUNTED = auto()
    VOID = auto()
    OVERLOADED = auto()
    ERROR = auto()
    UNKNOWN = auto()  # no answer came: it may count


class Verdict(Enum):
    """What a vote says of a build."""

    NONE = auto()
    ON = auto()
    HOLD = auto()
    BACK = auto()


# ---- events ------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a server says of its load; None where it does not say."""

    in_flight: float | None = None  # requests it holds
    queued: float | None = None  # requests that wait
    cpu: float | None = None  # share of its cores in use
    service_time_ms: float | None = None  # recent service time without waiting
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
    """News of the server list."""

    kind: ServerListKind
    servers: tuple[Server, ...]
    generation: int = 0  # of the list, by which agents compare theirs


@dataclass(frozen=True, slots=True)
class DiscoveryTimeRead:
    """Discovery has told the time by its own clock, to about a second; an update of the list may follow."""

    time: Microseconds


@dataclass(frozen=True, slots=True)
class WatchInterrupted:
    """Changes of the server list may be missed from now on, until it is updated again."""

    reason: WatchInterruption


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request, for which exactly one final answer is owed."""

    request: str
    class_name: str
    deadline: Microseconds  # clock time at which this try is given up
    key: str | None = None
    service_time_hint: Microseconds | None = None
    tenant: str | None = None
    is_retry: bool = False


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """An answer has begun to stream; the attempt now belongs to the client."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """How one attempt ended."""

    request: str
    attempt: int
    server: int
    outcome: Outcome
    elapsed: Microseconds
    final: bool
    load: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has gone; no answer is owed any more."""

    request: str


@dataclass(frozen=True, slots=True)
class AnswerDue:
    """The agent can wait no longer: the request gets its final answer now, whatever is out for it."""

    request: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was set has come due."""

    token: str


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """The result of a probe."""

    server: int
    outcome: Outcome
    elapsed: Microseconds
    load: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A message of another agent; it may be anything."""

    sender: int
    text: str


@dataclass(frozen=True, slots=True)
class RolloutState:
    """Where the newest build stands, as it was a little while ago."""

    build: int
    stage: int
    phase: RolloutPhase
    cap: float
    age: Microseconds
    reply: VoteReply


@dataclass(frozen=True, slots=True)
class BuildTally:
    """What the platform counted of one build and class in a sample of all attempts."""

    build: int
    class_name: str
    attempts: int
    failed: int
    mean_elapsed: Microseconds
    age: Microseconds


@dataclass(frozen=True, slots=True)
class AnswerDisputed:
    """A client has judged an answer wrong."""

    server: int
    class_name: str
    age: Microseconds  # since the attempt was sent


@dataclass(frozen=True, slots=True)
class ServerDegraded:
    """A server takes or gives bytes too slowly in the middle of an exchange, whose end is yet to come."""

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

# ---- actions -----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request to a server; attempts are numbered from 0 in this order."""

    request: str
    server: int
    timeout: Microseconds = 0  # 0: until the client gives up


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: not served, and trying again is harmless."""

    request: str
    retry_after: Microseconds = 0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: not served, and nothing is promised."""

    request: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired."""

    delay: Microseconds
    token: str


@dataclass(frozen=True, slots=True)
class CheckServerHealth:
    """Check a server."""

    server: int


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send at most 256 bytes to another agent."""

    peer: int
    text: str


@dataclass(frozen=True, slots=True)
class WatchServerList:
    """Ask for the changes of the server list from now on."""


@dataclass(frozen=True, slots=True)
class ReportServerList:
    """For the operators: what is known of the server list has changed, or the ground to act on it."""

    generation: int  # that is known of, by the last confirmation
    source: ListSource
    lease: str  # on what ground the list is acted on
    age: Microseconds | None  # since discovery gave it; None: nobody has passed one on
    withdrawn: int  # servers out of use by the claims of peers


@dataclass(frozen=True, slots=True)
class CastVote:
    """Vote on a build."""

    build: int
    stage: int
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class WriteLog:
    """A line for the operators."""

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
Action = Effect | ReportServerList  # the last changes nothing, and not every driver passes it on
