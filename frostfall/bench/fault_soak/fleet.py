"""The agents of a soak: their processes, their configurations and the signals that they get."""

from __future__ import annotations

import os
import random
import re
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from time import monotonic
from typing import Any

import anyio
import msgspec

from frostfall.bench.fault_soak.clients import ChosenAgent
from frostfall.bench.fault_soak.links import FaultyLink
from frostfall.bench.fault_soak.records import Interval, ProcessRecord, ReadRecord, SoakRecords
from frostfall.bench.fault_soak.shim import FaultShim, whole_queries
from frostfall.bench.harness import ROOT
from frostfall.bench.peers import Reader
from frostfall.config import Address
from frostfall.net.streams import STREAM_ERRORS, connect
from frostfall.protocol import pg

DEALT_OUT_AFTER_SIGTERM_SECONDS = 0.3  # for which the directory goes on dealing out an agent that drains
NOTICED_AFTER_SIGKILL_SECONDS = 1.0
START_PATIENCE_SECONDS = 12.0  # until a process that does not answer is given up, and the finding is made
LINGER_SECONDS = 0.7  # after SIGTERM, to which the longest deadline is added: then comes SIGKILL
LONGEST_COUNTED_SECONDS = 3.0  # of the longest deadline, by the protocol
SERIES_PAUSE_SECONDS = 0.15  # between the signals of a series
READY_POLL_SECONDS = 0.05
BROKEN_SECONDS = (
    0.5  # after the start that follows a SIGKILL, which accounts for connections' ends until then
)
LISTEN_PORT = 25432
_ID = re.compile(rb"id=([0-9A-Za-z_.:-]+)")


class SoakAgent:
    """One agent: its files, its link, and its process, which may be started many times."""

    def __init__(self, number: int, folder: Path, records: SoakRecords, seed: int) -> None:
        """Keep configuration and log in `folder`, which is made."""
        folder.mkdir(parents=True)
        self.name = f"n{number}"
        self.folder = folder
        self.shim = FaultShim(folder, seed)
        # A host of its own: at 127.0.0.1 an outgoing connection could take its port between two starts.
        pid = os.getpid()
        self.address = Address(f"127.{64 + pid // 250 % 128}.{pid % 250}.{1 + number}", LISTEN_PORT)
        self.link: FaultyLink | None = None  # from clients
        self.before_start: Callable[[], None] = lambda: None  # brings the configuration up to date
        self.record: ProcessRecord | None = None  # of the present process
        self._records = records
        self._process: subprocess.Popen[bytes] | None = None
        self._dealt_out_until = 0.0
        self._broken_until = 0.0
        self.calls_fail = False  # so that connections of clients break now and then
        self._busy = anyio.Lock()  # one order at a time

    @property
    def pid(self) -> int:
        """The process's number; 0 while there is none."""
        return self._process.pid if self._process else 0

    @property
    def is_dealt_out(self) -> bool:
        """Whether the directory gives it new connections."""
        return monotonic() < self._dealt_out_until

    @property
    def was_broken(self) -> bool:
        """Whether a SIGKILL, a failing call or the link's reset ends its connections now."""
        return (
            self.calls_fail
            or monotonic() < self._broken_until
            or bool(self.link and self.link.has_just_reset)
        )

    def configure(self, config: dict[str, Any]) -> None:
        """Write the configuration of the next start, or of the next SIGHUP."""
        path = self.folder / "config.json"
        partial = path.with_suffix(".new")
        partial.write_bytes(msgspec.json.encode(config))
        partial.replace(path)

    async def start(self) -> None:
        """Start a process and wait until it answers."""
        self.before_start()
        await self._await_ready(self._spawn())

    async def _await_ready(self, record: ProcessRecord) -> None:
        with anyio.move_on_after(START_PATIENCE_SECONDS):
            while not await self._answers():
                await anyio.sleep(READY_POLL_SECONDS)
            record.ready_at = monotonic()
            self._dealt_out_until = float("inf")
            self._broken_until = min(self._broken_until, monotonic() + BROKEN_SECONDS)

    def _spawn(self) -> ProcessRecord:
        """Start a process."""
        environment = {
            **os.environ,
            **self.shim.environment(),
            "BALANCER_CONFIG": str(self.folder / "config.json"),
        }
        with (self.folder / "log").open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "frostfall"], cwd=ROOT, env=environment, stderr=log
            )
        self.record = ProcessRecord(self.name, monotonic())
        self._records.processes.append(self.record)
        return self.record

    async def _answers(self) -> bool:
        try:
            with anyio.fail_after(1.0):
                stream = await connect(self.address)
        except OSError:
            return False
        try:
            with anyio.move_on_after(1.0):
                await stream.send(pg.startup(user="web", database="orders") + pg.frame(b"Q", b"\0"))
                reader = Reader(stream)
                while (await reader.message())[0] != b"I":
                    pass
                return True
        except STREAM_ERRORS:
            pass
        finally:
            stream.close()
        return False

    async def terminate(self) -> None:
        """SIGTERM, and wait for its end."""
        process, record = self._process, self.record
        if process is None or record is None or record.ended_at is not None:
            return
        record.terminated_at = monotonic()
        self._dealt_out_until = monotonic() + DEALT_OUT_AFTER_SIGTERM_SECONDS
        process.send_signal(signal.SIGTERM)
        await self._wait_ended(process, record)

    async def _wait_ended(self, process: subprocess.Popen[bytes], record: ProcessRecord) -> None:
        """Wait for the end, and bring it about at the earliest moment at which the protocol allows that."""
        longest = min(self._records.longest_deadline, LONGEST_COUNTED_SECONDS)
        kill_at = (record.terminated_at or monotonic()) + LINGER_SECONDS + longest
        while process.poll() is None and monotonic() < kill_at:
            await anyio.sleep(0.005)
        if process.poll() is None:
            record.drain_ended_at = monotonic()
            self._broken_until = float("inf")
            process.kill()
            process.wait()
        record.ended_at = monotonic()
        record.exit_code = process.returncode

    async def restart(self) -> None:
        """SIGTERM, then a new start."""
        async with self._busy:
            await self.terminate()
            await self.start()

    async def kill_and_start(self, pause: float) -> None:
        """SIGKILL, then a new start after a pause."""
        async with self._busy:
            process, record = self._process, self.record
            if process is None or record is None or record.ended_at is not None:
                return
            record.killed_at = monotonic()
            self._broken_until = float("inf")
            self._dealt_out_until = monotonic() + NOTICED_AFTER_SIGKILL_SECONDS
            process.kill()
            process.wait()
            record.ended_at = monotonic()
            record.exit_code = process.returncode
            await anyio.sleep(pause)
            await self.start()

    async def play_series(self, series: int) -> None:
        """One of the series of signals, and a new start."""
        async with self._busy:
            process, record = self._process, self.record
            if process is None or record is None or record.ended_at is not None:
                return
            match series:
                case 0:
                    await self._signal_twice(process, record, signal.SIGTERM)
                case 1:
                    await self._signal_twice(process, record, signal.SIGHUP)
                case 2:
                    await self.terminate()
                    await self._kill_in_the_start()
                case _:
                    await self._overlap_starts(process, record)
                    return
            await self.start()

    async def _signal_twice(
        self, process: subprocess.Popen[bytes], record: ProcessRecord, second: signal.Signals
    ) -> None:
        """SIGTERM, and a second signal while the agent drains."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.terminate)
            await anyio.sleep(SERIES_PAUSE_SECONDS)
            if record.ended_at is None and process.poll() is None:
                process.send_signal(second)

    async def _kill_in_the_start(self) -> None:
        self.before_start()
        self._spawn()
        await anyio.sleep(SERIES_PAUSE_SECONDS)
        if self._process and self.record:
            self.record.killed_at = monotonic()
            self._process.kill()
            self._process.wait()
            self.record.ended_at = monotonic()
            self.record.exit_code = self._process.returncode

    async def _overlap_starts(self, process: subprocess.Popen[bytes], record: ProcessRecord) -> None:
        """A start while the process before still drains and holds the address."""
        record.terminated_at = monotonic()
        self._dealt_out_until = monotonic() + DEALT_OUT_AFTER_SIGTERM_SECONDS
        process.send_signal(signal.SIGTERM)
        await anyio.sleep(SERIES_PAUSE_SECONDS)
        self.before_start()
        started = self._spawn()
        await self._wait_ended(process, record)
        await self._await_ready(started)

    async def stall(self, seconds: float) -> None:
        """SIGSTOP for a while."""
        process = self._process
        if process is None or process.poll() is not None:
            return
        began = monotonic()
        process.send_signal(signal.SIGSTOP)
        try:
            await anyio.sleep(seconds)
        finally:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
            self._records.stalls.append(Interval(self.name, began, monotonic()))

    def reload(self) -> None:
        """SIGHUP."""
        if self._process and self._process.poll() is None and self.record and self.record.ready_at:
            self._process.send_signal(signal.SIGHUP)

    def note_unexpected_end(self) -> None:
        """Write down the end of a process that nobody ordered."""
        process, record = self._process, self.record
        if process and record and record.ended_at is None and process.poll() is not None:
            record.ended_at = monotonic()
            record.exit_code = process.returncode

    def kill_for_good(self) -> None:
        """End the process however it stands: the soak is over or broken off."""
        if self._process and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def collect(self) -> None:
        """Take over what the preloaded library and the log have written."""
        for query in whole_queries(self.shim.reads(), self.address.port):
            if match := _ID.search(query.statement):
                self._records.reads.append(ReadRecord(match[1].decode(), self.name, query.time))
        for line in (self.folder / "log").read_bytes().splitlines():
            if b'"level": "error"' in line or b"Traceback" in line or b"violated" in line:
                self._records.reported.append(f"{self.name}: {line.decode(errors='replace')[:2000]}")

    def descriptors(self) -> int:
        """How many descriptors the process has open."""
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    def memory(self) -> int:
        """Resident bytes."""
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")


class FleetDirectory:
    """Deals out the agents to clients, through their links."""

    def __init__(self, agents: list[SoakAgent]) -> None:
        """Deal out these."""
        self._agents = {agent.name: agent for agent in agents}

    def choose(self, source: random.Random) -> ChosenAgent | None:
        """An agent that takes connections, and where its link listens."""
        dealt_out = [agent for agent in self._agents.values() if agent.is_dealt_out]
        if not dealt_out:
            return None
        agent = source.choice(dealt_out)
        if agent.link and agent.link.address:
            return ChosenAgent(agent.name, agent.link.address)
        return ChosenAgent(agent.name, agent.address)

    def was_broken(self, agent: str) -> bool:
        """Whether the network or a SIGKILL ends connections to this agent now."""
        return self._agents[agent].was_broken
