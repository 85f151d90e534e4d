"""The agents of a soak: their processes, configurations and signals."""

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
from frostfall.bench.fault_soak.shim import FaultShim, complete_queries
from frostfall.bench.harness import ROOT
from frostfall.bench.peers import Reader
from frostfall.config import Address
from frostfall.net.streams import STREAM_ERRORS, connect
from frostfall.protocol import pg

ASSIGNED_AFTER_SIGTERM_SECONDS = 0.3  # clients still connect to a draining agent
ASSIGNED_AFTER_SIGKILL_SECONDS = 1.0  # clients still connect to a killed agent
START_TIMEOUT_SECONDS = 12.0  # until a process without an answer is reported as not ready
LINGER_SECONDS = 0.7  # from SIGTERM to SIGKILL, in addition to the longest deadline
MAX_COUNTED_DEADLINE_SECONDS = 3.0  # upper bound of the longest deadline, by the protocol
SERIES_PAUSE_SECONDS = 0.15  # between the signals of a series
READY_POLL_SECONDS = 0.05
# After a process that replaces a killed one is ready; connections that end until then are excused.
DISRUPTION_SECONDS = 0.5
LISTEN_PORT = 25432
_ID = re.compile(rb"id=([0-9A-Za-z_.:-]+)")


class SoakAgent:
    """One agent: its files, its link from clients, and its process, which may be started many times."""

    def __init__(self, number: int, folder: Path, records: SoakRecords, seed: int) -> None:
        """Create `folder` for the configuration and the log."""
        folder.mkdir(parents=True)
        self.name = f"n{number}"
        self.folder = folder
        self.shim = FaultShim(folder, seed)
        # Each agent has its own host: at 127.0.0.1 an outgoing connection could take the port of an agent
        # between two starts.
        pid = os.getpid()
        self.address = Address(f"127.{64 + pid // 250 % 128}.{pid % 250}.{1 + number}", LISTEN_PORT)
        self.link: FaultyLink | None = None  # from clients
        self.before_start: Callable[[], None] = lambda: None  # updates the configuration
        self.record: ProcessRecord | None = None  # of the current process
        self._records = records
        self._process: subprocess.Popen[bytes] | None = None
        self._assignable_until = 0.0
        self._disrupted_until = 0.0
        self.calls_fail = False  # injected call failures end some connections of clients
        self._order_lock = anyio.Lock()  # serializes restarts, kills and signal series

    @property
    def pid(self) -> int:
        """The id of the process; 0 before the first start."""
        return self._process.pid if self._process else 0

    @property
    def is_assignable(self) -> bool:
        """Whether the directory assigns new connections to the agent."""
        return monotonic() < self._assignable_until

    @property
    def is_disrupted(self) -> bool:
        """Whether a SIGKILL, failing calls or a reset of the link may end connections now."""
        return (
            self.calls_fail
            or monotonic() < self._disrupted_until
            or bool(self.link and self.link.was_reset_recently)
        )

    def configure(self, config: dict[str, Any]) -> None:
        """Write the configuration for the next start or the next SIGHUP."""
        path = self.folder / "config.json"
        partial = path.with_suffix(".new")
        partial.write_bytes(msgspec.json.encode(config))
        partial.replace(path)

    async def start(self) -> None:
        """Start a process and wait until it answers a query."""
        self.before_start()
        await self._await_ready(self._spawn())

    async def _await_ready(self, record: ProcessRecord) -> None:
        with anyio.move_on_after(START_TIMEOUT_SECONDS):
            while not await self._answers_query():
                await anyio.sleep(READY_POLL_SECONDS)
            record.ready_at = monotonic()
            self._assignable_until = float("inf")
            self._disrupted_until = min(self._disrupted_until, monotonic() + DISRUPTION_SECONDS)

    def _spawn(self) -> ProcessRecord:
        """Start a process without waiting for it."""
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

    async def _answers_query(self) -> bool:
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
        """Send SIGTERM and wait for the end of the process."""
        process, record = self._process, self.record
        if process is None or record is None or record.ended_at is not None:
            return
        record.terminated_at = monotonic()
        self._assignable_until = monotonic() + ASSIGNED_AFTER_SIGTERM_SECONDS
        process.send_signal(signal.SIGTERM)
        await self._wait_ended(process, record)

    async def _wait_ended(self, process: subprocess.Popen[bytes], record: ProcessRecord) -> None:
        """Wait for the end of the process, and kill it at the earliest time that the protocol allows."""
        longest = min(self._records.longest_deadline, MAX_COUNTED_DEADLINE_SECONDS)
        kill_at = (record.terminated_at or monotonic()) + LINGER_SECONDS + longest
        while process.poll() is None and monotonic() < kill_at:
            await anyio.sleep(0.005)
        if process.poll() is None:
            record.drain_killed_at = monotonic()
            self._disrupted_until = float("inf")
            process.kill()
            process.wait()
        record.ended_at = monotonic()
        record.exit_code = process.returncode

    async def restart(self) -> None:
        """Send SIGTERM, wait for the end of the process and start a new one."""
        async with self._order_lock:
            await self.terminate()
            await self.start()

    async def kill_and_start(self, pause: float) -> None:
        """Send SIGKILL and start a new process after `pause` seconds."""
        async with self._order_lock:
            process, record = self._process, self.record
            if process is None or record is None or record.ended_at is not None:
                return
            record.killed_at = monotonic()
            self._disrupted_until = float("inf")
            self._assignable_until = monotonic() + ASSIGNED_AFTER_SIGKILL_SECONDS
            process.kill()
            process.wait()
            record.ended_at = monotonic()
            record.exit_code = process.returncode
            await anyio.sleep(pause)
            await self.start()

    async def send_signal_series(self, series: int) -> None:
        """Send one of the signal series and start a new process."""
        async with self._order_lock:
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
                    await self._kill_during_start()
                case _:
                    await self._overlap_starts(process, record)
                    return
            await self.start()

    async def _signal_twice(
        self, process: subprocess.Popen[bytes], record: ProcessRecord, second: signal.Signals
    ) -> None:
        """Send SIGTERM, and a second signal while the agent drains."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.terminate)
            await anyio.sleep(SERIES_PAUSE_SECONDS)
            if record.ended_at is None and process.poll() is None:
                process.send_signal(second)

    async def _kill_during_start(self) -> None:
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
        """Start a process while the previous one still drains and listens at the address."""
        record.terminated_at = monotonic()
        self._assignable_until = monotonic() + ASSIGNED_AFTER_SIGTERM_SECONDS
        process.send_signal(signal.SIGTERM)
        await anyio.sleep(SERIES_PAUSE_SECONDS)
        self.before_start()
        started = self._spawn()
        await self._wait_ended(process, record)
        await self._await_ready(started)

    async def pause_process(self, seconds: float) -> None:
        """Pause the process by SIGSTOP, and resume it after `seconds`."""
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
        """Send SIGHUP if the process is ready."""
        if self._process and self._process.poll() is None and self.record and self.record.ready_at:
            self._process.send_signal(signal.SIGHUP)

    def record_unexpected_exit(self) -> None:
        """Record the end of a process that was neither terminated nor killed."""
        process, record = self._process, self.record
        if process and record and record.ended_at is None and process.poll() is not None:
            record.ended_at = monotonic()
            record.exit_code = process.returncode

    def force_kill(self) -> None:
        """Kill the process, whatever its state, at the end or the interruption of the soak."""
        if self._process and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def collect_records(self) -> None:
        """Add the reads of the preloaded library and the errors of the log to the records."""
        for query in complete_queries(self.shim.reads(), self.address.port):
            if match := _ID.search(query.statement):
                self._records.reads.append(ReadRecord(match[1].decode(), self.name, query.time))
        for line in (self.folder / "log").read_bytes().splitlines():
            if b'"level": "error"' in line or b"Traceback" in line or b"violated" in line:
                self._records.reported.append(f"{self.name}: {line.decode(errors='replace')[:2000]}")

    def descriptors(self) -> int:
        """Return the number of open descriptors of the process."""
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    def memory(self) -> int:
        """Return the resident memory of the process in bytes."""
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")


class FleetDirectory:
    """Assigns agents to clients, through the links of the agents."""

    def __init__(self, agents: list[SoakAgent]) -> None:
        """Assign the given agents."""
        self._agents = {agent.name: agent for agent in agents}

    def choose(self, source: random.Random) -> ChosenAgent | None:
        """Return an agent that takes connections, with the address of its link; None if there is none."""
        assignable = [agent for agent in self._agents.values() if agent.is_assignable]
        if not assignable:
            return None
        agent = source.choice(assignable)
        if agent.link and agent.link.address:
            return ChosenAgent(agent.name, agent.link.address)
        return ChosenAgent(agent.name, agent.address)

    def is_disrupted(self, agent: str) -> bool:
        """Return whether a fault may end connections to this agent now."""
        return self._agents[agent].is_disrupted
