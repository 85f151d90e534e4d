"""Run-time invariant checks: violations are counted by name, and the first of each is logged."""

from __future__ import annotations

from collections import Counter
from enum import Enum

from frostfall import log

_log = log.get_logger("agent")


class Invariant(Enum):
    """A condition that must hold whenever the step it guards is taken."""

    ACCEPT_ONE_AT_A_TIME = "a connection has at most one query accepted and not answered"
    WRITE_FOR_OPEN_REQUEST = "an attempt is written only while its request awaits an answer"
    WRITE_IN_TIME = "an attempt is written only before its request's deadline"
    WRITE_ON_LEASE = (
        "an attempt is written only to a server that is up in an endpoint list with a valid lease"
    )
    REPEAT_IF_SAFE = (
        "a retry is written only if no earlier attempt may have run or running it again is harmless"
    )
    CLOSE_WHEN_ANSWERED = "a connection is closed only when every query read from it is answered"
    EXIT_WHEN_ANSWERED = "the agent exits only when every accepted query is answered"


class InvariantMonitor:
    """Counts and logs violations; a violation never ends the agent."""

    def __init__(self) -> None:
        """Start with no violations."""
        self._counts = Counter[str]()

    @property
    def counts(self) -> dict[str, int]:
        """Violations since the agent started, by name of the invariant."""
        return dict(self._counts)

    def check(self, invariant: Invariant, holds: bool, request: str | None, detail: str = "") -> bool:
        """Return `holds`; count a violation, and log the first of each invariant with its request id."""
        if holds:
            return True
        self._counts[invariant.name.lower()] += 1
        if self._counts[invariant.name.lower()] == 1:
            _log.error("invariant violated", invariant=invariant.value, request=request, detail=detail)
        return False
