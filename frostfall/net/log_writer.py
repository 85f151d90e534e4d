"""Driver of the write-ahead log: segment files in a directory, and the task that writes them."""

from __future__ import annotations

import errno
import fcntl
import os
import re
from collections import deque
from collections.abc import Awaitable, Callable
from pathlib import Path
from time import monotonic
from typing import Any, NamedTuple
from uuid import uuid4

import anyio
from anyio.to_thread import run_sync

from frostfall import log
from frostfall.storage import segment_codec
from frostfall.storage.errors import DirectoryInUseError, RecordMismatchError
from frostfall.storage.record_index import pack_location
from frostfall.storage.segment_codec import DecodedRecord, RecordState
from frostfall.storage.write_ahead_log import SegmentWrite, WriteAheadLog

# Sufficient for most records; longer records are read again with MAX_RECORD_READ_BYTES.
FIRST_READ_BYTES = 512
MAX_RECORD_READ_BYTES = 1 << 17
MIN_RETRY_SECONDS = 0.1  # delay after the first failed write, doubled up to MAX_RETRY_SECONDS
MAX_RETRY_SECONDS = 0.2  # short, so that tasks waiting for the disk resume within a second of its recovery

_SEGMENT_FILE_NAME = re.compile(r"(\d{10})\.seg\Z")
_NO_FD = -1

_log = log.get_logger("disk")


class FoundRecord(NamedTuple):
    """A record found by key and name."""

    state: RecordState
    payload: bytes
    location: int  # packed, see `pack_location`


class SegmentDirectory:
    """Segment files in one directory. Every method blocks and may raise OSError."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._output_fd = _NO_FD
        self._lock_fd = _NO_FD

    def lock(self) -> None:
        """Create the directory if it does not exist, and lock it for this process.

        Two processes that write to the same directory would corrupt its log. Raises DirectoryInUseError if
        another process holds the lock.
        """
        self.path.mkdir(parents=True, exist_ok=True)
        self._lock_fd = os.open(self.path / "lock", os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            message = f"{self.path} is in use by another process"
            raise DirectoryInUseError(errno.EBUSY, message) from None

    def segment_numbers(self) -> list[int]:
        """Return the numbers of the existing segments, oldest first."""
        matches = map(_SEGMENT_FILE_NAME.match, os.listdir(self.path))
        return sorted(int(match[1]) for match in matches if match)

    def read_segment(self, number: int) -> bytes:
        """Read a whole segment."""
        return self._segment_path(number).read_bytes()

    def read_range(self, number: int, offset: int, size: int) -> bytes:
        """Read up to `size` bytes of a segment, starting at an offset."""
        fd = os.open(self._segment_path(number), os.O_RDONLY | os.O_CLOEXEC)
        try:
            return os.pread(fd, size, offset)
        finally:
            os.close(fd)

    def truncate(self, number: int, size: int) -> None:
        """Truncate a segment to `size` bytes and sync the file."""
        fd = os.open(self._segment_path(number), os.O_WRONLY | os.O_CLOEXEC)
        try:
            os.ftruncate(fd, size)
            os.fsync(fd)
        finally:
            os.close(fd)

    def start_segment(self, number: int) -> None:
        """Create a segment, or truncate an existing file of the same name, and direct appends to it."""
        flags = os.O_CREAT | os.O_TRUNC | os.O_WRONLY | os.O_CLOEXEC
        fd = os.open(self._segment_path(number), flags, 0o600)
        if self._output_fd != _NO_FD:
            os.close(self._output_fd)
        self._output_fd = fd

    def append(self, data: bytes) -> None:
        """Append all of the data to the current segment."""
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(self._output_fd, remaining) :]

    def sync_data(self) -> None:
        """Sync appended data to disk."""
        os.fdatasync(self._output_fd)

    def sync_directory(self) -> None:
        """Sync created and removed directory entries to disk."""
        fd = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def remove_segment(self, number: int) -> None:
        """Remove a segment if it exists."""
        self._segment_path(number).unlink(missing_ok=True)

    def close(self) -> None:
        """Close the current segment and release the lock."""
        for fd in (self._output_fd, self._lock_fd):
            if fd != _NO_FD:
                os.close(fd)
        self._output_fd = _NO_FD
        self._lock_fd = _NO_FD

    def _segment_path(self, number: int) -> Path:
        return self.path / f"{number:010d}.seg"


def segment_directory(path: Path) -> SegmentDirectory:
    """Open the directory of an agent's log; the bench replaces this function to simulate disk faults."""
    return SegmentDirectory(path)


def execute_write(directory: SegmentDirectory, write: SegmentWrite) -> None:
    """Execute the steps of a write in order. Raises the OSError of a failed step."""
    if write.truncate:
        directory.truncate(write.truncate.segment, write.truncate.size)
    if write.starts_segment:
        directory.start_segment(write.segment)
    directory.append(write.data)
    directory.sync_data()
    if write.starts_segment:
        directory.sync_directory()
    directory.append(write.unsynced_data)
    for number in write.obsolete_segments:
        try:
            directory.remove_segment(number)
        except OSError as error:  # the write is durable, and the segment is removed at the next start
            _log.warning("obsolete segment not removed", segment=number, reason=str(error))


class LogWriter:
    """Runs a write-ahead log on a directory; writes are executed one at a time, each in a thread."""

    def __init__(
        self,
        directory: SegmentDirectory,
        wal: WriteAheadLog,
        steady_clock: Callable[[], float] = monotonic,
        run_blocking: Callable[..., Awaitable[Any]] = run_sync,
    ) -> None:
        """Create a writer, which performs no I/O before `open`.

        `run_blocking` runs a blocking call in a thread.
        """
        self.directory = directory
        self.wal = wal
        self.run_blocking = run_blocking
        self.commit_count = 0  # number of durable writes
        self.is_open = False
        self._steady_clock = steady_clock
        self._started_at = steady_clock()
        self._waiters: deque[tuple[int, Callable[[bool], None]]] = deque()  # ordered by ticket
        self._wake = anyio.Event()
        self._on_recovery: list[Callable[[], None]] = []

    @property
    def elapsed_seconds(self) -> float:
        """Total running time of the owner over all its incarnations, by a monotonic clock."""
        return self.wal.previous_run_seconds + self._steady_clock() - self._started_at

    async def open(self, on_metadata: Callable[[bytes], None]) -> None:
        """Lock the directory and recover the log. Raises OSError if the directory cannot be used at all.

        `on_metadata` is called in a thread with each metadata record. An unusable log raises no error, but
        `is_open` stays False.
        """

        def recover() -> None:
            self.directory.lock()
            self.wal.recover(self.directory.segment_numbers(), self.directory.read_segment, on_metadata)

        try:
            await self.run_blocking(recover)
        except OSError as error:
            self.wal.failure_reason = str(error)
            raise
        if self.wal.condition.is_usable:
            self.wal.store_id = self.wal.store_id or uuid4().hex
            self.is_open = True

    async def run(self) -> None:
        """Execute the writes of the log until cancelled, retrying failed writes with backoff."""
        pause = MIN_RETRY_SECONDS
        while True:
            self._wake = anyio.Event()
            write = self.wal.next_write(self.elapsed_seconds)
            if write is None:
                await self._wake.wait()
                continue
            try:
                await self.run_blocking(execute_write, self.directory, write)
            except OSError as error:
                reason_before = self.wal.failure_reason
                self.wal.write_failed(f"segment {write.segment}: {error.strerror or error}")
                if self.wal.failure_reason != reason_before:
                    _log.error(
                        "write failed: no unsafe work is taken until one succeeds",
                        why=self.wal.failure_reason,
                    )
                self._notify_waiters()
                await anyio.sleep(pause)
                pause = min(pause * 2, MAX_RETRY_SECONDS)
                self.wal.retry_failed()
                continue
            had_failed = bool(self.wal.failure_reason)
            self.wal.write_synced()
            self.commit_count += 1
            pause = MIN_RETRY_SECONDS
            self._notify_waiters()
            if had_failed:
                _log.info("writes succeed again", segment=write.segment)
                self._notify_recovered()

    def wake(self) -> None:
        """Start writing queued records that no caller waits for."""
        self._wake.set()

    def when_durable(self, ticket: int, callback: Callable[[bool], None]) -> None:
        """Call back with True once a ticket is durable, or with False if a write fails before that.

        Records of a failed write may become durable later, see `when_recovered`. Tickets must not decrease
        between calls.
        """
        if self.wal.failure_reason:
            callback(False)
        elif self.wal.durable_ticket >= ticket:
            callback(True)
        else:
            self._waiters.append((ticket, callback))
            self._wake.set()

    async def wait_durable(self, ticket: int) -> bool:
        """Wait until a ticket is durable; return False if a write fails before that."""
        outcome: list[bool] = []
        decided = anyio.Event()

        def callback(is_durable: bool) -> None:
            outcome.append(is_durable)
            decided.set()

        self.when_durable(ticket, callback)
        await decided.wait()
        return outcome[0]

    def when_written(self, ticket: int, callback: Callable[[], None]) -> None:
        """Call back once a ticket is durable, regardless of failed writes before that."""

        def on_durable(is_durable: bool) -> None:
            if is_durable:
                callback()
            else:
                self.when_recovered(lambda: self.when_written(ticket, callback))

        self.when_durable(ticket, on_durable)

    async def wait_written(self, ticket: int) -> None:
        """Wait until a ticket is durable, regardless of failed writes before that."""
        written = anyio.Event()
        self.when_written(ticket, written.set)
        await written.wait()

    def when_recovered(self, callback: Callable[[], None]) -> None:
        """Call back once writes succeed; all records appended before are then durable or queued."""
        if self.wal.failure_reason:
            self._on_recovery.append(callback)
        else:
            callback()

    def _notify_recovered(self) -> None:
        callbacks, self._on_recovery = self._on_recovery, []
        for callback in callbacks:
            try:
                callback()
            except Exception:  # an error in one callback must not prevent the others from being called
                _log.exception("recovery callback failed")

    async def read_range(self, number: int, offset: int, size: int) -> bytes:
        """Read up to `size` bytes of a segment in a thread; raises OSError."""
        data: bytes = await self.run_blocking(self.directory.read_range, number, offset, size)
        return data

    def find_record(self, key: int, matches: Callable[[bytes], bool]) -> FoundRecord | None:
        """Find the record with a key and a matching payload. Blocks for a short read.

        Raises OSError, or RecordMismatchError (a ValueError) if a record differs from its index entry.
        """
        for segment, offset, state in self.wal.find_locations(key):
            record = self.read_record(segment, offset)
            if record is None or record.key != key:
                raise RecordMismatchError(
                    f"segment {segment}, byte {offset}: record differs from its index entry"
                )
            if matches(record.payload):
                return FoundRecord(state, record.payload, pack_location(segment, offset, state))
        return None

    def read_record(self, segment: int, offset: int) -> DecodedRecord | None:
        """Return the record at a location, or None if no valid record is there.

        Blocks for a short read. Raises OSError.
        """
        version = self.wal.format_version_of(segment)
        raw = self.directory.read_range(segment, offset, FIRST_READ_BYTES)
        record = segment_codec.decode_record(raw, version)
        if record is None and len(raw) == FIRST_READ_BYTES:
            raw = self.directory.read_range(segment, offset, MAX_RECORD_READ_BYTES)
            record = segment_codec.decode_record(raw, version)
        return record

    def _notify_waiters(self) -> None:
        has_failed = bool(self.wal.failure_reason)
        while self._waiters and (has_failed or self._waiters[0][0] <= self.wal.durable_ticket):
            ticket, callback = self._waiters.popleft()
            try:
                callback(ticket <= self.wal.durable_ticket)
            except Exception:
                # An error in one callback must not prevent the other waiters from being notified.
                _log.exception("durability callback failed")
