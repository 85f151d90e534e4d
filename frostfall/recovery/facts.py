"""What is written down over and above operations, and what each kind of state is worth after a loss."""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec


class Life(msgspec.Struct, frozen=True, tag="life", array_like=True):
    """The owner began a life with this incarnation number; on disk before anybody is told."""

    incarnation: int
    token: str  # random: a folder that is an older copy begins a life with the same number again


class Seen(msgspec.Struct, frozen=True, tag="seen", array_like=True):
    """What a member was seen to be: its life, and the last batch that it had on disk by then."""

    member: str
    incarnation: int
    batch: int
    token: str
    outdated: str = ""  # why its folder is older than what was known of it, until it has that on disk itself


class Doubt(msgspec.Struct, frozen=True, tag="doubt", array_like=True):
    """From here on this record proves nothing of what it does not hold; why. Empty: that is over.

    `mute`: what was voted for in agreement is lost, and only operators can accept that.
    """

    why: str
    mute: bool = False


class GoneBack(msgspec.Struct, frozen=True, tag="back", array_like=True):
    """A build that was sent back or withdrawn; a number no lower was never good since."""

    build: int


class Hold(msgspec.Struct, frozen=True, tag="hold", array_like=True):
    """Operators hold votes for builds back, or do so no more; of another member where one is named."""

    who: str
    on: bool
    serial: int = 0
    member: str = ""


class Keeps(msgspec.Struct, frozen=True, tag="keeps", array_like=True):
    """Whose records are kept here in full, as copies, and who was a member by then."""

    owners: list[str]
    members: list[str]


class Voted(msgspec.Struct, frozen=True, tag="voted", array_like=True):
    """Agreement: the term, and who was voted for in it."""

    term: int
    vote: str


class Ruled(msgspec.Struct, frozen=True, tag="ruled", array_like=True):
    """Agreement: an entry of the log; what stood there and behind it goes."""

    index: int
    entry: Any


class Agreed(msgspec.Struct, frozen=True, tag="agreed", array_like=True):
    """Agreement: a snapshot, which stands for all entries up to its index."""

    snapshot: Any


class KnownList(msgspec.Struct, frozen=True, tag="list", array_like=True):
    """The server list as it was last told, and the wall clock's seconds then: a hint with an age."""

    at: float
    listing: Any


Fact = Life | Seen | Doubt | GoneBack | Hold | Keeps | Voted | Ruled | Agreed | KnownList
_DECODER = msgspec.msgpack.Decoder(
    Life | Seen | Doubt | GoneBack | Hold | Keeps | Voted | Ruled | Agreed | KnownList
)


def encode(fact: Fact) -> bytes:
    """A fact as bytes."""
    return msgspec.msgpack.encode(fact)


def decode(data: bytes) -> Fact | None:
    """A fact again; None for one of a kind that this version does not know."""
    try:
        fact: Fact = _DECODER.decode(data)
        return fact
    except msgspec.MsgspecError:
        return None


class Trust(Enum):
    """What a kind of state is worth at a start."""

    FACT = "fact"
    HINT = "hint with an age"
    NEVER = "never"
    WORST = "worst case assumed"


TRUST: dict[str, tuple[Trust, str]] = {
    "own incarnation": (Trust.FACT, "the next life's is higher, also than any that others saw"),
    "intents of unsafe work": (Trust.FACT, "one without an end may have run: failed, never sent again"),
    "outcomes and answers given": (Trust.FACT, "given again to who asks with the operation's name"),
    "copies of others' operations": (Trust.FACT, "an open one may have run, whoever settles it"),
    "fences": (Trust.FACT, "what was settled as never begun is not begun by its owner"),
    "votes and log of the register": (Trust.FACT, "in doubt, a member takes no part: it may have voted"),
    "builds that went back": (Trust.FACT, "no vote for them until the platform tells of a newer one"),
    "holds of operators": (Trust.FACT, "stand until operators lift them"),
    "members' lives as seen": (Trust.FACT, "an older life that speaks is told so"),
    "the server list": (Trust.HINT, "used until discovery answers; replaced whole by its first list"),
    "what was learned of servers": (Trust.HINT, "not kept: a start takes the fleet's mean"),
    "who the members are": (Trust.HINT, "the operator file's members; who of them is here is found out anew"),
    "requests out": (Trust.NEVER, "clients' connections are gone; intents tell what may have run"),
    "connections": (Trust.NEVER, "opened anew"),
    "suspicions": (Trust.NEVER, "all are unheard of at a start"),
    "leases, being the one who decides": (Trust.NEVER, "there are none that outlive a life"),
    "exposure of a build on trial": (Trust.WORST, "taken as spent for one whole window: no trial before"),
    "cold budget": (Trust.WORST, "every server is taken as what the list says, and nothing as carried yet"),
    "an own vote": (Trust.WORST, "it may still stand: none is cast before the platform has told the state"),
    "the wall clock": (Trust.WORST, "kept ages count running time; differences to others are told aloud"),
}
