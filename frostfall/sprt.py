"""Likelihood ratios and thresholds of the sequential probability ratio test; nothing is decided here."""

import math


def log_likelihood_ratio(bad: bool, p0: float, margin: float) -> float:
    """Log-likelihood ratio of one outcome: bad share p0 against p0 + margin; below zero speaks for bad."""
    return math.log(p0 / (p0 + margin)) if bad else math.log((1 - p0) / (1 - p0 - margin))


def kl_divergence(p1: float, p0: float) -> float:
    """Mean log-likelihood ratio of one outcome with bad share p1 against p0."""
    return p1 * math.log(p1 / p0) + (1 - p1) * math.log((1 - p1) / (1 - p0))


def decision_threshold(error: float, agents: int, r: float, m: float) -> float:
    """The design's bound on the mixed score for one error chance (the paper's Theorem 4.1)."""
    k = agents * r * r
    miss = -math.expm1(-agents * max(m, 1e-6) / (4 * (k + 1)))  # m near 0 would ask for an endless band
    return 8 * (k + 1) / (7 * agents) * (math.log(2 / error) - math.log(miss))
