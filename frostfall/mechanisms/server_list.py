"""The servers of the endpoint list, with the state that one agent has of each."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from frostfall import interface as api
from frostfall.interface import Availability, Microseconds, ServerListKind
from frostfall.mechanisms.backoff import ExponentialBackoff
from frostfall.records import ServerState
from frostfall.shared_health.server_health import ServerIncarnation


class StartTimes(Protocol):
    """Estimates the start times of listed servers by this agent's clock."""

    def discovery_time_read(self, now: Microseconds, time: Microseconds) -> bool:
        """Record the time by discovery's clock; return whether earlier estimates have to be repeated."""

    def begin_update(self, now: Microseconds, kind: ServerListKind) -> None:
        """Prepare for the estimates of an endpoint list, or of changes to one."""

    def estimate(self, now: Microseconds, reported_start: Microseconds) -> Microseconds:
        """Return the estimated start time of a server that is newly listed; 0 means long ago."""


class ServerList:
    """All listed servers by id, and the available ones in this agent's own random order."""

    __slots__ = ("_ejection", "_random", "_start_times", "_withdrawn", "available", "by_id")

    def __init__(
        self,
        source: random.Random,
        *,
        ejection: Callable[[], ExponentialBackoff],
        start_times: StartTimes | None = None,
    ) -> None:
        """Start without servers; `ejection` creates the backoff of each server's ejections.

        Without `start_times`, listed start times are used as times of this agent's clock.
        """
        self._random = source
        self._ejection = ejection
        self._start_times = start_times
        self.by_id: dict[int, ServerState] = {}
        self._withdrawn: dict[int, api.Server] = {}  # by id: their entries in the endpoint list
        self.available: list[ServerState] = []

    def update(self, now: Microseconds, kind: ServerListKind, entries: tuple[api.Server, ...]) -> list[int]:
        """Apply an endpoint list, or changes to it.

        Return the ids of the entries whose servers are new, restarted or removed.
        """
        if self._start_times:
            self._start_times.begin_update(now, kind)
        if kind is not ServerListKind.DELTA:
            listed = {entry.id for entry in entries}
            self.by_id = {id: server for id, server in self.by_id.items() if id in listed}
        changed = [entry.id for entry in entries if self._update_entry(now, entry)]
        self._sort()
        return changed

    def discovery_time_read(self, now: Microseconds, time: Microseconds) -> None:
        """Record the time by discovery's clock.

        Start times are estimated again if this shows that the agent's clock was wrong.
        """
        if self._start_times and self._start_times.discovery_time_read(now, time):
            for server in self.by_id.values():
                server.started_at = self._start_times.estimate(now, server.info.started_at)

    def withdraw(self, servers: set[int]) -> bool:
        """Make exactly these servers unavailable until they are listed again; return whether that is new."""
        reinstated = self._withdrawn.keys() - servers
        for id in reinstated:
            listed = self._withdrawn.pop(id)
            if server := self.by_id.get(id):
                server.info = listed
        withdrawn = [self.by_id[id] for id in servers if id in self.by_id and id not in self._withdrawn]
        for server in withdrawn:
            self._withdrawn[server.info.id] = server.info
            server.info = replace(server.info, availability=Availability.DRAINING)
        if reinstated or withdrawn:
            self._sort()
        return bool(reinstated or withdrawn)

    @property
    def withdrawn(self) -> int:
        """Number of servers that are withdrawn whatever their state in the endpoint list."""
        return len(self._withdrawn)

    @property
    def listed_up(self) -> int:
        """Number of servers that are up according to the endpoint list, including withdrawn ones."""
        return len(self.available) + sum(
            listed.availability is Availability.UP for listed in self._withdrawn.values()
        )

    def _sort(self) -> None:
        up = (server for server in self.by_id.values() if server.info.availability is Availability.UP)
        self.available = sorted(up, key=lambda server: server.rank)

    def _update_entry(self, now: Microseconds, entry: api.Server) -> bool:
        current = self.by_id.get(entry.id)
        if entry.availability is Availability.REMOVED:
            self.by_id.pop(entry.id, None)
            return True
        if current and (current.info.started_at, current.info.build) == (entry.started_at, entry.build):
            current.info = entry
            return False
        # All agents together could overload a server that is warming up. Each agent's credit therefore starts
        # at a random value, so that the agents' fractions of a send add up to a low rate.
        rank, credit = self._random.random(), self._random.random()
        started_at = entry.started_at
        if self._start_times:
            started_at = self._start_times.estimate(now, entry.started_at)
        self.by_id[entry.id] = ServerState(
            entry,
            self._ejection(),
            rank,
            warm_up_credit=credit,
            credit_updated_at=now,
            started_at=started_at,
        )
        return True

    @property
    def lowest_build(self) -> int:
        """The lowest build of the listed servers. ValueError if there are no servers."""
        return min(server.info.build for server in self.by_id.values())

    def incarnations(self) -> set[ServerIncarnation]:
        """Return the ids and start times of all listed servers."""
        return {server.incarnation for server in self.by_id.values()}
