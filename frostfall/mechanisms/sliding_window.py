"""Counts of events within a sliding window of time."""

from __future__ import annotations

from collections import deque

from frostfall.interface import Microseconds


class SlidingWindow:
    """The times of the events of the last `span` microseconds."""

    __slots__ = ("_span", "_times")

    def __init__(self, span: Microseconds) -> None:
        """Start without events; an event counts until it is older than `span`."""
        self._span = span
        self._times: deque[Microseconds] = deque()

    def __len__(self) -> int:
        """The number of events kept, among them those that have left the window since the last call."""
        return len(self._times)

    def __bool__(self) -> bool:
        """Always true: a window without events is a window."""
        return True

    def record(self, now: Microseconds) -> None:
        """Add an event that happens now."""
        self.count(now)
        self._times.append(now)

    def remove(self, time: Microseconds) -> None:
        """Take back one event of this time, if it is still kept."""
        if time in self._times:
            self._times.remove(time)

    def count(self, now: Microseconds) -> int:
        """The number of events in the window that ends now."""
        times, oldest = self._times, now - self._span
        while times and times[0] < oldest:
            times.popleft()
        return len(times)

    @property
    def times(self) -> tuple[Microseconds, ...]:
        """The times of the events kept, oldest first."""
        return tuple(self._times)
