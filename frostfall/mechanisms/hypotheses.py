"""The hypotheses of the test of a build: the baseline's share of bad outcomes, and what would be too much."""

from __future__ import annotations

from dataclasses import dataclass

from frostfall.mechanisms.build_outcomes import BuildOutcomes
from frostfall.mechanisms.sequential_test import SequentialTest
from frostfall.mechanisms.sprt import Band, Hypothesis, decision_band, smoothed_share


@dataclass(frozen=True, slots=True)
class HypothesisParameters:
    """The numbers of the test. A margin is p1 - p0; counts are of all agents together."""

    advance_error: float  # accepted chance of a wrong vote to advance
    rollback_error: float  # accepted chance of a wrong vote to roll back
    max_p1: float
    failure_margin: float
    prior_failure_share: float
    prior_weight: float  # outcomes
    late_margin: float
    prior_late_share: float
    prior_late_weight: float  # outcomes
    min_timed: float  # answers of the baseline whose time counts
    min_timed_ratio: float  # of the baseline's timed answers to those of the build under test
    max_late_share: float  # of the baseline's timed answers
    min_dispute_share: float  # of the baseline's answers


class Hypotheses:
    """Derives hypotheses from what all agents have seen of the baseline."""

    def __init__(
        self,
        parameters: HypothesisParameters,
        outcomes: BuildOutcomes,
        mixing_rate: float,
        dispute_report_share: float,
    ) -> None:
        """A full round mixes at this rate. Of wrong answers this share is disputed; 0 where none is."""
        self._parameters = parameters
        self._outcomes = outcomes
        self._mixing_rate = mixing_rate
        self._dispute_report_share = dispute_report_share

    def failures(self, test: SequentialTest, class_name: str | None = None) -> Hypothesis:
        """On failures: the baseline's share at all agents, or that of a class, leaning on the former."""
        parameters, settled, pool = self._parameters, test.settled, test.pool
        overall = smoothed_share(
            settled.baseline_failures * pool,
            settled.baseline_outcomes * pool,
            prior=parameters.prior_failure_share,
            weight=parameters.prior_weight,
        )
        counts = self._outcomes.of_class(self._outcomes.baseline(test.key.build), class_name or "")
        share = smoothed_share(
            counts.recent_failures, counts.recent, prior=overall, weight=parameters.prior_weight
        )
        return self._hypothesis(share, parameters.failure_margin)

    def lateness(self, test: SequentialTest) -> Hypothesis | None:
        """On late answers, against the baseline's share at this moment; None where it tells nothing."""
        parameters, settled, pool = self._parameters, test.settled, test.pool
        timed, late = test.recent_timed * pool, test.recent_late * pool
        # In an overload, load decides who is late; and what is left of a baseline that leaves is idle.
        if not parameters.min_timed <= timed > late / parameters.max_late_share:
            return None
        if settled.baseline_timed < parameters.min_timed_ratio * settled.trial_timed:
            return None
        share = smoothed_share(
            late, timed, prior=parameters.prior_late_share, weight=parameters.prior_late_weight
        )
        return self._hypothesis(share, parameters.late_margin)

    def disputes(self, test: SequentialTest) -> Hypothesis | None:
        """On disputed answers; None where nobody disputes them."""
        if not self._dispute_report_share:
            return None
        least, build = self._parameters.min_dispute_share, self._outcomes.baseline(test.key.build)
        share = (self._outcomes.disputes.get(build, 0) + 1) / (self._outcomes.total(build) + 1 / least)
        return Hypothesis(max(share, least), self._parameters.failure_margin * self._dispute_report_share)

    def bands(self, test: SequentialTest) -> list[Band]:
        """The bands of the scores of failures, lateness and disputes, each of which decides by itself."""
        # In one sum, one would cover another. With peers silent or cut off the mixed score is the mean of
        # few agents', and strays further.
        pace = test.settled.outcomes / max(test.rounds, 1)
        return [
            decision_band(
                accept_error=self._parameters.advance_error,
                reject_error=self._parameters.rollback_error,
                agents=test.agents,
                mixing_rate=test.mixing_rate(self._mixing_rate),
                divergence=hypothesis.divergence * pace if hypothesis else 0.0,
            )
            for hypothesis in (self.failures(test), self.lateness(test), self.disputes(test))
        ]

    def _hypothesis(self, share: float, margin: float) -> Hypothesis:
        return Hypothesis(min(share, self._parameters.max_p1 - margin), margin)

    def describe(self, test: SequentialTest) -> str:
        """What the scores are in their bands, for the operators."""
        agents, scores = test.agents, zip(test.scores, self.bands(test))
        texts = (
            f"{agents * score:.2f} in {agents * band.lower:.2f}..{agents * band.upper:.2f}"
            for score, band in scores
        )
        p0 = self.failures(test).p0
        return (
            f"failures, late, disputes {', '.join(texts)}, {test.pooled_outcomes:.0f} outcomes, p0 {p0:.3f}"
        )
