"""The simulator's messages, decoded and checked by msgspec.

Classes have the names of the project's own events, and fields the project's terms; `tag=` and `name=` give
the verbs and keys on the wire where they differ. Unknown keys are ignored; a missing key or a value of the
wrong type is an error. Times are whole microseconds.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import field


class Message(msgspec.Struct, tag_field="verb", rename="camel"):
    """The base class of messages; each message is one line of a batch."""


class BatchStarted(Message, tag="clock"):
    """The first line of a batch; all its events happen at this time."""

    time: int = field(name="timeUs")


class BatchEnded(Message, tag="commit"):
    """The last line of a batch."""


class Server(msgspec.Struct, rename="camel"):
    """A server of a numbered server list."""

    id: int = field(name="appliance")
    availability: str
    build: int = field(default=0, name="edition")
    size: float = 1.0
    cell: int = 0
    zone: str = field(default="", name="rackZone")
    started_at: int = field(default=0, name="readyAtUs")


class ServerListDefined(Message, tag="roster"):
    """Definition of a numbered server list, which all agents of the process share."""

    server_list: int = field(name="bank")
    servers: list[Server] = field(default_factory=list, name="nodesList")


class AgentStarted(Message, tag="enlist"):
    """Start of an agent, with its settings and the seed of its random numbers."""

    agent: int
    seed: int
    settings: dict[str, Any] = field(name="conf")


class AgentKilled(Message, tag="detach"):
    """An agent has been killed."""

    agent: int


class ServerListUpdated(Message, tag="view"):
    """An update of one agent's server list from discovery, or the failure of discovery."""

    agent: int
    kind: str
    server_list: int = field(default=0, name="bank")
    generation: int = 0


class RequestArrived(Message, tag="req"):
    """A client's request."""

    agent: int
    request: str = field(name="corr")
    class_name: str = field(name="cls")
    deadline: int = field(name="giveUpAtUs")
    key: str | None = field(default=None, name="targetKey")
    service_time_hint: int | None = field(default=None, name="estimateUs")
    tenant: str | int | None = field(default=None, name="org")  # a number if the tenant is unknown
    is_retry: bool = field(default=False, name="repeat")


class StreamStarted(Message, tag="flowing"):
    """A server has started to stream its answer."""

    agent: int
    request: str = field(name="corr")
    attempt: int = field(name="hop")


class AttemptEnded(Message, tag="ended"):
    """The end of an attempt, with its outcome."""

    agent: int
    request: str = field(name="corr")
    attempt: int = field(name="hop")
    server: int = field(name="appliance")
    outcome: str = field(name="ending")
    elapsed: int = field(default=0, name="costTimeUs")
    final: bool = False
    load: dict[str, float] | None = field(default=None, name="report")


class ClientDisconnected(Message, tag="clientGone"):
    """The client of a request has disconnected."""

    agent: int
    request: str = field(name="corr")


class TimerFired(Message, tag="reminder"):
    """A timer that the agent set has expired."""

    agent: int
    token: str = field(name="ref")


class HealthCheckEnded(Message, tag="pong"):
    """The result of a health check."""

    agent: int
    server: int = field(name="appliance")
    outcome: str = field(name="ending")
    elapsed: int = field(default=0, name="costTimeUs")
    load: dict[str, float] | None = field(default=None, name="report")


class GossipReceived(Message, tag="noteFrom"):
    """A gossip message of another agent."""

    agent: int
    sender: int = field(name="from")
    text: str = field(default="", name="payload")


class RolloutStateChanged(Message, tag="stepNews"):
    """The state of the newest build's rollout, sent unsolicited or as the reply to a vote."""

    agent: int
    build: int = field(default=0, name="image")
    stage: int = 0
    phase: int = field(default=0, name="progress")
    verdict: int = field(default=0, name="mark")  # of the vote that is replied to; 0: not a reply
    outcome: str = field(default="success", name="ending")
    cap: float = field(default=0.0, name="limitShare")
    age: int = field(default=0, name="behindUs")


class BuildTallied(Message, tag="countsByBuild"):
    """The platform's tally of one build's attempts in one request class."""

    agent: int
    build: int = field(name="image")
    class_name: str = field(name="cls")
    attempts: int = field(default=0, name="samples")
    failed: int = field(default=0, name="lost")
    mean_elapsed: int = field(default=0, name="costTimeUs")
    age: int = field(default=0, name="behindUs")


class AnswerDisputed(Message, tag="badAnswer"):
    """A client reported a server's answer as wrong."""

    agent: int
    server: int = field(name="appliance")
    class_name: str = field(name="cls")
    age: int = field(default=0, name="behindUs")


AgentEvent = (
    ServerListUpdated
    | RequestArrived
    | StreamStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | GossipReceived
    | RolloutStateChanged
    | BuildTallied
    | AnswerDisputed
)
Line = BatchStarted | BatchEnded | ServerListDefined | AgentStarted | AgentKilled | AgentEvent
