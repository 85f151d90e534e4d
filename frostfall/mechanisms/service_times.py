"""Mean response times by request class, and the expected response time of a request."""

from __future__ import annotations

from frostfall.interface import Microseconds


class ServiceTimes:
    """Exponentially weighted means of response times and of clients' service-time hints."""

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
        """Start without response times.

        Each value enters a mean with `weight`; the first values of a class have the weights 1, 1/2, 1/3 and
        so on. The expected time of a request with a hint is scaled by the ratio of the hint to the mean hint
        of its class, limited to the range from `smallest_scale` to `largest_scale`.
        """
        self._weight = weight
        self._smallest_scale = smallest_scale
        self._largest_scale = largest_scale
        self.means: dict[str, float] = {}  # response time by class, in microseconds
        self.counts: dict[str, int] = {}  # number of response times, by class
        self.hint_means: dict[str, float] = {}  # service-time hint by class, in microseconds
        self.overall_mean = 0.0  # response time over all classes, in microseconds; 0 without any

    def record_hint(self, class_name: str, hint: Microseconds | None) -> None:
        """Record the service-time hint of a new request, if it has one."""
        mean = self.hint_means.get(class_name, float(hint or 0))
        self.hint_means[class_name] = mean + self._weight * ((hint or mean) - mean)

    def record(self, class_name: str, elapsed: Microseconds) -> None:
        """Record a response time."""
        count = self.counts[class_name] = self.counts.get(class_name, 0) + 1
        weight = max(self._weight, 1 / count)
        mean = self.means.get(class_name, 0.0)
        self.means[class_name] = mean + weight * (elapsed - mean)
        self.overall_mean += weight * (elapsed - self.overall_mean)

    def expected(self, class_name: str, hint: Microseconds | None, *, default: float) -> float:
        """Return the expected response time, in microseconds, of a request passed to `record_hint` before.

        `default` replaces the mean of a class without recorded response times.
        """
        mean = self.means.get(class_name, default)
        if not hint:
            return mean
        scale = hint / max(self.hint_means[class_name], 1.0)
        return min(max(scale, self._smallest_scale), self._largest_scale) * mean

    def ratio(self, class_name: str) -> float:
        """Return the ratio of a class's mean response time to that of all classes; 1 if unknown."""
        mean = self.overall_mean
        return self.means.get(class_name, mean) / mean if mean else 1.0
