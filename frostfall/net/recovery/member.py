"""A group member in a running agent: creates its components and starts them in order."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path

import anyio
from anyio.abc import TaskGroup

from frostfall import interface as api
from frostfall import log
from frostfall.config import Address, Config
from frostfall.group_options import GroupOptions, MemberOptions
from frostfall.limits.stall_adjusted_clock import StallAdjustedClock
from frostfall.membership.member_list import MemberList
from frostfall.net.anti_entropy import AntiEntropyDriver
from frostfall.net.consensus import ConsensusDriver
from frostfall.net.log_writer import LogWriter
from frostfall.net.member_transport import CONNECTIONS_PER_MEMBER
from frostfall.net.operations import OperationContext, OperationCoordinator, RequestHandler
from frostfall.net.recovery.core import ChangeSignal, Dependencies, MemberCore, MetadataWriter
from frostfall.net.recovery.endpoint_cache import EndpointCache
from frostfall.net.recovery.heartbeats import HeartbeatExchange
from frostfall.net.recovery.incarnation import IncarnationDriver
from frostfall.net.recovery.log_replay import LogReplay
from frostfall.net.recovery.member_requests import MemberRequestHandler
from frostfall.net.recovery.operator_commands import OperatorCommands
from frostfall.net.recovery.peer_records import PeerRecorder
from frostfall.net.recovery.readiness_driver import ReadinessDriver
from frostfall.net.recovery.record_completeness import RecordCompleteness
from frostfall.net.recovery.rollout_relay import RolloutRelay
from frostfall.net.recovery.status import StatusFields, StatusReporter
from frostfall.net.recovery.vote_holds import VoteHoldDriver
from frostfall.net.replication import ReplicationDriver
from frostfall.protocol.discovery import EndpointListUpdate
from frostfall.protocol.recorded_answer import BINDING_BYTES
from frostfall.recovery.operation_log import OperationLog
from frostfall.recovery.readiness import Readiness, ReadinessInputs
from frostfall.recovery.retry_after import RetryAfterJitter
from frostfall.replication.anti_entropy import AntiEntropyScheduler
from frostfall.replication.replica_store import ReplicaStore
from frostfall.storage.segment_codec import Record
from frostfall.storage.write_ahead_log import WriteAheadLog

MAX_RATE_WITH_MIN_DELAY = 100.0  # rejections per second up to which the minimum retry delay is used
RETRY_JITTER_SEED = 0x5EED  # combined with the agent's seed
PEER_SAVE_PERIODS = 25  # heartbeat periods between two saves of the other members' progress
MAX_PAUSE_PERIODS = 3  # heartbeat periods; a longer gap means that this process was paused
OPERATOR_CONNECTIONS = 4  # connections accepted in addition to those of the members
LISTEN_RETRY_DELAY = 1.0  # seconds after a failure of the listener
MICROSECONDS_PER_SECOND = 1e6

_log = log.get_logger("recovery")


class GroupMember:
    """An agent's membership in its group."""

    def __init__(
        self,
        config: Config,
        handler: RequestHandler,
        clock: Callable[[], int],
        dependencies: Dependencies | None = None,
    ) -> None:
        """Create all components; nothing is read from disk before `run`.

        `clock` returns microseconds on the time base of request deadlines. Raises TypeError if the operator
        file has no section `group`.
        """
        if not isinstance(config.options.group, GroupOptions):
            raise TypeError("the operator file has no section `group`")
        self.options = config.options.group
        self._dependencies = dependencies or Dependencies()
        self._core = core = self._make_core(config.name)
        self.readiness = core.readiness
        self.readiness_inputs = core.inputs
        self.operation_log = core.operation_log
        self.wal = core.wal
        self._make_drivers(config)
        self._make_record_owners(config, handler)
        self._make_request_handler(clock)
        self._make_operations(config, handler, clock)

    def _make_core(self, name: str) -> MemberCore:
        options, dependencies = self.options, self._dependencies
        wal = WriteAheadLog(name, options.store, self._checkpoint_records)
        folder = dependencies.open_folder(Path(options.data))
        disk = LogWriter(folder, wal, dependencies.monotonic_clock, dependencies.run_blocking)
        operation_log = OperationLog(
            wal,
            disk.find_record,
            options.retries_marked,
            options.store.answer_bytes + BINDING_BYTES,
            replicated=options.copies is not None,
        )
        active_members = tuple(member.name for member in options.active_members)
        return MemberCore(
            name=name,
            options=options,
            wal=wal,
            disk=disk,
            metadata=MetadataWriter(wal, disk),
            operation_log=operation_log,
            replica_store=ReplicaStore(wal, disk.find_record),
            membership=MemberList(name, active_members, options.turns),
            readiness=Readiness(len(active_members), options.retries_marked, options.waits),
            inputs=ReadinessInputs(),
            connections={},
            changed=ChangeSignal(),
            wall_clock=dependencies.wall_clock,
            monotonic_clock=dependencies.monotonic_clock,
        )

    def _make_drivers(self, config: Config) -> None:
        """Create the drivers that the options enable, and the components to which they report."""
        core, options = self._core, self.options
        scheduler = self._make_scheduler()
        self._incarnation = IncarnationDriver(core)
        self._completeness = RecordCompleteness(core, self._incarnation, scheduler)
        self._replication: ReplicationDriver | None = None
        self._replica_repair: AntiEntropyDriver | None = None
        self._consensus: ConsensusDriver | None = None
        if options.copies and scheduler:
            self._replication = ReplicationDriver(
                core.name, options.copies, scheduler, core.membership, core.disk, core.replica_store
            )
            self._replica_repair = AntiEntropyDriver(
                scheduler,
                core.disk,
                core.operation_log,
                core.replica_store,
                core.membership,
                core.connections,
                core.monotonic_clock,
                self._completeness.is_authoritative,
                self._completeness.mark_restored,
                self._completeness.mark_corrupted,
            )
        if options.agreement:
            voters = tuple(sorted(member.name for member in options.active_members))
            self._consensus = ConsensusDriver(
                core.name, voters, core.disk, core.metadata.append, core.connections, config.seed
            )

    def _make_scheduler(self) -> AntiEntropyScheduler | None:
        if self.options.copies is None:
            return None
        zones = {member.name: member.zone for member in self.options.members}
        removed = frozenset(member.name for member in self.options.members if member.gone)
        return AntiEntropyScheduler(self._core.name, zones, self.options.copies, removed)

    def _make_record_owners(self, config: Config, handler: RequestHandler) -> None:
        """Create the owners of the log's metadata records, and the components that combine them."""
        core, rollout_settings = self._core, config.settings.rollout
        exposure_window = (
            rollout_settings.exposure_window / MICROSECONDS_PER_SECOND if rollout_settings else 0.0
        )
        self._endpoints = EndpointCache(core, config.initial_endpoint_list, config.settings.zone)
        self._rollout = RolloutRelay(core, handler)
        self._vote_holds = VoteHoldDriver(core)
        self._peer_recorder = PeerRecorder(core)
        self._readiness_driver = ReadinessDriver(
            core,
            handler,
            self._completeness,
            self._endpoints,
            self._rollout,
            self._replication,
            exposure_window,
        )
        self._log_replay = LogReplay(
            core,
            self._incarnation,
            self._completeness,
            self._peer_recorder,
            self._endpoints,
            self._rollout,
            self._vote_holds,
            self._consensus,
        )

    def _make_request_handler(self, clock: Callable[[], int]) -> None:
        """Create the components that answer other members and operators."""
        core = self._core
        self._heartbeats = HeartbeatExchange(
            core,
            self._incarnation,
            self._completeness,
            self._peer_recorder,
            self._endpoints,
            self._rollout,
            self._vote_holds,
        )
        self._status = StatusReporter(
            core, self._completeness, self._replication, self._replica_repair, self._consensus
        )
        commands = OperatorCommands(
            core, self._completeness, self._vote_holds, self._status, self._replication, clock
        )
        self._request_handler = MemberRequestHandler(
            core,
            self._completeness,
            self._heartbeats,
            self._endpoints,
            commands,
            self._replication,
            self._replica_repair,
            self._consensus,
        )

    def _make_operations(self, config: Config, handler: RequestHandler, clock: Callable[[], int]) -> None:
        """Create the coordinator of clients' operations."""
        core = self._core
        self._operation_context = OperationContext(
            name=core.name,
            options=self.options,
            idempotency={each.name: each.idempotency for each in config.settings.classes},
            handler=handler,
            clock=clock,
            monotonic_clock=core.monotonic_clock,
            retry_after=RetryAfterJitter(MAX_RATE_WITH_MIN_DELAY, config.seed ^ RETRY_JITTER_SEED),
            operation_log=core.operation_log,
            replica_store=core.replica_store,
            disk=core.disk,
            membership=core.membership,
            readiness=core.readiness,
            inputs=core.inputs,
            connections=core.connections,
            replication=self._replication,
            on_unreadable=self._completeness.mark_unreadable,
            is_complete=self._completeness.is_complete,
        )
        self.operations = OperationCoordinator(self._operation_context)

    def _checkpoint_records(self) -> Iterable[Record]:
        return self._log_replay.checkpoint_records()

    async def run(self, on_endpoint_list: Callable[[EndpointListUpdate], None]) -> None:
        """Replay the log, then run the member until it is cancelled.

        `on_endpoint_list` is called with endpoint lists that discovery has not confirmed.
        """
        self._endpoints.publish_to(on_endpoint_list)
        self._readiness_driver.restart_clock()
        async with anyio.create_task_group() as group:
            self._operation_context.task_group = group
            if self._replication:
                self._replication.task_group = group
                self._replication.connections = self._core.connections
            group.start_soon(self._readiness_driver.run)
            group.start_soon(self._listen)
            await self._log_replay.run()
            if self._core.disk.is_open:
                self._start_drivers(group)

    def _start_drivers(self, group: TaskGroup) -> None:
        """Start the components that need a usable log."""
        group.start_soon(self._core.disk.run)
        group.start_soon(self._incarnation.run)
        for member in self.options.active_members:
            if member.name != self._core.name:
                self._connect(member, group)
        group.start_soon(self._run_periods)
        if self._replica_repair:
            group.start_soon(self._replica_repair.run)
        if self._consensus and not (self._completeness.reason or self._completeness.consensus_excluded):
            group.start_soon(self._consensus.run)
        elif self._consensus:
            _log.error("no part in agreement: this member may have voted otherwise before")

    def _connect(self, member: MemberOptions, group: TaskGroup) -> None:
        connection = self._dependencies.connect(
            member.name,
            _parse_address(member.address),
            self.options.key,
            self.options.turns.every,
            self._heartbeats.make,
            self._heartbeats.receive,
            self._heartbeats.identity,
        )
        self._core.connections[member.name] = connection
        group.start_soon(connection.run)

    async def _listen(self) -> None:
        own = next(member for member in self.options.members if member.name == self._core.name)
        address = _parse_address(self.options.listen or own.address)
        max_connections = CONNECTIONS_PER_MEMBER * len(self.options.active_members) + OPERATOR_CONNECTIONS
        listener = self._dependencies.listen(self.options.key, max_connections, self._request_handler.answer)
        while True:
            try:
                await listener.run(address)
            except OSError as error:
                _log.error("member listener failed", reason=str(error))
            await anyio.sleep(LISTEN_RETRY_DELAY)

    async def _run_periods(self) -> None:
        """In each heartbeat period, update the states of silent members and save changed state to the log."""
        period = self.options.turns.every
        clock = StallAdjustedClock(period, period * MAX_PAUSE_PERIODS)
        elapsed_periods = 0
        while True:
            clock.advance(self._core.monotonic_clock())
            if not clock.stalled:
                for name, state in self._core.membership.advance_period():
                    _log.warning("member", member=name, health=state.value)
            self._endpoints.save_if_changed()
            elapsed_periods += 1
            if elapsed_periods % PEER_SAVE_PERIODS == 0:
                self._peer_recorder.save_progress()
            self._core.changed.notify()
            await anyio.sleep(period)

    def close(self) -> None:
        """Close the log's directory."""
        self._core.disk.directory.close()

    def status(self) -> StatusFields:
        """Return the status that is reported to operators."""
        return self._status.report()

    def endpoints_changed(self, endpoint_list: EndpointListUpdate, cached: bool = False) -> None:
        """Process an update of the agent's endpoint list; `cached` is False if discovery has sent it."""
        self._endpoints.update(endpoint_list, cached=cached)

    def usable_endpoints(self, endpoint_list: EndpointListUpdate) -> EndpointListUpdate:
        """Return the endpoints that may be used of a list that discovery has not confirmed."""
        return self._endpoints.usable(endpoint_list)

    def rollout_changed(self, state: api.RolloutState) -> None:
        """Process a state of the rollout API; the decision module receives it once votes may be cast."""
        self._rollout.update(state)

    def set_initial_rollout(self, state: api.RolloutState) -> None:
        """Set the rollout state of the configuration, which may be older than the state in the log."""
        self._rollout.set_initial(state)


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host.strip("[]"), int(port))
