"""When a server started by this agent's own clock, whatever clocks say (types: frostfall/interface.py).

Discovery gives starts in Unix time. The wall clock of the agent or of a server's machine may be wrong by
seconds or hours. The date of discovery's answers shows the agent's own error; and what the agent has seen
itself, by its monotonic clock, bounds what can be true.
"""

from frostfall.interface import Microseconds, ServerListKind

LISTING_DELAY = 10_000_000  # us that a start may take at most until discovery lists it
SMALL_CLOCK_ERROR = 60_000_000  # us; a start further ahead of the clock than this says nothing of the server
MIN_CLOCK_ERROR = 3_000_000  # us by which the agent's clock is off at least: dates have whole seconds
LONG_AGO: Microseconds = 0  # as discovery writes it


class StartTimeEstimator:
    """Turns listed starts into times of this agent's clock."""

    def __init__(self) -> None:
        self._updated_at: Microseconds | None = None  # by discovery itself
        self._unlisted_since: Microseconds | None = None  # what is new in an update was not listed by then
        self._clock_error: Microseconds | None = None  # of this agent's clock; None: not known

    def discovery_time_read(self, now: Microseconds, time: Microseconds) -> bool:
        """Discovery has told the time; whether what was estimated before has to be estimated anew."""
        if self._clock_error is not None:  # ages go by the clock as it was at first, which is never set again
            return False
        error = now - time
        self._clock_error = error if abs(error) >= MIN_CLOCK_ERROR else 0
        return self._clock_error != 0 and self._updated_at is None

    def begin_update(self, now: Microseconds, kind: ServerListKind) -> None:
        """A list, or a change of one, is about to be taken over."""
        self._unlisted_since = None
        if kind is not ServerListKind.CACHED:  # which may be old, and so proves nothing
            self._unlisted_since, self._updated_at = self._updated_at, now

    def estimate(self, now: Microseconds, listed_start: Microseconds) -> Microseconds:
        """When a server started that is listed for the first time now; LONG_AGO where nothing is known."""
        if listed_start == LONG_AGO:
            return LONG_AGO
        listed_start += self._clock_error or 0
        age = now - listed_start
        if self._unlisted_since is None:
            if age < -SMALL_CLOCK_ERROR:  # this clock is behind, by nobody knows how much more
                return LONG_AGO
            return min(listed_start, now)
        time_unlisted = now - self._unlisted_since
        if age > time_unlisted + LISTING_DELAY:  # so old, it would have been listed before: a clock is wrong
            return now
        return min(listed_start, now)
