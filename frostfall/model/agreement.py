"""Members that agree, in virtual turns: words are lost, late, doubled, out of order, and members lose power.

Deterministic for a seed. What has to hold is checked as it goes; the first breach ends the run with its
reason.
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

QUIET = 200  # turns at the end in which nothing goes wrong


class Breach(Exception):
    """Something that must never be."""


class Disk:
    """What of a member outlives its power."""

    def __init__(self, voters: tuple[str, ...]) -> None:
        self.hard, self.snapshot = HardState(), Snapshot(voters=voters)
        self.entries: dict[int, Entry] = {}


class Group:
    """All members, and what lies between them."""

    def __init__(self, seed: int, count: int, make: Callable[..., Raft] = Raft) -> None:
        """Members n0 and so on; `make` builds each, so that tests can put mutants in their place."""
        self.random, self.turn, self._make, self._seed = random.Random(seed), 0, make, seed
        self.names = tuple(f"n{place}" for place in range(count))
        self.disks = {name: Disk(self.names) for name in self.names}
        self.rafts: dict[str, Raft | None] = {}
        self.registers: dict[str, Register] = {}
        self.mail: list[tuple[int, int, str, str, RaftMessage]] = []
        self.leaders: dict[int, str] = {}  # by term
        self.decided: dict[int, tuple[int, Any]] = {}  # by index: term and command
        self.good: list[CompareAndSet] = []  # commands that changed something, in order
        self.cut: set[frozenset[str]] = set()
        self._order = 0
        self._numbers = dict.fromkeys(self.names, 0)
        for name in self.names:
            self._start(name)

    def _start(self, name: str) -> None:
        disk, entries = self.disks[name], list[Entry]()
        while (entry := disk.entries.get(disk.snapshot.index + len(entries) + 1)) is not None:
            entries.append(entry)
        self.rafts[name] = self._make(name, disk.snapshot, disk.hard, entries, self._seed + self.turn)
        self.registers[name] = Register(disk.snapshot.state)

    def _work(self, name: str, lose: bool = False) -> None:
        """Carry out what is ready; with `lose`, power goes somewhere on the way."""
        raft, disk = self.rafts[name], self.disks[name]
        assert raft is not None
        out, step = raft.ready(), self.random.randint(0, 3) if lose else 9
        if step >= 1 and out.hard_state:
            disk.hard = out.hard_state
        if step >= 2 and out.snapshot:
            disk.snapshot = out.snapshot
            disk.entries = {at: entry for at, entry in disk.entries.items() if at > out.snapshot.index}
        if step >= 2 and out.entries:
            first = out.entries[0][0]
            disk.entries = {at: entry for at, entry in disk.entries.items() if at < first} | dict(out.entries)
        if step >= 3:
            for other, word in out.messages:
                self._post(name, other, word)
        if lose:
            self.rafts[name] = None
            return
        if out.restored_snapshot is not None:
            self.registers[name] = Register(out.restored_snapshot.state)
        for index, entry in out.committed_entries:
            self._apply(name, index, entry)
        raft.advance()
        if (snapshot := raft.compact(self.registers[name].state())) is not None:
            disk.snapshot = snapshot
            disk.entries = {at: entry for at, entry in disk.entries.items() if at > snapshot.index}
        if raft.is_leader and self.leaders.setdefault(raft.hard_state.term, name) != name:
            raise Breach(
                f"{name} and {self.leaders[raft.hard_state.term]} lead in term {raft.hard_state.term}"
            )

    def _apply(self, name: str, index: int, entry: Entry) -> None:
        told = entry.term, msgspec.to_builtins(entry.command)
        known = self.decided.setdefault(index, told)
        if known != told:
            raise Breach(f"entry {index} is {entry} at {name} and {known} elsewhere")
        if entry.command is not None:
            self.registers[name].apply(entry.command)

    def _post(self, sender: str, receiver: str, word: RaftMessage) -> None:
        if receiver not in self.names:
            return
        copies = 1 if self.turn > self._calm else self.random.choices((0, 1, 2), (0.1, 0.85, 0.05))[0]
        for _ in range(copies):
            self._order += 1
            late = self.random.choice((1, 1, 1, 2, 3, 9)) if self.turn <= self._calm else 1
            raw = msgspec.msgpack.encode(word)
            self.mail.append(
                (
                    self.turn + late,
                    self._order,
                    sender,
                    receiver,
                    msgspec.msgpack.decode(raw, type=RaftMessage),
                )
            )

    def run(self, turns: int, rough: float = 1.0) -> None:
        """Play; Breach where something is not as it has to be. `rough`: how much more goes wrong."""
        self._calm, self._rough = turns, rough
        for self.turn in range(1, turns + QUIET + 1):
            if self.turn <= turns:
                self._trouble()
            elif self.turn == turns + 1:
                self.cut.clear()
                for name in self.names:
                    if self.rafts[name] is None:
                        self._start(name)
            due = sorted(each for each in self.mail if each[0] <= self.turn)
            self.mail = [each for each in self.mail if each[0] > self.turn]
            self.random.shuffle(due)
            for _, _, sender, receiver, word in due:
                raft = self.rafts[receiver]
                if raft is not None and frozenset((sender, receiver)) not in self.cut:
                    raft.step(sender, word)
                    self._work(receiver)
            for name in self.names:
                raft = self.rafts[name]
                if raft is None:
                    continue
                raft.tick()
                if raft.is_leader and self.random.random() < 0.3:
                    self._propose(name, raft)
                self._work(name)
        self._end()

    def _propose(self, name: str, raft: Raft) -> None:
        self._numbers[name] += 1
        key = self.random.choice("abc")
        version = self.registers[name].get(key).version
        number = self.turn * 100 + self._numbers[name] % 100
        raft.propose(CompareAndSet(key, f"{name} {number}", version, name, number))

    def _trouble(self) -> None:
        kind = self.random.random() / self._rough
        name = self.random.choice(self.names)
        if kind < 0.02 and self.rafts[name] is not None:
            self._work(name, lose=True)
        elif kind < 0.08 and self.rafts[name] is None:
            self._start(name)
        elif kind < 0.10:
            self.cut.add(frozenset(self.random.sample(self.names, 2)))
        elif kind < 0.14 and self.cut:
            self.cut.discard(self.random.choice(sorted(self.cut, key=sorted)))
        elif kind < 0.16:
            for raft in self.rafts.values():
                if raft and raft.is_leader:
                    voters = set(raft.voters) ^ {name}
                    if len(voters) >= 2:
                        raft.change_voters(tuple(sorted(voters)))

    def _end(self) -> None:
        leaders = [name for name, raft in self.rafts.items() if raft and raft.is_leader]
        if len(leaders) != 1:
            raise Breach(f"after the quiet end {leaders or 'nobody'} leads")
        leader = self.rafts[leaders[0]]
        assert leader is not None
        for name in leader.voters:
            raft = self.rafts[name]
            if raft is None or raft.last_applied < leader.commit_index - 5:
                raise Breach(f"{name} is behind after the quiet end")
        versions: dict[str, int] = {}
        for index in sorted(self.decided):
            command = self.decided[index][1]
            if command is None:
                continue
            put = (
                msgspec.convert(command, CompareAndSet) if not isinstance(command, CompareAndSet) else command
            )
            if put.expected_version == versions.get(put.key, 0):
                versions[put.key] = put.expected_version + 1
        final = self.registers[leaders[0]]
        for key, version in versions.items():
            if final.get(key).version > version:
                raise Breach(f"{key} has version {final.get(key).version}, and {version} were decided")
