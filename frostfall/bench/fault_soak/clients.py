"""Clients of a soak: each has one behaviour on all its connections and records its requests and answers."""

from __future__ import annotations

import random
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from itertools import count
from time import monotonic
from typing import NamedTuple, Protocol

import anyio

from frostfall.bench.fault_soak.records import (
    AnswerKind,
    HalfQueryRecord,
    Idempotency,
    RequestRecord,
    SoakRecords,
)
from frostfall.bench.peers import SMALL_BUFFER, statement, value_for
from frostfall.config import Address
from frostfall.net.streams import STREAM_ERRORS, Stream, create_socket
from frostfall.protocol import pg

REJECTION_CODES = (b"53300", b"57P03")
CONNECT_SECONDS = 1.0
ANSWER_SLACK_SECONDS = 1.5  # after a request's deadline, before the client closes its connection
VALUE_BYTES = 100
LARGE_VALUE_BYTES = 60_000
PIPELINE_DEPTH = 6
HALF_QUERY_TIMEOUT_SECONDS = 6.0  # before a client that stopped in the middle of a query disconnects

_connection_numbers = count(1)


class Behaviour(Enum):
    """How a client uses its connections."""

    AT_ONCE = "the next query as soon as the answer is there"
    PAUSING = "the next query after 5 to 60 ms"
    SILENT = "nothing for up to 1.5 s after connecting"
    PIPELINING = "several queries at once"
    HALF_QUERY = "half a query and then nothing"
    SLOW_READER = "large values, read slowly"
    LEAVING = "gone before the answer"
    SAME_ID = "the id of a query that is open"
    HASTY = "very little time left"


@dataclass(frozen=True, slots=True)
class ClientOptions:
    """The times of a client's requests, in seconds."""

    wait_seconds: float = 1.5
    unsafe_share: float = 0.3


class ChosenAgent(NamedTuple):
    """An agent and the address at which a client reaches it."""

    name: str
    address: Address


class AgentDirectory(Protocol):
    """Assigns agents to clients, and reports when faults may end connections to an agent."""

    def choose(self, source: random.Random) -> ChosenAgent | None:
        """Return an agent that takes connections; None if there is none."""

    def is_disrupted(self, agent: str) -> bool:
        """Return whether a fault may end connections to this agent now."""


class SingleAgent:
    """A directory of a single agent without faults."""

    def __init__(self, agent: str, address: Address) -> None:
        """Always assign the given agent."""
        self._agent = agent
        self._address = address

    def choose(self, _: random.Random) -> ChosenAgent:
        """Return the agent."""
        return ChosenAgent(self._agent, self._address)

    def is_disrupted(self, _: str) -> bool:
        """Return False: no faults are injected."""
        return False


class SoakClient:
    """One client, which sends requests until `stopping` is set."""

    def __init__(
        self,
        name: str,
        behaviour: Behaviour,
        directory: AgentDirectory,
        records: SoakRecords,
        seed: int,
        options: ClientOptions | None = None,
    ) -> None:
        """Send queries to the agents that `directory` assigns, one for each new connection."""
        self.name = name
        self.behaviour = behaviour
        self.stopping = False
        self._directory = directory
        self._records = records
        self._random = random.Random(f"{seed} {name}")
        self._options = options or ClientOptions()
        self._count = 0

    async def run(self) -> None:
        """Open and use one connection after another until `stopping` is set."""
        while not self.stopping:
            connection = await self._connect()
            if connection is None:
                await anyio.sleep(self._random.uniform(0.02, 0.2))
                continue
            try:
                await self._use_connection(connection)
            finally:
                connection.close()
            for record, value in connection.interrupted:
                await self._resend(record, value)

    async def _connect(self) -> _Connection | None:
        chosen = self._directory.choose(self._random)
        if chosen is None:
            return None
        agent, address = chosen
        try:
            return await _Connection.open(
                agent, address, self.behaviour, self._records, lambda: self._directory.is_disrupted(agent)
            )
        except (OSError, *STREAM_ERRORS):
            return None

    async def _use_connection(self, connection: _Connection) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(connection.read)
            await self._send_requests(connection)
            group.cancel_scope.cancel()

    async def _resend(self, record: RequestRecord, value: bytes) -> None:
        """Send a request once more, on a new connection, because the agent closed the first one."""
        remaining = record.deadline - monotonic()
        connection = await self._connect() if remaining > 0.05 else None
        if connection is None:
            return
        resend = RequestRecord(
            request_id=record.request_id,
            agent=connection.agent,
            connection=connection.number,
            idempotency=record.idempotency,
            written_at=monotonic(),
            wait_seconds=remaining,
            is_resend=True,
        )
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(connection.read)
                await connection.send_request(resend, value)
                await connection.wait_answered(remaining + ANSWER_SLACK_SECONDS)
                group.cancel_scope.cancel()
        finally:
            connection.close()

    async def _send_requests(self, connection: _Connection) -> None:
        if self.behaviour is Behaviour.SILENT:
            await connection.wait_ended(self._random.uniform(0.0, 1.5))
        while not (self.stopping or connection.ended.is_set()):
            match self.behaviour:
                case Behaviour.HALF_QUERY:
                    await self._write_half(connection)
                    return
                case Behaviour.LEAVING:
                    await self._write(connection)
                    await connection.wait_ended(self._random.uniform(0.0, 0.1))
                    return
                case Behaviour.PIPELINING:
                    for _ in range(self._random.randint(2, PIPELINE_DEPTH)):
                        await self._write(connection)
                case Behaviour.SAME_ID:
                    await self._write(connection)
                    self._count -= 1
                    await self._write(connection, is_duplicate_id=True)
                case _:
                    await self._write(connection)
            if not await connection.wait_answered(self._options.wait_seconds + ANSWER_SLACK_SECONDS):
                return
            await self._pause(connection)

    async def _pause(self, connection: _Connection) -> None:
        if self.behaviour not in (Behaviour.AT_ONCE, Behaviour.PIPELINING):
            await connection.wait_ended(self._random.uniform(0.005, 0.06))

    async def _write_half(self, connection: _Connection) -> None:
        text = pg.frame(b"Q", statement(f"{self.name}-half") + b"\0")
        await connection.send(text[: self._random.randint(1, len(text) - 1)])
        stopped_at = monotonic()
        await connection.wait_ended(HALF_QUERY_TIMEOUT_SECONDS)
        if not self._directory.is_disrupted(connection.agent) and not self.stopping:
            ended_at = monotonic() if connection.ended.is_set() else None
            self._records.half_queries.append(HalfQueryRecord(connection.agent, stopped_at, ended_at))

    async def _write(self, connection: _Connection, is_duplicate_id: bool = False) -> None:
        self._count += 1
        is_unsafe = self._random.random() < self._options.unsafe_share
        wait_seconds = self._options.wait_seconds
        if self.behaviour is Behaviour.HASTY:
            wait_seconds = self._random.choice((0.001, 0.01, 0.03))
        is_slow = self.behaviour is Behaviour.SLOW_READER
        record = RequestRecord(
            request_id=f"{self.name}-{self._count}",
            agent=connection.agent,
            connection=connection.number,
            idempotency=Idempotency.NON_IDEMPOTENT if is_unsafe else Idempotency.IDEMPOTENT,
            written_at=monotonic(),
            wait_seconds=wait_seconds,
            is_duplicate_id=is_duplicate_id,
            reads_slowly=is_slow,
        )
        size = LARGE_VALUE_BYTES if is_slow else VALUE_BYTES
        await connection.send_request(record, value_for(record.request_id, size))


class _Connection:
    """One connection of a client; answers arrive in the order of the queries."""

    def __init__(
        self,
        agent: str,
        stream: Stream,
        behaviour: Behaviour,
        records: SoakRecords,
        is_disrupted: Callable[[], bool],
    ) -> None:
        self.agent = agent
        self.number = next(_connection_numbers)
        self.ended = anyio.Event()
        self.open_requests: deque[tuple[RequestRecord, bytes]] = deque()
        self.interrupted: list[tuple[RequestRecord, bytes]] = []  # open when the agent ended the connection
        self._stream = stream
        self._records = records
        self._is_disrupted = is_disrupted
        self._reads_slowly = behaviour is Behaviour.SLOW_READER
        self._data = bytearray()
        self._current: AnswerKind | None = None
        self._value = b""
        self._last_id = ""
        self._progress = anyio.Event()

    @classmethod
    async def open(
        cls,
        agent: str,
        address: Address,
        behaviour: Behaviour,
        records: SoakRecords,
        is_disrupted: Callable[[], bool],
    ) -> _Connection:
        """Open a connection; raise OSError if that fails."""
        raw = create_socket(address)
        try:
            if behaviour is Behaviour.SLOW_READER:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
            with anyio.fail_after(CONNECT_SECONDS):
                try:
                    raw.connect((address.host, address.port))
                except BlockingIOError:
                    await anyio.wait_writable(raw)
            raw.getpeername()  # raises OSError if the connection was not established
            connection = cls(agent, Stream(raw), behaviour, records, is_disrupted)
            await connection.send(pg.startup(user="web", database="orders"))
            return connection
        except BaseException:
            raw.close()
            raise

    async def send_request(self, record: RequestRecord, value: bytes) -> None:
        """Send one query, whose correct answer is `value`."""
        is_unsafe = record.idempotency is Idempotency.NON_IDEMPOTENT
        text = statement(
            record.request_id,
            "order" if is_unsafe else "read",
            len(value),
            max(int(record.wait_seconds * 1000), 1),
        )
        self._records.requests.append(record)
        self.open_requests.append((record, value))
        await self.send(pg.frame(b"Q", text + b"\0"))

    async def send(self, data: bytes) -> None:
        """Send all data, and record the end of the connection if that fails."""
        try:
            await self._stream.send(data)
        except STREAM_ERRORS:
            self._record_end()

    async def read(self) -> None:
        """Read answers until the connection ends."""
        try:
            while True:
                if self._reads_slowly:
                    await anyio.sleep(0.01)
                self._data += await self._stream.receive(8192 if self._reads_slowly else 65536)
                self._parse_messages()
        except STREAM_ERRORS:
            self._record_end()

    def _parse_messages(self) -> None:
        while len(self._data) >= 5:
            kind, length = struct.unpack_from("!cI", self._data)
            if len(self._data) < length + 1:
                return
            payload = bytes(self._data[5 : length + 1])
            del self._data[: length + 1]
            self._handle_message(kind, payload)

    def _handle_message(self, kind: bytes, payload: bytes) -> None:
        if kind == b"D":
            self._value = payload[6:]
        elif kind == b"C":
            self._current = AnswerKind.ROW
        elif kind == b"E":
            code = next((part[1:] for part in payload.split(b"\0") if part[:1] == b"C"), b"")
            self._current = AnswerKind.REJECTED if code in REJECTION_CODES else AnswerKind.FAILED
            if b"SFATAL" in payload.split(b"\0"):
                if self.open_requests:  # otherwise the error is the reason for closing an idle connection
                    self._complete_answer()
                self._current = None
        elif kind == b"Z":
            self._complete_answer()

    def _complete_answer(self) -> None:
        answer, self._current = self._current, None
        if answer is None:
            return
        if not self.open_requests:
            if self._last_id:
                self._records.unexpected_answers.append(self._last_id)
            return
        record, value = self.open_requests.popleft()
        self._last_id = record.request_id
        record.answers.append(answer)
        record.answered_at = monotonic()
        record.is_value_correct = answer is not AnswerKind.ROW or self._value == value
        self._progress.set()

    def _record_end(self) -> None:
        if self.ended.is_set():
            return
        by_fault = self._is_disrupted()
        for record, value in self.open_requests:
            record.connection_ended_at = monotonic()
            record.ended_by_fault = by_fault
            if not (by_fault or record.is_duplicate_id or record.is_resend or record.reads_slowly):
                self.interrupted.append((record, value))
        self.ended.set()
        self._progress.set()

    async def wait_ended(self, seconds: float) -> None:
        """Wait for the end of the connection, for `seconds` at most."""
        with anyio.move_on_after(seconds):
            await self.ended.wait()

    async def wait_answered(self, seconds: float) -> bool:
        """Return whether all open requests were answered within `seconds`."""
        with anyio.move_on_after(seconds):
            while self.open_requests and not self.ended.is_set():
                self._progress = anyio.Event()
                await self._progress.wait()
        return not self.open_requests and not self.ended.is_set()

    def close(self) -> None:
        """Close the connection, and mark its open requests as abandoned by the client."""
        if not self.ended.is_set():
            for record, _ in self.open_requests:
                record.client_disconnected_at = monotonic()
        self._stream.close()
