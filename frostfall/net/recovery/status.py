"""Status of a group member, as reported to operators."""

from __future__ import annotations

from frostfall.membership.member_list import Peer
from frostfall.net.anti_entropy import AntiEntropyDriver
from frostfall.net.consensus import ConsensusDriver
from frostfall.net.recovery.core import MemberCore
from frostfall.net.recovery.record_completeness import RecordCompleteness
from frostfall.net.replication import ReplicationDriver

StatusFields = dict[str, object]  # by field name of the operators' report


class StatusReporter:
    """Composes the status of one member."""

    def __init__(
        self,
        core: MemberCore,
        completeness: RecordCompleteness,
        replication: ReplicationDriver | None,
        replica_repair: AntiEntropyDriver | None,
        consensus: ConsensusDriver | None,
    ) -> None:
        """Drivers that the options disable are None."""
        self._core = core
        self._completeness = completeness
        self._replication = replication
        self._replica_repair = replica_repair
        self._consensus = consensus

    def report(self) -> StatusFields:
        """Return the present status."""
        core = self._core
        return {
            "name": core.name,
            "life": core.membership.incarnation,
            "record": core.wal.condition.value,
            "why": core.inputs.unusable_reason or core.wal.failure_reason,
            "doubt": self._completeness.detail,
            **self._readiness_fields(),
            "members": {name: _peer_fields(peer) for name, peer in core.membership.peers.items()},
            "bytes": core.wal.total_bytes,
            "segments": core.wal.segment_count,
            "operations": len(core.wal.index),
            "copies": len(core.replica_store.open_tickets),
            "holders": list(self._replication.ensemble) if self._replication else [],
            "open": len(core.operation_log.in_progress),
            "lost": len(core.operation_log.lost),
            "held": core.inputs.votes_held_by,
            "commits": core.disk.commit_count,
            "mute": self._completeness.consensus_excluded,
            "few_copies": self._replication is not None and self._replication.is_degraded,
            "to_compare": self._replica_repair.scheduler.pending_count if self._replica_repair else 0,
            **self._consensus_fields(),
        }

    def _readiness_fields(self) -> StatusFields:
        unready = self._core.readiness.first_unready()
        return {
            "waits_for": unready.stage.value if unready else "",
            "because": unready.reason if unready else "",
            "gates": {
                stage.value: [condition.status.value, condition.reason, round(condition.since, 3)]
                for stage, condition in self._core.readiness.conditions.items()
            },
        }

    def _consensus_fields(self) -> StatusFields:
        if self._consensus is None or self._consensus.raft is None:
            return {}
        raft, register = self._consensus.raft, self._consensus.register
        return {
            "leader": raft.leader,
            "term": raft.hard_state.term,
            "register": {key: [cell.value, cell.version] for key, cell in register.items()},
        }


def _peer_fields(peer: Peer) -> list[object]:
    return [
        peer.state.value,
        peer.incarnation.number,
        peer.readiness_stage,
        peer.incomplete_reason,
        round(peer.clock_offset, 3),
    ]
