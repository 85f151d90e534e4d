"""The result of an attempt, including how far the attempt had progressed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

from frostfall.interface import Outcome
from frostfall.protocol.pg_client import Answer, ErrorAnswer, Row

# SQLSTATE codes of queries that the server rejected without running them: too many connections, cannot
# connect now.
REJECTION_CODES = frozenset({"53300", "57P03"})


class FinalOutcome(Enum):
    """The kind of final answer to a request."""

    SERVED = "served"
    REJECTED = "refused"  # the request never ran, and a retry is harmless
    FAILED = "failed"  # the request may have run


class AttemptProgress(IntEnum):
    """The progress of an attempt."""

    NO_CONNECTION = 0
    NOT_WRITTEN = 1  # the last byte of the query had not been handed to the kernel
    WRITTEN = 2
    ANSWERING = 3


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The answer to an attempt, or what ended the attempt without an answer."""

    progress: AttemptProgress
    answer: Answer | None = None
    timed_out: bool = False
    cancelled: bool = False
    stalled: bool = False  # abandoned because the server read or sent bytes too slowly
    withheld: bool = False  # the agent itself decided not to write the query
    load_report: str | None = None  # the load report sent with the answer
    reason: str = ""

    @property
    def outcome(self) -> Outcome:
        """The outcome for the policy engine; in doubt, one that allows for the attempt to have run."""
        answer, started = self.answer, self.progress >= AttemptProgress.WRITTEN
        if isinstance(answer, Row):
            return Outcome.SUCCESS
        if isinstance(answer, ErrorAnswer):
            if answer.code in REJECTION_CODES:
                return Outcome.OVERLOADED
            return Outcome.ERROR if started else Outcome.UNREACHABLE
        if self.withheld:
            return Outcome.NEVER_SENT
        if self.cancelled:
            return Outcome.CANCELLED
        if not started:
            return Outcome.UNREACHABLE
        return Outcome.TIMED_OUT if self.timed_out or self.stalled else Outcome.RESET
