"""What has changed in the endpoint list, and with which generation, since the first list of this process."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from frostfall.gossip.list_messages import ChangedEntry

MAX_CHANGES = 4096  # servers; where more have changed, the oldest are forgotten


@dataclass(frozen=True, slots=True)
class _Change:
    generation: int
    entry: ChangedEntry


class ChangeHistory:
    """The latest change of each server. It can tell all that changed after any generation from `base` on.

    A change stands with the generation of the list that brought it here, which may be later than its own.
    """

    def __init__(self) -> None:
        """Start without a list."""
        self.base = 0
        self.generation = 0
        self._changes: dict[int, _Change] = {}  # by the server's key, in the order of generations

    def start(self, generation: int) -> None:
        """Begin with a list of this generation; nothing is known of earlier changes."""
        self.base = self.generation = generation
        self._changes.clear()

    def record(self, generation: int, entries: Iterable[ChangedEntry]) -> None:
        """Take over what the list of a generation has changed; an earlier one begins a new history."""
        if generation < self.generation:
            self.start(generation)
            return
        self.generation = generation
        for entry in entries:
            self._changes.pop(entry.key, None)
            self._changes[entry.key] = _Change(generation, entry)
        while len(self._changes) > MAX_CHANGES:
            oldest = next(iter(self._changes))
            self.base = self._changes.pop(oldest).generation

    def since(self, generation: int) -> list[ChangedEntry]:
        """What has changed after a generation, the earliest changes first."""
        return [change.entry for change in self._changes.values() if change.generation > generation]
