"""Builders of settings and servers, and a harness that runs one policy engine in virtual time."""

from __future__ import annotations

import heapq
from dataclasses import replace
from typing import Any

from frostfall import interface as api
from frostfall.engine.policy_engine import PolicyEngine
from frostfall.records import PendingRequest

SECOND = 1_000_000  # microseconds
IDEMPOTENT = api.RequestClass(
    "read", api.Idempotency.IDEMPOTENT, api.DeduplicationScope.ALL, 0, SECOND, 3 * SECOND, 1.0
)
KEYED = api.RequestClass(
    "put", api.Idempotency.KEYED, api.DeduplicationScope.ZONE, 2 * SECOND, SECOND, 5 * SECOND, 2.0
)
NON_IDEMPOTENT = api.RequestClass(
    "order", api.Idempotency.NON_IDEMPOTENT, api.DeduplicationScope.ALL, 0, SECOND, 5 * SECOND, 3.0
)
ROLLOUT = api.RolloutSettings(
    control=api.RolloutControl.VOTES,
    stage_caps=(0.1, 0.5, 1.0),
    stage_shares=(0.1, 0.5, 1.0),
    exposure_window=2 * SECOND,
    uncounted_attempts=2,
    exposure_per_class=False,
    idempotent_only_stages=0,
    forward_only_keys=False,
    keeps_old_servers=True,
    min_stage_duration=SECOND,
    stage_duration=0,
    advance_votes=1,
    rollback_votes=1,
    hold_votes=0,
    vote_lifetime=8 * SECOND,
    vote_timeout=SECOND,
    votes_per_second=50.0,
    state_period=4 * SECOND,
    tally_period=0,
    tally_sample_rate=0.0,
    dispute_report_share=0.3,
    delay_price=0.4,
    harm_price=3.0,
    key_affinity=False,
)
SETTINGS = api.Settings(
    agent=0,
    agents=1,
    zone="a",
    classes=(IDEMPOTENT, KEYED, NON_IDEMPOTENT),
    tenants=(),
    rollout=ROLLOUT,
    limits=api.Limits(4, False, True, False, True, True, SECOND, 250_000, 15 * SECOND),
    rules=api.Rules(20_000, 500_000, 10 * SECOND, 0.3, 4 * SECOND, 3.0, SECOND),
    prices=api.Prices(0.02, 0.05, 0.01, 0.03, 0.08),
    needs_watch=False,
    load_by_health_check=False,
    over_quota_priority_weight=0.1,
)


def settings_with_rollout(**changes: Any) -> api.Settings:
    """Return SETTINGS with the given fields of the rollout settings replaced."""
    return replace(SETTINGS, rollout=replace(ROLLOUT, **changes))


def settings_with_limits(**changes: Any) -> api.Settings:
    """Return SETTINGS with the given limits replaced."""
    return replace(SETTINGS, limits=replace(SETTINGS.limits, **changes))


def server(name: int, build: int = 1, zone: str = "a", started: int = 0, **fields: Any) -> api.Server:
    """Return an entry of the server list, available unless `fields` states otherwise."""
    entry = api.Server(name, build, zone, fields.pop("cell", 0), 1.0, started, api.Availability.UP)
    return replace(entry, **fields)


class EngineHarness:
    """Runs one policy engine with a clock and timers in virtual time.

    Methods that pass an event to the engine return the actions that it requests.
    """

    def __init__(
        self, settings: api.Settings = SETTINGS, *servers: api.Server, build: int = 1, seed: int = 1
    ) -> None:
        self.engine = PolicyEngine(settings, seed)
        self.now = 100 * SECOND
        self.request_count = 0
        self.timers: list[tuple[int, int, str]] = []
        self._schedule_timers(self.engine.start(self.now))
        self.update_servers(*servers, kind=api.ServerListKind.CACHED)
        if settings.rollout:
            self.update_rollout(build, phase=api.RolloutPhase.RELEASED, cap=1.0)

    def _schedule_timers(self, actions: list[api.Action]) -> list[api.Action]:
        for action in actions:
            if isinstance(action, api.SetTimer):
                heapq.heappush(self.timers, (self.now + action.delay, len(self.timers), action.token))
        return actions

    def handle(self, event: api.Event) -> list[api.Action]:
        return self._schedule_timers(self.engine.handle(self.now, event))

    def update_servers(
        self, *servers: api.Server, kind: api.ServerListKind = api.ServerListKind.DELTA
    ) -> list[api.Action]:
        return self.handle(api.ServerListUpdated(kind, servers))

    def update_rollout(
        self,
        build: int,
        stage: int = 0,
        phase: api.RolloutPhase = api.RolloutPhase.TRIAL,
        cap: float = 0.1,
        reply: api.VoteReply = api.VoteReply.NONE,
    ) -> list[api.Action]:
        return self.handle(api.RolloutState(build, stage, phase, cap, 0, reply))

    def send_request(
        self, request_class: api.RequestClass = IDEMPOTENT, timeout: int | None = None, **fields: Any
    ) -> list[api.Action]:
        self.request_count += 1
        deadline = self.now + (request_class.deadline if timeout is None else timeout)
        return self.handle(
            api.RequestArrived(f"q{self.request_count}", request_class.name, deadline, **fields)
        )

    def end_attempt(
        self,
        send: api.SendAttempt,
        outcome: api.Outcome = api.Outcome.SUCCESS,
        attempt: int = 0,
        elapsed: int = 100_000,
    ) -> list[api.Action]:
        final = outcome is api.Outcome.SUCCESS
        return self.handle(api.AttemptEnded(send.request, attempt, send.server, outcome, elapsed, final))

    def advance(self, duration: int) -> None:
        """Advance the clock without firing timers."""
        self.now += duration

    def pass_time(self, duration: int) -> list[api.Action]:
        """Advance the clock, fire the timers that are due and return all resulting actions."""
        actions: list[api.Action] = []
        end = self.now + duration
        while self.timers and self.timers[0][0] <= end:
            self.now, _, token = heapq.heappop(self.timers)
            actions += self.handle(api.TimerFired(token))
        self.now = end
        return actions

    def may_send(
        self, server_id: int, request_class: api.RequestClass = IDEMPOTENT, key: str | None = None
    ) -> bool:
        """Return whether the guards would allow sending a new request to this server."""
        event = api.RequestArrived("probe", request_class.name, self.now + request_class.deadline, key)
        guards = self.engine.guards
        request = PendingRequest(event, request_class, self.now, guards.exposure.group(request_class))
        return guards.may_send(self.now, request, self.engine.servers[server_id])


def sent_attempts(actions: list[api.Action]) -> list[api.SendAttempt]:
    """Return the attempts among the actions."""
    return [action for action in actions if isinstance(action, api.SendAttempt)]


def error_answers(actions: list[api.Action]) -> list[api.Action]:
    """Return the actions that answer a request with a rejection or a failure."""
    return [action for action in actions if isinstance(action, api.RejectRequest | api.FailRequest)]


def votes(actions: list[api.Action]) -> list[api.CastVote]:
    """Return the votes among the actions."""
    return [action for action in actions if isinstance(action, api.CastVote)]
