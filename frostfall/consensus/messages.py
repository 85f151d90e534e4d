"""Raft's messages between members, named as in the paper (Ongaro and Ousterhout, 2014, figures 2 and 13).

Tags and the order of fields are the wire format: neither may change.
"""

from __future__ import annotations

import msgspec

from frostfall.consensus.raft_log import Entry, Snapshot


class RequestVote(msgspec.Struct, tag="vote?", array_like=True):
    """A candidate asks for a vote; with `pre_vote`, whether the vote would be granted."""

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool


class RequestVoteResponse(msgspec.Struct, tag="vote", array_like=True):
    """The response; `term` is that of a granted pre-vote's request, else the voter's own."""

    term: int
    vote_granted: bool
    pre_vote: bool


class AppendEntries(msgspec.Struct, tag="append", array_like=True):
    """A leader's entries after `prev_log_index`; without entries, a heartbeat."""

    term: int
    prev_log_index: int
    prev_log_term: int
    entries: list[Entry]
    leader_commit: int


class AppendEntriesResponse(msgspec.Struct, tag="appended", array_like=True):
    """The response, also to a snapshot."""

    term: int
    success: bool
    last_log_index: int  # on success, up to where the log matches the leader's; else where to try next


class InstallSnapshot(msgspec.Struct, tag="install", array_like=True):
    """A leader's snapshot for a follower that needs entries which the leader's log no longer has."""

    term: int
    snapshot: Snapshot


RaftMessage = RequestVote | RequestVoteResponse | AppendEntries | AppendEntriesResponse | InstallSnapshot
