"""Fair scheduling of connections: what one may process before the others have their turn.

Deficit round robin (M. Shreedhar and G. Varghese, "Efficient fair queueing using deficit round robin",
SIGCOMM 1995): each turn adds a quantum; what a message costs beyond it is paid back in the turns that follow,
so that a connection with large messages gets no more than one with small messages.
"""

from __future__ import annotations

import msgspec


class Quantum(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one turn adds, for parsing and for writing. ValueError where a value is out of range."""

    size: int = 72 * 1024  # bytes: one whole answer
    messages: int = 32  # messages, however small

    def __post_init__(self) -> None:
        """Check the ranges."""
        for key in ("size", "messages"):
            if getattr(self, key) <= 0:
                raise ValueError(f"{key}: {getattr(self, key)} is not above 0")


class DeficitCounter:
    """The credit of one connection."""

    __slots__ = ("_credit_bytes", "_messages_left", "_quantum")

    def __init__(self, quantum: Quantum) -> None:
        """Begin without credit or debt."""
        self._quantum = quantum
        self._credit_bytes = 0
        self._messages_left = 0

    def begin_turn(self) -> None:
        """Begin a turn: unused credit of the last one is lost, a debt remains."""
        self._credit_bytes = min(self._credit_bytes, 0) + self._quantum.size
        self._messages_left = self._quantum.messages

    def charge(self, size: int) -> None:
        """Charge one message of so many bytes."""
        self._credit_bytes -= size
        self._messages_left -= 1

    @property
    def may_continue(self) -> bool:
        """Whether this turn may process another message."""
        return self._credit_bytes > 0 and self._messages_left > 0
