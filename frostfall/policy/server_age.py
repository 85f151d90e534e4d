"""When a server started by this agent's own clock, whatever clocks say (types: frostfall/interface.py).

Discovery gives starts in Unix time. The wall clock of the agent or of a server's machine may be wrong by
seconds or hours; what the agent has seen itself, by its monotonic clock, bounds what can be true.
"""

from frostfall.interface import Microseconds, ServerListKind

LISTING_DELAY = 10_000_000  # us that a start may take at most until discovery lists it
SMALL_CLOCK_ERROR = 60_000_000  # us; a start further ahead of the clock than this says nothing of the server
LONG_AGO: Microseconds = 0  # as discovery writes it


class StartTimeEstimator:
    """Turns listed starts into times of this agent's clock."""

    def __init__(self) -> None:
        self._updated_at: Microseconds | None = None  # by discovery itself
        self._unlisted_since: Microseconds | None = None  # what a delta brings was not listed by then

    def begin_update(self, now: Microseconds, kind: ServerListKind) -> None:
        """A list, or a change of one, is about to be taken over."""
        self._unlisted_since = self._updated_at if kind is ServerListKind.DELTA else None
        if kind is not ServerListKind.CACHED:  # which may be old, and so proves nothing
            self._updated_at = now

    def estimate(self, now: Microseconds, listed_start: Microseconds) -> Microseconds:
        """When a server started that is listed for the first time now; LONG_AGO where nothing is known."""
        if listed_start == LONG_AGO:
            return LONG_AGO
        age = now - listed_start
        if self._unlisted_since is None:
            if age < -SMALL_CLOCK_ERROR:  # this clock is behind, by nobody knows how much more
                return LONG_AGO
            return min(listed_start, now)
        time_unlisted = now - self._unlisted_since
        if age > time_unlisted + LISTING_DELAY:  # so old, it would have been listed before: a clock is wrong
            return now
        return min(listed_start, now)
