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

FANOUT, BITS_PER_LEVEL, MAX_DEPTH = (
    16,
    4,
    15,
)  # children of a node, bits of a key that they take, and how far that goes
MAX_LEAF_ENTRIES = 16  # entries of a node that are told one by one instead of by further sums
MAX_BULK_ENTRIES = 2048  # the same where nothing of the node is here
MAX_QUERY_NODES = 512  # nodes in one question
_SUM, _MASK, _SUM_MASK = 6, (1 << 64) - 1, (1 << 48) - 1  # bytes of a sum that are sent
_CHILD, _ENTRY = _SUM + 2, 9  # bytes of a child's sum and count, of a key and mark
_COUNT_MOST = 0xFFFF


class DigestState(IntEnum):
    """What counts of an operation's state between members."""

    MAY_HAVE_RUN = 1
    SERVED = 2
    FENCED = 3


DIGEST_STATES = {
    RecordState.OPEN: DigestState.MAY_HAVE_RUN,
    RecordState.FAILED: DigestState.MAY_HAVE_RUN,
    RecordState.OUTCOME_UNKNOWN: DigestState.MAY_HAVE_RUN,
    RecordState.SERVED: DigestState.SERVED,
    RecordState.FENCED: DigestState.FENCED,
}


class DigestTree:
    """Keys with their places in this member's log; 24 bytes an operation."""

    def __init__(self, locations: Mapping[int, int]) -> None:
        """By the key of the operation's own name, whoever holds it."""
        self._keys = array("Q", sorted(locations))
        self._places = array("Q", (locations[key] for key in self._keys))
        self._totals, total = array("Q", (0,)), 0
        for key, place in zip(self._keys, self._places):
            total = (total + key * (2 * DIGEST_STATES[unpack_location(place)[2]] + 1)) & _MASK
            self._totals.append(total)

    def with_added(self, states: Mapping[int, RecordState]) -> DigestTree:
        """The same with what was taken over meanwhile, whose places do not matter."""
        places = dict(zip(self._keys, self._places))
        places.update((key, pack_location(0, 0, state)) for key, state in states.items())
        return DigestTree(places)

    def __len__(self) -> int:
        """How many there are."""
        return len(self._keys)

    def _span(self, depth: int, prefix: int) -> tuple[int, int]:
        shift = 64 - BITS_PER_LEVEL * depth
        return bisect_left(self._keys, prefix << shift), bisect_left(self._keys, (prefix + 1) << shift)

    def count(self, depth: int, prefix: int) -> int:
        """How many keys begin with this prefix."""
        low, high = self._span(depth, prefix)
        return high - low

    def children(self, depth: int, prefix: int) -> list[tuple[int, int]]:
        """Sum and count of each child of a node."""
        found = []
        for child in range(prefix * FANOUT, prefix * FANOUT + FANOUT):
            low, high = self._span(depth + 1, child)
            total = (self._totals[high] - self._totals[low]) & _SUM_MASK
            found.append((total, min(high - low, _COUNT_MOST)))
        return found

    def entries(self, depth: int, prefix: int) -> list[tuple[int, int]]:
        """Key and mark of all under a node."""
        low, high = self._span(depth, prefix)
        return [
            (self._keys[at], DIGEST_STATES[unpack_location(self._places[at])[2]]) for at in range(low, high)
        ]

    def location(self, key: int) -> int:
        """Where a key's record stands; 0 where there is none."""
        at = bisect_left(self._keys, key)
        return self._places[at] if at < len(self._keys) and self._keys[at] == key else 0

    def lacks(self, key: int, state: int) -> bool:
        """Whether another's entry says more than is known here."""
        place = self.location(key)
        return not place or (
            state == DigestState.SERVED
            and DIGEST_STATES[unpack_location(place)[2]] is DigestState.MAY_HAVE_RUN
        )


EMPTY_TREE = DigestTree({})


@dataclass(frozen=True, slots=True)
class DigestQuery:
    """Sums of these nodes' children, or all entries under them."""

    wants_entries: bool
    depth: int
    prefixes: list[int]


def answer_query(tree: DigestTree, query: DigestQuery) -> bytes:
    """What a question is answered with; ValueError for one that no comparison asks."""
    most = MAX_DEPTH + 1 if query.wants_entries else MAX_DEPTH
    if (
        len(query.prefixes) > MAX_QUERY_NODES
        or not 0 <= query.depth <= most
        or any(not 0 <= prefix < FANOUT**query.depth for prefix in query.prefixes)
    ):
        raise ValueError("not a node of the tree")
    parts = []
    for prefix in query.prefixes:
        if query.wants_entries:
            parts += [
                key.to_bytes(8, "big") + bytes((mark,)) for key, mark in tree.entries(query.depth, prefix)
            ]
        else:
            parts += [
                total.to_bytes(_SUM, "big") + count.to_bytes(2, "big")
                for total, count in tree.children(query.depth, prefix)
            ]
    return b"".join(parts)


class TreeComparison:
    """Finds what another's catalogue has and one's own lacks, by few questions.

    Ask `question`, hand in what came with `answered`, until there is none; `lacking` grows meanwhile.
    """

    def __init__(self, own: DigestTree) -> None:
        """Nothing is known of the other one yet."""
        self._own = own
        self._sums: list[tuple[int, int]] = [(0, 0)]  # nodes whose children's sums are to be asked for
        self._leaves: list[tuple[int, int]] = []  # nodes whose entries are
        self.missing_keys: list[int] = []  # keys

    def next_query(self) -> DigestQuery | None:
        """The next one, of nodes of one depth; None where all is known."""
        for nodes, entries in ((self._leaves, True), (self._sums, False)):
            if nodes:
                depth = nodes[0][0]
                # Danger: a node with nothing of it here may stand for many entries.
                most = 1 if entries and self._own.count(*nodes[0]) == 0 else MAX_QUERY_NODES
                asked = [node for node in nodes if node[0] == depth][:most]
                taken = set(asked)
                nodes[:] = [node for node in nodes if node not in taken]
                return DigestQuery(entries, depth, [prefix for _, prefix in asked])
        return None

    def handle_response(self, query: DigestQuery, data: bytes) -> None:
        """Take an answer in; ValueError where it is none to this question."""
        if query.wants_entries:
            if len(data) % _ENTRY:
                raise ValueError("entries of another length")
            for at in range(0, len(data), _ENTRY):
                key = int.from_bytes(data[at : at + 8], "big")
                if self._own.lacks(key, data[at + 8]):
                    self.missing_keys.append(key)
            return
        if len(data) != _CHILD * FANOUT * len(query.prefixes):
            raise ValueError("sums of another length")
        at = 0
        for prefix in query.prefixes:
            for child, mine in enumerate(self._own.children(query.depth, prefix), prefix * FANOUT):
                total = int.from_bytes(data[at : at + _SUM], "big")
                count = int.from_bytes(data[at + _SUM : at + _CHILD], "big")
                at += _CHILD
                if count and (total, count) != mine:
                    leaf = (
                        count <= MAX_LEAF_ENTRIES
                        or (mine[1] == 0 and count <= MAX_BULK_ENTRIES)
                        or query.depth + 1 >= MAX_DEPTH
                    )
                    (self._leaves if leaf else self._sums).append((query.depth + 1, child))
