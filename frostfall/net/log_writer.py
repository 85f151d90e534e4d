"""The store's folder on disk, and the task that carries out its writes one after another."""

from __future__ import annotations

import errno
import fcntl
import os
import re
from collections import deque
from collections.abc import Awaitable, Callable
from pathlib import Path
from time import monotonic
from typing import Any
from uuid import uuid4

import anyio
from anyio.to_thread import run_sync

from frostfall import log
from frostfall.storage import segment_codec
from frostfall.storage.record_index import pack_location
from frostfall.storage.segment_codec import RecordState
from frostfall.storage.write_ahead_log import SegmentWrite, WriteAheadLog

FIRST_READ_BYTES, MAX_RECORD_READ_BYTES = (
    512,
    1 << 17,
)  # bytes: most records; a longer one is read again in full
_NAME = re.compile(r"(\d{10})\.seg\Z")

_log = log.get_logger("disk")


class SegmentDirectory:
    """Segments as files of one folder; every method may raise OSError, and all of them block."""

    def __init__(self, path: Path) -> None:
        """Use this folder, which is made if need be."""
        self.path = path
        self._out = -1
        self._lock = -1

    def lock(self) -> None:
        """Take the folder for this process. Danger: two agents on one folder would undo each other's work."""
        self.path.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(self.path / "lock", os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise OSError(errno.EBUSY, f"{self.path} is in use by another process") from None

    def _file(self, number: int) -> Path:
        return self.path / f"{number:010d}.seg"

    def segment_numbers(self) -> list[int]:
        """The segments that there are, oldest first."""
        return sorted(int(match[1]) for name in os.listdir(self.path) if (match := _NAME.match(name)))

    def read_segment(self, number: int) -> bytes:
        """All bytes of a segment."""
        return self._file(number).read_bytes()

    def read_range(self, number: int, offset: int, size: int) -> bytes:
        """Up to so many bytes of a segment, from an offset on."""
        source = os.open(self._file(number), os.O_RDONLY | os.O_CLOEXEC)
        try:
            return os.pread(source, size, offset)
        finally:
            os.close(source)

    def truncate(self, number: int, size: int) -> None:
        """Shorten a segment, for good."""
        target = os.open(self._file(number), os.O_WRONLY | os.O_CLOEXEC)
        try:
            os.ftruncate(target, size)
            os.fsync(target)
        finally:
            os.close(target)

    def start_segment(self, number: int) -> None:
        """Write to this new segment from now on."""
        fresh = os.open(self._file(number), os.O_CREAT | os.O_TRUNC | os.O_WRONLY | os.O_CLOEXEC, 0o600)
        if self._out >= 0:
            os.close(self._out)
        self._out = fresh

    def append(self, data: bytes) -> None:
        """Write all of it behind what stands in the segment."""
        view = memoryview(data)
        while view:
            view = view[os.write(self._out, view) :]

    def sync_data(self) -> None:
        """Return once what was written is on disk."""
        os.fdatasync(self._out)

    def sync_directory(self) -> None:
        """Return once new files and removals are on disk."""
        handle = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def remove_segment(self, number: int) -> None:
        """Remove a segment; one that is gone already is none to remove."""
        self._file(number).unlink(missing_ok=True)

    def close(self) -> None:
        """Let the folder go."""
        for handle in (self._out, self._lock):
            if handle >= 0:
                os.close(handle)
        self._out = self._lock = -1


def segment_directory(path: Path) -> SegmentDirectory:
    """The folder that an agent keeps its record in; what stands in for a disk replaces this."""
    return SegmentDirectory(path)


def execute_write(directory: SegmentDirectory, write: SegmentWrite) -> None:
    """One write, step by step; OSError from whichever fails."""
    if write.truncate:
        directory.truncate(*write.truncate)
    if write.starts_segment:
        directory.start_segment(write.segment)
    directory.append(write.data)
    directory.sync_data()
    if write.starts_segment:
        directory.sync_directory()
    directory.append(write.unsynced_data)
    for number in write.obsolete_segments:
        directory.remove_segment(number)


class LogWriter:
    """A journal on a folder."""

    def __init__(
        self,
        directory: SegmentDirectory,
        wal: WriteAheadLog,
        steady_clock: Callable[[], float] = monotonic,
        run_blocking: Callable[..., Awaitable[Any]] = run_sync,
    ) -> None:
        """Nothing is read or written before `open`; `blocking` calls what blocks, in a thread."""
        self.directory, self.wal, self.run_blocking = directory, wal, run_blocking
        self._steady, self._started = steady_clock, steady_clock()
        self._waiters: deque[tuple[int, Callable[[bool], None]]] = deque()  # by ticket, which only grows
        self._wake = anyio.Event()
        self.commit_count = 0
        self.is_open = False

    @property
    def elapsed_seconds(self) -> float:
        """Seconds that the owner has run, over all its lives. A wall clock that jumps does not touch it."""
        return self.wal.previous_run_seconds + self._steady() - self._started

    async def open(self, on_metadata: Callable[[bytes], None]) -> None:
        """Take the folder and read all that is there; OSError where it cannot be used at all."""

        def read() -> None:
            self.directory.lock()
            self.wal.recover(self.directory.segment_numbers(), self.directory.read_segment, on_metadata)

        try:
            await self.run_blocking(read)
        except OSError as error:
            self.wal.failure_reason = str(error)
            raise
        if self.wal.condition.is_usable:
            self.wal.store_id = self.wal.store_id or uuid4().hex
            self.is_open = True

    async def read_range(self, number: int, offset: int, size: int) -> bytes:
        """Up to so many bytes of a segment; OSError where they cannot be read."""
        raw: bytes = await self.run_blocking(self.directory.read_range, number, offset, size)
        return raw

    def when_durable(self, ticket: int, callback: Callable[[bool], None]) -> None:
        """Call back once a ticket is on disk (True), or will never surely be (False); tickets in order."""
        if self.wal.failure_reason:
            callback(False)
        elif self.wal.durable_ticket >= ticket:
            callback(True)
        else:
            self._waiters.append((ticket, callback))
            self._wake.set()

    async def wait_durable(self, ticket: int) -> bool:
        """Wait until a ticket is on disk; False where it will never surely be."""
        told: list[bool] = []
        event = anyio.Event()

        def then(good: bool) -> None:
            told.append(good)
            event.set()

        self.when_durable(ticket, then)
        await event.wait()
        return told[0]

    def wake(self) -> None:
        """There is something to write, for which nobody waits."""
        self._wake.set()

    def find_record(
        self, key: int, matches: Callable[[bytes], bool]
    ) -> tuple[RecordState, bytes, int] | None:
        """What the log has of a key whose payload is the wanted one: state, payload, place. Blocks shortly.

        OSError or ValueError where the log cannot be read any more.
        """
        for segment, offset, state in self.wal.find_locations(key):
            record = self.read_record(segment, offset)
            if record is None or record[1] != key:
                raise ValueError(f"segment {segment}, byte {offset}: not what was written")
            if matches(record[2]):
                return state, record[2], pack_location(segment, offset, state)
        return None

    def read_record(self, segment: int, offset: int) -> tuple[RecordState, int, bytes] | None:
        """State, key and payload of the record that stands there, None where none does. Blocks shortly."""
        version = self.wal.format_version_of(segment)
        raw = self.directory.read_range(segment, offset, FIRST_READ_BYTES)
        record = segment_codec.decode_record(raw, version)
        if record is None and len(raw) == FIRST_READ_BYTES:
            record = segment_codec.decode_record(
                self.directory.read_range(segment, offset, MAX_RECORD_READ_BYTES), version
            )
        return record

    async def run(self) -> None:
        """Carry out what the journal has to write, for good."""
        while True:
            self._wake = anyio.Event()
            write = self.wal.next_write(self.elapsed_seconds)
            if write is None:
                await self._wake.wait()
                continue
            try:
                await self.run_blocking(execute_write, self.directory, write)
            except OSError as error:
                self.wal.write_failed(f"segment {write.segment}: {error.strerror or error}")
                _log.error(
                    "write failed: no unsafe work is taken until a restart", why=self.wal.failure_reason
                )
            else:
                self.wal.write_synced()
                self.commit_count += 1
            self._tell()

    def _tell(self) -> None:
        lost = bool(self.wal.failure_reason)
        while self._waiters and (lost or self._waiters[0][0] <= self.wal.durable_ticket):
            ticket, then = self._waiters.popleft()
            try:
                then(ticket <= self.wal.durable_ticket)
            except Exception:
                # Danger: a fault in what follows one commit must not end the commits of all others.
                _log.exception("call back failed")
