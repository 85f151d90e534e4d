"""Stand-ins for whole fleets: servers that warm up, discovery, the platform, and clients that ask again.

All speak over loopback. What happened is told as it happens, one JSON line an event, with the machine's
monotonic clock, which all processes share.
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
FULL = 64  # requests that a server holds; further ones are turned away unseen


class Server:
    """A server that serves `rate` a second once it is warm, and `cold` of that right after its start.

    With more than `fall` times what it can serve in `window` seconds arriving, it falls over: its connections
    end, and it starts again, cold.
    """

    def __init__(
        self, name: str, say: Any, rate: float, cold: float, warm_up: float, fall: float, window: float
    ) -> None:
        self.name, self._say, self._rate, self._cold = name, say, rate, cold
        self._warm_up, self._fall, self._window = warm_up, fall, window
        self.started = monotonic() - 3600.0
        self._arrived: deque[float] = deque()
        self._free_at = 0.0
        self._held = 0
        self.hold: set[str] = set()  # classes whose answers wait until they are let go
        self.let_go = anyio.Event()
        self._open: set[Stream] = set()

    @property
    def share(self) -> float:
        """The share of its full rate that it can serve now."""
        return self._cold + (1 - self._cold) * min((monotonic() - self.started) / self._warm_up, 1.0)

    def restart(self) -> None:
        """Start anew, cold."""
        self.started = monotonic()
        self._arrived.clear()
        self._free_at, self._held = 0.0, 0
        for stream in list(self._open):
            stream.reset_on_close()
            stream.close()

    async def serve(self, stream: Stream) -> None:
        """Serve one connection to its end."""
        self._open.add(stream)
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
            self._open.discard(stream)

    async def _query(self, stream: Stream, payload: bytes) -> None:
        name, operation = _ID.search(payload), _OPERATION.search(payload)
        request = name[1].decode() if name else ""
        unsafe = payload.startswith(b"INSERT")
        now = monotonic()
        self._arrived.append(now)
        while self._arrived and self._arrived[0] < now - self._window:
            self._arrived.popleft()
        if len(self._arrived) > self._fall * self.share * self._rate * self._window:
            self._say(event="fell", server=self.name, at=now, share=round(self.share, 2))
            self.restart()
            return
        if self._held >= FULL:
            await stream.send(pg.error_response("ERROR", "53300", "full") + pg.READY_FOR_QUERY)
            return
        if unsafe:
            self._say(
                event="ran",
                server=self.name,
                at=now,
                id=request,
                op=operation[1].decode() if operation else request,
            )
        self._held += 1
        began = self.started
        try:
            self._free_at = max(self._free_at, now) + 1 / (self._rate * self.share)
            await anyio.sleep(self._free_at - now)
            while ("order" if unsafe else "read") in self.hold:
                await self.let_go.wait()
        finally:
            if self.started == began:
                self._held -= 1
        value = (operation[1] if operation else request.encode()) + b"@" + self.name.encode()
        await stream.send(peers.row(value + b"#" + request.encode()) + pg.READY_FOR_QUERY)


async def fleet(
    say: Any,
    lines: Any,
    count: int,
    rate: float = 400.0,
    cold: float = 0.4,
    warm_up: float = 1.0,
    fall: float = 4.0,
    window: float = 2.0,
) -> None:
    """Serve until the input ends. Lines: `restart` (all), `hold` (classes), `let_go`; each is answered."""
    servers = [Server(f"s-{place}", say, rate, cold, warm_up, fall, window) for place in range(count)]
    async with AsyncExitStack() as stack:
        where = {
            each.name: str(await stack.enter_async_context(peers.listening(each.serve))) for each in servers
        }
        say(servers=where)
        while (told := await lines()) is not None:
            for each in servers:
                if told.get("restart"):
                    each.restart()
                each.hold |= set(told.get("hold", ()))
                if told.get("let_go"):
                    each.hold.clear()
                    each.let_go.set()
                    each.let_go = anyio.Event()
            say(event="done", what=sorted(told), at=monotonic())


async def discovery(say: Any, lines: Any, views: dict[str, dict[str, Any]]) -> None:
    """The list over HTTP, with watches; each view has a port and may give servers other addresses.

    A line `{"views": {name: instances}}` changes lists.
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
            await stack.enter_async_context(_on(view["port"], partial(serve, view)))
        say(ready=True)
        while (told := await lines()) is not None:
            for name, instances in told["views"].items():
                views[name]["instances"] = instances
            state["generation"] += 1
            changed[0].set()
            changed[0] = anyio.Event()


async def platform(say: Any, lines: Any, port: int, news: dict[str, Any]) -> None:
    """The rollout platform: tells the state to who listens, and counts votes, which move nothing."""

    async def serve(stream: Stream) -> None:
        data = b""
        while True:
            data += await stream.receive()
            while b"\n" in data:
                line, _, data = data.partition(b"\n")
                call = msgspec.json.decode(line)
                if call["method"] == "listen":
                    out = [
                        {"jsonrpc": "2.0", "id": call["id"], "result": True},
                        {"jsonrpc": "2.0", "method": "news", "params": news},
                    ]
                else:
                    say(event="vote", at=monotonic(), **call["params"])
                    out = [{"jsonrpc": "2.0", "id": call["id"], "result": news}]
                await stream.send(b"".join(msgspec.json.encode(each) + b"\n" for each in out))

    async with _on(port, serve):
        say(ready=True)
        while (told := await lines()) is not None:
            news.update(told)


def _on(port: int, serve: Any) -> Any:
    """Listen on a port that was chosen before."""
    return peers.listening(serve, port=port)


class _Operation:
    """What a client wants done once, over all its tries."""

    def __init__(self, name: str, unsafe: bool) -> None:
        self.name, self.unsafe, self.tries, self.began = name, unsafe, 0, monotonic()


async def crowd(
    say: Any,
    lines: Any,
    agents: list[str],
    rate: float,
    unsafe: float,
    tag: str,
    patience: float = 8.0,
    wait_ms: int = 2000,
    seed: int = 1,
    field: bool = True,
) -> None:
    """Clients that begin so many operations a second, and ask again, elsewhere too, until they are answered.

    Every try has an id of its own and the operation's name, and all but the first are marked. Lines: `rate`
    changes the rate, `quiet` (no new operations; answered once all have ended), `ask` (one try at an unsafe
    operation by `name`, at `agent`; it is the `tries`-th).
    """
    state: dict[str, Any] = {"rate": rate, "open": 0, "quiet": False}
    rng, numbers = random.Random(seed), iter(range(1 << 40))
    free: dict[str, list[peers.UsualClient]] = {each: [] for each in agents}
    count: Counter[str] = Counter()

    async def one_try(each: _Operation, agent: str) -> tuple[str, int]:
        each.tries += 1
        request = f"{each.name}-t{each.tries}" if field else each.name
        mark = b",op=" + each.name.encode() if field else b""
        if each.tries > 1 and field:
            mark += b",r=1"
        text = (
            peers.statement(request, "order", wait_ms=wait_ms, upload=4)
            if each.unsafe
            else (peers.statement(request, wait_ms=wait_ms))
        )
        text = text.replace(b" */", mark + b" */")
        began = monotonic()
        if each.unsafe:
            say(event="asked", op=each.name, id=request, agent=agent, at=began, again=each.tries > 1)
        client, kind, payload = None, b"", b""
        try:
            with anyio.move_on_after(wait_ms / 1000 + 0.5):
                while free[agent] and client is None:
                    client = free[agent].pop()
                    if not client.stream.is_quiet:  # its end has come meanwhile
                        client.stream.close()
                        client = None
                client = client or await peers.UsualClient.open(_address(agent))
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
            say(
                event="answered",
                op=each.name,
                id=request,
                agent=agent,
                at=now,
                what=what,
                value=payload.decode("latin-1") if what == "served" else code,
            )
        else:
            say(event="read", agent=agent, at=now, began=began, what=what)
        return what, after

    async def run(each: _Operation) -> None:
        state["open"] += 1
        try:
            home = rng.choice(agents)
            while monotonic() - each.began < patience:
                what, after = await one_try(each, home)
                if what == "served" or (not each.unsafe and what == "failed"):
                    break
                if what == "failed" and each.tries >= 3:
                    break
                await anyio.sleep(max(after / 1000, 0.05) * rng.uniform(1.0, 1.3))
                if rng.random() < 0.5:
                    home = rng.choice(agents)
            count["done"] += 1
        finally:
            state["open"] -= 1

    async def arrive(group: Any) -> None:
        due = monotonic()
        while True:
            due = max(due + 1 / max(state["rate"], 1e-3), monotonic() - 0.5)
            await anyio.sleep(max(due - monotonic(), 0))
            if state["rate"] > 0 and not state["quiet"]:
                name = f"{tag}-{next(numbers)}"
                group.start_soon(run, _Operation(name, rng.random() < unsafe))

    async with anyio.create_task_group() as group:
        group.start_soon(arrive, group)
        say(ready=True)
        while (told := await lines()) is not None:
            state.update({key: value for key, value in told.items() if key in ("rate", "quiet")})
            if ask := told.get("ask"):
                wanted = _Operation(ask["name"], True)
                wanted.tries = ask["tries"] - 1
                group.start_soon(one_try, wanted, ask["agent"])
            if told.get("quiet"):
                while state["open"]:
                    await anyio.sleep(0.02)
                say(event="quiet", at=monotonic(), done=count["done"])
        group.cancel_scope.cancel()


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


PARTS: dict[str, Any] = {"fleet": fleet, "discovery": discovery, "platform": platform, "crowd": crowd}
