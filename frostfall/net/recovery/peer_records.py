"""Records of the other members' incarnations in the log."""

from __future__ import annotations

from collections.abc import Iterable

from frostfall.membership.member_list import Incarnation
from frostfall.net.recovery.core import MemberCore
from frostfall.recovery.metadata import MetadataRecord, PeerIncarnation


class PeerRecorder:
    """Records the other members' incarnations, so that an outdated copy of a directory is detected."""

    def __init__(self, core: MemberCore) -> None:
        """Create a recorder without saved progress."""
        self._core = core
        self._saved: dict[str, Incarnation] = {}  # by member, as saved by `save_progress`

    def restore(self, record: PeerIncarnation) -> None:
        """Restore another member's incarnation from a record of the log."""
        incarnation = Incarnation(record.incarnation, record.batch, record.token)
        self._core.membership.restore(record.member, incarnation, record.stale_reason)

    def records(self) -> Iterable[MetadataRecord]:
        """Yield the metadata records that a new segment begins with."""
        for name, peer in self._core.membership.peers.items():
            if peer.recorded_incarnation.number:
                yield _to_record(name, peer.recorded_incarnation, peer.stale_reason)

    def save(self, member: str, incarnation: Incarnation, stale_reason: str = "") -> int:
        """Append a member's incarnation to the log; return the log ticket."""
        return self._core.metadata.append(_to_record(member, incarnation, stale_reason))

    def save_new(self, member: str, incarnation: Incarnation, stale_reason: str) -> None:
        """Record a member's new incarnation, and acknowledge it to that member once the record is written."""

        ticket = self.save(member, incarnation, stale_reason)
        self._core.disk.when_written(ticket, lambda: self._acknowledge(member, incarnation, stale_reason))

    def _acknowledge(self, member: str, incarnation: Incarnation, stale_reason: str) -> None:
        self._core.membership.mark_recorded(member, incarnation, stale_reason)
        if connection := self._core.connections.get(member):
            connection.send_heartbeat_now()
        self._core.changed.notify()

    def save_progress(self) -> None:
        """Append the last durable batch of each other member whose batch has changed since the last save."""
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
