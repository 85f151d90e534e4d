"""Races on the watch of the endpoint list: address changes, answers, backoff and silent calls."""

from __future__ import annotations

import socket

import anyio
import anyio.lowlevel
import pytest
from anyio.abc import ByteStream

from frostfall.config import Address
from frostfall.net import discovery as driver
from frostfall.net.streams import Stream, create_socket
from tests.standins import TEST_TIMEOUT_SECONDS, free_port, tcp_server
from tests.test_net_client_connections import wait_until
from tests.test_net_discovery import RecordingClient, Service, response

pytestmark = pytest.mark.anyio
LOOP_ITERATIONS = 8  # of the event loop, within which an answer that has arrived is read


class ScriptedDiscovery:
    """A discovery service that sends its answers without running the event loop."""

    def __init__(self) -> None:
        self.listener = create_socket(Address("127.0.0.1", 0))
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.address = Address(*self.listener.getsockname())
        self.raw: socket.socket | None = None

    async def call(self) -> str:
        """Return the request target of the next call."""
        with anyio.fail_after(TEST_TIMEOUT_SECONDS):
            if self.raw is None:
                await anyio.wait_readable(self.listener)
                self.raw, _ = self.listener.accept()
                self.raw.setblocking(False)
            data = b""
            while b"\r\n\r\n" not in data:
                await anyio.wait_readable(self.raw)
                data += self.raw.recv(4096)
        return data.split()[1].decode()

    def answer(self, data: bytes) -> None:
        assert self.raw
        self.raw.sendall(data)

    def close(self) -> None:
        for each in (self.raw, self.listener):
            if each:
                each.close()


@pytest.mark.parametrize("iterations", range(LOOP_ITERATIONS))
@pytest.mark.parametrize("auto_restart", [False, True])
async def test_after_an_address_change_the_whole_list_is_requested_whenever_an_answer_arrived(
    iterations: int, auto_restart: bool
) -> None:
    old, new = ScriptedDiscovery(), ScriptedDiscovery()
    watched = RecordingClient(old.address, auto_restart=auto_restart)
    async with anyio.create_task_group() as group:
        group.start_soon(watched.client.run)
        watched.client.start_watch()
        assert await old.call() == "/v1/servers?since=41&timeout_ms=200"
        old.answer(response(7000))
        for _ in range(iterations):
            await anyio.lowlevel.checkpoint()
        watched.client.set_address(new.address)
        # A request for changes since the old service's version would omit changes of the new service.
        assert await new.call() == "/v1/servers"
        new.answer(response(3, reset=True))
        assert await new.call() == "/v1/servers?since=3&timeout_ms=1000"
        assert [each.generation for each in watched.lists][-1] == 3 and watched.failures == 0
        group.cancel_scope.cancel()
    for service in (old, new):
        service.close()


@pytest.mark.parametrize("auto_restart", [False, True])
async def test_an_address_change_does_not_wait_for_the_backoff_after_a_failure(
    auto_restart: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(driver, "MIN_BACKOFF_SECONDS", 1000.0)
    monkeypatch.setattr(driver, "MAX_BACKOFF_SECONDS", 1000.0)
    new = ScriptedDiscovery()
    watched = RecordingClient(Address("127.0.0.1", free_port()), auto_restart=auto_restart)
    async with anyio.create_task_group() as group:
        group.start_soon(watched.client.run)
        watched.client.start_watch()
        await watched.until(lambda: watched.failures == 1)
        await anyio.wait_all_tasks_blocked()  # it backs off, or waits for the order to start
        watched.client.set_address(new.address)
        assert await new.call() == "/v1/servers"
        group.cancel_scope.cancel()
    new.close()


async def test_a_watch_that_stops_answering_is_reopened_without_a_failure(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(driver, "RESPONSE_GRACE_SECONDS", 0.05)

    async def answer(stream: ByteStream, count: int) -> bool:
        if count == 2:
            await anyio.sleep_forever()  # no answer, and no sign of a failure
        await stream.send(response(41 + count))
        return count < 4 or await anyio.sleep_forever() is None

    service = Service(answer)
    async with tcp_server(service) as address, anyio.create_task_group() as group:
        watched = RecordingClient(address)
        group.start_soon(watched.client.run)
        watched.client.start_watch()
        await watched.until(lambda: len(watched.lists) == 2)
        assert service.connections == 2 and watched.failures == 0
        assert service.targets[1] == "/v1/servers?since=42&timeout_ms=1000"
        assert service.targets[2] == "/v1/servers?since=42&timeout_ms=200"  # a short wait
        group.cancel_scope.cancel()


async def test_a_first_call_without_an_answer_is_repeated_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(driver, "RESPONSE_GRACE_SECONDS", 0.05)

    async def answer(stream: ByteStream, count: int) -> bool:
        if count == 1:
            await anyio.sleep_forever()
        await stream.send(response(41 + count))
        return await anyio.sleep_forever() is None

    service = Service(answer)
    async with tcp_server(service) as address, anyio.create_task_group() as group:
        watched = RecordingClient(address)
        group.start_soon(watched.client.run)
        watched.client.start_watch()
        # If the silence counted as a failure, the next call would wait until it is due. Before that time the
        # agent already counts as notified of the changes that it has missed.
        await watched.until(lambda: watched.lists)
        assert service.connections == 2 and watched.failures == 0
        group.cancel_scope.cancel()


@pytest.mark.parametrize("ask_within", [500_000, 2_000_000, 10_000_000, 60_000_000])
async def test_a_silent_watch_is_reopened_a_second_before_the_agent_counts_as_notified(
    ask_within: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The agent counts as notified of missed changes 6 s after the watch became silent, or 2 s after the end
    # of the watch's wait if that is later.
    waits: list[float] = []
    move_on_after = anyio.move_on_after

    def record_wait(delay: float | None, shield: bool = False) -> anyio.CancelScope:
        waits.append(delay or 0.0)
        return move_on_after(0 if len(waits) == 1 else delay, shield=shield)

    async def silent(_: ByteStream, __: int) -> bool:
        await anyio.sleep_forever()
        return False

    service = Service(silent)
    async with tcp_server(service) as address, anyio.create_task_group() as group:
        watched = RecordingClient(address, ask_within)
        group.start_soon(watched.client.run)
        monkeypatch.setattr(driver.anyio, "move_on_after", record_wait)
        watched.client.start_watch()
        with anyio.fail_after(TEST_TIMEOUT_SECONDS):
            await wait_until(lambda: len(waits) == 2)
        monkeypatch.undo()
        wait = watched.client._wait_seconds
        # The first call of a connection may be queued at a crowded service for up to FIRST_CALL_SECONDS.
        expected = max(wait + driver.RESPONSE_GRACE_SECONDS, driver.FIRST_CALL_SECONDS)
        assert waits == [expected] * 2 and watched.failures == 0
        assert waits[0] + 1.0 <= max(6.0, wait + 2.0)
        group.cancel_scope.cancel()


async def test_an_indented_list_that_arrives_byte_by_byte_is_read() -> None:
    body = b'{\n  "generation": 42,\n  "reset": true,\n  "instances": [\n  ]\n}\n'
    data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    async def answer(stream: ByteStream, count: int) -> bool:
        for size in range(0, len(data)):
            await stream.send(data[size : size + 1])
        return await anyio.sleep_forever() is None

    async with tcp_server(Service(answer)) as address, anyio.create_task_group() as group:
        watched = RecordingClient(address)
        group.start_soon(watched.client.run)
        watched.client.start_watch()
        await watched.until(lambda: bool(watched.lists))
        assert watched.lists[0].generation == 42 and watched.lists[0].reset
        group.cancel_scope.cancel()


async def test_of_two_successive_address_changes_the_last_takes_effect() -> None:
    first, second, third = ScriptedDiscovery(), ScriptedDiscovery(), ScriptedDiscovery()
    watched = RecordingClient(first.address)
    async with anyio.create_task_group() as group:
        group.start_soon(watched.client.run)
        watched.client.start_watch()
        await first.call()
        watched.client.set_address(second.address)
        watched.client.set_address(third.address)
        assert await third.call() == "/v1/servers"
        assert second.raw is None and watched.failures == 0
        group.cancel_scope.cancel()
    for service in (first, second, third):
        service.close()


async def test_closing_a_stream_raises_an_error_in_a_pending_read() -> None:
    left, right = socket.socketpair()
    stream = Stream.__new__(Stream)
    left.setblocking(False)
    stream._raw = left
    ended = anyio.Event()

    async def read() -> None:
        with pytest.raises(anyio.ClosedResourceError):
            await stream.receive()
        ended.set()

    async with anyio.create_task_group() as group:
        group.start_soon(read)
        await anyio.wait_all_tasks_blocked()
        stream.close()
        with anyio.fail_after(TEST_TIMEOUT_SECONDS):
            await ended.wait()
    right.close()
