"""What a record holds of an owner's operations, as two members compare it: sums over ranges of keys.

A hash tree over the keys' sixteen-fold prefixes (after Merkle, 1987), whose nodes are sums of entries instead
of hashes of children (AdHash: Bellare and Micciancio, 1997): over sorted keys with running totals any node is
one difference, so nothing is kept up while operations come and go. Sums tell accidents apart, not an
adversary; a difference that they hide (one in 2^48 a node) is a copy that is missing until the next round.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum

from frostfall.storage.record_index import pack_location, unpack_location
from frostfall.storage.segment_codec import RecordState

FAN, BITS, DEEPEST = 16, 4, 15  # children of a node, bits of a key that they take, and how far that goes
LEAF = 16  # entries of a node that are told one by one instead of by further sums
BULK = 2048  # the same where nothing of the node is here
ASKED_MOST = 512  # nodes in one question
_SUM, _MASK, _SUM_MASK = 6, (1 << 64) - 1, (1 << 48) - 1  # bytes of a sum that are sent
_CHILD, _ENTRY = _SUM + 2, 9  # bytes of a child's sum and count, of a key and mark
_COUNT_MOST = 0xFFFF


class Mark(IntEnum):
    """What counts of an operation's state between members."""

    MAY_HAVE_RUN = 1
    SERVED = 2
    FENCED = 3


MARKS = {
    RecordState.OPEN: Mark.MAY_HAVE_RUN,
    RecordState.FAILED: Mark.MAY_HAVE_RUN,
    RecordState.OUTCOME_UNKNOWN: Mark.MAY_HAVE_RUN,
    RecordState.SERVED: Mark.SERVED,
    RecordState.FENCED: Mark.FENCED,
}


class Catalogue:
    """Keys with their places in this member's log; 24 bytes an operation."""

    def __init__(self, places: Mapping[int, int]) -> None:
        """By the key of the operation's own name, whoever holds it."""
        self._keys = array("Q", sorted(places))
        self._places = array("Q", (places[key] for key in self._keys))
        self._totals, total = array("Q", (0,)), 0
        for key, place in zip(self._keys, self._places):
            total = (total + key * (2 * MARKS[unpack_location(place)[2]] + 1)) & _MASK
            self._totals.append(total)

    def with_more(self, states: Mapping[int, RecordState]) -> Catalogue:
        """The same with what was taken over meanwhile, whose places do not matter."""
        places = dict(zip(self._keys, self._places))
        places.update((key, pack_location(0, 0, state)) for key, state in states.items())
        return Catalogue(places)

    def __len__(self) -> int:
        """How many there are."""
        return len(self._keys)

    def _span(self, depth: int, prefix: int) -> tuple[int, int]:
        shift = 64 - BITS * depth
        return bisect_left(self._keys, prefix << shift), bisect_left(self._keys, (prefix + 1) << shift)

    def count(self, depth: int, prefix: int) -> int:
        """How many keys begin with this prefix."""
        low, high = self._span(depth, prefix)
        return high - low

    def children(self, depth: int, prefix: int) -> list[tuple[int, int]]:
        """Sum and count of each child of a node."""
        found = []
        for child in range(prefix * FAN, prefix * FAN + FAN):
            low, high = self._span(depth + 1, child)
            total = (self._totals[high] - self._totals[low]) & _SUM_MASK
            found.append((total, min(high - low, _COUNT_MOST)))
        return found

    def entries(self, depth: int, prefix: int) -> list[tuple[int, int]]:
        """Key and mark of all under a node."""
        low, high = self._span(depth, prefix)
        return [(self._keys[at], MARKS[unpack_location(self._places[at])[2]]) for at in range(low, high)]

    def place(self, key: int) -> int:
        """Where a key's record stands; 0 where there is none."""
        at = bisect_left(self._keys, key)
        return self._places[at] if at < len(self._keys) and self._keys[at] == key else 0

    def lacks(self, key: int, mark: int) -> bool:
        """Whether another's entry says more than is known here."""
        place = self.place(key)
        return not place or (mark == Mark.SERVED and MARKS[unpack_location(place)[2]] is Mark.MAY_HAVE_RUN)


EMPTY = Catalogue({})


@dataclass(frozen=True, slots=True)
class Question:
    """Sums of these nodes' children, or all entries under them."""

    entries: bool
    depth: int
    prefixes: list[int]


def answer(catalogue: Catalogue, question: Question) -> bytes:
    """What a question is answered with; ValueError for one that no comparison asks."""
    most = DEEPEST + 1 if question.entries else DEEPEST
    if (
        len(question.prefixes) > ASKED_MOST
        or not 0 <= question.depth <= most
        or any(not 0 <= prefix < FAN**question.depth for prefix in question.prefixes)
    ):
        raise ValueError("not a node of the tree")
    parts = []
    for prefix in question.prefixes:
        if question.entries:
            parts += [
                key.to_bytes(8, "big") + bytes((mark,))
                for key, mark in catalogue.entries(question.depth, prefix)
            ]
        else:
            parts += [
                total.to_bytes(_SUM, "big") + count.to_bytes(2, "big")
                for total, count in catalogue.children(question.depth, prefix)
            ]
    return b"".join(parts)


class Comparison:
    """Finds what another's catalogue has and one's own lacks, by few questions.

    Ask `question`, hand in what came with `answered`, until there is none; `lacking` grows meanwhile.
    """

    def __init__(self, own: Catalogue) -> None:
        """Nothing is known of the other one yet."""
        self._own = own
        self._sums: list[tuple[int, int]] = [(0, 0)]  # nodes whose children's sums are to be asked for
        self._leaves: list[tuple[int, int]] = []  # nodes whose entries are
        self.lacking: list[int] = []  # keys

    def question(self) -> Question | None:
        """The next one, of nodes of one depth; None where all is known."""
        for nodes, entries in ((self._leaves, True), (self._sums, False)):
            if nodes:
                depth = nodes[0][0]
                # Danger: a node with nothing of it here may stand for many entries.
                most = 1 if entries and self._own.count(*nodes[0]) == 0 else ASKED_MOST
                asked = [node for node in nodes if node[0] == depth][:most]
                taken = set(asked)
                nodes[:] = [node for node in nodes if node not in taken]
                return Question(entries, depth, [prefix for _, prefix in asked])
        return None

    def answered(self, question: Question, data: bytes) -> None:
        """Take an answer in; ValueError where it is none to this question."""
        if question.entries:
            if len(data) % _ENTRY:
                raise ValueError("entries of another length")
            for at in range(0, len(data), _ENTRY):
                key = int.from_bytes(data[at : at + 8], "big")
                if self._own.lacks(key, data[at + 8]):
                    self.lacking.append(key)
            return
        if len(data) != _CHILD * FAN * len(question.prefixes):
            raise ValueError("sums of another length")
        at = 0
        for prefix in question.prefixes:
            for child, mine in enumerate(self._own.children(question.depth, prefix), prefix * FAN):
                total = int.from_bytes(data[at : at + _SUM], "big")
                count = int.from_bytes(data[at + _SUM : at + _CHILD], "big")
                at += _CHILD
                if count and (total, count) != mine:
                    leaf = count <= LEAF or (mine[1] == 0 and count <= BULK) or question.depth + 1 >= DEEPEST
                    (self._leaves if leaf else self._sums).append((question.depth + 1, child))
