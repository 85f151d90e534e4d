"""Stand-ins of discovery and of the rollout API, with injected faults."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from email.utils import formatdate
from enum import Enum
from time import monotonic
from typing import Any

import anyio
import msgspec

from frostfall.bench.fault_soak.records import (
    ALL_AGENTS,
    Interval,
    ListChangeRecord,
    NotifiedRecord,
    SoakRecords,
)
from frostfall.net.streams import Stream

_CALL = re.compile(rb"GET /v1/servers(?:\?since=(\d+)&timeout_ms=(\d+))? HTTP")
SLOW_SECONDS = 1.2
OVERLOADED_SECONDS = 0.5
PING_SECONDS = 1.0
IN_SERVICE = "in_service"


class DiscoveryMode(Enum):
    """The way in which discovery answers."""

    USUAL = "usual"
    SLOW = "slow"
    SILENT = "silent"
    OVERLOADED = "crowded"
    RESETTING = "resetting"
    DOWN = "down"  # open calls are reset as well


class CallQueue:
    """Serializes calls, and refuses a call that has waited too long."""

    def __init__(self, call_seconds: float, max_wait_seconds: float) -> None:
        """Process one call every `call_seconds`; a call waits for `max_wait_seconds` at most."""
        self._call_seconds = call_seconds
        self._max_wait_seconds = max_wait_seconds
        self._lock = anyio.Lock()
        self.refused = 0

    async def acquire(self) -> bool:
        """Wait for and process the call; return False if it is refused."""
        with anyio.move_on_after(self._max_wait_seconds) as waiting:
            await self._lock.acquire()
        if waiting.cancelled_caught:
            self.refused += 1
            return False
        try:
            await anyio.sleep(self._call_seconds)
        finally:
            self._lock.release()
        return True


@dataclass(slots=True)
class Discovery:
    """The endpoint list with its changes, for all agents; `records` takes what was sent to each agent."""

    records: SoakRecords
    queue: CallQueue | None = None  # for the first call of each connection
    generation: int = 1
    mode: DiscoveryMode = DiscoveryMode.USUAL
    _entries: dict[str, dict[str, Any]] = field(default_factory=dict)
    _changes: list[tuple[int, dict[str, Any]]] = field(default_factory=list)
    _changed: anyio.Event = field(default_factory=anyio.Event)
    # By agent: the last generation that reached the agent.
    _last_generations: dict[str, int] = field(default_factory=dict)

    def change(self, *entries: dict[str, Any]) -> None:
        """Apply new states of servers as one generation."""
        self.generation += 1
        for entry in entries:
            name = entry["instanceId"]
            if entry["lifecycle"] == "terminated":
                self._entries.pop(name, None)
            else:
                self._entries[name] = entry
            self._changes.append((self.generation, entry))
            self.records.list_changes.append(ListChangeRecord(name, entry["lifecycle"], monotonic()))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def entry(self, name: str) -> dict[str, Any] | None:
        """Return the current endpoint of a server; None if it is not listed."""
        return self._entries.get(name)

    def endpoint_list(self) -> dict[str, Any]:
        """Return the complete endpoint list."""
        return {"generation": self.generation, "reset": True, "instances": list(self._entries.values())}

    def last_list_sent_to(self, agent: str) -> dict[str, Any]:
        """Return the complete endpoint list of the generation that this agent received last."""
        last_sent = self._last_generations.get(agent, self.generation)
        latest = {entry["instanceId"]: entry for number, entry in self._changes if number <= last_sent}
        listed = [entry for entry in latest.values() if entry["lifecycle"] != "terminated"]
        return {"generation": last_sent, "reset": True, "instances": listed}

    def record_initial_list(self, agent: str) -> None:
        """Record that the first configuration of an agent contains the current endpoint list."""
        self._last_generations[agent] = self.generation

    async def play(self, mode: DiscoveryMode, seconds: float) -> None:
        """Answer according to `mode` for some seconds."""
        with self._record_unreachable():
            self.mode = mode
            self._wake()
            await anyio.sleep(seconds)
            self.mode = DiscoveryMode.USUAL

    @contextmanager
    def _record_unreachable(self) -> Iterator[None]:
        """Record an interval in which no agent can rely on an answer."""
        began = monotonic()
        try:
            yield
        finally:
            self.records.unreachable.append(Interval(ALL_AGENTS, began, monotonic()))

    async def serve(self, agent: str, is_reachable: Callable[[], bool], stream: Stream) -> None:
        """Answer the calls of one connection; `is_reachable` returns False while a link is paused."""
        data = b""
        is_first_call = True
        while True:
            while b"\r\n\r\n" not in data:
                data += await stream.receive()
            head, _, data = data.partition(b"\r\n\r\n")
            call = _CALL.match(head)
            if call is None or self._ends_connections:
                stream.reset_on_close()
                return
            if is_first_call and self.queue and not await self.queue.acquire():
                await stream.send(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                return
            is_first_call = False
            since = int(call[1]) if call[1] else None
            if self.mode is DiscoveryMode.OVERLOADED:
                await anyio.sleep(OVERLOADED_SECONDS)
                await stream.send(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                continue
            await self._wait_for_change(since, int(call[2] or 0) / 1000)
            if self.mode is DiscoveryMode.SLOW:
                await anyio.sleep(SLOW_SECONDS)
            while self.mode is DiscoveryMode.SILENT:
                await anyio.sleep(0.05)
            if self._ends_connections:
                stream.reset_on_close()
                return
            if stream.peer_has_closed:  # the agent has closed the connection and is not notified
                return
            await self._answer(agent, stream, since, arrives=is_reachable())

    @property
    def _ends_connections(self) -> bool:
        return self.mode in (DiscoveryMode.RESETTING, DiscoveryMode.DOWN)

    async def _wait_for_change(self, since: int | None, seconds: float) -> None:
        if since is not None and since >= self.generation:
            with anyio.move_on_after(seconds):
                await self._changed.wait()

    async def _answer(self, agent: str, stream: Stream, since: int | None, *, arrives: bool) -> None:
        """Send the endpoint list or its changes, and record what the agent is notified of.

        An answer on a paused link arrives later. Of it, only servers in service are recorded: it may lift a
        restriction on the agent, but not impose one.
        """
        if since is None or since > self.generation:
            answer = self.endpoint_list()
        else:
            latest = {entry["instanceId"]: entry for number, entry in self._changes if number > since}
            answer = {"generation": self.generation, "reset": False, "instances": list(latest.values())}
        body = msgspec.json.encode(answer)
        fields = [
            "HTTP/1.1 200 OK",
            f"Date: {formatdate(usegmt=True)}",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
        ]
        await stream.send("\r\n".join([*fields, "", ""]).encode() + body)
        entries = answer["instances"]
        if arrives:
            self._last_generations[agent] = answer["generation"]
        self._record_notifications(
            agent, [each for each in entries if arrives or each["lifecycle"] == IN_SERVICE]
        )

    def record_complete_list(self, agent: str) -> None:
        """Record that the configuration of an agent contains the current endpoint list."""
        self._record_notifications(agent, list(self._entries.values()))

    def _record_notifications(self, agent: str, entries: list[dict[str, Any]]) -> None:
        now = monotonic()
        self.records.notified += [
            NotifiedRecord(agent, entry["instanceId"], entry["lifecycle"], now) for entry in entries
        ]


@dataclass(slots=True)
class RolloutApi:
    """The state of the newest build, sent to all subscribers; votes are answered and have no effect."""

    state: dict[str, Any]
    _subscribers: set[Stream] = field(default_factory=set)

    async def change(self, **state: Any) -> None:
        """Update the state and send it to all subscribers."""
        self.state.update(state)
        for stream in list(self._subscribers):
            await stream.send(_line(method="news", params=self.state))

    async def serve(self, stream: Stream) -> None:
        """Answer the calls of one connection, and ping it if it has subscribed."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._ping, stream)
            try:
                await self._answer_calls(stream)
            finally:
                self._subscribers.discard(stream)
                group.cancel_scope.cancel()

    async def _answer_calls(self, stream: Stream) -> None:
        data = b""
        while True:
            data += await stream.receive()
            while b"\n" in data:
                line, _, data = data.partition(b"\n")
                call = msgspec.json.decode(line)
                if call["method"] == "listen":
                    self._subscribers.add(stream)
                    await stream.send(_line(id=call["id"], result=True))
                    await stream.send(_line(method="news", params=self.state))
                else:
                    await stream.send(_line(id=call["id"], result=self.state))

    async def _ping(self, stream: Stream) -> None:
        while True:
            await anyio.sleep(PING_SECONDS)
            if stream in self._subscribers:
                await stream.send(_line(method="ping"))


def _line(**fields: Any) -> bytes:
    return msgspec.json.encode({"jsonrpc": "2.0", **fields}) + b"\n"
