"""The decision engine, without I/O. Events, actions and settings are defined in frostfall/interface.py."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any

from frostfall import interface as api
from frostfall.engine.request_lifecycle import RequestLifecycle
from frostfall.gossip import list_messages
from frostfall.gossip.list_gossip import ListGossip
from frostfall.interface import Microseconds, Outcome, ServerListKind, VoteReply, WatchInterruption
from frostfall.mechanisms.fleet_statistics import FleetStatistics
from frostfall.mechanisms.mixing import ExchangeSchedule
from frostfall.mechanisms.peer_exchange import PeerExchange
from frostfall.mechanisms.sequential_test import SequentialTest
from frostfall.mechanisms.server_list import ServerList
from frostfall.mechanisms.watch_schedule import WatchSchedule
from frostfall.policy.endpoint_lease import LeaseState
from frostfall.policy.guards import AttemptGuards
from frostfall.policy.learning import STATISTICS_PARAMETERS, UNREACHABLE_EJECTION, OutcomeRecorder
from frostfall.policy.placement import PlacementPolicy
from frostfall.policy.rollout_test import EXCHANGE_PERIOD, RolloutTest
from frostfall.policy.routing import Routing
from frostfall.policy.server_age import StartTimeEstimator
from frostfall.policy.server_watch import WATCH_PARAMETERS
from frostfall.records import PendingRequest, ServerState
from frostfall.routing.outlier_ejection import OutlierEjections
from frostfall.shared_health.server_health import SharedHealth

EXCHANGE_TIMER = "*tick"  # token of the exchange timer; no request may have this name
MESSAGE_SIZE = 256  # characters that a peer accepts in a gossip message


class PolicyEngine:
    """Makes the decisions of one agent: composes the policies and dispatches events to them."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Create an engine without servers or requests; the seed determines all random choices."""
        agents = max(settings.agents, settings.agent + 1)
        self.settings, self.random = settings, random.Random(seed)
        self.actions: list[api.Action] = []
        self.schedule = ExchangeSchedule(settings.agent, agents, EXCHANGE_PERIOD)
        self.shared_health = SharedHealth(agents, self.schedule.exchanges)
        self.exchange = PeerExchange(self.schedule, self.shared_health, max_chars=MESSAGE_SIZE)
        self.server_list = ServerList(
            self.random, ejection=UNREACHABLE_EJECTION, start_times=StartTimeEstimator()
        )
        renewal = settings.rules.watch_renewal_period
        self.watch = WatchSchedule(WATCH_PARAMETERS, agents=agents, renewal=renewal, source=self.random)
        self.statistics = FleetStatistics(STATISTICS_PARAMETERS, self.server_list)
        self.rollout_test = RolloutTest(settings, self.schedule, self.shared_health, self.statistics)
        self.outcome_recorder = OutcomeRecorder(self.statistics, self.shared_health)
        self.guards = AttemptGuards(settings, self.server_list, self.statistics, self.rollout_test)
        self.lease = self.guards.lease
        gossip_source = random.Random(f"list gossip {seed}")
        self.list_gossip = ListGossip(settings, self.server_list, self.lease, gossip_source)
        self.routing = Routing(settings, self.random, self.guards)
        self.placement = PlacementPolicy(settings, self.random, self.routing)
        self.admission = self.placement.admission
        self.lifecycle = RequestLifecycle(settings, self.placement, self.outcome_recorder, self.rollout_test)
        self._handlers: dict[type, Callable[[Microseconds, Any], Iterable[api.Action] | None]] = {
            api.RequestArrived: self.lifecycle.request_arrived,
            api.AttemptEnded: self.lifecycle.attempt_ended,
            api.TimerFired: self._timer_fired,
            api.GossipReceived: self._gossip_received,
            api.ServerListUpdated: self._server_list_updated,
            api.DiscoveryTimeRead: self._discovery_time_read,
            api.WatchInterrupted: self._watch_interrupted,
            api.RolloutState: self._rollout_state_changed,
            api.HealthCheckEnded: self._health_check_ended,
            api.AnswerDisputed: self._answer_disputed,
            api.StreamStarted: self._stream_started,
            api.ClientDisconnected: self._client_disconnected,
            api.AnswerDue: self._answer_due,
            api.ServerDegraded: self._server_degraded,
        }

    @property
    def servers(self) -> dict[int, ServerState]:
        """All servers of the list by id."""
        return self.server_list.by_id

    @property
    def requests(self) -> dict[str, PendingRequest]:
        """The requests by name, each until it is answered and its attempts have ended."""
        return self.lifecycle.by_name

    @property
    def ejections(self) -> OutlierEjections:
        """The servers ejected because they became slow during an exchange."""
        return self.routing.ejections

    def start(self, now: Microseconds) -> list[api.Action]:
        """Start the engine and return its first actions."""
        self.watch.start(now)
        self.actions = [self._exchange_timer(now)]
        return self.actions

    def handle(self, now: Microseconds, event: api.Event) -> list[api.Action]:
        """Process one event and return the resulting actions.

        After an exception, `actions` holds the actions decided before it.
        """
        actions = self.actions = []
        handler = self._handlers.get(type(event))
        if handler and (decided := handler(now, event)):
            actions.extend(decided)
        return actions

    def may_write(self, now: Microseconds, request: str, attempt: int) -> bool:
        """Return whether an attempt may still be written; called just before its first byte."""
        return self.lifecycle.may_write(now, request, attempt)

    def may_act_on(self, now: Microseconds, server: int) -> bool:
        """Return whether a server is on the list as up, and the lease on the list allows its use."""
        state = self.server_list.by_id.get(server)
        return state is not None and self.guards.is_usable(now, state)

    def _server_list_updated(self, now: Microseconds, event: api.ServerListUpdated) -> list[api.Action]:
        if event.kind is ServerListKind.FAILED:
            self.lease.watch_ended(now)
            self.watch.failed(now, is_urgent=not self._peer_confirms_list(now))
            return list(self.list_gossip.report(now))
        is_cached = event.kind is ServerListKind.CACHED  # not an answer of discovery
        if is_cached:
            self.lease.start(now)
        else:
            self.lease.renew(now)
            self.watch.renew(now)
        self.watch.succeeded()
        actions = self.list_gossip.list_updated(now, event)
        for server in self.server_list.update(now, event.kind, event.servers):
            self.routing.ejections.forget(server)
        self._refresh_tested_servers()
        return actions if is_cached else [*actions, *self.list_gossip.report(now)]

    def _discovery_time_read(self, now: Microseconds, event: api.DiscoveryTimeRead) -> None:
        self.server_list.discovery_time_read(now, event.time)

    def _watch_interrupted(self, now: Microseconds, event: api.WatchInterrupted) -> list[api.Action]:
        if event.reason is WatchInterruption.MOVED:
            self.lease.watch_moved(now)
        elif event.reason is WatchInterruption.PAUSED:
            self.lease.process_paused(now)
        else:
            self.lease.watch_ended(now)
        # A new process reports its list at the end of its first exchange.
        is_new = event.reason is WatchInterruption.NOT_OPEN
        return [] if is_new else list(self.list_gossip.report(now))

    def _peer_confirms_list(self, now: Microseconds) -> bool:
        return self.lease.source is api.ListSource.PEER and self.lease.state(now) is LeaseState.HELD

    def _refresh_tested_servers(self) -> None:
        self.routing.refresh_tested_servers()
        under_test = [server.incarnation for server in self.routing.under_test]
        self.shared_health.update_fleet(self.server_list.incarnations(), under_test)

    def _server_degraded(self, now: Microseconds, event: api.ServerDegraded) -> None:
        self.routing.ejections.record_degraded(now, event.server, len(self.server_list.available))

    def _health_check_ended(self, now: Microseconds, event: api.HealthCheckEnded) -> None:
        server = self.server_list.by_id.get(event.server)
        if server and event.outcome is Outcome.SUCCESS:
            server.last_response_at = now
            self.statistics.record_load(now, server, event.load)

    def _stream_started(self, _: Microseconds, event: api.StreamStarted) -> None:
        self.lifecycle.stream_started(event)

    def _client_disconnected(self, _: Microseconds, event: api.ClientDisconnected) -> None:
        self.lifecycle.client_disconnected(event)

    def _answer_due(self, _: Microseconds, event: api.AnswerDue) -> Iterable[api.Action]:
        return self.lifecycle.answer_due(event)

    def _timer_fired(self, now: Microseconds, event: api.TimerFired) -> Iterable[api.Action]:
        return (
            self._exchange(now) if event.token == EXCHANGE_TIMER else self.lifecycle.timer_fired(now, event)
        )

    def _rollout_state_changed(self, now: Microseconds, state: api.RolloutState) -> None:
        if state.reply in (VoteReply.NONE, VoteReply.COUNTED):
            self.guards.exposure.update(now, state)
            if self.rollout_test.update(now, state):
                self._forget_obsolete(state.build)
                self._refresh_tested_servers()
        if state.reply in (VoteReply.OVERLOADED, VoteReply.ERROR, VoteReply.UNKNOWN):
            self.rollout_test.retry_vote(now, self.random)

    def _forget_obsolete(self, newest: int) -> None:
        # With new builds all day, the statistics of obsolete builds would accumulate.
        self.guards.exposure.forget_keys(newest)
        baseline = self.rollout_test.outcomes.baseline(newest)
        for build in [*self.statistics.profiles, *self.guards.exposure.log.builds()]:
            if self.rollout_test.outcomes.is_obsolete(build, baseline):
                self.statistics.forget(build)
                self.guards.exposure.log.forget(build)

    def _answer_disputed(self, now: Microseconds, event: api.AnswerDisputed) -> None:
        server = self.server_list.by_id.get(event.server)
        # An answer older than the server's last start came from an earlier incarnation or build.
        if server and server.age(now) > event.age:
            self.rollout_test.record_dispute(server.info.build)

    def _gossip_received(self, now: Microseconds, event: api.GossipReceived) -> list[api.Action]:
        if not event.text.startswith(list_messages.PREFIX):
            self.exchange.receive(now, event.sender, event.text, self.rollout_test.test)
            return []
        was_held, withdrawn = self.lease.state(now) is LeaseState.HELD, self.server_list.withdrawn
        actions = self.list_gossip.receive(now, event.sender, event.text)
        if not was_held and self._peer_confirms_list(now):
            self.watch.defer(now)
        if withdrawn != self.server_list.withdrawn:
            self._refresh_tested_servers()
        return actions

    def _exchange_timer(self, now: Microseconds) -> api.SetTimer:
        # The timer follows the clock, so that all agents exchange at the same times.
        return api.SetTimer(self.schedule.time_left(now), EXCHANGE_TIMER)

    def _exchange(self, now: Microseconds) -> Iterable[api.Action]:
        yield self._exchange_timer(now)
        if self.settings.needs_watch and self.watch.is_due(now):
            self.watch.renew(now)
            yield api.WatchServerList()
        yield from self.list_gossip.end_slot(now)
        last, rollout, test = self.schedule.advance(now), self.settings.rollout, self.rollout_test.test
        if rollout is None:
            return
        self.exchange.end_slot(last, test)
        if self.schedule.begins_round:
            self._end_round(now, test)
        if self.settings.limits.gossip and (message := self.exchange.message(test)):
            yield message
        if test:
            yield from self.rollout_test.cast_vote(now, test, rollout)

    def _end_round(self, now: Microseconds, test: SequentialTest | None) -> None:
        duration, available = self.schedule.round_duration, self.server_list.available
        self.shared_health.end_round(duration)
        zones = {server.incarnation: server.info.zone for server in available}
        avoided = self.shared_health.servers_to_avoid(zones, self.random.random)
        for server, incarnation in zip(available, zones):
            server.shared_error_rate = self.shared_health.failure_share(incarnation)
            if incarnation in avoided:
                server.ejected_until = max(server.ejected_until, now + duration)
        if test:
            self.lifecycle.record_overdue(now)
            self.rollout_test.end_round(now, test)
