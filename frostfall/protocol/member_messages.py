"""Messages between members of the group, as msgpack arrays: their tags and the order of fields are fixed.

`protocol.authenticated_channel` frames them. A request carries a `request_id`, which its reply repeats.
Incarnation tokens tell the receiver which run of the sender a message is from.
"""

from __future__ import annotations

from typing import Any

import msgspec

# Levels of a DigestRequest.
DIGEST_SUMS = 0
DIGEST_ENTRIES = 1
DIGEST_ITEMS = 2


class Heartbeat(msgspec.Struct, tag="beat", array_like=True):
    """State of the sender, and what it has on disk of the receiver. The reply is a heartbeat too."""

    sender: str
    incarnation: int
    durable_batch: int  # last batch of the sender's log that is durable
    incarnation_token: str
    wall_time: float  # seconds of Unix time by the sender's clock
    readiness_stage: str  # that the sender waits for; "" once it is ready
    incomplete_reason: str  # why the sender's log is incomplete; "" where it is not
    startup_incarnation: tuple[int, int, str]  # number, batch and token that the sender's log ended with
    recorded_incarnation: tuple[int, int, str]  # the same of the receiver, as the sender has it on disk
    recorded_is_alive: bool  # whether the sender receives heartbeats of that incarnation
    stale_reason: str  # why the sender holds the receiver's log for stale
    request_id: int = 0  # 0 in a reply
    endpoint_list_generation: int = -1  # of the newest list that the sender has from discovery
    rolled_back_build: int = 0  # newest build that the sender knows to have been rolled back
    operator_hold: tuple[int, str] = (0, "")  # serial number and operator of the sender's hold
    recorded_operator_hold: tuple[int, str] = (0, "")  # the same of the receiver, as on the sender's disk


class StatusQuery(msgspec.Struct, tag="ask", array_like=True):
    """Ask what the receiver knows of some operations, whose intents the sender has on disk."""

    request_id: int
    operations: list[str]
    sender: str = ""
    incarnation_token: str = ""


class StatusReply(msgspec.Struct, tag="tell", array_like=True):
    """Reply to StatusQuery and FencedRead."""

    request_id: int
    statuses: list[tuple[str, bytes | None]]  # as queried: status, and the answer if it is known
    incarnation_token: str = ""
    recorded_tokens: dict[str, str] = {}  # of all other members, as the sender has them on disk


class ReplicateRequest(msgspec.Struct, tag="copy", array_like=True):
    """Ask the receiver to keep a replica of an operation of the sender's."""

    request_id: int
    owner: str
    state: int  # a RecordState
    operation: str
    answer: bytes | None
    incarnation_token: str = ""  # of the owner


class ReplicateReply(msgspec.Struct, tag="copied", array_like=True):
    """Reply to ReplicateRequest, once the replica is durable."""

    request_id: int
    rejected: bool  # a quorum has already settled the operation
    incarnation_token: str = ""  # of the replica holder; "" where its record is not complete
    stored: bool = True  # whether the replica is on disk at all


class FencedRead(msgspec.Struct, tag="read", array_like=True):
    """Ask what the receiver's replica of an owner's operation says."""

    request_id: int
    owner: str
    operation: str
    fence: bool  # where there is no replica, never accept one from now on
    sender: str
    incarnation_token: str


class DigestRequest(msgspec.Struct, tag="compare", array_like=True):
    """Ask for a part of the digest tree over an owner's operations."""

    request_id: int
    owner: str
    compare_fences: bool  # of fences instead of operations
    level: int  # DIGEST_SUMS, DIGEST_ENTRIES or DIGEST_ITEMS
    depth: int
    selectors: list[int]  # prefixes of keys, or keys for DIGEST_ITEMS
    sender: str
    incarnation_token: str
    session: int  # all requests of a session are answered from one state of the receiver's log


class DigestReply(msgspec.Struct, tag="compared", array_like=True):
    """Reply to DigestRequest."""

    request_id: int
    authoritative: bool  # the record is complete, and holds the requester's present incarnation
    incarnation_token: str
    data: bytes
    items: list[tuple[int, str, bytes | None, int]]  # state, operation, answer, age in seconds


class ConsensusMessage(msgspec.Struct, tag="agree", array_like=True):
    """A Raft message of the register; it has no reply."""

    sender: str
    payload: bytes


class EndpointListRequest(msgspec.Struct, tag="want", array_like=True):
    """Ask for the receiver's endpoint list."""

    request_id: int


class EndpointListReply(msgspec.Struct, tag="have", array_like=True):
    """Reply to EndpointListRequest."""

    request_id: int
    endpoint_list: Any  # in the form in which it is cached on disk; None where there is none


class OperatorCommand(msgspec.Struct, tag="order", array_like=True):
    """A command of an operator, from the command line."""

    request_id: int
    command: str  # status, accept, hold, lift or put
    operator: str = ""
    key: str = ""
    value: str = ""


class OperatorReport(msgspec.Struct, tag="report", array_like=True):
    """Reply to OperatorCommand."""

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
_DECODER: msgspec.msgpack.Decoder[MemberMessage] = msgspec.msgpack.Decoder(MemberMessage)


def encode_message(message: MemberMessage) -> bytes:
    """Encode a message as the body of a frame."""
    return msgspec.msgpack.encode(message)


def decode_message(body: bytes) -> MemberMessage:
    """Decode the body of a frame; raises msgspec.MsgspecError."""
    return _DECODER.decode(body)
