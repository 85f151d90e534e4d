"""The link to the other members of the group: one connection to each, one listener for theirs."""

from __future__ import annotations

import os
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from itertools import count
from time import monotonic
from typing import Any

import anyio
from anyio.abc import TaskGroup

from frostfall import log
from frostfall.config import Address
from frostfall.net.clients import listen
from frostfall.net.streams import ENDED, BackOff, Stream, connected
from frostfall.protocol.group import (
    NONCE,
    Ask,
    Beat,
    Have,
    Message,
    Order,
    Report,
    Stranger,
    Tell,
    Want,
    Wire,
)

WELCOME = 2.0  # seconds in which whoever connects has to show that it has the key
BACK_OFF, BACK_OFF_MOST = 0.05, 0.4  # seconds between two tries to reach a member
MOMENT = 0.02  # seconds between two looks while there is no word to give
UNANSWERED = 10  # words without an answer after which a connection is dialled anew
CALLERS_PART = 4  # connections taken in for each member: its own, an old one that hangs, and operators

_log = log.get("group")
Reply = Message | None | Awaitable[Message]


@dataclass(slots=True)
class Told:
    """A word on an operation and its answer, and what the teller has on disk of the others' lives."""

    word: str
    answer: bytes | None
    token: str
    lives: dict[str, str]


def _nothing(listing: Any) -> None:
    """Nobody waits for a list."""


class Line:
    """The connection to one member: a word every turn, and questions as they come up."""

    def __init__(
        self,
        name: str,
        address: Address,
        key: str,
        every: float,
        beat: Callable[[str], Beat | None],
        heard: Callable[[Beat], None],
        who: Callable[[], tuple[str, str]],
    ) -> None:
        """Dial this member; `beat` gives the word for it, or None while there is none to give.

        `who` gives one's own name and the token of one's life.
        """
        self.name, self._address, self._key, self._every, self._who = name, address, key, every, who
        self._beat, self._heard = beat, heard
        self._numbers = count(1)
        self._wake = anyio.Event()
        self._asked: dict[str, list[Callable[[Told | None], None]]] = {}
        self._out: dict[int, list[tuple[str, list[Callable[[Told | None], None]]]]] = {}
        self._calls: list[tuple[Callable[[int], Message], Callable[[Message | None], None]]] = []
        self._posts: list[Message] = []
        self._called: dict[int, Callable[[Message | None], None]] = {}
        self.up = False
        self._wanted = False
        self._have: Callable[[Any], None] = _nothing
        self._due, self._unanswered = 0.0, 0  # when the next word is due; words since the last answer

    def poke(self) -> None:
        """Speak now."""
        self._due = 0.0
        self._wake.set()

    def want_list(self, have: Callable[[Any], None]) -> None:
        """Ask for the server list that the member has."""
        self._have, self._wanted = have, True
        self._wake.set()

    def ask(self, operation: str, told: Callable[[Told | None], None]) -> None:
        """Ask about an operation; told None where the connection ends first, or there is none."""
        if not self.up:
            told(None)
            return
        self._asked.setdefault(operation, []).append(told)
        self._wake.set()

    def call(self, make: Callable[[int], Message], told: Callable[[Message | None], None]) -> None:
        """Send what `make` makes of a number; told its answer, or None where the connection ends first."""
        if not self.up:
            told(None)
            return
        self._calls.append((make, told))
        self._wake.set()

    def post(self, message: Message) -> None:
        """Send what nothing answers; it is lost where the connection is down."""
        if self.up:
            self._posts.append(message)
            self._wake.set()

    async def run(self) -> None:
        """Keep the connection up, for good."""
        back_off = BackOff(BACK_OFF, BACK_OFF_MOST)
        while True:
            spoke = False
            try:
                async with connected(self._address) as stream:
                    spoke = await self._speak(stream)
            except (OSError, Stranger, *ENDED) as error:
                spoke = self.up
                _log.debug("link ended", member=self.name, why=repr(error))
            except Exception:
                _log.exception("link failed", member=self.name)
            finally:
                self._lose()
            await back_off.rest(spoke)

    def _lose(self) -> None:
        self.up, self._due, self._unanswered = False, 0.0, 0
        waiting = [told for asked in self._out.values() for _, each in asked for told in each]
        waiting += [told for each in self._asked.values() for told in each]
        calls = [*self._called.values(), *(told for _, told in self._calls)]
        self._out.clear()
        self._asked.clear()
        self._called.clear()
        self._calls.clear()
        self._posts.clear()
        for told in waiting:
            told(None)
        for called in calls:
            called(None)

    async def _speak(self, stream: Stream) -> bool:
        own = os.urandom(NONCE)
        wire = Wire(self._key, True, own)
        await stream.send(own)
        with anyio.fail_after(WELCOME):
            while not wire.ready:
                wire.feed(await stream.receive())
        async with anyio.create_task_group() as group:

            async def listen_on() -> None:
                # Danger: one exception of a group is raised as a group; the loop above wants the plain one.
                with suppress(Stranger, *ENDED):
                    while True:
                        for message in wire.feed(await stream.receive()):
                            self._take(message)
                group.cancel_scope.cancel()

            group.start_soon(listen_on)
            with suppress(*ENDED):
                # Danger: a machine that lost its power never closes its connections. Counted in words that
                # were spoken, so that one's own pause ends none.
                while self._unanswered <= UNANSWERED:
                    await self._turn(stream, wire)
            group.cancel_scope.cancel()
        return self.up

    async def _turn(self, stream: Stream, wire: Wire) -> None:
        """Say what there is to say, then wait for more or for the next word's time."""
        self._wake = anyio.Event()
        now = monotonic()
        if now >= self._due and (beat := self._beat(self.name)):
            beat.number = next(self._numbers)
            self._due, self._unanswered = now + self._every, self._unanswered + 1
            await stream.send(wire.frame(beat))
        if self._asked:
            await self._put(stream, wire)
        posts, self._posts = self._posts, []
        for message in posts:
            await stream.send(wire.frame(message))
        calls, self._calls = self._calls, []
        for make, told in calls:
            number = next(self._numbers)
            self._called[number] = told
            await stream.send(wire.frame(make(number)))
        if self._wanted:
            self._wanted = False
            await stream.send(wire.frame(Want(next(self._numbers))))
        with anyio.move_on_after(max(self._due - monotonic(), MOMENT)):
            await self._wake.wait()

    async def _put(self, stream: Stream, wire: Wire) -> None:
        number, asked = next(self._numbers), list(self._asked.items())
        self._asked = {}
        self._out[number] = asked
        names = [operation for operation, _ in asked]
        await stream.send(wire.frame(Ask(number, names, *self._who())))

    def _take(self, message: Message) -> None:
        if isinstance(message, Have):
            self._have(message.listing)
        if isinstance(message, Beat):
            self.up, self._unanswered = True, 0
            self._heard(message)
        elif told := self._called.pop(getattr(message, "number", 0), None):
            told(message)
        elif isinstance(message, Tell) and (asked := self._out.pop(message.number, None)):
            for (_, waiting), (word, answer) in zip(asked, message.told):
                for each in waiting:
                    each(Told(word, answer, message.token, message.lives))


class Listener:
    """Takes in the other members' connections, and operators'."""

    def __init__(self, key: str, most: int, answer: Callable[[Message], Reply]) -> None:
        """`answer` gives what a message is answered with, if anything, now or later."""
        self._key, self._most, self._answer = key, most, answer
        self._count = 0

    async def run(self, address: Address) -> None:
        """Listen for good; OSError where that cannot be."""
        listener = listen(address)
        try:
            async with anyio.create_task_group() as group:
                while True:
                    await anyio.wait_readable(listener)
                    with suppress(BlockingIOError, ConnectionError):
                        raw, _ = listener.accept()
                        if self._count >= self._most:
                            raw.close()
                            continue
                        self._count += 1
                        group.start_soon(self._serve, Stream(raw))
        finally:
            listener.close()

    async def _serve(self, stream: Stream) -> None:
        own = os.urandom(NONCE)
        wire = Wire(self._key, False, own)
        try:
            await stream.send(own)
            first: list[Message] = []
            with anyio.fail_after(WELCOME):
                while not first:
                    first = wire.feed(await stream.receive())
            turn = anyio.Lock()
            async with anyio.create_task_group() as group:
                with suppress(Stranger, *ENDED):
                    await self._answer_all(stream, wire, first, group, turn)
                    while True:
                        messages = wire.feed(await stream.receive())
                        await self._answer_all(stream, wire, messages, group, turn)
                group.cancel_scope.cancel()
        except (OSError, Stranger, *ENDED) as error:
            if isinstance(error, Stranger | TimeoutError):
                _log.warning("a stranger was turned away", why=repr(error))
        except Exception:
            _log.exception("caller failed")
        finally:
            self._count -= 1
            stream.close()

    async def _answer_all(
        self, stream: Stream, wire: Wire, messages: list[Message], group: TaskGroup, turn: anyio.Lock
    ) -> None:
        for message in messages:
            answer = self._answer(message)
            if isinstance(answer, Awaitable):
                group.start_soon(self._later, stream, wire, answer, turn)
            elif answer is not None:
                await self._say(stream, wire, answer, turn)

    async def _later(self, stream: Stream, wire: Wire, answer: Awaitable[Message], turn: anyio.Lock) -> None:
        with suppress(*ENDED):
            await self._say(stream, wire, await answer, turn)

    async def _say(self, stream: Stream, wire: Wire, answer: Message, turn: anyio.Lock) -> None:
        # Danger: frames are counted, and a long one goes out in parts: one at a time.
        async with turn:
            await stream.send(wire.frame(answer))


async def order(
    address: Address, key: str, what: str, who: str = "", name: str = "", value: str = ""
) -> Report:
    """An operator's word to one member; OSError, Stranger or the end of the stream where it fails."""
    async with connected(address) as stream:
        own = os.urandom(NONCE)
        wire = Wire(key, True, own)
        await stream.send(own)
        with anyio.fail_after(WELCOME):
            while not wire.ready:
                wire.feed(await stream.receive())
            await stream.send(wire.frame(Order(1, what, who, name, value)))
            while True:
                for message in wire.feed(await stream.receive()):
                    if isinstance(message, Report):
                        return message
