"""Counts of events within a sliding window of time."""

from __future__ import annotations

from collections import deque

from frostfall.interface import Microseconds


class SlidingWindow:
    """The times of the events within the last `span` microseconds."""

    __slots__ = ("_span", "_times")

    def __init__(self, span: Microseconds) -> None:
        """Start without events; an event counts while it is not older than `span`."""
        self._span = span
        self._times: deque[Microseconds] = deque()

    def __len__(self) -> int:
        """Return the number of stored events, including expired ones that no call has removed yet."""
        return len(self._times)

    def __bool__(self) -> bool:
        """Return True: a window without events is not false."""
        return True

    def record(self, now: Microseconds) -> None:
        """Add an event at the current time."""
        self.count(now)
        self._times.append(now)

    def remove(self, time: Microseconds) -> None:
        """Remove one event of this time, if it is still stored."""
        if time in self._times:
            self._times.remove(time)

    def count(self, now: Microseconds) -> int:
        """Return the number of events in the window that ends now."""
        times, oldest = self._times, now - self._span
        while times and times[0] < oldest:
            times.popleft()
        return len(times)

    @property
    def times(self) -> tuple[Microseconds, ...]:
        """The times of the stored events, oldest first."""
        return tuple(self._times)
