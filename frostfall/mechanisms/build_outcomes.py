"""Outcomes of attempts by build and request class."""

from __future__ import annotations

from dataclasses import dataclass

from frostfall.mechanisms.sequential_test import RoundTotals


@dataclass(slots=True)
class OutcomeCounts:
    """Counts of one build and class; each new outcome decays the recent counts by a constant factor."""

    recent: float = 0.0
    recent_failures: float = 0.0
    total: float = 0.0


class BuildOutcomes:
    """Counts by build and class. A build that was rolled back is no baseline for the next build."""

    __slots__ = ("_retention", "by_class", "disputes", "rolled_back_build")

    def __init__(self, *, decay_outcomes: float) -> None:
        """Start without outcomes; recent counts decay to 1/e in `decay_outcomes` outcomes."""
        self._retention = 1 - 1 / decay_outcomes
        self.by_class: dict[tuple[int, str], OutcomeCounts] = {}
        self.disputes: dict[int, int] = {}  # answers that clients disputed, by build
        self.rolled_back_build = -1

    def record(self, build: int, class_name: str, failed: bool) -> None:
        """Count one outcome."""
        counts = self.by_class.get((build, class_name))
        if counts is None:
            counts = self.by_class[build, class_name] = OutcomeCounts()
        counts.recent = counts.recent * self._retention + 1
        counts.recent_failures = counts.recent_failures * self._retention + failed
        counts.total += 1

    def baseline(self, build: int) -> int:
        """Return the latest build before this one that was not rolled back, or -1 if there is none."""
        earlier = (other for other, _ in self.by_class if other < build and other != self.rolled_back_build)
        return max(earlier, default=-1)

    def of_class(self, build: int, class_name: str) -> OutcomeCounts:
        """Return the counts of a build and class; zeros if there are none."""
        return self.by_class.get((build, class_name)) or OutcomeCounts()

    def as_baseline(self, build: int) -> RoundTotals:
        """Return a build's recent outcomes over all classes, as the baseline of the next build's test."""
        rows = [counts for (other, _), counts in self.by_class.items() if other == build]
        return RoundTotals(
            baseline_outcomes=sum(counts.recent for counts in rows),
            baseline_failures=sum(counts.recent_failures for counts in rows),
        )

    def total(self, build: int) -> float:
        """Return the number of all outcomes of a build."""
        return sum(counts.total for (other, _), counts in self.by_class.items() if other == build)

    def record_dispute(self, build: int) -> None:
        """Count an answer that a client disputed."""
        self.disputes[build] = self.disputes.get(build, 0) + 1

    def is_obsolete(self, build: int, baseline: int) -> bool:
        """Return whether the counts of a build are no longer needed, given the current baseline."""
        return build < baseline or build == self.rolled_back_build

    def forget_obsolete(self, baseline: int) -> None:
        """Drop the builds before the current baseline and the build that was rolled back."""
        for build, class_name in list(self.by_class):
            if self.is_obsolete(build, baseline):
                del self.by_class[build, class_name]
        for build in list(self.disputes):
            if self.is_obsolete(build, baseline):
                del self.disputes[build]
