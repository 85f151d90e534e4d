"""State that the components of a group member share: dependencies, state machines and a change signal."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
from anyio.to_thread import run_sync

from frostfall.group_options import GroupOptions
from frostfall.membership.member_list import MemberList
from frostfall.net import log_writer
from frostfall.net.log_writer import LogWriter
from frostfall.net.member_transport import MemberConnection, MemberListener
from frostfall.recovery import metadata
from frostfall.recovery.metadata import MetadataRecord
from frostfall.recovery.operation_log import OperationLog
from frostfall.recovery.readiness import Readiness, ReadinessInputs
from frostfall.replication.replica_store import ReplicaStore
from frostfall.storage.segment_codec import Record, RecordState
from frostfall.storage.write_ahead_log import WriteAheadLog


def _open_folder(path: Path) -> log_writer.SegmentDirectory:
    return log_writer.segment_directory(path)  # looked up at each call, because tests replace it


def _wall_clock() -> float:
    return time.time()  # looked up at each call, because tests replace it


@dataclass(frozen=True, slots=True)
class Dependencies:
    """Disk, network and clocks of a group member; the simulator replaces them by models."""

    open_folder: Callable[[Path], log_writer.SegmentDirectory] = _open_folder
    connect: Callable[..., MemberConnection] = MemberConnection
    listen: Callable[..., MemberListener] = MemberListener
    run_blocking: Callable[..., Awaitable[Any]] = run_sync
    wall_clock: Callable[[], float] = _wall_clock  # seconds
    monotonic_clock: Callable[[], float] = time.monotonic  # seconds


class ChangeSignal:
    """Wakes the tasks that wait for a change of the readiness inputs."""

    def __init__(self) -> None:
        """Create a signal without a pending change."""
        self._event = anyio.Event()

    def notify(self) -> None:
        """Signal a change to all waiting tasks."""
        self._event.set()

    def rearm(self) -> None:
        """Clear a signalled change, so that `wait` waits for the next change."""
        # If an event were replaced before it is set, the tasks that wait for it would never wake.
        if self._event.is_set():
            self._event = anyio.Event()

    async def wait(self) -> None:
        """Wait for a change since the last `rearm`."""
        await self._event.wait()


class MetadataWriter:
    """Appends metadata records to the log."""

    def __init__(self, wal: WriteAheadLog, disk: LogWriter) -> None:
        """Append records to `wal`, which `disk` writes to the disk."""
        self._wal = wal
        self._disk = disk

    def append(self, record: MetadataRecord) -> int:
        """Append a record; return the log ticket, by which its durability can be awaited."""
        ticket = self._wal.append(Record(RecordState.METADATA, 0, metadata.encode(record)))
        self._disk.wake()
        return ticket


@dataclass(frozen=True, slots=True)
class MemberCore:
    """The state machines and drivers that the components of one group member share."""

    name: str
    options: GroupOptions
    wal: WriteAheadLog
    disk: LogWriter
    metadata: MetadataWriter
    operation_log: OperationLog
    replica_store: ReplicaStore
    membership: MemberList
    readiness: Readiness
    inputs: ReadinessInputs
    connections: dict[str, MemberConnection]  # by member; empty until the log is open
    changed: ChangeSignal  # signals changes of `inputs` and `membership`
    wall_clock: Callable[[], float]  # seconds
    monotonic_clock: Callable[[], float]  # seconds

    def send_heartbeats_now(self) -> None:
        """Send a heartbeat to every connected member at once, ahead of the schedule."""
        for connection in self.connections.values():
            connection.send_heartbeat_now()
