"""Raft driver of an agent: messages use the member transport, and state is stored in the agent's log."""

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

TICK_INTERVAL = 0.05  # seconds; elections start after 0.5 to 1 second without a leader

_log = log.get_logger("agreement")
_DECODER: msgspec.msgpack.Decoder[RaftMessage] = msgspec.msgpack.Decoder(RaftMessage)


@dataclass(slots=True)
class _Proposal:
    """A command proposed by this member that is not committed yet."""

    command: CompareAndSet
    succeeded: bool = False
    done: anyio.Event = field(default_factory=anyio.Event)

    def finish(self, succeeded: bool) -> None:
        self.succeeded = succeeded
        self.done.set()


class ConsensusDriver:
    """One member of the Raft group, with its replica of the register."""

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        disk: LogWriter,
        write_record: Callable[[MetadataRecord], int],
        connections: dict[str, MemberConnection],
        seed: int,
    ) -> None:
        """Create a driver with the initial voters; `restore` applies the records of the log before `run`.

        `write_record` appends a record to the log and returns its ticket. `connections` has the connections
        to the other members, by name.
        """
        self._name = name
        self._disk = disk
        self._write_record = write_record
        self._connections = connections
        self._seed = seed
        self._hard_state = HardState()
        self._snapshot = Snapshot(voters=voters)
        self._entries: dict[int, Entry] = {}  # by index: entries on disk or queued for writing
        self.raft: Raft | None = None  # None until `run` begins
        self.register = Register()
        self._proposals: dict[int, _Proposal] = {}  # by index
        self._changed = anyio.Event()
        self._logged_leader = ""

    def restore(self, record: RaftVote | RaftEntry | RaftSnapshot) -> None:
        """Apply a record of the log; records must be applied in the order in which they were written."""
        match record:
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
        """Yield the records with which a new segment of the log begins."""
        yield RaftSnapshot(msgspec.to_builtins(self._snapshot))
        yield RaftVote(self._hard_state.term, self._hard_state.voted_for)
        for index in sorted(self._entries):
            yield RaftEntry(index, msgspec.to_builtins(self._entries[index]))

    def _write(self, record: RaftVote | RaftEntry | RaftSnapshot) -> int:
        self.restore(record)
        return self._write_record(record)

    def _write_snapshot(self, snapshot: Snapshot) -> int:
        return self._write(RaftSnapshot(msgspec.to_builtins(snapshot)))

    async def run(self) -> None:
        """Take part in consensus until cancelled.

        A member whose log is incomplete must not take part: it may already have voted differently.
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
            # While writes fail, anything that a tick starts would only wait for the disk.
            if not self._disk.wal.failure_reason:
                raft.tick()
                self._changed.set()

    def handle_message(self, message: ConsensusMessage) -> None:
        """Handle a Raft message from another member."""
        # A member must not respond while it cannot persist its state.
        if self.raft is None or self._disk.wal.failure_reason:
            return
        try:
            raft_message = _DECODER.decode(message.payload)
        except msgspec.MsgspecError as error:
            _log.warning("raft message unreadable", member=message.sender, reason=str(error))
            return
        self.raft.step(message.sender, raft_message)
        self._changed.set()

    async def _advance(self, raft: Raft) -> None:
        """Process the pending Raft output in the required order, however long the disk takes."""
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
        """Send nothing until a failed write has succeeded; the log writer retries the write."""
        # The records keep their positions in the log's queue, so that term, vote and entries are durable
        # before any message that depends on them. Meanwhile the other members elect a leader, and local
        # proposals fail so that their callers contact the new leader.
        _log.error(
            "disk write failed: consensus suspended until writes succeed",
            reason=self._disk.wal.failure_reason,
        )
        self._fail_proposals()
        await self._disk.wait_written(ticket)
        # A leader of a past term steps down when it receives the first response.
        if not raft.is_leader:
            raft.step_down()
        _log.info("disk writes succeed again: consensus resumed")

    def _persist(self, ready: Ready) -> int:
        """Write the state that must be durable before messages are sent; return the last ticket, or 0."""
        ticket = 0
        if ready.snapshot is not None:
            ticket = self._write_snapshot(ready.snapshot)
        if ready.hard_state is not None:
            ticket = self._write(RaftVote(ready.hard_state.term, ready.hard_state.voted_for))
        for index, entry in ready.entries:
            ticket = self._write(RaftEntry(index, msgspec.to_builtins(entry)))
        return ticket

    def _apply(self, committed: IndexedEntry) -> None:
        command = committed.entry.command
        succeeded = self.register.apply(command) if command is not None else False
        if proposal := self._proposals.pop(committed.log_index, None):
            # The entry of another leader may have replaced the proposal at its index.
            is_own = command is not None and _normalize(command) == proposal.command
            proposal.finish(succeeded and is_own)

    def _fail_proposals(self) -> None:
        """Fail the proposals of a deposed leader, whose outcome is unknown to this member."""
        proposals, self._proposals = self._proposals, {}
        for proposal in proposals.values():
            proposal.finish(False)

    async def compare_and_set(
        self, key: str, value: Any, expected_version: int, sequence_number: int
    ) -> bool | None:
        """Set a key if its version is `expected_version`.

        Returns None if this member is not the leader (`raft.leader` names the leader) or if its disk fails.
        Returns False if the version differs or this member was deposed. False does not prove that the key is
        unchanged, as a deposed leader does not know the outcome; the version of the key shows the outcome.
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


def _normalize(command: Any) -> CompareAndSet:
    """Return a command in the form that it has after encoding and decoding."""
    return decode_command(msgspec.to_builtins(command))
