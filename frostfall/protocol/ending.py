"""How an attempt ended, as a value that carries how far it had come."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

from frostfall.interface import Outcome
from frostfall.protocol.pg_client import Answer, Refusal, Row

REFUSALS = frozenset({"53300", "57P03"})  # turned away unseen: too many connections, or not serving now


class Final(Enum):
    """What a request's final answer says."""

    SERVED = "served"
    REFUSED = "refused"  # it never ran, and trying again is harmless
    FAILED = "failed"  # it may have run


class Progress(IntEnum):
    """How far an attempt had come."""

    NO_CONNECTION = 0
    NOT_WRITTEN = 1  # its last byte had not been handed to the kernel
    WRITTEN = 2
    ANSWERING = 3


@dataclass(frozen=True, slots=True)
class Ending:
    """The end of an attempt: what came back, or what stopped it."""

    progress: Progress
    answer: Answer | None = None
    timed_out: bool = False
    cancelled: bool = False
    stalled: bool = False  # given up because the server took or gave bytes too slowly
    withheld: bool = False  # the agent itself did not let it go out
    load: str | None = None  # the load report that came along
    why: str = ""

    @property
    def outcome(self) -> Outcome:
        """The same in the project's terms; where it is not sure, the attempt may have run."""
        answer, started = self.answer, self.progress >= Progress.WRITTEN
        if isinstance(answer, Row):
            return Outcome.SUCCESS
        if isinstance(answer, Refusal):
            if answer.code in REFUSALS:
                return Outcome.OVERLOADED
            return Outcome.ERROR if started else Outcome.UNREACHABLE
        if self.withheld:
            return Outcome.NEVER_SENT
        if self.cancelled:
            return Outcome.CANCELLED
        if not started:
            return Outcome.UNREACHABLE
        return Outcome.TIMED_OUT if self.timed_out or self.stalled else Outcome.RESET
