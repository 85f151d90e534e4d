"""Simulated servers with a queue, a number of workers, and faults of limited duration."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field

from frostfall import interface as api
from frostfall.model.event_queue import Micros

NEVER: Micros = 1 << 62
OVERLOAD_REPLY_TIME: Micros = 1_000
ERROR_REPLY_DIVISOR = 4  # an error answer takes `mean_work` divided by this


@dataclass(slots=True)
class ServerFault:
    """A fault of a server during a period of time."""

    begins: Micros = 0
    ends: Micros = NEVER
    error_share: float = 0.0  # share of attempts that are answered with an error, without queueing
    slowdown: float = 1.0  # factor on service times
    silent: bool = False  # no new attempt is accepted or answered


@dataclass(frozen=True, slots=True)
class Arrival:
    """An attempt that reached a server."""

    at: Micros
    agent: int


@dataclass(frozen=True, slots=True)
class Reply:
    """A server's answer to an attempt."""

    outcome: api.Outcome
    at: Micros


@dataclass(slots=True)
class QueueingServer:
    """A server with several workers and one first-in, first-out queue."""

    info: api.Server
    workers: int = 4
    mean_work: Micros = 20_000  # mean service time of a request; exponentially distributed
    queue_limit: int = 64  # requests that may wait for a worker
    faults: list[ServerFault] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    _free_at: list[Micros] = field(default_factory=list)  # heap: the time at which each worker becomes free

    def fault(self, now: Micros) -> ServerFault:
        """Return the active fault, or one without effect if no fault is active."""
        return next((fault for fault in self.faults if fault.begins <= now < fault.ends), ServerFault())

    def serve(self, now: Micros, agent: int, rng: random.Random) -> Reply | None:
        """Return the answer to an attempt that arrives now, or None if it is never answered."""
        self.arrivals.append(Arrival(now, agent))
        fault = self.fault(now)
        if fault.silent:
            return None
        if fault.error_share and rng.random() < fault.error_share:
            return Reply(api.Outcome.ERROR, now + self.mean_work // ERROR_REPLY_DIVISOR)
        if not self._free_at:
            self._free_at = [0] * self.workers
        if self._is_overloaded(now):
            return Reply(api.Outcome.OVERLOADED, now + OVERLOAD_REPLY_TIME)
        work = int(rng.expovariate(1 / self.mean_work) * fault.slowdown)
        done = max(heapq.heappop(self._free_at), now) + work
        heapq.heappush(self._free_at, done)
        return Reply(api.Outcome.SUCCESS, done)

    def in_flight(self, now: Micros) -> int:
        """Return the number of requests being served, as stated in load reports."""
        return sum(free_at > now for free_at in self._free_at)

    def _is_overloaded(self, now: Micros) -> bool:
        longest_wait = self.queue_limit * self.mean_work // self.workers
        return self.in_flight(now) == self.workers and self._free_at[0] - now > longest_wait
