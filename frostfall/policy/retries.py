"""Time limits of attempts, and whether another one follows (types: frostfall/interface.py)."""

from frostfall.interface import Microseconds, Outcome
from frostfall.mechanisms.fleet_statistics import FleetStatistics
from frostfall.mechanisms.token_bucket import TokenBucket
from frostfall.records import PendingRequest

ANSWER_MARGIN = 10_000  # us before its deadline in which a request is answered at the latest
RETRIES_PER_REQUEST = 0.15  # earned by each request taken
RETRY_BUDGET = 6.0  # retries that may be saved up
UNSENT_RETRY_COST = 0.2  # of a retry after an attempt that reached no server
TIMEOUT_MEAN_TIMES = 6  # mean response times of its class after which an attempt is given up ...
TIMEOUT_OBJECTIVES = 0.7  # ... though not before this part of the latency objective
WINDOW_SHARE = 0.8  # of a key's deduplication window, after which an attempt is given up
MIN_WINDOW_MEAN_TIMES = 3.0  # mean response times that have to fit into that


class RetryPolicy:
    """Spends a budget on retries that is earned by requests."""

    def __init__(self, statistics: FleetStatistics) -> None:
        self.times = statistics.times
        self.budget = TokenBucket(capacity=RETRY_BUDGET, tokens=RETRY_BUDGET)

    def record_request(self) -> None:
        """A request has been taken."""
        self.budget.earn(RETRIES_PER_REQUEST)

    def timeout(self, now: Microseconds, request: PendingRequest) -> Microseconds:
        """How long an attempt that begins now may take."""
        request_class, left = request.request_class, request.arrival.deadline - now
        if not request_class.retryable or self.budget.tokens < 1:
            return left
        mean = self.times.means.get(request_class.name, request_class.deadline)
        limit = int(max(TIMEOUT_MEAN_TIMES * mean, TIMEOUT_OBJECTIVES * request_class.latency_objective))
        if not request_class.idempotent:
            # After its deduplication window, a keyed request may go nowhere else. So it is given up while a
            # retry may still go, or not at all where usual answers take that long.
            window = int(WINDOW_SHARE * request_class.deduplication_window)
            limit = min(limit, window) if window >= MIN_WINDOW_MEAN_TIMES * mean else left
        return min(left, limit)

    def takes_retry(self, now: Microseconds, request: PendingRequest, outcome: Outcome) -> bool:
        """Whether another attempt follows one that ended so; if it does, it is paid for."""
        late = request.arrival.deadline - now < ANSWER_MARGIN
        if late or not (outcome.never_ran or request.request_class.retryable) or self.budget.tokens < 1:
            return False
        unsent = outcome in (Outcome.UNREACHABLE, Outcome.NEVER_SENT)
        self.budget.spend(UNSENT_RETRY_COST if unsent else 1.0)
        return True
