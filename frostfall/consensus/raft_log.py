"""The log that members agree on: entries behind a snapshot, and what of it is on disk."""

from __future__ import annotations

from typing import Any

import msgspec


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry: a command for the register, a new set of voters, or nothing (a leader's first)."""

    term: int
    command: Any = None
    voters: tuple[str, ...] | None = None


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """All that entries up to an index have led to."""

    index: int = 0
    term: int = 0
    voters: tuple[str, ...] = ()
    state: Any = None


class RaftLog:
    """Entries from the one after the snapshot on; indices begin with 1."""

    def __init__(self, snapshot: Snapshot) -> None:
        """With nothing behind the snapshot."""
        self.snapshot = snapshot
        self.entries: list[Entry] = []

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None where it is not here, or no longer."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.snapshot.index < index <= self.last_index:
            return self.entries[index - self.snapshot.index - 1].term
        return None

    def entries_after(self, index: int, limit: int = 64) -> list[Entry]:
        """Entries behind an index that is here, so many at most."""
        begin = index - self.snapshot.index
        return self.entries[begin : begin + limit]

    def entry_at(self, index: int) -> Entry:
        """One entry that is here."""
        return self.entries[index - self.snapshot.index - 1]

    def append(self, entry: Entry) -> int:
        """One more; its index."""
        self.entries.append(entry)
        return self.last_index

    def reconcile(self, index: int, entries: list[Entry]) -> int | None:
        """Take in entries that follow an index: from where on the log is another now; None where it is not.

        What agrees stays: a message that comes late must not take back what came after it.
        """
        for offset, entry in enumerate(entries, 1):
            at = index + offset
            if at <= self.snapshot.index:
                continue
            if self.term_at(at) == entry.term:
                continue
            del self.entries[at - self.snapshot.index - 1 :]
            self.entries += entries[offset - 1 :]
            return at
        return None

    def voters(self) -> tuple[str, ...]:
        """Who votes, by the newest entry that says so, committed or not."""
        for entry in reversed(self.entries):
            if entry.voters is not None:
                return entry.voters
        return self.snapshot.voters

    def voters_index(self) -> int:
        """The index of that entry."""
        for offset in range(len(self.entries), 0, -1):
            if self.entries[offset - 1].voters is not None:
                return self.snapshot.index + offset
        return self.snapshot.index

    def compact(self, snapshot: Snapshot) -> None:
        """Let a snapshot stand for the entries up to its index."""
        known = self.term_at(snapshot.index) is not None
        keep = self.entries_after(snapshot.index, len(self.entries)) if known else []
        self.snapshot, self.entries = snapshot, keep
