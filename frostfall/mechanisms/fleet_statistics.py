"""Statistics of servers, builds and request classes: exponentially weighted means that decay over time."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass

from frostfall import interface as api
from frostfall.interface import Microseconds
from frostfall.mechanisms.server_list import ServerList
from frostfall.mechanisms.service_times import ServiceTimes
from frostfall.mechanisms.throughput import Throughput
from frostfall.records import PendingRequest, ServerState


@dataclass(frozen=True, slots=True)
class StatisticsParameters:
    """Weights of one value in a mean, bounds of values, and times in which a statistic decays to 1/e."""

    error_weight: float  # in a server's error rate
    slowness_weight: float  # in a server's slowness
    fleet_weight: float  # of one server's value in a mean over servers
    time_weight: float  # in a class's mean response time
    smallest_work: float  # lower bound of a service-time hint, relative to the mean hint of its class
    largest_work: float  # upper bound of a service-time hint, relative to the mean hint of its class
    smallest_slowness: float  # lower bound of the slowness in one response time
    largest_slowness: float  # upper bound of the slowness in one response time
    unknown_time_share: float  # of the latency objective; the expected time if no response time is known
    initial_queue_length: float  # mean number of requests queued at a server, before any load report
    server_decay_time: Microseconds  # of a server's slowness and error rate, which decay to their defaults
    rate_decay_time: Microseconds  # of the throughput
    peak_decay_time: Microseconds  # of the peak throughput of a server


@dataclass(slots=True)
class BuildProfile:
    """Means over the servers of a build, with which each of the servers is compared."""

    error_rate: float = 0.0
    slowness: float = 1.0


class FleetStatistics:
    """Statistics that one agent has gathered about its fleet."""

    def __init__(self, parameters: StatisticsParameters, servers: ServerList) -> None:
        """Start without any data about these servers."""
        self._parameters = parameters
        self._servers = servers
        self.throughput = Throughput(
            decay_time=parameters.rate_decay_time, peak_decay_time=parameters.peak_decay_time
        )
        self.times = ServiceTimes(
            weight=parameters.time_weight,
            smallest_scale=parameters.smallest_work,
            largest_scale=parameters.largest_work,
        )
        self.profiles = defaultdict[int, BuildProfile](BuildProfile)  # by build
        self.others_in_flight = 0.0  # mean of other agents' requests in flight, by servers' reports
        self.queue_length = parameters.initial_queue_length  # mean of the queue lengths that servers report

    def served_rate(self, now: Microseconds) -> float:
        """Return the recent rate of requests served per second."""
        return self.throughput.update(now, len(self._servers.available))

    def expected_time(self, request: PendingRequest) -> float:
        """Return the expected response time of a request, in microseconds."""
        request_class, hint = request.request_class, request.arrival.service_time_hint
        default = request_class.latency_objective * self._parameters.unknown_time_share
        return self.times.expected(request_class.name, hint, default=default)

    def record_end(self, now: Microseconds, server: ServerState, *, served: bool) -> None:
        """Record the end of an attempt."""
        server.decay(now, self._parameters.server_decay_time)
        self.throughput.record(now, len(self._servers.available), served=served)

    def record_error(self, server: ServerState, *, failed: bool) -> None:
        """Record whether an attempt has failed; call `record_end` first."""
        parameters, profile = self._parameters, self.profiles[server.info.build]
        server.error_rate += parameters.error_weight * (failed - server.error_rate)
        profile.error_rate += parameters.fleet_weight * (server.error_rate - profile.error_rate)

    def record_time(self, request: PendingRequest, server: ServerState, elapsed: Microseconds) -> None:
        """Record the response time of an attempt; call `record_end` first."""
        parameters, profile = self._parameters, self.profiles[server.info.build]
        slowness = elapsed / max(self.expected_time(request), 1.0)
        slowness = min(max(slowness, parameters.smallest_slowness), parameters.largest_slowness)
        server.slowness += parameters.slowness_weight * (slowness - server.slowness)
        profile.slowness += parameters.fleet_weight * (server.slowness - profile.slowness)
        self.times.record(request.request_class.name, elapsed)

    def record_load(self, now: Microseconds, server: ServerState, load: api.LoadReport | None) -> None:
        """Record the load report of a server; without a report nothing changes."""
        if load is None:
            return
        weight = self._parameters.fleet_weight
        if load.queued is not None:
            self.queue_length += weight * (load.queued - self.queue_length)
        in_flight = load.in_flight if load.in_flight is not None else load.queued
        if in_flight is not None:
            server.others_in_flight = max(0.0, in_flight - len(server.in_flight))
            server.reported_at = now
            self.others_in_flight += weight * (server.others_in_flight - self.others_in_flight)

    def penalty(self, now: Microseconds, server: ServerState, max_excess_errors: float) -> float:
        """Return the cost factor of a server that is slower or fails more often than others of its build."""
        # Avoiding a failing build under test would end the evidence about it, and avoiding only the failing
        # servers of the baseline would make the baseline look too good. Each server is therefore compared
        # with others of its build.
        profile = self.profiles[server.info.build]
        retained = math.exp((server.learned_at - now) / self._parameters.server_decay_time)
        # An agent that rarely sends requests to a server forgets its errors before it sees the next one, so
        # the error rate shared by all agents counts as well.
        error_rate = max(server.error_rate * retained, server.shared_error_rate)
        errors = min(max(error_rate - profile.error_rate, 0.0), max_excess_errors)
        slowness = 1 + (server.slowness - 1) * retained
        return slowness / profile.slowness / (1.0 - errors) ** 2

    def forget(self, build: int) -> None:
        """Drop the profile of a build."""
        self.profiles.pop(build, None)
