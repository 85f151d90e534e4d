"""Mean response times by request class, and the response time to expect of a request."""

from __future__ import annotations

from frostfall.interface import Microseconds


class ServiceTimes:
    """Exponentially weighted means of response times and of the service times that clients announce."""

    __slots__ = (
        "_largest_scale",
        "_smallest_scale",
        "_weight",
        "counts",
        "hint_means",
        "means",
        "overall_mean",
    )

    def __init__(self, *, weight: float, smallest_scale: float, largest_scale: float) -> None:
        """Each value has this weight in a mean, the first ones of a class 1, 1/2, 1/3 and so on.

        A request that announces more or less work than usual in its class is expected to take longer or
        shorter in proportion, between the two scales.
        """
        self._weight = weight
        self._smallest_scale = smallest_scale
        self._largest_scale = largest_scale
        self.means: dict[str, float] = {}  # response time by class, in microseconds
        self.counts: dict[str, int] = {}  # response times measured, by class
        self.hint_means: dict[str, float] = {}  # announced service time by class, in microseconds
        self.overall_mean = 0.0  # response time of all classes, in microseconds; 0 where none is known

    def record_hint(self, class_name: str, hint: Microseconds | None) -> None:
        """Learn from the service time that a new request announces, if it does."""
        mean = self.hint_means.get(class_name, float(hint or 0))
        self.hint_means[class_name] = mean + self._weight * ((hint or mean) - mean)

    def record(self, class_name: str, elapsed: Microseconds) -> None:
        """Learn from a response time."""
        count = self.counts[class_name] = self.counts.get(class_name, 0) + 1
        weight = max(self._weight, 1 / count)
        mean = self.means.get(class_name, 0.0)
        self.means[class_name] = mean + weight * (elapsed - mean)
        self.overall_mean += weight * (elapsed - self.overall_mean)

    def expected(self, class_name: str, hint: Microseconds | None, *, default: float) -> float:
        """The response time to expect, in microseconds, of a request that `record_hint` has seen.

        `default` stands for the mean of a class of which no response time is known.
        """
        mean = self.means.get(class_name, default)
        if not hint:
            return mean
        scale = hint / max(self.hint_means[class_name], 1.0)
        return min(max(scale, self._smallest_scale), self._largest_scale) * mean

    def ratio(self, class_name: str) -> float:
        """The mean response time of a class by that of all classes; 1 where it is not known."""
        mean = self.overall_mean
        return self.means.get(class_name, mean) / mean if mean else 1.0
