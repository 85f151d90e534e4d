"""What is the matter with a zone: lost, out of one's own reach, failing or slow. No I/O, no clock.

Agents count what became of their attempts by their own zone and the server's, round by round. For each pair
of zones and each kind of trouble a sequential test (Wald's SPRT, 1945) adds up log-likelihood ratios between
'as usual' and 'in trouble', with stated rates of false alarm and miss. Like the project's test of builds it
is reset at its lower bound, so that what was good for long does not hide what comes (Page's CUSUM, 1954).
What is decided for a pair says only that these two do not meet; what is seen from elsewhere tells the rest:

  lost     nobody reaches it, itself included where it can be heard
  cut      some zones reach it and this one does not: the trouble lies on the way
  failing  it answers, and the answers are errors, seen from everywhere
  slow     the same with answers that come late
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from math import log

import msgspec


class FaultKind(Enum):
    """Kinds of evidence."""

    SILENT = "silent"  # no connection, or no answer
    ERROR = "error"
    LATE = "late"


class ZoneStatus(Enum):
    """What a zone is taken for, from where one stands."""

    HEALTHY = "well"
    LOST = "lost"
    PARTITIONED = "cut"
    FAILING = "failing"
    SLOW = "slow"


class DetectionRates(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Shares of attempts that are in trouble, usually and when something is the matter; and error rates."""

    usual: float = 0.02
    trouble: float = 0.4
    false_alarm: float = 1e-6  # of one test that begins at its lower bound
    miss: float = 1e-2

    def __post_init__(self) -> None:
        """Check that the figures go together."""
        if not 0 < self.usual < self.trouble < 1:
            raise ValueError(f"trouble: {self.trouble:g} is not above usual, {self.usual:g}, and below 1")
        for name in ("false_alarm", "miss"):
            if not 0 < getattr(self, name) < 0.5:
                raise ValueError(f"{name}: {getattr(self, name):g} is not from 0 to 0.5")


@dataclass(frozen=True, slots=True)
class AttemptCounts:
    """Attempts of one round between two zones, and how many were in each kind of trouble."""

    attempts: int
    silent: int = 0
    error: int = 0
    late: int = 0


@dataclass(slots=True)
class FaultTest:
    """One sequential test."""

    rates: DetectionRates
    score: float = 0.0
    raised: bool = False

    def record(self, bad: int, good: int) -> bool:
        """Take in outcomes; whether the pair is in trouble."""
        rates = self.rates
        upper, lower = log((1 - rates.miss) / rates.false_alarm), log(rates.miss / (1 - rates.false_alarm))
        for_bad, for_good = log(rates.trouble / rates.usual), log((1 - rates.trouble) / (1 - rates.usual))
        self.score += bad * for_bad + good * for_good
        if self.score >= upper:
            self.raised, self.score = True, upper
        elif self.score <= lower:
            self.raised, self.score = False, lower
        elif not self.raised:
            # Danger: a long good time would have to be worn off by as long a bad one.
            self.score = max(self.score, 0.0)
        return self.raised


@dataclass(slots=True)
class ZoneFaultDetector:
    """All that is known between zones; pairs are (of the agents, of the servers)."""

    rates: DetectionRates
    _tests: dict[tuple[str, str], dict[FaultKind, FaultTest]] = field(default_factory=dict)

    def record_round(self, counts: Mapping[tuple[str, str], AttemptCounts]) -> None:
        """Take in what agents of all zones that can be heard counted in one round."""
        everywhere = _share(counts.values())
        for pair, count in counts.items():
            tests = self._tests.setdefault(pair, {kind: FaultTest(self.rates) for kind in FaultKind})
            answered = count.attempts - count.silent
            tests[FaultKind.SILENT].record(count.silent, answered)
            tests[FaultKind.ERROR].record(count.error, max(answered - count.error, 0))
            # Danger: when all are late, the load is the matter and no zone; what is late everywhere is usual.
            excess = max(count.late - round(everywhere * answered), 0)
            tests[FaultKind.LATE].record(excess, max(answered - excess, 0))

    def is_detected(self, pair: tuple[str, str], kind: FaultKind) -> bool:
        """Whether one test says so."""
        return pair in self._tests and self._tests[pair][kind].raised

    def status(self, own: str, zone: str) -> ZoneStatus:
        """What a zone is taken for by one that stands in `own`."""
        seen = [one for one, other in self._tests if other == zone]
        unreached = [one for one in seen if self.is_detected((one, zone), FaultKind.SILENT)]
        if unreached and len(unreached) == len(seen):
            # Danger: a zone that nobody but oneself watches may only be cut off from here.
            return ZoneStatus.LOST if len(seen) > 1 else ZoneStatus.PARTITIONED
        if own in unreached:
            return ZoneStatus.PARTITIONED
        reached = [one for one in seen if one not in unreached]
        for kind, finding in ((FaultKind.ERROR, ZoneStatus.FAILING), (FaultKind.LATE, ZoneStatus.SLOW)):
            if reached and all(self.is_detected((one, zone), kind) for one in reached):
                return finding
        return ZoneStatus.HEALTHY

    def forget(self, zone: str) -> None:
        """A zone returns: what was seen of it before says nothing of what it is now."""
        for pair in [pair for pair in self._tests if zone in pair]:
            del self._tests[pair]


def _share(counts: Iterable[AttemptCounts]) -> float:
    """The middle pair's share of late answers."""
    shares = sorted(
        each.late / (each.attempts - each.silent) for each in counts if each.attempts > each.silent
    )
    return shares[len(shares) // 2] if shares else 0.0
