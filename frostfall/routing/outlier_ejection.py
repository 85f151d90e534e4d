"""Outlier ejection: servers set apart that turned slow in the middle of an exchange, and their way back.

A server that drips looks healthy to everything that counts answers or connections: it accepts at once and
fails no request for long. So the drivers tell of it as an event of its own. It is then set apart for a pause
that doubles with each further time, comes back by one try at a time, and is whole again after some good tries
in a row. A fleet that is slow as a whole is not emptied: no more than a part of it is apart at a time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

Microseconds = int
MICROSECONDS_PER_SECOND = 1_000_000  # microseconds


class EjectionOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How long servers stay ejected, and how many. ValueError where the figures do not go together."""

    first: float = 0.5  # seconds
    most: float = 16.0  # seconds
    good_tries: int = 3  # until a server counts as whole again
    share: float = 0.34  # of the fleet at most, rounded down; one server of a fleet of two
    forget: float = 60.0  # seconds without trouble after which the next pause is the first again

    def __post_init__(self) -> None:
        """Check that the figures go together."""
        if not 0 < self.first <= self.most < math.inf:
            raise ValueError(f"first: {self.first:g} is not from above 0 to most, {self.most:g}")
        if self.good_tries < 1:
            raise ValueError(f"good_tries: {self.good_tries} is not above 0")
        if not 0 <= self.share < 1:
            raise ValueError(f"share: {self.share:g} is not from 0 to below 1")
        if not 0 <= self.forget < math.inf:
            raise ValueError(f"forget: {self.forget:g} is below 0")


@dataclass(slots=True)
class _Case:
    until: Microseconds
    pause: Microseconds
    good: int = 0


class OutlierEjections:
    """Which servers are ejected. All calls take O(servers set apart) at most, those for a request O(1)."""

    def __init__(self, options: EjectionOptions | None = None) -> None:
        """With none ejected."""
        self.options = options or EjectionOptions()
        self._cases: dict[int, _Case] = {}

    def __len__(self) -> int:
        """How many have a case, those that are being tried included."""
        return len(self._cases)

    def record_degraded(self, now: Microseconds, server: int, fleet_size: int) -> bool:
        """It turned slow; whether it is ejected now, which it is not where too many others are."""
        forget = self.options.forget * MICROSECONDS_PER_SECOND
        self._cases = {name: case for name, case in self._cases.items() if now - case.until < forget}
        case = self._cases.get(server)
        if case and now < case.until:
            return True  # others of its answers that were under way tell nothing new
        first, most = (
            int(self.options.first * MICROSECONDS_PER_SECOND),
            int(self.options.most * MICROSECONDS_PER_SECOND),
        )
        pause = min(case.pause * 2, most) if case else first
        ejected = sum(now < other.until for other in self._cases.values())
        # Danger: where all are slow alike, the network or the agent is, and nobody would be left to serve.
        if fleet_size < 2 or ejected + 1 > max(int(fleet_size * self.options.share), 1):
            return False
        self._cases[server] = _Case(now + pause, pause)
        return True

    def admits(self, now: Microseconds, server: int, in_flight: int, retryable: bool) -> bool:
        """Whether it may get a request, with so many out there; `harmless`: it may be asked again."""
        case = self._cases.get(server)
        whole = case is None or case.good >= self.options.good_tries
        if case is None or whole or now - case.until >= self.options.forget * MICROSECONDS_PER_SECOND:
            return True
        # Danger: what must not run twice is no try; stuck there, it could only fail.
        return now >= case.until and not in_flight and retryable

    def record_success(self, now: Microseconds, server: int) -> None:
        """It served a request to its end."""
        # Danger: one that is slow only after its first reply passes single tries. So its case is kept after
        # it counts as whole, and the next pause is twice the last; what had been out before it was set apart
        # is no try.
        if (case := self._cases.get(server)) and now >= case.until:
            case.good += 1

    def forget(self, server: int) -> None:
        """It has left the fleet, or comes as a new start."""
        self._cases.pop(server, None)
