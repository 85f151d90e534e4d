"""The one buffer that a connection reads into."""

from __future__ import annotations

COMPACT_AT = 4096  # bytes already read that may lie in front before the rest is moved down in place


class Buffer:
    """Grows as bytes come in, is compacted in place, and holds no more than its bound."""

    def __init__(self, bound: int) -> None:
        """Hold at most `bound` unread bytes."""
        self.bound = bound
        self._bytes = bytearray()
        self._start = 0

    def __len__(self) -> int:
        """How many bytes are still unread."""
        return len(self._bytes) - self._start

    def feed(self, data: bytes) -> bool:
        """Take bytes in; False where that goes over the bound, and nothing is taken."""
        if len(self) + len(data) > self.bound:
            return False
        self._bytes += data
        return True

    def peek(self, count: int, offset: int = 0) -> bytes:
        """Up to so many unread bytes, which stay unread."""
        first = self._start + offset
        return bytes(self._bytes[first : first + count])

    def number(self, offset: int) -> int:
        """The four unread bytes at an offset, which must be there, as a number."""
        first = self._start + offset
        return int.from_bytes(self._bytes[first : first + 4])

    def first(self) -> int:
        """The first unread byte, which must be there."""
        return self._bytes[self._start]

    def take(self, count: int) -> bytes:
        """The next bytes, which must be there."""
        data = bytes(self._bytes[self._start : self._start + count])
        self._start += count
        if self._start == len(self._bytes):
            self._bytes.clear()
            self._start = 0
        elif self._start >= COMPACT_AT:
            del self._bytes[: self._start]
            self._start = 0
        return data

    def find(self, mark: bytes, offset: int = 0) -> int:
        """How many unread bytes come before a mark at or after an offset; -1 where there is none."""
        place = self._bytes.find(mark, self._start + offset)
        return place - self._start if place >= 0 else -1
