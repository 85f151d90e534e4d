"""Passes events to the policy engine one at a time and executes the resulting actions."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from frostfall import interface as api
from frostfall import log
from frostfall.engine.policy_engine import PolicyEngine
from frostfall.net.clock import Clock

UNLIMITED_GAP = 1 << 62  # microseconds; disables pause detection

_log = log.get_logger("agent")


class EngineDriver:
    """Serialises events for the engine.

    An exception in the engine or in an action stops neither the agent nor its timers.
    """

    def __init__(
        self,
        engine: PolicyEngine,
        clock: Clock,
        execute: Callable[[api.Action], None],
        on_fault: Callable[[api.Event], None],
        max_gap: int = UNLIMITED_GAP,
        on_pause: Callable[[], None] = lambda: None,
    ) -> None:
        """Create a driver that has not been started.

        `execute` executes an action; `on_fault` receives the event on which the engine raised an exception.
        `on_pause` is called before an event that comes more than `max_gap` microseconds after the previous
        one: the engine's own timers fire more often, so the process must have been paused.
        """
        self._engine = engine
        self._clock = clock
        self._execute = execute
        self._on_fault = on_fault
        self._max_gap = max_gap
        self._on_pause = on_pause
        self._last_event_at = clock.now()
        self._events: deque[api.Event] = deque()
        self._handling = False

    def start(self) -> None:
        """Execute the actions that the engine requests before the first event."""
        self._last_event_at = self._clock.now()
        for action in self._engine.start(self._last_event_at):
            self._execute(action)

    def post(self, event: api.Event) -> None:
        """Pass an event to the engine; events posted while one is handled are queued in order."""
        self.notice_pause()
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False

    def may_write(self, now: int, request: str, attempt: int) -> bool:
        """Return whether the engine lets an attempt be written, after checking for a pause of the process."""
        self.notice_pause()
        return self._engine.may_write(now, request, attempt)

    def notice_pause(self) -> None:
        """Call `on_pause` if the process has been paused since the last event."""
        now = self._clock.now()
        gap, self._last_event_at = now - self._last_event_at, now
        if gap > self._max_gap:
            _log.info("process was paused", seconds=round(gap / 1e6, 3))
            self._on_pause()

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self._engine.handle(self._clock.now(), event)
        except Exception:
            # Fault barrier: a bug in one decision must neither leave a request unanswered nor end the agent.
            # Timers set before the exception are kept: losing one would stop all gossip exchanges and votes.
            _log.exception("decision failed", event_type=type(event).__name__)
            self._on_fault(event)
            actions = [action for action in self._engine.actions if isinstance(action, api.SetTimer)]
        for action in actions:
            try:
                self._execute(action)
            except Exception:  # the remaining actions of this event must still be executed
                _log.exception("action failed", action=type(action).__name__)
