"""The hypotheses of the test of a build: the baseline's share of bad outcomes, and an unacceptable share."""

from __future__ import annotations

from dataclasses import dataclass

from frostfall.mechanisms.build_outcomes import BuildOutcomes
from frostfall.mechanisms.sequential_test import SequentialTest
from frostfall.mechanisms.sprt import Band, Hypothesis, decision_band, smoothed_share


@dataclass(frozen=True, slots=True)
class HypothesisParameters:
    """The parameters of the test. A margin is p1 - p0; counts are sums over all agents."""

    advance_error: float  # accepted probability of a wrong vote to advance
    rollback_error: float  # accepted probability of a wrong vote to roll back
    max_p1: float
    failure_margin: float
    prior_failure_share: float
    prior_weight: float  # outcomes
    late_margin: float
    prior_late_share: float
    prior_late_weight: float  # outcomes
    min_timed: float  # answers of the baseline whose response time counts
    min_timed_ratio: float  # least ratio of the baseline's timed answers to those of the build under test
    max_late_share: float  # of the baseline's timed answers; above it lateness is not tested
    min_dispute_share: float  # least share of disputed answers assumed for the baseline


class Hypotheses:
    """Derives hypotheses from the outcomes of the baseline at all agents."""

    def __init__(
        self,
        parameters: HypothesisParameters,
        outcomes: BuildOutcomes,
        mixing_rate: float,
        dispute_report_share: float,
    ) -> None:
        """Create the hypotheses over `outcomes`.

        `mixing_rate` is that of a round without missed exchanges. `dispute_report_share` is the share of
        wrong answers that clients dispute; at 0, disputes are not tested.
        """
        self._parameters = parameters
        self._outcomes = outcomes
        self._mixing_rate = mixing_rate
        self._dispute_report_share = dispute_report_share

    def failures(self, test: SequentialTest, class_name: str | None = None) -> Hypothesis:
        """Return the hypothesis on failures, optionally for one request class.

        The prior share of a class is the baseline's failure share over all classes and agents.
        """
        parameters, settled, agents = self._parameters, test.settled, test.effective_agents
        overall = smoothed_share(
            settled.baseline_failures * agents,
            settled.baseline_outcomes * agents,
            prior=parameters.prior_failure_share,
            weight=parameters.prior_weight,
        )
        counts = self._outcomes.of_class(self._outcomes.baseline(test.key.build), class_name or "")
        share = smoothed_share(
            counts.recent_failures, counts.recent, prior=overall, weight=parameters.prior_weight
        )
        return self._hypothesis(share, parameters.failure_margin)

    def lateness(self, test: SequentialTest) -> Hypothesis | None:
        """Return the hypothesis on late answers, or None if the baseline allows no comparison."""
        parameters, settled, agents = self._parameters, test.settled, test.effective_agents
        timed, late = test.recent_timed * agents, test.recent_late * agents
        # In an overload, lateness depends on load rather than on the build. The last servers of a baseline
        # that is being replaced are idle, so that their response times are not comparable.
        if not parameters.min_timed <= timed > late / parameters.max_late_share:
            return None
        if settled.baseline_timed < parameters.min_timed_ratio * settled.trial_timed:
            return None
        share = smoothed_share(
            late, timed, prior=parameters.prior_late_share, weight=parameters.prior_late_weight
        )
        return self._hypothesis(share, parameters.late_margin)

    def disputes(self, test: SequentialTest) -> Hypothesis | None:
        """Return the hypothesis on disputed answers, or None if clients dispute none."""
        if not self._dispute_report_share:
            return None
        least, build = self._parameters.min_dispute_share, self._outcomes.baseline(test.key.build)
        share = (self._outcomes.disputes.get(build, 0) + 1) / (self._outcomes.total(build) + 1 / least)
        return Hypothesis(max(share, least), self._parameters.failure_margin * self._dispute_report_share)

    def bands(self, test: SequentialTest) -> list[Band]:
        """Return the decision bands of the failure, lateness and dispute scores, in this order.

        Each score decides separately, because in a sum one could compensate for another.
        """
        # If peers are silent or cut off, the mixed score is a mean over few agents and varies more, which the
        # mixing rate accounts for.
        outcomes_per_round = test.settled.outcomes / max(test.rounds, 1)
        return [
            decision_band(
                accept_error=self._parameters.advance_error,
                reject_error=self._parameters.rollback_error,
                agents=test.agents,
                mixing_rate=test.mixing_rate(self._mixing_rate),
                divergence=hypothesis.divergence * outcomes_per_round if hypothesis else 0.0,
            )
            for hypothesis in (self.failures(test), self.lateness(test), self.disputes(test))
        ]

    def _hypothesis(self, share: float, margin: float) -> Hypothesis:
        return Hypothesis(min(share, self._parameters.max_p1 - margin), margin)

    def describe(self, test: SequentialTest) -> str:
        """Return a text for operators with the scores and their bands."""
        agents, scores = test.agents, zip(test.scores, self.bands(test))
        texts = (
            f"{agents * score:.2f} in {agents * band.lower:.2f}..{agents * band.upper:.2f}"
            for score, band in scores
        )
        p0 = self.failures(test).p0
        return (
            f"failures, late, disputes {', '.join(texts)}, {test.pooled_outcomes:.0f} outcomes, p0 {p0:.3f}"
        )
