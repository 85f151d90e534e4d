"""Statistics of a simulated fleet, used by tests and measurements."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from frostfall import interface as api
from frostfall.model.event_queue import SECOND, Micros


class RequestOutcome(StrEnum):
    """Outcome of a request for its client."""

    SERVED = "served"
    LATE = "late"  # served after its deadline
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class ListCall:
    """A call of an agent to discovery for the server list."""

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
    """Counters and events of all agents."""

    requests: int = 0
    outcomes: Counter[RequestOutcome] = field(default_factory=Counter)
    duplicate_answers: int = 0  # answers to requests that had been answered before
    messages: int = 0  # gossip messages sent between agents
    list_calls: list[ListCall] = field(default_factory=list)
    votes: list[Vote] = field(default_factory=list)
    errors: list[AttemptError] = field(default_factory=list)

    def vote_times(self, verdict: api.Verdict) -> list[Micros]:
        """Return the times at which votes with this verdict were cast."""
        return [vote.at for vote in self.votes if vote.verdict is verdict]

    def peak_list_calls(self, window: Micros = SECOND) -> int:
        """Return the largest number of calls for the server list within any window, over all agents."""
        times = sorted(call.at for call in self.list_calls)
        first = peak = 0
        for last, at in enumerate(times):
            while times[first] <= at - window:
                first += 1
            peak = max(peak, last - first + 1)
        return peak
