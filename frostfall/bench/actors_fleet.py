"""Stand-ins for a whole fleet: servers that warm up, discovery, the rollout platform and clients that retry.

All communicate over loopback. Each event is written as one JSON line when it occurs, with a time of the
machine's monotonic clock, which all processes share.
"""

from __future__ import annotations

import random
import re
from collections import Counter, deque
from contextlib import AsyncExitStack
from functools import partial
from time import monotonic
from typing import Any

import anyio
import h11
import msgspec

from frostfall.bench import peers
from frostfall.config import Address
from frostfall.net.streams import STREAM_ERRORS, Stream
from frostfall.protocol import pg

_OPERATION = re.compile(rb"op=([0-9A-Za-z-]+)")
_ID = re.compile(rb"id=([0-9A-Za-z-]+)")
MAX_CONCURRENT_REQUESTS = 64  # a server rejects further requests without running them


class Server:
    """A server with a capacity of `rate` requests per second when warm, and the share `cold` at its start.

    The server crashes if more than `fall` times the requests that it can serve in `window` seconds arrive in
    that time: its connections are reset, and it restarts cold.
    """

    def __init__(
        self, name: str, emit: Any, rate: float, cold: float, warm_up: float, fall: float, window: float
    ) -> None:
        self.name, self._emit, self._rate, self._cold = name, emit, rate, cold
        self._warm_up, self._crash_factor, self._window = warm_up, fall, window
        self.started = monotonic() - 3600.0
        self._arrivals: deque[float] = deque()
        self._free_at = 0.0
        self._concurrent = 0
        self.withheld_classes: set[str] = set()  # request classes whose answers are withheld
        self.release_event = anyio.Event()
        self._connections: set[Stream] = set()

    @property
    def share(self) -> float:
        """Return the current capacity as a share of the full rate."""
        return self._cold + (1 - self._cold) * min((monotonic() - self.started) / self._warm_up, 1.0)

    def restart(self) -> None:
        """Reset all connections and restart cold."""
        self.started = monotonic()
        self._arrivals.clear()
        self._free_at, self._concurrent = 0.0, 0
        for stream in list(self._connections):
            stream.reset_on_close()
            stream.close()

    async def serve(self, stream: Stream) -> None:
        """Serve a connection until it ends."""
        self._connections.add(stream)
        try:
            reader = peers.Reader(stream)
            await reader.startup()
            await stream.send(peers.WELCOME)
            while True:
                kind, payload = await reader.message()
                if kind != b"Q":
                    return
                await self._query(stream, payload)
        finally:
            self._connections.discard(stream)

    async def _query(self, stream: Stream, payload: bytes) -> None:
        name, operation = _ID.search(payload), _OPERATION.search(payload)
        request = name[1].decode() if name else ""
        unsafe = payload.startswith(b"INSERT")
        now = monotonic()
        self._arrivals.append(now)
        while self._arrivals and self._arrivals[0] < now - self._window:
            self._arrivals.popleft()
        if len(self._arrivals) > self._crash_factor * self.share * self._rate * self._window:
            self._emit(event="fell", server=self.name, at=now, share=round(self.share, 2))
            self.restart()
            return
        if self._concurrent >= MAX_CONCURRENT_REQUESTS:
            await stream.send(pg.error_response("ERROR", "53300", "full") + pg.READY_FOR_QUERY)
            return
        if unsafe:
            self._emit(
                event="ran",
                server=self.name,
                at=now,
                id=request,
                op=operation[1].decode() if operation else request,
            )
        self._concurrent += 1
        incarnation = self.started
        try:
            self._free_at = max(self._free_at, now) + 1 / (self._rate * self.share)
            await anyio.sleep(self._free_at - now)
            while ("order" if unsafe else "read") in self.withheld_classes:
                await self.release_event.wait()
        finally:
            if self.started == incarnation:
                self._concurrent -= 1
        value = (operation[1] if operation else request.encode()) + b"@" + self.name.encode()
        await stream.send(peers.row(value + b"#" + request.encode()) + pg.READY_FOR_QUERY)


async def fleet(
    emit: Any,
    next_command: Any,
    count: int,
    rate: float = 400.0,
    cold: float = 0.4,
    warm_up: float = 1.0,
    fall: float = 4.0,
    window: float = 2.0,
) -> None:
    """Serve until the input ends.

    Commands: `restart` (all servers), `hold` (withhold the answers of these request classes) and `let_go`
    (send the withheld answers). Each command is acknowledged.
    """
    servers = [Server(f"s-{index}", emit, rate, cold, warm_up, fall, window) for index in range(count)]
    async with AsyncExitStack() as stack:
        addresses = {
            each.name: str(await stack.enter_async_context(peers.listening(each.serve))) for each in servers
        }
        emit(servers=addresses)
        while (command := await next_command()) is not None:
            for each in servers:
                if command.get("restart"):
                    each.restart()
                each.withheld_classes |= set(command.get("hold", ()))
                if command.get("let_go"):
                    each.withheld_classes.clear()
                    each.release_event.set()
                    each.release_event = anyio.Event()
            emit(event="done", what=sorted(command), at=monotonic())


async def discovery(emit: Any, next_command: Any, views: dict[str, dict[str, Any]]) -> None:
    """Serve the endpoint list over HTTP, with watches.

    Each view has its own port and may list other addresses for the same servers. A command
    `{"views": {name: instances}}` changes the lists of views.
    """
    state: dict[str, Any] = {"generation": 100}
    changed = [anyio.Event()]

    async def serve(view: dict[str, Any], stream: Stream) -> None:
        http = h11.Connection(h11.SERVER)
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive())
                continue
            if isinstance(event, h11.ConnectionClosed):
                return
            if isinstance(event, h11.Request):
                target = event.target.decode()
            if not isinstance(event, h11.EndOfMessage):
                continue
            since = re.search(r"since=(\d+)", target)
            if since and int(since[1]) >= state["generation"]:
                wait = re.search(r"timeout_ms=(\d+)", target)
                with anyio.move_on_after(int(wait[1]) / 1000 if wait else 1.0):
                    await changed[0].wait()
            fresh = not since or int(since[1]) < state["generation"]
            body = msgspec.json.encode(
                {
                    "generation": state["generation"],
                    "reset": fresh,
                    "instances": view["instances"] if fresh else [],
                }
            )
            head = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
            for part in (
                h11.Response(status_code=200, headers=head),
                h11.Data(data=body),
                h11.EndOfMessage(),
            ):
                await stream.send(http.send(part) or b"")
            http.start_next_cycle()

    async with AsyncExitStack() as stack:
        for view in views.values():
            await stack.enter_async_context(_listen_on(view["port"], partial(serve, view)))
        emit(ready=True)
        while (command := await next_command()) is not None:
            for name, instances in command["views"].items():
                views[name]["instances"] = instances
            state["generation"] += 1
            changed[0].set()
            changed[0] = anyio.Event()


async def platform(emit: Any, next_command: Any, port: int, news: dict[str, Any]) -> None:
    """Run the rollout platform: send its state to subscribers and report votes, which change no state."""

    async def serve(stream: Stream) -> None:
        data = b""
        while True:
            data += await stream.receive()
            while b"\n" in data:
                line, _, data = data.partition(b"\n")
                request = msgspec.json.decode(line)
                if request["method"] == "listen":
                    messages = [
                        {"jsonrpc": "2.0", "id": request["id"], "result": True},
                        {"jsonrpc": "2.0", "method": "news", "params": news},
                    ]
                else:
                    emit(event="vote", at=monotonic(), **request["params"])
                    messages = [{"jsonrpc": "2.0", "id": request["id"], "result": news}]
                await stream.send(b"".join(msgspec.json.encode(each) + b"\n" for each in messages))

    async with _listen_on(port, serve):
        emit(ready=True)
        while (command := await next_command()) is not None:
            news.update(command)


def _listen_on(port: int, serve: Any) -> Any:
    """Listen on a port that was claimed earlier."""
    return peers.listening(serve, port=port)


class _Operation:
    """An operation that a client wants done once, with all its attempts."""

    def __init__(self, name: str, unsafe: bool) -> None:
        self.name, self.unsafe, self.attempts, self.started_at = name, unsafe, 0, monotonic()


async def crowd(
    emit: Any,
    next_command: Any,
    agents: list[str],
    rate: float,
    unsafe: float,
    tag: str,
    patience: float = 8.0,
    wait_ms: int = 2000,
    seed: int = 1,
    field: bool = True,
) -> None:
    """Run clients that start `rate` operations per second and retry them, also at other agents.

    Every attempt has its own id and the operation's name, and all attempts but the first are marked as
    retries. Commands: `rate` changes the rate; `quiet` starts no more operations and is acknowledged when all
    have ended; `ask` sends the `tries`-th attempt of the non-idempotent operation `name` to `agent`.
    """
    state: dict[str, Any] = {"rate": rate, "open": 0, "quiet": False}
    rng, numbers = random.Random(seed), iter(range(1 << 40))
    free: dict[str, list[peers.NormalClient]] = {each: [] for each in agents}
    count: Counter[str] = Counter()

    async def send_attempt(each: _Operation, agent: str) -> tuple[str, int]:
        each.attempts += 1
        request = f"{each.name}-t{each.attempts}" if field else each.name
        mark = b",op=" + each.name.encode() if field else b""
        if each.attempts > 1 and field:
            mark += b",r=1"
        text = (
            peers.statement(request, "order", wait_ms=wait_ms, upload=4)
            if each.unsafe
            else (peers.statement(request, wait_ms=wait_ms))
        )
        text = text.replace(b" */", mark + b" */")
        began = monotonic()
        if each.unsafe:
            emit(event="asked", op=each.name, id=request, agent=agent, at=began, again=each.attempts > 1)
        client, kind, payload = None, b"", b""
        try:
            with anyio.move_on_after(wait_ms / 1000 + 0.5):
                while free[agent] and client is None:
                    client = free[agent].pop()
                    if not client.stream.is_quiet:  # the agent has closed it
                        client.stream.close()
                        client = None
                client = client or await peers.NormalClient.open(_address(agent))
                kind, payload = await client.ask(text)
        except (OSError, *STREAM_ERRORS):
            pass
        if client:
            if kind:
                free[agent].append(client)
            else:
                client.stream.close()
        now, code, after = monotonic(), "", 0
        if kind == b"E":
            fields = pg.error_fields(payload)
            code, after = fields["C"], int(fields.get("D", "0"))
        what = (
            "served"
            if kind == b"D"
            else ""
            if not kind
            else ("refused" if code in ("53300", "57P03") else "failed")
        )
        if each.unsafe:
            emit(
                event="answered",
                op=each.name,
                id=request,
                agent=agent,
                at=now,
                what=what,
                value=payload.decode("latin-1") if what == "served" else code,
            )
        else:
            emit(event="read", agent=agent, at=now, began=began, what=what)
        return what, after

    async def run(each: _Operation) -> None:
        state["open"] += 1
        try:
            target = rng.choice(agents)
            while monotonic() - each.started_at < patience:
                what, after = await send_attempt(each, target)
                if what == "served" or (not each.unsafe and what == "failed"):
                    break
                if what == "failed" and each.attempts >= 3:
                    break
                await anyio.sleep(max(after / 1000, 0.05) * rng.uniform(1.0, 1.3))
                if rng.random() < 0.5:
                    target = rng.choice(agents)
            count["done"] += 1
        finally:
            state["open"] -= 1

    async def start_operations(group: Any) -> None:
        due = monotonic()
        while True:
            due = max(due + 1 / max(state["rate"], 1e-3), monotonic() - 0.5)
            await anyio.sleep(max(due - monotonic(), 0))
            if state["rate"] > 0 and not state["quiet"]:
                name = f"{tag}-{next(numbers)}"
                group.start_soon(run, _Operation(name, rng.random() < unsafe))

    async with anyio.create_task_group() as group:
        group.start_soon(start_operations, group)
        emit(ready=True)
        while (command := await next_command()) is not None:
            state.update({key: value for key, value in command.items() if key in ("rate", "quiet")})
            if ask := command.get("ask"):
                operation = _Operation(ask["name"], True)
                operation.attempts = ask["tries"] - 1
                group.start_soon(send_attempt, operation, ask["agent"])
            if command.get("quiet"):
                while state["open"]:
                    await anyio.sleep(0.02)
                emit(event="quiet", at=monotonic(), done=count["done"])
        group.cancel_scope.cancel()


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


PARTS: dict[str, Any] = {"fleet": fleet, "discovery": discovery, "platform": platform, "crowd": crowd}
