"""Whether a further attempt can do no harm, by the earlier ones (types: frostfall/interface.py)."""

from collections.abc import Iterable
from dataclasses import dataclass

from frostfall.interface import Idempotency, Microseconds, Outcome, RequestClass


@dataclass(frozen=True, slots=True)
class WrittenAttempt:
    """An attempt whose last byte was handed to the kernel."""

    sent_at: Microseconds
    outcome: Outcome | None  # None while it is out

    @property
    def may_have_run(self) -> bool:
        """Whether nothing proves that it never ran."""
        return self.outcome is None or not self.outcome.never_ran


def may_repeat(now: Microseconds, request_class: RequestClass, written: Iterable[WrittenAttempt]) -> bool:
    """Whether a request may be written again: the last look, which knows nothing of how it was routed."""
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    possible = [attempt for attempt in written if attempt.may_have_run]
    if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
        return not possible
    window = request_class.deduplication_window
    return all(now - attempt.sent_at < window for attempt in possible)
