"""The final check that a retry cannot run a request twice (types: frostfall/interface.py)."""

from collections.abc import Iterable
from dataclasses import dataclass

from frostfall.interface import Idempotency, Microseconds, Outcome, RequestClass


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
