"""Members of the group, their incarnations, and the members' records of each other. No I/O.

Incarnation numbers and suspicion follow SWIM (Das, Gupta, Motivala 2002). Groups are small and every member
sends heartbeats to every other member, so there is no random choice of a target and no indirect probe. As in
Lifeguard (Dadgar, Phillips, Currey 2018), a member's own pauses must not make it suspect others: time is
counted in protocol periods during which the member itself was running, so periods that it missed while paused
do not count. The phi accrual detector (Hayashibara et al. 2004), whose threshold adapts to the variance of
heartbeat arrivals, is not needed here. Safety does not depend on suspicion.

Each member records the incarnations of the others on disk. This detects a member whose log was lost or
restored from an older copy: the incarnation or batch that its log ended with is older than the recorded one.
Such a log is called stale.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from frostfall.membership.options import HeartbeatOptions


class MemberState(Enum):
    """State of a member as seen by another member; the values are reported to operators."""

    UNKNOWN = "unheard"
    ALIVE = "here"
    SUSPECT = "suspect"
    DEAD = "away"
    SUPERSEDED = "old life"  # its heartbeats are of an incarnation that a newer one has superseded


class StateChange(NamedTuple):
    """A change of a member's state: the member's name and its new state."""

    name: str
    state: MemberState


@dataclass(slots=True)
class Incarnation:
    """One run of a member's process, from one start to the next."""

    number: int = 0  # 0: no incarnation
    durable_batch: int = 0  # last batch that the member had on disk
    token: str = ""  # random, generated at the start of the incarnation


@dataclass(slots=True)
class Peer:
    """Information about one other member."""

    incarnation: Incarnation = field(default_factory=Incarnation)
    recorded_incarnation: Incarnation = field(default_factory=Incarnation)  # on this member's disk
    state: MemberState = MemberState.UNKNOWN
    periods_since_heartbeat: int = 0
    acknowledged_incarnation: int = 0  # highest incarnation of this member that the peer has on disk
    clock_offset: float = 0.0  # seconds by which the peer's wall clock is ahead of this member's
    incomplete_reason: str = ""  # why the peer's log is incomplete, as reported by the peer
    # Why the peer's log is stale, as recorded here; dropped once the peer itself reports an incomplete log.
    stale_reason: str = ""
    latest_stale_reason: str = ""  # why the log is stale, judged by the latest heartbeat alone
    newer_own_incarnation: int = 0  # newer incarnation of this member that the peer reports as alive
    newer_own_incarnation_periods: int = 0  # periods since the peer reported it
    readiness_stage: str = ""  # stage that the peer waits for


class HeartbeatVerdict(Enum):
    """Result of comparing a heartbeat's incarnation with the sender's known incarnations."""

    ACCEPTED = "good"
    NEW_INCARNATION = "new life"  # the incarnation has to be recorded on disk before it is acknowledged
    SUPERSEDED = "replaced"  # the sender has a newer incarnation, or another run with the same number


class MemberList:
    """One member's view of the group."""

    def __init__(self, own_name: str, names: tuple[str, ...], options: HeartbeatOptions) -> None:
        """Create a list in which all members are unknown; `names` may include `own_name`."""
        self.own_name = own_name
        self.peers = {name: Peer() for name in names if name != own_name}
        self.incarnation = 0  # this member's number; 0 until it is on disk
        self.incarnation_token = ""
        self.incarnation_floor = 0  # this member's number has to be higher
        self.superseded_by = 0  # newer incarnation of this member, once that is certain; else 0
        self.stale_reason = ""  # why this member's log is stale, as reported by another member
        self._options = options

    @property
    def majority(self) -> int:
        """Return the smallest number of members that is more than half of the group."""
        return (len(self.peers) + 1) // 2 + 1

    @property
    def alive(self) -> list[str]:
        """Return the names of the other members that are alive or suspected."""
        states = (MemberState.ALIVE, MemberState.SUSPECT)
        return [name for name, peer in self.peers.items() if peer.state in states]

    @property
    def acknowledgement_count(self) -> int:
        """Return the number of members, including this one, that have this member's incarnation on disk."""
        if not self.incarnation:
            return 0
        return 1 + sum(peer.acknowledged_incarnation >= self.incarnation for peer in self.peers.values())

    @property
    def contested_incarnation(self) -> int:
        """Return the highest newer incarnation of this member that a peer reports as alive; 0 if none."""
        return max((peer.newer_own_incarnation for peer in self.peers.values()), default=0)

    @property
    def no_stale_peers(self) -> bool:
        """Return whether no other member's log is recorded as stale here."""
        return not any(peer.stale_reason for peer in self.peers.values())

    def restore(self, name: str, incarnation: Incarnation, stale_reason: str) -> None:
        """Restore what an earlier incarnation of this member has recorded of another member."""
        if peer := self.peers.get(name):
            peer.recorded_incarnation = incarnation
            peer.stale_reason = stale_reason
            peer.incarnation = Incarnation(incarnation.number, incarnation.durable_batch, incarnation.token)

    def receive_heartbeat(
        self,
        name: str,
        incarnation: Incarnation,
        startup_incarnation: Incarnation,
        readiness_stage: str,
        clock_offset: float,
        incomplete_reason: str,
    ) -> HeartbeatVerdict | None:
        """Process another member's heartbeat; return None if the name is unknown.

        `startup_incarnation` is the incarnation that the sender's log ended with when the sender started.
        """
        peer = self.peers.get(name)
        if peer is None:
            return None
        is_recorded = incarnation.token == peer.recorded_incarnation.token
        # Recording the sender's incarnation overwrites the evidence that its log is stale. So the reason is
        # stored separately and sent to the sender until the sender has recorded that its log is incomplete.
        peer.latest_stale_reason = (
            "" if is_recorded else _stale_reason(peer.recorded_incarnation, startup_incarnation)
        )
        known = peer.incarnation
        is_other_run = incarnation.number == known.number and incarnation.token != known.token
        if incarnation.number < known.number or is_other_run:
            if peer.state in (MemberState.UNKNOWN, MemberState.DEAD):
                peer.state = MemberState.SUPERSEDED
            return HeartbeatVerdict.SUPERSEDED
        peer.state = MemberState.ALIVE
        peer.periods_since_heartbeat = 0
        peer.readiness_stage = readiness_stage
        peer.clock_offset = clock_offset
        peer.incomplete_reason = incomplete_reason
        is_new = incarnation.number > known.number
        if is_new:
            peer.acknowledged_incarnation = 0
        if is_new or incarnation.durable_batch > known.durable_batch:
            peer.incarnation = incarnation
        return HeartbeatVerdict.ACCEPTED if is_recorded else HeartbeatVerdict.NEW_INCARNATION

    def receive_view_of_self(
        self, name: str, recorded_incarnation: Incarnation, recorded_is_alive: bool, stale_reason: str
    ) -> None:
        """Process another member's information on this member.

        `recorded_incarnation` is the incarnation of this member that the other member has on disk.
        `recorded_is_alive` tells whether the other member receives that incarnation's heartbeats.
        `stale_reason` tells why the other member considers this member's log stale; empty if it does not.
        """
        peer = self.peers.get(name)
        if peer is None:
            return
        if stale_reason and not self.stale_reason:
            self.stale_reason = f"{name} {stale_reason}"
        number = recorded_incarnation.number
        if number == self.incarnation and recorded_incarnation.token == self.incarnation_token:
            peer.acknowledged_incarnation = number
        elif number >= self.incarnation > 0:
            # If this member has served and a newer incarnation is alive, this process is the older of two
            # and stops. If this member is still starting, or if the reported incarnation has ended, this
            # member takes a higher number.
            has_served = self.acknowledgement_count >= self.majority
            if recorded_is_alive and number > self.incarnation and has_served:
                peer.newer_own_incarnation = number  # may have ended already: see `_check_superseded`
            else:
                peer.newer_own_incarnation = 0
                peer.newer_own_incarnation_periods = 0
                self.incarnation_floor = max(self.incarnation_floor, number)

    def mark_recorded(self, name: str, incarnation: Incarnation, stale_reason: str = "") -> None:
        """Record that another member's incarnation and the reason why its log is stale are on disk."""
        peer = self.peers[name]
        recorded = peer.recorded_incarnation
        is_newer = (incarnation.number, incarnation.durable_batch) > (recorded.number, recorded.durable_batch)
        if is_newer:
            if incarnation.token != recorded.token:
                peer.stale_reason = stale_reason or peer.stale_reason
            peer.recorded_incarnation = incarnation

    def incarnations_agreed(self, tokens: dict[str, str], recorded_tokens: dict[str, dict[str, str]]) -> bool:
        """Return whether all members have recorded each other's current incarnations, and no log is stale.

        `tokens` are the incarnation tokens that the other members report for themselves; `recorded_tokens`
        are, by member, the tokens that the member has recorded of the others. If all agree, every member has
        compared every other member's log with its record. Otherwise a member whose log is lost could be
        queried for operations before any member has notified it of the loss.
        """
        current = {**tokens, self.own_name: self.incarnation_token}
        own_record = {name: peer.recorded_incarnation.token for name, peer in self.peers.items()}
        records = {**recorded_tokens, self.own_name: own_record}
        return self.no_stale_peers and all(
            recorded.get(name) == token
            for observer, recorded in records.items()
            for name, token in current.items()
            if name != observer
        )

    def advance_period(self) -> list[StateChange]:
        """Count one more protocol period of this member; return the resulting changes of members' states."""
        changes = []
        for name, peer in self.peers.items():
            self._check_superseded(peer)
            peer.periods_since_heartbeat += 1
            previous = peer.state
            if previous is MemberState.ALIVE and peer.periods_since_heartbeat > self._options.suspect:
                peer.state = MemberState.SUSPECT
            elif previous is MemberState.SUSPECT and peer.periods_since_heartbeat > self._options.gone:
                peer.state = MemberState.DEAD
            if peer.state is not previous:
                changes.append(StateChange(name, peer.state))
        return changes

    def _check_superseded(self, peer: Peer) -> None:
        """Mark this member as superseded once a peer has reported a newer incarnation for long enough."""
        if peer.newer_own_incarnation:
            peer.newer_own_incarnation_periods += 1
            # If the newer incarnation had ended, the peer would suspect it by now.
            if peer.newer_own_incarnation_periods > self._options.suspect + 1:
                self.superseded_by = max(self.superseded_by, peer.newer_own_incarnation)


def _stale_reason(recorded: Incarnation, startup: Incarnation) -> str:
    """Return why a log that ended with `startup` is older than the recorded incarnation; "" if it is not."""
    if recorded.number > startup.number:
        return f"knew life {recorded.number} of this member, its folder {startup.number or 'none'}"
    if recorded.number and recorded.number == startup.number:
        if recorded.token != startup.token:
            return f"knew another life {recorded.number} of this member"
        if recorded.durable_batch > startup.durable_batch:
            return (
                f"saw batch {recorded.durable_batch} on this member's disk, "
                f"the folder ended with {startup.durable_batch}"
            )
    return ""
