"""What a simulated fleet did, for checks and figures."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from frostfall import interface as api
from frostfall.model.event_queue import SECOND, Micros


class RequestOutcome(StrEnum):
    """How a request ended for its client."""

    SERVED = "served"
    LATE = "late"  # served after its deadline
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class ListCall:
    """An agent's call for the server list."""

    at: Micros
    agent: int


@dataclass(frozen=True, slots=True)
class Vote:
    """An agent's vote on a rollout."""

    at: Micros
    agent: int
    verdict: api.Verdict


@dataclass(frozen=True, slots=True)
class AttemptError:
    """An attempt that a server answered with an error."""

    at: Micros
    agent: int
    server: int


@dataclass(slots=True)
class FleetStatistics:
    """Counts and events of all agents together."""

    requests: int = 0
    outcomes: Counter[RequestOutcome] = field(default_factory=Counter)
    duplicate_answers: int = 0  # final answers beyond a request's first
    messages: int = 0  # between agents
    list_calls: list[ListCall] = field(default_factory=list)
    votes: list[Vote] = field(default_factory=list)
    errors: list[AttemptError] = field(default_factory=list)

    def vote_times(self, verdict: api.Verdict) -> list[Micros]:
        """When votes with this verdict were cast."""
        return [vote.at for vote in self.votes if vote.verdict is verdict]

    def peak_list_calls(self, window: Micros = SECOND) -> int:
        """List calls of all agents in the busiest window."""
        times = sorted(call.at for call in self.list_calls)
        first = peak = 0
        for last, at in enumerate(times):
            while times[first] <= at - window:
                first += 1
            peak = max(peak, last - first + 1)
        return peak
