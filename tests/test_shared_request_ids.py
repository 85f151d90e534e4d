"""Clients of a group member that send the id of another client's open request, and leave."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import pytest

from frostfall.net.agent import Agent
from frostfall.protocol import pg
from frostfall.recovery.readiness import ReadinessStage
from tests.standins import (
    Client,
    free_port,
    instance,
    make_config,
    read_statement,
    row,
    tcp_server,
    write_statement,
)
from tests.test_agent import serving
from tests.test_crossing_pool import ScriptedServer, wait_until

pytestmark = pytest.mark.anyio
OPTIONS = """{group: {data: "%s", key: "a key of this test", new: true, operation: "k", waits: {list: 0.1},
              members: [{name: "n3", address: "127.0.0.1:%d"}]}}"""
WAIT_MS = 5000


def write_for(operation: str, request: str) -> bytes:
    """Return a write statement whose comment names its operation."""
    return write_statement(request, WAIT_MS).replace(b" */", b",k=%b */" % operation.encode())


@asynccontextmanager
async def serving_group_member(directory: Path, server: ScriptedServer) -> AsyncIterator[Agent]:
    """Run an agent that is the only member of its group, once it admits non-idempotent requests."""
    options = OPTIONS % (directory / "data", free_port())
    async with (
        tcp_server(server) as address,
        serving(make_config(instance("s-1", address), options=options)) as agent,
    ):
        member = agent._group_member
        assert member is not None
        await wait_until(lambda: member.readiness.is_ready(ReadinessStage.NON_IDEMPOTENT))
        yield agent


async def leave(agent: Agent, client: Client) -> None:
    """Close a client's connection and wait until the agent has removed it."""
    open_before = len(agent.clients)
    await client.stream.aclose()
    await wait_until(lambda: len(agent.clients) == open_before - 1)


async def wait_until_accepted(agent: Agent, count: int) -> None:
    """Wait until this number of queries await an answer."""
    await wait_until(lambda: len(agent.pending_answers) == count)


# Guards against a request that ran and was never answered, because a client that had sent its id left.
async def test_a_request_is_answered_though_another_client_that_sent_its_id_has_left(tmp_path: Path) -> None:
    server = ScriptedServer()
    async with serving_group_member(tmp_path, server) as agent:
        first, second = [await Client.connect(agent.config.listen) for _ in range(2)]
        await first.send_query(write_for("op", "same"))
        connection, _ = await server.wait_for_query(1)
        await second.send_query(write_for("op", "same"))
        await wait_until_accepted(agent, 2)
        await leave(agent, second)
        await server.streams[connection].send(row(b"value") + pg.READY_FOR_QUERY)
        assert (await first.receive_answer())[0] == b"D"
        assert len(server.queries) == 1
        await wait_until(lambda: not agent.requests)


# Guards against the same where the client that leaves sent the id first, for an operation that it waits for.
async def test_a_request_is_answered_though_a_waiting_client_with_its_id_has_left(tmp_path: Path) -> None:
    server = ScriptedServer()
    async with serving_group_member(tmp_path, server) as agent:
        first, second, third = [await Client.connect(agent.config.listen) for _ in range(3)]
        await first.send_query(write_for("op", "first"))
        await server.wait_for_query(1)
        await second.send_query(write_for("op", "same"))
        await wait_until_accepted(agent, 2)
        await third.send_query(read_statement("same", WAIT_MS))
        connection, _ = await server.wait_for_query(2)
        await leave(agent, second)
        await server.streams[connection].send(row(b"value") + pg.READY_FOR_QUERY)
        assert (await third.receive_answer())[0] == b"D"


async def test_a_request_ends_as_its_own_client_leaves_and_the_client_that_joined_it_is_answered(
    tmp_path: Path,
) -> None:
    server = ScriptedServer()
    async with serving_group_member(tmp_path, server) as agent:
        first, second = [await Client.connect(agent.config.listen) for _ in range(2)]
        await first.send_query(write_for("op", "same"))
        await server.wait_for_query(1)
        await second.send_query(write_for("op", "same"))
        await wait_until_accepted(agent, 2)
        await leave(agent, first)
        kind, _ = await second.receive_answer()
        assert kind == b"E"
        assert len(server.queries) == 1
        await wait_until(lambda: not agent.requests)


# Guards against a client that is served the answer of another client's open request, as it sent its id.
async def test_a_statement_with_the_id_of_another_open_request_is_not_served_its_answer(
    tmp_path: Path,
) -> None:
    server, same = ScriptedServer(), write_for("op", "same")
    async with serving_group_member(tmp_path, server) as agent:
        usual, bad, retrying = [await Client.connect(agent.config.listen) for _ in range(3)]
        await usual.send_query(same)
        connection, _ = await server.wait_for_query(1)
        await bad.send_query(same.replace(b"9f03", b"ff"))
        await wait_until(lambda: agent.clients.malformed_counts or len(agent.pending_answers) == 2)
        await retrying.send_query(same.replace(b"id=same", b"id=other"))
        await wait_until(lambda: len(agent.pending_answers) > 1)
        await server.streams[connection].send(row(b"value") + pg.READY_FOR_QUERY)
        kind, error = await bad.reader.message()
        assert kind == b"E" and b"C08P01" in error
        assert [(await client.receive_answer())[0] for client in (usual, retrying)] == [b"D", b"D"]
        assert len(server.queries) == 1


# Guards against the same after the request has been answered and its agent has restarted.
async def test_a_statement_with_the_id_of_an_answered_request_is_not_served_its_answer(
    tmp_path: Path,
) -> None:
    server, same = ScriptedServer(), write_for("op", "same")
    async with serving_group_member(tmp_path, server) as agent:
        usual = await Client.connect(agent.config.listen)
        await usual.send_query(same)
        connection, _ = await server.wait_for_query(1)
        await server.streams[connection].send(row(b"value") + pg.READY_FOR_QUERY)
        assert (await usual.receive_answer())[0] == b"D"
    async with serving_group_member(tmp_path, ScriptedServer()) as agent:
        bad, retrying = [await Client.connect(agent.config.listen) for _ in range(2)]
        await bad.send_query(same.replace(b"9f03", b"ff"))
        kind, error = await bad.reader.message()
        assert kind == b"E" and b"C08P01" in error
        assert (await retrying.query(same.replace(b"id=same", b"id=other")))[0] == b"D"


# Guards against memory that grows with each attempt that joins an operation and says that it waits for hours.
async def test_an_attempt_that_joined_an_operation_leaves_no_task_behind_once_it_is_answered(
    tmp_path: Path,
) -> None:
    server = ScriptedServer()
    async with serving_group_member(tmp_path, server) as agent:
        usual, joining = [await Client.connect(agent.config.listen) for _ in range(2)]
        for number in range(1, 6):
            text = write_for(f"op{number}", f"first{number}")
            await usual.send_query(text)
            connection, _ = await server.wait_for_query(number)
            await joining.send_query(text.replace(b"d=%d" % WAIT_MS, b"d=9999999,r=1"))
            await wait_until_accepted(agent, 2)
            await server.streams[connection].send(row(b"value") + pg.READY_FOR_QUERY)
            assert [(await client.receive_answer())[0] for client in (usual, joining)] == [b"D", b"D"]
        await wait_until(lambda: not agent.requests)
        await anyio.sleep(0.05)
        assert not [task for task in asyncio.all_tasks() if ".operations." in task.get_name()]
