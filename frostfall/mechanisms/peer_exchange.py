"""Exchanges with peers: the totals of the running test and the shared health of servers in one message."""

from __future__ import annotations

from frostfall import interface as api
from frostfall.interface import Microseconds
from frostfall.mechanisms.mixing import ExchangeSchedule
from frostfall.mechanisms.sequential_test import GossipMessage, SequentialTest
from frostfall.mechanisms.turn_synchronizer import TurnSynchronizer
from frostfall.shared_health.server_health import SharedHealth


class PeerExchange:
    """Sends and receives one message a turn."""

    __slots__ = ("_max_chars", "_schedule", "_shared_health", "_synchronizer")

    def __init__(self, schedule: ExchangeSchedule, shared_health: SharedHealth, *, max_chars: int) -> None:
        """Messages have so many characters at most."""
        self._schedule = schedule
        self._shared_health = shared_health
        self._max_chars = max_chars
        self._synchronizer = TurnSynchronizer(schedule)

    def receive(self, now: Microseconds, sender: int, text: str, test: SequentialTest | None) -> None:
        """Take in a message; one of another turn, partner, build or stage, or a malformed one, is dropped."""
        turn = self._schedule.turn
        totals, _, health = text.partition(" ")
        message = GossipMessage.decode(totals)
        is_partner = sender == self._schedule.partner(turn)
        if is_partner:
            self._shared_health.push_sum.receive(turn, health)
        if not (test and message and message.key == test.key):  # who follows another rollout has other turns
            return
        if is_partner and message.answers(test.key, turn):
            self._synchronizer.observe_partner(now, sender)
            test.received = message.totals
        else:
            self._synchronizer.observe(now, sender, message.turn)

    def end_turn(self, last: int, test: SequentialTest | None) -> None:
        """A turn has passed: what its partner has sent is taken into account."""
        unpaired = self._schedule.is_unpaired(last)
        self._shared_health.push_sum.end_exchange(last, unpaired)
        if test:
            test.end_turn(consecutive=last == self._schedule.turn - 1, unpaired=unpaired)

    def message(self, test: SequentialTest | None) -> api.SendGossip | None:
        """The message of this turn, or None where the agent has no partner."""
        turn = self._schedule.turn
        partner = self._schedule.partner(turn)
        if partner == self._schedule.agent:
            return None
        totals = GossipMessage(*test.key, turn, test.totals).encode() if test else ""
        health = self._shared_health.build_message(turn, self._max_chars - 1 - len(totals))
        return api.SendGossip(partner, f"{totals} {health}")
