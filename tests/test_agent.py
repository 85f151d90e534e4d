"""A whole agent between stand-ins, as clients see it."""

from __future__ import annotations

import os
import re
import signal
import socket
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import IO, Any

import anyio
import msgspec
import pytest
from anyio.abc import ByteStream

from frostfall import config
from frostfall import interface as api
from frostfall.net.agent import Agent
from frostfall.net.client_acceptor import MAX_OVERFLOW_CONNECTIONS
from frostfall.net.upstream_pool import REUSE_DELAY_MICROS
from frostfall.protocol import pg
from tests.standins import (
    CLOSED,
    LONG,
    Appliance,
    Client,
    configured,
    free_port,
    instance,
    listening,
    read,
    write,
)
from tests.test_config import EXAMPLE

pytestmark = pytest.mark.anyio


@asynccontextmanager
async def serving(told: config.Config) -> AsyncIterator[Agent]:
    """Run an agent for as long as the block lasts."""
    agent, ready = Agent(told), anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(agent.run, ready.set)
        with anyio.fail_after(LONG):
            await ready.wait()
            yield agent
        group.cancel_scope.cancel()


def code(answer: tuple[bytes, bytes]) -> str:
    assert answer[0] == b"E"
    return pg.error_fields(answer[1])["C"]


async def test_served_on_a_kept_connection_with_values_byte_for_byte() -> None:
    value = bytes(range(256)) * 256
    appliance = Appliance(value=value)
    async with listening(appliance) as address, serving(configured(instance("s-1", address))) as agent:
        client = await Client.connect(agent.config.listen)
        assert (await client.ask(b""))[0] == b"I"
        for name in ("a1", "a2"):
            kind, payload = await client.ask(read(name))
            assert kind == b"D" and payload[6:] == value
            await anyio.sleep(2 * REUSE_DELAY_MICROS / 1e6)
        assert (await client.ask(write("a3", value=b"ab" * 65_536)))[0] == b"D"
        assert len(appliance.statements) == 3 and appliance.connections == 1
        got = appliance.statements[0]
        assert got.startswith(b"SELECT payload FROM entries WHERE ref = 'k1' /* id=a1,c=read,d=")
        assert 0 < int(got.partition(b",d=")[2].split()[0]) <= 1000
        assert not agent.requests


async def test_byte_by_byte_and_all_in_one_segment() -> None:
    async with listening(Appliance()) as address, serving(configured(instance("s-1", address))) as agent:
        data = pg.startup(user="web", database="orders") + pg.frame(b"Q", read("b1") + b"\0")
        for size in (1, len(data)):
            stream = await anyio.connect_tcp("127.0.0.1", agent.config.listen.port)
            for start in range(0, len(data), size):
                await stream.send(data[start : start + size])
            client = Client(stream)
            assert (await client.answer())[0] == b""  # the welcome
            assert (await client.answer())[0] == b"D"


async def test_a_fault_in_a_decision_ends_no_timer(monkeypatch: pytest.MonkeyPatch) -> None:
    async with listening(Appliance()) as address, serving(configured(instance("s-1", address))) as agent:
        ticks: list[int] = []

        def broken(last: int, unpaired: bool) -> None:
            ticks.append(last)
            raise KeyError("a fault")

        monkeypatch.setattr(agent.engine.shared_health.push_sum, "end_exchange", broken)
        await anyio.sleep(0.45)
        # Danger: the tick that failed was the last one, and the agent never exchanged or voted again.
        assert len(ticks) >= 3
        client = await Client.connect(agent.config.listen)
        assert (await client.ask(read("t1")))[0] == b"D"


async def test_queries_sent_ahead_are_answered_in_order() -> None:
    async with listening(Appliance()) as address, serving(configured(instance("s-1", address))) as agent:
        client = await Client.connect(agent.config.listen)
        await client.stream.send(
            b"".join(
                pg.frame(b"Q", text + b"\0")
                for text in (read("c1"), b"", *(read(f"c{number}") for number in range(2, 200)))
            )
        )
        kinds = [(await client.answer())[0] for _ in range(200)]
        assert kinds == [b"D", b"I"] + [b"D"] * 198


async def test_failed_and_refused() -> None:
    appliance = Appliance("XX000")
    async with listening(appliance) as address, serving(configured(instance("s-1", address))) as agent:
        client = await Client.connect(agent.config.listen)
        assert code(await client.ask(write("d1"))) not in ("53300", "57P03")
        assert len(appliance.statements) == 1  # it may have run, so that it is not sent again
        assert code(await client.ask(read("d2"))) == "53300"


async def test_a_write_is_sent_again_only_where_it_never_ran() -> None:
    full, sound = Appliance("53300"), Appliance()
    async with (
        listening(full) as one,
        listening(sound) as two,
        serving(configured(instance("s-1", one), instance("s-2", two))) as agent,
    ):
        client = await Client.connect(agent.config.listen)
        for number in range(8):
            assert (await client.ask(write(f"e{number}", 2000)))[0] == b"D"
        assert len(sound.statements) == 8


async def test_the_answer_comes_by_the_deadline_and_the_attempt_is_given_up() -> None:
    appliance = Appliance("silent")
    async with listening(appliance) as address, serving(configured(instance("s-1", address))) as agent:
        client = await Client.connect(agent.config.listen)
        began = time.monotonic()
        assert code(await client.ask(write("f1", 300))) not in ("53300", "57P03")
        assert 0.2 < time.monotonic() - began < 0.37
        with anyio.fail_after(LONG):
            await appliance.ended.wait()


async def test_a_client_that_leaves_is_told_to_the_module_and_nothing_leaks() -> None:
    appliance = Appliance("silent")
    async with listening(appliance) as address, serving(configured(instance("s-1", address))) as agent:
        told: list[api.Event] = []
        handle = agent.engine.handle

        def spy(now: int, event: api.Event) -> list[api.Action]:
            told.append(event)
            return handle(now, event)

        agent.engine.handle = spy  # type: ignore[method-assign]
        client = await Client.connect(agent.config.listen)
        await client.write(read("g1", 400))
        await appliance.asked.wait()
        await client.stream.aclose()
        with anyio.fail_after(LONG):
            while agent.requests or len(agent.upstream_pool) or len(agent.clients):
                await anyio.sleep(0.01)
        assert api.ClientDisconnected("g1") in told


@pytest.mark.parametrize(
    "text",
    [
        b"SELECT 1",
        read("h1", kind="nothing"),
        read("h1").replace(b"d=1000", b"d=x"),
        read("h1").replace(b"id=h1,", b""),
    ],
)
async def test_a_malformed_statement_gets_08P01_and_others_go_on(text: bytes) -> None:
    appliance = Appliance()
    async with listening(appliance) as address, serving(configured(instance("s-1", address))) as agent:
        client, other = [await Client.connect(agent.config.listen) for _ in range(2)]
        await client.write(text)
        kind, payload = await client.reader.message()
        assert (kind, pg.error_fields(payload)["C"]) == (b"E", "08P01")
        with pytest.raises(CLOSED):
            await client.reader.message()
        assert appliance.statements == []
        assert (await other.ask(read("h2")))[0] == b"D"


async def test_bytes_that_are_no_protocol_end_their_own_connection() -> None:
    async with listening(Appliance()) as address, serving(configured(instance("s-1", address))) as agent:
        other = await Client.connect(agent.config.listen)
        for data in (b"GET / HTTP/1.1\r\n\r\n", os.urandom(5000), b"\0\0\0\x08\x04\xd2\x16\x2f"):
            stream = await anyio.connect_tcp("127.0.0.1", agent.config.listen.port)
            await stream.send(data)
            if data.startswith(b"\0"):
                assert await stream.receive(1) == b"N"
                await stream.aclose()
            else:
                with pytest.raises(CLOSED):
                    while True:
                        await stream.receive()
        assert (await other.ask(read("i1")))[0] == b"D"


async def test_an_exception_in_one_connection_leaves_the_rest_at_work() -> None:
    async with listening(Appliance()) as address, serving(configured(instance("s-1", address))) as agent:
        client, other = [await Client.connect(agent.config.listen) for _ in range(2)]
        take = agent.requests.handle_query

        def faulty(one: Any, text: bytes) -> str | None:
            if b"id=j1" in text:
                raise RuntimeError("a fault")
            return take(one, text)

        agent.requests.handle_query = faulty  # type: ignore[method-assign]
        await client.write(read("j1"))
        # Danger: read and closed without an answer, the request would be lost.
        assert code(await client.answer()) not in ("53300", "57P03")
        with pytest.raises(CLOSED):
            await client.reader.message()
        assert (await other.ask(read("j2")))[0] == b"D"


async def test_a_fault_in_a_decision_still_answers_the_request() -> None:
    async with listening(Appliance()) as address, serving(configured(instance("s-1", address))) as agent:
        handle = agent.engine.handle

        def faulty(now: int, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.RequestArrived) and event.request == "k1":
                raise AssertionError("a fault")
            return handle(now, event)

        agent.engine.handle = faulty  # type: ignore[method-assign]
        client = await Client.connect(agent.config.listen)
        assert code(await client.ask(read("k1"))) not in ("53300", "57P03")
        assert (await client.ask(read("k2")))[0] == b"D"


async def test_an_id_may_return_at_another_address_and_with_another_build() -> None:
    old, new = Appliance(value=b"old"), Appliance(value=b"new")
    first = {"generation": 42, "reset": False}
    async with listening(old) as one, listening(new) as two:
        change = msgspec.json.encode(first | {"instances": [instance("s-1", two, build=41)]})

        async def discovery(stream: ByteStream) -> None:
            await stream.receive()
            await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(change), change))
            await anyio.sleep_forever()

        async with (
            listening(discovery) as service,
            serving(configured(instance("s-1", one), discovery=str(service))) as agent,
        ):
            client = await Client.connect(agent.config.listen)
            values: list[bytes] = []
            while not values or values[-1] != b"new":
                values.append((await client.ask(read(f"l{len(values)}")))[1][6:])
            assert set(values) <= {b"old", b"new"}


async def test_an_address_that_is_none_is_never_looked_up() -> None:
    async with listening(Appliance()) as address:
        odd = instance("s-2", address) | {"hostPort": "somewhere.invalid:5432"}
        async with serving(configured(instance("s-1", address), odd)) as agent:
            client = await Client.connect(agent.config.listen)
            kinds = [(await client.ask(write(f"p{number}", 2000)))[0] for number in range(6)]
            assert kinds == [b"D"] * 6 and len(agent.endpoints) == 1


async def test_connections_are_bounded_and_no_request_is_lost_to_the_bound() -> None:
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 64}  # 32 to share, 16 for clients
    async with (
        listening(Appliance()) as address,
        serving(configured(instance("s-1", address), limits=limits)) as agent,
    ):
        most, served = list[int](), list[str]()

        async def ask(number: int) -> None:
            client: Client | None = None
            for turn in range(4):
                await anyio.sleep(0)
                while True:
                    try:
                        client = client or await Client.connect(agent.config.listen)
                        answer = await client.ask(read(f"m{number}-{turn}", 5000))
                        break
                    except CLOSED:  # between requests, or before it has brought a query
                        client = None
                most.append(len(agent.clients) + len(agent.upstream_pool))
                served.append(answer[0].decode())

        async with anyio.create_task_group() as group:
            for number in range(60):
                group.start_soon(ask, number)
        assert len(served) == 240 and set(served) <= {"D", "E"} and served.count("D") > 20
        assert 16 <= max(most) <= 32 + MAX_OVERFLOW_CONNECTIONS


async def test_with_no_room_left_a_query_is_refused_at_once_and_never_sent() -> None:
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 64}
    appliance = Appliance("silent")
    async with (
        listening(appliance) as address,
        serving(configured(instance("s-1", address), limits=limits)) as agent,
    ):
        busy = []
        agent.engine.handle = lambda *_: []  # type: ignore[method-assign]  # all that is taken waits
        for number in range(16):
            busy.append(await Client.connect(agent.config.listen))
            await busy[-1].write(write(f"t{number}", 2000))
        while len(agent.requests) < 16:
            await anyio.sleep(0.01)
        began = time.monotonic()
        late = await Client.connect(agent.config.listen)
        assert code(await late.ask(write("t99", 2000))) == "53300"
        assert time.monotonic() - began < 0.5
        with pytest.raises(CLOSED):
            await late.reader.message()
        assert not any(b"id=t99," in text for text in appliance.statements)


async def test_stopping_answers_what_was_taken_and_takes_no_more() -> None:
    appliance = Appliance("silent")
    async with listening(appliance) as address:
        told = configured(instance("s-1", address))
        agent, ready = Agent(told), anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(agent.run, ready.set)
            with anyio.fail_after(LONG):
                await ready.wait()
                busy, idle = [await Client.connect(told.listen) for _ in range(2)]
                await idle.ask(b"")
                await busy.write(write("n1", 1500))
                await appliance.asked.wait()
                agent.stop()
                with pytest.raises(CLOSED):
                    await idle.reader.message()
                late = await Client.connect(told.listen)  # new connections still come for a while
                assert (await late.ask(b""))[0] == b"I"
                assert code(await busy.answer()) not in ("53300", "57P03")
                with pytest.raises(CLOSED):
                    await busy.reader.message()
    with socket.socket() as probe:
        assert probe.connect_ex(("127.0.0.1", told.listen.port)) != 0


async def next_line(log: IO[bytes]) -> bytes:
    """The log's next whole line."""
    line = b""
    while not line.endswith(b"\n"):
        line += log.readline()
        await anyio.sleep(0.01)
    return line


@asynccontextmanager
async def program(
    told: config.Config, path: Path, *known: dict[str, Any], log: Path | None = None, **more: str
) -> AsyncIterator[subprocess.Popen[bytes]]:
    """The program itself, listening; its log goes to a file, if one is named."""
    example = EXAMPLE | {
        "listen": str(told.listen),
        "discovery": str(told.discovery),
        "peers": [],
        "peer_listen": "",
    }
    example["known"] = {"generation": 1, "reset": True, "instances": list(known)}
    example["settings"] = example["settings"] | {"nInstances": 1}
    example["release_api"] = example["release_api"] | {"address": str(told.rollout_api)}
    path.write_bytes(msgspec.json.encode(example))
    log = log or path.with_suffix(".log")
    with log.open("wb") as sink, log.open("rb") as source:
        process = subprocess.Popen(
            [sys.executable, "-m", "frostfall"],
            stderr=sink,
            env={**os.environ, "BALANCER_CONFIG": str(path), **more},
        )
        process.stderr = source  # type: ignore[assignment]
        try:
            await until(lambda: b"listening" in log.read_bytes())
            first = await next_line(source)
            assert msgspec.json.decode(first)["event"] == "listening"
            yield process
        finally:
            process.kill()
            process.wait()


async def test_the_program_ends_with_zero_after_sigterm(tmp_path: Path) -> None:
    async with listening(Appliance()) as address:
        known = instance("s-1", address)
        told = configured(known)
        async with program(told, tmp_path / "config.json", known) as process:
            client = await Client.connect(told.listen)
            assert (await client.ask(read("o1")))[0] == b"D"
            process.send_signal(signal.SIGTERM)
            with pytest.raises(CLOSED):
                await client.reader.message()
            assert await anyio.to_thread.run_sync(lambda: process.wait(LONG)) == 0
            assert process.stderr is not None
            assert b"Traceback" not in process.stderr.read()


async def test_an_address_in_use_is_one_plain_line(tmp_path: Path) -> None:
    async with listening(Appliance()) as taken:
        path = tmp_path / "config.json"
        path.write_bytes(msgspec.json.encode(EXAMPLE | {"listen": str(taken)}))
        done = await anyio.run_process(
            [sys.executable, "-m", "frostfall"], check=False, env={**os.environ, "BALANCER_CONFIG": str(path)}
        )
        assert done.returncode == 1
        assert done.stderr.startswith(b"frostfall: listen: ") and done.stderr.count(b"\n") == 1


async def test_killed_outright_it_comes_back_under_its_address(tmp_path: Path) -> None:
    async with listening(Appliance()) as address:
        known = instance("s-1", address)
        told = configured(known)
        for number in range(2):
            async with program(told, tmp_path / "config.json", known) as process:
                client = await Client.connect(told.listen)
                assert (await client.ask(read(f"q{number}")))[0] == b"D"
                process.kill()
                with pytest.raises(CLOSED):
                    await client.reader.message()


async def test_many_requests_among_faults_each_get_one_answer_and_nothing_leaks() -> None:
    modes = ("serve", "XX000", "53300", "reset", "half", "garbage", "silent", "mute", "crowded", "hang up")
    appliances = [Appliance(mode) for mode in modes]
    async with AsyncExitStack() as stack:
        addresses = [await stack.enter_async_context(listening(each)) for each in appliances]
        told = configured(*(instance(f"s-{n}", address) for n, address in enumerate(addresses)))
        agent = await stack.enter_async_context(serving(told))
        kinds: list[bytes] = []

        async def ask(number: int) -> None:
            client = await Client.connect(told.listen)
            for turn in range(10):
                text = (read, write)[turn % 2](f"r{number}-{turn}", 300)
                kinds.append((await client.ask(text))[0])
            await client.stream.aclose()

        async with anyio.create_task_group() as group:
            for number in range(15):
                group.start_soon(ask, number)
        assert len(kinds) == 150 and set(kinds) <= {b"D", b"E"} and b"D" in kinds
        with anyio.fail_after(LONG):
            admission = agent.engine.admission
            while agent.requests or agent.engine.requests or len(agent.clients) or admission.in_flight:
                await anyio.sleep(0.01)
        with anyio.fail_after(LONG):
            while len(agent.upstream_pool) > agent.upstream_pool.idle_count:
                await anyio.sleep(0.01)
        ran = [
            re.search(rb"id=([^,]+),c=order", text)
            for each in appliances
            if each.mode not in ("53300",)
            for text in each.statements
        ]
        names = [match[1] for match in ran if match]
        assert len(names) == len(set(names))  # what must never run twice went out once, but for refusals


@asynccontextmanager
async def control(news: list[str], lists: list[bytes], entry: dict[str, Any]) -> AsyncIterator[list[Any]]:
    """A platform and a discovery that note what reaches them."""

    async def platform(stream: ByteStream) -> None:
        news.append(str(await stream.receive()))
        await stream.send(b'{"jsonrpc":"2.0","id":1,"result":true}\n')
        await anyio.sleep_forever()

    async def discovery(stream: ByteStream) -> None:
        while True:
            lists.append(await stream.receive())
            if b"since" in lists[-1]:
                await anyio.sleep_forever()
            body = msgspec.json.encode({"generation": 7, "reset": True, "instances": [entry]})
            await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    async with listening(platform) as rpc, listening(discovery) as http:
        yield [rpc, http]


async def until(condition: Any) -> None:
    with anyio.fail_after(LONG):
        while not condition():
            await anyio.sleep(0.01)


async def test_a_reload_moves_to_the_new_addresses_and_asks_anew_while_requests_go_on() -> None:
    calls: list[tuple[list[str], list[bytes]]] = [([], []), ([], []), ([], [])]
    old, new = Appliance(value=b"old"), Appliance(value=b"new")
    async with AsyncExitStack() as stack:
        first, second = [await stack.enter_async_context(listening(each)) for each in (old, new)]
        places = [
            await stack.enter_async_context(control(*call, instance("s-1", target)))
            for call, target in zip(calls, (first, first, second))
        ]
        told = configured(
            instance("s-1", first), discovery=str(places[0][1]), release_api={"address": str(places[0][0])}
        )
        agent = await stack.enter_async_context(serving(told))
        client = await Client.connect(told.listen)
        await until(lambda: calls[0][0])
        for number in (1, 2):  # more than once
            moved = configured(
                instance("s-1", first),
                discovery=str(places[number][1]),
                release_api={"address": str(places[number][0])},
            )
            agent.reload(moved)
            assert (await client.ask(read(f"q{number}")))[0] == b"D"
            await until(lambda at=number: calls[at][0] and calls[at][1])
            assert b"since" not in calls[number][1][0]
        assert (await client.ask(read("q9")))[1].endswith(b"new")


async def test_a_vote_under_way_at_a_reload_ends_as_unknown() -> None:
    agent, ended = Agent(configured()), []
    assert agent.rollout_client
    agent.rollout_client._on_state = ended.append
    asked = anyio.Event()

    async def platform(stream: ByteStream) -> None:
        while True:
            if b"verdict" in await stream.receive():
                asked.set()

    async with listening(platform) as address, anyio.create_task_group() as group:
        agent.rollout_client.set_address(address)
        group.start_soon(agent.rollout_client.run)
        await until(lambda: agent.rollout_client._stream)
        agent.rollout_client.cast_vote(api.CastVote(42, 0, api.Verdict.ON))
        await asked.wait()
        agent.rollout_client.set_address(address)
        await until(lambda: ended)
        group.cancel_scope.cancel()
    assert ended[0].reply is api.VoteReply.UNKNOWN


async def test_sighup_reloads_and_a_file_that_cannot_be_used_is_one_logged_line(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    async with listening(Appliance()) as address:
        known = instance("s-1", address)
        told = configured(known)
        async with program(told, path, known) as process:
            assert process.stderr is not None
            good = msgspec.json.decode(path.read_bytes())

            async def logged(event: str) -> dict[str, Any]:
                process.send_signal(signal.SIGHUP)
                while True:
                    line = msgspec.json.decode(await next_line(process.stderr))
                    if line["event"] == event:
                        return line

            client = await Client.connect(told.listen)
            for text, key in (
                (b'{"settings":', "configuration"),
                (None, "BALANCER_CONFIG"),
                (msgspec.json.encode(good | {"discovery": "nowhere"}), "discovery"),
            ):
                path.unlink() if text is None else path.write_bytes(text)
                assert (await logged("reload refused"))["why"].startswith(key)
            moved = good | {"discovery": f"127.0.0.1:{free_port()}", "limits": {"sockets": 512}}
            path.write_bytes(msgspec.json.encode(moved))
            line = await logged("reloaded")
            assert (line["moved"], line["needs_restart"]) == (["discovery"], ["limits"])
            assert (await client.ask(read("q1")))[0] == b"D"
            process.send_signal(signal.SIGTERM)
            for _ in range(20):  # also in the middle of the end
                process.send_signal(signal.SIGHUP)
                await anyio.sleep(0.05)
            assert await anyio.to_thread.run_sync(lambda: process.wait(LONG)) == 0
