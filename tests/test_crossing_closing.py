"""Races of a close with the peer: answers being delivered, further bytes received, new connections."""

from __future__ import annotations

import socket
from typing import Any

import anyio
import anyio.lowlevel
import pytest

from frostfall.net.client_acceptor import MAX_OVERFLOW_CONNECTIONS
from frostfall.net.client_connection import ClientConnection
from frostfall.net.client_connections import ClientConnections
from frostfall.protocol import pg, pg_server
from tests.standins import TEST_TIMEOUT_SECONDS, read_statement
from tests.test_net_client_connections import Peer, StubHandler, query, serving, wait_until

pytestmark = pytest.mark.anyio
LARGE = b"x" * 150_000 + b"end"  # exceeds what a client with a small buffer has read by the close
SMALL_BUFFER_BYTES = 4096


def connect_small(clients_address: tuple[str, int]) -> Peer:
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    raw.connect(clients_address)
    return Peer(raw)


async def dial_small(dial: Any) -> Peer:
    """Connect a peer with a small receive buffer."""
    probe = await dial(startup=False)
    peer = connect_small(probe.raw.getpeername())
    probe.raw.close()
    await peer.stream.send(pg.startup(user="web"))
    await peer.receive_until(pg_server.STARTUP_RESPONSE)
    return peer


@pytest.mark.parametrize(
    "extra", [query(read_statement("a2"))[:20], query(read_statement("a2"))[:5] + b"x" * 9000]
)
@pytest.mark.parametrize("end", ["drain", "stop", "close_when_idle"])
@pytest.mark.parametrize("iterations", [0, 8])  # of the event loop; reading ends within eight
async def test_an_answer_under_delivery_is_complete_whatever_the_client_sends(
    extra: bytes, end: str, iterations: int
) -> None:
    async with serving() as (clients, handler, dial):
        peer = await dial_small(dial)
        await peer.stream.send(query(read_statement("a1")))
        await wait_until(lambda: handler.queries)
        client = handler.clients[0]
        if end == "drain":
            clients.drain()
        client.answer(LARGE)
        if end != "drain":
            getattr(clients if end == "stop" else client, end)()
        await wait_until(lambda: client.closing or client.draining)
        for _ in range(iterations):
            await anyio.lowlevel.checkpoint()
        await peer.stream.send(extra)  # while the close is under way
        # On a close with these bytes unread, the kernel would reset the connection and discard unsent data.
        received = await peer.receive_rest()
        assert LARGE in received
        await wait_until(lambda: not len(clients))


async def test_the_error_for_malformed_bytes_arrives_before_the_close() -> None:
    async with serving() as (clients, handler, dial):
        peer = await dial_small(dial)
        await peer.stream.send(query(b"") * 40 + query(read_statement("a1")))
        await wait_until(lambda: handler.queries)
        handler.clients[0].answer(LARGE)
        await peer.stream.send(b"GET / HTTP/1.1\r\n" * 300)
        await wait_until(lambda: clients.malformed_counts)
        await peer.stream.send(b"more of it" * 300)
        received = await peer.receive_rest()
        assert LARGE in received and b"C08P01" in received
        await wait_until(lambda: not len(clients))


async def test_a_query_sent_while_the_last_answer_is_delivered_is_never_read() -> None:
    async with serving() as (clients, handler, dial):
        peer = await dial_small(dial)
        await peer.stream.send(query(read_statement("a1")))
        await wait_until(lambda: handler.queries)
        clients.drain()
        bytes_received = handler.clients[0].progress.bytes_received
        handler.clients[0].answer(LARGE)
        # If the query were read, it would need an answer, and so would the next: the drain would never end.
        await peer.stream.send(query(read_statement("a2")))
        assert (await peer.receive_rest()).endswith(LARGE)
        await wait_until(lambda: not len(clients))
        assert len(handler.queries) == 1 and handler.clients[0].progress.bytes_received == bytes_received


async def test_a_client_that_stops_reading_is_closed_after_the_time_limit() -> None:
    async with serving(max_request_seconds=0.3) as (clients, handler, dial):
        peer = await dial_small(dial)
        await peer.stream.send(query(read_statement("a1")))
        await wait_until(lambda: handler.queries)
        clients.drain()
        handler.clients[0].answer(LARGE)
        await wait_until(lambda: not len(clients))
        peer.raw.close()


async def test_a_client_that_resets_while_its_answer_is_delivered_leaks_nothing() -> None:
    async with serving() as (clients, handler, dial):
        peer = await dial_small(dial)
        await peer.stream.send(query(read_statement("a1")))
        await wait_until(lambda: handler.queries)
        clients.drain()
        handler.clients[0].answer(LARGE)
        peer.stream.reset_on_close()
        peer.raw.close()
        await wait_until(lambda: not len(clients) and handler.disconnect_count >= 1)
        assert clients.sockets.used == 0 and not clients.buffered_bytes


class Shutdown:
    """Shuts down the connections of clients."""

    def __init__(self, clients: ClientConnections, handler: StubHandler) -> None:
        self.clients, self.handler = clients, handler

    def begin(self) -> None:
        self.clients.drain()
        self.clients.stop()


async def test_connections_in_the_accept_backlog_at_the_shutdown_are_served() -> None:
    async with serving() as (clients, handler, dial):
        first = await dial()
        address = first.raw.getpeername()
        # The event loop does not run from here to the stop, so only the kernel accepts these connections.
        waiting = [Peer(socket.create_connection(address)) for _ in range(30)]
        for number, peer in enumerate(waiting):
            peer.raw.sendall(pg.startup(user="web") + query(read_statement(f"a{number}")))
        Shutdown(clients, handler).begin()
        # Otherwise these connections, which TCP has established, would be reset as the listener closes.
        await wait_until(lambda: len(handler.queries) == len(waiting))
        for client in list(handler.clients):
            client.answer(pg_server.rejection_answer(0))
        for peer in waiting:
            assert (await peer.receive_rest()).endswith(pg_server.rejection_answer(0))
        await wait_until(lambda: not len(clients))


async def test_connections_in_the_backlog_above_the_limit_are_all_answered() -> None:
    async with serving(max_connections=4) as (clients, handler, dial):
        busy = [await dial() for _ in range(4)]
        for number, peer in enumerate(busy):
            await peer.stream.send(query(read_statement(f"b{number}")))
        await wait_until(lambda: len(handler.queries) == 4)
        address = busy[0].raw.getpeername()
        waiting = [Peer(socket.create_connection(address)) for _ in range(3 * MAX_OVERFLOW_CONNECTIONS)]
        for number, peer in enumerate(waiting):
            peer.raw.sendall(pg.startup(user="web") + query(read_statement(f"a{number}")))
        Shutdown(clients, handler).begin()
        for peer in waiting:
            assert b"C53300" in await peer.receive_rest()
        for client in handler.clients:
            client.answer(pg_server.failure_answer())
        for peer in busy:
            assert (await peer.receive_rest()).endswith(pg_server.failure_answer())
        await wait_until(lambda: not len(clients))


@pytest.mark.parametrize("when", ["drain", "stop"])
async def test_pipelined_queries_are_all_answered_before_a_drained_connection_ends(when: str) -> None:
    async with serving() as (clients, handler, dial):
        peer = await dial()
        await peer.stream.send(b"".join(query(read_statement(f"a{number}")) for number in range(5)))
        await wait_until(lambda: handler.queries)
        clients.drain()
        if when == "stop":
            clients.stop()
        for number in range(5):
            await wait_until(lambda: len(handler.queries) == number + 1)  # noqa: B023
            handler.clients[-1].answer(pg_server.rejection_answer(0))
        assert (await peer.receive_rest()).count(b"C53300") == 5
        await wait_until(lambda: not len(clients))


async def test_a_partial_query_is_answered_if_its_rest_arrives_after_the_stop() -> None:
    async with serving() as (clients, handler, dial):
        peer = await dial()
        data = query(read_statement("a1"))
        await peer.stream.send(data[:20])
        await wait_until(lambda: clients.buffered_bytes)
        Shutdown(clients, handler).begin()
        await peer.stream.send(data[20:])
        await wait_until(lambda: handler.queries)
        handler.clients[0].answer(pg_server.rejection_answer(0))
        assert (await peer.receive_rest()).endswith(pg_server.rejection_answer(0))


async def test_a_health_check_during_the_stop_is_answered() -> None:
    async with serving() as (clients, handler, dial):
        peer = await dial()
        await peer.stream.send(query(b""))
        Shutdown(clients, handler).begin()
        assert (await peer.receive_rest()).endswith(pg_server.EMPTY_QUERY_RESPONSE)
        await wait_until(lambda: not len(clients))


async def test_a_silent_connection_stays_open_during_the_drain_and_is_closed_at_the_stop() -> None:
    async with serving() as (clients, _, dial):
        peer = await dial()
        clients.drain()
        for _ in range(8):
            await anyio.lowlevel.checkpoint()
        assert len(clients) == 1
        clients.stop()
        assert (await peer.receive_rest()).endswith(pg_server.STARTUP_RESPONSE)


@pytest.mark.parametrize("read_first", [False, True])
async def test_a_query_that_arrives_as_its_idle_connection_is_evicted_is_answered(read_first: bool) -> None:
    async with serving(max_connections=1, evict_other=lambda: False) as (_, handler, dial):
        idle = await dial()
        await idle.stream.send(query(b""))
        await idle.receive_until(pg_server.EMPTY_QUERY_RESPONSE)
        address = idle.raw.getpeername()
        # The event loop does not run in between, so the query is there as the next connection needs a slot.
        new = socket.create_connection(address)
        idle.raw.sendall(query(read_statement("a1")))
        if read_first:
            await wait_until(lambda: handler.queries)
        await wait_until(lambda: handler.queries)
        handler.clients[0].answer(pg_server.failure_answer())
        assert pg_server.failure_answer() in await receive_failure(idle)
        new.close()


async def receive_failure(peer: Peer) -> bytes:
    """Return the received bytes once the failure answer is among them."""
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        await peer.receive_until(pg_server.failure_answer())
    return peer.data


async def test_a_second_stop_and_a_second_drain_have_no_effect() -> None:
    async with serving() as (clients, handler, dial):
        peer = await dial()
        await peer.stream.send(query(read_statement("a1")))
        await wait_until(lambda: handler.queries)
        for _ in range(2):
            Shutdown(clients, handler).begin()
        client: ClientConnection = handler.clients[0]
        client.answer(pg_server.failure_answer())
        assert (await peer.receive_rest()).endswith(pg_server.failure_answer())
        await wait_until(lambda: not len(clients))
