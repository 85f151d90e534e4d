"""Messages between members of a group, encoded as msgpack arrays with fixed tags and order of fields.

`protocol.authenticated_channel` frames the messages. A reply repeats the `request_id` of its request.
Incarnation tokens identify the run of the sender's process from which a message was sent.
"""

from __future__ import annotations

from typing import Any

import msgspec

# Levels of a DigestRequest.
DIGEST_SUMS = 0
DIGEST_ENTRIES = 1
DIGEST_ITEMS = 2


class Heartbeat(msgspec.Struct, tag="beat", array_like=True):
    """The sender's state, and what the sender has on disk about the receiver; answered by a heartbeat."""

    sender: str
    incarnation: int
    durable_batch: int  # number of the last durable batch of the sender's log
    incarnation_token: str
    wall_time: float  # seconds of Unix time by the sender's clock
    readiness_stage: str  # the stage for which the sender waits; "" once it is ready
    incomplete_reason: str  # why the sender's log is incomplete; "" if it is complete
    startup_incarnation: tuple[int, int, str]  # of the sender's log on startup: last number, batch and token
    recorded_incarnation: tuple[int, int, str]  # the same for the receiver, from the sender's disk
    recorded_is_alive: bool  # whether the sender receives heartbeats of that incarnation
    stale_reason: str  # why the sender considers the receiver's log stale; "" if it does not
    request_id: int = 0  # 0 in a reply
    endpoint_list_generation: int = -1  # of the sender's newest list from discovery; -1 without a list
    rolled_back_build: int = 0  # newest build that has been rolled back, as far as recorded by the sender
    operator_hold: tuple[int, str] = (0, "")  # serial number and operator of the sender's hold of votes
    recorded_operator_hold: tuple[int, str] = (0, "")  # the same for the receiver, from the sender's disk


class StatusQuery(msgspec.Struct, tag="ask", array_like=True):
    """Query the receiver's status of operations, whose intents the sender has recorded on disk."""

    request_id: int
    operations: list[str]
    sender: str = ""
    incarnation_token: str = ""


class StatusReply(msgspec.Struct, tag="tell", array_like=True):
    """Reply to StatusQuery and FencedRead."""

    request_id: int
    statuses: list[tuple[str, bytes | None]]  # in the order of the query: status, and the answer if recorded
    incarnation_token: str = ""
    recorded_tokens: dict[str, str] = {}  # of all other members, from the sender's disk


class ReplicateRequest(msgspec.Struct, tag="copy", array_like=True):
    """Request that the receiver store a replica of one of the sender's operations."""

    request_id: int
    owner: str
    state: int  # a RecordState
    operation: str
    answer: bytes | None
    incarnation_token: str = ""  # of the owner


class ReplicateReply(msgspec.Struct, tag="copied", array_like=True):
    """Reply to ReplicateRequest, sent once the replica is durable."""

    request_id: int
    rejected: bool  # whether a quorum has already settled the operation
    incarnation_token: str = ""  # of the replica holder; "" if its log is incomplete
    stored: bool = True  # whether the replica is on disk


class FencedRead(msgspec.Struct, tag="read", array_like=True):
    """Query the receiver's replica of an owner's operation."""

    request_id: int
    owner: str
    operation: str
    fence: bool  # if there is no replica, the receiver has to reject any later one
    sender: str
    incarnation_token: str


class DigestRequest(msgspec.Struct, tag="compare", array_like=True):
    """Query a part of the digest tree over an owner's operations."""

    request_id: int
    owner: str
    compare_fences: bool  # whether the tree over fences is queried instead
    level: int  # DIGEST_SUMS, DIGEST_ENTRIES or DIGEST_ITEMS
    depth: int
    selectors: list[int]  # prefixes of keys; complete keys if level is DIGEST_ITEMS
    sender: str
    incarnation_token: str
    session: int  # all requests of a session are answered from one state of the receiver's log


class DigestReply(msgspec.Struct, tag="compared", array_like=True):
    """Reply to DigestRequest."""

    request_id: int
    authoritative: bool  # whether the log is complete and contains the requester's current incarnation
    incarnation_token: str
    data: bytes
    items: list[tuple[int, str, bytes | None, int]]  # state, operation, answer, age in seconds


class ConsensusMessage(msgspec.Struct, tag="agree", array_like=True):
    """A Raft message of the replicated register; it has no reply."""

    sender: str
    payload: bytes


class EndpointListRequest(msgspec.Struct, tag="want", array_like=True):
    """Request the receiver's endpoint list."""

    request_id: int


class EndpointListReply(msgspec.Struct, tag="have", array_like=True):
    """Reply to EndpointListRequest."""

    request_id: int
    endpoint_list: Any  # in its format in the cache on disk; None if there is no list


class OperatorCommand(msgspec.Struct, tag="order", array_like=True):
    """An operator's command, sent by the command line."""

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
