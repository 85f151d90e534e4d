"""Appliances: pooled connections, and the attempts that go over them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Container
from typing import Any

import anyio

from frostfall import log
from frostfall.config import Address
from frostfall.interface import Limits
from frostfall.limits.shed_counter import ShedReason
from frostfall.limits.slow_peer_detector import ConnectionProgress, SlowPeerDetector
from frostfall.net.clock import Clock
from frostfall.net.connection_monitor import TICK_SECONDS, ConnectionMonitor, MonitoredConnection
from frostfall.net.streams import STREAM_ERRORS, SocketBudget, Stream, connect
from frostfall.protocol.ending import Ending, Progress
from frostfall.protocol.pg_client import ClientSide, Refusal, State

USER, DATABASE = "web", "orders"  # appliances welcome any user
IDLE_TIMEOUT_FRACTION = (
    0.75  # of the settings' time: the appliance closes at that time at the latest, often earlier
)
SOCKET_POLL_SECONDS = 0.005  # seconds between looks for a free socket; answers take some tens of these
REUSE_DELAY_MICROS = (
    20_000  # microseconds after an answer in which a second one, some milliseconds late, would come
)
SWEEP_INTERVAL_SECONDS = (
    1.0  # seconds: how often idle connections are looked through; well below any idle time
)

_log = log.get_logger("appliances")


class UpstreamConnection(MonitoredConnection):
    """One connection to an appliance."""

    def __init__(self, address: Address, stream: Stream, slow_peers: SlowPeerDetector[Any]) -> None:
        """Speak over this stream."""
        super().__init__()
        self.address = address
        self.stream = stream
        self.machine = ClientSide(USER, DATABASE)
        self.idle_since = 0
        self.progress = ConnectionProgress()
        self.attempt: UpstreamAttempt | None = None  # the one under way
        self.unwritten_bytes = 0  # bytes of its query that the kernel has not taken yet
        self._guard = slow_peers

    def check(self, now: float) -> float | None:
        """Judge how the server takes the query and gives the answer; until an attempt begins, not again."""
        if self.attempt is None:
            return None
        reason = self._guard.check_server_reading(
            self.progress, now, self.unwritten_bytes + self.stream.unacknowledged_bytes
        )
        if reason is None and self.attempt.progress is Progress.ANSWERING:
            reason = self._guard.check_server_sending(self.progress, now)
            if self._guard.suspects_server(self.progress, now):
                self.attempt.mark_degraded()
        if reason is None:
            return TICK_SECONDS
        self._guard.shed_counter.record(reason, str(self.address))
        self.attempt.abort_stalled(reason)
        return None

    @property
    def usable(self) -> bool:
        """Whether nothing has come on it since its last answer, not even its end."""
        return self.machine.reusable and self.stream.is_quiet


class UpstreamAttempt:
    """One attempt under way; `give_up` ends it at once."""

    def __init__(self, class_name: str = "", on_degraded: Callable[[], None] = lambda: None) -> None:
        """Not begun, for a request of this class; `slowed` is called once if the server turns slow in it."""
        self._slowed = on_degraded
        self.degraded = False
        self.class_name = class_name
        self.progress = Progress.NO_CONNECTION
        self.cancelled = False
        self.stall_reason: ShedReason | None = None
        self.scope = anyio.CancelScope()

    def cancel(self) -> None:
        """Stop waiting; the connection closes."""
        self.cancelled = True
        self.scope.cancel()

    def mark_degraded(self) -> None:
        """The server goes slowly so far; the attempt goes on, but others should go elsewhere."""
        if not self.degraded:
            self.degraded = True
            self._slowed()

    def abort_stalled(self, reason: ShedReason) -> None:
        """Stop waiting, as the server goes too slowly; the connection closes."""
        self.mark_degraded()
        self.stall_reason = reason
        self.scope.cancel()


class UpstreamPool:
    """The pool: by address, the connections that wait for a request."""

    def __init__(
        self,
        clock: Clock,
        limits: Limits,
        sockets: SocketBudget,
        slow_peers: SlowPeerDetector[Any] | None = None,
        monitor: ConnectionMonitor | None = None,
    ) -> None:
        """Hold as many connections as there are sockets; `watchdog` has to be run by the owner."""
        self._guard = slow_peers or SlowPeerDetector[Any]()
        self._watchdog = ConnectionMonitor() if monitor is None else monitor
        self._clock = clock
        self._connect_timeout = limits.connect_timeout / 1e6
        self._idle_most = int(limits.connection_idle_timeout * IDLE_TIMEOUT_FRACTION)
        self._sockets = sockets
        self._count = 0
        self._idle: defaultdict[Address, list[UpstreamConnection]] = defaultdict(list)

    def __len__(self) -> int:
        """How many connections are open or being opened."""
        return self._count

    async def run_attempt(
        self,
        attempt: UpstreamAttempt,
        address: Address,
        get_statement: Callable[[], bytes | None],
        deadline: int,
        on_end: Callable[[Ending], None],
    ) -> None:
        """Carry one attempt through and tell its end, exactly once; the connection goes back to the pool.

        `statement` is asked for just before the first byte; with None the attempt is withdrawn.
        """
        try:
            await self._attempt(attempt, address, get_statement, deadline, on_end)
        except Exception:
            _log.exception("end of attempt failed")

    async def _attempt(
        self,
        attempt: UpstreamAttempt,
        address: Address,
        statement: Callable[[], bytes | None],
        deadline: int,
        done: Callable[[Ending], None],
    ) -> None:
        connection: UpstreamConnection | None = None
        ending = Ending(Progress.NO_CONNECTION, why="failed")
        try:
            with attempt.scope:
                attempt.scope.deadline = anyio.current_time() + (deadline - self._clock.now()) / 1e6
                connection = self._take(address)
                if connection is None:
                    opened = await self._open(address)
                    if isinstance(opened, Ending):
                        ending = opened
                        return
                    connection = opened
                    if not connection.usable:
                        self._drop(connection)
                        connection = None
                        ending = Ending(Progress.NOT_WRITTEN, why="closed before it was used")
                        return
                ending = await self._exchange(connection, attempt, statement)
                return
            # Only a scope that ended the wait comes here: the time is over, or the attempt was given up.
            if (
                connection is not None
                and not attempt.cancelled
                and not attempt.stall_reason
                and (self._guard.ended_within_response(connection.progress, self._watchdog.now))
            ):
                attempt.abort_stalled(ShedReason.SERVER_SENDS_SLOWLY)
                self._guard.shed_counter.record(ShedReason.SERVER_SENDS_SLOWLY, str(address))
            ending = Ending(
                attempt.progress,
                cancelled=attempt.cancelled,
                stalled=attempt.stall_reason is not None,
                timed_out=not attempt.cancelled and attempt.stall_reason is None,
                why=attempt.stall_reason.value if attempt.stall_reason else "",
            )
        except Exception as error:
            _log.exception("attempt failed")
            ending = Ending(max(attempt.progress, Progress.WRITTEN), why=repr(error))
            if connection is not None:
                self._drop(connection)
                connection = None
        finally:
            # Danger: the end is told when the connection is closed, or a second copy could be out beside it.
            if connection is not None and connection.machine.state not in (State.READY, State.ANSWERED):
                self._drop(connection)
                connection = None
            if connection is not None:
                connection.attempt = None
            done(ending)
            if connection is not None:
                await self._settle(connection)

    async def _exchange(
        self, connection: UpstreamConnection, attempt: UpstreamAttempt, statement: Callable[[], bytes | None]
    ) -> Ending:
        machine, stream, side = connection.machine, connection.stream, connection.progress
        attempt.progress, connection.attempt, side.partial_since = Progress.NOT_WRITTEN, attempt, None
        if (text := statement()) is None:
            return Ending(Progress.NOT_WRITTEN, withheld=True, why="withdrawn before it was written")
        try:
            data = machine.ask(text)
            side.bytes_written += len(data)
            connection.unwritten_bytes = len(data)
            if self._guard.watches_servers:
                side.class_name = attempt.class_name
                side.peer_reads.reset()
                side.peer_sends.reset()
                if not connection.armed:
                    self._watchdog.schedule(connection, TICK_SECONDS)
            await self._write(connection, attempt, data)
            while machine.answer is None:
                received = await stream.receive()
                if attempt.progress is not Progress.ANSWERING:
                    attempt.progress = Progress.ANSWERING
                    side.partial_since, side.partial_start_bytes = self._watchdog.now, side.bytes_received
                side.bytes_received += len(received)
                machine.feed(received)
        except STREAM_ERRORS as error:
            return Ending(attempt.progress, why=repr(error))
        return Ending(attempt.progress, machine.answer, load=machine.load)

    @staticmethod
    async def _write(connection: UpstreamConnection, attempt: UpstreamAttempt, data: bytes) -> None:
        # Danger: what the kernel has taken may arrive after all that is done here; only a query of which some
        # byte was never handed over has provably not run. A write that fails has handed over nothing.
        while connection.unwritten_bytes:
            if connection.unwritten_bytes < len(data):
                await connection.stream.wait_writable()
            rest = memoryview(data)[-connection.unwritten_bytes :]
            connection.unwritten_bytes -= connection.stream.write(rest)
        attempt.progress = Progress.WRITTEN

    def _take(self, address: Address) -> UpstreamConnection | None:
        """The connection that was used last, if it still stands."""
        waiting, now = self._idle.get(address, []), self._clock.now()
        for place in range(len(waiting) - 1, -1, -1):
            if now - waiting[place].idle_since < REUSE_DELAY_MICROS:
                continue
            connection = waiting.pop(place)
            if connection.usable and now - connection.idle_since < self._idle_most:
                return connection
            self._drop(connection)
        return None

    async def _open(self, address: Address) -> UpstreamConnection | Ending:
        with anyio.move_on_after(self._connect_timeout):
            while self._sockets.exhausted and not self.evict_idle():
                await anyio.sleep(SOCKET_POLL_SECONDS)
        if self._sockets.exhausted:
            return Ending(Progress.NO_CONNECTION, why="no connection is free")
        self._hold(1)
        connection: UpstreamConnection | None = None
        answer = None
        why = "no connection in time"
        try:
            with anyio.move_on_after(self._connect_timeout):
                connection = UpstreamConnection(address, await connect(address), self._guard)
                if waiting := self._guard.options.waiting:
                    connection.stream.limit_send_buffer(waiting.kernel_bytes)
                machine = connection.machine
                await connection.stream.send(machine.opening)
                while machine.state is State.STARTING:
                    machine.feed(await connection.stream.receive())
                if machine.state is State.READY:
                    return connection
                answer, why = machine.answer, "turned away"
        except (OSError, *STREAM_ERRORS) as error:
            why = repr(error)
        finally:
            if connection is None:
                self._hold(-1)
            elif connection.machine.state is not State.READY:
                self._drop(connection)
        refusal = answer if isinstance(answer, Refusal) else None
        return Ending(Progress.NO_CONNECTION, refusal, why=why)

    async def _settle(self, connection: UpstreamConnection) -> None:
        """Wait for the end of an answer, then keep the connection for the next request."""
        machine = connection.machine
        try:
            if machine.state is State.ANSWERED:  # most often ReadyForQuery came with the answer
                with anyio.move_on_after(self._connect_timeout):
                    while machine.state is State.ANSWERED:
                        machine.feed(await connection.stream.receive())
        except STREAM_ERRORS:
            pass
        finally:
            if machine.reusable:
                connection.idle_since = self._clock.now()
                self._idle[connection.address].append(connection)
            else:
                self._drop(connection)

    def _drop(self, connection: UpstreamConnection) -> None:
        connection.attempt = None
        self._hold(-1)
        self._watchdog.cancel(connection)
        connection.stream.close()

    def _hold(self, more: int) -> None:
        self._count += more
        self._sockets.used += more

    def retain_addresses(self, addresses: Container[Address]) -> None:
        """Close what waits for a request to any other address: who listens there next is somebody else."""
        for address in [each for each in self._idle if each not in addresses]:
            for connection in self._idle.pop(address):
                self._drop(connection)

    def evict_idle(self) -> bool:
        """Close the connection that has been idle for longest; False where none is."""
        oldest = min(
            (each[0] for each in self._idle.values() if each), key=lambda each: each.idle_since, default=None
        )
        if oldest is None:
            return False
        self._idle[oldest.address].remove(oldest)
        self._drop(oldest)
        return True

    async def run_sweeper(self) -> None:
        """Close connections that have been idle for long, or that the appliance has closed."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_SECONDS)
            before = self._clock.now() - self._idle_most
            for address in list(self._idle):
                stale = [each for each in self._idle[address] if each.idle_since <= before or not each.usable]
                self._idle[address] = [each for each in self._idle[address] if each not in stale]
                if not self._idle[address]:
                    del self._idle[address]
                for each in stale:
                    self._drop(each)

    def close(self) -> None:
        """Close what waits for a request."""
        for waiting in self._idle.values():
            for each in waiting:
                self._drop(each)
        self._idle.clear()
