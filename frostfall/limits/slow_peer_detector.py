"""Detection of slow clients and servers: decides for all network drivers which peers are too slow.

Drivers report the progress of a connection, in bytes and stall-adjusted seconds
(`limits.stall_adjusted_clock`), and carry out the verdict. Each connection has a `ConnectionProgress`.
Clients are identified by objects of the driver.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, NamedTuple, TypeVar

from frostfall.limits.buffer_budget import BufferBudget, BufferLimits, BufferScope
from frostfall.limits.options import SlowPeerOptions
from frostfall.limits.shed_counter import ShedCounter, ShedReason
from frostfall.limits.throughput_monitor import END_UNKNOWN, MinimumRate, ThroughputMonitor, ThroughputVerdict

Client = TypeVar("Client", bound=Hashable)

REASON_BY_SCOPE = {
    BufferScope.CLIENT: ShedReason.CLIENT_BUFFER_FULL,
    BufferScope.SOURCE: ShedReason.SOURCE_BUFFER_FULL,
    BufferScope.TOTAL: ShedReason.TOTAL_BUFFER_FULL,
}
SUSPECT_AFTER_SECONDS = 0.15  # stall-adjusted; servers may pause between the head of an answer and its value
NO_LIMITS = SlowPeerOptions()
UNLIMITED_BYTES = 1 << 50
UNLIMITED_BUFFERS = BufferLimits(
    reader_bytes=UNLIMITED_BYTES, source_bytes=UNLIMITED_BYTES, all_bytes=UNLIMITED_BYTES
)


class ConnectionProgress:
    """What the peer of one connection has read and sent, and the class of the current request."""

    __slots__ = (
        "bytes_received",
        "bytes_written",
        "class_name",
        "partial_since",
        "partial_start_bytes",
        "peer_reads",
        "peer_sends",
    )

    def __init__(self) -> None:
        """Begin with no bytes in either direction."""
        self.peer_reads = ThroughputMonitor()
        self.peer_sends = ThroughputMonitor()
        self.bytes_written = 0  # to the peer, since the connection was opened
        self.bytes_received = 0  # from the peer, since the connection was opened
        self.class_name = ""
        # Start of a partly received message, in stall-adjusted seconds, and bytes_received at that time.
        self.partial_since: float | None = None
        self.partial_start_bytes = 0


class Eviction(NamedTuple, Generic[Client]):
    """A client whose connection is to be closed, and the reason."""

    reason: ShedReason
    client: Client


class SlowPeerDetector(Generic[Client]):
    """Checks clients and servers against the current options; without options, every peer passes.

    Owns the budget of buffered bytes and the counts of shed peers.
    """

    def __init__(self, options: SlowPeerOptions | None = None) -> None:
        """Begin with these options, which `reconfigure` can replace."""
        self._set_options(options)
        self.budget: BufferBudget[Client] = BufferBudget(self._options.waiting or UNLIMITED_BUFFERS)
        self.shed_counter = ShedCounter(self._options.log_every)

    def _set_options(self, options: SlowPeerOptions | None) -> None:
        self._options = options or NO_LIMITS
        # Computed once, as they are read for every answer and attempt.
        self.monitors_clients = self._options.monitors_clients
        self.monitors_servers = self._options.monitors_servers

    @property
    def options(self) -> SlowPeerOptions:
        """The current options."""
        return self._options

    def reconfigure(self, options: SlowPeerOptions | None) -> None:
        """Replace the options; buffered bytes and current measurements are retained."""
        self._set_options(options)
        self.budget.limits = self._options.waiting or UNLIMITED_BUFFERS
        self.shed_counter.report_interval = self._options.log_every

    def check_client_reading(
        self, client: Client, progress: ConnectionProgress, source: str, now: float, buffered_bytes: int
    ) -> ShedReason | None:
        """Check how fast a client reads answers; `buffered_bytes` include the kernel's send buffer."""
        minimum = self._options.clients.reading_rate(progress.class_name)
        too_slow = _reads_too_slowly(progress, now, buffered_bytes, minimum)
        self.budget.update(client, source, buffered_bytes, progress.peer_reads.throughput)
        return ShedReason.CLIENT_READS_SLOWLY if too_slow else None

    def record_buffered(self, client: Client, source: str, buffered_bytes: int) -> None:
        """Record the bytes buffered for a client, without the kernel's send buffer, and check nothing."""
        self.budget.update(client, source, buffered_bytes, None)

    def check_client_sending(self, progress: ConnectionProgress, now: float) -> ShedReason | None:
        """Check how fast a client sends a partly received query."""
        minimum = self._options.clients.sending
        if minimum is None or progress.partial_since is None:
            return None
        if _sends_too_slowly(progress, now, minimum):
            return ShedReason.CLIENT_SENDS_SLOWLY
        if now - progress.partial_since > self._options.clients.sending_most:
            return ShedReason.CLIENT_SENDS_SLOWLY
        return None

    def find_eviction(self, client: Client) -> Eviction[Client] | None:
        """Return the client to evict after a change of `client`'s buffered bytes; call again afterwards."""
        found = self.budget.find_eviction(client)
        return Eviction(REASON_BY_SCOPE[found.scope], found.key) if found else None

    def check_server_reading(
        self, progress: ConnectionProgress, now: float, unread_bytes: int
    ) -> ShedReason | None:
        """Check how fast a server reads a query, of which `unread_bytes` are still unread."""
        minimum = self._options.servers.reading_rate(progress.class_name)
        too_slow = _reads_too_slowly(progress, now, unread_bytes, minimum)
        return ShedReason.SERVER_READS_SLOWLY if too_slow else None

    def check_server_sending(self, progress: ConnectionProgress, now: float) -> ShedReason | None:
        """Check how fast a server sends an answer that has begun."""
        minimum = self._options.servers.sending_rate(progress.class_name)
        too_slow = minimum is not None and _sends_too_slowly(progress, now, minimum)
        return ShedReason.SERVER_SENDS_SLOWLY if too_slow else None

    def suspects_server(self, progress: ConnectionProgress, now: float) -> bool:
        """Return whether an answer is slow so far: a reason to avoid the server, not to abort the attempt."""
        # By the end of the whole window, many more requests would have been sent to that server.
        minimum = self._options.servers.sending_rate(progress.class_name)
        if minimum is None or progress.partial_since is None:
            return False
        if progress.peer_sends.verdict is ThroughputVerdict.IDLE:
            return False
        elapsed = now - progress.partial_since
        received = progress.bytes_received - progress.partial_start_bytes
        return elapsed >= SUSPECT_AFTER_SECONDS and received < minimum.rate * elapsed

    def ended_within_response(self, progress: ConnectionProgress, now: float) -> bool:
        """Return whether an attempt timed out during an answer that had begun at least a tick earlier."""
        # Timeouts of idempotent requests are shorter than any window, so by the window alone a server that
        # sends a few bytes at a time would never be detected.
        if self._options.servers.sending_rate(progress.class_name) is None or progress.partial_since is None:
            return False
        return now > progress.partial_since


def _reads_too_slowly(
    progress: ConnectionProgress, now: float, unread_bytes: int, minimum: MinimumRate | None
) -> bool:
    if minimum is None:
        return False
    written = progress.bytes_written
    verdict = progress.peer_reads.observe(
        now, transferred=written - unread_bytes, due=written, minimum=minimum
    )
    return verdict is ThroughputVerdict.FAILED


def _sends_too_slowly(progress: ConnectionProgress, now: float, minimum: MinimumRate) -> bool:
    verdict = progress.peer_sends.observe(
        now, transferred=progress.bytes_received, due=END_UNKNOWN, minimum=minimum
    )
    return verdict is ThroughputVerdict.FAILED
