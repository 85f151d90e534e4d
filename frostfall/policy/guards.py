"""The rules that every attempt and every rejection must satisfy (types: frostfall/interface.py)."""

import math

from frostfall import interface as api
from frostfall.interface import Availability, Idempotency, Microseconds, RolloutPhase
from frostfall.mechanisms.exposure_log import ExposureLog
from frostfall.mechanisms.fleet_statistics import FleetStatistics
from frostfall.mechanisms.poisson import safe_utilization
from frostfall.mechanisms.server_list import ServerList
from frostfall.policy.endpoint_lease import EndpointLease
from frostfall.policy.rollout_test import RolloutTest
from frostfall.records import Attempt, PendingRequest, ServerState

SAFE_DEVIATIONS = 2.0  # standard deviations by which the warm-up budget stays below the overload limit
MIN_WARM_UP_RATE = 1.0  # attempts per second that the budget of a server allows all agents together at least


class ExposureGuard:
    """Limits the exposure of a build under rollout (its share of the requests) to the cap of its stage."""

    def __init__(self, settings: api.Settings, servers: ServerList) -> None:
        self.rollout, self.servers, self.drain_grace = settings.rollout, servers, settings.rules.drain_grace
        self.state: api.RolloutState | None = None
        self.first_covered_build = math.inf  # builds from this one on are under rollout, announced or not
        self.log = ExposureLog(settings.rollout.exposure_window if settings.rollout else 0)
        # The latest build that answered each key, if keys may only move to later builds.
        self.latest_builds = dict[str, int]()

    def group(self, request_class: api.RequestClass) -> str:
        """Return the name of the exposure count for requests of this class."""
        return request_class.name if self.rollout and self.rollout.exposure_per_class else ""

    def update(self, now: Microseconds, state: api.RolloutState) -> None:
        """Apply a new state of the rollout."""
        if self.state and state.cap < self.state.cap:
            self.log.restart_at(now + self.drain_grace)
        self.state = state
        if self.rollout:
            self.first_covered_build = state.build + (state.phase is RolloutPhase.RELEASED)

    def allows(self, now: Microseconds, request: PendingRequest, build: int) -> bool:
        """Return whether a request may be sent to a build."""
        rollout, state = self.rollout, self.state
        if rollout is None or state is None:  # state unknown: only the lowest build cannot be on trial
            return rollout is None or build == self.servers.lowest_build
        if rollout.forward_only_keys and self._was_answered_by_later_build(request, state, build):
            return False
        if build < self.first_covered_build:
            return True
        stage, cap = (state.stage, state.cap) if build == state.build else (0, rollout.stage_caps[0])
        if cap <= 0 or (stage < rollout.idempotent_only_stages and not request.request_class.idempotent):
            return False
        # A lowered cap applies at once. After the grace period, requests taken before it no longer count.
        counts = self.log.counts(now, build, request.exposure_group)
        return counts.sent + 1 <= rollout.uncounted_attempts + cap * counts.admitted

    def _was_answered_by_later_build(
        self, request: PendingRequest, state: api.RolloutState, build: int
    ) -> bool:
        is_live = state.phase in (RolloutPhase.TRIAL, RolloutPhase.RELEASED)
        return is_live and build < self.latest_builds.get(request.arrival.key or "", 0)

    def record_success(self, request: PendingRequest, build: int) -> None:
        """Record that a build has answered; if keys only move forward, earlier builds lose the key."""
        key, rollout = request.arrival.key, self.rollout
        if key and rollout and rollout.forward_only_keys and build >= self.first_covered_build:
            self.latest_builds[key] = build

    def forget_keys(self, newest: int) -> None:
        """Remove the keys that builds before the newest one have answered."""
        self.latest_builds = {key: build for key, build in self.latest_builds.items() if build >= newest}


class AttemptGuards:
    """Decides which attempts and rejections are allowed, independently of the other policies."""

    def __init__(
        self, settings: api.Settings, servers: ServerList, statistics: FleetStatistics, test: RolloutTest
    ) -> None:
        self.limits, self.rules, self.servers = settings.limits, settings.rules, servers
        self.statistics, self.rollout_test = statistics, test
        self.lease = EndpointLease(settings)
        self.exposure = ExposureGuard(settings, servers)

    def may_send(self, now: Microseconds, request: PendingRequest, server: ServerState) -> bool:
        """Return whether a new attempt may begin."""
        if not self._allows(now, request, server, request.attempts):
            return False
        return server.age(now) >= self.rules.warm_up_duration or self._accrue_credit(now, server) >= 1

    def may_write(self, now: Microseconds, request: PendingRequest, attempt: Attempt) -> bool:
        """Return whether an attempt that has begun may still be written.

        Its exposure is counted from now if it may, and not at all otherwise.
        """
        # While an attempt waits for a connection, a grace period or a window may end, a cap may be lowered or
        # its server may restart.
        build, group = attempt.server.info.build, request.exposure_group
        self.exposure.log.withdraw_sent(attempt.sent_at, build, group)
        others = [other for other in request.attempts if other is not attempt]
        # The warm-up credit is not checked again, as the attempt has already spent its own.
        if allowed := self._allows(now, request, attempt.server, others):
            self.exposure.log.record_sent(now, build, group)
        return allowed

    def _allows(
        self, now: Microseconds, request: PendingRequest, server: ServerState, earlier: list[Attempt]
    ) -> bool:
        if request.done or now >= request.arrival.deadline or len(earlier) >= self.limits.max_attempts:
            return False
        info = server.info
        if not self.is_usable(now, server):
            return False
        parallel = self.limits.parallel_attempts and request.request_class.idempotent
        for attempt in earlier:
            if attempt.outcome is None and not parallel:
                return False
            if attempt.may_have_run and not self._may_repeat(now, request, attempt, info):
                return False
        return self.exposure.allows(now, request, info.build)

    def is_usable(self, now: Microseconds, server: ServerState) -> bool:
        """Return whether a server is on the endpoint list as up, and the lease allows its use."""
        listed = self.servers.by_id.get(server.info.id) is server
        return listed and server.info.availability is Availability.UP and self.lease.allows(now, server)

    def _may_repeat(
        self, now: Microseconds, request: PendingRequest, earlier: Attempt, target: api.Server
    ) -> bool:
        request_class = request.request_class
        if request_class.idempotency is not Idempotency.KEYED:
            return request_class.idempotent
        in_scope = request_class.deduplicates_between(earlier.server.info, target)
        return in_scope and now - earlier.sent_at < request_class.deduplication_window

    def may_reject(self, request: PendingRequest) -> bool:
        """Return whether a retry by the client is harmless."""
        harmless = request.request_class.repeatable_anywhere
        return harmless or not any(attempt.may_have_run for attempt in request.attempts)

    def _accrue_credit(self, now: Microseconds, server: ServerState) -> float:
        # If every agent stays within its share, the server stays below the multiple of its load that
        # overloads it. An agent's share is the peak rate of its own requests served per server, scaled by the
        # warm-up share and reduced by a margin for random variation. The served rate is used because more may
        # be requested than can be served. The peak is used because a fleet that is entirely cold serves less,
        # and a budget by its current rate would shrink further.
        self.statistics.served_rate(now)
        own_rate, window = self.statistics.throughput.peak_per_server, self.rules.overload_window
        multiple = self.rules.overload_multiple * server.warm_up_share(now, self.rules)
        test = self.rollout_test.test
        fleet_rate = max(own_rate, test.pooled_served_per_server if test else 0.0)
        budget = max(multiple * fleet_rate * window / 1e6, 1e-9)
        rate = multiple * own_rate * safe_utilization(budget, SAFE_DEVIATIONS)
        min_rate = MIN_WARM_UP_RATE / self.rollout_test.schedule.agents
        return server.accrue_credit(now, max(rate, min_rate), window)
