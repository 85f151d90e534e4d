"""Which records a member compares with whom, in which order, and when its own are complete again. No I/O.

An owner's record is held by the owner and its holders, who are each other's peers for it. Each peer takes
from the others what it is missing. A member whose log was lost, restored from an old copy or corrupted proves
nothing by what it is missing until it has synced with enough peers whose records are authoritative. The same
goes for a member that holds an owner's record only since the list of members changed. What is enough:

  its own record        a read quorum of holders: every acknowledged write had a write quorum of them, and
                        these two meet
  the record of another for acknowledged writes, the owner itself or a read quorum of other holders; and for
                        fences, a write quorum of other holders: a fence was set at a read quorum, this member
                        perhaps among them, and every write quorum has to meet what is left of it
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from frostfall.replication.options import ReplicationOptions
from frostfall.replication.placement import replica_holders

MIN_RETRY_DELAY = 0.5  # seconds before a failed task is due again for the first time; then doubled
MAX_RETRY_DELAY = 30.0  # seconds before a failed task is due again at most


def is_record_complete(
    options: ReplicationOptions, ensemble: int, own_record: bool, owner_synced: bool, holders_synced: int
) -> bool:
    """Return whether a member's record of one owner is complete again, by the rules of this module.

    `ensemble` is the number of the owner's holders, `holders_synced` that of the others it has synced with.
    """
    write_quorum = min(options.acknowledged, ensemble)
    read_quorum = options.read_quorum(ensemble)
    if own_record:
        return holders_synced >= read_quorum
    # Where all holders have to acknowledge, one fence is enough, and it may have been on this disk alone.
    fences_restored = write_quorum < ensemble and holders_synced >= write_quorum
    return fences_restored and (owner_synced or holders_synced >= read_quorum)


class _TaskKey(NamedTuple):
    owner: str
    peer: str


@dataclass(slots=True)
class SyncTask:
    """An owner's record that is to be compared with a peer's."""

    owner: str
    peer: str
    due: float = 0.0  # seconds of the caller's clock
    retry_delay: float = MIN_RETRY_DELAY  # seconds


@dataclass
class AntiEntropyScheduler:
    """One member's tasks, and which of the records that it holds are complete."""

    own_name: str
    zones: dict[str, str]  # by member, removed ones included
    options: ReplicationOptions
    removed_members: frozenset[str] = frozenset()  # gone for good; their records are still held
    incomplete_owners: set[str] = field(default_factory=set)  # whose record proves nothing by what it lacks
    _synced_peers: dict[str, set[str]] = field(default_factory=dict)  # by owner: authoritative peers
    _tasks: dict[_TaskKey, SyncTask] = field(default_factory=dict)
    _unavailable_since: dict[str, float] = field(default_factory=dict)  # by member
    _spare_owners: list[str] = field(default_factory=list)  # held here in place of unavailable holders

    def __post_init__(self) -> None:
        """Compute the holders of every owner's record."""
        self._preference = {name: self._holders_by_preference(name) for name in self.zones}
        self.ensembles = {name: order[: self.options.kept] for name, order in self._preference.items()}

    def _holders_by_preference(self, owner: str) -> tuple[str, ...]:
        zones = {
            name: zone
            for name, zone in self.zones.items()
            if name == owner or name not in self.removed_members
        }
        return replica_holders(owner, zones, len(self.zones))

    @property
    def owners(self) -> list[str]:
        """Owners whose records this member holds for good, itself first."""
        others = [name for name, ensemble in self.ensembles.items() if self.own_name in ensemble]
        return [self.own_name, *others]

    def peers_of(self, owner: str) -> list[str]:
        """Return the other members that hold an owner's record, the owner first."""
        others = (owner, *self.ensembles[owner])
        return [name for name in others if name != self.own_name and name not in self.removed_members]

    # ---- completeness ---------------------------------------------------------------------------------

    def mark_all_incomplete(self) -> None:
        """Note that this member's log was lost, restored from an old copy or corrupted."""
        self.incomplete_owners = set(self.owners)
        self._synced_peers.clear()

    def apply_assignment(self, owners: Iterable[str], members: Iterable[str]) -> None:
        """Take in whose records were held here in full before the start, and who was a member then.

        The records of other owners are incomplete until they are synced, but for owners that were no members:
        these have not left a record anywhere.
        """
        # A member that holds a record only since the member list changed lacks all earlier writes.
        former_members = set(members) or set(self.zones)
        self.incomplete_owners |= (set(self.owners) - set(owners) - {self.own_name}) & former_members

    @property
    def complete_owners(self) -> list[str]:
        """Owners whose records are held here in full, sorted."""
        return sorted(set(self.owners) - self.incomplete_owners)

    def is_complete(self, owner: str) -> bool:
        """Return whether this member's record of an owner proves something by what it lacks."""
        if owner not in self.incomplete_owners:
            return owner in self.ensembles
        synced = self._synced_peers.get(owner, set())
        return is_record_complete(
            self.options,
            len(self.ensembles[owner]),
            own_record=owner == self.own_name,
            owner_synced=owner in synced,
            holders_synced=len(synced - {owner}),
        )

    @property
    def all_restored(self) -> bool:
        """Whether there were incomplete records and all of them are complete again."""
        return bool(self.incomplete_owners) and all(map(self.is_complete, self.incomplete_owners))

    # ---- tasks ----------------------------------------------------------------------------------------

    def schedule(self, now: float, *members: str) -> None:
        """Make all records due that are shared with these members, or with anybody if none is named."""
        for owner in [*self.owners, *self._spare_owners]:
            for peer in self.peers_of(owner):
                if not members or peer in members:
                    self._add_task(owner, peer, now)

    def _add_task(self, owner: str, peer: str, now: float) -> None:
        self._tasks[_TaskKey(owner, peer)] = SyncTask(owner, peer, now)

    def update_unavailable(self, now: float, unavailable: set[str]) -> None:
        """Take in which members are away; after `spare` seconds others hold their replicas meanwhile."""
        self._unavailable_since = {name: self._unavailable_since.get(name, now) for name in unavailable}
        before, self._spare_owners = self._spare_owners, self._owners_to_spare(now)
        for owner in self._spare_owners:
            if owner not in before:
                for peer in self.peers_of(owner):
                    self._add_task(owner, peer, now)

    def _owners_to_spare(self, now: float) -> list[str]:
        """Return owners whose record this member holds in place of holders that have been away for long."""
        if not self.options.spare:
            return []
        away = {name for name, since in self._unavailable_since.items() if now - since >= self.options.spare}
        owners = []
        for owner, preference in self._preference.items():
            ensemble = self.ensembles[owner]
            missing = len(away & set(ensemble))
            spares = [name for name in preference if name not in ensemble and name not in away]
            if self.own_name in spares[:missing]:
                owners.append(owner)
        return owners

    def due_tasks(self, now: float, available: set[str]) -> list[SyncTask]:
        """Return what is due, the record with the fewest available peers first: it is nearest to loss."""
        held_owners = {*self.owners, *self._spare_owners}
        self._tasks = {key: task for key, task in self._tasks.items() if task.owner in held_owners}
        due = [task for task in self._tasks.values() if task.due <= now and task.peer in available]

        def urgency(task: SyncTask) -> tuple[int, str, str]:
            available_peers = sum(name in available for name in self.peers_of(task.owner))
            return available_peers, task.peer, task.owner

        return sorted(due, key=urgency)

    def record_result(self, task: SyncTask, now: float, *, succeeded: bool, authoritative: bool) -> None:
        """Note how a task ended.

        `succeeded`: all that was missing is on disk here. `authoritative`: the peer's record was complete.
        """
        if succeeded and authoritative:
            self._synced_peers.setdefault(task.owner, set()).add(task.peer)
        if not succeeded or (task.owner in self.incomplete_owners and not authoritative):
            task.due = now + task.retry_delay
            task.retry_delay = min(task.retry_delay * 2, MAX_RETRY_DELAY)
        elif task.owner in self.owners:
            self._tasks.pop(_TaskKey(task.owner, task.peer), None)
        else:
            # Owners do not send new operations to a spare holder: it syncs with them again and again.
            task.due = now + self.options.spare
            task.retry_delay = MIN_RETRY_DELAY

    @property
    def pending_count(self) -> int:
        """How many tasks are left."""
        return len(self._tasks)
