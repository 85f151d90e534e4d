"""Recovery in a running agent: its store, its group and its gates, between the agent and what they decide."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any, Protocol
from uuid import uuid4

import anyio
import msgspec
from anyio.abc import TaskGroup
from anyio.to_thread import run_sync

from frostfall import interface as api
from frostfall import log
from frostfall.config import Address, Config
from frostfall.copies.holding import Holding, Item, is_copy
from frostfall.limits.attention import Attention
from frostfall.membership.members import Answer, Health, Life, Members
from frostfall.net import disk
from frostfall.net.agreement import Agreement
from frostfall.net.copies import Copies
from frostfall.net.disk import Disk
from frostfall.net.group import CALLERS_PART, Line, Listener, Reply, Told
from frostfall.protocol.ending import Ending, Final
from frostfall.protocol.group import Agree, Ask, Beat, Copy, Have, Message, Order, Read, Report, Tell, Want
from frostfall.protocol.listing import Listing
from frostfall.protocol.pg import READY
from frostfall.protocol.pg_client import Row
from frostfall.protocol.pg_server import failed, refused
from frostfall.protocol.statement import Statement
from frostfall.recovery import facts as written
from frostfall.recovery import ledger as operations
from frostfall.recovery.facts import Doubt, Fact, GoneBack, Hold, KnownList, Seen
from frostfall.recovery.gates import Facts, Gate, Gates, Stand
from frostfall.recovery.ledger import Ledger, Operation, Way, Word
from frostfall.recovery.rules import Group
from frostfall.recovery.spread import Spread
from frostfall.storage import frames
from frostfall.storage.frames import Record, State
from frostfall.storage.journal import Condition, Journal

EARLY = 10_000  # microseconds before its deadline at which a try that waits is given up
POLL = 0.05  # seconds between two questions about an operation that is under way elsewhere
AT_EASE = 100.0  # refusals a second for which the shortest time to come again will do
CLOCK_APART = 5.0  # seconds between two clocks that are worth a line
NOTE_EVERY = 25  # turns after which it is written down how far the others' records have come
PAUSE_MOST = 3  # turns: a longer gap has been slept through

_log = log.get("recovery")


class Waiting(Protocol):
    """A client's connection, as far as it matters here."""

    request: str | None

    def answer(self, data: bytes) -> None:
        """Give the final answer."""


class Front(Protocol):
    """What is needed of the agent."""

    def post(self, event: api.Event) -> None:
        """Hand an event to the decision module."""

    def conclude(self, request: str, answer: bytes, end: Final) -> None:
        """Give a request its final answer, whatever the module has under way for it."""

    def stop(self) -> None:
        """Stop in order."""


@dataclass(frozen=True, slots=True)
class Parts:
    """What a record and a link are made of; models put others in their place."""

    folder: Callable[[Path], disk.Folder] = lambda path: disk.folder(path)
    line: Callable[..., Line] = Line
    listener: Callable[..., Listener] = Listener
    blocking: Callable[..., Awaitable[Any]] = run_sync
    wall: Callable[[], float] = lambda: time.time()
    steady: Callable[[], float] = time.monotonic


class _Try:
    """A client's try that waits for the end of an operation."""

    __slots__ = ("client", "request")

    def __init__(self, client: Waiting, request: str) -> None:
        self.client, self.request = client, request

    def tell(self, answer: bytes) -> None:
        """Answer, if the client still waits for this."""
        if self.client.request == self.request:
            self.client.answer(answer)


def _ended(words: dict[str, Told]) -> operations.Told | None:
    """The word of a member that knows how an operation ended, one with an answer before others."""
    known = [operations.Told(Word(told.word), told.answer) for told in words.values()
             if told.word in (Word.SERVED.value, Word.FAILED.value)]
    return max(known, key=lambda told: told.word is Word.SERVED, default=None)


class Recovery:
    """One agent's record, group and gates."""

    def __init__(self, config: Config, front: Front, clock: Callable[[], int],
                 parts: Parts | None = None) -> None:
        """Prepare; nothing is read before `run`. `clock` gives microseconds, as deadlines count them."""
        rules = config.options.group
        assert isinstance(rules, Group)
        self.rules, self._front, self._clock, self._name = rules, front, clock, config.name
        self._effects = {kind.name: kind.effect for kind in config.settings.classes}
        self._spread = Spread(AT_EASE, config.seed ^ 0x5EED)
        self.journal = Journal(config.name, rules.store, self._facts)
        self._parts = parts = parts or Parts()
        self._wall, self._steady = parts.wall, parts.steady
        self.disk = Disk(parts.folder(Path(rules.data)), self.journal, parts.steady, parts.blocking)
        self.ledger = Ledger(self.journal, self.disk.find, rules.retries_marked, rules.store.answer_bytes,
                             rules.copies is not None)
        self.holding = Holding(self.journal, self.disk.find)
        self.members = Members(config.name, tuple(member.name for member in rules.members), rules.turns)
        self.gates = Gates(len(rules.members), rules.retries_marked, rules.waits)
        self.facts = Facts()
        self._lines: dict[str, Line] = {}
        zones = {member.name: member.zone for member in rules.members}
        self.copies = Copies(config.name, rules.copies, zones, self.members, self.disk,
                             self.holding) if rules.copies else None
        names = tuple(sorted(member.name for member in rules.members))
        self.agreement = Agreement(config.name, names, self.disk, self._note, self._lines,
                                   config.seed) if rules.agreement else None
        self._last = Life()  # one's own last life, as the folder says
        self._gone_back = 0
        self._list: KnownList | None = None
        self._news: api.RolloutNews | None = None
        self._operations: dict[str, Operation] = {}  # by request
        self._group: TaskGroup | None = None
        self._changed = anyio.Event()
        self._began = self._steady()
        window = config.settings.rollout.window if config.settings.rollout else 0
        self._window = window / 1e6
        self._relist: Callable[[Listing], None] = lambda listing: None
        self._remembered = config.known  # the newest list that discovery has not confirmed
        self._zone = config.settings.zone
        self._entries: dict[str, Any] = {}  # the list as it is, by instance
        self._generation, self._list_dirty = 0, False
        self._noted: set[str] = set()
        self._doubt_on_disk = False
        self._noted_batches: dict[str, tuple[int, str]] = {}  # by member

    # ---- the start, and what goes on beside requests -----------------------------------------------

    async def run(self, relist: Callable[[Listing], None]) -> None:
        """Recover, then keep the link and the gates; `relist` takes the list that was remembered."""
        self._relist, self._began = relist, self._steady()
        async with anyio.create_task_group() as group:
            self._group = group
            if self.copies:
                self.copies.group, self.copies.lines = group, self._lines
            group.start_soon(self._judge_on)
            group.start_soon(self._listen)
            await self._recover()
            if self.disk.opened:
                group.start_soon(self.disk.run)
                group.start_soon(self._live)
                for member in self.rules.members:
                    if member.name != self._name:
                        host, _, port = member.address.rpartition(":")
                        where = Address(host.strip("[]"), int(port))
                        line = self._parts.line(member.name, where, self.rules.key, self.rules.turns.every,
                                                self._beat, self._heard, self._who)
                        self._lines[member.name] = line
                        group.start_soon(line.run)
                group.start_soon(self._turns)
                if self.agreement and not self.facts.doubt:
                    group.start_soon(self.agreement.run)
                elif self.agreement:
                    _log.error("no part in agreement: this member may have voted otherwise before")

    async def _recover(self) -> None:
        try:
            await self.disk.open(self._recall)
        except OSError as error:
            self.facts.unusable = str(error)
        if not self.journal.condition.usable:
            self.facts.unusable = f"{self.journal.condition.value}: {self.journal.why}"
        if self.facts.unusable:
            self.ledger.doubt = self.facts.unusable
            _log.error("the record cannot be used: no unsafe work is taken", why=self.facts.unusable)
        else:
            try:
                self.facts.unsettled = self.ledger.settle_past(self._payload, self._open_copy)
            except (OSError, ValueError) as error:
                self.facts.unusable = self.ledger.doubt = f"an open operation cannot be read: {error}"
                self.disk.opened = False
                _log.error("the record cannot be used: no unsafe work is taken", why=self.facts.unusable)
        self._last.batch = self.journal.on_disk
        if self.journal.condition is Condition.FRESH and not self.rules.new and not self.facts.unusable:
            # Danger: with all folders lost at once, nobody is left to tell a lost one from a first start.
            self.facts.doubt = self.ledger.doubt = "there was no record: a first start, or a lost folder"
            self._note_doubt()
            _log.warning("no record: operators have to accept that, or to set `new` in the group's section")
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
        _log.info("record read", condition=self.journal.condition.value, segments=self.journal.segments,
                  torn_bytes=self.journal.torn, operations=len(self.journal.index),
                  lost=len(self.ledger.lost), last_life=self._last.incarnation)
        self._touch()

    def _open_copy(self, name: str) -> bool:
        """Whether this open operation is another member's; it stays open here until its owner ends it."""
        if is_copy(name):
            self.holding.open[name] = 0
        return is_copy(name)

    def _payload(self, segment: int, offset: int) -> bytes:
        raw = self.disk.folder.part(segment, offset, 1024)
        record = frames.record_at(raw, self.journal.version_of(segment))
        if record is None:
            raise ValueError(f"segment {segment}, byte {offset}")
        return record[2]

    def _recall(self, data: bytes) -> None:
        match written.decode(data):
            case written.Life(incarnation, token):
                self._last.incarnation, self._last.token = incarnation, token
            case Seen(member, incarnation, batch, token, outdated):
                self.members.recall(member, Life(incarnation, batch, token), outdated)
            case Doubt(why):
                self.ledger.doubt = self.facts.doubt = why
                self._doubt_on_disk = True
            case GoneBack(build):
                self._gone_back = max(self._gone_back, build)
            case Hold(who, on):
                self.facts.held = who if on else ""
            case written.Voted() | written.Ruled() | written.Agreed() as fact:
                if self.agreement:
                    self.agreement.recall(fact)
            case KnownList() as known:
                self._list = known

    def _facts(self) -> Iterable[Record]:
        own = (self.members.incarnation, self.members.token) if self.members.incarnation else (
            self._last.incarnation, self._last.token)
        kept: list[Fact] = [written.Life(*own)] if own[0] else []
        kept += [Seen(name, peer.kept.incarnation, peer.kept.batch, peer.kept.token, peer.outdated)
                 for name, peer in self.members.peers.items() if peer.kept.incarnation]
        if self.facts.doubt:
            kept.append(Doubt(self.facts.doubt))
        if self._gone_back:
            kept.append(GoneBack(self._gone_back))
        if self.facts.held:
            kept.append(Hold(self.facts.held, True))
        if self._list:
            kept.append(self._list)
        if self.agreement:
            kept += self.agreement.facts()
        return [*(Record(State.FACT, 0, written.encode(fact)) for fact in kept), *self.ledger.carried(),
                *self.holding.carried()]

    def _note(self, fact: Fact) -> int:
        ticket = self.journal.append(Record(State.FACT, 0, written.encode(fact)))
        self.disk.poke()
        return ticket

    async def _live(self) -> None:
        """Begin a life: its number is on disk before anybody is told."""
        number = self._last.incarnation
        while True:
            number, token = max(number, self.members.must_exceed) + 1, uuid4().hex[:16]
            if not await self.disk.durable(self._note(written.Life(number, token))):
                return
            self.members.incarnation, self.members.token = number, token
            self.facts.identity, self.facts.unsettled = True, 0
            self._touch()
            for line in self._lines.values():
                line.poke()
            while self.members.must_exceed < number:
                await self._changed.wait()
            self.facts.identity = False

    async def _listen(self) -> None:
        own = next(member for member in self.rules.members if member.name == self._name)
        host, _, port = (self.rules.listen or own.address).rpartition(":")
        most = CALLERS_PART * len(self.rules.members) + 4
        listener = self._parts.listener(self.rules.key, most, self._answer)
        while True:
            try:
                await listener.run(Address(host.strip("[]"), int(port)))
            except OSError as error:
                _log.error("the group cannot be listened for", why=str(error))
            await anyio.sleep(1.0)

    async def _turns(self) -> None:
        every = self.rules.turns.every
        attention, turn = Attention(every, every * PAUSE_MOST), 0
        while True:
            attention.turn(self._steady())
            if not attention.paused:
                for name, health in self.members.turn():
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
        facts.fault, facts.full = self.journal.fault, self.journal.full
        facts.acknowledging = self.members.acknowledging
        here = set(self.members.here)
        facts.unheard = tuple(name for name in self.members.peers if name not in here)
        facts.window_over = now >= self._window
        if self.copies:
            facts.holders = self.copies.heard
        facts.contested = self.members.contested
        if self.members.replaced_by and not facts.replaced:
            facts.replaced = f"life {self.members.replaced_by} of this member has begun elsewhere"
            _log.error("replaced: this agent stops", why=facts.replaced)
            self._front.stop()
        doubting = [name for name, peer in self.members.peers.items() if peer.doubt]
        if bool(facts.doubt) + len(doubting) >= self.members.majority and "majority" not in self._noted:
            self._noted.add("majority")
            _log.error("a majority has come back without its records", members=sorted(
                [*doubting, *([self._name] if facts.doubt else [])]))
        for gate in self.gates.judge(now, facts):
            point = self.gates.points[gate]
            _log.info("gate", gate=gate.value, stand=point.stand.value, why=point.why, after_s=round(now, 3))
            if gate is Gate.READS and point.stand is Stand.OPEN and not facts.list_told:
                self._relist(self._remembered)
            if gate is Gate.VOTES and point.stand is Stand.OPEN and self._news:
                self._front.post(self._news)

    # ---- the group ---------------------------------------------------------------------------------

    def _who(self) -> tuple[str, str]:
        return self._name, self.members.token

    def _beat(self, member: str) -> Beat | None:
        peer = self.members.peers.get(member)
        if not self.members.incarnation or not self.facts.identity or peer is None:
            return None
        kept, waiting = peer.kept, self.gates.waited_for()
        return Beat(self._name, self.members.incarnation, self.journal.on_disk, self.members.token,
                    self._wall(), waiting[0].value if waiting else "",
                    self.facts.doubt if self._doubt_on_disk else "",
                    (self._last.incarnation, self._last.batch, self._last.token),
                    (kept.incarnation, kept.batch, kept.token), peer.health is Health.HERE,
                    peer.remark or peer.outdated, gone_back=self._gone_back,
                    list=self._generation if self.facts.list_told else -1)

    def _heard(self, beat: Beat) -> None:
        # Danger: held against a folder that has not been read yet, what others know of it looks like more.
        if beat.name not in self.members.peers or not self.facts.read:
            return
        peer = self.members.peers[beat.name]
        ahead, health, beyond = beat.wall - self._wall(), peer.health, self.members.must_exceed
        if abs(ahead) > CLOCK_APART and f"clock {beat.name}" not in self._noted:
            self._noted.add(f"clock {beat.name}")
            _log.warning("clocks differ", member=beat.name, ahead_s=round(ahead, 1))
        life = Life(beat.incarnation, beat.batch, beat.token)
        answer = self.members.heard(beat.name, life, Life(*beat.last), beat.stage, ahead, beat.doubt)
        if peer.health is not health:
            _log.info("member", member=beat.name, health=peer.health.value, life=beat.incarnation)
        self.members.told_of_me(beat.name, Life(*beat.kept), beat.live, beat.outdated)
        # Danger: a doubt goes to the disk before any life that others write down over what they knew.
        self._doubt()
        if answer is Answer.NEW_LIFE and self.disk.opened:
            remark = peer.remark
            ticket = self._note(Seen(beat.name, life.incarnation, life.batch, life.token, remark))
            self.disk.when(ticket, lambda good: self._wrote_down(beat.name, life, remark) if good else None)
        elif answer is Answer.GOOD:
            # The batches of a life that is on disk go to the disk now and then.
            self.members.wrote_down(beat.name, life)
            if beat.doubt and peer.outdated:  # it has that on disk itself by now
                peer.outdated = ""
                self._note(Seen(beat.name, life.incarnation, life.batch, life.token))
        self._gone_back = max(self._gone_back, beat.gone_back)
        if not self.facts.list_told and beat.list > self._generation and beat.name in self._lines:
            self._generation = beat.list  # a member has had a newer one from discovery
            self._lines[beat.name].want_list(self._list_of_others)
        if self.members.must_exceed > beyond:
            _log.warning("others knew later lives of this member", beyond=self.members.must_exceed)
        self._touch()

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
        if not self.members.outdated or self.facts.doubt or not self.disk.opened:
            return
        self.facts.doubt = self.ledger.doubt = self.members.outdated
        _log.error("the folder is lost, swapped or old: it proves nothing", why=self.facts.doubt)
        self._note_doubt()

    def _note_doubt(self) -> None:
        def noted(good: bool) -> None:
            self._doubt_on_disk = good

        self._doubt_on_disk = False
        self.disk.when(self._note(Doubt(self.facts.doubt)), noted)

    def _wrote_down(self, name: str, life: Life, outdated: str) -> None:
        self.members.wrote_down(name, life, outdated)
        if line := self._lines.get(name):
            line.poke()
        self._touch()

    def _answer(self, message: Message) -> Reply:
        match message:
            case Beat():
                self._heard(message)
                return self._beat(message.name)
            case Ask(number, names, sender, token):
                known = self._knows(sender, token)
                return Tell(number, [self._asked(name, known) for name in names], self.members.token,
                            self._lives())
            case Copy() if self.copies and self.disk.opened and self.facts.read:
                return self.copies.keep(message)
            case Read(sender=sender, token=token) if self.copies and self.disk.opened and self.facts.read:
                return self.copies.told(message, lambda: not self.facts.doubt and self._knows(sender, token),
                                        self._lives())
            case Agree() if self.agreement and not self.facts.doubt:
                self.agreement.take(message)
            case Order(number, "put", who, key, value) if self.agreement:
                return self._put(number, who, key, value)
            case Want(number):
                return Have(number, msgspec.to_builtins(self._whole()) if self.facts.list_told else None)
            case Order(number, what, who):
                return Report(number, self._order(what, who))
        return None

    def _knows(self, sender: str, token: str) -> bool:
        """Whether a member's present life is on disk here, and nobody's folder is in question."""
        peer = self.members.peers.get(sender)
        return peer is not None and peer.kept.token == token and self.members.clear

    def _lives(self) -> dict[str, str]:
        return {name: each.kept.token for name, each in self.members.peers.items()}

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
            self.facts.doubt = self.ledger.doubt = f"a record cannot be read any more: {error}"
            _log.error("the record proves nothing any more", why=self.facts.doubt)
            self._touch()

    def _order(self, what: str, who: str) -> dict[str, Any]:
        if what == "accept" and self.facts.doubt and self.disk.opened:
            _log.warning("operators accept the loss", who=who, doubt=self.facts.doubt)
            self.members.outdated = self.facts.doubt = self.ledger.doubt = ""
            self._last = Life(self.members.incarnation, self.journal.on_disk, self.members.token)
            self._note_doubt()
            self._noted.discard("majority")
        elif what in ("hold", "lift"):
            self.facts.held = who if what == "hold" else ""
            self._note(Hold(who, what == "hold"))
            _log.warning("votes", order=what, who=who)
        self._touch()
        return self.status()

    async def _put(self, number: int, who: str, key: str, value: str) -> Message:
        """Set a key of the register, from the version that it has here."""
        assert self.agreement
        _log.warning("register", key=key, value=value, who=who)
        version = self.agreement.register.get(key).version
        good = await self.agreement.put(key, value, version, self._clock())
        return Report(number, {**self.status(), "put": good})

    def status(self) -> dict[str, Any]:
        """What operators see."""
        journal, waiting = self.journal, self.gates.waited_for()
        return {
            "name": self._name, "life": self.members.incarnation, "record": journal.condition.value,
            "why": self.facts.unusable or journal.fault, "doubt": self.facts.doubt,
            "waits_for": waiting[0].value if waiting else "", "because": waiting[1] if waiting else "",
            "gates": {gate.value: [point.stand.value, point.why, round(point.since, 3)]
                      for gate, point in self.gates.points.items()},
            "members": {name: [peer.health.value, peer.life.incarnation, peer.stage, peer.doubt,
                               round(peer.clock_ahead, 3)] for name, peer in self.members.peers.items()},
            "bytes": journal.bytes, "segments": journal.segments, "operations": len(journal.index),
            "copies": len(self.holding.open), "holders": list(self.copies.ensemble) if self.copies else [],
            "open": len(self.ledger.live), "lost": len(self.ledger.lost), "held": self.facts.held,
            "commits": self.disk.commits, **self._agreed(),
        }

    def _agreed(self) -> dict[str, Any]:
        if self.agreement is None or self.agreement.raft is None:
            return {}
        raft, register = self.agreement.raft, self.agreement.register
        return {"leader": raft.leader, "term": raft.hard.term,
                "register": {key: [cell.value, cell.version] for key, cell in register.items()}}

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
            if (peer.kept.batch, peer.kept.token) != self._noted_batches.get(name) and peer.kept.incarnation:
                self._noted_batches[name] = peer.kept.batch, peer.kept.token
                self._note(Seen(name, peer.kept.incarnation, peer.kept.batch, peer.kept.token, peer.outdated))

    def _note_list(self) -> None:
        """Write the list down, if it has changed: once a turn at most."""
        if self._list_dirty and not self.journal.fault:
            self._list_dirty = False
            self._list = KnownList(self._wall(), msgspec.to_builtins(self._whole()))
            self._note(self._list)

    def _whole(self) -> Listing:
        return Listing(self._generation, True, list(self._entries.values()))

    def news(self, event: api.RolloutNews) -> None:
        """News of builds: handed on once votes may be cast, and exposure cannot be spent already."""
        if event.phase in (api.Phase.GOING_BACK, api.Phase.WITHDRAWN) and event.build > self._gone_back:
            self._gone_back = event.build
            if self.disk.opened and not self.journal.fault:
                self._note(GoneBack(event.build))
        self._news = event
        if event.reply is not api.VoteReply.NONE or self.gates.open(Gate.VOTES):
            self._front.post(event)

    def at_start(self, news: api.RolloutNews) -> None:
        """What the configuration says of builds, which may be older than what is on disk."""
        if self._news is None and news.build > self._gone_back:
            self._news = news

    # ---- requests ----------------------------------------------------------------------------------

    def take(self, statement: Statement, client: Waiting, deadline: int) -> bool:
        """A client's query; whether all is done for it, or will be, without the decision module."""
        effect = self._effects[statement.class_name]
        if effect is not api.Effect.UNSAFE:
            gate = Gate.READS_NEAR if effect is api.Effect.SAFE else Gate.KEYED
            if self.gates.open(gate):
                return False
            client.answer(self._come_again())
            return True
        name = self._name_of(statement)
        again, sure = statement.is_retry or not self.rules.retries_marked, self.facts.read
        if len(name.encode()) > operations.NAME_MOST:
            client.answer(failed())
            return True
        try:
            way, told = self.ledger.admit(name, statement.is_retry) if sure else (Way.ASK, None)
        except (OSError, ValueError) as error:
            self._unreadable(error)
            client.answer(failed())
            return True
        if way is Way.TOLD and told and told.word is Word.FAILED and self._group and self._lines:
            # It may have run by this member's hand, and another one may know that it did.
            self._group.start_soon(self._look_up, name, _Try(client, statement.request), deadline)
        elif way is Way.TOLD and told:
            client.answer(self._told(told))
        elif way is Way.AGAIN:
            # Danger: it never ran here, but an earlier try may have run elsewhere.
            client.answer(failed() if again else self._come_again())
        elif way is Way.ASK and sure and self.copies and (copy := self._copy_of(name)):
            self.ledger.end(self.ledger.live[name], State.NEVER)
            client.answer(self._told(copy))
        elif way is Way.JOIN:
            self._join(name, client, statement.request, deadline)
        elif self.gates.open(Gate.UNSAFE):
            self._operations[statement.request] = operation = self.ledger.live[name]
            operation.until = deadline - EARLY
            return False
        else:
            if sure:
                self.ledger.end(self.ledger.live[name], State.NEVER)
            # Danger: an earlier try may have run, so that to call another one harmless could be a lie.
            if not again:
                client.answer(self._come_again())
            elif self._group and self._lines:
                self._group.start_soon(self._look_up, name, _Try(client, statement.request), deadline)
            else:
                client.answer(failed())
        return True

    def _copy_of(self, name: str) -> operations.Told | None:
        """The answer that another member gave, where its copy is here."""
        try:
            words = [self.holding.word(member, name) for member in self.members.peers]
        except (OSError, ValueError) as error:
            self._unreadable(error)
            return None
        return next((told for told in words if told.word is Word.SERVED and told.answer is not None), None)

    def knows(self, statement: Statement) -> bool:
        """Whether this asks again for an operation that is known here."""
        if self._effects[statement.class_name] is not api.Effect.UNSAFE or not self.facts.read:
            return False
        try:
            return self.ledger.known(self._name_of(statement)) is not None
        except (OSError, ValueError):
            return False

    def _name_of(self, statement: Statement) -> str:
        return (statement.field(self.rules.operation) if self.rules.operation else "") or statement.request

    def _told(self, told: operations.Told) -> bytes:
        return told.answer + READY if told.word is Word.SERVED and told.answer is not None else failed()

    def _come_again(self) -> bytes:
        return refused(int(self._spread.next(self._steady()) * 1000))

    def _join(self, name: str, client: Waiting, request: str, deadline: int) -> None:
        one, operation = _Try(client, request), self.ledger.live[name]
        operation.waiting.append(one)

        async def expire() -> None:
            await anyio.sleep(max(deadline - EARLY - self._clock(), 0) / 1e6)
            if one in operation.waiting:
                operation.waiting.remove(one)
                one.tell(failed())

        if self._group:
            self._group.start_soon(expire)

    async def clear(self, request: str, over: Callable[[], bool], deadline: int) -> bool:
        """Wait until an attempt may be written to a server; False where it never will be.

        True is returned without giving others a turn after the last check.
        """
        operation = self._operations.get(request)
        if operation is None:
            return True
        if not self.ledger.under_way(operation):
            return False
        if self.copies and self.ledger.doubt and operation.ask and not operation.vouched and (
                not await self._own_past(request, operation, deadline)):
            return False
        ticket = self.ledger.intend(operation)
        self.disk.poke()
        if not await self._down(operation, ticket, over, deadline):
            if operation.fenced:  # others have settled it, and know more
                await self._find_out(request, operation, deadline)
                return False
            sure = operation.cleared or not operation.ask
            self._front.conclude(request, self._come_again() if sure else failed(),
                                 Final.REFUSED if sure else Final.FAILED)
            return False
        if operation.ask and not operation.cleared and not await self._ask(request, operation, deadline):
            return False
        # Danger: noted after the write, a disk that fails meanwhile would make it look as if there was none.
        let = (not over() and self.ledger.under_way(operation) and self.ledger.may_write(operation)
               and not self.members.contested and not self.members.replaced_by)
        operation.written = operation.written or let
        return let

    async def _down(self, operation: Operation, ticket: int, over: Callable[[], bool], deadline: int) -> bool:
        """Wait until an intent is on disk here and, where copies are kept, at enough holders."""
        if self.copies is None or operation.copied:
            return await self.disk.durable(ticket)

        def late() -> bool:
            return over() or self._clock() >= deadline - EARLY

        promised = [False]
        async with anyio.create_task_group() as group:

            async def promise() -> None:
                assert self.copies
                promised[0] = await self.copies.promise(Item(State.OPEN, operation.name), late)

            group.start_soon(promise)
            durable = await self.disk.durable(ticket)
        operation.copied = promised[0]
        operation.fenced = not promised[0] and not late()
        return durable and promised[0]

    async def _ask(self, request: str, operation: Operation, deadline: int) -> bool:
        """Ask all others; whether nobody can have run it. Else the request has its answer, or will have."""
        others, name = list(self._lines), operation.name
        self.ledger.ask(operation, others)
        within = min(self.rules.waits.ask, max(deadline - EARLY - self._clock(), 0) / 1e6)
        until = self._steady() + within
        while True:
            words = await self._words(name, others, until - self._steady())
            none = len(words) == len(others) and all(told.word == Word.NONE.value for told in words.values())
            if none and self.members.agree({member: told.token for member, told in words.items()},
                                           {member: told.lives for member, told in words.items()}):
                for member in others:
                    self.ledger.answered(operation, member, operations.Told(Word.NONE))
                break
            if not none or self._steady() >= until - POLL:
                break
            await anyio.sleep(POLL)  # they have not all heard of each other's lives yet
        if not self.ledger.under_way(operation):
            return False
        if operation.cleared:
            return True
        known = _ended(words)
        if known is None and self.copies:
            known = await self._settle(operation, words, others, deadline)
            if operation.cleared:
                return self.ledger.under_way(operation)
        under_way = [member for member, told in words.items() if told.word == Word.OPEN.value]
        if known is None and under_way:
            # Both have their intents down: this one steps back, and tells what becomes of the other.
            self._end(operation, State.NEVER)
            while known is None and under_way and self._clock() < deadline - EARLY - POLL * 1e6:
                await anyio.sleep(POLL)
                words = await self._words(name, under_way, POLL * 4)
                known = _ended(words)
                under_way = [member for member in under_way
                             if member not in words or words[member].word == Word.OPEN.value]
        answer = self._told(known) if known else failed()
        served = known is not None and known.word is Word.SERVED and known.answer is not None
        self._front.conclude(request, answer, Final.SERVED if served else Final.FAILED)
        return False

    async def _find_out(self, request: str, operation: Operation, deadline: int) -> None:
        """Give a request what others know of its operation, which is not to be begun here."""
        self._end(operation, State.NEVER)
        known = await self._known_elsewhere(operation.name, deadline)
        served = known is not None and known.word is Word.SERVED and known.answer is not None
        self._front.conclude(request, self._told(known) if known else failed(),
                             Final.SERVED if served else Final.FAILED)

    async def _look_up(self, name: str, one: _Try, deadline: int) -> None:
        """The same for a try that came while no unsafe work is taken here."""
        known = await self._known_elsewhere(name, deadline)
        one.tell(self._told(known) if known else failed())

    async def _known_elsewhere(self, name: str, deadline: int) -> operations.Told | None:
        """How an operation ended, by the others' word or what they hold for those that cannot tell."""
        others, within = list(self._lines), min(self.rules.waits.ask, self._left(deadline))
        words = await self._words(name, others, within)
        known = _ended(words)
        if known is None and self.copies:
            for member in [self._name, *others]:
                if member == self._name or member not in words or words[member].word == Word.UNSURE.value:
                    within = min(self.rules.waits.ask, self._left(deadline))
                    known = await self.copies.settle(member, name, False, within, self._sure)
                    if known is not None and known.word in (Word.SERVED, Word.FAILED):
                        return known
                    known = None
        return known

    async def _settle(self, operation: Operation, words: dict[str, Told], others: list[str],
                      deadline: int) -> operations.Told | None:
        """What those who cannot tell have left at their holders; `cleared` where nobody can have run it."""
        assert self.copies
        none = {member: told for member, told in words.items() if told.word == Word.NONE.value}
        silent = [member for member in others if member not in none
                  and (member not in words or words[member].word == Word.UNSURE.value)]
        if len(none) + len(silent) < len(others) or not self.members.clear or (
                not self.members.agree({member: told.token for member, told in none.items()},
                                       {member: told.lives for member, told in none.items()})):
            return None
        for member in silent:
            within = min(self.rules.waits.ask, self._left(deadline))
            told = await self.copies.settle(member, operation.name, True, within, self._sure)
            if told is None or told.word is not Word.NONE:
                return told
        if self.ledger.doubt and not operation.vouched:
            return None
        operation.cleared = True
        return None

    async def _own_past(self, request: str, operation: Operation, deadline: int) -> bool:
        """With a record that proves nothing: whether one's own holders know nothing of an operation either.

        Asked before the present intent goes to them; nobody else writes under this member's name.
        """
        assert self.copies
        within = min(self.rules.waits.ask, self._left(deadline))
        told = await self.copies.settle(self._name, operation.name, False, within, self._sure)
        operation.vouched = told is not None and told.word is Word.NONE
        if not operation.vouched:
            served = told is not None and told.word is Word.SERVED and told.answer is not None
            self._front.conclude(request, self._told(told) if told else failed(),
                                 Final.SERVED if served else Final.FAILED)
        return operation.vouched

    def _left(self, deadline: int) -> float:
        """Seconds until a request has to be given up."""
        return max(deadline - EARLY - self._clock(), 0) / 1e6

    def _sure(self) -> bool:
        return not self.facts.doubt and self.members.clear

    async def _words(self, name: str, members: list[str], within: float) -> dict[str, Told]:
        found: dict[str, Told] = {}
        missing = set(members)
        all_there = anyio.Event()
        if not members:
            return found

        def told(member: str, word: Told | None) -> None:
            if word is None and self.members.peers[member].health is not Health.AWAY:
                lost.append(member)  # it may be on its way up
                return
            missing.discard(member)
            if word is not None:
                found[member] = word
            if not missing or (word is not None and word.word == Word.SERVED.value):
                all_there.set()

        lost = list(members)
        with anyio.move_on_after(within):
            while not all_there.is_set():
                again, lost = lost, []
                for member in again:
                    self._lines[member].ask(name, partial(told, member))
                with anyio.move_on_after(POLL if lost else None):
                    await all_there.wait()
        return found

    def attempted(self, request: str, ending: Ending) -> None:
        """An attempt has ended, also one whose request is done."""
        operation = self._operations.get(request)
        if operation is None:
            return
        if isinstance(ending.answer, Row):
            self._end(operation, State.SERVED, ending.answer.data)
        elif not ending.outcome.never_ran:
            operation.may_have_run = True

    def finish(self, request: str, answer: bytes, end: Final, client: Waiting, over: bool) -> None:
        """A request's final answer: given at once, but for an unsafe one's that was served, once on disk.

        `over`: none of its attempts is out.
        """
        one, operation = _Try(client, request), self._operations.get(request)
        if operation is None:
            one.tell(answer)
            return
        if over:
            del self._operations[request]
        under_way = self.ledger.under_way(operation)
        if end is Final.SERVED:
            if under_way:
                operation.waiting.insert(0, one)
                self._end(operation, State.SERVED, answer[:-len(READY)])
            else:
                one.tell(answer)
                self._tell(operation, answer)  # it was served elsewhere
            return
        if end is Final.REFUSED and operation.ask and not operation.cleared:
            answer = failed()  # an earlier try may have run at another member
        if under_way:
            ran = end is Final.FAILED and operation.written
            self._end(operation, State.FAILED if ran else State.NEVER)
        one.tell(answer)
        self._tell(operation, answer)

    def closed(self, request: str) -> None:
        """A request is over with all its attempts."""
        operation = self._operations.pop(request, None)
        if operation and self.ledger.under_way(operation):  # its client left before it had an end
            self._end(operation, State.FAILED if operation.may_have_run else State.NEVER)
            self._tell(operation, failed())

    def _end(self, operation: Operation, state: State, answer: bytes | None = None) -> None:
        if not self.ledger.under_way(operation):
            return
        ticket = self.ledger.end(operation, state, answer)
        given = None if answer is None else answer + READY
        copied = self.copies is not None and ticket > 0
        if self.copies and copied and state is not State.SERVED:
            self.copies.tell(Item(state, operation.name))

        def on_disk(good: bool) -> None:
            more = self.ledger.done(operation) if good else 0
            if more:
                self.disk.when(more, on_disk)
                self.disk.poke()
            elif given is not None and copied and self._group:
                self._group.start_soon(self._copied, operation, answer, given)
            elif given is not None:
                # Where the disk has failed the row is still true, and who asks again is told no less.
                self._tell(operation, given)

        if ticket:
            self.disk.when(ticket, on_disk)
            self.disk.poke()
        elif given is not None:
            self._tell(operation, given)

    async def _copied(self, operation: Operation, answer: bytes | None, given: bytes) -> None:
        """Give a served answer once enough holders have it."""
        assert self.copies
        kept = answer if answer is not None and len(answer) <= self.rules.store.answer_bytes else None
        item = Item(State.SERVED, operation.name, kept)
        # Settled by others meanwhile, it was told to have perhaps run: that is what this client is told too.
        good = await self.copies.promise(item, lambda: self._clock() >= operation.until)
        self._tell(operation, given if good else failed())

    def _tell(self, operation: Operation, answer: bytes) -> None:
        waiting, operation.waiting = operation.waiting, []
        for one in waiting:
            one.tell(answer)

    def close(self) -> None:
        """Let the folder go."""
        self.disk.folder.close()
