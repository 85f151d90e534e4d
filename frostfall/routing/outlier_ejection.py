"""Outlier ejection: servers that degrade in the middle of an answer are left out for a time, and restored.

A server that sends a few bytes at a time looks healthy to whatever counts answers or connections: it accepts
at once and fails no request for long. So the drivers report it as an event of its own. It is then ejected for
a time that doubles with each repetition, gets single requests afterwards, and is restored after several
successes. No more than a part of the fleet is ejected at a time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

Microseconds = int
MICROSECONDS_PER_SECOND = 1_000_000


class EjectionOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How long servers stay ejected, and how many at most: a shape of the operator file.

    ValueError where the values do not fit together.
    """

    first: float = 0.5  # seconds that the first ejection lasts
    most: float = 16.0  # seconds that an ejection lasts at most
    good_tries: int = 3  # successes until a server is restored
    share: float = 0.34  # of the fleet that may be ejected, rounded down; one server of a fleet of two
    forget: float = 60.0  # seconds without degradation after which a record is dropped

    def __post_init__(self) -> None:
        """Check that the values fit together."""
        if not 0 < self.first <= self.most < math.inf:
            raise ValueError(f"first: {self.first:g} is not from above 0 to most, {self.most:g}")
        if self.good_tries < 1:
            raise ValueError(f"good_tries: {self.good_tries} is not above 0")
        if not 0 <= self.share < 1:
            raise ValueError(f"share: {self.share:g} is not from 0 to below 1")
        if not 0 <= self.forget < math.inf:
            raise ValueError(f"forget: {self.forget:g} is below 0")


@dataclass(slots=True)
class _Record:
    ejected_until: Microseconds
    duration: Microseconds  # of the last ejection
    successes: int = 0  # since it ended


class OutlierEjections:
    """Which servers are ejected. Calls take O(servers with a record), those for a request O(1)."""

    def __init__(self, options: EjectionOptions | None = None) -> None:
        """Begin with no server ejected."""
        self.options = options or EjectionOptions()
        self._records: dict[int, _Record] = {}

    def reconfigure(self, options: EjectionOptions) -> None:
        """Follow other options from now on; servers that are ejected stay so."""
        self.options = options

    def __len__(self) -> int:
        """The number of servers with a record, those included that are being restored."""
        return len(self._records)

    def ejected_count(self, now: Microseconds) -> int:
        """The number of servers that are ejected at this time."""
        return sum(now < record.ejected_until for record in self._records.values())

    def record_degraded(self, now: Microseconds, server: int, fleet_size: int) -> bool:
        """Record that a server has degraded; whether it is ejected now."""
        retention = self.options.forget * MICROSECONDS_PER_SECOND
        self._records = {
            name: record for name, record in self._records.items() if now - record.ejected_until < retention
        }
        record = self._records.get(server)
        if record and now < record.ejected_until:
            return True  # its other answers that were under way give no new information
        if not self._may_eject_another(now, fleet_size):
            return False
        duration = self._next_duration(record)
        self._records[server] = _Record(now + duration, duration)
        return True

    def _may_eject_another(self, now: Microseconds, fleet_size: int) -> bool:
        # Where all servers are slow alike, the network or this agent is, and no server would be left.
        return fleet_size >= 2 and self.ejected_count(now) + 1 <= max(int(fleet_size * self.options.share), 1)

    def _next_duration(self, record: _Record | None) -> Microseconds:
        if record is None:
            return int(self.options.first * MICROSECONDS_PER_SECOND)
        longest = int(self.options.most * MICROSECONDS_PER_SECOND)
        return min(record.duration * 2, longest)

    def admits(self, now: Microseconds, server: int, in_flight: int, retryable: bool) -> bool:
        """Whether a server may get a request, with so many in flight there.

        A server whose ejection is over gets one request at a time, and only such as may be sent again.
        """
        record = self._records.get(server)
        if record is None or record.successes >= self.options.good_tries:
            return True
        if now - record.ejected_until >= self.options.forget * MICROSECONDS_PER_SECOND:
            return True
        # A request that must not run twice could only fail if it got stuck there.
        return now >= record.ejected_until and not in_flight and retryable

    def record_success(self, now: Microseconds, server: int) -> None:
        """Record that a server has served a request to its end."""
        # The record is kept after the server is restored, so that the next ejection lasts longer: a server
        # that is slow only after its first answer passes single requests. A request from before the ejection
        # does not count.
        if (record := self._records.get(server)) and now >= record.ejected_until:
            record.successes += 1

    def forget(self, server: int) -> None:
        """Drop the record of a server that has left the fleet or restarted."""
        self._records.pop(server, None)
