"""The schedule by which agents average their scores in pairs, and how fast a round of it mixes."""

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


def round_length(agents: int) -> int:
    """Exchanges in one round, the mechanism's step: enough that the band is that of the pooled evidence."""
    turns = (agents - 1).bit_length() + 1
    while agents * mixing_rate(agents, turns) ** 2 > 1:
        turns += 1
    return turns


def exchange_partner(agent: int, agents: int, turn: int, turns: int) -> int:
    """Whom an agent exchanges with in a turn: i with c - i, maybe itself."""
    # c moves on by 1, 2, 4 ... from a hashed start: a round spreads what each agent has over all.
    return (crc32(b"%d" % (turn // turns)) + (1 << turn % turns) - agent) % agents
