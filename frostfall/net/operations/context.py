"""Shared dependencies of the operation handling."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from anyio.abc import TaskGroup

from frostfall import interface as api
from frostfall.group_options import GroupOptions
from frostfall.membership.member_list import MemberList
from frostfall.net.log_writer import LogWriter
from frostfall.net.member_transport import MemberConnection
from frostfall.net.operations.interfaces import RequestHandler
from frostfall.net.replication import ReplicationDriver
from frostfall.protocol.attempt_result import FinalOutcome
from frostfall.protocol.pg import READY_FOR_QUERY
from frostfall.protocol.pg_server import failure_answer, rejection_answer
from frostfall.protocol.recorded_answer import answer_for
from frostfall.recovery.operation_log import Operation, OperationLog, OperationResult
from frostfall.recovery.readiness import Readiness, ReadinessInputs
from frostfall.recovery.retry_after import RetryAfterJitter
from frostfall.replication.replica_store import ReplicaStore

DEADLINE_MARGIN = 10_000  # microseconds; a waiting attempt is abandoned this long before its deadline
MICROSECONDS_PER_SECOND = 1e6
MILLISECONDS_PER_SECOND = 1000


@dataclass(slots=True)
class OperationContext:
    """The state machines and drivers that operations use; other modules own them."""

    name: str  # name of this member
    options: GroupOptions
    idempotency: dict[str, api.Idempotency]  # by request class
    handler: RequestHandler
    clock: Callable[[], int]  # microseconds, on the same clock as deadlines
    monotonic_clock: Callable[[], float]  # seconds
    retry_after: RetryAfterJitter
    operation_log: OperationLog
    replica_store: ReplicaStore
    disk: LogWriter
    membership: MemberList
    readiness: Readiness
    inputs: ReadinessInputs
    connections: dict[str, MemberConnection]  # by member name
    replication: ReplicationDriver | None
    on_unreadable: Callable[[Exception], None]  # called with the error when the log cannot be read
    is_complete: Callable[[str], bool]  # whether an owner's record is complete here
    task_group: TaskGroup | None = None  # set when the member starts running
    removed_members: list[str] = field(
        init=False
    )  # permanently removed; replicas of their records are still read

    def __post_init__(self) -> None:
        """Collect the names of the removed members."""
        self.removed_members = [member.name for member in self.options.members if member.gone]

    def seconds_left(self, deadline: int) -> float:
        """Return the seconds until a request with this deadline (microseconds) must be abandoned."""
        return max(deadline - DEADLINE_MARGIN - self.clock(), 0) / MICROSECONDS_PER_SECOND

    def poll_timeout(self, deadline: int) -> float:
        """Return the seconds that a poll for a request with this deadline (microseconds) may take."""
        return min(self.options.waits.ask, self.seconds_left(deadline))

    def rejection(self) -> bytes:
        """Return a rejection, with a Retry-After time, of an attempt that the client may safely retry."""
        return rejection_answer(
            int(self.retry_after.next_delay(self.monotonic_clock()) * MILLISECONDS_PER_SECOND)
        )

    def conclude(self, request: str, operation: Operation, result: OperationResult | None) -> None:
        """Answer a request with the result of its operation; None means that it may have run."""
        answer = recorded_answer(result, operation.fingerprint)
        if answer is None:
            self.handler.conclude(request, failure_answer(), FinalOutcome.FAILED)
        else:
            self.handler.conclude(request, answer + READY_FOR_QUERY, FinalOutcome.SERVED)


def recorded_answer(result: OperationResult | None, fingerprint: bytes) -> bytes | None:
    """Return the recorded answer to the statement with this fingerprint, without ReadyForQuery."""
    if result is None or not result.is_answered or result.answer is None:
        return None
    return answer_for(result.answer, fingerprint)


def encode_result(result: OperationResult | None, fingerprint: bytes) -> bytes:
    """Return the recorded answer to the statement, or else a failure: the operation may have run."""
    answer = recorded_answer(result, fingerprint)
    return failure_answer() if answer is None else answer + READY_FOR_QUERY
