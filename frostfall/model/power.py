"""Groups of agents through power losses, in virtual time: the program's own record and gates, real code.

Modelled are disks (what was not synced is gone, a beginning of it may not be), links, servers and clients. A
schedule is data: what is asked when, and which faults come when. The same schedule gives the same history.
"""

from __future__ import annotations

import copy
import errno
import random
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import msgspec
from anyio.abc import TaskGroup

from frostfall import config
from frostfall import interface as api
from frostfall.model.clock import VirtualLoop
from frostfall.net.log_writer import SegmentDirectory
from frostfall.net.member_transport import PeerOperationStatus, Response
from frostfall.net.recovery import Dependencies, GroupMember
from frostfall.protocol import statement
from frostfall.protocol.ending import Ending, Final, Progress
from frostfall.protocol.listing import Entry, Listing
from frostfall.protocol.member_messages import Heartbeat, MemberMessage, StatusQuery, StatusReply
from frostfall.protocol.pg import READY
from frostfall.protocol.pg_client import Refusal, Row
from frostfall.protocol.pg_server import failed, refused
from frostfall.recovery.readiness import ReadinessStage

Event = dict[str, Any]
BEGIN = 0.6  # seconds from the start of all to the first operation
HEAL = 7.0  # when all is on and joined again
END = 16.5
WAIT_MS = 1500  # that a client waits for an answer
TRIES = 4


class Fault(msgspec.Struct, frozen=True, omit_defaults=True):
    """One fault. `do`: off, cut, stall, fail, full, die, lose, old."""

    at: float
    do: str
    who: tuple[str, ...] = ()
    to: str = ""  # of a cut: the other end of the directed link
    seconds: float = 0.5  # until it is over: on again, joined again
    step: int = 0  # of `die`: the file operation at which the power goes


class Operation(msgspec.Struct, frozen=True, omit_defaults=True):
    """What one client wants done once."""

    at: float
    name: str
    agents: tuple[str, ...]  # whom it asks, in turn
    slow: float = 0.0  # seconds that its server takes


class Schedule(msgspec.Struct, frozen=True):
    """All that happens in one run."""

    seed: int
    members: int
    operations: tuple[Operation, ...]
    faults: tuple[Fault, ...]
    marked: bool = True
    copies: tuple[int, int] | None = None  # kept and acknowledged


def drawn(seed: int, copies: bool = False) -> Schedule:
    """A schedule for a seed: 2 to 7 members, or 3 to 9 with copies, and faults that overlap."""
    rng = random.Random(f"copies {seed}" if copies else seed)
    count = rng.randint(3, 9) if copies else rng.randint(2, 7)
    names = [f"n{place}" for place in range(count)]
    operations = []
    for number in range(rng.randint(6, 24)):
        agents = tuple(rng.choice(names) for _ in range(TRIES))
        operations.append(
            Operation(
                round(rng.uniform(BEGIN, 5.5), 3),
                f"o{number}",
                agents,
                round(rng.choice((0.0, 0.02, 0.3, 1.0)), 3),
            )
        )
    faults = []
    for _ in range(rng.randint(1, 6)):
        at, seconds = round(rng.uniform(0.2, 5.5), 3), round(rng.uniform(0.05, 1.5), 3)
        do = rng.choice(("off", "off", "off", "cut", "cut", "stall", "fail", "full", "die", "lose", "old"))
        some = tuple(sorted(rng.sample(names, rng.choice((1, 1, rng.randint(1, count), count)))))
        if do == "cut":
            one, other = rng.sample(names, 2)
            faults.append(Fault(at, do, (one,), other, seconds))
        else:
            who = some if do == "off" else some[:1]
            faults.append(Fault(at, do, who, seconds=seconds, step=rng.randint(1, 12)))
    return Schedule(
        seed,
        count,
        tuple(sorted(operations, key=lambda each: each.at)),
        tuple(sorted(faults, key=lambda each: each.at)),
        rng.random() < 0.7,
        (rng.choice(((2, 1), (3, 2))) if count > 3 else (2, 1)) if copies else None,
    )


class PowerLoss(Exception):
    """The power went in the middle of a file operation."""


class Platter:
    """What outlives a member's power: files with what was synced of them, and their names."""

    def __init__(self, seed: str) -> None:
        self.files: dict[int, bytes] = {}
        self.random = random.Random(seed)
        self.fail = self.full = False
        self.die = 0  # file operations until the power goes; 0: it stays on


class MemoryFolder(SegmentDirectory):
    """A folder on a platter; what is not synced is its own."""

    def __init__(self, platter: Platter) -> None:
        self.path = Path("/nowhere")
        self._platter = platter
        self._number, self._unsynced, self._nameless = 0, b"", False
        self._content = b""
        self._removed: list[int] = []

    def _step(self) -> None:
        if self._platter.die:
            self._platter.die -= 1
            if not self._platter.die:
                self.lose_power()
                raise PowerLoss

    def lose_power(self) -> None:
        """A beginning of what was not synced may be there; names that were not synced may not."""
        rng = self._platter.random
        part = self._unsynced[: rng.randrange(len(self._unsynced) + 1)] if rng.random() < 0.5 else b""
        if self._number and (not self._nameless or rng.random() < 0.5):
            self._platter.files[self._number] = self._content + part
        if rng.random() < 0.5:
            for number in self._removed:
                self._platter.files.pop(number, None)

    def lock(self) -> None:
        """There is no other process."""

    def segment_numbers(self) -> list[int]:
        """See Folder."""
        return sorted(self._platter.files)

    def read_segment(self, number: int) -> bytes:
        """See Folder."""
        return self._platter.files[number]

    def read_range(self, number: int, offset: int, size: int) -> bytes:
        """See Folder."""
        if number != self._number and number not in self._platter.files:
            raise FileNotFoundError(errno.ENOENT, "no such segment")
        whole = self._content + self._unsynced if number == self._number else self._platter.files[number]
        return whole[offset : offset + size]

    def truncate(self, number: int, size: int) -> None:
        """See Folder."""
        self._step()
        self._platter.files[number] = self._platter.files[number][:size]

    def start_segment(self, number: int) -> None:
        """See Folder."""
        self._step()
        self._number, self._content, self._unsynced, self._nameless = number, b"", b"", True

    def append(self, data: bytes) -> None:
        """See Folder."""
        if self._platter.full:
            raise OSError(errno.ENOSPC, "no room")
        self._unsynced += data
        self._step()

    def sync_data(self) -> None:
        """See Folder."""
        self._step()
        if self._platter.fail:
            raise OSError(errno.EIO, "failed")
        self._content, self._unsynced = self._content + self._unsynced, b""
        if not self._nameless:
            self._platter.files[self._number] = self._content

    def sync_directory(self) -> None:
        """See Folder."""
        self._step()
        self._nameless = False
        self._platter.files[self._number] = self._content
        for number in self._removed:
            self._platter.files.pop(number, None)
        self._removed.clear()

    def remove_segment(self, number: int) -> None:
        """See Folder."""
        self._removed.append(number)

    def close(self) -> None:
        """See Folder."""


class _Client:
    def __init__(self, request: str) -> None:
        self.request: str | None = request
        self.said: list[bytes] = []
        self.told = anyio.Event()

    def answer(self, data: bytes) -> None:
        self.request = None
        self.said.append(data)
        self.told.set()


class _Request:
    def __init__(self, client: _Client, deadline: int) -> None:
        self.client, self.deadline, self.done, self.out = client, deadline, False, 0


class Member:
    """One member: off, or a life of the program."""

    def __init__(self, world: World, name: str, told: list[config.Config]) -> None:
        self.world, self.name = world, name
        self._first, self._later = told  # operators set `new` for the first start of all, and no longer
        self.platter = Platter(f"{world.schedule.seed} {name}")
        self.copies: list[dict[int, bytes]] = []  # of its folder, one at each end of a life
        self.recovery: GroupMember | None = None
        self.folder: MemoryFolder | None = None
        self.stalled_until = 0.0  # nothing comes in or goes out before
        self._scope: anyio.CancelScope | None = None
        self._group: TaskGroup | None = None
        self._requests: dict[str, _Request] = {}
        self.stopped = False
        self.life = 0

    async def awake(self) -> None:
        """Wait until it is not stalled."""
        while self.world.clock() < self.stalled_until:
            await anyio.sleep(0.02)

    def on(self) -> None:
        """Start, if it is off."""
        if self.recovery is None:
            self.world.group.start_soon(self._live)

    async def _live(self) -> None:
        if self.recovery is not None:
            return
        self.life += 1
        self.folder = folder = MemoryFolder(self.platter)
        life, self._requests, self.stopped = self.life, {}, False
        parts = Dependencies(
            lambda path: folder,
            self._line,
            self._listener,
            self._blocking,
            self.world.clock,
            self.world.clock,
        )
        told = self._first if life == 1 else self._later
        self.recovery = recovery = GroupMember(told, self, self.world.micros, parts)
        self.world.note("listening", who=self.name)
        with anyio.CancelScope() as self._scope:
            async with anyio.create_task_group() as self._group:
                recovery.endpoints_changed(self.world.listing)
                await recovery.run(lambda listing: None)
        if self.life == life and self.recovery is recovery:
            self.recovery = None

    def off(self) -> None:
        """Lose power."""
        if self.recovery is None or self._scope is None or self.folder is None:
            return
        if not self.platter.die:
            self.folder.lose_power()
        self.platter.die = 0
        self.platter.fail = self.platter.full = False
        self.copies.append(dict(self.platter.files))
        self.world.note("killed", who=self.name)
        self.recovery, scope, self._scope = None, self._scope, None
        scope.cancel()

    async def _blocking(self, what: Callable[..., Any], *more: Any) -> Any:
        await anyio.sleep(self.world.random.uniform(0.0001, 0.004))
        try:
            return what(*more)
        except PowerLoss:
            self.platter.die = 1  # the folder has lost its power already
            self.off()
            await anyio.sleep_forever()

    def _line(self, *told: Any) -> Any:
        return ModelLine(self, *told)

    def _listener(self, key: str, most: int, answer: Callable[[MemberMessage], Response]) -> Any:
        return ModelListener(self, answer)

    # ---- the agent, as far as it matters -----------------------------------------------------------

    def post(self, event: api.Event) -> None:
        """There is no decision module."""

    def stop(self) -> None:
        """It was replaced."""
        self.stopped = True

    def conclude(self, request: str, answer: bytes, end: Final) -> None:
        """See net.agent."""
        if (known := self._requests.get(request)) and not known.done:
            self._finish(request, known, answer, end)

    def take(self, text: bytes, client: _Client) -> None:
        """A client's query."""
        parsed = statement.parse(text)
        assert isinstance(parsed, statement.Statement)
        if self.recovery is None or self._group is None or self.stopped:
            return
        deadline = self.world.micros() + parsed.wait_ms * 1000
        if not self.recovery.operations.handle_query(parsed, client, deadline):
            request = self._requests[parsed.request] = _Request(client, deadline)
            self._group.start_soon(self._serve, parsed, request)

    async def _serve(self, parsed: statement.Statement, request: _Request) -> None:
        assert self.recovery and self._group
        recovery, name = self.recovery, parsed.request
        self._group.start_soon(self._give_up, name, request)
        while not request.done:
            request.out += 1
            clear = await recovery.operations.authorize_dispatch(name, lambda: request.done, request.deadline)
            if not clear:
                ending = Ending(Progress.NOT_WRITTEN, withheld=True)
            else:
                ending = await self.world.serve(self, parsed)
            request.out -= 1
            if isinstance(ending.answer, Row):
                self._finish(name, request, ending.answer.data + READY, Final.SERVED)
            recovery.operations.attempt_ended(name, ending)
            if request.done:
                break
            if not ending.outcome.never_ran:
                self._finish(name, request, failed(), Final.FAILED)
            else:
                await anyio.sleep(0.02)
        if request.done and not request.out:
            recovery.operations.request_closed(name)

    async def _give_up(self, name: str, request: _Request) -> None:
        await anyio.sleep(max((request.deadline - self.world.micros()) / 1e6 - 0.01, 0))
        if not request.done:
            none_out = not request.out
            self._finish(
                name,
                request,
                refused(100) if none_out else failed(),
                Final.REFUSED if none_out else Final.FAILED,
            )

    def _finish(self, name: str, request: _Request, answer: bytes, end: Final) -> None:
        if request.done or self.recovery is None:
            return
        request.done = True
        self.recovery.operations.finish_request(name, answer, end, request.client, not request.out)


class ModelLine:
    """The link to one member: words and questions in order, each with the way's delay, or lost."""

    def __init__(
        self,
        owner: Member,
        name: str,
        address: Any,
        key: str,
        every: float,
        beat: Callable[[str], Heartbeat | None],
        heard: Callable[[Heartbeat], None],
        who: Callable[[], tuple[str, str]],
    ) -> None:
        self.name, self.connected, self._who = name, False, who
        self._owner, self._every, self._beat, self._heard = owner, every, beat, heard
        self._wake = anyio.Event()

    def send_heartbeat_now(self) -> None:
        """Speak now."""
        self._wake.set()

    def request(
        self, make: Callable[[int], MemberMessage], told: Callable[[MemberMessage | None], None]
    ) -> None:
        """See net.member_transport."""
        self._put(make(1), told)

    def request_endpoint_list(self, have: Callable[[Any], None]) -> None:
        """There is one list for all."""

    def query_status(self, operation: str, told: Callable[[PeerOperationStatus | None], None]) -> None:
        """See net.member_transport."""

        def answered(message: MemberMessage | None) -> None:
            told(
                PeerOperationStatus(*message.statuses[0], message.incarnation_token, message.recorded_tokens)
                if isinstance(message, StatusReply)
                else None
            )

        self._put(StatusQuery(1, [operation], *self._who()), answered)

    def _put(self, message: MemberMessage, answered: Callable[[MemberMessage | None], None]) -> None:
        self._owner.world.send(self._owner, self.name, message, answered)

    async def run(self) -> None:
        """Speak for good."""
        while True:
            self._wake = anyio.Event()
            if beat := self._beat(self.name):
                self._put(beat, self._take)
            with anyio.move_on_after(self._every if beat else 0.02):
                await self._wake.wait()

    def _take(self, message: MemberMessage | None) -> None:
        self.connected = message is not None
        if isinstance(message, Heartbeat):
            self._heard(message)


class ModelListener:
    """Answers what the link brings."""

    def __init__(self, owner: Member, answer: Callable[[MemberMessage], Response]) -> None:
        self._owner, self._answer = owner, answer

    async def run(self, address: Any) -> None:
        """Be there for good."""
        self._owner.world.answers[self._owner.name] = self._owner.recovery, self._answer
        await anyio.sleep_forever()


class World:
    """All members, and what lies between them."""

    def __init__(self, schedule: Schedule) -> None:
        """Build it; nothing runs yet."""
        self.schedule, self.random = schedule, random.Random(schedule.seed)
        self.events: list[Event] = []
        self.answers: dict[str, tuple[Any, Callable[[MemberMessage], Response]]] = {}
        self.cut: dict[tuple[str, str], int] = {}
        self._ready: dict[tuple[str, str], float] = {}  # links deliver in order
        self.listing = Listing(1, True, [Entry("s-0", "127.0.0.1:9", "in_service", "a", 0, 1.0, 0.0, 1)])
        names = [f"n{place}" for place in range(schedule.members)]
        self.members = {
            name: Member(self, name, [_told(names, name, schedule, new) for new in (True, False)])
            for name in names
        }
        self.group: TaskGroup

    def clock(self) -> float:
        """Virtual seconds."""
        return anyio.current_time()

    def micros(self) -> int:
        """The same in microseconds."""
        return int(anyio.current_time() * 1e6)

    def note(self, kind: str, **fields: Any) -> None:
        """One event of the history."""
        self.events.append({"event": kind, "at": round(self.clock(), 6), **fields})

    def send(
        self,
        sender: Member,
        name: str,
        message: MemberMessage,
        answered: Callable[[MemberMessage | None], None],
    ) -> None:
        """One message of a member to another, and its answer back."""
        life = sender.recovery

        async def carry() -> None:
            if not await self._way(sender.name, name):
                return
            target, known = self.members[name], self.answers.get(name)
            await target.awake()
            if known is None or target.recovery is None or known[0] is not target.recovery:
                if await self._way(name, sender.name) and sender.recovery is life:
                    answered(None)
                return
            reply = known[1](copy.deepcopy(message))
            answer = await reply if isinstance(reply, Awaitable) else reply
            if answer is not None and await self._way(name, sender.name) and sender.recovery is life:
                await sender.awake()
                if sender.recovery is life:
                    answered(answer)

        self.group.start_soon(carry)

    async def _way(self, one: str, other: str) -> bool:
        """The time that a message takes; whether it comes."""
        link = one, other
        due = max(self.clock() + self.random.uniform(0.0002, 0.006), self._ready.get(link, 0.0) + 1e-6)
        self._ready[link] = due
        await anyio.sleep(due - self.clock())
        return not self.cut.get(link)

    async def serve(self, member: Member, parsed: statement.Statement) -> Ending:
        """A server's part: it runs what comes, once for each time that it comes."""
        operation = parsed.field("op")
        await member.awake()
        # The write happens at the check: nothing lies between the two in the program.
        arrives = self.random.uniform(0.0002, 0.004)
        if self.random.random() < 0.08:
            await anyio.sleep(arrives)
            return Ending(Progress.WRITTEN, Refusal("53300"))
        done = anyio.Event()
        slow = next((each.slow for each in self.schedule.operations if each.name == operation), 0.0)

        async def run() -> None:
            await anyio.sleep(arrives)
            self.note("ran", op=operation, id=parsed.request)
            await anyio.sleep(0.002 + slow)
            done.set()

        self.group.start_soon(run)  # it runs on, whatever becomes of who sent it
        await done.wait()
        return Ending(Progress.ANSWERING, Row(b"D" + operation.encode() + b"@" + parsed.request.encode()))

    # ---- a run ---------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Play the schedule."""
        async with anyio.create_task_group() as self.group:
            for member in self.members.values():
                member.on()
            for fault in self.schedule.faults:
                self.group.start_soon(self._fault, fault)
            for operation in self.schedule.operations:
                self.group.start_soon(self._client, operation)
            await anyio.sleep(HEAL)
            self.cut.clear()
            for member in self.members.values():
                member.platter.die, member.platter.fail, member.platter.full = 0, False, False
                if member.recovery is not None and (member.recovery.journal.failure_reason or member.stopped):
                    member.off()
            await anyio.sleep(0.01)
            for member in self.members.values():
                member.stalled_until = 0.0
                member.on()
            await anyio.sleep(END - HEAL - 0.01)
            self._last_look()
            self.group.cancel_scope.cancel()

    def _last_look(self) -> None:
        for name, member in self.members.items():
            if member.recovery is None:
                self.note("stuck", who=name, why="off")
                continue
            facts, gates = member.recovery.readiness_inputs, member.recovery.readiness
            shut = facts.unusable_reason or facts.incomplete_reason
            if not gates.is_ready(ReadinessStage.NON_IDEMPOTENT) and not shut:
                self.note("stuck", who=name, why=str(gates.first_unready()))
            live = [
                each for each in member.recovery.operation_log.in_progress.values() if each.end_state is None
            ]
            if live:
                self.note("stuck", who=name, why=f"{live[0].name} is open")

    async def _fault(self, fault: Fault) -> None:
        await anyio.sleep(fault.at)
        chosen = [self.members[name] for name in fault.who]
        if fault.do == "cut":
            link = fault.who[0], fault.to
            self.cut[link] = self.cut.get(link, 0) + 1
            await anyio.sleep(fault.seconds)
            if self.cut.get(link):
                self.cut[link] -= 1
            return
        for member in chosen:
            if fault.do == "stall":
                member.stalled_until = max(member.stalled_until, self.clock() + fault.seconds)
                self.note("paused", who=member.name)
            elif fault.do == "fail":
                member.platter.fail = True
            elif fault.do == "full":
                member.platter.full = True
            elif fault.do == "die":
                member.platter.die = fault.step
            else:
                member.off()
                if fault.do == "lose":
                    member.platter.files.clear()
                elif fault.do == "old" and len(member.copies) > 1:
                    member.platter.files = dict(member.copies[-2])
        await anyio.sleep(fault.seconds)
        for member in chosen:
            member.on()
            if fault.do == "stall":
                await member.awake()
                self.note("woken", who=member.name)

    async def _client(self, operation: Operation) -> None:
        await anyio.sleep(operation.at)
        for tries, agent in enumerate((*operation.agents, *operation.agents[:2]), 1):
            if tries > len(operation.agents):  # once all has healed, it is asked again in any case
                await anyio.sleep(max(HEAL + 1.5 - self.clock(), 0))
            what = await self._try(operation, agent, tries)
            if what == "served" and tries <= len(operation.agents) and self.random.random() < 0.7:
                continue  # it asks once more all the same, elsewhere
            await anyio.sleep(self.random.uniform(0.02, 0.4))

    async def _try(self, operation: Operation, agent: str, tries: int) -> str:
        request, member = f"{operation.name}-t{tries}", self.members[agent]
        mark = b",r=1" if tries > 1 else b""
        facts = b"id=%b,c=order,d=%d,op=%b%b" % (request.encode(), WAIT_MS, operation.name.encode(), mark)
        insert = b"INSERT INTO entries (ref, payload) VALUES ('k', '\\x00') RETURNING payload"
        text = insert + b" /* " + facts + b" */"
        client = _Client(request)
        self.note("asked", op=operation.name, id=request, who=agent)
        await anyio.sleep(self.random.uniform(0.0002, 0.004))
        life = member.recovery
        if life is not None:
            self.group.start_soon(self._deliver, member, life, text, client)
            with anyio.move_on_after(WAIT_MS / 1000 + 0.5):
                while not client.told.is_set() and member.recovery is life:
                    with anyio.move_on_after(0.05):
                        await client.told.wait()
        for data in client.said or [b""]:
            what = (
                ""
                if not data
                else "served"
                if data[:1] == b"D"
                else ("refused" if b"53300" in data else "failed")
            )
            value = data[: -len(READY)].decode() if what == "served" else ""
            self.note("answered", op=operation.name, id=request, what=what, value=value)
        return what

    async def _deliver(self, member: Member, life: GroupMember, text: bytes, client: _Client) -> None:
        """Danger: what a member that sleeps has not read it reads when it wakes, whoever waits for that."""
        await member.awake()
        if member.recovery is life:
            member.take(text, client)


def _told(names: list[str], name: str, schedule: Schedule, new: bool) -> config.Config:
    """The configuration of one member."""
    address = {each: f"127.0.0.1:{10_000 + place}" for place, each in enumerate(names)}
    members = [{"name": each, "address": address[each]} for each in names]
    group: dict[str, Any] = {
        "data": "/nowhere",
        "key": "the model's own shared key",
        "operation": "op",
        "new": new,
        "retries_marked": schedule.marked,
        "members": members,
        "store": {"segment_bytes": 65536, "folder_bytes": 1 << 20, "keep": 60.0},
    }
    if schedule.copies:
        group["copies"] = dict(zip(("kept", "acknowledged"), schedule.copies))
    raw = {
        "name": name,
        "listen": "127.0.0.1:9999",
        "discovery": "127.0.0.1:9998",
        "settings": _SETTINGS,
        "seed": 7,
    }
    options = config.operator(msgspec.json.encode({"group": group}), "model")
    return config.parse(msgspec.json.encode(raw), {}, options)


_SETTINGS = {
    "ordinal": 0,
    "nInstances": 1,
    "zone": "a",
    "discovery": "automatic",
    "grades": [
        {"name": "order", "aimUs": 500_000, "deadlineUs": 2_000_000, "effect": "unsafe", "credit": 1.0}
    ],
    "bounds": {
        "maxAttempts": 4,
        "mayCancel": True,
        "parallelTries": False,
        "peers": False,
        "connectTimeoutUs": 250_000,
        "connIdleUs": 15_000_000,
    },
    "rules": {
        "graceToAnswerUs": 20_000,
        "stopSendingWithinUs": 500_000,
        "askEveryUs": 2_000_000,
        "warmUpUs": 1_000_000,
        "fallMultiple": 4.0,
        "fallUs": 2_000_000,
        "coldFrom": 0.4,
    },
}


def play(schedule: Schedule, change: Callable[[World], Awaitable[None] | None] | None = None) -> list[Event]:
    """Play a schedule; its history. `change` is handed the world before it runs."""
    world = World(schedule)
    if change:
        change(world)
    anyio.run(world.run, backend="asyncio", backend_options={"loop_factory": VirtualLoop})
    return world.events
