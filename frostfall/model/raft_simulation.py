"""Simulation of a Raft group in virtual rounds, with lost, delayed, duplicated and reordered messages.

Members also lose power, and links are cut. A run is deterministic for a seed. Invariants are checked during
the run, and the first violation ends it with an `InvariantViolation` that states the reason.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec

from frostfall.consensus.messages import RaftMessage
from frostfall.consensus.raft import HardState, Raft
from frostfall.consensus.raft_log import Entry, Snapshot
from frostfall.consensus.register import CompareAndSet, Register

FAULT_FREE_ROUNDS = 200  # at the end of a run, for recovery from all faults


class InvariantViolation(Exception):
    """An invariant of the consensus protocol does not hold."""


class Disk:
    """The durable state of a member, which survives power losses."""

    def __init__(self, voters: tuple[str, ...]) -> None:
        self.hard_state, self.snapshot = HardState(), Snapshot(voters=voters)
        self.entries: dict[int, Entry] = {}


class Group:
    """All members of a group, their disks and the links between them."""

    def __init__(self, seed: int, count: int, make_raft: Callable[..., Raft] = Raft) -> None:
        """Create `count` members named n0, n1, ...; tests pass a faulty implementation as `make_raft`."""
        self.random, self.round, self._make_raft, self._seed = random.Random(seed), 0, make_raft, seed
        self.names = tuple(f"n{index}" for index in range(count))
        self.disks = {name: Disk(self.names) for name in self.names}
        self.rafts: dict[str, Raft | None] = {}
        self.registers: dict[str, Register] = {}
        # Round of delivery, sending order, sender, receiver and message.
        self.in_transit: list[tuple[int, int, str, str, RaftMessage]] = []
        self.leaders: dict[int, str] = {}  # by term
        self.committed: dict[int, tuple[int, Any]] = {}  # term and command by log index
        self.effective_commands: list[CompareAndSet] = []  # commands that changed the register, in order
        self.cut_links: set[frozenset[str]] = set()
        self._send_count = 0
        self._proposal_counts = dict.fromkeys(self.names, 0)
        for name in self.names:
            self._start(name)

    def _start(self, name: str) -> None:
        disk, entries = self.disks[name], list[Entry]()
        while (entry := disk.entries.get(disk.snapshot.index + len(entries) + 1)) is not None:
            entries.append(entry)
        self.rafts[name] = self._make_raft(
            name, disk.snapshot, disk.hard_state, entries, self._seed + self.round
        )
        self.registers[name] = Register(disk.snapshot.state)

    def _process_ready(self, name: str, lose_power: bool = False) -> None:
        """Process the pending output of a member; `lose_power`: power is lost after a random step."""
        raft, disk = self.rafts[name], self.disks[name]
        assert raft is not None
        ready, step = raft.ready(), self.random.randint(0, 3) if lose_power else 9
        if step >= 1 and ready.hard_state:
            disk.hard_state = ready.hard_state
        if step >= 2 and ready.snapshot:
            disk.snapshot = ready.snapshot
            disk.entries = {at: entry for at, entry in disk.entries.items() if at > ready.snapshot.index}
        if step >= 2 and ready.entries:
            first = ready.entries[0][0]
            disk.entries = {at: entry for at, entry in disk.entries.items() if at < first} | dict(
                ready.entries
            )
        if step >= 3:
            for other, message in ready.messages:
                self._send(name, other, message)
        if lose_power:
            self.rafts[name] = None
            return
        if ready.restored_snapshot is not None:
            self.registers[name] = Register(ready.restored_snapshot.state)
        for index, entry in ready.committed_entries:
            self._apply(name, index, entry)
        raft.advance()
        if (snapshot := raft.compact(self.registers[name].state())) is not None:
            disk.snapshot = snapshot
            disk.entries = {at: entry for at, entry in disk.entries.items() if at > snapshot.index}
        if raft.is_leader and self.leaders.setdefault(raft.hard_state.term, name) != name:
            raise InvariantViolation(
                f"{name} and {self.leaders[raft.hard_state.term]} both lead term {raft.hard_state.term}"
            )

    def _apply(self, name: str, index: int, entry: Entry) -> None:
        applied = entry.term, msgspec.to_builtins(entry.command)
        committed = self.committed.setdefault(index, applied)
        if committed != applied:
            raise InvariantViolation(f"entry {index} is {entry} at {name}, but {committed} at another member")
        if entry.command is not None:
            self.registers[name].apply(entry.command)

    def _send(self, sender: str, receiver: str, message: RaftMessage) -> None:
        if receiver not in self.names:
            return
        deliveries = (
            1 if self.round > self._last_fault_round else self.random.choices((0, 1, 2), (0.1, 0.85, 0.05))[0]
        )
        for _ in range(deliveries):
            self._send_count += 1
            delay = self.random.choice((1, 1, 1, 2, 3, 9)) if self.round <= self._last_fault_round else 1
            raw = msgspec.msgpack.encode(message)
            self.in_transit.append(
                (
                    self.round + delay,
                    self._send_count,
                    sender,
                    receiver,
                    msgspec.msgpack.decode(raw, type=RaftMessage),
                )
            )

    def run(self, rounds: int, fault_factor: float = 1.0) -> None:
        """Run `rounds` rounds with faults, then `FAULT_FREE_ROUNDS` without.

        `fault_factor` multiplies the probabilities of faults. Raises InvariantViolation.
        """
        self._last_fault_round, self._fault_factor = rounds, fault_factor
        for self.round in range(1, rounds + FAULT_FREE_ROUNDS + 1):
            if self.round <= rounds:
                self._inject_fault()
            elif self.round == rounds + 1:
                self.cut_links.clear()
                for name in self.names:
                    if self.rafts[name] is None:
                        self._start(name)
            due = sorted(envelope for envelope in self.in_transit if envelope[0] <= self.round)
            self.in_transit = [envelope for envelope in self.in_transit if envelope[0] > self.round]
            self.random.shuffle(due)
            for _, _, sender, receiver, message in due:
                raft = self.rafts[receiver]
                if raft is not None and frozenset((sender, receiver)) not in self.cut_links:
                    raft.step(sender, message)
                    self._process_ready(receiver)
            for name in self.names:
                raft = self.rafts[name]
                if raft is None:
                    continue
                raft.tick()
                if raft.is_leader and self.random.random() < 0.3:
                    self._propose(name, raft)
                self._process_ready(name)
        self._check_final_state()

    def _propose(self, name: str, raft: Raft) -> None:
        self._proposal_counts[name] += 1
        key = self.random.choice("abc")
        version = self.registers[name].get(key).version
        number = self.round * 100 + self._proposal_counts[name] % 100
        raft.propose(CompareAndSet(key, f"{name} {number}", version, name, number))

    def _inject_fault(self) -> None:
        draw = self.random.random() / self._fault_factor
        name = self.random.choice(self.names)
        if draw < 0.02 and self.rafts[name] is not None:
            self._process_ready(name, lose_power=True)
        elif draw < 0.08 and self.rafts[name] is None:
            self._start(name)
        elif draw < 0.10:
            self.cut_links.add(frozenset(self.random.sample(self.names, 2)))
        elif draw < 0.14 and self.cut_links:
            self.cut_links.discard(self.random.choice(sorted(self.cut_links, key=sorted)))
        elif draw < 0.16:
            for raft in self.rafts.values():
                if raft and raft.is_leader:
                    voters = set(raft.voters) ^ {name}
                    if len(voters) >= 2:
                        raft.change_voters(tuple(sorted(voters)))

    def _check_final_state(self) -> None:
        leaders = [name for name, raft in self.rafts.items() if raft and raft.is_leader]
        if len(leaders) != 1:
            raise InvariantViolation(f"after the fault-free rounds, the leaders are {leaders or 'none'}")
        leader = self.rafts[leaders[0]]
        assert leader is not None
        for name in leader.voters:
            raft = self.rafts[name]
            if raft is None or raft.last_applied < leader.commit_index - 5:
                raise InvariantViolation(f"{name} lags behind the leader after the fault-free rounds")
        versions: dict[str, int] = {}
        for index in sorted(self.committed):
            command = self.committed[index][1]
            if command is None:
                continue
            write = (
                msgspec.convert(command, CompareAndSet) if not isinstance(command, CompareAndSet) else command
            )
            if write.expected_version == versions.get(write.key, 0):
                versions[write.key] = write.expected_version + 1
        final = self.registers[leaders[0]]
        for key, version in versions.items():
            if final.get(key).version > version:
                raise InvariantViolation(
                    f"{key} has version {final.get(key).version}, but {version} were committed"
                )
