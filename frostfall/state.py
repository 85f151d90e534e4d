"""The records of the running test and the votes on it; they decide nothing."""

from __future__ import annotations

import struct
from base64 import b85decode, b85encode
from dataclasses import dataclass, field

from frostfall.interface import Verdict


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
