"""Counts of shed peers by reason, reported once per interval instead of once per peer."""

from __future__ import annotations

from collections import Counter
from enum import Enum

import msgspec


class ShedReason(Enum):
    """The reason why a peer was shed; the value appears in logs and reports."""

    CLIENT_READS_SLOWLY = "client reads below the least rate"
    CLIENT_SENDS_SLOWLY = "client sends below the least rate"
    CLIENT_BUFFER_FULL = "too much waits for one client"
    SOURCE_BUFFER_FULL = "too much waits for one source address"
    TOTAL_BUFFER_FULL = "too much waits for all clients"
    SERVER_READS_SLOWLY = "server reads below the least rate"
    SERVER_SENDS_SLOWLY = "server sends below the least rate"


class ShedReport(msgspec.Struct, frozen=True):
    """The peers shed since the last report."""

    counts: dict[str, int]  # by ShedReason value, the most frequent first
    last_peer: str  # address of the last shed peer, as an example


class ShedCounter:
    """Counts of shed peers since the start and since the last report."""

    def __init__(self, report_interval: float) -> None:
        """Report at most once per `report_interval`, in seconds."""
        self.report_interval = report_interval
        self.counts: Counter[ShedReason] = Counter()  # since the start
        self._unreported: Counter[ShedReason] = Counter()
        self._reported_at = float("-inf")  # seconds
        self._last_peer = ""

    def record(self, reason: ShedReason, peer: str) -> None:
        """Count one peer, identified by its address."""
        self.counts[reason] += 1
        self._unreported[reason] += 1
        self._last_peer = peer

    def report_if_due(self, now: float) -> ShedReport | None:
        """Return the next report; None if no report is due at `now`, in seconds."""
        if not self._unreported or now - self._reported_at < self.report_interval:
            return None
        counts = {reason.value: count for reason, count in self._unreported.most_common()}
        self._reported_at = now
        self._unreported.clear()
        return ShedReport(counts, self._last_peer)

    def totals(self) -> dict[str, int]:
        """Return the counts since the start by ShedReason value, for the log line on the agent's health."""
        return {reason.value: count for reason, count in self.counts.items()}
