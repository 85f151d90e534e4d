"""Stand-ins for the review's cases: servers, discovery, platform, clients and the links between rooms.

One process plays all of them on loopback addresses and the real clock, with the standard library alone. The
agents are processes of their own, started by the command of deploy/balancer.toml. Each agent has its own
address for every other party, as on the platform, so that one agent's links can be cut, and agents reach each
other by a relay of datagrams that keeps the addresses of `peers`.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from importlib.util import find_spec
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
READY_FOR_QUERY = b"Z\0\0\0\5I"
WELCOME = b"R\0\0\0\x08\0\0\0\0" + b"K\0\0\0\x0c" + b"\0" * 8 + READY_FOR_QUERY
EMPTY_QUERY = b"Q\0\0\0\5\0"
# A loopback address of this run's own, so that runs side by side do not take each other's free ports.
HOST = f"127.{os.getpid() // 64516 % 254 + 1}.{os.getpid() // 254 % 254 + 1}.{os.getpid() % 254 + 1}"
READY_SECONDS = 10.0
LIMIT_SECONDS = 110.0  # after which a case ends as one that could not run
CALL_TIMEOUT_SECONDS = 2.0  # after which a call of discovery that still waits for its turn fails
_RESERVED = set[int]()  # ports of agents
_ID = re.compile(rb"id=([^,\s]+)")
_WAIT = re.compile(rb"[ ,]d=(\d+)")


class CannotRun(Exception):
    """The case could not be played; its exit code is 2."""


def group_library() -> dict[str, str]:
    """Return the environment of agents with a `group` where requirements-group.txt is not installed."""
    return {} if find_spec("crc32c") else {"PYTHONPATH": str(ROOT / "review" / "fallback")}


def frame(kind: bytes, payload: bytes) -> bytes:
    """Return a message of PostgreSQL's protocol."""
    return kind + struct.pack("!I", len(payload) + 4) + payload


def error(code: bytes, text: bytes = b"stand-in") -> bytes:
    """Return an ErrorResponse and ReadyForQuery."""
    return frame(b"E", b"SERROR\0C" + code + b"\0M" + text + b"\0\0") + READY_FOR_QUERY


def row(value: bytes) -> bytes:
    """Return the answer with one binary value, and ReadyForQuery."""
    column = struct.pack("!H", 1) + b"payload\0" + struct.pack("!IHIhih", 0, 0, 17, -1, -1, 1)
    data = struct.pack("!HI", 1, len(value)) + value
    return frame(b"T", column) + frame(b"D", data) + frame(b"C", b"SELECT 1\0") + READY_FOR_QUERY


class Record:
    """The case's record: one line for each thing that was sent, answered, run or changed."""

    def __init__(self, path: Path) -> None:
        """Write to this file."""
        self._file = path.open("w", encoding="utf-8")
        self._zero = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._zero

    def write(self, what: str, **fields: Any) -> float:
        """Write a line and return its time."""
        at = self.now()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at:9.3f} {what} {text}\n")
        return at

    def close(self) -> None:
        """Write all lines to the disk."""
        self._file.close()


class Link:
    """The way between an agent and one other party; while it is cut, nothing passes and nothing is said."""

    def __init__(self) -> None:
        """Start with a way that is open."""
        self._open = asyncio.Event()
        self._open.set()
        self.listeners: list[socket.socket] = []
        self._fillers: list[socket.socket] = []

    @property
    def is_cut(self) -> bool:
        """Whether the way is cut."""
        return not self._open.is_set()

    async def opened(self) -> None:
        """Wait until the way is open."""
        await self._open.wait()

    def cut(self) -> None:
        """Cut the way for good: open connections say nothing more, and new ones do not come up."""
        self._open.clear()
        for listener in self.listeners:
            # A full queue of connections that nobody accepts leaves further ones without any answer.
            listener.listen(0)
            for _ in range(3):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
                self._fillers.append(filler)


class Wire:
    """One accepted connection, whose bytes pass only while its link is open."""

    def __init__(self, link: Link, raw: socket.socket) -> None:
        """Use an accepted socket."""
        raw.setblocking(False)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.link = link
        self._raw = raw
        self.data = b""
        self.first_byte_at = 0.0  # monotonic seconds of the read that brought the next message's first byte

    async def more(self) -> None:
        """Read more bytes; raise EOFError at the end."""
        got = await asyncio.get_running_loop().sock_recv(self._raw, 65536)
        await self.link.opened()
        if not got:
            raise EOFError
        if not self.data:
            self.first_byte_at = time.monotonic()
        self.data += got

    async def exactly(self, count: int) -> bytes:
        """Return the next `count` bytes."""
        while len(self.data) < count:
            await self.more()
        out, self.data = self.data[:count], self.data[count:]
        return out

    async def until(self, mark: bytes) -> bytes:
        """Return the bytes up to and with a mark."""
        while mark not in self.data:
            await self.more()
        end = self.data.index(mark) + len(mark)
        out, self.data = self.data[:end], self.data[end:]
        return out

    async def message(self) -> tuple[bytes, bytes]:
        """Return the type and payload of the next message of PostgreSQL's protocol."""
        head = await self.exactly(5)
        return head[:1], await self.exactly(struct.unpack("!I", head[1:])[0] - 4)

    async def send(self, data: bytes) -> None:
        """Write all bytes."""
        await self.link.opened()
        await asyncio.get_running_loop().sock_sendall(self._raw, data)

    def reset(self) -> None:
        """Reset the connection."""
        self._raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        asyncio.get_running_loop().remove_reader(self._raw)
        self._raw.close()

    def close(self) -> None:
        """Close the connection."""
        self._raw.close()


class Ports:
    """Listeners on free ports."""

    def __init__(self) -> None:
        """Start without listeners."""
        self.tasks: set[asyncio.Task[None]] = set()
        self.opened: list[socket.socket] = []

    def spawn(self, work: Any) -> None:
        """Run a task until the case ends."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def listen(self, link: Link, serve: Callable[[Wire], Awaitable[None]]) -> str:
        """Serve connections of one link; return the address."""
        listener = bind(socket.SOCK_STREAM)
        listener.setblocking(False)
        listener.listen(256)
        link.listeners.append(listener)
        self.opened.append(listener)
        self.spawn(self._accept(link, listener, serve))
        return f"{HOST}:{listener.getsockname()[1]}"

    async def _accept(
        self, link: Link, listener: socket.socket, serve: Callable[[Wire], Awaitable[None]]
    ) -> None:
        while True:
            await link.opened()
            raw, _ = await asyncio.get_running_loop().sock_accept(listener)
            self.spawn(self._serve(Wire(link, raw), serve))

    async def _serve(self, wire: Wire, serve: Callable[[Wire], Awaitable[None]]) -> None:
        try:
            await serve(wire)
        except (EOFError, OSError):
            pass
        finally:
            wire.close()

    def close(self) -> None:
        """End all tasks and listeners."""
        for task in list(self.tasks):
            task.cancel()
        for listener in self.opened:
            listener.close()


def bind(kind: int) -> socket.socket:
    """Return a socket on a free port that has not been handed out by `free_port`."""
    while True:
        found = socket.socket(socket.AF_INET, kind)
        found.bind((HOST, 0))
        if found.getsockname()[1] not in _RESERVED:
            return found
        found.close()


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a free port for an agent; nothing else in this run takes it, also while the agent is away."""
    with bind(kind) as probe:
        port = int(probe.getsockname()[1])
    _RESERVED.add(port)
    return port


@dataclass
class Arrival:
    """A query that reached a server whole."""

    server: str
    agent: int
    request: str
    first_byte_at: float  # monotonic seconds
    wait_ms: int
    ran: bool


@dataclass
class Server:
    """A sound server: so many cores, a bounded queue, and no new work while it drains."""

    name: str
    zone: str
    record: Record
    build: int = 41
    work_seconds: float = 0.19
    cores: int = 3
    queue: int = 60
    draining: bool = False
    drained_at: float = 0.0
    held: int = 0
    arrivals: list[Arrival] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)
    free: asyncio.Semaphore = field(init=False)

    def __post_init__(self) -> None:
        """Start with all cores free."""
        self.free = asyncio.Semaphore(self.cores)

    async def serve(self, agent: int, wire: Wire) -> None:
        """Serve one agent's connection."""
        await wire.exactly(struct.unpack("!I", await wire.exactly(4))[0] - 4)
        await wire.send(WELCOME)
        while True:
            kind, payload = await wire.message()
            if kind != b"Q":
                return
            if not payload.strip(b"\0 ;"):
                await wire.send(frame(b"I", b"") + READY_FOR_QUERY)
                continue
            name, wait = _ID.search(payload), _WAIT.search(payload)
            if not (name and wait):
                self.record.write("unasked", server=self.name, agent=agent)
                await wire.send(error(b"08P01"))
                return
            request = name[1].decode()
            turned_away = self.draining or self.held >= self.cores + self.queue
            arrival = Arrival(self.name, agent, request, wire.first_byte_at, int(wait[1]), not turned_away)
            self.arrivals.append(arrival)
            self.record.write("attempt", server=self.name, agent=agent, id=request, ran=int(not turned_away))
            if turned_away:
                await wire.send(error(b"53300"))
                continue
            await self._run(request, wire)

    async def _run(self, request: str, wire: Wire) -> None:
        self.held += 1
        try:
            async with self.free:
                self.runs[request] += 1
                await asyncio.sleep(self.work_seconds)
        finally:
            self.held -= 1
        await wire.send(row(value_of(request)))


def value_of(request: str) -> bytes:
    """Return the value with which servers answer a request; no other request has it."""
    return b"value of " + request.encode()


class Discovery:
    """One discovery service; each agent has its own address for it."""

    def __init__(self, record: Record) -> None:
        """Start with an empty list."""
        self.record = record
        self.generation = 40
        self.oldest = 0  # changes since an earlier version are not known any more: the whole list is sent
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}
        self.news = asyncio.Event()
        self.call_seconds = 0.0  # that a call takes; calls are worked through in turn
        self.crowded_until = 0.0  # time of the record up to which others' calls fill the queue
        self.turned_away: set[int] = set()  # agents whose calls find the queue full
        self._open: set[tuple[int, Wire]] = set()
        self._turn = asyncio.Lock()

    def change(self, *entries: dict[str, Any]) -> float:
        """Take in entries as one new version; return the time."""
        self.generation += 1
        for entry in entries:
            name = entry["instanceId"]
            self.changed_at[name] = self.generation
            self.entries[name] = entry
        self.news.set()
        self.news = asyncio.Event()
        return self.record.write(
            "list",
            generation=self.generation,
            changed=",".join(f"{e['instanceId']}:{e['lifecycle']}" for e in entries),
        )

    def view(self, agent: int, since: int | None) -> dict[str, Any]:
        """Return the list, or what changed after a version, with one agent's addresses."""
        if since is not None and since < self.oldest:
            since = None
        chosen = [
            {**entry, "hostPort": entry["hostPort"][agent]}
            for name, entry in self.entries.items()
            if (since is None and entry["lifecycle"] != "terminated")
            or (since is not None and self.changed_at[name] > since)
        ]
        return {"generation": self.generation, "reset": since is None, "instances": chosen}

    def reset(self, agent: int) -> None:
        """Reset one agent's connections."""
        for number, wire in list(self._open):
            if number == agent:
                wire.reset()
        self.record.write("discovery-reset", agent=agent)

    async def _work(self, agent: int) -> bool:
        """Wait for a call's turn and work on it; False if it is turned away or has waited too long."""
        if agent in self.turned_away:
            return False
        until = self.record.now() + CALL_TIMEOUT_SECONDS
        if (left := self.crowded_until - self.record.now()) > 0:
            await asyncio.sleep(min(left, CALL_TIMEOUT_SECONDS))
        async with self._turn:
            if self.record.now() >= until:
                return False
            await asyncio.sleep(self.call_seconds)
        return True

    async def serve(self, agent: int, wire: Wire) -> None:
        """Answer one agent's calls."""
        self._open.add((agent, wire))
        try:
            await self._answer(agent, wire)
        finally:
            self._open.discard((agent, wire))

    async def _answer(self, agent: int, wire: Wire) -> None:
        while True:
            head = (await wire.until(b"\r\n\r\n")).decode("latin-1")
            target = head.split(" ")[1]
            self.record.write("discovery-call", agent=agent, target=target)
            if not await self._work(agent):
                await wire.send(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                self.record.write("discovery-answer", agent=agent, status=503)
                continue
            query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
            since = int(query["since"]) if "since" in query else None
            if since is not None and since >= self.generation:
                with suppress(TimeoutError):
                    await asyncio.wait_for(self.news.wait(), int(query["timeout_ms"]) / 1000)
            body = json.dumps(self.view(agent, since)).encode()
            head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
            await wire.send(head.encode() + body)
            self.record.write("discovery-answer", agent=agent, generation=self.generation, since=since)


class Platform:
    """The rollout platform; nothing is on trial."""

    def __init__(self, record: Record) -> None:
        """Start with a released build."""
        self.record = record
        self.news = {"release": 41, "tranche": 0, "mode": "stable", "exposure": 1.0, "old_ms": 60_000}
        self._listening: set[Wire] = set()

    async def tell(self, **news: Any) -> float:
        """Change the state of the newest build and write it to all that listen; return the time."""
        self.news = {**self.news, **news, "old_ms": 0}
        at = self.record.write("news", **self.news)
        for wire in list(self._listening):
            with suppress(OSError):
                await self._say(wire, {"jsonrpc": "2.0", "method": "news", "params": self.news})
        return at

    async def serve(self, agent: int, wire: Wire) -> None:
        """Answer one agent's calls, and give signs of life."""
        ping: asyncio.Task[None] | None = None
        try:
            while True:
                call = json.loads(await wire.until(b"\n"))
                if call["method"] == "listen":
                    await self._say(wire, {"jsonrpc": "2.0", "id": call["id"], "result": True})
                    await self._say(wire, {"jsonrpc": "2.0", "method": "news", "params": self.news})
                    self._listening.add(wire)
                    ping = asyncio.get_running_loop().create_task(self._ping(wire))
                else:
                    self.record.write("vote", agent=agent, **call["params"])
                    await self._say(wire, {"jsonrpc": "2.0", "id": call["id"], "result": self.news})
        finally:
            self._listening.discard(wire)
            if ping:
                ping.cancel()

    async def _ping(self, wire: Wire) -> None:
        while True:
            await asyncio.sleep(1.0)
            try:
                await self._say(wire, {"jsonrpc": "2.0", "method": "ping"})
            except OSError:
                return

    async def _say(self, wire: Wire, message: dict[str, Any]) -> None:
        await wire.send(json.dumps(message).encode() + b"\n")


class Agent:
    """An agent's process, started by the deploy file's command."""

    def __init__(self, number: int, zone: str, folder: Path) -> None:
        """Take free ports."""
        self.number, self.zone, self.folder = number, zone, folder
        self.name = f"n{number}"
        self.port = free_port()
        self.gossip_port = free_port(socket.SOCK_DGRAM)
        self.config: dict[str, Any] = {}
        self.process: subprocess.Popen[bytes] | None = None
        self.operator: Path | None = None  # the operator file, if the agent has one
        self.log = folder / f"{self.name}.log"

    @property
    def config_path(self) -> Path:
        """The configuration's file."""
        return self.folder / f"{self.name}.json"

    def write_config(self) -> None:
        """Replace the configuration's file."""
        partial = self.config_path.with_suffix(".new")
        partial.write_text(json.dumps(self.config), encoding="utf-8")
        partial.replace(self.config_path)

    def start(self) -> None:
        """Start the process."""
        self.write_config()
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        temporary = Path(tempfile.mkdtemp(dir=self.folder))
        environment = {
            **{name: value for name, value in os.environ.items() if not name.startswith("FROSTFALL_")},
            "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": self.config["listen"],
            "BALANCER_DISCOVERY": self.config["discovery"],
            "BALANCER_CONFIG": str(self.config_path),
            "TMPDIR": str(temporary),
        }
        if self.operator:
            environment["FROSTFALL_OPERATOR"] = str(self.operator)
            environment |= group_library()
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process; the command ends in `exec`, so that it is the agent's own."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    async def ready(self) -> None:
        """Wait until the agent answers an empty query, as the front does."""
        until = time.monotonic() + READY_SECONDS
        while time.monotonic() < until:
            if self.process is None or self.process.poll() is not None:
                raise CannotRun(f"{self.name} has ended: {self.log.read_text()[-400:]}")
            try:
                client = await Client.open(self.port)
                await asyncio.wait_for(client.empty(), 1.0)
                client.close()
                return
            except (OSError, EOFError, TimeoutError):
                await asyncio.sleep(0.02)
        raise CannotRun(f"{self.name} was not ready within {READY_SECONDS} s")

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()


class Client:
    """A connection of a client to an agent."""

    def __init__(self, wire: Wire) -> None:
        """Use a connection whose startup is done."""
        self.wire = wire

    @classmethod
    async def open(cls, port: int) -> Client:
        """Connect and read the welcome."""
        raw = socket.socket()
        raw.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(raw, (HOST, port))
        except OSError:
            raw.close()
            raise
        client = cls(Wire(Link(), raw))
        parameters = b"user\0web\0database\0orders\0\0"
        await client.wire.send(struct.pack("!II", len(parameters) + 8, 196608) + parameters)
        while (await client.wire.message())[0] != b"Z":
            pass
        return client

    async def empty(self) -> None:
        """Send an empty query and wait for its answer."""
        await self.wire.send(EMPTY_QUERY)
        while (await self.wire.message())[0] != b"Z":
            pass

    async def ask(self, text: bytes) -> tuple[str, bytes]:
        """Send a query; return `served` and the value, or the error's code and nothing."""
        await self.wire.send(frame(b"Q", text + b"\0"))
        answer, value = "", b""
        while True:
            try:
                kind, payload = await self.wire.message()
            except EOFError:
                if answer and answer != "served":  # after a fatal error no ReadyForQuery is needed
                    return answer, value
                raise
            if kind == b"D":
                answer, value = "served", payload[6:]
            elif kind == b"E":
                codes = [part[1:] for part in payload.split(b"\0") if part[:1] == b"C"]
                answer = codes[0].decode() if codes else "?"
            elif kind == b"Z":
                return answer, value

    def close(self) -> None:
        """Close the connection."""
        self.wire.close()


@dataclass
class Asked:
    """A request of a client, with its answer."""

    request: str
    agent: int
    at: float
    answer: str = ""  # "served", an error's code, "gave up" or "closed"
    value: bytes = b""
    after: float = 0.0


class World:
    """A small deployment: agents, servers, discovery and the platform, with a link for each pair."""

    def __init__(self, folder: Path, record: Record, settings: dict[str, Any], zones: list[str]) -> None:
        """Create one agent for each entry of `zones`, which names the agents' zones."""
        self.folder, self.record, self.settings = folder, record, settings
        self.ports = Ports()
        self.agents = [Agent(number, zone, folder) for number, zone in enumerate(zones)]
        self.servers: dict[str, Server] = {}
        self.discovery = Discovery(record)
        self.platform = Platform(record)
        self.links: dict[tuple[int, str], Link] = {}
        self.cut_pairs: set[frozenset[int]] = set()
        self._relays: dict[tuple[int, int], socket.socket] = {}
        self.asked: list[Asked] = []
        self._free: dict[int, list[Client]] = {agent.number: [] for agent in self.agents}
        self._count = 0

    def link(self, agent: int, party: str) -> Link:
        """Return the link between an agent and another party."""
        return self.links.setdefault((agent, party), Link())

    def add_server(self, name: str, zone: str, **options: Any) -> None:
        """Start a server, which discovery lists from its next change on."""
        server = self.servers[name] = Server(name, zone, self.record, **options)
        addresses = []
        for agent in self.agents:

            async def serve(wire: Wire, number: int = agent.number) -> None:
                await server.serve(number, wire)

            addresses.append(self.ports.listen(self.link(agent.number, name), serve))
        self.discovery.entries[name] = self.entry(name, addresses)
        self.discovery.changed_at[name] = self.discovery.generation

    def entry(
        self, name: str, addresses: list[str] | None = None, lifecycle: str = "in_service"
    ) -> dict[str, Any]:
        """Return discovery's entry of a server."""
        return {
            "instanceId": name,
            "hostPort": addresses or self.discovery.entries[name]["hostPort"],
            "zone": self.servers[name].zone,
            "machineType": "m",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
            "build": self.servers[name].build,
        }

    def drain(self, name: str) -> float:
        """Tell a server that it drains: it finishes what it has and turns new work away."""
        self.servers[name].draining = True
        return self.record.write("drain", server=name)

    def serve_discovery(self, agent: int, service: Discovery) -> str:
        """Open an address of a discovery service for one agent."""

        async def serve(wire: Wire) -> None:
            await service.serve(agent, wire)

        return self.ports.listen(self.link(agent, "discovery"), serve)

    def configure(self) -> None:
        """Give every agent its configuration, with the list as it stands now."""
        for agent in self.agents:
            number = agent.number

            async def platform(wire: Wire, number: int = number) -> None:
                await self.platform.serve(number, wire)

            peers = [self._relay_address(number, other.number) for other in self.agents]
            agent.config = {
                "name": agent.name,
                "listen": f"{HOST}:{agent.port}",
                "discovery": self.serve_discovery(number, self.discovery),
                "seed": f"{0x8C1F30D27A5BE964 + number:x}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "peer_listen": f"{HOST}:{agent.gossip_port}",
                "peers": peers,
                "peers_all": f"{HOST}:9",
                "release_api": {
                    "address": self.ports.listen(self.link(number, "platform"), platform),
                    "news": dict(self.platform.news),
                },
                "known": self.discovery.view(number, None),
                "settings": {
                    **self.settings,
                    "ordinal": number,
                    "nInstances": len(self.agents),
                    "zone": agent.zone,
                },
            }

    def form_group(self, **options: Any) -> None:
        """Give every agent an operator file with the section `group`, in which all are members.

        The list of their configuration is so old that discovery answers the first call with the whole list.
        """
        self.discovery.oldest = self.discovery.generation
        for agent in self.agents:
            agent.config["known"]["generation"] = self.discovery.generation - 1
        members = [
            {"name": agent.name, "address": f"{HOST}:{free_port()}", "zone": agent.zone}
            for agent in self.agents
        ]
        for agent in self.agents:
            section = {
                "data": str(self.folder / f"{agent.name}-data"),
                "key": "a key of the review, and of nobody else",
                "members": members,
                "new": True,
                "retries_marked": True,
                **options,
            }
            agent.operator = self.folder / f"{agent.name}.json5"
            agent.operator.write_text(json.dumps({"group": section}), encoding="utf-8")

    async def command(self, *arguments: str) -> str:
        """Run the project's command line for operators; return what it prints."""
        process = await asyncio.create_subprocess_exec(
            str(ROOT / ".venv" / "bin" / "python"),
            "-m",
            "frostfall",
            *arguments,
            cwd=ROOT,
            env={**os.environ, **group_library()},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        out, _ = await process.communicate()
        self.record.write("command", line=" ".join(arguments[:2]), code=process.returncode)
        if process.returncode:
            raise CannotRun(f"frostfall {' '.join(arguments[:2])}: {out.decode()[-300:]}")
        return out.decode()

    def _relay_address(self, sender: int, receiver: int) -> str:
        """Open the address at which one agent reaches another."""
        relay = bind(socket.SOCK_DGRAM)
        relay.setblocking(False)
        self._relays[sender, receiver] = relay
        self.ports.opened.append(relay)
        self.ports.spawn(self._pass_on(sender, receiver, relay))
        return f"{HOST}:{relay.getsockname()[1]}"

    async def _pass_on(self, sender: int, receiver: int, relay: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            data, _ = await loop.sock_recvfrom(relay, 512)
            back = self._relays.get((receiver, sender))
            if back is None or frozenset((sender, receiver)) in self.cut_pairs:
                continue
            with suppress(OSError):  # it arrives from the address by which the receiver knows the sender
                back.sendto(data, (HOST, self.agents[receiver].gossip_port))

    def cut_zone(self, zone: str, services: str) -> float:
        """Cut a zone off from the others; discovery and the platform stand in the zone `services`."""
        for agent in self.agents:
            for name, server in self.servers.items():
                if (agent.zone == zone) != (server.zone == zone):
                    self.link(agent.number, name).cut()
            if (agent.zone == zone) != (services == zone):
                self.link(agent.number, "discovery").cut()
                self.link(agent.number, "platform").cut()
            for other in self.agents:
                if (agent.zone == zone) != (other.zone == zone):
                    self.cut_pairs.add(frozenset((agent.number, other.number)))
        return self.record.write("cut", zone=zone)

    async def start(self) -> None:
        """Start all agents and wait until they are ready."""
        for agent in self.agents:
            agent.start()
            self.record.write("agent-start", agent=agent.number)
        await asyncio.gather(*(agent.ready() for agent in self.agents))
        self.record.write("ready")

    async def load_all(self, rate: float, seconds: float, classes: list[tuple[str, int, float]]) -> None:
        """Ask every agent at the same even rate."""
        await asyncio.gather(*(self.load(agent.number, rate, seconds, classes) for agent in self.agents))

    async def load(
        self, agent: int, rate: float, seconds: float, classes: list[tuple[str, int, float]]
    ) -> None:
        """Ask an agent at an even rate; `classes` has each class's name, waiting time in ms and share."""
        began = time.monotonic()
        tasks = []
        for number in range(int(rate * seconds)):
            await asyncio.sleep(max(began + number / rate - time.monotonic(), 0))
            part, chosen = (number * 0.618033988749895) % 1.0, classes[-1]
            for each in classes:
                if part < each[2]:
                    chosen = each
                    break
                part -= each[2]
            tasks.append(asyncio.get_running_loop().create_task(self.ask(agent, chosen[0], chosen[1])))
        await asyncio.gather(*tasks)

    async def ask(self, agent: int, name: str, wait_ms: int, reuse: bool = True) -> Asked:
        """Send one request of a usual client, which gives up after its time, and note the answer."""
        self._count += 1
        asked = Asked(f"{self._count:016x}", agent, time.monotonic())
        self.asked.append(asked)
        self.record.write("request", agent=agent, id=asked.request, c=name, d=wait_ms)
        comment = f"/* id={asked.request},c={name},d={wait_ms} */"
        text = f"SELECT payload FROM entries WHERE ref = 'k{self._count % 997}' {comment}"
        client: Client | None = None
        try:
            async with asyncio.timeout(wait_ms / 1000 + 0.5):
                while reuse and self._free[agent] and client is None:
                    client = self._free[agent].pop()
                for last in (False, True):
                    try:
                        client = client or await Client.open(self.agents[agent].port)
                        asked.answer, asked.value = await client.ask(text.encode())
                        break
                    except (OSError, EOFError):
                        # A close that crossed the request: it is sent once more on a new connection.
                        if client:
                            client.close()
                        client = None
                        asked.answer = "closed"
                        if last:
                            break
        except TimeoutError:
            asked.answer = "gave up"
            if client:
                client.close()
            client = None
        if client:
            self._free[agent].append(client)
        asked.after = time.monotonic() - asked.at
        self.record.write(
            "answer", agent=agent, id=asked.request, answer=asked.answer, after_ms=int(asked.after * 1000)
        )
        return asked

    def forget_connections(self, agent: int) -> None:
        """Drop the clients' connections to an agent that has gone."""
        for client in self._free[agent]:
            client.close()
        self._free[agent] = []

    def arrivals(self, server: str, since: float) -> list[Arrival]:
        """Return the attempts whose first byte reached a server after a time of the record."""
        zero = time.monotonic() - self.record.now()
        return [each for each in self.servers[server].arrivals if each.first_byte_at - zero > since]

    def at(self, arrival: Arrival) -> float:
        """Return the record's time of an attempt."""
        return arrival.first_byte_at - (time.monotonic() - self.record.now())

    def summary(self) -> str:
        """Return how the requests were answered."""
        return ", ".join(
            f"{name}: {count}" for name, count in Counter(a.answer for a in self.asked).most_common()
        )

    def close(self) -> None:
        """End everything that was started."""
        for agent in self.agents:
            agent.kill()
        self.ports.close()


def judge_drain(world: World, server: str, until: float, agent: int | None = None) -> int:
    """Return BROKEN if a server got anything new after a time of the record, from one agent or any."""
    late = [each for each in world.arrivals(server, until) if agent in (None, each.agent)]
    for each in late:
        world.record.write(
            "late", server=server, agent=each.agent, id=each.request, at=f"{world.at(each):.3f}"
        )
    print(f"{len(late)} attempts at {server} after {until:.3f} s; answers: {world.summary()}")
    return BROKEN if late else HELD


def judge_exposure(
    world: World, build: int, cap: float, since: float, window: float, uncounted: float
) -> int:
    """Return BROKEN if an agent's attempts at a build exceed a cap in a window after a time of the record.

    By the rules on sockets, 2 attempts and 4% of the requests above the cap pass.
    """
    zero = time.monotonic() - world.record.now()
    worst = 0.0
    for agent in world.agents:
        attempts = sorted(
            each.first_byte_at - zero
            for server in world.servers.values()
            if server.build == build
            for each in server.arrivals
            if each.agent == agent.number and each.first_byte_at - zero > since
        )
        taken = [each.at - zero for each in world.asked if each.agent == agent.number]
        for at in attempts:
            sent = sum(at - window < other <= at for other in attempts)
            requests = sum(at - window < other <= at for other in taken)
            allowed = (uncounted if cap else 0.0) + 2 + (cap + 0.04) * requests
            if sent > allowed:
                world.record.write(
                    "over",
                    agent=agent.number,
                    at=f"{at:.3f}",
                    sent=sent,
                    requests=requests,
                    allowed=f"{allowed:.1f}",
                )
            worst = max(worst, sent - allowed)
        world.record.write("exposure", agent=agent.number, attempts=len(attempts), since=f"{since:.3f}")
    print(f"attempts at build {build} above the cap: {max(worst, 0):.1f}; answers: {world.summary()}")
    return BROKEN if worst > 0 else HELD


def main(folder: Path, play: Callable[[Path, Record, bool], Awaitable[int]]) -> int:
    """Play a case with its record in `folder`; without trouble if TROUBLE is 0. Return the exit code."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = NOT_RUN
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # all that was started is ended then, too

    async def bounded(folder: Path) -> int:
        async with asyncio.timeout(LIMIT_SECONDS):
            return await play(folder, record, trouble)

    try:
        with tempfile.TemporaryDirectory() as temporary:
            code = asyncio.run(bounded(Path(temporary)))
    except (CannotRun, OSError, KeyboardInterrupt) as fault:
        record.write("cannot-run", why=fault)
        print(f"the case could not run: {fault}", file=sys.stderr)
    finally:
        record.write("exit", code=code)
        record.close()
    return code
