"""The replicated register, Raft's state machine: keys with versioned values, changed by compare-and-set.

A command whose expected version differs from the current one changes nothing, and its proposer is notified.
A decision based on outdated state therefore has no effect. Versions only grow, also when a value is removed.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec


class CompareAndSet(msgspec.Struct, frozen=True, tag="put", array_like=True):
    """A command that sets a key if the key has the expected version.

    Proposer and sequence number identify the command.
    """

    key: str
    value: Any
    expected_version: int  # 0: the key was never set
    proposer: str
    sequence_number: int  # increases with each command of a proposer


class VersionedValue(msgspec.Struct, frozen=True, array_like=True):
    """A value with its version; the value None means that it was removed."""

    value: Any
    version: int


class _LastCommand(NamedTuple):
    """The last command of a proposer that was applied."""

    sequence_number: int
    succeeded: bool


_NO_COMMAND = _LastCommand(0, False)
_State = tuple[dict[str, VersionedValue], dict[str, _LastCommand]]


class Register:
    """A deterministic state machine: the same commands in the same order lead to the same state."""

    def __init__(self, state: Any = None) -> None:
        """Start empty, or with the state of a snapshot."""
        self._values: dict[str, VersionedValue] = {}
        self._last_commands: dict[str, _LastCommand] = {}  # by proposer
        if state is not None:
            self._values, self._last_commands = msgspec.convert(state, _State)

    def get(self, key: str) -> VersionedValue:
        """Return a key's value and version; the version is 0 if the key was never set."""
        return self._values.get(key, VersionedValue(None, 0))

    def items(self) -> Iterable[tuple[str, VersionedValue]]:
        """Return all keys that have a value, with their values, sorted by key."""
        return [(key, value) for key, value in sorted(self._values.items()) if value.value is not None]

    def apply(self, command: Any) -> bool:
        """Apply a command, decoded or as plain lists; return whether it changed its key.

        A command that is delivered twice is applied once.
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
        """Return the whole state for a snapshot, as plain lists and dictionaries."""
        return msgspec.to_builtins((self._values, self._last_commands))


def decode_command(command: Any) -> CompareAndSet:
    """Return the decoded command of an entry; a command read from the network or disk is plain lists."""
    return command if isinstance(command, CompareAndSet) else msgspec.convert(command, CompareAndSet)
