"""Arithmetic of the sequential probability ratio test (SPRT) on the share of bad outcomes."""

from __future__ import annotations

import math
from dataclasses import dataclass


def log_likelihood_ratio(bad: bool, p0: float, margin: float) -> float:
    """Return the evidence of one outcome for a bad share of p0 against p0 + margin.

    A negative value favours p0 + margin.
    """
    return math.log(p0 / (p0 + margin)) if bad else math.log((1 - p0) / (1 - p0 - margin))


def kl_divergence(p1: float, p0: float) -> float:
    """Return the Kullback-Leibler divergence of p1 from p0.

    This is the mean log-likelihood ratio of one outcome when the share of bad outcomes is p1.
    """
    return p1 * math.log(p1 / p0) + (1 - p1) * math.log((1 - p1) / (1 - p0))


def decision_threshold(error: float, agents: int, mixing_rate: float, divergence: float) -> float:
    """Return the bound on the mixed score of a consensus+innovations SPRT (Theorem 4.1 of the paper).

    `error` is the accepted probability of a wrong decision, `mixing_rate` the second singular value of a
    round of averaging among the agents, `divergence` the mean evidence of an agent in a round.
    """
    k = agents * mixing_rate * mixing_rate
    # The lower limit of the divergence keeps the bound finite.
    complement = -math.expm1(-agents * max(divergence, 1e-6) / (4 * (k + 1)))
    return 8 * (k + 1) / (7 * agents) * (math.log(2 / error) - math.log(complement))


@dataclass(frozen=True, slots=True)
class Hypothesis:
    """The hypothesis that the share of bad outcomes is the baseline's p0, against p0 + margin."""

    p0: float
    margin: float

    def evidence(self, bad: bool) -> float:
        """Return the log-likelihood ratio of one outcome; a negative value favours p0 + margin."""
        return log_likelihood_ratio(bad, self.p0, self.margin)

    def evidence_of_counts(self, total: float, bad: float) -> float:
        """Return the log-likelihood ratio of `total` outcomes of which `bad` were bad."""
        return (total - bad) * self.evidence(False) + bad * self.evidence(True)

    @property
    def divergence(self) -> float:
        """The Kullback-Leibler divergence of the alternative: the evidence per outcome if it is true."""
        return kl_divergence(self.p0 + self.margin, self.p0)


@dataclass(frozen=True, slots=True)
class Band:
    """The decision bounds of a score.

    Above `upper` the baseline's share p0 is accepted, below `lower` the alternative.
    """

    upper: float
    lower: float

    def position(self, score: float) -> float:
        """Return the position of a score between the bounds: -1 at `lower`, 0 at 0, and 1 at `upper`."""
        return score / self.upper if score > 0 else -score / self.lower


def decision_band(
    *, accept_error: float, reject_error: float, agents: int, mixing_rate: float, divergence: float
) -> Band:
    """Return the decision band of a score that agents average.

    The accepted probability of a wrong rejection is divided among the agents.
    """
    return Band(
        decision_threshold(accept_error, agents, mixing_rate, divergence),
        -decision_threshold(reject_error / agents, agents, mixing_rate, divergence),
    )


def smoothed_share(bad: float, total: float, *, prior: float, weight: float) -> float:
    """Return the share of bad outcomes, smoothed by a prior share that counts as `weight` outcomes."""
    return (bad + prior * weight) / (total + weight)
