"""Plays one seed: starts the stand-ins and the agents, lets the faults strike, and collects the records."""

from __future__ import annotations

import random
import resource
import socket
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from time import monotonic, time
from typing import Any

import anyio
import msgspec
from anyio.abc import TaskGroup

from frostfall.bench.fault_soak.clients import Behaviour, ClientOptions, SoakClient
from frostfall.bench.fault_soak.datagrams import DatagramRelay
from frostfall.bench.fault_soak.fleet import FleetDirectory, SoakAgent
from frostfall.bench.fault_soak.herd_player import SERVER_REMOVAL_SECONDS, HerdPlayer
from frostfall.bench.fault_soak.links import FaultyLink
from frostfall.bench.fault_soak.listeners import Listeners
from frostfall.bench.fault_soak.plan import Fault, FaultKind, Plan
from frostfall.bench.fault_soak.records import Interval, ResourceRecord, SoakRecords
from frostfall.bench.fault_soak.servers import ServerMode, StandInServer
from frostfall.bench.fault_soak.services import Discovery, DiscoveryMode, RolloutApi
from frostfall.bench.fault_soak.shim import SystemCallFault
from frostfall.bench.harness import ROOT
from frostfall.config import Address
from frostfall.net.streams import STREAM_ERRORS

BUILD = 41
SERVER_START_AGE_SECONDS = 600.0
LAG_PERIOD_SECONDS = 0.01
CLIENTS_AN_AGENT = 3
SETTLE_SECONDS = 2.5  # for clients to get their last answers
QUIET_SECONDS = 2.0  # without clients, until descriptors are counted
RESTARTS_IN_A_ROW = 3
SILENT_CONNECTIONS = 100
SYSTEM_CALL_SHARE = 0.05
BROKEN_CONNECTION_SHARE = 0.002
RELOADS_IN_A_ROW = 3
_SERVER_MODES = {
    FaultKind.SERVER_HANGS: ServerMode.HANGS,
    FaultKind.SERVER_LATE: ServerMode.LATE,
    FaultKind.SERVER_TWICE: ServerMode.TWICE,
    FaultKind.SERVER_PIECES: ServerMode.PIECES,
    FaultKind.SERVER_RESETS: ServerMode.RESETS,
    FaultKind.SERVER_FULL: ServerMode.FULL,
}
_DISCOVERY_MODES = {
    FaultKind.DISCOVERY_SLOW: DiscoveryMode.SLOW,
    FaultKind.DISCOVERY_SILENT: DiscoveryMode.SILENT,
    FaultKind.DISCOVERY_CROWDED: DiscoveryMode.CROWDED,
    FaultKind.DISCOVERY_RESETS: DiscoveryMode.RESETTING,
}


class Soak:
    """The play of one plan."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        """Keep the agents' files in `folder`."""
        self.plan = plan
        self.records = SoakRecords(longest_deadline=plan.longest_deadline)
        self.faults_began_at = 0.0  # monotonic seconds
        self._folder = folder
        self._random = random.Random(f"fault-soak play {plan.seed}")
        self._discovery = Discovery(self.records)
        self._rollout = RolloutApi(
            {"release": BUILD, "tranche": 0, "mode": "stable", "exposure": 1.0, "old_ms": 60_000}
        )
        self._servers: list[StandInServer] = []
        self._agents: list[SoakAgent] = []
        self._discovery_links: list[list[FaultyLink]] = []  # by agent; SIGHUP moves from one to the next
        self._rollout_links: list[FaultyLink] = []
        self._clients: list[SoakClient] = []

    async def run(self) -> SoakRecords:
        """Play the plan to its end."""
        _allow_many_descriptors()
        try:
            async with anyio.create_task_group() as group:
                listeners = Listeners(group)
                self._start_servers(listeners)
                gossip = [Address("127.0.0.1", _free_udp_port()) for _ in range(self.plan.agents)]
                self._prepare_agents(listeners, gossip, self._relay_datagrams(gossip, group))
                await self._play()
                listeners.close()
                group.cancel_scope.cancel()
        finally:
            for agent in self._agents:
                agent.kill_for_good()
                agent.note_unexpected_end()
        for agent in self._agents:
            agent.collect()
        return self.records

    # ---- start -------------------------------------------------------------------------------------

    def _start_servers(self, listeners: Listeners) -> None:
        entries = []
        started = int((time() - SERVER_START_AGE_SECONDS) * 1000)
        for number, delay in enumerate(self.plan.server_delays):
            server = StandInServer(f"s-{number}", delay, self.records.attempts)
            self._servers.append(server)
            address = listeners.open(server.serve, _server_host(number))
            entries.append(
                {
                    "instanceId": server.name,
                    "hostPort": str(address),
                    "zone": "a",
                    "cell": 0,
                    "lifecycle": "in_service",
                    "weight": 1.0,
                    "startedAtMs": started,
                    "build": BUILD,
                }
            )
        self._discovery.change(*entries)

    def _relay_datagrams(self, gossip: list[Address], group: TaskGroup) -> list[Address]:
        """Where agents reach each other: through a relay where the seed has faults of datagrams."""
        if self.plan.herd is None:
            return gossip
        return DatagramRelay(self.plan.herd.datagrams, self._random, gossip, group).addresses

    def _prepare_agents(self, listeners: Listeners, gossip: list[Address], peers: list[Address]) -> None:
        rollout = listeners.open(self._rollout.serve)
        for number in range(self.plan.agents):
            agent = SoakAgent(number, self._folder / f"n{number}", self.records, self.plan.seed)
            self._agents.append(agent)
            agent.link = _relay(listeners, f"clients>{agent.name}", agent.address)
            agent.link.pauses = self.records.link_pauses
            links: list[FaultyLink] = []
            is_reachable = partial(_none_is_paused, links)
            discovery = listeners.open(partial(self._discovery.serve, agent.name, is_reachable))
            links += [_relay(listeners, f"{agent.name}>discovery-{place}", discovery) for place in range(2)]
            self._discovery_links.append(links)
            self._rollout_links.append(_relay(listeners, f"{agent.name}>rollout", rollout))
            agent.configure(self._configuration(number, gossip[number], peers))
            self._discovery.note_initial_list(agent.name)
            agent.before_start = partial(self._refresh_list, agent)

    def _configuration(self, number: int, gossip: Address, peers: list[Address]) -> dict[str, Any]:
        example: dict[str, Any] = msgspec.json.decode((ROOT / "deploy" / "example.json").read_bytes())
        deadline = int(self.plan.longest_deadline * 1e6)
        for grade in example["settings"]["grades"]:
            grade |= {"deadlineUs": deadline, "aimUs": deadline // 4}
        example["settings"] |= {
            "ordinal": number,
            "nInstances": self.plan.agents,
            "discovery": "automatic" if self.plan.seed % 2 else "subscribe",
        }
        return example | {
            "name": f"n{number}",
            "listen": str(self._agents[number].address),
            "discovery": str(self._discovery_links[number][0].address),
            "peer_listen": str(gossip),
            "peers": [str(peer) for peer in peers],
            "peers_all": "",
            "release_api": {"address": str(self._rollout_links[number].address), "news": self._rollout.state},
            "known": self._discovery.listing(),
        }

    def _refresh_list(self, agent: SoakAgent) -> None:
        """A new process has the list that the process before it had last, or the one that stands."""
        config = msgspec.json.decode((agent.folder / "config.json").read_bytes())
        if self.plan.herd:
            agent.configure(config | {"known": self._discovery.last_list_of(agent.name)})
            return
        agent.configure(config | {"known": self._discovery.listing()})
        self._discovery.note_complete_list(agent.name)

    # ---- play --------------------------------------------------------------------------------------

    async def _play(self) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._measure_lag)
            async with anyio.create_task_group() as starts:
                for agent, offset in zip(self._agents, self.plan.first_wall_offsets):
                    agent.shim.step_wall_clock(offset)
                    starts.start_soon(agent.start)
            before = [(agent.descriptors(), agent.memory()) for agent in self._agents if agent.pid]
            pids = [agent.pid for agent in self._agents]
            self._start_clients(group)
            await self._strike()
            await self._settle()
            for agent, (descriptors, memory), pid in zip(self._agents, before, pids):
                agent.note_unexpected_end()
                if agent.record and agent.record.ended_at is None:
                    self.records.resources.append(
                        ResourceRecord(
                            agent.name,
                            descriptors,
                            agent.descriptors(),
                            memory if pid == agent.pid else agent.memory(),
                            agent.memory(),
                        )
                    )
            async with anyio.create_task_group() as ends:
                for agent in self._agents:
                    ends.start_soon(agent.terminate)
            group.cancel_scope.cancel()

    async def _measure_lag(self) -> None:
        """How late the stand-ins' own process comes to its turn: no finding may be made within that."""
        while True:
            due = monotonic() + LAG_PERIOD_SECONDS
            await anyio.sleep(LAG_PERIOD_SECONDS)
            self.records.largest_lag = max(self.records.largest_lag, monotonic() - due)

    def _start_clients(self, group: TaskGroup) -> None:
        directory = FleetDirectory(self._agents)
        behaviours = list(Behaviour)
        options = ClientOptions(wait_seconds=self.plan.longest_deadline * 0.75)
        for number in range(self.plan.agents * CLIENTS_AN_AGENT):
            behaviour = behaviours[number % len(behaviours)]
            name = f"{behaviour.name.lower().replace('_', '-')}-{number}"
            client = SoakClient(name, behaviour, directory, self.records, self.plan.seed, options)
            self._clients.append(client)
            group.start_soon(client.run)

    async def _strike(self) -> None:
        """Let the faults of the plan strike, each in a task of its own, and wait until all are over."""
        self.faults_began_at = began = monotonic()
        async with anyio.create_task_group() as faults:
            if self.plan.herd:
                player = HerdPlayer(self.plan.herd, self._discovery, self._servers, self._agents)
                faults.start_soon(player.run, began)
            for fault in self.plan.faults:
                await anyio.sleep(max(began + fault.at - monotonic(), 0.0))
                faults.start_soon(self._guarded, self._effect(fault))
            await anyio.sleep(max(began + self.plan.seconds - monotonic(), 0.0))

    async def _guarded(self, effect: Callable[[], Awaitable[None]]) -> None:
        try:
            await effect()
        except (OSError, *STREAM_ERRORS):  # what the fault aims at has ended meanwhile
            pass

    async def _settle(self) -> None:
        """End the load, and wait until nothing of it is left."""
        for agent in self._agents:
            agent.shim.clear()
        for client in self._clients:
            client.stopping = True
        await anyio.sleep(self.plan.longest_deadline + SETTLE_SECONDS)
        for server in self._servers:
            server.close_idle()
        await anyio.sleep(QUIET_SECONDS)

    # ---- faults ------------------------------------------------------------------------------------

    def _effect(self, fault: Fault) -> Callable[[], Awaitable[None]]:
        if mode := _SERVER_MODES.get(fault.kind):
            return partial(self._servers[fault.target].play, mode, fault.seconds)
        if discovery_mode := _DISCOVERY_MODES.get(fault.kind):
            return partial(self._discovery.play, discovery_mode, fault.seconds)
        if fault.kind is FaultKind.ROLLOUT_STAGE:
            return partial(self._play_rollout, fault.seconds)
        if fault.kind is FaultKind.SERVER_DRAINS:
            return partial(self._drain_server, self._servers[fault.target], fault.seconds)
        if fault.kind is FaultKind.SERVER_CLOSES_IDLE:
            return partial(self._close_idle, self._servers[fault.target])
        return self._agent_effect(fault, self._agents[fault.target])

    def _agent_effect(self, fault: Fault, agent: SoakAgent) -> Callable[[], Awaitable[None]]:
        link = agent.link
        if link is None:
            raise RuntimeError("the agents' links are not up yet")
        effects: dict[FaultKind, Callable[[], Awaitable[None]]] = {
            FaultKind.TERMINATE: agent.restart,
            FaultKind.RESTARTS: partial(self._restart_in_a_row, agent),
            FaultKind.KILL: partial(agent.kill_and_start, fault.seconds),
            FaultKind.SIGNALS: partial(agent.play_series, int(fault.amount)),
            FaultKind.STALL: partial(agent.stall, fault.seconds),
            FaultKind.RELOAD: partial(self._reload, fault.target),
            FaultKind.WALL_CLOCK: partial(self._step_wall_clock, agent, fault.amount),
            FaultKind.SYSTEM_CALLS: partial(self._fail_calls, agent, fault),
            FaultKind.CLIENT_LINK_PAUSED: partial(link.pause, min(fault.seconds, 0.3)),
            FaultKind.CLIENT_LINK_PAUSED_BACK: partial(link.pause, min(fault.seconds, 0.3), True),
            FaultKind.CLIENT_LINK_RESET: partial(self._reset_link, link),
            FaultKind.DISCOVERY_LINK_CUT: partial(
                self._cut_discovery, agent.name, self._discovery_links[fault.target], fault
            ),
            FaultKind.ROLLOUT_LINK_CUT: partial(self._rollout_links[fault.target].pause, fault.seconds),
            FaultKind.SILENT_CONNECTIONS: partial(self._open_silent_connections, agent, fault.seconds),
        }
        return effects[fault.kind]

    async def _restart_in_a_row(self, agent: SoakAgent) -> None:
        for _ in range(RESTARTS_IN_A_ROW):
            await agent.restart()

    async def _reload(self, number: int) -> None:
        """Move the agent from one address of discovery to the other, several times in quick succession."""
        agent = self._agents[number]
        for place in range(1, RELOADS_IN_A_ROW + 1):
            config = msgspec.json.decode((agent.folder / "config.json").read_bytes())
            config["discovery"] = str(self._discovery_links[number][place % 2].address)
            agent.configure(config)
            agent.reload()
            await anyio.sleep(0.05)

    async def _step_wall_clock(self, agent: SoakAgent, offset: float) -> None:
        agent.shim.step_wall_clock(offset)

    async def _fail_calls(self, agent: SoakAgent, fault: Fault) -> None:
        call = SystemCallFault(int(fault.amount))
        broken = call is SystemCallFault.BROKEN_CONNECTION
        agent.shim.set_rate(call, BROKEN_CONNECTION_SHARE if broken else SYSTEM_CALL_SHARE)
        agent.calls_fail = broken
        await anyio.sleep(fault.seconds)
        agent.shim.set_rate(call, 0.0)
        agent.calls_fail = False

    async def _reset_link(self, link: FaultyLink) -> None:
        link.reset()

    async def _cut_discovery(self, agent: str, links: list[FaultyLink], fault: Fault) -> None:
        began = monotonic()
        async with anyio.create_task_group() as group:
            for link in links:
                group.start_soon(link.pause, fault.seconds)
        self.records.unreachable.append(Interval(agent, began, monotonic()))

    async def _open_silent_connections(self, agent: SoakAgent, seconds: float) -> None:
        """Connections that say nothing, all at once."""
        connections = []
        for _ in range(SILENT_CONNECTIONS):
            raw = socket.socket()
            raw.setblocking(False)
            raw.connect_ex((agent.address.host, agent.address.port))
            connections.append(raw)
        await anyio.sleep(seconds)
        for raw in connections:
            raw.close()

    async def _close_idle(self, server: StandInServer) -> None:
        server.close_idle()

    async def _drain_server(self, server: StandInServer, seconds: float) -> None:
        """Let a server drain, be removed, and come back, started anew."""
        entry = self._discovery.entry(server.name)
        if entry is None or entry["lifecycle"] != "in_service":
            return
        self._discovery.change(entry | {"lifecycle": "terminating"})
        await anyio.sleep(SERVER_REMOVAL_SECONDS)
        self._discovery.change(entry | {"lifecycle": "terminated"})
        await anyio.sleep(seconds)
        server.close_idle()
        self._discovery.change(entry | {"startedAtMs": int(time() * 1000)})

    async def _play_rollout(self, seconds: float) -> None:
        """Put a build on trial that no server has yet, and take it back."""
        build = self._rollout.state["release"] + 1
        await self._rollout.change(release=build, tranche=0, mode="canary", exposure=0.1, old_ms=0)
        await anyio.sleep(seconds)
        await self._rollout.change(mode="reverted", exposure=0.0, old_ms=0)


def _none_is_paused(links: list[FaultyLink]) -> bool:
    return not any(link.is_paused for link in links)


def _relay(listeners: Listeners, name: str, target: Address) -> FaultyLink:
    link = FaultyLink(name, target)
    link.listen(listeners)
    return link


def _server_host(number: int) -> str:
    """An address of its own on loopback for each server, also for thousands of them."""
    return f"127.0.{1 + number // 250}.{1 + number % 250}"


def _free_udp_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def _allow_many_descriptors() -> None:
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
