"""Request tracing: one log line for each step of a request, from connection to close."""

from __future__ import annotations

from enum import Enum
from typing import Any

from frostfall import log

_log = log.get_logger("trace")


class Step(Enum):
    """A step in the processing of a request or client connection."""

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
    """Logs the steps of requests while tracing is enabled.

    Callers check `enabled` first, so that no arguments are computed while tracing is disabled.
    """

    def __init__(self, enabled: bool = False) -> None:
        """Create a trace that is initially enabled or disabled."""
        self.enabled = enabled

    def record(self, step: Step, **fields: Any) -> None:
        """Log one step; the fields `request` and `connection` identify its request and connection."""
        _log.info(step.value, **fields)
