"""Which server a request goes to (types: frostfall/interface.py)."""

import math
import random
from itertools import islice
from zlib import crc32

from frostfall import interface as api
from frostfall.interface import Microseconds, RolloutPhase
from frostfall.mechanisms.weighted_choice import choose_by_cost
from frostfall.policy.guards import AttemptGuards
from frostfall.records import PendingRequest, RoutingChoice, ServerState
from frostfall.routing.outlier_ejection import OutlierEjections

MIN_SERVERS = 12  # servers that an agent keeps connections to, at least
SENDS_PER_CONNECTION = 4  # attempts within the idle timeout that justify one more connection
SAMPLE_SIZE = 6  # servers that a request chooses among, independent of the size of the fleet
SEARCH_SIZE = 30  # further servers that are checked if the guards allow none of the sample
# Exponent of the choice with fresh load reports: the odds of a server are its cost to the power of minus
# this. Without reports the exponent is 1.
SHARPNESS = 4.0
REPORT_TRUST = 1_000_000  # us, time constant with which the exponent falls to 1 after a report
REPORT_MEMORY = 500_000  # us, time constant with which a reported load approaches the fleet's mean
TRIAL_PREFERENCE = 0.25  # doublings of load by which a build under test is preferred
EXTRA_TRIAL_PREFERENCE = 8  # further multiples, by the build's share of the fleet, if old servers remain
MAX_EXCESS_ERRORS = 0.9  # largest error rate above that of its build which a server is charged for
OVERDUE_MEAN_MULTIPLE = 3.0  # mean response times after which an attempt in flight raises the server's cost
MAX_OVERDUE_COST = 10.0  # largest factor for overdue attempts
CROSS_ZONE_COST = 5  # weight of the price of a request to another zone
MIN_AFFINITY_COST = 0.85  # cost factor of the server with the highest affinity for a key
AFFINITY_RANGE = 0.3  # difference between the highest and the lowest of these factors


class Routing:
    """Chooses among the servers that the guards allow."""

    def __init__(self, settings: api.Settings, source: random.Random, guards: AttemptGuards) -> None:
        self.settings, self.random = settings, source
        self.servers, self.statistics = guards.servers, guards.statistics
        self.guards, self.exposure, self.rollout_test = guards, guards.exposure, guards.rollout_test
        self.ejections = OutlierEjections()  # servers that became slow during an exchange
        self.under_test = list[ServerState]()  # servers of the build under test
        self.trial_preference = TRIAL_PREFERENCE

    def refresh_tested_servers(self) -> None:
        """Recompute the servers under test after a change of the server list or of the build under test."""
        available, rollout = self.servers.available, self.settings.rollout
        self.under_test = [s for s in available if self.rollout_test.running_test(s.info.build)]
        extra = len(self.under_test) if rollout and rollout.keeps_old_servers else 0
        self.trial_preference = TRIAL_PREFERENCE * (
            1 + EXTRA_TRIAL_PREFERENCE * extra / max(len(available), 1)
        )

    def usable(self, now: Microseconds, request: PendingRequest) -> list[ServerState]:
        """Return the servers that are not ejected as outliers, or all that are up if each is ejected."""
        available, admits = self.servers.available, self.ejections.admits
        if not self.ejections:
            return available
        retryable = request.request_class.retryable
        usable = [s for s in available if admits(now, s.info.id, len(s.in_flight), retryable)]
        return usable or available

    def sample(self, now: Microseconds, usable: list[ServerState]) -> list[ServerState]:
        """Return a few random servers out of those that this agent keeps connections to."""
        # If hundreds of agents connect to every server, they fill the servers' connection tables, and each
        # agent sends a server too few requests to learn from. An agent therefore uses the first servers of
        # its own random order, as many as its traffic keeps connected.
        attempts = self.statistics.served_rate(now) * self.settings.limits.connection_idle_timeout / 1e6
        max_servers = max(MIN_SERVERS, int(attempts / SENDS_PER_CONNECTION))
        candidates = list(islice((server for server in usable if server.ejected_until <= now), max_servers))
        return candidates if len(candidates) <= SAMPLE_SIZE else self.random.sample(candidates, SAMPLE_SIZE)

    def choose(
        self, now: Microseconds, request: PendingRequest, usable: list[ServerState], sample: list[ServerState]
    ) -> RoutingChoice | None:
        """Return the server to send a request to, or None if the guards allow none."""
        urgent = self._urgent(now, usable) if self.rollout_test.lacks_outcomes else []
        options = self._allowed(now, request, [*urgent, *sample])
        if sample and not options:
            # If the whole fleet is cold, only servers outside the sample may have warm-up budget left.
            others = self.random.sample(usable, min(SEARCH_SIZE, len(usable)))
            options = self._allowed(now, request, others)[:SAMPLE_SIZE]
        if not options:
            return None
        accepting = [server for server in options if self._accepts_build(request, server)] or options
        preferred = [server for server in accepting if server in urgent] or accepting
        # Old reports would send all agents to the server that looks idle, and a lack of reports to the
        # preferred servers. The exponent and the preference therefore depend on the age of the reports.
        loads = {server: self.load(now, server) for server in dict.fromkeys([*sample, *preferred])}
        mean_load = sum([loads[server] for server in sample]) / len(sample)
        choices = [RoutingChoice(s, loads[s], mean_load, self.sharpness(now, s)) for s in preferred]
        sharpness = [choice.sharpness for choice in choices]
        informed = (sum(sharpness) / len(sharpness) - 1) / (SHARPNESS - 1)
        costs = [self.cost(now, request, choice, informed) for choice in choices]
        return choose_by_cost(self.random, choices, costs, sharpness)

    def _allowed(
        self, now: Microseconds, request: PendingRequest, servers: list[ServerState]
    ) -> list[ServerState]:
        may_send = self.guards.may_send
        return [s for s in servers if s.ejected_until <= now and may_send(now, request, s)]

    def _urgent(self, now: Microseconds, usable: list[ServerState]) -> list[ServerState]:
        # Few agents have the first servers of a build among those that they keep connections to. All agents
        # therefore use these servers as far as the warm-up budget allows.
        warm_up = self.settings.rules.warm_up_duration
        cold = [server for server in self.under_test if server.age(now) < warm_up]
        return cold if usable is self.servers.available else [s for s in cold if s in usable]

    def _accepts_build(self, request: PendingRequest, server: ServerState) -> bool:
        build, state = server.info.build, self.exposure.state
        if state is None or build < self.exposure.first_covered_build:
            return True
        # A low score must not stop the traffic before the test has the outcomes that a vote requires.
        test = self.rollout_test.test
        failing = test and test.position <= -1 and not self.rollout_test.lacks_outcomes
        if state.phase is not RolloutPhase.TRIAL or failing:
            return False
        return request.request_class.idempotent or (build == state.build and state.stage > 0)

    def load(self, now: Microseconds, server: ServerState) -> float:
        """Return the load of a server with one more request."""
        return server.load(now, self.statistics.others_in_flight, REPORT_MEMORY)

    def sharpness(self, now: Microseconds, server: ServerState) -> float:
        """Return the exponent of a server's cost, from `SHARPNESS` just after a load report down to 1."""
        return 1.0 + (SHARPNESS - 1) * math.exp((server.reported_at - now) / REPORT_TRUST)

    def cost(
        self, now: Microseconds, request: PendingRequest, choice: RoutingChoice, informed: float
    ) -> float:
        """Return the cost of a choice; `informed` is the freshness of the load reports, from 0 to 1."""
        server, settings = choice.server, self.settings
        # The penalty fades with time by itself, so it counts with the full exponent.
        penalty = self.statistics.penalty(now, server, MAX_EXCESS_ERRORS)
        cost = choice.load * math.pow(penalty, SHARPNESS / choice.sharpness)
        test = self.rollout_test.running_test(server.info.build)
        if test:
            cost *= 2.0 ** -(self.trial_preference * informed * (1 + min(test.position, 1.0)))
        if not (test and self.rollout_test.lacks_outcomes):
            cost /= server.warm_up_share(now, settings.rules)
        mean_time = self.statistics.times.overall_mean
        if server.in_flight and mean_time:  # a lost, stuck or slow server looks idle in load reports
            overdue = server.oldest_attempt_age(now) / mean_time / OVERDUE_MEAN_MULTIPLE
            cost *= min(max(overdue, 1.0), MAX_OVERDUE_COST)
        cost *= 1 + CROSS_ZONE_COST * settings.prices.cross_zone * (server.info.zone != settings.zone)
        key = request.arrival.key
        if key and settings.rollout and settings.rollout.key_affinity:
            affinity = crc32(f"{key}/{server.info.id}".encode())
            cost *= MIN_AFFINITY_COST + AFFINITY_RANGE * affinity / 2**32
        return cost
