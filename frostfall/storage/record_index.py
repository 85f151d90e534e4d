"""An index of keys to places in the log: open addressing in flat arrays, 23 to 46 bytes a key.

A dict of the same takes over twice as much; `frostfall bench power-loss` measures both. Linear probing
after Knuth, The Art of Computer Programming 3, 6.4, algorithm L: keys are hashes, as keys in a row would
pile up. Two names may share a key of 64 bits: each has a slot of its own, and who looks up is given all of
them, to compare the names in the log.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator

from frostfall.storage.segment_codec import RecordState

MIN_SLOTS = 1 << 10  # slots
MAX_LOAD_FACTOR = 0.7  # of the slots, graves included, from which the table grows or is laid anew
_STATE, _OFFSET = 3, 32  # bits
_EMPTY, _GRAVE = 0, 1  # of a place; every place in use has a segment from 1 on


def pack_location(segment: int, offset: int, state: RecordState) -> int:
    """A place in the log and a state as one number."""
    return segment << (_OFFSET + _STATE) | offset << _STATE | state


def unpack_location(location: int) -> tuple[int, int, RecordState]:
    """Segment, offset and state of a place."""
    return (
        location >> (_OFFSET + _STATE),
        (location >> _STATE) & ((1 << _OFFSET) - 1),
        RecordState(location & ((1 << _STATE) - 1)),
    )


class RecordIndex:
    """Keys of 64 bits, each with one or more places."""

    __slots__ = ("_keys", "_mask", "_places", "_used", "count")

    def __init__(self) -> None:
        """Without a key."""
        self.count = 0
        self._lay(MIN_SLOTS)

    def __len__(self) -> int:
        """How many places there are."""
        return self.count

    def _lay(self, slots: int) -> None:
        self._keys, self._places = array("Q", (0,)) * slots, array("Q", (0,)) * slots
        self._mask, self._used = slots - 1, 0

    def get(self, key: int) -> list[int]:
        """All places of a key, most often none or one."""
        keys, places, mask = self._keys, self._places, self._mask
        found, slot = [], key & mask
        while (place := places[slot]) != _EMPTY:
            if place != _GRAVE and keys[slot] == key:
                found.append(place)
            slot = (slot + 1) & mask
        return found

    def add(self, key: int, location: int) -> None:
        """One more place of a key."""
        if self._used >= self._mask * MAX_LOAD_FACTOR:
            self._grow()
        places, mask = self._places, self._mask
        slot = key & mask
        while places[slot] != _EMPTY:
            slot = (slot + 1) & mask
        self._keys[slot], places[slot] = key, location
        self._used += 1
        self.count += 1

    def replace(self, key: int, current: int, replacement: int) -> bool:
        """Put a place instead of another; False where the key has not got that one."""
        keys, places, mask = self._keys, self._places, self._mask
        slot = key & mask
        while (place := places[slot]) != _EMPTY:
            if place == current and keys[slot] == key:
                places[slot] = replacement
                return True
            slot = (slot + 1) & mask
        return False

    def remove(self, key: int, location: int) -> bool:
        """Forget a place; False where the key has not got it."""
        if not self.replace(key, location, _GRAVE):
            return False
        self.count -= 1
        return True

    def items(self) -> Iterator[tuple[int, int]]:
        """All keys with their places."""
        for key, place in zip(self._keys, self._places):
            if place > _GRAVE:
                yield key, place

    def remove_before(self, segment: int) -> int:
        """Forget all places in segments before this one; how many there were."""
        floor, before = segment << (_OFFSET + _STATE), self.count
        keys, places = self._keys, self._places
        self.count = sum(1 for place in places if place >= floor)
        slots = MIN_SLOTS
        while slots * MAX_LOAD_FACTOR <= self.count * 1.2:
            slots *= 2
        self._refill(keys, places, slots, floor)
        return before - self.count

    def _grow(self) -> None:
        slots = self._mask + 1
        if self.count > slots * MAX_LOAD_FACTOR / 2:  # else graves fill it
            slots *= 2
        self._refill(self._keys, self._places, slots, _GRAVE + 1)

    def _refill(self, keys: array[int], places: array[int], slots: int, floor: int) -> None:
        self._lay(slots)
        new_keys, new_places, mask = self._keys, self._places, self._mask
        for key, place in zip(keys, places):
            if place >= floor:
                slot = key & mask
                while new_places[slot] != _EMPTY:
                    slot = (slot + 1) & mask
                new_keys[slot], new_places[slot] = key, place
        self._used = self.count
