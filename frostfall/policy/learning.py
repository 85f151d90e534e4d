"""Statistics and ejections of servers, learned from ended attempts (types: frostfall/interface.py)."""

from functools import partial

from frostfall import interface as api
from frostfall.interface import Microseconds, Outcome
from frostfall.mechanisms.backoff import ExponentialBackoff
from frostfall.mechanisms.fleet_statistics import FleetStatistics, StatisticsParameters
from frostfall.records import Attempt, PendingRequest
from frostfall.shared_health.server_health import SharedHealth

STATISTICS_PARAMETERS = StatisticsParameters(
    error_weight=0.15,
    slowness_weight=0.07,
    fleet_weight=0.05,
    time_weight=0.03,
    smallest_work=0.3,
    largest_work=3.0,
    smallest_slowness=0.3,
    largest_slowness=8.0,
    unknown_time_share=0.5,
    initial_queue_length=1.0,
    server_decay_time=3_000_000,  # us
    rate_decay_time=2_000_000,  # us
    peak_decay_time=20_000_000,  # us: long enough for a cold fleet to warm up before the peak has faded
)
OVERLOAD_EJECTION = 300_000  # us for which an overloaded server is ejected
UNREACHABLE_EJECTION = partial(ExponentialBackoff, first=300_000, longest=4_000_000)  # us
ANSWERED_OUTCOMES = (Outcome.SUCCESS, Outcome.ERROR, Outcome.OVERLOADED)
ERROR_OUTCOMES = (Outcome.ERROR, Outcome.TIMED_OUT, Outcome.RESET)


class OutcomeRecorder:
    """Updates statistics, health and ejections of servers by the outcomes of attempts."""

    def __init__(self, statistics: FleetStatistics, shared_health: SharedHealth) -> None:
        self.statistics, self.shared_health = statistics, shared_health

    def record_outcome(
        self, now: Microseconds, request: PendingRequest, attempt: Attempt, event: api.AttemptEnded
    ) -> None:
        """Record the end of an attempt."""
        server, outcome, served = attempt.server, event.outcome, event.outcome is Outcome.SUCCESS
        failed, silent = outcome is Outcome.ERROR, attempt.was_silent
        # A timeout at a server that answers other attempts is a sign of load, not of failure.
        if served or failed or silent:
            self.shared_health.record_attempt(server.incarnation, server.info.zone, failed, silent)
        if outcome is Outcome.UNREACHABLE:
            server.ejected_until = now + server.ejection.next()
            return
        if served:
            server.served_at = now
        if outcome in ANSWERED_OUTCOMES:
            server.last_response_at = now
            server.ejection.reset()
            server.ejected_until = now + OVERLOAD_EJECTION * (outcome is Outcome.OVERLOADED)
        self.statistics.record_end(now, server, served=served)
        if served or outcome in ERROR_OUTCOMES:
            self.statistics.record_error(server, failed=not served)
        if served or outcome is Outcome.TIMED_OUT:
            self.statistics.record_time(request, server, event.elapsed)
        self.statistics.record_load(now, server, event.load)
