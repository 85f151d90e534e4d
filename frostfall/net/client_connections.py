"""Clients: the listener and its connections."""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Callable, Coroutine
from contextlib import suppress
from time import monotonic
from typing import Any, Protocol

import anyio
from anyio.abc import TaskGroup
from anyio.lowlevel import checkpoint

from frostfall import log
from frostfall.config import Address
from frostfall.limits.arrival_pacing import ArrivalPacer
from frostfall.limits.fair_scheduling import DeficitCounter
from frostfall.limits.shed_counter import ShedReason
from frostfall.limits.slow_peer_detector import ConnectionProgress, SlowPeerDetector
from frostfall.net.connection_monitor import ConnectionMonitor, MonitoredConnection
from frostfall.net.streams import STREAM_ERRORS, SocketBudget, Stream, create_socket
from frostfall.protocol import pg, pg_server
from frostfall.protocol.pg_server import Closed, Query, Reply, ServerSide

LISTEN_BACKLOG = 512  # connections: a burst that comes while the one core is busy elsewhere
PAUSE = 0.01  # seconds: how long accepting rests after an error, or with a crowd that waits to be refused
MAX_ACCEPTS_PER_TURN = (
    16  # connections accepted in one turn, so that a flood of them leaves the others theirs
)
MAX_PENDING_OUTPUT_BYTES = (
    64 * 1024
)  # bytes that may wait to be written before a connection's next query is looked at
MAX_OVERFLOW_CONNECTIONS = (
    8  # connections beyond the bound that are open at once, to be refused or being closed
)
NEW_CONNECTION_GRACE_SECONDS = (
    0.05  # seconds: a usual client writes as soon as it has connected; until then it is not silent
)
IDLE_CLOSE_SECONDS = (
    2.0  # seconds without an open request after which a connection may be closed, by the protocol
)
CHECK_INTERVAL_SECONDS = 0.25  # seconds between looks at a client that something is owed to or by
IDLE_CLOSE_FILL_FRACTION = (
    0.5  # of the clients' bound: with more open, those that are idle for long are closed
)
SMALL_BUFFER_BYTES = (
    8 * 1024
)  # bytes: what a connection may always hold unread, for all of them together is little

_log = log.get_logger("clients")


class QueryHandler(Protocol):
    """What a connection needs of the agent."""

    def handle_query(self, client: ClientConnection, text: bytes) -> str | None:
        """Take a query, or say why it is malformed."""

    def client_disconnected(self, client: ClientConnection) -> None:
        """The client has gone."""


class ClientConnection(MonitoredConnection):
    """One client's connection."""

    def __init__(
        self,
        stream: Stream,
        handler: QueryHandler,
        owner: ClientConnections,
        is_overflow: bool = False,
        source: str = "",
    ) -> None:
        """Serve this stream, which came from this address; a crowded one gets one answer, a refusal."""
        super().__init__()
        self.is_overflow = is_overflow
        self.source = source
        self.progress = ConnectionProgress()
        self._turns = DeficitCounter(owner.slow_peers.options.turn)
        self.opened_at = monotonic()
        self.request: str | None = None  # the request that waits for its answer
        self.draining = is_overflow
        self.buffered_bytes = 0  # bytes unread
        self._stream = stream
        self._front = handler
        self._owner = owner
        self._machine = ServerSide()
        self._out = bytearray()
        self._out_since = 0.0
        self._flushed = anyio.Event()
        self._answered = anyio.Event()
        self._scope = anyio.CancelScope()
        self._advancing = False
        self._gone = False  # whether the client has left, or is done with
        self._last = False  # whether the connection is to end once what is to be said is said
        self._last_at = 0.0
        self.last_used_at = self.opened_at  # when it last brought something or was answered
        self._came = owner.monitor.now  # the same as `opened`, attended
        self._asked = False  # whether a whole query has come
        self._served = False
        owner.monitor.schedule(self, IDLE_CLOSE_SECONDS)

    async def run(self) -> None:
        """Serve until either side ends it."""
        try:
            with self._scope:
                if await self._read():
                    while self._out:
                        await self._flushed.wait()
                    while await self._on_its_way():
                        self._stream.discard_input()
                    self._stream.discard_input()
        finally:
            self._gone = True
            self._front.client_disconnected(self)
            self._stream.close()

    def answer(self, data: bytes) -> None:
        """Give the final answer to the query that waits; the next one is then read."""
        self.request = None
        self._served = True
        self.last_used_at = monotonic()
        self._machine.answered()
        self._say(data, last=self.draining and not self._machine.buffered)
        self._answered.set()
        if self._machine.buffered and not self._advancing:
            self._owner.start_soon(self._go_on)
        self._owner.mark_idle(self)

    @property
    def idle(self) -> bool:
        """Whether nothing is under way: no answer is owed and no query half read."""
        return not (self._machine.busy or self._machine.buffered or self._last)

    @property
    def can_close(self) -> bool:
        """Whether it is idle and may be closed before its time."""
        # Danger: a client sends a request that crossed a close once more and not again. Closed before it has
        # got an answer, the connection that carries it would lose it.
        return self.idle and (self._served or monotonic() - self.opened_at > IDLE_CLOSE_SECONDS)

    def drain(self) -> None:
        """End once the answer is given, or at once where it may be closed."""
        self.draining = True
        if self.can_close:
            self.end()

    def end(self) -> None:
        """End at once where no answer is owed; what has come by now is still answered."""
        self.draining = True
        if not self._machine.busy:
            self._say(b"", last=True)

    def check(self, now: float) -> float | None:
        """Judge how the client reads and sends: the one rule on which connections close for either."""
        if self._gone or not self._owner.is_open(self):
            return None
        guard, longest = self._owner.slow_peers, self._owner.max_request_seconds
        waits = len(self._out)
        if guard.watches_clients:
            waits += self._stream.unacknowledged_bytes
            reason = guard.check_client_reading(self, self.progress, self.source, now, waits)
            if reason:
                self.shed(reason)
            else:
                self._owner.enforce_buffer_limits(self)
            if self._gone:
                return None
        if self._out:
            if (
                guard.options.clients.reading_rate(self.progress.class_name)
                or now - self._out_since <= longest
            ):
                return CHECK_INTERVAL_SECONDS
            self._leave()  # without a least rate: beyond that time nobody reads what is worth nothing by now
        elif self._machine.busy or self._last:
            pass
        elif self.progress.partial_since is not None and guard.options.clients.sending:
            if not (reason := guard.check_client_sending(self.progress, now)):
                return CHECK_INTERVAL_SECONDS
            guard.shed_counter.record(reason, self.source)
            self._refuse(pg.Malformed.SILENT)
        elif not self._asked or self.progress.partial_since is not None:
            since = self._came if self.progress.partial_since is None else self.progress.partial_since
            since = since if self._asked else self._came
            if now - since <= IDLE_CLOSE_SECONDS:
                return max(IDLE_CLOSE_SECONDS - (now - since), CHECK_INTERVAL_SECONDS)
            self._refuse(pg.Malformed.SILENT)
        return CHECK_INTERVAL_SECONDS if waits else None

    def shed(self, reason: ShedReason) -> None:
        """Give the client up: it could not be told anything, as nothing goes out to it in time."""
        # Danger: closed in the usual way, the kernel would hold what is unread until its own time-outs,
        # minutes later.
        self._owner.slow_peers.shed_counter.record(reason, self.source)
        self._owner.slow_peers.budget.release(self)
        self._stream.reset_on_close()
        self._leave()

    def _leave(self) -> None:
        self._gone = True
        self._scope.cancel()

    def _refuse(self, why: pg.Malformed, text: str | None = None) -> None:
        self._owner.malformed_counts[text or why.value] += 1
        self._say(self._machine.refuse(why, text).data, last=True)

    def _say(self, data: bytes, last: bool = False) -> None:
        if self._gone:
            return
        self.progress.bytes_written += len(data)
        if data and self._owner.slow_peers.watches_clients:
            self._owner.monitor.schedule(self, CHECK_INTERVAL_SECONDS)
        if data and not self._out:
            try:
                data = data[self._stream.write(data) :]
            except STREAM_ERRORS:  # the client has gone, so nobody is left to write to
                self._leave()
                return
        if data:
            if not self._out:
                self._out_since, self._flushed = self._owner.monitor.now, anyio.Event()
                self._owner.monitor.schedule(self, CHECK_INTERVAL_SECONDS)
                self._owner.start_soon(self._flush)
            self._out += data
            if self._owner.slow_peers.options.waiting:
                # Danger: accounted for at the next look only, what a crowd makes wait would be held.
                self._owner.slow_peers.record_buffered(self, self.source, len(self._out))
                self._owner.enforce_buffer_limits(self)
                if self._gone:
                    return
        if last and not self._last:
            # Danger: a query that was read is taken, and lost if the connection ends; one that was not read
            # is sent once more by its client. So reading ends first; what has come by now comes through.
            self._last, self._last_at = True, monotonic()
            self._owner.mark_closing(self)
            self._stream.shutdown_read()

    async def _flush(self) -> None:
        try:
            while self._out and not self._gone:
                await self._stream.wait_writable()
                # Danger: handed over whole, a large value to one client holds up all the others.
                del self._out[: self._stream.write(self._out[: self._owner.slow_peers.options.turn.size])]
        except STREAM_ERRORS:
            self._leave()
        self._flushed.set()
        await self._go_on()

    async def _go_on(self) -> None:
        """Handle what is already there, some of it at a time."""
        while not self._gone and self._advance():
            await checkpoint()

    def _advance(self) -> bool:
        """Handle the next messages; whether there may be more that can be handled now."""
        if self._advancing:  # the agent may answer a query at once, from inside this loop
            return False
        self._advancing = True
        self._turns.begin_turn()
        try:
            while self._turns.may_continue:
                before = self._machine.buffered
                if self._held_back or (event := self._machine.next_event()) is None:
                    return False
                self._event(event)
                self._turns.charge(before - self._machine.buffered)
            return True
        finally:
            self._advancing = False
            self._owner.update_buffered(self, self._machine.buffered)
            self._note_half()

    @property
    def _held_back(self) -> bool:
        """Whether so much waits to be read that no further query is looked at."""
        return len(self._out) > MAX_PENDING_OUTPUT_BYTES or (
            bool(self._out) and self._owner.slow_peers.budget.saturated
        )

    def _note_half(self) -> None:
        half = self._machine.buffered and not (self._machine.busy or self._last or self._out)
        if half and self.progress.partial_since is None:
            self.progress.partial_since = self._owner.monitor.now
            self._owner.monitor.schedule(
                self,
                CHECK_INTERVAL_SECONDS
                if self._owner.slow_peers.options.clients.sending
                else IDLE_CLOSE_SECONDS,
            )
        elif not half and self.progress.partial_since is not None:
            self.progress.partial_since = None
            self.progress.peer_sends.reset()

    def _event(self, event: pg_server.Event) -> None:
        match event:
            case Reply(data):
                self._say(data)
                if data == pg_server.EMPTY:
                    self._asked = self._served = True
                    self._owner.mark_active(self)
                    self._owner.mark_idle(self)
            case Query(text):
                self._asked = True
                self._owner.mark_active(self)
                if self.is_overflow and not self._owner.promote(self):
                    self.answer(pg_server.refused(0))
                elif fault := self._front.handle_query(self, text):
                    self._refuse(pg.Malformed.TEXT, fault)
            case Closed(data, why):
                if why:
                    self._owner.malformed_counts[why.value] += 1
                self._say(data, last=True)

    async def _read(self) -> bool:
        """Read until the connection is to end; False where the client has gone."""
        while not self._machine.closed:
            if self._machine.buffered > pg.READ_MOST and (self._machine.busy or self._out):
                await self._caught_up()  # a client that sends ahead waits for its answers
                continue
            try:
                data = await self._stream.receive()
            except anyio.EndOfStream:
                if not self._last:
                    return False
                if self._machine.busy or self._out:
                    await self._caught_up()
                elif not await self._on_its_way():
                    return True
                continue
            except STREAM_ERRORS:
                return False
            self.last_used_at = monotonic()
            self.progress.bytes_received += len(data)
            self._machine.feed(data)
            await self._go_on()
            if (
                not self._machine.busy
                and self._machine.buffered > SMALL_BUFFER_BYTES
                and self._owner.memory_exceeded
            ):
                # What is half read has not been taken, so that it may be refused.
                self._machine.refuse(pg.Malformed.OVERSIZE)
                self._say(pg_server.refused(0), last=True)
            elif self.draining and self.can_close:
                self.end()
        return True

    async def _on_its_way(self) -> bool:
        """Whether some of what was said has yet to reach the client, after a pause in which it may."""
        # Danger: a close with bytes unread, or behind which more come, is a reset, and what the kernel holds
        # still is lost with it. So until that is delivered, what comes is read, and answered.
        # Danger: an acknowledgement may be 40 ms late, and a crowd that waits for theirs would take all
        # descriptors. Where there is no room, what has been sent is left to the network.
        waits = self._stream.unsent_bytes if self._owner.is_full else self._stream.unacknowledged_bytes
        if self._gone or monotonic() > self._last_at + self._owner.max_request_seconds or not waits:
            return False
        await anyio.sleep(PAUSE)
        return True

    async def _caught_up(self) -> None:
        if self._out:
            await self._flushed.wait()
        else:
            self._answered = anyio.Event()
            await self._answered.wait()


def open_listener(address: Address) -> socket.socket:
    """Listen on this address only; OSError where that cannot be."""
    listener = create_socket(address)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((address.host, address.port))
        listener.listen(LISTEN_BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


class ClientConnections:
    """The listener: takes connections in up to a bound and knows those that are open.

    Where there is no room, the connection closes first that has said nothing for longest; then one of the
    pool's that is idle; then the client's that has been idle for longest after its answer.
    """

    def __init__(
        self,
        handler: QueryHandler,
        sockets: SocketBudget,
        max_connections: int,
        max_buffered_bytes: int,
        max_request_seconds: float,
        evict_other: Callable[[], bool],
        slow_peers: SlowPeerDetector[ClientConnection] | None = None,
        monitor: ConnectionMonitor | None = None,
    ) -> None:
        """Hold so many connections at most and so many bytes unread; `spare` may close one of another use.

        `watchdog` has to be run by the owner, with `turn` after each of its turns.
        """
        self.slow_peers = slow_peers or SlowPeerDetector[ClientConnection]()
        self.monitor = ConnectionMonitor() if monitor is None else monitor
        self.max_request_seconds = max_request_seconds
        self.malformed_counts = Counter[
            str
        ]()  # what could not be read, by its reason, since it was last told
        self._front = handler
        self._sockets = sockets
        self._most = max_connections
        self._memory, self._held = max_buffered_bytes, 0
        self._spare = evict_other
        self._pace = ArrivalPacer()
        self._open: set[ClientConnection] = set()
        # In the order of their coming, each without those that are about to end.
        self._silent: dict[ClientConnection, None] = {}
        self._idle: dict[ClientConnection, None] = {}
        self._draining = False
        self._group: TaskGroup | None = None
        self._accepting: anyio.CancelScope | None = None

    def __len__(self) -> int:
        """How many connections are open."""
        return len(self._open)

    # ---- what connections tell -----------------------------------------------------------------------

    def start_soon(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Do something for a connection beside its own task."""
        if self._group:
            self._group.start_soon(work)

    def update_buffered(self, client: ClientConnection, buffered_bytes: int) -> None:
        """So many bytes of it are unread."""
        self._held += buffered_bytes - client.buffered_bytes
        client.buffered_bytes = buffered_bytes

    @property
    def memory_exceeded(self) -> bool:
        """Whether more is unread than there is memory for."""
        return self._held > self._memory

    @property
    def is_full(self) -> bool:
        """Whether there is no room for one more."""
        return self._beyond >= 0

    @property
    def _beyond(self) -> int:
        """How many more there are than have room: a crowd to be refused, and what is being closed."""
        return max(self._sockets.used - self._sockets.limit, len(self._open) - self._most)

    def mark_active(self, client: ClientConnection) -> None:
        """It has brought a query."""
        self._silent.pop(client, None)
        self._idle.pop(client, None)

    def promote(self, client: ClientConnection) -> bool:
        """Give a crowded one that has brought a query the place of one that has said nothing, if there is."""
        oldest = next((other for other in self._silent if not other.is_overflow), None)
        if oldest is None:
            return False
        oldest.end()
        client.is_overflow, client.draining = False, self._draining
        return True

    def mark_idle(self, client: ClientConnection) -> None:
        """Its query has been answered."""
        if client.idle:
            self._idle[client] = None

    def mark_closing(self, client: ClientConnection) -> None:
        """It is about to end."""
        for order in (self._silent, self._idle):
            order.pop(client, None)

    # ---- connections -----------------------------------------------------------------------------------

    async def run(self, listener: socket.socket) -> None:
        """Serve each connection in a task of its own, until stopped and all have ended."""
        try:
            async with anyio.create_task_group() as self._group:
                async with anyio.create_task_group() as group:
                    with anyio.CancelScope() as self._accepting:
                        await self._accept(listener, group)
                    # Danger: what the kernel has accepted by now is taken, and closed with the listener lost.
                    with anyio.move_on_after(self.max_request_seconds):
                        await self._accept(listener, group, last=True)
                    listener.close()
                self._group.cancel_scope.cancel()
        finally:
            listener.close()

    async def _accept(self, listener: socket.socket, group: TaskGroup, last: bool = False) -> None:
        """Take connections in; with `last` only those that wait already."""
        while True:
            await (checkpoint() if last else anyio.wait_readable(listener))
            # Danger: one that is closed for room holds its descriptor until its task has had a turn.
            while self._beyond >= MAX_OVERFLOW_CONNECTIONS:
                await anyio.sleep(0 if self._push_out() else PAUSE)
            for _ in range(MAX_ACCEPTS_PER_TURN):
                if wait := self._pace.take(monotonic(), self.slow_peers.options.arrivals):
                    await anyio.sleep(wait)
                    break
                try:
                    raw, address = listener.accept()
                except BlockingIOError:
                    if last:
                        return
                    break
                except ConnectionAbortedError:
                    break
                except OSError as error:
                    self.malformed_counts[f"cannot accept: {error.strerror}"] += 1
                    await anyio.sleep(PAUSE)
                    break
                # Danger: a request counts as taken while its connection still waits to be accepted. So none
                # is left waiting: where there is no room, its first query is refused unseen.
                with suppress(OSError):
                    self._take(Stream(raw), group, not self._make_room(), str(address[0]))
                if self._beyond >= MAX_OVERFLOW_CONNECTIONS:
                    break

    def _take(self, stream: Stream, group: TaskGroup, crowded: bool, source: str) -> None:
        if waiting := self.slow_peers.options.waiting:
            stream.limit_send_buffer(waiting.kernel_bytes)
        client = ClientConnection(stream, self._front, self, crowded, source)
        client.draining = self._draining or crowded
        self._open.add(client)
        self._sockets.used += 1
        self._silent[client] = None
        group.start_soon(self._serve, client)

    async def _serve(self, client: ClientConnection) -> None:
        try:
            await client.run()
        except Exception:
            _log.exception("connection failed")
        finally:
            self._open.discard(client)
            self.mark_closing(client)
            self.update_buffered(client, 0)
            self.monitor.cancel(client)
            self.slow_peers.budget.release(client)
            self._sockets.used -= 1

    def _make_room(self) -> bool:
        """Whether there is room for one more, after closing something if need be."""
        if not self.is_full:
            return True
        if self._push_out():
            return True
        if len(self._open) < self._most and self._spare():
            return True
        if idle := next(iter(self._idle), None):
            idle.end()
        return idle is not None

    def _push_out(self) -> bool:
        """Close the connection that has said nothing for longest, unless it is fresh."""
        oldest = next(iter(self._silent), None)
        if oldest is None or monotonic() - oldest.opened_at <= NEW_CONNECTION_GRACE_SECONDS:
            return False
        oldest.end()
        return True

    def is_open(self, client: ClientConnection) -> bool:
        """Whether it is open."""
        return client in self._open

    def enforce_buffer_limits(self, client: ClientConnection) -> None:
        """Let those leave for whom too much waits, now that this one's account has changed."""
        while found := self.slow_peers.find_eviction(client):
            reason, chosen = found
            chosen.shed(reason)

    def check_all(self) -> None:
        """Look at every connection in the next turn: other rules hold."""
        for client in self._open:
            self.monitor.schedule(client, CHECK_INTERVAL_SECONDS)

    def on_tick(self) -> None:
        """With many open, close those that have been idle for long; told once a while who was shed."""
        if report := self.slow_peers.shed_counter.report_if_due(monotonic()):
            _log.warning("shed", shed=report.counts, last=report.last_peer)
        if len(self._open) <= self._most * IDLE_CLOSE_FILL_FRACTION:
            return
        before = monotonic() - IDLE_CLOSE_SECONDS
        for client in list(self._idle):  # in the order of their answers
            if client.idle:
                if client.last_used_at > before:
                    break
                client.end()

    def drain(self) -> None:
        """From now on connections end with their answer, and those that have had one end at once."""
        self._draining = True
        for client in self._open:
            client.drain()

    def stop(self) -> None:
        """Take in no more connections; `run` returns once the open ones have ended."""
        if self._accepting:
            self._accepting.cancel()
        self._draining = True
        for client in self._open:
            if client.idle:
                client.end()
            else:
                client.draining = True
