"""Log replay at startup, and settlement of the operations that the previous incarnation left open."""

from __future__ import annotations

from collections.abc import Iterable

from frostfall import log
from frostfall.net.consensus import ConsensusDriver
from frostfall.net.recovery.core import MemberCore
from frostfall.net.recovery.endpoint_cache import EndpointCache
from frostfall.net.recovery.incarnation import IncarnationDriver
from frostfall.net.recovery.peer_records import PeerRecorder
from frostfall.net.recovery.record_completeness import RecordCompleteness
from frostfall.net.recovery.rollout_relay import RolloutRelay
from frostfall.net.recovery.vote_holds import VoteHoldDriver
from frostfall.recovery import metadata
from frostfall.recovery.completeness import IncompleteReason
from frostfall.recovery.metadata import MetadataRecord, ReplicaAssignment
from frostfall.replication.replica_store import is_replica_name
from frostfall.storage import segment_codec
from frostfall.storage.log_recovery import LogCondition
from frostfall.storage.segment_codec import Record, RecordState

OPEN_RECORD_BYTES = 1024  # read per record; enough, as an open operation has a short name and no answer

_log = log.get_logger("recovery")


class LogReplay:
    """Passes the log's records to their owners at startup, and collects them again for a new segment."""

    def __init__(
        self,
        core: MemberCore,
        incarnation: IncarnationDriver,
        completeness: RecordCompleteness,
        peer_recorder: PeerRecorder,
        endpoints: EndpointCache,
        rollout: RolloutRelay,
        vote_holds: VoteHoldDriver,
        consensus: ConsensusDriver | None,
    ) -> None:
        """Each component owns some of the log's metadata records; `consensus` is None if it is disabled."""
        self._core = core
        self._incarnation = incarnation
        self._completeness = completeness
        self._peer_recorder = peer_recorder
        self._endpoints = endpoints
        self._rollout = rollout
        self._vote_holds = vote_holds
        self._consensus = consensus
        self._stored_assignment = ReplicaAssignment([], [])

    def checkpoint_records(self) -> Iterable[Record]:
        """Return all records that a new segment begins with."""
        encoded = [
            Record(RecordState.METADATA, 0, metadata.encode(record)) for record in self._metadata_records()
        ]
        return [
            *encoded,
            *self._core.operation_log.checkpoint_records(),
            *self._core.replica_store.open_records(),
        ]

    def _metadata_records(self) -> Iterable[MetadataRecord]:
        yield from self._incarnation.records()
        yield from self._peer_recorder.records()
        yield from self._completeness.records()
        yield from self._rollout.records()
        yield from self._vote_holds.records()
        yield from self._endpoints.records()
        yield from self._completeness.assignment_records()
        if self._consensus:
            yield from self._consensus.stored_state()

    async def run(self) -> None:
        """Open and replay the log; if the log is unusable, the member runs without one."""
        core, wal = self._core, self._core.wal
        await self._open()
        if core.inputs.unusable_reason:
            self._mark_unusable(core.inputs.unusable_reason)
        else:
            self._settle_open_operations()
        self._incarnation.previous.durable_batch = wal.last_durable_batch
        is_first_start = wal.condition is LogCondition.FRESH
        if is_first_start and not core.options.new and not core.inputs.unusable_reason:
            self._completeness.mark_missing()
        self._completeness.apply_assignment(self._stored_assignment, is_first_start=is_first_start)
        core.inputs.log_replayed = True
        self._endpoints.publish_stored()
        _log.info(
            "record read",
            condition=wal.condition.value,
            segments=wal.segment_count,
            torn_bytes=wal.torn_bytes,
            operations=len(wal.index),
            lost=len(core.operation_log.lost),
            last_life=self._incarnation.previous.number,
        )
        core.changed.notify()

    async def _open(self) -> None:
        core, wal = self._core, self._core.wal
        try:
            await core.disk.open(self._restore)
        except OSError as error:
            core.inputs.unusable_reason = str(error)
        if not wal.condition.is_usable:
            core.inputs.unusable_reason = f"{wal.condition.value}: {wal.condition_reason}"

    def _mark_unusable(self, reason: str) -> None:
        self._core.inputs.unusable_reason = reason
        self._core.operation_log.incomplete_reason = IncompleteReason(reason)
        _log.error("record unusable", reason=reason)

    def _settle_open_operations(self) -> None:
        core = self._core
        try:
            core.inputs.unsettled_operations = core.operation_log.recover_open_operations(
                self._read_open_payload, self._claim_replica
            )
        except (OSError, ValueError) as error:
            core.disk.is_open = False
            self._mark_unusable(f"an open operation cannot be read: {error}")

    def _claim_replica(self, name: str) -> bool:
        """Return whether an open record is a replica, which stays open until its owner ends the operation."""
        if not is_replica_name(name):
            return False
        self._core.replica_store.open_tickets[name] = 0
        return True

    def _read_open_payload(self, segment: int, offset: int) -> bytes:
        raw = self._core.disk.directory.read_range(segment, offset, OPEN_RECORD_BYTES)
        record = segment_codec.decode_record(raw, self._core.wal.format_version_of(segment))
        if record is None:
            raise ValueError(f"segment {segment}, byte {offset}")
        return record[2]

    def _restore(self, data: bytes) -> None:
        """Pass a metadata record to its owner; records of unknown kinds are skipped."""
        match metadata.decode(data):
            case metadata.IncarnationStarted() as record:
                self._incarnation.restore(record)
            case metadata.PeerIncarnation() as record:
                self._peer_recorder.restore(record)
            case metadata.RecordIncomplete() as record:
                self._completeness.restore(record)
            case metadata.BuildRolledBack() as record:
                self._rollout.restore(record)
            case metadata.VoteHold() as record:
                self._vote_holds.restore(record)
            case metadata.ReplicaAssignment() as record:
                self._stored_assignment = record
            case metadata.RaftVote() | metadata.RaftEntry() | metadata.RaftSnapshot() as record:
                if self._consensus:
                    self._consensus.restore(record)
            case metadata.CachedEndpointList() as record:
                self._endpoints.restore(record)
