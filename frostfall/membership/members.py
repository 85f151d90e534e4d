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

from frostfall.recovery.rules import Turns


class Health(Enum):
    """What a member is taken for."""

    UNHEARD = "unheard"
    HERE = "here"
    SUSPECT = "suspect"
    AWAY = "away"
    OLD = "old life"  # it spoke in a life that a newer one has replaced


@dataclass(slots=True)
class Life:
    """A member's life as it is known here."""

    incarnation: int = 0
    batch: int = 0  # the last that it had on disk
    token: str = ""  # random, made up when the life began


@dataclass(slots=True)
class Peer:
    """What is known of one other member."""

    life: Life
    kept: Life  # what of it is on disk here
    health: Health = Health.UNHEARD
    missed: int = 0  # turns since it answered
    acknowledged: int = 0  # the highest own incarnation that it has on disk
    clock_ahead: float = 0.0  # seconds of its wall clock before the own one
    doubt: str = ""  # why its record proves nothing, by its own word
    outdated: str = ""  # why it proves nothing, by what was known of it here: until it says so itself
    remark: str = ""  # the same of whoever spoke last under its name
    newer: int = 0  # a life of this very member, newer than one's own, that it says to hear
    newer_turns: int = 0  # for how many turns
    stage: str = ""  # the gate that it waits for


class Answer(Enum):
    """How a word that was heard stands to what is known."""

    GOOD = "good"
    NEW_LIFE = "new life"  # to be written down before it is acknowledged
    REPLACED = "replaced"  # its sender has been replaced by a newer life


def _older(kept: Life, last: Life) -> str:
    """Why a folder that ended with `last` is older than what is known of it; empty where it is not."""
    if kept.incarnation > last.incarnation:
        return f"knew life {kept.incarnation} of this member, its folder {last.incarnation or 'none'}"
    if kept.incarnation and kept.incarnation == last.incarnation:
        if kept.token != last.token:
            return f"knew another life {kept.incarnation} of this member"
        if kept.batch > last.batch:
            return f"saw batch {kept.batch} on this member's disk, the folder ended with {last.batch}"
    return ""


class Members:
    """The group as one member sees it."""

    def __init__(self, own: str, names: tuple[str, ...], rules: Turns) -> None:
        """Nobody has been heard yet."""
        self.own, self._rules = own, rules
        self.peers = {name: Peer(Life(), Life()) for name in names if name != own}
        self.incarnation, self.token = 0, ""  # one's own life; 0 before it is on disk
        self.must_exceed = 0  # a life that one's own has to be newer than
        self.replaced_by = 0  # a newer life of this very member, if one was heard of
        self.outdated = ""  # why one's own folder is older than what others saw

    @property
    def majority(self) -> int:
        """How many are more than half."""
        return (len(self.peers) + 1) // 2 + 1

    @property
    def here(self) -> list[str]:
        """Members that are heard, not oneself."""
        return [name for name, peer in self.peers.items() if peer.health in (Health.HERE, Health.SUSPECT)]

    @property
    def acknowledging(self) -> int:
        """How many members have one's own life on disk, oneself included."""
        if not self.incarnation:
            return 0
        return 1 + sum(peer.acknowledged >= self.incarnation for peer in self.peers.values())

    def recall(self, name: str, life: Life, outdated: str) -> None:
        """What was written down of a member in an earlier life."""
        if peer := self.peers.get(name):
            peer.kept, peer.outdated = life, outdated
            peer.life = Life(life.incarnation, life.batch, life.token)

    def heard(
        self, name: str, life: Life, last: Life, stage: str, clock_ahead: float, doubt: str
    ) -> Answer | None:
        """A member spoke; `last` is what its folder said when it started. None for a stranger."""
        peer = self.peers.get(name)
        if peer is None:
            return None
        # Danger: with its own life written down over it, what was known of an older one would be gone before
        # the member itself has its doubt on disk. So who knew keeps it, and tells it, until then.
        peer.remark = _older(peer.kept, last) if life.token != peer.kept.token else ""
        if life.incarnation < peer.life.incarnation or (
            life.incarnation == peer.life.incarnation and life.token != peer.life.token
        ):
            if peer.health in (Health.UNHEARD, Health.AWAY):
                peer.health = Health.OLD
            return Answer.REPLACED
        peer.health, peer.missed, peer.stage = Health.HERE, 0, stage
        peer.clock_ahead, peer.doubt = clock_ahead, doubt
        fresh = life.incarnation > peer.life.incarnation
        if fresh:
            peer.acknowledged = 0
        if fresh or life.batch > peer.life.batch:
            peer.life = life
        return Answer.NEW_LIFE if peer.kept.token != life.token else Answer.GOOD

    def told_of_me(self, name: str, kept: Life, live: bool, outdated: str) -> None:
        """A member says what it has on disk of this one, whether it hears that life, and what it doubts."""
        peer = self.peers.get(name)
        if peer is None:
            return
        self.outdated = self.outdated or (f"{name} {outdated}" if outdated else "")
        if kept.incarnation == self.incarnation and kept.token == self.token:
            peer.acknowledged = kept.incarnation
        elif kept.incarnation >= self.incarnation > 0:
            # Danger: who has served and then hears of a newer life that is there is the old one of two
            # processes, and stops. Who only starts, or hears of a life that is over, takes a higher number.
            if live and kept.incarnation > self.incarnation and self.acknowledging >= self.majority:
                peer.newer = kept.incarnation  # it may be over all the same: see `turn`
            else:
                peer.newer, peer.newer_turns = 0, 0
                self.must_exceed = max(self.must_exceed, kept.incarnation)

    def wrote_down(self, name: str, life: Life, outdated: str = "") -> None:
        """What was heard of a member is on disk."""
        peer = self.peers[name]
        if (life.incarnation, life.batch) > (peer.kept.incarnation, peer.kept.batch):
            if life.token != peer.kept.token:
                peer.outdated = outdated or peer.outdated
            peer.kept = life

    @property
    def contested(self) -> int:
        """A newer life of this very member that somebody says to hear; 0 where nobody does."""
        return max((peer.newer for peer in self.peers.values()), default=0)

    @property
    def clear(self) -> bool:
        """Whether nobody's folder is known here to be older than what was known of it."""
        return not any(peer.outdated for peer in self.peers.values())

    def agree(self, tokens: dict[str, str], lives: dict[str, dict[str, str]]) -> bool:
        """Whether all have each other's present lives on disk, and so have judged each other's folders.

        `tokens` are the others' lives by their own word, `lives` what each has on disk of the rest. Without
        that, one whose folder is lost could be asked before anybody has told it so.
        """
        known = {**tokens, self.own: self.token}
        mine = {name: peer.kept.token for name, peer in self.peers.items()}
        return self.clear and all(
            told.get(name) == token
            for who, told in {**lives, self.own: mine}.items()
            for name, token in known.items()
            if name != who
        )

    def turn(self) -> list[tuple[str, Health]]:
        """One more attended turn; whose health has changed by it. Turns slept through are none."""
        changed = []
        for name, peer in self.peers.items():
            if peer.newer:
                peer.newer_turns += 1
                if peer.newer_turns > self._rules.suspect + 1:  # a life that is over is suspected by now
                    self.replaced_by = max(self.replaced_by, peer.newer)
            peer.missed += 1
            before = peer.health
            if before is Health.HERE and peer.missed > self._rules.suspect:
                peer.health = Health.SUSPECT
            elif before is Health.SUSPECT and peer.missed > self._rules.gone:
                peer.health = Health.AWAY
            if peer.health is not before:
                changed.append((name, peer.health))
        return changed
