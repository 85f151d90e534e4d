"""Simulated servers with a queue and workers, and faults that begin and end."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field

from frostfall import interface as api
from frostfall.model.event_queue import Micros

NEVER: Micros = 1 << 62
OVERLOAD_REPLY_TIME: Micros = 1_000
ERROR_REPLY_DIVISOR = 4  # an error takes this part of a request's mean work


@dataclass(slots=True)
class ServerFault:
    """What is wrong with a server for a while."""

    begins: Micros = 0
    ends: Micros = NEVER
    error_share: float = 0.0  # share of its answers that are errors, which come at once
    slowdown: float = 1.0  # factor on the time of its work
    silent: bool = False  # nothing comes back, and nothing is accepted anew


@dataclass(frozen=True, slots=True)
class Arrival:
    """An attempt that reached a server."""

    at: Micros
    agent: int


@dataclass(frozen=True, slots=True)
class Reply:
    """How a server ends an attempt."""

    outcome: api.Outcome
    at: Micros


@dataclass(slots=True)
class QueueingServer:
    """One server with some workers; it works through its queue in order."""

    info: api.Server
    workers: int = 4
    mean_work: Micros = 20_000  # of one request, exponentially distributed
    queue_limit: int = 64  # requests that may wait beyond those being served
    faults: list[ServerFault] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    _free_at: list[Micros] = field(default_factory=list)  # heap: when each worker is free

    def fault(self, now: Micros) -> ServerFault:
        """What is wrong with it now; a fault without effect where nothing is."""
        return next((fault for fault in self.faults if fault.begins <= now < fault.ends), ServerFault())

    def serve(self, now: Micros, agent: int, rng: random.Random) -> Reply | None:
        """How an attempt that arrives now ends; None where nothing ever comes back."""
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
        """Requests being served, for its load reports."""
        return sum(free_at > now for free_at in self._free_at)

    def _is_overloaded(self, now: Micros) -> bool:
        longest_wait = self.queue_limit * self.mean_work // self.workers
        return self.in_flight(now) == self.workers and self._free_at[0] - now > longest_wait
