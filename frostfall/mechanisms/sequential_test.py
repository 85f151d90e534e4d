"""State of a consensus+innovations SPRT: the totals that agents average in a round, and the new outcomes."""

from __future__ import annotations

import struct
from base64 import b85decode, b85encode
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from frostfall.interface import Microseconds, Verdict
from frostfall.mechanisms.slowdown_cusum import SlowdownCusum
from frostfall.mechanisms.sprt import Band


class StageKey(NamedTuple):
    """A build and its rollout stage; the stage is -1 after the release of the build."""

    build: int
    stage: int

    @property
    def is_released(self) -> bool:
        """Whether the build has passed all stages."""
        return self.stage < 0


class RoundTotals(NamedTuple):
    """Numbers that agents average: the sums of one agent at first, the means over all agents once mixed.

    The fields are sent in this order.
    """

    failure_score: float = 0.0
    lateness_score: float = 0.0
    dispute_score: float = 0.0
    outcomes: float = 0.0  # of the build under test
    baseline_outcomes: float = 0.0
    baseline_failures: float = 0.0
    baseline_timed: float = 0.0  # answers of this round whose response time counts
    baseline_late: float = 0.0  # late answers among `baseline_timed`
    trial_timed: float = 0.0
    trial_late: float = 0.0
    served_per_server: float = 0.0  # peak of the requests per second that one server carried
    missed_exchanges: float = 0.0
    trial_failures: float = 0.0

    @property
    def timed(self) -> float:
        """Answers of both builds in this round whose response time counts."""
        return self.baseline_timed + self.trial_timed

    @property
    def late(self) -> float:
        """Late answers among `timed`."""
        return self.baseline_late + self.trial_late

    def averaged(self, other: RoundTotals) -> RoundTotals:
        """Return the mean of two agents' totals."""
        return RoundTotals._make([(own + theirs) / 2 for own, theirs in zip(self, other)])


class Scores(NamedTuple):
    """The mixed log-likelihood ratios by kind of evidence."""

    failures: float = 0.0
    lateness: float = 0.0
    disputes: float = 0.0


@dataclass(slots=True)
class Innovations:
    """Outcomes that this agent has recorded since the last round began."""

    failure_evidence: float = 0.0
    dispute_evidence: float = 0.0
    outcomes: int = 0
    failures: int = 0
    baseline_outcomes: int = 0
    baseline_failures: int = 0
    baseline_timed: int = 0
    baseline_late: int = 0
    trial_timed: int = 0
    trial_late: int = 0

    def add_baseline(self, *, failed: bool, late: bool | None) -> None:
        """Count an outcome of the baseline; `late` is None if its response time does not count."""
        self.baseline_outcomes += 1
        self.baseline_failures += failed
        self.baseline_timed += late is not None
        self.baseline_late += late or False

    def add_overdue(self, *, on_trial: bool) -> None:
        """Count an unfinished attempt whose answer is already certain to be late."""
        if on_trial:
            self.trial_timed += 1
            self.trial_late += 1
        else:
            self.baseline_timed += 1
            self.baseline_late += 1

    def add_trial(self, *, failed: bool, late: bool | None) -> None:
        """Count an outcome of the build under test; `late` is None if its response time does not count."""
        self.outcomes += 1
        self.failures += failed
        self.trial_timed += late is not None
        self.trial_late += late or False


@dataclass(slots=True)
class SequentialTest:
    """The test of one build at one stage; each new stage starts a new test."""

    key: StageKey
    started_at: Microseconds
    agents: int
    totals: RoundTotals  # averaged with other agents during this round
    settled: RoundTotals  # totals as averaged at the end of the last round
    scores: Scores = field(default_factory=Scores)  # of the last round, limited to the decision bands
    innovations: Innovations = field(default_factory=Innovations)
    received: RoundTotals | None = None  # totals received from the partner of this slot
    exchanges: int = 0  # completed in this round
    slots: int = 0  # passed in this round
    # Exchanges of the last round: this agent's number or the mean over all agents, whichever is worse.
    mixed_exchanges: float = 0.0  # completed
    missed_exchanges: float = 0.0
    rounds: int = 0
    recent_timed: float = 0.0  # decaying count of baseline answers whose response time counts
    recent_late: float = 0.0  # late answers among `recent_timed`
    position: float = 0.0  # of the worst score in its band, from -1 (roll back) to 1
    failing_rounds: int = 0  # latest consecutive rounds in which only the failure score demanded a rollback
    slowdown: SlowdownCusum = field(default_factory=SlowdownCusum)
    all_servers_slow: bool = False  # if so, the rollout does not advance past the current stage
    verdict: Verdict = Verdict.NONE
    decided_at: Microseconds = 0

    @classmethod
    def begin(
        cls, key: StageKey, started_at: Microseconds, agents: int, totals: RoundTotals
    ) -> SequentialTest:
        """Create a test whose first round starts with these totals; only their baseline counts as settled."""
        settled = RoundTotals(
            baseline_outcomes=totals.baseline_outcomes, baseline_failures=totals.baseline_failures
        )
        return cls(key, started_at, agents, totals, settled)

    def carried_over(self) -> RoundTotals:
        """Return the initial totals for the test of the same build's next stage."""
        # Persistent lateness is carried over, as it is by `SlowdownCusum`.
        return RoundTotals(
            lateness_score=min(self.totals.lateness_score, 0.0),
            baseline_outcomes=self.settled.baseline_outcomes,
            baseline_failures=self.settled.baseline_failures,
        )

    @property
    def effective_agents(self) -> float:
        """The number of agents over which the settled totals are a mean."""
        return self.agents if self.missed_exchanges == 0 else min(2.0**self.mixed_exchanges, self.agents)

    @property
    def pooled_outcomes(self) -> float:
        """Outcomes of the build under test, summed over all agents."""
        return self.settled.outcomes * self.effective_agents

    @property
    def pooled_served_per_server(self) -> float:
        """Peak of the requests per second that one server carried, summed over all agents."""
        return self.settled.served_per_server * self.effective_agents

    def mixing_rate(self, full_round: float) -> float:
        """Return the mixing rate of the last round; `full_round` is the rate without missed exchanges."""
        # Each exchange halves the variance among the agents.
        return max(full_round, 2.0 ** (-self.mixed_exchanges / 2)) if self.missed_exchanges else full_round

    def end_slot(self, *, consecutive: bool, unpaired: bool) -> None:
        """End a slot.

        `consecutive` is False if the agent skipped slots afterwards; `unpaired` is True if it had no partner.
        """
        # If the partner sent nothing, the totals of this agent keep their full weight. They must not depend
        # on old totals of a silent partner.
        if self.received and consecutive:
            self.totals = self.totals.averaged(self.received)
        self.exchanges += self.received is not None or unpaired
        self.slots += 1
        self.received = None

    def settle(self, round_length: int) -> int:
        """End a round of `round_length` exchanges, and return how many of them this agent missed.

        The totals of the round become the settled ones.
        """
        # An agent that reached all its partners, while most of them were cut off, has totals that represent
        # no more agents than theirs. The mean of missed exchanges over all agents therefore counts as well.
        missed = self.slots - self.exchanges
        self.missed_exchanges = max(missed, self.totals.missed_exchanges)
        self.mixed_exchanges = round_length - self.missed_exchanges
        self.exchanges = self.slots = 0
        self.rounds += 1
        self.settled = self.totals
        return missed

    def fade_lateness(self, retained: float) -> None:
        """Add the baseline's answers of this round to the recent ones, after scaling these by `retained`."""
        self.recent_timed = self.recent_timed * retained + self.settled.baseline_timed
        self.recent_late = self.recent_late * retained + self.settled.baseline_late

    def update_scores(self, scores: Scores, bands: Sequence[Band]) -> None:
        """Store the scores of a round, limited to their bands, and the position of the worst score."""
        failures, *others = (band.position(score) for score, band in zip(scores, bands))
        self.position = max(-1.0, min(failures, *others, self.slowdown.lasting_position))
        only_failures = failures <= -1 < min(*others, self.slowdown.lasting_position)
        self.failing_rounds = self.failing_rounds + 1 if only_failures else 0
        # A score above its band would delay the detection of a build that becomes faulty later. After the
        # release, any positive score would have this effect.
        scores = Scores._make([min(score, band.upper) for score, band in zip(scores, bands)])
        self.scores = Scores._make([min(score, 0.0) for score in scores]) if self.key.is_released else scores

    def begin_round(
        self, *, baseline_retention: float, excluded_evidence: float, served_per_server: float, missed: int
    ) -> None:
        """Begin a round: add the new outcomes to the settled totals, of whose baseline a part is retained.

        `excluded_evidence` is the evidence from outlier servers that was excluded from the failure score. It
        is added to the totals again, because agents continue to average it.
        """
        settled, scores, innovations = self.settled, self.scores, self.innovations
        self.totals = RoundTotals(
            failure_score=scores.failures + innovations.failure_evidence + excluded_evidence,
            lateness_score=scores.lateness + 0.0,  # avoids -0.0, which has another encoding on the wire
            dispute_score=scores.disputes + innovations.dispute_evidence,
            outcomes=settled.outcomes + innovations.outcomes,
            baseline_outcomes=settled.baseline_outcomes * baseline_retention + innovations.baseline_outcomes,
            baseline_failures=settled.baseline_failures * baseline_retention + innovations.baseline_failures,
            baseline_timed=innovations.baseline_timed,
            baseline_late=innovations.baseline_late,
            trial_timed=innovations.trial_timed,
            trial_late=innovations.trial_late,
            served_per_server=served_per_server,
            missed_exchanges=missed,
            trial_failures=settled.trial_failures + innovations.failures,
        )
        self.innovations = Innovations()


# Half precision is enough for means that are averaged repeatedly.
_LAYOUT = struct.Struct(f"<HbH{len(RoundTotals._fields)}e")
_LARGEST = 6e4  # within the range of half precision
_FIRST_COUNT = 3  # index of the first total that is a count and so never negative
SLOT_MASK = 0xFFFF  # slot numbers are sent modulo 2**16


@dataclass(frozen=True, slots=True)
class GossipMessage:
    """The message about a test that an agent sends to its partner in a slot."""

    build: int
    stage: int
    slot: int
    totals: RoundTotals

    def encode(self) -> str:
        """Return the message as text of a fixed length."""
        bounded = (min(max(number, -_LARGEST), _LARGEST) for number in self.totals)
        return b85encode(_LAYOUT.pack(self.build, self.stage, self.slot & SLOT_MASK, *bounded)).decode()

    @classmethod
    def decode(cls, text: str) -> GossipMessage | None:
        """Return the message, with its slot modulo 2**16, or None if the text is malformed."""
        try:
            build, stage, slot, *numbers = _LAYOUT.unpack(b85decode(text))
        except (ValueError, struct.error):
            return None
        if any(not abs(number) <= _LARGEST for number in numbers) or min(numbers[_FIRST_COUNT:]) < 0:
            return None
        return cls(build, stage, slot, RoundTotals._make(numbers))

    @property
    def key(self) -> StageKey:
        """The build and stage of the test that the message is about."""
        return StageKey(self.build, self.stage)

    def matches(self, key: StageKey, slot: int) -> bool:
        """Return whether the message belongs to this test and slot."""
        return self.key == key and self.slot == slot & SLOT_MASK
