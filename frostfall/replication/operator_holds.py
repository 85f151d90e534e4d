"""Operators' words to members, kept by all others too: a hold outlives the disk of the member that it is for.

No I/O. Each member's word has a serial number, told to the others with every turn; they write it down, tell
with their own turns what they have of it, and whoever comes back with less takes it from them. A word counts
once so many others have it on disk that any majority which a start waits for has one of them.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

OperatorHold = tuple[int, str]  # serial number, and who holds; nobody: it is lifted
NO_HOLD: OperatorHold = (0, "")


@dataclass
class OperatorHolds:
    """What a member has of its own word and of the others'."""

    peers: frozenset[str]
    own_hold: OperatorHold = NO_HOLD
    peer_holds: dict[str, OperatorHold] = field(default_factory=dict)  # of the others, on disk here
    acknowledged_serials: dict[str, int] = field(
        default_factory=dict
    )  # serials of the own word on the others' disks

    @property
    def required_acknowledgements(self) -> int:
        """How many others have to have a word before it counts."""
        members = len(self.peers) + 1
        return members - (members // 2 + 1) + 1 if self.peers else 0

    @property
    def is_replicated(self) -> bool:
        """Whether the own word outlives this member's disk."""
        return (
            sum(serial >= self.own_hold[0] for serial in self.acknowledged_serials.values())
            >= self.required_acknowledgements
        )

    def issue(self, operator: str) -> OperatorHold:
        """Operators say something new; to be written down, and told once it is."""
        self.own_hold = self.own_hold[0] + 1, operator
        return self.own_hold

    def restore(self, member: str, hold: OperatorHold) -> None:
        """What was written down; without a member it is the own one."""
        if not member:
            self.own_hold = max(self.own_hold, hold)
        elif member in self.peers:
            self.peer_holds[member] = max(self.peer_holds.get(member, NO_HOLD), hold)

    def merge_gossip(
        self, member: str, peer_hold: OperatorHold, echoed_hold: OperatorHold
    ) -> tuple[OperatorHold | None, OperatorHold | None]:
        """A member told its own word, and what it has of this one's: which of both are to be written down."""
        if member not in self.peers:
            return None, None
        self.acknowledged_serials[member] = echoed_hold[0]
        # Danger: two words may have one serial, given before and after a disk was lost: all take the same.
        mine = echoed_hold if echoed_hold > self.own_hold else None
        if mine:
            self.own_hold = mine
        return peer_hold if peer_hold > self.peer_holds.get(member, NO_HOLD) else None, mine

    def items(self) -> Iterable[tuple[str, OperatorHold]]:
        """All words that are known, the own one without a name."""
        if self.own_hold != NO_HOLD:
            yield "", self.own_hold
        yield from self.peer_holds.items()
