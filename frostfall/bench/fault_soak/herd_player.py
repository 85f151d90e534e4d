"""Runs a thundering herd: an outage of discovery with changes of servers, then restarts of many agents."""

from __future__ import annotations

from functools import partial
from time import monotonic, time

import anyio

from frostfall.bench.fault_soak.fleet import SoakAgent
from frostfall.bench.fault_soak.servers import StandInServer
from frostfall.bench.fault_soak.services import CallQueue, Discovery, DiscoveryMode
from frostfall.bench.fault_soak.thundering_herd import ServerChange, ThunderingHerd

SERVER_REMOVAL_SECONDS = 0.7  # from the start of the drain


class HerdPlayer:
    """Runs the schedule of one thundering herd."""

    def __init__(
        self,
        herd: ThunderingHerd,
        discovery: Discovery,
        servers: list[StandInServer],
        agents: list[SoakAgent],
    ) -> None:
        """Run `herd` on the given stand-ins and agents."""
        self._herd = herd
        self._discovery = discovery
        self._servers = servers
        self._agents = agents
        self._began = 0.0  # monotonic seconds

    async def run(self, began: float) -> None:
        """Run the schedule; `began` is the monotonic time of its start."""
        self._began = began
        herd = self._herd
        async with anyio.create_task_group() as group:
            for change in herd.changes:
                group.start_soon(self._change_server, change)
            await self._sleep_until(herd.outage_at)
            await self._discovery.play(DiscoveryMode.DOWN, herd.outage_seconds)
            self._discovery.queue = CallQueue(herd.call_seconds, herd.max_wait_seconds)
            await self._sleep_until(herd.restart_at)
            for number in herd.restarted:
                agent = self._agents[number]
                group.start_soon(agent.restart if herd.graceful else partial(agent.kill_and_start, 0.0))

    async def _sleep_until(self, moment: float) -> None:
        await anyio.sleep(max(self._began + moment - monotonic(), 0.0))

    async def _change_server(self, change: ServerChange) -> None:
        """Let a server drain, be removed, and return with a newer build if the change says so."""
        server = self._servers[change.server]
        await self._sleep_until(change.at)
        entry = self._discovery.entry(server.name)
        if entry is None:
            return
        self._discovery.change(entry | {"lifecycle": "terminating"})
        await anyio.sleep(SERVER_REMOVAL_SECONDS)
        self._discovery.change(entry | {"lifecycle": "terminated"})
        if change.returns_after is not None:
            await anyio.sleep(change.returns_after)
            newer = {"startedAtMs": int(time() * 1000), "build": entry["build"] + 1}
            self._discovery.change(entry | newer)
