"""One client's connection: bytes and queries in, answers out, until either side ends it."""

from __future__ import annotations

from time import monotonic

import anyio
from anyio.lowlevel import checkpoint

from frostfall.limits.fair_scheduling import DeficitCounter
from frostfall.limits.shed_counter import ShedReason
from frostfall.limits.slow_peer_detector import ConnectionProgress
from frostfall.net.client_interfaces import ConnectionOwner, QueryHandler
from frostfall.net.connection_monitor import MonitoredConnection
from frostfall.net.streams import STREAM_ERRORS, Stream
from frostfall.protocol import pg, pg_server
from frostfall.protocol.pg_server import Closed, Query, Reply, ServerSide

IDLE_CLOSE_SECONDS = 2.0  # without an open request, a connection may be closed then, by the protocol
CHECK_INTERVAL_SECONDS = 0.25  # between checks of a client that owes something or is owed something
DELIVERY_POLL_SECONDS = 0.01  # between looks at whether the last bytes have reached the client
MAX_PENDING_OUTPUT_BYTES = 64 * 1024  # unwritten, beyond which a connection's next query is not looked at
SMALL_BUFFER_BYTES = 8 * 1024  # a connection may always hold so much unread: little, for all together


class ClientConnection(MonitoredConnection):
    """Drives the server's side of the protocol over one stream."""

    def __init__(
        self,
        stream: Stream,
        handler: QueryHandler,
        owner: ConnectionOwner,
        is_overflow: bool = False,
        source: str = "",
    ) -> None:
        """Serve a stream that was accepted from address `source`.

        An overflow connection is beyond the bound: unless promoted, its first query is rejected.
        """
        super().__init__()
        self.is_overflow = is_overflow
        self.source = source
        self.progress = ConnectionProgress()
        self.opened_at = monotonic()
        self.last_used_at = self.opened_at  # when it last brought something or was answered
        self.request: str | None = None  # id of the request that waits for its answer
        self.draining = is_overflow
        self.buffered_bytes = 0  # unread, as accounted for by the owner
        self._stream = stream
        self._handler = handler
        self._owner = owner
        self._machine = ServerSide()
        self._deficit = DeficitCounter(owner.slow_peers.options.turn)
        self._output = bytearray()  # what the kernel has not taken yet
        self._output_since = 0.0  # monitor's time since when there is output that waits
        self._flushed = anyio.Event()
        self._answered = anyio.Event()
        self._scope = anyio.CancelScope()
        self._processing = False
        self._disconnected = False  # the client has gone, or was given up
        self._closing = False  # the connection ends once its output is delivered
        self._closing_since = 0.0
        self._monitored_since = owner.monitor.now
        self._has_queried = False  # a whole query has come
        self._was_answered = False
        owner.monitor.schedule(self, IDLE_CLOSE_SECONDS)

    async def run(self) -> None:
        """Serve until either side ends it."""
        try:
            with self._scope:
                if await self._read():
                    while self._output:
                        await self._flushed.wait()
                    while await self._awaits_delivery():
                        self._stream.discard_input()
                    self._stream.discard_input()
        finally:
            self._disconnected = True
            self._handler.client_disconnected(self)
            self._stream.close()

    # ---- state -------------------------------------------------------------------------------------

    @property
    def idle(self) -> bool:
        """Whether no answer is owed and no query half read."""
        return not (self._machine.busy or self._machine.buffered or self._closing)

    @property
    def closing(self) -> bool:
        """Whether the connection ends once its output is delivered."""
        return self._closing

    @property
    def can_close(self) -> bool:
        """Whether it is idle and may be closed before its time."""
        # A client sends a request that crossed a close once more, but not twice. Closed before its first
        # answer, the connection that carries the second copy would lose the request.
        return self.idle and (self._was_answered or monotonic() - self.opened_at > IDLE_CLOSE_SECONDS)

    @property
    def _is_throttled(self) -> bool:
        """Whether so much waits to be written that no further query is looked at."""
        return len(self._output) > MAX_PENDING_OUTPUT_BYTES or (
            bool(self._output) and self._owner.slow_peers.budget.saturated
        )

    # ---- orders ------------------------------------------------------------------------------------

    def answer(self, data: bytes) -> None:
        """Give the final answer to the query that waits; the next one is then read."""
        self.request = None
        self._was_answered = True
        self.last_used_at = monotonic()
        self._machine.answered()
        self._send(data, closing=self.draining and not self._machine.buffered)
        self._answered.set()
        if self._machine.buffered and not self._processing:
            self._owner.start_soon(self._process_buffered)
        self._owner.mark_idle(self)

    def drain(self) -> None:
        """End once the answer is given, or at once where it may be closed."""
        self.draining = True
        if self.can_close:
            self.begin_close()

    def begin_close(self) -> None:
        """End at once where no answer is owed; what has come by now is still answered."""
        self.draining = True
        if not self._machine.busy:
            self._send(b"", closing=True)

    def shed(self, reason: ShedReason) -> None:
        """Drop the client without a message, as nothing reaches it in time."""
        self._owner.slow_peers.shed_counter.record(reason, self.source)
        self._owner.slow_peers.budget.release(self)
        # Without a reset the kernel would hold the unread bytes until its own timeouts, minutes later.
        self._stream.reset_on_close()
        self._abort()

    # ---- the monitor's checks ----------------------------------------------------------------------

    def check(self, now: float) -> float | None:
        """Judge how the client reads and sends; the only place where connections end for either."""
        if self._disconnected or not self._owner.is_open(self):
            return None
        unread_by_client = len(self._output)
        if self._owner.slow_peers.watches_clients:
            unread_by_client += self._stream.unacknowledged_bytes
            self._check_reading(now, unread_by_client)
            if self._disconnected:
                return None
        if self._output:
            if not self._output_expired(now):
                return CHECK_INTERVAL_SECONDS
            self._abort()
        elif self._machine.busy or self._closing:
            pass
        elif (delay := self._check_sending(now)) is not None:
            return delay
        return CHECK_INTERVAL_SECONDS if unread_by_client else None

    def _check_reading(self, now: float, unread_by_client: int) -> None:
        detector = self._owner.slow_peers
        reason = detector.check_client_reading(self, self.progress, self.source, now, unread_by_client)
        if reason:
            self.shed(reason)
        else:
            self._owner.enforce_buffer_limits(self)

    def _output_expired(self, now: float) -> bool:
        """Whether output waits so long that nobody needs it; never where a minimum rate is set."""
        if self._owner.slow_peers.options.clients.reading_rate(self.progress.class_name):
            return False
        return now - self._output_since > self._owner.max_request_seconds

    def _check_sending(self, now: float) -> float | None:
        """Judge a client that owes a query, or the rest of one; seconds until the next check, if any."""
        detector, partial_since = self._owner.slow_peers, self.progress.partial_since
        if partial_since is not None and detector.options.clients.sending:
            reason = detector.check_client_sending(self.progress, now)
            if not reason:
                return CHECK_INTERVAL_SECONDS
            detector.shed_counter.record(reason, self.source)
            self._reject(pg.Malformed.SILENT)
        elif not self._has_queried or partial_since is not None:
            silent_since = self._monitored_since
            if self._has_queried and partial_since is not None:
                silent_since = partial_since
            silence = now - silent_since
            if silence <= IDLE_CLOSE_SECONDS:
                return max(IDLE_CLOSE_SECONDS - silence, CHECK_INTERVAL_SECONDS)
            self._reject(pg.Malformed.SILENT)
        return None

    # ---- output ------------------------------------------------------------------------------------

    def _abort(self) -> None:
        self._disconnected = True
        self._scope.cancel()

    def _reject(self, why: pg.Malformed, text: str | None = None) -> None:
        self._owner.malformed_counts[text or why.value] += 1
        self._send(self._machine.refuse(why, text).data, closing=True)

    def _send(self, data: bytes, closing: bool = False) -> None:
        """Write data, or queue what the kernel does not take; with `closing`, end the connection after it."""
        if self._disconnected:
            return
        self.progress.bytes_written += len(data)
        if data and self._owner.slow_peers.watches_clients:
            self._owner.monitor.schedule(self, CHECK_INTERVAL_SECONDS)
        if data and not self._output:
            try:
                data = data[self._stream.write(data) :]
            except STREAM_ERRORS:
                self._abort()
                return
        if data:
            self._queue_output(data)
            if self._disconnected:
                return
        if closing and not self._closing:
            # A query that was read is ours to answer; one that was not read is sent again by its client. So
            # reading ends first, and what has come by now is still handled.
            self._closing, self._closing_since = True, monotonic()
            self._owner.mark_closing(self)
            self._stream.shutdown_read()

    def _queue_output(self, data: bytes) -> None:
        if not self._output:
            self._output_since, self._flushed = self._owner.monitor.now, anyio.Event()
            self._owner.monitor.schedule(self, CHECK_INTERVAL_SECONDS)
            self._owner.start_soon(self._flush)
        self._output += data
        if self._owner.slow_peers.options.waiting:
            # At once: by the next check, many connections could have queued far more than the budget.
            self._owner.slow_peers.record_buffered(self, self.source, len(self._output))
            self._owner.enforce_buffer_limits(self)

    async def _flush(self) -> None:
        try:
            while self._output and not self._disconnected:
                await self._stream.wait_writable()
                # By pieces: a large value written whole to one client would hold up all the others.
                piece = self._output[: self._owner.slow_peers.options.turn.size]
                del self._output[: self._stream.write(piece)]
        except STREAM_ERRORS:
            self._abort()
        self._flushed.set()
        await self._process_buffered()

    async def _awaits_delivery(self) -> bool:
        """Whether some of the output has yet to reach the client, after a pause in which it may."""
        # A close with bytes unread, or behind which more come, is a reset, and output that the kernel holds
        # is lost with it; so input is read until the output is delivered. An acknowledgement may take 40 ms,
        # in which a crowd would hold all descriptors; when full, bytes sent once are left to the network.
        pending = self._stream.unsent_bytes if self._owner.is_full else self._stream.unacknowledged_bytes
        expired = monotonic() > self._closing_since + self._owner.max_request_seconds
        if self._disconnected or expired or not pending:
            return False
        await anyio.sleep(DELIVERY_POLL_SECONDS)
        return True

    # ---- input -------------------------------------------------------------------------------------

    async def _read(self) -> bool:
        """Read until the connection is to end; False where the client has gone."""
        while not self._machine.closed:
            if self._machine.buffered > pg.READ_MOST and (self._machine.busy or self._output):
                await self._wait_until_caught_up()  # a client that pipelines waits for its answers
                continue
            try:
                data = await self._stream.receive()
            except anyio.EndOfStream:
                if not self._closing:
                    return False
                if self._machine.busy or self._output:
                    await self._wait_until_caught_up()
                elif not await self._awaits_delivery():
                    return True
                continue
            except STREAM_ERRORS:
                return False
            await self._receive(data)
        return True

    async def _receive(self, data: bytes) -> None:
        self.last_used_at = monotonic()
        self.progress.bytes_received += len(data)
        self._machine.feed(data)
        await self._process_buffered()
        machine = self._machine
        if not machine.busy and machine.buffered > SMALL_BUFFER_BYTES and self._owner.memory_exceeded:
            machine.refuse(pg.Malformed.OVERSIZE)  # a query half read was not accepted, so it may be rejected
            self._send(pg_server.refused(0), closing=True)
        elif self.draining and self.can_close:
            self.begin_close()

    async def _wait_until_caught_up(self) -> None:
        if self._output:
            await self._flushed.wait()
        else:
            self._answered = anyio.Event()
            await self._answered.wait()

    async def _process_buffered(self) -> None:
        """Handle the messages that have come, a turn's worth at a time."""
        while not self._disconnected and self._process_turn():
            await checkpoint()

    def _process_turn(self) -> bool:
        """Handle the next messages; whether there may be more that can be handled now."""
        if self._processing:  # a query may be answered at once, from inside this loop
            return False
        self._processing = True
        self._deficit.begin_turn()
        try:
            while self._deficit.may_continue:
                before = self._machine.buffered
                if self._is_throttled or (event := self._machine.next_event()) is None:
                    return False
                self._handle_event(event)
                self._deficit.charge(before - self._machine.buffered)
            return True
        finally:
            self._processing = False
            self._owner.update_buffered(self, self._machine.buffered)
            self._track_partial_query()

    def _track_partial_query(self) -> None:
        """Keep since when a query is half read, by which the client's sending is judged."""
        is_partial = self._machine.buffered and not (self._machine.busy or self._closing or self._output)
        if is_partial and self.progress.partial_since is None:
            self.progress.partial_since = self._owner.monitor.now
            has_rate = self._owner.slow_peers.options.clients.sending
            self._owner.monitor.schedule(self, CHECK_INTERVAL_SECONDS if has_rate else IDLE_CLOSE_SECONDS)
        elif not is_partial and self.progress.partial_since is not None:
            self.progress.partial_since = None
            self.progress.peer_sends.reset()

    def _handle_event(self, event: pg_server.Event) -> None:
        match event:
            case Reply(data):
                self._send(data)
                if data == pg_server.EMPTY:
                    self._has_queried = self._was_answered = True
                    self._owner.mark_active(self)
                    self._owner.mark_idle(self)
            case Query(text):
                self._has_queried = True
                self._owner.mark_active(self)
                if self.is_overflow and not self._owner.promote(self):
                    self.answer(pg_server.refused(0))
                elif fault := self._handler.handle_query(self, text):
                    self._reject(pg.Malformed.TEXT, fault)
            case Closed(data, why):
                if why:
                    self._owner.malformed_counts[why.value] += 1
                self._send(data, closing=True)
