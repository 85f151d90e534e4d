"""Fair scheduling of connections: limits what one connection may process before the others are served.

Deficit round robin (M. Shreedhar and G. Varghese, "Efficient fair queueing using deficit round robin",
SIGCOMM 1995): in each time slice, a connection receives a quantum of credit. The excess cost of a message is
deducted from the following time slices, so that a connection with large messages gets no larger share than
one with small messages.
"""

from __future__ import annotations

import msgspec


class Quantum(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The credit of one time slice, for parsing and for writing. Raises ValueError if out of range."""

    size: int = 72 * 1024  # bytes; the default is one whole answer
    messages: int = 32  # maximum number of messages, however small

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

    def add_quantum(self) -> None:
        """Begin a time slice: unused credit of the last one expires, a debt remains."""
        self._credit_bytes = min(self._credit_bytes, 0) + self._quantum.size
        self._messages_left = self._quantum.messages

    def charge(self, size: int) -> None:
        """Charge one message of `size` bytes."""
        self._credit_bytes -= size
        self._messages_left -= 1

    @property
    def may_continue(self) -> bool:
        """Return whether another message may be processed in this time slice."""
        return self._credit_bytes > 0 and self._messages_left > 0
