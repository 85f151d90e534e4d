"""Reads this member's log for anti-entropy and rewrites the records of corrupted segments."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

import anyio

from frostfall import log
from frostfall.net.log_writer import LogWriter
from frostfall.recovery.operation_log import decode_age, decode_answer, decode_name, encode_payload
from frostfall.replication.digest_tree import DigestTree
from frostfall.replication.replica_store import split_replica_name
from frostfall.storage.record_index import pack_location, unpack_location
from frostfall.storage.segment_codec import Record, RecordState, SegmentEnd, SegmentScan, iter_records
from frostfall.storage.write_ahead_log import operation_key

RECORDS_PER_SLICE = 64  # records to read or write before other tasks run
SLICE_PAUSE = 0.002  # seconds between slices
RETIRE_POLL_INTERVAL = 0.25  # seconds between checks for the removal of retired segments
# Records of these states are copied by the log into every new segment.
STATES_WITHOUT_END = (RecordState.OPEN, RecordState.OUTCOME_UNKNOWN)

_log = log.get_logger("repair")


class TreeKey(NamedTuple):
    """Identifies a digest tree: the operations of an owner, or the fences against its operations."""

    owner: str
    fences: bool


class ReplicaItem(NamedTuple):
    """The record of an operation as sent to another member."""

    state: int
    operation: str
    answer: bytes | None
    age: int  # seconds of running time; 0 for an operation that has not ended


DigestTrees = dict[TreeKey, DigestTree]
_Locations = defaultdict[TreeKey, dict[int, int]]


class LogSurvey:
    """Builds digest trees and items from the log, verifying the checksums of the records."""

    def __init__(self, disk: LogWriter, on_corruption: Callable[[str], None]) -> None:
        """Create a survey; `on_corruption` is called with a reason for each segment found unreadable."""
        self._disk = disk
        self._on_corruption = on_corruption
        self._reading = anyio.Lock()
        self._corrupted_segments: set[int] = set()

    @property
    def found_corruption(self) -> bool:
        """Return whether there are corrupted segments for `rewrite_corrupted` to remove."""
        return bool(self._corrupted_segments)

    async def digest_trees(self) -> DigestTrees:
        """Read the whole log and return its digest trees.

        The trees contain every record that was on disk at the call, including records that are rewritten
        during the read.
        """
        locations: _Locations = defaultdict(dict)
        number = 0
        async with self._reading:
            while later := [each for each in self._disk.wal.segment_numbers if each > number]:
                number = later[0]
                await self._read_segment(number, locations)
        return {
            key: await self._disk.run_blocking(DigestTree, locations_of_key)
            for key, locations_of_key in locations.items()
        }

    async def _read_segment(self, number: int, locations: _Locations) -> None:
        wal = self._disk.wal
        size = wal.segment_size(number)
        is_last = number == wal.segment_numbers[-1]
        last_durable_batch = wal.last_durable_batch
        try:
            raw = await self._disk.read_range(number, 0, size)
        except OSError as error:
            if wal.segment_size(number):  # 0 if the segment was removed during the read
                self._note_corruption(number, 0, str(error))
            return
        scan = SegmentScan()
        records = iter_records(raw, is_last, scan)
        for position, (state, key, _, offset, payload) in enumerate(records, 1):
            if position % RECORDS_PER_SLICE == 0:
                await anyio.sleep(SLICE_PAUSE)
            if state != RecordState.METADATA:
                location = pack_location(number, offset, RecordState(state))
                if wal.is_current(key, location):
                    self._add_location(number, RecordState(state), bytes(payload), location, locations)
        # The end of the last segment is corrupted, not torn by a crash, if durable batches are missing.
        is_truncated = is_last and scan.last_batch < last_durable_batch
        if (scan.end is SegmentEnd.CORRUPTED or is_truncated) and wal.segment_size(number):
            self._note_corruption(number, scan.valid_bytes, scan.reason)

    def _add_location(
        self, segment: int, state: RecordState, payload: bytes, location: int, locations: _Locations
    ) -> None:
        wal = self._disk.wal
        has_ended = state not in STATES_WITHOUT_END
        if has_ended and self._max_age(segment, payload) >= wal.options.keep:
            # The record is about to expire, and peers could otherwise restore it from each other forever.
            return
        owner, operation = split_replica_name(decode_name(payload))
        key = TreeKey(owner or wal.owner, state == RecordState.FENCED)
        locations[key][operation_key(operation)] = location

    def item_at(self, location: int) -> ReplicaItem | None:
        """Return the record at a packed location, or None for 0 or if the record has been moved."""
        if not location:
            return None
        segment, offset, state = unpack_location(location)
        record = self._disk.read_record(segment, offset)
        if record is None or not self._disk.wal.is_current(record.key, location):
            return None
        payload = record.payload
        age = 0 if state in STATES_WITHOUT_END else int(self._max_age(segment, payload))
        return ReplicaItem(
            state, split_replica_name(decode_name(payload)).operation, decode_answer(payload), age
        )

    def _max_age(self, segment: int, payload: bytes) -> float:
        """Return the maximum age of a record in seconds of running time.

        The age includes the age that the record had when it was restored from a replica.
        """
        return self._disk.wal.max_record_age(segment, self._disk.elapsed_seconds) + decode_age(payload)

    def _note_corruption(self, segment: int, valid_bytes: int, reason: str) -> None:
        lost = self._disk.wal.discard_unreadable(segment, valid_bytes)
        if segment not in self._corrupted_segments:
            self._corrupted_segments.add(segment)
            _log.error("segment corrupted", segment=segment, reason=reason, operations=lost)
            self._on_corruption(f"segment {segment}: {reason}")

    async def rewrite_corrupted(self) -> None:
        """Rewrite the current records of segments up to the last corrupted one, then remove the segments."""
        wal = self._disk.wal
        last = max(self._corrupted_segments)
        _log.info("corrupted segments rewriting", up_to=last)
        ticket = await self._rewrite_through(last)
        if ticket is None or not await self._disk.wait_durable(ticket):
            return
        wal.retire_through(last)
        while min(wal.segment_numbers) <= last and not wal.failure_reason:
            self._disk.wake()
            await anyio.sleep(RETIRE_POLL_INTERVAL)
        self._corrupted_segments.clear()
        _log.info("corrupted segments removed", up_to=last)

    async def _rewrite_through(self, last: int) -> int | None:
        """Rewrite the current records of segments up to `last`.

        Returns the last ticket, or None if writes fail.
        """
        wal = self._disk.wal
        ticket = 0
        for _, location in list(wal.index.items()):
            segment, offset, state = unpack_location(location)
            if segment > last or state in STATES_WITHOUT_END:
                continue
            record = self._disk.read_record(segment, offset)
            if record is None or not wal.is_current(record.key, location):
                continue
            age = max(int(self._max_age(segment, record.payload)), 1)
            payload = encode_payload(decode_name(record.payload), decode_answer(record.payload), age)
            ticket = wal.append(Record(state, record.key, payload, location))
            self._disk.wake()
            if ticket % RECORDS_PER_SLICE == 0 and not await self._disk.wait_durable(ticket):
                return None
        return ticket
