"""Exchanges with peers: the totals of the running test and the shared health of servers in one message."""

from __future__ import annotations

from frostfall import interface as api
from frostfall.interface import Microseconds
from frostfall.mechanisms.mixing import ExchangeSchedule
from frostfall.mechanisms.sequential_test import GossipMessage, SequentialTest
from frostfall.mechanisms.slot_synchronizer import SlotSynchronizer
from frostfall.shared_health.server_health import SharedHealth


class PeerExchange:
    """Sends and receives one message per slot."""

    __slots__ = ("_max_chars", "_schedule", "_shared_health", "_synchronizer")

    def __init__(self, schedule: ExchangeSchedule, shared_health: SharedHealth, *, max_chars: int) -> None:
        """Create the exchange; messages have at most `max_chars` characters."""
        self._schedule = schedule
        self._shared_health = shared_health
        self._max_chars = max_chars
        self._synchronizer = SlotSynchronizer(schedule)

    def receive(self, now: Microseconds, sender: int, text: str, test: SequentialTest | None) -> None:
        """Handle a message; only that of the current slot's partner on the same build and stage is merged."""
        slot = self._schedule.slot
        totals, _, health = text.partition(" ")
        message = GossipMessage.decode(totals)
        is_partner = sender == self._schedule.partner(slot)
        if is_partner:
            self._shared_health.push_sum.receive(slot, health)
        if not (test and message and message.key == test.key):  # agents in other tests may use other slots
            return
        if is_partner and message.matches(test.key, slot):
            self._synchronizer.observe_partner(now, sender)
            test.received = message.totals
        else:
            self._synchronizer.observe(now, sender, message.slot)

    def end_slot(self, last: int, test: SequentialTest | None) -> None:
        """End slot number `last`: merge the message that its partner has sent."""
        unpaired = self._schedule.is_unpaired(last)
        self._shared_health.push_sum.end_exchange(last, unpaired)
        if test:
            test.end_slot(consecutive=last == self._schedule.slot - 1, unpaired=unpaired)

    def message(self, test: SequentialTest | None) -> api.SendGossip | None:
        """Return the message for the partner of the current slot, or None if the agent is unpaired."""
        slot = self._schedule.slot
        partner = self._schedule.partner(slot)
        if partner == self._schedule.agent:
            return None
        totals = GossipMessage(*test.key, slot, test.totals).encode() if test else ""
        health = self._shared_health.build_message(slot, self._max_chars - 1 - len(totals))
        return api.SendGossip(partner, f"{totals} {health}")
