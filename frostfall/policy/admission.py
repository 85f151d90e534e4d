"""Which requests are sent, wait or are shed when servers are busy (types: frostfall/interface.py)."""

from frostfall import interface as api
from frostfall.interface import Microseconds, Outcome
from frostfall.mechanisms.fleet_statistics import FleetStatistics
from frostfall.mechanisms.server_list import ServerList
from frostfall.records import Attempt, PendingRequest

SHED_INCREASE = 0.03  # increase of the shed share for a late answer
SHED_DECREASE = 0.01  # decrease of the shed share for a timely answer
MAX_SHED_SHARE = 0.6
SHED_RATE = 40.0  # answers per second; at lower rates the steps above are scaled up
MAX_SHED_SCALE = 3.0  # largest scale of the steps
IN_FLIGHT_OBJECTIVES = 0.6  # latency objectives within which all requests in flight can be served
IDLE_IN_FLIGHT_OBJECTIVES = 0.9  # the same while the servers' queues are nearly empty
MAX_IDLE_QUEUE = 0.5  # longest mean queue of a server that counts as nearly empty
MIN_TIME_RATIO = 0.3  # lower bound on a class's mean response time, relative to that of all classes
SPARE_REQUESTS = 2  # requests in flight beyond what the throughput allows
REQUESTS_PER_SERVER = 1.5  # requests that each server has capacity for at any throughput
RESERVED_SHARE = 0.3  # part of the capacity reserved for the classes of the highest priority
WAIT_DIVISOR = 3  # a request waits for a server for this part of its latency objective
MIN_WAITING = 12  # requests that may wait at any throughput


class Admission:
    """Limits the requests in flight to those that can be served in time."""

    def __init__(self, settings: api.Settings, servers: ServerList, statistics: FleetStatistics) -> None:
        self.servers, self.statistics = servers, statistics
        weights = [request_class.priority_weight for request_class in settings.classes]
        self.top_weight = max(max(weights, default=1.0), 1e-9)
        self.shed_share = 0.0
        self.in_flight = 0  # attempts
        self.waiting = dict[str, PendingRequest]()  # requests without a server yet, in order of arrival

    def shed_chance(self, request: PendingRequest) -> float:
        """Return the probability with which a new request is to be shed."""
        # An agent with few requests in flight recognises an overload of the fleet by late answers alone.
        weight = request.request_class.priority_weight
        return self.shed_share ** (2 * weight / self.top_weight) if self.shed_share else 0.0

    def has_capacity(self, now: Microseconds, request: PendingRequest) -> bool:
        """Return whether a request may be sent now."""
        # If more is requested than can be served, every answer is late. By Little's law, the requests in
        # flight are limited to the throughput times the latency that the class's objective and mean response
        # time permit. Requests of the lowest priority wait first.
        request_class, statistics = request.request_class, self.statistics
        objectives = (
            IDLE_IN_FLIGHT_OBJECTIVES if statistics.queue_length < MAX_IDLE_QUEUE else IN_FLIGHT_OBJECTIVES
        )
        served = statistics.served_rate(now) * objectives * request_class.latency_objective
        ratio = max(statistics.times.ratio(request_class.name), MIN_TIME_RATIO)
        capacity = max(
            served / ratio / 1e6 + SPARE_REQUESTS,
            len(self.servers.by_id) / 2,
            len(self.servers.available) * (REQUESTS_PER_SERVER - statistics.others_in_flight),
        )
        reserved = RESERVED_SHARE * request_class.priority_weight / self.top_weight
        return self.in_flight < capacity * (1 - RESERVED_SHARE + reserved)

    def may_wait(self, now: Microseconds, request: PendingRequest) -> bool:
        """Return whether a request may wait for a server.

        As many requests may wait as can be served within the longest wait.
        """
        objective = request.request_class.latency_objective
        if now - request.arrived_at >= objective // WAIT_DIVISOR:
            return False
        served = self.statistics.served_rate(now) * objective / (WAIT_DIVISOR * 1e6)
        return len(self.waiting) < MIN_WAITING + served

    def record_outcome(self, request: PendingRequest, attempt: Attempt, event: api.AttemptEnded) -> None:
        """Adjust the shed share by the response time of an attempt."""
        if event.outcome not in (Outcome.SUCCESS, Outcome.TIMED_OUT):
            return
        late = event.elapsed > request.request_class.latency_objective
        # Larger steps at low rates keep an agent with few answers per second from shedding for long after an
        # overload. A request to a server that is gone times out for another reason than load.
        scale = max(SHED_RATE / max(self.statistics.throughput.rate, 1.0), 1.0)
        step = (SHED_INCREASE if late else -SHED_DECREASE) * (
            min(scale, MAX_SHED_SCALE) * (not attempt.was_silent)
        )
        self.shed_share = min(max(self.shed_share + step, 0.0), MAX_SHED_SHARE)
