"""The register in a running agent: Raft's words over the link, its state in the agent's own record."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import anyio
import msgspec

from frostfall import log
from frostfall.consensus.raft import (
    AppendEntries,
    AppendEntriesResponse,
    HardState,
    InstallSnapshot,
    Raft,
    RequestVote,
    RequestVoteResponse,
)
from frostfall.consensus.raft_log import Entry, Snapshot
from frostfall.consensus.register import CompareAndSet, Register
from frostfall.net.log_writer import LogWriter
from frostfall.net.member_transport import MemberConnection
from frostfall.protocol.member_messages import ConsensusMessage
from frostfall.recovery.metadata import MetadataRecord, RaftEntry, RaftSnapshot, RaftVote

TICK_INTERVAL = 0.05  # seconds: an election begins after half a second to a second without a leader

_log = log.get_logger("agreement")
_DECODER = msgspec.msgpack.Decoder(
    RequestVote | RequestVoteResponse | AppendEntries | AppendEntriesResponse | InstallSnapshot
)


class ConsensusDriver:
    """One member of the register."""

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        disk: LogWriter,
        write_fact: Callable[[MetadataRecord], int],
        lines: dict[str, MemberConnection],
        seed: int,
    ) -> None:
        """`note` writes a fact down and gives its ticket; `recall` is handed what was written before."""
        self._name, self._disk, self._note, self._lines, self._seed = name, disk, write_fact, lines, seed
        self._hard, self._snapshot = HardState(), Snapshot(voters=voters)
        self._entries: dict[int, Entry] = {}
        self.raft: Raft | None = None
        self.register = Register()
        self._waiting: dict[int, tuple[CompareAndSet, Callable[[bool], None]]] = {}
        self._changed = anyio.Event()
        self._leader = ""

    # ---- the past ------------------------------------------------------------------------------------

    def restore(self, fact: RaftVote | RaftEntry | RaftSnapshot) -> None:
        """What was written down, in order."""
        match fact:
            case RaftVote(term, vote):
                self._hard = HardState(term, vote)
            case RaftEntry(index, raw):
                self._entries = {at: entry for at, entry in self._entries.items() if at < index}
                self._entries[index] = msgspec.convert(raw, Entry)
            case RaftSnapshot(raw):
                self._snapshot = msgspec.convert(raw, Snapshot)
                self._entries = {
                    at: entry for at, entry in self._entries.items() if at > self._snapshot.index
                }

    def stored_state(self) -> Iterable[MetadataRecord]:
        """What a new segment of the record begins with."""
        yield RaftSnapshot(msgspec.to_builtins(self._snapshot))
        yield RaftVote(self._hard.term, self._hard.voted_for)
        for index in sorted(self._entries):
            yield RaftEntry(index, msgspec.to_builtins(self._entries[index]))

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
            await anyio.sleep(TICK_INTERVAL)
            self.raft.tick()
            self._changed.set()

    def handle_message(self, message: ConsensusMessage) -> None:
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
            self.restore(agreed := RaftSnapshot(msgspec.to_builtins(out.snapshot)))
            ticket = self._note(agreed)
        if out.hard_state is not None:
            self.restore(voted := RaftVote(out.hard_state.term, out.hard_state.voted_for))
            ticket = self._note(voted)
        for index, entry in out.entries:
            self.restore(ruled := RaftEntry(index, msgspec.to_builtins(entry)))
            ticket = self._note(ruled)
        if ticket and not await self._disk.wait_durable(ticket):
            return False
        for name, word in out.messages:
            if line := self._lines.get(name):
                line.send(ConsensusMessage(self._name, msgspec.msgpack.encode(word)))
        if out.restored_snapshot is not None:
            self.register = Register(out.restored_snapshot.state)
        for index, entry in out.committed_entries:
            self._apply(index, entry)
        raft.advance()
        if not raft.is_leader:
            self._give_up()
        if (snapshot := raft.compact(self.register.state())) is not None:
            self.restore(agreed := RaftSnapshot(msgspec.to_builtins(snapshot)))
            self._note(agreed)
        if raft.leader != self._leader:
            self._leader = raft.leader
            _log.info("leader", leader=raft.leader, term=raft.hard_state.term)
        return True

    def _apply(self, index: int, entry: Entry) -> None:
        good = self.register.apply(entry.command) if entry.command is not None else False
        if waiting := self._waiting.pop(index, None):
            put, told = waiting
            mine = (
                entry.command is not None
                and msgspec.convert(msgspec.to_builtins(entry.command), CompareAndSet) == put
            )
            told(good and mine)

    def _give_up(self) -> None:
        """Who leads no more cannot tell what becomes of what it proposed."""
        waiting, self._waiting = self._waiting, {}
        for _, told in waiting.values():
            told(False)

    async def compare_and_set(
        self, key: str, value: Any, expected_version: int, sequence_number: int
    ) -> bool | None:
        """Change a key from a version; False where that was not it, or another leads by now.

        None where this member does not lead: `raft.leader` says who may. False does not prove that nothing
        was changed, as who loses the lead cannot know; the key's version tells.
        """
        if self.raft is None or not self.raft.is_leader:
            return None
        put = CompareAndSet(key, value, expected_version, self._name, sequence_number)
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
