"""Averaging among agents by exchanges in pairs: who meets whom, and how well a round of it mixes."""

from __future__ import annotations

import math
from zlib import crc32

from frostfall.interface import Microseconds


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
    """Exchanges in one round: enough that the decision band is that of the pooled evidence."""
    exchanges = (agents - 1).bit_length() + 1
    while agents * mixing_rate(agents, exchanges) ** 2 > 1:
        exchanges += 1
    return exchanges


def exchange_partner(agent: int, agents: int, turn: int, exchanges: int) -> int:
    """Whom an agent exchanges with in a turn: i with c - i, maybe itself."""
    # c moves on by 1, 2, 4 ... from a hashed start: a round spreads what each agent has over all.
    return (crc32(b"%d" % (turn // exchanges)) + (1 << turn % exchanges) - agent) % agents


class ExchangeSchedule:
    """The turns in which one agent exchanges with others. A round is `exchanges` turns."""

    __slots__ = ("agent", "agents", "clock_correction", "exchanges", "mixing_rate", "period", "turn")

    def __init__(self, agent: int, agents: int, period: Microseconds) -> None:
        """For this agent of so many, before the first turn; a turn takes `period`."""
        self.agent = agent
        self.agents = agents
        self.period = period
        self.exchanges = round_length(agents)
        self.mixing_rate = mixing_rate(agents, self.exchanges)
        self.turn = -1
        self.clock_correction: Microseconds = 0  # of this agent's clock, towards that of most agents

    def turn_at(self, now: Microseconds) -> int:
        """The turn of this time, by a clock that all agents share."""
        return (now + self.clock_correction) // self.period

    def time_left(self, now: Microseconds) -> Microseconds:
        """The time until the turn of now ends."""
        return self.period - (now + self.clock_correction) % self.period

    def advance(self, now: Microseconds) -> int:
        """Begin the turn of this time; the turn that was the last."""
        last, self.turn = self.turn, self.turn_at(now)
        return last

    def partner(self, turn: int) -> int:
        """Whom the agent exchanges with in a turn; itself where it is alone."""
        return exchange_partner(self.agent, self.agents, turn, self.exchanges)

    def is_unpaired(self, turn: int) -> bool:
        """Whether the agent has no partner in a turn."""
        return self.partner(turn) == self.agent

    @property
    def begins_round(self) -> bool:
        """Whether the turn is the first of a round."""
        return self.turn % self.exchanges == 0

    @property
    def round_duration(self) -> Microseconds:
        """The time that a round takes."""
        return self.exchanges * self.period
