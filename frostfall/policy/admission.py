"""Which requests are sent, wait or are shed when servers are busy (types: frostfall/interface.py)."""

from frostfall import interface as api
from frostfall.interface import Microseconds, Outcome
from frostfall.mechanisms.fleet_statistics import FleetStatistics
from frostfall.mechanisms.server_list import ServerList
from frostfall.records import Attempt, PendingRequest

SHED_INCREASE = 0.03  # of the share shed, by each late answer
SHED_DECREASE = 0.01  # by each timely one
MAX_SHED_SHARE = 0.6
SHED_RATE = 40.0  # answers a second from which the steps are these
MAX_SHED_SCALE = 3.0  # of the steps below that rate
FILL = 0.6  # latency objectives that what is in flight may take to be served
IDLE_FILL = 0.9  # the same while hardly anything waits at servers
IDLE_QUEUE = 0.5  # mean length of a server's queue up to which that is so
MIN_TIME_RATIO = 0.3  # of a class's mean response time to that of all, as far as it adds capacity
SPARE_REQUESTS = 2  # in flight beyond what the throughput allows
REQUESTS_PER_SERVER = 1.5  # that a server has capacity for, whatever the throughput
RESERVED_SHARE = 0.3  # of the capacity, kept for the classes of the highest priority
WAIT_DIVISOR = 3  # a request waits for a server for this part of its latency objective
MIN_WAITING = 12  # requests that may wait, whatever the throughput


class Admission:
    """Keeps what is in flight to what can be served in time."""

    def __init__(self, settings: api.Settings, servers: ServerList, statistics: FleetStatistics) -> None:
        self.servers, self.statistics = servers, statistics
        weights = [request_class.priority_weight for request_class in settings.classes]
        self.top_weight = max(max(weights, default=1.0), 1e-9)
        self.shed_share = 0.0
        self.in_flight = 0  # attempts
        self.waiting = dict[str, PendingRequest]()  # requests with no server to go to yet, in order

    def shed_chance(self, request: PendingRequest) -> float:
        """The chance by which a new request is to be shed."""
        # An agent with little in flight cannot see by its count that all is overloaded; late answers tell.
        weight = request.request_class.priority_weight
        return self.shed_share ** (2 * weight / self.top_weight) if self.shed_share else 0.0

    def has_capacity(self, now: Microseconds, request: PendingRequest) -> bool:
        """Whether a request may be sent now."""
        # When more is asked than can be served, all come late. So no more is in flight than is served in
        # what answers may take (Little's law), by a class's objective and own times; the lowest priority
        # waits first.
        request_class, statistics = request.request_class, self.statistics
        fill = IDLE_FILL if statistics.queue_length < IDLE_QUEUE else FILL
        served = statistics.served_rate(now) * fill * request_class.latency_objective
        ratio = max(statistics.times.ratio(request_class.name), MIN_TIME_RATIO)
        capacity = max(
            served / ratio / 1e6 + SPARE_REQUESTS,
            len(self.servers.by_id) / 2,
            len(self.servers.available) * (REQUESTS_PER_SERVER - statistics.others_in_flight),
        )
        reserved = RESERVED_SHARE * request_class.priority_weight / self.top_weight
        return self.in_flight < capacity * (1 - RESERVED_SHARE + reserved)

    def may_wait(self, now: Microseconds, request: PendingRequest) -> bool:
        """Whether a request may wait for a server: as many as can be served by then."""
        objective = request.request_class.latency_objective
        if now - request.arrived_at >= objective // WAIT_DIVISOR:
            return False
        served = self.statistics.served_rate(now) * objective / (WAIT_DIVISOR * 1e6)
        return len(self.waiting) < MIN_WAITING + served

    def record_outcome(self, request: PendingRequest, attempt: Attempt, event: api.AttemptEnded) -> None:
        """Learn from a response time how much is to be shed."""
        if event.outcome not in (Outcome.SUCCESS, Outcome.TIMED_OUT):
            return
        late = event.elapsed > request.request_class.latency_objective
        # With few answers a second, an agent would go on shedding for long. And a request that waits for a
        # server that is gone waits for no load.
        scale = max(SHED_RATE / max(self.statistics.throughput.rate, 1.0), 1.0)
        step = (SHED_INCREASE if late else -SHED_DECREASE) * (
            min(scale, MAX_SHED_SCALE) * (not attempt.was_silent)
        )
        self.shed_share = min(max(self.shed_share + step, 0.0), MAX_SHED_SHARE)
