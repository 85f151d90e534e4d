"""How many requests were taken and how many attempts sent to a build, within a sliding window."""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

from frostfall.interface import Microseconds
from frostfall.mechanisms.sliding_window import SlidingWindow


class ExposureCounts(NamedTuple):
    """Counts within the window."""

    taken: int  # requests
    sent: int  # attempts at the build


class ExposureLog:
    """Counts by group of requests, and for attempts by build too."""

    __slots__ = ("_restarts", "sent", "taken")

    def __init__(self, window: Microseconds) -> None:
        """Start with nothing counted."""
        self.taken = defaultdict[str, SlidingWindow](lambda: SlidingWindow(window))
        self.sent = defaultdict[tuple[int, str], SlidingWindow](lambda: SlidingWindow(window))
        self._restarts: list[Microseconds] = []

    def record_taken(self, now: Microseconds, group: str) -> None:
        """Count a request."""
        self.taken[group].record(now)

    def record_sent(self, now: Microseconds, build: int, group: str) -> None:
        """Count an attempt."""
        self.sent[build, group].record(now)

    def withdraw_sent(self, time: Microseconds, build: int, group: str) -> None:
        """Uncount an attempt that was counted at this time, if it is still within the window."""
        self.sent[build, group].remove(time)

    def restart_at(self, time: Microseconds) -> None:
        """Forget from this time on the requests that were taken until then."""
        self._restarts.append(time)

    def counts(self, now: Microseconds, build: int, group: str) -> ExposureCounts:
        """What counts now."""
        while self._restarts and now >= self._restarts[0]:
            self._restarts.pop(0)
            self.taken.clear()
        return ExposureCounts(self.taken[group].count(now), self.sent[build, group].count(now))

    def builds(self) -> set[int]:
        """The builds of which something is kept."""
        return {build for build, _ in self.sent}

    def forget(self, build: int) -> None:
        """Drop what is kept of a build."""
        for key in [key for key in self.sent if key[0] == build]:
            del self.sent[key]
