"""Outcomes of attempts by build and request class."""

from __future__ import annotations

from dataclasses import dataclass

from frostfall.mechanisms.sequential_test import RoundTotals


@dataclass(slots=True)
class OutcomeCounts:
    """Outcomes of one build and class; the recent ones decay by a part with each further outcome."""

    recent: float = 0.0
    recent_failures: float = 0.0
    total: float = 0.0


class BuildOutcomes:
    """Counts by build and class; a build that was rolled back is no baseline for the next one."""

    __slots__ = ("_retention", "by_class", "disputes", "rolled_back_build")

    def __init__(self, *, memory: float) -> None:
        """Recent counts remember so many outcomes."""
        self._retention = 1 - 1 / memory
        self.by_class: dict[tuple[int, str], OutcomeCounts] = {}
        self.disputes: dict[int, int] = {}  # answers that clients judged wrong, by build
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
        """The latest build before this one that was not rolled back; -1 where there is none."""
        earlier = (other for other, _ in self.by_class if other < build and other != self.rolled_back_build)
        return max(earlier, default=-1)

    def of_class(self, build: int, class_name: str) -> OutcomeCounts:
        """The counts of a build and class; zeros where there are none."""
        return self.by_class.get((build, class_name)) or OutcomeCounts()

    def as_baseline(self, build: int) -> RoundTotals:
        """The recent outcomes of all classes of a build, as what a test of the next one is held against."""
        rows = [counts for (other, _), counts in self.by_class.items() if other == build]
        return RoundTotals(
            baseline_outcomes=sum(counts.recent for counts in rows),
            baseline_failures=sum(counts.recent_failures for counts in rows),
        )

    def total(self, build: int) -> float:
        """All outcomes of a build."""
        return sum(counts.total for (other, _), counts in self.by_class.items() if other == build)

    def record_dispute(self, build: int) -> None:
        """Count an answer that a client judged wrong."""
        self.disputes[build] = self.disputes.get(build, 0) + 1

    def is_obsolete(self, build: int, baseline: int) -> bool:
        """Whether nothing of a build is needed any more, given the present baseline."""
        return build < baseline or build == self.rolled_back_build

    def forget_obsolete(self, baseline: int) -> None:
        """Drop the builds before the present baseline and the one that was rolled back."""
        for build, class_name in list(self.by_class):
            if self.is_obsolete(build, baseline):
                del self.by_class[build, class_name]
        for build in list(self.disputes):
            if self.is_obsolete(build, baseline):
                del self.disputes[build]
