"""CRC-32C (RFC 3720), for agents with a `group` where requirements-group.txt could not be installed."""

from __future__ import annotations

_POLYNOMIAL = 0x82F63B78  # reversed


def _entry(value: int) -> int:
    for _ in range(8):
        value = value >> 1 ^ (_POLYNOMIAL if value & 1 else 0)
    return value


_TABLE = tuple(map(_entry, range(256)))


def crc32c(data: bytes, value: int = 0) -> int:
    """Return the checksum of `data`, continuing from the checksum `value` of what came before."""
    value ^= 0xFFFFFFFF
    for byte in bytes(data):
        value = value >> 8 ^ _TABLE[(value ^ byte) & 0xFF]
    return value ^ 0xFFFFFFFF
