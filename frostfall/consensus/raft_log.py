"""The replicated log of Raft: a snapshot and the entries after it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

MAX_ENTRIES_PER_MESSAGE = 64


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """A log entry: a command for the register, a new set of voters, or neither (a new leader's first)."""

    term: int
    command: Any = None
    voters: tuple[str, ...] | None = None


class IndexedEntry(NamedTuple):
    """An entry with its index in the log."""

    log_index: int
    entry: Entry


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state that results from all entries up to and including an index."""

    index: int = 0
    term: int = 0
    voters: tuple[str, ...] = ()
    state: Any = None


class RaftLog:
    """A snapshot and the entries after it; the index of the first entry of a log is 1."""

    def __init__(self, snapshot: Snapshot, entries: Iterable[Entry] = ()) -> None:
        """Start with a snapshot and the entries after it."""
        self.snapshot = snapshot
        self.entries = list(entries)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if the log does not have the entry or no longer has it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.snapshot.index < index <= self.last_index:
            return self.entries[index - self.snapshot.index - 1].term
        return None

    def entries_after(self, index: int, limit: int = MAX_ENTRIES_PER_MESSAGE) -> list[Entry]:
        """Return up to `limit` entries after `index`, which has to be in the log."""
        begin = index - self.snapshot.index
        return self.entries[begin : begin + limit]

    def entry_at(self, index: int) -> Entry:
        """Return the entry at `index`, which has to be in the log."""
        return self.entries[index - self.snapshot.index - 1]

    def append(self, entry: Entry) -> int:
        """Append an entry and return its index."""
        self.entries.append(entry)
        return self.last_index

    def reconcile(self, index: int, entries: list[Entry]) -> int | None:
        """Apply a leader's entries after an index; return the first index that changed, None if none did.

        Entries that already match are retained: a delayed message must not remove entries of later messages.
        """
        for offset, entry in enumerate(entries):
            entry_index = index + 1 + offset
            if entry_index <= self.snapshot.index or self.term_at(entry_index) == entry.term:
                continue
            del self.entries[entry_index - self.snapshot.index - 1 :]
            self.entries += entries[offset:]
            return entry_index
        return None

    def voters(self) -> tuple[str, ...]:
        """Return the voters according to the newest entry that sets them, committed or not."""
        for entry in reversed(self.entries):
            if entry.voters is not None:
                return entry.voters
        return self.snapshot.voters

    def voters_as_of(self, index: int) -> tuple[str, ...]:
        """Return the voters according to the newest entry up to `index` that sets them."""
        for entry in reversed(self.entries[: index - self.snapshot.index]):
            if entry.voters is not None:
                return entry.voters
        return self.snapshot.voters

    def voters_index(self) -> int:
        """Return the index of the newest entry that sets the voters."""
        for offset in range(len(self.entries), 0, -1):
            if self.entries[offset - 1].voters is not None:
                return self.snapshot.index + offset
        return self.snapshot.index

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the entries up to a snapshot's index by it, or all entries if the log lacks that index."""
        is_in_log = self.term_at(snapshot.index) is not None
        self.entries = self.entries[snapshot.index - self.snapshot.index :] if is_in_log else []
        self.snapshot = snapshot
