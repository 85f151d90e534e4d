"""The agent: connects the policy engine with its I/O drivers and manages their lifecycle."""

from __future__ import annotations

import gc
import socket
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio
from anyio.abc import TaskGroup

from frostfall import interface as api
from frostfall import log
from frostfall.config import Config
from frostfall.deployment import Settings
from frostfall.engine.policy_engine import PolicyEngine
from frostfall.limits.slow_peer_detector import SlowPeerDetector
from frostfall.net.client_connection import ClientConnection
from frostfall.net.client_connections import ClientConnections
from frostfall.net.clock import Clock, TimerQueue
from frostfall.net.connection_monitor import ConnectionMonitor
from frostfall.net.discovery import DiscoveryClient
from frostfall.net.endpoints import EndpointList
from frostfall.net.engine_driver import EngineDriver
from frostfall.net.gossip_transport import GossipTransport
from frostfall.net.graceful_shutdown import GracefulShutdown
from frostfall.net.health_log import HealthLog
from frostfall.net.invariants import InvariantMonitor
from frostfall.net.pending_answers import PendingAnswers
from frostfall.net.reload import plan_reload
from frostfall.net.request_trace import RequestTrace
from frostfall.net.requests import RequestTable
from frostfall.net.rollout_client import RolloutClient
from frostfall.net.streams import SocketBudget, open_listener_with_retry
from frostfall.net.supervision import run_with_restarts
from frostfall.net.upstream_pool import UpstreamPool
from frostfall.policy import drain
from frostfall.protocol.attempt_result import FinalOutcome
from frostfall.protocol.discovery import EndpointListUpdate
from frostfall.protocol.pg_server import failure_answer, rejection_answer

if TYPE_CHECKING:
    from frostfall.net.recovery import GroupMember

# File descriptors: about a dozen for the agent itself, the rest for connections being rejected or closed.
RESERVED_SOCKETS = 32
# Clients may use half of the descriptors: a third is needed for requests, and some connections are idle.
CLIENT_SOCKET_DIVISOR = 2
# Unparsed input of all clients together may use an eighth of the memory.
UNREAD_MEMORY_DIVISOR = 8
# Net object allocations that start a collection; a few hundred requests in flight hold fewer objects.
GC_THRESHOLD = 10_000

_log = log.get_logger("agent")


class Agent:
    """An agent that can be embedded in another program.

    `run` serves until `stop` has been called and every accepted request is answered.
    """

    def __init__(self, config: Config, clock: Clock | None = None) -> None:
        """Create the agent without opening sockets or files; `run` opens them."""
        self.config = config
        self.clock = clock or Clock()
        self.engine = PolicyEngine(_effective_settings(config), config.seed)
        self.endpoints = EndpointList()
        self.slow_peers = SlowPeerDetector[ClientConnection](config.options.slow_peers)
        self._max_request_seconds = _max_request_seconds(config.settings)
        self._timers = TimerQueue(self.clock)
        self._monitor = ConnectionMonitor()
        self._driver = EngineDriver(
            self.engine,
            self.clock,
            self._execute,
            self._engine_failed,
            max_gap=_max_event_gap(config.settings),
            on_pause=self._process_paused,
        )
        self._discovery_list_received = False  # whether discovery has sent a list to this process
        self._configure_ejections()
        self.invariants = InvariantMonitor()
        self._trace = RequestTrace(config.options.logging.requests)
        self.pending_answers = PendingAnswers(self.invariants, self._trace)

        sockets = SocketBudget(config.limits.sockets - RESERVED_SOCKETS)
        self.upstream_pool = UpstreamPool(
            self.clock, config.settings.limits, sockets, self.slow_peers, self._monitor
        )
        self.requests = RequestTable(
            self.clock,
            config.settings.classes,
            post=self._driver.post,
            may_write=self._driver.may_write,
            may_act_on=self.engine.may_act_on,
            endpoints=self.endpoints,
            pool=self.upstream_pool,
            pending_answers=self.pending_answers,
        )
        self.clients = ClientConnections(
            self.requests,
            sockets,
            sockets.limit // CLIENT_SOCKET_DIVISOR,
            config.limits.memory_mb * 1024 * 1024 // UNREAD_MEMORY_DIVISOR,
            self._max_request_seconds,
            self.upstream_pool.evict_idle,
            self.slow_peers,
            self._monitor,
            self.pending_answers,
        )
        self._shutdown = GracefulShutdown(
            self.clock,
            self.clients,
            self.requests,
            self.pending_answers,
            max(request_class.deadline for request_class in config.settings.classes) / 1e6,
        )
        self.discovery = DiscoveryClient(
            config.discovery,
            config.initial_endpoint_list.generation,
            config.settings.rules.watch_renewal_period,
            self.endpoint_list_received,
            self._endpoint_list_failed,
            auto_restart=not config.settings.needs_watch,
            on_interruption=self._watch_interrupted,
            on_time=self._discovery_time_read,
            before_answer=self._driver.notice_pause,
        )
        self.rollout_client = self._make_rollout_client()
        self._gossip = self._make_gossip_transport()
        self._group_member = self._make_group_member()

    def _make_rollout_client(self) -> RolloutClient | None:
        config, rollout = self.config, self.config.settings.rollout
        if not (config.rollout_api and rollout):
            return None
        return RolloutClient(config.rollout_api, rollout.vote_timeout, self.rollout_changed)

    def _make_gossip_transport(self) -> GossipTransport | None:
        config = self.config
        if not (config.peer_listen and config.settings.limits.gossip):
            return None
        return GossipTransport(config.peer_listen, config.peers, config.peers_all, self._gossip_received)

    def _make_group_member(self) -> GroupMember | None:
        if not self.config.options.group:
            return None
        from frostfall.net.recovery import GroupMember  # deferred: slow to import, and only needed in a group

        return GroupMember(self.config, self, self.clock.now)

    def _configure_ejections(self) -> None:
        self.engine.ejections.reconfigure(self.slow_peers.options.servers.apart)

    def post(self, event: api.Event) -> None:
        """Pass an event to the policy engine; events posted while it is handled are queued."""
        self._driver.post(event)

    def conclude(self, request: str, answer: bytes, outcome: FinalOutcome) -> None:
        """Send the final answer of a request and cancel the attempts that the engine has in flight for it."""
        self.requests.conclude(request, answer, outcome)

    def _engine_failed(self, event: api.Event) -> None:
        self.requests.fail_after_fault(event)

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.SendAttempt():
                self.requests.send_attempt(action)
            case api.CancelAttempt(request, attempt):
                self.requests.cancel_attempt(request, attempt)
            case api.RejectRequest(request, retry_after):
                self.requests.finish(request, rejection_answer(retry_after // 1000), FinalOutcome.REJECTED)
            case api.FailRequest(request):
                self.requests.finish(request, failure_answer(), FinalOutcome.FAILED)
            case api.SetTimer(delay, token):
                self._timers.schedule(delay, token)
            case api.SendGossip(peer, text):
                if self._gossip:
                    self._gossip.send(peer, text)
            case api.WatchServerList():
                self.discovery.start_watch()
            case api.CastVote():
                if self.rollout_client:
                    self.rollout_client.cast_vote(action)
            case api.ReportServerList():
                _log_server_list(action)
            case api.WriteLog(text):
                _log.info(text)
            case api.CheckServerHealth(server):
                # The PostgreSQL protocol has no health checks, so the check ends without being sent.
                self.post(api.HealthCheckEnded(server, api.Outcome.NEVER_SENT, 0))

    def endpoint_list_received(self, update: EndpointListUpdate) -> None:
        """Apply a complete endpoint list or a delta received from discovery."""
        self._discovery_list_received = True
        self._apply_endpoint_list(
            update, api.ServerListKind.COMPLETE if update.reset else api.ServerListKind.DELTA
        )

    def rollout_changed(self, event: api.RolloutState) -> None:
        """Apply a new rollout state; in a group, the members' holds of votes are applied first."""
        if self._group_member:
            self._group_member.rollout_changed(event)
        else:
            self.post(event)

    def _cached_endpoint_list_read(self, update: EndpointListUpdate) -> None:
        if not self._discovery_list_received:
            self._apply_endpoint_list(update, api.ServerListKind.CACHED)

    def _apply_endpoint_list(self, update: EndpointListUpdate, kind: api.ServerListKind) -> None:
        event = self.endpoints.apply(update, kind)
        self.upstream_pool.retain_addresses(set(self.endpoints.by_server.values()))
        if self._group_member:
            self._group_member.endpoints_changed(update, kind is api.ServerListKind.CACHED)
        self.post(event)

    def _endpoint_list_failed(self) -> None:
        self.post(api.ServerListUpdated(api.ServerListKind.FAILED, ()))

    def _discovery_time_read(self, time: int) -> None:
        self.post(api.DiscoveryTimeRead(time))

    def _watch_interrupted(self, reason: api.WatchInterruption) -> None:
        self.post(api.WatchInterrupted(reason))

    def _process_paused(self) -> None:
        self.discovery.confirm()

    def _gossip_received(self, sender: int, text: str) -> None:
        self.post(api.GossipReceived(sender, text))

    def stop(self) -> None:
        """Start a graceful shutdown: `run` returns once all accepted requests are answered."""
        self._shutdown.request_drain()

    def reload(self, config: Config) -> None:
        """Apply new addresses of discovery and the rollout API, and new operator options.

        Other changes need a restart; their keys are logged.
        """
        with log.bind_agent_name(self.config.name):
            self._reload(config)

    def _reload(self, config: Config) -> None:
        plan = plan_reload(self.config, config, has_rollout_client=self.rollout_client is not None)
        if self.rollout_client and plan.rollout_address:
            self.rollout_client.set_address(plan.rollout_address)
        self.discovery.set_address(plan.config.discovery)
        if plan.slow_peers_changed:
            self.slow_peers.reconfigure(plan.config.options.slow_peers)
            self._configure_ejections()
            self.clients.check_all()
        self._trace.enabled = plan.config.options.logging.requests
        self.config = plan.config
        _log.info("reloaded", moved=plan.applied_keys, needs_restart=plan.needs_restart)

    async def run(self, ready: Callable[[], None] | None = None) -> None:
        """Serve until stopped; `ready` is called once clients can connect.

        Raises OSError if the listening socket cannot be opened. If the calling task is cancelled, every
        accepted request first gets its final answer, within `drain.IMMEDIATE_DRAIN_SECONDS`.
        """
        with log.bind_agent_name(self.config.name):  # one process may run several agents
            listener = await open_listener_with_retry(self.config.listen)
            async with anyio.create_task_group() as outer:
                outer.start_soon(self._drain_when_cancelled)
                with anyio.CancelScope(shield=True):
                    await self._run(listener, ready)
                outer.cancel_scope.cancel()

    async def _drain_when_cancelled(self) -> None:
        try:
            await anyio.sleep_forever()
        finally:
            self._shutdown.request_immediate_drain()

    async def _run(self, listener: socket.socket, ready: Callable[[], None] | None) -> None:
        async with anyio.create_task_group() as task_group:
            self.requests.start(task_group, self._group_member.operations if self._group_member else None)
            self._driver.start()
            self._apply_initial_state()
            self._start_tasks(task_group)
            _tune_garbage_collection()
            limits = self.config.limits
            _log.info(
                "listening",
                address=str(self.config.listen),
                cores=limits.cores,
                memory_mb=limits.memory_mb,
                sockets=limits.sockets,
            )
            if ready:
                ready()
            await self.clients.run(listener)
            self._shutdown.record_stopped()
            task_group.cancel_scope.cancel()
        self.upstream_pool.close()
        if self._group_member:
            self._group_member.close()
        _log.info("stopped")

    def _apply_initial_state(self) -> None:
        """Apply the endpoint list and the rollout state from the configuration."""
        endpoint_list, rollout_state, member = (
            self.config.initial_endpoint_list,
            self.config.initial_rollout,
            self._group_member,
        )
        # No watch is open yet, even if lists are pushed; so no source confirms the list applied next.
        self._watch_interrupted(api.WatchInterruption.NOT_OPEN)
        self._apply_endpoint_list(
            member.usable_endpoints(endpoint_list) if member else endpoint_list, api.ServerListKind.CACHED
        )
        if rollout_state:
            (member.set_initial_rollout if member else self.post)(rollout_state)

    def _start_tasks(self, task_group: TaskGroup) -> None:
        if self._group_member:
            task_group.start_soon(self._run_group_member, self._group_member)
        loops: dict[str, Callable[[], Awaitable[None]]] = {
            "discovery": self.discovery.run,
            "timers": self._run_timers,
            "upstream sweeper": self.upstream_pool.run_sweeper,
            "connection monitor": self._run_monitor,
            "health": self._make_health_log().run,
        }
        if self.rollout_client:
            loops["rollout"] = self.rollout_client.run
        if self._gossip:
            loops["gossip"] = self._gossip.run
        for name, loop in loops.items():
            task_group.start_soon(run_with_restarts, name, loop)
        task_group.start_soon(self._shutdown.run)

    async def _run_group_member(self, member: GroupMember) -> None:
        try:
            await member.run(self._cached_endpoint_list_read)
        except Exception:  # without its operation log the agent must not continue: shut down gracefully
            _log.exception("group member failed")
            self.stop()

    async def _run_timers(self) -> None:
        await self._timers.run(lambda token: self.post(api.TimerFired(token)))

    async def _run_monitor(self) -> None:
        await self._monitor.run(self.clients.on_tick)

    def _make_health_log(self) -> HealthLog:
        return HealthLog(
            timers=self._timers,
            clients=self.clients,
            upstream_connections=self.upstream_pool,
            requests=self.requests,
            slow_peers=self.slow_peers,
            monitor=self._monitor,
            invariants=self.invariants,
            list_gossip=self.engine.list_gossip,
            max_descriptors=self.config.limits.sockets,
        )


def _max_request_seconds(settings: Settings) -> float:
    """Return the seconds after which the answer to a request of any class is useless."""
    longest_deadline = max(request_class.deadline for request_class in settings.classes)
    return (longest_deadline + settings.rules.answer_slack) / 1e6


def _max_event_gap(settings: Settings) -> int:
    """Return the longest gap between two events, in microseconds, that counts as normal operation.

    After a longer gap, the drain grace of a server may have ended unnoticed.
    """
    return max(settings.rules.drain_grace - drain.MAX_PAUSE_MICROSECONDS, drain.MAX_PAUSE_MICROSECONDS)


def _effective_settings(config: Config) -> Settings:
    """Return the settings, with gossip disabled if the configuration names no peers."""
    settings = config.settings
    if config.peer_listen and len(config.peers) > 1:
        return settings
    return replace(settings, limits=replace(settings.limits, gossip=False))


def _log_server_list(report: api.ReportServerList) -> None:
    _log.info(
        "server list",
        generation=report.generation,
        source=report.source.value,
        lease=report.lease,
        age_s=None if report.age is None else round(report.age / 1e6, 3),
        withdrawn=report.withdrawn,
    )


def _tune_garbage_collection() -> None:
    gc.collect()
    gc.freeze()  # objects created at startup are permanent, so collections need not traverse them
    gc.set_threshold(GC_THRESHOLD)
