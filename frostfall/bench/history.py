"""Record the events of a run from all processes; a history can be written to a file and read again."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from pathlib import Path
from time import monotonic
from typing import Any

import msgspec

Event = dict[str, Any]


class History:
    """Events in the order in which they were received; safe to use from several threads."""

    def __init__(self, events: Iterable[Event] = ()) -> None:
        """Start with the given events."""
        self.events: list[Event] = list(events)
        self._condition = threading.Condition()

    def add(self, event: Event) -> None:
        """Append an event, and wake the threads that wait."""
        with self._condition:
            self.events.append(event)
            self._condition.notify_all()

    def wait(
        self, matches: Callable[[Event], bool], count: int = 1, since: int = 0, seconds: float = 30.0
    ) -> Event:
        """Wait until `count` events from index `since` on match, and return the last of them.

        Raises TimeoutError after `seconds`.
        """
        deadline, index, found = monotonic() + seconds, since, 0
        with self._condition:
            while True:
                while index < len(self.events):
                    event = self.events[index]
                    index += 1
                    if matches(event):
                        found += 1
                        if found >= count:
                            return event
                if not self._condition.wait(max(deadline - monotonic(), 0)):
                    raise TimeoutError(
                        f"{found} of {count} events in {seconds:g} s; the last events: {self.events[-8:]}"
                    )

    def of(self, kind: str, since: int = 0) -> list[Event]:
        """Return all events of one kind from index `since` on."""
        return [event for event in self.events[since:] if event.get("event") == kind]

    def write(self, path: Path) -> None:
        """Write the events to a file as JSON lines."""
        path.write_bytes(b"".join(msgspec.json.encode(event) + b"\n" for event in self.events))

    @classmethod
    def read(cls, path: Path) -> History:
        """Read a history from a file of JSON lines."""
        return cls(msgspec.json.decode(line) for line in path.read_bytes().splitlines())
