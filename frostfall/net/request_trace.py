"""The trace of requests: one log line for each step of a request, from its connection to its end."""

from __future__ import annotations

from enum import Enum
from typing import Any

from frostfall import log

_log = log.get_logger("trace")


class Step(Enum):
    """A step in the life of a request or of a client's connection."""

    CONNECTED = "connected"
    ACCEPTED = "accepted"
    REJECTED = "rejected"
    ATTEMPT_STARTED = "attempt started"
    ATTEMPT_WRITTEN = "attempt written"
    ATTEMPT_CANCELLED = "attempt cancelled"
    ATTEMPT_ENDED = "attempt ended"
    ANSWERED = "answered"
    CLIENT_LEFT = "client left"
    CLOSED = "closed"


class RequestTrace:
    """Writes steps to the log while it is enabled.

    Callers ask for `enabled` first, so that the arguments of a step cost nothing while it is off.
    """

    def __init__(self, enabled: bool = False) -> None:
        """Trace requests from the start, or not."""
        self.enabled = enabled

    def record(self, step: Step, **fields: Any) -> None:
        """Write one step; `request` and `connection` name what it belongs to."""
        _log.info(step.value, **fields)
