"""Clients' connections and the listener, tested over local sockets."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
import pytest
from anyio.lowlevel import checkpoint

from frostfall.config import Address
from frostfall.net.client_acceptor import MAX_OVERFLOW_CONNECTIONS
from frostfall.net.client_connection import IDLE_CLOSE_SECONDS, ClientConnection
from frostfall.net.client_connections import ClientConnections
from frostfall.net.client_eviction import NEW_CONNECTION_GRACE_SECONDS, EvictionGroup
from frostfall.net.streams import SocketBudget, Stream, open_listener
from frostfall.protocol import pg, pg_server
from tests.standins import TEST_TIMEOUT_SECONDS, read_statement

pytestmark = pytest.mark.anyio
LARGE_ANSWER_BYTES = 4 * 1024 * 1024  # exceeds the sockets' buffers


class StubHandler:
    """Records queries without answering them; rejects them as malformed if `fault` is set."""

    def __init__(self) -> None:
        self.queries, self.disconnect_count = list[bytes](), 0
        self.fault: str | None = None
        self.clients: list[ClientConnection] = []

    def handle_query(self, client: ClientConnection, text: bytes) -> str | None:
        self.queries.append(text)
        self.clients.append(client)
        return self.fault

    def client_disconnected(self, _: ClientConnection) -> None:
        self.disconnect_count += 1


class Peer:
    """The client's end of a connection."""

    def __init__(self, raw: socket.socket) -> None:
        self.raw, self.stream, self.data = raw, Stream(raw), b""

    async def receive_until(self, mark: bytes) -> None:
        while mark not in self.data:
            self.data += await self.stream.receive()

    async def receive_rest(self) -> bytes:
        """Receive until the end of the stream; return everything received so far."""
        try:
            while True:
                self.data += await self.stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return self.data


@asynccontextmanager
async def serving(
    max_connections: int = 100,
    max_buffered_bytes: int = 1 << 20,
    evict_other: Any = lambda: False,
    max_request_seconds: float = TEST_TIMEOUT_SECONDS,
) -> AsyncIterator[tuple[ClientConnections, StubHandler, Any]]:
    handler = StubHandler()
    clients = ClientConnections(
        handler, SocketBudget(1000), max_connections, max_buffered_bytes, max_request_seconds, evict_other
    )
    listener = open_listener(Address("127.0.0.1", 0))
    address = listener.getsockname()

    async def dial(*, startup: bool = True, wait: bool = True) -> Peer:
        raw = socket.create_connection(address)
        peer = Peer(raw)
        if startup:
            await peer.stream.send(pg.startup(user="web"))
        if startup and wait:
            await peer.receive_until(pg_server.STARTUP_RESPONSE)
        return peer

    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        async with anyio.create_task_group() as group:
            group.start_soon(clients.run, listener)
            group.start_soon(clients.monitor.run, clients.on_tick)
            yield clients, handler, dial
            group.cancel_scope.cancel()


async def wait_until(condition: Any) -> None:
    while not condition():
        await anyio.sleep(0.005)


def query(text: bytes) -> bytes:
    return pg.frame(b"Q", text + b"\0")


async def test_a_query_received_before_the_connection_closes_is_answered() -> None:
    async with serving() as (clients, handler, dial):
        peer = await dial()
        await peer.stream.send(query(read_statement("a1")))
        client = next(iter(clients))
        client.close_when_idle()  # before the agent has processed the query
        await wait_until(lambda: handler.queries)
        client.answer(pg_server.failure_answer())
        assert (await peer.receive_rest()).endswith(pg_server.failure_answer())
        await wait_until(lambda: handler.disconnect_count == 1 and not len(clients))


async def test_a_pending_query_is_answered_before_a_draining_connection_closes() -> None:
    async with serving() as (clients, handler, dial):
        peer = await dial()
        await peer.stream.send(query(read_statement("a1")))
        await wait_until(lambda: handler.queries)
        clients.drain()
        clients.stop()
        handler.clients[0].answer(pg_server.failure_answer())
        assert (await peer.receive_rest()).endswith(pg_server.failure_answer())


async def test_a_disconnection_is_reported_at_once_even_while_a_query_is_pending() -> None:
    async with serving() as (_, handler, dial):
        peer = await dial()
        await peer.stream.send(query(read_statement("a1")))
        await wait_until(lambda: handler.queries)
        peer.stream.close()
        await wait_until(lambda: handler.disconnect_count == 1)


# Guards against requests of clients that had gone: they were sent to servers one to two seconds later.
async def test_a_query_whose_client_left_before_its_connection_was_accepted_is_not_handled() -> None:
    async with serving() as (clients, handler, dial):
        probe = await dial(startup=False)
        with socket.create_connection(probe.raw.getpeername()) as gone:
            gone.sendall(STARTUP + query(b"") + query(read_statement("a1")) * 2)
        await wait_until(lambda: handler.disconnect_count)
        assert not handler.queries and not len(clients.pending_answers)
        assert not clients.pending_answers.invariants.counts


async def test_connections_without_a_whole_query_are_closed_in_time() -> None:
    async with serving() as (clients, _, dial):
        started_at = anyio.current_time()
        silent = await dial(startup=False)
        without_query = await dial()
        partial = await dial()
        await partial.stream.send(query(read_statement("a1"))[:20])
        trickling = await dial()  # single bytes do not count as a query
        served = await dial()
        await served.stream.send(query(b""))
        await served.receive_until(pg_server.EMPTY_QUERY_RESPONSE)

        async def trickle() -> None:
            with pytest.raises((anyio.BrokenResourceError, anyio.EndOfStream)):
                while True:
                    await trickling.stream.send(b"Q\0\0\x10\0"[:1] if trickling.data else b"x")
                    trickling.data = b"sent"
                    await anyio.sleep(0.2)

        async with anyio.create_task_group() as group:
            group.start_soon(trickle)
            for peer in (silent, without_query, partial):
                assert b"C08P01" in await peer.receive_rest()
        # Clients receive the end of the output before the agent removes their connections.
        await wait_until(lambda: len(clients) <= 1)
        assert anyio.current_time() - started_at < 2.9
        assert len(clients) == 1  # the served connection is idle and stays open while capacity is free
        assert clients.malformed_counts[pg.MalformedReason.SILENT.value] >= 3


async def test_idle_connections_close_after_their_timeout_if_many_are_open() -> None:
    async with serving(max_connections=10) as (clients, _, dial):
        peers = [await dial() for _ in range(8)]
        for peer in peers:
            await peer.stream.send(query(b""))
            await peer.receive_until(pg_server.EMPTY_QUERY_RESPONSE)
        await anyio.sleep(IDLE_CLOSE_SECONDS / 2)
        assert len(clients) == 8
        await wait_until(lambda: len(clients) <= 5)


async def test_hundreds_of_silent_connections_do_not_exclude_clients_with_queries() -> None:
    async with serving(max_connections=20) as (clients, handler, dial):
        silent = [await dial(startup=False) for _ in range(300)]
        started_at = anyio.current_time()
        peers = [await dial(wait=False) for _ in range(3)]
        for number, peer in enumerate(peers):
            await peer.stream.send(query(read_statement(f"a{number}")))
        await anyio.sleep(NEW_CONNECTION_GRACE_SECONDS * 2)
        late = await dial()
        await late.stream.send(query(read_statement("late")))
        await wait_until(lambda: len(handler.queries) == 4)
        assert anyio.current_time() - started_at < 1.5 and len(silent) == 300
        assert len(clients) <= 20 + MAX_OVERFLOW_CONNECTIONS + 1


HALF_QUERY = query(read_statement("a1"))[:20]
STARTUP = pg.startup(user="web")


# Guards against clients that stop in mid-command: their connections counted as closed, and stayed for 2 s.
@pytest.mark.parametrize(
    "sent",
    [STARTUP[:6], STARTUP + HALF_QUERY, STARTUP + query(b"") + HALF_QUERY],
    ids=["startup", "first", "later"],
)
async def test_hundreds_of_partial_queries_do_not_exclude_clients_with_queries(sent: bytes) -> None:
    async with serving(max_connections=20) as (clients, handler, dial):
        partial = [await dial(startup=False) for _ in range(300)]
        for peer in partial:
            peer.raw.sendall(sent)
        started_at = anyio.current_time()
        peers = [await dial(wait=False) for _ in range(4)]
        for number, peer in enumerate(peers):
            await peer.stream.send(query(read_statement(f"a{number}")))
        await wait_until(lambda: len(handler.queries) == 4)
        assert anyio.current_time() - started_at < 1.5
        assert len(clients) <= 20 + MAX_OVERFLOW_CONNECTIONS + 1
        assert b"C53300" in await partial[0].receive_rest()
        assert clients.evictions.counts[EvictionGroup.PARTIAL] >= 300 - 20 - MAX_OVERFLOW_CONNECTIONS


async def test_an_overflow_connection_takes_the_place_of_one_with_a_partial_query() -> None:
    async with serving(max_connections=2) as (clients, handler, dial):
        busy, partial = [await dial() for _ in range(2)]
        await busy.stream.send(query(read_statement("a1")))
        await partial.stream.send(HALF_QUERY)
        overflow = await dial()  # within the grace of the partial query
        await overflow.stream.send(query(read_statement("a2")))
        await wait_until(lambda: len(handler.queries) == 2)
        assert b"C53300" in await partial.receive_rest()
        await wait_until(lambda: len(clients) == 2)


async def test_a_connection_with_unread_input_is_not_evicted() -> None:
    async with serving(max_connections=2) as (clients, handler, dial):
        older, newer = [await dial() for _ in range(2)]
        await anyio.sleep(NEW_CONNECTION_GRACE_SECONDS * 1.5)
        older.raw.sendall(query(read_statement("a1")))  # the agent has not read it as the next one connects
        assert clients.close_silent()
        assert await newer.receive_rest() == pg_server.STARTUP_RESPONSE
        await wait_until(lambda: handler.queries)
        assert not clients.close_silent()


async def test_a_stalled_partial_query_is_evicted_before_an_older_silent_connection() -> None:
    async with serving(max_connections=3) as (clients, _, dial):
        silent, partial, uploading = [await dial() for _ in range(3)]
        await partial.stream.send(HALF_QUERY)
        await anyio.sleep(NEW_CONNECTION_GRACE_SECONDS * 1.5)
        await uploading.stream.send(HALF_QUERY)
        await wait_until(lambda: clients.buffered_bytes == 2 * len(HALF_QUERY))
        new = list[Peer]()
        for evicted in (partial, silent):
            assert silent.stream.is_quiet and uploading.stream.is_quiet
            new.append(await dial())
            await evicted.receive_rest()
        assert b"C53300" in partial.data and silent.data == pg_server.STARTUP_RESPONSE
        assert uploading.stream.is_quiet


async def test_the_order_of_eviction_is_silent_then_pool_then_idle() -> None:
    evictions = list[int]()
    async with serving(max_connections=3, evict_other=lambda: bool(evictions.append(1))) as (_, _, dial):
        idle = await dial()
        await idle.stream.send(query(b""))
        await idle.receive_until(pg_server.EMPTY_QUERY_RESPONSE)
        silent = await dial(startup=False)
        busy = await dial()
        await busy.stream.send(query(read_statement("a1")))
        await anyio.sleep(NEW_CONNECTION_GRACE_SECONDS * 1.5)
        await dial()
        assert await silent.receive_rest() == b""
        assert not evictions and idle.stream.is_quiet


async def test_unprocessed_input_of_all_connections_is_limited() -> None:
    async with serving(max_buffered_bytes=300_000) as (clients, handler, dial):
        peers = [await dial() for _ in range(5)]
        for peer in peers:
            await peer.stream.send(b"Q" + (150_000).to_bytes(4) + b"x" * 100_000)
        ended = 0
        for peer in peers[2:]:
            ended += b"C53300" in await peer.receive_rest()
        assert ended >= 2 and not handler.queries
        await wait_until(lambda: clients.buffered_bytes <= 300_000)


async def test_thousands_of_pipelined_queries_are_handled_in_order_over_several_time_slices() -> None:
    async with serving() as (_, handler, dial):
        peer = await dial()
        await peer.stream.send(query(b"") * 3000 + query(read_statement("last")))
        await wait_until(lambda: handler.queries)
        assert handler.queries == [read_statement("last")]
        await peer.receive_until(pg_server.EMPTY_QUERY_RESPONSE * 100)


async def test_a_client_that_does_not_read_is_disconnected_eventually() -> None:
    async with serving(max_request_seconds=0.5) as (clients, handler, dial):
        peer = await dial()
        await peer.stream.send(query(read_statement("a1")))
        await wait_until(lambda: handler.queries)
        handler.clients[0].answer(b"x" * (4 * LARGE_ANSWER_BYTES))
        await wait_until(lambda: not len(clients))


async def test_an_answer_larger_than_the_socket_buffers_arrives_whole_before_the_next_query_is_handled() -> (
    None
):
    async with serving() as (_, handler, dial):
        peer = await dial()
        await peer.stream.send(query(read_statement("a1")) + query(read_statement("a2")))
        await wait_until(lambda: handler.queries)
        handler.clients[0].answer(b"x" * LARGE_ANSWER_BYTES + b"end")
        await peer.receive_until(b"xend")
        assert peer.data.count(b"x") == LARGE_ANSWER_BYTES
        await wait_until(lambda: len(handler.queries) == 2)


async def test_malformed_queries_are_counted_and_close_their_connections() -> None:
    async with serving() as (clients, handler, dial):
        handler.fault = "an unknown class"
        for _ in range(5):
            peer = await dial()
            await peer.stream.send(query(read_statement("a1")))
            assert b"C08P01" in await peer.receive_rest()
        assert clients.malformed_counts["an unknown class"] == 5


# Guards against queries that were read and never answered, as the agent read ahead more than it can hold.
async def test_all_queries_are_answered_of_a_client_that_pipelines_more_than_is_buffered() -> None:
    async with serving() as (clients, handler, dial):
        peer = await dial()
        one, answer = query(read_statement("a1")), pg_server.rejection_answer(0)
        count = 3 * pg.MAX_BUFFER_BYTES // len(one)

        async def answer_queries() -> None:
            while True:
                while handler.clients:
                    handler.clients.pop().answer(answer)
                await checkpoint()

        async with anyio.create_task_group() as group:
            group.start_soon(answer_queries)
            group.start_soon(peer.stream.send, one * count)
            expected = len(pg_server.STARTUP_RESPONSE) + count * len(answer)
            while len(peer.data) < expected:
                peer.data += await peer.stream.receive()
            group.cancel_scope.cancel()
        assert peer.data.endswith(pg_server.STARTUP_RESPONSE + answer * count)
        assert not clients.malformed_counts


# Guards against memory above its limit: rejected clients' input was kept for as long as they could send more.
async def test_a_connection_that_is_rejected_for_want_of_memory_keeps_none_of_its_input() -> None:
    limit = 2 * pg.MAX_READ_BYTES
    beginning = query(read_statement("a1") + b" " * pg.MAX_READ_BYTES * 3)[: pg.MAX_READ_BYTES * 2]
    async with serving(max_buffered_bytes=limit) as (clients, _, dial):
        peers = [await dial() for _ in range(20)]
        opened = list(clients)
        async with anyio.create_task_group() as group:
            for peer in peers:
                group.start_soon(peer.stream.send, beginning)
            await wait_until(lambda: sum(client.closing for client in opened) >= 18)
            group.cancel_scope.cancel()
        kept = sum(client._protocol.buffered for client in clients)
        assert clients.buffered_bytes == kept <= limit
