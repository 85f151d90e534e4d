"""A timer wheel for deadlines that are mostly postponed or cancelled before they come due.

Hashed and hierarchical, after G. Varghese and T. Lauck, "Hashed and hierarchical timing wheels", SOSP 1987:
scheduling, postponing and cancelling take O(1), and a tick costs what comes due in it. A postponed timer
stays in its slot and is placed anew when that slot comes up, so that postponing is one store.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar, cast

BITS_PER_LEVEL = 6  # of a tick's number: 64 slots, so that three levels reach 18 hours in quarter seconds
SLOTS_PER_LEVEL = 1 << BITS_PER_LEVEL
SLOT_MASK = SLOTS_PER_LEVEL - 1
LEVEL_COUNT = 4
NOT_SCHEDULED = -1


class Timer:
    """One deadline; a class that has one derives from it. A wheel schedules and cancels it."""

    # Deriving avoids a timer and an owner that refer to each other, which would keep every ended connection
    # in memory until the garbage collector runs.

    def __init__(self) -> None:
        """Begin unscheduled."""
        self.due_tick = NOT_SCHEDULED  # the tick in which it comes due
        self._slot: dict[Timer, None] | None = None  # of the wheel, where it is

    @property
    def armed(self) -> bool:
        """Whether it is scheduled."""
        return self.due_tick >= 0


TimerType = TypeVar("TimerType", bound=Timer)


class TimerWheel(Generic[TimerType]):
    """Timers by the tick in which they come due; `advance` is called once a tick, or later to catch up."""

    def __init__(self, tick: int = 0) -> None:
        """Begin at a tick."""
        self.tick = tick
        # Each slot is a dict used as an ordered set.
        self._levels: list[list[dict[Timer, None]]] = [
            [{} for _ in range(SLOTS_PER_LEVEL)] for _ in range(LEVEL_COUNT)
        ]
        self._count = 0

    def __len__(self) -> int:
        """The number of scheduled timers."""
        return self._count

    def schedule(self, timer: TimerType, ticks: int) -> None:
        """Let it come due after so many ticks, at least one; an earlier schedule is replaced."""
        due = self.tick + max(ticks, 1)
        if timer._slot is not None:
            if due >= timer.due_tick:
                # Deadlines are postponed with every answer, so that has to be cheap: the slot stays.
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
            timer._slot = None
            timer.due_tick = NOT_SCHEDULED
            self._count -= 1

    def advance(self, tick: int) -> Iterator[TimerType]:
        """Go on to this tick; yields the timers that come due on the way, in the order of their ticks.

        Timers may be scheduled or cancelled meanwhile. One that is cancelled before it was yielded is not
        yielded.
        """
        while self.tick < tick:
            if not self._count:
                self.tick = tick
                return
            self.tick += 1
            self._cascade()
            slot = self._levels[0][self.tick & SLOT_MASK]
            while slot:
                timer, _ = slot.popitem()
                timer._slot = None
                if timer.due_tick > self.tick:
                    self._place(timer)
                else:
                    timer.due_tick = NOT_SCHEDULED
                    self._count -= 1
                    yield cast(TimerType, timer)

    def _cascade(self) -> None:
        """Move the timers of a coarse slot that begins now to finer slots."""
        for level in range(1, LEVEL_COUNT):
            if self.tick & ((1 << BITS_PER_LEVEL * level) - 1):
                return
            slot = self._levels[level][(self.tick >> BITS_PER_LEVEL * level) & SLOT_MASK]
            moved = list(slot)
            slot.clear()
            for timer in moved:
                self._place(timer)

    def _place(self, timer: Timer) -> None:
        due = max(timer.due_tick, self.tick)
        ahead = due - self.tick
        for level in range(LEVEL_COUNT):
            if ahead < 1 << BITS_PER_LEVEL * (level + 1):
                slot = self._levels[level][(due >> BITS_PER_LEVEL * level) & SLOT_MASK]
                break
        else:  # beyond the wheel: the slot that comes up last, from where it is placed anew
            last_slot = ((self.tick >> BITS_PER_LEVEL * (LEVEL_COUNT - 1)) - 1) & SLOT_MASK
            slot = self._levels[-1][last_slot]
        slot[timer] = None
        timer._slot = slot
