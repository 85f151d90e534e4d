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

MIN_SERVERS = 12  # that an agent keeps connections to
SENDS_PER_CONNECTION = 4  # in the time after which it closes as idle, to make one worth while
SAMPLE_SIZE = 6  # servers that a request chooses among, in a fleet of any size
SEARCH_SIZE = 30  # servers looked at beyond them, where the warm-up budget leaves none
SHARPNESS = 4.0  # of a choice by fresh load reports: odds are the cost to minus this power, else to minus 1
REPORT_TRUST = 1_000_000  # us in which a report loses that weight to 1/e
REPORT_MEMORY = 500_000  # us in which what is known of a server's load fades to the fleet's
EAGERNESS = 0.25  # doublings of load by which a build under test is preferred ...
EXTRA_EAGERNESS = 8  # ... and times more, by its share of a fleet that keeps its old servers
MAX_EXCESS_ERRORS = 0.9  # of a server above its build
OVERDUE_TIMES = 3.0  # mean response times from which an attempt that is out adds to the cost
MAX_OVERDUE_COST = 10.0
CROSS_ZONE_COST = 5  # times the price of a request to another zone
MIN_AFFINITY_COST = 0.85  # of a server for a key that it has the most affinity to
AFFINITY_RANGE = 0.3  # of that cost


class Routing:
    """Chooses among the servers that the guards allow."""

    def __init__(self, settings: api.Settings, source: random.Random, guards: AttemptGuards) -> None:
        self.settings, self.random = settings, source
        self.servers, self.statistics = guards.servers, guards.statistics
        self.guards, self.exposure, self.rollout_test = guards, guards.exposure, guards.rollout_test
        self.ejections = OutlierEjections()  # of servers that turned slow in the middle of an exchange
        self.under_test = list[ServerState]()  # servers of the build under test
        self.eagerness = EAGERNESS

    def regroup(self) -> None:
        """Follow a change of the server list or of the build under test."""
        available, rollout = self.servers.available, self.settings.rollout
        self.under_test = [s for s in available if self.rollout_test.tested(s.info.build)]
        extra = len(self.under_test) if rollout and rollout.keeps_old_servers else 0
        self.eagerness = EAGERNESS * (1 + EXTRA_EAGERNESS * extra / max(len(available), 1))

    def usable(self, now: Microseconds, request: PendingRequest) -> list[ServerState]:
        """The servers that are not ejected as outliers, or all that are up where no other is."""
        available, admits = self.servers.available, self.ejections.admits
        if not self.ejections:
            return available
        retryable = request.request_class.retryable
        usable = [s for s in available if admits(now, s.info.id, len(s.in_flight), retryable)]
        return usable or available

    def sample(self, now: Microseconds, usable: list[ServerState]) -> list[ServerState]:
        """A few servers at random, of those that this agent keeps connections to."""
        # Hundreds of agents that connect to every server fill its table, and learn nothing of any by a
        # request now and then. So each keeps to as many as its traffic keeps connected, in random order.
        sends = self.statistics.served_rate(now) * self.settings.limits.connection_idle_timeout / 1e6
        most = max(MIN_SERVERS, int(sends / SENDS_PER_CONNECTION))
        near = list(islice((server for server in usable if server.ejected_until <= now), most))
        return near if len(near) <= SAMPLE_SIZE else self.random.sample(near, SAMPLE_SIZE)

    def choose(
        self, now: Microseconds, request: PendingRequest, usable: list[ServerState], sample: list[ServerState]
    ) -> RoutingChoice | None:
        """The server to send a request to, or None where the guards allow none."""
        urgent = self._urgent(now, usable) if self.rollout_test.lacks_outcomes else []
        options = self._allowed(now, request, [*urgent, *sample])
        if sample and not options:
            # With the fleet all cold, what the budget allows lies at servers beyond those kept to.
            others = self.random.sample(usable, min(SEARCH_SIZE, len(usable)))
            options = self._allowed(now, request, others)[:SAMPLE_SIZE]
        if not options:
            return None
        wanted = [server for server in options if self._accepts_build(request, server)] or options
        preferred = [server for server in wanted if server in urgent] or wanted
        # By late reports all rush to the server that looks idle; by none, to what is preferred.
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
        # A build's first servers are near few agents. What their warm-up budget leaves is used at once.
        warm_up = self.settings.rules.warm_up_duration
        cold = [server for server in self.under_test if server.age(now) < warm_up]
        return cold if usable is self.servers.available else [s for s in cold if s in usable]

    def _accepts_build(self, request: PendingRequest, server: ServerState) -> bool:
        build, state = server.info.build, self.exposure.state
        if state is None or build < self.exposure.first_covered_build:
            return True
        # If a low score stopped the traffic before a vote has its outcomes, there would be no vote.
        test = self.rollout_test.test
        failing = test and test.position <= -1 and not self.rollout_test.lacks_outcomes
        if state.phase is not RolloutPhase.TRIAL or failing:
            return False
        return request.request_class.idempotent or (build == state.build and state.stage > 0)

    def load(self, now: Microseconds, server: ServerState) -> float:
        """The load of a server with one more request."""
        return server.load(now, self.statistics.others_in_flight, REPORT_MEMORY)

    def sharpness(self, now: Microseconds, server: ServerState) -> float:
        """The power of a server's cost in the choice: full after a load report, then 1."""
        return 1.0 + (SHARPNESS - 1) * math.exp((server.reported_at - now) / REPORT_TRUST)

    def cost(
        self, now: Microseconds, request: PendingRequest, choice: RoutingChoice, informed: float
    ) -> float:
        """The cost of a choice; `informed` tells how fresh load reports are, from 0 to 1."""
        server, settings = choice.server, self.settings
        # The penalty fades by itself, so it counts in full, whatever the choice's sharpness.
        penalty = self.statistics.penalty(now, server, MAX_EXCESS_ERRORS)
        cost = choice.load * math.pow(penalty, SHARPNESS / choice.sharpness)
        test = self.rollout_test.tested(server.info.build)
        if test:
            cost *= 2.0 ** -(self.eagerness * informed * (1 + min(test.position, 1.0)))
        if not (test and self.rollout_test.lacks_outcomes):
            cost /= server.warmth(now, settings.rules)
        usual = self.statistics.times.overall_mean
        if server.in_flight and usual:  # a lost, stuck or slow server looks idle by its reports
            overdue = server.oldest_attempt_age(now) / usual / OVERDUE_TIMES
            cost *= min(max(overdue, 1.0), MAX_OVERDUE_COST)
        cost *= 1 + CROSS_ZONE_COST * settings.prices.cross_zone * (server.info.zone != settings.zone)
        key = request.arrival.key
        if key and settings.rollout and settings.rollout.key_affinity:
            affinity = crc32(f"{key}/{server.info.id}".encode())
            cost *= MIN_AFFINITY_COST + AFFINITY_RANGE * affinity / 2**32
        return cost
