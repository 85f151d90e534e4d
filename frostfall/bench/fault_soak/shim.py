"""Builds and controls the preloaded fault-injection library, and parses its record of socket reads."""

from __future__ import annotations

import hashlib
import os
import struct
import subprocess
import tempfile
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
COMPILER = "cc"
PER_MILLION = 1_000_000
_CONTROL = struct.Struct("=q9I")
_READ_HEADER = struct.Struct("=qIHH")
_LENGTH = struct.Struct("!I")


class SystemCallFault(IntEnum):
    """The failures that the library injects, in the order of its `enum rate`."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    SHORT_READ = 3
    SHORT_WRITE = 4
    INTERRUPTED_WAIT = 5
    BROKEN_CONNECTION = 6
    FILE_WRITE = 7
    FILE_SYNC = 8


def build() -> Path:
    """Return the library, compiled once per version of its source; raise CalledProcessError if that fails."""
    digest = hashlib.sha256(SOURCE.read_bytes()).hexdigest()[:16]
    library = Path(tempfile.gettempdir()) / f"frostfall-fault-shim-{os.getuid()}-{digest}.so"
    if not library.exists():
        partial = library.with_suffix(f".{os.getpid()}")
        command = [COMPILER, "-O1", "-shared", "-fPIC", "-o", str(partial), str(SOURCE), "-ldl"]
        subprocess.run(command, check=True)
        partial.replace(library)
    return library


@dataclass(frozen=True, slots=True)
class SocketRead:
    """One read from a TCP socket."""

    time: float  # seconds of the monotonic clock
    local_port: int
    peer_port: int
    data: bytes


class FaultShim:
    """The library's files for one process, which may be started several times."""

    def __init__(self, folder: Path, seed: int = 0) -> None:
        """Keep the control file and the records of reads in `folder`."""
        self.reads_path = folder / "reads"
        self._control_path = folder / "control"
        self._seed = seed
        self._wall_offset_ns = 0
        self._rates = [0] * len(SystemCallFault)
        self._write_control()

    def environment(self, durable_folder: Path | None = None) -> dict[str, str]:
        """Return the variables that load the library; faults of files apply below `durable_folder`."""
        variables = {
            "LD_PRELOAD": str(build()),
            "FAULT_SHIM_CONTROL": str(self._control_path),
            "FAULT_SHIM_READS": str(self.reads_path),
            "FAULT_SHIM_SEED": str(self._seed),
        }
        if durable_folder:
            variables["FAULT_SHIM_FOLDER"] = str(durable_folder)
        return variables

    def step_wall_clock(self, offset_seconds: float) -> None:
        """Shift the wall clock of the process by `offset_seconds` from now on."""
        self._wall_offset_ns = int(offset_seconds * 1e9)
        self._write_control()

    def set_rate(self, fault: SystemCallFault, share: float) -> None:
        """Make this share of the calls fail from now on."""
        self._rates[fault] = int(share * PER_MILLION)
        self._write_control()

    def clear(self) -> None:
        """Stop all failures of calls; the offset of the wall clock remains."""
        self._rates = [0] * len(SystemCallFault)
        self._write_control()

    def reads(self) -> Iterator[SocketRead]:
        """Yield all reads so far, over all starts of the process."""
        data = self.reads_path.read_bytes() if self.reads_path.exists() else b""
        offset = 0
        while offset + _READ_HEADER.size <= len(data):
            nanoseconds, length, local_port, peer_port = _READ_HEADER.unpack_from(data, offset)
            offset += _READ_HEADER.size
            yield SocketRead(nanoseconds / 1e9, local_port, peer_port, data[offset : offset + length])
            offset += length

    def _write_control(self) -> None:
        mode = "r+b" if self._control_path.exists() else "wb"
        with self._control_path.open(mode) as file:
            file.write(_CONTROL.pack(self._wall_offset_ns, *self._rates))


@dataclass(frozen=True, slots=True)
class ReadQuery:
    """A query whose last byte the agent has read from a client."""

    time: float  # seconds of the monotonic clock
    peer_port: int
    statement: bytes


def complete_queries(reads: Iterator[SocketRead], listen_port: int) -> Iterator[ReadQuery]:
    """Yield the queries that were read completely from clients, including those that the agent discarded."""
    streams: defaultdict[int, _MessageParser] = defaultdict(_MessageParser)
    for read in reads:
        if read.local_port != listen_port:
            continue
        if not read.data:  # a new connection from this port was accepted
            streams.pop(read.peer_port, None)
            continue
        for statement in streams[read.peer_port].feed(read.data):
            yield ReadQuery(read.time, read.peer_port, statement)


class _MessageParser:
    """Splits the bytes of a client into messages; shares no code with the parser of the program."""

    def __init__(self) -> None:
        self._data = b""
        self._started = False

    def feed(self, data: bytes) -> Iterator[bytes]:
        self._data += data
        while True:
            head = 1 if self._started else 0
            if len(self._data) < head + _LENGTH.size:
                return
            end = head + _LENGTH.unpack_from(self._data, head)[0]
            if len(self._data) < end:
                return
            message, self._data = self._data[:end], self._data[end:]
            if self._started and message[:1] == b"Q":
                yield message[5:-1]
            self._started = True
