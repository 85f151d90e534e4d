"""Races on the platform's connection: replies to votes, newer updates, timeouts and address changes."""

from __future__ import annotations

import anyio
import anyio.lowlevel
import msgspec
import pytest
from anyio.abc import ByteStream

from frostfall import interface as api
from frostfall.interface import Verdict, VoteReply
from frostfall.net.rollout_client import RolloutClient
from tests.standins import TEST_TIMEOUT_SECONDS, tcp_server
from tests.support import SECOND
from tests.test_net_rollout_client import STATE, VOTE, RolloutService, StateRecorder, send_message

pytestmark = pytest.mark.anyio
NEWER = STATE | {"tranche": 2, "exposure": 0.1}
ITERATIONS = 8  # iterations of the event loop within which available bytes are read


def json_line(message: dict) -> bytes:
    return msgspec.json.encode({"jsonrpc": "2.0"} | message) + b"\n"


@pytest.mark.parametrize("answer", ["result", "error"])
async def test_a_reply_to_a_vote_and_a_newer_update_in_the_same_bytes_are_delivered_in_order(
    answer: str,
) -> None:
    async def vote(stream: ByteStream, number: int) -> None:
        error = {"code": -32602, "message": "conflict"}
        reply = {"result": STATE} if answer == "result" else {"error": error}
        await stream.send(json_line({"id": number} | reply) + json_line({"method": "news", "params": NEWER}))

    received = StateRecorder()
    async with tcp_server(RolloutService(vote)) as address, anyio.create_task_group() as group:
        platform = RolloutClient(address, 5 * SECOND, received)
        group.start_soon(platform.run)
        await received.until(1)
        platform.cast_vote(VOTE)
        _, first, second = await received.until(3)
        # If the older state were delivered last, the cap of the earlier stage would apply again.
        assert first.reply is (VoteReply.COUNTED if answer == "result" else VoteReply.VOID)
        assert (second.reply, second.stage, second.cap) == (VoteReply.NONE, 2, 0.1)
        await anyio.wait_all_tasks_blocked()
        assert len(received.states) == 3
        group.cancel_scope.cancel()


async def test_a_state_after_the_timeout_of_a_vote_is_delivered_as_an_update() -> None:
    late = anyio.Event()

    async def vote(stream: ByteStream, number: int) -> None:
        await late.wait()
        await stream.send(json_line({"id": number, "result": NEWER}))

    received = StateRecorder()
    async with tcp_server(RolloutService(vote)) as address, anyio.create_task_group() as group:
        platform = RolloutClient(address, 20_000, received)
        group.start_soon(platform.run)
        await received.until(1)
        platform.cast_vote(VOTE)
        assert (await received.until(2))[1].reply is VoteReply.UNKNOWN
        late.set()
        update = (await received.until(3))[2]
        assert (update.reply, update.stage, update.cap) == (VoteReply.NONE, 2, 0.1)
        group.cancel_scope.cancel()


async def test_an_error_after_the_timeout_of_a_vote_is_not_delivered_again() -> None:
    late = anyio.Event()

    async def vote(stream: ByteStream, number: int) -> None:
        await late.wait()
        await stream.send(
            json_line({"id": number, "error": {"code": -32602, "message": "conflict"}})
            + json_line({"method": "news", "params": NEWER})
        )

    received = StateRecorder()
    async with tcp_server(RolloutService(vote)) as address, anyio.create_task_group() as group:
        platform = RolloutClient(address, 20_000, received)
        group.start_soon(platform.run)
        await received.until(1)
        platform.cast_vote(VOTE)
        await received.until(2)
        late.set()
        assert [update.reply for update in await received.until(3)] == [
            VoteReply.NONE,
            VoteReply.UNKNOWN,
            VoteReply.NONE,
        ]
        assert not platform._pending
        group.cancel_scope.cancel()


@pytest.mark.parametrize("iterations", range(ITERATIONS))
async def test_a_vote_during_an_address_change_ends_exactly_once(iterations: int) -> None:
    old: list[dict] = []

    async def silent(_: ByteStream, number: int) -> None:
        old.append({"id": number})

    received, service, other = StateRecorder(), RolloutService(silent), RolloutService()
    async with tcp_server(service) as one, tcp_server(other) as two, anyio.create_task_group() as group:
        platform = RolloutClient(one, 5 * SECOND, received)
        group.start_soon(platform.run)
        await received.until(1)
        platform.cast_vote(VOTE)
        platform.cast_vote(api.CastVote(42, 1, Verdict.BACK))
        for _ in range(iterations):
            await anyio.lowlevel.checkpoint()
        platform.set_address(two)
        updates = await received.until(4)  # two states, and a reply to each of the two votes
        await anyio.wait_all_tasks_blocked()
        replies = [each.reply for each in updates if each.reply is not VoteReply.NONE]
        assert len(replies) == 2 and set(replies) <= {VoteReply.ERROR, VoteReply.UNKNOWN}
        assert len(received.states) == 4 and platform._vote_tasks == 0 and not platform._pending
        # A vote that ends with ERROR was sent to neither address.
        asked = [call for each in (service, other) for call in each.calls if call["method"] == "verdict"]
        assert len(asked) <= replies.count(VoteReply.UNKNOWN)
        group.cancel_scope.cancel()


@pytest.mark.parametrize("iterations", range(ITERATIONS))
async def test_a_reply_to_a_vote_during_an_address_change_is_delivered_once(iterations: int) -> None:
    answered, number_asked = anyio.Event(), list[int]()
    streams: list[ByteStream] = []

    async def hold(stream: ByteStream, number: int) -> None:
        number_asked.append(number)
        streams.append(stream)
        answered.set()

    received, other = StateRecorder(), RolloutService()
    async with (
        tcp_server(RolloutService(hold)) as one,
        tcp_server(other) as two,
        anyio.create_task_group() as group,
    ):
        platform = RolloutClient(one, 5 * SECOND, received)
        group.start_soon(platform.run)
        await received.until(1)
        platform.cast_vote(VOTE)
        with anyio.fail_after(TEST_TIMEOUT_SECONDS):
            await answered.wait()
        await send_message(streams[0], {"id": number_asked[0], "result": STATE})
        for _ in range(iterations):
            await anyio.lowlevel.checkpoint()
        platform.set_address(two)
        updates = await received.until(3)
        await anyio.wait_all_tasks_blocked()
        replies = [each.reply for each in updates if each.reply is not VoteReply.NONE]
        assert len(received.states) == 3 and replies in ([VoteReply.COUNTED], [VoteReply.UNKNOWN])
        group.cancel_scope.cancel()
