"""Pool of connections to upstream servers: opens them on demand, reuses them, and closes idle ones."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Container
from typing import Any

import anyio

from frostfall import log
from frostfall.config import Address
from frostfall.interface import Limits
from frostfall.limits.slow_peer_detector import SlowPeerDetector
from frostfall.net.clock import Clock
from frostfall.net.connection_monitor import ConnectionMonitor
from frostfall.net.streams import STREAM_ERRORS, SocketBudget, connect
from frostfall.net.upstream_connection import UpstreamAttempt, UpstreamConnection
from frostfall.protocol.attempt_result import AttemptProgress, AttemptResult
from frostfall.protocol.pg_client import ConnectionState, ErrorAnswer

IDLE_TIMEOUT_FRACTION = 0.75  # of the timeout in the settings; servers close at that timeout or earlier
SOCKET_POLL_SECONDS = 0.005  # between checks for a free socket; answers take tens of times as long
REUSE_DELAY_MICROS = 20_000  # after an answer; a faulty second answer would follow within milliseconds
SWEEP_INTERVAL_SECONDS = 1.0  # between sweeps of idle connections; well below any idle timeout

_log = log.get_logger("appliances")


class UpstreamPool:
    """Owns all connections to upstream servers and runs attempts over them."""

    def __init__(
        self,
        clock: Clock,
        limits: Limits,
        sockets: SocketBudget,
        slow_peers: SlowPeerDetector[Any] | None = None,
        monitor: ConnectionMonitor | None = None,
    ) -> None:
        """Open connections within the limit of `sockets`; the caller has to run `monitor`."""
        self.sockets = sockets
        self._slow_peers = slow_peers or SlowPeerDetector[Any]()
        self._monitor = ConnectionMonitor() if monitor is None else monitor
        self._clock = clock
        self._connect_timeout = limits.connect_timeout / 1e6  # seconds
        self._idle_timeout = int(limits.connection_idle_timeout * IDLE_TIMEOUT_FRACTION)  # microseconds
        self._count = 0
        self._idle: defaultdict[Address, list[UpstreamConnection]] = defaultdict(list)

    def __len__(self) -> int:
        """Return the number of connections that are open or being opened."""
        return self._count

    @property
    def idle_count(self) -> int:
        """Number of idle connections."""
        return sum(map(len, self._idle.values()))

    async def run_attempt(
        self,
        attempt: UpstreamAttempt,
        address: Address,
        get_statement: Callable[[], bytes | None],
        deadline: int,
        on_end: Callable[[AttemptResult], None],
    ) -> None:
        """Run one attempt and pass its result to `on_end` exactly once; the connection returns to the pool.

        `get_statement` is called just before the first byte is written; if it returns None, nothing is sent.
        `deadline` is in microseconds of Unix time.
        """
        try:
            await self._run_attempt(attempt, address, get_statement, deadline, on_end)
        except Exception:  # an error in one attempt must not end the others
            _log.exception("end of attempt failed")

    async def _run_attempt(
        self,
        attempt: UpstreamAttempt,
        address: Address,
        get_statement: Callable[[], bytes | None],
        deadline: int,
        on_end: Callable[[AttemptResult], None],
    ) -> None:
        connection: UpstreamConnection | None = None
        result = AttemptResult(AttemptProgress.NO_CONNECTION, reason="failed")
        try:
            with attempt.scope:
                attempt.scope.deadline = anyio.current_time() + (deadline - self._clock.now()) / 1e6
                acquired = await self._acquire(address)
                if isinstance(acquired, AttemptResult):
                    result = acquired
                else:
                    connection = acquired
                    result = await connection.exchange(attempt, get_statement)
                return
            # Reached only if the scope interrupted the wait: its deadline passed or it was cancelled.
            if connection is not None and not attempt.cancelled and not attempt.stall_reason:
                connection.record_timeout(attempt)
            result = attempt.interrupted_result()
        except Exception as error:
            _log.exception("attempt failed")
            result = AttemptResult(max(attempt.progress, AttemptProgress.WRITTEN), reason=repr(error))
            if connection is not None:
                self._drop(connection)
                connection = None
        finally:
            # The connection is closed before the result is reported; otherwise a hedged copy of the request
            # could run at the same time as this attempt.
            if connection is not None and not connection.is_answered:
                self._drop(connection)
                connection = None
            if connection is not None:
                connection.attempt = None
            on_end(result)
            if connection is not None:
                await self._release(connection)

    async def _acquire(self, address: Address) -> UpstreamConnection | AttemptResult:
        """Return a connection without a request in flight, or the attempt's result if none is available."""
        if (connection := self._take_idle(address)) is not None:
            return connection
        opened = await self._open(address)
        if isinstance(opened, UpstreamConnection) and not opened.usable:
            self._drop(opened)
            return AttemptResult(AttemptProgress.NOT_WRITTEN, reason="closed before it was used")
        return opened

    def _take_idle(self, address: Address) -> UpstreamConnection | None:
        """Return the most recently used idle connection that is still usable; drop unusable ones."""
        idle, now = self._idle.get(address, []), self._clock.now()
        for index in range(len(idle) - 1, -1, -1):
            if now - idle[index].idle_since < REUSE_DELAY_MICROS:
                continue
            connection = idle.pop(index)
            if connection.usable and now - connection.idle_since < self._idle_timeout:
                return connection
            self._drop(connection)
        return None

    async def _open(self, address: Address) -> UpstreamConnection | AttemptResult:
        with anyio.move_on_after(self._connect_timeout):
            while self.sockets.exhausted and not self.evict_idle():
                await anyio.sleep(SOCKET_POLL_SECONDS)
        if self.sockets.exhausted:
            return AttemptResult(AttemptProgress.NO_CONNECTION, reason="no connection is free")
        self._adjust_socket_count(1)
        connection: UpstreamConnection | None = None
        answer = None
        why = "no connection in time"
        try:
            with anyio.move_on_after(self._connect_timeout):
                stream = await connect(address)
                connection = UpstreamConnection(address, stream, self._slow_peers, self._monitor)
                if waiting := self._slow_peers.options.waiting:
                    stream.limit_send_buffer(waiting.kernel_bytes)
                await connection.open()
                if connection.protocol.state is ConnectionState.READY:
                    return connection
                answer, why = connection.protocol.answer, "turned away"
        except (OSError, *STREAM_ERRORS) as error:
            why = repr(error)
        finally:
            if connection is None:
                self._adjust_socket_count(-1)
            elif connection.protocol.state is not ConnectionState.READY:
                self._drop(connection)
        refusal = answer if isinstance(answer, ErrorAnswer) else None
        return AttemptResult(AttemptProgress.NO_CONNECTION, refusal, reason=why)

    async def _release(self, connection: UpstreamConnection) -> None:
        """Wait for the end of an answer, then retain the connection for another request."""
        protocol = connection.protocol
        try:
            # ReadyForQuery usually arrives together with the answer.
            if protocol.state is ConnectionState.ANSWER_RECEIVED:
                with anyio.move_on_after(self._connect_timeout):
                    while protocol.state is ConnectionState.ANSWER_RECEIVED:
                        protocol.feed(await connection.stream.receive())
        except STREAM_ERRORS:
            pass
        finally:
            if protocol.reusable:
                connection.idle_since = self._clock.now()
                self._idle[connection.address].append(connection)
            else:
                self._drop(connection)

    def _drop(self, connection: UpstreamConnection) -> None:
        connection.attempt = None
        self._adjust_socket_count(-1)
        self._monitor.cancel(connection)
        connection.stream.close()

    def _adjust_socket_count(self, change: int) -> None:
        self._count += change
        self.sockets.used += change

    def retain_addresses(self, addresses: Container[Address]) -> None:
        """Close idle connections to any other address, where another server may listen next."""
        for address in [pooled for pooled in self._idle if pooled not in addresses]:
            for connection in self._idle.pop(address):
                self._drop(connection)

    def evict_idle(self) -> bool:
        """Close the connection that has been idle for longest; return False if none is idle."""
        oldest_by_address = (idle[0] for idle in self._idle.values() if idle)
        oldest = min(oldest_by_address, key=lambda connection: connection.idle_since, default=None)
        if oldest is None:
            return False
        self._idle[oldest.address].remove(oldest)
        self._drop(oldest)
        return True

    async def run_sweeper(self) -> None:
        """Close connections that are idle for too long or closed by the server, until cancelled."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_SECONDS)
            expiry = self._clock.now() - self._idle_timeout
            for address in list(self._idle):
                self._sweep(address, expiry)

    def _sweep(self, address: Address, expiry: int) -> None:
        idle = self._idle[address]
        stale = [candidate for candidate in idle if candidate.idle_since <= expiry or not candidate.usable]
        self._idle[address] = [candidate for candidate in idle if candidate not in stale]
        if not self._idle[address]:
            del self._idle[address]
        for connection in stale:
            self._drop(connection)

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                self._drop(connection)
        self._idle.clear()
