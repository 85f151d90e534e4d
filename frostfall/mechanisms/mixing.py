"""Pairwise averaging among agents: the schedule of the pairs, and the mixing rate of a round."""

from __future__ import annotations

import math
from zlib import crc32

from frostfall.interface import Microseconds


def mixing_rate(agents: int, exchanges: int) -> float:
    """Return the second singular value of the product of a round's weight matrices.

    Each matrix averages agent i with agent c - i (mod agents), and c grows by 1, 2, 4 and so on from one
    matrix to the next. In the Fourier basis, each matrix projects the plane of the frequencies k and -k onto
    a line. The lines of two matrices whose c differ by d form an angle of pi k d / agents, and the product of
    the cosines of these angles has the closed form that is computed here.
    """
    if agents < 2:
        return 0.0
    spread = 1 << (exchanges - 1)
    return max(
        abs(math.sin(spread * math.pi * k / agents) / (spread * math.sin(math.pi * k / agents)))
        for k in range(1, agents // 2 + 1)
    )


def round_length(agents: int) -> int:
    """Return the number of exchanges in one round.

    With that many exchanges, the decision band is about as narrow as that of the pooled evidence.
    """
    exchanges = (agents - 1).bit_length() + 1
    while agents * mixing_rate(agents, exchanges) ** 2 > 1:
        exchanges += 1
    return exchanges


def exchange_partner(agent: int, agents: int, slot: int, exchanges: int) -> int:
    """Return the partner of an agent in a slot: agent i is paired with agent c - i, which may be itself."""
    # Within a round, c grows by 1, 2, 4 and so on from a hashed start, so that the counts of each agent
    # spread over all agents.
    return (crc32(b"%d" % (slot // exchanges)) + (1 << slot % exchanges) - agent) % agents


class ExchangeSchedule:
    """The slots in which one agent exchanges messages with others; a round consists of `exchanges` slots."""

    __slots__ = ("agent", "agents", "clock_correction", "exchanges", "mixing_rate", "period", "slot")

    def __init__(self, agent: int, agents: int, period: Microseconds) -> None:
        """Create the schedule of agent number `agent` of `agents`, before its first slot.

        A slot lasts `period` microseconds.
        """
        self.agent = agent
        self.agents = agents
        self.period = period
        self.exchanges = round_length(agents)
        self.mixing_rate = mixing_rate(agents, self.exchanges)
        self.slot = -1
        self.clock_correction: Microseconds = 0  # added to this agent's clock to follow the majority's

    def slot_at(self, now: Microseconds) -> int:
        """Return the number of the slot at this time, the same for all agents whose clocks agree."""
        return (now + self.clock_correction) // self.period

    def time_left(self, now: Microseconds) -> Microseconds:
        """Return the time until the current slot ends."""
        return self.period - (now + self.clock_correction) % self.period

    def advance(self, now: Microseconds) -> int:
        """Enter the current slot, and return the slot that was entered before it."""
        last, self.slot = self.slot, self.slot_at(now)
        return last

    def partner(self, slot: int) -> int:
        """Return the agent's partner in a slot, or the agent itself if it is unpaired."""
        return exchange_partner(self.agent, self.agents, slot, self.exchanges)

    def is_unpaired(self, slot: int) -> bool:
        """Return whether the agent has no partner in a slot."""
        return self.partner(slot) == self.agent

    @property
    def begins_round(self) -> bool:
        """Whether the slot entered last is the first of a round."""
        return self.slot % self.exchanges == 0

    @property
    def round_duration(self) -> Microseconds:
        """The duration of a round."""
        return self.exchanges * self.period
