"""History of the changes of the endpoint list, by generation, since the first list of this process."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from frostfall.gossip.list_messages import EndpointChange

MAX_CHANGES = 4096  # servers; if more have changed, the oldest changes are discarded


@dataclass(frozen=True, slots=True)
class _RecordedChange:
    generation: int
    change: EndpointChange


class ChangeHistory:
    """The latest change of each server; complete for any generation from `base` on.

    A change is recorded under the generation of the list that it was received with, which may be later than
    the generation in which it happened.
    """

    def __init__(self) -> None:
        """Start without a list."""
        self.base = 0
        self.generation = 0
        self._changes: dict[int, _RecordedChange] = {}  # by server key, in the order of generations

    def start(self, generation: int) -> None:
        """Start with a list of this generation and no record of earlier changes."""
        self.base = self.generation = generation
        self._changes.clear()

    def record(self, generation: int, changes: Iterable[EndpointChange]) -> None:
        """Record the changes up to a generation; a generation below the current one starts a new history."""
        if generation < self.generation:
            self.start(generation)
            return
        self.generation = generation
        for change in changes:
            self._changes.pop(change.key, None)
            self._changes[change.key] = _RecordedChange(generation, change)
        while len(self._changes) > MAX_CHANGES:
            oldest = next(iter(self._changes))
            self.base = self._changes.pop(oldest).generation

    def since(self, generation: int) -> list[EndpointChange]:
        """Return the changes after a generation, the earliest first."""
        return [recorded.change for recorded in self._changes.values() if recorded.generation > generation]
