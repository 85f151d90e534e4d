"""Runs the policy engine: one event at a time in, its actions out."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from frostfall import interface as api
from frostfall import log
from frostfall.engine.policy_engine import PolicyEngine
from frostfall.net.clock import Clock

_log = log.get_logger("agent")


class EngineDriver:
    """Serialises events; a fault in the engine or in an action ends neither the agent nor its timers."""

    def __init__(
        self,
        engine: PolicyEngine,
        clock: Clock,
        execute: Callable[[api.Action], None],
        on_fault: Callable[[api.Event], None],
    ) -> None:
        """`execute` carries out an action; `on_fault` is called with the event that the engine failed on."""
        self._engine = engine
        self._clock = clock
        self._execute = execute
        self._on_fault = on_fault
        self._events: deque[api.Event] = deque()
        self._handling = False

    def start(self) -> None:
        """Carry out what the engine wants done before the first event."""
        for action in self._engine.start(self._clock.now()):
            self._execute(action)

    def post(self, event: api.Event) -> None:
        """Hand an event to the engine; those posted while it is handled follow in order."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False

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
