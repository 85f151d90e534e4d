"""What the group agrees on: keys with values and versions, changed only by who knows the version.

A command that names another version than the present one changes nothing, and who proposed it is told: so a
decision that was made on old knowledge has no effect. Versions only grow, also over a removal.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec


class CompareAndSet(msgspec.Struct, frozen=True, tag="put", array_like=True):
    """Set a key, if it has this version (0: if it was never set); `who` and `number` name the command."""

    key: str
    value: Any
    expected_version: int
    proposer: str
    sequence_number: int


class VersionedValue(msgspec.Struct, frozen=True, array_like=True):
    """A value; None where it was removed."""

    value: Any
    version: int


class Register:
    """The state; the same commands in the same order give the same one."""

    def __init__(self, state: Any = None) -> None:
        """Empty, or as a snapshot left it."""
        self._cells: dict[str, VersionedValue] = {}
        self._done: dict[str, tuple[int, bool]] = {}  # by proposer: the last command and whether it was good
        if state is not None:
            cells, done = msgspec.convert(
                state, tuple[dict[str, VersionedValue], dict[str, tuple[int, bool]]]
            )
            self._cells, self._done = cells, done

    def get(self, key: str) -> VersionedValue:
        """A key's value and version; version 0 where it was never set."""
        return self._cells.get(key, VersionedValue(None, 0))

    def items(self) -> Iterable[tuple[str, VersionedValue]]:
        """All keys that have a value."""
        return [(key, cell) for key, cell in sorted(self._cells.items()) if cell.value is not None]

    def apply(self, command: Any) -> bool:
        """Carry a command out; whether it changed the key. One that comes twice counts once."""
        put = msgspec.convert(command, CompareAndSet) if not isinstance(command, CompareAndSet) else command
        number, good = self._done.get(put.proposer, (0, False))
        if put.sequence_number <= number:
            return good and put.sequence_number == number
        cell = self.get(put.key)
        good = cell.version == put.expected_version
        if good:
            self._cells[put.key] = VersionedValue(put.value, cell.version + 1)
        self._done[put.proposer] = put.sequence_number, good
        return good

    def state(self) -> Any:
        """All of it, for a snapshot."""
        return msgspec.to_builtins((self._cells, self._done))
