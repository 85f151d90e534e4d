"""Exposure to a build: requests admitted and attempts sent to the build within a sliding window."""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

from frostfall.interface import Microseconds
from frostfall.mechanisms.sliding_window import SlidingWindow


class ExposureCounts(NamedTuple):
    """Counts within the window."""

    admitted: int  # requests
    sent: int  # attempts at the build


class ExposureLog:
    """Counts of requests by request group, and of attempts by build and request group."""

    __slots__ = ("_restarts", "admitted", "sent")

    def __init__(self, window: Microseconds) -> None:
        """Start with nothing counted."""
        self.admitted = defaultdict[str, SlidingWindow](lambda: SlidingWindow(window))
        self.sent = defaultdict[tuple[int, str], SlidingWindow](lambda: SlidingWindow(window))
        self._restarts: list[Microseconds] = []

    def record_admitted(self, now: Microseconds, group: str) -> None:
        """Count an admitted request."""
        self.admitted[group].record(now)

    def record_sent(self, now: Microseconds, build: int, group: str) -> None:
        """Count an attempt at a server of the build."""
        self.sent[build, group].record(now)

    def withdraw_sent(self, time: Microseconds, build: int, group: str) -> None:
        """Undo the count of an attempt made at this time, if it is still within the window."""
        self.sent[build, group].remove(time)

    def restart_at(self, time: Microseconds) -> None:
        """At this time, drop the counts of all requests admitted until then."""
        self._restarts.append(time)

    def counts(self, now: Microseconds, build: int, group: str) -> ExposureCounts:
        """Return the counts within the window that ends now."""
        while self._restarts and now >= self._restarts[0]:
            self._restarts.pop(0)
            self.admitted.clear()
        return ExposureCounts(self.admitted[group].count(now), self.sent[build, group].count(now))

    def builds(self) -> set[int]:
        """Return the builds that have counts."""
        return {build for build, _ in self.sent}

    def forget(self, build: int) -> None:
        """Drop the counts of a build."""
        for key in [key for key in self.sent if key[0] == build]:
            del self.sent[key]
