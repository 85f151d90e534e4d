"""Raft (Ongaro and Ousterhout, 2014; pre-vote, one-server changes and check quorum after Ongaro's thesis).

No I/O and no clock: the owner calls `tick` in turns, hands in what comes with `step`, and carries out what
`ready` gives, in this order: `hard` and `entries` to the disk, then `messages`, then `committed` to the
register. No message may go before the disk has what it rests on; `ready` is asked again only once all that is
done.

A leader that has not heard a majority for an election's time steps down. That is no safety, which rests on
terms and logs alone; it is there so that a deposed leader finds out by itself.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import msgspec

from frostfall.consensus.raft_log import Entry, RaftLog, Snapshot

ELECTION_TIMEOUT_TICKS = (
    10  # ticks without a leader's word after which a member asks for votes, up to twice as many
)
HEARTBEAT_INTERVAL_TICKS = 2  # ticks between two words of a leader
SNAPSHOT_THRESHOLD = 256  # applied entries that are kept before a snapshot stands for them


class Role(Enum):
    """What a member is just now."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """What has to be on disk before it is told: the term, and who was voted for in it."""

    term: int = 0
    voted_for: str = ""


class RequestVote(msgspec.Struct, tag="vote?", array_like=True):
    """Vote for me; with `pre`, only whether you would."""

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool


class RequestVoteResponse(msgspec.Struct, tag="vote", array_like=True):
    """The answer."""

    term: int
    vote_granted: bool
    pre_vote: bool


class AppendEntries(msgspec.Struct, tag="append", array_like=True):
    """A leader's word: what follows an entry, and how far all is decided."""

    term: int
    prev_log_index: int
    prev_log_term: int
    entries: list[Entry]
    leader_commit: int


class AppendEntriesResponse(msgspec.Struct, tag="appended", array_like=True):
    """The answer: on disk up to `last`, or where to begin."""

    term: int
    success: bool
    last_log_index: int


class InstallSnapshot(msgspec.Struct, tag="install", array_like=True):
    """A snapshot for a member that is further behind than the log reaches."""

    term: int
    snapshot: Snapshot


RaftMessage = RequestVote | RequestVoteResponse | AppendEntries | AppendEntriesResponse | InstallSnapshot


@dataclass(slots=True)
class Ready:
    """What to do now, in this order."""

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None  # to the disk, in the place of what stands before its index
    entries: list[tuple[int, Entry]] = field(default_factory=list)  # to the disk; what stood there goes
    messages: list[tuple[str, RaftMessage]] = field(default_factory=list)
    restored_snapshot: Snapshot | None = None  # to the register, in the place of its state
    committed_entries: list[tuple[int, Entry]] = field(default_factory=list)  # to the register


class Raft:
    """One member."""

    def __init__(
        self,
        name: str,
        snapshot: Snapshot,
        hard_state: HardState | None = None,
        entries: list[Entry] | None = None,
        seed: int = 0,
    ) -> None:
        """As it was on disk; a first start has a snapshot with the voters."""
        self.name = name
        self.log = RaftLog(snapshot)
        self.log.entries = list(entries or [])
        self.hard_state = hard_state or HardState()
        self.role, self.leader = Role.FOLLOWER, ""
        self.commit_index = self.last_applied = snapshot.index
        self._random = random.Random(f"{name} {seed}")
        self._quiet = 0  # ticks since a leader's word, or since a majority was heard
        self._limit = ELECTION_TIMEOUT_TICKS
        self._beat = 0
        self._votes: dict[str, bool] = {}
        self._pre = False
        self._next: dict[str, int] = {}
        self._match: dict[str, int] = {}
        self._heard: set[str] = set()
        self._out = Ready()
        self._saved = self.hard_state
        self._stable = self.log.last_index  # entries up to here are on disk, or in what `ready` has given
        self._reset()

    # ---- for the owner -------------------------------------------------------------------------------

    @property
    def voters(self) -> tuple[str, ...]:
        """Who votes; a change counts from when it stands in the log."""
        return self.log.voters()

    @property
    def is_leader(self) -> bool:
        """Whether this member may decide."""
        return self.role is Role.LEADER

    def propose(self, command: Any) -> int | None:
        """Let a command be agreed on: its index if it comes about in this term, None where another leads."""
        return self._add(Entry(self.hard_state.term, command)) if self.is_leader else None

    def change_voters(self, voters: tuple[str, ...]) -> int | None:
        """Let one voter come or go; None where another leads, or an earlier change is not decided yet."""
        odd = set(voters) ^ set(self.voters)
        # Danger: before an entry of the own term is decided, two leaders could change different voters,
        # whose majorities need not meet.
        settled = (
            self.log.voters_index() <= self.commit_index
            and self.log.term_at(self.commit_index) == self.hard_state.term
        )
        if not self.is_leader or len(odd) != 1 or not voters or not settled:
            return None
        return self._add(Entry(self.hard_state.term, None, tuple(voters)))

    def tick(self) -> None:
        """One more turn has gone by."""
        self._quiet += 1
        if self.is_leader:
            self._beat += 1
            if self._quiet >= ELECTION_TIMEOUT_TICKS:
                if len(self._heard & set(self.voters) | {self.name}) <= len(self.voters) // 2:
                    self._follow(self.hard_state.term, "")
                    return
                self._heard, self._quiet = set(), 0
            if self._beat >= HEARTBEAT_INTERVAL_TICKS:
                self._beat = 0
                for other in self._others():
                    self._send_append(other)
        elif self._quiet >= self._limit and self.name in self.voters:
            self._campaign(pre=True)

    def step(self, sender: str, message: RaftMessage) -> None:
        """Take in what a member says."""
        if isinstance(message, RequestVote):
            self._asked(sender, message)
            return
        if message.term > self.hard_state.term and not (
            isinstance(message, RequestVoteResponse) and message.pre_vote and message.vote_granted
        ):
            self._follow(message.term, sender if isinstance(message, AppendEntries | InstallSnapshot) else "")
        match message:
            case RequestVoteResponse():
                self._voted(sender, message)
            case AppendEntries():
                self._append(sender, message)
            case AppendEntriesResponse():
                self._appended(sender, message)
            case InstallSnapshot():
                self._install(sender, message)

    def ready(self) -> Ready:
        """What has come up since the last time."""
        out, self._out = self._out, Ready()
        if self.hard_state != self._saved:
            out.hard_state = self._saved = self.hard_state
        first = max(self._stable, self.log.snapshot.index)
        out.entries = [
            (first + offset, entry)
            for offset, entry in enumerate(self.log.entries_after(first, len(self.log.entries)), 1)
        ]
        self._stable = self.log.last_index
        begin = max(self.last_applied, self.log.snapshot.index)
        out.committed_entries = [
            (index, self.log.entry_at(index)) for index in range(begin + 1, self.commit_index + 1)
        ]
        self.last_applied = max(self.last_applied, self.commit_index)
        return out

    def advance(self) -> None:
        """All that the last `ready` gave is on disk: a leader's own entries count from here on."""
        if self.is_leader:
            self._match[self.name] = self._stable
            self._decide()

    def compact(self, state: Any) -> Snapshot | None:
        """With the register's state at `applied`: a snapshot for the disk, once many entries can go."""
        if self.last_applied - self.log.snapshot.index < SNAPSHOT_THRESHOLD:
            return None
        term = self.log.term_at(self.last_applied)
        voters = self.log.snapshot.voters
        for entry in self.log.entries_after(
            self.log.snapshot.index, self.last_applied - self.log.snapshot.index
        ):
            voters = entry.voters if entry.voters is not None else voters
        assert term is not None
        self.log.compact(Snapshot(self.last_applied, term, voters, state))
        return self.log.snapshot

    # ---- elections ------------------------------------------------------------------------------------

    def _others(self) -> list[str]:
        return [name for name in self.voters if name != self.name]

    def _reset(self) -> None:
        self._quiet, self._limit = 0, self._random.randint(ELECTION_TIMEOUT_TICKS, 2 * ELECTION_TIMEOUT_TICKS)

    def _follow(self, term: int, leader: str) -> None:
        if term > self.hard_state.term:
            self.hard_state = HardState(term)
        self.role, self.leader, self._pre = Role.FOLLOWER, leader, False
        self._reset()

    def _campaign(self, pre: bool) -> None:
        self._reset()
        self._pre, self._votes, self.leader = pre, {self.name: True}, ""
        self.role = Role.FOLLOWER if pre else Role.CANDIDATE
        if not pre:
            self.hard_state = HardState(self.hard_state.term + 1, self.name)
        if len(self.voters) == 1:
            self._count()
            return
        for other in self._others():
            self._say(
                other, RequestVote(self.hard_state.term + pre, self.log.last_index, self.log.last_term, pre)
            )

    def _asked(self, sender: str, word: RequestVote) -> None:
        current = (word.last_log_term, word.last_log_index) >= (self.log.last_term, self.log.last_index)
        # Danger: one that was cut off and comes back would depose a leader that all others hear.
        served = self.is_leader or (bool(self.leader) and self._quiet < ELECTION_TIMEOUT_TICKS)
        if word.pre_vote:
            granted = word.term > self.hard_state.term and current and not served
            self._say(
                sender, RequestVoteResponse(word.term if granted else self.hard_state.term, granted, True)
            )
            return
        if word.term > self.hard_state.term and not served:
            self._follow(word.term, "")
        free = self.hard_state.voted_for in ("", sender) and not self.is_leader
        granted = word.term == self.hard_state.term and current and free
        if granted:
            self.hard_state = HardState(self.hard_state.term, sender)
            self._reset()
        self._say(sender, RequestVoteResponse(self.hard_state.term, granted, False))

    def _voted(self, sender: str, word: RequestVoteResponse) -> None:
        waiting = (self._pre and word.pre_vote and word.term == self.hard_state.term + 1) or (
            self.role is Role.CANDIDATE and not word.pre_vote and word.term == self.hard_state.term
        )
        if waiting and word.vote_granted:
            self._votes[sender] = True
            self._count()

    def _count(self) -> None:
        if sum(self._votes.get(name, False) for name in self.voters) <= len(self.voters) // 2:
            return
        if self._pre:
            self._campaign(pre=False)
            return
        self.role, self.leader, self._beat = Role.LEADER, self.name, 0
        self._heard, self._quiet = set(), 0
        self._next = {name: self.log.last_index + 1 for name in self.voters}
        self._match = dict.fromkeys(self.voters, 0)
        self._add(Entry(self.hard_state.term))  # what earlier terms left is decided with it

    # ---- the log ----------------------------------------------------------------------------------------

    def _add(self, entry: Entry) -> int:
        index = self.log.append(entry)
        for other in self._others():
            self._send_append(other)
        return index

    def _send_append(self, other: str) -> None:
        begin = self._next.setdefault(other, self.log.last_index + 1)
        before = begin - 1
        term = self.log.term_at(before)
        if term is None:
            self._say(other, InstallSnapshot(self.hard_state.term, self.log.snapshot))
            self._next[other] = self.log.snapshot.index + 1
            return
        entries = self.log.entries_after(before)
        self._say(other, AppendEntries(self.hard_state.term, before, term, entries, self.commit_index))
        self._next[other] = before + len(entries) + 1

    def _append(self, sender: str, word: AppendEntries) -> None:
        if word.term < self.hard_state.term:
            self._say(sender, AppendEntriesResponse(self.hard_state.term, False, 0))
            return
        self._follow(word.term, sender)
        if (
            word.prev_log_index > self.log.snapshot.index
            and self.log.term_at(word.prev_log_index) != word.prev_log_term
        ):
            self._say(
                sender,
                AppendEntriesResponse(
                    self.hard_state.term, False, min(word.prev_log_index - 1, self.log.last_index)
                ),
            )
            return
        changed = self.log.reconcile(word.prev_log_index, word.entries)
        if changed is not None:
            self._stable = min(self._stable, changed - 1)
        last = word.prev_log_index + len(word.entries)
        self.commit_index = max(self.commit_index, min(word.leader_commit, last))
        self._say(sender, AppendEntriesResponse(self.hard_state.term, True, last))

    def _appended(self, sender: str, word: AppendEntriesResponse) -> None:
        if not self.is_leader or word.term != self.hard_state.term:
            return
        self._heard.add(sender)
        if word.success:
            self._match[sender] = max(self._match.get(sender, 0), word.last_log_index)
            self._next[sender] = max(self._next.get(sender, 1), word.last_log_index + 1)
            self._decide()
            if self._next[sender] <= self.log.last_index:
                self._send_append(sender)
        else:
            self._next[sender] = max(word.last_log_index + 1, 1)
            self._send_append(sender)

    def _install(self, sender: str, word: InstallSnapshot) -> None:
        if word.term < self.hard_state.term:
            return
        self._follow(word.term, sender)
        snapshot = word.snapshot
        if snapshot.index > self.commit_index:
            whole = self.log.term_at(snapshot.index) == snapshot.term
            if whole:
                self.log.compact(snapshot)
            else:
                self.log = RaftLog(snapshot)
            self._stable = min(max(self._stable, snapshot.index), self.log.last_index)
            self.commit_index = self.last_applied = snapshot.index
            self._out.snapshot = self._out.restored_snapshot = snapshot
        self._say(sender, AppendEntriesResponse(self.hard_state.term, True, snapshot.index))

    def _decide(self) -> None:
        known = sorted((self._match.get(name, 0) for name in self.voters), reverse=True)
        index = known[len(self.voters) // 2]
        # Danger: an entry of an earlier term on a majority can still be replaced; one of the own term cannot.
        if index > self.commit_index and self.log.term_at(index) == self.hard_state.term:
            self.commit_index = index
            if self.log.voters_index() <= self.commit_index and self.name not in self.voters:
                self._follow(self.hard_state.term, "")
                return
            for other in self._others():
                self._send_append(other)

    def _say(self, other: str, word: RaftMessage) -> None:
        self._out.messages.append((other, word))
