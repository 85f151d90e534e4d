"""Relay every directed link in one process, and cut, delay or reset links, or drop their datagrams.

A link is named `from>to` and can be cut in one direction or in both. Data on a cut connection is kept and
forwarded when the cut ends, as TCP's retransmissions would do. A connection that is opened during a cut is
accepted, and forwarded after it. Datagrams on a cut link are dropped.
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
    """A directed link over TCP."""

    def __init__(self, name: str, target: str) -> None:
        """Forward connections to this `host:port`."""
        self.name, self.target = name, _address(target)
        self.cut: set[str] = set()
        self.delay = 0.0  # seconds, in each direction
        self.reset_after: int | None = None  # bytes forwarded before a reset, once
        self._cut_ended = anyio.Event()
        self._streams: set[Stream] = set()

    def change(self, **options: Any) -> None:
        """Set `cut` (a list of directions), `delay` and `reset_after`; `reset` resets open connections."""
        if "cut" in options:
            self.cut = set(options["cut"])
            if not self.cut:
                self._cut_ended.set()
                self._cut_ended = anyio.Event()
        self.delay = options.get("delay", self.delay)
        self.reset_after = options.get("reset_after", self.reset_after)
        if options.get("reset"):
            for stream in list(self._streams):
                stream.reset_on_close()
                stream.close()

    async def serve(self, client: Stream) -> None:
        """Forward one connection until either side closes it."""
        server: Stream | None = None
        self._streams.add(client)
        try:
            while self.cut:
                await self._cut_ended.wait()
            server = await connect(self.target)
            self._streams.add(server)
            async with anyio.create_task_group() as group:
                group.start_soon(self._pump, client, server, FORTH, group.cancel_scope)
                group.start_soon(self._pump, server, client, BACK, group.cancel_scope)
        except OSError:
            client.reset_on_close()
        finally:
            for stream in (client, server):
                if stream:
                    self._streams.discard(stream)
                    with suppress(Exception):
                        stream.close()

    async def _pump(self, source: Stream, sink: Stream, direction: str, scope: anyio.CancelScope) -> None:
        sent = 0
        try:
            while True:
                data = await source.receive()
                if self.delay:
                    await anyio.sleep(self.delay)
                while direction in self.cut:
                    await self._cut_ended.wait()
                if (
                    direction == FORTH
                    and self.reset_after is not None
                    and sent + len(data) >= self.reset_after
                ):
                    await sink.send(data[: max(self.reset_after - sent, 0)])
                    self.reset_after = None
                    source.reset_on_close()
                    sink.reset_on_close()
                    break
                sent += len(data)
                await sink.send(data)
        except (*STREAM_ERRORS, OSError, ValueError):
            pass
        scope.cancel()


class Datagrams:
    """The datagrams from one agent to another, received on a socket that stands for the other agent."""

    def __init__(self, name: str, target: str) -> None:
        """Forward datagrams to this `host:port` from the socket of the opposite direction."""
        self.name, self.target = name, _address(target)
        self.cut, self.drop, self.delay = False, 0.0, 0.0
        self.random = random.Random(name)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind(("127.0.0.1", 0))
        self.opposite: Datagrams | None = None

    def change(self, **options: Any) -> None:
        """Set `cut`, `drop` (the share of datagrams to drop) and `delay`."""
        if "cut" in options:
            self.cut = FORTH in options["cut"]
        self.drop, self.delay = options.get("drop", self.drop), options.get("delay", self.delay)

    async def run(self) -> None:
        """Forward datagrams until cancelled."""
        while True:
            await anyio.wait_readable(self.socket)
            with suppress(OSError):
                while True:
                    data = self.socket.recv(2048)
                    if not self.cut and self.random.random() >= self.drop and self.opposite:
                        self.opposite.socket.sendto(data, (self.target.host, self.target.port))


async def relay(emit: Any, next_command: Any, links: dict[str, str], datagrams: dict[str, str]) -> None:
    """Relay links until the input ends; a command `{"link": pattern, ...}` changes all links that match."""
    all_links: list[Link | Datagrams] = []
    async with AsyncExitStack() as stack, anyio.create_task_group() as group:
        addresses = {}
        for name, target in links.items():
            link = Link(name, target)
            all_links.append(link)
            addresses[name] = str(await stack.enter_async_context(listening(link.serve)))
        udp_links = {name: Datagrams(name, target) for name, target in datagrams.items()}
        for name, udp_link in udp_links.items():
            source, _, destination = name.partition(">")
            udp_link.opposite = udp_links.get(f"{destination}>{source}")
            all_links.append(udp_link)
            group.start_soon(udp_link.run)
        emit(
            links=addresses,
            datagrams={
                name: "{}:{}".format(*udp_link.socket.getsockname()) for name, udp_link in udp_links.items()
            },
        )
        while (command := await next_command()) is not None:
            pattern = command.pop("link")
            matching = [each for each in all_links if fnmatchcase(each.name, pattern)]
            for each in matching:
                each.change(**command)
            emit(changed=len(matching))
        group.cancel_scope.cancel()
