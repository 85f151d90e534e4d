"""Races between a client's disconnect and the outcome of its request, and two agents in one process."""

from __future__ import annotations

import importlib
import pkgutil
import socket
from contextlib import suppress
from typing import Any

import anyio
import anyio.lowlevel
import pytest
import structlog

import frostfall
from frostfall import interface as api
from frostfall.bench.peers import WELCOME
from frostfall.config import Address
from frostfall.net.agent import Agent
from frostfall.policy.rollout_test import EXCHANGE_PERIOD
from frostfall.protocol import pg
from frostfall.protocol.pg import MAX_READ_BYTES
from tests.standins import (
    EXAMPLE,
    STREAM_ERRORS,
    TEST_TIMEOUT_SECONDS,
    Client,
    instance,
    make_config,
    read_statement,
    row,
    tcp_server,
    write_statement,
)
from tests.support import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    SECOND,
    SETTINGS,
    EngineHarness,
    error_answers,
    sent_attempts,
    server,
)
from tests.test_agent import code, serving
from tests.test_crossing_pool import ScriptedServer, run_iterations, wait_until

pytestmark = pytest.mark.anyio
ERROR = pg.error_response("ERROR", "XX000", "no") + pg.READY_FOR_QUERY
OVERLOADED = pg.error_response("ERROR", "53300", "no") + pg.READY_FOR_QUERY


async def error_code_on_close(client: Client, text: bytes) -> str:
    """Send a query and return the code of the error that ends the connection."""
    await client.send_query(text)
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        return code(await client.reader.message())


@pytest.mark.parametrize("count", range(8))
@pytest.mark.parametrize("answer", [row(b"x") + pg.READY_FOR_QUERY, ERROR, OVERLOADED])
@pytest.mark.parametrize("first", ["client", "server"])
async def test_no_attempt_begins_for_a_client_that_has_disconnected(
    count: int, answer: bytes, first: str
) -> None:
    desk = ScriptedServer()
    async with (
        tcp_server(desk) as one,
        tcp_server(desk) as two,
        serving(make_config(instance("s-1", one), instance("s-2", two))) as agent,
    ):
        client = await Client.connect(agent.config.listen)
        await client.send_query(read_statement("g1", 5000))
        number, _ = await desk.wait_for_query(1)

        async def send_answer() -> None:
            with suppress(STREAM_ERRORS):  # the agent may have closed the connection already
                await desk.streams[number].send(answer)

        if first == "server":
            await send_answer()
            await run_iterations(count)
            seen = len(desk.queries)  # includes a retry sent before the disconnect
            await client.stream.aclose()
        else:
            seen = len(desk.queries)
            await client.stream.aclose()
            await run_iterations(count)
            await send_answer()
        # Once the agent has read the disconnect, it sends nothing further.
        await wait_until(lambda: not len(agent.clients))
        gone = len(desk.queries)
        await wait_until(lambda: not agent.requests and not agent.engine.requests)
        assert len(desk.queries) == gone <= seen + 1
        assert agent.engine.admission.in_flight == 0 and not agent.engine.admission.waiting
        await wait_until(lambda: agent.upstream_pool.sockets.used == len(agent.upstream_pool))


# Guards against an attempt for a client that left while the agent was held up: it was written first.
async def test_no_attempt_is_written_if_its_client_leaves_while_the_agent_does_not_run() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = Address(*listener.getsockname())
        async with serving(make_config(instance("s-1", address))) as agent:
            listen = agent.config.listen
            client = socket.create_connection((listen.host, listen.port))
            client.sendall(pg.startup(user="web") + pg.frame(b"Q", read_statement("g1", 5000) + b"\0"))
            await anyio.wait_readable(listener)
            upstream, _ = listener.accept()
            upstream.setblocking(False)
            await anyio.wait_readable(upstream)
            upstream.recv(MAX_READ_BYTES)
            # The event loop does not run in between: the answer to the startup is read before the disconnect.
            upstream.send(WELCOME)
            client.close()
            await wait_until(lambda: not len(agent.clients) and not agent.requests)
            with pytest.raises(BlockingIOError):
                upstream.recv(MAX_READ_BYTES)


async def test_a_request_with_the_id_of_another_clients_request_never_gets_its_answer() -> None:
    desk = ScriptedServer()
    async with tcp_server(desk) as address, serving(make_config(instance("s-1", address))) as agent:
        first, second = [await Client.connect(agent.config.listen) for _ in range(2)]
        await first.send_query(write_statement("same", 5000))
        await desk.wait_for_query(1)
        # Request ids are unique, so a second request with the id of an open one is rejected.
        assert await error_code_on_close(second, read_statement("same", 5000)) == "08P01"
        await first.stream.aclose()
        await wait_until(lambda: not agent.requests)
        third = await Client.connect(agent.config.listen)
        await third.send_query(read_statement("same", 5000))
        number, _ = await desk.wait_for_query(2)
        with pytest.raises(STREAM_ERRORS):  # the agent gave up the first attempt when its client disconnected
            while True:
                await desk.streams[0].send(row(b"first") + pg.READY_FOR_QUERY)
                await anyio.sleep(0.001)
        await desk.streams[number].send(row(b"third") + pg.READY_FOR_QUERY)
        kind, payload = await third.receive_answer()
        assert kind == b"D" and payload.endswith(b"third")


async def test_an_answer_in_the_iteration_of_its_clients_disconnect_leaves_the_connection_usable() -> None:
    desk = ScriptedServer()
    async with tcp_server(desk) as address, serving(make_config(instance("s-1", address))) as agent:
        client = await Client.connect(agent.config.listen)
        await client.send_query(read_statement("o1", 5000))
        await desk.wait_for_query(1)
        # Both the answer and the disconnect are readable before the agent's next iteration.
        await desk.streams[0].send(row(b"o1") + pg.READY_FOR_QUERY)
        await client.stream.aclose()
        await wait_until(lambda: not agent.requests and not len(agent.clients))
        await wait_until(lambda: agent.upstream_pool.sockets.used == len(agent.upstream_pool))
        other = await Client.connect(agent.config.listen)
        await other.send_query(read_statement("o2", 5000))
        number, text = await desk.wait_for_query(2)
        assert b"id=o2" in text
        await desk.streams[number].send(row(b"o2") + pg.READY_FOR_QUERY)
        assert (await other.receive_answer())[1].endswith(b"o2")


@pytest.mark.parametrize("name", ["tick", "hold", "*", "a.tick"])
async def test_a_request_with_the_name_of_an_internal_timer_is_answered_and_stops_no_timer(name: str) -> None:
    desk = ScriptedServer()
    async with tcp_server(desk) as address, serving(make_config(instance("s-1", address))) as agent:
        client, ticks = await Client.connect(agent.config.listen), list[int]()
        exchange = agent.engine._exchange
        agent.engine._exchange = lambda now: (ticks.append(now), exchange(now))[1]  # type: ignore
        if name == "*":  # no id at all
            assert await error_code_on_close(client, read_statement(name, 200)) == "08P01"
            return
        with anyio.fail_after(TEST_TIMEOUT_SECONDS):
            # If an internal timer of this name replaced the request's timer, the request would get no answer.
            assert code(await client.query(read_statement(name, 200))) in ("53300", "XX000")
            while len(ticks) < 5:
                await anyio.sleep(0.01)
        periods = [each // EXCHANGE_PERIOD for each in ticks]
        assert len(set(periods)) == len(ticks)  # at most one exchange in each period


def test_the_timer_of_an_earlier_request_of_the_same_name_does_not_end_a_later_one() -> None:
    driver = EngineHarness(SETTINGS, server(1))
    for within in (SECOND, 3 * SECOND):  # the client of the first request disconnects at once
        (send,) = sent_attempts(
            driver.handle(api.RequestArrived("again", IDEMPOTENT.name, driver.now + within))
        )
        if within == SECOND:
            driver.handle(api.ClientDisconnected("again"))
            driver.end_attempt(send, api.Outcome.CANCELLED)
    assert not error_answers(driver.pass_time(2 * SECOND))
    assert len(error_answers(driver.pass_time(SECOND))) == 1


# Guards against memory that grows with each request whose client says that it waits for hours.
def test_no_timer_outlives_its_request_by_more_than_ten_seconds() -> None:
    driver = EngineHarness(SETTINGS, server(1))
    timers_before = len(driver.timers)
    for _ in range(100):
        (send,) = sent_attempts(driver.send_request(timeout=10_000 * SECOND))
        driver.end_attempt(send)
        driver.advance(SECOND // 100)
    driver.pass_time(10 * SECOND)
    assert not driver.engine.requests and len(driver.timers) == timers_before


# Guards against a request that waits for long and gets no answer, or one before its time.
@pytest.mark.parametrize("seconds", [9, 10, 11, 25])
def test_a_request_with_a_long_deadline_is_answered_at_its_end(seconds: int) -> None:
    driver = EngineHarness(SETTINGS, server(1))
    for request in ("again", "again", "other"):  # each client of "again" but the last disconnects at once
        (send,) = sent_attempts(
            driver.handle(api.RequestArrived(request, NON_IDEMPOTENT.name, driver.now + seconds * SECOND))
        )
        if driver.now == 100 * SECOND:
            driver.handle(api.ClientDisconnected(request))
            driver.end_attempt(send, api.Outcome.CANCELLED)
            driver.pass_time(SECOND)
    assert not error_answers(driver.pass_time((seconds - 1) * SECOND))
    assert len(error_answers(driver.pass_time(SECOND))) == 2
    driver.pass_time(10 * SECOND)
    assert sum(token in ("again", "other") for _, _, token in driver.timers) == 0


def test_a_waiting_request_is_not_sent_after_its_client_has_disconnected() -> None:
    driver = EngineHarness(SETTINGS)
    assert not sent_attempts(driver.send_request() + driver.send_request())  # there is no server to go to
    assert len(driver.engine.admission.waiting) == 2
    driver.handle(api.ClientDisconnected("q1"))
    driver.update_servers(server(1))
    # An attempt for a client that has disconnected is charged too, and a run fails if more than a quarter of
    # these attempts fail.
    assert [send.request for send in sent_attempts(driver.pass_time(SECOND // 10))] == ["q2"]
    assert set(driver.engine.requests) == {"q2"}


def settings(agent: str, classes: dict[str, Any]) -> dict[str, Any]:
    """The example's settings with classes of these names, each the first class with the fields changed."""
    settings_section = {**EXAMPLE["settings"], "nInstances": 1}
    settings_section["grades"] = [
        {**settings_section["grades"][0], "name": name, **fields} for name, fields in classes.items()
    ]
    return {"name": agent, "settings": settings_section}


def mutable_module_state() -> dict[str, str]:
    """The contents of all containers in modules, classes and defaults, by their names."""
    found = {}
    for info in pkgutil.walk_packages(frostfall.__path__, "frostfall."):
        if ".bench" in info.name or info.name.endswith("__main__") or ".model" in info.name:
            continue  # not loaded by an agent
        module = importlib.import_module(info.name)
        namespaces = [(info.name, vars(module))] + [
            (f"{info.name}.{name}", dict(vars(each)))
            for name, each in vars(module).items()
            if isinstance(each, type) and each.__module__ == info.name
        ]
        for where, names in namespaces:
            for name, each in names.items():
                if isinstance(each, dict | list | set) and not name.startswith("__"):
                    found[f"{where}.{name}"] = repr(each)
                defaults = (
                    *(getattr(each, "__defaults__", None) or ()),
                    *(getattr(each, "__kwdefaults__", None) or {}).values(),
                )
                for number, default in enumerate(defaults):
                    if isinstance(default, dict | list | set):
                        found[f"{where}.{name}({number})"] = repr(default)
    return found


async def test_settings_of_one_agent_do_not_affect_another_agent_of_the_same_process() -> None:
    before = mutable_module_state()
    desk_a, desk_b = ScriptedServer(), ScriptedServer()
    async with tcp_server(desk_a) as one, tcp_server(desk_b) as two:
        short, long = {"aimUs": 200_000, "deadlineUs": 400_000}, {"deadlineUs": 9_000_000}
        a = make_config(instance("s-1", one), **settings("alpha", {"browse": short}))
        b = make_config(instance("s-1", two), **settings("beta", {"stock": long}))
        async with serving(a) as alpha, serving(b) as beta:
            engines = alpha.engine, beta.engine
            assert [set(each.lifecycle.classes) for each in engines] == [{"browse"}, {"stock"}]
            for agent, own, other, desk in (
                (alpha, "browse", "stock", desk_a),
                (beta, "stock", "browse", desk_b),
            ):
                client = await Client.connect(agent.config.listen)
                await client.send_query(read_statement(f"i-{own}", 300, own))
                await desk.wait_for_query(1)
                await desk.streams[0].send(row(own.encode()) + pg.READY_FOR_QUERY)
                assert (await client.receive_answer())[1].endswith(own.encode())
                # A class of the other agent is unknown.
                assert await error_code_on_close(client, read_statement(f"j-{own}", 300, other)) == "08P01"
            # The server ids are equal, but the addresses and the state of the servers are separate.
            assert alpha.endpoints.by_server.keys() == beta.endpoints.by_server.keys()
            assert alpha.endpoints.by_server != beta.endpoints.by_server
            alpha.engine.servers[next(iter(alpha.engine.servers))].ejected_until = 1 << 60
            assert all(each.ejected_until < 1 << 60 for each in beta.engine.servers.values())
            assert alpha.clients.max_request_seconds != beta.clients.max_request_seconds
            assert alpha.clients.malformed_counts is not beta.clients.malformed_counts
    assert mutable_module_state() == before


async def test_log_lines_name_only_their_own_agent() -> None:
    lines: list[dict[str, Any]] = []

    def capture(_: Any, __: str, line: dict[str, Any]) -> dict[str, Any]:
        lines.append(dict(line))
        raise structlog.DropEvent

    old = structlog.get_config()
    structlog.configure(
        processors=[structlog.contextvars.merge_contextvars, capture], cache_logger_on_first_use=False
    )
    try:
        async with serving(make_config(name="alpha")) as alpha, serving(make_config(name="beta")) as beta:
            for each in (alpha, beta):
                each.reload(each.config)
                await send_rejected_request(each)
    finally:
        structlog.configure(**old)
    listens = {line["address"]: line.get("agent") for line in lines if line["event"] == "listening"}
    assert listens == {str(alpha.config.listen): "alpha", str(beta.config.listen): "beta"}
    assert [line.get("agent") for line in lines if line["event"] == "reloaded"] == ["alpha", "beta"]
    assert all(line.get("agent") in ("alpha", "beta") for line in lines)


async def send_rejected_request(agent: Agent) -> None:
    client = await Client.connect(agent.config.listen)
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        assert code(await client.query(read_statement("n1", 200))) in ("53300", "XX000")
