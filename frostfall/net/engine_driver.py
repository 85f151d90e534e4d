"""Runs the policy engine: one event at a time in, its actions out."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from frostfall import interface as api
from frostfall import log
from frostfall.engine.policy_engine import PolicyEngine
from frostfall.net.clock import Clock

NO_GAP = 1 << 62  # microseconds; no gap between events is longer

_log = log.get_logger("agent")


class EngineDriver:
    """Serialises events; a fault in the engine or in an action ends neither the agent nor its timers."""

    def __init__(
        self,
        engine: PolicyEngine,
        clock: Clock,
        execute: Callable[[api.Action], None],
        on_fault: Callable[[api.Event], None],
        max_gap: int = NO_GAP,
        on_pause: Callable[[], None] = lambda: None,
    ) -> None:
        """`execute` carries out an action; `on_fault` is called with the event that the engine failed on.

        `on_pause` is called before an event that follows the last one after more than `max_gap` microseconds:
        the engine's own timers come more often, so that the process was stopped.
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
        """Carry out what the engine wants done before the first event."""
        self._last_event_at = self._clock.now()
        for action in self._engine.start(self._last_event_at):
            self._execute(action)

    def post(self, event: api.Event) -> None:
        """Hand an event to the engine; those posted while it is handled follow in order."""
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
        """The engine's last word before an attempt goes out, in a process that has not just been stopped."""
        self.notice_pause()
        return self._engine.may_write(now, request, attempt)

    def notice_pause(self) -> None:
        """Call `on_pause` if the process has been stopped since the last event."""
        now = self._clock.now()
        gap, self._last_event_at = now - self._last_event_at, now
        if gap > self._max_gap:
            _log.info("process was paused", seconds=round(gap / 1e6, 3))
            self._on_pause()

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self._engine.handle(self._clock.now(), event)
        except Exception:
            # Fault barrier: a bug in one decision must cost neither a request its answer nor the agent its
            # life. Timers set before the fault still count, as a lost one would end all exchanges and votes.
            _log.exception("decision failed", event_type=type(event).__name__)
            self._on_fault(event)
            actions = [action for action in self._engine.actions if isinstance(action, api.SetTimer)]
        for action in actions:
            try:
                self._execute(action)
            except Exception:  # the other actions of this decision must still be carried out
                _log.exception("action failed", action=type(action).__name__)
