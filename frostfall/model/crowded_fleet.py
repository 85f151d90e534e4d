"""A fleet whose discovery works through calls in turn, and refuses those that wait for too long."""

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
    """What discovery bears."""

    call_time: Micros = 40_000  # for one call
    patience: Micros = 3 * SECOND  # of a call that waits for its turn


class CrowdedFleet(Fleet):
    """A fleet with a queue at discovery. An answer opens a watch: later lists reach the agent at once."""

    def __init__(
        self,
        settings: api.Settings,
        servers: Iterable[QueueingServer],
        seed: int = 1,
        one_way_delay: Micros = ONE_WAY_DELAY,
        capacity: DiscoveryCapacity | None = None,
    ) -> None:
        """With all agents started at once, and no requests yet."""
        self.capacity = capacity or DiscoveryCapacity()
        self.refused_calls = 0
        self.watching = set[int]()  # agents
        self._free_at: Micros = 0
        self._has_stale_list = False  # whether what a new process had is older than the list
        self._stale_list: tuple[api.Server, ...] = ()
        super().__init__(settings, servers, seed, one_way_delay)

    def start_outage(self) -> None:
        """Discovery goes down, and with it all watches; configurations keep the list as it is now."""
        self._stale_list = self.server_list()
        self._has_stale_list = True
        self.discovery_up = False
        for number in self.watching:
            self._deliver_later(number, self._incarnations[number], self.one_way_delay, _failed())
        self.watching.clear()

    def end_outage(self) -> None:
        """Discovery is back, with an empty queue."""
        self.discovery_up = True
        self._free_at = self.now

    def restart(self, numbers: Iterable[int]) -> None:
        """Kill these agents and start them on the list that their configurations hold."""
        chosen = list(numbers)
        self.watching.difference_update(chosen)
        fresh = self.server_list
        if self._has_stale_list:
            self.server_list = lambda: self._stale_list  # type: ignore[method-assign]
        super().restart(chosen)
        self.server_list = fresh  # type: ignore[method-assign]

    def publish_server_list(self) -> None:
        """Let discovery tell the list to the agents that watch."""
        event = self.list_event(api.ServerListKind.COMPLETE)
        for number in self.watching:
            self._deliver_later(number, self._incarnations[number], self.one_way_delay, event)

    def _call_discovery(self, number: int, incarnation: int) -> None:
        self.statistics.list_calls.append(ListCall(self.now, number))
        if not self.discovery_up:
            self._deliver_later(number, incarnation, 2 * self.one_way_delay, _failed())
            return
        self._free_at = max(self._free_at, self.now) + self.capacity.call_time
        wait = self._free_at - self.now
        if wait > self.capacity.patience:
            self._free_at -= self.capacity.call_time
            self.refused_calls += 1
            self._deliver_later(number, incarnation, self.capacity.patience, _failed())
            return
        self.schedule(self.now + wait, lambda: self._answer_call(number, incarnation))

    def _answer_call(self, number: int, incarnation: int) -> None:
        if self._incarnations[number] != incarnation:
            return
        if not self.discovery_up:
            self.deliver(number, _failed())
            return
        self.watching.add(number)
        self.deliver(number, self.list_event(api.ServerListKind.COMPLETE))


def _failed() -> api.ServerListUpdated:
    return api.ServerListUpdated(api.ServerListKind.FAILED, ())
