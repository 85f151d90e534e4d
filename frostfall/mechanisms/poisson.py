"""Bounds on counts that arrive at random."""

from __future__ import annotations

import math


def safe_utilization(budget: float, deviations: float) -> float:
    """The share of a budget that the mean of a Poisson count may use so that the count stays within it.

    The count exceeds `budget` only by a chance of more than `deviations` standard deviations; 0 where the
    budget is too small for any mean. `budget` must be above 0.
    """
    squared = deviations**2
    share = 1 + (squared - deviations * math.sqrt(2 * budget + squared)) / budget
    return max(share, 0.0)
