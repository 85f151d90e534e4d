"""A process that is stopped for a while (a paused virtual machine, a debugger, swap) acts on fresh word only.

What happened: an agent got SIGSTOP for some seconds, and a server began to drain meanwhile. After SIGCONT it
sent requests to that server, seconds past the grace: the requests had come before the list's change, and were
read before it. The lease of the list did not help, as the watch stood all the time. Now an agent that has
noticed a gap in its events sends nothing before discovery has answered a call that began after the gap.
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
THINKING_SECONDS = 0.25  # of a client between an answer and its next query
NOTICE_SECONDS = 0.3  # after the stop, at which servers begin to drain
GRACE_SECONDS = 0.5  # of the settings


@dataclass
class PausedAgent:
    """An agent process under load, with its discovery and its servers."""

    process: subprocess.Popen[bytes]
    agent: AgentProcess
    discovery: Discovery
    servers: dict[str, Address]
    records: SoakRecords = field(default_factory=SoakRecords)

    def set_lifecycle(self, lifecycle: str, *names: str) -> None:
        self.discovery.change(*(instance(name, self.servers[name], lifecycle=lifecycle) for name in names))

    async def pause(self, seconds: float, *draining: str) -> float:
        """Stop it; these servers drain from shortly after on. When it went on."""
        self.process.send_signal(signal.SIGSTOP)
        await anyio.sleep(NOTICE_SECONDS)
        self.set_lifecycle("terminating", *draining)
        await anyio.sleep(seconds - NOTICE_SECONDS)
        self.process.send_signal(signal.SIGCONT)
        return monotonic()


async def run_client(number: int, address: Address) -> None:
    """One query after the other, with a pause; a new connection where one has ended."""
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
                await anyio.sleep(THINKING_SECONDS)
        except (OSError, *STREAM_ERRORS):
            await anyio.sleep(THINKING_SECONDS)


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

        watched = await stack.enter_async_context(listening(answer))
        agent = AgentProcess(folder, list(addresses.values()), discovery=str(watched))
        async with agent.running() as process:
            for number in range(CLIENTS):
                group.start_soon(run_client, number, agent.address)
            await anyio.sleep(1.0)
            yield PausedAgent(process, agent, discovery, addresses, records)
            group.cancel_scope.cancel()


@pytest.mark.parametrize("seconds", [1.5, 4.0])
async def test_after_a_stop_nothing_goes_to_a_server_that_drained_meanwhile(
    tmp_path: Path, seconds: float
) -> None:
    draining = [f"s-{number}" for number in range(SERVERS // 2)]
    async with agent_under_load(tmp_path) as paused:
        for _ in range(2):
            went_on = await paused.pause(seconds, *draining)
            await anyio.sleep(1.0)
            sent = [attempt for attempt in paused.records.attempts if attempt.received_at >= went_on]
            assert len(sent) > CLIENTS  # it serves again at once
            assert [attempt.server for attempt in sent if attempt.server in draining] == []
            paused.set_lifecycle("in_service", *draining)
            await anyio.sleep(1.0)


async def test_an_agent_without_a_reachable_discovery_serves_again_after_a_stop(tmp_path: Path) -> None:
    async with agent_under_load(tmp_path) as paused:
        paused.discovery.mode = type(paused.discovery.mode).DOWN
        await paused.pause(1.5)
        await anyio.sleep(2.0)
        since = monotonic() - 1.0
        assert [attempt for attempt in paused.records.attempts if attempt.received_at >= since]
