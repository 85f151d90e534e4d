"""Relays on every directed link, in one process: cut, cut one way, delayed, reset, lossy for datagrams.

A link is named `from>to`. What is cut is held and goes out when it is healed, as TCP's retransmissions would;
a connection that is opened meanwhile is taken in and not passed on. Datagrams that are cut are gone.
"""

from __future__ import annotations

import random
import socket
from contextlib import AsyncExitStack, suppress
from fnmatch import fnmatchcase
from typing import Any

import anyio

from frostfall.bench.peers import listening
from frostfall.config import Address
from frostfall.net.streams import STREAM_ERRORS, Stream, connect

FORTH, BACK = "forth", "back"


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


class Link:
    """One directed link over TCP."""

    def __init__(self, name: str, target: str) -> None:
        """Pass on to this `host:port`."""
        self.name, self.target = name, _address(target)
        self.cut: set[str] = set()
        self.delay = 0.0  # seconds, each way
        self.reset_after: int | None = None  # bytes forth after which the next connection is reset
        self._healed = anyio.Event()
        self._open: set[Stream] = set()

    def change(self, **told: Any) -> None:
        """Take over `cut` (a list of ways), `delay`, `reset_after`; `reset`: end what is open."""
        if "cut" in told:
            self.cut = set(told["cut"])
            if not self.cut:
                self._healed.set()
                self._healed = anyio.Event()
        self.delay = told.get("delay", self.delay)
        self.reset_after = told.get("reset_after", self.reset_after)
        if told.get("reset"):
            for stream in list(self._open):
                stream.reset_on_close()
                stream.close()

    async def serve(self, near: Stream) -> None:
        """Carry one connection."""
        far: Stream | None = None
        self._open.add(near)
        try:
            while self.cut:
                await self._healed.wait()
            far = await connect(self.target)
            self._open.add(far)
            async with anyio.create_task_group() as group:
                group.start_soon(self._pump, near, far, FORTH, group.cancel_scope)
                group.start_soon(self._pump, far, near, BACK, group.cancel_scope)
        except OSError:
            near.reset_on_close()
        finally:
            for stream in (near, far):
                if stream:
                    self._open.discard(stream)
                    with suppress(Exception):
                        stream.close()

    async def _pump(self, source: Stream, sink: Stream, way: str, scope: anyio.CancelScope) -> None:
        passed = 0
        try:
            while True:
                data = await source.receive()
                if self.delay:
                    await anyio.sleep(self.delay)
                while way in self.cut:
                    await self._healed.wait()
                if way == FORTH and self.reset_after is not None and passed + len(data) >= self.reset_after:
                    await sink.send(data[: max(self.reset_after - passed, 0)])
                    self.reset_after = None
                    source.reset_on_close()
                    sink.reset_on_close()
                    break
                passed += len(data)
                await sink.send(data)
        except (*STREAM_ERRORS, OSError, ValueError):
            pass
        scope.cancel()


class Datagrams:
    """The datagrams between two agents, each of whom takes a socket here for the other."""

    def __init__(self, name: str, target: str) -> None:
        """What comes in here is for this `host:port`, and leaves by the socket of the way back."""
        self.name, self.target = name, _address(target)
        self.cut, self.drop, self.delay = False, 0.0, 0.0
        self.random = random.Random(name)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind(("127.0.0.1", 0))
        self.back: Datagrams | None = None

    def change(self, **told: Any) -> None:
        """Take over `cut`, `drop` (a share) and `delay`."""
        if "cut" in told:
            self.cut = FORTH in told["cut"]
        self.drop, self.delay = told.get("drop", self.drop), told.get("delay", self.delay)

    async def run(self) -> None:
        """Pass on for good."""
        while True:
            await anyio.wait_readable(self.socket)
            with suppress(OSError):
                while True:
                    data = self.socket.recv(2048)
                    if not self.cut and self.random.random() >= self.drop and self.back:
                        self.back.socket.sendto(data, (self.target.host, self.target.port))


async def relay(say: Any, lines: Any, links: dict[str, str], datagrams: dict[str, str]) -> None:
    """Carry these links until the input ends; a line `{"link": pattern, ...}` changes all that match."""
    every: list[Link | Datagrams] = []
    async with AsyncExitStack() as stack, anyio.create_task_group() as group:
        where = {}
        for name, target in links.items():
            link = Link(name, target)
            every.append(link)
            where[name] = str(await stack.enter_async_context(listening(link.serve)))
        pairs = {name: Datagrams(name, target) for name, target in datagrams.items()}
        for name, pair in pairs.items():
            one, _, other = name.partition(">")
            pair.back = pairs.get(f"{other}>{one}")
            every.append(pair)
            group.start_soon(pair.run)
        say(
            links=where,
            datagrams={name: "{}:{}".format(*pair.socket.getsockname()) for name, pair in pairs.items()},
        )
        while (told := await lines()) is not None:
            pattern = told.pop("link")
            hit = [each for each in every if fnmatchcase(each.name, pattern)]
            for each in hit:
                each.change(**told)
            say(changed=len(hit))
        group.cancel_scope.cancel()
