"""The records in which an agent keeps what it knows; they decide nothing."""

from __future__ import annotations

from dataclasses import dataclass, field

from frostfall import interface as api
from frostfall.interface import Outcome, Verdict


@dataclass(slots=True)
class Test:
    """The consensus+innovations SPRT of one build at one stage; a new one starts from zero."""

    key: tuple[int, int]
    since: int
    score: list[float] = field(default_factory=lambda: [0.0] * 3)  # failures, lateness, disputes
    count: float = 0.0  # outcomes per agent, mixed like the score
    innovation: list[float] = field(default_factory=lambda: [0.0] * 3)
    outcomes: int = 0
    ticks: int = 0
    heard: dict[int, tuple[list[float], float, int]] = field(default_factory=dict)


@dataclass(slots=True)
class Ballot:
    """The vote that was cast last."""

    verdict: Verdict
    key: tuple[int, int]
    renew_at: int


@dataclass(slots=True)
class Known:
    """A server as this agent sees it; a new start or build makes a new one."""

    info: api.Server
    out: dict[tuple[str, int], int] = field(default_factory=dict)  # attempts out, by send time
    others: float = 0.0  # what the other agents have there, by its reports
    slow: float = 1.0  # answer times against the fleet's
    errors: float = 0.0  # recent share of errors
    shunned_until: int = 0
    shun: int = 0  # the length of the last pause
    heard_at: int = 0
    probed_at: int = 0
    credit: float = 0.0  # sends that the cold budget allows now


@dataclass(slots=True)
class Attempt:
    """One attempt; `server` is the entry that it was sent by."""

    server: Known
    sent_at: int
    crowding: float = 1.0  # how much more the server had to do than others when it was sent
    outcome: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether it is out or ended without proof that it never ran."""
        return self.outcome is None or not self.outcome.never_ran


@dataclass(slots=True)
class Request:
    """A request taken and not yet forgotten."""

    event: api.RequestArrived
    kind: api.RequestClass
    arrived_at: int
    group: str = ""  # what the cap on exposure counts it with
    attempts: list[Attempt] = field(default_factory=list)
    done: bool = False
    streaming: bool = False
    judged: bool = False
