"""The agent: composes the policy engine with the drivers around it, and owns their start and stop."""

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
from frostfall.net.supervision import keep_running
from frostfall.net.upstream_pool import UpstreamPool
from frostfall.policy import drain
from frostfall.protocol.attempt_result import FinalOutcome
from frostfall.protocol.discovery import EndpointListUpdate
from frostfall.protocol.pg_server import failure_answer, rejection_answer

if TYPE_CHECKING:
    from frostfall.net.recovery import GroupMember

RESERVED_SOCKETS = (
    32  # descriptors: a dozen of our own, connections to be rejected, and some that are closing
)
CLIENT_SOCKET_DIVISOR = 2  # of the descriptors: clients hold a third for requests, and some are silent
UNREAD_MEMORY_DIVISOR = 8  # of the memory: what all clients together may have sent that is not parsed yet
GC_THRESHOLD = 10_000  # objects allocated beyond those freed: some hundred requests in flight hold fewer

_log = log.get_logger("agent")


class Agent:
    """Embeddable: `run` serves until `stop` has been called and all that was accepted is answered."""

    def __init__(self, config: Config, clock: Clock | None = None) -> None:
        """Prepare an agent; nothing is opened before `run`."""
        self.config = config
        self.clock = clock or Clock()
        self.engine = PolicyEngine(_usable_settings(config), config.seed)
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
        self._list_received = False  # from discovery, in this run
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
            self.list_received,
            self._list_failed,
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
        from frostfall.net.recovery import GroupMember  # only agents in a group pay for its imports

        return GroupMember(self.config, self, self.clock.now)

    def _configure_ejections(self) -> None:
        self.engine.ejections.reconfigure(self.slow_peers.options.servers.apart)

    # ---- events and actions ------------------------------------------------------------------------

    def post(self, event: api.Event) -> None:
        """Hand an event to the policy engine; events posted meanwhile follow one at a time."""
        self._driver.post(event)

    def conclude(self, request: str, answer: bytes, end: FinalOutcome) -> None:
        """Give a request its final answer, whatever the engine has in flight for it."""
        self.requests.conclude(request, answer, end)

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
                # PostgreSQL's protocol has no health checks, so that one is never sent.
                self.post(api.HealthCheckEnded(server, api.Outcome.NEVER_SENT, 0))

    # ---- reports of the drivers --------------------------------------------------------------------

    def list_received(self, listing: EndpointListUpdate) -> None:
        """Adopt an endpoint list, or a change of it, that discovery sent."""
        self._list_received = True
        self._apply_list(listing, api.ServerListKind.COMPLETE if listing.reset else api.ServerListKind.DELTA)

    def rollout_changed(self, event: api.RolloutState) -> None:
        """Adopt a state of the rollout; in a group its members' holds on votes are applied first."""
        if self._group_member:
            self._group_member.rollout_changed(event)
        else:
            self.post(event)

    def _cached_list_read(self, listing: EndpointListUpdate) -> None:
        if not self._list_received:
            self._apply_list(listing, api.ServerListKind.CACHED)

    def _apply_list(self, listing: EndpointListUpdate, kind: api.ServerListKind) -> None:
        event = self.endpoints.apply(listing, kind)
        self.upstream_pool.retain_addresses(set(self.endpoints.by_server.values()))
        if self._group_member:
            self._group_member.endpoints_changed(listing, kind is api.ServerListKind.CACHED)
        self.post(event)

    def _list_failed(self) -> None:
        self.post(api.ServerListUpdated(api.ServerListKind.FAILED, ()))

    def _discovery_time_read(self, time: int) -> None:
        self.post(api.DiscoveryTimeRead(time))

    def _watch_interrupted(self, reason: api.WatchInterruption) -> None:
        self.post(api.WatchInterrupted(reason))

    def _process_paused(self) -> None:
        self.discovery.confirm()

    def _gossip_received(self, sender: int, text: str) -> None:
        self.post(api.GossipReceived(sender, text))

    # ---- lifecycle ---------------------------------------------------------------------------------

    def stop(self) -> None:
        """Answer what has been accepted, then let `run` return."""
        self._shutdown.order()

    def reload(self, config: Config) -> None:
        """Adopt the addresses of discovery and the rollout API, and the operators' options.

        All else needs a restart, which is logged.
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
        _log.info("reloaded", moved=plan.moved, needs_restart=plan.needs_restart)

    async def run(self, ready: Callable[[], None] | None = None) -> None:
        """Serve until stopped; `ready` is called once clients can connect. OSError where they cannot.

        Where the task that runs this is cancelled, all that was accepted gets its final answer first, within
        `drain.IMMEDIATE_DRAIN_SECONDS`.
        """
        with log.bind_agent_name(self.config.name):  # another agent of this process has another name
            listener = await open_listener_with_retry(self.config.listen)
            async with anyio.create_task_group() as outer:
                outer.start_soon(self._abandon_when_cancelled)
                with anyio.CancelScope(shield=True):
                    await self._run(listener, ready)
                outer.cancel_scope.cancel()

    async def _abandon_when_cancelled(self) -> None:
        try:
            await anyio.sleep_forever()
        finally:
            self._shutdown.abandon()

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
            self._shutdown.finished()
            task_group.cancel_scope.cancel()
        self.upstream_pool.close()
        if self._group_member:
            self._group_member.close()
        _log.info("stopped")

    def _apply_initial_state(self) -> None:
        """Adopt the endpoint list and the rollout's state that came with the configuration."""
        listing, rollout_state, member = (
            self.config.initial_endpoint_list,
            self.config.initial_rollout,
            self._group_member,
        )
        # No watch stands yet, also where lists are pushed; so nobody vouches for the list that follows.
        self._watch_interrupted(api.WatchInterruption.NOT_OPEN)
        self._apply_list(member.usable_endpoints(listing) if member else listing, api.ServerListKind.CACHED)
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
            task_group.start_soon(keep_running, name, loop)
        task_group.start_soon(self._shutdown.run)

    async def _run_group_member(self, member: GroupMember) -> None:
        try:
            await member.run(self._cached_list_read)
        except Exception:  # without its record this process may not go on, but it ends in good order
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
    """The time from a request's arrival after which its answer is of no use in any class."""
    longest_deadline = max(request_class.deadline for request_class in settings.classes)
    return (longest_deadline + settings.rules.answer_slack) / 1e6


def _max_event_gap(settings: Settings) -> int:
    """The microseconds between two events beyond which the grace of a drain may have passed unnoticed."""
    return max(settings.rules.drain_grace - drain.MAX_PAUSE_MICROSECONDS, drain.MAX_PAUSE_MICROSECONDS)


def _usable_settings(config: Config) -> Settings:
    """The settings, without gossip where the configuration names nobody to exchange it with."""
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
    gc.freeze()  # what the start left stays for good, so that collections need not go through it
    gc.set_threshold(GC_THRESHOLD)
