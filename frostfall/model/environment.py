"""What every part of a simulated run shares: the virtual clock, random draws, tasks and the history."""

from __future__ import annotations

import random
from typing import Any

import anyio
from anyio.abc import TaskGroup

Event = dict[str, Any]  # the event's name, its time in seconds, and its own fields


class Environment:
    """The shared state of one run. All draws come from one generator, so a seed fixes the history."""

    def __init__(self, seed: int) -> None:
        """With an empty history; `tasks` is set when the run begins."""
        self.random = random.Random(seed)
        self.events: list[Event] = []
        self.tasks: TaskGroup

    def seconds(self) -> float:
        """The virtual time in seconds."""
        return anyio.current_time()

    def micros(self) -> int:
        """The virtual time in microseconds."""
        return int(anyio.current_time() * 1e6)

    def record(self, kind: str, **fields: Any) -> None:
        """Append one event to the history."""
        self.events.append({"event": kind, "at": round(self.seconds(), 6), **fields})

    async def delay(self, least: float, most: float) -> None:
        """Sleep for a random time between two bounds, in seconds."""
        await anyio.sleep(self.random.uniform(least, most))
