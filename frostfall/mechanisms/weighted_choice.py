"""A random choice weighted by cost."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import TypeVar

T = TypeVar("T")


def choose_by_cost(
    source: random.Random, options: Sequence[T], costs: Sequence[float], sharpness: Sequence[float]
) -> T:
    """One of the options, each with odds of its cost, relative to the median, to minus its sharpness.

    It takes one draw from `source`. Costs must be above 0.
    """
    median = sorted(costs)[len(costs) // 2]
    odds = [(cost / median) ** -power for cost, power in zip(costs, sharpness)]
    return source.choices(options, odds)[0]
