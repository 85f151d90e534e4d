"""Reads this member's own log for anti-entropy, and moves records out of corrupted segments."""

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

RECORDS_PER_SLICE = 64  # records that are read or written before other tasks run
SLICE_PAUSE = 0.002  # seconds between two slices
RETIRE_POLL_INTERVAL = 0.25  # seconds between two looks whether retired segments are gone
STATES_WITHOUT_END = (RecordState.OPEN, RecordState.OUTCOME_UNKNOWN)  # copied into every new segment

_log = log.get_logger("repair")


class TreeKey(NamedTuple):
    """What a digest tree is of: an owner's operations, or the fences against them."""

    owner: str
    fences: bool


class ReplicaItem(NamedTuple):
    """An operation's record as it is sent to another member."""

    state: int
    operation: str
    answer: bytes | None
    age: int  # seconds of running time; 0 where it has no end


DigestTrees = dict[TreeKey, DigestTree]
_Locations = defaultdict[TreeKey, dict[int, int]]


class LogSurvey:
    """Digest trees and items out of the log, whose checksums are verified on the way."""

    def __init__(self, disk: LogWriter, on_corruption: Callable[[str], None]) -> None:
        """`on_corruption` is called with a reason for each segment that cannot be read any more."""
        self._disk = disk
        self._on_corruption = on_corruption
        self._reading = anyio.Lock()
        self._corrupted_segments: set[int] = set()

    @property
    def found_corruption(self) -> bool:
        """Whether there are corrupted segments that `rewrite_corrupted` has still to remove."""
        return bool(self._corrupted_segments)

    async def digest_trees(self) -> DigestTrees:
        """Read the whole log.

        All that was on disk at the call is in the trees, also where it was rewritten meanwhile.
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
            if wal.segment_size(number):  # else it was removed meanwhile
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
        # An end that looks torn was complete once where batches that were durable are missing.
        is_truncated = is_last and scan.last_batch < last_durable_batch
        if (scan.end is SegmentEnd.CORRUPTED or is_truncated) and wal.segment_size(number):
            self._note_corruption(number, scan.valid_bytes, scan.reason)

    def _add_location(
        self, segment: int, state: RecordState, payload: bytes, location: int, locations: _Locations
    ) -> None:
        wal = self._disk.wal
        has_ended = state not in STATES_WITHOUT_END
        if has_ended and self._max_age(segment, payload) >= wal.options.keep:
            return  # it is about to expire here, and must not live for ever by being passed around
        owner, operation = split_replica_name(decode_name(payload))
        key = TreeKey(owner or wal.owner, state == RecordState.FENCED)
        locations[key][operation_key(operation)] = location

    def item_at(self, location: int) -> ReplicaItem | None:
        """Return the record at a packed location; None for 0, or where it has moved since it was read."""
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
        """Seconds of running time that a record can be old, what it was when it was restored included."""
        return self._disk.wal.max_record_age(segment, self._disk.elapsed_seconds) + decode_age(payload)

    def _note_corruption(self, segment: int, valid_bytes: int, reason: str) -> None:
        lost = self._disk.wal.discard_unreadable(segment, valid_bytes)
        if segment not in self._corrupted_segments:
            self._corrupted_segments.add(segment)
            _log.error("segment corrupted", segment=segment, reason=reason, operations=lost)
            self._on_corruption(f"segment {segment}: {reason}")

    async def rewrite_corrupted(self) -> None:
        """Write what is current in segments up to the last corrupted one anew, and remove these segments."""
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
        """Rewrite the current records of segments up to `last`: the last ticket, None for a failed disk."""
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
