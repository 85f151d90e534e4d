"""Runs one seed: starts stand-ins and agents, injects the faults and collects the records."""

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
CLIENTS_PER_AGENT = 3
SETTLE_SECONDS = 2.5  # for clients to receive their last answers
IDLE_SECONDS = 2.0  # without clients, before descriptors are counted
CONSECUTIVE_RESTARTS = 3
SILENT_CONNECTIONS = 100
SYSTEM_CALL_SHARE = 0.05
BROKEN_CONNECTION_SHARE = 0.002
CONSECUTIVE_RELOADS = 3
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
    FaultKind.DISCOVERY_OVERLOADED: DiscoveryMode.OVERLOADED,
    FaultKind.DISCOVERY_RESETS: DiscoveryMode.RESETTING,
}


class Soak:
    """Runs one plan on real agent processes and stand-ins."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        """Store the files of the agents in `folder`."""
        self.plan = plan
        self.records = SoakRecords(longest_deadline=plan.longest_deadline)
        self.faults_started_at = 0.0  # monotonic seconds
        self._folder = folder
        self._random = random.Random(f"fault-soak play {plan.seed}")
        self._discovery = Discovery(self.records)
        self._rollout = RolloutApi(
            {"release": BUILD, "tranche": 0, "mode": "stable", "exposure": 1.0, "old_ms": 60_000}
        )
        self._servers: list[StandInServer] = []
        self._agents: list[SoakAgent] = []
        # Two links per agent; a reload by SIGHUP switches between them.
        self._discovery_links: list[list[FaultyLink]] = []
        self._rollout_links: list[FaultyLink] = []
        self._clients: list[SoakClient] = []

    async def run(self) -> SoakRecords:
        """Run the plan to its end and return the records."""
        _allow_many_descriptors()
        try:
            async with anyio.create_task_group() as group:
                listeners = Listeners(group)
                self._start_servers(listeners)
                gossip = [Address("127.0.0.1", _free_udp_port()) for _ in range(self.plan.agents)]
                self._prepare_agents(listeners, gossip, self._relay_datagrams(gossip, group))
                await self._run_plan()
                listeners.close()
                group.cancel_scope.cancel()
        finally:
            for agent in self._agents:
                agent.force_kill()
                agent.record_unexpected_exit()
        for agent in self._agents:
            agent.collect_records()
        return self.records

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
        """Return the gossip addresses of the agents: those of a relay if the seed has datagram faults."""
        if self.plan.herd is None:
            return gossip
        return DatagramRelay(self.plan.herd.datagrams, self._random, gossip, group).addresses

    def _prepare_agents(self, listeners: Listeners, gossip: list[Address], peers: list[Address]) -> None:
        rollout = listeners.open(self._rollout.serve)
        for number in range(self.plan.agents):
            agent = SoakAgent(number, self._folder / f"n{number}", self.records, self.plan.seed)
            self._agents.append(agent)
            agent.link = _open_link(listeners, f"clients>{agent.name}", agent.address)
            agent.link.pauses = self.records.link_pauses
            links: list[FaultyLink] = []
            is_reachable = partial(_none_is_paused, links)
            discovery = listeners.open(partial(self._discovery.serve, agent.name, is_reachable))
            links += [
                _open_link(listeners, f"{agent.name}>discovery-{index}", discovery) for index in range(2)
            ]
            self._discovery_links.append(links)
            self._rollout_links.append(_open_link(listeners, f"{agent.name}>rollout", rollout))
            agent.configure(self._configuration(number, gossip[number], peers))
            self._discovery.record_initial_list(agent.name)
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
            "known": self._discovery.endpoint_list(),
        }

    def _refresh_list(self, agent: SoakAgent) -> None:
        """Configure a new process with the previous process's last list (in a herd) or the current list."""
        config = msgspec.json.decode((agent.folder / "config.json").read_bytes())
        if self.plan.herd:
            agent.configure(config | {"known": self._discovery.last_list_sent_to(agent.name)})
            return
        agent.configure(config | {"known": self._discovery.endpoint_list()})
        self._discovery.record_complete_list(agent.name)

    async def _run_plan(self) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._measure_lag)
            async with anyio.create_task_group() as starts:
                for agent, offset in zip(self._agents, self.plan.initial_wall_offsets):
                    agent.shim.step_wall_clock(offset)
                    starts.start_soon(agent.start)
            before = [(agent.descriptors(), agent.memory()) for agent in self._agents if agent.pid]
            pids = [agent.pid for agent in self._agents]
            self._start_clients(group)
            await self._inject_faults()
            await self._settle()
            for agent, (descriptors, memory), pid in zip(self._agents, before, pids):
                agent.record_unexpected_exit()
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
        """Measure the scheduling delay of the stand-ins' process; the oracle adds it to its time limits."""
        while True:
            due = monotonic() + LAG_PERIOD_SECONDS
            await anyio.sleep(LAG_PERIOD_SECONDS)
            self.records.largest_lag = max(self.records.largest_lag, monotonic() - due)

    def _start_clients(self, group: TaskGroup) -> None:
        directory = FleetDirectory(self._agents)
        behaviours = list(Behaviour)
        options = ClientOptions(wait_seconds=self.plan.longest_deadline * 0.75)
        for number in range(self.plan.agents * CLIENTS_PER_AGENT):
            behaviour = behaviours[number % len(behaviours)]
            name = f"{behaviour.name.lower().replace('_', '-')}-{number}"
            client = SoakClient(name, behaviour, directory, self.records, self.plan.seed, options)
            self._clients.append(client)
            group.start_soon(client.run)

    async def _inject_faults(self) -> None:
        """Inject the faults of the plan, each in its own task, and wait until all have ended."""
        self.faults_started_at = began = monotonic()
        async with anyio.create_task_group() as faults:
            if self.plan.herd:
                player = HerdPlayer(self.plan.herd, self._discovery, self._servers, self._agents)
                faults.start_soon(player.run, began)
            for fault in self.plan.faults:
                await anyio.sleep(max(began + fault.at - monotonic(), 0.0))
                faults.start_soon(self._apply_effect, self._effect(fault))
            await anyio.sleep(max(began + self.plan.seconds - monotonic(), 0.0))

    async def _apply_effect(self, effect: Callable[[], Awaitable[None]]) -> None:
        try:
            await effect()
        except (OSError, *STREAM_ERRORS):  # the target of the fault has ended meanwhile
            pass

    async def _settle(self) -> None:
        """End the load, and wait until its requests and connections have ended."""
        for agent in self._agents:
            agent.shim.clear()
        for client in self._clients:
            client.stopping = True
        await anyio.sleep(self.plan.longest_deadline + SETTLE_SECONDS)
        for server in self._servers:
            server.close_idle()
        await anyio.sleep(IDLE_SECONDS)

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
            FaultKind.RESTARTS: partial(self._restart_repeatedly, agent),
            FaultKind.KILL: partial(agent.kill_and_start, fault.seconds),
            FaultKind.SIGNALS: partial(agent.send_signal_series, int(fault.amount)),
            FaultKind.STALL: partial(agent.pause_process, fault.seconds),
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

    async def _restart_repeatedly(self, agent: SoakAgent) -> None:
        for _ in range(CONSECUTIVE_RESTARTS):
            await agent.restart()

    async def _reload(self, number: int) -> None:
        """Switch the agent between the two addresses of discovery several times in quick succession."""
        agent = self._agents[number]
        for index in range(1, CONSECUTIVE_RELOADS + 1):
            config = msgspec.json.decode((agent.folder / "config.json").read_bytes())
            config["discovery"] = str(self._discovery_links[number][index % 2].address)
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
        """Open many connections at once that send nothing."""
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
        """Let a server drain, be removed, and return with a new start time."""
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
        """Start the rollout of a build that no server runs yet, and revert it."""
        build = self._rollout.state["release"] + 1
        await self._rollout.change(release=build, tranche=0, mode="canary", exposure=0.1, old_ms=0)
        await anyio.sleep(seconds)
        await self._rollout.change(mode="reverted", exposure=0.0, old_ms=0)


def _none_is_paused(links: list[FaultyLink]) -> bool:
    return not any(link.is_paused for link in links)


def _open_link(listeners: Listeners, name: str, target: Address) -> FaultyLink:
    link = FaultyLink(name, target)
    link.listen(listeners)
    return link


def _server_host(number: int) -> str:
    """Return a loopback address that is unique to the server, for up to thousands of servers."""
    return f"127.0.{1 + number // 250}.{1 + number % 250}"


def _free_udp_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def _allow_many_descriptors() -> None:
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
