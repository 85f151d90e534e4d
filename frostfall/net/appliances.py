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
from frostfall.net.streams import ENDED, Sockets, Stream, connect
from frostfall.net.watchdog import TURN, Watchdog, Watched
from frostfall.protocol.ending import Ending, Progress
from frostfall.protocol.pg_client import ClientSide, Refusal, State

USER, DATABASE = "web", "orders"  # appliances welcome any user
IDLE_PART = 0.75  # of the settings' time: the appliance closes at that time at the latest, often earlier
PAUSE = 0.005  # seconds between looks for a free socket; answers take some tens of these
REST = 20_000  # microseconds after an answer in which a second one, some milliseconds late, would come
SWEEP = 1.0  # seconds: how often idle connections are looked through; well below any idle time

_log = log.get("appliances")


class Connection(Watched):
    """One connection to an appliance."""

    def __init__(self, address: Address, stream: Stream, guard: SlowPeerDetector[Any]) -> None:
        """Speak over this stream."""
        super().__init__()
        self.address = address
        self.stream = stream
        self.machine = ClientSide(USER, DATABASE)
        self.idle_since = 0
        self.side = ConnectionProgress()
        self.attempt: Attempt | None = None  # the one under way
        self.unwritten = 0  # bytes of its query that the kernel has not taken yet
        self._guard = guard

    def look(self, now: float) -> float | None:
        """Judge how the server takes the query and gives the answer; until an attempt begins, not again."""
        if self.attempt is None:
            return None
        reason = self._guard.check_server_reading(self.side, now, self.unwritten + self.stream.unsent)
        if reason is None and self.attempt.progress is Progress.ANSWERING:
            reason = self._guard.check_server_sending(self.side, now)
            if self._guard.suspects_server(self.side, now):
                self.attempt.suspect()
        if reason is None:
            return TURN
        self._guard.shed_counter.record(reason, str(self.address))
        self.attempt.stall(reason)
        return None

    @property
    def usable(self) -> bool:
        """Whether nothing has come on it since its last answer, not even its end."""
        return self.machine.reusable and self.stream.quiet


class Attempt:
    """One attempt under way; `give_up` ends it at once."""

    def __init__(self, class_name: str = "", slowed: Callable[[], None] = lambda: None) -> None:
        """Not begun, for a request of this class; `slowed` is called once if the server turns slow in it."""
        self._slowed = slowed
        self.suspected = False
        self.class_name = class_name
        self.progress = Progress.NO_CONNECTION
        self.given_up = False
        self.stalled: ShedReason | None = None
        self.scope = anyio.CancelScope()

    def give_up(self) -> None:
        """Stop waiting; the connection closes."""
        self.given_up = True
        self.scope.cancel()

    def suspect(self) -> None:
        """The server goes slowly so far; the attempt goes on, but others should go elsewhere."""
        if not self.suspected:
            self.suspected = True
            self._slowed()

    def stall(self, reason: ShedReason) -> None:
        """Stop waiting, as the server goes too slowly; the connection closes."""
        self.suspect()
        self.stalled = reason
        self.scope.cancel()


class Appliances:
    """The pool: by address, the connections that wait for a request."""

    def __init__(
        self,
        clock: Clock,
        limits: Limits,
        sockets: Sockets,
        guard: SlowPeerDetector[Any] | None = None,
        watchdog: Watchdog | None = None,
    ) -> None:
        """Hold as many connections as there are sockets; `watchdog` has to be run by the owner."""
        self._guard = guard or SlowPeerDetector[Any]()
        self._watchdog = Watchdog() if watchdog is None else watchdog
        self._clock = clock
        self._connect_timeout = limits.connect_timeout / 1e6
        self._idle_most = int(limits.connection_idle_timeout * IDLE_PART)
        self._sockets = sockets
        self._count = 0
        self._idle: defaultdict[Address, list[Connection]] = defaultdict(list)

    def __len__(self) -> int:
        """How many connections are open or being opened."""
        return self._count

    async def attempt(
        self,
        attempt: Attempt,
        address: Address,
        statement: Callable[[], bytes | None],
        deadline: int,
        done: Callable[[Ending], None],
    ) -> None:
        """Carry one attempt through and tell its end, exactly once; the connection goes back to the pool.

        `statement` is asked for just before the first byte; with None the attempt is withdrawn.
        """
        try:
            await self._attempt(attempt, address, statement, deadline, done)
        except Exception:
            _log.exception("end of attempt failed")

    async def _attempt(
        self,
        attempt: Attempt,
        address: Address,
        statement: Callable[[], bytes | None],
        deadline: int,
        done: Callable[[Ending], None],
    ) -> None:
        connection: Connection | None = None
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
                and not attempt.given_up
                and not attempt.stalled
                and (self._guard.ended_within_response(connection.side, self._watchdog.now))
            ):
                attempt.stall(ShedReason.SERVER_SENDS_SLOWLY)
                self._guard.shed_counter.record(ShedReason.SERVER_SENDS_SLOWLY, str(address))
            ending = Ending(
                attempt.progress,
                cancelled=attempt.given_up,
                stalled=attempt.stalled is not None,
                timed_out=not attempt.given_up and attempt.stalled is None,
                why=attempt.stalled.value if attempt.stalled else "",
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
        self, connection: Connection, attempt: Attempt, statement: Callable[[], bytes | None]
    ) -> Ending:
        machine, stream, side = connection.machine, connection.stream, connection.side
        attempt.progress, connection.attempt, side.partial_since = Progress.NOT_WRITTEN, attempt, None
        if (text := statement()) is None:
            return Ending(Progress.NOT_WRITTEN, withheld=True, why="withdrawn before it was written")
        try:
            data = machine.ask(text)
            side.bytes_written += len(data)
            connection.unwritten = len(data)
            if self._guard.watches_servers:
                side.class_name = attempt.class_name
                side.peer_reads.reset()
                side.peer_sends.reset()
                if not connection.armed:
                    self._watchdog.arm(connection, TURN)
            await self._write(connection, attempt, data)
            while machine.answer is None:
                received = await stream.receive()
                if attempt.progress is not Progress.ANSWERING:
                    attempt.progress = Progress.ANSWERING
                    side.partial_since, side.partial_start_bytes = self._watchdog.now, side.bytes_received
                side.bytes_received += len(received)
                machine.feed(received)
        except ENDED as error:
            return Ending(attempt.progress, why=repr(error))
        return Ending(attempt.progress, machine.answer, load=machine.load)

    @staticmethod
    async def _write(connection: Connection, attempt: Attempt, data: bytes) -> None:
        # Danger: what the kernel has taken may arrive after all that is done here; only a query of which some
        # byte was never handed over has provably not run. A write that fails has handed over nothing.
        while connection.unwritten:
            if connection.unwritten < len(data):
                await connection.stream.writable()
            rest = memoryview(data)[-connection.unwritten :]
            connection.unwritten -= connection.stream.write(rest)
        attempt.progress = Progress.WRITTEN

    def _take(self, address: Address) -> Connection | None:
        """The connection that was used last, if it still stands."""
        waiting, now = self._idle.get(address, []), self._clock.now()
        for place in range(len(waiting) - 1, -1, -1):
            if now - waiting[place].idle_since < REST:
                continue
            connection = waiting.pop(place)
            if connection.usable and now - connection.idle_since < self._idle_most:
                return connection
            self._drop(connection)
        return None

    async def _open(self, address: Address) -> Connection | Ending:
        with anyio.move_on_after(self._connect_timeout):
            while self._sockets.full and not self.evict():
                await anyio.sleep(PAUSE)
        if self._sockets.full:
            return Ending(Progress.NO_CONNECTION, why="no connection is free")
        self._hold(1)
        connection: Connection | None = None
        answer = None
        why = "no connection in time"
        try:
            with anyio.move_on_after(self._connect_timeout):
                connection = Connection(address, await connect(address), self._guard)
                if waiting := self._guard.options.waiting:
                    connection.stream.bound(waiting.kernel_bytes)
                machine = connection.machine
                await connection.stream.send(machine.opening)
                while machine.state is State.STARTING:
                    machine.feed(await connection.stream.receive())
                if machine.state is State.READY:
                    return connection
                answer, why = machine.answer, "turned away"
        except (OSError, *ENDED) as error:
            why = repr(error)
        finally:
            if connection is None:
                self._hold(-1)
            elif connection.machine.state is not State.READY:
                self._drop(connection)
        refusal = answer if isinstance(answer, Refusal) else None
        return Ending(Progress.NO_CONNECTION, refusal, why=why)

    async def _settle(self, connection: Connection) -> None:
        """Wait for the end of an answer, then keep the connection for the next request."""
        machine = connection.machine
        try:
            if machine.state is State.ANSWERED:  # most often ReadyForQuery came with the answer
                with anyio.move_on_after(self._connect_timeout):
                    while machine.state is State.ANSWERED:
                        machine.feed(await connection.stream.receive())
        except ENDED:
            pass
        finally:
            if machine.reusable:
                connection.idle_since = self._clock.now()
                self._idle[connection.address].append(connection)
            else:
                self._drop(connection)

    def _drop(self, connection: Connection) -> None:
        connection.attempt = None
        self._hold(-1)
        self._watchdog.disarm(connection)
        connection.stream.close()

    def _hold(self, more: int) -> None:
        self._count += more
        self._sockets.used += more

    def keep_only(self, addresses: Container[Address]) -> None:
        """Close what waits for a request to any other address: who listens there next is somebody else."""
        for address in [each for each in self._idle if each not in addresses]:
            for connection in self._idle.pop(address):
                self._drop(connection)

    def evict(self) -> bool:
        """Close the connection that has been idle for longest; False where none is."""
        oldest = min(
            (each[0] for each in self._idle.values() if each), key=lambda each: each.idle_since, default=None
        )
        if oldest is None:
            return False
        self._idle[oldest.address].remove(oldest)
        self._drop(oldest)
        return True

    async def sweep(self) -> None:
        """Close connections that have been idle for long, or that the appliance has closed."""
        while True:
            await anyio.sleep(SWEEP)
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
