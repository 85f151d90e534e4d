"""Digest tree over one owner's operations, for finding the operations that a member is missing.

The tree is a hash tree over prefixes of operation keys (Merkle, 1987). A node's digest is the sum of its
entries instead of a hash of its children (AdHash: Bellare and Micciancio, 1997). With sorted keys and running
totals, the digest of any node is one subtraction, so that no tree has to be updated when operations are added
or removed. Sums detect accidental differences, but no adversary. With a probability of 2^-48 for a node, they
hide that a replica is missing; it then stays missing until the next round.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from frostfall.storage.record_index import pack_location, unpack_location
from frostfall.storage.segment_codec import RecordState

KEY_BITS = 64  # bits of an operation key
KEY_BYTES = 8  # bytes of an operation key in a response
BITS_PER_LEVEL = 4  # bits of the key for each level of the tree
FANOUT = 16  # children of a node
MAX_DEPTH = 15  # levels below the root that have digests of their own
MAX_LEAF_ENTRIES = 16  # entries up to which a node's entries are fetched instead of its children
MAX_BULK_ENTRIES = 2048  # the same limit if this member has no entry below the node
MAX_QUERY_NODES = 512  # nodes in one query

_SUM_BYTES = 6  # bytes of a sum in a response
_COUNT_BYTES = 2  # bytes of a count in a response
_STATE_BYTES = 1  # bytes of an entry's state in a response
_CHILD_BYTES = _SUM_BYTES + _COUNT_BYTES  # bytes of a child's digest in a response
_ENTRY_BYTES = KEY_BYTES + _STATE_BYTES  # bytes of an entry in a response
_TOTAL_MASK = (1 << KEY_BITS) - 1  # running totals wrap at 64 bits
_SUM_MASK = (1 << 8 * _SUM_BYTES) - 1  # sums are sent modulo 2^48
_MAX_COUNT = (1 << 8 * _COUNT_BYTES) - 1  # larger counts are sent as this number


class DigestState(IntEnum):
    """State of an operation as members compare it; the values are sent between members."""

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


class TreeNode(NamedTuple):
    """A node, which stands for all keys whose first `depth` groups of bits are `prefix`."""

    depth: int
    prefix: int


class ChildDigest(NamedTuple):
    """The digest of one child of a node."""

    total: int  # sum of the entries, modulo 2^48
    entries: int  # number of entries, at most 65,535


class DigestEntry(NamedTuple):
    """One operation below a node."""

    key: int
    state: DigestState


class DigestTree:
    """Operation keys of one owner with their locations in this member's log.

    Each operation takes 24 bytes.
    """

    def __init__(self, locations: Mapping[int, int]) -> None:
        """Create a tree of packed locations by the key of the owner's operation name, not the replica's."""
        self._keys = array("Q", sorted(locations))
        self._locations = array("Q", (locations[key] for key in self._keys))
        self._totals = array("Q", (0,))
        total = 0
        for key, location in zip(self._keys, self._locations):
            total = (total + key * (2 * _digest_state(location) + 1)) & _TOTAL_MASK
            self._totals.append(total)

    def with_added(self, states: Mapping[int, RecordState]) -> DigestTree:
        """Return a tree with these restored operations added; their locations are left empty."""
        locations = dict(zip(self._keys, self._locations))
        locations.update((key, pack_location(0, 0, state)) for key, state in states.items())
        return DigestTree(locations)

    def __len__(self) -> int:
        """Return the number of operations."""
        return len(self._keys)

    def _first_position(self, depth: int, prefix: int) -> int:
        return bisect_left(self._keys, prefix << (KEY_BITS - BITS_PER_LEVEL * depth))

    def count(self, node: TreeNode) -> int:
        """Return the number of operations below a node."""
        depth, prefix = node
        return self._first_position(depth, prefix + 1) - self._first_position(depth, prefix)

    def children(self, node: TreeNode) -> list[ChildDigest]:
        """Return the digest of each child of a node, in order of prefixes."""
        digests = []
        first_child = node.prefix * FANOUT
        for child in range(first_child, first_child + FANOUT):
            low = self._first_position(node.depth + 1, child)
            high = self._first_position(node.depth + 1, child + 1)
            total = (self._totals[high] - self._totals[low]) & _SUM_MASK
            digests.append(ChildDigest(total, min(high - low, _MAX_COUNT)))
        return digests

    def entries(self, node: TreeNode) -> list[DigestEntry]:
        """Return all operations below a node, sorted by key."""
        depth, prefix = node
        positions = range(self._first_position(depth, prefix), self._first_position(depth, prefix + 1))
        return [
            DigestEntry(self._keys[position], _digest_state(self._locations[position]))
            for position in positions
        ]

    def location(self, key: int) -> int:
        """Return the packed location of a key's record; 0 if there is none."""
        position = bisect_left(self._keys, key)
        return self._locations[position] if position < len(self._keys) and self._keys[position] == key else 0

    def lacks(self, key: int, state: int) -> bool:
        """Return whether this tree lacks another member's entry, or that entry's SERVED state."""
        location = self.location(key)
        if not location:
            return True
        return state == DigestState.SERVED and _digest_state(location) is DigestState.MAY_HAVE_RUN


def _digest_state(location: int) -> DigestState:
    return DIGEST_STATES[unpack_location(location)[2]]


EMPTY_TREE = DigestTree({})


@dataclass(frozen=True, slots=True)
class DigestQuery:
    """Query for the digests of these nodes' children, or for all entries below the nodes."""

    wants_entries: bool
    depth: int
    prefixes: list[int]

    @property
    def nodes(self) -> Iterable[TreeNode]:
        """Return the queried nodes, which all have the same depth."""
        return (TreeNode(self.depth, prefix) for prefix in self.prefixes)


def answer_query(tree: DigestTree, query: DigestQuery) -> bytes:
    """Encode the response to a query; raises ValueError if the query has nodes that no tree can have."""
    max_depth = MAX_DEPTH + 1 if query.wants_entries else MAX_DEPTH
    if (
        len(query.prefixes) > MAX_QUERY_NODES
        or not 0 <= query.depth <= max_depth
        or any(not 0 <= prefix < FANOUT**query.depth for prefix in query.prefixes)
    ):
        raise ValueError("query has too many nodes, or nodes outside the tree")
    encoded: list[bytes] = []
    for node in query.nodes:
        if query.wants_entries:
            encoded += [_encode_entry(entry) for entry in tree.entries(node)]
        else:
            encoded += [_encode_child(child) for child in tree.children(node)]
    return b"".join(encoded)


def _encode_entry(entry: DigestEntry) -> bytes:
    return entry.key.to_bytes(KEY_BYTES, "big") + bytes((entry.state,))


def _encode_child(child: ChildDigest) -> bytes:
    return child.total.to_bytes(_SUM_BYTES, "big") + child.entries.to_bytes(_COUNT_BYTES, "big")


def _decode_child(data: bytes, offset: int) -> ChildDigest:
    count_offset = offset + _SUM_BYTES
    return ChildDigest(
        total=int.from_bytes(data[offset:count_offset], "big"),
        entries=int.from_bytes(data[count_offset : offset + _CHILD_BYTES], "big"),
    )


class TreeComparison:
    """Finds the keys that another member's tree has and this member's tree lacks, with few queries.

    The caller sends the query returned by `next_query` and passes the response to `handle_response`, until
    `next_query` returns None. `missing_keys` is filled in the process.
    """

    def __init__(self, own: DigestTree) -> None:
        """Start the comparison at the root."""
        self._own = own
        self._inner_nodes = [TreeNode(0, 0)]  # nodes whose children's digests are still to be fetched
        self._leaf_nodes: list[TreeNode] = []  # nodes whose entries are still to be fetched
        self.missing_keys: list[int] = []

    def next_query(self) -> DigestQuery | None:
        """Return the next query, for nodes at one depth; None if the comparison is complete."""
        if self._leaf_nodes:
            # The other tree may have MAX_BULK_ENTRIES entries below a node that has none here, so such nodes
            # are queried one at a time.
            is_bulk = self._own.count(self._leaf_nodes[0]) == 0
            return self._take_query(self._leaf_nodes, True, 1 if is_bulk else MAX_QUERY_NODES)
        if self._inner_nodes:
            return self._take_query(self._inner_nodes, False, MAX_QUERY_NODES)
        return None

    def _take_query(self, nodes: list[TreeNode], wants_entries: bool, limit: int) -> DigestQuery:
        """Remove up to `limit` nodes of the first node's depth from the list and return a query for them."""
        depth = nodes[0].depth
        taken = [node for node in nodes if node.depth == depth][:limit]
        taken_set = set(taken)
        nodes[:] = [node for node in nodes if node not in taken_set]
        return DigestQuery(wants_entries, depth, [node.prefix for node in taken])

    def handle_response(self, query: DigestQuery, data: bytes) -> None:
        """Process the response to a query; raises ValueError if its length does not match the query."""
        if query.wants_entries:
            self._handle_entries(data)
        else:
            self._handle_children(query, data)

    def _handle_entries(self, data: bytes) -> None:
        if len(data) % _ENTRY_BYTES:
            raise ValueError("length is not a multiple of the entry size")
        for offset in range(0, len(data), _ENTRY_BYTES):
            key = int.from_bytes(data[offset : offset + KEY_BYTES], "big")
            if self._own.lacks(key, data[offset + KEY_BYTES]):
                self.missing_keys.append(key)

    def _handle_children(self, query: DigestQuery, data: bytes) -> None:
        if len(data) != _CHILD_BYTES * FANOUT * len(query.prefixes):
            raise ValueError("length does not match the number of queried nodes")
        offset = 0
        for node in query.nodes:
            for child_prefix, own in enumerate(self._own.children(node), node.prefix * FANOUT):
                other = _decode_child(data, offset)
                offset += _CHILD_BYTES
                if other.entries and other != own:
                    child = TreeNode(node.depth + 1, child_prefix)
                    (self._leaf_nodes if _is_leaf(child, own, other) else self._inner_nodes).append(child)


def _is_leaf(node: TreeNode, own: ChildDigest, other: ChildDigest) -> bool:
    """Return whether a differing node's entries are fetched instead of its children's digests."""
    max_entries = MAX_LEAF_ENTRIES if own.entries else MAX_BULK_ENTRIES
    return other.entries <= max_entries or node.depth >= MAX_DEPTH
