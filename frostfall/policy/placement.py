"""Decides whether a request is sent, waits or gets its final answer (types: frostfall/interface.py)."""

import random

from frostfall import interface as api
from frostfall.interface import Microseconds
from frostfall.mechanisms.token_bucket import TokenBucket
from frostfall.policy.admission import Admission
from frostfall.policy.routing import Routing
from frostfall.records import PendingRequest, Placement, ServerState

PLACEMENT_RETRY_PERIOD = 50_000  # us between attempts to place the waiting requests
HEALTH_CHECKS_PER_REQUEST = 0.5  # health checks that each request adds to the budget
HEALTH_CHECK_BUDGET = 2.0  # largest number of health checks in the budget


class PlacementPolicy:
    """Combines admission, routing and the guards into one decision on a request."""

    def __init__(self, settings: api.Settings, source: random.Random, routing: Routing) -> None:
        self.limits, self.random, self.routing = settings.limits, source, routing
        self.admission = Admission(settings, routing.servers, routing.statistics)
        self.checks_health = settings.load_by_health_check and settings.limits.health_checks
        self.health_checks = TokenBucket(capacity=HEALTH_CHECK_BUDGET, tokens=0.0)

    def admits(self, request: PendingRequest) -> bool:
        """Return whether a new request is admitted rather than shed."""
        self.health_checks.earn(HEALTH_CHECKS_PER_REQUEST)
        return self.random.random() >= self.admission.shed_chance(request)

    def place(self, now: Microseconds, request: PendingRequest) -> Placement:
        """Return the server that a request goes to now, or whether it waits; otherwise it is given up."""
        has_capacity = self.admission.has_capacity(now, request)
        usable = self.routing.usable(now, request)
        sample = self.routing.sample(now, usable) if has_capacity or self.checks_health else []
        choice = self.routing.choose(now, request, usable, sample) if has_capacity else None
        waits = choice is None and self.admission.may_wait(now, request)
        return Placement(choice, waits, self._health_check(now, sample) if self.checks_health else None)

    def _health_check(self, now: Microseconds, sample: list[ServerState]) -> ServerState | None:
        if not sample or self.health_checks.tokens < 1:
            return None
        self.health_checks.spend(1)
        server = min(sample, key=lambda server: server.checked_at)
        if not self.routing.guards.is_usable(now, server):
            return None
        server.checked_at = now
        return server

    def final_answer(self, request: PendingRequest) -> api.RejectRequest | api.FailRequest:
        """Return the final answer to a request that is given up."""
        if not self.routing.guards.may_reject(request):
            return api.FailRequest(request.name)
        longest = min(self.limits.max_retry_after, request.request_class.latency_objective // 2)
        return api.RejectRequest(request.name, longest if self.limits.retry_after else 0)
