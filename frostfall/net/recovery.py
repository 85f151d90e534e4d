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
from frostfall.limits.stall_adjusted_clock import StallAdjustedClock
from frostfall.membership.member_list import HeartbeatVerdict, Incarnation, MemberList, MemberState
from frostfall.net import log_writer
from frostfall.net.anti_entropy import AntiEntropyDriver
from frostfall.net.consensus import ConsensusDriver
from frostfall.net.log_writer import LogWriter
from frostfall.net.member_transport import CONNECTIONS_PER_MEMBER, MemberConnection, MemberListener, Response
from frostfall.net.operations import Front, Operations
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
from frostfall.recovery import facts as written
from frostfall.recovery.facts import Doubt, Fact, GoneBack, Hold, Keeps, KnownList, Seen
from frostfall.recovery.gates import Facts, Gate, Gates, Stand
from frostfall.recovery.ledger import Ledger, Word
from frostfall.recovery.rules import Group
from frostfall.recovery.spread import Spread
from frostfall.replication.anti_entropy import AntiEntropyScheduler
from frostfall.replication.operator_holds import NO_HOLD, OperatorHolds
from frostfall.replication.replica_store import ReplicaStore, is_replica_name
from frostfall.storage import segment_codec
from frostfall.storage.segment_codec import Record, RecordState
from frostfall.storage.write_ahead_log import LogCondition, WriteAheadLog

AT_EASE = 100.0  # refusals a second for which the shortest time to come again will do
CLOCK_APART = 5.0  # seconds between two clocks that are worth a line
NOTE_EVERY = 25  # turns after which it is written down how far the others' records have come
WORD_WAIT = 1.0  # seconds that an operator is kept waiting for other members to have a word
PAUSE_MOST = 3  # turns: a longer gap has been slept through

_log = log.get("recovery")


@dataclass(frozen=True, slots=True)
class Parts:
    """What a record and a link are made of; models put others in their place."""

    folder: Callable[[Path], log_writer.SegmentDirectory] = lambda path: log_writer.segment_directory(path)
    line: Callable[..., MemberConnection] = MemberConnection
    listener: Callable[..., MemberListener] = MemberListener
    blocking: Callable[..., Awaitable[Any]] = run_sync
    wall: Callable[[], float] = lambda: time.time()
    steady: Callable[[], float] = time.monotonic


class Recovery:
    """One agent's record, group and gates."""

    def __init__(
        self, config: Config, front: Front, clock: Callable[[], int], parts: Parts | None = None
    ) -> None:
        """Prepare; nothing is read before `run`. `clock` gives microseconds, as deadlines count them."""
        rules = config.options.group
        assert isinstance(rules, Group)
        self.rules, self._front, self._clock, self._name = rules, front, clock, config.name
        self.journal = WriteAheadLog(config.name, rules.store, self._facts)
        self._parts = parts = parts or Parts()
        self._wall, self._steady = parts.wall, parts.steady
        self.disk = LogWriter(parts.folder(Path(rules.data)), self.journal, parts.steady, parts.blocking)
        self.ledger = Ledger(
            self.journal,
            self.disk.find_record,
            rules.retries_marked,
            rules.store.answer_bytes,
            rules.copies is not None,
        )
        self.holding = ReplicaStore(self.journal, self.disk.find_record)
        self.members = MemberList(config.name, tuple(member.name for member in rules.here), rules.turns)
        self.gates = Gates(len(rules.here), rules.retries_marked, rules.waits)
        self.facts = Facts()
        self._lines: dict[str, MemberConnection] = {}
        zones = {member.name: member.zone for member in rules.members}
        gone = frozenset(member.name for member in rules.members if member.gone)
        repair = AntiEntropyScheduler(config.name, zones, rules.copies, gone) if rules.copies else None
        self.copies = (
            ReplicationDriver(config.name, rules.copies, repair, self.members, self.disk, self.holding)
            if rules.copies and repair
            else None
        )
        self.repairing = (
            AntiEntropyDriver(
                repair,
                self.disk,
                self.ledger,
                self.holding,
                self.members,
                self._lines,
                parts.steady,
                self._whole_for,
                self._restored,
                self._rotten,
            )
            if repair
            else None
        )
        self._keeps = Keeps([], [])
        self.words = OperatorHolds(frozenset(self.members.peers))
        names = tuple(sorted(member.name for member in rules.here))
        self.agreement = (
            ConsensusDriver(config.name, names, self.disk, self._note, self._lines, config.seed)
            if rules.agreement
            else None
        )
        self._last = Incarnation()  # one's own last life, as the folder says
        self._gone_back = 0
        self._list: KnownList | None = None
        self._news: api.RolloutState | None = None
        self._changed = anyio.Event()
        self._began = self._steady()
        effects = {kind.name: kind.idempotency for kind in config.settings.classes}
        self.operations = Operations(
            config.name,
            rules,
            effects,
            front,
            clock,
            parts.steady,
            Spread(AT_EASE, config.seed ^ 0x5EED),
            self.ledger,
            self.holding,
            self.disk,
            self.members,
            self.gates,
            self.facts,
            self._lines,
            self.copies,
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

    async def run(self, relist: Callable[[Listing], None]) -> None:
        """Recover, then keep the link and the gates; `relist` takes the list that was remembered."""
        self._relist, self._began = relist, self._steady()
        async with anyio.create_task_group() as group:
            self.operations.group = group
            if self.copies:
                self.copies.task_group, self.copies.lines = group, self._lines
            group.start_soon(self._judge_on)
            group.start_soon(self._listen)
            await self._recover()
            if self.disk.is_open:
                group.start_soon(self.disk.run)
                group.start_soon(self._live)
                for member in self.rules.here:
                    if member.name != self._name:
                        host, _, port = member.address.rpartition(":")
                        where = Address(host.strip("[]"), int(port))
                        line = self._parts.line(
                            member.name,
                            where,
                            self.rules.key,
                            self.rules.turns.every,
                            self._beat,
                            self._heard,
                            self._who,
                        )
                        self._lines[member.name] = line
                        group.start_soon(line.run)
                group.start_soon(self._turns)
                if self.repairing:
                    group.start_soon(self.repairing.run)
                if self.agreement and not (self.facts.doubt or self._mute):
                    group.start_soon(self.agreement.run)
                elif self.agreement:
                    _log.error("no part in agreement: this member may have voted otherwise before")

    async def _recover(self) -> None:
        try:
            await self.disk.open(self._recall)
        except OSError as error:
            self.facts.unusable = str(error)
        if not self.journal.condition.is_usable:
            self.facts.unusable = f"{self.journal.condition.value}: {self.journal.condition_reason}"
        if self.facts.unusable:
            self.ledger.doubt = self.facts.unusable
            _log.error("the record cannot be used: no unsafe work is taken", why=self.facts.unusable)
        else:
            try:
                self.facts.unsettled = self.ledger.settle_past(self._payload, self._open_copy)
            except (OSError, ValueError) as error:
                self.facts.unusable = self.ledger.doubt = f"an open operation cannot be read: {error}"
                self.disk.is_open = False
                _log.error("the record cannot be used: no unsafe work is taken", why=self.facts.unusable)
        self._last.durable_batch = self.journal.last_durable_batch
        if self.journal.condition is LogCondition.FRESH and not self.rules.new and not self.facts.unusable:
            # Danger: with all folders lost at once, nobody is left to tell a lost one from a first start.
            self._in_doubt("there was no record: a first start, or a lost folder")
            self._note_doubt()
            _log.warning("no record: operators have to accept that, or to set `new` in the group's section")
        if self.repairing:
            fresh = self.journal.condition is LogCondition.FRESH
            self.repairing.scheduler.apply_assignment(
                self.repairing.scheduler.owners if fresh else self._keeps.owners, self._keeps.members
            )
        self.facts.read = True
        if self._list:
            try:
                kept = msgspec.convert(self._list.listing, Listing)
                if kept.generation >= self._remembered.generation:
                    self._remembered, self._generation = kept, max(self._generation, kept.generation)
                    self._relist(self.near(kept))
                _log.info("remembered list", age_s=round(self._wall() - self._list.at, 1))
            except msgspec.ValidationError as error:
                _log.warning("remembered list cannot be read", why=str(error))
        _log.info(
            "record read",
            condition=self.journal.condition.value,
            segments=self.journal.segment_count,
            torn_bytes=self.journal.torn_bytes,
            operations=len(self.journal.index),
            lost=len(self.ledger.lost),
            last_life=self._last.number,
        )
        self._touch()

    def _open_copy(self, name: str) -> bool:
        """Whether this open operation is another member's; it stays open here until its owner ends it."""
        if is_replica_name(name):
            self.holding.open_tickets[name] = 0
        return is_replica_name(name)

    def _payload(self, segment: int, offset: int) -> bytes:
        raw = self.disk.directory.read_range(segment, offset, 1024)
        record = segment_codec.decode_record(raw, self.journal.format_version_of(segment))
        if record is None:
            raise ValueError(f"segment {segment}, byte {offset}")
        return record[2]

    def _recall(self, data: bytes) -> None:
        match written.decode(data):
            case written.Life(incarnation, token):
                self._last.number, self._last.token = incarnation, token
            case Seen(member, incarnation, batch, token, outdated):
                self.members.restore(member, Incarnation(incarnation, batch, token), outdated)
            case Doubt(why, mute):
                self._in_doubt(why)
                self._doubt_on_disk, self._mute = True, mute
            case GoneBack(build):
                self._gone_back = max(self._gone_back, build)
            case Hold(who, on, serial, member):
                self.words.restore(member, (serial, who if on else ""))
                self.facts.held = self.words.own_hold[1]
            case Keeps() as keeps:
                self._keeps = keeps
            case written.Voted() | written.Ruled() | written.Agreed() as fact:
                if self.agreement:
                    self.agreement.restore(fact)
            case KnownList() as known:
                self._list = known

    def _facts(self) -> Iterable[Record]:
        own = (
            (self.members.incarnation, self.members.incarnation_token)
            if self.members.incarnation
            else (self._last.number, self._last.token)
        )
        kept: list[Fact] = [written.Life(*own)] if own[0] else []
        kept += [
            Seen(
                name,
                peer.recorded_incarnation.number,
                peer.recorded_incarnation.durable_batch,
                peer.recorded_incarnation.token,
                peer.stale_reason,
            )
            for name, peer in self.members.peers.items()
            if peer.recorded_incarnation.number
        ]
        if self.facts.doubt or self._mute:
            kept.append(Doubt(self.facts.doubt, self._mute))
        if self._gone_back:
            kept.append(GoneBack(self._gone_back))
        kept += [Hold(who, bool(who), serial, member) for member, (serial, who) in self.words.items()]
        if self._list:
            kept.append(self._list)
        if self.repairing:
            kept.append(self.repairing.assignment())
        if self.agreement:
            kept += self.agreement.stored_state()
        return [
            *(Record(RecordState.METADATA, 0, written.encode(fact)) for fact in kept),
            *self.ledger.carried(),
            *self.holding.open_records(),
        ]

    def _note(self, fact: Fact) -> int:
        ticket = self.journal.append(Record(RecordState.METADATA, 0, written.encode(fact)))
        self.disk.wake()
        return ticket

    async def _live(self) -> None:
        """Begin a life: its number is on disk before anybody is told."""
        number = self._last.number
        while True:
            number, token = max(number, self.members.incarnation_floor) + 1, uuid4().hex[:16]
            if not await self.disk.wait_durable(self._note(written.Life(number, token))):
                return
            self.members.incarnation, self.members.incarnation_token = number, token
            self.facts.identity, self.facts.unsettled = True, 0
            self._touch()
            for line in self._lines.values():
                line.send_heartbeat_now()
            while self.members.incarnation_floor < number:
                await self._changed.wait()
            self.facts.identity = False

    async def _listen(self) -> None:
        own = next(member for member in self.rules.members if member.name == self._name)
        host, _, port = (self.rules.listen or own.address).rpartition(":")
        most = CONNECTIONS_PER_MEMBER * len(self.rules.here) + 4
        listener = self._parts.listener(self.rules.key, most, self._answer)
        while True:
            try:
                await listener.run(Address(host.strip("[]"), int(port)))
            except OSError as error:
                _log.error("the group cannot be listened for", why=str(error))
            await anyio.sleep(1.0)

    async def _turns(self) -> None:
        every = self.rules.turns.every
        attention, turn = StallAdjustedClock(every, every * PAUSE_MOST), 0
        while True:
            attention.advance(self._steady())
            if not attention.stalled:
                for name, health in self.members.advance_period():
                    _log.warning("member", member=name, health=health.value)
            self._note_list()
            if (turn := turn + 1) % NOTE_EVERY == 0:
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
        facts, now = self.facts, self._steady() - self._began
        facts.fault, facts.full = self.journal.failure_reason, self.journal.is_full
        facts.acknowledging = self.members.acknowledgement_count
        here = set(self.members.alive)
        facts.unheard = tuple(name for name in self.members.peers if name not in here)
        facts.window_over = now >= self._window
        if self.copies:
            facts.holders = self.copies.holder_counts
            if self.copies.is_degraded != ("few" in self._noted):
                self._noted ^= {"few"}
                _log.warning("copies", fewer=self.copies.is_degraded, holders=facts.holders[0])
        facts.contested = self.members.contested_incarnation
        if self.members.superseded_by and not facts.replaced:
            facts.replaced = f"life {self.members.superseded_by} of this member has begun elsewhere"
            _log.error("replaced: this agent stops", why=facts.replaced)
            self._front.stop()
        doubting = [name for name, peer in self.members.peers.items() if peer.incomplete_reason]
        if bool(facts.doubt) + len(doubting) >= self.members.majority and "majority" not in self._noted:
            self._noted.add("majority")
            _log.error(
                "a majority has come back without its records",
                members=sorted([*doubting, *([self._name] if facts.doubt else [])]),
            )
        for gate in self.gates.judge(now, facts):
            point = self.gates.points[gate]
            _log.info("gate", gate=gate.value, stand=point.stand.value, why=point.why, after_s=round(now, 3))
            if gate is Gate.READS and point.stand is Stand.OPEN and not facts.list_told:
                self._relist(self._remembered)
            if gate is Gate.VOTES and point.stand is Stand.OPEN and self._news:
                self._front.post(self._news)

    # ---- the group ---------------------------------------------------------------------------------

    def _who(self) -> tuple[str, str]:
        return self._name, self.members.incarnation_token

    def _beat(self, member: str) -> Heartbeat | None:
        peer = self.members.peers.get(member)
        if not self.members.incarnation or not self.facts.identity or peer is None:
            return None
        kept, waiting = peer.recorded_incarnation, self.gates.waited_for()
        return Heartbeat(
            self._name,
            self.members.incarnation,
            self.journal.last_durable_batch,
            self.members.incarnation_token,
            self._wall(),
            waiting[0].value if waiting else "",
            self.facts.doubt if self._doubt_on_disk else "",
            (self._last.number, self._last.durable_batch, self._last.token),
            (kept.number, kept.durable_batch, kept.token),
            peer.state is MemberState.ALIVE,
            peer.latest_stale_reason or peer.stale_reason,
            rolled_back_build=self._gone_back,
            endpoint_list_generation=self._generation if self.facts.list_told else -1,
            operator_hold=self.words.own_hold,
            recorded_operator_hold=self.words.peer_holds.get(member, NO_HOLD),
        )

    def _heard(self, beat: Heartbeat) -> None:
        # Danger: held against a folder that has not been read yet, what others know of it looks like more.
        if beat.sender not in self.members.peers or not self.facts.read:
            return
        peer = self.members.peers[beat.sender]
        ahead, health, beyond = beat.wall_time - self._wall(), peer.state, self.members.incarnation_floor
        if abs(ahead) > CLOCK_APART and f"clock {beat.sender}" not in self._noted:
            self._noted.add(f"clock {beat.sender}")
            _log.warning("clocks differ", member=beat.sender, ahead_s=round(ahead, 1))
        life = Incarnation(beat.incarnation, beat.durable_batch, beat.incarnation_token)
        answer = self.members.receive_heartbeat(
            beat.sender,
            life,
            Incarnation(*beat.startup_incarnation),
            beat.readiness_stage,
            ahead,
            beat.incomplete_reason,
        )
        if peer.state is not health:
            _log.info("member", member=beat.sender, health=peer.state.value, life=beat.incarnation)
        self.members.receive_view_of_self(
            beat.sender, Incarnation(*beat.recorded_incarnation), beat.recorded_is_alive, beat.stale_reason
        )
        # Danger: a doubt goes to the disk before any life that others write down over what they knew.
        self._doubt()
        if answer is HeartbeatVerdict.NEW_INCARNATION and self.disk.is_open:
            remark = peer.latest_stale_reason
            ticket = self._note(Seen(beat.sender, life.number, life.durable_batch, life.token, remark))
            self.disk.when_durable(
                ticket, lambda good: self._wrote_down(beat.sender, life, remark) if good else None
            )
        elif answer is HeartbeatVerdict.ACCEPTED:
            # The batches of a life that is on disk go to the disk now and then.
            self.members.mark_recorded(beat.sender, life)
            # It has that on disk itself by now, or others have made its record whole meanwhile.
            if peer.stale_reason and (
                beat.incomplete_reason or beat.startup_incarnation[2] == beat.incarnation_token
            ):
                peer.stale_reason = ""
                self._note(Seen(beat.sender, life.number, life.durable_batch, life.token))
        self._heard_word(beat)
        self._went_back(beat.rolled_back_build)
        if (
            not self.facts.list_told
            and beat.endpoint_list_generation > self._generation
            and beat.sender in self._lines
        ):
            self._generation = beat.endpoint_list_generation  # a member has had a newer one from discovery
            self._lines[beat.sender].request_endpoint_list(self._list_of_others)
        if self.members.incarnation_floor > beyond:
            _log.warning("others knew later lives of this member", beyond=self.members.incarnation_floor)
        self._touch()

    def _heard_word(self, beat: Heartbeat) -> None:
        if not self.disk.is_open:
            return
        theirs, mine = self.words.merge_gossip(beat.sender, beat.operator_hold, beat.recorded_operator_hold)
        if mine:
            self.facts.held = mine[1]
            self._note(Hold(mine[1], bool(mine[1]), mine[0]))
            _log.warning("votes", order="as others know it", who=mine[1])
        if theirs:

            def noted(good: bool) -> None:
                if good:
                    self.words.restore(beat.sender, theirs)

            self.disk.when_durable(
                self._note(Hold(theirs[1], bool(theirs[1]), theirs[0], beat.sender)), noted
            )

    def _went_back(self, build: int) -> None:
        """A build was sent back: written down, whoever told of it."""
        if build > self._gone_back:
            self._gone_back = build
            if self.disk.is_open and not self.journal.failure_reason:
                self._note(GoneBack(build))

    def _list_of_others(self, listing: Any) -> None:
        """A hint like one's own remembered list, and a newer one."""
        if listing is None or self.facts.list_told:
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
        self._relist(self.near(self._remembered))

    def near(self, listing: Listing) -> Listing:
        """Of a list that discovery has not confirmed, what is in the own zone; all while nothing is."""
        if self.gates.open(Gate.READS):
            return listing
        zone = [entry for entry in listing.instances if entry.zone == self._zone]
        return Listing(listing.generation, listing.reset, zone or listing.instances)

    def _doubt(self) -> None:
        """Write down that the record proves nothing, once it is known."""
        if not self.members.stale_reason or self.facts.doubt or not self.disk.is_open:
            return
        self._in_doubt(self.members.stale_reason)
        _log.error("the folder is lost, swapped or old: it proves nothing", why=self.facts.doubt)
        self._note_doubt()

    def _in_doubt(self, why: str) -> None:
        """What this record lacks proves nothing from now on; without a reason: it does again."""
        self.facts.doubt = self.ledger.doubt = why
        self._mute = self._mute or bool(why)
        if self.repairing and why:
            self.repairing.scheduler.mark_all_incomplete()
            self.repairing.scheduler.schedule(self._steady())
        elif self.repairing:
            self.repairing.scheduler.incomplete_owners.clear()

    def _whole_for(self, owner: str, sender: str, token: str) -> bool:
        """Whether the record of an owner is whole here, and a member's present life on disk."""
        return self._whole_of(owner) and self._knows(sender, token)

    def _whole_of(self, owner: str) -> bool:
        return self.repairing.scheduler.is_complete(owner) if self.repairing else not self.facts.doubt

    def _restored(self) -> None:
        """All that this record lacked has been taken over from enough others."""
        assert self.repairing
        _log.warning(
            "the record is whole by its copies",
            doubt=self.facts.doubt,
            owners=sorted(self.repairing.scheduler.incomplete_owners),
        )
        self._doubt_over()

    def _doubt_over(self) -> int:
        self.members.stale_reason = ""
        self._in_doubt("")
        self._last = Incarnation(
            self.members.incarnation, self.journal.last_durable_batch, self.members.incarnation_token
        )
        self._noted.discard("majority")
        self._touch()
        if self.repairing:
            self._note(self.repairing.assignment())
        return self._note_doubt()

    def _rotten(self, why: str) -> None:
        self._in_doubt(self.facts.doubt or why)
        if self.disk.is_open:
            self._note_doubt()
        self._touch()

    def _note_doubt(self) -> int:
        def noted(good: bool) -> None:
            self._doubt_on_disk = good

        self._doubt_on_disk = False
        ticket = self._note(Doubt(self.facts.doubt, self._mute))
        self.disk.when_durable(ticket, noted)
        return ticket

    def _wrote_down(self, name: str, life: Incarnation, outdated: str) -> None:
        self.members.mark_recorded(name, life, outdated)
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
                    self.members.incarnation_token,
                    self._lives(),
                )
            case ReplicateRequest() if self.copies and self.disk.is_open and self.facts.read:
                return self.copies.handle_write(message)
            case FencedRead(sender=sender, incarnation_token=token) if (
                self.copies and self.disk.is_open and self.facts.read
            ):
                return self.copies.handle_read(
                    message, lambda: self._whole_for(message.owner, sender, token), self._lives()
                )
            case DigestRequest() if self.repairing and self.disk.is_open and self.facts.read:
                return self.repairing.handle_compare(message)
            case ConsensusMessage() if self.agreement and not self.facts.doubt:
                self.agreement.handle_message(message)
            case OperatorCommand(number, "put", who, key, value) if self.agreement:
                return self._put(number, who, key, value)
            case EndpointListRequest(number):
                return EndpointListReply(
                    number, msgspec.to_builtins(self._whole()) if self.facts.list_told else None
                )
            case OperatorCommand(number, what, who):
                return self._order(number, what, who)
        return None

    def _knows(self, sender: str, token: str) -> bool:
        """Whether a member's present life is on disk here, and nobody's folder is in question."""
        peer = self.members.peers.get(sender)
        return peer is not None and peer.recorded_incarnation.token == token and self.members.no_stale_peers

    def _lives(self) -> dict[str, str]:
        return {name: each.recorded_incarnation.token for name, each in self.members.peers.items()}

    def _asked(self, name: str, known: bool) -> tuple[str, bytes | None]:
        if not self.facts.read or not self.facts.identity:
            return Word.UNSURE.value, None
        try:
            told = self.ledger.asked(name)
        except (OSError, ValueError) as error:
            self._unreadable(error)
            return Word.UNSURE.value, None
        if told.word is Word.NONE and not known:
            return Word.UNSURE.value, None
        return told.word.value, told.answer

    def _unreadable(self, error: Exception) -> None:
        if not self.facts.doubt:
            self._in_doubt(f"a record cannot be read any more: {error}")
            _log.error("the record proves nothing any more", why=self.facts.doubt)
            self._touch()

    async def _order(self, number: int, what: str, who: str) -> MemberMessage:
        """An operator's word: it is answered once it is on disk, and so outlives a power loss."""
        ticket = 0
        lacking = (
            self.facts.doubt or self._mute or (self.repairing and self.repairing.scheduler.incomplete_owners)
        )
        if what == "accept" and lacking and self.disk.is_open:
            _log.warning("operators accept the loss", who=who, doubt=self.facts.doubt)
            self._mute = False
            ticket = self._doubt_over()
        elif what in ("hold", "lift"):
            serial, self.facts.held = self.words.issue(who if what == "hold" else "")
            ticket = self._note(Hold(who, what == "hold", serial))
            _log.warning("votes", order=what, who=who)
        self._touch()
        kept = not ticket or (self.disk.is_open and await self.disk.wait_durable(ticket))
        if what in ("hold", "lift") and self.copies:
            for line in self._lines.values():
                line.send_heartbeat_now()
            with anyio.move_on_after(WORD_WAIT):
                while not self.words.is_replicated:
                    await anyio.sleep(self.rules.turns.every / 4)
        return OperatorReport(
            number, {**self.status(), "kept": kept, "copied": self.words.is_replicated or not self.copies}
        )

    async def _put(self, number: int, who: str, key: str, value: str) -> MemberMessage:
        """Set a key of the register, from the version that it has here."""
        assert self.agreement
        _log.warning("register", key=key, value=value, who=who)
        version = self.agreement.register.get(key).version
        good = await self.agreement.compare_and_set(key, value, version, self._clock())
        return OperatorReport(number, {**self.status(), "put": good})

    def status(self) -> dict[str, Any]:
        """What operators see."""
        journal, waiting = self.journal, self.gates.waited_for()
        return {
            "name": self._name,
            "life": self.members.incarnation,
            "record": journal.condition.value,
            "why": self.facts.unusable or journal.failure_reason,
            "doubt": self.facts.doubt,
            "waits_for": waiting[0].value if waiting else "",
            "because": waiting[1] if waiting else "",
            "gates": {
                gate.value: [point.stand.value, point.why, round(point.since, 3)]
                for gate, point in self.gates.points.items()
            },
            "members": {
                name: [
                    peer.state.value,
                    peer.incarnation.number,
                    peer.readiness_stage,
                    peer.incomplete_reason,
                    round(peer.clock_offset, 3),
                ]
                for name, peer in self.members.peers.items()
            },
            "bytes": journal.total_bytes,
            "segments": journal.segment_count,
            "operations": len(journal.index),
            "copies": len(self.holding.open_tickets),
            "holders": list(self.copies.ensemble) if self.copies else [],
            "open": len(self.ledger.live),
            "lost": len(self.ledger.lost),
            "held": self.facts.held,
            "commits": self.disk.commit_count,
            "mute": self._mute,
            "few_copies": self.copies is not None and self.copies.is_degraded,
            "to_compare": self.repairing.scheduler.pending_count if self.repairing else 0,
            **self._agreed(),
        }

    def _agreed(self) -> dict[str, Any]:
        if self.agreement is None or self.agreement.raft is None:
            return {}
        raft, register = self.agreement.raft, self.agreement.register
        return {
            "leader": raft.leader,
            "term": raft.hard_state.term,
            "register": {key: [cell.value, cell.version] for key, cell in register.items()},
        }

    # ---- what the agent tells ----------------------------------------------------------------------

    def listed(self, listing: Listing, remembered: bool = False) -> None:
        """A list, or changes of it."""
        self.facts.list_known = self.facts.list_known or bool(listing.instances)
        if remembered:
            self._touch()
            return
        self.facts.list_told = True
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
        for name, peer in self.members.peers.items():
            if (
                peer.recorded_incarnation.durable_batch,
                peer.recorded_incarnation.token,
            ) != self._noted_batches.get(name) and peer.recorded_incarnation.number:
                self._noted_batches[name] = (
                    peer.recorded_incarnation.durable_batch,
                    peer.recorded_incarnation.token,
                )
                self._note(
                    Seen(
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
            self._list = KnownList(self._wall(), msgspec.to_builtins(self._whole()))
            self._note(self._list)

    def _whole(self) -> Listing:
        return Listing(self._generation, True, list(self._entries.values()))

    def news(self, event: api.RolloutState) -> None:
        """News of builds: handed on once votes may be cast, and exposure cannot be spent already."""
        if event.phase in (api.RolloutPhase.ROLLING_BACK, api.RolloutPhase.ROLLED_BACK):
            self._went_back(event.build)
        self._news = event
        if event.reply is not api.VoteReply.NONE or self.gates.open(Gate.VOTES):
            self._front.post(event)

    def at_start(self, news: api.RolloutState) -> None:
        """What the configuration says of builds, which may be older than what is on disk."""
        if self._news is None and news.build > self._gone_back:
            self._news = news

    def close(self) -> None:
        """Let the folder go."""
        self.disk.directory.close()
