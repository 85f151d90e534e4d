"""Operators' words to members, kept by all others too: a hold outlives the disk of the member that it is for.

No I/O. Each member's word has a serial number, told to the others with every turn; they write it down, tell
with their own turns what they have of it, and whoever comes back with less takes it from them. A word counts
once so many others have it on disk that any majority which a start waits for has one of them.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

Word = tuple[int, str]  # serial number, and who holds; nobody: it is lifted
NONE: Word = (0, "")


@dataclass
class Words:
    """What a member has of its own word and of the others'."""

    others: frozenset[str]
    own: Word = NONE
    kept: dict[str, Word] = field(default_factory=dict)  # of the others, on disk here
    acknowledged: dict[str, int] = field(default_factory=dict)  # serials of the own word on the others' disks

    @property
    def needed(self) -> int:
        """How many others have to have a word before it counts."""
        members = len(self.others) + 1
        return members - (members // 2 + 1) + 1 if self.others else 0

    @property
    def counts(self) -> bool:
        """Whether the own word outlives this member's disk."""
        return sum(serial >= self.own[0] for serial in self.acknowledged.values()) >= self.needed

    def say(self, who: str) -> Word:
        """Operators say something new; to be written down, and told once it is."""
        self.own = self.own[0] + 1, who
        return self.own

    def recall(self, member: str, word: Word) -> None:
        """What was written down; without a member it is the own one."""
        if not member:
            self.own = max(self.own, word)
        elif member in self.others:
            self.kept[member] = max(self.kept.get(member, NONE), word)

    def heard(self, member: str, word: Word, kept: Word) -> tuple[Word | None, Word | None]:
        """A member told its own word, and what it has of this one's: which of both are to be written down."""
        if member not in self.others:
            return None, None
        self.acknowledged[member] = kept[0]
        # Danger: two words may have one serial, given before and after a disk was lost: all take the same.
        mine = kept if kept > self.own else None
        if mine:
            self.own = mine
        return word if word > self.kept.get(member, NONE) else None, mine

    def items(self) -> Iterable[tuple[str, Word]]:
        """All words that are known, the own one without a name."""
        if self.own != NONE:
            yield "", self.own
        yield from self.kept.items()
