"""Client of the rollout API: one connection that receives rollout states and sends votes."""

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

HEARTBEAT_TIMEOUT_SECONDS = 3.5  # the service sends a ping every second
MIN_BACKOFF_SECONDS = 0.1  # delay after a failed connection
MAX_BACKOFF_SECONDS = 2.0
MAX_PENDING_VOTES = 16  # votes without a reply; the service accepts a few votes per second from each agent

_log = log.get_logger("platform")


@dataclass(slots=True)
class _PendingVote:
    """A vote that awaits its reply."""

    action: CastVote
    reported: bool = False  # True once a reply was passed to `on_state`
    done: anyio.Event = field(default_factory=anyio.Event)  # set once reported or disconnected


class RolloutClient:
    """Maintains one connection and passes on rollout states and replies to votes in order of arrival."""

    def __init__(self, address: Address, vote_timeout: int, on_state: Callable[[RolloutState], None]) -> None:
        """Create a client for the service at `address`; `vote_timeout` is in microseconds."""
        self._address = address
        self._vote_timeout = vote_timeout / 1e6  # seconds
        self._on_state = on_state
        self._stream: Stream | None = None
        self._send_lock = anyio.Lock()
        self._last_call_id = 0
        self._vote_tasks = 0
        self._pending: dict[int, _PendingVote] = {}  # by call id: votes sent on this connection
        self._task_group: TaskGroup | None = None
        self._connection_scope: anyio.CancelScope | None = None

    def set_address(self, address: Address) -> None:
        """Reconnect to another address; votes without a reply end with reply UNKNOWN."""
        self._address = address
        if self._connection_scope:
            self._connection_scope.cancel()

    def cast_vote(self, action: CastVote) -> None:
        """Send a vote; the reply is passed to `on_state` later."""
        if self._task_group is None or self._vote_tasks >= MAX_PENDING_VOTES:
            self._on_state(rollout_messages.reply_without_state(action, VoteReply.ERROR))
        else:
            self._task_group.start_soon(self._run_vote, action)

    async def run(self) -> None:
        """Maintain a connection until cancelled."""
        async with anyio.create_task_group() as self._task_group:
            backoff = Backoff(MIN_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
            while True:
                started_at = anyio.current_time()
                reason = "failed"
                with anyio.CancelScope() as self._connection_scope:
                    try:
                        reason = await self._listen()
                    except Exception:  # task boundary: the next connection may succeed
                        _log.exception("connection failed")
                    _log.info("connection ended", why=reason)
                    await backoff.sleep(anyio.current_time() - started_at > HEARTBEAT_TIMEOUT_SECONDS)

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
                # An unreadable message may have contained a state that is not sent again, so reconnect.
                if (reason := self._handle_message(message)) is not None:
                    return f"unreadable: {reason}"

    def _next_call_id(self) -> int:
        self._last_call_id += 1
        return self._last_call_id

    def _handle_message(self, message: rpc.Incoming) -> str | None:
        """Process a message; return the reason if the message cannot be read."""
        match message:
            case rpc.MalformedLine(reason):
                return reason
            case rpc.Notification(rollout_messages.STATE_CHANGED, params):
                state = rollout_messages.parse_state(params, VoteReply.NONE)
                if isinstance(state, str):
                    return state
                self._on_state(state)
            case rpc.Notification(method, _):
                return None if method == rollout_messages.PING else f"an unknown notification {method[:20]!r}"
            case rpc.Result(number, value) if vote := self._pending.get(number):
                # The state is passed on here, in the order of arrival. Passed on by the vote's task, it would
                # follow newer states that were read together with it, and be lost after the vote's timeout.
                state = rollout_messages.parse_state(
                    value, VoteReply.NONE if vote.reported else VoteReply.COUNTED
                )
                if isinstance(state, str):
                    return state
                self._complete_vote(number, vote, state)
            case rpc.Failure(number, text) if vote := self._pending.get(number):
                self._complete_vote(
                    number,
                    vote,
                    rollout_messages.reply_without_state(vote.action, rollout_messages.reply_to_error(text)),
                )
        return None

    def _complete_vote(self, call_id: int, vote: _PendingVote, answer: RolloutState) -> None:
        """Pass on the reply to a vote, in the order of arrival."""
        # Replies arrive in order, so that earlier votes that have timed out will receive no reply.
        self._pending = {
            other: each
            for other, each in self._pending.items()
            if other != call_id and (other > call_id or not each.reported)
        }
        if not vote.reported:
            self._report_reply(vote, answer)
        elif answer.reply is VoteReply.NONE:
            self._on_state(answer)

    def _report_reply(self, vote: _PendingVote, answer: RolloutState) -> None:
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
        """Send a vote and wait for its reply.

        Without an answer, the reported reply is ERROR if the vote was not sent, and UNKNOWN afterwards.
        """
        vote, call_id, reply = _PendingVote(action), self._next_call_id(), VoteReply.ERROR
        self._vote_tasks += 1
        try:
            with anyio.move_on_after(self._vote_timeout):
                async with self._send_lock:
                    stream = self._stream
                    if stream is None:
                        return
                    self._pending[call_id] = vote
                    reply = VoteReply.UNKNOWN  # the service may have counted the vote from here on
                    try:
                        await stream.send(
                            rpc.encode_call(
                                call_id, rollout_messages.VERDICT, rollout_messages.vote_parameters(action)
                            )
                        )
                    except STREAM_ERRORS:
                        return
                await vote.done.wait()
        except Exception:  # task boundary: the vote is still reported below
            _log.exception("vote failed")
        finally:
            self._vote_tasks -= 1
            if not vote.reported:
                self._report_reply(vote, rollout_messages.reply_without_state(action, reply))
