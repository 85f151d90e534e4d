"""Run-time checks of what must always hold: violations are counted by name, the first of each is logged."""

from __future__ import annotations

from collections import Counter
from enum import Enum

from frostfall import log

_log = log.get_logger("agent")


class Invariant(Enum):
    """What must hold at each of the guarded steps."""

    ACCEPT_ONE_AT_A_TIME = "a connection has at most one query accepted and not answered"
    WRITE_FOR_OPEN_REQUEST = "an attempt is written only while its request waits for an answer"
    WRITE_IN_TIME = "an attempt is written only before its request's deadline"
    WRITE_ON_LEASE = "an attempt is written only to a server that the list holds as up, within its lease"
    REPEAT_IF_SAFE = "a further attempt is written only where no earlier one may have run, or harmlessly so"
    CLOSE_WHEN_ANSWERED = "a connection is closed only when all that was read from it is answered"
    EXIT_WHEN_ANSWERED = "the agent ends only when all that it accepted is answered"


class InvariantMonitor:
    """Counts violations; a violation is never silent, and never ends the agent."""

    def __init__(self) -> None:
        """Start without a violation."""
        self._counts = Counter[str]()

    @property
    def counts(self) -> dict[str, int]:
        """Violations by the invariant's name, over the agent's whole life."""
        return dict(self._counts)

    def check(self, invariant: Invariant, holds: bool, request: str | None, detail: str = "") -> bool:
        """Whether the invariant holds; if not, count it, and log the first with the request's id."""
        if holds:
            return True
        self._counts[invariant.name.lower()] += 1
        if self._counts[invariant.name.lower()] == 1:
            _log.error("invariant violated", invariant=invariant.value, request=request, detail=detail)
        return False
