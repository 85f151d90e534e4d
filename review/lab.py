"""A small deployment on loopback addresses: real agents between stand-ins, and a record of what they did.

The stand-ins follow the protocol pages and use the standard library alone. They run in the process of the
test; the agents are started with the `run` command of the deploy file, each in a process of its own.
"""

from __future__ import annotations

import asyncio
import importlib.util
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
FALLBACK = ROOT / "review" / "fallback"  # for requirements-group.txt, where it could not be installed
PYTHON = ROOT / ".venv" / "bin" / "python"
KEPT, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a test
PORTS = (12_000, 32_000)  # below the range for outgoing connections
GONE_SECONDS = 0.15  # no attempt may begin 0.1 s after a client's close; limits are 50 ms longer
READY_SECONDS = 30.0  # the time that an agent has to be ready
SLACK_SECONDS = 0.55  # half a second after its time an answer only earns nothing; limits are 50 ms longer
PROTOCOL_3 = 196608
READY_FOR_QUERY = b"Z\0\0\0\x05I"
_STATEMENT = re.compile(
    rb"(?:SELECT payload FROM entries WHERE ref = '[^']*'"
    rb"|INSERT INTO entries \(ref, payload\) VALUES \('[^']*', '[^']*'\) RETURNING payload)"
    rb" /\* id=([0-9A-Za-z_.:-]+),c=([a-z-]+),d=(\d+)((?:,[a-z]+=[^,*\s]+)*) \*/\Z"
)


class CannotRun(Exception):
    """The test could not be carried out."""


def frame(kind: bytes, payload: bytes) -> bytes:
    """Return one message of the PostgreSQL protocol."""
    return kind + struct.pack("!I", len(payload) + 4) + payload


def error(code: str, text: str = "stand-in") -> bytes:
    """Return an ErrorResponse."""
    return frame(b"E", b"".join(part.encode() + b"\0" for part in ("SERROR", "C" + code, "M" + text)) + b"\0")


def row(value: bytes) -> bytes:
    """Return an answer with one value in one binary column, without ReadyForQuery."""
    column = struct.pack("!H", 1) + b"payload\0" + struct.pack("!IHIhih", 0, 0, 17, -1, -1, 1)
    return (
        frame(b"T", column)
        + frame(b"D", struct.pack("!Hi", 1, len(value)) + value)
        + frame(b"C", b"SELECT 1\0")
    )


def value_for(request: str) -> bytes:
    """Return the value that appliances make for a request, and for no other."""
    return b"value of " + request.encode()


def query(request: str, kind: str, wait_ms: int, **extra: str) -> bytes:
    """Return a client's statement: a look-up for the class `read`, else an insert."""
    more = "".join(f",{name}={value}" for name, value in extra.items())
    comment = f"/* id={request},c={kind},d={wait_ms}{more} */"
    if kind == "read":
        return f"SELECT payload FROM entries WHERE ref = 'k{request}' {comment}".encode()
    insert = "INSERT INTO entries (ref, payload) VALUES"
    return rf"{insert} ('k{request}', '\x9f03') RETURNING payload {comment}".encode()


class Record:
    """What was sent, answered and run, as JSON lines with the seconds since the start of the test."""

    def __init__(self, path: Path) -> None:
        self.started = time.monotonic()
        self.events: list[dict[str, Any]] = []
        self._file = path.open("w")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started

    def add(self, event: str, **fields: Any) -> dict[str, Any]:
        """Add a line."""
        entry = {"t": round(self.now(), 4), "event": event, **fields}
        self.events.append(entry)
        self._file.write(json.dumps(entry) + "\n")
        self._file.flush()
        return entry

    def of(self, event: str, **fields: Any) -> list[dict[str, Any]]:
        """Return the lines of one kind whose fields match."""
        return [
            each
            for each in self.events
            if each["event"] == event and all(each.get(name) == value for name, value in fields.items())
        ]


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Return the type and the payload of the next message."""
    kind, length = struct.unpack("!cI", await reader.readexactly(5))
    return kind, await reader.readexactly(length - 4)


async def read_startup(reader: asyncio.StreamReader) -> None:
    """Read a startup message."""
    (length,) = struct.unpack("!I", await reader.readexactly(4))
    await reader.readexactly(length - 4)


_NETWORK_ERRORS = (OSError, asyncio.IncompleteReadError, EOFError)


class Service:
    """A stand-in that listens on a loopback address."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The address, as `host:port`."""
        return f"127.0.0.1:{self.port}"

    async def listen(self, port: int = 0) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port, limit=1 << 22)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except _NETWORK_ERRORS:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class Appliance(Service):
    """A sound appliance: it begins a query once its last byte has come, and answers after its work."""

    def __init__(self, record: Record, name: str, *, build: int = 41, work: float = 0.05) -> None:
        super().__init__(record)
        self.name, self.build, self.work = name, build, work
        self.in_flight = 0

    def entry(self) -> dict[str, Any]:
        """Return the entry of discovery's list."""
        return {
            "instanceId": self.name,
            "hostPort": self.address,
            "zone": "a",
            "machineType": "m2",
            "cell": 0,
            "lifecycle": "in_service",
            "weight": 1.0,
            "startedAtMs": 0,
            "build": self.build,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer queries one after another."""
        await read_startup(reader)
        writer.write(frame(b"R", b"\0\0\0\0") + frame(b"K", b"\0" * 8) + READY_FOR_QUERY)
        while True:
            kind, payload = await read_message(reader)
            if kind == b"X":
                return
            text = payload.rstrip(b"\0")
            if kind != b"Q" or not (text and (match := _STATEMENT.match(text))):
                if kind == b"Q" and not text:
                    writer.write(frame(b"I", b"") + READY_FOR_QUERY)
                    continue
                self.record.add("unknown statement", at=self.name, text=text[:200].decode("latin-1"))
                writer.write(error("08P01") + READY_FOR_QUERY)
                continue
            await self.run(match, writer)

    async def run(self, match: re.Match[bytes], writer: asyncio.StreamWriter) -> None:
        """Run one statement and answer it."""
        request = match[1].decode()
        self.in_flight += 1
        self.record.add("run", at=self.name, id=request, kind=match[2].decode(), d=int(match[3]))
        try:
            await asyncio.sleep(self.work)
        finally:
            self.in_flight -= 1
        load = frame(b"S", b"vitals\0" + f"inflight={self.in_flight}".encode() + b"\0")
        writer.write(load + row(value_for(request)) + READY_FOR_QUERY)
        await writer.drain()


class Discovery(Service):
    """The list of appliances, as a whole or by watches."""

    def __init__(self, record: Record, appliances: list[Appliance]) -> None:
        super().__init__(record)
        self.generation = 41
        self._appliances = appliances
        self._changed = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        entries = [each.entry() for each in self._appliances]
        return {"generation": self.generation, "reset": True, "instances": entries}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls one after another."""
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ", 2)[1].decode()
            since = re.search(r"since=(\d+)", target)
            wait = re.search(r"timeout_ms=(\d+)", target)
            answer = self.whole()
            if since and int(since[1]) >= self.generation:
                with suppress(TimeoutError):
                    await asyncio.wait_for(
                        self._changed.wait(), min(int(wait[1]) if wait else 0, 60000) / 1e3
                    )
                answer = {"generation": self.generation, "reset": False, "instances": []}
            body = json.dumps(answer).encode()
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
                + body
            )
            await writer.drain()


class Platform(Service):
    """The rollout platform, with one state that does not change."""

    def __init__(self, record: Record, news: dict[str, Any]) -> None:
        super().__init__(record)
        self.news = news

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls, and send news and signs of life where they were asked for."""
        pings: asyncio.Task[None] | None = None
        try:
            while line := await reader.readline():
                call = json.loads(line)
                listens = call["method"] == "listen"
                result = True if listens else self.news
                writer.write(
                    json.dumps({"jsonrpc": "2.0", "id": call["id"], "result": result}).encode() + b"\n"
                )
                if listens:
                    self._notify(writer, "news", self.news)
                    pings = pings or asyncio.create_task(self._ping(writer))
        finally:
            if pings:
                pings.cancel()

    def _notify(self, writer: asyncio.StreamWriter, method: str, params: Any = None) -> None:
        message = {"jsonrpc": "2.0", "method": method} | ({} if params is None else {"params": params})
        writer.write(json.dumps(message).encode() + b"\n")

    async def _ping(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(1.0)
            self._notify(writer, "ping")


@dataclass
class Answer:
    """A final answer, or its absence."""

    what: str  # served, refused, failed, closed (the agent ended the connection) or none
    value: bytes = b""
    code: str = ""


class Connection:
    """A client's connection to an agent."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self._started = False  # whether the answer to the startup message has been read

    @classmethod
    async def open(cls, address: str) -> Connection:
        """Connect and write the startup message, which the first query may follow directly."""
        host, _, port = address.rpartition(":")
        connection = cls(*await asyncio.open_connection(host, int(port)))
        text = b"user\0web\0database\0orders\0\0"
        connection.writer.write(struct.pack("!II", len(text) + 8, PROTOCOL_3) + text)
        return connection

    async def ask(self, text: bytes) -> Answer:
        """Send a query and wait for its final answer."""
        self.send(text)
        return await self.answer()

    def send(self, text: bytes) -> None:
        """Send a query."""
        self.writer.write(frame(b"Q", text + b"\0"))

    async def answer(self) -> Answer:
        """Wait for the final answer of the query sent last."""
        answer = Answer("none")
        try:
            while True:
                kind, payload = await read_message(self.reader)
                if kind == b"I":
                    answer = Answer("empty")
                elif kind == b"D":
                    answer = Answer("served", payload[6:])
                elif kind == b"E":
                    fields = {part[:1]: part[1:].decode() for part in payload.split(b"\0") if part}
                    code = fields.get(b"C", "")
                    answer = Answer("refused" if code in ("53300", "57P03") else "failed", code=code)
                    if fields.get(b"S") == "FATAL":
                        return answer
                elif kind == b"Z" and not self._started:
                    self._started = True
                elif kind == b"Z":
                    return answer
        except _NETWORK_ERRORS:
            return answer if answer.what != "none" else Answer("closed")

    def close(self) -> None:
        """Close the connection: the client has gone."""
        self.writer.transport.abort()


@dataclass
class Agent:
    """One agent: its addresses, its configuration and its process."""

    name: str
    listen: str
    config: Path
    environment: dict[str, str]
    process: subprocess.Popen[bytes] | None = None
    idle: list[Connection] = field(default_factory=list)


class Lab:
    """Agents, appliances, discovery, the platform and the front's connections."""

    def __init__(
        self,
        folder: Path,
        *,
        agents: int = 3,
        appliances: int = 6,
        work: float = 0.05,
        limits: dict[str, Any] | None = None,
    ) -> None:
        self._limits = limits or {}
        self.record = Record(folder / "record.txt")
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.appliances = [Appliance(self.record, f"s-{number}", work=work) for number in range(appliances)]
        self.discovery = Discovery(self.record, self.appliances)
        self.news = {"release": 41, "tranche": 0, "mode": "stable", "exposure": 1.0, "old_ms": 60000}
        self.platform = Platform(self.record, self.news)
        self.agents: list[Agent] = []
        self._agent_count = agents
        self._claimed: list[socket.socket] = []
        self.requests: set[asyncio.Task[None]] = set()

    def free_address(self, kind: int = socket.SOCK_STREAM) -> str:
        """Return a free loopback address, whose port no outgoing connection takes meanwhile."""
        while True:
            port = random.SystemRandom().randrange(*PORTS)
            claimed = socket.socket(socket.AF_INET, kind)
            try:
                claimed.bind(("127.0.0.1", port))
            except OSError:
                claimed.close()
                continue
            self._claimed.append(claimed)
            return f"127.0.0.1:{port}"

    async def open(self, operator: Callable[[int, list[str]], dict[str, Any] | None] | None = None) -> None:
        """Start the stand-ins and the agents, and wait until the agents are ready.

        `operator` returns the operator file of an agent, by its number and the names of all.
        """
        if not PYTHON.exists():
            raise CannotRun("the build command of the deploy file has not been run")
        for service in (*self.appliances, self.discovery, self.platform):
            await service.listen()
        example = json.loads((ROOT / "deploy" / "example.json").read_text())
        names = [f"n{number}" for number in range(self._agent_count)]
        peers = [self.free_address(socket.SOCK_DGRAM) for _ in names]
        listen = [self.free_address() for _ in names]
        broadcast = self.free_address(socket.SOCK_DGRAM)
        for number, name in enumerate(names):
            config = example | {
                "name": name,
                "listen": listen[number],
                "limits": example["limits"] | self._limits,
                "discovery": self.discovery.address,
                "seed": f"{0x8C1F30D27A5BE964 + number:x}",
                "peer_listen": peers[number],
                "peers": peers,
                "peers_all": broadcast,
                "release_api": {"address": self.platform.address, "news": self.news},
                "known": self.discovery.whole() | {"generation": self.discovery.generation - 1},
                "settings": example["settings"] | {"ordinal": number, "nInstances": len(names)},
            }
            path = self.temporary / f"{name}.json"
            path.write_text(json.dumps(config))
            environment = {
                **os.environ,
                "BALANCER_NAME": name,
                "BALANCER_LISTEN": listen[number],
                "BALANCER_DISCOVERY": self.discovery.address,
                "BALANCER_CONFIG": str(path),
                "TMPDIR": str(self.temporary),
                "PYTHONDONTWRITEBYTECODE": "1",
            }
            environment.pop("FROSTFALL_OPERATOR", None)
            if not importlib.util.find_spec("crc32c"):
                environment["PYTHONPATH"] = str(FALLBACK)
            if operator and (section := operator(number, names)):
                operator_path = self.temporary / f"{name}.json5"
                operator_path.write_text(json.dumps(section))
                environment["FROSTFALL_OPERATOR"] = str(operator_path)
            self.agents.append(Agent(name, listen[number], path, environment))
        for claimed in self._claimed:
            claimed.close()
        for agent in self.agents:
            self.start(agent)
        await asyncio.gather(*(self.wait_ready(agent) for agent in self.agents))

    def start(self, agent: Agent) -> None:
        """Start an agent's process with the `run` command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        with (self.temporary / f"{agent.name}.log").open("ab") as log:
            agent.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]],
                cwd=ROOT,
                env=agent.environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.record.add("agent started", agent=agent.name)

    async def wait_ready(self, agent: Agent) -> None:
        """Wait until an agent answers an empty query, as the front does before it takes the agent in."""
        until = self.record.now() + READY_SECONDS
        while self.record.now() < until:
            with suppress(*_NETWORK_ERRORS, TimeoutError):
                connection = await asyncio.wait_for(Connection.open(agent.listen), 2.0)
                answer = await asyncio.wait_for(connection.ask(b""), 2.0)
                if answer.what == "empty":
                    agent.idle.append(connection)
                    self.record.add("agent ready", agent=agent.name)
                    return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{agent.name} was not ready in time: {self.log_tail(agent)}")

    async def wait_responsive(self, agent: Agent, seconds: float) -> bool:
        """Wait until an agent answers an empty query again, at most so long."""
        with suppress(TimeoutError, *_NETWORK_ERRORS):
            async with asyncio.timeout(seconds):
                connection = await Connection.open(agent.listen)
                answer = await connection.ask(b"")
                connection.close()
                return answer.what == "empty"
        return False

    def run_after_leaving(self) -> list[dict[str, Any]]:
        """Return what appliances were sent for requests whose clients had closed their connections before."""
        left = {each["id"]: each["t"] for each in self.record.of("not answered")}
        runs = self.record.of("run")
        return [each for each in runs if each["t"] > left.get(each["id"], each["t"]) + GONE_SECONDS]

    def log_tail(self, agent: Agent) -> str:
        """Return the end of an agent's log."""
        return (self.temporary / f"{agent.name}.log").read_text(errors="replace")[-6000:]

    def send(self, agent: Agent, request: str, kind: str, wait_ms: int, **extra: str) -> asyncio.Task[None]:
        """Send a request through the front; its end is recorded."""
        task = asyncio.create_task(self._send(agent, request, kind, wait_ms, **extra))
        self.requests.add(task)
        task.add_done_callback(self.requests.discard)
        return task

    async def _send(self, agent: Agent, request: str, kind: str, wait_ms: int, **extra: str) -> None:
        text = query(request, kind, wait_ms, **extra)
        # The agent may close a connection between requests. If that crosses a request, the client sends it
        # one more time on a new connection.
        answer, waited = Answer("none"), 0.0
        for attempt in range(2):
            try:
                reused = not attempt and bool(agent.idle)
                connection = agent.idle.pop() if reused else await Connection.open(agent.listen)
            except _NETWORK_ERRORS:
                self.record.add("unreachable", agent=agent.name, id=request)
                return
            sent = self.record.now()
            self.record.add("sent", agent=agent.name, id=request, kind=kind, d=wait_ms, again=attempt)
            try:
                answer = await asyncio.wait_for(connection.ask(text), wait_ms / 1e3 + SLACK_SECONDS)
            except TimeoutError:
                answer = Answer("none")
            waited = self.record.now() - sent
            if answer.what == "closed":
                connection.close()
                if reused:
                    continue
            elif answer.what == "none":
                connection.close()
            elif answer.code != "08P01":
                agent.idle.append(connection)
            break
        right = answer.what != "served" or answer.value == value_for(request)
        # Not counted: a new connection that the agent closed without having sent anything on for its request.
        events = {"none": "not answered", "closed": "closed"}
        self.record.add(
            events.get(answer.what, "answered"),
            agent=agent.name,
            id=request,
            kind=kind,
            what=answer.what,
            code=answer.code,
            right=right,
            waited=round(waited, 4),
        )

    def close(self) -> None:
        """End all processes and stand-ins, and remove the temporary folder."""
        for agent in self.agents:
            for connection in agent.idle:
                connection.close()
            if agent.process and agent.process.poll() is None:
                with suppress(ProcessLookupError):
                    os.killpg(agent.process.pid, signal.SIGKILL)
                agent.process.wait(10)
        for service in (*self.appliances, self.discovery, self.platform):
            service.close()
        shutil.rmtree(self.temporary, ignore_errors=True)


def main(folder: Path, test: Callable[[Path, bool], Awaitable[int]]) -> None:
    """Run a test and exit with its result; `TROUBLE=0` leaves the disruption out."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> None:
        try:
            result = await test(folder, trouble)
        except Exception as fault:
            print(f"the case could not run: {fault!r}")
            result = NOT_RUN
        sys.stdout.flush()
        os._exit(result)  # without waiting for the stand-ins' open connections

    asyncio.run(run())
