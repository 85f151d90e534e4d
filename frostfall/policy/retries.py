"""Timeouts of attempts and the retry budget (types: frostfall/interface.py)."""

from frostfall.interface import Microseconds, Outcome
from frostfall.mechanisms.fleet_statistics import FleetStatistics
from frostfall.mechanisms.token_bucket import TokenBucket
from frostfall.records import PendingRequest

ANSWER_MARGIN = 10_000  # us before its deadline at which a request is answered at the latest
RETRIES_PER_REQUEST = 0.15  # retries that each accepted request adds to the budget
RETRY_BUDGET = 6.0  # largest number of retries in the budget
UNSENT_RETRY_COST = 0.2  # cost of a retry after an attempt that reached no server
# An attempt times out after this many mean response times of its class, or after this part of the latency
# objective, whichever is longer.
TIMEOUT_MEAN_MULTIPLE = 6
TIMEOUT_OBJECTIVES = 0.7
# A keyed attempt times out after this part of its deduplication window if at least this many mean response
# times fit into that part.
WINDOW_SHARE = 0.8
MIN_WINDOW_MEAN_MULTIPLE = 3.0


class RetryPolicy:
    """Limits retries to a budget that each request adds to."""

    def __init__(self, statistics: FleetStatistics) -> None:
        self.times = statistics.times
        self.budget = TokenBucket(capacity=RETRY_BUDGET, tokens=RETRY_BUDGET)

    def record_request(self) -> None:
        """Add the share of an accepted request to the budget."""
        self.budget.earn(RETRIES_PER_REQUEST)

    def timeout(self, now: Microseconds, request: PendingRequest) -> Microseconds:
        """Return how long an attempt that begins now may take."""
        request_class, remaining = request.request_class, request.arrival.deadline - now
        if not request_class.retryable or self.budget.tokens < 1:
            return remaining
        mean = self.times.means.get(request_class.name, request_class.deadline)
        limit = int(max(TIMEOUT_MEAN_MULTIPLE * mean, TIMEOUT_OBJECTIVES * request_class.latency_objective))
        if not request_class.idempotent:
            # A keyed request must not be retried after its deduplication window. Its attempts therefore time
            # out while a retry is allowed, or only at the deadline if usual responses take that long.
            window = int(WINDOW_SHARE * request_class.deduplication_window)
            limit = min(limit, window) if window >= MIN_WINDOW_MEAN_MULTIPLE * mean else remaining
        return min(remaining, limit)

    def claim_retry(self, now: Microseconds, request: PendingRequest, outcome: Outcome) -> bool:
        """Return whether a retry follows an attempt with this outcome; if so, take it from the budget."""
        late = request.arrival.deadline - now < ANSWER_MARGIN
        if late or not (outcome.never_ran or request.request_class.retryable) or self.budget.tokens < 1:
            return False
        unsent = outcome in (Outcome.UNREACHABLE, Outcome.NEVER_SENT)
        self.budget.spend(UNSENT_RETRY_COST if unsent else 1.0)
        return True
