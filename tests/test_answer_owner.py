"""Every accepted query gets its final answer, however a connection, a task or the agent ends."""

from __future__ import annotations

import errno
import resource
import signal
import socket
from pathlib import Path
from typing import Any

import anyio
import pytest

from frostfall.interface import Outcome
from frostfall.net.agent import Agent
from frostfall.net.client_acceptor import ClientAcceptor
from frostfall.net.invariants import Invariant, InvariantMonitor
from frostfall.net.reasons import CloseReason
from frostfall.net.streams import LISTEN_BACKLOG, Stream, connect
from frostfall.policy import drain
from frostfall.policy.repeat_safety import (
    MAX_RAN_IDS,
    RAN_IDS_RETENTION,
    RanIds,
    WrittenAttempt,
    may_repeat,
)
from frostfall.protocol import pg, pg_server
from tests.standins import (
    STREAM_ERRORS,
    TEST_TIMEOUT_SECONDS,
    Client,
    StandInServer,
    instance,
    make_config,
    read_statement,
    tcp_server,
    write_statement,
)
from tests.support import IDEMPOTENT, KEYED, NON_IDEMPOTENT, SECOND
from tests.test_agent import code, program, serving, until
from tests.test_crossing_closing import Shutdown
from tests.test_net_client_connections import query, wait_until
from tests.test_net_client_connections import serving as serving_clients

pytestmark = pytest.mark.anyio
REJECTION_CODES = ("53300", "57P03")


async def test_once_admission_has_ended_a_query_on_a_new_connection_is_rejected_as_it_is_read() -> None:
    async with serving_clients() as (clients, front, dial):
        peer = await dial()
        Shutdown(clients, front).begin()
        clients.pending_answers.end_admission()
        await peer.stream.send(query(read_statement("a1")))
        assert (await peer.receive_rest()).endswith(pg_server.rejection_answer(0))
        assert not front.queries
        await wait_until(lambda: not len(clients))


async def test_at_the_end_of_a_drain_open_queries_are_answered_and_a_half_one_is_rejected() -> None:
    async with serving_clients() as (clients, front, dial):
        busy, half, silent = [await dial() for _ in range(3)]
        await busy.stream.send(query(read_statement("a1")) + query(read_statement("a2")))
        await half.stream.send(query(read_statement("a3"))[:20])
        await wait_until(lambda: front.queries and clients.buffered_bytes > len(query(read_statement("a2"))))
        Shutdown(clients, front).begin()
        clients.finish()
        assert (await busy.receive_rest()).endswith(
            pg_server.failure_answer() + pg_server.rejection_answer(0)
        )
        assert b"C57P03" in await half.receive_rest()
        assert (await silent.receive_rest()).endswith(pg_server.STARTUP_RESPONSE)
        await wait_until(lambda: not len(clients))
        assert not clients.pending_answers.invariants.counts


# Guards against queries that were read behind an empty one and got no answer as their connection was closed.
@pytest.mark.parametrize("ends_by_fault", [False, True])
async def test_queries_read_behind_an_empty_one_are_answered_as_their_connection_ends(
    ends_by_fault: bool,
) -> None:
    async with serving_clients() as (clients, front, dial):
        peer = await dial()
        queries = [read_statement("a1"), b"", read_statement("a2")]
        await peer.stream.send(b"".join(map(query, queries)))
        await wait_until(lambda: front.queries)
        if ends_by_fault:
            front.clients[0]._end_after_fault()
        else:
            clients.finish()
        answers = pg_server.failure_answer() + pg_server.EMPTY_QUERY_RESPONSE + pg_server.rejection_answer(0)
        assert (await peer.receive_rest()).endswith(answers)
        assert not clients.pending_answers.invariants.counts


async def test_a_client_that_always_pipelines_queries_does_not_delay_the_end_of_a_drain() -> None:
    appliance = StandInServer()
    async with tcp_server(appliance) as address:
        config = make_config(instance("s-1", address))
        agent, ready = Agent(config), anyio.Event()
        answers, sent = 0, 0
        async with anyio.create_task_group() as group:
            group.start_soon(agent.run, ready.set)
            await ready.wait()
            client = await Client.connect(config.listen)

            async def pipeline_queries() -> None:
                nonlocal sent
                with pytest.raises(STREAM_ERRORS):
                    while True:
                        await client.send_query(read_statement(f"p{sent}"))
                        sent += 1
                        await anyio.sleep(0.001)

            group.start_soon(pipeline_queries)
            await until(lambda: len(appliance.statements) > 5)
            began = anyio.current_time()
            agent.stop()
            with pytest.raises(STREAM_ERRORS):
                while True:
                    await client.receive_answer()
                    answers += 1
        assert anyio.current_time() - began < 3.0 and answers > 5
        assert not agent.invariants.counts and not len(agent.pending_answers)


async def test_pending_connections_are_accepted_in_bounded_time_while_new_ones_arrive() -> None:
    class EndlessListener:
        """A listener that always has one more connection."""

        count = 0

        def accept(self) -> tuple[socket.socket, tuple[str, int]]:
            self.count += 1
            return socket.socketpair()[0], ("127.0.0.1", 1)

    class CountingTarget:
        overflow_count, arrival_rate, added = -1, None, 0

        def add(self, stream: Stream, _: str) -> None:
            self.added += 1
            stream.close()

        def close_silent(self) -> bool:
            return False

        def accept_failed(self, error: OSError) -> None:
            raise AssertionError(error)

    listener: Any = EndlessListener()
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        await ClientAcceptor(listener, CountingTarget()).accept_pending()
    assert LISTEN_BACKLOG <= listener.count <= LISTEN_BACKLOG + 20


@pytest.mark.parametrize("longest", [0.1, 0.5, 1.0, 2.0, 3.0, 60.0])
def test_a_drain_ends_before_the_earliest_sigkill_and_answers_before_it_ends(longest: float) -> None:
    schedule = drain.graceful(100.0, longest)
    kill_at = 100.0 + 0.7 + min(longest, 3.0)
    assert schedule.admission_ends_at == 100.7
    assert 100.7 <= schedule.answers_due_at <= schedule.exit_at <= kill_at


async def test_an_agent_whose_task_is_cancelled_answers_first(tmp_path: Path) -> None:
    appliance = StandInServer("silent")
    async with tcp_server(appliance) as address:
        config = make_config(instance("s-1", address))
        async with serving(config) as agent:
            requester, other = [await Client.connect(config.listen) for _ in range(2)]
            await requester.send_query(write_statement("u1"))
            await appliance.query_received.wait()
            began = anyio.current_time()
        # The cancellation of the agent's task must not cancel the request's task before its answer is sent.
        assert code(await requester.receive_answer()) not in REJECTION_CODES
        for client in (requester, other):
            with pytest.raises(STREAM_ERRORS):
                await client.receive_answer()
        assert anyio.current_time() - began < 1.0
        assert not agent.invariants.counts


async def test_a_second_sigterm_changes_nothing(tmp_path: Path) -> None:
    appliance = StandInServer("silent")
    async with tcp_server(appliance) as address:
        known = instance("s-1", address)
        config = make_config(known)
        async with program(config, tmp_path / "config.json", known) as process:
            client = await Client.connect(config.listen)
            await client.send_query(write_statement("u1", 600))
            await appliance.query_received.wait()
            for _ in range(3):
                process.send_signal(signal.SIGTERM)
                await anyio.sleep(0.05)
            assert code(await client.receive_answer()) not in REJECTION_CODES
            with anyio.fail_after(TEST_TIMEOUT_SECONDS):
                assert await anyio.to_thread.run_sync(process.wait) == 0


async def test_a_disconnect_behind_more_queries_than_are_read_ahead_is_noticed_at_once() -> None:
    async with serving_clients() as (clients, front, dial):
        peer = await dial()
        ahead = b"".join(query(read_statement(f"a{number}")) for number in range(900))
        assert len(ahead) > 1.5 * pg.MAX_READ_BYTES
        await peer.stream.send(ahead)
        await wait_until(lambda: front.queries)
        peer.stream.close()
        began = anyio.current_time()
        # The end of the stream is behind bytes that are not read before earlier queries are answered.
        await wait_until(lambda: front.disconnect_count)
        assert anyio.current_time() - began < 0.1
        await wait_until(lambda: not len(clients))


async def test_a_fault_in_a_background_loop_ends_neither_the_agent_nor_a_request() -> None:
    appliance = StandInServer("silent")
    async with tcp_server(appliance) as address, serving(make_config(instance("s-1", address))) as agent:
        client = await Client.connect(agent.config.listen)
        await client.send_query(write_statement("u1", 500))
        await appliance.query_received.wait()
        calls = 0

        def faulty() -> None:
            nonlocal calls
            calls += 1
            raise RuntimeError("a fault")

        agent._monitor.tick = faulty  # type: ignore[method-assign]
        assert code(await client.receive_answer()) not in REJECTION_CODES
        await until(lambda: calls > 1)
        appliance.mode = "serve"
        assert (await client.query(read_statement("u2")))[0] == b"D"


async def test_a_fault_in_a_group_member_shuts_the_agent_down_gracefully(tmp_path: Path) -> None:
    appliance = StandInServer("silent")
    async with tcp_server(appliance) as address:
        config = make_config(instance("s-1", address))
        agent, ready = Agent(config), anyio.Event()

        class FaultyMember:
            operations = None

            async def run(self, _: Any) -> None:
                await appliance.query_received.wait()
                raise RuntimeError("a fault")

            def usable_endpoints(self, listing: Any) -> Any:
                return listing

            def __getattr__(self, _: str) -> Any:
                return lambda *_, **__: None

        agent._group_member = FaultyMember()  # type: ignore[assignment]
        async with anyio.create_task_group() as group:
            group.start_soon(agent.run, ready.set)
            await ready.wait()
            client = await Client.connect(config.listen)
            await client.send_query(write_statement("u1", 600))
            assert code(await client.receive_answer()) not in REJECTION_CODES
        assert not agent.invariants.counts


async def test_a_fault_in_a_task_beside_a_connection_ends_that_connection_with_an_answer() -> None:
    async with serving_clients() as (clients, front, dial):
        peer, other = [await dial() for _ in range(2)]
        await peer.stream.send(
            query(read_statement("a1")) + query(read_statement("a2")) + query(read_statement("a3"))
        )
        await wait_until(lambda: front.queries)
        handle_query = front.handle_query

        def faulty(client: Any, text: bytes) -> str | None:
            front.handle_query = handle_query  # type: ignore[method-assign]
            raise RuntimeError("a fault")

        front.handle_query = faulty  # type: ignore[method-assign]
        front.clients[0].answer(b"first")  # the next query is handled in a task of its own
        assert (await peer.receive_rest()).endswith(
            b"first" + pg_server.failure_answer() + pg_server.rejection_answer(0)
        )
        await other.stream.send(query(read_statement("b1")))
        await wait_until(lambda: len(front.queries) == 2)
        assert not clients.pending_answers.invariants.counts


async def test_queries_read_behind_one_that_cannot_be_served_are_answered() -> None:
    async with serving_clients() as (clients, front, dial):
        peer = await dial()
        front.fault = "an id that is in use"
        await peer.stream.send(query(read_statement("a1")))
        assert b"C08P01" in await peer.receive_rest()
        peer = await dial()
        handle_query = front.handle_query

        def fail_first_query(client: Any, text: bytes) -> str | None:
            front.fault = None if len(front.queries) > 1 else "an id that is in use"
            return handle_query(client, text)

        front.handle_query = fail_first_query  # type: ignore[method-assign]
        await peer.stream.send(query(read_statement("b1")) + query(read_statement("b2")))
        await wait_until(lambda: len(front.queries) == 3)
        front.clients[-1].answer(pg_server.rejection_answer(0))
        # A fatal error for the first query would leave the second, already read, without an answer.
        assert (await peer.receive_rest()).endswith(
            pg_server.malformed_query_answer("an id that is in use") + pg_server.rejection_answer(0)
        )
        await wait_until(lambda: not len(clients))


class SocketWithoutMemory:
    """A socket whose first calls fail because the kernel has no memory for them."""

    def __init__(self, raw: socket.socket, times: int) -> None:
        self._raw, self._times = raw, times

    def __getattr__(self, name: str) -> Any:
        return getattr(self._raw, name)

    def _fail(self) -> None:
        if self._times:
            self._times -= 1
            raise OSError(errno.ENOBUFS, "no buffer space")

    def send(self, data: Any) -> int:
        self._fail()
        return self._raw.send(data)

    def recv(self, size: int) -> bytes:
        self._fail()
        return self._raw.recv(size)


async def test_an_answer_is_written_once_the_kernel_has_memory_again() -> None:
    async with serving_clients() as (clients, front, dial):
        peer = await dial()
        client = next(iter(clients))
        client._stream._raw = SocketWithoutMemory(client._stream._raw, 3)  # type: ignore[assignment]
        await peer.stream.send(query(read_statement("a1")))
        await wait_until(lambda: front.queries)
        client._stream._raw._times = 3  # type: ignore[attr-defined]
        client.answer(pg_server.failure_answer())
        await peer.receive_until(pg_server.failure_answer())
        assert len(clients) == 1


async def test_a_log_that_cannot_be_written_affects_no_request(tmp_path: Path) -> None:
    appliance = StandInServer()
    async with tcp_server(appliance) as address:
        known = instance("s-1", address)
        config = make_config(known)
        log = tmp_path / "log"
        async with program(config, tmp_path / "config.json", known, log=log) as process:
            size = log.stat().st_size  # limit of the log's size, so that each further write fails
            resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (size, size))
            client = await Client.connect(config.listen)
            process.send_signal(signal.SIGHUP)  # causes a log line
            await anyio.sleep(0.2)
            assert (await client.query(read_statement("l1")))[0] == b"D"
            process.send_signal(signal.SIGTERM)
            with anyio.fail_after(TEST_TIMEOUT_SECONDS):
                assert await anyio.to_thread.run_sync(process.wait) == 0
            assert log.stat().st_size == size


async def test_an_interrupted_connect_continues(monkeypatch: pytest.MonkeyPatch) -> None:
    class Interrupted(socket.socket):
        def connect(self, address: Any) -> None:
            self.connect_ex(address)
            raise InterruptedError(errno.EINTR, "interrupted")

    async with tcp_server(StandInServer()) as address:
        monkeypatch.setattr("frostfall.net.streams.create_socket", lambda _: _nonblocking(Interrupted()))
        stream = await connect(address)
        await stream.send(pg.startup(user="web"))
        assert await stream.receive()
        stream.close()


def _nonblocking(raw: socket.socket) -> socket.socket:
    raw.setblocking(False)
    return raw


def test_violations_are_counted_by_name_and_the_first_of_each_is_logged(
    capsys: pytest.CaptureFixture[str],
) -> None:
    monitor = InvariantMonitor()
    assert monitor.check(Invariant.WRITE_IN_TIME, True, "r1")
    for number in range(3):
        assert not monitor.check(Invariant.WRITE_IN_TIME, False, f"r{number}")
    assert monitor.counts == {"write_in_time": 3}
    out = capsys.readouterr()
    assert (out.out + out.err).count("invariant violated") == 1 and "r0" in out.out + out.err


async def test_a_close_that_would_leave_a_query_open_answers_it_and_is_counted() -> None:
    async with serving_clients() as (clients, front, dial):
        peer = await dial()
        await peer.stream.send(query(read_statement("a1")))
        await wait_until(lambda: front.queries)
        front.clients[0]._begin_closing(CloseReason.IDLE)
        assert (await peer.receive_rest()).endswith(pg_server.failure_answer())
        assert clients.pending_answers.invariants.counts == {"close_when_answered": 1}


def test_the_repeat_check_rejects_attempts_that_may_run_a_request_twice() -> None:
    reset = WrittenAttempt(sent_at=0, outcome=Outcome.RESET)
    overloaded = WrittenAttempt(sent_at=0, outcome=Outcome.OVERLOADED)
    out = WrittenAttempt(sent_at=0, outcome=None)
    assert may_repeat(SECOND, IDEMPOTENT, [reset, out])
    assert may_repeat(SECOND, NON_IDEMPOTENT, [overloaded])
    assert not may_repeat(SECOND, NON_IDEMPOTENT, [overloaded, reset]) and not may_repeat(
        SECOND, NON_IDEMPOTENT, [out]
    )
    assert may_repeat(SECOND, KEYED, [reset]) and not may_repeat(2 * SECOND, KEYED, [reset])


async def test_a_reload_switches_the_trace_of_requests_on_and_off(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async with tcp_server(StandInServer()) as address:
        known = instance("s-1", address)
        quiet = make_config(known)
        async with serving(quiet) as agent:
            client = await Client.connect(quiet.listen)
            await client.query(read_statement("t1"))
            traced = make_config(known, options="{ logging: { requests: true } }")
            agent.reload(traced)
            await client.query(read_statement("t2"))
            agent.reload(quiet)
            await client.query(read_statement("t3"))
    out = "".join(capsys.readouterr())
    steps = [line for line in out.splitlines() if "t2" in line]
    for step in ("accepted", "attempt started", "attempt written", "attempt ended", "answered"):
        assert any(step in line for line in steps), step
    assert "t1" not in out and "t3" not in out


def test_the_ids_of_requests_that_may_have_run_are_kept_for_a_limited_time_and_number() -> None:
    reset = WrittenAttempt(sent_at=0, outcome=Outcome.RESET)
    overloaded = WrittenAttempt(sent_at=0, outcome=Outcome.OVERLOADED)
    ids = RanIds()
    for name, request_class, written in (
        ("read", IDEMPOTENT, [reset]),
        ("turned away", NON_IDEMPOTENT, [overloaded]),
        ("never written", NON_IDEMPOTENT, []),
        ("may have run", NON_IDEMPOTENT, [overloaded, reset]),
        ("keyed", KEYED, [reset]),
    ):
        ids.record_end(0, name, request_class, written)
    assert len(ids) == 2 and "may have run" in ids and "keyed" in ids
    ids.forget_expired(RAN_IDS_RETENTION - 1)
    assert len(ids) == 2
    ids.forget_expired(RAN_IDS_RETENTION)
    assert len(ids) == 0
    for number in range(MAX_RAN_IDS + 1):
        ids.record_end(RAN_IDS_RETENTION, str(number), NON_IDEMPOTENT, [reset])
    assert len(ids) == MAX_RAN_IDS and "0" not in ids and str(MAX_RAN_IDS) in ids
