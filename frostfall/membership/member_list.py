"""Who is here, in which life, and what others have on disk of one's own life. No I/O; turns are attended.

Weighed: SWIM (Das, Gupta, Motivala 2002) for incarnation numbers and suspicion; Lifeguard (Dadgar, Phillips,
Currey 2018), which has a slow member doubt itself before others; the phi accrual detector (Hayashibara et al.
2004), whose threshold adapts to how evenly words come. Groups are small and every member speaks with every
other one, so there is no random choice and no relayed probe; of Lifeguard stays that a member's own pauses
are taken off, by counting turns that it has itself attended. Suspicion decides nothing about safety.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from frostfall.membership.options import HeartbeatOptions


class MemberState(Enum):
    """What a member is taken for."""

    UNKNOWN = "unheard"
    ALIVE = "here"
    SUSPECT = "suspect"
    DEAD = "away"
    SUPERSEDED = "old life"  # it spoke in a life that a newer one has replaced


@dataclass(slots=True)
class Incarnation:
    """A member's life as it is known here."""

    number: int = 0
    durable_batch: int = 0  # the last that it had on disk
    token: str = ""  # random, made up when the life began


@dataclass(slots=True)
class Peer:
    """What is known of one other member."""

    incarnation: Incarnation
    recorded_incarnation: Incarnation  # what of it is on disk here
    state: MemberState = MemberState.UNKNOWN
    periods_since_heartbeat: int = 0  # turns since it answered
    acknowledged_incarnation: int = 0  # the highest own incarnation that it has on disk
    clock_offset: float = 0.0  # seconds of its wall clock before the own one
    incomplete_reason: str = ""  # why its record proves nothing, by its own word
    stale_reason: str = ""  # why it proves nothing, by what was known of it here: until it says so itself
    latest_stale_reason: str = ""  # the same of whoever spoke last under its name
    newer_own_incarnation: int = 0  # a life of this very member, newer than one's own, that it says to hear
    newer_own_incarnation_periods: int = 0  # for how many turns
    readiness_stage: str = ""  # the gate that it waits for


class HeartbeatVerdict(Enum):
    """How a word that was heard stands to what is known."""

    ACCEPTED = "good"
    NEW_INCARNATION = "new life"  # to be written down before it is acknowledged
    SUPERSEDED = "replaced"  # its sender has been replaced by a newer life


def _older(kept: Incarnation, last: Incarnation) -> str:
    """Why a folder that ended with `last` is older than what is known of it; empty where it is not."""
    if kept.number > last.number:
        return f"knew life {kept.number} of this member, its folder {last.number or 'none'}"
    if kept.number and kept.number == last.number:
        if kept.token != last.token:
            return f"knew another life {kept.number} of this member"
        if kept.durable_batch > last.durable_batch:
            return (
                f"saw batch {kept.durable_batch} on this member's disk, "
                f"the folder ended with {last.durable_batch}"
            )
    return ""


class MemberList:
    """The group as one member sees it."""

    def __init__(self, own_name: str, names: tuple[str, ...], options: HeartbeatOptions) -> None:
        """Nobody has been heard yet."""
        self.own_name, self._rules = own_name, options
        self.peers = {name: Peer(Incarnation(), Incarnation()) for name in names if name != own_name}
        self.incarnation, self.incarnation_token = 0, ""  # one's own life; 0 before it is on disk
        self.incarnation_floor = 0  # a life that one's own has to be newer than
        self.superseded_by = 0  # a newer life of this very member, if one was heard of
        self.stale_reason = ""  # why one's own folder is older than what others saw

    @property
    def majority(self) -> int:
        """How many are more than half."""
        return (len(self.peers) + 1) // 2 + 1

    @property
    def alive(self) -> list[str]:
        """Members that are heard, not oneself."""
        return [
            name
            for name, peer in self.peers.items()
            if peer.state in (MemberState.ALIVE, MemberState.SUSPECT)
        ]

    @property
    def acknowledgement_count(self) -> int:
        """How many members have one's own life on disk, oneself included."""
        if not self.incarnation:
            return 0
        return 1 + sum(peer.acknowledged_incarnation >= self.incarnation for peer in self.peers.values())

    def restore(self, name: str, incarnation: Incarnation, stale_reason: str) -> None:
        """What was written down of a member in an earlier life."""
        if peer := self.peers.get(name):
            peer.recorded_incarnation, peer.stale_reason = incarnation, stale_reason
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
        """A member spoke; `last` is what its folder said when it started. None for a stranger."""
        peer = self.peers.get(name)
        if peer is None:
            return None
        # Danger: with its own life written down over it, what was known of an older one would be gone before
        # the member itself has its doubt on disk. So who knew keeps it, and tells it, until then.
        peer.latest_stale_reason = (
            _older(peer.recorded_incarnation, startup_incarnation)
            if incarnation.token != peer.recorded_incarnation.token
            else ""
        )
        if incarnation.number < peer.incarnation.number or (
            incarnation.number == peer.incarnation.number and incarnation.token != peer.incarnation.token
        ):
            if peer.state in (MemberState.UNKNOWN, MemberState.DEAD):
                peer.state = MemberState.SUPERSEDED
            return HeartbeatVerdict.SUPERSEDED
        peer.state, peer.periods_since_heartbeat, peer.readiness_stage = MemberState.ALIVE, 0, readiness_stage
        peer.clock_offset, peer.incomplete_reason = clock_offset, incomplete_reason
        fresh = incarnation.number > peer.incarnation.number
        if fresh:
            peer.acknowledged_incarnation = 0
        if fresh or incarnation.durable_batch > peer.incarnation.durable_batch:
            peer.incarnation = incarnation
        return (
            HeartbeatVerdict.NEW_INCARNATION
            if peer.recorded_incarnation.token != incarnation.token
            else HeartbeatVerdict.ACCEPTED
        )

    def receive_view_of_self(
        self, name: str, recorded_incarnation: Incarnation, recorded_is_alive: bool, stale_reason: str
    ) -> None:
        """A member says what it has on disk of this one, whether it hears that life, and what it doubts."""
        peer = self.peers.get(name)
        if peer is None:
            return
        self.stale_reason = self.stale_reason or (f"{name} {stale_reason}" if stale_reason else "")
        if (
            recorded_incarnation.number == self.incarnation
            and recorded_incarnation.token == self.incarnation_token
        ):
            peer.acknowledged_incarnation = recorded_incarnation.number
        elif recorded_incarnation.number >= self.incarnation > 0:
            # Danger: who has served and then hears of a newer life that is there is the old one of two
            # processes, and stops. Who only starts, or hears of a life that is over, takes a higher number.
            if (
                recorded_is_alive
                and recorded_incarnation.number > self.incarnation
                and self.acknowledgement_count >= self.majority
            ):
                peer.newer_own_incarnation = (
                    recorded_incarnation.number
                )  # it may be over all the same: see `turn`
            else:
                peer.newer_own_incarnation, peer.newer_own_incarnation_periods = 0, 0
                self.incarnation_floor = max(self.incarnation_floor, recorded_incarnation.number)

    def mark_recorded(self, name: str, incarnation: Incarnation, stale_reason: str = "") -> None:
        """What was heard of a member is on disk."""
        peer = self.peers[name]
        if (incarnation.number, incarnation.durable_batch) > (
            peer.recorded_incarnation.number,
            peer.recorded_incarnation.durable_batch,
        ):
            if incarnation.token != peer.recorded_incarnation.token:
                peer.stale_reason = stale_reason or peer.stale_reason
            peer.recorded_incarnation = incarnation

    @property
    def contested_incarnation(self) -> int:
        """A newer life of this very member that somebody says to hear; 0 where nobody does."""
        return max((peer.newer_own_incarnation for peer in self.peers.values()), default=0)

    @property
    def no_stale_peers(self) -> bool:
        """Whether nobody's folder is known here to be older than what was known of it."""
        return not any(peer.stale_reason for peer in self.peers.values())

    def incarnations_agreed(self, tokens: dict[str, str], recorded_tokens: dict[str, dict[str, str]]) -> bool:
        """Whether all have each other's present lives on disk, and so have judged each other's folders.

        `tokens` are the others' lives by their own word, `lives` what each has on disk of the rest. Without
        that, one whose folder is lost could be asked before anybody has told it so.
        """
        known = {**tokens, self.own_name: self.incarnation_token}
        mine = {name: peer.recorded_incarnation.token for name, peer in self.peers.items()}
        return self.no_stale_peers and all(
            told.get(name) == token
            for who, told in {**recorded_tokens, self.own_name: mine}.items()
            for name, token in known.items()
            if name != who
        )

    def advance_period(self) -> list[tuple[str, MemberState]]:
        """One more attended turn; whose health has changed by it. Turns slept through are none."""
        changed = []
        for name, peer in self.peers.items():
            if peer.newer_own_incarnation:
                peer.newer_own_incarnation_periods += 1
                if (
                    peer.newer_own_incarnation_periods > self._rules.suspect + 1
                ):  # a life that is over is suspected by now
                    self.superseded_by = max(self.superseded_by, peer.newer_own_incarnation)
            peer.periods_since_heartbeat += 1
            before = peer.state
            if before is MemberState.ALIVE and peer.periods_since_heartbeat > self._rules.suspect:
                peer.state = MemberState.SUSPECT
            elif before is MemberState.SUSPECT and peer.periods_since_heartbeat > self._rules.gone:
                peer.state = MemberState.DEAD
            if peer.state is not before:
                changed.append((name, peer.state))
        return changed
