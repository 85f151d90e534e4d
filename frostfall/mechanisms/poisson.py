"""Bounds on Poisson-distributed counts."""

from __future__ import annotations

import math


def safe_utilization(budget: float, deviations: float) -> float:
    """Return the share of a budget that the mean of a Poisson count may use.

    At this mean, a count above `budget` is a deviation of more than `deviations` standard deviations. The
    share is 0 if the budget is too small for any mean. `budget` must be above 0.
    """
    squared = deviations**2
    share = 1 + (squared - deviations * math.sqrt(2 * budget + squared)) / budget
    return max(share, 0.0)
