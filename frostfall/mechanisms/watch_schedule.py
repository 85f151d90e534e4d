"""The schedule of calls to discovery: when the server list watch is started, renewed and retried."""

from __future__ import annotations

import random
from dataclasses import dataclass

from frostfall.interface import Microseconds
from frostfall.mechanisms.backoff import ExponentialBackoff


@dataclass(frozen=True, slots=True)
class WatchParameters:
    """The parameters of a watch; times are in microseconds."""

    initial_retry_delay: Microseconds
    max_retry_delay: Microseconds  # while no peer has a confirmation of the list
    min_retry_delay: Microseconds
    call_spacing: Microseconds  # average time between two calls of any agents
    initial_spread_divisor: int  # divides the window over which first calls are spread


class WatchSchedule:
    """Spreads the calls of all agents over time."""

    def __init__(
        self, parameters: WatchParameters, *, agents: int, renewal: Microseconds, source: random.Random
    ) -> None:
        """Create the schedule of one of `agents` agents.

        A watch without updates is renewed after `renewal`, or later if there are too many agents for that.
        """
        self._parameters = parameters
        self._random = source
        self._spread_window = min(agents * parameters.call_spacing, renewal)
        self._initial_window = self._spread_window // parameters.initial_spread_divisor
        self._renewal = max(renewal, agents * parameters.call_spacing)
        longest = max(parameters.max_retry_delay, self._spread_window)
        self._backoff = ExponentialBackoff(parameters.initial_retry_delay, longest)
        self._due_at: Microseconds = 0

    def start(self, now: Microseconds) -> None:
        """Choose a random time for the first call."""
        # Discovery would reject the calls of hundreds of agents that start at the same time.
        self._due_at = now + self._random.randrange(self._initial_window + 1)

    def is_due(self, now: Microseconds) -> bool:
        """Return whether a call is due."""
        return now >= self._due_at

    def renew(self, now: Microseconds) -> None:
        """Schedule the next renewal, after a call was sent or has returned an update."""
        self._due_at = now + self._renewal

    def succeeded(self) -> None:
        """Reset the backoff, after the list was received."""
        self._backoff.reset()

    def failed(self, now: Microseconds, *, is_urgent: bool) -> None:
        """Schedule a retry with exponential backoff, after a call failed or the watch was interrupted.

        The delay is random over the whole backoff, so that calls which failed at the same time are not
        retried at the same time. `is_urgent` means that no peer has a confirmation of the list either.
        """
        longest = self._backoff.next()
        if is_urgent:
            longest = min(longest, self._parameters.max_retry_delay)
        shortest = min(self._parameters.min_retry_delay, longest)
        self._due_at = now + self._random.randrange(shortest, longest + 1)

    def defer(self, now: Microseconds) -> None:
        """Postpone the call by a random part of the window, as a peer has a confirmation of the list."""
        self._due_at = max(self._due_at, now + self._random.randrange(self._spread_window + 1))
