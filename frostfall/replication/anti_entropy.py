"""Which records a member has to compare with whom, in which order, and when its own is whole again. No I/O.

An owner's record is kept by the owner and its holders: the parties. Each party takes from the others what it
lacks. A member whose folder was lost, old or rotten proves nothing by what it lacks until it has taken over
from enough parties that are sure of theirs; so has one that keeps an owner's record only since the list of
members changed. Judged by owner:

  its own record       read holders: whoever promised had acknowledged of them, and these sets meet
  that of another one  that one itself, or read other holders, for what was promised; and acknowledged other
                       holders, for what was fenced: a fence was set at read holders, this one perhaps among
                       them, and every set of `acknowledged` has to meet those that are left of it
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from frostfall.replication.options import ReplicationOptions
from frostfall.replication.placement import replica_holders

MIN_RETRY_DELAY, MAX_RETRY_DELAY = (
    0.5,
    30.0,
)  # seconds before a pair is tried again that did not come through; doubled each time


def is_record_complete(
    options: ReplicationOptions, ensemble: int, own_record: bool, owner_synced: bool, holders_synced: int
) -> bool:
    """Whether a lost record of one owner is whole again, as the module says.

    `own`: it is this member's own record; `owner`: the owner's was taken over, `others`: so many holders'.
    """
    needed, read = min(options.acknowledged, ensemble), options.read_quorum(ensemble)
    if own_record:
        return holders_synced >= read
    # Danger: where all holders have to acknowledge, one fence is enough, and it may have been here alone.
    return needed < ensemble and holders_synced >= needed and (owner_synced or holders_synced >= read)


@dataclass(slots=True)
class SyncTask:
    """An owner's record, and the party from whom it is taken over."""

    owner: str
    peer: str
    due: float = 0.0  # when it is tried next
    retry_delay: float = MIN_RETRY_DELAY


@dataclass
class AntiEntropyScheduler:
    """One member's part."""

    own: str
    zones: dict[str, str]
    options: ReplicationOptions
    removed_members: frozenset[str] = (
        frozenset()
    )  # members that are gone for good, and whose records are still kept
    incomplete_owners: set[str] = field(
        default_factory=set
    )  # owners of whom this record proves nothing by what it lacks
    _taken: dict[str, set[str]] = field(default_factory=dict)  # by owner: parties that were sure
    _pairs: dict[tuple[str, str], SyncTask] = field(default_factory=dict)
    _away: dict[str, float] = field(default_factory=dict)  # since when members are away
    _spares: list[str] = field(default_factory=list)  # owners whose record is kept here for holders that are

    def __post_init__(self) -> None:
        """Reckon who keeps whose record."""
        self._order = {
            name: replica_holders(
                name,
                {
                    other: zone
                    for other, zone in self.zones.items()
                    if other == name or other not in self.removed_members
                },
                len(self.zones),
            )
            for name in self.zones
        }
        self.ensembles = {name: order[: self.options.kept] for name, order in self._order.items()}

    @property
    def owners(self) -> list[str]:
        """Whose records this member keeps for good, its own first."""
        return [self.own, *(name for name, ensemble in self.ensembles.items() if self.own in ensemble)]

    def peers_of(self, owner: str) -> list[str]:
        """Who else keeps an owner's record."""
        others = (owner, *self.ensembles[owner])
        return [name for name in others if name != self.own and name not in self.removed_members]

    def mark_all_incomplete(self) -> None:
        """From now on this member's record proves nothing by what it lacks."""
        self.incomplete_owners = set(self.owners)
        self._taken.clear()

    def apply_assignment(self, owners: Iterable[str], members: Iterable[str]) -> None:
        """Whose records have been kept here in full so far, and who was a member by then.

        The records of others are to be taken over first; who was none by then has left nothing anywhere.
        """
        # Danger: who keeps a record only since the list of members changed has nothing of what was promised.
        before = set(members) or set(self.zones)
        self.incomplete_owners |= (set(self.owners) - set(owners) - {self.own}) & before

    @property
    def complete_owners(self) -> list[str]:
        """Whose records are kept here in full."""
        return sorted(set(self.owners) - self.incomplete_owners)

    def is_complete(self, owner: str) -> bool:
        """Whether this member's record of an owner proves something by what it lacks."""
        if owner not in self.incomplete_owners:
            return owner in self.ensembles
        taken = self._taken.get(owner, set())
        others = len(taken - {owner})
        return is_record_complete(
            self.options, len(self.ensembles[owner]), owner == self.own, owner in taken, others
        )

    @property
    def all_restored(self) -> bool:
        """Whether all that was lost is whole again."""
        return bool(self.incomplete_owners) and all(
            self.is_complete(owner) for owner in self.incomplete_owners
        )

    # ---- rounds ---------------------------------------------------------------------------------------

    def schedule(self, now: float, *members: str) -> None:
        """All records that are shared with these members, or with anybody, have to be compared."""
        for owner in [*self.owners, *self._spares]:
            for party in self.peers_of(owner):
                if not members or party in members:
                    self._pairs[owner, party] = SyncTask(owner, party, now)

    def update_unavailable(self, now: float, unavailable: set[str]) -> None:
        """Who is away just now: past `spare` seconds, others take their part."""
        self._away = {name: self._away.get(name, now) for name in unavailable}
        before, self._spares = self._spares, self._spared(now)
        for owner in self._spares:
            if owner not in before:
                self._pairs |= {(owner, party): SyncTask(owner, party, now) for party in self.peers_of(owner)}

    def _spared(self, now: float) -> list[str]:
        """Owners whose record this member keeps in the place of holders that have been away for long."""
        if not self.options.spare:
            return []
        gone = {name for name, since in self._away.items() if now - since >= self.options.spare}
        found = []
        for owner, order in self._order.items():
            missing = len(gone & set(self.ensembles[owner]))
            spares = [name for name in order if name not in self.ensembles[owner] and name not in gone]
            if self.own in spares[:missing]:
                found.append(owner)
        return found

    def due_tasks(self, now: float, available: set[str]) -> list[SyncTask]:
        """What is due, the most endangered record first: that with the fewest parties that are here."""
        kept = {*self.owners, *self._spares}
        self._pairs = {key: pair for key, pair in self._pairs.items() if pair.owner in kept}
        due = [pair for pair in self._pairs.values() if pair.due <= now and pair.peer in available]
        return sorted(
            due,
            key=lambda pair: (
                sum(name in available for name in self.peers_of(pair.owner)),
                pair.peer,
                pair.owner,
            ),
        )

    def record_result(self, task: SyncTask, now: float, succeeded: bool, authoritative: bool) -> None:
        """A pair has been compared: `good`: all that was lacking is on disk here; `sure`: the party was."""
        if succeeded and authoritative:
            self._taken.setdefault(task.owner, set()).add(task.peer)
        if succeeded and (authoritative or task.owner not in self.incomplete_owners):
            if task.owner in self.owners:
                self._pairs.pop((task.owner, task.peer), None)
            else:  # what comes up meanwhile is not brought to a spare: it is taken over now and then
                task.due, task.retry_delay = now + self.options.spare, MIN_RETRY_DELAY
            return
        task.due, task.retry_delay = now + task.retry_delay, min(task.retry_delay * 2, MAX_RETRY_DELAY)

    @property
    def pending_count(self) -> int:
        """How many pairs have still to be compared."""
        return len(self._pairs)
