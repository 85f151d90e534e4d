"""The settings of an instance, as its configuration or the simulator's first message gives them.

Both adapters read them here. Field names are the wire's own; unknown keys are skipped, and a missing or
mistyped one is an error that names the key.
"""

from __future__ import annotations

import math
from typing import Any, TypeVar

import msgspec

from frostfall import interface as api

_T = TypeVar("_T")

_EFFECTS = {
    "safe": api.Idempotency.IDEMPOTENT,
    "keyed": api.Idempotency.KEYED,
    "unsafe": api.Idempotency.NON_IDEMPOTENT,
}
_GROUPS = {
    "all": api.DeduplicationScope.ALL,
    "zone": api.DeduplicationScope.ZONE,
    "cell": api.DeduplicationScope.CELL,
}


class SettingsError(ValueError):
    """The settings cannot be used; the message names the key."""


class _Grade(msgspec.Struct, rename="camel"):
    """A class of requests, as the settings give it."""

    name: str
    aim_us: int
    deadline_us: int
    effect: str = "unsafe"
    key_scope: str = "all"
    key_ttl_us: int = 0
    credit: float = 1.0
    late_worth: float = 0.0
    aim_stretch: float = 0.0
    stream: bool = False


class _Customer(msgspec.Struct, rename="camel"):
    """A tenant, as the settings give it."""

    name: str
    quota_per_s: float = 0.0
    share: float = 0.0


class _FamilyInfo(msgspec.Struct, rename="camel"):
    """Facts about the rollout."""

    control: str = "first_voice"
    caps: list[float] = []
    rings: list[float] = []
    window_us: int = 1_000_000
    uncounted: float = 0.0
    per: str = "all"
    closed_stages: int = 0
    one_way: bool = False
    swap: str = "parallel"
    min_dwell_us: int = 0
    step_us: int = 0
    ayes_needed: int = 1
    back_votes: int = 1
    to_pause: int = 0
    ballot_ttl_us: int = 0
    api_timeout_us: int = 0
    calls_per_s: float = 0.0
    repeat_every_us: int = 0
    sums_every_us: int = 0
    sample: float = 0.0
    flag_share: float = 0.0
    delay_price: float = 0.0
    blast_price: float = 0.0
    warm_keys: bool = False


class _Bounds(msgspec.Struct, rename="camel"):
    """What the site permits."""

    max_attempts: int = 1
    parallel_tries: bool = False
    may_cancel: bool = False
    probes: bool = False
    peers: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    connect_timeout_us: int = 250_000
    conn_idle_us: int = 15_000_000


class _WireRules(msgspec.Struct, rename="camel"):
    """The numbers of the rules."""

    grace_to_answer_us: int = 0
    stop_sending_within_us: int = 0
    ask_every_us: int = 0
    cold_from: float = 1.0
    warm_up_us: int = 0
    fall_multiple: float = 1.0
    fall_us: int = 1_000_000


class _WirePrices(msgspec.Struct, rename="camel"):
    """The site's deductions."""

    cross_zone: float = 0.0
    waste: float = 0.0
    probe: float = 0.0
    peer: float = 0.0
    late_fail: float = 0.0


class _Report(msgspec.Struct, rename="camel"):
    """Where load values come from."""

    how: str = "off"
    fields: list[str] = []


class _Conf(msgspec.Struct, rename="camel"):
    """The settings of an instance."""

    ordinal: int
    n_instances: int
    grades: list[_Grade]
    zone: str = ""
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    rules: _WireRules = msgspec.field(default_factory=_WireRules)
    prices: _WirePrices = msgspec.field(default_factory=_WirePrices)
    report: _Report = msgspec.field(default_factory=_Report)
    customers: list[_Customer] = []
    discovery: str = "automatic"
    family: str = ""
    family_info: _FamilyInfo | None = None
    over_share_worth: float = 1.0


def _known(table: dict[str, _T], value: str, what: str) -> _T:
    try:
        return table[value]
    except KeyError:
        raise SettingsError(f"unknown {what} {value!r}") from None


def decode_settings(conf: dict[str, Any]) -> api.Settings:
    """The settings of an instance in the project's terms; SettingsError names the key at fault."""
    try:
        raw = msgspec.convert(conf, _Conf)
    except msgspec.MsgspecError as error:
        raise SettingsError(f"settings: {error}") from error
    bounds, rules, prices = raw.bounds, raw.rules, raw.prices
    return api.Settings(
        agent=raw.ordinal,
        agents=max(1, raw.n_instances),
        zone=raw.zone,
        classes=tuple(
            api.RequestClass(
                name=grade.name,
                idempotency=_known(_EFFECTS, grade.effect, "effect"),
                deduplication_scope=_known(_GROUPS, grade.key_scope, "key scope"),
                deduplication_window=grade.key_ttl_us,
                latency_objective=grade.aim_us,
                deadline=grade.deadline_us,
                priority_weight=grade.credit,
                late_priority_weight=grade.late_worth,
                latency_objective_stretch=grade.aim_stretch,
                stream=grade.stream,
            )
            for grade in raw.grades
        ),
        tenants=tuple(api.Tenant(c.name, c.quota_per_s, c.share) for c in raw.customers),
        rollout=_rollout(raw.family_info) if raw.family_info and raw.family_info.caps else None,
        limits=api.Limits(
            max_attempts=bounds.max_attempts,
            parallel_attempts=bounds.parallel_tries,
            may_cancel=bounds.may_cancel,
            health_checks=bounds.probes,
            gossip=bounds.peers,
            retry_after=bounds.retry_after,
            max_retry_after=bounds.max_retry_after_us,
            connect_timeout=bounds.connect_timeout_us,
            connection_idle_timeout=bounds.conn_idle_us,
        ),
        rules=api.Rules(
            answer_slack=rules.grace_to_answer_us,
            drain_grace=rules.stop_sending_within_us,
            watch_renewal_period=rules.ask_every_us,
            warm_up_initial_share=rules.cold_from,
            warm_up_duration=rules.warm_up_us,
            overload_multiple=rules.fall_multiple,
            overload_window=rules.fall_us,
        ),
        prices=api.Prices(prices.cross_zone, prices.waste, prices.probe, prices.peer, prices.late_fail),
        needs_watch=raw.discovery == "subscribe",
        load_by_health_check=raw.report.how == "on_probe",
        over_quota_priority_weight=raw.over_share_worth,
    )


def _rollout(info: _FamilyInfo) -> api.RolloutSettings:
    return api.RolloutSettings(
        control=api.RolloutControl.AUTOMATIC if info.control == "automatic" else api.RolloutControl.VOTES,
        stage_caps=tuple(info.caps),
        stage_shares=tuple(info.rings),
        exposure_window=info.window_us,
        uncounted_attempts=info.uncounted,
        exposure_per_class=info.per == "each_class",
        idempotent_only_stages=info.closed_stages,
        forward_only_keys=info.one_way,
        keeps_old_servers=info.swap != "replace",
        min_stage_duration=info.min_dwell_us,
        stage_duration=info.step_us,
        advance_votes=info.ayes_needed,
        rollback_votes=info.back_votes,
        hold_votes=info.to_pause,
        vote_lifetime=info.ballot_ttl_us,
        vote_timeout=info.api_timeout_us,
        votes_per_second=info.calls_per_s,
        state_period=info.repeat_every_us,
        tally_period=info.sums_every_us,
        tally_sample_rate=info.sample,
        dispute_report_share=info.flag_share,
        delay_price=info.delay_price,
        harm_price=info.blast_price,
        key_affinity=info.warm_keys,
    )


def decode_load_report(report: dict[str, float] | None) -> api.LoadReport | None:
    """A load report in the project's terms."""
    if not report:
        return None
    known = {name: value for name, value in report.items() if math.isfinite(value) and value >= 0}
    return api.LoadReport(
        in_flight=known.get("busy_reqs"),
        queued=known.get("pending"),
        cpu=known.get("cpu_share"),
        service_time_ms=known.get("svc_ms"),
        served_per_second=known.get("served_ps"),
    )
