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
from frostfall.storage import frames
from frostfall.storage.frames import State
from frostfall.storage.index import place_of
from frostfall.storage.journal import Journal, Write

READ_FIRST, READ_MOST = 512, 1 << 17  # bytes: most records; a longer one is read again in full
_NAME = re.compile(r"(\d{10})\.seg\Z")

_log = log.get("disk")


class Folder:
    """Segments as files of one folder; every method may raise OSError, and all of them block."""

    def __init__(self, path: Path) -> None:
        """Use this folder, which is made if need be."""
        self.path = path
        self._out = -1
        self._lock = -1

    def take(self) -> None:
        """Take the folder for this process. Danger: two agents on one folder would undo each other's work."""
        self.path.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(self.path / "lock", os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise OSError(errno.EBUSY, f"{self.path} is in use by another process") from None

    def _file(self, number: int) -> Path:
        return self.path / f"{number:010d}.seg"

    def numbers(self) -> list[int]:
        """The segments that there are, oldest first."""
        return sorted(int(match[1]) for name in os.listdir(self.path) if (match := _NAME.match(name)))

    def load(self, number: int) -> bytes:
        """All bytes of a segment."""
        return self._file(number).read_bytes()

    def part(self, number: int, offset: int, size: int) -> bytes:
        """Up to so many bytes of a segment, from an offset on."""
        source = os.open(self._file(number), os.O_RDONLY | os.O_CLOEXEC)
        try:
            return os.pread(source, size, offset)
        finally:
            os.close(source)

    def cut(self, number: int, size: int) -> None:
        """Shorten a segment, for good."""
        target = os.open(self._file(number), os.O_WRONLY | os.O_CLOEXEC)
        try:
            os.ftruncate(target, size)
            os.fsync(target)
        finally:
            os.close(target)

    def begin(self, number: int) -> None:
        """Write to this new segment from now on."""
        fresh = os.open(self._file(number), os.O_CREAT | os.O_TRUNC | os.O_WRONLY | os.O_CLOEXEC, 0o600)
        if self._out >= 0:
            os.close(self._out)
        self._out = fresh

    def write(self, data: bytes) -> None:
        """Write all of it behind what stands in the segment."""
        view = memoryview(data)
        while view:
            view = view[os.write(self._out, view) :]

    def sync(self) -> None:
        """Return once what was written is on disk."""
        os.fdatasync(self._out)

    def sync_names(self) -> None:
        """Return once new files and removals are on disk."""
        handle = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def remove(self, number: int) -> None:
        """Remove a segment; one that is gone already is none to remove."""
        self._file(number).unlink(missing_ok=True)

    def close(self) -> None:
        """Let the folder go."""
        for handle in (self._out, self._lock):
            if handle >= 0:
                os.close(handle)
        self._out = self._lock = -1


def folder(path: Path) -> Folder:
    """The folder that an agent keeps its record in; what stands in for a disk replaces this."""
    return Folder(path)


def carry_out(target: Folder, write: Write) -> None:
    """One write, step by step; OSError from whichever fails."""
    if write.cut:
        target.cut(*write.cut)
    if write.begins:
        target.begin(write.segment)
    target.write(write.data)
    target.sync()
    if write.begins:
        target.sync_names()
    target.write(write.lax)
    for number in write.remove:
        target.remove(number)


class Disk:
    """A journal on a folder."""

    def __init__(
        self,
        where: Folder,
        journal: Journal,
        steady: Callable[[], float] = monotonic,
        blocking: Callable[..., Awaitable[Any]] = run_sync,
    ) -> None:
        """Nothing is read or written before `open`; `blocking` calls what blocks, in a thread."""
        self.folder, self.journal, self.blocking = where, journal, blocking
        self._steady, self._started = steady, steady()
        self._waiters: deque[tuple[int, Callable[[bool], None]]] = deque()  # by ticket, which only grows
        self._wake = anyio.Event()
        self.commits = 0
        self.opened = False

    @property
    def elapsed(self) -> float:
        """Seconds that the owner has run, over all its lives. A wall clock that jumps does not touch it."""
        return self.journal.lives + self._steady() - self._started

    async def open(self, recall: Callable[[bytes], None]) -> None:
        """Take the folder and read all that is there; OSError where it cannot be used at all."""

        def read() -> None:
            self.folder.take()
            self.journal.recover(self.folder.numbers(), self.folder.load, recall)

        try:
            await self.blocking(read)
        except OSError as error:
            self.journal.fault = str(error)
            raise
        if self.journal.condition.usable:
            self.journal.store = self.journal.store or uuid4().hex
            self.opened = True

    async def part(self, number: int, offset: int, size: int) -> bytes:
        """Up to so many bytes of a segment; OSError where they cannot be read."""
        raw: bytes = await self.blocking(self.folder.part, number, offset, size)
        return raw

    def when(self, ticket: int, then: Callable[[bool], None]) -> None:
        """Call back once a ticket is on disk (True), or will never surely be (False); tickets in order."""
        if self.journal.fault:
            then(False)
        elif self.journal.durable >= ticket:
            then(True)
        else:
            self._waiters.append((ticket, then))
            self._wake.set()

    async def durable(self, ticket: int) -> bool:
        """Wait until a ticket is on disk; False where it will never surely be."""
        told: list[bool] = []
        event = anyio.Event()

        def then(good: bool) -> None:
            told.append(good)
            event.set()

        self.when(ticket, then)
        await event.wait()
        return told[0]

    def poke(self) -> None:
        """There is something to write, for which nobody waits."""
        self._wake.set()

    def find(self, key: int, wanted: Callable[[bytes], bool]) -> tuple[State, bytes, int] | None:
        """What the log has of a key whose payload is the wanted one: state, payload, place. Blocks shortly.

        OSError or ValueError where the log cannot be read any more.
        """
        for segment, offset, state in self.journal.find(key):
            record = self.record(segment, offset)
            if record is None or record[1] != key:
                raise ValueError(f"segment {segment}, byte {offset}: not what was written")
            if wanted(record[2]):
                return state, record[2], place_of(segment, offset, state)
        return None

    def record(self, segment: int, offset: int) -> tuple[State, int, bytes] | None:
        """State, key and payload of the record that stands there, None where none does. Blocks shortly."""
        version = self.journal.version_of(segment)
        raw = self.folder.part(segment, offset, READ_FIRST)
        record = frames.record_at(raw, version)
        if record is None and len(raw) == READ_FIRST:
            record = frames.record_at(self.folder.part(segment, offset, READ_MOST), version)
        return record

    async def run(self) -> None:
        """Carry out what the journal has to write, for good."""
        while True:
            self._wake = anyio.Event()
            write = self.journal.take(self.elapsed)
            if write is None:
                await self._wake.wait()
                continue
            try:
                await self.blocking(carry_out, self.folder, write)
            except OSError as error:
                self.journal.failed(f"segment {write.segment}: {error.strerror or error}")
                _log.error("write failed: no unsafe work is taken until a restart", why=self.journal.fault)
            else:
                self.journal.synced()
                self.commits += 1
            self._tell()

    def _tell(self) -> None:
        lost = bool(self.journal.fault)
        while self._waiters and (lost or self._waiters[0][0] <= self.journal.durable):
            ticket, then = self._waiters.popleft()
            try:
                then(ticket <= self.journal.durable)
            except Exception:
                # Danger: a fault in what follows one commit must not end the commits of all others.
                _log.exception("call back failed")
