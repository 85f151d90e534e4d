"""A timer wheel for deadlines that are mostly postponed or cancelled before they expire.

Hashed and hierarchical, after G. Varghese and T. Lauck, "Hashed and hierarchical timing wheels", SOSP 1987:
scheduling, postponing and cancelling take O(1), and the cost of a tick depends on the timers due in it. A
postponed timer stays in its slot and is moved when that slot is processed, so that postponing only writes one
attribute.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar, cast

BITS_PER_LEVEL = 6  # 64 slots per level, so that three levels span 18 hours in ticks of 0.25 s
SLOTS_PER_LEVEL = 1 << BITS_PER_LEVEL
SLOT_MASK = SLOTS_PER_LEVEL - 1
LEVEL_COUNT = 4
NOT_SCHEDULED = -1


class Timer:
    """A deadline, which a TimerWheel schedules and cancels; the class that has a deadline derives from it."""

    # With a separate object, timer and owner would refer to each other, and every closed connection would
    # remain in memory until the garbage collector runs.

    def __init__(self) -> None:
        """Begin unscheduled."""
        self.due_tick = NOT_SCHEDULED  # the tick in which the timer expires
        self._slot: dict[Timer, None] | None = None  # the slot of the wheel that contains the timer

    @property
    def armed(self) -> bool:
        """Return whether the timer is scheduled."""
        return self.due_tick >= 0


TimerType = TypeVar("TimerType", bound=Timer)


class TimerWheel(Generic[TimerType]):
    """Timers by the tick in which they expire; `advance` is called once per tick, or later to catch up."""

    def __init__(self, tick: int = 0) -> None:
        """Begin at `tick`, without timers."""
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
        """Schedule a timer to expire in `ticks` ticks, at least one; replaces an earlier deadline."""
        due = self.tick + max(ticks, 1)
        if timer._slot is not None:
            if due >= timer.due_tick:
                # Every answer postpones a deadline, which has to be cheap, so the timer stays in its slot.
                timer.due_tick = due
                return
            timer._slot.pop(timer, None)
        else:
            self._count += 1
        timer.due_tick = due
        self._place(timer)

    def cancel(self, timer: TimerType) -> None:
        """Cancel a timer; no effect if it is not scheduled."""
        if timer._slot is not None:
            timer._slot.pop(timer, None)
            timer._slot = None
            timer.due_tick = NOT_SCHEDULED
            self._count -= 1

    def advance(self, tick: int) -> Iterator[TimerType]:
        """Advance to `tick` and yield the timers that expire, in the order of their ticks.

        Timers may be scheduled or cancelled during the iteration. A timer cancelled before it is yielded is
        not yielded.
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
        """Move the timers of coarse slots that begin at the current tick to finer slots."""
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
        else:  # beyond the wheel: the slot that is processed last, from which the timer is moved again
            last_slot = ((self.tick >> BITS_PER_LEVEL * (LEVEL_COUNT - 1)) - 1) & SLOT_MASK
            slot = self._levels[-1][last_slot]
        slot[timer] = None
        timer._slot = slot
