"""What a deployment sets for an agent: request classes, tenants, the rollout, limits, rules and prices.

These types belong to the project, not to any protocol; `frostfall/settings.py` reads them from a
configuration. Times are whole microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from frostfall.interface import Server

Microseconds = int


class Idempotency(Enum):
    """What a repeat of a request may do."""

    IDEMPOTENT = auto()
    KEYED = auto()  # repeats are dropped inside a group of servers, for a while
    NON_IDEMPOTENT = auto()


class DeduplicationScope(Enum):
    """Which servers drop each other's repeats of a keyed request."""

    ALL = auto()
    ZONE = auto()
    CELL = auto()


class RolloutControl(Enum):
    """What moves a build from stage to stage."""

    VOTES = auto()  # one vote, or a stated number of them
    AUTOMATIC = auto()  # time does; votes can only hold or send back


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests and what its clients expect."""

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
        """Whether a repeat is harmless at any server and time."""
        return self.idempotency is Idempotency.IDEMPOTENT

    @property
    def retryable(self) -> bool:
        """Whether some repeat may be harmless: the class is idempotent, or has idempotency keys."""
        return self.idempotency is not Idempotency.NON_IDEMPOTENT

    def deduplicates_between(self, first: Server, second: Server) -> bool:
        """Whether two servers drop each other's repeats of a keyed request of this class."""
        if self.deduplication_scope is DeduplicationScope.ALL:
            return True
        if self.deduplication_scope is DeduplicationScope.ZONE:
            return first.zone == second.zone
        return first.cell == second.cell

    @property
    def repeatable_anywhere(self) -> bool:
        """Whether a client's repeat is harmless, whichever server gets it."""
        everywhere = self.deduplication_scope is DeduplicationScope.ALL
        return self.idempotent or (self.idempotency is Idempotency.KEYED and everywhere)


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer and what it may send per second to all agents together."""

    name: str
    quota: float
    share: float


@dataclass(frozen=True, slots=True)
class RolloutSettings:
    """How builds are offered, moved on and judged."""

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
    """What the deployment permits."""

    max_attempts: int
    parallel_attempts: bool
    may_cancel: bool
    health_checks: bool
    gossip: bool
    retry_after: bool
    max_retry_after: Microseconds
    connect_timeout: Microseconds
    connection_idle_timeout: Microseconds  # after so long without use a connection is closed


@dataclass(frozen=True, slots=True)
class Rules:
    """The numbers of the rules."""

    answer_slack: Microseconds
    drain_grace: Microseconds
    watch_renewal_period: Microseconds
    warm_up_initial_share: float
    warm_up_duration: Microseconds
    overload_multiple: float
    overload_window: Microseconds


@dataclass(frozen=True, slots=True)
class Prices:
    """Points that the deployment takes off, as shares of the whole."""

    cross_zone: float
    waste: float
    health_check: float
    gossip: float
    late_fail: float


@dataclass(frozen=True, slots=True)
class Settings:
    """All that an agent is told at its start."""

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
