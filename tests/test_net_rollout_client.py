"""Tests of the rollout client against a stand-in: states, all replies to votes, silence, reconnection."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import msgspec
import pytest
from anyio.abc import ByteStream

from frostfall import interface as api
from frostfall.config import Address
from frostfall.interface import RolloutState, Verdict, VoteReply
from frostfall.net import rollout_client
from frostfall.net.rollout_client import RolloutClient
from tests.standins import TEST_TIMEOUT_SECONDS, free_port, reset_on_close, tcp_server
from tests.support import SECOND

pytestmark = pytest.mark.anyio
STATE = {"release": 42, "tranche": 1, "mode": "canary", "exposure": 0.28, "old_ms": 310}
VOTE = api.CastVote(42, 1, Verdict.ON)


class RolloutService:
    """Stand-in of the rollout service: answers `listen` with a state, and each vote with a function."""

    def __init__(self, vote: Callable[[ByteStream, int], Awaitable[None]] | None = None) -> None:
        self.vote, self.connections, self.calls = vote, 0, list[dict]()

    async def __call__(self, stream: ByteStream) -> None:
        self.connections += 1
        data = b""
        while True:
            data += await stream.receive()
            *lines, data = data.split(b"\n")
            for line in lines:
                call = msgspec.json.decode(line)
                self.calls.append(call)
                if call["method"] == "listen":
                    await send_message(stream, {"id": call["id"], "result": True})
                    await send_message(stream, {"method": "news", "params": STATE})
                elif self.vote:
                    await self.vote(stream, call["id"])


async def send_message(stream: ByteStream, message: dict) -> None:
    await stream.send(msgspec.json.encode({"jsonrpc": "2.0"} | message) + b"\n")


class StateRecorder:
    """Records the states that the client passes on, and waits for them."""

    def __init__(self) -> None:
        self.states: list[RolloutState] = []
        self.changed = anyio.Event()

    def __call__(self, state: RolloutState) -> None:
        self.states.append(state)
        self.changed.set()

    async def until(self, count: int) -> list[RolloutState]:
        with anyio.fail_after(TEST_TIMEOUT_SECONDS):
            while len(self.states) < count:
                self.changed = anyio.Event()
                await self.changed.wait()
        return self.states


async def state_after_vote(service: RolloutService) -> RolloutState:
    recorder = StateRecorder()
    async with tcp_server(service) as address, anyio.create_task_group() as group:
        client = RolloutClient(address, 300_000, recorder)
        group.start_soon(client.run)
        await recorder.until(1)
        client.cast_vote(VOTE)
        state = (await recorder.until(2))[1]
        group.cancel_scope.cancel()
    return state


async def test_the_state_is_passed_on_after_connecting() -> None:
    recorder, service = StateRecorder(), RolloutService()
    async with tcp_server(service) as address, anyio.create_task_group() as group:
        group.start_soon(RolloutClient(address, SECOND, recorder).run)
        (first,) = await recorder.until(1)
        assert first == RolloutState(42, 1, api.RolloutPhase.TRIAL, 0.28, 310_000, VoteReply.NONE)
        assert service.calls[0] == {"jsonrpc": "2.0", "id": 1, "method": "listen"}
        group.cancel_scope.cancel()


async def test_a_counted_vote_returns_the_state() -> None:
    async def vote(stream: ByteStream, call_id: int) -> None:
        await send_message(stream, {"method": "ping"})
        await send_message(stream, {"id": 999, "result": STATE})  # a result for an unknown call id
        await send_message(stream, {"id": call_id, "result": STATE | {"tranche": 2}})

    service = RolloutService(vote)
    state = await state_after_vote(service)
    assert (state.reply, state.stage) == (VoteReply.COUNTED, 2)
    assert service.calls[1]["params"] == {"release": 42, "tranche": 1, "ruling": "PROCEED"}


@pytest.mark.parametrize(
    ("message", "reply"),
    [
        ("throttled", VoteReply.OVERLOADED),
        ("conflict", VoteReply.VOID),
        ("internal", VoteReply.ERROR),
        ("invalid", VoteReply.ERROR),
    ],
)
async def test_an_error_response_determines_the_reply(message: str, reply: VoteReply) -> None:
    async def vote(stream: ByteStream, call_id: int) -> None:
        await send_message(stream, {"id": call_id, "error": {"code": -32602, "message": message}})

    assert (await state_after_vote(RolloutService(vote))).reply is reply


async def test_without_a_valid_answer_the_reply_is_unknown() -> None:
    async def silent(_: ByteStream, __: int) -> None:
        pass

    async def broken(stream: ByteStream, _: int) -> None:
        reset_on_close(stream)
        await stream.aclose()

    async def garbage(stream: ByteStream, _: int) -> None:
        await stream.send(b"what?\n")

    async def odd_state(stream: ByteStream, call_id: int) -> None:
        await send_message(stream, {"id": call_id, "result": {"mode": 5}})

    for vote in (silent, broken, garbage, odd_state):
        assert (await state_after_vote(RolloutService(vote))).reply is VoteReply.UNKNOWN, vote.__name__


async def test_replies_are_matched_to_votes_by_id_in_order() -> None:
    call_ids: list[int] = []

    async def vote(stream: ByteStream, call_id: int) -> None:
        call_ids.append(call_id)
        if len(call_ids) == 2:
            await send_message(stream, {"id": call_ids[0], "error": {"code": -32602, "message": "conflict"}})
            await send_message(stream, {"id": call_ids[1], "result": STATE})

    recorder = StateRecorder()
    async with tcp_server(RolloutService(vote)) as address, anyio.create_task_group() as group:
        client = RolloutClient(address, 5 * SECOND, recorder)
        group.start_soon(client.run)
        await recorder.until(1)
        client.cast_vote(VOTE)
        client.cast_vote(api.CastVote(42, 1, Verdict.BACK))
        assert [state.reply for state in (await recorder.until(3))[1:]] == [VoteReply.VOID, VoteReply.COUNTED]
        group.cancel_scope.cancel()


async def test_a_vote_without_a_connection_ends_with_an_error() -> None:
    recorder = StateRecorder()
    async with anyio.create_task_group() as group:
        client = RolloutClient(Address("127.0.0.1", free_port()), SECOND, recorder)
        client.cast_vote(VOTE)
        assert recorder.states[0].reply is VoteReply.ERROR
        group.start_soon(client.run)
        await anyio.wait_all_tasks_blocked()
        client.cast_vote(VOTE)
        assert (await recorder.until(2))[1].reply is VoteReply.ERROR
        group.cancel_scope.cancel()


async def test_silence_leads_to_a_new_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(rollout_client, "HEARTBEAT_TIMEOUT_SECONDS", 0.1)
    recorder, service = StateRecorder(), RolloutService()
    async with tcp_server(service) as address, anyio.create_task_group() as group:
        group.start_soon(RolloutClient(address, SECOND, recorder).run)
        await recorder.until(3)
        assert service.connections >= 3
        group.cancel_scope.cancel()


@pytest.mark.parametrize(
    "unreadable",
    [
        b'{"jsonrpc":"2.0","method":"news","params":{"release":42,"tranche":1,"mode":"c####y","exposure":1,"old_ms":1}}\n',
        b'{"jsonrpc":"2.0","method":"news","params":{"release":42,"tran####":1}}\n',
        b'{"jsonrpc":"2.0","method":"n##s","params":{}}\n',
        b"\xff\x00\n",
    ],
)
async def test_an_unreadable_message_ends_the_connection_without_a_state(unreadable: bytes) -> None:
    connections, recorder = 0, StateRecorder()

    async def service(stream: ByteStream) -> None:
        nonlocal connections
        connections += 1
        await stream.receive()
        await send_message(stream, {"id": 1, "result": True})
        await send_message(stream, {"method": "news", "params": STATE | {"tranche": connections}})
        await stream.send(unreadable)
        await stream.receive()  # keeps the connection open on the service's side

    async with tcp_server(service) as address, anyio.create_task_group() as group:
        group.start_soon(RolloutClient(address, SECOND, recorder).run)
        states = await recorder.until(2)
        assert [state.stage for state in states] == [1, 2]
        group.cancel_scope.cancel()


async def test_an_incomplete_line_received_slowly_counts_as_silence(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(rollout_client, "HEARTBEAT_TIMEOUT_SECONDS", 0.3)
    connections, recorder = 0, StateRecorder()

    async def service(stream: ByteStream) -> None:
        nonlocal connections
        connections += 1
        await send_message(stream, {"method": "news", "params": STATE})
        while True:
            await stream.send(b"{")
            await anyio.sleep(0.05)

    async with tcp_server(service) as address, anyio.create_task_group() as group:
        group.start_soon(RolloutClient(address, SECOND, recorder).run)
        await recorder.until(2)
        assert connections == 2
        group.cancel_scope.cancel()
