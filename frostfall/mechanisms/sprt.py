"""Arithmetic of the sequential probability ratio test (SPRT) of a share of bad outcomes."""

from __future__ import annotations

import math
from dataclasses import dataclass


def log_likelihood_ratio(bad: bool, p0: float, margin: float) -> float:
    """Evidence of one outcome: bad share p0 against p0 + margin; below zero speaks for the latter."""
    return math.log(p0 / (p0 + margin)) if bad else math.log((1 - p0) / (1 - p0 - margin))


def kl_divergence(p1: float, p0: float) -> float:
    """Mean log-likelihood ratio of one outcome with bad share p1 against p0 (Kullback-Leibler divergence)."""
    return p1 * math.log(p1 / p0) + (1 - p1) * math.log((1 - p1) / (1 - p0))


def decision_threshold(error: float, agents: int, mixing_rate: float, divergence: float) -> float:
    """The bound on the mixed score of a consensus+innovations SPRT (the paper's Theorem 4.1).

    `error` is the accepted chance of a wrong decision, `mixing_rate` the second singular value of a round of
    averaging among the agents, `divergence` the mean evidence of an agent in a round.
    """
    k = agents * mixing_rate * mixing_rate
    # A divergence near 0 would ask for an endless band.
    miss = -math.expm1(-agents * max(divergence, 1e-6) / (4 * (k + 1)))
    return 8 * (k + 1) / (7 * agents) * (math.log(2 / error) - math.log(miss))


@dataclass(frozen=True, slots=True)
class Hypothesis:
    """The share of bad outcomes of the baseline, p0, against p0 + margin."""

    p0: float
    margin: float

    def evidence(self, bad: bool) -> float:
        """The log-likelihood ratio of one outcome; below zero speaks for p0 + margin."""
        return log_likelihood_ratio(bad, self.p0, self.margin)

    def evidence_of_counts(self, total: float, bad: float) -> float:
        """The log-likelihood ratio of so many outcomes, of which so many were bad."""
        return (total - bad) * self.evidence(False) + bad * self.evidence(True)

    @property
    def divergence(self) -> float:
        """The mean evidence of one outcome if p0 + margin is true."""
        return kl_divergence(self.p0 + self.margin, self.p0)


@dataclass(frozen=True, slots=True)
class Band:
    """The bounds of a score: above `upper` the baseline's share is accepted, below `lower` the worse one."""

    upper: float
    lower: float

    def position(self, score: float) -> float:
        """Where a score stands between the bounds, from -1 at the lower one over 0 to 1 at the upper one."""
        return score / self.upper if score > 0 else -score / self.lower


def decision_band(
    *, accept_error: float, reject_error: float, agents: int, mixing_rate: float, divergence: float
) -> Band:
    """The band of a score that agents mix; they share out the chance of a wrong rejection."""
    return Band(
        decision_threshold(accept_error, agents, mixing_rate, divergence),
        -decision_threshold(reject_error / agents, agents, mixing_rate, divergence),
    )


def smoothed_share(bad: float, total: float, *, prior: float, weight: float) -> float:
    """The share of bad outcomes, with a prior share that is worth so many outcomes."""
    return (bad + prior * weight) / (total + weight)
