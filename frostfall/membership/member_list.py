"""Who is in the group, in which incarnation, and what each member has recorded of the others. No I/O.

Incarnation numbers and suspicion are those of SWIM (Das, Gupta, Motivala 2002). Groups are small and every
member sends heartbeats to every other one, so there is no random choice of a target and no indirect probe.
From Lifeguard (Dadgar, Phillips, Currey 2018) comes that a member's own pauses must not make it suspect
others: time is counted in protocol periods that it has itself attended, so one that it slept through is none.
The phi accrual detector (Hayashibara et al. 2004), whose threshold adapts to the variance of arrivals, was
considered and not needed. Safety does not depend on suspicion.

Each member records on disk the incarnations that it knows of the others. A member whose log is lost or
restored from an older copy is thereby recognised: the incarnation or batch that its log ended with is older
than recorded. It is called stale.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from frostfall.membership.options import HeartbeatOptions


class MemberState(Enum):
    """What a member is taken for; the values are reported to operators."""

    UNKNOWN = "unheard"
    ALIVE = "here"
    SUSPECT = "suspect"
    DEAD = "away"
    SUPERSEDED = "old life"  # its heartbeats are of an incarnation that a newer one has superseded


class StateChange(NamedTuple):
    """A member whose state has changed, and its new state."""

    name: str
    state: MemberState


@dataclass(slots=True)
class Incarnation:
    """One run of a member, from a start to the next."""

    number: int = 0  # 0: none
    durable_batch: int = 0  # last batch that it had on disk
    token: str = ""  # random, made when the incarnation began


@dataclass(slots=True)
class Peer:
    """What is known of one other member."""

    incarnation: Incarnation = field(default_factory=Incarnation)
    recorded_incarnation: Incarnation = field(default_factory=Incarnation)  # what of it is on disk here
    state: MemberState = MemberState.UNKNOWN
    periods_since_heartbeat: int = 0
    acknowledged_incarnation: int = 0  # highest own incarnation that the peer has on disk
    clock_offset: float = 0.0  # seconds that its wall clock is ahead of the own one
    incomplete_reason: str = ""  # why its log is incomplete, as it says itself
    # Why its log is stale, as recorded here: until it reports an incomplete log itself.
    stale_reason: str = ""
    latest_stale_reason: str = ""  # the same of the sender of the latest heartbeat
    newer_own_incarnation: int = 0  # newer incarnation of this very member that the peer says is alive
    newer_own_incarnation_periods: int = 0  # since it says so
    readiness_stage: str = ""  # that it waits for


class HeartbeatVerdict(Enum):
    """How a heartbeat relates to what is known of its sender."""

    ACCEPTED = "good"
    NEW_INCARNATION = "new life"  # has to be recorded on disk before it is acknowledged
    SUPERSEDED = "replaced"  # a newer incarnation of the sender is known


class MemberList:
    """The group as one member sees it."""

    def __init__(self, own_name: str, names: tuple[str, ...], options: HeartbeatOptions) -> None:
        """Create a list in which no member has been heard from; `names` may include the own one."""
        self.own_name = own_name
        self.peers = {name: Peer() for name in names if name != own_name}
        self.incarnation = 0  # own number; 0 until it is on disk
        self.incarnation_token = ""
        self.incarnation_floor = 0  # the own number has to be higher
        self.superseded_by = 0  # newer incarnation of this very member, once that is certain
        self.stale_reason = ""  # why the own log is stale, as another member says
        self._options = options

    @property
    def majority(self) -> int:
        """Number of members that are more than half of the group."""
        return (len(self.peers) + 1) // 2 + 1

    @property
    def alive(self) -> list[str]:
        """Names of the other members that are alive or only suspected."""
        states = (MemberState.ALIVE, MemberState.SUSPECT)
        return [name for name, peer in self.peers.items() if peer.state in states]

    @property
    def acknowledgement_count(self) -> int:
        """Number of members that have the own incarnation on disk, including this one."""
        if not self.incarnation:
            return 0
        return 1 + sum(peer.acknowledged_incarnation >= self.incarnation for peer in self.peers.values())

    @property
    def contested_incarnation(self) -> int:
        """Newer incarnation of this very member that some member says is alive; 0 if none."""
        return max((peer.newer_own_incarnation for peer in self.peers.values()), default=0)

    @property
    def no_stale_peers(self) -> bool:
        """Whether no other member's log is known here to be stale."""
        return not any(peer.stale_reason for peer in self.peers.values())

    def restore(self, name: str, incarnation: Incarnation, stale_reason: str) -> None:
        """Take over what an earlier incarnation of this member has recorded of another one."""
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
        """Process another member's heartbeat; None where the name is unknown.

        `startup_incarnation` is the one that the sender's log ended with when it started.
        """
        peer = self.peers.get(name)
        if peer is None:
            return None
        is_recorded = incarnation.token == peer.recorded_incarnation.token
        # Recording the sender's incarnation overwrites the evidence that its log is stale. So the reason is
        # kept here and sent to it until it has recorded itself that its log is incomplete.
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
        """Process what another member knows of this one.

        It has `recorded_incarnation` of this member on disk; `recorded_is_alive` says whether it receives
        that incarnation's heartbeats, and `stale_reason` why it holds this member's log for stale, if it
        does.
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
            # A member that has served and then learns of a newer incarnation that is alive is the older of
            # two processes, and stops. One that only starts, or learns of an incarnation that has ended,
            # takes a higher number.
            has_served = self.acknowledgement_count >= self.majority
            if recorded_is_alive and number > self.incarnation and has_served:
                peer.newer_own_incarnation = number  # may have ended all the same: see `advance_period`
            else:
                peer.newer_own_incarnation = 0
                peer.newer_own_incarnation_periods = 0
                self.incarnation_floor = max(self.incarnation_floor, number)

    def mark_recorded(self, name: str, incarnation: Incarnation, stale_reason: str = "") -> None:
        """Note that another member's incarnation, and why its log is stale, are on disk."""
        peer = self.peers[name]
        recorded = peer.recorded_incarnation
        is_newer = (incarnation.number, incarnation.durable_batch) > (recorded.number, recorded.durable_batch)
        if is_newer:
            if incarnation.token != recorded.token:
                peer.stale_reason = stale_reason or peer.stale_reason
            peer.recorded_incarnation = incarnation

    def incarnations_agreed(self, tokens: dict[str, str], recorded_tokens: dict[str, dict[str, str]]) -> bool:
        """Whether all members have recorded each other's present incarnations, and no log is stale.

        `tokens` are the others' incarnation tokens as they say themselves, `recorded_tokens` what each of
        them has recorded of the rest. Only then has every member compared every other one's log with its
        record: otherwise one whose log is lost could be asked for operations before any member has told it
        so.
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
        """Count one more attended protocol period; returns the members whose state it has changed."""
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
        """Take the own incarnation for superseded once a peer has reported a newer one for long enough."""
        if peer.newer_own_incarnation:
            peer.newer_own_incarnation_periods += 1
            # An incarnation that has ended would be suspected by the peer by now.
            if peer.newer_own_incarnation_periods > self._options.suspect + 1:
                self.superseded_by = max(self.superseded_by, peer.newer_own_incarnation)


def _stale_reason(recorded: Incarnation, startup: Incarnation) -> str:
    """Why a log that ended with `startup` is older than recorded; empty where it is not."""
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
