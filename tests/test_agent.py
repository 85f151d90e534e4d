"""Tests of a complete agent between stand-in clients, servers and services."""

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
    STREAM_ERRORS,
    TEST_TIMEOUT_SECONDS,
    Client,
    StandInServer,
    free_port,
    instance,
    make_config,
    read_statement,
    tcp_server,
    write_statement,
)
from tests.test_config import EXAMPLE

pytestmark = pytest.mark.anyio


@asynccontextmanager
async def serving(agent_config: config.Config) -> AsyncIterator[Agent]:
    """Run an agent for the duration of the context."""
    agent, ready = Agent(agent_config), anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(agent.run, ready.set)
        with anyio.fail_after(TEST_TIMEOUT_SECONDS):
            await ready.wait()
            yield agent
        group.cancel_scope.cancel()


def code(answer: tuple[bytes, bytes]) -> str:
    """Return the SQLSTATE of an error response."""
    assert answer[0] == b"E"
    return pg.error_fields(answer[1])["C"]


async def test_requests_share_a_server_connection_and_values_are_unchanged() -> None:
    value = bytes(range(256)) * 256
    appliance = StandInServer(value=value)
    async with tcp_server(appliance) as address, serving(make_config(instance("s-1", address))) as agent:
        client = await Client.connect(agent.config.listen)
        assert (await client.query(b""))[0] == b"I"
        for name in ("a1", "a2"):
            kind, payload = await client.query(read_statement(name))
            assert kind == b"D" and payload[6:] == value
            await anyio.sleep(2 * REUSE_DELAY_MICROS / 1e6)
        assert (await client.query(write_statement("a3", value=b"ab" * 65_536)))[0] == b"D"
        assert len(appliance.statements) == 3 and appliance.connections == 1
        sent = appliance.statements[0]
        assert sent.startswith(b"SELECT payload FROM entries WHERE ref = 'k1' /* id=a1,c=read,d=")
        assert 0 < int(sent.partition(b",d=")[2].split()[0]) <= 1000
        assert not agent.requests


async def test_a_query_may_arrive_byte_by_byte_or_in_one_segment() -> None:
    async with (
        tcp_server(StandInServer()) as address,
        serving(make_config(instance("s-1", address))) as agent,
    ):
        data = pg.startup(user="web", database="orders") + pg.frame(b"Q", read_statement("b1") + b"\0")
        for size in (1, len(data)):
            stream = await anyio.connect_tcp("127.0.0.1", agent.config.listen.port)
            for start in range(0, len(data), size):
                await stream.send(data[start : start + size])
            client = Client(stream)
            assert (await client.receive_answer())[0] == b""  # the end of the startup sequence
            assert (await client.receive_answer())[0] == b"D"


async def test_timers_continue_after_an_exception_in_the_engine(monkeypatch: pytest.MonkeyPatch) -> None:
    async with (
        tcp_server(StandInServer()) as address,
        serving(make_config(instance("s-1", address))) as agent,
    ):
        exchanges: list[int] = []

        def failing_exchange(last: int, unpaired: bool) -> None:
            exchanges.append(last)
            raise KeyError("a fault")

        monkeypatch.setattr(agent.engine.shared_health.push_sum, "end_exchange", failing_exchange)
        await anyio.sleep(0.45)
        # Guards against losing the exchange timer on an exception: the agent would stop gossip and voting.
        assert len(exchanges) >= 3
        client = await Client.connect(agent.config.listen)
        assert (await client.query(read_statement("t1")))[0] == b"D"


async def test_pipelined_queries_are_answered_in_order() -> None:
    async with (
        tcp_server(StandInServer()) as address,
        serving(make_config(instance("s-1", address))) as agent,
    ):
        client = await Client.connect(agent.config.listen)
        await client.stream.send(
            b"".join(
                pg.frame(b"Q", text + b"\0")
                for text in (
                    read_statement("c1"),
                    b"",
                    *(read_statement(f"c{number}") for number in range(2, 200)),
                )
            )
        )
        kinds = [(await client.receive_answer())[0] for _ in range(200)]
        assert kinds == [b"D", b"I"] + [b"D"] * 198


async def test_server_errors_fail_the_request_and_overload_rejects_it() -> None:
    appliance = StandInServer("XX000")
    async with tcp_server(appliance) as address, serving(make_config(instance("s-1", address))) as agent:
        client = await Client.connect(agent.config.listen)
        assert code(await client.query(write_statement("d1"))) not in ("53300", "57P03")
        assert len(appliance.statements) == 1  # the attempt may have run, so it is not retried
        assert code(await client.query(read_statement("d2"))) == "53300"


async def test_a_write_rejected_by_a_server_is_retried_on_another() -> None:
    full, healthy = StandInServer("53300"), StandInServer()
    async with (
        tcp_server(full) as one,
        tcp_server(healthy) as two,
        serving(make_config(instance("s-1", one), instance("s-2", two))) as agent,
    ):
        client = await Client.connect(agent.config.listen)
        for number in range(8):
            assert (await client.query(write_statement(f"e{number}", 2000)))[0] == b"D"
        assert len(healthy.statements) == 8


async def test_a_request_is_answered_by_its_deadline_and_its_attempt_cancelled() -> None:
    appliance = StandInServer("silent")
    async with tcp_server(appliance) as address, serving(make_config(instance("s-1", address))) as agent:
        client = await Client.connect(agent.config.listen)
        started_at = time.monotonic()
        assert code(await client.query(write_statement("f1", 300))) not in ("53300", "57P03")
        assert 0.2 < time.monotonic() - started_at < 0.37
        with anyio.fail_after(TEST_TIMEOUT_SECONDS):
            await appliance.connection_ended.wait()


async def test_a_client_disconnect_is_reported_to_the_engine_and_nothing_leaks() -> None:
    appliance = StandInServer("silent")
    async with tcp_server(appliance) as address, serving(make_config(instance("s-1", address))) as agent:
        events: list[api.Event] = []
        handle = agent.engine.handle

        def spy(now: int, event: api.Event) -> list[api.Action]:
            events.append(event)
            return handle(now, event)

        agent.engine.handle = spy  # type: ignore[method-assign]
        client = await Client.connect(agent.config.listen)
        await client.send_query(read_statement("g1", 400))
        await appliance.query_received.wait()
        await client.stream.aclose()
        with anyio.fail_after(TEST_TIMEOUT_SECONDS):
            while agent.requests or len(agent.upstream_pool) or len(agent.clients):
                await anyio.sleep(0.01)
        assert api.ClientDisconnected("g1") in events


@pytest.mark.parametrize(
    "text",
    [
        b"SELECT 1",
        read_statement("h1", request_class="nothing"),
        read_statement("h1").replace(b"d=1000", b"d=x"),
        read_statement("h1").replace(b"id=h1,", b""),
    ],
)
async def test_a_malformed_statement_gets_08P01_and_other_clients_are_served(text: bytes) -> None:
    appliance = StandInServer()
    async with tcp_server(appliance) as address, serving(make_config(instance("s-1", address))) as agent:
        client, other = [await Client.connect(agent.config.listen) for _ in range(2)]
        await client.send_query(text)
        kind, payload = await client.reader.message()
        assert (kind, pg.error_fields(payload)["C"]) == (b"E", "08P01")
        with pytest.raises(STREAM_ERRORS):
            await client.reader.message()
        assert appliance.statements == []
        assert (await other.query(read_statement("h2")))[0] == b"D"


async def test_invalid_protocol_data_closes_only_its_own_connection() -> None:
    async with (
        tcp_server(StandInServer()) as address,
        serving(make_config(instance("s-1", address))) as agent,
    ):
        other = await Client.connect(agent.config.listen)
        for data in (b"GET / HTTP/1.1\r\n\r\n", os.urandom(5000), b"\0\0\0\x08\x04\xd2\x16\x2f"):
            stream = await anyio.connect_tcp("127.0.0.1", agent.config.listen.port)
            await stream.send(data)
            if data.startswith(b"\0"):
                assert await stream.receive(1) == b"N"
                await stream.aclose()
            else:
                with pytest.raises(STREAM_ERRORS):
                    while True:
                        await stream.receive()
        assert (await other.query(read_statement("i1")))[0] == b"D"


async def test_an_exception_in_one_connection_does_not_affect_others() -> None:
    async with (
        tcp_server(StandInServer()) as address,
        serving(make_config(instance("s-1", address))) as agent,
    ):
        client, other = [await Client.connect(agent.config.listen) for _ in range(2)]
        handle_query = agent.requests.handle_query

        def faulty(connection: Any, text: bytes) -> str | None:
            if b"id=j1" in text:
                raise RuntimeError("a fault")
            return handle_query(connection, text)

        agent.requests.handle_query = faulty  # type: ignore[method-assign]
        await client.send_query(read_statement("j1"))
        # Guards against closing the connection after the query was read without answering it.
        assert code(await client.receive_answer()) not in ("53300", "57P03")
        with pytest.raises(STREAM_ERRORS):
            await client.reader.message()
        assert (await other.query(read_statement("j2")))[0] == b"D"


async def test_a_request_is_answered_after_an_exception_in_the_engine() -> None:
    async with (
        tcp_server(StandInServer()) as address,
        serving(make_config(instance("s-1", address))) as agent,
    ):
        handle = agent.engine.handle

        def faulty(now: int, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.RequestArrived) and event.request == "k1":
                raise AssertionError("a fault")
            return handle(now, event)

        agent.engine.handle = faulty  # type: ignore[method-assign]
        client = await Client.connect(agent.config.listen)
        assert code(await client.query(read_statement("k1"))) not in ("53300", "57P03")
        assert (await client.query(read_statement("k2")))[0] == b"D"


async def test_a_server_id_may_move_to_another_address_and_build() -> None:
    old, new = StandInServer(value=b"old"), StandInServer(value=b"new")
    header = {"generation": 42, "reset": False}
    async with tcp_server(old) as one, tcp_server(new) as two:
        change = msgspec.json.encode(header | {"instances": [instance("s-1", two, build=41)]})

        async def discovery(stream: ByteStream) -> None:
            await stream.receive()
            await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(change), change))
            await anyio.sleep_forever()

        async with (
            tcp_server(discovery) as service,
            serving(make_config(instance("s-1", one), discovery=str(service))) as agent,
        ):
            client = await Client.connect(agent.config.listen)
            values: list[bytes] = []
            while not values or values[-1] != b"new":
                values.append((await client.query(read_statement(f"l{len(values)}")))[1][6:])
            assert set(values) <= {b"old", b"new"}


async def test_a_server_address_that_is_a_host_name_is_not_resolved() -> None:
    async with tcp_server(StandInServer()) as address:
        unresolvable = instance("s-2", address) | {"hostPort": "somewhere.invalid:5432"}
        async with serving(make_config(instance("s-1", address), unresolvable)) as agent:
            client = await Client.connect(agent.config.listen)
            kinds = [(await client.query(write_statement(f"p{number}", 2000)))[0] for number in range(6)]
            assert kinds == [b"D"] * 6 and len(agent.endpoints) == 1


async def test_connections_are_limited_and_the_limit_loses_no_request() -> None:
    # 32 of the sockets are reserved; of the other 32, clients may use 16.
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 64}
    async with (
        tcp_server(StandInServer()) as address,
        serving(make_config(instance("s-1", address), limits=limits)) as agent,
    ):
        connection_counts, answer_kinds = list[int](), list[str]()

        async def ask(number: int) -> None:
            client: Client | None = None
            for attempt in range(4):
                await anyio.sleep(0)
                while True:
                    try:
                        client = client or await Client.connect(agent.config.listen)
                        answer = await client.query(read_statement(f"m{number}-{attempt}", 5000))
                        break
                    except STREAM_ERRORS:  # closed between requests, or before its first query
                        client = None
                connection_counts.append(len(agent.clients) + len(agent.upstream_pool))
                answer_kinds.append(answer[0].decode())

        async with anyio.create_task_group() as group:
            for number in range(60):
                group.start_soon(ask, number)
        assert len(answer_kinds) == 240 and set(answer_kinds) <= {"D", "E"} and answer_kinds.count("D") > 20
        assert 16 <= max(connection_counts) <= 32 + MAX_OVERFLOW_CONNECTIONS


async def test_a_query_over_the_connection_limit_is_rejected_at_once_and_not_sent() -> None:
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 64}
    appliance = StandInServer("silent")
    async with (
        tcp_server(appliance) as address,
        serving(make_config(instance("s-1", address), limits=limits)) as agent,
    ):
        busy = []
        agent.engine.handle = lambda *_: []  # type: ignore[method-assign]  # accepted requests stay pending
        for number in range(16):
            busy.append(await Client.connect(agent.config.listen))
            await busy[-1].send_query(write_statement(f"t{number}", 2000))
        while len(agent.requests) < 16:
            await anyio.sleep(0.01)
        started_at = time.monotonic()
        rejected = await Client.connect(agent.config.listen)
        assert code(await rejected.query(write_statement("t99", 2000))) == "53300"
        assert time.monotonic() - started_at < 0.5
        with pytest.raises(STREAM_ERRORS):
            await rejected.reader.message()
        assert not any(b"id=t99," in text for text in appliance.statements)


async def test_stop_answers_accepted_requests_and_ends_admission() -> None:
    appliance = StandInServer("silent")
    async with tcp_server(appliance) as address:
        agent_config = make_config(instance("s-1", address))
        agent, ready = Agent(agent_config), anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(agent.run, ready.set)
            with anyio.fail_after(TEST_TIMEOUT_SECONDS):
                await ready.wait()
                busy, idle = [await Client.connect(agent_config.listen) for _ in range(2)]
                await idle.query(b"")
                await busy.send_query(write_statement("n1", 1500))
                await appliance.query_received.wait()
                agent.stop()
                with pytest.raises(STREAM_ERRORS):
                    await idle.reader.message()
                # New connections are still accepted for a while.
                late = await Client.connect(agent_config.listen)
                assert (await late.query(b""))[0] == b"I"
                assert code(await busy.receive_answer()) not in ("53300", "57P03")
                with pytest.raises(STREAM_ERRORS):
                    await busy.reader.message()
    with socket.socket() as probe:
        assert probe.connect_ex(("127.0.0.1", agent_config.listen.port)) != 0


async def next_line(log: IO[bytes]) -> bytes:
    """Return the next complete line of the log."""
    line = b""
    while not line.endswith(b"\n"):
        line += log.readline()
        await anyio.sleep(0.01)
    return line


@asynccontextmanager
async def program(
    agent_config: config.Config,
    path: Path,
    *instances: dict[str, Any],
    log: Path | None = None,
    **environment: str,
) -> AsyncIterator[subprocess.Popen[bytes]]:
    """Run the program as a process until it listens; the log goes to `log`, by default next to `path`."""
    example = EXAMPLE | {
        "listen": str(agent_config.listen),
        "discovery": str(agent_config.discovery),
        "peers": [],
        "peer_listen": "",
    }
    example["known"] = {"generation": 1, "reset": True, "instances": list(instances)}
    example["settings"] = example["settings"] | {"nInstances": 1}
    example["release_api"] = example["release_api"] | {"address": str(agent_config.rollout_api)}
    path.write_bytes(msgspec.json.encode(example))
    log = log or path.with_suffix(".log")
    with log.open("wb") as sink, log.open("rb") as source:
        process = subprocess.Popen(
            [sys.executable, "-m", "frostfall"],
            stderr=sink,
            env={**os.environ, "BALANCER_CONFIG": str(path), **environment},
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


async def test_the_program_exits_with_zero_after_sigterm(tmp_path: Path) -> None:
    async with tcp_server(StandInServer()) as address:
        server_instance = instance("s-1", address)
        agent_config = make_config(server_instance)
        async with program(agent_config, tmp_path / "config.json", server_instance) as process:
            client = await Client.connect(agent_config.listen)
            assert (await client.query(read_statement("o1")))[0] == b"D"
            process.send_signal(signal.SIGTERM)
            with pytest.raises(STREAM_ERRORS):
                await client.reader.message()
            assert await anyio.to_thread.run_sync(lambda: process.wait(TEST_TIMEOUT_SECONDS)) == 0
            assert process.stderr is not None
            assert b"Traceback" not in process.stderr.read()


async def test_an_address_in_use_is_reported_in_one_line(tmp_path: Path) -> None:
    async with tcp_server(StandInServer()) as taken:
        path = tmp_path / "config.json"
        path.write_bytes(msgspec.json.encode(EXAMPLE | {"listen": str(taken)}))
        done = await anyio.run_process(
            [sys.executable, "-m", "frostfall"], check=False, env={**os.environ, "BALANCER_CONFIG": str(path)}
        )
        assert done.returncode == 1
        assert done.stderr.startswith(b"frostfall: listen: ") and done.stderr.count(b"\n") == 1


async def test_after_sigkill_the_program_restarts_on_the_same_address(tmp_path: Path) -> None:
    async with tcp_server(StandInServer()) as address:
        server_instance = instance("s-1", address)
        agent_config = make_config(server_instance)
        for number in range(2):
            async with program(agent_config, tmp_path / "config.json", server_instance) as process:
                client = await Client.connect(agent_config.listen)
                assert (await client.query(read_statement(f"q{number}")))[0] == b"D"
                process.kill()
                with pytest.raises(STREAM_ERRORS):
                    await client.reader.message()


async def test_each_request_gets_one_answer_despite_server_faults_and_nothing_leaks() -> None:
    modes = ("serve", "XX000", "53300", "reset", "half", "garbage", "silent", "mute", "crowded", "hang up")
    appliances = [StandInServer(mode) for mode in modes]
    async with AsyncExitStack() as stack:
        addresses = [await stack.enter_async_context(tcp_server(each)) for each in appliances]
        agent_config = make_config(*(instance(f"s-{n}", address) for n, address in enumerate(addresses)))
        agent = await stack.enter_async_context(serving(agent_config))
        kinds: list[bytes] = []

        async def ask(number: int) -> None:
            client = await Client.connect(agent_config.listen)
            for index in range(10):
                text = (read_statement, write_statement)[index % 2](f"r{number}-{index}", 300)
                kinds.append((await client.query(text))[0])
            await client.stream.aclose()

        async with anyio.create_task_group() as group:
            for number in range(15):
                group.start_soon(ask, number)
        assert len(kinds) == 150 and set(kinds) <= {b"D", b"E"} and b"D" in kinds
        with anyio.fail_after(TEST_TIMEOUT_SECONDS):
            admission = agent.engine.admission
            while agent.requests or agent.engine.requests or len(agent.clients) or admission.in_flight:
                await anyio.sleep(0.01)
        with anyio.fail_after(TEST_TIMEOUT_SECONDS):
            while len(agent.upstream_pool) > agent.upstream_pool.idle_count:
                await anyio.sleep(0.01)
        matches = [
            re.search(rb"id=([^,]+),c=order", text)
            for each in appliances
            if each.mode not in ("53300",)
            for text in each.statements
        ]
        names = [match[1] for match in matches if match]
        # Each non-idempotent request was sent once, not counting attempts that were rejected with 53300.
        assert len(names) == len(set(names))


@asynccontextmanager
async def control_plane(
    rollout_calls: list[str], discovery_calls: list[bytes], endpoint: dict[str, Any]
) -> AsyncIterator[list[Any]]:
    """Run stand-ins of the rollout API and of discovery that record the requests they receive."""

    async def rollout_api(stream: ByteStream) -> None:
        rollout_calls.append(str(await stream.receive()))
        await stream.send(b'{"jsonrpc":"2.0","id":1,"result":true}\n')
        await anyio.sleep_forever()

    async def discovery(stream: ByteStream) -> None:
        while True:
            discovery_calls.append(await stream.receive())
            if b"since" in discovery_calls[-1]:
                await anyio.sleep_forever()
            body = msgspec.json.encode({"generation": 7, "reset": True, "instances": [endpoint]})
            await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    async with tcp_server(rollout_api) as rpc, tcp_server(discovery) as http:
        yield [rpc, http]


async def until(condition: Any) -> None:
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        while not condition():
            await anyio.sleep(0.01)


async def test_a_reload_reconnects_to_new_addresses_while_requests_are_served() -> None:
    calls: list[tuple[list[str], list[bytes]]] = [([], []), ([], []), ([], [])]
    old, new = StandInServer(value=b"old"), StandInServer(value=b"new")
    async with AsyncExitStack() as stack:
        first, second = [await stack.enter_async_context(tcp_server(each)) for each in (old, new)]
        control_addresses = [
            await stack.enter_async_context(control_plane(*call, instance("s-1", target)))
            for call, target in zip(calls, (first, first, second))
        ]
        agent_config = make_config(
            instance("s-1", first),
            discovery=str(control_addresses[0][1]),
            release_api={"address": str(control_addresses[0][0])},
        )
        agent = await stack.enter_async_context(serving(agent_config))
        client = await Client.connect(agent_config.listen)
        await until(lambda: calls[0][0])
        for number in (1, 2):  # reload more than once
            reloaded_config = make_config(
                instance("s-1", first),
                discovery=str(control_addresses[number][1]),
                release_api={"address": str(control_addresses[number][0])},
            )
            agent.reload(reloaded_config)
            assert (await client.query(read_statement(f"q{number}")))[0] == b"D"
            await until(lambda at=number: calls[at][0] and calls[at][1])
            assert b"since" not in calls[number][1][0]
        assert (await client.query(read_statement("q9")))[1].endswith(b"new")


async def test_a_vote_in_flight_during_a_reload_ends_as_unknown() -> None:
    agent, ended = Agent(make_config()), []
    assert agent.rollout_client
    agent.rollout_client._on_state = ended.append
    vote_received = anyio.Event()

    async def rollout_api(stream: ByteStream) -> None:
        while True:
            if b"verdict" in await stream.receive():
                vote_received.set()

    async with tcp_server(rollout_api) as address, anyio.create_task_group() as group:
        agent.rollout_client.set_address(address)
        group.start_soon(agent.rollout_client.run)
        await until(lambda: agent.rollout_client._stream)
        agent.rollout_client.cast_vote(api.CastVote(42, 0, api.Verdict.ON))
        await vote_received.wait()
        agent.rollout_client.set_address(address)
        await until(lambda: ended)
        group.cancel_scope.cancel()
    assert ended[0].reply is api.VoteReply.UNKNOWN


async def test_sighup_reloads_and_an_unusable_file_is_logged_in_one_line(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    async with tcp_server(StandInServer()) as address:
        server_instance = instance("s-1", address)
        agent_config = make_config(server_instance)
        async with program(agent_config, path, server_instance) as process:
            assert process.stderr is not None
            valid = msgspec.json.decode(path.read_bytes())

            async def reload_and_find(event: str) -> dict[str, Any]:
                process.send_signal(signal.SIGHUP)
                while True:
                    line = msgspec.json.decode(await next_line(process.stderr))
                    if line["event"] == event:
                        return line

            client = await Client.connect(agent_config.listen)
            for text, key in (
                (b'{"settings":', "configuration"),
                (None, "BALANCER_CONFIG"),
                (msgspec.json.encode(valid | {"discovery": "nowhere"}), "discovery"),
            ):
                path.unlink() if text is None else path.write_bytes(text)
                assert (await reload_and_find("reload refused"))["why"].startswith(key)
            changed = valid | {"discovery": f"127.0.0.1:{free_port()}", "limits": {"sockets": 512}}
            path.write_bytes(msgspec.json.encode(changed))
            line = await reload_and_find("reloaded")
            assert (line["moved"], line["needs_restart"]) == (["discovery"], ["limits"])
            assert (await client.query(read_statement("q1")))[0] == b"D"
            process.send_signal(signal.SIGTERM)
            for _ in range(20):  # also during the shutdown
                process.send_signal(signal.SIGHUP)
                await anyio.sleep(0.05)
            assert await anyio.to_thread.run_sync(lambda: process.wait(TEST_TIMEOUT_SECONDS)) == 0
