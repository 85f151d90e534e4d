"""A binary heap with an index of positions, so that any key can be removed or its priority changed.

Adding, changing and removing a key takes O(log n) steps, reading the first key O(1). With `heapq`, priorities
that change often would leave obsolete entries to clean up; a plain list would need a scan (measurements:
docs/design-slow-peers.md). After J. W. J. Williams, "Algorithm 232: Heapsort", CACM 7 (1964).
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
Priority = tuple[float, ...]


class IndexedHeap(Generic[Key]):
    """Keys by priority, the highest first; keys of equal priority in the order in which they were added."""

    __slots__ = ("_heap", "_next_order", "_positions")

    def __init__(self) -> None:
        """Begin empty."""
        # Plain tuples (priority, order, key), as comparisons far outnumber reads. Orders count down, so that
        # the earlier of two keys with equal priority compares greater.
        self._heap: list[tuple[Priority, int, Key]] = []
        self._positions: dict[Key, int] = {}
        self._next_order = 0

    def __len__(self) -> int:
        """The number of keys."""
        return len(self._heap)

    def __contains__(self, key: object) -> bool:
        """Return whether the key is in the heap."""
        return key in self._positions

    def __iter__(self) -> Iterator[Key]:
        """Iterate over all keys, in no particular order."""
        return iter(self._positions)

    def priority(self, key: Key) -> Priority | None:
        """Return a key's priority; None if the key is not in the heap."""
        position = self._positions.get(key)
        return None if position is None else self._heap[position][0]

    @property
    def first(self) -> Key | None:
        """The key with the highest priority; None if the heap is empty."""
        return self._heap[0][2] if self._heap else None

    def put(self, key: Key, priority: Priority) -> None:
        """Add a key, or change its priority without changing its order among equals."""
        position = self._positions.get(key)
        if position is None:
            self._next_order -= 1
            self._heap.append((priority, self._next_order, key))
            self._sift_up(len(self._heap) - 1)
            return
        old_priority, order, _ = self._heap[position]
        if old_priority == priority:
            return
        self._heap[position] = (priority, order, key)
        if priority > old_priority:
            self._sift_up(position)
        else:
            self._sift_down(position)

    def discard(self, key: Key) -> bool:
        """Remove a key; False if the key was not in the heap."""
        position = self._positions.pop(key, None)
        if position is None:
            return False
        last = self._heap.pop()
        if position < len(self._heap):
            removed = self._heap[position]
            self._heap[position] = last
            if last[:2] > removed[:2]:
                self._sift_up(position)
            else:
                self._sift_down(position)
        return True

    def _sift_up(self, position: int) -> None:
        heap = self._heap
        positions = self._positions
        entry = heap[position]
        while position:
            parent = (position - 1) >> 1
            if heap[parent][:2] >= entry[:2]:
                break
            heap[position] = heap[parent]
            positions[heap[position][2]] = position
            position = parent
        heap[position] = entry
        positions[entry[2]] = position

    def _sift_down(self, position: int) -> None:
        heap = self._heap
        positions = self._positions
        entry = heap[position]
        count = len(heap)
        while (child := 2 * position + 1) < count:
            if child + 1 < count and heap[child + 1][:2] > heap[child][:2]:
                child += 1
            if entry[:2] >= heap[child][:2]:
                break
            heap[position] = heap[child]
            positions[heap[position][2]] = position
            position = child
        heap[position] = entry
        positions[entry[2]] = position
