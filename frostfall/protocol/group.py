"""The link between members: frames of msgpack with a keyed checksum, as bytes in and messages out.

    frame = u32 length, 16 bytes of BLAKE2b (RFC 7693) keyed for this connection and direction, body

Who accepts a connection sends 16 random bytes first, in the clear; who dialled answers with 16 of its own and
then speaks. The key of each direction is made of the shared key and both. The checksum covers a count of the
frames too, so that none can be sent again, left out or sent back. What does not fit ends the connection.
"""

from __future__ import annotations

import hmac
import struct
from hashlib import blake2b
from typing import Any

import msgspec

NONCE = 16
FRAME_MOST = 1024 * 1024  # bytes
SUMS, ENTRIES, ITEMS = 0, 1, 2  # what a comparison asks for
_HEAD = struct.Struct("<I16s")


class Beat(msgspec.Struct, tag="beat", array_like=True):
    """How the sender is, and what it has on disk of the member that it speaks to."""

    name: str
    incarnation: int
    batch: int
    token: str  # of the sender's life
    wall: float  # seconds of Unix time by its clock
    stage: str
    doubt: str
    last: tuple[int, int, str]  # incarnation, batch and token of the sender's folder when it started
    kept: tuple[int, int, str]  # the same of the receiver, as it was last written down
    live: bool  # whether that life of the receiver is being heard
    outdated: str  # why the receiver's folder is older than what was known of it
    number: int = 0  # of the question, 0 in what is no question
    list: int = -1  # the generation of the newest server list that the sender has had from discovery
    gone_back: int = 0  # the newest build that the sender knows to have gone back
    word: tuple[int, str] = (0, "")  # what operators told the sender to hold, with its serial number
    kept_word: tuple[int, str] = (0, "")  # the same of the receiver, as it was written down


class Ask(msgspec.Struct, tag="ask", array_like=True):
    """What do you know of these operations? The sender's intents are on disk."""

    number: int
    names: list[str]
    sender: str = ""
    token: str = ""  # of the sender's life


class Tell(msgspec.Struct, tag="tell", array_like=True):
    """The answer, in order: a word for each, with the answer that was given where there is one."""

    number: int
    told: list[tuple[str, bytes | None]]
    token: str = ""  # of the teller's life
    lives: dict[str, str] = {}  # the tokens of all others' lives that it has on disk


class Copy(msgspec.Struct, tag="copy", array_like=True):
    """Keep this operation of the sender's: its state, name and answer."""

    number: int
    owner: str
    state: int
    name: str
    answer: bytes | None
    token: str = ""  # of the owner's life


class Copied(msgspec.Struct, tag="copied", array_like=True):
    """It is on disk; or `refused`: others have settled it."""

    number: int
    refused: bool
    token: str = ""  # of the holder's life, where its word counts
    kept: bool = True  # whether it is on disk at all


class Read(msgspec.Struct, tag="read", array_like=True):
    """Tell what the copies of an owner's operation say; fence it where they say nothing, if told so."""

    number: int
    owner: str
    name: str
    fence: bool
    sender: str
    token: str  # of the sender's life


class Compare(msgspec.Struct, tag="compare", array_like=True):
    """A question on the record of an owner: of sums, entries or whole items, as `what` says."""

    number: int
    owner: str
    fences: bool  # on fences instead of operations
    what: int  # SUMS, ENTRIES or ITEMS
    depth: int
    asked: list[int]  # prefixes, or keys
    sender: str
    token: str  # of the sender's life
    session: int  # all questions of one session are answered from what was on disk after it began


class Compared(msgspec.Struct, tag="compared", array_like=True):
    """The answer; `sure`: the record is whole, and has the sender's present life."""

    number: int
    sure: bool
    token: str  # of the teller's life
    data: bytes
    items: list[tuple[int, str, bytes | None, int]]  # state, operation, answer, seconds of age


class Agree(msgspec.Struct, tag="agree", array_like=True):
    """A word of the register's protocol, which nothing answers."""

    sender: str
    word: bytes


class Want(msgspec.Struct, tag="want", array_like=True):
    """Give me the server list that you have."""

    number: int


class Have(msgspec.Struct, tag="have", array_like=True):
    """The list, as the store keeps it; None where there is none."""

    number: int
    listing: Any


class Order(msgspec.Struct, tag="order", array_like=True):
    """An operator's word, by the command line."""

    number: int
    what: str  # status, accept, hold, lift, put
    who: str = ""
    key: str = ""
    value: str = ""


class Report(msgspec.Struct, tag="report", array_like=True):
    """The answer to an operator."""

    number: int
    fields: dict[str, Any]


Message = Beat | Ask | Tell | Copy | Copied | Read | Compare | Compared | Agree | Want | Have | Order | Report
_DECODER = msgspec.msgpack.Decoder(
    Beat | Ask | Tell | Copy | Copied | Read | Compare | Compared | Agree | Want | Have | Order | Report
)


class Stranger(Exception):
    """What came is no frame of this group's."""


class Wire:
    """One connection's frames, both ways."""

    def __init__(self, key: str, dialled: bool, own: bytes) -> None:
        """`own`: 16 random bytes, which are to be sent first."""
        self._shared, self._dialled, self._own = key, dialled, own
        self._data = bytearray()
        self._keys: tuple[bytes, bytes] | None = None  # sending, receiving
        self._sent = self._received = 0

    @property
    def ready(self) -> bool:
        """Whether the other side's bytes have come, so that frames can be sent."""
        return self._keys is not None

    def feed(self, data: bytes) -> list[Message]:
        """Take in bytes; the messages that are whole by now. Stranger where they are none of ours."""
        self._data += data
        if self._keys is None:
            if len(self._data) < NONCE:
                return []
            self._derive(bytes(self._data[:NONCE]))
            del self._data[:NONCE]
        found: list[Message] = []
        while len(self._data) >= _HEAD.size:
            length, checksum = _HEAD.unpack_from(self._data)
            if length > FRAME_MOST:
                raise Stranger("a frame over the limit")
            if len(self._data) < _HEAD.size + length:
                break
            body = bytes(self._data[_HEAD.size : _HEAD.size + length])
            assert self._keys
            self._received += 1
            if not hmac.compare_digest(checksum, _sum(self._keys[1], self._received, body)):
                raise Stranger("a frame with another key")
            del self._data[: _HEAD.size + length]
            try:
                found.append(_DECODER.decode(body))
            except msgspec.MsgspecError as error:
                raise Stranger(f"a frame that cannot be read: {error}") from None
        return found

    def frame(self, message: Message) -> bytes:
        """The bytes of a message."""
        assert self._keys
        body = msgspec.msgpack.encode(message)
        self._sent += 1
        return _HEAD.pack(len(body), _sum(self._keys[0], self._sent, body)) + body

    def _derive(self, theirs: bytes) -> None:
        first, second = (theirs, self._own) if self._dialled else (self._own, theirs)
        out, back = (
            blake2b(first + second + way, key=_key(self._shared), digest_size=32).digest()
            for way in (b">", b"<")
        )
        self._keys = (out, back) if self._dialled else (back, out)


def _key(shared: str) -> bytes:
    return blake2b(shared.encode(), digest_size=32).digest()


def _sum(key: bytes, number: int, body: bytes) -> bytes:
    return blake2b(number.to_bytes(8, "little") + body, key=key, digest_size=16).digest()
