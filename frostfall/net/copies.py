"""Copies in a running agent: its own record at its holders, and what it holds for others."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import anyio
from anyio.abc import TaskGroup

from frostfall.copies.holding import Holding, Item
from frostfall.copies.placement import holders
from frostfall.copies.rules import Copies as Rules
from frostfall.copies.settling import settled
from frostfall.membership.members import Health, Members
from frostfall.net.disk import Disk
from frostfall.net.group import Line
from frostfall.protocol.group import Copied, Copy, Message, Read, Tell
from frostfall.recovery.ledger import Told, Word
from frostfall.storage.frames import State

AGAIN = 0.05  # seconds between two tries to reach a holder
LEFT_BEHIND = 10_000  # items that wait for holders which are not reached; past that, further ones do not


class Copies:
    """One agent's ensemble, and its part in those of others."""

    def __init__(self, own: str, rules: Rules, zones: dict[str, str], members: Members, disk: Disk,
                 holding: Holding) -> None:
        """For the member `own` of these zones; `lines` and `group` are set before anything else is called."""
        self._own, self._rules, self._zones, self._members, self._disk = own, rules, zones, members, disk
        self.holding = holding
        self.ensemble = holders(own, zones, rules.kept)
        self.needed = min(rules.acknowledged, len(self.ensemble))
        self.lines: dict[str, Line] = {}
        self.group: TaskGroup | None = None
        self._behind = 0

    @property
    def heard(self) -> tuple[int, int]:
        """How many holders are heard, and how many a promise needs."""
        here = sum(self._members.peers[name].health is Health.HERE for name in self.ensemble)
        return here, self.needed

    # ---- one's own record ---------------------------------------------------------------------------

    async def promise(self, item: Item, over: Callable[[], bool]) -> bool:
        """Wait until enough holders have an item on disk; False where one refuses it, or it is `over`."""
        acknowledged, refused, changed = set[str](), [False], [anyio.Event()]

        def told(name: str, answer: Message | None) -> None:
            if isinstance(answer, Copied) and not answer.refused:
                acknowledged.add(name)
            elif isinstance(answer, Copied):
                refused[0] = True
            else:
                missing.append(name)
            changed[0].set()

        missing = list(self.ensemble)
        while not over():
            again, missing[:] = list(missing), []
            for name in again:
                self._send(name, item, partial(told, name))
            if refused[0]:
                return False
            if len(acknowledged) >= self.needed:
                for name in missing:
                    self.tell(item, name)
                return True
            with anyio.move_on_after(AGAIN):
                await changed[0].wait()
            changed[0] = anyio.Event()
        return False

    def _send(self, name: str, item: Item, told: Callable[[Message | None], None]) -> None:
        if line := self.lines.get(name):
            line.call(lambda number: Copy(number, self._own, item.state, item.name, item.answer), told)
        else:
            told(None)

    def tell(self, item: Item, *names: str) -> None:
        """Let holders have an item, for which nobody waits; all of them without a name."""
        for name in names or self.ensemble:
            if self._behind < LEFT_BEHIND and self.group:
                self._behind += 1
                self.group.start_soon(self._bring, name, item)

    async def _bring(self, name: str, item: Item) -> None:
        """Bring an item to one holder, however long that takes."""
        try:
            while True:
                answers: list[Message | None] = []
                event = anyio.Event()

                def told(answer: Message | None, answers: list[Message | None] = answers,
                         event: anyio.Event = event) -> None:
                    answers.append(answer)
                    event.set()

                self._send(name, item, told)
                await event.wait()
                if isinstance(answers[0], Copied):
                    return
                await anyio.sleep(AGAIN)
        finally:
            self._behind -= 1

    # ---- what is held for others ----------------------------------------------------------------------

    async def keep(self, message: Copy) -> Message:
        """Keep what another member sends, and say so once it is on disk."""
        item = Item(State(message.state), message.name, message.answer)
        while (kept := self.holding.keep(message.owner, item)) is not None:
            self._disk.poke()
            if not await self._disk.durable(kept.ticket):
                await anyio.sleep_forever()  # a failed disk acknowledges nothing
            if not kept.again:
                return Copied(message.number, False)
        return Copied(message.number, True)

    async def told(self, message: Read, known: Callable[[], bool], lives: dict[str, str]) -> Message:
        """What the copies say; `known`: whether the reader's word and one's own record can be trusted."""
        told = self.holding.word(message.owner, message.name)
        if told.word is Word.NONE and message.fence:
            ticket = self.holding.fence(message.owner, message.name)
            self._disk.poke()
            if not await self._disk.durable(ticket):
                await anyio.sleep_forever()
            self.holding.fenced(message.owner, message.name)
        word = Word.UNSURE if told.word is Word.NONE and not known() else told.word
        return Tell(message.number, [(word.value, told.answer)], self._members.token, lives)

    # ---- settling -------------------------------------------------------------------------------------

    async def settle(self, owner: str, name: str, fence: bool, within: float,
                     known: Callable[[], bool]) -> Told | None:
        """Read at an owner's holders what became of an operation, and fence it where they know nothing.

        None where too few holders that are sure of their records answer in time.
        """
        ensemble = holders(owner, self._zones, self._rules.kept)
        read = self._rules.read(len(ensemble))
        words: dict[str, Told] = {}
        changed = [anyio.Event()]
        missing = list(ensemble)

        def told(holder: str, answer: Message | None) -> None:
            if isinstance(answer, Tell):
                word, given = answer.told[0]
                trusted = holder == self._own or self._members.peers[holder].kept.token == answer.token
                sure = trusted or word in (Word.SERVED.value, Word.FAILED.value)
                words[holder] = Told(Word(word) if sure else Word.UNSURE, given)
            else:
                missing.append(holder)
            changed[0].set()

        def ask(holder: str) -> None:
            def make(number: int) -> Read:
                return Read(number, owner, name, fence, self._own, self._members.token)

            if holder == self._own and self.group:
                async def own() -> None:
                    told(holder, await self.told(make(0), known, {}))

                self.group.start_soon(own)
            elif line := self.lines.get(holder):
                line.call(make, partial(told, holder))
            else:
                missing.append(holder)

        with anyio.move_on_after(within):
            while True:
                again, missing[:] = list(missing), []
                for holder in again:
                    ask(holder)
                one = settled(words.values(), read)
                # Danger: a holder that missed the end has the intent alone; another one may have the answer.
                if one is not None and (one.word is not Word.FAILED or len(words) == len(ensemble)):
                    return one
                with anyio.move_on_after(AGAIN):
                    await changed[0].wait()
                changed[0] = anyio.Event()
        return settled(words.values(), read)
