"""An agent whose process was paused (virtual machine, debugger, swapping) does not act on stale data.

Guards against this failure: an agent was paused by SIGSTOP for some seconds, and a server began to drain
meanwhile. After SIGCONT the agent sent requests to that server, seconds after the drain grace, because it
read the requests that had arrived before it read the change of the endpoint list. The lease of the list did
not prevent this, as the watch was established all the time. An agent that detects a gap in its events must
therefore send nothing until discovery has answered a call that began after the gap.
"""

from __future__ import annotations

import signal
import subprocess
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic

import anyio
import pytest

from frostfall.bench.fault_soak.records import SoakRecords
from frostfall.bench.fault_soak.servers import StandInServer
from frostfall.bench.fault_soak.services import Discovery
from frostfall.bench.peers import Reader, listening, statement
from frostfall.config import Address
from frostfall.net.streams import STREAM_ERRORS, Stream, connect
from frostfall.protocol import pg
from tests.standins import instance
from tests.test_shutdown_answers import AgentProcess

pytestmark = pytest.mark.anyio
CLIENTS = 40
SERVERS = 6
THINK_SECONDS = 0.25  # a client's pause between an answer and its next query
DRAIN_DELAY_SECONDS = 0.3  # from the start of the pause until servers begin to drain
GRACE_SECONDS = 0.5  # drain grace in the settings


@dataclass
class PausedAgent:
    """An agent process under load that can be paused, with its discovery service and its servers."""

    process: subprocess.Popen[bytes]
    agent: AgentProcess
    discovery: Discovery
    servers: dict[str, Address]
    records: SoakRecords = field(default_factory=SoakRecords)

    def set_lifecycle(self, lifecycle: str, *names: str) -> None:
        self.discovery.change(*(instance(name, self.servers[name], lifecycle=lifecycle) for name in names))

    async def pause(self, seconds: float, *draining: str) -> float:
        """Pause the agent, and drain servers shortly after; return the time at which the agent continued."""
        self.process.send_signal(signal.SIGSTOP)
        await anyio.sleep(DRAIN_DELAY_SECONDS)
        self.set_lifecycle("terminating", *draining)
        await anyio.sleep(seconds - DRAIN_DELAY_SECONDS)
        self.process.send_signal(signal.SIGCONT)
        return monotonic()


async def run_client(number: int, address: Address) -> None:
    """Send one query after the other, with pauses; reconnect when the connection has ended."""
    count = 0
    while True:
        try:
            stream = await connect(address)
            await stream.send(pg.startup(user="web", database="orders"))
            reader = Reader(stream)
            while (await reader.message())[0] != b"Z":
                pass
            while True:
                count += 1
                await stream.send(pg.frame(b"Q", statement(f"c{number}-{count}") + b"\0"))
                while (await reader.message())[0] != b"Z":
                    pass
                await anyio.sleep(THINK_SECONDS)
        except (OSError, *STREAM_ERRORS):
            await anyio.sleep(THINK_SECONDS)


@asynccontextmanager
async def agent_under_load(folder: Path) -> AsyncIterator[PausedAgent]:
    records = SoakRecords()
    async with anyio.create_task_group() as group, AsyncExitStack() as stack:
        addresses = {
            name: await stack.enter_async_context(
                listening(StandInServer(name, 0.01, records.attempts).serve)
            )
            for name in (f"s-{number}" for number in range(SERVERS))
        }
        discovery = Discovery(records)
        discovery.change(*(instance(name, address) for name, address in addresses.items()))

        async def answer(stream: Stream) -> None:
            await discovery.serve("n0", lambda: True, stream)

        discovery_address = await stack.enter_async_context(listening(answer))
        agent = AgentProcess(folder, list(addresses.values()), discovery=str(discovery_address))
        async with agent.running() as process:
            for number in range(CLIENTS):
                group.start_soon(run_client, number, agent.address)
            await anyio.sleep(1.0)
            yield PausedAgent(process, agent, discovery, addresses, records)
            group.cancel_scope.cancel()


@pytest.mark.parametrize("seconds", [1.5, 4.0])
async def test_after_a_pause_nothing_is_sent_to_a_server_that_drained_meanwhile(
    tmp_path: Path, seconds: float
) -> None:
    draining = [f"s-{number}" for number in range(SERVERS // 2)]
    async with agent_under_load(tmp_path) as paused:
        for _ in range(2):
            resumed_at = await paused.pause(seconds, *draining)
            await anyio.sleep(1.0)
            sent = [attempt for attempt in paused.records.attempts if attempt.received_at >= resumed_at]
            assert len(sent) > CLIENTS  # the agent serves requests again within a second
            assert [attempt.server for attempt in sent if attempt.server in draining] == []
            paused.set_lifecycle("in_service", *draining)
            await anyio.sleep(1.0)


async def test_an_agent_with_unreachable_discovery_serves_requests_again_after_a_pause(
    tmp_path: Path,
) -> None:
    async with agent_under_load(tmp_path) as paused:
        paused.discovery.mode = type(paused.discovery.mode).DOWN
        await paused.pause(1.5)
        await anyio.sleep(2.0)
        since = monotonic() - 1.0
        assert [attempt for attempt in paused.records.attempts if attempt.received_at >= since]
