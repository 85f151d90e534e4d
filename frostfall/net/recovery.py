"""Recovery in a running agent: its store, its group and its gates, between the agent and what they decide."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from uuid import uuid4

import anyio
import msgspec
from anyio.to_thread import run_sync

from frostfall import interface as api
from frostfall import log
from frostfall.config import Address, Config
from frostfall.group_options import GroupOptions
from frostfall.limits.stall_adjusted_clock import StallAdjustedClock
from frostfall.membership.member_list import HeartbeatVerdict, Incarnation, MemberList, MemberState
from frostfall.net import log_writer
from frostfall.net.anti_entropy import AntiEntropyDriver
from frostfall.net.consensus import ConsensusDriver
from frostfall.net.log_writer import LogWriter
from frostfall.net.member_transport import CONNECTIONS_PER_MEMBER, MemberConnection, MemberListener, Response
from frostfall.net.operations import OperationCoordinator, RequestHandler
from frostfall.net.replication import ReplicationDriver
from frostfall.protocol.listing import Listing
from frostfall.protocol.member_messages import (
    ConsensusMessage,
    DigestRequest,
    EndpointListReply,
    EndpointListRequest,
    FencedRead,
    Heartbeat,
    MemberMessage,
    OperatorCommand,
    OperatorReport,
    ReplicateRequest,
    StatusQuery,
    StatusReply,
)
from frostfall.recovery import metadata as written
from frostfall.recovery.completeness import IncompleteReason, incomplete_detail
from frostfall.recovery.metadata import (
    BuildRolledBack,
    CachedEndpointList,
    MetadataRecord,
    PeerIncarnation,
    RecordIncomplete,
    ReplicaAssignment,
    VoteHold,
)
from frostfall.recovery.operation_log import OperationLog, OperationStatus
from frostfall.recovery.readiness import ConditionStatus, Readiness, ReadinessInputs, ReadinessStage
from frostfall.recovery.retry_after import RetryAfterJitter
from frostfall.replication.anti_entropy import AntiEntropyScheduler
from frostfall.replication.operator_holds import NO_HOLD, OperatorHold, OperatorHolds
from frostfall.replication.replica_store import ReplicaStore, is_replica_name
from frostfall.storage import segment_codec
from frostfall.storage.segment_codec import Record, RecordState
from frostfall.storage.write_ahead_log import LogCondition, WriteAheadLog

UNCROWDED_REJECTION_RATE = 100.0  # refusals a second for which the shortest time to come again will do
CLOCK_SKEW_WARNING = 5.0  # seconds between two clocks that are worth a line
PEER_BATCH_SAVE_TURNS = 25  # turns after which it is written down how far the others' records have come
VOTE_HOLD_WAIT = 1.0  # seconds that an operator is kept waiting for other members to have a word
MAX_PAUSE_TURNS = 3  # turns: a longer gap has been slept through

_log = log.get_logger("recovery")


@dataclass(frozen=True, slots=True)
class Dependencies:
    """What a record and a link are made of; models put others in their place."""

    open_folder: Callable[[Path], log_writer.SegmentDirectory] = lambda path: log_writer.segment_directory(
        path
    )
    connect: Callable[..., MemberConnection] = MemberConnection
    listen: Callable[..., MemberListener] = MemberListener
    run_blocking: Callable[..., Awaitable[Any]] = run_sync
    wall_clock: Callable[[], float] = lambda: time.time()
    monotonic_clock: Callable[[], float] = time.monotonic


class GroupMember:
    """One agent's record, group and gates."""

    def __init__(
        self,
        config: Config,
        handler: RequestHandler,
        clock: Callable[[], int],
        dependencies: Dependencies | None = None,
    ) -> None:
        """Prepare; nothing is read before `run`. `clock` gives microseconds, as deadlines count them."""
        rules = config.options.group
        assert isinstance(rules, GroupOptions)
        self.options, self._front, self._clock, self._name = rules, handler, clock, config.name
        self.journal = WriteAheadLog(config.name, rules.store, self._facts)
        self._parts = dependencies = dependencies or Dependencies()
        self._wall, self._steady = dependencies.wall_clock, dependencies.monotonic_clock
        self.disk = LogWriter(
            dependencies.open_folder(Path(rules.data)),
            self.journal,
            dependencies.monotonic_clock,
            dependencies.run_blocking,
        )
        self.operation_log = OperationLog(
            self.journal,
            self.disk.find_record,
            rules.retries_marked,
            rules.store.answer_bytes,
            rules.copies is not None,
        )
        self.replica_store = ReplicaStore(self.journal, self.disk.find_record)
        self.membership = MemberList(
            config.name, tuple(member.name for member in rules.active_members), rules.turns
        )
        self.readiness = Readiness(len(rules.active_members), rules.retries_marked, rules.waits)
        self.readiness_inputs = ReadinessInputs()
        self._lines: dict[str, MemberConnection] = {}
        zones = {member.name: member.zone for member in rules.members}
        gone = frozenset(member.name for member in rules.members if member.gone)
        repair = AntiEntropyScheduler(config.name, zones, rules.copies, gone) if rules.copies else None
        self.replication = (
            ReplicationDriver(
                config.name, rules.copies, repair, self.membership, self.disk, self.replica_store
            )
            if rules.copies and repair
            else None
        )
        self.replica_repair = (
            AntiEntropyDriver(
                repair,
                self.disk,
                self.operation_log,
                self.replica_store,
                self.membership,
                self._lines,
                dependencies.monotonic_clock,
                self._whole_for,
                self._restored,
                self._rotten,
            )
            if repair
            else None
        )
        self._keeps = ReplicaAssignment([], [])
        self.vote_holds = OperatorHolds(frozenset(self.membership.peers))
        names = tuple(sorted(member.name for member in rules.active_members))
        self.consensus = (
            ConsensusDriver(config.name, names, self.disk, self._note, self._lines, config.seed)
            if rules.agreement
            else None
        )
        self._last = Incarnation()  # one's own last life, as the folder says
        self._gone_back = 0
        self._list: CachedEndpointList | None = None
        self._news: api.RolloutState | None = None
        self._changed = anyio.Event()
        self._began = self._steady()
        effects = {kind.name: kind.idempotency for kind in config.settings.classes}
        self.operations = OperationCoordinator(
            config.name,
            rules,
            effects,
            handler,
            clock,
            dependencies.monotonic_clock,
            RetryAfterJitter(UNCROWDED_REJECTION_RATE, config.seed ^ 0x5EED),
            self.operation_log,
            self.replica_store,
            self.disk,
            self.membership,
            self.readiness,
            self.readiness_inputs,
            self._lines,
            self.replication,
            self._unreadable,
            self._whole_of,
        )
        window = config.settings.rollout.exposure_window if config.settings.rollout else 0
        self._window = window / 1e6
        self._relist: Callable[[Listing], None] = lambda listing: None
        self._remembered = config.known  # the newest list that discovery has not confirmed
        self._zone = config.settings.zone
        self._entries: dict[str, Any] = {}  # the list as it is, by instance
        self._generation, self._list_dirty = 0, False
        self._noted: set[str] = set()
        self._doubt_on_disk, self._mute = False, False
        self._noted_batches: dict[str, tuple[int, str]] = {}  # by member

    # ---- the start, and what goes on beside requests -----------------------------------------------

    async def run(self, on_endpoint_list: Callable[[Listing], None]) -> None:
        """Recover, then keep the link and the gates; `relist` takes the list that was remembered."""
        self._relist, self._began = on_endpoint_list, self._steady()
        async with anyio.create_task_group() as group:
            self.operations.task_group = group
            if self.replication:
                self.replication.task_group, self.replication.lines = group, self._lines
            group.start_soon(self._judge_on)
            group.start_soon(self._listen)
            await self._recover()
            if self.disk.is_open:
                group.start_soon(self.disk.run)
                group.start_soon(self._live)
                for member in self.options.active_members:
                    if member.name != self._name:
                        host, _, port = member.address.rpartition(":")
                        where = Address(host.strip("[]"), int(port))
                        line = self._parts.connect(
                            member.name,
                            where,
                            self.options.key,
                            self.options.turns.every,
                            self._beat,
                            self._heard,
                            self._who,
                        )
                        self._lines[member.name] = line
                        group.start_soon(line.run)
                group.start_soon(self._turns)
                if self.replica_repair:
                    group.start_soon(self.replica_repair.run)
                if self.consensus and not (self.readiness_inputs.incomplete_reason or self._mute):
                    group.start_soon(self.consensus.run)
                elif self.consensus:
                    _log.error("no part in agreement: this member may have voted otherwise before")

    async def _recover(self) -> None:
        try:
            await self.disk.open(self._recall)
        except OSError as error:
            self.readiness_inputs.unusable_reason = str(error)
        if not self.journal.condition.is_usable:
            self.readiness_inputs.unusable_reason = (
                f"{self.journal.condition.value}: {self.journal.condition_reason}"
            )
        if self.readiness_inputs.unusable_reason:
            self.operation_log.incomplete_reason = IncompleteReason(self.readiness_inputs.unusable_reason)
            _log.error(
                "the record cannot be used: no unsafe work is taken",
                why=self.readiness_inputs.unusable_reason,
            )
        else:
            try:
                self.readiness_inputs.unsettled_operations = self.operation_log.recover_open_operations(
                    self._payload, self._open_copy
                )
            except (OSError, ValueError) as error:
                self.readiness_inputs.unusable_reason = f"an open operation cannot be read: {error}"
                self.operation_log.incomplete_reason = IncompleteReason(self.readiness_inputs.unusable_reason)
                self.disk.is_open = False
                _log.error(
                    "the record cannot be used: no unsafe work is taken",
                    why=self.readiness_inputs.unusable_reason,
                )
        self._last.durable_batch = self.journal.last_durable_batch
        if (
            self.journal.condition is LogCondition.FRESH
            and not self.options.new
            and not self.readiness_inputs.unusable_reason
        ):
            # Danger: with all folders lost at once, nobody is left to tell a lost one from a first start.
            self._in_doubt("there was no record: a first start, or a lost folder")
            self._note_doubt()
            _log.warning("no record: operators have to accept that, or to set `new` in the group's section")
        if self.replica_repair:
            fresh = self.journal.condition is LogCondition.FRESH
            self.replica_repair.scheduler.apply_assignment(
                self.replica_repair.scheduler.owners if fresh else self._keeps.owners, self._keeps.members
            )
        self.readiness_inputs.log_replayed = True
        if self._list:
            try:
                kept = msgspec.convert(self._list.endpoint_list, Listing)
                if kept.generation >= self._remembered.generation:
                    self._remembered, self._generation = kept, max(self._generation, kept.generation)
                    self._relist(self.usable_endpoints(kept))
                _log.info("remembered list", age_s=round(self._wall() - self._list.saved_at, 1))
            except msgspec.ValidationError as error:
                _log.warning("remembered list cannot be read", why=str(error))
        _log.info(
            "record read",
            condition=self.journal.condition.value,
            segments=self.journal.segment_count,
            torn_bytes=self.journal.torn_bytes,
            operations=len(self.journal.index),
            lost=len(self.operation_log.lost),
            last_life=self._last.number,
        )
        self._touch()

    def _open_copy(self, name: str) -> bool:
        """Whether this open operation is another member's; it stays open here until its owner ends it."""
        if is_replica_name(name):
            self.replica_store.open_tickets[name] = 0
        return is_replica_name(name)

    def _payload(self, segment: int, offset: int) -> bytes:
        raw = self.disk.directory.read_range(segment, offset, 1024)
        record = segment_codec.decode_record(raw, self.journal.format_version_of(segment))
        if record is None:
            raise ValueError(f"segment {segment}, byte {offset}")
        return record[2]

    def _recall(self, data: bytes) -> None:
        match written.decode(data):
            case written.IncarnationStarted(incarnation, token):
                self._last.number, self._last.token = incarnation, token
            case PeerIncarnation(member, incarnation, batch, token, outdated):
                self.membership.restore(member, Incarnation(incarnation, batch, token), outdated)
            case RecordIncomplete(why, mute):
                self._in_doubt(why)
                self._doubt_on_disk, self._mute = True, mute
            case BuildRolledBack(build):
                self._gone_back = max(self._gone_back, build)
            case VoteHold(who, on, serial, member):
                self.vote_holds.restore(member, OperatorHold(serial, who if on else ""))
                self.readiness_inputs.votes_held_by = self.vote_holds.own_hold[1]
            case ReplicaAssignment() as keeps:
                self._keeps = keeps
            case written.RaftVote() | written.RaftEntry() | written.RaftSnapshot() as fact:
                if self.consensus:
                    self.consensus.restore(fact)
            case CachedEndpointList() as known:
                self._list = known

    def _facts(self) -> Iterable[Record]:
        own = (
            (self.membership.incarnation, self.membership.incarnation_token)
            if self.membership.incarnation
            else (self._last.number, self._last.token)
        )
        kept: list[MetadataRecord] = [written.IncarnationStarted(*own)] if own[0] else []
        kept += [
            PeerIncarnation(
                name,
                peer.recorded_incarnation.number,
                peer.recorded_incarnation.durable_batch,
                peer.recorded_incarnation.token,
                peer.stale_reason,
            )
            for name, peer in self.membership.peers.items()
            if peer.recorded_incarnation.number
        ]
        if self.readiness_inputs.incomplete_reason or self._mute:
            kept.append(
                RecordIncomplete(incomplete_detail(self.readiness_inputs.incomplete_reason), self._mute)
            )
        if self._gone_back:
            kept.append(BuildRolledBack(self._gone_back))
        kept += [
            VoteHold(who, bool(who), serial, member) for member, (serial, who) in self.vote_holds.items()
        ]
        if self._list:
            kept.append(self._list)
        if self.replica_repair:
            kept.append(self.replica_repair.assignment())
        if self.consensus:
            kept += self.consensus.stored_state()
        return [
            *(Record(RecordState.METADATA, 0, written.encode(fact)) for fact in kept),
            *self.operation_log.checkpoint_records(),
            *self.replica_store.open_records(),
        ]

    def _note(self, fact: MetadataRecord) -> int:
        ticket = self.journal.append(Record(RecordState.METADATA, 0, written.encode(fact)))
        self.disk.wake()
        return ticket

    async def _live(self) -> None:
        """Begin a life: its number is on disk before anybody is told."""
        number = self._last.number
        while True:
            number, token = max(number, self.membership.incarnation_floor) + 1, uuid4().hex[:16]
            if not await self.disk.wait_durable(self._note(written.IncarnationStarted(number, token))):
                return
            self.membership.incarnation, self.membership.incarnation_token = number, token
            self.readiness_inputs.incarnation_durable, self.readiness_inputs.unsettled_operations = True, 0
            self._touch()
            for line in self._lines.values():
                line.send_heartbeat_now()
            while self.membership.incarnation_floor < number:
                await self._changed.wait()
            self.readiness_inputs.incarnation_durable = False

    async def _listen(self) -> None:
        own = next(member for member in self.options.members if member.name == self._name)
        host, _, port = (self.options.listen or own.address).rpartition(":")
        most = CONNECTIONS_PER_MEMBER * len(self.options.active_members) + 4
        listener = self._parts.listen(self.options.key, most, self._answer)
        while True:
            try:
                await listener.run(Address(host.strip("[]"), int(port)))
            except OSError as error:
                _log.error("the group cannot be listened for", why=str(error))
            await anyio.sleep(1.0)

    async def _turns(self) -> None:
        every = self.options.turns.every
        attention, turn = StallAdjustedClock(every, every * MAX_PAUSE_TURNS), 0
        while True:
            attention.advance(self._steady())
            if not attention.stalled:
                for name, health in self.membership.advance_period():
                    _log.warning("member", member=name, health=health.value)
            self._note_list()
            if (turn := turn + 1) % PEER_BATCH_SAVE_TURNS == 0:
                self._note_batches()
            self._touch()
            await anyio.sleep(every)

    async def _judge_on(self) -> None:
        while True:
            if self._changed.is_set():
                # Danger: replaced before it is set, it would leave who waits for it waiting for good.
                self._changed = anyio.Event()
            self._judge()
            with anyio.move_on_after(0.1):
                await self._changed.wait()

    def _touch(self) -> None:
        self._changed.set()

    def _judge(self) -> None:
        facts, now = self.readiness_inputs, self._steady() - self._began
        facts.storage_fault, facts.storage_full = self.journal.failure_reason, self.journal.is_full
        facts.acknowledging_members = self.membership.acknowledgement_count
        here = set(self.membership.alive)
        facts.silent_members = tuple(name for name in self.membership.peers if name not in here)
        facts.exposure_window_elapsed = now >= self._window
        if self.replication:
            facts.reachable_replicas, facts.required_replicas = self.replication.holder_counts
            if self.replication.is_degraded != ("few" in self._noted):
                self._noted ^= {"few"}
                _log.warning("copies", fewer=self.replication.is_degraded, holders=facts.reachable_replicas)
        facts.contesting_incarnation = self.membership.contested_incarnation
        if self.membership.superseded_by and not facts.superseded_reason:
            facts.superseded_reason = (
                f"life {self.membership.superseded_by} of this member has begun elsewhere"
            )
            _log.error("replaced: this agent stops", why=facts.superseded_reason)
            self._front.stop()
        doubting = [name for name, peer in self.membership.peers.items() if peer.incomplete_reason]
        if (
            bool(facts.incomplete_reason) + len(doubting) >= self.membership.majority
            and "majority" not in self._noted
        ):
            self._noted.add("majority")
            _log.error(
                "a majority has come back without its records",
                members=sorted([*doubting, *([self._name] if facts.incomplete_reason else [])]),
            )
        for gate in self.readiness.evaluate(now, facts):
            point = self.readiness.conditions[gate]
            _log.info(
                "gate", gate=gate.value, stand=point.status.value, why=point.reason, after_s=round(now, 3)
            )
            if (
                gate is ReadinessStage.READS
                and point.status is ConditionStatus.READY
                and not facts.endpoint_list_received
            ):
                self._relist(self._remembered)
            if gate is ReadinessStage.VOTES and point.status is ConditionStatus.READY and self._news:
                self._front.post(self._news)

    # ---- the group ---------------------------------------------------------------------------------

    def _who(self) -> tuple[str, str]:
        return self._name, self.membership.incarnation_token

    def _beat(self, member: str) -> Heartbeat | None:
        peer = self.membership.peers.get(member)
        if not self.membership.incarnation or not self.readiness_inputs.incarnation_durable or peer is None:
            return None
        kept, waiting = peer.recorded_incarnation, self.readiness.first_unready()
        return Heartbeat(
            self._name,
            self.membership.incarnation,
            self.journal.last_durable_batch,
            self.membership.incarnation_token,
            self._wall(),
            waiting.stage.value if waiting else "",
            incomplete_detail(self.readiness_inputs.incomplete_reason) if self._doubt_on_disk else "",
            (self._last.number, self._last.durable_batch, self._last.token),
            (kept.number, kept.durable_batch, kept.token),
            peer.state is MemberState.ALIVE,
            peer.latest_stale_reason or peer.stale_reason,
            rolled_back_build=self._gone_back,
            endpoint_list_generation=self._generation if self.readiness_inputs.endpoint_list_received else -1,
            operator_hold=self.vote_holds.own_hold,
            recorded_operator_hold=self.vote_holds.peer_holds.get(member, NO_HOLD),
        )

    def _heard(self, beat: Heartbeat) -> None:
        # Danger: held against a folder that has not been read yet, what others know of it looks like more.
        if beat.sender not in self.membership.peers or not self.readiness_inputs.log_replayed:
            return
        peer = self.membership.peers[beat.sender]
        ahead, health, beyond = beat.wall_time - self._wall(), peer.state, self.membership.incarnation_floor
        if abs(ahead) > CLOCK_SKEW_WARNING and f"clock {beat.sender}" not in self._noted:
            self._noted.add(f"clock {beat.sender}")
            _log.warning("clocks differ", member=beat.sender, ahead_s=round(ahead, 1))
        life = Incarnation(beat.incarnation, beat.durable_batch, beat.incarnation_token)
        answer = self.membership.receive_heartbeat(
            beat.sender,
            life,
            Incarnation(*beat.startup_incarnation),
            beat.readiness_stage,
            ahead,
            beat.incomplete_reason,
        )
        if peer.state is not health:
            _log.info("member", member=beat.sender, health=peer.state.value, life=beat.incarnation)
        self.membership.receive_view_of_self(
            beat.sender, Incarnation(*beat.recorded_incarnation), beat.recorded_is_alive, beat.stale_reason
        )
        # Danger: a doubt goes to the disk before any life that others write down over what they knew.
        self._doubt()
        if answer is HeartbeatVerdict.NEW_INCARNATION and self.disk.is_open:
            remark = peer.latest_stale_reason
            ticket = self._note(
                PeerIncarnation(beat.sender, life.number, life.durable_batch, life.token, remark)
            )
            self.disk.when_durable(
                ticket, lambda good: self._wrote_down(beat.sender, life, remark) if good else None
            )
        elif answer is HeartbeatVerdict.ACCEPTED:
            # The batches of a life that is on disk go to the disk now and then.
            self.membership.mark_recorded(beat.sender, life)
            # It has that on disk itself by now, or others have made its record whole meanwhile.
            if peer.stale_reason and (
                beat.incomplete_reason or beat.startup_incarnation[2] == beat.incarnation_token
            ):
                peer.stale_reason = ""
                self._note(PeerIncarnation(beat.sender, life.number, life.durable_batch, life.token))
        self._heard_word(beat)
        self._went_back(beat.rolled_back_build)
        if (
            not self.readiness_inputs.endpoint_list_received
            and beat.endpoint_list_generation > self._generation
            and beat.sender in self._lines
        ):
            self._generation = beat.endpoint_list_generation  # a member has had a newer one from discovery
            self._lines[beat.sender].request_endpoint_list(self._list_of_others)
        if self.membership.incarnation_floor > beyond:
            _log.warning("others knew later lives of this member", beyond=self.membership.incarnation_floor)
        self._touch()

    def _heard_word(self, beat: Heartbeat) -> None:
        if not self.disk.is_open:
            return
        theirs, mine = self.vote_holds.merge_gossip(
            beat.sender, OperatorHold(*beat.operator_hold), OperatorHold(*beat.recorded_operator_hold)
        )
        if mine:
            self.readiness_inputs.votes_held_by = mine[1]
            self._note(VoteHold(mine[1], bool(mine[1]), mine[0]))
            _log.warning("votes", order="as others know it", who=mine[1])
        if theirs:

            def noted(good: bool) -> None:
                if good:
                    self.vote_holds.restore(beat.sender, theirs)

            self.disk.when_durable(
                self._note(VoteHold(theirs[1], bool(theirs[1]), theirs[0], beat.sender)), noted
            )

    def _went_back(self, build: int) -> None:
        """A build was sent back: written down, whoever told of it."""
        if build > self._gone_back:
            self._gone_back = build
            if self.disk.is_open and not self.journal.failure_reason:
                self._note(BuildRolledBack(build))

    def _list_of_others(self, listing: Any) -> None:
        """A hint like one's own remembered list, and a newer one."""
        if listing is None or self.readiness_inputs.endpoint_list_received:
            return
        try:
            told = msgspec.convert(listing, Listing)
        except msgspec.ValidationError as error:
            _log.warning("a member's list cannot be read", why=str(error))
            return
        # Servers may have other addresses for other agents: those that are known here stay.
        own = {entry.instance_id: entry.host_port for entry in self._remembered.instances}
        for entry in told.instances:
            entry.host_port = own.get(entry.instance_id, entry.host_port)
        self._remembered = told
        _log.info("list of another member", generation=self._remembered.generation)
        self._relist(self.usable_endpoints(self._remembered))

    def usable_endpoints(self, listing: Listing) -> Listing:
        """Of a list that discovery has not confirmed, what is in the own zone; all while nothing is."""
        if self.readiness.is_ready(ReadinessStage.READS):
            return listing
        zone = [entry for entry in listing.instances if entry.zone == self._zone]
        return Listing(listing.generation, listing.reset, zone or listing.instances)

    def _doubt(self) -> None:
        """Write down that the record proves nothing, once it is known."""
        if (
            not self.membership.stale_reason
            or self.readiness_inputs.incomplete_reason
            or not self.disk.is_open
        ):
            return
        self._in_doubt(self.membership.stale_reason)
        _log.error(
            "the folder is lost, swapped or old: it proves nothing",
            why=incomplete_detail(self.readiness_inputs.incomplete_reason),
        )
        self._note_doubt()

    def _in_doubt(self, why: str) -> None:
        """What this record lacks proves nothing from now on; without a reason: it does again."""
        reason = IncompleteReason(why) if why else None
        self.readiness_inputs.incomplete_reason = self.operation_log.incomplete_reason = reason
        self._mute = self._mute or bool(why)
        if self.replica_repair and why:
            self.replica_repair.scheduler.mark_all_incomplete()
            self.replica_repair.scheduler.schedule(self._steady())
        elif self.replica_repair:
            self.replica_repair.scheduler.incomplete_owners.clear()

    def _whole_for(self, owner: str, sender: str, token: str) -> bool:
        """Whether the record of an owner is whole here, and a member's present life on disk."""
        return self._whole_of(owner) and self._knows(sender, token)

    def _whole_of(self, owner: str) -> bool:
        return (
            self.replica_repair.scheduler.is_complete(owner)
            if self.replica_repair
            else not self.readiness_inputs.incomplete_reason
        )

    def _restored(self) -> None:
        """All that this record lacked has been taken over from enough others."""
        assert self.replica_repair
        _log.warning(
            "the record is whole by its copies",
            doubt=incomplete_detail(self.readiness_inputs.incomplete_reason),
            owners=sorted(self.replica_repair.scheduler.incomplete_owners),
        )
        self._doubt_over()

    def _doubt_over(self) -> int:
        self.membership.stale_reason = ""
        self._in_doubt("")
        self._last = Incarnation(
            self.membership.incarnation, self.journal.last_durable_batch, self.membership.incarnation_token
        )
        self._noted.discard("majority")
        self._touch()
        if self.replica_repair:
            self._note(self.replica_repair.assignment())
        return self._note_doubt()

    def _rotten(self, why: str) -> None:
        self._in_doubt(incomplete_detail(self.readiness_inputs.incomplete_reason) or why)
        if self.disk.is_open:
            self._note_doubt()
        self._touch()

    def _note_doubt(self) -> int:
        def noted(good: bool) -> None:
            self._doubt_on_disk = good

        self._doubt_on_disk = False
        ticket = self._note(
            RecordIncomplete(incomplete_detail(self.readiness_inputs.incomplete_reason), self._mute)
        )
        self.disk.when_durable(ticket, noted)
        return ticket

    def _wrote_down(self, name: str, life: Incarnation, outdated: str) -> None:
        self.membership.mark_recorded(name, life, outdated)
        if line := self._lines.get(name):
            line.send_heartbeat_now()
        self._touch()

    def _answer(self, message: MemberMessage) -> Response:
        match message:
            case Heartbeat():
                self._heard(message)
                return self._beat(message.sender)
            case StatusQuery(number, names, sender, token):
                known = self._knows(sender, token)
                return StatusReply(
                    number,
                    [self._asked(name, known) for name in names],
                    self.membership.incarnation_token,
                    self._lives(),
                )
            case ReplicateRequest() if (
                self.replication and self.disk.is_open and self.readiness_inputs.log_replayed
            ):
                return self.replication.handle_write(message)
            case FencedRead(sender=sender, incarnation_token=token) if (
                self.replication and self.disk.is_open and self.readiness_inputs.log_replayed
            ):
                return self.replication.handle_read(
                    message, lambda: self._whole_for(message.owner, sender, token), self._lives()
                )
            case DigestRequest() if (
                self.replica_repair and self.disk.is_open and self.readiness_inputs.log_replayed
            ):
                return self.replica_repair.handle_compare(message)
            case ConsensusMessage() if self.consensus and not self.readiness_inputs.incomplete_reason:
                self.consensus.handle_message(message)
            case OperatorCommand(number, "put", who, key, value) if self.consensus:
                return self._put(number, who, key, value)
            case EndpointListRequest(number):
                return EndpointListReply(
                    number,
                    msgspec.to_builtins(self._whole())
                    if self.readiness_inputs.endpoint_list_received
                    else None,
                )
            case OperatorCommand(number, what, who):
                return self._order(number, what, who)
        return None

    def _knows(self, sender: str, token: str) -> bool:
        """Whether a member's present life is on disk here, and nobody's folder is in question."""
        peer = self.membership.peers.get(sender)
        return (
            peer is not None and peer.recorded_incarnation.token == token and self.membership.no_stale_peers
        )

    def _lives(self) -> dict[str, str]:
        return {name: each.recorded_incarnation.token for name, each in self.membership.peers.items()}

    def _asked(self, name: str, known: bool) -> tuple[str, bytes | None]:
        if not self.readiness_inputs.log_replayed or not self.readiness_inputs.incarnation_durable:
            return OperationStatus.INDETERMINATE.value, None
        try:
            told = self.operation_log.answer_poll(name)
        except (OSError, ValueError) as error:
            self._unreadable(error)
            return OperationStatus.INDETERMINATE.value, None
        if told.status is OperationStatus.ABSENT and not known:
            return OperationStatus.INDETERMINATE.value, None
        return told.status.value, told.answer

    def _unreadable(self, error: Exception) -> None:
        if not self.readiness_inputs.incomplete_reason:
            self._in_doubt(f"a record cannot be read any more: {error}")
            _log.error(
                "the record proves nothing any more",
                why=incomplete_detail(self.readiness_inputs.incomplete_reason),
            )
            self._touch()

    async def _order(self, number: int, what: str, who: str) -> MemberMessage:
        """An operator's word: it is answered once it is on disk, and so outlives a power loss."""
        ticket = 0
        lacking = (
            self.readiness_inputs.incomplete_reason
            or self._mute
            or (self.replica_repair and self.replica_repair.scheduler.incomplete_owners)
        )
        if what == "accept" and lacking and self.disk.is_open:
            _log.warning(
                "operators accept the loss",
                who=who,
                doubt=incomplete_detail(self.readiness_inputs.incomplete_reason),
            )
            self._mute = False
            ticket = self._doubt_over()
        elif what in ("hold", "lift"):
            serial, self.readiness_inputs.votes_held_by = self.vote_holds.issue(who if what == "hold" else "")
            ticket = self._note(VoteHold(who, what == "hold", serial))
            _log.warning("votes", order=what, who=who)
        self._touch()
        kept = not ticket or (self.disk.is_open and await self.disk.wait_durable(ticket))
        if what in ("hold", "lift") and self.replication:
            for line in self._lines.values():
                line.send_heartbeat_now()
            with anyio.move_on_after(VOTE_HOLD_WAIT):
                while not self.vote_holds.is_replicated:
                    await anyio.sleep(self.options.turns.every / 4)
        return OperatorReport(
            number,
            {**self.status(), "kept": kept, "copied": self.vote_holds.is_replicated or not self.replication},
        )

    async def _put(self, number: int, who: str, key: str, value: str) -> MemberMessage:
        """Set a key of the register, from the version that it has here."""
        assert self.consensus
        _log.warning("register", key=key, value=value, who=who)
        version = self.consensus.register.get(key).version
        good = await self.consensus.compare_and_set(key, value, version, self._clock())
        return OperatorReport(number, {**self.status(), "put": good})

    def status(self) -> dict[str, Any]:
        """What operators see."""
        journal, waiting = self.journal, self.readiness.first_unready()
        return {
            "name": self._name,
            "life": self.membership.incarnation,
            "record": journal.condition.value,
            "why": self.readiness_inputs.unusable_reason or journal.failure_reason,
            "doubt": incomplete_detail(self.readiness_inputs.incomplete_reason),
            "waits_for": waiting.stage.value if waiting else "",
            "because": waiting.reason if waiting else "",
            "gates": {
                gate.value: [point.status.value, point.reason, round(point.since, 3)]
                for gate, point in self.readiness.conditions.items()
            },
            "members": {
                name: [
                    peer.state.value,
                    peer.incarnation.number,
                    peer.readiness_stage,
                    peer.incomplete_reason,
                    round(peer.clock_offset, 3),
                ]
                for name, peer in self.membership.peers.items()
            },
            "bytes": journal.total_bytes,
            "segments": journal.segment_count,
            "operations": len(journal.index),
            "copies": len(self.replica_store.open_tickets),
            "holders": list(self.replication.ensemble) if self.replication else [],
            "open": len(self.operation_log.in_progress),
            "lost": len(self.operation_log.lost),
            "held": self.readiness_inputs.votes_held_by,
            "commits": self.disk.commit_count,
            "mute": self._mute,
            "few_copies": self.replication is not None and self.replication.is_degraded,
            "to_compare": self.replica_repair.scheduler.pending_count if self.replica_repair else 0,
            **self._agreed(),
        }

    def _agreed(self) -> dict[str, Any]:
        if self.consensus is None or self.consensus.raft is None:
            return {}
        raft, register = self.consensus.raft, self.consensus.register
        return {
            "leader": raft.leader,
            "term": raft.hard_state.term,
            "register": {key: [cell.value, cell.version] for key, cell in register.items()},
        }

    # ---- what the agent tells ----------------------------------------------------------------------

    def endpoints_changed(self, listing: Listing, cached: bool = False) -> None:
        """A list, or changes of it."""
        self.readiness_inputs.endpoint_list_known = self.readiness_inputs.endpoint_list_known or bool(
            listing.instances
        )
        if cached:
            self._touch()
            return
        self.readiness_inputs.endpoint_list_received = True
        if listing.reset:
            self._entries.clear()
        for entry in listing.instances:
            self._entries.pop(entry.instance_id, None)
            if entry.lifecycle != "terminated":
                self._entries[entry.instance_id] = entry
        self._generation, self._list_dirty = listing.generation, True
        self._touch()

    def _note_batches(self) -> None:
        """Write down how far the others' records have come, so that an older copy of one is noticed."""
        for name, peer in self.membership.peers.items():
            if (
                peer.recorded_incarnation.durable_batch,
                peer.recorded_incarnation.token,
            ) != self._noted_batches.get(name) and peer.recorded_incarnation.number:
                self._noted_batches[name] = (
                    peer.recorded_incarnation.durable_batch,
                    peer.recorded_incarnation.token,
                )
                self._note(
                    PeerIncarnation(
                        name,
                        peer.recorded_incarnation.number,
                        peer.recorded_incarnation.durable_batch,
                        peer.recorded_incarnation.token,
                        peer.stale_reason,
                    )
                )

    def _note_list(self) -> None:
        """Write the list down, if it has changed: once a turn at most."""
        if self._list_dirty and not self.journal.failure_reason:
            self._list_dirty = False
            self._list = CachedEndpointList(self._wall(), msgspec.to_builtins(self._whole()))
            self._note(self._list)

    def _whole(self) -> Listing:
        return Listing(self._generation, True, list(self._entries.values()))

    def rollout_changed(self, event: api.RolloutState) -> None:
        """News of builds: handed on once votes may be cast, and exposure cannot be spent already."""
        if event.phase in (api.RolloutPhase.ROLLING_BACK, api.RolloutPhase.ROLLED_BACK):
            self._went_back(event.build)
        self._news = event
        if event.reply is not api.VoteReply.NONE or self.readiness.is_ready(ReadinessStage.VOTES):
            self._front.post(event)

    def set_initial_rollout(self, news: api.RolloutState) -> None:
        """What the configuration says of builds, which may be older than what is on disk."""
        if self._news is None and news.build > self._gone_back:
            self._news = news

    def close(self) -> None:
        """Let the folder go."""
        self.disk.directory.close()
