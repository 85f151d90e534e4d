"""The final checks that no request can run twice (types: frostfall/interface.py)."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from frostfall.interface import Idempotency, Microseconds, Outcome, RequestClass

RAN_IDS_RETENTION = 60_000_000  # microseconds; longer than any client waits or tries again
MAX_RAN_IDS = 20_000


@dataclass(frozen=True, slots=True)
class WrittenAttempt:
    """An attempt whose last byte was handed to the kernel."""

    sent_at: Microseconds
    outcome: Outcome | None  # None while it is in flight

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have run the attempt: no outcome proves otherwise."""
        return self.outcome is None or not self.outcome.never_ran


def may_repeat(now: Microseconds, request_class: RequestClass, written: Iterable[WrittenAttempt]) -> bool:
    """Return whether a request may be written again after the attempts already written.

    The check is independent of routing and of the other guards.
    """
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    possible = [attempt for attempt in written if attempt.may_have_run]
    if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
        return not possible
    window = request_class.deduplication_window
    return all(now - attempt.sent_at < window for attempt in possible)


class RanIds:
    """The ids of ended requests that may have run and must not run again, for a limited time and number."""

    def __init__(self) -> None:
        """Begin without ids."""
        self._ended_at: OrderedDict[str, Microseconds] = OrderedDict()  # by id, oldest first

    def __len__(self) -> int:
        """Return the number of ids."""
        return len(self._ended_at)

    def __contains__(self, name: str) -> bool:
        """Return whether the request may have run."""
        return name in self._ended_at

    def record_end(
        self, now: Microseconds, name: str, request_class: RequestClass, written: Iterable[WrittenAttempt]
    ) -> None:
        """Record the end of a request with the attempts that were written."""
        self.forget_expired(now)
        if request_class.idempotency is Idempotency.IDEMPOTENT:
            return
        if any(attempt.may_have_run for attempt in written):
            self._ended_at[name] = now

    def forget_expired(self, now: Microseconds) -> None:
        """Remove the ids that are too old or too many, oldest first."""
        while self._ended_at:
            oldest = next(iter(self._ended_at.values()))
            if oldest > now - RAN_IDS_RETENTION and len(self._ended_at) < MAX_RAN_IDS:
                return
            self._ended_at.popitem(last=False)
