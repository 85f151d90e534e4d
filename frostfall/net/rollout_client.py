"""The platform: one connection that listens for news and carries votes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from frostfall import log
from frostfall.config import Address
from frostfall.interface import CastVote, RolloutState, VoteReply
from frostfall.net.streams import STREAM_ERRORS, Backoff, Stream, open_stream
from frostfall.protocol import news, rpc

HEARTBEAT_TIMEOUT_SECONDS = 3.5  # seconds: a sign of life comes every second
MIN_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS = (
    0.1,
    2.0,
)  # seconds between connections that fail, doubling, with jitter
MAX_PENDING_VOTES = 16  # votes that may wait for an answer; the platform takes a few a second of an agent

_log = log.get_logger("platform")


@dataclass(slots=True)
class _Vote:
    """A vote on its way; `over` once its reply has been told, `done` also where its connection has ended."""

    action: CastVote
    over: bool = False
    done: anyio.Event = field(default_factory=anyio.Event)


class RolloutClient:
    """Keeps one listening connection up; its news and the answers to votes are told as they come."""

    def __init__(self, address: Address, vote_timeout: int, on_state: Callable[[RolloutState], None]) -> None:
        """Talk to the platform at this address."""
        self._address = address
        self._vote_timeout = vote_timeout / 1e6
        self._told = on_state
        self._stream: Stream | None = None
        self._sending = anyio.Lock()
        self._number = 0
        self._under_way = 0
        self._sent: dict[int, _Vote] = {}  # votes without an answer on this connection
        self._group: TaskGroup | None = None
        self._listening: anyio.CancelScope | None = None

    def set_address(self, address: Address) -> None:
        """Talk to the platform at another address from now on; votes without an answer end as unknown."""
        self._address = address
        if self._listening:
            self._listening.cancel()

    def cast_vote(self, action: CastVote) -> None:
        """Send a vote; its reply is told later."""
        if self._group is None or self._under_way >= MAX_PENDING_VOTES:
            self._told(news.without_state(action, VoteReply.ERROR))
        else:
            self._group.start_soon(self._vote, action)

    async def run(self) -> None:
        """Connect, listen, and again."""
        async with anyio.create_task_group() as self._group:
            back_off = Backoff(MIN_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
            while True:
                began = anyio.current_time()
                why = "failed"
                with anyio.CancelScope() as self._listening:
                    try:
                        why = await self._listen()
                    except Exception:
                        _log.exception("connection failed")
                    _log.info("connection ended", why=why)
                    await back_off.sleep(anyio.current_time() - began > HEARTBEAT_TIMEOUT_SECONDS)

    async def _listen(self) -> str:
        try:
            async with open_stream(self._address) as stream:
                await stream.send(rpc.call(self._next(), news.LISTEN))
                self._stream = stream
                return await self._read(stream)
        except (OSError, *STREAM_ERRORS) as error:
            return repr(error)
        finally:
            self._stream = None
            for vote in self._sent.values():
                vote.done.set()
            self._sent = {}

    async def _read(self, stream: Stream) -> str:
        lines = rpc.Lines()
        heard = anyio.current_time()
        while True:
            data = b""
            with anyio.move_on_at(heard + HEARTBEAT_TIMEOUT_SECONDS):
                data = await stream.receive()
            if not data:
                return "silence"
            lines.feed(data)
            while (message := lines.next_message()) is not None:
                heard = anyio.current_time()
                # Danger: on a connection that has told what cannot be read, news may be missing for good.
                if (why := self._hear(message)) is not None:
                    return f"unreadable: {why}"

    def _next(self) -> int:
        self._number += 1
        return self._number

    def _hear(self, message: rpc.Incoming) -> str | None:
        """Take a message in; why it cannot be read, if so."""
        match message:
            case rpc.Unreadable(why):
                return why
            case rpc.Notification(news.NEWS, params):
                state = news.read(params, VoteReply.NONE)
                if isinstance(state, str):
                    return state
                self._told(state)
            case rpc.Notification(method, _):
                return None if method == news.PING else f"an unknown notification {method[:20]!r}"
            case rpc.Result(number, value) if vote := self._sent.get(number):
                # Danger: told by the vote's own task, a state would come after newer news that was read with
                # it, and bring back an older stage; after the vote's time-out it would not be told at all.
                state = news.read(value, VoteReply.NONE if vote.over else VoteReply.COUNTED)
                if isinstance(state, str):
                    return state
                self._settle(number, vote, state)
            case rpc.Failure(number, text) if vote := self._sent.get(number):
                self._settle(number, vote, news.without_state(vote.action, news.reply_to_error(text)))
        return None

    def _settle(self, number: int, vote: _Vote, answer: RolloutState) -> None:
        """Tell what became of a vote, in the order in which it was told here."""
        # Answers come in order: what has timed out and was asked before this gets none any more.
        self._sent = {
            other: each
            for other, each in self._sent.items()
            if other != number and (other > number or not each.over)
        }
        if not vote.over:
            self._end(vote, answer)
        elif answer.reply is VoteReply.NONE:
            self._told(answer)

    def _end(self, vote: _Vote, answer: RolloutState) -> None:
        vote.over = True
        vote.done.set()
        action = vote.action
        _log.info(
            "vote",
            build=action.build,
            stage=action.stage,
            verdict=action.verdict.name,
            reply=answer.reply.name,
        )
        self._told(answer)

    async def _vote(self, action: CastVote) -> None:
        """Carry one vote through; `reply` follows how far it had come."""
        vote, number, reply = _Vote(action), self._next(), VoteReply.ERROR
        self._under_way += 1
        try:
            with anyio.move_on_after(self._vote_timeout):
                async with self._sending:
                    stream = self._stream
                    if stream is None:
                        return
                    self._sent[number] = vote
                    reply = VoteReply.UNKNOWN  # from here on it may have been carried out
                    try:
                        await stream.send(rpc.call(number, news.VERDICT, news.vote(action)))
                    except STREAM_ERRORS:
                        return
                await vote.done.wait()
        except Exception:
            _log.exception("vote failed")
        finally:
            self._under_way -= 1
            if not vote.over:
                self._end(vote, news.without_state(action, reply))
