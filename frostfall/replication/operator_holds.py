"""Operators' holds on members, replicated to all members so that a hold outlives the disk of its member.

No I/O. Each hold has a serial number and is sent with every heartbeat. The other members write it down and
echo with their own heartbeats what they have of it; a member that comes back with an older one takes it from
them. A hold is replicated once so many others have it on disk that any majority which a start waits for has
one of them.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple


class OperatorHold(NamedTuple):
    """A member's hold; of two, the greater one is the newer."""

    serial: int
    operator: str  # who holds; empty: the hold is lifted


class MergedHolds(NamedTuple):
    """What a heartbeat changed, each to be written down; None where it changed nothing."""

    peer_hold: OperatorHold | None  # the sender's hold, newer than the one on disk here
    own_hold: OperatorHold | None  # the receiver's own hold, of which the sender had a newer one


NO_HOLD = OperatorHold(0, "")


@dataclass
class OperatorHolds:
    """What a member knows of its own hold and of the others'."""

    peers: frozenset[str]
    own_hold: OperatorHold = NO_HOLD
    peer_holds: dict[str, OperatorHold] = field(default_factory=dict)  # by peer, as on disk here
    acknowledged_serials: dict[str, int] = field(default_factory=dict)  # by peer, of the own hold on its disk

    @property
    def required_acknowledgements(self) -> int:
        """How many peers have to have a hold on disk before it is replicated."""
        if not self.peers:
            return 0
        members = len(self.peers) + 1
        majority = members // 2 + 1
        return members - majority + 1

    @property
    def is_replicated(self) -> bool:
        """Whether the own hold outlives this member's disk."""
        acknowledged = sum(serial >= self.own_hold.serial for serial in self.acknowledged_serials.values())
        return acknowledged >= self.required_acknowledgements

    def issue(self, operator: str) -> OperatorHold:
        """Set a new hold, to be written down and sent once it is on disk; no operator: lift the hold."""
        self.own_hold = OperatorHold(self.own_hold.serial + 1, operator)
        return self.own_hold

    def restore(self, member: str, hold: OperatorHold) -> None:
        """Take in a hold read from the log; an empty member name stands for this member."""
        if not member:
            self.own_hold = max(self.own_hold, hold)
        elif member in self.peers:
            self.peer_holds[member] = max(self.peer_holds.get(member, NO_HOLD), hold)

    def merge_gossip(self, member: str, peer_hold: OperatorHold, echoed_hold: OperatorHold) -> MergedHolds:
        """Take in a peer's own hold and the hold that it has on disk for this member."""
        if member not in self.peers:
            return MergedHolds(None, None)
        self.acknowledged_serials[member] = echoed_hold.serial
        # Two holds may have one serial, issued before and after a disk was lost. Comparing the operator too
        # makes all members choose the same one.
        newer_own_hold = echoed_hold if echoed_hold > self.own_hold else None
        if newer_own_hold:
            self.own_hold = newer_own_hold
        is_newer = peer_hold > self.peer_holds.get(member, NO_HOLD)
        return MergedHolds(peer_hold if is_newer else None, newer_own_hold)

    def items(self) -> Iterable[tuple[str, OperatorHold]]:
        """Yield all known holds by member, the own one under an empty name."""
        if self.own_hold != NO_HOLD:
            yield "", self.own_hold
        yield from self.peer_holds.items()
