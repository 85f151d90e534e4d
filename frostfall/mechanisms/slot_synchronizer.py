"""Corrects the clock of the exchange schedule if it differs from the clocks of most agents.

Each agent sends its message at the beginning of a slot, and the message contains the number of the slot. An
agent whose clock is wrong receives messages of other slots than its own, all with the same time difference.
An agent whose clock is right receives such messages only from the few agents whose clocks are wrong.
"""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median_low

from frostfall.interface import Microseconds
from frostfall.mechanisms.mixing import ExchangeSchedule, exchange_partner
from frostfall.mechanisms.sequential_test import SLOT_MASK

SAMPLE_MAX_AGE: Microseconds = 3_000_000
MIN_SENDERS = 3  # samples needed for a correction; in a smaller fleet, those of all other agents
AGREEING_QUARTERS = 3  # quarters of the samples that have to agree on a correction
SLOT_MODULUS = SLOT_MASK + 1


@dataclass(frozen=True, slots=True)
class _Sample:
    """The difference between one sender's clock and this agent's clock."""

    at: Microseconds
    ahead: Microseconds  # positive if the sender's clock is ahead


class SlotSynchronizer:
    """Estimates the error of this agent's clock from peers' messages, and corrects the schedule."""

    def __init__(self, schedule: ExchangeSchedule) -> None:
        """Create a synchronizer that sets `schedule.clock_correction`."""
        self._schedule = schedule
        self._samples: dict[int, _Sample] = {}  # the latest sample by sender

    def observe_partner(self, now: Microseconds, sender: int) -> None:
        """Record a message of the running test that came from this agent's partner in the current slot."""
        self._samples[sender] = _Sample(now, 0)

    def observe(self, now: Microseconds, sender: int, slot: int) -> None:
        """Record any other message of the running test; `slot` is the sender's slot modulo 2**16."""
        if not 0 <= sender < self._schedule.agents or sender == self._schedule.agent:
            return
        ahead = self._ahead(now, sender, slot)
        if ahead is None:
            return
        self._samples[sender] = _Sample(now, ahead)
        # Network delay, which is shorter than a slot, must not change the clocks of all agents.
        if abs(ahead) >= self._schedule.period:
            self._correct(now)

    def _ahead(self, now: Microseconds, sender: int, slot: int) -> Microseconds | None:
        """Return how far the sender's clock is ahead, or None if the agents are paired in no such slot."""
        schedule = self._schedule
        own_slot = schedule.slot_at(now)
        difference = (slot - own_slot + SLOT_MODULUS // 2) % SLOT_MODULUS - SLOT_MODULUS // 2
        for offset in sorted((difference, difference - SLOT_MODULUS, difference + SLOT_MODULUS), key=abs):
            candidate = own_slot + offset
            if exchange_partner(sender, schedule.agents, candidate, schedule.exchanges) == schedule.agent:
                return candidate * schedule.period - (now + schedule.clock_correction)
        return None

    def _correct(self, now: Microseconds) -> None:
        schedule = self._schedule
        for sender in [each for each, sample in self._samples.items() if now - sample.at > SAMPLE_MAX_AGE]:
            del self._samples[sender]
        if len(self._samples) < min(MIN_SENDERS, schedule.agents - 1):
            return
        if schedule.agents == 2 and schedule.agent == 0:  # of two agents, only one may adjust its clock
            return
        ahead = median_low(sample.ahead for sample in self._samples.values())
        if abs(ahead) < schedule.period:
            return
        agreeing = sum(abs(sample.ahead - ahead) <= schedule.period // 2 for sample in self._samples.values())
        if 4 * agreeing >= AGREEING_QUARTERS * len(self._samples):
            schedule.clock_correction += ahead
            self._samples.clear()
