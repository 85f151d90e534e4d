"""Detection of zones that are lost, partitioned from here, failing or slow. No I/O, no clock.

Agents count the outcomes of their attempts by their own zone and the server's, round by round. For each pair
of zones and each kind of fault a sequential test (Wald's SPRT, 1945) adds up log-likelihood ratios between
the usual and the faulty share of attempts, with stated rates of false alarm and miss. It is reset at its
lower bound (Page's CUSUM, 1954), so that a long good time does not hide a new fault.
A test of a pair says only that these two zones do not reach each other; other zones' tests tell the rest:

  lost         no zone reaches it, itself included where it can be heard
  partitioned  some zones reach it and this one does not: the fault lies on the way
  failing      it answers, and the answers are errors, seen from everywhere
  slow         the same with answers that come late
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from math import log
from typing import NamedTuple

import msgspec

MAX_ERROR_RATE = 0.5  # of false alarms and of misses; from here on a test tells nothing


class FaultKind(Enum):
    """What an attempt is evidence of."""

    SILENT = "silent"  # no connection, or no answer
    ERROR = "error"
    LATE = "late"


class ZoneStatus(Enum):
    """The status of a zone, as seen from another."""

    HEALTHY = "well"
    LOST = "lost"
    PARTITIONED = "cut"
    FAILING = "failing"
    SLOW = "slow"


class DetectionRates(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The two hypotheses and the error rates of a test. ValueError where the values do not fit together."""

    usual_share: float = 0.02  # of faulty attempts without a fault
    fault_share: float = 0.4  # of faulty attempts with a fault
    false_alarm: float = 1e-6  # probability for one test that begins at its lower bound
    miss: float = 1e-2  # probability

    def __post_init__(self) -> None:
        """Check that the values fit together."""
        if not 0 < self.usual_share < self.fault_share < 1:
            raise ValueError(
                f"fault_share: {self.fault_share:g} is not above usual_share, {self.usual_share:g}, "
                "and below 1"
            )
        for name in ("false_alarm", "miss"):
            if not 0 < getattr(self, name) < MAX_ERROR_RATE:
                raise ValueError(f"{name}: {getattr(self, name):g} is not from 0 to {MAX_ERROR_RATE:g}")


class ZonePair(NamedTuple):
    """A direction between two zones."""

    agents: str  # the zone of the agents
    servers: str  # the zone of the servers


@dataclass(frozen=True, slots=True)
class AttemptCounts:
    """Attempts of one round between two zones, and how many are evidence of each kind of fault."""

    attempts: int
    silent: int = 0
    error: int = 0
    late: int = 0

    @property
    def answered(self) -> int:
        """Attempts with an answer, be it an error or late."""
        return self.attempts - self.silent


@dataclass(slots=True)
class FaultTest:
    """One sequential test."""

    rates: DetectionRates
    score: float = 0.0  # sum of log-likelihood ratios; above zero for a fault
    raised: bool = False  # whether the fault is accepted

    def record(self, bad: int, good: int) -> bool:
        """Add outcomes; whether the fault is accepted now."""
        rates = self.rates
        upper = log((1 - rates.miss) / rates.false_alarm)
        lower = log(rates.miss / (1 - rates.false_alarm))
        bad_ratio = log(rates.fault_share / rates.usual_share)
        good_ratio = log((1 - rates.fault_share) / (1 - rates.usual_share))
        self.score += bad * bad_ratio + good * good_ratio
        if self.score >= upper:
            self.raised = True
            self.score = upper
        elif self.score <= lower:
            self.raised = False
            self.score = lower
        elif not self.raised:
            # Below zero, a long good time would have to be outweighed by as long a bad one.
            self.score = max(self.score, 0.0)
        return self.raised


@dataclass(slots=True)
class ZoneFaultDetector:
    """The tests of all pairs of zones."""

    rates: DetectionRates
    _tests: dict[ZonePair, dict[FaultKind, FaultTest]] = field(default_factory=dict)

    def record_round(self, counts: Mapping[ZonePair, AttemptCounts]) -> None:
        """Add what the agents of all zones that can be heard counted in one round."""
        late_everywhere = _median_late_share(counts.values())
        for pair, count in counts.items():
            tests = self._tests.setdefault(pair, {kind: FaultTest(self.rates) for kind in FaultKind})
            answered = count.answered
            tests[FaultKind.SILENT].record(count.silent, answered)
            tests[FaultKind.ERROR].record(count.error, max(answered - count.error, 0))
            # What is late everywhere comes from the load and is no zone's fault.
            excess = max(count.late - round(late_everywhere * answered), 0)
            tests[FaultKind.LATE].record(excess, max(answered - excess, 0))

    def is_detected(self, pair: ZonePair, kind: FaultKind) -> bool:
        """Whether a pair's test has accepted the fault."""
        return pair in self._tests and self._tests[pair][kind].raised

    def status(self, own: str, zone: str) -> ZoneStatus:
        """The status of a zone, as seen from the zone `own`."""
        observers = [pair.agents for pair in self._tests if pair.servers == zone]
        unreached = [each for each in observers if self.is_detected(ZonePair(each, zone), FaultKind.SILENT)]
        if unreached and len(unreached) == len(observers):
            # With a single observer, only the way from there may be interrupted.
            return ZoneStatus.LOST if len(observers) > 1 else ZoneStatus.PARTITIONED
        if own in unreached:
            return ZoneStatus.PARTITIONED
        reached = [each for each in observers if each not in unreached]
        for kind, status in ((FaultKind.ERROR, ZoneStatus.FAILING), (FaultKind.LATE, ZoneStatus.SLOW)):
            if reached and all(self.is_detected(ZonePair(each, zone), kind) for each in reached):
                return status
        return ZoneStatus.HEALTHY

    def forget(self, zone: str) -> None:
        """Drop a zone's tests, as it returns and earlier outcomes say nothing of it now."""
        for pair in [pair for pair in self._tests if zone in pair]:
            del self._tests[pair]


def _median_late_share(counts: Iterable[AttemptCounts]) -> float:
    """The median over all pairs of the share of late answers."""
    shares = sorted(count.late / count.answered for count in counts if count.attempts > count.silent)
    return shares[len(shares) // 2] if shares else 0.0
