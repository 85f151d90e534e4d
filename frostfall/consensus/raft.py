"""Raft (Ongaro and Ousterhout, 2014; pre-vote, one-server changes and check quorum after Ongaro's thesis).

No I/O and no clock: the owner calls `tick` at a fixed interval, passes messages to `step`, and processes the
result of `ready` in this order: write `hard_state`, `snapshot` and `entries` to disk, send `messages`, apply
`restored_snapshot` and `committed_entries` to the register, call `advance`. A message must not be sent before
the state that it depends on is on disk. `ready` may be called again only after all of these steps.

A leader that has received no response from a majority for an election timeout steps down, so that a deposed
leader notices its state by itself. Safety does not depend on this, only on terms and logs.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple

import msgspec

from frostfall.consensus.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    RaftMessage,
    RequestVote,
    RequestVoteResponse,
)
from frostfall.consensus.raft_log import Entry, IndexedEntry, RaftLog, Snapshot

ELECTION_TIMEOUT_TICKS = 10  # minimum ticks without a leader before an election; the maximum is twice this
HEARTBEAT_INTERVAL_TICKS = 2  # ticks between two heartbeats of a leader
EARLY_ELECTION_TICKS = 7  # maximum ticks before a member that has stepped down starts an election
SNAPSHOT_THRESHOLD = 256  # applied entries after which a snapshot replaces them


class Role(Enum):
    """A member's role."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """State that has to be on disk before a message that depends on it is sent."""

    term: int = 0
    voted_for: str = ""  # in this term; empty if no vote was cast


class Envelope(NamedTuple):
    """A message with its receiver."""

    receiver: str
    message: RaftMessage


@dataclass(slots=True)
class Ready:
    """Work for the owner, to be done in the order that the module's docstring states."""

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None  # replaces all entries on disk up to the snapshot's index
    entries: list[IndexedEntry] = field(default_factory=list)  # replace those on disk from the first index on
    messages: list[Envelope] = field(default_factory=list)
    restored_snapshot: Snapshot | None = None  # replaces the register's state
    committed_entries: list[IndexedEntry] = field(default_factory=list)  # to be applied to the register


class Raft:
    """One member's Raft state machine."""

    def __init__(
        self,
        name: str,
        snapshot: Snapshot,
        hard_state: HardState | None = None,
        entries: list[Entry] | None = None,
        seed: int = 0,
    ) -> None:
        """Start with the state from disk; at the first start, with a snapshot that has only the voters."""
        self.name = name
        self.log = RaftLog(snapshot, entries or ())
        self.hard_state = hard_state or HardState()
        self.role = Role.FOLLOWER
        self.leader = ""  # empty if unknown
        self.commit_index = self.last_applied = snapshot.index
        self._random = random.Random(f"{name} {seed}")
        self._contact_ticks = 0  # follower: since the leader's last message; leader: since the quorum check
        self._election_timeout = ELECTION_TIMEOUT_TICKS
        self._heartbeat_ticks = 0  # since a leader's last heartbeat
        self._is_pre_voting = False
        self._votes: dict[str, bool] = {}
        self._next_index: dict[str, int] = {}  # by member: the next entry to be sent
        self._match_index: dict[str, int] = {}  # by member: the last entry on its disk that matches this log
        self._responsive: set[str] = set()  # members that have responded since the last quorum check
        self._pending = Ready()
        self._saved_hard_state = self.hard_state
        self._stable_index = self.log.last_index  # last entry that is on disk or was returned by `ready`
        self._reset_election_timer()

    @property
    def voters(self) -> tuple[str, ...]:
        """Return the voting members; a change takes effect as soon as it is in the log."""
        return self.log.voters()

    @property
    def is_leader(self) -> bool:
        """Return whether this member is the leader."""
        return self.role is Role.LEADER

    def propose(self, command: Any) -> int | None:
        """Append a command to the log.

        Returns the index that the command has if it is committed in this term, or None if this member is not
        the leader.
        """
        return self._append(Entry(self.hard_state.term, command)) if self.is_leader else None

    def change_voters(self, voters: tuple[str, ...]) -> int | None:
        """Add or remove one voter; return the index of the new log entry.

        Returns None if this member is not the leader, if not exactly one voter changes or none would remain,
        or as long as an earlier change is not committed or no entry of the current term is.
        """
        changed = set(voters) ^ set(self.voters)
        # Without a committed entry of its own term, two leaders could each change a different voter, and the
        # majorities of the two resulting sets need not overlap.
        is_settled = (
            self.log.voters_index() <= self.commit_index
            and self.log.term_at(self.commit_index) == self.hard_state.term
        )
        if not self.is_leader or len(changed) != 1 or not voters or not is_settled:
            return None
        return self._append(Entry(self.hard_state.term, None, tuple(voters)))

    def step_down(self) -> None:
        """Become a follower without a leader, and start an election early.

        This member was silent, so the other members may have no leader. If a leader was elected meanwhile,
        its heartbeat arrives before the election starts, because heartbeats are more frequent.
        """
        self._become_follower(self.hard_state.term, "")
        self._election_timeout = self._random.randint(HEARTBEAT_INTERVAL_TICKS + 1, EARLY_ELECTION_TICKS)

    def tick(self) -> None:
        """Advance this member's timers by one tick."""
        self._contact_ticks += 1
        if self.is_leader:
            self._tick_leader()
        elif self._contact_ticks >= self._election_timeout and self.name in self.voters:
            self._campaign(pre_vote=True)

    def step(self, sender: str, message: RaftMessage) -> None:
        """Handle a message of another member."""
        if isinstance(message, RequestVote):
            self._handle_request_vote(sender, message)
            return
        is_granted_pre_vote = (
            isinstance(message, RequestVoteResponse) and message.pre_vote and message.vote_granted
        )
        if message.term > self.hard_state.term and not is_granted_pre_vote:
            was_leader = self.is_leader
            is_from_leader = isinstance(message, AppendEntries | InstallSnapshot)
            self._become_follower(message.term, sender if is_from_leader else "")
            if was_leader and not is_from_leader:
                # Most likely there is no leader: the newer term is that of a candidate without a majority.
                self.step_down()
        match message:
            case RequestVoteResponse():
                self._handle_vote_response(sender, message)
            case AppendEntries():
                self._handle_append_entries(sender, message)
            case AppendEntriesResponse():
                self._handle_append_response(sender, message)
            case InstallSnapshot():
                self._handle_install_snapshot(sender, message)

    def ready(self) -> Ready:
        """Return the work that has accumulated since the last call."""
        ready, self._pending = self._pending, Ready()
        if self.hard_state != self._saved_hard_state:
            ready.hard_state = self._saved_hard_state = self.hard_state
        ready.entries = self._entries_between(self._stable_index, self.log.last_index)
        self._stable_index = self.log.last_index
        ready.committed_entries = self._entries_between(self.last_applied, self.commit_index)
        self.last_applied = max(self.last_applied, self.commit_index)
        return ready

    def _entries_between(self, after: int, last: int) -> list[IndexedEntry]:
        begin = max(after, self.log.snapshot.index)
        return [IndexedEntry(index, self.log.entry_at(index)) for index in range(begin + 1, last + 1)]

    def advance(self) -> None:
        """Record that the result of the last `ready` is on disk; only then a leader's own entries count."""
        if self.is_leader:
            self._match_index[self.name] = self._stable_index
            self._advance_commit_index()

    def compact(self, state: Any) -> Snapshot | None:
        """Replace the applied entries by a snapshot if one is due, and return it for the disk; else None.

        `state` is the register's state at `last_applied`.
        """
        if self.last_applied - self.log.snapshot.index < SNAPSHOT_THRESHOLD:
            return None
        term = self.log.entry_at(self.last_applied).term
        voters = self.log.voters_as_of(self.last_applied)
        self.log.compact(Snapshot(self.last_applied, term, voters, state))
        return self.log.snapshot

    def _other_voters(self) -> list[str]:
        return [name for name in self.voters if name != self.name]

    def _is_majority(self, count: int) -> bool:
        return count > len(self.voters) // 2

    def _reset_election_timer(self) -> None:
        self._contact_ticks = 0
        self._election_timeout = self._random.randint(ELECTION_TIMEOUT_TICKS, 2 * ELECTION_TIMEOUT_TICKS)

    def _become_follower(self, term: int, leader: str) -> None:
        if term > self.hard_state.term:
            self.hard_state = HardState(term)
        self.role = Role.FOLLOWER
        self.leader = leader
        self._is_pre_voting = False
        self._reset_election_timer()

    def _become_leader(self) -> None:
        self.role = Role.LEADER
        self.leader = self.name
        self._heartbeat_ticks = 0
        self._responsive = set()
        self._contact_ticks = 0
        self._next_index = {name: self.log.last_index + 1 for name in self.voters}
        self._match_index = dict.fromkeys(self.voters, 0)
        self._append(Entry(self.hard_state.term))  # its commit also commits the entries of earlier terms

    def _tick_leader(self) -> None:
        self._heartbeat_ticks += 1
        if self._contact_ticks >= ELECTION_TIMEOUT_TICKS:
            if not self._is_majority(len(self._responsive & set(self.voters) | {self.name})):
                self._become_follower(self.hard_state.term, "")
                return
            self._responsive = set()
            self._contact_ticks = 0
        if self._heartbeat_ticks >= HEARTBEAT_INTERVAL_TICKS:
            self._heartbeat_ticks = 0
            for other in self._other_voters():
                self._send_entries(other)

    def _campaign(self, pre_vote: bool) -> None:
        self._reset_election_timer()
        self._is_pre_voting = pre_vote
        self._votes = {self.name: True}
        self.leader = ""
        self.role = Role.FOLLOWER if pre_vote else Role.CANDIDATE
        if not pre_vote:
            self.hard_state = HardState(self.hard_state.term + 1, self.name)
        if len(self.voters) == 1:
            self._count_votes()
            return
        term = self.hard_state.term + 1 if pre_vote else self.hard_state.term
        for other in self._other_voters():
            self._send(other, RequestVote(term, self.log.last_index, self.log.last_term, pre_vote))

    def _handle_request_vote(self, sender: str, request: RequestVote) -> None:
        last_entry = (self.log.last_term, self.log.last_index)
        is_up_to_date = (request.last_log_term, request.last_log_index) >= last_entry
        # Otherwise a member that rejoins after a partition would depose a leader with whom all others are in
        # contact. If the leader itself requests a vote, it has stepped down.
        follows_leader = self.leader not in ("", sender) and self._contact_ticks < ELECTION_TIMEOUT_TICKS
        has_leader = self.is_leader or follows_leader
        if request.pre_vote:
            granted = request.term > self.hard_state.term and is_up_to_date and not has_leader
            term = request.term if granted else self.hard_state.term
            self._send(sender, RequestVoteResponse(term, granted, True))
            return
        if request.term > self.hard_state.term and not has_leader:
            self._become_follower(request.term, "")
        may_vote = self.hard_state.voted_for in ("", sender) and not self.is_leader
        granted = request.term == self.hard_state.term and is_up_to_date and may_vote
        if granted:
            self.hard_state = HardState(self.hard_state.term, sender)
            self._reset_election_timer()
        self._send(sender, RequestVoteResponse(self.hard_state.term, granted, False))

    def _handle_vote_response(self, sender: str, response: RequestVoteResponse) -> None:
        if response.pre_vote:
            is_expected = self._is_pre_voting and response.term == self.hard_state.term + 1
        else:
            is_expected = self.role is Role.CANDIDATE and response.term == self.hard_state.term
        if is_expected and response.vote_granted:
            self._votes[sender] = True
            self._count_votes()

    def _count_votes(self) -> None:
        if not self._is_majority(sum(self._votes.get(name, False) for name in self.voters)):
            return
        if self._is_pre_voting:
            self._campaign(pre_vote=False)
        else:
            self._become_leader()

    def _append(self, entry: Entry) -> int:
        index = self.log.append(entry)
        for other in self._other_voters():
            self._send_entries(other)
        return index

    def _send_entries(self, other: str) -> None:
        """Send a member the entries that it lacks, or a snapshot if the log no longer has them."""
        prev_index = self._next_index.setdefault(other, self.log.last_index + 1) - 1
        prev_term = self.log.term_at(prev_index)
        if prev_term is None:
            self._send(other, InstallSnapshot(self.hard_state.term, self.log.snapshot))
            self._next_index[other] = self.log.snapshot.index + 1
            return
        entries = self.log.entries_after(prev_index)
        request = AppendEntries(self.hard_state.term, prev_index, prev_term, entries, self.commit_index)
        self._send(other, request)
        self._next_index[other] = prev_index + len(entries) + 1

    def _handle_append_entries(self, sender: str, request: AppendEntries) -> None:
        if request.term < self.hard_state.term:
            self._send(sender, AppendEntriesResponse(self.hard_state.term, False, 0))
            return
        self._become_follower(request.term, sender)
        prev_index = request.prev_log_index
        if prev_index > self.log.snapshot.index and self.log.term_at(prev_index) != request.prev_log_term:
            retry_from = min(prev_index - 1, self.log.last_index)
            self._send(sender, AppendEntriesResponse(self.hard_state.term, False, retry_from))
            return
        changed_index = self.log.reconcile(prev_index, request.entries)
        if changed_index is not None:
            self._stable_index = min(self._stable_index, changed_index - 1)
        match_index = prev_index + len(request.entries)
        self.commit_index = max(self.commit_index, min(request.leader_commit, match_index))
        self._send(sender, AppendEntriesResponse(self.hard_state.term, True, match_index))

    def _handle_append_response(self, sender: str, response: AppendEntriesResponse) -> None:
        if not self.is_leader or response.term != self.hard_state.term:
            return
        self._responsive.add(sender)
        last_index = response.last_log_index
        if response.success:
            self._match_index[sender] = max(self._match_index.get(sender, 0), last_index)
            self._next_index[sender] = max(self._next_index.get(sender, 1), last_index + 1)
            self._advance_commit_index()
            if self._next_index[sender] <= self.log.last_index:
                self._send_entries(sender)
        else:
            self._next_index[sender] = max(last_index + 1, 1)
            self._send_entries(sender)

    def _handle_install_snapshot(self, sender: str, request: InstallSnapshot) -> None:
        if request.term < self.hard_state.term:
            return
        self._become_follower(request.term, sender)
        snapshot = request.snapshot
        if snapshot.index > self.commit_index:
            if self.log.term_at(snapshot.index) == snapshot.term:
                self.log.compact(snapshot)
            else:
                self.log = RaftLog(snapshot)
            self._stable_index = min(max(self._stable_index, snapshot.index), self.log.last_index)
            self.commit_index = self.last_applied = snapshot.index
            self._pending.snapshot = self._pending.restored_snapshot = snapshot
        self._send(sender, AppendEntriesResponse(self.hard_state.term, True, snapshot.index))

    def _advance_commit_index(self) -> None:
        match_indices = sorted((self._match_index.get(name, 0) for name in self.voters), reverse=True)
        index = match_indices[len(self.voters) // 2]
        # An entry of an earlier term can still be replaced when a majority has it; one of this term cannot.
        if index <= self.commit_index or self.log.term_at(index) != self.hard_state.term:
            return
        self.commit_index = index
        if self.log.voters_index() <= self.commit_index and self.name not in self.voters:
            self._become_follower(self.hard_state.term, "")
            return
        for other in self._other_voters():
            self._send_entries(other)

    def _send(self, receiver: str, message: RaftMessage) -> None:
        self._pending.messages.append(Envelope(receiver, message))
