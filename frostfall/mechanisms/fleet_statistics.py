"""Statistics of servers, builds and request classes: exponentially weighted means that fade with time."""

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
    """Weights of one value in a mean, bounds of values, and times in which something fades to 1/e."""

    error_weight: float  # in a server's error rate
    slowness_weight: float  # in a server's slowness
    fleet_weight: float  # of one server's value in a mean over servers
    time_weight: float  # in a class's mean response time
    smallest_work: float  # that a client's hint can announce, relative to its class
    largest_work: float
    smallest_slowness: float  # that one response time can show
    largest_slowness: float
    unknown_time_share: float  # of the latency objective, expected where no response time is known
    initial_queue_length: float  # mean of what waits at a server, before any load report
    server_memory: Microseconds  # of a server's slowness and errors, which fade to the usual ones
    rate_memory: Microseconds  # of the throughput
    peak_memory: Microseconds  # of the most that a server carried


@dataclass(slots=True)
class BuildProfile:
    """Means over the servers of a build, against which each of them is held."""

    error_rate: float = 0.0
    slowness: float = 1.0


class FleetStatistics:
    """What one agent has learned of its fleet."""

    def __init__(self, parameters: StatisticsParameters, servers: ServerList) -> None:
        """Nothing is known yet."""
        self._parameters = parameters
        self._servers = servers
        self.throughput = Throughput(memory=parameters.rate_memory, peak_memory=parameters.peak_memory)
        self.times = ServiceTimes(
            weight=parameters.time_weight,
            smallest_scale=parameters.smallest_work,
            largest_scale=parameters.largest_work,
        )
        self.profiles = defaultdict[int, BuildProfile](BuildProfile)  # by build
        self.others_in_flight = 0.0  # mean of what servers report of other agents' requests
        self.queue_length = parameters.initial_queue_length  # mean of what servers report to wait there

    def served(self, now: Microseconds) -> float:
        """Requests served a second of late."""
        return self.throughput.update(now, len(self._servers.available))

    def expected_time(self, request: PendingRequest) -> float:
        """The response time to expect, in microseconds."""
        request_class, hint = request.request_class, request.arrival.service_time_hint
        default = request_class.latency_objective * self._parameters.unknown_time_share
        return self.times.expected(request_class.name, hint, default=default)

    def record_end(self, now: Microseconds, server: ServerState, *, served: bool) -> None:
        """An attempt has ended."""
        server.decay(now, self._parameters.server_memory)
        self.throughput.record(now, len(self._servers.available), served=served)

    def record_error(self, server: ServerState, *, failed: bool) -> None:
        """An attempt has failed or not, after `record_end`."""
        parameters, profile = self._parameters, self.profiles[server.info.build]
        server.error_rate += parameters.error_weight * (failed - server.error_rate)
        profile.error_rate += parameters.fleet_weight * (server.error_rate - profile.error_rate)

    def record_time(self, request: PendingRequest, server: ServerState, elapsed: Microseconds) -> None:
        """An attempt has taken so long, after `record_end`."""
        parameters, profile = self._parameters, self.profiles[server.info.build]
        slowness = elapsed / max(self.expected_time(request), 1.0)
        slowness = min(max(slowness, parameters.smallest_slowness), parameters.largest_slowness)
        server.slowness += parameters.slowness_weight * (slowness - server.slowness)
        profile.slowness += parameters.fleet_weight * (server.slowness - profile.slowness)
        self.times.record(request.request_class.name, elapsed)

    def record_load(self, now: Microseconds, server: ServerState, load: api.LoadReport | None) -> None:
        """A server has told of its load, or not."""
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
        """The cost factor of a server that is slower or fails more often than others of its build."""
        # Avoiding a failing build under test would end the evidence on it, and avoiding only the failing
        # servers of its baseline would flatter that. So a server is held against others of its build.
        profile = self.profiles[server.info.build]
        retained = math.exp((server.learned_at - now) / self._parameters.server_memory)
        # An agent that asks a server now and then forgets its errors before it meets the next.
        error_rate = max(server.error_rate * retained, server.shared_error_rate)
        errors = min(max(error_rate - profile.error_rate, 0.0), max_excess_errors)
        slowness = 1 + (server.slowness - 1) * retained
        return slowness / profile.slowness / (1.0 - errors) ** 2

    def forget(self, build: int) -> None:
        """Drop the profile of a build."""
        self.profiles.pop(build, None)
