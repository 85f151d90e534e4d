"""Whether this member's record is complete, and what follows once it is not."""

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
        """`scheduler`: restores the record from replicas; None where there are none."""
        self._core = core
        self._incarnation = incarnation
        self._scheduler = scheduler
        self._majority_loss_reported = False
        self.consensus_excluded = False  # the votes cast may be lost; only operators can accept that
        self.is_durable = False  # whether the present reason, or its absence, is in the log

    @property
    def reason(self) -> IncompleteReason | None:
        """Why the record is incomplete; None where it is complete."""
        return self._core.inputs.incomplete_reason

    @property
    def detail(self) -> str:
        """The reason as text; empty where the record is complete."""
        return incomplete_detail(self.reason)

    @property
    def incomplete_owners(self) -> set[str]:
        """The owners whose records are incomplete here."""
        return self._scheduler.incomplete_owners if self._scheduler else set()

    # ---- startup -----------------------------------------------------------------------------------

    def restore(self, record: RecordIncomplete) -> None:
        """Take over a record of the log."""
        self._set_reason(IncompleteReason(record.reason) if record.reason else None)
        self.is_durable = True
        self.consensus_excluded = record.consensus_excluded

    def records(self) -> Iterable[MetadataRecord]:
        """The metadata record that a new segment begins with."""
        if self.reason or self.consensus_excluded:
            yield RecordIncomplete(self.detail, self.consensus_excluded)

    def assignment_records(self) -> Iterable[MetadataRecord]:
        """The replicas held in full, for the log."""
        if self._scheduler:
            yield ReplicaAssignment(self._scheduler.complete_owners, sorted(self._scheduler.zones))

    def apply_assignment(self, assignment: ReplicaAssignment, *, is_first_start: bool) -> None:
        """Compare the replicas that the log held in full with those assigned by the options."""
        if self._scheduler:
            owners = self._scheduler.owners if is_first_start else assignment.owners
            self._scheduler.apply_assignment(owners, assignment.members)

    # ---- losing records ----------------------------------------------------------------------------

    def mark_missing(self) -> None:
        """There was no log: a first start, or a lost directory."""
        # With all directories lost at once, no member is left that could tell that from a first start.
        self._set_reason(IncompleteReason("there was no record: a first start, or a lost folder"))
        self.save()
        _log.warning("record missing", reason=self.detail)

    def check_staleness(self) -> None:
        """Record that the directory is older than what other members have seen of it, once one says so."""
        membership = self._core.membership
        if not membership.stale_reason or self.reason or not self._core.disk.is_open:
            return
        self._set_reason(IncompleteReason(membership.stale_reason))
        _log.error("record stale", reason=self.detail)
        self.save()

    def mark_unreadable(self, error: Exception) -> None:
        """A record of the log cannot be read any more."""
        if not self.reason:
            self._set_reason(IncompleteReason(f"a record cannot be read any more: {error}"))
            _log.error("record unreadable", reason=self.detail)
            self._core.changed.notify()

    def mark_corrupted(self, detail: str) -> None:
        """A check of the log against the members' replicas has found damage."""
        self._set_reason(self.reason or IncompleteReason(detail))
        if self._core.disk.is_open:
            self.save()
        self._core.changed.notify()

    def report_majority_loss(self) -> None:
        """Log once that a majority of the group has lost records."""
        membership = self._core.membership
        affected = [name for name, peer in membership.peers.items() if peer.incomplete_reason]
        if self.reason:
            affected.append(self._core.name)
        if len(affected) >= membership.majority and not self._majority_loss_reported:
            self._majority_loss_reported = True
            _log.error("a majority has come back without its records", members=sorted(affected))

    # ---- complete again ----------------------------------------------------------------------------

    def mark_restored(self) -> None:
        """Everything missing here has been restored from replicas of enough members."""
        owners = sorted(self.incomplete_owners)
        _log.warning("the record is whole by its copies", doubt=self.detail, owners=owners)
        self._clear()

    def accept_loss(self) -> int:
        """Operators accept the loss; return the log ticket of that."""
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

    # ---- what a poll may rely on -------------------------------------------------------------------

    def is_complete(self, owner: str) -> bool:
        """Whether the record of an owner is complete here."""
        return self._scheduler.is_complete(owner) if self._scheduler else not self.reason

    def has_recorded(self, member: str, token: str) -> bool:
        """Whether a member's present incarnation is recorded here, and no peer's directory is stale."""
        peer = self._core.membership.peers.get(member)
        if peer is None or peer.recorded_incarnation.token != token:
            return False
        return self._core.membership.no_stale_peers

    def is_authoritative(self, owner: str, reader: str, token: str) -> bool:
        """Whether this record of an owner may prove the absence of an operation to a reader."""
        return self.is_complete(owner) and self.has_recorded(reader, token)
