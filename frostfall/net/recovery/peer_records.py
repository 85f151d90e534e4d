"""What is recorded in the log of the other members' incarnations."""

from __future__ import annotations

from collections.abc import Iterable

from frostfall.membership.member_list import Incarnation
from frostfall.net.recovery.core import MemberCore
from frostfall.recovery.metadata import MetadataRecord, PeerIncarnation


class PeerRecorder:
    """Records the other members' incarnations, so that an older copy of a directory is noticed."""

    def __init__(self, core: MemberCore) -> None:
        """Nothing has been recorded yet."""
        self._core = core
        self._saved: dict[str, Incarnation] = {}  # by member, as saved by `save_progress`

    def restore(self, record: PeerIncarnation) -> None:
        """Take over a record of the log."""
        incarnation = Incarnation(record.incarnation, record.batch, record.token)
        self._core.membership.restore(record.member, incarnation, record.stale_reason)

    def records(self) -> Iterable[MetadataRecord]:
        """The metadata records that a new segment begins with."""
        for name, peer in self._core.membership.peers.items():
            if peer.recorded_incarnation.number:
                yield _to_record(name, peer.recorded_incarnation, peer.stale_reason)

    def save(self, member: str, incarnation: Incarnation, stale_reason: str = "") -> int:
        """Append an incarnation to the log; return the ticket."""
        return self._core.metadata.append(_to_record(member, incarnation, stale_reason))

    def save_new(self, member: str, incarnation: Incarnation, stale_reason: str) -> None:
        """Record a member's new incarnation; it is acknowledged once that is durable."""

        ticket = self.save(member, incarnation, stale_reason)
        self._core.disk.when_written(ticket, lambda: self._acknowledge(member, incarnation, stale_reason))

    def _acknowledge(self, member: str, incarnation: Incarnation, stale_reason: str) -> None:
        self._core.membership.mark_recorded(member, incarnation, stale_reason)
        if connection := self._core.connections.get(member):
            connection.send_heartbeat_now()
        self._core.changed.notify()

    def save_progress(self) -> None:
        """Append how far the other members' logs have come, where that has changed."""
        for name, peer in self._core.membership.peers.items():
            recorded = peer.recorded_incarnation
            saved = self._saved.get(name, Incarnation(durable_batch=-1))
            unchanged = (recorded.durable_batch, recorded.token) == (saved.durable_batch, saved.token)
            if recorded.number and not unchanged:
                self._saved[name] = Incarnation(recorded.number, recorded.durable_batch, recorded.token)
                self.save(name, recorded, peer.stale_reason)


def _to_record(member: str, incarnation: Incarnation, stale_reason: str) -> PeerIncarnation:
    return PeerIncarnation(
        member, incarnation.number, incarnation.durable_batch, incarnation.token, stale_reason
    )
