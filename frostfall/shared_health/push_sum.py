"""Counts that agents pool by exchanging in pairs, kept only for what is worth telling.

In a large fleet each agent asks a server now and then and forgets faster than it learns. What all agents saw
of it together is plain within a second. The method is push-sum (Kempe, Dobra, Gehrke, "Gossip-Based
Computation of Aggregate Information", 2003): in each turn an agent keeps half of what it lists and sends the
other half, so that the sum over all agents stays the same and nothing counts twice. A list holds the heaviest
entries alone; what is not listed stays where it is. As in the test, what is new is let in at the start of a
round and read at its end.
"""

from __future__ import annotations

import math
import struct
from base64 import b85decode, b85encode
from collections.abc import Iterable, Sequence, Set
from dataclasses import dataclass, field
from zlib import crc32

HEADER = struct.Struct("<HB")  # the turn, and how many entries have evidence, which come first
EVIDENCE_ENTRY, PLAIN_ENTRY = (
    struct.Struct("<3s3B"),
    struct.Struct("<3s2B"),
)  # a key and its numbers, as levels
LEVELS_PER_E_FOLD, SMALLEST_VALUE = (
    12.0,
    1e-4,
)  # levels to a factor of e, above the least number told: steps of 8%, up to 17,000
MIN_WEIGHT = 2e-4  # an entry lighter than this is forgotten: a failure's share in a fleet of thousands
MIN_SHARED_FAILURES = 1.5  # failures of all agents together from which an entry is told
MAX_ENTRIES = 512  # entries kept: some times the servers of a large fleet

Key = bytes
HealthCounts = tuple[float, float, float]


def make_key(kind: int, *parts: int) -> Key:
    """The key of a thing by its kind, up to 3, and the numbers that name it, the same at all agents."""
    number = crc32(struct.pack(f"<{len(parts)}q", *parts)) & 0x3FFFFF
    return (kind << 22 | number).to_bytes(3)


def key_kind(key: Key) -> int:
    """What kind of thing it names."""
    return key[0] >> 6


def quantize(number: float) -> int:
    """The level of a number, rounded down: what is told is never more than there is."""
    return (
        min(int(math.log(number / SMALLEST_VALUE) * LEVELS_PER_E_FOLD) + 1, 255)
        if number > SMALLEST_VALUE
        else 0
    )


VALUE_BY_LEVEL = (
    0.0,
    *(SMALLEST_VALUE * math.exp(each / LEVELS_PER_E_FOLD) for each in range(255)),
)  # by level


def encode_message(turn: int, entries: Iterable[tuple[Key, HealthCounts]], max_chars: int) -> str:
    """As many of the entries as go into so many characters."""
    full, plain, most = bytearray(), bytearray(), max_chars // 5 * 4 - HEADER.size
    for key, (tried, failed, evidence) in entries:
        if (
            len(full) + len(plain) + (EVIDENCE_ENTRY if evidence else PLAIN_ENTRY).size > most
            or len(full) >= 255 * EVIDENCE_ENTRY.size
        ):
            break
        if evidence:
            full += EVIDENCE_ENTRY.pack(key, quantize(tried), quantize(failed), quantize(-evidence))
        else:
            plain += PLAIN_ENTRY.pack(key, quantize(tried), quantize(failed))
    return b85encode(HEADER.pack(turn & 0xFFFF, len(full) // EVIDENCE_ENTRY.size) + full + plain).decode()


def decode_message(text: str) -> tuple[int, dict[Key, HealthCounts]] | None:
    """The turn and the entries, or None where the text is none of ours."""
    try:
        data = b85decode(text)
        turn, count = HEADER.unpack_from(data)
        border = HEADER.size + count * EVIDENCE_ENTRY.size
        if len(data) < border:
            return None
        entries = {
            key: (VALUE_BY_LEVEL[a], VALUE_BY_LEVEL[b], -VALUE_BY_LEVEL[c])
            for key, a, b, c in EVIDENCE_ENTRY.iter_unpack(data[HEADER.size : border])
        }
        entries |= {
            key: (VALUE_BY_LEVEL[a], VALUE_BY_LEVEL[b], 0.0)
            for key, a, b in PLAIN_ENTRY.iter_unpack(data[border:])
        }
    except (ValueError, struct.error):
        return None
    return turn, entries


@dataclass(slots=True)
class _Entry:
    mix: list[float] = field(default_factory=lambda: [0.0] * 3)  # being mixed in this round
    fresh: list[float] = field(default_factory=lambda: [0.0] * 3)  # since the last step
    told: HealthCounts = (0.0, 0.0, 0.0)  # of all agents together, at the last step


class PushSum:
    """One agent's part: by key, tries, failures among them, and a sum of evidence, never above zero."""

    def __init__(self, agents: int, turns: int) -> None:
        """For so many agents, with so many exchanges in a round."""
        self._agents, self._turns = max(agents, 1), turns
        self._entries: dict[Key, _Entry] = {}
        self._offered: dict[Key, HealthCounts] = {}
        self._offered_in = -1
        self._heard: dict[Key, HealthCounts] | None = None
        self._missed = 0

    def __len__(self) -> int:
        """How many keys something is known of."""
        return len(self._entries)

    def record(self, key: Key, attempts: float, failures: float, evidence: float = 0.0) -> None:
        """Something of this agent's own."""
        fresh = self._entries.setdefault(key, _Entry()).fresh
        fresh[0] += attempts
        fresh[1] += failures
        fresh[2] += min(evidence, 0.0)

    def totals(self, key: Key) -> HealthCounts:
        """Tries, failures and evidence of all agents together, as of the last step."""
        entry = self._entries.get(key)
        return entry.told if entry else (0.0, 0.0, 0.0)

    def build_message(
        self,
        turn: int,
        max_chars: int,
        min_failure_shares: Sequence[float] = (0.0,) * 4,
        persistent_keys: Set[Key] = frozenset(),
        max_persistent: int = MAX_ENTRIES,
    ) -> str:
        """What is told to this turn's partner, in so many characters.

        Of lasting keys so many are told, the heaviest, from any failure on; others, by kind, if more than a
        part of their tries failed.
        """
        # Danger: with a full list of what fails a little everywhere, what fails most must not be left out;
        # and evidence that is not told would be held against a score that is.
        worth = MIN_SHARED_FAILURES / self._agents
        first = sorted(
            (
                (key, mix)
                for key in persistent_keys
                if (entry := self._entries.get(key)) and (mix := entry.mix)[1] > MIN_WEIGHT
            ),
            key=lambda item: -item[1][1],
        )
        heavy = sorted(
            (
                (key, each.mix)
                for key, each in self._entries.items()
                if key not in persistent_keys
                and each.mix[1] > max(worth, min_failure_shares[key_kind(key)] * each.mix[0])
            ),
            key=lambda item: -item[1][1],
        )
        heavy = first[:max_persistent] + heavy
        halves = [(key, (mix[0] / 2, mix[1] / 2, mix[2] / 2)) for key, mix in heavy]
        text = encode_message(turn, halves, max_chars)
        _, listed = decode_message(text) or (turn, {})  # as rounded on its way, so that no part of it is lost
        self._offered, self._offered_in, self._heard = listed, turn, None
        return text

    def receive(self, turn: int, text: str) -> None:
        """What this turn's partner told; of another turn, or unreadable, it is dropped."""
        told = decode_message(text)
        # Danger: a message of another turn would be taken in beside a half that was kept.
        if told and told[0] == turn & 0xFFFF and turn == self._offered_in:
            self._heard = told[1]

    def end_exchange(self, turn: int, unpaired: bool) -> None:
        """The turn has passed; `alone`: it had no partner for this agent."""
        if self._heard is None or turn != self._offered_in:
            # Danger: half of what was offered to a partner that is gone would be lost with it.
            self._missed += not unpaired
        else:
            for key, half in self._offered.items():
                if entry := self._entries.get(key):  # it may have been dropped meanwhile
                    entry.mix = [own - gone for own, gone in zip(entry.mix, half)]
            for key, half in self._heard.items():
                if key in self._entries or len(self._entries) < MAX_ENTRIES:
                    mix = self._entries.setdefault(key, _Entry()).mix
                    mix[:] = [own + come for own, come in zip(mix, half)]
        self._heard, self._offered_in = None, -1

    def end_round(self, retention: Sequence[float], persistent_keys: Set[Key] = frozenset()) -> None:
        """A round ends: read what was mixed, let in what is new; of all but lasting keys a part is kept."""
        # Danger: one that is cut off has its own numbers alone; as the mean of all they would be too many.
        known = min(2.0 ** max(self._turns - self._missed, 0), self._agents) if self._missed else self._agents
        self._missed = 0
        for key, each in list(self._entries.items()):
            each.told = (each.mix[0] * known, each.mix[1] * known, each.mix[2] * known)
            part = 1.0 if key in persistent_keys else retention[key_kind(key)]
            each.mix = [old * part + new for old, new in zip(each.mix, each.fresh)]
            each.fresh = [0.0] * 3
            # Danger: where servers come and go all day, what is kept of each would add up.
            if key not in persistent_keys and max(each.mix[0], each.mix[1]) < MIN_WEIGHT:
                del self._entries[key]

    def discard(self, keys: Iterable[Key]) -> None:
        """Forget these."""
        for key in keys:
            self._entries.pop(key, None)
