"""The shared context of a simulated run: virtual clock, random generator, tasks and history."""

from __future__ import annotations

import random
from typing import Any

import anyio
from anyio.abc import TaskGroup

Event = dict[str, Any]  # keys: `event` (name), `at` (seconds) and the event's own fields


class Environment:
    """The shared context of one run; all randomness comes from one generator, so a seed fixes the history."""

    def __init__(self, seed: int) -> None:
        """Create a context with an empty history; `tasks` is set when the run begins."""
        self.random = random.Random(seed)
        self.events: list[Event] = []
        self.tasks: TaskGroup

    def seconds(self) -> float:
        """Return the virtual time in seconds."""
        return anyio.current_time()

    def micros(self) -> int:
        """Return the virtual time in microseconds."""
        return int(anyio.current_time() * 1e6)

    def record(self, kind: str, **fields: Any) -> None:
        """Append one event to the history."""
        self.events.append({"event": kind, "at": round(self.seconds(), 6), **fields})

    async def delay(self, minimum: float, maximum: float) -> None:
        """Sleep for a random time between two bounds, in seconds."""
        await anyio.sleep(self.random.uniform(minimum, maximum))
