"""The state that an agent holds on servers, requests and votes, without any decisions."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from frostfall import interface as api
from frostfall.interface import DeduplicationScope, Idempotency, Microseconds, Outcome, Verdict
from frostfall.mechanisms.backoff import ExponentialBackoff
from frostfall.mechanisms.sequential_test import StageKey
from frostfall.shared_health.server_health import ServerIncarnation

UNKNOWN_AGE: Microseconds = 1 << 60  # age of a server whose start is unknown and counts as long ago
MIN_SIZE = 0.1  # smallest server size by which a load is divided


@dataclass(slots=True)
class PendingVote:
    """The vote that was last cast."""

    verdict: Verdict
    key: StageKey
    renew_at: Microseconds


@dataclass(slots=True, eq=False)
class ServerState:
    """The agent's view of a server; a restart or a new build creates a new instance."""

    info: api.Server
    ejection: ExponentialBackoff  # durations of ejections after the server was unreachable
    rank: float = 0.0  # position in this agent's own order of servers
    in_flight: dict[tuple[str, int], Microseconds] = field(default_factory=dict)  # send times, by attempt
    others_in_flight: float = 0.0  # requests of other agents at the server, by its load reports
    reported_at: Microseconds = 0
    slowness: float = 1.0  # response times relative to those expected
    error_rate: float = 0.0  # recent share of errors
    learned_at: Microseconds = 0  # when slowness and error rate were last updated
    ejected_until: Microseconds = 0
    last_response_at: Microseconds = 0  # of an attempt or a health check
    served_at: Microseconds | None = None  # when the server last served an attempt
    checked_at: Microseconds = 0  # when a health check was last sent
    warm_up_credit: float = 0.0  # attempts that the warm-up budget allowed at the last update
    credit_updated_at: Microseconds = 0
    started_at: Microseconds = 0  # by this agent's clock; 0: long ago
    shared_error_rate: float = 0.0  # recent share of failures, as counted by all agents together

    @property
    def incarnation(self) -> ServerIncarnation:
        """The server's id and start time, which identify it across restarts."""
        return self.info.id, self.info.started_at

    def age(self, now: Microseconds) -> Microseconds:
        """Return the time since the server's start."""
        return now - self.started_at if self.started_at else UNKNOWN_AGE

    def warm_up_share(self, now: Microseconds, rules: api.Rules) -> float:
        """Return the lowest share of its full capacity that the server can have at its age."""
        initial, age = rules.warm_up_initial_share, self.age(now)
        if age >= rules.warm_up_duration:
            return initial + (1 - initial)
        return initial + (1 - initial) * (max(age, 0) / max(rules.warm_up_duration, 1))

    def load(self, now: Microseconds, typical_others: float, memory: Microseconds) -> float:
        """Return the requests in flight at the server plus one, divided by its size.

        The reported number of other agents' requests fades to the value that is typical of the fleet.
        """
        report = math.exp((self.reported_at - now) / memory)
        others = typical_others + (self.others_in_flight - typical_others) * report
        return (1.0 + len(self.in_flight) + others) / max(self.info.size, MIN_SIZE)

    def oldest_attempt_age(self, now: Microseconds) -> Microseconds:
        """Return how long the oldest attempt has been in flight at the server; there must be one."""
        return now - min(self.in_flight.values())

    def accrue_credit(self, now: Microseconds, rate: float, longest: Microseconds) -> float:
        """Add warm-up credit at a rate per second since the last update, up to one attempt, and return it."""
        span = min(now - self.credit_updated_at, longest) / 1e6
        self.warm_up_credit = min(self.warm_up_credit + rate * span, 1.0)
        self.credit_updated_at = now
        return self.warm_up_credit

    def spend_credit(self) -> None:
        """Take the credit of one attempt."""
        self.warm_up_credit = max(self.warm_up_credit - 1, 0.0)

    def decay(self, now: Microseconds, memory: Microseconds) -> None:
        """Let slowness and the error rate decay to 1 and 0 with the time since the last update."""
        retained = math.exp((self.learned_at - now) / memory)
        self.error_rate *= retained
        self.slowness = 1 + (self.slowness - 1) * retained
        self.learned_at = now


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt; `server` is the server's state at the time of sending."""

    server: ServerState
    sent_at: Microseconds
    relative_load: float = 1.0  # load of the server relative to others when the attempt was sent
    outcome: Outcome | None = None
    counted_as_late: bool = False  # whether the running test counted it as late before its end

    @property
    def may_have_run(self) -> bool:
        """Whether the attempt is in flight, or has ended without proof that it never ran."""
        return self.outcome is None or not self.outcome.never_ran

    @property
    def was_silent(self) -> bool:
        """Whether the attempt ended and the server had sent nothing since its beginning."""
        if self.outcome is Outcome.TIMED_OUT:
            return self.server.last_response_at <= self.sent_at
        return self.outcome is Outcome.UNREACHABLE


@dataclass(slots=True)
class PendingRequest:
    """An accepted request, until it is answered and its attempts have ended."""

    arrival: api.RequestArrived
    request_class: api.RequestClass
    arrived_at: Microseconds
    exposure_group: str = ""  # name of the exposure count that includes this request
    attempts: list[Attempt] = field(default_factory=list)
    done: bool = False
    streaming: bool = False
    counted_in_test: bool = False  # whether the running test has counted an outcome of this request
    timer_due: Microseconds = 0  # when the last timer that was set for the request fires

    @property
    def name(self) -> str:
        """The name of the request in events and actions."""
        return self.arrival.request

    @property
    def attempts_ended(self) -> bool:
        """Whether no attempt is in flight."""
        return None not in [attempt.outcome for attempt in self.attempts]

    def attempts_in_flight(self) -> Iterator[int]:
        """Return the numbers of the attempts in flight."""
        return (number for number, attempt in enumerate(self.attempts) if attempt.outcome is None)


class RoutingChoice(NamedTuple):
    """A server that a request may go to."""

    server: ServerState
    load: float
    mean_load: float  # mean load of the servers in the sample
    sharpness: float  # exponent of the cost in the choice

    @property
    def relative_load(self) -> float:
        """The load divided by the mean load, at least 1."""
        return max(1.0, self.load / self.mean_load)


class Placement(NamedTuple):
    """The server that a request goes to, or whether it waits; with neither, it is given up."""

    choice: RoutingChoice | None
    waits: bool
    health_check: ServerState | None  # a server to check at the same time


def unknown_class(name: str, time_left: Microseconds) -> api.RequestClass:
    """Return a class that the settings do not name, with the weakest guarantees."""
    return api.RequestClass(
        name=name,
        idempotency=Idempotency.NON_IDEMPOTENT,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window=0,
        latency_objective=time_left,
        deadline=time_left,
        priority_weight=0.0,
    )
