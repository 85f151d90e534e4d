"""Detection of slow clients and servers: the one place where drivers have peers judged.

Drivers report what they see of a connection, in bytes and attended seconds (`limits.stall_adjusted_clock`),
and carry out the verdict. Each connection has a `ConnectionProgress`; the client to be evicted is named by
the driver's own object.
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
SUSPECT_AFTER_SECONDS = 0.15  # attended; servers may pause between the head of an answer and its value
NO_LIMITS = SlowPeerOptions()
UNLIMITED_BYTES = 1 << 50
UNLIMITED_BUFFERS = BufferLimits(
    reader_bytes=UNLIMITED_BYTES, source_bytes=UNLIMITED_BYTES, all_bytes=UNLIMITED_BYTES
)


class ConnectionProgress:
    """What the peer of one connection has read and sent, and the class of the request under way."""

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
        self.bytes_written = 0  # for the peer to read, over the connection's life
        self.bytes_received = 0  # from the peer, over the connection's life
        self.class_name = ""
        # While a message has come in part: since when, in attended seconds, and bytes_received at that time.
        self.partial_since: float | None = None
        self.partial_start_bytes = 0


class Eviction(NamedTuple, Generic[Client]):
    """A client whose connection is to be closed, and why."""

    reason: ShedReason
    client: Client


class SlowPeerDetector(Generic[Client]):
    """Judges clients and servers by the options in force; without options, every peer passes.

    It owns the budget of buffered bytes and the counts of shed peers.
    """

    def __init__(self, options: SlowPeerOptions | None = None) -> None:
        """Begin with these options, which `reconfigure` replaces."""
        self._set_options(options)
        self.budget: BufferBudget[Client] = BufferBudget(self._options.waiting or UNLIMITED_BUFFERS)
        self.shed_counter = ShedCounter(self._options.log_every)

    def _set_options(self, options: SlowPeerOptions | None) -> None:
        self._options = options or NO_LIMITS
        # Read with every answer and attempt, so they are computed once.
        self.watches_clients = self._options.watches_clients
        self.watches_servers = self._options.watches_servers

    @property
    def options(self) -> SlowPeerOptions:
        """The options in force."""
        return self._options

    def reconfigure(self, options: SlowPeerOptions | None) -> None:
        """Replace the options; buffered bytes and measurements under way continue."""
        self._set_options(options)
        self.budget.limits = self._options.waiting or UNLIMITED_BUFFERS
        self.shed_counter.report_interval = self._options.log_every

    def check_client_reading(
        self, client: Client, progress: ConnectionProgress, source: str, now: float, buffered_bytes: int
    ) -> ShedReason | None:
        """Judge how a client reads its answers, with so many bytes buffered for it, the kernel's included."""
        minimum = self._options.clients.reading_rate(progress.class_name)
        too_slow = _reads_too_slowly(progress, now, buffered_bytes, minimum)
        self.budget.update(client, source, buffered_bytes, progress.peer_reads.throughput)
        return ShedReason.CLIENT_READS_SLOWLY if too_slow else None

    def record_buffered(self, client: Client, source: str, buffered_bytes: int) -> None:
        """Record the bytes buffered for a client beyond what the kernel has taken, without judging it."""
        self.budget.update(client, source, buffered_bytes, None)

    def check_client_sending(self, progress: ConnectionProgress, now: float) -> ShedReason | None:
        """Judge how a client sends a query that has come in part."""
        minimum = self._options.clients.sending
        if minimum is None or progress.partial_since is None:
            return None
        if _sends_too_slowly(progress, now, minimum):
            return ShedReason.CLIENT_SENDS_SLOWLY
        if now - progress.partial_since > self._options.clients.sending_most:
            return ShedReason.CLIENT_SENDS_SLOWLY
        return None

    def find_eviction(self, client: Client) -> Eviction[Client] | None:
        """The client to evict for buffered bytes after a change of this one's; call again afterwards."""
        found = self.budget.find_eviction(client)
        return Eviction(REASON_BY_SCOPE[found.scope], found.key) if found else None

    def check_server_reading(
        self, progress: ConnectionProgress, now: float, unread_bytes: int
    ) -> ShedReason | None:
        """Judge how a server reads a query, of which it has not read so many bytes yet."""
        minimum = self._options.servers.reading_rate(progress.class_name)
        too_slow = _reads_too_slowly(progress, now, unread_bytes, minimum)
        return ShedReason.SERVER_READS_SLOWLY if too_slow else None

    def check_server_sending(self, progress: ConnectionProgress, now: float) -> ShedReason | None:
        """Judge how a server sends an answer that has begun."""
        minimum = self._options.servers.sending_rate(progress.class_name)
        too_slow = minimum is not None and _sends_too_slowly(progress, now, minimum)
        return ShedReason.SERVER_SENDS_SLOWLY if too_slow else None

    def suspects_server(self, progress: ConnectionProgress, now: float) -> bool:
        """Whether an answer is too slow so far: a reason to send others elsewhere, not to abort this one."""
        # Until the whole window has passed, many more requests would have been sent to that server.
        minimum = self._options.servers.sending_rate(progress.class_name)
        if minimum is None or progress.partial_since is None:
            return False
        if progress.peer_sends.verdict is ThroughputVerdict.IDLE:
            return False
        elapsed = now - progress.partial_since
        received = progress.bytes_received - progress.partial_start_bytes
        return elapsed >= SUSPECT_AFTER_SECONDS and received < minimum.rate * elapsed

    def ended_within_response(self, progress: ConnectionProgress, now: float) -> bool:
        """Whether an attempt that timed out ended within an answer that was under way a tick earlier."""
        # Time-outs of idempotent requests are shorter than any window, so by the window alone a server that
        # sends a few bytes at a time would never be found.
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
