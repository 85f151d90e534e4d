"""The shapes of the wire's messages, decoded and checked by msgspec.

Field names are the wire's own. Unknown keys are skipped; a missing or mistyped one is an error.
"""

from __future__ import annotations

from typing import Any

import msgspec


class Message(msgspec.Struct, tag_field="verb", rename="camel"):
    """Any line of a batch."""


class Clock(Message, tag="clock"):
    """The first line of a batch."""

    time_us: int


class Commit(Message, tag="commit"):
    """The last line of a batch."""


class Node(msgspec.Struct, rename="camel"):
    """An entry of a numbered server list."""

    appliance: int
    availability: str
    edition: int = 0
    size: float = 1.0
    cell: int = 0
    rack_zone: str = ""
    ready_at_us: int = 0


class Roster(Message, tag="roster"):
    """A numbered list of appliances, for the whole process."""

    bank: int
    nodes_list: list[Node] = []


class Enlist(Message, tag="enlist"):
    """An instance starts."""

    agent: int
    seed: int
    conf: dict[str, Any]


class Detach(Message, tag="detach"):
    """An instance has been killed."""

    agent: int


class View(Message, tag="view"):
    """Discovery's news for one instance."""

    agent: int
    kind: str
    bank: int = 0
    generation: int = 0


class Req(Message, tag="req"):
    """A client's request."""

    agent: int
    corr: str
    cls: str
    give_up_at_us: int
    target_key: str | None = None
    estimate_us: int | None = None
    org: str | int | None = None
    repeat: bool = False


class Flowing(Message, tag="flowing"):
    """A streamed answer has started."""

    agent: int
    corr: str
    hop: int


class Ended(Message, tag="ended"):
    """How an attempt finished."""

    agent: int
    corr: str
    hop: int
    appliance: int
    ending: str
    cost_time_us: int = 0
    final: bool = False
    report: dict[str, float] | None = None


class ClientGone(Message, tag="clientGone"):
    """The client has left."""

    agent: int
    corr: str


class Reminder(Message, tag="reminder"):
    """A timer has come due."""

    agent: int
    ref: str


class Pong(Message, tag="pong"):
    """The result of a probe."""

    agent: int
    appliance: int
    ending: str
    cost_time_us: int = 0
    report: dict[str, float] | None = None


class NoteFrom(Message, tag="noteFrom"):
    """A message of a peer."""

    agent: int
    sender: int = msgspec.field(name="from")
    payload: str = ""


class StepNews(Message, tag="stepNews"):
    """Where the newest build stands."""

    agent: int
    image: int = 0
    stage: int = 0
    progress: int = 0
    mark: int = 0
    ending: str = "success"
    limit_share: float = 0.0
    behind_us: int = 0


class CountsByBuild(Message, tag="countsByBuild"):
    """What the platform counted."""

    agent: int
    image: int
    cls: str
    samples: int = 0
    lost: int = 0
    cost_time_us: int = 0
    behind_us: int = 0


class BadAnswer(Message, tag="badAnswer"):
    """A client judged an answer wrong."""

    agent: int
    appliance: int
    cls: str
    behind_us: int = 0


AgentEvent = (
    View
    | Req
    | Flowing
    | Ended
    | ClientGone
    | Reminder
    | Pong
    | NoteFrom
    | StepNews
    | CountsByBuild
    | BadAnswer
)
Line = Clock | Commit | Roster | Enlist | Detach | AgentEvent
