"""Raft's messages between members, named as in the paper (Ongaro and Ousterhout, 2014, figures 2 and 13).

Tags and the order of fields define the wire format and must not change.
"""

from __future__ import annotations

import msgspec

from frostfall.consensus.raft_log import Entry, Snapshot


class RequestVote(msgspec.Struct, tag="vote?", array_like=True):
    """A candidate's request for a vote; with `pre_vote`, a query whether the vote would be granted."""

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool


class RequestVoteResponse(msgspec.Struct, tag="vote", array_like=True):
    """The response to RequestVote; `term` is the request's for a granted pre-vote, else the voter's."""

    term: int
    vote_granted: bool
    pre_vote: bool


class AppendEntries(msgspec.Struct, tag="append", array_like=True):
    """A leader's log entries after `prev_log_index`; without entries, a heartbeat."""

    term: int
    prev_log_index: int
    prev_log_term: int
    entries: list[Entry]
    leader_commit: int


class AppendEntriesResponse(msgspec.Struct, tag="appended", array_like=True):
    """The response to AppendEntries and InstallSnapshot."""

    term: int
    success: bool
    last_log_index: int  # on success, the last one that matches the leader's log; else to retry after


class InstallSnapshot(msgspec.Struct, tag="install", array_like=True):
    """A leader's snapshot, for a follower that lacks entries which the leader's log no longer has."""

    term: int
    snapshot: Snapshot


RaftMessage = RequestVote | RequestVoteResponse | AppendEntries | AppendEntriesResponse | InstallSnapshot
