"""What was shed and why: counted by reason, told once a while and not once a peer."""

from __future__ import annotations

from collections import Counter
from enum import Enum


class ShedReason(Enum):
    """Why a peer was given up; the value stands in logs and reports."""

    CLIENT_READS_SLOWLY = "client reads below the least rate"
    CLIENT_SENDS_SLOWLY = "client sends below the least rate"
    CLIENT_BUFFER_FULL = "too much waits for one client"
    SOURCE_BUFFER_FULL = "too much waits for one source address"
    TOTAL_BUFFER_FULL = "too much waits for all clients"
    SERVER_READS_SLOWLY = "server reads below the least rate"
    SERVER_SENDS_SLOWLY = "server sends below the least rate"


class ShedCounter:
    """Counts since the last report, and when the next line is due."""

    def __init__(self, report_interval: float) -> None:
        """Tell at most one line every so many seconds."""
        self.report_interval = report_interval
        self._told_at = float("-inf")
        self._untold: Counter[ShedReason] = Counter()
        self._example = ""
        self.counts: Counter[ShedReason] = Counter()  # since the start

    def record(self, reason: ShedReason, peer: str) -> None:
        """One more; `peer` stands as an example in the next line."""
        self.counts[reason] += 1
        self._untold[reason] += 1
        self._example = peer

    def report_if_due(self, now: float) -> dict[str, object] | None:
        """What the next log line tells, by reason; None where none is due at this time, in seconds."""
        if not self._untold or now - self._told_at < self.report_interval:
            return None
        told: dict[str, object] = {reason.value: count for reason, count in self._untold.most_common()}
        self._told_at = now
        self._untold.clear()
        return {"shed": told, "last": self._example}

    def totals(self) -> dict[str, int]:
        """All since the start, by reason, for the health line."""
        return {reason.value: count for reason, count in self.counts.items()}
