"""A connection to an upstream server, and an attempt of a request that is sent over it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio

from frostfall.config import Address
from frostfall.interface import Outcome
from frostfall.limits.shed_counter import ShedReason
from frostfall.limits.slow_peer_detector import ConnectionProgress, SlowPeerDetector
from frostfall.net.connection_monitor import TICK_SECONDS, ConnectionMonitor, MonitoredConnection
from frostfall.net.streams import RESOURCE_RETRY_SECONDS, STREAM_ERRORS, Stream
from frostfall.protocol.attempt_result import AttemptProgress, AttemptResult
from frostfall.protocol.pg_client import ClientProtocol, ConnectionState

USER = "web"  # servers accept any user name
DATABASE = "orders"


class UpstreamConnection(MonitoredConnection):
    """Drives the client's side of the protocol over one stream."""

    def __init__(
        self,
        address: Address,
        stream: Stream,
        slow_peers: SlowPeerDetector[Any],
        monitor: ConnectionMonitor,
    ) -> None:
        """Use `stream`, which is connected to the server at `address`."""
        super().__init__()
        self.address = address
        self.stream = stream
        self.protocol = ClientProtocol(USER, DATABASE)
        self.progress = ConnectionProgress()
        self.idle_since = 0  # microseconds of Unix time
        self.attempt: UpstreamAttempt | None = None  # attempt in flight
        self.unwritten_bytes = 0  # bytes of the current query that the kernel has not accepted yet
        self._slow_peers = slow_peers
        self._monitor = monitor

    @property
    def usable(self) -> bool:
        """True if nothing was received since the last answer, not even the end of the stream."""
        return self.protocol.reusable and self.stream.is_quiet

    @property
    def is_answered(self) -> bool:
        """True if no answer is pending: no query was sent, or its answer has been received."""
        return self.protocol.state in (ConnectionState.READY, ConnectionState.ANSWER_RECEIVED)

    def check(self, now: float) -> float | None:
        """Check how fast the server reads the query and sends the answer; None between attempts."""
        if self.attempt is None:
            return None
        reason = self._slow_peers.check_server_reading(
            self.progress, now, self.unwritten_bytes + self.stream.unacknowledged_bytes
        )
        if reason is None and self.attempt.progress is AttemptProgress.ANSWERING:
            reason = self._slow_peers.check_server_sending(self.progress, now)
            if self._slow_peers.suspects_server(self.progress, now):
                self.attempt.mark_degraded()
        if reason is None:
            return TICK_SECONDS
        self._slow_peers.shed_counter.record(reason, str(self.address))
        self.attempt.abort_stalled(reason)
        return None

    def record_timeout(self, attempt: UpstreamAttempt) -> None:
        """Mark a timed-out attempt as stalled, and count it, if the server was sending its answer slowly."""
        if self._slow_peers.ended_within_response(self.progress, self._monitor.now):
            attempt.abort_stalled(ShedReason.SERVER_SENDS_SLOWLY)
            self._slow_peers.shed_counter.record(ShedReason.SERVER_SENDS_SLOWLY, str(self.address))

    async def open(self) -> None:
        """Exchange the startup messages; the protocol state is READY if the server accepts."""
        await self.stream.send(self.protocol.startup_message)
        while self.protocol.state is ConnectionState.STARTING:
            self.protocol.feed(await self.stream.receive())

    async def exchange(
        self, attempt: UpstreamAttempt, get_statement: Callable[[], bytes | None]
    ) -> AttemptResult:
        """Write a query and read its answer; `get_statement` returns None if it must not be sent."""
        protocol, progress = self.protocol, self.progress
        self.attempt = attempt
        attempt.progress, progress.partial_since = AttemptProgress.NOT_WRITTEN, None
        if (text := get_statement()) is None:
            return AttemptResult(
                AttemptProgress.NOT_WRITTEN, withheld=True, reason="withdrawn before it was written"
            )
        try:
            data = protocol.encode_query(text)
            progress.bytes_written += len(data)
            self.unwritten_bytes = len(data)
            if self._slow_peers.monitors_servers:
                self._start_monitoring(attempt)
            await self._write(attempt, data)
            while protocol.answer is None:
                received = await self.stream.receive()
                if attempt.progress is not AttemptProgress.ANSWERING:
                    attempt.progress = AttemptProgress.ANSWERING
                    progress.partial_since = self._monitor.now
                    progress.partial_start_bytes = progress.bytes_received
                progress.bytes_received += len(received)
                protocol.feed(received)
        except STREAM_ERRORS as error:
            return AttemptResult(attempt.progress, reason=repr(error))
        return AttemptResult(attempt.progress, protocol.answer, load_report=protocol.load_report)

    def _start_monitoring(self, attempt: UpstreamAttempt) -> None:
        self.progress.class_name = attempt.class_name
        self.progress.peer_reads.reset()
        self.progress.peer_sends.reset()
        if not self.armed:
            self._monitor.schedule(self, TICK_SECONDS)

    async def _write(self, attempt: UpstreamAttempt, data: bytes) -> None:
        # Data that the kernel has accepted may still arrive, even if the connection is closed afterwards. A
        # query has provably not run only if at least one of its bytes was never passed to the kernel; a write
        # that fails has passed none.
        while self.unwritten_bytes:
            if self.unwritten_bytes < len(data):
                await self.stream.wait_writable()
            remainder = memoryview(data)[-self.unwritten_bytes :]
            written = self.stream.write(remainder)
            self.unwritten_bytes -= written
            if not written and self.unwritten_bytes:
                await anyio.sleep(RESOURCE_RETRY_SECONDS)
        attempt.progress = AttemptProgress.WRITTEN


class UpstreamAttempt:
    """An attempt in flight and its progress."""

    def __init__(self, class_name: str = "", on_degraded: Callable[[], None] = lambda: None) -> None:
        """Begin without a connection; `on_degraded` is called once if the server becomes slow."""
        self.class_name = class_name
        self.progress = AttemptProgress.NO_CONNECTION
        self.written_at = 0  # microseconds of Unix time at which the first byte may be written
        self.outcome: Outcome | None = None  # set when the attempt has ended
        self.cancelled = False
        self.degraded = False
        self.stall_reason: ShedReason | None = None
        self.scope = anyio.CancelScope()
        self._on_degraded = on_degraded

    def cancel(self) -> None:
        """Cancel the attempt, which closes its connection."""
        self.cancelled = True
        self.scope.cancel()

    def mark_degraded(self) -> None:
        """Report once that the server is slow; the attempt continues, but others should avoid the server."""
        if not self.degraded:
            self.degraded = True
            self._on_degraded()

    def abort_stalled(self, reason: ShedReason) -> None:
        """Abort the attempt because the server is too slow, which closes its connection."""
        self.mark_degraded()
        self.stall_reason = reason
        self.scope.cancel()

    def interrupted_result(self) -> AttemptResult:
        """Return the result of an attempt that was cancelled, was aborted as stalled or timed out."""
        return AttemptResult(
            self.progress,
            cancelled=self.cancelled,
            stalled=self.stall_reason is not None,
            timed_out=not self.cancelled and self.stall_reason is None,
            reason=self.stall_reason.value if self.stall_reason else "",
        )
