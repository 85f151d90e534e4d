"""Estimates when servers started, despite wrong wall clocks (types: frostfall/interface.py).

Discovery reports starts in Unix time, and estimates are times of this agent's clock. The wall clock of the
agent or of a server's machine may be wrong by seconds or hours. The date of discovery's answers shows the
error of the agent's clock. The times of list updates, by the agent's monotonic clock, bound the possible
starts of new servers.
"""

from frostfall.interface import Microseconds, ServerListKind

MAX_DISCOVERY_DELAY = 10_000_000  # us after a server's start until discovery lists the server
SMALL_CLOCK_ERROR = 60_000_000  # us; a start that lies further in the future is ignored
MIN_CLOCK_ERROR = 3_000_000  # us; smaller errors are ignored, as discovery's dates have whole seconds
LONG_AGO: Microseconds = 0  # discovery's value for a start long ago or unknown


class StartTimeEstimator:
    """Converts start times reported by discovery into times of this agent's clock."""

    def __init__(self) -> None:
        self._updated_at: Microseconds | None = None  # the last update from discovery itself
        # The update before the last one; servers that are new in the last one were not listed then.
        self._previous_update_at: Microseconds | None = None
        self._clock_error: Microseconds | None = None  # of this agent's wall clock; None if unknown

    def discovery_time_read(self, now: Microseconds, time: Microseconds) -> bool:
        """Record discovery's time; return whether earlier estimates have to be recomputed."""
        if self._clock_error is not None:  # the agent sets its clock only once, so the error is constant
            return False
        error = now - time
        self._clock_error = error if abs(error) >= MIN_CLOCK_ERROR else 0
        return self._clock_error != 0 and self._updated_at is None

    def begin_update(self, now: Microseconds, kind: ServerListKind) -> None:
        """Record that a list, or a change of the list, is about to be applied."""
        self._previous_update_at = None
        if kind is not ServerListKind.CACHED:  # a cached list may be old and does not bound any start
            self._previous_update_at, self._updated_at = self._updated_at, now

    def estimate(self, now: Microseconds, reported_start: Microseconds) -> Microseconds:
        """Return the start time of a server that is listed for the first time now; LONG_AGO if unknown."""
        if reported_start == LONG_AGO:
            return LONG_AGO
        reported_start += self._clock_error or 0
        age = now - reported_start
        if self._previous_update_at is None:
            if age < -SMALL_CLOCK_ERROR:  # this agent's clock is behind by an unknown amount
                return LONG_AGO
            return min(reported_start, now)
        since_previous_update = now - self._previous_update_at
        if age > since_previous_update + MAX_DISCOVERY_DELAY:
            # A server of this age would have been listed before, so a clock is wrong.
            return now
        return min(reported_start, now)
