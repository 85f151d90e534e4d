"""Corrects the clock that turns go by, where it is off from that of most agents.

A message leaves its sender as a turn begins, and says which turn that is. An agent whose clock is off gets
messages of other turns than its own, all of them off by the same time; one whose clock is right gets such
messages only from the few that are off.
"""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median_low

from frostfall.interface import Microseconds
from frostfall.mechanisms.mixing import ExchangeSchedule, exchange_partner
from frostfall.mechanisms.sequential_test import TURN_MASK

SAMPLE_MEMORY: Microseconds = 3_000_000
MIN_SENDERS = 3  # whose samples are looked at together, or all others of a smaller fleet
AGREEING_QUARTERS = 3  # of the samples that have to agree, in quarters
TURN_MODULUS = TURN_MASK + 1


@dataclass(frozen=True, slots=True)
class _Sample:
    """How far the clock of one sender is ahead of this agent's."""

    at: Microseconds
    ahead: Microseconds


class TurnSynchronizer:
    """Learns from peers' messages how far this agent's clock is off, and corrects the schedule by it."""

    def __init__(self, schedule: ExchangeSchedule) -> None:
        """Correct this schedule."""
        self._schedule = schedule
        self._samples: dict[int, _Sample] = {}  # the latest of each sender

    def observe_partner(self, now: Microseconds, sender: int) -> None:
        """A message of the running test has come from this agent's partner in the turn that both are in."""
        self._samples[sender] = _Sample(now, 0)

    def observe(self, now: Microseconds, sender: int, turn: int) -> None:
        """Any other message of the running test has come, of this turn modulo 2**16 by its sender's clock."""
        if not 0 <= sender < self._schedule.agents or sender == self._schedule.agent:
            return
        ahead = self._ahead(now, sender, turn)
        if ahead is None:
            return
        self._samples[sender] = _Sample(now, ahead)
        # The way of a message, which is shorter than a turn, must not move the clocks of all.
        if abs(ahead) >= self._schedule.period:
            self._correct(now)

    def _ahead(self, now: Microseconds, sender: int, turn: int) -> Microseconds | None:
        """How far the sender's clock is ahead; None where this agent is its partner in no such turn."""
        schedule = self._schedule
        own_turn = schedule.turn_at(now)
        difference = (turn - own_turn + TURN_MODULUS // 2) % TURN_MODULUS - TURN_MODULUS // 2
        for turns in sorted((difference, difference - TURN_MODULUS, difference + TURN_MODULUS), key=abs):
            candidate = own_turn + turns
            if exchange_partner(sender, schedule.agents, candidate, schedule.exchanges) == schedule.agent:
                return candidate * schedule.period - (now + schedule.clock_correction)
        return None

    def _correct(self, now: Microseconds) -> None:
        schedule = self._schedule
        for sender in [each for each, sample in self._samples.items() if now - sample.at > SAMPLE_MEMORY]:
            del self._samples[sender]
        if len(self._samples) < min(MIN_SENDERS, schedule.agents - 1):
            return
        if schedule.agents == 2 and schedule.agent == 0:  # of two, one has to keep its clock
            return
        ahead = median_low(sample.ahead for sample in self._samples.values())
        if abs(ahead) < schedule.period:
            return
        agreeing = sum(abs(sample.ahead - ahead) <= schedule.period // 2 for sample in self._samples.values())
        if 4 * agreeing >= AGREEING_QUARTERS * len(self._samples):
            schedule.clock_correction += ahead
            self._samples.clear()
