"""What the decision module is told and what it may do: events, actions and settings.

These types belong to the project, not to any protocol. An adapter translates its own protocol into
them, so that a second one can go through the same decisions. Times are whole microseconds; an event's
time is the clock handed in beside it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

Micros = int


class Effect(Enum):
    """What a repeat of a request may do."""

    SAFE = auto()
    KEYED = auto()  # repeats are dropped inside a group of servers, for a while
    UNSAFE = auto()


class KeyGroup(Enum):
    """Which servers drop each other's repeats of a keyed request."""

    ALL = auto()
    ZONE = auto()
    CELL = auto()


class Control(Enum):
    """What moves a build from stage to stage."""

    VOTES = auto()  # one vote, or a stated number of them
    AUTOMATIC = auto()  # time does; votes can only hold or send back


class Availability(Enum):
    """What the server list says of a server."""

    UP = auto()
    DRAINING = auto()
    REMOVED = auto()


class ListKind(Enum):
    """How a piece of the server list relates to what is already known."""

    REMEMBERED = auto()  # complete, possibly out of date
    COMPLETE = auto()
    CHANGES = auto()
    FAILED = auto()  # a call failed or the subscription broke


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


class Phase(Enum):
    """Where the newest build stands."""

    TRIAL = auto()
    GOING_BACK = auto()
    RELEASED = auto()
    WITHDRAWN = auto()


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


# ---- settings ----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests and what its clients expect."""

    name: str
    effect: Effect
    key_group: KeyGroup
    key_ttl: Micros
    aim: Micros
    deadline: Micros
    worth: float
    late_worth: float = 0.0
    aim_stretch: float = 0.0
    stream: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer and what it may send per second to all agents together."""

    name: str
    quota: float
    share: float


@dataclass(frozen=True, slots=True)
class Rollout:
    """How builds are offered, moved on and judged."""

    control: Control
    stage_caps: tuple[float, ...]
    stage_shares: tuple[float, ...]
    window: Micros
    free_attempts: float
    per_class: bool
    closed_stages: int
    one_way: bool
    keeps_old_servers: bool
    least_stage_time: Micros
    stage_time: Micros
    on_votes: int
    back_votes: int
    hold_votes: int
    vote_life: Micros
    vote_timeout: Micros
    votes_per_second: float
    news_period: Micros
    tally_period: Micros
    tally_sample: float
    flag_share: float
    delay_price: float
    harm_price: float
    warm_keys: bool


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment permits."""

    max_attempts: int
    parallel_attempts: bool
    may_cancel: bool
    probes: bool
    peers: bool
    retry_after: bool
    max_retry_after: Micros
    connect_timeout: Micros
    connection_idle: Micros  # after so long without use a connection is closed


@dataclass(frozen=True, slots=True)
class Rules:
    """The numbers of the rules."""

    answer_slack: Micros
    drain_grace: Micros
    ask_within: Micros
    cold_share: float
    warm_up: Micros
    fall_multiple: float
    fall_window: Micros


@dataclass(frozen=True, slots=True)
class Prices:
    """Points that the deployment takes off, as shares of the whole."""

    cross_zone: float
    waste: float
    probe: float
    peer: float
    late_fail: float


@dataclass(frozen=True, slots=True)
class Settings:
    """All that an agent is told at its start."""

    agent: int
    agents: int
    zone: str
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    rollout: Rollout | None
    limits: Limits
    rules: Rules
    prices: Prices
    must_subscribe: bool
    load_by_probe: bool
    over_share_worth: float


# ---- events ------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Load:
    """What a server says of its load; None where it does not say."""

    held: float | None = None  # requests it holds
    queued: float | None = None  # requests that wait
    cpu: float | None = None  # share of its cores in use
    service_ms: float | None = None  # recent service time without waiting
    served_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class Server:
    """One entry of the server list."""

    id: int
    build: int
    zone: str
    cell: int
    size: float
    started_at: Micros  # 0: long ago
    availability: Availability


@dataclass(frozen=True, slots=True)
class ServersListed:
    """News of the server list."""

    kind: ListKind
    servers: tuple[Server, ...]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request, for which exactly one final answer is owed."""

    request: str
    class_name: str
    deadline: Micros  # clock time at which this try is given up
    key: str | None = None
    hint: Micros | None = None
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
    elapsed: Micros
    final: bool
    load: Load | None = None


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """The client has gone; no answer is owed any more."""

    request: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was set has come due."""

    token: str


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The result of a probe."""

    server: int
    outcome: Outcome
    elapsed: Micros
    load: Load | None = None


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of another agent; it may be anything."""

    sender: int
    text: str


@dataclass(frozen=True, slots=True)
class RolloutNews:
    """Where the newest build stands, as it was a little while ago."""

    build: int
    stage: int
    phase: Phase
    cap: float
    age: Micros
    reply: VoteReply


@dataclass(frozen=True, slots=True)
class BuildTally:
    """What the platform counted of one build and class in a sample of all attempts."""

    build: int
    class_name: str
    attempts: int
    failed: int
    mean_elapsed: Micros
    age: Micros


@dataclass(frozen=True, slots=True)
class AnswerDisputed:
    """A client has judged an answer wrong."""

    server: int
    class_name: str
    age: Micros  # since the attempt was sent


@dataclass(frozen=True, slots=True)
class ServerSlowed:
    """A server takes or gives bytes too slowly in the middle of an exchange, whose end is yet to come."""

    server: int


Event = (
    ServersListed
    | RequestArrived
    | StreamStarted
    | AttemptEnded
    | ClientLeft
    | TimerFired
    | ProbeEnded
    | PeerMessage
    | RolloutNews
    | BuildTally
    | AnswerDisputed
    | ServerSlowed
)

# ---- actions -----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request to a server; attempts are numbered from 0 in this order."""

    request: str
    server: int
    timeout: Micros = 0  # 0: until the client gives up


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not served, and trying again is harmless."""

    request: str
    retry_after: Micros = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: not served, and nothing is promised."""

    request: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired."""

    delay: Micros
    token: str


@dataclass(frozen=True, slots=True)
class ProbeServer:
    """Check a server."""

    server: int


@dataclass(frozen=True, slots=True)
class TellPeer:
    """Send at most 256 bytes to another agent."""

    peer: int
    text: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for the changes of the server list from now on."""


@dataclass(frozen=True, slots=True)
class CastVote:
    """Vote on a build."""

    build: int
    stage: int
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators."""

    text: str


Action = (
    SendAttempt
    | CancelAttempt
    | Refuse
    | Fail
    | SetTimer
    | ProbeServer
    | TellPeer
    | Subscribe
    | CastVote
    | Log
)
