"""The servers that discovery lists, as one agent sees them."""

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
    """Estimates when listed servers started, by this agent's clock."""

    def discovery_time_read(self, now: Microseconds, time: Microseconds) -> bool:
        """Discovery has told the time; whether what was estimated before has to be estimated anew."""

    def begin_update(self, now: Microseconds, kind: ServerListKind) -> None:
        """A list, or a change of one, is about to be taken over."""

    def estimate(self, now: Microseconds, reported_start: Microseconds) -> Microseconds:
        """When a server started that is listed for the first time now; 0: long ago."""


class ServerList:
    """All listed servers by id, and those that are up in this agent's own random order."""

    __slots__ = ("_ejection", "_random", "_start_times", "_withdrawn", "available", "by_id")

    def __init__(
        self,
        source: random.Random,
        *,
        ejection: Callable[[], ExponentialBackoff],
        start_times: StartTimes | None = None,
    ) -> None:
        """Start without servers; `ejection` makes the back-off of each server's ejections.

        Without `start_times`, listed starts are taken for times of this agent's clock.
        """
        self._random = source
        self._ejection = ejection
        self._start_times = start_times
        self.by_id: dict[int, ServerState] = {}
        self._withdrawn: dict[int, api.Server] = {}  # by id: what the list itself says of them
        self.available: list[ServerState] = []

    def update(self, now: Microseconds, kind: ServerListKind, entries: tuple[api.Server, ...]) -> list[int]:
        """Take over a list or its changes; the ids of servers that left or that are new, or newly started."""
        if self._start_times:
            self._start_times.begin_update(now, kind)
        if kind is not ServerListKind.DELTA:
            listed = {entry.id for entry in entries}
            self.by_id = {id: server for id, server in self.by_id.items() if id in listed}
        changed = [entry.id for entry in entries if self._update_entry(now, entry)]
        self._sort()
        return changed

    def discovery_time_read(self, now: Microseconds, time: Microseconds) -> None:
        """Discovery has told the time by its own clock: this agent's may have been off when it estimated."""
        if self._start_times and self._start_times.discovery_time_read(now, time):
            for server in self.by_id.values():
                server.started_at = self._start_times.estimate(now, server.info.started_at)

    def withdraw(self, servers: set[int]) -> bool:
        """Take exactly these servers out of use until they are listed again; whether that is a change."""
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
        """How many servers are out of use without the list saying so."""
        return len(self._withdrawn)

    @property
    def listed_up(self) -> int:
        """How many servers the list itself says are up."""
        return len(self.available) + sum(
            listed.availability is Availability.UP for listed in self._withdrawn.values()
        )

    def _sort(self) -> None:
        up = (server for server in self.by_id.values() if server.info.availability is Availability.UP)
        self.available = sorted(up, key=lambda server: server.rank)

    def _update_entry(self, now: Microseconds, entry: api.Server) -> bool:
        known = self.by_id.get(entry.id)
        if entry.availability is Availability.REMOVED:
            self.by_id.pop(entry.id, None)
            return True
        if known and (known.info.started_at, known.info.build) == (entry.started_at, entry.build):
            known.info = entry
            return False
        # Agents together push a cold server over. By a random start, parts of a send add up.
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
        """The lowest build of the listed servers, of which there must be some."""
        return min(server.info.build for server in self.by_id.values())

    def incarnations(self) -> set[ServerIncarnation]:
        """All listed servers with their starts."""
        return {server.incarnation for server in self.by_id.values()}
