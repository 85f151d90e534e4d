"""The receive buffer of a connection."""

from __future__ import annotations

COMPACTION_THRESHOLD_BYTES = 4096  # consumed bytes at the front that cause the rest to be moved down in place


class ReceiveBuffer:
    """A bounded FIFO of bytes, which grows as bytes are received and is compacted in place."""

    def __init__(self, capacity: int) -> None:
        """Hold at most `capacity` unread bytes."""
        self.capacity = capacity
        self._bytes = bytearray()
        self._start = 0

    def __len__(self) -> int:
        """The number of unread bytes."""
        return len(self._bytes) - self._start

    def feed(self, data: bytes) -> bool:
        """Append bytes; False if they exceed the capacity, in which case none is stored."""
        if len(self) + len(data) > self.capacity:
            return False
        self._bytes += data
        return True

    def clear(self) -> None:
        """Discard all bytes and release their memory."""
        self._bytes = bytearray()
        self._start = 0

    def peek(self, count: int, offset: int = 0) -> bytes:
        """Return up to `count` unread bytes from `offset` on, without consuming them."""
        first = self._start + offset
        return bytes(self._bytes[first : first + count])

    def peek_uint32(self, offset: int) -> int:
        """Return the four unread bytes at `offset`, which must exist, as a big-endian number."""
        first = self._start + offset
        return int.from_bytes(self._bytes[first : first + 4])

    def peek_byte(self) -> int:
        """Return the first unread byte, which must exist."""
        return self._bytes[self._start]

    def take(self, count: int) -> bytes:
        """Consume and return the next `count` bytes, which must exist."""
        data = bytes(self._bytes[self._start : self._start + count])
        self._start += count
        if self._start == len(self._bytes):
            self._bytes.clear()
            self._start = 0
        elif self._start >= COMPACTION_THRESHOLD_BYTES:
            del self._bytes[: self._start]
            self._start = 0
        return data

    def find(self, delimiter: bytes, offset: int = 0) -> int:
        """Return the offset of the first delimiter at or after `offset`; -1 if there is none."""
        position = self._bytes.find(delimiter, self._start + offset)
        return position - self._start if position >= 0 else -1
