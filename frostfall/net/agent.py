"""The agent: one decision module, its clock and its timers, and the drivers around them."""

from __future__ import annotations

import gc
import os
import resource
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import anyio
import msgspec
from anyio.abc import TaskGroup

from frostfall import interface as api
from frostfall import log
from frostfall.config import Address, Config, ConfigError, address
from frostfall.engine.policy_engine import PolicyEngine
from frostfall.limits.slow_peer_detector import SlowPeerDetector
from frostfall.net.client_connections import ClientConnection, ClientConnections, open_listener
from frostfall.net.clock import Clock, TimerQueue
from frostfall.net.connection_monitor import ConnectionMonitor
from frostfall.net.discovery import DiscoveryClient
from frostfall.net.gossip_transport import GossipTransport
from frostfall.net.rollout_client import RolloutClient
from frostfall.net.streams import SocketBudget
from frostfall.net.upstream_pool import UpstreamAttempt, UpstreamPool
from frostfall.protocol import entries, statement
from frostfall.protocol.ending import Ending, Final, Progress
from frostfall.protocol.listing import Listing
from frostfall.protocol.pg import READY
from frostfall.protocol.pg_client import Row
from frostfall.protocol.pg_server import failed, refused

if TYPE_CHECKING:
    from frostfall.net.recovery import GroupMember

RESERVED_SOCKETS = 32  # descriptors: a dozen of our own, a crowd to be refused, and some that are closing
DRAIN_LINGER_SECONDS = (
    0.7  # seconds after the order to stop in which new connections may still come, by the protocol
)
CLIENT_SOCKET_DIVISOR = (
    2  # of the descriptors: clients hold a third of all for requests, and some say nothing
)
UNREAD_MEMORY_DIVISOR = 8  # of the memory: what all clients together may have sent that is not read out yet
GC_THRESHOLD = 10_000  # containers more than have gone: some hundred requests under way hold fewer
RESTART_ONLY_KEYS = ("name", "listen", "limits", "peer_listen", "peers", "peers_all", "settings", "log_level")
HEALTH_LOG_INTERVAL_SECONDS = 5.0  # seconds between log lines on the agent's own health

_log = log.get_logger("agent")


@dataclass(slots=True)
class _Request:
    """A request taken, until it is answered and all its attempts have ended."""

    statement: statement.Statement
    client: ClientConnection
    deadline: int
    attempts: list[UpstreamAttempt] = field(default_factory=list)
    out: int = 0
    done: bool = False


class Agent:
    """Embeddable: `run` serves until `stop` has been called and all that was taken is answered."""

    def __init__(self, config: Config, clock: Clock | None = None) -> None:
        """Prepare an agent; nothing is opened before `run`."""
        self._config = config
        self.clock = clock or Clock()
        self.engine = PolicyEngine(config.settings, config.seed)
        self._timers = TimerQueue(self.clock)
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._requests: dict[str, _Request] = {}
        self._classes = {kind.name for kind in config.settings.classes}
        self._addresses: dict[int, Address] = {}
        self._told_list = False  # by discovery
        self._group: TaskGroup | None = None
        sockets = SocketBudget(config.limits.sockets - RESERVED_SOCKETS)
        self._guard: SlowPeerDetector[ClientConnection] = SlowPeerDetector(config.options.slow_peers)
        self._watchdog = ConnectionMonitor()
        self.engine.ejections.options = self._guard.options.servers.apart
        self._appliances = UpstreamPool(
            self.clock, config.settings.limits, sockets, self._guard, self._watchdog
        )
        self._longest = (
            max(kind.deadline for kind in config.settings.classes) + config.settings.rules.answer_slack
        ) / 1e6
        self._clients = ClientConnections(
            self,
            sockets,
            sockets.limit // CLIENT_SOCKET_DIVISOR,
            config.limits.memory_mb * 1024 * 1024 // UNREAD_MEMORY_DIVISOR,
            self._longest,
            self._appliances.evict_idle,
            self._guard,
            self._watchdog,
        )
        self._discovery = DiscoveryClient(
            config.discovery,
            config.known.generation,
            config.settings.rules.watch_renewal_period,
            self._listed,
            self._list_failed,
            auto_restart=not config.settings.needs_watch,
        )
        rollout = config.settings.rollout
        self._platform = (
            RolloutClient(config.platform, rollout.vote_timeout, self._told_news)
            if config.platform and rollout
            else None
        )
        self._peers = (
            GossipTransport(config.peer_listen, config.peers, config.peers_all, self._heard)
            if config.peer_listen and config.settings.limits.gossip
            else None
        )
        self._stopping = anyio.Event()
        self._recovery: GroupMember | None = None
        if config.options.group:
            from frostfall.net.recovery import GroupMember  # here, as only who has a group pays for it

            self._recovery = GroupMember(config, self, self.clock.now)

    # ---- events in, actions out --------------------------------------------------------------------

    def post(self, event: api.Event) -> None:
        """Hand an event over; those that come up meanwhile follow one at a time."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self.engine.handle(self.clock.now(), event)
        except Exception:
            # Danger: a fault must not leave a request without its answer, nor end the agent.
            _log.exception("decision failed", event_type=type(event).__name__)
            name = getattr(event, "request", None)
            if isinstance(name, str) and name in self._requests:
                self._finish(name, failed(), Final.FAILED)
            # Danger: a timer let go by a fault would never come again, and with it all exchanges and votes.
            actions = [action for action in self.engine.actions if isinstance(action, api.SetTimer)]
        for action in actions:
            try:
                self._carry_out(action)
            except Exception:
                _log.exception("action failed", action=type(action).__name__)

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.SendAttempt():
                self._send(action)
            case api.CancelAttempt(request, attempt):
                if (known := self._requests.get(request)) and attempt < len(known.attempts):
                    known.attempts[attempt].cancel()
            case api.RejectRequest(request, retry_after):
                self._finish(request, refused(retry_after // 1000), Final.REFUSED)
            case api.FailRequest(request):
                self._finish(request, failed(), Final.FAILED)
            case api.SetTimer(delay, token):
                self._timers.schedule(delay, token)
            case api.SendGossip(peer, text):
                if self._peers:
                    self._peers.send(peer, text)
            case api.WatchServerList():
                self._discovery.start_watch()
            case api.CastVote():
                if self._platform:
                    self._platform.cast_vote(action)
            case api.WriteLog(text):
                _log.info(text)
            case api.CheckServerHealth(server):
                # The protocol has no probes, so that one never goes out.
                self.post(api.HealthCheckEnded(server, api.Outcome.NEVER_SENT, 0))

    # ---- requests ----------------------------------------------------------------------------------

    def handle_query(self, client: ClientConnection, text: bytes) -> str | None:
        """Take a client's query, or say why it is malformed."""
        now = self.clock.now()
        parsed = statement.parse(text)
        if isinstance(parsed, str):
            return parsed
        if parsed.class_name not in self._classes:
            return "an unknown class"
        in_use = parsed.request in self._requests
        if in_use and not (self._recovery and self._recovery.operations.is_known(parsed)):
            return "an id that is in use"
        deadline = now + parsed.wait_ms * 1000
        client.request, client.progress.class_name = parsed.request, parsed.class_name
        if self._recovery and self._recovery.operations.handle_query(parsed, client, deadline):
            return None
        self._requests[parsed.request] = _Request(parsed, client, deadline)
        self.post(
            api.RequestArrived(
                parsed.request, parsed.class_name, deadline, parsed.key, parsed.hint, None, parsed.is_retry
            )
        )
        return None

    def client_disconnected(self, client: ClientConnection) -> None:
        """A client's connection has ended; where it waited for an answer, none is owed any more."""
        name, client.request = client.request, None
        if name is not None and (request := self._requests.get(name)):
            request.done = True
            self.post(api.ClientDisconnected(name))
            self._forget(name)

    def conclude(self, request: str, answer: bytes, end: Final) -> None:
        """Give a request its final answer, whatever the module has under way for it."""
        if (known := self._requests.get(request)) and not known.done:
            self._finish(request, answer, end)
            self.post(api.ClientDisconnected(request))

    def _finish(self, name: str, answer: bytes, end: Final) -> None:
        request = self._requests.get(name)
        if request is None or request.done:
            return
        request.done = True
        if over := not request.out:
            del self._requests[name]
        if self._recovery:
            self._recovery.operations.finish_request(name, answer, end, request.client, over)
        else:
            request.client.answer(answer)

    def _forget(self, name: str) -> None:
        if (request := self._requests.get(name)) and request.done and not request.out:
            del self._requests[name]
            if self._recovery:
                self._recovery.operations.request_closed(name)

    def _send(self, action: api.SendAttempt) -> None:
        request = self._requests.get(action.request)
        began = self.clock.now()
        if request is None or request.done or self._group is None:
            _log.error("attempt for a request that has ended", request=action.request)
            return
        number = len(request.attempts)

        def slowed() -> None:  # told before the attempt's end, so that no further one goes there
            self.post(api.ServerDegraded(action.server))

        attempt = UpstreamAttempt(request.statement.class_name, slowed)
        deadline = min(began + action.timeout, request.deadline) if action.timeout else request.deadline
        request.attempts.append(attempt)
        target = self._addresses.get(action.server)
        if target is None:
            unreachable = api.Outcome.UNREACHABLE
            self.post(api.AttemptEnded(action.request, number, action.server, unreachable, 0, False))
            return
        request.out += 1

        def write() -> bytes | None:
            now = self.clock.now()
            # Danger: an id may have another address by now; what is written to the old one reaches whoever
            # listens there.
            if (
                request.done
                or self._addresses.get(action.server) != target
                or not (self.engine.may_write(now, action.request, number))
            ):
                return None
            return request.statement.waiting((deadline - now) // 1000)

        def done(ending: Ending) -> None:
            self._ended(request, action, number, began, ending)

        if self._recovery:
            self._group.start_soon(self._when_clear, request, attempt, target, write, deadline, done)
        else:
            self._group.start_soon(self._appliances.run_attempt, attempt, target, write, deadline, done)

    async def _when_clear(
        self,
        request: _Request,
        attempt: UpstreamAttempt,
        target: Address,
        write: Callable[[], bytes | None],
        deadline: int,
        done: Callable[[Ending], None],
    ) -> None:
        """Carry an attempt through once it may be written; with a record kept, unsafe ones wait for it."""
        assert self._recovery

        def over() -> bool:
            return request.done or attempt.cancelled

        try:
            clear = await self._recovery.operations.authorize_dispatch(
                request.statement.request, over, deadline
            )
        except Exception:
            _log.exception("record failed")
            clear = False
        if clear:
            await self._appliances.run_attempt(attempt, target, write, deadline, done)
        else:
            done(Ending(Progress.NOT_WRITTEN, withheld=True, why="not to be written"))

    def _ended(
        self, request: _Request, action: api.SendAttempt, number: int, began: int, ending: Ending
    ) -> None:
        request.out -= 1
        name, outcome = action.request, ending.outcome
        if outcome is not api.Outcome.SUCCESS:
            _log.debug(
                "attempt ended",
                request=name,
                server=action.server,
                outcome=outcome.name,
                progress=ending.progress.name,
                why=ending.why,
            )
        if isinstance(ending.answer, Row):
            self._finish(name, ending.answer.data + READY, Final.SERVED)
        if self._recovery:
            self._recovery.operations.attempt_ended(name, ending)
        elapsed = self.clock.now() - began
        try:
            load = entries.load(ending.load)
        except Exception:
            # Danger: whatever a report holds, the event of the attempt's end must come.
            _log.exception("unreadable load report")
            load = None
        self.post(api.AttemptEnded(name, number, action.server, outcome, elapsed, request.done, load))
        self._forget(name)

    # ---- what the other drivers tell ---------------------------------------------------------------

    def _told_news(self, event: api.RolloutState) -> None:
        (self._recovery.rollout_changed if self._recovery else self.post)(event)

    def _remembered(self, listing: Listing) -> None:
        if not self._told_list:
            self._keep(listing, api.ServerListKind.CACHED)

    def _listed(self, listing: Listing) -> None:
        self._told_list = True
        self._keep(listing, api.ServerListKind.COMPLETE if listing.reset else api.ServerListKind.DELTA)

    def _keep(self, listing: Listing, kind: api.ServerListKind) -> None:
        event = entries.listed(listing, kind)
        if kind is not api.ServerListKind.DELTA:
            self._addresses.clear()
        for entry, server in zip(listing.instances, event.servers):
            self._addresses.pop(server.id, None)
            if server.availability is not api.Availability.REMOVED:
                try:
                    self._addresses[server.id] = address(entry.host_port, entry.instance_id)
                except ConfigError as error:  # what is sent there then never goes out
                    _log.warning("unusable address", why=str(error))
        self._appliances.retain_addresses(set(self._addresses.values()))
        if self._recovery:
            self._recovery.endpoints_changed(listing, kind is api.ServerListKind.CACHED)
        self.post(event)

    def _list_failed(self) -> None:
        self.post(api.ServerListUpdated(api.ServerListKind.FAILED, ()))

    def _heard(self, sender: int, text: str) -> None:
        self.post(api.GossipReceived(sender, text))

    # ---- life --------------------------------------------------------------------------------------

    def stop(self) -> None:
        """Answer what has been taken, then let `run` return."""
        self._stopping.set()

    def reload(self, config: Config) -> None:
        """Take over where discovery and the platform are now, and the operators' options; all else stays."""
        old = self._config
        moved = [
            key
            for key, changed in (
                ("discovery", config.discovery != old.discovery),
                ("release_api.address", config.platform != old.platform),
            )
            if changed
        ]
        stays = [key for key in RESTART_ONLY_KEYS if getattr(config, key) != getattr(old, key)]
        if self._platform and config.platform:
            self._platform.set_address(config.platform)
        elif config.platform != old.platform:
            moved.remove("release_api.address")
            stays.append("release_api.address")
            config = replace(config, platform=old.platform)
        self._discovery.set_address(config.discovery)
        if config.options.group != old.options.group:
            stays.append("group")
            config = replace(config, options=msgspec.structs.replace(config.options, group=old.options.group))
        if config.options != old.options:
            self._guard.reconfigure(config.options.slow_peers)
            self.engine.ejections.options = self._guard.options.servers.apart
            self._clients.check_all()
            moved.append("slow_peers")
        self._config = replace(
            old, discovery=config.discovery, platform=config.platform, options=config.options
        )
        with log.bind_agent_name(old.name):
            _log.info("reloaded", moved=moved, needs_restart=stays)

    async def run(self, ready: Callable[[], None] | None = None) -> None:
        """Serve until stopped; `ready` is called once clients can connect. OSError where they cannot."""
        with log.bind_agent_name(self._config.name):  # another agent of this process has another name
            await self._run(ready)

    async def _run(self, ready: Callable[[], None] | None) -> None:
        listener = open_listener(self._config.listen)
        async with anyio.create_task_group() as group:
            self._group = group
            for action in self.engine.start(self.clock.now()):
                self._carry_out(action)
            known = self._config.known
            self._keep(
                self._recovery.usable_endpoints(known) if self._recovery else known, api.ServerListKind.CACHED
            )
            if self._recovery:
                if self._config.news:
                    self._recovery.set_initial_rollout(self._config.news)
                group.start_soon(self._recovery.run, self._remembered)
            elif self._config.news:
                self.post(self._config.news)
            for driver in (self._platform, self._peers, self._discovery):
                if driver:
                    group.start_soon(driver.run)
            group.start_soon(self._timers.run, lambda token: self.post(api.TimerFired(token)))
            group.start_soon(self._appliances.run_sweeper)
            group.start_soon(self._watchdog.run, self._clients.on_tick)
            group.start_soon(self._health)
            group.start_soon(self._stop)
            gc.collect()
            gc.freeze()  # what the start left stays for good, so that collections need not go through it
            gc.set_threshold(GC_THRESHOLD)
            limits = self._config.limits
            _log.info(
                "listening",
                address=str(self._config.listen),
                cores=limits.cores,
                memory_mb=limits.memory_mb,
                sockets=limits.sockets,
            )
            if ready:
                ready()
            await self._clients.run(listener)
            group.cancel_scope.cancel()
        self._appliances.close()
        if self._recovery:
            self._recovery.close()
        _log.info("stopped")

    async def _stop(self) -> None:
        await self._stopping.wait()
        _log.info("stopping", clients=len(self._clients), requests=len(self._requests))
        self._clients.drain()
        await anyio.sleep(DRAIN_LINGER_SECONDS)
        self._clients.stop()
        # Danger: a client that does not read its answer would keep the agent for good.
        await anyio.sleep(self._longest)
        _log.warning("stopped before all was read", clients=len(self._clients))
        if self._group:
            self._group.cancel_scope.cancel()

    async def _health(self) -> None:
        while True:
            await anyio.sleep(HEALTH_LOG_INTERVAL_SECONDS)
            late, self._timers.max_lateness = self._timers.max_lateness, 0
            try:
                descriptors = len(os.listdir("/proc/self/fd"))
            except OSError:  # it takes a descriptor to count them
                descriptors = self._config.limits.sockets
            _log.info(
                "health",
                late_ms_most=round(late / 1000, 1),
                timers=len(self._timers),
                memory_mb_most=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
                descriptors=descriptors,
                clients=len(self._clients),
                connections=len(self._appliances),
                requests=len(self._requests),
                malformed=dict(self._clients.malformed_counts),
                shed=self._guard.shed_counter.totals(),
                waiting=self._guard.budget.buffered_bytes,
                slept_s=round(self._watchdog.clock.stalled_seconds, 3),
            )
            self._clients.malformed_counts.clear()
