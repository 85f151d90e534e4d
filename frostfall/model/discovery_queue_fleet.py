"""A simulated fleet whose discovery serves calls one at a time and rejects calls that wait too long."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from frostfall import interface as api
from frostfall.model.event_queue import SECOND, Micros
from frostfall.model.fleet import ONE_WAY_DELAY, Fleet
from frostfall.model.fleet_statistics import ListCall
from frostfall.model.servers import QueueingServer


@dataclass(frozen=True, slots=True)
class DiscoveryCapacity:
    """Limits of discovery, in microseconds."""

    service_time: Micros = 40_000  # per call
    max_wait: Micros = 3 * SECOND  # a call that would wait longer fails after this time


class DiscoveryQueueFleet(Fleet):
    """A fleet with a queue at discovery.

    The answer to a call opens a watch, over which the agent receives all later server lists.
    """

    def __init__(
        self,
        settings: api.Settings,
        servers: Iterable[QueueingServer],
        seed: int = 1,
        one_way_delay: Micros = ONE_WAY_DELAY,
        capacity: DiscoveryCapacity | None = None,
    ) -> None:
        """Start all agents at the same time, without any requests."""
        self.capacity = capacity or DiscoveryCapacity()
        self.rejected_calls = 0
        self.watching = set[int]()  # agents with an open watch
        self._free_at: Micros = 0
        self._has_stale_list = False  # a restarted agent begins with `_stale_list`
        self._stale_list: tuple[api.Server, ...] = ()
        super().__init__(settings, servers, seed, one_way_delay)

    def start_outage(self) -> None:
        """Stop discovery and close all watches; restarted agents begin with the server list of this time."""
        self._stale_list = self.server_list()
        self._has_stale_list = True
        self.discovery_up = False
        for number in self.watching:
            self._deliver_later(number, self._incarnations[number], self.one_way_delay, _failed())
        self.watching.clear()

    def end_outage(self) -> None:
        """Start discovery again with an empty queue."""
        self.discovery_up = True
        self._free_at = self.now

    def restart(self, numbers: Iterable[int]) -> None:
        """Kill these agents and start them with the server list from their configuration."""
        restarted = list(numbers)
        self.watching.difference_update(restarted)
        current_server_list = self.server_list
        if self._has_stale_list:
            self.server_list = lambda: self._stale_list  # type: ignore[method-assign]
        super().restart(restarted)
        self.server_list = current_server_list  # type: ignore[method-assign]

    def publish_server_list(self) -> None:
        """Let discovery send the current server list to all agents with an open watch."""
        event = self.server_list_event(api.ServerListKind.COMPLETE)
        for number in self.watching:
            self._deliver_later(number, self._incarnations[number], self.one_way_delay, event)

    def _call_discovery(self, number: int, incarnation: int) -> None:
        self.statistics.list_calls.append(ListCall(self.now, number))
        if not self.discovery_up:
            self._deliver_later(number, incarnation, 2 * self.one_way_delay, _failed())
            return
        self._free_at = max(self._free_at, self.now) + self.capacity.service_time
        wait = self._free_at - self.now
        if wait > self.capacity.max_wait:
            self._free_at -= self.capacity.service_time
            self.rejected_calls += 1
            self._deliver_later(number, incarnation, self.capacity.max_wait, _failed())
            return
        self.schedule(self.now + wait, lambda: self._answer_call(number, incarnation))

    def _answer_call(self, number: int, incarnation: int) -> None:
        if self._incarnations[number] != incarnation:
            return
        if not self.discovery_up:
            self.deliver(number, _failed())
            return
        self.watching.add(number)
        self.deliver(number, self.server_list_event(api.ServerListKind.COMPLETE))


def _failed() -> api.ServerListUpdated:
    return api.ServerListUpdated(api.ServerListKind.FAILED, ())
