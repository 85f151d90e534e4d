"""What is written down over and above operations, and what each kind of state is worth after a loss."""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec


class IncarnationStarted(msgspec.Struct, frozen=True, tag="life", array_like=True):
    """The owner began a life with this incarnation number; on disk before anybody is told."""

    incarnation: int
    token: str  # random: a folder that is an older copy begins a life with the same number again


class PeerIncarnation(msgspec.Struct, frozen=True, tag="seen", array_like=True):
    """What a member was seen to be: its life, and the last batch that it had on disk by then."""

    member: str
    incarnation: int
    batch: int
    token: str
    stale_reason: str = (
        ""  # why its folder is older than what was known of it, until it has that on disk itself
    )


class RecordIncomplete(msgspec.Struct, frozen=True, tag="doubt", array_like=True):
    """From here on this record proves nothing of what it does not hold; why. Empty: that is over.

    `mute`: what was voted for in agreement is lost, and only operators can accept that.
    """

    reason: str
    consensus_excluded: bool = False


class BuildRolledBack(msgspec.Struct, frozen=True, tag="back", array_like=True):
    """A build that was sent back or withdrawn; a number no lower was never good since."""

    build: int


class VoteHold(msgspec.Struct, frozen=True, tag="hold", array_like=True):
    """Operators hold votes for builds back, or do so no more; of another member where one is named."""

    operator: str
    active: bool
    serial: int = 0
    member: str = ""


class ReplicaAssignment(msgspec.Struct, frozen=True, tag="keeps", array_like=True):
    """Whose records are kept here in full, as copies, and who was a member by then."""

    owners: list[str]
    members: list[str]


class RaftVote(msgspec.Struct, frozen=True, tag="voted", array_like=True):
    """Agreement: the term, and who was voted for in it."""

    term: int
    voted_for: str


class RaftEntry(msgspec.Struct, frozen=True, tag="ruled", array_like=True):
    """Agreement: an entry of the log; what stood there and behind it goes."""

    index: int
    entry: Any


class RaftSnapshot(msgspec.Struct, frozen=True, tag="agreed", array_like=True):
    """Agreement: a snapshot, which stands for all entries up to its index."""

    snapshot: Any


class CachedEndpointList(msgspec.Struct, frozen=True, tag="list", array_like=True):
    """The server list as it was last told, and the wall clock's seconds then: a hint with an age."""

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
_DECODER = msgspec.msgpack.Decoder(
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


def encode(fact: MetadataRecord) -> bytes:
    """A fact as bytes."""
    return msgspec.msgpack.encode(fact)


def decode(data: bytes) -> MetadataRecord | None:
    """A fact again; None for one of a kind that this version does not know."""
    try:
        fact: MetadataRecord = _DECODER.decode(data)
        return fact
    except msgspec.MsgspecError:
        return None


class TrustLevel(Enum):
    """What a kind of state is worth at a start."""

    AUTHORITATIVE = "fact"
    HINT = "hint with an age"
    DISCARDED = "never"
    WORST_CASE = "worst case assumed"


TRUST_BY_STATE: dict[str, tuple[TrustLevel, str]] = {
    "own incarnation": (TrustLevel.AUTHORITATIVE, "the next life's is higher, also than any that others saw"),
    "intents of unsafe work": (
        TrustLevel.AUTHORITATIVE,
        "one without an end may have run: failed, never sent again",
    ),
    "outcomes and answers given": (
        TrustLevel.AUTHORITATIVE,
        "given again to who asks with the operation's name",
    ),
    "copies of others' operations": (
        TrustLevel.AUTHORITATIVE,
        "an open one may have run, whoever settles it",
    ),
    "fences": (TrustLevel.AUTHORITATIVE, "what was settled as never begun is not begun by its owner"),
    "votes and log of the register": (
        TrustLevel.AUTHORITATIVE,
        "in doubt, a member takes no part: it may have voted",
    ),
    "builds that went back": (
        TrustLevel.AUTHORITATIVE,
        "no vote for them until the platform tells of a newer one",
    ),
    "holds of operators": (TrustLevel.AUTHORITATIVE, "stand until operators lift them"),
    "members' lives as seen": (TrustLevel.AUTHORITATIVE, "an older life that speaks is told so"),
    "the server list": (TrustLevel.HINT, "used until discovery answers; replaced whole by its first list"),
    "what was learned of servers": (TrustLevel.HINT, "not kept: a start takes the fleet's mean"),
    "who the members are": (
        TrustLevel.HINT,
        "the operator file's members; who of them is here is found out anew",
    ),
    "requests out": (TrustLevel.DISCARDED, "clients' connections are gone; intents tell what may have run"),
    "connections": (TrustLevel.DISCARDED, "opened anew"),
    "suspicions": (TrustLevel.DISCARDED, "all are unheard of at a start"),
    "leases, being the one who decides": (TrustLevel.DISCARDED, "there are none that outlive a life"),
    "exposure of a build on trial": (
        TrustLevel.WORST_CASE,
        "taken as spent for one whole window: no trial before",
    ),
    "cold budget": (
        TrustLevel.WORST_CASE,
        "every server is taken as what the list says, and nothing as carried yet",
    ),
    "an own vote": (
        TrustLevel.WORST_CASE,
        "it may still stand: none is cast before the platform has told the state",
    ),
    "the wall clock": (
        TrustLevel.WORST_CASE,
        "kept ages count running time; differences to others are told aloud",
    ),
}
