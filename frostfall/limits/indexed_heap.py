"""An index of who would have to leave first: a binary heap that knows each entry's place.

Setting, moving and dropping an entry takes O(log n) steps, naming the first O(1). It is made for ranks that
change often and entries that leave from anywhere, for which `heapq` needs entries marked as void and cleared
out, and a plain list a scan (figures: docs/design-slow-peers.md). After J. W. J. Williams, "Algorithm 232:
Heapsort", CACM 7 (1964).
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
Priority = tuple[float, ...]


class IndexedHeap(Generic[Key]):
    """Names by rank, the highest first; those of equal rank in the order in which they came."""

    __slots__ = ("_heap", "_order", "_places")

    def __init__(self) -> None:
        """Without an entry."""
        self._heap: list[tuple[Priority, int, Key]] = []
        self._places: dict[Key, int] = {}
        self._order = 0

    def __len__(self) -> int:
        """How many are ranked."""
        return len(self._heap)

    def __contains__(self, name: object) -> bool:
        """Whether it is ranked."""
        return name in self._places

    def __iter__(self) -> Iterator[Key]:
        """All names, in no order."""
        return iter(self._places)

    def priority(self, key: Key) -> Priority | None:
        """Its rank; None where it has none."""
        place = self._places.get(key)
        return None if place is None else self._heap[place][0]

    @property
    def first(self) -> Key | None:
        """Who ranks highest; None where nobody is ranked."""
        return self._heap[0][2] if self._heap else None

    def put(self, key: Key, priority: Priority) -> None:
        """Rank it, or rank it anew; it keeps its turn among equals."""
        place = self._places.get(key)
        if place is None:
            self._order -= 1
            self._heap.append((priority, self._order, key))
            self._up(len(self._heap) - 1)
            return
        old, order, _ = self._heap[place]
        if old != priority:
            self._heap[place] = (priority, order, key)
            if priority > old:
                self._up(place)
            else:
                self._down(place)

    def discard(self, key: Key) -> bool:
        """Take it out; False where it was not in."""
        place = self._places.pop(key, None)
        if place is None:
            return False
        last = self._heap.pop()
        if place < len(self._heap):
            old, self._heap[place] = self._heap[place], last
            if last[:2] > old[:2]:
                self._up(place)
            else:
                self._down(place)
        return True

    def _up(self, place: int) -> None:
        heap, places = self._heap, self._places
        entry = heap[place]
        while place:
            above = (place - 1) >> 1
            if heap[above][:2] >= entry[:2]:
                break
            heap[place] = heap[above]
            places[heap[place][2]] = place
            place = above
        heap[place] = entry
        places[entry[2]] = place

    def _down(self, place: int) -> None:
        heap, places = self._heap, self._places
        entry, count = heap[place], len(heap)
        while (below := 2 * place + 1) < count:
            if below + 1 < count and heap[below + 1][:2] > heap[below][:2]:
                below += 1
            if entry[:2] >= heap[below][:2]:
                break
            heap[place] = heap[below]
            places[heap[place][2]] = place
            place = below
        heap[place] = entry
        places[entry[2]] = place
