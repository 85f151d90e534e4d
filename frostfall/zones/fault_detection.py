"""Detection of zones that are lost, partitioned from the observer, failing or slow. No I/O, no clock.

Agents count the outcomes of their attempts in each round, by their own zone and the server's zone. For each
pair of zones and each kind of fault, a sequential test (Wald's SPRT, 1945) adds up log-likelihood ratios of
the faulty against the usual share of attempts, with given rates of false alarms and misses. The score is
bounded below (Page's CUSUM, 1954), so that a long period without a fault does not hide a new fault.
The test of one pair shows only that one zone does not reach the other. A zone's status follows from the tests
of all pairs:

  lost         no zone reaches it, including the zone itself if its counts arrive
  partitioned  some zones reach it, but the observer's zone does not: the fault lies between the two
  failing      it is reached, and its answers to all zones that reach it are errors
  slow         it is reached, and its answers to all zones that reach it are late
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from math import log
from typing import NamedTuple

import msgspec

MAX_ERROR_RATE = 0.5  # exclusive, of false alarms and of misses; at 0.5 a test is no better than chance


class FaultKind(Enum):
    """The kind of fault that an attempt is evidence of."""

    SILENT = "silent"  # no connection, or no answer
    ERROR = "error"
    LATE = "late"


class ZoneStatus(Enum):
    """The status of a zone, as seen from an observer's zone."""

    HEALTHY = "well"
    LOST = "lost"
    PARTITIONED = "cut"
    FAILING = "failing"
    SLOW = "slow"


class DetectionRates(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The two hypotheses and the error rates of a test. Raises ValueError if the values are inconsistent."""

    usual_share: float = 0.02  # share of faulty attempts without a fault
    fault_share: float = 0.4  # share of faulty attempts with a fault
    false_alarm: float = 1e-6  # probability, for one test that starts at its lower bound
    miss: float = 1e-2  # probability

    def __post_init__(self) -> None:
        """Check that the values are consistent."""
        if not 0 < self.usual_share < self.fault_share < 1:
            raise ValueError(
                f"fault_share: {self.fault_share:g} is not above usual_share, {self.usual_share:g}, "
                "and below 1"
            )
        for name in ("false_alarm", "miss"):
            if not 0 < getattr(self, name) < MAX_ERROR_RATE:
                raise ValueError(f"{name}: {getattr(self, name):g} is not from 0 to {MAX_ERROR_RATE:g}")


class ZonePair(NamedTuple):
    """A pair of zones, in the direction of the requests."""

    agent_zone: str
    server_zone: str


@dataclass(frozen=True, slots=True)
class AttemptCounts:
    """Numbers of attempts between two zones in one round: all, and the evidence of each kind of fault."""

    attempts: int
    silent: int = 0
    error: int = 0
    late: int = 0

    @property
    def answered(self) -> int:
        """Return the number of attempts with an answer, including errors and late answers."""
        return self.attempts - self.silent


@dataclass(slots=True)
class FaultTest:
    """One sequential test of whether there is a fault."""

    rates: DetectionRates
    score: float = 0.0  # sum of log-likelihood ratios; positive if a fault is more likely than none
    is_fault_accepted: bool = False

    def record(self, faulty: int, normal: int) -> bool:
        """Add numbers of outcomes; return whether the test accepts the fault now."""
        rates = self.rates
        upper = log((1 - rates.miss) / rates.false_alarm)
        lower = log(rates.miss / (1 - rates.false_alarm))
        faulty_ratio = log(rates.fault_share / rates.usual_share)
        normal_ratio = log((1 - rates.fault_share) / (1 - rates.usual_share))
        self.score += faulty * faulty_ratio + normal * normal_ratio
        if self.score >= upper:
            self.is_fault_accepted = True
            self.score = upper
        elif self.score <= lower:
            self.is_fault_accepted = False
            self.score = lower
        elif not self.is_fault_accepted:
            # With a negative score, a fault would first have to outweigh the normal outcomes before it.
            self.score = max(self.score, 0.0)
        return self.is_fault_accepted


@dataclass(slots=True)
class ZoneFaultDetector:
    """The fault tests of all pairs of zones."""

    rates: DetectionRates
    _tests: dict[ZonePair, dict[FaultKind, FaultTest]] = field(default_factory=dict)

    def record_round(self, counts: Mapping[ZonePair, AttemptCounts]) -> None:
        """Add the counts of one round, from the agents of all zones whose counts have arrived."""
        late_everywhere = _median_late_share(counts.values())
        for pair, count in counts.items():
            tests = self._tests.setdefault(pair, {kind: FaultTest(self.rates) for kind in FaultKind})
            answered = count.answered
            tests[FaultKind.SILENT].record(count.silent, answered)
            tests[FaultKind.ERROR].record(count.error, max(answered - count.error, 0))
            # The share that is late everywhere is caused by load and is not evidence of a zone's fault.
            excess = max(count.late - round(late_everywhere * answered), 0)
            tests[FaultKind.LATE].record(excess, max(answered - excess, 0))

    def is_detected(self, pair: ZonePair, kind: FaultKind) -> bool:
        """Return whether a pair's test accepts the fault."""
        return pair in self._tests and self._tests[pair][kind].is_fault_accepted

    def status(self, observer_zone: str, zone: str) -> ZoneStatus:
        """Return the status of `zone`, as seen from `observer_zone`."""
        observers = [pair.agent_zone for pair in self._tests if pair.server_zone == zone]
        cut_off = [
            observer for observer in observers if self.is_detected(ZonePair(observer, zone), FaultKind.SILENT)
        ]
        if cut_off and len(cut_off) == len(observers):
            # With a single observer, the fault may lie between the observer and the zone.
            return ZoneStatus.LOST if len(observers) > 1 else ZoneStatus.PARTITIONED
        if observer_zone in cut_off:
            return ZoneStatus.PARTITIONED
        connected = [observer for observer in observers if observer not in cut_off]
        for kind, status in ((FaultKind.ERROR, ZoneStatus.FAILING), (FaultKind.LATE, ZoneStatus.SLOW)):
            if connected and all(self.is_detected(ZonePair(observer, zone), kind) for observer in connected):
                return status
        return ZoneStatus.HEALTHY

    def discard_tests(self, zone: str) -> None:
        """Discard a zone's tests when the zone returns, because earlier outcomes are outdated."""
        for pair in [pair for pair in self._tests if zone in pair]:
            del self._tests[pair]


def _median_late_share(counts: Iterable[AttemptCounts]) -> float:
    """Return the median, over all pairs, of the share of late answers."""
    shares = sorted(count.late / count.answered for count in counts if count.attempts > count.silent)
    return shares[len(shares) // 2] if shares else 0.0
