"""Messages between agents about changes of the endpoint list, and their encoding as text.

A message consists of a prefix with which no other message between agents begins, and the base 85 encoding of
a fixed header followed by changes. A query states the generation of its sender's list; an update contains the
changes since a generation. To keep a change short, a hash identifies the server, and a fingerprint stands for
its start time and build.
"""

from __future__ import annotations

import struct
from base64 import b85decode, b85encode
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from zlib import crc32

from frostfall.interface import Availability, Microseconds, Server

PREFIX = ":"  # not a digit of base 85, with which the other messages begin
QUERY_PREFIX = ":q"
UPDATE_PREFIX = ":u"
MAX_CHARS = 256  # in a message
MAX_FRAGMENTS = 255  # in an update
MAX_GENERATION = 0xFFFFFFFF

_QUERY = struct.Struct("<HIB")  # nonce; generation; first fragment
_HEADER = struct.Struct("<HIIHBBB")  # nonce; since; generation; age; fragment; fragments; flags
_CHANGE = struct.Struct("<IH")  # key and state; fingerprint
_STATE_BITS = 2
_STATE_MASK = (1 << _STATE_BITS) - 1
_KEY_MASK = (1 << 30) - 1
_FINGERPRINT_MASK = 0xFFFF
_AGE_UNIT: Microseconds = 10_000
_NO_AGE = 0xFFFF  # discovery has not confirmed this generation
_CONFIRMED = 1  # bit of the flags

_BODY_BYTES = (MAX_CHARS - len(UPDATE_PREFIX)) // 5 * 4  # base 85 takes 5 characters for 4 bytes
CHANGES_PER_FRAGMENT = (_BODY_BYTES - _HEADER.size) // _CHANGE.size


class EndpointState(IntEnum):
    """The availability of a server in the endpoint list."""

    UP = 0
    DRAINING = 1
    REMOVED = 2


_STATES = {
    Availability.UP: EndpointState.UP,
    Availability.DRAINING: EndpointState.DRAINING,
    Availability.REMOVED: EndpointState.REMOVED,
}


@dataclass(frozen=True, slots=True)
class EndpointChange:
    """The current state of a server whose endpoint has changed."""

    key: int
    state: EndpointState
    fingerprint: int


@dataclass(frozen=True, slots=True)
class ListQuery:
    """A query for the changes since a generation."""

    nonce: int  # repeated in the update
    generation: int
    first_fragment: int = 0  # earlier fragments of the update are not sent


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """One fragment of the changes after generation `since`, up to `generation`."""

    nonce: int  # of the query that it answers; 0 if there was no query
    since: int
    generation: int
    age: Microseconds | None  # since discovery confirmed this generation; None if it never did
    fragment: int
    fragment_count: int
    is_confirmed: bool  # received from discovery itself, or from a quorum of agents that set this flag
    changes: tuple[EndpointChange, ...]


def server_key(server: int) -> int:
    """Return the hash by which agents identify a server."""
    return crc32(struct.pack("<q", server)) & _KEY_MASK


def fingerprint(server: Server) -> int:
    """Return a hash of a server's build and start time, which a restart or another build changes."""
    return crc32(struct.pack("<qq", server.build, server.started_at)) & _FINGERPRINT_MASK


def endpoint_change(server: Server) -> EndpointChange:
    """Return a server's current state for a message."""
    return EndpointChange(server_key(server.id), _STATES[server.availability], fingerprint(server))


def endpoint_removal(server: int) -> EndpointChange:
    """Return the change for a server that a complete list no longer contains."""
    return EndpointChange(server_key(server), EndpointState.REMOVED, 0)


def encode_query(query: ListQuery) -> str:
    """Return the query as text."""
    return QUERY_PREFIX + b85encode(_QUERY.pack(query.nonce, query.generation, query.first_fragment)).decode()


def encode_update(update: ListUpdate) -> str:
    """Return the update, which has at most `CHANGES_PER_FRAGMENT` changes, as text."""
    age = _NO_AGE if update.age is None else min(max(update.age, 0) // _AGE_UNIT, _NO_AGE - 1)
    flags = _CONFIRMED if update.is_confirmed else 0
    header = _HEADER.pack(
        update.nonce, update.since, update.generation, age, update.fragment, update.fragment_count, flags
    )
    changes = (
        _CHANGE.pack(change.key << _STATE_BITS | change.state, change.fingerprint)
        for change in update.changes
    )
    return UPDATE_PREFIX + b85encode(header + b"".join(changes)).decode()


def decode(text: str) -> ListQuery | ListUpdate | None:
    """Return the message, or None if the text is malformed or of an unknown version."""
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
    nonce, since, generation, age, fragment, fragment_count, flags = _HEADER.unpack_from(data)
    if since > generation or fragment >= fragment_count:
        return None
    changes: Sequence[EndpointChange] = [
        EndpointChange(packed >> _STATE_BITS, EndpointState(packed & _STATE_MASK), server_fingerprint)
        for packed, server_fingerprint in _CHANGE.iter_unpack(data[_HEADER.size :])
    ]
    return ListUpdate(
        nonce=nonce,
        since=since,
        generation=generation,
        age=None if age == _NO_AGE else age * _AGE_UNIT,
        fragment=fragment,
        fragment_count=fragment_count,
        is_confirmed=bool(flags & _CONFIRMED),
        changes=tuple(changes),
    )
