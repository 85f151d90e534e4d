"""Push-sum gossip of health counts: agents exchange messages in pairs, and all obtain the totals.

In a large fleet, one agent rarely sends requests to any given server, so that its own statistics decay faster
than they grow, while the counts of all agents together show a fault within a second. The method is push-sum
(Kempe, Dobra, Gehrke, "Gossip-Based Computation of Aggregate Information", 2003). Each agent exchanges
messages with one partner per slot. It keeps half of each entry of its message and sends the other half, so
that the sum over all agents is preserved and nothing is counted twice. A message has only the entries with
the most failures; the others stay unchanged. New counts enter at the start of a round, and totals are read at
its end.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence, Set
from dataclasses import dataclass

from frostfall.shared_health.message_codec import (
    SLOT_MASK,
    HealthCounts,
    HealthEntry,
    Key,
    decode_message,
    encode_message,
    key_kind,
)

MIN_WEIGHT = 2e-4  # attempts below which an entry is dropped: one failure's share in a fleet of thousands
MIN_SHARED_FAILURES = 1.5  # failures over all agents above which an entry is sent
MAX_ENTRIES = 512  # entries stored: several times the servers of a large fleet
KEY_KINDS = 4
NO_COUNTS = HealthCounts()


@dataclass(slots=True)
class _Entry:
    mixing: HealthCounts = NO_COUNTS  # this agent's share in the current round
    totals: HealthCounts = NO_COUNTS  # of all agents, as of the end of the last round
    # This agent's own counts since the end of the last round. They are added to `mixing` in the next round.
    new_attempts: float = 0.0
    new_failures: float = 0.0
    new_evidence: float = 0.0


class PushSum:
    """One agent's part in the gossip. It owns the entries by key and the state of the current exchange."""

    def __init__(self, agents: int, exchanges: int) -> None:
        """Start without counts, as one of `agents` agents with `exchanges` exchanges in a round."""
        self._agents = max(agents, 1)
        self._exchanges = exchanges
        self._entries: dict[Key, _Entry] = {}
        self._sent: dict[Key, HealthCounts] = {}
        self._sent_slot = -1
        self._received: dict[Key, HealthCounts] | None = None
        self._missed_exchanges = 0  # in this round

    def __len__(self) -> int:
        """Return the number of keys with an entry."""
        return len(self._entries)

    def record(self, key: Key, attempts: float, failures: float, evidence: float = 0.0) -> None:
        """Add counts of this agent's own; evidence above 0 counts as 0."""
        entry = self._entries.get(key)
        if entry is None:
            entry = self._entries[key] = _Entry()
        entry.new_attempts += attempts
        entry.new_failures += failures
        entry.new_evidence += min(evidence, 0.0)

    def totals(self, key: Key) -> HealthCounts:
        """Return the counts over all agents, as of the end of the last round."""
        entry = self._entries.get(key)
        return entry.totals if entry else NO_COUNTS

    def build_message(
        self,
        slot: int,
        max_chars: int,
        min_failure_shares: Sequence[float] = (0.0,) * KEY_KINDS,
        persistent_keys: Set[Key] = frozenset(),
        max_persistent: int = MAX_ENTRIES,
    ) -> str:
        """Begin the exchange of a slot, and return the message for the partner.

        The message has at most `max_chars` characters. The `max_persistent` persistent keys with the most
        failures come first; any failure qualifies. Other keys follow if the failed share of their attempts is
        above the minimum for their kind.
        """
        # Evidence on outliers that is missing from the message could not be excluded from the failure score,
        # which is always sent. Persistent keys therefore come first.
        selected = self._heaviest_persistent(persistent_keys)[:max_persistent]
        selected += self._heaviest_others(min_failure_shares, persistent_keys)
        halves = [HealthEntry(entry.key, _half(entry.counts)) for entry in selected]
        text = encode_message(slot, halves, max_chars)
        # The counts to subtract are those that the partner will decode, or rounding would lose a part of the
        # sum.
        message = decode_message(text)
        self._sent = message.entries if message else {}
        self._sent_slot = slot
        self._received = None
        return text

    def _heaviest_persistent(self, persistent_keys: Set[Key]) -> list[HealthEntry]:
        return sorted(
            (
                HealthEntry(key, entry.mixing)
                for key in persistent_keys
                if (entry := self._entries.get(key)) and entry.mixing.failures > MIN_WEIGHT
            ),
            key=_most_failures_first,
        )

    def _heaviest_others(
        self, min_failure_shares: Sequence[float], persistent_keys: Set[Key]
    ) -> list[HealthEntry]:
        min_failures = MIN_SHARED_FAILURES / self._agents
        selected = []
        for key, entry in self._entries.items():
            if key in persistent_keys:
                continue
            counts = entry.mixing
            if counts.failures > max(min_failures, min_failure_shares[key_kind(key)] * counts.attempts):
                selected.append(HealthEntry(key, counts))
        selected.sort(key=_most_failures_first)
        return selected

    def receive(self, slot: int, text: str) -> None:
        """Store the partner's message of this slot; a malformed one, or one of another slot, is ignored."""
        message = decode_message(text)
        # A message of another slot would be added although this agent's half of that exchange was not
        # subtracted.
        if message and message.slot == slot & SLOT_MASK and slot == self._sent_slot:
            self._received = message.entries

    def end_exchange(self, slot: int, unpaired: bool) -> None:
        """End the exchange of a slot; `unpaired` means that the schedule had no partner for this agent."""
        if self._received is None or slot != self._sent_slot:
            # The half that was sent to an absent partner is not subtracted, or it would be lost from the sum.
            self._missed_exchanges += not unpaired
        else:
            self._subtract_sent()
            self._add_received(self._received)
        self._received = None
        self._sent_slot = -1

    def _subtract_sent(self) -> None:
        for key, half in self._sent.items():
            if entry := self._entries.get(key):  # the key may have been discarded during the exchange
                own = entry.mixing
                entry.mixing = HealthCounts(
                    own.attempts - half.attempts,
                    own.failures - half.failures,
                    own.evidence - half.evidence,
                )

    def _add_received(self, received: dict[Key, HealthCounts]) -> None:
        for key, half in received.items():
            entry = self._entries.get(key)
            if entry is None:
                if len(self._entries) >= MAX_ENTRIES:
                    continue
                entry = self._entries[key] = _Entry()
            own = entry.mixing
            entry.mixing = HealthCounts(
                own.attempts + half.attempts,
                own.failures + half.failures,
                own.evidence + half.evidence,
            )

    def end_round(self, retention: Sequence[float], persistent_keys: Set[Key] = frozenset()) -> None:
        """End a round: update the totals and add new counts to the mixed ones.

        `retention` is, by key kind, the factor by which the mixed counts decay; persistent keys do not decay.
        """
        agents = self._mixed_agents()
        self._missed_exchanges = 0
        for key, entry in list(self._entries.items()):
            old = entry.mixing
            entry.totals = HealthCounts(old.attempts * agents, old.failures * agents, old.evidence * agents)
            factor = 1.0 if key in persistent_keys else retention[key_kind(key)]
            entry.mixing = HealthCounts(
                old.attempts * factor + entry.new_attempts,
                old.failures * factor + entry.new_failures,
                old.evidence * factor + entry.new_evidence,
            )
            entry.new_attempts = entry.new_failures = entry.new_evidence = 0.0
            # Entries of removed servers would otherwise accumulate, as servers come and go.
            if key not in persistent_keys and max(entry.mixing.attempts, entry.mixing.failures) < MIN_WEIGHT:
                del self._entries[key]

    def _mixed_agents(self) -> float:
        """Return how many agents' counts this agent's share represents: not all if it missed exchanges."""
        if not self._missed_exchanges:
            return self._agents
        # An isolated agent has only its own counts; multiplied by the number of all agents, they would be too
        # high.
        return min(2.0 ** max(self._exchanges - self._missed_exchanges, 0), self._agents)

    def discard(self, keys: Iterable[Key]) -> None:
        """Drop the entries of these keys."""
        for key in keys:
            self._entries.pop(key, None)


def _half(counts: HealthCounts) -> HealthCounts:
    return HealthCounts(counts.attempts / 2, counts.failures / 2, counts.evidence / 2)


def _most_failures_first(entry: HealthEntry) -> float:
    return -entry.counts.failures
