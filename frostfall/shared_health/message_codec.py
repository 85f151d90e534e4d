"""The wire format of pooled health counts: keys, quantized counts, encoder and decoder.

A message is the base 85 encoding of a header, the entries with evidence, and the entries without. Counts are
sent as levels of a logarithmic scale, one byte each.
"""

from __future__ import annotations

import math
import struct
from base64 import b85decode, b85encode
from collections.abc import Iterable
from zlib import crc32

import msgspec

HEADER = struct.Struct("<HB")  # the slot modulo 2^16; the number of entries with evidence, which come first
EVIDENCE_ENTRY = struct.Struct("<3s3B")  # key; levels of attempts, failures and evidence
PLAIN_ENTRY = struct.Struct("<3s2B")  # key; levels of attempts and failures

LEVELS_PER_E_FOLD = 12.0  # levels per factor of e, so that a step is 8 %
SMALLEST_VALUE = 1e-4  # the value of level 1; values up to it have level 0
MAX_LEVEL = 255  # one byte
MAX_EVIDENCE_ENTRIES = 255  # one byte in the header
SLOT_MASK = 0xFFFF  # two bytes in the header
KEY_NUMBER_BITS = 22  # of the 24 bits of a key; the upper 2 are its kind
KEY_NUMBER_MASK = (1 << KEY_NUMBER_BITS) - 1
KEY_BYTES = 3

Key = bytes


class HealthCounts(msgspec.Struct, frozen=True, gc=False):
    """The pooled counts of one key: not whole numbers, as agents have shares of each other's counts."""

    attempts: float = 0.0
    failures: float = 0.0  # of the attempts
    evidence: float = 0.0  # sum of log-likelihood ratios, at or below zero


class HealthEntry(msgspec.Struct, frozen=True, gc=False):
    """The counts of one key."""

    key: Key
    counts: HealthCounts


class HealthMessage(msgspec.Struct, frozen=True):
    """A decoded message. It is not encoded by msgspec, so its field names do not appear on the wire."""

    slot: int  # modulo 2^16
    entries: dict[Key, HealthCounts]


def make_key(kind: int, *parts: int) -> Key:
    """Return the key for a kind from 0 to 3 and these numbers; all agents compute the same key."""
    number = crc32(struct.pack(f"<{len(parts)}q", *parts)) & KEY_NUMBER_MASK
    return (kind << KEY_NUMBER_BITS | number).to_bytes(KEY_BYTES)


def key_kind(key: Key) -> int:
    """Return the kind in a key, from 0 to 3."""
    return key[0] >> 6


def quantize(value: float) -> int:
    """Return the level of a value, rounded down so that no exchange increases the sum."""
    if value <= SMALLEST_VALUE:
        return 0
    return min(int(math.log(value / SMALLEST_VALUE) * LEVELS_PER_E_FOLD) + 1, MAX_LEVEL)


VALUE_BY_LEVEL = (
    0.0,
    *(SMALLEST_VALUE * math.exp(level / LEVELS_PER_E_FOLD) for level in range(MAX_LEVEL)),
)


def encode_message(slot: int, entries: Iterable[HealthEntry], max_chars: int) -> str:
    """Encode the first entries, as many as fit into `max_chars` characters."""
    with_evidence = bytearray()
    plain = bytearray()
    max_bytes = max_chars // 5 * 4 - HEADER.size  # base 85 takes 5 characters for 4 bytes
    for entry in entries:
        counts = entry.counts
        size = (EVIDENCE_ENTRY if counts.evidence else PLAIN_ENTRY).size
        if len(with_evidence) + len(plain) + size > max_bytes:
            break
        if len(with_evidence) >= MAX_EVIDENCE_ENTRIES * EVIDENCE_ENTRY.size:
            break
        attempts = quantize(counts.attempts)
        failures = quantize(counts.failures)
        if counts.evidence:
            with_evidence += EVIDENCE_ENTRY.pack(entry.key, attempts, failures, quantize(-counts.evidence))
        else:
            plain += PLAIN_ENTRY.pack(entry.key, attempts, failures)
    header = HEADER.pack(slot & SLOT_MASK, len(with_evidence) // EVIDENCE_ENTRY.size)
    return b85encode(header + with_evidence + plain).decode()


def decode_message(text: str) -> HealthMessage | None:
    """Decode a message; return None if it is malformed."""
    try:
        data = b85decode(text)
        slot, evidence_entries = HEADER.unpack_from(data)
        plain_start = HEADER.size + evidence_entries * EVIDENCE_ENTRY.size
        if len(data) < plain_start:
            return None
        value = VALUE_BY_LEVEL
        entries = {
            key: HealthCounts(value[attempts], value[failures], -value[evidence])
            for key, attempts, failures, evidence in EVIDENCE_ENTRY.iter_unpack(
                data[HEADER.size : plain_start]
            )
        }
        for key, attempts, failures in PLAIN_ENTRY.iter_unpack(data[plain_start:]):
            entries[key] = HealthCounts(value[attempts], value[failures])
    except (ValueError, struct.error):
        return None
    return HealthMessage(slot, entries)
