"""The one place where peers are judged: meters, budget and tally under the rules in force.

Drivers tell it what they see of a connection, in bytes and attended seconds, and carry out what it says. Each
side of a connection is a `Side`; who has to leave is named by the driver's own object.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

from frostfall.limits.buffer_budget import BufferBudget, BufferLimits, BufferScope
from frostfall.limits.options import SlowPeerOptions
from frostfall.limits.shed_counter import ShedCounter, ShedReason
from frostfall.limits.throughput_monitor import END_UNKNOWN, MinimumRate, ThroughputMonitor, ThroughputVerdict

Name = TypeVar("Name", bound=Hashable)

REASON_BY_SCOPE = {
    BufferScope.CLIENT: ShedReason.CLIENT_BUFFER_FULL,
    BufferScope.SOURCE: ShedReason.SOURCE_BUFFER_FULL,
    BufferScope.TOTAL: ShedReason.TOTAL_BUFFER_FULL,
}
SUSPECT_AFTER_SECONDS = 0.15  # attended seconds: servers may pause between an answer's head and its value
NO_LIMITS = SlowPeerOptions()
UNLIMITED_BUFFERS = BufferLimits(reader_bytes=1 << 50, source_bytes=1 << 50, all_bytes=1 << 50)


class ConnectionProgress:
    """One connection: what its peer takes (`reading`) and gives (`sending`), and the class under way."""

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
        """A connection over which nothing has gone."""
        self.peer_reads, self.peer_sends = ThroughputMonitor(), ThroughputMonitor()
        self.bytes_written = 0  # bytes handed over for the peer to take, in all
        self.bytes_received = 0  # bytes that came from the peer, in all
        self.class_name = ""
        # since when, in attended seconds, something has come but not whole
        self.partial_start_bytes = 0  # what had been given when that began
        self.partial_since: float | None = None


class SlowPeerDetector(Generic[Name]):
    """Judges peers. Without rules it lets everybody be."""

    def __init__(self, options: SlowPeerOptions | None = None) -> None:
        """Under these rules, which may be replaced at any time (`renew`)."""
        self._adopt(options)
        self.budget: BufferBudget[Name] = BufferBudget(self._rules.waiting or UNLIMITED_BUFFERS)
        self.shed_counter = ShedCounter(self._rules.log_every)

    def _adopt(self, rules: SlowPeerOptions | None) -> None:
        self._rules = rules or NO_LIMITS
        # Asked with every answer and attempt, so that it is not worked out each time.
        self.watches_clients, self.watches_servers = self._rules.watches_clients, self._rules.watches_servers

    @property
    def options(self) -> SlowPeerOptions:
        """The rules in force."""
        return self._rules

    def reconfigure(self, options: SlowPeerOptions | None) -> None:
        """Go by other rules from now on; what waits stays accounted for, and meters go on."""
        self._adopt(options)
        self.budget.limits = self._rules.waiting or UNLIMITED_BUFFERS
        self.shed_counter.report_interval = self._rules.log_every

    # ---- clients ---------------------------------------------------------------------------------------

    def check_client_reading(
        self, client: Name, progress: ConnectionProgress, source: str, now: float, buffered_bytes: int
    ) -> ShedReason | None:
        """Look at how a client takes its answers; so many bytes wait for it, the kernel's included."""
        spent = self._reads(
            progress, now, buffered_bytes, self._rules.clients.reading_rate(progress.class_name)
        )
        self.budget.update(client, source, buffered_bytes, progress.peer_reads.throughput)
        return ShedReason.CLIENT_READS_SLOWLY if spent else None

    def record_buffered(self, client: Name, source: str, buffered_bytes: int) -> None:
        """So many bytes wait for a client from now on, beyond what the kernel has taken."""
        self.budget.update(client, source, buffered_bytes, None)

    def check_client_sending(self, progress: ConnectionProgress, now: float) -> ShedReason | None:
        """Look at how a client gives a query that has come in part."""
        rule = self._rules.clients.sending
        if rule is None or progress.partial_since is None:
            return None
        if self._spent(progress.peer_sends, now, progress.bytes_received, END_UNKNOWN, rule):
            return ShedReason.CLIENT_SENDS_SLOWLY
        return (
            ShedReason.CLIENT_SENDS_SLOWLY
            if now - progress.partial_since > self._rules.clients.sending_most
            else None
        )

    def find_eviction(self, client: Name) -> tuple[ShedReason, Name] | None:
        """Who has to leave for what waits, now that this account has changed; ask again afterwards."""
        found = self.budget.find_eviction(client)
        return (REASON_BY_SCOPE[found[0]], found[1]) if found else None

    # ---- servers ---------------------------------------------------------------------------------------

    def check_server_reading(
        self, progress: ConnectionProgress, now: float, unread_bytes: int
    ) -> ShedReason | None:
        """Look at how a server takes a query, with so many bytes of it not taken yet."""
        spent = self._reads(
            progress, now, unread_bytes, self._rules.servers.reading_rate(progress.class_name)
        )
        return ShedReason.SERVER_READS_SLOWLY if spent else None

    def check_server_sending(self, progress: ConnectionProgress, now: float) -> ShedReason | None:
        """Look at how a server gives an answer that has begun."""
        rule = self._rules.servers.sending_rate(progress.class_name)
        spent = rule is not None and self._spent(
            progress.peer_sends, now, progress.bytes_received, END_UNKNOWN, rule
        )
        return ShedReason.SERVER_SENDS_SLOWLY if spent else None

    def suspects_server(self, progress: ConnectionProgress, now: float) -> bool:
        """Whether an answer goes too slowly so far: grounds to send others elsewhere, not to end it."""
        # Danger: until the window has shown it for sure, many more requests would have gone to that server.
        rule = self._rules.servers.sending_rate(progress.class_name)
        if (
            rule is None
            or progress.partial_since is None
            or progress.peer_sends.verdict is ThroughputVerdict.IDLE
        ):
            return False
        span = now - progress.partial_since
        return (
            span >= SUSPECT_AFTER_SECONDS
            and progress.bytes_received - progress.partial_start_bytes < rule.rate * span
        )

    def ended_within_response(self, progress: ConnectionProgress, now: float) -> bool:
        """Whether an attempt, its time over, ended within an answer that had had a turn to come."""
        # Danger: time-outs of what is safe to repeat are shorter than any window, so that by the window alone
        # a server that drips would never be found.
        if self._rules.servers.sending_rate(progress.class_name) is None or progress.partial_since is None:
            return False
        return now > progress.partial_since

    def _reads(self, side: ConnectionProgress, now: float, waiting: int, rule: MinimumRate | None) -> bool:
        return rule is not None and self._spent(
            side.peer_reads, now, side.bytes_written - waiting, side.bytes_written, rule
        )

    @staticmethod
    def _spent(meter: ThroughputMonitor, now: float, moved: int, due: int, rule: MinimumRate) -> bool:
        return meter.observe(now, moved, due, rule) is ThroughputVerdict.FAILED
