"""Index of operation keys to locations in the log: an open-addressing hash table in two flat arrays.

The index takes 23 to 46 bytes a key, and a dict more than twice as much (`frostfall bench power-loss` prints
both). It uses linear probing (Knuth, The Art of Computer Programming, volume 3, section 6.4, algorithm L).
Keys are 64-bit hashes, because consecutive keys would cluster. Two operations may have the same key: each has
a slot of its own, and a lookup returns the locations of both, so that the caller compares the names in the
log.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from typing import NamedTuple

from frostfall.storage.segment_codec import ANY_LOCATION, RecordState

MIN_SLOTS = 1 << 10
MAX_LOAD_FACTOR = 0.7  # share of used slots, tombstones included, from which the table is rebuilt
REBUILD_HEADROOM = 1.2  # capacity after a rebuild for a removal, as a multiple of the entries

_STATE_BITS = 3
_OFFSET_BITS = 32
_SEGMENT_SHIFT = _OFFSET_BITS + _STATE_BITS
_STATE_MASK = (1 << _STATE_BITS) - 1
_OFFSET_MASK = (1 << _OFFSET_BITS) - 1

# Record states indexed by value; an index access is several times as fast as a call of the enum.
_RECORD_STATES = tuple(sorted(RecordState))

# Contents of a slot without an entry. Packed locations are larger, because segments are numbered from 1.
_EMPTY = 0
_TOMBSTONE = 1


class RecordLocation(NamedTuple):
    """Location of a record in the log, and its state."""

    segment: int
    offset: int  # bytes from the start of the segment
    state: RecordState


def pack_location(segment: int, offset: int, state: RecordState) -> int:
    """Pack a location into one integer of at most 64 bits."""
    return segment << _SEGMENT_SHIFT | offset << _STATE_BITS | state


def unpack_location(location: int) -> RecordLocation:
    """Unpack a location that `pack_location` has packed."""
    return RecordLocation(
        location >> _SEGMENT_SHIFT,
        (location >> _STATE_BITS) & _OFFSET_MASK,
        _RECORD_STATES[location & _STATE_MASK],
    )


class RecordIndex:
    """Multimap from 64-bit keys to packed locations."""

    __slots__ = ("_count", "_keys", "_locations", "_mask", "_used_slots")

    def __init__(self) -> None:
        self._count = 0
        self._allocate(MIN_SLOTS)

    def __len__(self) -> int:
        """Return the number of locations."""
        return self._count

    def get(self, key: int) -> list[int]:
        """Return all packed locations of a key; most keys have none or one."""
        keys, locations, mask = self._keys, self._locations, self._mask
        found = []
        slot = key & mask
        while (location := locations[slot]) != _EMPTY:
            if location != _TOMBSTONE and keys[slot] == key:
                found.append(location)
            slot = (slot + 1) & mask
        return found

    def items(self) -> Iterator[tuple[int, int]]:
        """Iterate over all keys and packed locations, in no particular order."""
        for key, location in zip(self._keys, self._locations):
            if location > _TOMBSTONE:
                yield key, location

    def add(self, key: int, location: int) -> None:
        """Add a location to a key."""
        if self._used_slots >= self._mask * MAX_LOAD_FACTOR:
            self._grow()
        locations, mask = self._locations, self._mask
        slot = key & mask
        while locations[slot] != _EMPTY:
            slot = (slot + 1) & mask
        self._keys[slot] = key
        locations[slot] = location
        self._used_slots += 1
        self._count += 1

    def replace(self, key: int, current: int, replacement: int) -> bool:
        """Replace one location of a key; return False if the key does not have it."""
        keys, locations, mask = self._keys, self._locations, self._mask
        slot = key & mask
        while (location := locations[slot]) != _EMPTY:
            if location == current and keys[slot] == key:
                locations[slot] = replacement
                return True
            slot = (slot + 1) & mask
        return False

    def remove(self, key: int, location: int) -> bool:
        """Remove one location of a key; return False if the key does not have it."""
        if not self.replace(key, location, _TOMBSTONE):
            return False
        self._count -= 1
        return True

    def apply(self, state: RecordState, key: int, previous: int, location: int) -> None:
        """Apply a record that replaces its key's previous location, which may be 0 (none) or ANY_LOCATION.

        A NOT_EXECUTED record removes the previous location without adding its own.
        """
        if previous == ANY_LOCATION:
            previous = next(iter(self.get(key)), 0)
        if state == RecordState.NOT_EXECUTED:
            if previous:
                self.remove(key, previous)
        elif not (previous and self.replace(key, previous, location)):
            self.add(key, location)

    def remove_before(self, segment: int) -> int:
        """Remove all locations in segments before this one and return their number."""
        min_location = segment << _SEGMENT_SHIFT
        old_count = self._count
        keys, locations = self._keys, self._locations
        self._count = sum(1 for location in locations if location >= min_location)
        slots = MIN_SLOTS
        while slots * MAX_LOAD_FACTOR <= self._count * REBUILD_HEADROOM:
            slots *= 2
        self._rebuild(keys, locations, slots, min_location)
        return old_count - self._count

    def _allocate(self, slots: int) -> None:
        self._keys = array("Q", (0,)) * slots
        self._locations = array("Q", (0,)) * slots
        self._mask = slots - 1
        self._used_slots = 0  # includes tombstones

    def _grow(self) -> None:
        """Rebuild without tombstones, with twice the slots unless most used slots were tombstones."""
        slots = self._mask + 1
        if self._count > slots * MAX_LOAD_FACTOR / 2:
            slots *= 2
        self._rebuild(self._keys, self._locations, slots, _TOMBSTONE + 1)

    def _rebuild(self, keys: array[int], locations: array[int], slots: int, min_location: int) -> None:
        """Insert the locations from `min_location` on into a new table with this number of slots."""
        self._allocate(slots)
        new_keys, new_locations, mask = self._keys, self._locations, self._mask
        for key, location in zip(keys, locations):
            if location >= min_location:
                slot = key & mask
                while new_locations[slot] != _EMPTY:
                    slot = (slot + 1) & mask
                new_keys[slot] = key
                new_locations[slot] = location
        self._used_slots = self._count
