"""Races as a connection passes from the pool to an attempt and back: closes, duplicate answers, timeouts."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import replace

import anyio
import anyio.lowlevel
import pytest
from anyio.abc import ByteStream, TaskGroup

from frostfall.config import Address
from frostfall.interface import Outcome
from frostfall.net.clock import Clock
from frostfall.net.streams import SocketBudget
from frostfall.net.upstream_connection import UpstreamAttempt
from frostfall.net.upstream_pool import REUSE_DELAY_MICROS, UpstreamPool
from frostfall.protocol import pg
from frostfall.protocol.attempt_result import AttemptProgress, AttemptResult
from frostfall.protocol.pg_client import Row
from tests.standins import (
    TEST_TIMEOUT_SECONDS,
    Client,
    Reader,
    StandInServer,
    instance,
    make_config,
    read_statement,
    reset_on_close,
    row,
    tcp_server,
)
from tests.support import SECOND, SETTINGS
from tests.test_agent import serving
from tests.test_crossing_writing import update_endpoints

pytestmark = pytest.mark.anyio
ITERATIONS = 8  # of the event loop, within which available bytes are read
WELCOME = pg.frame(b"R", b"\0\0\0\0") + pg.READY_FOR_QUERY


class ManualClock:
    """A monotonic clock that the test advances; `at` is in microseconds."""

    def __init__(self) -> None:
        self.at = 10 * SECOND

    def __call__(self) -> int:
        return self.at * 1000


class ScriptedServer:
    """A server that records queries; the test sends the answers."""

    def __init__(self) -> None:
        self.streams: list[ByteStream] = []
        self.queries: list[tuple[int, bytes]] = []  # the connection's number, the statement
        self.query_received = anyio.Event()

    async def __call__(self, stream: ByteStream) -> None:
        number = len(self.streams)
        self.streams.append(stream)
        reader = Reader(stream)
        await reader.startup()
        await stream.send(WELCOME)
        while True:
            kind, payload = await reader.message()
            if kind != b"Q":
                return
            self.queries.append((number, payload[:-1]))
            self.query_received.set()

    async def wait_for_query(self, count: int) -> tuple[int, bytes]:
        with anyio.fail_after(TEST_TIMEOUT_SECONDS):
            while len(self.queries) < count:
                self.query_received = anyio.Event()
                await self.query_received.wait()
        return self.queries[count - 1]


class PoolHarness:
    """An upstream pool with a manual clock."""

    def __init__(self, **limits: int) -> None:
        self.manual_clock, self.sockets = ManualClock(), SocketBudget(100)
        clock = Clock(lambda: 0, self.manual_clock)
        self.pool = UpstreamPool(clock, replace(SETTINGS.limits, **limits), self.sockets)

    def start(self, group: TaskGroup, address: Address, text: bytes = b"SELECT") -> _RunningAttempt:
        running = _RunningAttempt()
        group.start_soon(
            self.pool.run_attempt,
            running.attempt,
            address,
            lambda: text,
            self.pool._clock.now() + 30 * SECOND,
            running.record_result,
        )
        return running

    def idle_count(self) -> int:
        return self.pool.idle_count

    def has_only_idle_connections(self) -> bool:
        return self.sockets.used == len(self.pool) == self.idle_count()


class _RunningAttempt:
    def __init__(self) -> None:
        self.attempt, self.results, self.ended = UpstreamAttempt(), list[AttemptResult](), anyio.Event()

    def record_result(self, result: AttemptResult) -> None:
        self.results.append(result)
        self.ended.set()

    async def wait_for_result(self) -> AttemptResult:
        with anyio.fail_after(TEST_TIMEOUT_SECONDS):
            await self.ended.wait()
        (result,) = self.results
        return result


async def wait_until(condition: Callable[[], object]) -> None:
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        while not condition():
            await anyio.sleep(0.001)


async def run_iterations(count: int) -> None:
    for _ in range(count):
        await anyio.lowlevel.checkpoint()


@pytest.mark.parametrize("late_by", [500, 2_500, 5_000, 15_000])
async def test_a_late_duplicate_answer_is_never_used_for_the_next_request(late_by: int) -> None:
    server, harness = ScriptedServer(), PoolHarness()
    async with tcp_server(server) as address, anyio.create_task_group() as group:
        first = harness.start(group, address, b"one")
        await server.wait_for_query(1)
        await server.streams[0].send(row(b"one") + pg.READY_FOR_QUERY)
        await first.wait_for_result()
        await wait_until(harness.idle_count)
        harness.manual_clock.at += late_by
        second = harness.start(group, address, b"two")
        number, _ = await server.wait_for_query(2)
        # If the next query were sent on the same connection, the late duplicate would pass for its answer.
        await server.streams[0].send(row(b"one") + pg.READY_FOR_QUERY)
        await server.streams[number].send(row(b"two") + pg.READY_FOR_QUERY)
        answer = (await second.wait_for_result()).answer
        assert isinstance(answer, Row) and b"two" in answer.data and b"one" not in answer.data
        assert number == 1
        await wait_until(lambda: harness.idle_count() == 2)
        harness.manual_clock.at += SECOND
        third = harness.start(group, address, b"three")
        number, _ = await server.wait_for_query(3)
        await server.streams[number].send(row(b"three") + pg.READY_FOR_QUERY)
        answer = (await third.wait_for_result()).answer
        assert isinstance(answer, Row) and b"three" in answer.data
        group.cancel_scope.cancel()


async def test_an_idle_connection_is_reused_after_the_delay() -> None:
    server, harness = ScriptedServer(), PoolHarness()
    async with tcp_server(server) as address, anyio.create_task_group() as group:
        for count in range(1, 4):
            running = harness.start(group, address)
            await server.wait_for_query(count)
            await server.streams[0].send(row(b"x") + pg.READY_FOR_QUERY)
            assert (await running.wait_for_result()).outcome is Outcome.SUCCESS
            await wait_until(harness.idle_count)
            harness.manual_clock.at += REUSE_DELAY_MICROS
        assert len(server.streams) == 1
        group.cancel_scope.cancel()


@pytest.mark.parametrize("how", ["close", "reset"])
async def test_a_close_before_the_query_costs_no_attempt(how: str) -> None:
    server, harness = ScriptedServer(), PoolHarness()
    async with tcp_server(server) as address, anyio.create_task_group() as group:
        first = harness.start(group, address)
        await server.wait_for_query(1)
        await server.streams[0].send(row(b"x") + pg.READY_FOR_QUERY)
        await first.wait_for_result()
        await wait_until(harness.idle_count)
        harness.manual_clock.at += SECOND
        if how == "reset":
            reset_on_close(server.streams[0])
        await server.streams[0].aclose()
        second = harness.start(group, address, b"two")
        assert await server.wait_for_query(2) == (1, b"two")
        await server.streams[1].send(row(b"x") + pg.READY_FOR_QUERY)
        assert (await second.wait_for_result()).outcome is Outcome.SUCCESS
        group.cancel_scope.cancel()
        assert harness.has_only_idle_connections()


@pytest.mark.parametrize("how", ["close", "reset"])
@pytest.mark.parametrize("size", [6, 4_000_000])
async def test_a_query_that_was_written_completely_never_counts_as_never_ran_after_a_close(
    how: str, size: int
) -> None:
    server, harness = ScriptedServer(), PoolHarness()
    text = b"x" * size
    async with tcp_server(server) as address, anyio.create_task_group() as group:
        running = harness.start(group, address, text)
        if size < 100:
            await server.wait_for_query(1)
        else:  # larger than the kernel's buffers, so that its last byte is not written at the close
            await wait_until(lambda: running.attempt.progress is AttemptProgress.NOT_WRITTEN)
            await run_iterations(3)
        if how == "reset":
            reset_on_close(server.streams[0])
        await server.streams[0].aclose()
        result = await running.wait_for_result()
        written = any(query == text for _, query in server.queries)
        assert not (written and result.outcome.never_ran)
        assert result.outcome in (Outcome.RESET, Outcome.UNREACHABLE)
        await wait_until(harness.has_only_idle_connections)
        group.cancel_scope.cancel()


@pytest.mark.parametrize("count", range(ITERATIONS))
@pytest.mark.parametrize("moment", ["welcome", "answer"])
async def test_cancelling_as_the_server_sends_leaks_no_connection(count: int, moment: str) -> None:
    go, harness, written = anyio.Event(), PoolHarness(), anyio.Event()

    async def server(stream: ByteStream) -> None:
        reader = Reader(stream)
        await reader.startup()
        if moment == "welcome":
            written.set()
            await go.wait()
        await stream.send(WELCOME)
        await reader.message()
        if moment == "answer":
            written.set()
            await go.wait()
        await stream.send(row(b"x") + pg.READY_FOR_QUERY)
        await reader.message()

    descriptors = len(os.listdir("/proc/self/fd"))
    async with tcp_server(server) as address, anyio.create_task_group() as group:
        running = harness.start(group, address)
        with anyio.fail_after(TEST_TIMEOUT_SECONDS):
            await written.wait()
        go.set()
        await run_iterations(count)
        running.attempt.cancel()
        result = await running.wait_for_result()
        assert result.outcome in (Outcome.CANCELLED, Outcome.SUCCESS)
        await wait_until(harness.has_only_idle_connections)
        group.cancel_scope.cancel()
    harness.pool.close()
    assert harness.sockets.used == len(harness.pool) == 0
    await wait_until(lambda: len(os.listdir("/proc/self/fd")) <= descriptors)


async def test_a_connection_established_after_its_timeout_is_closed_and_not_counted() -> None:
    go, ended, harness = anyio.Event(), anyio.Event(), PoolHarness(connect_timeout=20_000)

    async def server(stream: ByteStream) -> None:
        reader = Reader(stream)
        await reader.startup()
        await go.wait()
        try:
            await stream.send(WELCOME)
            while True:
                await stream.receive()
        finally:
            ended.set()

    async with tcp_server(server) as address, anyio.create_task_group() as group:
        running = harness.start(group, address)
        assert (await running.wait_for_result()).outcome is Outcome.UNREACHABLE
        go.set()
        with anyio.fail_after(TEST_TIMEOUT_SECONDS):
            await ended.wait()
        assert harness.sockets.used == len(harness.pool) == 0
        group.cancel_scope.cancel()


async def test_a_connection_in_use_is_neither_evicted_nor_closed_with_its_address() -> None:
    server, harness = ScriptedServer(), PoolHarness()
    async with tcp_server(server) as address, anyio.create_task_group() as group:
        running = harness.start(group, address)
        await server.wait_for_query(1)
        assert not harness.pool.evict_idle()
        harness.pool.retain_addresses(())
        harness.pool.close()
        await server.streams[0].send(row(b"x") + pg.READY_FOR_QUERY)
        assert (await running.wait_for_result()).outcome is Outcome.SUCCESS
        await wait_until(harness.idle_count)
        assert harness.pool.evict_idle() and not harness.pool.evict_idle()
        assert harness.sockets.used == 0
        group.cancel_scope.cancel()


async def test_connections_to_an_address_that_is_no_longer_listed_are_closed_at_once() -> None:
    old, new = StandInServer(), StandInServer()
    async with tcp_server(old) as old_address, tcp_server(new) as new_address:
        endpoint = instance("s-1", old_address)
        async with serving(make_config(endpoint)) as agent:
            client = await Client.connect(agent.config.listen)
            assert (await client.query(read_statement("p1")))[0] == b"D"
            await wait_until(lambda: agent.upstream_pool._idle)
            update_endpoints(agent, endpoint | {"hostPort": str(new_address)})
            # Otherwise another process that listens at the old address could receive queries, and the old
            # server, which has few connections, would keep some of them occupied.
            assert not agent.upstream_pool._idle and len(agent.upstream_pool) == 0
            assert (await client.query(read_statement("p2")))[0] == b"D"
            assert len(old.statements) == len(new.statements) == 1
