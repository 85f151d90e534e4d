"""A timer wheel for deadlines that are mostly moved or called off before they come due.

Hashed and hierarchical, after G. Varghese and T. Lauck, "Hashed and hierarchical timing wheels", SOSP 1987:
setting, moving and calling off take O(1), a turn costs what comes due in it. A timer that is moved to a later
time stays in its slot and is put where it belongs when that slot comes up, so that moving it is one store.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar, cast

BITS_PER_LEVEL = 6  # of slots a level: 64, so that three levels reach 18 hours in quarter seconds
SLOTS_PER_LEVEL = 1 << BITS_PER_LEVEL
LEVEL_COUNT = 4


class Timer:
    """One deadline; what has one is a kind of it. A wheel sets it, moves it and calls it off."""

    # Danger: a timer beside its owner, each naming the other, would keep every ended connection until the
    # collector comes by.

    def __init__(self) -> None:
        """Not set."""
        self.due_tick = -1  # the turn in which it comes due; -1: not set
        self._slot: dict[Timer, None] | None = None

    @property
    def armed(self) -> bool:
        """Whether it will come due."""
        return self.due_tick >= 0


TimerType = TypeVar("TimerType", bound=Timer)


class TimerWheel(Generic[TimerType]):
    """Timers by turns; `advance` is called once for each turn, or with a later one to catch up."""

    def __init__(self, tick: int = 0) -> None:
        """Begin at a turn."""
        self.tick = tick
        self._levels: list[list[dict[Timer, None]]] = [
            [{} for _ in range(SLOTS_PER_LEVEL)] for _ in range(LEVEL_COUNT)
        ]
        self._count = 0

    def __len__(self) -> int:
        """How many timers are set."""
        return self._count

    def schedule(self, timer: TimerType, ticks: int) -> None:
        """Let it come due after so many turns, at least one, whenever it was to come due before."""
        due = self.tick + max(ticks, 1)
        if timer._slot is not None:
            if due >= timer.due_tick:
                # Danger: moved by hand at each answer, timers would cost more than they guard
                timer.due_tick = due
                return
            timer._slot.pop(timer, None)
        else:
            self._count += 1
        timer.due_tick = due
        self._place(timer)

    def cancel(self, timer: TimerType) -> None:
        """Let it not come due."""
        if timer._slot is not None:
            timer._slot.pop(timer, None)
            timer._slot, timer.due_tick = None, -1
            self._count -= 1

    def advance(self, tick: int) -> Iterator[TimerType]:
        """Go on to this turn; the timers that come due on the way, in the order of their turns.

        Timers may be set or called off meanwhile. One that is called off before it has been given is not
        given.
        """
        while self.tick < tick:
            if not self._count:
                self.tick = tick
                return
            self.tick += 1
            self._cascade()
            slot = self._levels[0][self.tick & (SLOTS_PER_LEVEL - 1)]
            while slot:
                timer, _ = slot.popitem()
                timer._slot = None
                if timer.due_tick > self.tick:
                    self._place(timer)
                else:
                    timer.due_tick = -1
                    self._count -= 1
                    yield cast(TimerType, timer)

    def _cascade(self) -> None:
        """Bring the timers of a coarse slot that begins now down to finer ones."""
        for level in range(1, LEVEL_COUNT):
            if self.tick & ((1 << BITS_PER_LEVEL * level) - 1):
                return
            slot = self._levels[level][(self.tick >> BITS_PER_LEVEL * level) & (SLOTS_PER_LEVEL - 1)]
            moved = list(slot)
            slot.clear()
            for timer in moved:
                self._place(timer)

    def _place(self, timer: Timer) -> None:
        due = max(timer.due_tick, self.tick)
        ahead = due - self.tick
        for level in range(LEVEL_COUNT):
            if ahead < 1 << BITS_PER_LEVEL * (level + 1):
                slot = self._levels[level][(due >> BITS_PER_LEVEL * level) & (SLOTS_PER_LEVEL - 1)]
                break
        else:  # beyond the wheel: as far as it reaches, and on from there
            slot = self._levels[-1][
                ((self.tick >> BITS_PER_LEVEL * (LEVEL_COUNT - 1)) - 1) & (SLOTS_PER_LEVEL - 1)
            ]
        slot[timer] = None
        timer._slot = slot
