"""The register in a running agent: Raft's words over the link, its state in the agent's own record."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import anyio
import msgspec

from frostfall import log
from frostfall.agreement.log import Entry, Snapshot
from frostfall.agreement.raft import Append, Appended, AskVote, Hard, Install, Raft, Vote
from frostfall.agreement.register import Put, Register
from frostfall.net.log_writer import LogWriter
from frostfall.net.member_transport import MemberConnection
from frostfall.protocol.member_messages import ConsensusMessage
from frostfall.recovery.facts import Agreed, Fact, Ruled, Voted

TURN = 0.05  # seconds: an election begins after half a second to a second without a leader

_log = log.get("agreement")
_DECODER = msgspec.msgpack.Decoder(AskVote | Vote | Append | Appended | Install)


class Agreement:
    """One member of the register."""

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        disk: LogWriter,
        note: Callable[[Fact], int],
        lines: dict[str, MemberConnection],
        seed: int,
    ) -> None:
        """`note` writes a fact down and gives its ticket; `recall` is handed what was written before."""
        self._name, self._disk, self._note, self._lines, self._seed = name, disk, note, lines, seed
        self._hard, self._snapshot = Hard(), Snapshot(voters=voters)
        self._entries: dict[int, Entry] = {}
        self.raft: Raft | None = None
        self.register = Register()
        self._waiting: dict[int, tuple[Put, Callable[[bool], None]]] = {}
        self._changed = anyio.Event()
        self._leader = ""

    # ---- the past ------------------------------------------------------------------------------------

    def recall(self, fact: Voted | Ruled | Agreed) -> None:
        """What was written down, in order."""
        match fact:
            case Voted(term, vote):
                self._hard = Hard(term, vote)
            case Ruled(index, raw):
                self._entries = {at: entry for at, entry in self._entries.items() if at < index}
                self._entries[index] = msgspec.convert(raw, Entry)
            case Agreed(raw):
                self._snapshot = msgspec.convert(raw, Snapshot)
                self._entries = {
                    at: entry for at, entry in self._entries.items() if at > self._snapshot.index
                }

    def facts(self) -> Iterable[Fact]:
        """What a new segment of the record begins with."""
        yield Agreed(msgspec.to_builtins(self._snapshot))
        yield Voted(self._hard.term, self._hard.vote)
        for index in sorted(self._entries):
            yield Ruled(index, msgspec.to_builtins(self._entries[index]))

    # ---- life ----------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Take part, for good. Not for one whose record is in doubt: it may have voted otherwise before."""
        entries: list[Entry] = []
        while (entry := self._entries.get(self._snapshot.index + len(entries) + 1)) is not None:
            entries.append(entry)
        self.raft = Raft(self._name, self._snapshot, self._hard, entries, self._seed)
        self.register = Register(self._snapshot.state)
        async with anyio.create_task_group() as group:
            group.start_soon(self._tick)
            while True:
                self._changed = anyio.Event()
                if not await self._work(self.raft):
                    _log.error("the disk has failed: no part in agreement any more")
                    group.cancel_scope.cancel()
                    return
                await self._changed.wait()

    async def _tick(self) -> None:
        while self.raft:
            await anyio.sleep(TURN)
            self.raft.tick()
            self._changed.set()

    def take(self, message: ConsensusMessage) -> None:
        """What another member says."""
        if self.raft is None:
            return
        try:
            word = _DECODER.decode(message.payload)
        except msgspec.MsgspecError as error:
            _log.warning("a word that cannot be read", member=message.sender, why=str(error))
            return
        self.raft.step(message.sender, word)
        self._changed.set()

    async def _work(self, raft: Raft) -> bool:
        """Carry out what is ready, in order; False where the disk has failed."""
        out, ticket = raft.ready(), 0
        if out.snapshot is not None:
            self.recall(agreed := Agreed(msgspec.to_builtins(out.snapshot)))
            ticket = self._note(agreed)
        if out.hard is not None:
            self.recall(voted := Voted(out.hard.term, out.hard.vote))
            ticket = self._note(voted)
        for index, entry in out.entries:
            self.recall(ruled := Ruled(index, msgspec.to_builtins(entry)))
            ticket = self._note(ruled)
        if ticket and not await self._disk.wait_durable(ticket):
            return False
        for name, word in out.messages:
            if line := self._lines.get(name):
                line.send(ConsensusMessage(self._name, msgspec.msgpack.encode(word)))
        if out.restored is not None:
            self.register = Register(out.restored.state)
        for index, entry in out.committed:
            self._apply(index, entry)
        raft.stored()
        if not raft.leads:
            self._give_up()
        if (snapshot := raft.compact(self.register.state())) is not None:
            self.recall(agreed := Agreed(msgspec.to_builtins(snapshot)))
            self._note(agreed)
        if raft.leader != self._leader:
            self._leader = raft.leader
            _log.info("leader", leader=raft.leader, term=raft.hard.term)
        return True

    def _apply(self, index: int, entry: Entry) -> None:
        good = self.register.apply(entry.command) if entry.command is not None else False
        if waiting := self._waiting.pop(index, None):
            put, told = waiting
            mine = (
                entry.command is not None and msgspec.convert(msgspec.to_builtins(entry.command), Put) == put
            )
            told(good and mine)

    def _give_up(self) -> None:
        """Who leads no more cannot tell what becomes of what it proposed."""
        waiting, self._waiting = self._waiting, {}
        for _, told in waiting.values():
            told(False)

    async def put(self, key: str, value: Any, version: int, number: int) -> bool | None:
        """Change a key from a version; False where that was not it, or another leads by now.

        None where this member does not lead: `raft.leader` says who may. False does not prove that nothing
        was changed, as who loses the lead cannot know; the key's version tells.
        """
        if self.raft is None or not self.raft.leads:
            return None
        put = Put(key, value, version, self._name, number)
        index = self.raft.propose(put)
        if index is None:
            return None
        told: list[bool] = []
        event = anyio.Event()

        def answer(good: bool) -> None:
            told.append(good)
            event.set()

        self._waiting[index] = put, answer
        self._changed.set()
        await event.wait()
        return told[0]
