"""Drives Raft in a running agent: messages over the member transport, state in the agent's own log."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec

from frostfall import log
from frostfall.consensus.messages import RaftMessage
from frostfall.consensus.raft import HardState, Raft, Ready
from frostfall.consensus.raft_log import Entry, IndexedEntry, Snapshot
from frostfall.consensus.register import CompareAndSet, Register, decode_command
from frostfall.net.log_writer import LogWriter
from frostfall.net.member_transport import MemberConnection
from frostfall.protocol.member_messages import ConsensusMessage
from frostfall.recovery.metadata import MetadataRecord, RaftEntry, RaftSnapshot, RaftVote

TICK_INTERVAL = 0.05  # seconds: an election begins after half a second to a second without a leader

_log = log.get_logger("agreement")
_DECODER: msgspec.msgpack.Decoder[RaftMessage] = msgspec.msgpack.Decoder(RaftMessage)


@dataclass(slots=True)
class _Proposal:
    """A command of this member's that waits to be committed."""

    command: CompareAndSet
    succeeded: bool = False
    done: anyio.Event = field(default_factory=anyio.Event)

    def finish(self, succeeded: bool) -> None:
        self.succeeded = succeeded
        self.done.set()


class ConsensusDriver:
    """One member of the Raft group, with its copy of the register."""

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        disk: LogWriter,
        write_fact: Callable[[MetadataRecord], int],
        lines: dict[str, MemberConnection],
        seed: int,
    ) -> None:
        """Take the voters of a first start; call `restore` for what the log has before `run`.

        `write_fact` appends a record to the log and returns its ticket; `lines` has the other members.
        """
        self._name = name
        self._disk = disk
        self._write_fact = write_fact
        self._connections = lines
        self._seed = seed
        self._hard_state = HardState()
        self._snapshot = Snapshot(voters=voters)
        self._entries: dict[int, Entry] = {}  # by index: on disk, or on the way there
        self.raft: Raft | None = None  # None until `run` begins
        self.register = Register()
        self._proposals: dict[int, _Proposal] = {}  # by index
        self._changed = anyio.Event()
        self._logged_leader = ""

    # ---- state in the log ----------------------------------------------------------------------------

    def restore(self, fact: RaftVote | RaftEntry | RaftSnapshot) -> None:
        """Take in a record of the log, in the order in which they were written."""
        match fact:
            case RaftVote(term, voted_for):
                self._hard_state = HardState(term, voted_for)
            case RaftEntry(index, entry):
                self._entries = {at: earlier for at, earlier in self._entries.items() if at < index}
                self._entries[index] = msgspec.convert(entry, Entry)
            case RaftSnapshot(snapshot):
                self._snapshot = msgspec.convert(snapshot, Snapshot)
                self._entries = {
                    at: entry for at, entry in self._entries.items() if at > self._snapshot.index
                }

    def stored_state(self) -> Iterable[MetadataRecord]:
        """Yield the records that a new segment of the log begins with."""
        yield RaftSnapshot(msgspec.to_builtins(self._snapshot))
        yield RaftVote(self._hard_state.term, self._hard_state.voted_for)
        for index in sorted(self._entries):
            yield RaftEntry(index, msgspec.to_builtins(self._entries[index]))

    def _write(self, fact: RaftVote | RaftEntry | RaftSnapshot) -> int:
        self.restore(fact)
        return self._write_fact(fact)

    def _write_snapshot(self, snapshot: Snapshot) -> int:
        return self._write(RaftSnapshot(msgspec.to_builtins(snapshot)))

    # ---- running -------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Take part for good.

        Not for a member whose log is incomplete: it may have voted otherwise before.
        """
        entries: list[Entry] = []
        while (entry := self._entries.get(self._snapshot.index + len(entries) + 1)) is not None:
            entries.append(entry)
        self.raft = raft = Raft(self._name, self._snapshot, self._hard_state, entries, self._seed)
        self.register = Register(self._snapshot.state)
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._tick, raft)
            while True:
                self._changed = anyio.Event()
                await self._advance(raft)
                await self._changed.wait()

    async def _tick(self, raft: Raft) -> None:
        while True:
            await anyio.sleep(TICK_INTERVAL)
            if not self._disk.wal.failure_reason:  # what a member does of itself would only wait for the disk
                raft.tick()
                self._changed.set()

    def handle_message(self, message: ConsensusMessage) -> None:
        """Handle a Raft message of another member."""
        if self.raft is None or self._disk.wal.failure_reason:  # a member that cannot persist may not answer
            return
        try:
            raft_message = _DECODER.decode(message.payload)
        except msgspec.MsgspecError as error:
            _log.warning("raft message unreadable", member=message.sender, reason=str(error))
            return
        self.raft.step(message.sender, raft_message)
        self._changed.set()

    async def _advance(self, raft: Raft) -> None:
        """Carry out what is ready, in the order that Raft needs, however long the disk takes."""
        ready = raft.ready()
        ticket = self._persist(ready)
        if ticket and not await self._disk.wait_durable(ticket):
            await self._wait_for_disk(raft, ticket)
        for receiver, message in ready.messages:
            if connection := self._connections.get(receiver):
                connection.send(ConsensusMessage(self._name, msgspec.msgpack.encode(message)))
        if ready.restored_snapshot is not None:
            self.register = Register(ready.restored_snapshot.state)
        for committed in ready.committed_entries:
            self._apply(committed)
        raft.advance()
        if not raft.is_leader:
            self._fail_proposals()
        if (snapshot := raft.compact(self.register.state())) is not None:
            self._write_snapshot(snapshot)
        if raft.leader != self._logged_leader:
            self._logged_leader = raft.leader
            _log.info("leader", leader=raft.leader, term=raft.hard_state.term)

    async def _wait_for_disk(self, raft: Raft, ticket: int) -> None:
        """Be silent until what must be on disk is there: a write has failed, and the log tries it again."""
        # The records keep their places in the log's queue, so that term, vote and entries come before any
        # message that rests on them. Others elect a leader meanwhile; whoever waits here is told to go there.
        _log.error(
            "disk fails: silent in agreement until writes succeed", reason=self._disk.wal.failure_reason
        )
        self._fail_proposals()
        await self._disk.wait_written(ticket)
        if not raft.is_leader:  # a leader of a past term is told so by the first answer
            raft.step_down()
        _log.info("disk writes again: back in agreement")

    def _persist(self, ready: Ready) -> int:
        """Write what has to be on disk before any message is sent; the last ticket, 0 for nothing."""
        ticket = 0
        if ready.snapshot is not None:
            ticket = self._write_snapshot(ready.snapshot)
        if ready.hard_state is not None:
            ticket = self._write(RaftVote(ready.hard_state.term, ready.hard_state.voted_for))
        for index, entry in ready.entries:
            ticket = self._write(RaftEntry(index, msgspec.to_builtins(entry)))
        return ticket

    # ---- the register --------------------------------------------------------------------------------

    def _apply(self, committed: IndexedEntry) -> None:
        command = committed.entry.command
        succeeded = self.register.apply(command) if command is not None else False
        if proposal := self._proposals.pop(committed.log_index, None):
            # Another leader's entry may have taken the proposal's index.
            is_own = command is not None and _plain(command) == proposal.command
            proposal.finish(succeeded and is_own)

    def _fail_proposals(self) -> None:
        """End the proposals of a leader that was deposed: what becomes of them is not known here."""
        proposals, self._proposals = self._proposals, {}
        for proposal in proposals.values():
            proposal.finish(False)

    async def compare_and_set(
        self, key: str, value: Any, expected_version: int, sequence_number: int
    ) -> bool | None:
        """Set a key if it has a version; False where it has another one, or this member was deposed.

        None where this member does not lead: `raft.leader` says who does. False does not prove that nothing
        was changed, as a deposed leader cannot know; the key's version tells.
        """
        if self.raft is None or not self.raft.is_leader or self._disk.wal.failure_reason:
            return None
        command = CompareAndSet(key, value, expected_version, self._name, sequence_number)
        index = self.raft.propose(command)
        if index is None:
            return None
        self._proposals[index] = proposal = _Proposal(command)
        self._changed.set()
        await proposal.done.wait()
        return proposal.succeeded


def _plain(command: Any) -> CompareAndSet:
    """A command as it reads once it has been on a wire."""
    return decode_command(msgspec.to_builtins(command))
