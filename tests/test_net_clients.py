"""A client's connection, over a stream of our own."""

from __future__ import annotations

import socket
from typing import Any, cast

import anyio
import pytest
from anyio.abc import SocketStream

from frostfall.net import clients as driver
from frostfall.net.clients import Client
from frostfall.protocol import pg, pg_server
from tests.standins import LONG, read

pytestmark = pytest.mark.anyio


class Stream:
    """Gives what it is told to give; keeps what is written."""

    def __init__(self) -> None:
        self.give, self.take = anyio.create_memory_object_stream[bytes](10)
        self.written, self.closed = b"", False

    async def receive(self, _: int) -> bytes:
        return await self.take.receive()

    def extra(self, _: Any) -> Stream:
        return self

    def shutdown(self, how: int) -> None:
        assert how == socket.SHUT_RD
        self.give.close()  # what it holds still comes through

    async def send(self, data: bytes) -> None:
        self.written += data

    async def aclose(self) -> None:
        self.closed = True


class Front:
    """Takes queries and answers those that it is told to."""

    def __init__(self) -> None:
        self.taken, self.gone = list[bytes](), 0

    def take(self, _: Client, text: bytes) -> str | None:
        self.taken.append(text)
        return None

    def left(self, _: Client) -> None:
        self.gone += 1


async def start(group: Any) -> tuple[Client, Stream, Front]:
    stream, front = Stream(), Front()
    client = Client(cast(SocketStream, stream), front)
    group.start_soon(client.run)
    await stream.give.send(pg.startup(user="web"))
    await anyio.wait_all_tasks_blocked()
    assert stream.written == pg_server.WELCOME
    return client, stream, front


async def test_a_query_that_was_read_as_the_connection_ends_still_gets_its_answer() -> None:
    with anyio.fail_after(LONG):
        async with anyio.create_task_group() as group:
            client, stream, front = await start(group)
            stream.give.send_nowait(pg.frame(b"Q", read("a1") + b"\0"))
            client.end()
            while not front.taken:
                await anyio.sleep(0)
            assert front.taken == [read("a1")] and not stream.closed
            client.answer(pg_server.failed())
    assert stream.written.endswith(pg_server.failed()) and stream.closed and front.gone == 1


async def test_one_that_follows_an_answer_at_once_is_answered_too() -> None:
    with anyio.fail_after(LONG):
        async with anyio.create_task_group() as group:
            client, stream, front = await start(group)
            client.drain()
            for count in (1, 2, 3):
                stream.give.send_nowait(pg.frame(b"Q", read(f"a{count}") + b"\0"))
            for count in (1, 2, 3):
                while len(front.taken) < count:
                    await anyio.sleep(0)
                client.answer(pg_server.failed())
    assert stream.written.count(pg_server.failed()) == 3 and stream.closed


async def test_an_idle_connection_ends_in_a_moment() -> None:
    with anyio.fail_after(LONG):
        async with anyio.create_task_group() as group:
            client, stream, front = await start(group)
            client.end()
    assert stream.closed and front.taken == [] and front.gone == 1


async def test_an_empty_query_while_draining_is_answered_and_ends_the_connection() -> None:
    with anyio.fail_after(LONG):
        async with anyio.create_task_group() as group:
            client, stream, _ = await start(group)
            client.drain()
            stream.give.send_nowait(pg.frame(b"Q", b"\0"))
    assert stream.written.endswith(pg_server.EMPTY) and stream.closed


async def test_a_draining_connection_ends_with_its_answer() -> None:
    with anyio.fail_after(LONG):
        async with anyio.create_task_group() as group:
            client, stream, front = await start(group)
            stream.give.send_nowait(pg.frame(b"Q", read("a1") + b"\0"))
            await anyio.wait_all_tasks_blocked()
            assert front.taken == [read("a1")]
            client.drain()
            await anyio.wait_all_tasks_blocked()
            assert not stream.closed
            client.answer(pg_server.failed())
    assert stream.written.endswith(pg_server.failed()) and stream.closed


async def test_terminate_ends_the_connection() -> None:
    with anyio.fail_after(LONG):
        async with anyio.create_task_group() as group:
            _, stream, front = await start(group)
            stream.give.send_nowait(pg.TERMINATE)
    assert stream.closed and front.gone == 1 and front.taken == []


async def test_a_connection_without_an_answer_yet_is_not_closed_to_make_room(
        monkeypatch: pytest.MonkeyPatch) -> None:
    with anyio.fail_after(LONG):
        async with anyio.create_task_group() as group:
            client, stream, front = await start(group)
            assert client.idle and not client.spare
            client.drain()
            await anyio.wait_all_tasks_blocked()
            assert not stream.closed
            monkeypatch.setattr(driver, "FRESH", -1.0)
            assert client.spare  # it has brought nothing for long
            stream.give.send_nowait(pg.frame(b"Q", read("a1") + b"\0"))
            await anyio.wait_all_tasks_blocked()
            assert front.taken == [read("a1")] and not client.spare
            client.answer(pg_server.failed())
    assert stream.closed
