"""A graceful shutdown under load, of a real process: every request that was read gets its answer."""

from __future__ import annotations

import os
import re
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from time import monotonic

import anyio
import msgspec
import pytest

from frostfall.bench.fault_soak.clients import Behaviour, SingleAgent, SoakClient
from frostfall.bench.fault_soak.oracle import Oracle, Rule
from frostfall.bench.fault_soak.records import ReadRecord, SoakRecords
from frostfall.bench.fault_soak.shim import FaultShim, complete_queries
from frostfall.bench.peers import Server, listening
from frostfall.bench.ports import free_port
from frostfall.config import Address
from tests.standins import TEST_TIMEOUT_SECONDS, instance
from tests.test_config import EXAMPLE

pytestmark = pytest.mark.anyio
ROOT = Path(__file__).parent.parent
LONGEST_DEADLINE_SECONDS = max(grade["deadlineUs"] for grade in EXAMPLE["settings"]["grades"]) / 1e6
LINGER_SECONDS = 0.7  # by the protocol, requests may still arrive for this long after SIGTERM
CLIENTS_PER_BEHAVIOUR = 12
REQUEST_ID = re.compile(rb"id=([^,]+),")


class AgentProcess:
    """An agent process with the fault-injection library, which records what the agent reads."""

    def __init__(self, folder: Path, servers: list[Address], **changes: object) -> None:
        self.shim = FaultShim(folder)
        self.address = Address("127.0.0.1", free_port())
        self._folder = folder
        config = EXAMPLE | {
            "listen": str(self.address),
            "discovery": f"127.0.0.1:{free_port()}",
            "peers": [],
            "peer_listen": "",
            "peers_all": "",
            "settings": EXAMPLE["settings"] | {"nInstances": 1},
            "release_api": EXAMPLE["release_api"] | {"address": f"127.0.0.1:{free_port()}"},
        }
        instances = [instance(f"s-{number}", address) for number, address in enumerate(servers)]
        config["known"] = {"generation": 1, "reset": True, "instances": instances}
        (folder / "config.json").write_bytes(msgspec.json.encode(config | changes))

    @asynccontextmanager
    async def running(self) -> AsyncIterator[subprocess.Popen[bytes]]:
        environment = {
            **os.environ,
            **self.shim.environment(),
            "BALANCER_CONFIG": str(self._folder / "config.json"),
        }
        with (self._folder / "log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "frostfall"], cwd=ROOT, env=environment, stderr=log
            )
        try:
            with anyio.fail_after(TEST_TIMEOUT_SECONDS):
                while b'"event": "listening"' not in (self._folder / "log").read_bytes():
                    await anyio.sleep(0.02)
            yield process
        finally:
            process.kill()
            process.wait()

    def log_lines(self) -> list[dict[str, object]]:
        return [msgspec.json.decode(line) for line in (self._folder / "log").read_bytes().splitlines()]


def find_unanswered(agent: AgentProcess, records: SoakRecords) -> list[str]:
    """Return the requests that the agent read completely and then closed the connection without an answer."""
    for query in complete_queries(agent.shim.reads(), agent.address.port):
        if match := REQUEST_ID.search(query.statement):
            records.reads.append(ReadRecord(match[1].decode(), "n0", query.time))
    return [finding.subject for finding in Oracle(records).findings() if finding.rule is Rule.LOST]


async def test_a_shutdown_leaves_no_request_that_was_read_unanswered(tmp_path: Path) -> None:
    records = SoakRecords()
    delays = (0.05, 0.05, 0.3, 0.6)
    behaviours = (Behaviour.AT_ONCE, Behaviour.PAUSING, Behaviour.SILENT)
    async with anyio.create_task_group() as group, AsyncExitStack() as stack:
        servers = [await stack.enter_async_context(listening(Server(delay=delay).serve)) for delay in delays]
        agent = AgentProcess(tmp_path, servers)
        async with agent.running() as process:
            clients = [
                SoakClient(
                    f"{behaviour.name}-{number}",
                    behaviour,
                    SingleAgent("n0", agent.address),
                    records,
                    seed=number,
                )
                for behaviour in behaviours
                for number in range(CLIENTS_PER_BEHAVIOUR)
            ]
            for client in clients:
                group.start_soon(client.run)
            await anyio.sleep(1.5)
            began = monotonic()
            process.send_signal(signal.SIGTERM)
            with anyio.fail_after(TEST_TIMEOUT_SECONDS):
                code = await anyio.to_thread.run_sync(process.wait)
            elapsed = monotonic() - began
            for client in clients:
                client.stopping = True
            await anyio.sleep(0.1)
        group.cancel_scope.cancel()
    assert len([record for record in records.requests if record.answers]) > 200
    assert find_unanswered(agent, records) == []
    assert code == 0
    assert elapsed < LINGER_SECONDS + LONGEST_DEADLINE_SECONDS
