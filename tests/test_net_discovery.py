"""Tests of the discovery client against a stand-in: complete lists, changes, gaps, failures, silence."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

import anyio
import msgspec
import pytest
from anyio.abc import ByteStream

from frostfall.config import Address
from frostfall.interface import WatchInterruption
from frostfall.net import discovery
from frostfall.net.discovery import DiscoveryClient
from frostfall.protocol.discovery import EndpointListUpdate
from tests.standins import TEST_TIMEOUT_SECONDS, free_port, tcp_server
from tests.test_net_client_connections import wait_until

pytestmark = pytest.mark.anyio
Answer = Callable[[ByteStream, int], Awaitable[bool]]


def response(generation: int, reset: bool = False, status: str = "200 OK", extra_headers: str = "") -> bytes:
    body = msgspec.json.encode({"generation": generation, "reset": reset, "instances": []})
    return f"HTTP/1.1 {status}\r\n{extra_headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Service:
    """Answers each call with a function of its number; records the target and time of each call."""

    def __init__(self, answer: Answer) -> None:
        self.answer, self.targets = answer, list[str]()
        self.times, self.answered = list[float](), list[float]()
        self.connections = 0

    async def __call__(self, stream: ByteStream) -> None:
        self.connections += 1
        data = b""
        while True:
            data += await stream.receive()
            while b"\r\n\r\n" in data:
                head, _, data = data.partition(b"\r\n\r\n")
                self.times.append(time.monotonic())
                self.targets.append(head.split()[1].decode())
                if not await self.answer(stream, len(self.targets)):
                    return
                self.answered.append(time.monotonic())


class RecordingClient:
    """A discovery client that records its callbacks."""

    def __init__(
        self, address: Address, watch_renewal_period: int = 2_000_000, auto_restart: bool = False
    ) -> None:
        self.lists, self.failures, self.changed = list[EndpointListUpdate](), 0, anyio.Event()
        self.client = DiscoveryClient(
            address, 41, watch_renewal_period, self._record_list, self._record_failure, auto_restart
        )

    def _record_list(self, update: EndpointListUpdate) -> None:
        self.lists.append(update)
        self.changed.set()

    def _record_failure(self) -> None:
        self.failures += 1
        self.changed.set()

    async def until(self, done: Callable[[], bool]) -> None:
        with anyio.fail_after(TEST_TIMEOUT_SECONDS):
            while not done():
                self.changed = anyio.Event()
                await self.changed.wait()


async def test_no_connection_is_opened_before_the_watch_starts() -> None:
    async def answer(_: ByteStream, __: int) -> bool:
        return False

    service = Service(answer)
    async with tcp_server(service) as address, anyio.create_task_group() as group:
        group.start_soon(RecordingClient(address).client.run)
        await anyio.wait_all_tasks_blocked()
        assert service.connections == 0
        group.cancel_scope.cancel()


@pytest.mark.parametrize("extra_headers", ["", "Connection: close\r\n"])
async def test_a_watch_continues_from_each_generation_without_a_gap(extra_headers: str) -> None:
    async def answer(stream: ByteStream, count: int) -> bool:
        if count > 4:
            await anyio.sleep_forever()
        await stream.send(response(41 + count, reset=count == 1, extra_headers=extra_headers))
        return not extra_headers

    service = Service(answer)
    async with tcp_server(service) as address, anyio.create_task_group() as group:
        recording = RecordingClient(address)
        group.start_soon(recording.client.run)
        recording.client.start_watch()
        recording.client.start_watch()
        await recording.until(lambda: len(recording.lists) == 4)
        assert [each.generation for each in recording.lists] == [42, 43, 44, 45]
        assert recording.lists[0].reset and not recording.lists[1].reset
        assert service.targets[0] == "/v1/servers?since=41&timeout_ms=200"  # an early answer is required
        assert service.targets[1:4] == [f"/v1/servers?since={n}&timeout_ms=1000" for n in (42, 43, 44)]
        if not extra_headers:
            gaps = [then - before for before, then in zip(service.answered, service.times[1:])]
            assert max(gaps) < 0.2 and service.connections == 1
        assert recording.failures == 0
        group.cancel_scope.cancel()


async def test_each_failure_is_reported_once_and_the_next_watch_starts_on_request() -> None:
    async def busy(stream: ByteStream, _: int) -> bool:
        await stream.send(response(0, status="503 Service Unavailable"))
        return True

    async def broken(_: ByteStream, __: int) -> bool:
        return False

    async def garbage(stream: ByteStream, _: int) -> bool:
        await stream.send(b"what?\r\n\r\n")
        return True

    for answer in (busy, broken, garbage):
        service = Service(answer)
        async with tcp_server(service) as address, anyio.create_task_group() as group:
            recording = RecordingClient(address)
            group.start_soon(recording.client.run)
            for count in (1, 2):
                recording.client.start_watch()
                await recording.until(lambda: recording.failures == count)  # noqa: B023
                await anyio.wait_all_tasks_blocked()
                assert len(service.targets) == count, answer.__name__
            assert not recording.lists
            group.cancel_scope.cancel()


async def test_a_silent_call_is_repeated_soon_after_its_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    async def silent(_: ByteStream, __: int) -> bool:
        await anyio.sleep_forever()
        return False

    monkeypatch.setattr(discovery, "RESPONSE_GRACE_SECONDS", 0.1)
    monkeypatch.setattr(discovery, "FIRST_CALL_SECONDS", 0.1)
    service = Service(silent)
    async with tcp_server(service) as address, anyio.create_task_group() as group:
        recording = RecordingClient(address)
        group.start_soon(recording.client.run)
        recording.client.start_watch()
        started_at = anyio.current_time()
        with anyio.fail_after(TEST_TIMEOUT_SECONDS):
            await wait_until(lambda: service.connections == 2)  # the same call is repeated immediately
        assert 1.0 < anyio.current_time() - started_at < 2.0 and recording.failures == 0
        group.cancel_scope.cancel()


async def test_with_auto_restart_the_watch_starts_and_restarts_automatically(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def answer(stream: ByteStream, count: int) -> bool:
        await stream.send(response(41 + count))
        return count % 2 == 0  # every second call is the last on its connection

    monkeypatch.setattr(discovery, "MIN_BACKOFF_SECONDS", 0.01)
    service = Service(answer)
    async with tcp_server(service) as address, anyio.create_task_group() as group:
        recording = RecordingClient(address, auto_restart=True)
        group.start_soon(recording.client.run)
        await recording.until(lambda: recording.failures >= 2)
        assert len(recording.lists) >= 2
        group.cancel_scope.cancel()


async def test_a_refused_connection_is_reported_as_a_failure() -> None:
    async with anyio.create_task_group() as group:
        recording = RecordingClient(Address("127.0.0.1", free_port()))
        group.start_soon(recording.client.run)
        recording.client.start_watch()
        await recording.until(lambda: recording.failures == 1)
        group.cancel_scope.cancel()


async def test_the_time_of_an_answer_is_passed_on_before_its_endpoint_list() -> None:
    events: list[object] = []

    async def answer(stream: ByteStream, call: int) -> bool:
        await stream.send(response(42, reset=True, extra_headers="Date: Thu, 03 Dec 2026 06:10:00 GMT\r\n"))
        return False

    async with tcp_server(Service(answer)) as address, anyio.create_task_group() as tasks:
        client = DiscoveryClient(
            address,
            None,
            2_000_000,
            on_endpoint_list=lambda update: events.append(update.generation),
            on_failure=lambda: None,
            on_time=events.append,
        )
        tasks.start_soon(client.run)
        client.start_watch()
        await wait_until(lambda: len(events) >= 2)
        tasks.cancel_scope.cancel()
    assert events[:2] == [1_796_278_200_000_000, 42]


async def test_the_first_call_is_answered_soon_without_a_change() -> None:
    """The first call confirms the configured endpoint list of a new process within a second.

    Guards against a first call that waits for a change as long as any other call, up to four seconds with a
    long renewal period. Until its answer the agent assumed an outage and polled two peers in each gossip
    slot: 19 datagrams per second and agent over a day without any discovery outage.
    """

    async def answer(stream: ByteStream, count: int) -> bool:
        wait = int(service.targets[-1].rpartition("=")[2]) / 1000
        await anyio.sleep(wait)
        await stream.send(response(41))
        return True

    service = Service(answer)
    async with tcp_server(service) as address, anyio.create_task_group() as group:
        recording = RecordingClient(address, watch_renewal_period=8_000_000)
        group.start_soon(recording.client.run)
        started_at = time.monotonic()
        recording.client.start_watch()
        await recording.until(lambda: len(recording.lists) == 1)
        assert time.monotonic() - started_at < 1.0
        await recording.until(lambda: len(service.targets) == 2)
        assert service.targets[1] == "/v1/servers?since=41&timeout_ms=4000"
        group.cancel_scope.cancel()


async def test_an_answer_received_before_a_pause_of_the_process_is_discarded() -> None:
    """A pause of the process is detected only after an answer from before the pause was read.

    Guards against a call answered "nothing has changed" just before the pause: after the pause this answer
    ended the wait for a new one (logged as "catching_up", then "held" with the same generation 0.3 ms later),
    and requests went to servers drained during the pause, in 6 of 24 runs of test_paused_process under load.
    """

    async def answer(stream: ByteStream, count: int) -> bool:
        await stream.send(response(41 + count, reset=True))
        return count < 2

    def detect_pause() -> None:
        nonlocal check_count
        check_count += 1
        if check_count == 1:
            client.confirm()

    check_count, lists, service = 0, list[EndpointListUpdate](), Service(answer)
    async with tcp_server(service) as address, anyio.create_task_group() as tasks:
        client = DiscoveryClient(
            address,
            41,
            8_000_000,
            on_endpoint_list=lists.append,
            on_failure=lambda: None,
            before_answer=detect_pause,
        )
        tasks.start_soon(client.run)
        client.start_watch()
        await wait_until(lambda: bool(lists))
        tasks.cancel_scope.cancel()
    assert service.targets[:2] == ["/v1/servers?since=41&timeout_ms=200"] * 2
    assert lists[0].generation == 43


async def test_a_pause_detected_while_an_answer_is_processed_is_reported_after_the_answer() -> None:
    """The process is paused while an answer is passed on, and only the answer's event reveals the pause."""

    async def answer(stream: ByteStream, count: int) -> bool:
        await stream.send(response(41 + count, reset=True))
        return count < 2

    def record_list(update: EndpointListUpdate) -> None:
        if not events:
            client.confirm()
        events.append(update.generation)

    events, service = list[object](), Service(answer)
    async with tcp_server(service) as address, anyio.create_task_group() as tasks:
        client = DiscoveryClient(
            address,
            41,
            8_000_000,
            on_endpoint_list=record_list,
            on_failure=lambda: None,
            on_interruption=events.append,
        )
        tasks.start_soon(client.run)
        client.start_watch()
        await wait_until(lambda: 43 in events)
        tasks.cancel_scope.cancel()
    assert events[:4] == [WatchInterruption.PAUSED, 42, WatchInterruption.PAUSED, 43]
    assert service.targets[1] == "/v1/servers?since=42&timeout_ms=200"
