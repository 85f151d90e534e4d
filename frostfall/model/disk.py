"""A simulated disk on which a power loss may discard unsynced data, wholly or in part."""

from __future__ import annotations

import errno
import random
from pathlib import Path

from frostfall.net.log_writer import SegmentDirectory

FOLDER = Path("/nowhere")  # placeholder that is never opened


class PowerLoss(Exception):
    """Power was lost during a file operation."""


class SimulatedDisk:
    """A disk that survives power losses: durable segments by number, and the active faults."""

    def __init__(self, seed: str) -> None:
        """Create an empty disk; the seed determines which unsynced data survives a power loss."""
        self.segments: dict[int, bytes] = {}
        self.random = random.Random(seed)
        self.sync_fails = False
        self.is_full = False
        self.steps_to_power_loss = 0  # file operations until power is lost; 0: no loss is scheduled

    def clear_faults(self) -> None:
        """Remove all faults."""
        self.steps_to_power_loss = 0
        self.sync_fails = False
        self.is_full = False


class SimulatedSegmentDirectory(SegmentDirectory):
    """The segment directory of one incarnation on a simulated disk, with its unsynced data."""

    def __init__(self, disk: SimulatedDisk) -> None:
        """Open the directory on this disk."""
        self.path = FOLDER
        self._disk = disk
        self._number = 0  # of the open segment; 0: none
        self._synced = b""
        self._unsynced = b""
        self._name_unsynced = False
        self._removed: list[int] = []

    def lose_power(self) -> None:
        """Retain a random prefix of unsynced data or none; unsynced file names and removals may be lost."""
        rng = self._disk.random
        survives = rng.random
        written = self._unsynced[: rng.randrange(len(self._unsynced) + 1)] if survives() < 0.5 else b""
        if self._number and (not self._name_unsynced or survives() < 0.5):
            self._disk.segments[self._number] = self._synced + written
        if survives() < 0.5:
            self._delete_removed()

    def lock(self) -> None:
        """Do nothing, as there is no other process."""

    def segment_numbers(self) -> list[int]:
        """See SegmentDirectory."""
        return sorted(self._disk.segments)

    def read_segment(self, number: int) -> bytes:
        """See SegmentDirectory."""
        return self._disk.segments[number]

    def read_range(self, number: int, offset: int, size: int) -> bytes:
        """See SegmentDirectory."""
        if number == self._number:
            content = self._synced + self._unsynced
        elif number in self._disk.segments:
            content = self._disk.segments[number]
        else:
            raise FileNotFoundError(errno.ENOENT, "segment does not exist")
        return content[offset : offset + size]

    def truncate(self, number: int, size: int) -> None:
        """See SegmentDirectory."""
        self._count_step()
        self._disk.segments[number] = self._disk.segments[number][:size]

    def start_segment(self, number: int) -> None:
        """See SegmentDirectory."""
        self._count_step()
        self._number = number
        self._synced = b""
        self._unsynced = b""
        self._name_unsynced = True

    def append(self, data: bytes) -> None:
        """See SegmentDirectory."""
        if self._disk.is_full:
            raise OSError(errno.ENOSPC, "no space left on the simulated disk")
        self._unsynced += data
        self._count_step()

    def sync_data(self) -> None:
        """See SegmentDirectory."""
        self._count_step()
        if self._disk.sync_fails:
            raise OSError(errno.EIO, "simulated sync failure")
        self._synced += self._unsynced
        self._unsynced = b""
        if not self._name_unsynced:
            self._disk.segments[self._number] = self._synced

    def sync_directory(self) -> None:
        """See SegmentDirectory."""
        self._count_step()
        self._name_unsynced = False
        self._disk.segments[self._number] = self._synced
        self._delete_removed()
        self._removed.clear()

    def remove_segment(self, number: int) -> None:
        """See SegmentDirectory."""
        self._removed.append(number)

    def close(self) -> None:
        """See SegmentDirectory."""

    def _count_step(self) -> None:
        if not self._disk.steps_to_power_loss:
            return
        self._disk.steps_to_power_loss -= 1
        if not self._disk.steps_to_power_loss:
            self.lose_power()
            raise PowerLoss

    def _delete_removed(self) -> None:
        for number in self._removed:
            self._disk.segments.pop(number, None)
