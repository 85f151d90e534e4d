"""Anti-entropy schedule: the records to compare with each peer, and the completeness of a member's records.

An owner's record is stored by the owner and by its holders, which are peers for that record. Each peer copies
the operations that it is missing from the others. After a member's log was lost, restored from an old copy or
corrupted, an operation that it is missing proves nothing until it has synced with enough peers whose records
are authoritative. The same applies to a member that became the holder of a record by a change of the member
list. The number of peers that is enough depends on the record:

  own record             A read quorum of holders. Every acknowledged write is at a write quorum of holders,
                         and each read quorum intersects each write quorum.
  other member's record  For acknowledged writes, the owner itself or a read quorum of the other holders. For
                         fences, a write quorum of the other holders: a fence was set at a read quorum, which
                         may have included this member, and every write quorum has to intersect the rest.

The module does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from frostfall.replication.options import ReplicationOptions
from frostfall.replication.placement import replica_holders

MIN_RETRY_DELAY = 0.5  # seconds until a task is due after its first failure; doubled by each further one
MAX_RETRY_DELAY = 30.0  # seconds


def is_record_complete(
    options: ReplicationOptions, ensemble: int, own_record: bool, owner_synced: bool, holders_synced: int
) -> bool:
    """Return whether a member's record of one owner is complete again by the rules of this module.

    `ensemble` is the number of the owner's holders. `holders_synced` is the number of other holders that the
    member has synced with.
    """
    write_quorum = min(options.acknowledged, ensemble)
    read_quorum = options.read_quorum(ensemble)
    if own_record:
        return holders_synced >= read_quorum
    # If all holders have to acknowledge a write, one fence is enough, and it may have been on this disk only.
    fences_restored = write_quorum < ensemble and holders_synced >= write_quorum
    return fences_restored and (owner_synced or holders_synced >= read_quorum)


class _TaskKey(NamedTuple):
    owner: str
    peer: str


@dataclass(slots=True)
class SyncTask:
    """Comparison of an owner's record with a peer's copy of it."""

    owner: str
    peer: str
    due: float = 0.0  # time in seconds of the caller's clock
    retry_delay: float = MIN_RETRY_DELAY  # seconds


@dataclass
class AntiEntropyScheduler:
    """One member's tasks, and the completeness of the records that it holds."""

    own_name: str
    zones: dict[str, str]  # zone of each member, removed members included
    options: ReplicationOptions
    removed_members: frozenset[str] = frozenset()  # permanently removed; their records are still held
    incomplete_owners: set[str] = field(default_factory=set)  # owners whose record is to be restored
    _synced_peers: dict[str, set[str]] = field(default_factory=dict)  # authoritative peers by owner
    _tasks: dict[_TaskKey, SyncTask] = field(default_factory=dict)
    _unavailable_since: dict[str, float] = field(default_factory=dict)  # seconds, by member
    # Owners whose records this member holds as a spare for unavailable holders.
    _spare_owners: list[str] = field(default_factory=list)

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
        """Return the owners whose records this member holds permanently, itself first."""
        others = [name for name, ensemble in self.ensembles.items() if self.own_name in ensemble]
        return [self.own_name, *others]

    def peers_of(self, owner: str) -> list[str]:
        """Return the other members that store an owner's record, the owner first."""
        others = (owner, *self.ensembles[owner])
        return [name for name in others if name != self.own_name and name not in self.removed_members]

    def mark_all_incomplete(self) -> None:
        """Mark all records as incomplete, after the log was lost, restored from an old copy or corrupted."""
        self.incomplete_owners = set(self.owners)
        self._synced_peers.clear()

    def apply_assignment(self, owners: Iterable[str], members: Iterable[str]) -> None:
        """Apply the stored assignment: the owners whose records were complete here, and the members then.

        The records of other owners are incomplete until they are synced, except those of owners that were not
        members at that time, of which no member has a record.
        """
        # A member that became a holder by a change of the member list lacks all earlier writes.
        former_members = set(members) or set(self.zones)
        self.incomplete_owners |= (set(self.owners) - set(owners) - {self.own_name}) & former_members

    @property
    def complete_owners(self) -> list[str]:
        """Return the owners whose records are complete here, sorted."""
        return sorted(set(self.owners) - self.incomplete_owners)

    def is_complete(self, owner: str) -> bool:
        """Return whether an operation's absence from this member's record of an owner proves anything."""
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
        """Return whether there were incomplete records and all of them are complete again."""
        return bool(self.incomplete_owners) and all(map(self.is_complete, self.incomplete_owners))

    def schedule(self, now: float, *members: str) -> None:
        """Make the comparisons with these members due, or with all members if none is named."""
        for owner in [*self.owners, *self._spare_owners]:
            for peer in self.peers_of(owner):
                if not members or peer in members:
                    self._add_task(owner, peer, now)

    def _add_task(self, owner: str, peer: str, now: float) -> None:
        self._tasks[_TaskKey(owner, peer)] = SyncTask(owner, peer, now)

    def update_unavailable(self, now: float, unavailable: set[str]) -> None:
        """Update the unavailable members; after `spare` seconds, other members act as spares for them."""
        self._unavailable_since = {name: self._unavailable_since.get(name, now) for name in unavailable}
        before, self._spare_owners = self._spare_owners, self._find_spare_owners(now)
        for owner in self._spare_owners:
            if owner not in before:
                for peer in self.peers_of(owner):
                    self._add_task(owner, peer, now)

    def _find_spare_owners(self, now: float) -> list[str]:
        """Return the owners whose record this member holds as a spare for long unavailable holders."""
        if not self.options.spare:
            return []
        unavailable = {
            name for name, since in self._unavailable_since.items() if now - since >= self.options.spare
        }
        owners = []
        for owner, preference in self._preference.items():
            ensemble = self.ensembles[owner]
            missing = len(unavailable & set(ensemble))
            spares = [name for name in preference if name not in ensemble and name not in unavailable]
            if self.own_name in spares[:missing]:
                owners.append(owner)
        return owners

    def due_tasks(self, now: float, available: set[str]) -> list[SyncTask]:
        """Return the due tasks, with the fewest available peers first: those records are closest to loss."""
        held_owners = {*self.owners, *self._spare_owners}
        self._tasks = {key: task for key, task in self._tasks.items() if task.owner in held_owners}
        due = [task for task in self._tasks.values() if task.due <= now and task.peer in available]

        def urgency(task: SyncTask) -> tuple[int, str, str]:
            available_peers = sum(name in available for name in self.peers_of(task.owner))
            return available_peers, task.peer, task.owner

        return sorted(due, key=urgency)

    def record_result(self, task: SyncTask, now: float, *, succeeded: bool, authoritative: bool) -> None:
        """Record the result of a task.

        `succeeded` states that all missing operations are on disk here. `authoritative` states that the
        peer's record was complete.
        """
        if succeeded and authoritative:
            self._synced_peers.setdefault(task.owner, set()).add(task.peer)
        if not succeeded or (task.owner in self.incomplete_owners and not authoritative):
            task.due = now + task.retry_delay
            task.retry_delay = min(task.retry_delay * 2, MAX_RETRY_DELAY)
        elif task.owner in self.owners:
            self._tasks.pop(_TaskKey(task.owner, task.peer), None)
        else:
            # Owners do not send new operations to a spare holder, so it syncs with them periodically.
            task.due = now + self.options.spare
            task.retry_delay = MIN_RETRY_DELAY

    @property
    def pending_count(self) -> int:
        """Return the number of pending tasks."""
        return len(self._tasks)
