"""Attempts against a stand-in server: outcomes of the protocol, reuse, cancellation and limits."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from dataclasses import replace

import anyio
import pytest
from anyio.abc import ByteStream

from frostfall.config import Address
from frostfall.interface import Outcome
from frostfall.net.clock import Clock
from frostfall.net.streams import SocketBudget
from frostfall.net.upstream_connection import UpstreamAttempt, UpstreamConnection
from frostfall.net.upstream_pool import REUSE_DELAY_MICROS, UpstreamPool
from frostfall.protocol import pg
from frostfall.protocol.attempt_result import AttemptProgress, AttemptResult
from frostfall.protocol.pg_client import Row
from tests.standins import TEST_TIMEOUT_SECONDS, Reader, StandInServer, free_port, row, tcp_server
from tests.support import SECOND, SETTINGS

pytestmark = pytest.mark.anyio
LIMITS = SETTINGS.limits


def make_pool(max_sockets: int = 100, **changes: int) -> UpstreamPool:
    return UpstreamPool(Clock(), replace(LIMITS, **changes), SocketBudget(max_sockets))


async def run_attempt(
    pool: UpstreamPool,
    address: Address,
    wait: float = 5.0,
    text: bytes = b"SELECT",
    on_start: Callable[[UpstreamAttempt], None] = lambda _: None,
) -> AttemptResult:
    """Run one attempt and return its result, which must be reported exactly once."""
    attempt, ends = UpstreamAttempt(), list[AttemptResult]()
    on_start(attempt)
    deadline = pool._clock.now() + int(wait * 1e6)
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        await pool.run_attempt(attempt, address, lambda: text, deadline, ends.append)
    (result,) = ends
    return result


@pytest.mark.parametrize(
    ("mode", "outcome", "open_connections"),
    [
        ("serve", Outcome.SUCCESS, 1),
        ("XX000", Outcome.ERROR, 1),
        ("53300", Outcome.OVERLOADED, 1),
        ("reset", Outcome.RESET, 0),
        ("half", Outcome.RESET, 0),
        ("garbage", Outcome.RESET, 0),
        ("crowded", Outcome.OVERLOADED, 0),
        ("hang up", Outcome.UNREACHABLE, 0),
        ("mute", Outcome.UNREACHABLE, 0),
    ],
)
async def test_outcomes(mode: str, outcome: Outcome, open_connections: int) -> None:
    appliance, pool = StandInServer(mode), make_pool(connect_timeout=200_000)
    async with tcp_server(appliance) as address:
        result = await run_attempt(pool, address)
        assert result.outcome is outcome
        assert len(pool) == open_connections
        assert appliance.statements == ([b"SELECT"] if result.progress >= AttemptProgress.WRITTEN else [])


async def test_an_address_without_a_listener_is_unreachable() -> None:
    pool = make_pool()
    assert (await run_attempt(pool, Address("127.0.0.1", free_port()))).outcome is Outcome.UNREACHABLE
    assert len(pool) == 0


async def test_an_attempt_that_times_out_closes_its_connection_before_its_result_is_reported() -> None:
    appliance, pool = StandInServer("silent"), make_pool()
    async with tcp_server(appliance) as address:
        result = await run_attempt(pool, address, wait=0.1)
        assert result.outcome is Outcome.TIMED_OUT
        assert len(pool) == 0
        with anyio.fail_after(TEST_TIMEOUT_SECONDS):
            await appliance.connection_ended.wait()


async def test_cancelling_closes_the_connection_at_once() -> None:
    appliance, pool = StandInServer("silent"), make_pool()
    async with tcp_server(appliance) as address, anyio.create_task_group() as group:

        async def cancel_after_query(attempt: UpstreamAttempt) -> None:
            await appliance.query_received.wait()
            attempt.cancel()

        started_at = time.monotonic()
        result = await run_attempt(
            pool, address, on_start=lambda attempt: group.start_soon(cancel_after_query, attempt)
        )
        assert result.outcome is Outcome.CANCELLED
        assert time.monotonic() - started_at < 4
        with anyio.fail_after(TEST_TIMEOUT_SECONDS):
            await appliance.connection_ended.wait()
        assert len(pool) == 0


async def test_an_attempt_cancelled_before_its_start_sends_nothing() -> None:
    appliance, pool = StandInServer(), make_pool()
    async with tcp_server(appliance) as address:
        assert (
            await run_attempt(pool, address, on_start=UpstreamAttempt.cancel)
        ).outcome is Outcome.CANCELLED
        assert appliance.statements == [] and len(pool) == 0


async def test_connections_are_reused_for_one_request_at_a_time() -> None:
    appliance, pool = StandInServer(), make_pool()
    async with tcp_server(appliance) as address:
        for _ in range(5):
            assert (await run_attempt(pool, address)).outcome is Outcome.SUCCESS
            await anyio.sleep(2 * REUSE_DELAY_MICROS / 1e6)
        assert (appliance.connections, len(pool)) == (1, 1)
        async with anyio.create_task_group() as group:
            for _ in range(4):
                group.start_soon(run_attempt, pool, address)
        assert appliance.connections <= 5 and len(appliance.statements) == 9


async def test_a_connection_closed_by_the_server_is_replaced_without_a_failed_attempt() -> None:
    appliance, pool = StandInServer("serve once"), make_pool()
    async with tcp_server(appliance) as address:
        for number in range(1, 4):
            assert (await run_attempt(pool, address)).outcome is Outcome.SUCCESS
            with anyio.fail_after(TEST_TIMEOUT_SECONDS):
                await appliance.connection_ended.wait()
            appliance.connection_ended = anyio.Event()
            assert (appliance.connections, len(appliance.statements)) == (number, number)


async def test_idle_connections_are_closed_by_the_sweeper() -> None:
    appliance, pool = StandInServer(), make_pool(connection_idle_timeout=100_000)
    async with tcp_server(appliance) as address, anyio.create_task_group() as group:
        await run_attempt(pool, address)
        assert len(pool) == 1
        group.start_soon(pool.run_sweeper)
        with anyio.fail_after(TEST_TIMEOUT_SECONDS):
            await appliance.connection_ended.wait()
        assert len(pool) == 0
        group.cancel_scope.cancel()


async def test_a_full_pool_closes_an_idle_connection_to_open_another() -> None:
    first, second, pool = StandInServer(), StandInServer(), make_pool(max_sockets=1)
    async with tcp_server(first) as first_address, tcp_server(second) as second_address:
        assert (await run_attempt(pool, first_address)).outcome is Outcome.SUCCESS
        assert (await run_attempt(pool, second_address)).outcome is Outcome.SUCCESS
        assert len(pool) == 1
        second.mode = "silent"
        async with anyio.create_task_group() as group:
            group.start_soon(run_attempt, pool, second_address, 1.0)
            second.query_received = anyio.Event()
            await second.query_received.wait()
            assert (await run_attempt(pool, first_address)).outcome is Outcome.UNREACHABLE
    assert len(pool) == 0


async def test_a_value_of_64_kib_is_received_unchanged() -> None:
    value = bytes(range(256)) * 256
    async with tcp_server(StandInServer(value=value)) as address:
        result = await run_attempt(make_pool(), address)
        assert result.answer == Row(row(value))


@pytest.mark.parametrize("mode", ["serve", "53300"])
async def test_a_load_report_after_the_answer_is_included_in_the_result(mode: str) -> None:
    async with tcp_server(StandInServer(mode)) as address:
        assert (await run_attempt(make_pool(), address)).load_report == "inflight=7,queue=2"


async def test_a_large_statement_is_written_once_and_whole() -> None:
    appliance, text = StandInServer(), b"INSERT " + b"ab" * 65_536
    async with tcp_server(appliance) as address:
        assert (await run_attempt(make_pool(), address, text=text)).outcome is Outcome.SUCCESS
        assert appliance.statements == [text]


async def test_small_messages_are_sent_without_delay() -> None:
    pool = make_pool()
    async with tcp_server(StandInServer()) as address:
        await run_attempt(pool, address)
        connection = pool._idle[address][0]
        raw = connection.stream._raw
        assert raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


async def test_an_attempt_whose_connection_closed_before_use_has_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    appliance, pool = StandInServer(), make_pool()
    async with tcp_server(appliance) as address:
        monkeypatch.setattr(UpstreamConnection, "usable", property(lambda _: False))
        result = await run_attempt(pool, address)
        assert (result.progress, result.outcome) == (AttemptProgress.NOT_WRITTEN, Outcome.UNREACHABLE)
        assert appliance.statements == [] and len(pool) == 0


async def test_an_exception_in_the_result_callback_does_not_affect_later_attempts() -> None:
    def done(_: AttemptResult) -> None:
        raise ValueError("a fault")

    pool = make_pool()
    async with tcp_server(StandInServer()) as address:
        await pool.run_attempt(UpstreamAttempt(), address, lambda: b"x", pool._clock.now() + SECOND, done)
        assert (await run_attempt(pool, address)).outcome is Outcome.SUCCESS


async def test_an_internal_error_ends_the_attempt_as_one_that_may_have_run() -> None:
    def fault() -> bytes:
        raise ValueError("no statement")

    pool, ends = make_pool(), list[AttemptResult]()
    async with tcp_server(StandInServer()) as address:
        await pool.run_attempt(UpstreamAttempt(), address, fault, pool._clock.now() + 1_000_000, ends.append)
    (result,) = ends
    assert not result.outcome.never_ran
    assert len(pool) == 0


COPY = row(b"first") + pg.READY_FOR_QUERY


@pytest.mark.parametrize(
    "extra", [COPY, b"\0\xff" * 9, pg.READY_FOR_QUERY, b"E", pg.frame(b"S", b"vitals\0\xff\xfe\0")]
)
@pytest.mark.parametrize("pause", [0.0, 0.001])
async def test_data_after_an_answer_is_never_taken_for_the_next_answer(extra: bytes, pause: float) -> None:
    count = 0

    async def appliance(stream: ByteStream) -> None:
        nonlocal count
        reader = Reader(stream)
        await reader.startup()
        await stream.send(pg.frame(b"R", b"\0\0\0\0") + pg.READY_FOR_QUERY)
        while (await reader.message())[0] == b"Q":
            count += 1
            if count > 1:
                await stream.send(row(b"second") + pg.READY_FOR_QUERY)
                continue
            await stream.send(COPY + (b"" if pause else extra))
            await anyio.sleep(pause)
            if pause:
                await stream.send(extra)

    pool = make_pool()
    async with tcp_server(appliance) as address:
        first = await run_attempt(pool, address)
        second = await run_attempt(pool, address)
        assert first.answer == Row(row(b"first")) and second.answer == Row(row(b"second"))


@pytest.mark.parametrize(
    "malformed",
    [
        b"\x07\xffnoise" * 20,
        b"D" + (3 << 30).to_bytes(4) + b"x" * 100_000,
        b"D" + (2**32 - 1).to_bytes(4),
        b"T\0\0\0\x03",
        row(b"value")[:-10] + b"#" * 10,
        row(b"value").replace(b"value", b"value more"),
        pg.frame(b"T", b"") + pg.frame(b"D", b"\0\1\0\0\0\1v") + pg.frame(b"C", b"SELECT 1\0"),
        b"x" * 2000,
    ],
)
async def test_a_malformed_answer_ends_the_attempt_as_possibly_run_and_closes_the_connection(
    malformed: bytes,
) -> None:
    ended = anyio.Event()

    async def appliance(stream: ByteStream) -> None:
        reader = Reader(stream)
        await reader.startup()
        await stream.send(pg.frame(b"R", b"\0\0\0\0") + pg.READY_FOR_QUERY)
        await reader.message()
        await stream.send(malformed + pg.READY_FOR_QUERY)
        try:
            await stream.receive()
        finally:
            ended.set()

    pool = make_pool()
    async with tcp_server(appliance) as address:
        result = await run_attempt(pool, address, wait=2.0)
        assert result.outcome in (Outcome.RESET, Outcome.TIMED_OUT) and not result.outcome.never_ran
        assert len(pool) == 0
        with anyio.fail_after(TEST_TIMEOUT_SECONDS):
            await ended.wait()
