"""The client of the rollout API: one connection that receives the rollout's state and carries votes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from frostfall import log
from frostfall.config import Address
from frostfall.interface import CastVote, RolloutState, VoteReply
from frostfall.net.streams import STREAM_ERRORS, Backoff, Stream, open_stream
from frostfall.protocol import rollout_messages, rpc

HEARTBEAT_TIMEOUT_SECONDS = 3.5  # a ping comes every second
MIN_BACKOFF_SECONDS = 0.1  # between connections that fail
MAX_BACKOFF_SECONDS = 2.0
MAX_PENDING_VOTES = 16  # without a reply; the service takes a few a second of an agent

_log = log.get_logger("platform")


@dataclass(slots=True)
class _PendingVote:
    """A vote whose reply is awaited."""

    action: CastVote
    reported: bool = False  # its reply has been handed on
    done: anyio.Event = field(default_factory=anyio.Event)  # reported, or its connection has ended


class RolloutClient:
    """Keeps one connection up; states of the rollout and replies to votes are handed on as they come."""

    def __init__(self, address: Address, vote_timeout: int, on_state: Callable[[RolloutState], None]) -> None:
        """Connect to the service at `address`; `vote_timeout` is in microseconds."""
        self._address = address
        self._vote_timeout = vote_timeout / 1e6  # seconds
        self._on_state = on_state
        self._stream: Stream | None = None
        self._send_lock = anyio.Lock()
        self._last_call_id = 0
        self._vote_tasks = 0
        self._pending: dict[int, _PendingVote] = {}  # by call id, sent on this connection
        self._task_group: TaskGroup | None = None
        self._listening: anyio.CancelScope | None = None

    def set_address(self, address: Address) -> None:
        """Connect to another address from now on; votes without a reply end as unknown."""
        self._address = address
        if self._listening:
            self._listening.cancel()

    def cast_vote(self, action: CastVote) -> None:
        """Send a vote; its reply is handed on later."""
        if self._task_group is None or self._vote_tasks >= MAX_PENDING_VOTES:
            self._on_state(rollout_messages.reply_without_state(action, VoteReply.ERROR))
        else:
            self._task_group.start_soon(self._run_vote, action)

    async def run(self) -> None:
        """Keep a connection up, for good."""
        async with anyio.create_task_group() as self._task_group:
            backoff = Backoff(MIN_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
            while True:
                began = anyio.current_time()
                why = "failed"
                with anyio.CancelScope() as self._listening:
                    try:
                        why = await self._listen()
                    except Exception:  # a task boundary: the next connection may go better
                        _log.exception("connection failed")
                    _log.info("connection ended", why=why)
                    await backoff.sleep(anyio.current_time() - began > HEARTBEAT_TIMEOUT_SECONDS)

    async def _listen(self) -> str:
        try:
            async with open_stream(self._address) as stream:
                await stream.send(rpc.encode_call(self._next_call_id(), rollout_messages.LISTEN))
                self._stream = stream
                return await self._read(stream)
        except (OSError, *STREAM_ERRORS) as error:
            return repr(error)
        finally:
            self._stream = None
            for vote in self._pending.values():
                vote.done.set()
            self._pending = {}

    async def _read(self, stream: Stream) -> str:
        lines = rpc.LineReader()
        last_message_at = anyio.current_time()
        while True:
            data = b""
            with anyio.move_on_at(last_message_at + HEARTBEAT_TIMEOUT_SECONDS):
                data = await stream.receive()
            if not data:
                return "silence"
            lines.feed(data)
            while (message := lines.next_message()) is not None:
                last_message_at = anyio.current_time()
                # After an unreadable message a state may be missing for good, so the connection is renewed.
                if (why := self._handle_message(message)) is not None:
                    return f"unreadable: {why}"

    def _next_call_id(self) -> int:
        self._last_call_id += 1
        return self._last_call_id

    def _handle_message(self, message: rpc.Incoming) -> str | None:
        """Act on a message; why it cannot be read, if so."""
        match message:
            case rpc.MalformedLine(why):
                return why
            case rpc.Notification(rollout_messages.STATE_CHANGED, params):
                state = rollout_messages.parse_state(params, VoteReply.NONE)
                if isinstance(state, str):
                    return state
                self._on_state(state)
            case rpc.Notification(method, _):
                return None if method == rollout_messages.PING else f"an unknown notification {method[:20]!r}"
            case rpc.Result(number, value) if vote := self._pending.get(number):
                # Handed on from here, in the order of arrival: from the vote's own task the state would come
                # after newer ones that were read with it; after the vote's timeout it would be lost.
                state = rollout_messages.parse_state(
                    value, VoteReply.NONE if vote.reported else VoteReply.COUNTED
                )
                if isinstance(state, str):
                    return state
                self._settle(number, vote, state)
            case rpc.Failure(number, text) if vote := self._pending.get(number):
                self._settle(
                    number,
                    vote,
                    rollout_messages.reply_without_state(vote.action, rollout_messages.reply_to_error(text)),
                )
        return None

    def _settle(self, call_id: int, vote: _PendingVote, answer: RolloutState) -> None:
        """Hand on the reply to a vote, in the order of arrival."""
        # Replies come in order: votes that were sent before this one and have timed out get none any more.
        self._pending = {
            other: each
            for other, each in self._pending.items()
            if other != call_id and (other > call_id or not each.reported)
        }
        if not vote.reported:
            self._report(vote, answer)
        elif answer.reply is VoteReply.NONE:
            self._on_state(answer)

    def _report(self, vote: _PendingVote, answer: RolloutState) -> None:
        vote.reported = True
        vote.done.set()
        action = vote.action
        _log.info(
            "vote",
            build=action.build,
            stage=action.stage,
            verdict=action.verdict.name,
            reply=answer.reply.name,
        )
        self._on_state(answer)

    async def _run_vote(self, action: CastVote) -> None:
        """Carry one vote through; without an answer, its reply says how far it had come."""
        vote, call_id, reply = _PendingVote(action), self._next_call_id(), VoteReply.ERROR
        self._vote_tasks += 1
        try:
            with anyio.move_on_after(self._vote_timeout):
                async with self._send_lock:
                    stream = self._stream
                    if stream is None:
                        return
                    self._pending[call_id] = vote
                    reply = VoteReply.UNKNOWN  # from here on it may have been carried out
                    try:
                        await stream.send(
                            rpc.encode_call(
                                call_id, rollout_messages.VERDICT, rollout_messages.vote_parameters(action)
                            )
                        )
                    except STREAM_ERRORS:
                        return
                await vote.done.wait()
        except Exception:  # a task boundary; the vote is still reported below
            _log.exception("vote failed")
        finally:
            self._vote_tasks -= 1
            if not vote.reported:
                self._report(vote, rollout_messages.reply_without_state(action, reply))
