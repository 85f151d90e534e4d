"""When the watch of the server list is started, renewed, and tried again after a failure."""

from __future__ import annotations

import random
from dataclasses import dataclass

from frostfall.interface import Microseconds
from frostfall.mechanisms.backoff import ExponentialBackoff


@dataclass(frozen=True, slots=True)
class WatchParameters:
    """The numbers of a watch, all in microseconds."""

    retry_first: Microseconds
    retry_longest: Microseconds  # while nobody else has a confirmation of the list
    retry_shortest: Microseconds
    spacing: Microseconds  # between the calls of all agents together
    start_part: int  # of a renewal's time, into which the first calls are spread


class WatchSchedule:
    """Spreads the calls of all agents over time."""

    def __init__(
        self, parameters: WatchParameters, *, agents: int, renewal: Microseconds, source: random.Random
    ) -> None:
        """Without news a watch is renewed after `renewal`, or later where there are too many agents."""
        self._parameters = parameters
        self._random = source
        self._crowd_window = min(agents * parameters.spacing, renewal)
        self._first_within = self._crowd_window // parameters.start_part
        self._renewal = max(renewal, agents * parameters.spacing)
        longest = max(parameters.retry_longest, self._crowd_window)
        self._backoff = ExponentialBackoff(parameters.retry_first, longest)
        self._due_at: Microseconds = 0

    def start(self, now: Microseconds) -> None:
        """Choose the time of the first call."""
        # Hundreds of agents that start together and call at once are turned away.
        self._due_at = now + self._random.randrange(self._first_within + 1)

    def is_due(self, now: Microseconds) -> bool:
        """Whether a call is due."""
        return now >= self._due_at

    def renew(self, now: Microseconds) -> None:
        """A call goes out or has brought news."""
        self._due_at = now + self._renewal

    def succeeded(self) -> None:
        """The list is known."""
        self._backoff.reset()

    def failed(self, now: Microseconds, *, is_urgent: bool) -> None:
        """A call failed or the watch broke: call again, ever more slowly.

        The pause is drawn from the whole backoff, so that calls that failed together do not come together
        again. `is_urgent`: no peer has a confirmation of the list either.
        """
        longest = self._backoff.next()
        if is_urgent:
            longest = min(longest, self._parameters.retry_longest)
        shortest = min(self._parameters.retry_shortest, longest)
        self._due_at = now + self._random.randrange(shortest, longest + 1)

    def defer(self, now: Microseconds) -> None:
        """A peer has a confirmation of the list: leave discovery to others, and call within the window."""
        self._due_at = max(self._due_at, now + self._random.randrange(self._crowd_window + 1))
