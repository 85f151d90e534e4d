"""Metadata records of the log, and the trust in each kind of state after a power loss.

The tags and the order of the fields are part of the stored format.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec


class IncarnationStarted(msgspec.Struct, frozen=True, tag="life", array_like=True):
    """Start of an incarnation of the log's owner; durable before any other member is notified.

    The token is random, because an older copy of the directory would start the same number again.
    """

    incarnation: int
    token: str


class PeerIncarnation(msgspec.Struct, frozen=True, tag="seen", array_like=True):
    """A member's incarnation as last received, and the last batch that was durable there at the time."""

    member: str
    incarnation: int
    batch: int
    token: str
    # Reason why the member's directory is an outdated copy; empty once the member has recorded that itself.
    stale_reason: str = ""


class RecordIncomplete(msgspec.Struct, frozen=True, tag="doubt", array_like=True):
    """The record is incomplete from this point on, for this reason; complete again if the reason is empty.

    `consensus_excluded` states that the Raft votes cast are lost; only operators can accept that loss.
    """

    reason: str
    consensus_excluded: bool = False


class BuildRolledBack(msgspec.Struct, frozen=True, tag="back", array_like=True):
    """A build that was rolled back or withdrawn; all builds up to this number count as such."""

    build: int


class VoteHold(msgspec.Struct, frozen=True, tag="hold", array_like=True):
    """A hold of operators on votes for builds, or its release.

    It applies to the log's owner, or to another member if one is named.
    """

    operator: str
    active: bool
    serial: int = 0
    member: str = ""


class ReplicaAssignment(msgspec.Struct, frozen=True, tag="keeps", array_like=True):
    """The owners whose records are replicated here in full, and the members of the group at the time."""

    owners: list[str]
    members: list[str]


class RaftVote(msgspec.Struct, frozen=True, tag="voted", array_like=True):
    """Raft hard state: the current term, and the candidate voted for in it."""

    term: int
    voted_for: str


class RaftEntry(msgspec.Struct, frozen=True, tag="ruled", array_like=True):
    """A Raft log entry, which replaces all stored entries from its index on."""

    index: int
    entry: Any


class RaftSnapshot(msgspec.Struct, frozen=True, tag="agreed", array_like=True):
    """A snapshot of the Raft state machine, which replaces all entries up to its index."""

    snapshot: Any


class CachedEndpointList(msgspec.Struct, frozen=True, tag="list", array_like=True):
    """The endpoint list as last received from discovery, and the wall-clock time of that in seconds."""

    saved_at: float
    endpoint_list: Any


MetadataRecord = (
    IncarnationStarted
    | PeerIncarnation
    | RecordIncomplete
    | BuildRolledBack
    | VoteHold
    | ReplicaAssignment
    | RaftVote
    | RaftEntry
    | RaftSnapshot
    | CachedEndpointList
)
_DECODER: msgspec.msgpack.Decoder[MetadataRecord] = msgspec.msgpack.Decoder(MetadataRecord)


def encode(record: MetadataRecord) -> bytes:
    """Encode a metadata record."""
    return msgspec.msgpack.encode(record)


def decode(data: bytes) -> MetadataRecord | None:
    """Decode a metadata record; None if this version does not have its kind."""
    try:
        return _DECODER.decode(data)
    except msgspec.MsgspecError:
        return None


class TrustLevel(Enum):
    """Trust in a kind of state at a start."""

    AUTHORITATIVE = "fact"
    HINT = "hint with an age"
    DISCARDED = "never"
    WORST_CASE = "worst case assumed"


@dataclass(frozen=True, slots=True)
class StateTrust:
    """Trust in a kind of state at a start, and its consequence."""

    level: TrustLevel
    consequence: str


# Each entry is a row of a table in docs/design-power-loss.md; a test compares them.
TRUST_BY_STATE: dict[str, StateTrust] = {
    "own incarnation": StateTrust(
        TrustLevel.AUTHORITATIVE, "the next life's is higher, also than any that others saw"
    ),
    "intents of unsafe work": StateTrust(
        TrustLevel.AUTHORITATIVE,
        "one without an end may have run: failed, never sent again",
    ),
    "outcomes and answers given": StateTrust(
        TrustLevel.AUTHORITATIVE,
        "given again to who asks with the operation's name",
    ),
    "copies of others' operations": StateTrust(
        TrustLevel.AUTHORITATIVE,
        "an open one may have run, whoever settles it",
    ),
    "fences": StateTrust(
        TrustLevel.AUTHORITATIVE, "what was settled as never begun is not begun by its owner"
    ),
    "votes and log of the register": StateTrust(
        TrustLevel.AUTHORITATIVE,
        "in doubt, a member takes no part: it may have voted",
    ),
    "builds that went back": StateTrust(
        TrustLevel.AUTHORITATIVE,
        "no vote for them until the platform tells of a newer one",
    ),
    "holds of operators": StateTrust(TrustLevel.AUTHORITATIVE, "stand until operators lift them"),
    "members' lives as seen": StateTrust(TrustLevel.AUTHORITATIVE, "an older life that speaks is told so"),
    "the server list": StateTrust(
        TrustLevel.HINT, "used until discovery answers; replaced whole by its first list"
    ),
    "what was learned of servers": StateTrust(TrustLevel.HINT, "not kept: a start takes the fleet's mean"),
    "who the members are": StateTrust(
        TrustLevel.HINT,
        "the operator file's members; who of them is here is found out anew",
    ),
    "requests out": StateTrust(
        TrustLevel.DISCARDED, "clients' connections are gone; intents tell what may have run"
    ),
    "connections": StateTrust(TrustLevel.DISCARDED, "opened anew"),
    "suspicions": StateTrust(TrustLevel.DISCARDED, "all are unheard of at a start"),
    "leases, being the one who decides": StateTrust(
        TrustLevel.DISCARDED, "there are none that outlive a life"
    ),
    "exposure of a build on trial": StateTrust(
        TrustLevel.WORST_CASE,
        "taken as spent for one whole window: no trial before",
    ),
    "cold budget": StateTrust(
        TrustLevel.WORST_CASE,
        "every server is taken as what the list says, and nothing as carried yet",
    ),
    "an own vote": StateTrust(
        TrustLevel.WORST_CASE,
        "it may still stand: none is cast before the platform has told the state",
    ),
    "the wall clock": StateTrust(
        TrustLevel.WORST_CASE,
        "kept ages count running time; differences to others are told aloud",
    ),
}
