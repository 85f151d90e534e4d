"""Relays between clients and agents, and between agents and services, which can be paused or reset."""

from __future__ import annotations

from time import monotonic

import anyio

from frostfall.bench.fault_soak.listeners import Listeners
from frostfall.bench.fault_soak.records import Interval
from frostfall.bench.relay import BACK, FORTH, Link
from frostfall.config import Address

RESET_WINDOW_SECONDS = 0.5  # after a reset; connections that end in this window are excused


class FaultyLink:
    """One relay, which records its pauses and the time of its last reset."""

    def __init__(self, name: str, target: Address) -> None:
        """Relay connections to `target`."""
        self._link = Link(name, str(target))
        self._reset_at = 0.0
        self.address: Address | None = None
        self.pauses: list[Interval] = []  # named after the target

    def listen(self, listeners: Listeners) -> None:
        """Begin to listen, and set `address`."""
        self.address = listeners.open(self._link.serve)

    @property
    def is_paused(self) -> bool:
        """Whether data is held back in any direction."""
        return bool(self._link.cut)

    @property
    def was_reset_recently(self) -> bool:
        """Whether the connections were reset within the last RESET_WINDOW_SECONDS."""
        return monotonic() - self._reset_at < RESET_WINDOW_SECONDS

    async def pause(self, seconds: float, back_only: bool = False) -> None:
        """Hold data back for some seconds, in both directions or only towards the connecting side."""
        began = monotonic()
        self._link.change(cut=[BACK] if back_only else [FORTH, BACK])
        try:
            await anyio.sleep(seconds)
        finally:
            self._link.change(cut=[])
            self.pauses.append(Interval(self._link.name.partition(">")[2], began, monotonic()))

    def reset(self) -> None:
        """Reset all open connections."""
        self._reset_at = monotonic()
        self._link.change(reset=True)
