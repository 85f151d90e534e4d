"""Decodes an agent's settings, from its configuration file or from the simulator's first message.

The structs mirror the objects of the settings. Their fields have the project's names; `name=` gives the key
where the settings use a different one. Unknown keys are ignored; a missing key or a value of the wrong type
is an error that names the key.
"""

from __future__ import annotations

import math
from typing import Any, TypeVar

import msgspec
from msgspec import field

from frostfall import deployment
from frostfall import interface as api

_T = TypeVar("_T")

_IDEMPOTENCY = {
    "safe": deployment.Idempotency.IDEMPOTENT,
    "keyed": deployment.Idempotency.KEYED,
    "unsafe": deployment.Idempotency.NON_IDEMPOTENT,
}
_DEDUPLICATION_SCOPES = {
    "all": deployment.DeduplicationScope.ALL,
    "zone": deployment.DeduplicationScope.ZONE,
    "cell": deployment.DeduplicationScope.CELL,
}


class SettingsError(ValueError):
    """The settings are invalid; the message names the faulty key."""


class _RequestClass(msgspec.Struct, rename="camel"):
    """A request class."""

    name: str
    latency_objective_us: int = field(name="aimUs")
    deadline_us: int
    idempotency: str = field(default="unsafe", name="effect")
    deduplication_scope: str = field(default="all", name="keyScope")
    deduplication_window_us: int = field(default=0, name="keyTtlUs")
    priority_weight: float = field(default=1.0, name="credit")
    late_priority_weight: float = field(default=0.0, name="lateWorth")
    latency_objective_stretch: float = field(default=0.0, name="aimStretch")
    stream: bool = False


class _Tenant(msgspec.Struct, rename="camel"):
    """A tenant of the site."""

    name: str
    quota_per_s: float = 0.0
    share: float = 0.0


class _Rollout(msgspec.Struct, rename="camel"):
    """The rules of a rollout, by which new builds are released."""

    control: str = "first_voice"
    stage_caps: list[float] = field(default_factory=list, name="caps")
    stage_shares: list[float] = field(default_factory=list, name="rings")
    exposure_window_us: int = field(default=1_000_000, name="windowUs")
    uncounted_attempts: float = field(default=0.0, name="uncounted")
    exposure_scope: str = field(default="all", name="per")
    idempotent_only_stages: int = field(default=0, name="closedStages")
    forward_only_keys: bool = field(default=False, name="oneWay")
    server_replacement: str = field(default="parallel", name="swap")
    min_stage_duration_us: int = field(default=0, name="minDwellUs")
    stage_duration_us: int = field(default=0, name="stepUs")
    advance_votes: int = field(default=1, name="ayesNeeded")
    rollback_votes: int = field(default=1, name="backVotes")
    hold_votes: int = field(default=0, name="toPause")
    vote_lifetime_us: int = field(default=0, name="ballotTtlUs")
    vote_timeout_us: int = field(default=0, name="apiTimeoutUs")
    votes_per_s: float = field(default=0.0, name="callsPerS")
    state_period_us: int = field(default=0, name="repeatEveryUs")
    tally_period_us: int = field(default=0, name="sumsEveryUs")
    tally_sample_rate: float = field(default=0.0, name="sample")
    dispute_report_share: float = field(default=0.0, name="flagShare")
    delay_price: float = 0.0
    harm_price: float = field(default=0.0, name="blastPrice")
    key_affinity: bool = field(default=False, name="warmKeys")


class _Limits(msgspec.Struct, rename="camel"):
    """The features that the site permits, and their limits."""

    max_attempts: int = 1
    parallel_attempts: bool = field(default=False, name="parallelTries")
    may_cancel: bool = False
    health_checks: bool = field(default=False, name="probes")
    gossip: bool = field(default=False, name="peers")
    retry_after: bool = False
    max_retry_after_us: int = 0
    connect_timeout_us: int = 250_000
    connection_idle_timeout_us: int = field(default=15_000_000, name="connIdleUs")


class _Rules(msgspec.Struct, rename="camel"):
    """The site's rules, against which the agent's behaviour is assessed."""

    answer_slack_us: int = field(default=0, name="graceToAnswerUs")
    drain_grace_us: int = field(default=0, name="stopSendingWithinUs")
    watch_renewal_period_us: int = field(default=0, name="askEveryUs")
    warm_up_initial_share: float = field(default=1.0, name="coldFrom")
    warm_up_duration_us: int = field(default=0, name="warmUpUs")
    overload_multiple: float = field(default=1.0, name="fallMultiple")
    overload_window_us: int = field(default=1_000_000, name="fallUs")


class _Prices(msgspec.Struct, rename="camel"):
    """The costs that the site charges for actions and faults of the agent."""

    cross_zone: float = 0.0
    waste: float = 0.0
    health_check: float = field(default=0.0, name="probe")
    gossip: float = field(default=0.0, name="peer")
    late_failure: float = field(default=0.0, name="lateFail")


class _LoadReporting(msgspec.Struct, rename="camel"):
    """The way in which servers report their load."""

    how: str = "off"
    fields: list[str] = field(default_factory=list)


class _Settings(msgspec.Struct, rename="camel"):
    """The settings of one agent."""

    ordinal: int
    instance_count: int = field(name="nInstances")
    classes: list[_RequestClass] = field(name="grades")
    zone: str = ""
    limits: _Limits = field(default_factory=_Limits, name="bounds")
    rules: _Rules = field(default_factory=_Rules)
    prices: _Prices = field(default_factory=_Prices)
    load_reporting: _LoadReporting = field(default_factory=_LoadReporting, name="report")
    tenants: list[_Tenant] = field(default_factory=list, name="customers")
    discovery: str = "automatic"
    family: str = ""
    rollout: _Rollout | None = field(default=None, name="familyInfo")
    over_quota_priority_weight: float = field(default=1.0, name="overShareWorth")


def decode_settings(content: dict[str, Any]) -> deployment.Settings:
    """Convert an agent's settings to the deployment's types; SettingsError names the faulty key."""
    try:
        raw = msgspec.convert(content, _Settings)
    except msgspec.MsgspecError as error:
        raise SettingsError(f"settings: {error}") from error
    return deployment.Settings(
        agent=raw.ordinal,
        agents=max(1, raw.instance_count),
        zone=raw.zone,
        classes=tuple(_request_class(raw_class) for raw_class in raw.classes),
        tenants=tuple(
            deployment.Tenant(tenant.name, tenant.quota_per_s, tenant.share) for tenant in raw.tenants
        ),
        rollout=_rollout(raw.rollout) if raw.rollout and raw.rollout.stage_caps else None,
        limits=_limits(raw.limits),
        rules=_rules(raw.rules),
        prices=_prices(raw.prices),
        needs_watch=raw.discovery == "subscribe",
        load_by_health_check=raw.load_reporting.how == "on_probe",
        over_quota_priority_weight=raw.over_quota_priority_weight,
    )


def decode_load_report(report: dict[str, float] | None) -> api.LoadReport | None:
    """Convert a load report, or return None if it is missing; negative and non-finite values are dropped."""
    if not report:
        return None
    valid = {name: value for name, value in report.items() if math.isfinite(value) and value >= 0}
    return api.LoadReport(
        in_flight=valid.get("busy_reqs"),
        queued=valid.get("pending"),
        cpu=valid.get("cpu_share"),
        service_time_ms=valid.get("svc_ms"),
        served_per_second=valid.get("served_ps"),
    )


def _translate(table: dict[str, _T], value: str, description: str) -> _T:
    try:
        return table[value]
    except KeyError:
        raise SettingsError(f"unknown {description} {value!r}") from None


def _request_class(raw: _RequestClass) -> deployment.RequestClass:
    return deployment.RequestClass(
        name=raw.name,
        idempotency=_translate(_IDEMPOTENCY, raw.idempotency, "effect"),
        deduplication_scope=_translate(_DEDUPLICATION_SCOPES, raw.deduplication_scope, "key scope"),
        deduplication_window=raw.deduplication_window_us,
        latency_objective=raw.latency_objective_us,
        deadline=raw.deadline_us,
        priority_weight=raw.priority_weight,
        late_priority_weight=raw.late_priority_weight,
        latency_objective_stretch=raw.latency_objective_stretch,
        stream=raw.stream,
    )


def _limits(raw: _Limits) -> deployment.Limits:
    return deployment.Limits(
        max_attempts=raw.max_attempts,
        parallel_attempts=raw.parallel_attempts,
        may_cancel=raw.may_cancel,
        health_checks=raw.health_checks,
        gossip=raw.gossip,
        retry_after=raw.retry_after,
        max_retry_after=raw.max_retry_after_us,
        connect_timeout=raw.connect_timeout_us,
        connection_idle_timeout=raw.connection_idle_timeout_us,
    )


def _rules(raw: _Rules) -> deployment.Rules:
    return deployment.Rules(
        answer_slack=raw.answer_slack_us,
        drain_grace=raw.drain_grace_us,
        watch_renewal_period=raw.watch_renewal_period_us,
        warm_up_initial_share=raw.warm_up_initial_share,
        warm_up_duration=raw.warm_up_duration_us,
        overload_multiple=raw.overload_multiple,
        overload_window=raw.overload_window_us,
    )


def _prices(raw: _Prices) -> deployment.Prices:
    return deployment.Prices(raw.cross_zone, raw.waste, raw.health_check, raw.gossip, raw.late_failure)


def _rollout(raw: _Rollout) -> deployment.RolloutSettings:
    automatic = raw.control == "automatic"
    return deployment.RolloutSettings(
        control=deployment.RolloutControl.AUTOMATIC if automatic else deployment.RolloutControl.VOTES,
        stage_caps=tuple(raw.stage_caps),
        stage_shares=tuple(raw.stage_shares),
        exposure_window=raw.exposure_window_us,
        uncounted_attempts=raw.uncounted_attempts,
        exposure_per_class=raw.exposure_scope == "each_class",
        idempotent_only_stages=raw.idempotent_only_stages,
        forward_only_keys=raw.forward_only_keys,
        keeps_old_servers=raw.server_replacement != "replace",
        min_stage_duration=raw.min_stage_duration_us,
        stage_duration=raw.stage_duration_us,
        advance_votes=raw.advance_votes,
        rollback_votes=raw.rollback_votes,
        hold_votes=raw.hold_votes,
        vote_lifetime=raw.vote_lifetime_us,
        vote_timeout=raw.vote_timeout_us,
        votes_per_second=raw.votes_per_s,
        state_period=raw.state_period_us,
        tally_period=raw.tally_period_us,
        tally_sample_rate=raw.tally_sample_rate,
        dispute_report_share=raw.dispute_report_share,
        delay_price=raw.delay_price,
        harm_price=raw.harm_price,
        key_affinity=raw.key_affinity,
    )
