"""Outlier ejection: servers that degrade in the middle of an answer are excluded for a time, then restored.

A server that sends a few bytes at a time looks healthy to checks that count answers or connections: it
accepts connections at once, and for a long time no request fails. The drivers therefore report this condition
as a separate event. The server is then ejected for a time that doubles with each repetition. Afterwards it
gets one request at a time, and it is restored after several successes. Only a part of the fleet can be
ejected at the same time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

Microseconds = int
MICROSECONDS_PER_SECOND = 1_000_000


class EjectionOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Duration of ejections and limits on their number, a section of the operator file.

    The constructor raises ValueError if a value is out of range.
    """

    first: float = 0.5  # duration of the first ejection in seconds
    most: float = 16.0  # maximum duration of an ejection in seconds
    good_tries: int = 3  # successful requests until a server is restored
    share: float = 0.34  # of the fleet that may be ejected, rounded down to 1 server at least
    forget: float = 60.0  # seconds without degradation after an ejection until its record is dropped

    def __post_init__(self) -> None:
        """Check the ranges of the values."""
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
    successes: int = 0  # since the ejection ended


class OutlierEjections:
    """The ejected servers. `admits` and `record_success` take O(1), other calls O(servers with a record)."""

    def __init__(self, options: EjectionOptions | None = None) -> None:
        """Start without ejected servers."""
        self.options = options or EjectionOptions()
        self._records: dict[int, _Record] = {}

    def reconfigure(self, options: EjectionOptions) -> None:
        """Use other options from now on; ejected servers stay ejected for their present duration."""
        self.options = options

    def __len__(self) -> int:
        """Return the number of servers with a record, including those being restored."""
        return len(self._records)

    def ejected_count(self, now: Microseconds) -> int:
        """Return the number of servers that are ejected at this time."""
        return sum(now < record.ejected_until for record in self._records.values())

    def record_degraded(self, now: Microseconds, server: int, fleet_size: int) -> bool:
        """Record that a server has degraded; return whether it is ejected now."""
        retention = self.options.forget * MICROSECONDS_PER_SECOND
        self._records = {
            name: record for name, record in self._records.items() if now - record.ejected_until < retention
        }
        record = self._records.get(server)
        if record and now < record.ejected_until:
            return True  # answers that were in progress at the ejection give no new information
        if not self._may_eject_another(now, fleet_size):
            return False
        duration = self._next_duration(record)
        self._records[server] = _Record(now + duration, duration)
        return True

    def _may_eject_another(self, now: Microseconds, fleet_size: int) -> bool:
        # If all servers are equally slow, the cause is the network or this agent, and ejecting all of them
        # would leave none.
        return fleet_size >= 2 and self.ejected_count(now) + 1 <= max(int(fleet_size * self.options.share), 1)

    def _next_duration(self, record: _Record | None) -> Microseconds:
        if record is None:
            return int(self.options.first * MICROSECONDS_PER_SECOND)
        longest = int(self.options.most * MICROSECONDS_PER_SECOND)
        return min(record.duration * 2, longest)

    def admits(self, now: Microseconds, server: int, in_flight: int, retryable: bool) -> bool:
        """Return whether a server that has `in_flight` requests may get another one.

        After its ejection, a server gets one request at a time, and only requests that may be retried.
        """
        record = self._records.get(server)
        if record is None or record.successes >= self.options.good_tries:
            return True
        if now - record.ejected_until >= self.options.forget * MICROSECONDS_PER_SECOND:
            return True
        # A request that must not run twice could not be retried if the server stalled again, and would fail.
        return now >= record.ejected_until and not in_flight and retryable

    def record_success(self, now: Microseconds, server: int) -> None:
        """Record that a server has answered a request completely."""
        # The record is retained after the server is restored, so that the next ejection lasts longer: a
        # server that becomes slow only after its first answer passes the test with single requests. An answer
        # during the ejection is to an earlier request and does not count.
        if (record := self._records.get(server)) and now >= record.ejected_until:
            record.successes += 1

    def forget(self, server: int) -> None:
        """Drop the record of a server that was removed or has restarted."""
        self._records.pop(server, None)
