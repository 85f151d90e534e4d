"""The replicated register, Raft's state machine: keys with versioned values, changed by compare-and-set.

A command that expects another version than the present one changes nothing, and its proposer is notified. So
a decision that rests on outdated state has no effect. Versions only grow, also when a value is removed.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec


class CompareAndSet(msgspec.Struct, frozen=True, tag="put", array_like=True):
    """Sets a key if it has the expected version; proposer and sequence number identify the command."""

    key: str
    value: Any
    expected_version: int  # 0: the key was never set
    proposer: str
    sequence_number: int  # grows with each command of a proposer


class VersionedValue(msgspec.Struct, frozen=True, array_like=True):
    """A value; None where it was removed."""

    value: Any
    version: int


class _LastCommand(NamedTuple):
    """A proposer's last command."""

    sequence_number: int
    succeeded: bool


_NO_COMMAND = _LastCommand(0, False)
_State = tuple[dict[str, VersionedValue], dict[str, _LastCommand]]


class Register:
    """The state machine: the same commands in the same order lead to the same state."""

    def __init__(self, state: Any = None) -> None:
        """Begin empty, or with the state of a snapshot."""
        self._values: dict[str, VersionedValue] = {}
        self._last_commands: dict[str, _LastCommand] = {}  # by proposer
        if state is not None:
            self._values, self._last_commands = msgspec.convert(state, _State)

    def get(self, key: str) -> VersionedValue:
        """Return a key's value and version; version 0 where it was never set."""
        return self._values.get(key, VersionedValue(None, 0))

    def items(self) -> Iterable[tuple[str, VersionedValue]]:
        """Return all keys that have a value, sorted."""
        return [(key, value) for key, value in sorted(self._values.items()) if value.value is not None]

    def apply(self, command: Any) -> bool:
        """Apply a command, decoded or as plain lists; whether it changed its key.

        A command that comes twice is applied once.
        """
        request = decode_command(command)
        last = self._last_commands.get(request.proposer, _NO_COMMAND)
        if request.sequence_number <= last.sequence_number:
            return last.succeeded and request.sequence_number == last.sequence_number
        current = self.get(request.key)
        succeeded = current.version == request.expected_version
        if succeeded:
            self._values[request.key] = VersionedValue(request.value, current.version + 1)
        self._last_commands[request.proposer] = _LastCommand(request.sequence_number, succeeded)
        return succeeded

    def state(self) -> Any:
        """Return the whole state for a snapshot, as plain lists and dicts."""
        return msgspec.to_builtins((self._values, self._last_commands))


def decode_command(command: Any) -> CompareAndSet:
    """Return the command of an entry, which is plain lists once it has been on a wire or a disk."""
    return command if isinstance(command, CompareAndSet) else msgspec.convert(command, CompareAndSet)
