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

NONCE_BYTES = 16
MAX_FRAME_BYTES = 1024 * 1024  # bytes
DIGEST_SUMS, DIGEST_ENTRIES, DIGEST_ITEMS = 0, 1, 2  # what a comparison asks for
_HEAD = struct.Struct("<I16s")


class Heartbeat(msgspec.Struct, tag="beat", array_like=True):
    """How the sender is, and what it has on disk of the member that it speaks to."""

    sender: str
    incarnation: int
    durable_batch: int
    incarnation_token: str  # of the sender's life
    wall_time: float  # seconds of Unix time by its clock
    readiness_stage: str
    incomplete_reason: str
    startup_incarnation: tuple[
        int, int, str
    ]  # incarnation, batch and token of the sender's folder when it started
    recorded_incarnation: tuple[int, int, str]  # the same of the receiver, as it was last written down
    recorded_is_alive: bool  # whether that life of the receiver is being heard
    stale_reason: str  # why the receiver's folder is older than what was known of it
    request_id: int = 0  # of the question, 0 in what is no question
    endpoint_list_generation: int = (
        -1
    )  # the generation of the newest server list that the sender has had from discovery
    rolled_back_build: int = 0  # the newest build that the sender knows to have gone back
    operator_hold: tuple[int, str] = (0, "")  # what operators told the sender to hold, with its serial number
    recorded_operator_hold: tuple[int, str] = (0, "")  # the same of the receiver, as it was written down


class StatusQuery(msgspec.Struct, tag="ask", array_like=True):
    """What do you know of these operations? The sender's intents are on disk."""

    request_id: int
    operations: list[str]
    sender: str = ""
    incarnation_token: str = ""  # of the sender's life


class StatusReply(msgspec.Struct, tag="tell", array_like=True):
    """The answer, in order: a word for each, with the answer that was given where there is one."""

    request_id: int
    statuses: list[tuple[str, bytes | None]]
    incarnation_token: str = ""  # of the teller's life
    recorded_tokens: dict[str, str] = {}  # the tokens of all others' lives that it has on disk


class ReplicateRequest(msgspec.Struct, tag="copy", array_like=True):
    """Keep this operation of the sender's: its state, name and answer."""

    request_id: int
    owner: str
    state: int
    operation: str
    answer: bytes | None
    incarnation_token: str = ""  # of the owner's life


class ReplicateReply(msgspec.Struct, tag="copied", array_like=True):
    """It is on disk; or `refused`: others have settled it."""

    request_id: int
    rejected: bool
    incarnation_token: str = ""  # of the holder's life, where its word counts
    stored: bool = True  # whether it is on disk at all


class FencedRead(msgspec.Struct, tag="read", array_like=True):
    """Tell what the copies of an owner's operation say; fence it where they say nothing, if told so."""

    request_id: int
    owner: str
    operation: str
    fence: bool
    sender: str
    incarnation_token: str  # of the sender's life


class DigestRequest(msgspec.Struct, tag="compare", array_like=True):
    """A question on the record of an owner: of sums, entries or whole items, as `what` says."""

    request_id: int
    owner: str
    compare_fences: bool  # on fences instead of operations
    level: int  # SUMS, ENTRIES or ITEMS
    depth: int
    selectors: list[int]  # prefixes, or keys
    sender: str
    incarnation_token: str  # of the sender's life
    session: int  # all questions of one session are answered from what was on disk after it began


class DigestReply(msgspec.Struct, tag="compared", array_like=True):
    """The answer; `sure`: the record is whole, and has the sender's present life."""

    request_id: int
    authoritative: bool
    incarnation_token: str  # of the teller's life
    data: bytes
    items: list[tuple[int, str, bytes | None, int]]  # state, operation, answer, seconds of age


class ConsensusMessage(msgspec.Struct, tag="agree", array_like=True):
    """A word of the register's protocol, which nothing answers."""

    sender: str
    payload: bytes


class EndpointListRequest(msgspec.Struct, tag="want", array_like=True):
    """Give me the server list that you have."""

    request_id: int


class EndpointListReply(msgspec.Struct, tag="have", array_like=True):
    """The list, as the store keeps it; None where there is none."""

    request_id: int
    endpoint_list: Any


class OperatorCommand(msgspec.Struct, tag="order", array_like=True):
    """An operator's word, by the command line."""

    request_id: int
    command: str  # status, accept, hold, lift, put
    operator: str = ""
    key: str = ""
    value: str = ""


class OperatorReport(msgspec.Struct, tag="report", array_like=True):
    """The answer to an operator."""

    request_id: int
    fields: dict[str, Any]


MemberMessage = (
    Heartbeat
    | StatusQuery
    | StatusReply
    | ReplicateRequest
    | ReplicateReply
    | FencedRead
    | DigestRequest
    | DigestReply
    | ConsensusMessage
    | EndpointListRequest
    | EndpointListReply
    | OperatorCommand
    | OperatorReport
)
_DECODER = msgspec.msgpack.Decoder(
    Heartbeat
    | StatusQuery
    | StatusReply
    | ReplicateRequest
    | ReplicateReply
    | FencedRead
    | DigestRequest
    | DigestReply
    | ConsensusMessage
    | EndpointListRequest
    | EndpointListReply
    | OperatorCommand
    | OperatorReport
)


class MemberProtocolError(Exception):
    """What came is no frame of this group's."""


class AuthenticatedChannel:
    """One connection's frames, both ways."""

    def __init__(self, shared_key: str, is_initiator: bool, own_nonce: bytes) -> None:
        """`own`: 16 random bytes, which are to be sent first."""
        self._shared, self._dialled, self._own = shared_key, is_initiator, own_nonce
        self._data = bytearray()
        self._keys: tuple[bytes, bytes] | None = None  # sending, receiving
        self._sent = self._received = 0

    @property
    def is_ready(self) -> bool:
        """Whether the other side's bytes have come, so that frames can be sent."""
        return self._keys is not None

    def receive_data(self, data: bytes) -> list[MemberMessage]:
        """Take in bytes; the messages that are whole by now. Stranger where they are none of ours."""
        self._data += data
        if self._keys is None:
            if len(self._data) < NONCE_BYTES:
                return []
            self._derive(bytes(self._data[:NONCE_BYTES]))
            del self._data[:NONCE_BYTES]
        found: list[MemberMessage] = []
        while len(self._data) >= _HEAD.size:
            length, checksum = _HEAD.unpack_from(self._data)
            if length > MAX_FRAME_BYTES:
                raise MemberProtocolError("a frame over the limit")
            if len(self._data) < _HEAD.size + length:
                break
            body = bytes(self._data[_HEAD.size : _HEAD.size + length])
            assert self._keys
            self._received += 1
            if not hmac.compare_digest(checksum, _sum(self._keys[1], self._received, body)):
                raise MemberProtocolError("a frame with another key")
            del self._data[: _HEAD.size + length]
            try:
                found.append(_DECODER.decode(body))
            except msgspec.MsgspecError as error:
                raise MemberProtocolError(f"a frame that cannot be read: {error}") from None
        return found

    def encode(self, message: MemberMessage) -> bytes:
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
