"""A random choice weighted by cost."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import TypeVar

T = TypeVar("T")


def choose_by_cost(
    source: random.Random, options: Sequence[T], costs: Sequence[float], sharpness: Sequence[float]
) -> T:
    """Return a random option, weighted by `(cost / median) ** -sharpness`.

    Costs must be above 0. One random number is drawn from `source`.
    """
    median = sorted(costs)[len(costs) // 2]
    weights = [(cost / median) ** -power for cost, power in zip(costs, sharpness)]
    return source.choices(options, weights)[0]
