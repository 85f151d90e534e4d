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

HEAD = struct.Struct("<HB")  # the turn, and how many entries have evidence, which come first
FULL, PLAIN = struct.Struct("<3s3B"), struct.Struct("<3s2B")  # a key and its numbers, as levels
LEVELS, UNIT = 12.0, 1e-4  # levels to a factor of e, above the least number told: steps of 8%, up to 17,000
LEAST = 2e-4  # an entry lighter than this is forgotten: a failure's share in a fleet of thousands
WORTH = 1.5  # failures of all agents together from which an entry is told
MOST = 512  # entries kept: some times the servers of a large fleet

Key = bytes
Numbers = tuple[float, float, float]


def key_of(kind: int, *parts: int) -> Key:
    """The key of a thing by its kind, up to 3, and the numbers that name it, the same at all agents."""
    number = crc32(struct.pack(f"<{len(parts)}q", *parts)) & 0x3FFFFF
    return (kind << 22 | number).to_bytes(3)


def kind_of(key: Key) -> int:
    """What kind of thing it names."""
    return key[0] >> 6


def level(number: float) -> int:
    """The level of a number, rounded down: what is told is never more than there is."""
    return min(int(math.log(number / UNIT) * LEVELS) + 1, 255) if number > UNIT else 0


NUMBERS = (0.0, *(UNIT * math.exp(each / LEVELS) for each in range(255)))  # by level


def encode(turn: int, entries: Iterable[tuple[Key, Numbers]], room: int) -> str:
    """As many of the entries as go into so many characters."""
    full, plain, most = bytearray(), bytearray(), room // 5 * 4 - HEAD.size
    for key, (tried, failed, evidence) in entries:
        if len(full) + len(plain) + (FULL if evidence else PLAIN).size > most or len(full) >= 255 * FULL.size:
            break
        if evidence:
            full += FULL.pack(key, level(tried), level(failed), level(-evidence))
        else:
            plain += PLAIN.pack(key, level(tried), level(failed))
    return b85encode(HEAD.pack(turn & 0xFFFF, len(full) // FULL.size) + full + plain).decode()


def decode(text: str) -> tuple[int, dict[Key, Numbers]] | None:
    """The turn and the entries, or None where the text is none of ours."""
    try:
        data = b85decode(text)
        turn, count = HEAD.unpack_from(data)
        border = HEAD.size + count * FULL.size
        if len(data) < border:
            return None
        entries = {
            key: (NUMBERS[a], NUMBERS[b], -NUMBERS[c])
            for key, a, b, c in FULL.iter_unpack(data[HEAD.size : border])
        }
        entries |= {key: (NUMBERS[a], NUMBERS[b], 0.0) for key, a, b in PLAIN.iter_unpack(data[border:])}
    except (ValueError, struct.error):
        return None
    return turn, entries


@dataclass(slots=True)
class _Entry:
    mix: list[float] = field(default_factory=lambda: [0.0] * 3)  # being mixed in this round
    fresh: list[float] = field(default_factory=lambda: [0.0] * 3)  # since the last step
    told: Numbers = (0.0, 0.0, 0.0)  # of all agents together, at the last step


class PushSum:
    """One agent's part: by key, tries, failures among them, and a sum of evidence, never above zero."""

    def __init__(self, agents: int, turns: int) -> None:
        """For so many agents, with so many exchanges in a round."""
        self._agents, self._turns = max(agents, 1), turns
        self._entries: dict[Key, _Entry] = {}
        self._offered: dict[Key, Numbers] = {}
        self._offered_in = -1
        self._heard: dict[Key, Numbers] | None = None
        self._missed = 0

    def __len__(self) -> int:
        """How many keys something is known of."""
        return len(self._entries)

    def note(self, key: Key, tried: float, failed: float, evidence: float = 0.0) -> None:
        """Something of this agent's own."""
        fresh = self._entries.setdefault(key, _Entry()).fresh
        fresh[0] += tried
        fresh[1] += failed
        fresh[2] += min(evidence, 0.0)

    def pooled(self, key: Key) -> Numbers:
        """Tries, failures and evidence of all agents together, as of the last step."""
        entry = self._entries.get(key)
        return entry.told if entry else (0.0, 0.0, 0.0)

    def offer(
        self,
        turn: int,
        room: int,
        part: Sequence[float] = (0.0,) * 4,
        lasting: Set[Key] = frozenset(),
        most: int = MOST,
    ) -> str:
        """What is told to this turn's partner, in so many characters.

        Of lasting keys so many are told, the heaviest, from any failure on; others, by kind, if more than a
        part of their tries failed.
        """
        # Danger: with a full list of what fails a little everywhere, what fails most must not be left out;
        # and evidence that is not told would be held against a score that is.
        worth = WORTH / self._agents
        first = sorted(
            (
                (key, mix)
                for key in lasting
                if (entry := self._entries.get(key)) and (mix := entry.mix)[1] > LEAST
            ),
            key=lambda item: -item[1][1],
        )
        heavy = sorted(
            (
                (key, each.mix)
                for key, each in self._entries.items()
                if key not in lasting and each.mix[1] > max(worth, part[kind_of(key)] * each.mix[0])
            ),
            key=lambda item: -item[1][1],
        )
        heavy = first[:most] + heavy
        halves = [(key, (mix[0] / 2, mix[1] / 2, mix[2] / 2)) for key, mix in heavy]
        text = encode(turn, halves, room)
        _, listed = decode(text) or (turn, {})  # as rounded on its way, so that no part of it is lost
        self._offered, self._offered_in, self._heard = listed, turn, None
        return text

    def hear(self, turn: int, text: str) -> None:
        """What this turn's partner told; of another turn, or unreadable, it is dropped."""
        told = decode(text)
        # Danger: a message of another turn would be taken in beside a half that was kept.
        if told and told[0] == turn & 0xFFFF and turn == self._offered_in:
            self._heard = told[1]

    def turn_over(self, turn: int, alone: bool) -> None:
        """The turn has passed; `alone`: it had no partner for this agent."""
        if self._heard is None or turn != self._offered_in:
            # Danger: half of what was offered to a partner that is gone would be lost with it.
            self._missed += not alone
        else:
            for key, half in self._offered.items():
                if entry := self._entries.get(key):  # it may have been dropped meanwhile
                    entry.mix = [own - gone for own, gone in zip(entry.mix, half)]
            for key, half in self._heard.items():
                if key in self._entries or len(self._entries) < MOST:
                    mix = self._entries.setdefault(key, _Entry()).mix
                    mix[:] = [own + come for own, come in zip(mix, half)]
        self._heard, self._offered_in = None, -1

    def step(self, kept: Sequence[float], lasting: Set[Key] = frozenset()) -> None:
        """A round ends: read what was mixed, let in what is new; of all but lasting keys a part is kept."""
        # Danger: one that is cut off has its own numbers alone; as the mean of all they would be too many.
        known = min(2.0 ** max(self._turns - self._missed, 0), self._agents) if self._missed else self._agents
        self._missed = 0
        for key, each in list(self._entries.items()):
            each.told = (each.mix[0] * known, each.mix[1] * known, each.mix[2] * known)
            part = 1.0 if key in lasting else kept[kind_of(key)]
            each.mix = [old * part + new for old, new in zip(each.mix, each.fresh)]
            each.fresh = [0.0] * 3
            # Danger: where servers come and go all day, what is kept of each would add up.
            if key not in lasting and max(each.mix[0], each.mix[1]) < LEAST:
                del self._entries[key]

    def drop(self, keys: Iterable[Key]) -> None:
        """Forget these."""
        for key in keys:
            self._entries.pop(key, None)
