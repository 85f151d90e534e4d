"""The arithmetic that the test needs; it decides nothing."""

import math
from zlib import crc32


def mixing_rate(agents: int, exchanges: int) -> float:
    """Second singular value of a round of pairwise averaging, that is, of the product of its weight matrices.

    Each matrix averages i with c - i (mod agents); c moves on by 1, 2, 4 ... In the Fourier basis each one
    projects the plane of the frequencies k and -k on a line; two whose c differ by d make an angle of
    pi k d / agents, and the product of the cosines is this closed form.
    """
    if agents < 2:
        return 0.0
    spread = 1 << (exchanges - 1)
    return max(
        abs(math.sin(spread * math.pi * k / agents) / (spread * math.sin(math.pi * k / agents)))
        for k in range(1, agents // 2 + 1)
    )


def evidence(bad: bool, p0: float, margin: float) -> float:
    """Log-likelihood ratio of one outcome: bad share p0 against p0 + margin; below zero speaks for bad."""
    return math.log(p0 / (p0 + margin)) if bad else math.log((1 - p0) / (1 - p0 - margin))


def divergence(p1: float, p0: float) -> float:
    """Mean log-likelihood ratio of one outcome with bad share p1 against p0."""
    return p1 * math.log(p1 / p0) + (1 - p1) * math.log((1 - p1) / (1 - p0))


def round_length(agents: int) -> int:
    """Exchanges in one round, the mechanism's step: enough that the band is that of the pooled evidence."""
    turns = (agents - 1).bit_length() + 1
    while agents * mixing_rate(agents, turns) ** 2 > 1:
        turns += 1
    return turns


def threshold(error: float, agents: int, r: float, m: float) -> float:
    """The design's bound on the mixed score for one error chance (the paper's Theorem 4.1)."""
    k = agents * r * r
    miss = -math.expm1(-agents * max(m, 1e-6) / (4 * (k + 1)))  # m near 0 would ask for an endless band
    return 8 * (k + 1) / (7 * agents) * (math.log(2 / error) - math.log(miss))


def partner(agent: int, agents: int, turn: int, turns: int) -> int:
    """Whom an agent exchanges with in a turn: i with c - i, maybe itself."""
    # c moves on by 1, 2, 4 ... from a hashed start: a round spreads what each agent has over all.
    return (crc32(b"%d" % (turn // turns)) + (1 << turn % turns) - agent) % agents
