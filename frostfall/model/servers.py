"""Modelled servers: work in a queue, troubles that begin and end, and starts that are cold."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field

from frostfall import interface as api

Micros = int
NEVER: Micros = 1 << 62


@dataclass(slots=True)
class Trouble:
    """What is wrong with a server for a while."""

    begins: Micros = 0
    ends: Micros = NEVER
    errors: float = 0.0  # share of its answers that are errors, which come at once
    slow: float = 1.0  # its work takes so many times as long
    silent: bool = False  # nothing comes back, and nothing is accepted anew


@dataclass(slots=True)
class Server:
    """One server with some workers; it works through its queue in order."""

    info: api.Server
    workers: int = 4
    work: Micros = 20_000  # mean of one request's, exponential
    queue: int = 64  # requests that may wait beyond those being served
    troubles: list[Trouble] = field(default_factory=list)
    attempts: list[tuple[Micros, int]] = field(default_factory=list)  # when, and by which agent
    _free: list[Micros] = field(default_factory=list)

    def trouble(self, now: Micros) -> Trouble:
        """What is wrong with it now, if anything."""
        return next((each for each in self.troubles if each.begins <= now < each.ends), Trouble())

    def serve(self, now: Micros, agent: int, draw: random.Random) -> tuple[api.Outcome, Micros] | None:
        """How an attempt that arrives now ends, and when; None where nothing ever comes back."""
        self.attempts.append((now, agent))
        wrong = self.trouble(now)
        if wrong.silent:
            return None
        if wrong.errors and draw.random() < wrong.errors:
            return api.Outcome.ERROR, now + self.work // 4
        if not self._free:
            self._free = [0] * self.workers
        if sum(busy > now for busy in self._free) == self.workers and (
            self._free[0] - now > self.queue * self.work // self.workers
        ):
            return api.Outcome.OVERLOADED, now + 1_000
        took = int(draw.expovariate(1 / self.work) * wrong.slow)
        done = max(heapq.heappop(self._free), now) + took
        heapq.heappush(self._free, done)
        return api.Outcome.SUCCESS, done

    def held(self, now: Micros) -> int:
        """Requests being served, for its load reports."""
        return sum(busy > now for busy in self._free)
