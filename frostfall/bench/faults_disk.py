"""Run an agent whose killed process loses unsynced data: `python -m frostfall.bench.faults_disk`.

Unsynced writes are buffered in memory and lost with the process, as in a power loss. The first part of some
writes reaches the file before the sync, as it may when a kernel writes back its cache. Disk faults are read
from the file that FROSTFALL_FAULTS names, at the start and after each SIGUSR1.
"""

from __future__ import annotations

import errno
import os
import random
import signal
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

from frostfall.net import clock, log_writer
from frostfall.recovery.operation_log import OperationLog
from frostfall.storage import segment_codec
from frostfall.storage.segment_codec import RecordState


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """The disk faults to inject; syncs are counted from the time at which the faults were loaded."""

    seed: int = 1
    tear: float = 0.3  # share of writes whose first part reaches the disk before the sync
    hold: str = ""  # block forever at "before sync" or "after sync" of the next intent, or at "compaction"
    lie: int = 0  # the n-th sync reports success without writing anything
    fail: int = 0  # the n-th sync fails, and later syncs succeed
    full: bool = False  # writes fail because the disk is full


class SimulatedDisk(log_writer.SegmentDirectory):
    """A segment directory that loses unsynced data with the process."""

    faults = Faults()
    _sync_count = 0

    def __init__(self, path: Path) -> None:
        """Open the directory."""
        super().__init__(path)
        self._random = random.Random(self.faults.seed)
        self._unsynced = b""
        self._early_size = 0  # bytes of `_unsynced` that are already in the file
        self._unnamed_data: bytes | None = None  # synced data of a file whose directory entry is unsynced
        self._segment_number = 0
        self._removed: list[int] = []

    def start_segment(self, number: int) -> None:
        """Start a segment; its directory entry becomes durable with the next `sync_directory`."""
        if self._output_fd >= 0:
            os.close(self._output_fd)
            self._output_fd = -1
        self._unnamed_data, self._segment_number, self._unsynced, self._early_size = b"", number, b"", 0

    def append(self, data: bytes) -> None:
        """Buffer data in memory, and write its first part to the file if it is chosen to be torn."""
        if self.faults.full:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        self._unsynced += data
        if self._unnamed_data is None and not self._early_size and self._random.random() < self.faults.tear:
            self._early_size = self._random.randrange(len(self._unsynced) + 1)
            super().append(self._unsynced[: self._early_size])

    def sync_data(self) -> None:
        """Write the buffered data to the file, or act on the configured faults."""
        SimulatedDisk._sync_count += 1
        intent = _contains_intent(self._unsynced)
        if intent and self.faults.hold == "before sync":
            _block_forever("before sync")
        if SimulatedDisk._sync_count == self.faults.fail:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        if SimulatedDisk._sync_count == self.faults.lie:
            return
        data, self._unsynced, early_size, self._early_size = self._unsynced, b"", self._early_size, 0
        if self._unnamed_data is not None:
            self._unnamed_data += data
        else:
            super().append(data[early_size:])
        if intent and self.faults.hold == "after sync":
            _block_forever("after sync")

    def sync_directory(self) -> None:
        """Make created and removed directory entries durable."""
        if self.faults.hold == "compaction" and self._segment_number > 1:
            _block_forever("compaction")
        if self._unnamed_data is not None:
            super().start_segment(self._segment_number)
            super().append(self._unnamed_data)
            self._unnamed_data = None
        for number in self._removed:
            super().remove_segment(number)
        self._removed.clear()

    def remove_segment(self, number: int) -> None:
        """Remove a segment with the next `sync_directory`."""
        self._removed.append(number)

    def truncate(self, number: int, size: int) -> None:
        """Truncate a segment; the change is durable immediately."""
        os.truncate(self._segment_path(number), size)


def _contains_intent(data: bytes) -> bool:
    states: list[int] = []
    start = data.find(segment_codec.FRAME_MARKER)
    if start < 0:
        return False
    offset = start
    while (frame := segment_codec.decode_frame(memoryview(data), offset)) is not None:
        if frame[0] is segment_codec.FrameKind.BATCH:
            states += [
                record[0]
                for record in segment_codec.iter_batch_records(frame[2], 0, segment_codec.FORMAT_VERSION)
            ]
        offset += segment_codec.FRAME_HEADER.size + len(frame[2])
    return RecordState.OPEN in states


def _block_forever(where: str) -> None:
    emit(event="held", where=where)
    while True:
        time.sleep(3600)


def emit(**fields: Any) -> None:
    """Write an event as a JSON line to standard error, among the agent's log lines."""
    os.write(2, msgspec.json.encode({"agent": os.environ.get("FROSTFALL_WHO", ""), **fields}) + b"\n")


def load_faults(*_: Any) -> None:
    """Load the faults from the file, and restart the count of syncs."""
    path = os.environ.get("FROSTFALL_FAULTS")
    if path and os.path.exists(path):
        SimulatedDisk.faults = msgspec.json.decode(Path(path).read_bytes(), type=Faults)
    SimulatedDisk._sync_count = 0
    emit(event="armed")


def main() -> int:
    """Run the program with the simulated disk and the variants that the environment selects."""
    load_faults()
    signal.signal(signal.SIGUSR1, load_faults)
    log_writer.segment_directory = SimulatedDisk
    if ahead := float(os.environ.get("FROSTFALL_AHEAD") or 0):
        _advance_wall_clock(ahead)
    if os.environ.get("FROSTFALL_FORMAT") == "1":
        segment_codec.FORMAT_VERSION, segment_codec.encode_batch = 1, _encode_batch_v1
    if os.environ.get("FROSTFALL_MUTANT") == "intent not synced":
        log_writer.LogWriter.wait_durable = _report_durable  # type: ignore[method-assign]
        OperationLog.may_dispatch = lambda self, operation: True  # type: ignore[method-assign]
    from frostfall.program import main as program

    return program()


def _advance_wall_clock(ahead: float) -> None:
    """Set the wall clock ahead by this number of seconds."""
    real_time, real_time_ns = time.time, time.time_ns
    time.time = lambda: real_time() + ahead
    time.time_ns = lambda: real_time_ns() + int(ahead * 1e9)
    clock.Clock.__init__.__defaults__ = (time.time_ns, time.monotonic_ns)


def _encode_batch_v1(number: int, records: list[segment_codec.Record]) -> segment_codec.EncodedBatch:
    """Encode a batch in the first format, whose records do not name the position that they replace."""
    parts, positions, offset = [], [], segment_codec.FRAME_HEADER.size
    for each in records:
        positions.append(offset)
        parts.append(
            segment_codec.RECORD_HEADER_V1.pack(len(each.payload), each.state, each.key) + each.payload
        )
        offset += len(parts[-1])
    frame = segment_codec.encode_frame(segment_codec.FrameKind.BATCH, number, b"".join(parts))
    return segment_codec.EncodedBatch(frame, positions)


async def _report_durable(self: log_writer.LogWriter, ticket: int) -> bool:
    """Report a record as durable without waiting for the disk, for the mutant `intent not synced`."""
    return True


if __name__ == "__main__":
    sys.exit(main())
