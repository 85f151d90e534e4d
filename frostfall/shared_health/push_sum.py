"""Push-sum gossip of health counts: each agent exchanges with one partner a turn, and all learn the totals.

In a large fleet an agent sends a request to any one server rarely and forgets faster than it learns, while
all agents together learn of a fault within a second. The method is push-sum (Kempe, Dobra, Gehrke,
"Gossip-Based Computation of Aggregate Information", 2003): in each turn an agent keeps half of each entry of
its message and sends the other half, so that the sum over all agents is preserved and nothing is counted
twice. A message has only the heaviest entries; the others stay unchanged. New counts enter at the start of a
round, and totals are read at its end.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence, Set
from dataclasses import dataclass

from frostfall.shared_health.message_codec import (
    TURN_MASK,
    HealthCounts,
    HealthEntry,
    Key,
    decode_message,
    encode_message,
    key_kind,
)

MIN_WEIGHT = 2e-4  # attempts; a lighter entry is dropped: one failure's share in a fleet of thousands
MIN_SHARED_FAILURES = 1.5  # failures of all agents together from which an entry is sent
MAX_ENTRIES = 512  # entries kept: several times the servers of a large fleet
KEY_KINDS = 4
NO_COUNTS = HealthCounts()


@dataclass(slots=True)
class _Entry:
    mixing: HealthCounts = NO_COUNTS  # this agent's share in the round under way
    totals: HealthCounts = NO_COUNTS  # of all agents, as of the end of the last round
    # Own counts since the last round ended, which enter the mixing with the next one.
    new_attempts: float = 0.0
    new_failures: float = 0.0
    new_evidence: float = 0.0


class PushSum:
    """One agent's part in the gossip. It owns the entries by key and the exchange under way."""

    def __init__(self, agents: int, exchanges: int) -> None:
        """Take part among `agents` agents, with `exchanges` exchanges in a round."""
        self._agents = max(agents, 1)
        self._exchanges = exchanges
        self._entries: dict[Key, _Entry] = {}
        self._sent: dict[Key, HealthCounts] = {}
        self._sent_turn = -1
        self._received: dict[Key, HealthCounts] | None = None
        self._missed_exchanges = 0  # in this round

    def __len__(self) -> int:
        """The number of keys with an entry."""
        return len(self._entries)

    def record(self, key: Key, attempts: float, failures: float, evidence: float = 0.0) -> None:
        """Add this agent's own counts; evidence above zero counts as zero."""
        entry = self._entries.get(key)
        if entry is None:
            entry = self._entries[key] = _Entry()
        entry.new_attempts += attempts
        entry.new_failures += failures
        entry.new_evidence += min(evidence, 0.0)

    def totals(self, key: Key) -> HealthCounts:
        """Counts of all agents together, as of the end of the last round."""
        entry = self._entries.get(key)
        return entry.totals if entry else NO_COUNTS

    def build_message(
        self,
        turn: int,
        max_chars: int,
        min_failure_shares: Sequence[float] = (0.0,) * KEY_KINDS,
        persistent_keys: Set[Key] = frozenset(),
        max_persistent: int = MAX_ENTRIES,
    ) -> str:
        """Begin this turn's exchange; the message for its partner, of at most `max_chars` characters.

        The `max_persistent` heaviest persistent keys come first, from any failure on. Others follow if more
        than the share of their attempts that is given for their kind has failed.
        """
        # Evidence that is left out would be held against a score that is sent, so persistent keys go first.
        selected = self._heaviest_persistent(persistent_keys)[:max_persistent]
        selected += self._heaviest_others(min_failure_shares, persistent_keys)
        halves = [HealthEntry(entry.key, _half(entry.counts)) for entry in selected]
        text = encode_message(turn, halves, max_chars)
        # What leaves this agent is what the partner will decode, or rounding would lose a part of the sum.
        message = decode_message(text)
        self._sent = message.entries if message else {}
        self._sent_turn = turn
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

    def receive(self, turn: int, text: str) -> None:
        """Take the partner's message of this turn; one that is of another turn or unreadable is ignored."""
        message = decode_message(text)
        # Of another turn, it would be added although this agent's half of that exchange was never given away.
        if message and message.turn == turn & TURN_MASK and turn == self._sent_turn:
            self._received = message.entries

    def end_exchange(self, turn: int, unpaired: bool) -> None:
        """End this turn's exchange; `unpaired`: the schedule had no partner for this agent."""
        if self._received is None or turn != self._sent_turn:
            # The half that was sent to an absent partner stays here, or it would be lost to the sum.
            self._missed_exchanges += not unpaired
        else:
            self._subtract_sent()
            self._add_received(self._received)
        self._received = None
        self._sent_turn = -1

    def _subtract_sent(self) -> None:
        for key, half in self._sent.items():
            if entry := self._entries.get(key):  # it may have been discarded meanwhile
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
        """End a round: read the totals and let new counts enter the mixing.

        `retention` gives by kind the part of each entry that is kept; persistent keys are kept whole.
        """
        agents = self._mixed_agents()
        self._missed_exchanges = 0
        for key, entry in list(self._entries.items()):
            old = entry.mixing
            entry.totals = HealthCounts(old.attempts * agents, old.failures * agents, old.evidence * agents)
            kept = 1.0 if key in persistent_keys else retention[key_kind(key)]
            entry.mixing = HealthCounts(
                old.attempts * kept + entry.new_attempts,
                old.failures * kept + entry.new_failures,
                old.evidence * kept + entry.new_evidence,
            )
            entry.new_attempts = entry.new_failures = entry.new_evidence = 0.0
            # Where servers come and go all day, entries of servers that have left would accumulate.
            if key not in persistent_keys and max(entry.mixing.attempts, entry.mixing.failures) < MIN_WEIGHT:
                del self._entries[key]

    def _mixed_agents(self) -> float:
        """How many agents' counts this agent's share stands for; fewer than all where it missed exchanges."""
        if not self._missed_exchanges:
            return self._agents
        # An agent that is cut off holds its own counts only; multiplied by all agents they would be too many.
        return min(2.0 ** max(self._exchanges - self._missed_exchanges, 0), self._agents)

    def discard(self, keys: Iterable[Key]) -> None:
        """Drop the entries of these keys."""
        for key in keys:
            self._entries.pop(key, None)


def _half(counts: HealthCounts) -> HealthCounts:
    return HealthCounts(counts.attempts / 2, counts.failures / 2, counts.evidence / 2)


def _most_failures_first(entry: HealthEntry) -> float:
    return -entry.counts.failures
