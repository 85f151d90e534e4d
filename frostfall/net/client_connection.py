"""Server side of one client's connection: reads queries, writes answers, and closes in order."""

from __future__ import annotations

from itertools import count
from time import monotonic

import anyio
from anyio.lowlevel import checkpoint

from frostfall import log
from frostfall.limits.fair_scheduling import DeficitCounter
from frostfall.limits.shed_counter import ShedReason
from frostfall.limits.slow_peer_detector import ConnectionProgress
from frostfall.net.client_interfaces import ConnectionOwner, QueryHandler
from frostfall.net.client_output import ClientOutput
from frostfall.net.connection_monitor import MonitoredConnection
from frostfall.net.reasons import CloseReason, RejectReason
from frostfall.net.request_trace import Step
from frostfall.net.streams import STREAM_ERRORS, Stream
from frostfall.protocol import pg, pg_server
from frostfall.protocol.pg_server import Closed, Query, Reply, ServerProtocol

IDLE_CLOSE_SECONDS = 2.0  # the protocol permits closing a connection without an open request after this time
CHECK_INTERVAL_SECONDS = 0.25  # between checks of a client with a partial query or undelivered output
DISCONNECT_CHECK_SECONDS = 0.04  # between checks whether a client whose input is paused has disconnected
MAX_PENDING_OUTPUT_BYTES = 64 * 1024  # with more output unwritten, no further query is processed
# Input that a connection may buffer even when the total limit is exceeded; small enough for all connections.
GUARANTEED_BUFFER_BYTES = 8 * 1024

_numbers = count(1)
_log = log.get_logger("clients")


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
        """Prepare to serve a stream that was accepted from address `source`.

        An overflow connection exceeds the connection limit: unless promoted, its first query is rejected.
        """
        super().__init__()
        self.number = next(_numbers)  # identifies the connection in the log
        self.is_overflow = is_overflow
        self.source = source
        self.progress = ConnectionProgress()
        self.opened_at = monotonic()
        self.last_used_at = self.opened_at  # monotonic seconds of the last input or answer
        self.request: str | None = None  # id of the request that awaits its answer
        self.draining = is_overflow
        self.buffered_bytes = 0  # unprocessed input, as recorded by the owner
        self._stream = stream
        self._handler = handler
        self._owner = owner
        self._protocol = ServerProtocol()
        self._deficit = DeficitCounter(owner.slow_peers.options.turn)
        self._output = ClientOutput(stream, owner, lambda: owner.slow_peers.options.turn.size)
        self._answer_sent = anyio.Event()
        self._pending = owner.pending_answers
        self._scope = anyio.CancelScope()
        self._input_scope = anyio.CancelScope()  # ends when the connection begins to close
        self._processing = False
        self._disconnected = False  # the client has disconnected, or the connection was aborted
        self._closing = False  # the connection closes once its output is delivered
        self._close_reason: CloseReason | None = None  # reason for closing, now or once idle
        self._monitored_since = owner.monitor.now
        self._has_queried = False  # a whole query has been received
        self._was_answered = False
        owner.monitor.schedule(self, IDLE_CLOSE_SECONDS)

    async def run(self) -> None:
        """Serve the connection until either side closes it."""
        if self._pending.trace.enabled:
            self._pending.trace.record(Step.CONNECTED, connection=self.number, source=self.source)
        try:
            with self._scope:
                with self._input_scope:
                    await self._read()
                if self._closing:
                    await self._output.wait_delivered()
        finally:
            self._end()

    def _end(self) -> None:
        """Release the connection's resources, after sending final answers to pending queries."""
        if not self._disconnected:
            if not self._closing:
                self._close_reason = CloseReason.FAULT
            self._answer_remaining()
            self._pending.may_close(self)
        self._disconnected = True
        self._pending.discard(self)
        self._handler.client_disconnected(self)
        self._stream.close()
        if self._pending.trace.enabled and self._close_reason:
            self._pending.trace.record(Step.CLOSED, connection=self.number, reason=self._close_reason.value)

    def _answer_remaining(self) -> None:
        """Send final answers to the queries already read, as far as the kernel accepts the data."""
        try:
            self._answer_read_queries(RejectReason.FAULT)
        except Exception:  # the stream has to be closed in spite of an error here
            _log.exception("last answers failed", connection=self.number)

    def _answer_read_queries(self, reason: RejectReason) -> None:
        """Send final answers to the pending query, which may have run, and to those read after it."""
        if self._protocol.busy:
            self.answer(pg_server.failure_answer())
        while (event := self._protocol.next_event()) is not None:
            if isinstance(event, Query):
                self._pending.accept(self)
                self._trace_rejection(reason)
                self.answer(pg_server.rejection_answer(0))
            else:
                self._send(event.data)

    @property
    def idle(self) -> bool:
        """True if no query is pending or partly read and the connection is not closing."""
        return not (self._protocol.busy or self._protocol.buffered or self._closing)

    @property
    def has_partial_query(self) -> bool:
        """True if a query is partly read, and all queries before it are answered."""
        return self._protocol.has_partial_message and not self._closing

    @property
    def closing(self) -> bool:
        """True if the connection closes as soon as its output is delivered."""
        return self._closing

    @property
    def can_close(self) -> bool:
        """True if the connection is idle and may be closed before its idle timeout."""
        # A client resends a request that crossed a close once, but not twice. If the connection with the
        # second copy were also closed before its first answer, the request would be lost.
        return self.idle and (self._was_answered or monotonic() - self.opened_at > IDLE_CLOSE_SECONDS)

    @property
    def _is_throttled(self) -> bool:
        """True if too much output is unwritten to process a further query."""
        return len(self._output) > MAX_PENDING_OUTPUT_BYTES or (
            bool(self._output) and self._owner.slow_peers.budget.saturated
        )

    @property
    def _has_read_ahead(self) -> bool:
        """True if enough whole messages are buffered that none has to be read before they are processed."""
        # Between an answer and the next query the protocol is not busy, and yet has whole queries to process.
        must_process = bool(self._output) or not self._protocol.has_partial_message
        return must_process and self._protocol.buffered > pg.MAX_READ_BYTES

    def detect_disconnection(self) -> bool:
        """Return whether the client has disconnected, even if the end of its stream has not been read yet."""
        if not self._disconnected and self._stream.peer_has_closed:
            self._abort(CloseReason.CLIENT_LEFT)
        return self._disconnected

    def answer(self, data: bytes) -> None:
        """Send the final answer to the pending query; processing of the next query can then start."""
        self.request = None
        self._was_answered = True
        self.last_used_at = monotonic()
        self._protocol.mark_answered()
        self._pending.answered(self)
        self._send(data)
        if self.draining and not self._protocol.buffered:
            self._begin_closing(self._close_reason or CloseReason.DRAINED)
        self._answer_sent.set()
        if self._protocol.buffered and not self._processing:
            self._owner.start_soon(self._process_buffered_in_task)
        self._owner.mark_idle(self)

    def drain(self) -> None:
        """Close after the pending answer, or immediately if `can_close`."""
        self.draining = True
        if self.can_close:
            self.close_when_idle(CloseReason.DRAINED)

    def close_when_idle(self, reason: CloseReason = CloseReason.NEEDED_ROOM) -> None:
        """Close immediately if no answer is pending; queries received so far are answered first."""
        self.draining = True
        self._close_reason = self._close_reason or reason
        if not (self._protocol.busy or self._protocol.buffered or self._stream.has_input):
            self._begin_closing(reason)

    def evict(self) -> bool:
        """Close to free the descriptor; False, without effect, if the connection has to stay for now.

        It has to stay while a whole query may be pending on it, and while output is queued. A partly read
        query has not been accepted, so that it is rejected.
        """
        if self._closing or self._disconnected or self._output or self._stream.has_input:
            return False
        if not (self.idle or self.has_partial_query):
            return False
        if self.has_partial_query:
            self._send(self._protocol.reject_for_capacity().data)
        self.draining = True
        self._begin_closing(CloseReason.NEEDED_ROOM)
        return True

    def finish(self) -> None:
        """Close now: answer the queries already read, reject a partly read query, and read no further."""
        self.draining = True
        if self._closing or self._disconnected or self._protocol.closed:
            return
        self._answer_read_queries(RejectReason.SHUTDOWN)
        if self._protocol.has_partial_message:
            self._send(self._protocol.reject_partial_query().data)
        self._begin_closing(CloseReason.SHUTDOWN)

    def force_close(self) -> None:
        """Close without waiting for the client to read its remaining output."""
        self._pending.may_close(self)
        self._abort(CloseReason.SHUTDOWN)

    def shed(self, reason: ShedReason) -> None:
        """Disconnect the client without a message, which would not reach it in time."""
        self._owner.slow_peers.shed_counter.record(reason, self.source)
        self._owner.slow_peers.budget.release(self)
        # Without a reset, the kernel would retain the unread bytes until its own timeouts, for minutes.
        self._stream.reset_on_close()
        self._abort(CloseReason.CLIENT_READS_TOO_SLOWLY)

    def check(self, now: float) -> float | None:
        """Check how fast the client reads and sends, and close the connection if it is too slow.

        Connections are closed for these reasons only here. Returns the seconds until the next check, or None.
        """
        if self._disconnected or not self._owner.is_open(self):
            return None
        unread_by_client = len(self._output)
        if self._owner.slow_peers.monitors_clients:
            unread_by_client += self._stream.unacknowledged_bytes
            self._check_reading(now, unread_by_client)
            if self._disconnected:
                return None
        if self._output:
            if not self._output_expired(now):
                return CHECK_INTERVAL_SECONDS
            self._abort(CloseReason.CLIENT_READS_TOO_SLOWLY)
        elif self._protocol.busy or self._closing:
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
        """Return whether output has been blocked too long to be useful; False if a minimum rate is set."""
        if self._owner.slow_peers.options.clients.reading_rate(self.progress.class_name):
            return False
        return now - self._output.blocked_since > self._owner.max_request_seconds

    def _check_sending(self, now: float) -> float | None:
        """Check a client without a whole query so far; return the seconds until the next check, or None."""
        detector, partial_since = self._owner.slow_peers, self.progress.partial_since
        if partial_since is not None and detector.options.clients.sending:
            reason = detector.check_client_sending(self.progress, now)
            if not reason:
                return CHECK_INTERVAL_SECONDS
            detector.shed_counter.record(reason, self.source)
            self._reject(pg.MalformedReason.SILENT)
        elif not self._has_queried or partial_since is not None:
            silent_since = self._monitored_since
            if self._has_queried and partial_since is not None:
                silent_since = partial_since
            silence = now - silent_since
            if silence <= IDLE_CLOSE_SECONDS:
                return max(IDLE_CLOSE_SECONDS - silence, CHECK_INTERVAL_SECONDS)
            if self.draining and partial_since is None:
                self.close_when_idle(CloseReason.SILENT)
            else:
                self._reject(pg.MalformedReason.SILENT)
        return None

    def _abort(self, reason: CloseReason) -> None:
        """Close immediately and discard pending answers, as the client has disconnected or does not read."""
        if self._disconnected:
            return
        self._disconnected = True
        self._close_reason = reason
        self._pending.discard(self)
        self._scope.cancel()

    def _reject(self, why: pg.MalformedReason, text: str | None = None) -> None:
        """Send a final error to a client that violates the protocol, and close the connection."""
        self._owner.malformed_counts[text or why.value] += 1
        self._send(self._protocol.close_malformed(why, text).data)
        self._begin_closing(CloseReason.SILENT if why is pg.MalformedReason.SILENT else CloseReason.MALFORMED)

    def _reject_query(self, fault: str) -> None:
        """Answer a malformed query with an error, and close after answering the queries read with it."""
        self._protocol.mark_answered()
        self._pending.answered(self)
        if not self._protocol.buffered:
            self._reject(pg.MalformedReason.TEXT, fault)
            return
        self._owner.malformed_counts[fault] += 1
        self.draining = True
        self._close_reason = CloseReason.MALFORMED
        self._send(pg_server.malformed_query_answer(fault))

    def _send(self, data: bytes) -> None:
        """Write data, or queue the part that the kernel does not accept."""
        if self._disconnected or not data:
            return
        self.progress.bytes_written += len(data)
        if self._owner.slow_peers.monitors_clients:
            self._owner.monitor.schedule(self, CHECK_INTERVAL_SECONDS)
        try:
            must_flush = self._output.write(data)
        except STREAM_ERRORS:
            self._abort(CloseReason.BROKEN)
            return
        if must_flush:
            self._owner.monitor.schedule(self, CHECK_INTERVAL_SECONDS)
            self._owner.start_soon(self._flush)
        if self._output and self._owner.slow_peers.options.waiting:
            # Enforced now: by the next check, many connections could have queued far more than the budget.
            self._owner.slow_peers.record_buffered(self, self.source, len(self._output))
            self._owner.enforce_buffer_limits(self)

    def _begin_closing(self, reason: CloseReason) -> None:
        """Stop reading, and close the connection after its output; every orderly close starts here.

        The end of the output notifies the client. Data that the client sends later is never read; by the
        protocol, the client resends it on another connection.
        """
        if self._closing or self._disconnected:
            return
        if not self._pending.may_close(self):
            self.answer(pg_server.failure_answer())
        self._closing = True
        self._close_reason = reason
        self._owner.mark_closing(self)
        self._owner.update_buffered(self, self._protocol.buffered)
        self._output.end()
        self._input_scope.cancel()

    async def _flush(self) -> None:
        try:
            await self._output.flush()
            await self._process_buffered()
        except STREAM_ERRORS:
            self._abort(CloseReason.BROKEN)
        except Exception:  # an error in one connection must not end the others
            self._end_after_fault()

    async def _process_buffered_in_task(self) -> None:
        try:
            await self._process_buffered()
        except Exception:  # an error in one connection must not end the others
            self._end_after_fault()

    def _end_after_fault(self) -> None:
        """Cancel this connection's own task, which sends the final answers to pending queries."""
        _log.exception("connection failed", connection=self.number)
        self._close_reason = CloseReason.FAULT
        self._scope.cancel()

    async def _read(self) -> None:
        """Read until the connection closes or the client disconnects."""
        while not (self._protocol.closed or self._closing or self._disconnected):
            if self._has_read_ahead:
                await self._wait_until_caught_up()  # backpressure on a client that pipelines queries
                continue
            try:
                await self._stream.wait_readable()
                if self._closing:  # set while this task was about to run; the received data stays unread
                    return
                data = self._stream.read()
            except anyio.EndOfStream:
                self._abort(CloseReason.CLIENT_LEFT)
            except STREAM_ERRORS:
                self._abort(CloseReason.BROKEN)
            else:
                await self._receive(data)

    async def _receive(self, data: bytes) -> None:
        if not data:
            return
        self.last_used_at = monotonic()
        self.progress.bytes_received += len(data)
        self._protocol.feed(data)
        await self._process_buffered()
        protocol = self._protocol
        is_partial = protocol.buffered and not (protocol.busy or self._is_throttled or protocol.closed)
        if is_partial and protocol.buffered > GUARANTEED_BUFFER_BYTES and self._owner.memory_exceeded:
            # A partly read query has not been accepted, so that it may be rejected.
            protocol.close_malformed(pg.MalformedReason.OVERSIZE)
            self._send(pg_server.rejection_answer(0))
            self._begin_closing(CloseReason.OVERSIZE)
        elif self.draining and self.can_close:
            self.close_when_idle(CloseReason.DRAINED)

    async def _wait_until_caught_up(self) -> None:
        """Wait briefly until the buffered output or the pending answer is sent; detect a disconnection.

        The disconnection is checked separately, as unread input can precede the end of the stream.
        """
        with anyio.move_on_after(DISCONNECT_CHECK_SECONDS):
            if self._output:
                await self._output.wait_flushed()
            else:
                self._answer_sent = anyio.Event()
                await self._answer_sent.wait()
        self.detect_disconnection()

    async def _process_buffered(self) -> None:
        """Handle the buffered messages, one time slice after another."""
        while not self._disconnected and self._process_time_slice():
            await checkpoint()

    def _process_time_slice(self) -> bool:
        """Handle one time slice of messages; return whether more may be ready to be handled."""
        if self._processing:  # reentrant call: a query can be answered inside this loop
            return False
        self._processing = True
        self._deficit.add_quantum()
        try:
            while self._deficit.may_continue:
                buffered_before = self._protocol.buffered
                if self._is_throttled or (event := self._protocol.next_event()) is None:
                    return False
                self._handle_event(event)
                self._deficit.charge(buffered_before - self._protocol.buffered)
            return True
        finally:
            self._processing = False
            self._owner.update_buffered(self, self._protocol.buffered)
            self._track_partial_query()

    def _track_partial_query(self) -> None:
        """Record the time since which a query is partly read, for the checks of the client's sending rate."""
        is_partial = self._protocol.buffered and not (self._protocol.busy or self._closing or self._output)
        if is_partial and self.progress.partial_since is None:
            self.progress.partial_since = self._owner.monitor.now
            self._owner.mark_partial(self)
            has_minimum_rate = self._owner.slow_peers.options.clients.sending
            self._owner.monitor.schedule(
                self, CHECK_INTERVAL_SECONDS if has_minimum_rate else IDLE_CLOSE_SECONDS
            )
        elif not is_partial and self.progress.partial_since is not None:
            self.progress.partial_since = None
            self.progress.peer_sends.reset()

    def _handle_event(self, event: pg_server.Event) -> None:
        match event:
            case Reply(data):
                self._send(data)
                if data == pg_server.EMPTY_QUERY_RESPONSE:
                    self._has_queried = self._was_answered = True
                    self._owner.mark_active(self)
                    self._owner.mark_idle(self)
            case Query(text):
                self._has_queried = True
                self._owner.mark_active(self)
                self._handle_query(text)
            case Closed(data, why):
                if why:
                    self._owner.malformed_counts[why.value] += 1
                self._send(data)
                self._begin_closing(CloseReason.MALFORMED if why else CloseReason.CLIENT_TERMINATED)

    def _handle_query(self, text: bytes) -> None:
        if self.detect_disconnection():  # the connection may have waited long to be accepted or read
            return
        self._pending.accept(self)
        if not self._pending.admitting:
            self._trace_rejection(RejectReason.DRAINING)
            self.answer(pg_server.rejection_answer(0))
        elif self.is_overflow and not self._owner.promote(self):
            self._trace_rejection(RejectReason.OVERFLOW)
            self.answer(pg_server.rejection_answer(0))
        elif fault := self._handler.handle_query(self, text):
            self._reject_query(fault)
        elif self.request is not None:
            self._pending.identify(self, self.request)

    def _trace_rejection(self, reason: RejectReason) -> None:
        if self._pending.trace.enabled:
            self._pending.trace.record(Step.REJECTED, connection=self.number, reason=reason.value)
