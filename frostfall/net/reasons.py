"""The reasons for closing connections, cancelling attempts and rejecting queries."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """The reason why a client connection was closed."""

    CLIENT_LEFT = "the client closed it"
    CLIENT_TERMINATED = "the client sent Terminate"
    BROKEN = "the network broke it"
    DRAINED = "the agent is draining, and the last answer was given"
    NEEDED_ROOM = "idle, and its place was needed"
    IDLE = "idle for long, with many open"
    OVERFLOW = "beyond the bound, and rejected"
    SILENT = "no whole query in time"
    MALFORMED = "the client does not speak the protocol"
    OVERSIZE = "too much is unread in all connections"
    CLIENT_READS_TOO_SLOWLY = "the client does not read its answers in time"
    SHUTDOWN = "the agent's time to shut down is over"
    FAULT = "a fault of the agent"


class CancelReason(Enum):
    """The reason why an attempt was cancelled."""

    DECIDED = "another attempt was answered, or the attempt timed out"


class RejectReason(Enum):
    """The reason why a query was rejected without passing it to the policy engine."""

    DRAINING = "admission has ended"
    OVERFLOW = "no room for its connection"
    SHUTDOWN = "the agent's time to shut down is over"
    FAULT = "a fault of the agent"
