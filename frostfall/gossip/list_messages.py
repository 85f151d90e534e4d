"""Messages by which agents tell each other what changed in the endpoint list, and their text form.

A message is a prefix that no other message of agents begins with, and base 85 of a fixed header with entries
behind it. A query says which generation its sender holds; an update lists what changed since a generation.
Servers are named by a hash, and a server's start and build by a fingerprint, so that an entry is short.
"""

from __future__ import annotations

import struct
from base64 import b85decode, b85encode
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from zlib import crc32

from frostfall.interface import Availability, Microseconds, Server

PREFIX = ":"  # no digit of base 85, with which other messages begin
QUERY_PREFIX = ":q"
UPDATE_PREFIX = ":u"
MAX_CHARS = 256  # of a message
MAX_FRAGMENTS = 255  # of an update
MAX_GENERATION = 0xFFFFFFFF

_QUERY = struct.Struct("<HIB")  # nonce; generation; first fragment
_HEADER = struct.Struct("<HIIHBBB")  # nonce; since; generation; age; fragment; fragments; flags
_ENTRY = struct.Struct("<IH")  # key and state; fingerprint
_STATE_BITS = 2
_STATE_MASK = (1 << _STATE_BITS) - 1
_KEY_MASK = (1 << 30) - 1
_FINGERPRINT_MASK = 0xFFFF
_AGE_UNIT: Microseconds = 10_000
_NO_AGE = 0xFFFF  # nobody has vouched for this generation
_CONFIRMED = 1

_BODY_BYTES = (MAX_CHARS - len(UPDATE_PREFIX)) // 5 * 4  # base 85 takes 5 characters for 4 bytes
ENTRIES_PER_FRAGMENT = (_BODY_BYTES - _HEADER.size) // _ENTRY.size


class ListedState(IntEnum):
    """What the list says of a server now."""

    UP = 0
    DRAINING = 1
    REMOVED = 2


_STATES = {
    Availability.UP: ListedState.UP,
    Availability.DRAINING: ListedState.DRAINING,
    Availability.REMOVED: ListedState.REMOVED,
}


@dataclass(frozen=True, slots=True)
class ChangedEntry:
    """A server whose entry has changed, as it is now."""

    key: int
    state: ListedState
    fingerprint: int


@dataclass(frozen=True, slots=True)
class ListQuery:
    """Asks what has changed since a generation."""

    nonce: int  # which the update repeats
    generation: int
    first_fragment: int = 0  # of the update that is wanted


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """One fragment of all that changed after `since` up to `generation`."""

    nonce: int  # of the query; 0 where nobody asked
    since: int
    generation: int
    age: Microseconds | None  # since discovery vouched for this generation; None: it never did
    fragment: int
    fragments: int
    is_confirmed: bool  # the sender has it from discovery itself, or from a quorum of agents that say this
    entries: tuple[ChangedEntry, ...]


def server_key(server: int) -> int:
    """The hash by which agents name a server."""
    return crc32(struct.pack("<q", server)) & _KEY_MASK


def fingerprint(server: Server) -> int:
    """What differs after another start of a server or with another build."""
    return crc32(struct.pack("<qq", server.build, server.started_at)) & _FINGERPRINT_MASK


def changed_entry(server: Server) -> ChangedEntry:
    """A server's entry as it goes into a message."""
    return ChangedEntry(server_key(server.id), _STATES[server.availability], fingerprint(server))


def removed_entry(server: int) -> ChangedEntry:
    """The entry of a server that a complete list no longer has."""
    return ChangedEntry(server_key(server), ListedState.REMOVED, 0)


def encode_query(query: ListQuery) -> str:
    """The query as text."""
    return QUERY_PREFIX + b85encode(_QUERY.pack(query.nonce, query.generation, query.first_fragment)).decode()


def encode_update(update: ListUpdate) -> str:
    """The update as text; it holds `ENTRIES_PER_FRAGMENT` entries at most."""
    age = _NO_AGE if update.age is None else min(max(update.age, 0) // _AGE_UNIT, _NO_AGE - 1)
    flags = _CONFIRMED if update.is_confirmed else 0
    header = _HEADER.pack(
        update.nonce, update.since, update.generation, age, update.fragment, update.fragments, flags
    )
    entries = (
        _ENTRY.pack(entry.key << _STATE_BITS | entry.state, entry.fingerprint) for entry in update.entries
    )
    return UPDATE_PREFIX + b85encode(header + b"".join(entries)).decode()


def decode(text: str) -> ListQuery | ListUpdate | None:
    """The message; None where the text is malformed or of a version that is not known here."""
    kind = text[: len(QUERY_PREFIX)]
    try:
        data = b85decode(text[len(QUERY_PREFIX) :])
        if kind == QUERY_PREFIX:
            return ListQuery(*_QUERY.unpack(data))
        if kind == UPDATE_PREFIX:
            return _decode_update(data)
    except (ValueError, struct.error):
        pass
    return None


def _decode_update(data: bytes) -> ListUpdate | None:
    nonce, since, generation, age, fragment, fragments, flags = _HEADER.unpack_from(data)
    if since > generation or fragment >= fragments:
        return None
    entries: Sequence[ChangedEntry] = [
        ChangedEntry(packed >> _STATE_BITS, ListedState(packed & _STATE_MASK), mark)
        for packed, mark in _ENTRY.iter_unpack(data[_HEADER.size :])
    ]
    return ListUpdate(
        nonce=nonce,
        since=since,
        generation=generation,
        age=None if age == _NO_AGE else age * _AGE_UNIT,
        fragment=fragment,
        fragments=fragments,
        is_confirmed=bool(flags & _CONFIRMED),
        entries=tuple(entries),
    )
