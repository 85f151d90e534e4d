"""Operators' holds on members' votes, replicated to all members so that a hold survives its member's disk.

Each hold has a serial number and is sent with every heartbeat. The other members store it and echo it in
their own heartbeats; a member that returns with an older hold takes over the newer one from them. A hold is
replicated once enough other members have it on disk that any majority for which a start waits includes one of
them. The module does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple


class OperatorHold(NamedTuple):
    """A member's hold; the greater of two holds is the newer one."""

    serial: int
    operator: str  # operator who set the hold; empty if the hold is lifted


class MergedHolds(NamedTuple):
    """Holds that a heartbeat has changed and that have to be stored; None for an unchanged one."""

    peer_hold: OperatorHold | None  # the sender's hold, if it is newer than the stored one
    own_hold: OperatorHold | None  # the receiver's hold, if the sender had a newer one


NO_HOLD = OperatorHold(0, "")


@dataclass
class OperatorHolds:
    """A member's own hold and the holds that it stores for its peers."""

    peers: frozenset[str]
    own_hold: OperatorHold = NO_HOLD
    peer_holds: dict[str, OperatorHold] = field(default_factory=dict)  # stored holds by peer
    # Serial of this member's hold on the disk of each peer.
    acknowledged_serials: dict[str, int] = field(default_factory=dict)

    @property
    def required_acknowledgements(self) -> int:
        """Return the number of peers that must have a hold on disk for it to be replicated."""
        if not self.peers:
            return 0
        members = len(self.peers) + 1
        majority = members // 2 + 1
        return members - majority + 1

    @property
    def is_replicated(self) -> bool:
        """Return whether the own hold survives the loss of this member's disk."""
        acknowledged = sum(serial >= self.own_hold.serial for serial in self.acknowledged_serials.values())
        return acknowledged >= self.required_acknowledgements

    def issue(self, operator: str) -> OperatorHold:
        """Set a new hold, or lift it if `operator` is empty; it must be stored before it is sent."""
        self.own_hold = OperatorHold(self.own_hold.serial + 1, operator)
        return self.own_hold

    def restore(self, member: str, hold: OperatorHold) -> None:
        """Restore a hold read from the log; an empty `member` stands for this member."""
        if not member:
            self.own_hold = max(self.own_hold, hold)
        elif member in self.peers:
            self.peer_holds[member] = max(self.peer_holds.get(member, NO_HOLD), hold)

    def merge_heartbeat(self, member: str, peer_hold: OperatorHold, echoed_hold: OperatorHold) -> MergedHolds:
        """Merge a peer's own hold and the hold that it echoes for this member."""
        if member not in self.peers:
            return MergedHolds(None, None)
        self.acknowledged_serials[member] = echoed_hold.serial
        # Two holds may have the same serial if they were issued before and after the loss of a disk. The
        # comparison includes the operator, so that all members choose the same hold.
        newer_own_hold = echoed_hold if echoed_hold > self.own_hold else None
        if newer_own_hold:
            self.own_hold = newer_own_hold
        is_newer = peer_hold > self.peer_holds.get(member, NO_HOLD)
        return MergedHolds(peer_hold if is_newer else None, newer_own_hold)

    def items(self) -> Iterable[tuple[str, OperatorHold]]:
        """Yield all holds with their members; the own hold has an empty member name."""
        if self.own_hold != NO_HOLD:
            yield "", self.own_hold
        yield from self.peer_holds.items()
