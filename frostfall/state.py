"""The records in which an agent keeps what it knows; they decide nothing."""

from __future__ import annotations

import struct
from base64 import b85decode, b85encode
from dataclasses import dataclass, field

from frostfall import interface as api
from frostfall.interface import Outcome, Verdict
from frostfall.mechanisms.backoff import ExponentialBackoff


@dataclass(slots=True)
class SequentialTest:
    """The consensus+innovations SPRT of one build at one stage; a new one starts from zero."""

    key: tuple[int, int]
    since: int
    base: list[float]  # the earlier build's outcomes and failures, per agent
    mix: list[float]  # being mixed in this round: score, count, base, timed, served, missed, trial's failures
    timed: list[float] = field(default_factory=lambda: [0.0] * 4)  # last round: earlier timed, late; trial so
    recent: list[float] = field(default_factory=lambda: [0.0] * 2)  # earlier timed, late, fading
    carried: float = 0.0  # by one server, requests a second, per agent
    score: list[float] = field(default_factory=lambda: [0.0] * 3)  # failures, lateness, disputes
    count: float = 0.0  # outcomes per agent, mixed like the score
    innovation: list[float] = field(default_factory=lambda: [0.0] * 3)
    outcomes: int = 0
    failures: int = 0  # among them
    fresh: list[float] = field(default_factory=lambda: [0.0] * 6)  # base and timed, since the last step
    heard: list[float] | None = None  # what this turn's partner sent
    meets: int = 0  # exchanges of this round that took place
    turns: int = 0
    met: float = 0.0  # the same of the last round, and those that did not, here or on the mean of all
    missed: float = 0.0
    steps: int = 0
    lean: float = 0.0  # the worst score's place in its band
    verdict: Verdict = Verdict.NONE
    decided_at: int = 0


LAYOUT = struct.Struct("<HbH13e")  # half precision is plenty for a mean that is mixed again and again
LARGEST = 6e4  # what half precision can hold


@dataclass(slots=True)
class GossipMessage:
    """What two agents tell each other in a turn, and its form on the way."""

    build: int
    stage: int
    turn: int
    numbers: list[float]

    def encode(self) -> str:
        """A short text, of the same length always."""
        bounded = (min(max(number, -LARGEST), LARGEST) for number in self.numbers)
        return b85encode(LAYOUT.pack(self.build, self.stage, self.turn & 0xFFFF, *bounded)).decode()

    @classmethod
    def decode(cls, text: str) -> GossipMessage | None:
        """The same again, or None where the text is none of ours."""
        try:
            build, stage, turn, *numbers = LAYOUT.unpack(b85decode(text))
        except (ValueError, struct.error):
            return None
        sane = all(abs(number) <= LARGEST for number in numbers) and min(numbers[3:]) >= 0
        return cls(build, stage, turn, numbers) if sane else None


@dataclass(slots=True)
class PendingVote:
    """The vote that was cast last."""

    verdict: Verdict
    key: tuple[int, int]
    renew_at: int


@dataclass(slots=True)
class ServerState:
    """A server as this agent sees it; a new start or build makes a new one."""

    info: api.Server
    ejection: ExponentialBackoff  # pauses after it was unreachable
    rank: float = 0.0  # its place in this agent's own order of servers
    in_flight: dict[tuple[str, int], int] = field(default_factory=dict)  # attempts out, by send time
    others_in_flight: float = 0.0  # what the other agents have there, by its reports
    reported_at: int = 0  # when it last reported
    slowness: float = 1.0  # answer times against the fleet's
    error_rate: float = 0.0  # recent share of errors
    learned_at: int = 0  # when the last outcome told of these
    ejected_until: int = 0
    heard_at: int = 0
    checked_at: int = 0
    warm_up_credit: float = 0.0  # sends that the cold budget allowed when it was last reckoned
    credit_updated_at: int = 0
    shared_error_rate: float = 0.0  # recent share of failures by what all agents saw

    @property
    def incarnation(self) -> tuple[int, int]:
        """Its name together with its start: after a restart it is another."""
        return self.info.id, self.info.started_at


@dataclass(slots=True)
class Attempt:
    """One attempt; `server` is the entry that it was sent by."""

    server: ServerState
    sent_at: int
    relative_load: float = 1.0  # how much more the server had to do than others when it was sent
    outcome: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether it is out or ended without proof that it never ran."""
        return self.outcome is None or not self.outcome.never_ran


@dataclass(slots=True)
class PendingRequest:
    """A request taken and not yet forgotten."""

    arrival: api.RequestArrived
    kind: api.RequestClass
    arrived_at: int
    exposure_group: str = ""  # what the cap on exposure counts it with
    attempts: list[Attempt] = field(default_factory=list)
    done: bool = False
    streaming: bool = False
    judged: bool = False
