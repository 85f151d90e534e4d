"""Every decision of frostfall, sans-I/O. Events, actions and settings are in frostfall/interface.py."""

from __future__ import annotations

import math
import random
from typing import Any
from zlib import crc32

from frostfall import interface as api
from frostfall.interface import Availability, Idempotency, Outcome, RolloutPhase, VoteReply
from frostfall.mechanisms.exposure_log import ExposureLog
from frostfall.mechanisms.fleet_statistics import FleetStatistics
from frostfall.mechanisms.mixing import ExchangeSchedule
from frostfall.mechanisms.peer_exchange import PeerExchange
from frostfall.mechanisms.poisson import safe_utilization
from frostfall.mechanisms.sequential_test import SequentialTest
from frostfall.mechanisms.server_list import ServerList
from frostfall.mechanisms.token_bucket import TokenBucket
from frostfall.mechanisms.watch_schedule import WatchSchedule
from frostfall.mechanisms.weighted_choice import choose_by_cost
from frostfall.policy.learning import STATISTICS, UNREACHABLE_EJECTION, Learning
from frostfall.policy.rollout_test import EXCHANGE_PERIOD, RolloutTest
from frostfall.policy.server_watch import WATCH
from frostfall.records import Attempt, PendingRequest, ServerState, unknown_class
from frostfall.routing.outlier_ejection import OutlierEjections
from frostfall.shared_health.server_health import SharedHealth

HOLD = 50_000  # us: how often a held request is tried
TICKS, HOLDS = "*tick", "*hold"  # tokens of our own timers: no request may be named so
MESSAGE = 256  # characters that a peer takes
LUCK, COLD_LEAST = 2.0, 1.0  # deviations of chance the cold budget keeps clear of; its least sends a second
NEAR, NEAR_USES = 12, 4  # servers that an agent keeps to at least; sends that make a connection worth while
SAMPLE, KEEN = 6, 4.0  # servers a request chooses among, in any fleet; with odds of cost to minus this power
SEARCH = 30  # servers looked at beyond them, where the cold budget leaves none
EAGER, EACH = 0.25, 1.5  # doublings of load by which a trial is preferred; requests a server has room for
STALE, TRUST = 500_000, 1_000_000  # what is known of a load fades to the fleet's; how odds lean on a report
RETRY_SHARE, RETRY_DEPTH = 0.15, 6.0  # further attempts per request taken, and how many may be saved up
ANSWER_EARLY, OVERDUE = 10_000, 3.0  # before the deadline; usual times after which an open attempt tells
WINDOW_PART, WINDOW_LEAST = 0.8, 3.0  # of a key's window: cut then at the latest; usual times it has to hold
PROBE_SHARE, PROBE_DEPTH = 0.5, 2.0  # probes per request taken, and how many may be saved up
SHED_UP, SHED_DOWN, SHED_MOST = 0.03, 0.01, 0.6  # part shed: up by each late answer, down by each timely one
SHED_PACE = 40.0  # answers a second from which the steps are these; up to three times as large below
FILL, IDLE_FILL, IDLE_QUEUE, SPARE = 0.6, 0.9, 0.5, 0.3  # of the aim; if so few wait; kept for the worthiest


class PolicyEngine:
    """One agent."""

    def __init__(self, settings: api.Settings, seed: int) -> None:  # nothing is known of the fleet yet
        self.settings, self.agents = settings, max(settings.agents, settings.agent + 1)
        self.rollout, self.limits, self.rules = settings.rollout, settings.limits, settings.rules
        self.random = random.Random(seed)
        self.probing = settings.load_by_health_check and settings.limits.health_checks
        self.request_classes = {kind.name: kind for kind in settings.classes}
        self.now, self.actions = 0, list[api.Action]()
        self.server_list = ServerList(self.random, ejection=UNREACHABLE_EJECTION)
        self.statistics = FleetStatistics(STATISTICS, self.server_list)
        self.requests, self.waiting = dict[str, PendingRequest](), dict[str, PendingRequest]()  # in order
        self.trials = list[ServerState]()
        self.shed, self.best = 0.0, max((kind.priority_weight for kind in settings.classes), default=1.0)
        self.retry_budget = TokenBucket(capacity=RETRY_DEPTH, tokens=RETRY_DEPTH)
        self.health_checks = TokenBucket(capacity=PROBE_DEPTH, tokens=0.0)
        self.holding, self.in_flight = False, 0
        renewal = self.rules.watch_renewal_period
        self.watch = WatchSchedule(WATCH, agents=self.agents, renewal=renewal, source=self.random)
        self.rollout_state: api.RolloutState | None = None
        self.exposure_log = ExposureLog(self.rollout.exposure_window if self.rollout else 0)
        self.answered_by = dict[str, int]()  # of one-way keys
        self.schedule, self.eager = ExchangeSchedule(settings.agent, self.agents, EXCHANGE_PERIOD), EAGER
        self.shared_health = SharedHealth(self.agents, self.schedule.exchanges)  # what all agents saw
        self.exchange = PeerExchange(self.schedule, self.shared_health, max_chars=MESSAGE)
        self.rollout_test = RolloutTest(settings, self.schedule, self.shared_health, self.statistics)
        self.learning, self.ejections = Learning(self.statistics, self.shared_health), OutlierEjections()
        self.handlers: dict[type, Any] = {
            api.RequestArrived: self._arrive, api.AttemptEnded: self._ended, api.TimerFired: self._timer,
            api.GossipReceived: self._hear, api.ServerListUpdated: self._listed, api.RolloutState: self._news,
            api.HealthCheckEnded: self._probed, api.AnswerDisputed: self._disputed,
            api.StreamStarted: self._marked, api.ClientDisconnected: self._marked,
            api.ServerDegraded: self._slowed}  # tallies only sample

    @property
    def servers(self) -> dict[int, ServerState]:
        """All listed servers by id."""
        return self.server_list.by_id

    def start(self, now: int) -> list[api.Action]:
        """The first actions of a new instance. Turns go by the clock: agents exchange in step."""
        self.now, self.actions = now, []
        self.actions.append(api.SetTimer(EXCHANGE_PERIOD - now % EXCHANGE_PERIOD, TICKS))
        self.watch.start(now)
        return self.actions

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Answer one event."""
        self.now, self.actions = now, []
        self.handlers.get(type(event), lambda _: None)(event)
        return self.actions

    def _timer(self, event: api.TimerFired) -> None:
        if event.token == TICKS:
            self._tick()
        elif event.token == HOLDS:
            self.holding = False
            for request in list(self.waiting.values()):
                self._place(request)
        elif (late := self.requests.get(event.token)) and self.now >= late.arrival.deadline - ANSWER_EARLY:
            self._give_up(late)  # else the timer was an earlier request's of this name

    def _marked(self, event: api.StreamStarted | api.ClientDisconnected) -> None:
        if request := self.requests.get(event.request):
            request.streaming = isinstance(event, api.StreamStarted)
            if not request.streaming:
                self._close(request)

    def _slowed(self, event: api.ServerDegraded) -> None:
        self.ejections.record_degraded(self.now, event.server, len(self.server_list.available))

    def _listed(self, event: api.ServerListUpdated) -> None:
        if event.kind is api.ServerListKind.FAILED:
            self.watch.failed(self.now)
            return
        if event.kind is not api.ServerListKind.CACHED:  # which nobody was asked for
            self.watch.renew(self.now)
        self.watch.succeeded()
        for changed in self.server_list.update(self.now, event.kind, event.servers):
            self.ejections.forget(changed)
        self._weigh()

    def _weigh(self) -> None:
        fleet = self.server_list.available
        self.trials = [s for s in fleet if self.rollout_test.tested(s.info.build)]
        self.shared_health.update_fleet(self.server_list.incarnations(), [s.incarnation for s in self.trials])
        on_top = len(self.trials) if self.rollout and self.rollout.keeps_old_servers else 0
        self.eager = EAGER * (1 + 8 * on_top / max(len(fleet), 1))

    def _credit(self, server: ServerState) -> float:
        # Our part of what a server carries (served: more may be asked than can be done), times its least
        # capacity now, is safe up to the multiple that fells it, less chance, if all keep to theirs.
        # Danger: a fleet all cold serves less, and would be allowed less still. What was carried counts.
        self.statistics.served(self.now)
        carried, test = self.statistics.throughput.peak_per_server, self.rollout_test.test
        everyone = max(carried, test.pooled_served_per_server if test else 0.0)
        most = self.rules.overload_multiple * server.warmth(self.now, self.rules)
        budget = max(most * everyone * self.rules.overload_window / 1e6, 1e-9)
        earned = max(most * carried * safe_utilization(budget, LUCK), COLD_LEAST / self.agents)
        return server.accrue_credit(self.now, earned, self.rules.overload_window)

    def may_write(self, now: int, name: str, number: int) -> bool:
        """Whether an attempt may still go out: to be asked just before its first byte."""
        # Danger: while it waits for a connection, a grace or window ends, a cap falls, its server restarts.
        self.now, request = now, self.requests.get(name)
        if request is None or request.attempts[number].outcome is not None:
            return False
        attempt = request.attempts[number]
        build, group = attempt.server.info.build, request.exposure_group
        self.exposure_log.withdraw_sent(attempt.sent_at, build, group)  # it counts from when it is written
        if may := self._may_send(request, attempt.server, attempt):
            self.exposure_log.record_sent(now, build, group)
        return may

    def _may_send(self, request: PendingRequest, server: ServerState, writing: Attempt | None = None) -> bool:
        kind, tries, info = request.request_class, request.attempts, server.info
        if writing:
            tries = [attempt for attempt in tries if attempt is not writing]
        if request.done or self.now >= request.arrival.deadline or len(tries) >= self.limits.max_attempts:
            return False
        if info.availability is not Availability.UP or self.server_list.by_id.get(info.id) is not server:
            return False
        parallel = self.limits.parallel_attempts and kind.idempotent
        for earlier in tries:
            if (earlier.outcome is None and not parallel) or (
                    earlier.may_have_run and not self._repeatable(kind, earlier, info)):
                return False
        warm = server.age(self.now) >= self.rules.warm_up_duration
        paid = writing is not None or warm  # of the cold budget
        return self._within_exposure(request, info.build) and (paid or self._credit(server) >= 1)

    def _repeatable(self, kind: api.RequestClass, earlier: Attempt, target: api.Server) -> bool:
        if kind.idempotency is not Idempotency.KEYED:
            return kind.idempotent
        same = kind.deduplicates_between(earlier.server.info, target)
        return same and self.now - earlier.sent_at < kind.deduplication_window

    def _may_refuse(self, request: PendingRequest) -> bool:
        harmless = request.request_class.repeatable_anywhere
        return harmless or not any(each.may_have_run for each in request.attempts)

    def _on_trial(self, build: int) -> bool:
        news = self.rollout_state if self.rollout else None
        return news is not None and build >= news.build + (news.phase is RolloutPhase.RELEASED)

    def _within_exposure(self, request: PendingRequest, build: int) -> bool:
        rollout, news = self.rollout, self.rollout_state
        if rollout is None or news is None:  # not told yet what is on trial: only the lowest build cannot be
            return rollout is None or build == self.server_list.lowest_build
        if rollout.forward_only_keys and news.phase in (RolloutPhase.TRIAL, RolloutPhase.RELEASED) and (
                build < self.answered_by.get(request.arrival.key or "", 0)):
            return False
        if not self._on_trial(build):
            return True
        stage, cap = (news.stage, news.cap) if build == news.build else (0, rollout.stage_caps[0])
        if cap <= 0 or (stage < rollout.idempotent_only_stages and not request.request_class.idempotent):
            return False
        # A lowered cap binds here at once, and the requests taken before its grace are then forgotten.
        counts = self.exposure_log.counts(self.now, build, request.exposure_group)
        return counts.sent + 1 <= rollout.uncounted_attempts + cap * counts.taken

    def _send(self, request: PendingRequest, server: ServerState, mean: float) -> None:
        """Send, if the guards allow it: the only place where an attempt begins."""
        name = request.arrival.request
        if not self._may_send(request, server):
            raise AssertionError(f"policy chose to send {name} where the guards forbid it")
        self.exposure_log.record_sent(self.now, server.info.build, request.exposure_group)
        server.spend_credit()
        self.in_flight += 1
        request.attempts.append(Attempt(server, self.now, max(1.0, self._load(server) / mean)))
        server.in_flight[name, len(request.attempts) - 1] = self.now
        self.actions.append(api.SendAttempt(name, server.info.id, self._timeout(request)))

    def _give_up(self, request: PendingRequest) -> None:
        if request.done or request.streaming:
            return
        self._cancel(request)
        name, objective = request.arrival.request, request.request_class.latency_objective
        wait = min(self.limits.max_retry_after, objective // 2) * self.limits.retry_after
        reject = api.RejectRequest(name, wait)
        self.actions.append(reject if self._may_refuse(request) else api.FailRequest(name))
        self._close(request)

    def _cancel(self, request: PendingRequest) -> None:
        for number, attempt in enumerate(request.attempts):
            if attempt.outcome is None and self.limits.may_cancel and not request.streaming:
                self.actions.append(api.CancelAttempt(request.arrival.request, number))

    def _close(self, request: PendingRequest) -> None:
        request.done = True
        self.waiting.pop(request.arrival.request, None)
        if request.attempts_ended:
            self.requests.pop(request.arrival.request, None)

    def _arrive(self, event: api.RequestArrived) -> None:
        left = event.deadline - self.now  # of a class that the settings do not name, the least is promised
        kind = self.request_classes.get(event.class_name) or unknown_class(event.class_name, left)
        group = kind.name if self.rollout and self.rollout.exposure_per_class else ""
        request = self.requests[event.request] = PendingRequest(event, kind, self.now, group)
        self.retry_budget.earn(RETRY_SHARE)
        self.exposure_log.record_taken(self.now, group)
        self.health_checks.earn(PROBE_SHARE)
        self.statistics.times.record_hint(kind.name, event.service_time_hint)
        self.actions.append(api.SetTimer(max(left - ANSWER_EARLY, 0), event.request))
        # Danger: an agent with little open cannot see by its count that all is overloaded; late answers tell.
        shed = self.shed ** (2 * kind.priority_weight / max(self.best, 1e-9)) if self.shed else 0.0
        (self._give_up if self.random.random() < shed else self._place)(request)

    def _room(self, request: PendingRequest) -> bool:
        # Danger: when more is asked than can be served, all come late. So no more is open than is served in
        # what answers may take (Little's law), by a class's aim and own times; the least worthy wait first.
        kind, fill = request.request_class, IDLE_FILL if self.statistics.queue_length < IDLE_QUEUE else FILL
        part = max(self.statistics.times.ratio(kind.name), 0.3)
        little = self.statistics.served(self.now) * fill * kind.latency_objective / part / 1e6 + 2
        light = len(self.server_list.available) * (EACH - self.statistics.others_in_flight)  # by reports
        fit = max(little, len(self.server_list.by_id) / 2, light)
        return self.in_flight < fit * (1 - SPARE + SPARE * kind.priority_weight / max(self.best, 1e-9))

    def _place(self, request: PendingRequest) -> None:
        # Danger: hundreds of agents that connect to every server fill its table, and learn nothing of any by
        # a request now and then. So each keeps to as many as its traffic keeps connected, in random order.
        worth = int(self.statistics.served(self.now) * self.limits.connection_idle_timeout / 1e6 / NEAR_USES)
        room, now, may = self._room(request), self.now, self._may_send
        fleet, whole = self.server_list.available, not self.ejections
        if not whole:  # Danger: what drips looks idle and fails nothing for long
            harmless, let = request.request_class.retryable, self.ejections.admits
            fleet = [s for s in fleet if let(now, s.info.id, len(s.in_flight), harmless)] or fleet
        near = [s for s in fleet if (room or self.probing) and s.ejected_until <= now][:max(NEAR, worth)]
        some = near if len(near) <= SAMPLE else self.random.sample(near, SAMPLE)
        # Danger: a build's first machines are near few agents. What their cold budget leaves is used at once.
        young = self.rules.warm_up_duration
        urgent = [s for s in self.trials if s.age(now) < young and (whole or s in fleet)
                  ] if self.rollout_test.lacks_outcomes else []
        options = [s for s in (*urgent, *some) if room and s.ejected_until <= now and may(request, s)]
        if some and room and not options:
            # Danger: with the fleet all cold, what the budget allows lies at servers beyond those kept to.
            more = (s for s in self.random.sample(fleet, min(SEARCH, len(fleet))) if s.ejected_until <= now)
            options = [s for s in more if may(request, s)][:SAMPLE]
        if options:
            self.waiting.pop(request.arrival.request, None)
            wanted = [s for s in options if self._wanted(request, s)] or options
            preferred = [s for s in wanted if s in urgent] or wanted
            # Danger: by late reports all rush to the server that looks idle; by none, to what is preferred.
            keen, loads = [self._keen(s) for s in preferred], [self._load(s) for s in preferred]
            informed, mean = (sum(keen) / len(keen) - 1) / (KEEN - 1), sum(map(self._load, some)) / len(some)
            costs = [self._cost(request, *each, informed) for each in zip(preferred, loads, keen)]
            self._send(request, choose_by_cost(self.random, preferred, costs, keen), mean)
        elif now - request.arrived_at < (objective := request.request_class.latency_objective) // 3 and (
                len(self.waiting) < NEAR + self.statistics.served(now) * objective / 3e6):
            self.waiting[request.arrival.request] = request
            if not self.holding:
                self.holding = True
                self.actions.append(api.SetTimer(HOLD, HOLDS))
        else:
            self._give_up(request)
        if self.probing and self.health_checks.tokens >= 1 and some:
            self.health_checks.spend(1)
            oldest = min(some, key=lambda s: s.checked_at)
            oldest.checked_at = self.now
            self.actions.append(api.CheckServerHealth(oldest.info.id))

    def _wanted(self, request: PendingRequest, server: ServerState) -> bool:
        build, news = server.info.build, self.rollout_state
        if news is None or not self._on_trial(build):
            return True
        # Danger: if a low score stopped the traffic before a vote has its outcomes, there would be no vote.
        test = self.rollout_test.test
        failing = test and test.position <= -1 and not self.rollout_test.lacks_outcomes
        if news.phase is not RolloutPhase.TRIAL or failing:
            return False
        return request.request_class.idempotent or (build == news.build and news.stage > 0)

    def _load(self, server: ServerState) -> float:
        return server.load(self.now, self.statistics.others_in_flight, STALE)

    def _keen(self, server: ServerState) -> float:  # power of a server's cost: full after a report, then 1
        return 1.0 + (KEEN - 1) * math.exp((server.reported_at - self.now) / TRUST)

    def _cost(self, request: PendingRequest, server: ServerState, cost: float, keen: float,
              informed: float) -> float:
        info = server.info  # its cost begins with its load; the penalty fades by itself, so counts in full
        cost *= math.pow(self.statistics.penalty(self.now, server, 0.9), KEEN / keen)
        trial = self.rollout_test.tested(info.build)
        cost *= 2.0 ** -(self.eager * informed * (1 + min(trial.position, 1.0))) if trial else 1.0
        cost /= 1.0 if trial and self.rollout_test.lacks_outcomes else server.warmth(self.now, self.rules)
        if server.in_flight and (usual := self.statistics.times.overall_mean):
            # Danger: a lost, stuck or slow server looks idle to its list.
            overdue = server.oldest_attempt_age(self.now) / usual / OVERDUE
            cost *= min(max(overdue, 1.0), 10.0)
        cost *= 1 + 5 * self.settings.prices.cross_zone * (info.zone != self.settings.zone)
        if request.arrival.key and self.rollout and self.rollout.key_affinity:
            cost *= 0.85 + 0.3 * crc32(f"{request.arrival.key}/{info.id}".encode()) / 2**32
        return cost

    def _timeout(self, request: PendingRequest) -> int:
        kind, left = request.request_class, request.arrival.deadline - self.now
        mean = self.statistics.times.means.get(kind.name, kind.deadline)
        cut = int(max(6 * mean, 0.7 * kind.latency_objective))
        if kind.idempotency is Idempotency.KEYED:
            # Danger: with its window over, a keyed request may go nowhere else. So it is cut while a repeat
            # may still go, or not at all where usual answers take that long.
            soon = int(WINDOW_PART * kind.deduplication_window)
            cut = min(cut, soon) if soon >= WINDOW_LEAST * mean else left
        return left if not kind.retryable or self.retry_budget.tokens < 1 else min(left, cut)

    def _ended(self, event: api.AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or request.attempts[event.attempt].outcome is not None:
            return
        attempt, key = request.attempts[event.attempt], request.arrival.key
        attempt.outcome = event.outcome
        attempt.server.in_flight.pop((event.request, event.attempt), None)
        self.in_flight -= 1
        if self.ejections and event.outcome is Outcome.SUCCESS:
            self.ejections.record_success(self.now, event.server)
        self.learning.record_outcome(self.now, request, attempt, event)
        self._shed_by(request, attempt, event)
        self.rollout_test.record_outcome(request, attempt, event)
        if event.final or request.done:
            build, one_way = attempt.server.info.build, self.rollout and self.rollout.forward_only_keys
            if event.outcome is Outcome.SUCCESS and key and one_way and self._on_trial(build):
                self.answered_by[key] = build
            self._cancel(request)
            self._close(request)
        elif request.attempts_ended:
            self._again(request, event.outcome)

    def _again(self, request: PendingRequest, outcome: Outcome) -> None:
        allowed = outcome.never_ran or request.request_class.idempotency is not Idempotency.NON_IDEMPOTENT
        if not allowed or request.arrival.deadline - self.now < ANSWER_EARLY or self.retry_budget.tokens < 1:
            return self._give_up(request)
        self.retry_budget.spend(0.2 if outcome in (Outcome.UNREACHABLE, Outcome.NEVER_SENT) else 1.0)
        return self._place(request)

    def _shed_by(self, request: PendingRequest, attempt: Attempt, event: api.AttemptEnded) -> None:
        if event.outcome in (Outcome.SUCCESS, Outcome.TIMED_OUT):
            step = SHED_UP if event.elapsed > request.request_class.latency_objective else -SHED_DOWN
            # Danger: with few answers a second, an agent would go on shedding for long. And who waits for a
            # server that is gone waits for no load.
            pace = max(SHED_PACE / max(self.statistics.throughput.rate, 1.0), 1.0)
            step *= min(pace, 3.0) * (not attempt.was_silent)
            self.shed = min(max(self.shed + step, 0.0), SHED_MOST)

    def _probed(self, event: api.HealthCheckEnded) -> None:
        server = self.server_list.by_id.get(event.server)
        if server and event.outcome is Outcome.SUCCESS:
            server.heard_at = self.now
            self.statistics.record_load(self.now, server, event.load)

    def _news(self, news: api.RolloutState) -> None:
        if news.reply in (VoteReply.NONE, VoteReply.COUNTED):
            if self.rollout_state and news.cap < self.rollout_state.cap:
                self.exposure_log.restart_at(self.now + self.rules.drain_grace)
            self.rollout_state = news
            if self.rollout_test.update(self.now, news):
                self._forget(news.build)
                self._weigh()
        if news.reply in (VoteReply.OVERLOADED, VoteReply.ERROR, VoteReply.UNKNOWN):
            self.rollout_test.retry_vote(self.now, self.random)

    def _forget(self, newest: int) -> None:
        # Where builds follow one another all day, what is kept of each would add up.
        self.answered_by = {key: build for key, build in self.answered_by.items() if build >= newest}
        baseline = self.rollout_test.outcomes.baseline(newest)
        for build in [*self.exposure_log.builds(), *self.statistics.profiles]:
            if self.rollout_test.outcomes.is_obsolete(build, baseline):
                self.exposure_log.forget(build)
                self.statistics.forget(build)

    def _disputed(self, event: api.AnswerDisputed) -> None:
        server = self.server_list.by_id.get(event.server)
        if server and server.age(self.now) > event.age:  # else it was another build's, or another start's
            self.rollout_test.record_dispute(server.info.build)

    def _hear(self, event: api.GossipReceived) -> None:
        self.exchange.receive(event.sender, event.text, self.rollout_test.test)

    def _tick(self) -> None:
        period, test = self.schedule.period, self.rollout_test.test
        self.actions.append(api.SetTimer(period - self.now % period, TICKS))
        if self.settings.needs_watch and self.watch.is_due(self.now):
            self.watch.renew(self.now)
            self.actions.append(api.WatchServerList())
        last = self.schedule.advance(self.now)
        if self.rollout is None:
            return
        self.exchange.end_turn(last, test)
        if self.schedule.begins_round:
            self._end_round(test)
        if self.limits.gossip and (message := self.exchange.message(test)):
            self.actions.append(message)
        if test:
            self.actions.extend(self.rollout_test.cast_vote(self.now, test, self.rollout))

    def _end_round(self, test: SequentialTest | None) -> None:
        duration, available = self.schedule.round_duration, self.server_list.available
        self.shared_health.end_round(duration)
        zones = [(server.incarnation, server.info.zone) for server in available]
        avoided = self.shared_health.servers_to_avoid(zones, self.random.random)
        for server in available:
            server.shared_error_rate = self.shared_health.failure_share(server.incarnation)
            if server.incarnation in avoided:
                server.ejected_until = max(server.ejected_until, self.now + duration)
        if test:
            self.rollout_test.end_round(self.now, test)
