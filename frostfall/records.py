"""The records in which an agent keeps what it knows of servers, requests and votes; they decide nothing."""

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

UNKNOWN_AGE: Microseconds = 1 << 60  # of a server that started before anyone took note: long ago
SMALLEST_SIZE = 0.1  # by which a load is divided at least


@dataclass(slots=True)
class PendingVote:
    """The vote that was cast last."""

    verdict: Verdict
    key: StageKey
    renew_at: Microseconds


@dataclass(slots=True, eq=False)
class ServerState:
    """A server as this agent sees it; a new start or build makes a new one."""

    info: api.Server
    ejection: ExponentialBackoff  # pauses after it was unreachable
    rank: float = 0.0  # its place in this agent's own order of servers
    in_flight: dict[tuple[str, int], Microseconds] = field(default_factory=dict)  # send times, by attempt
    others_in_flight: float = 0.0  # requests of the other agents there, by its reports
    reported_at: Microseconds = 0
    slowness: float = 1.0  # response times relative to those expected
    error_rate: float = 0.0  # recent share of errors
    learned_at: Microseconds = 0  # when slowness and error rate were updated
    ejected_until: Microseconds = 0
    last_response_at: Microseconds = 0  # of an attempt or a health check
    served_at: Microseconds | None = None  # when it last served an attempt
    checked_at: Microseconds = 0  # when a health check was sent
    warm_up_credit: float = 0.0  # sends that the warm-up budget allowed when it was last updated
    credit_updated_at: Microseconds = 0
    started_at: Microseconds = 0  # by this agent's clock; 0: long ago
    shared_error_rate: float = 0.0  # recent share of failures by what all agents saw

    @property
    def incarnation(self) -> ServerIncarnation:
        """Its id together with its start: after a restart it is another."""
        return self.info.id, self.info.started_at

    def age(self, now: Microseconds) -> Microseconds:
        """The time since its start."""
        return now - self.started_at if self.started_at else UNKNOWN_AGE

    def warmth(self, now: Microseconds, rules: api.Rules) -> float:
        """The least share of its full capacity that it can have while it warms up."""
        initial, age = rules.warm_up_initial_share, self.age(now)
        if age >= rules.warm_up_duration:
            return initial + (1 - initial)
        return initial + (1 - initial) * (max(age, 0) / max(rules.warm_up_duration, 1))

    def load(self, now: Microseconds, typical_others: float, memory: Microseconds) -> float:
        """Requests in flight there with one more, by its size.

        What it reported of other agents' requests fades to what is typical of the fleet.
        """
        report = math.exp((self.reported_at - now) / memory)
        others = typical_others + (self.others_in_flight - typical_others) * report
        return (1.0 + len(self.in_flight) + others) / max(self.info.size, SMALLEST_SIZE)

    def oldest_attempt_age(self, now: Microseconds) -> Microseconds:
        """How long the oldest attempt has been out there; there must be one."""
        return now - min(self.in_flight.values())

    def accrue_credit(self, now: Microseconds, rate: float, longest: Microseconds) -> float:
        """The sends that are allowed by now, one at most, at so many a second since the last update."""
        span = min(now - self.credit_updated_at, longest) / 1e6
        self.warm_up_credit = min(self.warm_up_credit + rate * span, 1.0)
        self.credit_updated_at = now
        return self.warm_up_credit

    def spend_credit(self) -> None:
        """A send goes out."""
        self.warm_up_credit = max(self.warm_up_credit - 1, 0.0)

    def fade(self, now: Microseconds, memory: Microseconds) -> None:
        """Let slowness and errors fade to the usual ones as time passes."""
        retained = math.exp((self.learned_at - now) / memory)
        self.error_rate *= retained
        self.slowness = 1 + (self.slowness - 1) * retained
        self.learned_at = now


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt; `server` is the entry that it was sent by."""

    server: ServerState
    sent_at: Microseconds
    relative_load: float = 1.0  # how much more the server had to do than others when it was sent
    outcome: Outcome | None = None
    timing_judged: bool = False  # whether it counts as late in the running test, before its end

    @property
    def may_have_run(self) -> bool:
        """Whether it is out or ended without proof that it never ran."""
        return self.outcome is None or not self.outcome.never_ran

    @property
    def was_silent(self) -> bool:
        """Whether it ended without anything having come from the server since it began."""
        if self.outcome is Outcome.TIMED_OUT:
            return self.server.last_response_at <= self.sent_at
        return self.outcome is Outcome.UNREACHABLE


@dataclass(slots=True)
class PendingRequest:
    """A request taken and not yet forgotten."""

    arrival: api.RequestArrived
    request_class: api.RequestClass
    arrived_at: Microseconds
    exposure_group: str = ""  # what the cap on exposure counts it with
    attempts: list[Attempt] = field(default_factory=list)
    done: bool = False
    streaming: bool = False
    judged: bool = False  # whether an outcome of it counts in the running test

    @property
    def name(self) -> str:
        """The name that events and actions have for it."""
        return self.arrival.request

    @property
    def attempts_ended(self) -> bool:
        """Whether no attempt is out."""
        return None not in [attempt.outcome for attempt in self.attempts]

    def attempts_out(self) -> Iterator[int]:
        """The numbers of the attempts that are out."""
        return (number for number, attempt in enumerate(self.attempts) if attempt.outcome is None)


class RoutingChoice(NamedTuple):
    """A server that a request may go to."""

    server: ServerState
    load: float
    mean_load: float  # of the servers that it is compared with
    sharpness: float  # the power of its cost in the choice

    @property
    def relative_load(self) -> float:
        """The load by the mean, at least 1."""
        return max(1.0, self.load / self.mean_load)


class Placement(NamedTuple):
    """Where a request goes, or whether it waits; with neither, it is given up."""

    choice: RoutingChoice | None
    waits: bool
    health_check: ServerState | None  # a server to be checked on this occasion


def unknown_class(name: str, time_left: Microseconds) -> api.RequestClass:
    """A class that the settings do not name, of which the least is promised."""
    return api.RequestClass(
        name=name,
        idempotency=Idempotency.NON_IDEMPOTENT,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window=0,
        latency_objective=time_left,
        deadline=time_left,
        priority_weight=0.0,
    )
