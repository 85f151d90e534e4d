"""The receive buffer of a connection."""

from __future__ import annotations

from frostfall.protocol.buffer import COMPACTION_THRESHOLD_BYTES, ReceiveBuffer


def test_bytes_are_returned_in_order_for_any_sizes_of_reads() -> None:
    data = bytes(range(256)) * 200
    for size in (1, 7, 4096, len(data)):
        buffer, out = ReceiveBuffer(len(data)), b""
        for start in range(0, len(data), size):
            assert buffer.feed(data[start : start + size])
            out += buffer.take(min(3, len(buffer)))
        assert out + buffer.take(len(buffer)) == data
        assert len(buffer) == 0


def test_consumed_bytes_are_removed_in_place() -> None:
    buffer = ReceiveBuffer(100_000)
    inner = buffer._bytes
    buffer.feed(b"x")
    for _ in range(1000):
        buffer.feed(b"y" * 1000)
        buffer.take(1000)
    assert buffer._bytes is inner
    assert len(inner) <= COMPACTION_THRESHOLD_BYTES + 1001


def test_bytes_over_the_capacity_are_not_stored() -> None:
    buffer = ReceiveBuffer(10)
    assert buffer.feed(b"0123456789")
    assert not buffer.feed(b"x")
    assert buffer.take(10) == b"0123456789"
    assert buffer.feed(b"x")


def test_find_returns_an_offset_from_the_first_unread_byte() -> None:
    buffer = ReceiveBuffer(100)
    buffer.feed(b"ab\ncd\n")
    assert buffer.find(b"\n") == 2
    buffer.take(3)
    assert buffer.find(b"\n") == 2
    assert buffer.find(b"\n", 3) == -1
    assert buffer.peek(2) == b"cd"
