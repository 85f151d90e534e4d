"""The deployment's settings for an agent: request classes, tenants, the rollout, limits, rules and prices.

The types are independent of any protocol; `frostfall/settings.py` reads them from a configuration. Times are
whole microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from frostfall.interface import Server

Microseconds = int


class Idempotency(Enum):
    """Whether a request may be run more than once."""

    IDEMPOTENT = auto()
    KEYED = auto()  # a group of servers deduplicates repeats by their key within a window
    NON_IDEMPOTENT = auto()


class DeduplicationScope(Enum):
    """The group of servers that deduplicate repeats of a keyed request among each other."""

    ALL = auto()
    ZONE = auto()
    CELL = auto()


class RolloutControl(Enum):
    """The way in which a build moves from stage to stage."""

    VOTES = auto()  # by one vote, or by a configured number of votes
    AUTOMATIC = auto()  # by time; votes can only hold the build or roll it back


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests, with its latency objective, deadline and guarantees."""

    name: str
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: Microseconds
    latency_objective: Microseconds
    deadline: Microseconds
    priority_weight: float
    late_priority_weight: float = 0.0
    latency_objective_stretch: float = 0.0
    stream: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether a repeat is harmless at every server and at any time."""
        return self.idempotency is Idempotency.IDEMPOTENT

    @property
    def retryable(self) -> bool:
        """Whether some repeat may be harmless: the class is idempotent, or has idempotency keys."""
        return self.idempotency is not Idempotency.NON_IDEMPOTENT

    def deduplicates_between(self, first: Server, second: Server) -> bool:
        """Return whether two servers deduplicate repeats of a keyed request of this class."""
        if self.deduplication_scope is DeduplicationScope.ALL:
            return True
        if self.deduplication_scope is DeduplicationScope.ZONE:
            return first.zone == second.zone
        return first.cell == second.cell

    @property
    def repeatable_anywhere(self) -> bool:
        """Whether a repeat by a client is harmless at every server."""
        everywhere = self.deduplication_scope is DeduplicationScope.ALL
        return self.idempotent or (self.idempotency is Idempotency.KEYED and everywhere)


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer and its quota of requests per second at all agents together."""

    name: str
    quota: float
    share: float


@dataclass(frozen=True, slots=True)
class RolloutSettings:
    """The stages and caps of rollouts, and the rules of votes on builds."""

    control: RolloutControl
    stage_caps: tuple[float, ...]
    stage_shares: tuple[float, ...]
    exposure_window: Microseconds
    uncounted_attempts: float
    exposure_per_class: bool
    idempotent_only_stages: int
    forward_only_keys: bool
    keeps_old_servers: bool
    min_stage_duration: Microseconds
    stage_duration: Microseconds
    advance_votes: int
    rollback_votes: int
    hold_votes: int
    vote_lifetime: Microseconds
    vote_timeout: Microseconds
    votes_per_second: float
    state_period: Microseconds
    tally_period: Microseconds
    tally_sample_rate: float
    dispute_report_share: float
    delay_price: float
    harm_price: float
    key_affinity: bool


@dataclass(frozen=True, slots=True)
class Limits:
    """The features and bounds that the deployment permits."""

    max_attempts: int
    parallel_attempts: bool
    may_cancel: bool
    health_checks: bool
    gossip: bool
    retry_after: bool
    max_retry_after: Microseconds
    connect_timeout: Microseconds
    connection_idle_timeout: Microseconds  # an unused connection is closed after this time


@dataclass(frozen=True, slots=True)
class Rules:
    """The parameters of the rules on answers, drains, watches and warm-up."""

    answer_slack: Microseconds
    drain_grace: Microseconds
    watch_renewal_period: Microseconds
    warm_up_initial_share: float
    warm_up_duration: Microseconds
    overload_multiple: float
    overload_window: Microseconds


@dataclass(frozen=True, slots=True)
class Prices:
    """Penalties that the deployment deducts from an agent's score, as shares of the whole."""

    cross_zone: float
    waste: float
    health_check: float
    gossip: float
    late_fail: float


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings that an agent gets at its start."""

    agent: int
    agents: int
    zone: str
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    rollout: RolloutSettings | None
    limits: Limits
    rules: Rules
    prices: Prices
    needs_watch: bool
    load_by_health_check: bool
    over_quota_priority_weight: float
