"""Completeness of this member's record, and the consequences of an incomplete one."""

from __future__ import annotations

from collections.abc import Iterable

from frostfall import log
from frostfall.net.recovery.core import MemberCore
from frostfall.net.recovery.incarnation import IncarnationDriver
from frostfall.recovery.completeness import IncompleteReason, incomplete_detail
from frostfall.recovery.metadata import MetadataRecord, RecordIncomplete, ReplicaAssignment
from frostfall.replication.anti_entropy import AntiEntropyScheduler

_log = log.get_logger("recovery")


class RecordCompleteness:
    """Owns the reason why the record is incomplete, and whether that reason is durable."""

    def __init__(
        self, core: MemberCore, incarnation: IncarnationDriver, scheduler: AntiEntropyScheduler | None
    ) -> None:
        """`scheduler` schedules the restoration from replicas; it is None if replication is disabled."""
        self._core = core
        self._incarnation = incarnation
        self._scheduler = scheduler
        self._majority_loss_reported = False
        self.consensus_excluded = False  # True if Raft votes may be lost; only operators can accept that loss
        self.is_durable = False  # True once the present reason, or its absence, is in the log

    @property
    def reason(self) -> IncompleteReason | None:
        """Return the reason why the record is incomplete; None if it is complete."""
        return self._core.inputs.incomplete_reason

    @property
    def detail(self) -> str:
        """Return the reason as text; empty if the record is complete."""
        return incomplete_detail(self.reason)

    @property
    def incomplete_owners(self) -> set[str]:
        """Return the owners whose records are incomplete on this member."""
        return self._scheduler.incomplete_owners if self._scheduler else set()

    def restore(self, record: RecordIncomplete) -> None:
        """Restore the state from a record of the log."""
        self._set_reason(IncompleteReason(record.reason) if record.reason else None)
        self.is_durable = True
        self.consensus_excluded = record.consensus_excluded

    def records(self) -> Iterable[MetadataRecord]:
        """Yield the metadata record that a new segment begins with, if any."""
        if self.reason or self.consensus_excluded:
            yield RecordIncomplete(self.detail, self.consensus_excluded)

    def assignment_records(self) -> Iterable[MetadataRecord]:
        """Yield the metadata record of the replicas that are complete here, if replication is enabled."""
        if self._scheduler:
            yield ReplicaAssignment(self._scheduler.complete_owners, sorted(self._scheduler.zones))

    def apply_assignment(self, assignment: ReplicaAssignment, *, is_first_start: bool) -> None:
        """Mark the replicas that the options assign but the log did not hold in full as incomplete."""
        if self._scheduler:
            owners = self._scheduler.owners if is_first_start else assignment.owners
            self._scheduler.apply_assignment(owners, assignment.members)

    def mark_missing(self) -> None:
        """Mark the record as incomplete because there was no log (a first start, or a lost directory)."""
        # If all directories are lost at once, no member can distinguish that from a first start.
        self._set_reason(IncompleteReason("there was no record: a first start, or a lost folder"))
        self.save()
        _log.warning("record missing", reason=self.detail)

    def check_staleness(self) -> None:
        """Mark the record as incomplete once a member reports that this directory is an outdated copy."""
        membership = self._core.membership
        if not membership.stale_reason or self.reason or not self._core.disk.is_open:
            return
        self._set_reason(IncompleteReason(membership.stale_reason))
        _log.error("record stale", reason=self.detail)
        self.save()

    def mark_unreadable(self, error: Exception) -> None:
        """Mark the record as incomplete because a record of the log has become unreadable."""
        if not self.reason:
            self._set_reason(IncompleteReason(f"a record cannot be read any more: {error}"))
            _log.error("record unreadable", reason=self.detail)
            self._core.changed.notify()

    def mark_corrupted(self, detail: str) -> None:
        """Mark the record as incomplete because a comparison with the members' replicas found corruption."""
        self._set_reason(self.reason or IncompleteReason(detail))
        if self._core.disk.is_open:
            self.save()
        self._core.changed.notify()

    def report_majority_loss(self) -> None:
        """Log that a majority of the group has lost records, once per loss."""
        membership = self._core.membership
        affected = [name for name, peer in membership.peers.items() if peer.incomplete_reason]
        if self.reason:
            affected.append(self._core.name)
        if len(affected) >= membership.majority and not self._majority_loss_reported:
            self._majority_loss_reported = True
            _log.error("a majority has come back without its records", members=sorted(affected))

    def mark_restored(self) -> None:
        """Mark the record as complete, after it was restored from the replicas of enough members."""
        owners = sorted(self.incomplete_owners)
        _log.warning("the record is whole by its copies", doubt=self.detail, owners=owners)
        self._clear()

    def accept_loss(self) -> int:
        """Mark the record as complete because operators accept the loss; return the log ticket."""
        self.consensus_excluded = False
        return self._clear()

    def _clear(self) -> int:
        self._core.membership.stale_reason = ""
        self._set_reason(None)
        self._incarnation.accept_present()
        self._majority_loss_reported = False
        self._core.changed.notify()
        for assignment in self.assignment_records():
            self._core.metadata.append(assignment)
        return self.save()

    def save(self) -> int:
        """Append the present reason, or its absence, to the log; return the ticket."""

        def on_written() -> None:
            self.is_durable = True

        self.is_durable = False
        ticket = self._core.metadata.append(RecordIncomplete(self.detail, self.consensus_excluded))
        self._core.disk.when_written(ticket, on_written)
        return ticket

    def _set_reason(self, reason: IncompleteReason | None) -> None:
        self._core.inputs.incomplete_reason = reason
        self._core.operation_log.incomplete_reason = reason
        if reason:
            self.consensus_excluded = True
        if self._scheduler and reason:
            self._scheduler.mark_all_incomplete()
            self._scheduler.schedule(self._core.monotonic_clock())
        elif self._scheduler:
            self._scheduler.incomplete_owners.clear()

    def is_complete(self, owner: str) -> bool:
        """Return whether the record of an owner is complete on this member."""
        return self._scheduler.is_complete(owner) if self._scheduler else not self.reason

    def has_recorded(self, member: str, token: str) -> bool:
        """Return whether a member's present incarnation is recorded here and no peer's directory is stale."""
        peer = self._core.membership.peers.get(member)
        if peer is None or peer.recorded_incarnation.token != token:
            return False
        return self._core.membership.no_stale_peers

    def is_authoritative(self, owner: str, reader: str, token: str) -> bool:
        """Return whether this record of an owner can prove the absence of an operation to a reader."""
        return self.is_complete(owner) and self.has_recorded(reader, token)
