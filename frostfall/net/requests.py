"""Tracks requests in flight, from a client's query to the answer and the end of all attempts."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from anyio.abc import TaskGroup

from frostfall import interface as api
from frostfall import log
from frostfall.config import Address
from frostfall.net.client_connection import ClientConnection
from frostfall.net.clock import Clock
from frostfall.net.endpoints import EndpointList
from frostfall.net.invariants import Invariant
from frostfall.net.operation_conflict import OperationConflict
from frostfall.net.pending_answers import PendingAnswers
from frostfall.net.reasons import CancelReason
from frostfall.net.request_trace import Step
from frostfall.net.upstream_connection import UpstreamAttempt
from frostfall.net.upstream_pool import UpstreamPool
from frostfall.policy.repeat_safety import RanIds, WrittenAttempt, may_repeat
from frostfall.protocol import endpoint_adapter, statement
from frostfall.protocol.attempt_result import AttemptProgress, AttemptResult, FinalOutcome
from frostfall.protocol.pg import READY_FOR_QUERY
from frostfall.protocol.pg_client import Row
from frostfall.protocol.pg_server import failure_answer

if TYPE_CHECKING:
    from frostfall.net.operations import OperationCoordinator

MayWrite = Callable[[int, str, int], bool]  # now in microseconds, request id, attempt number
MayActOn = Callable[[int, int], bool]  # now in microseconds, server

_log = log.get_logger("agent")


@dataclass(slots=True)
class _Request:
    """An accepted request that is unanswered or has attempts in flight."""

    statement: statement.Statement
    client: ClientConnection
    deadline: int  # microseconds of Unix time
    attempts: list[UpstreamAttempt] = field(default_factory=list)
    in_flight: int = 0  # attempts that have not ended
    done: bool = False  # answered, or its client has disconnected

    def written_attempts(self, current: UpstreamAttempt | None = None) -> list[WrittenAttempt]:
        """Return the attempts that were written, without the current one."""
        return [
            WrittenAttempt(attempt.written_at, attempt.outcome)
            for attempt in self.attempts
            if attempt is not current and attempt.progress >= AttemptProgress.WRITTEN
        ]


@dataclass(slots=True)
class _Dispatch:
    """One attempt and the server address it is sent to."""

    request: _Request
    action: api.SendAttempt
    number: int  # index of the attempt within its request
    attempt: UpstreamAttempt
    target: Address
    started_at: int  # microseconds of Unix time
    deadline: int  # microseconds of Unix time

    def is_obsolete(self) -> bool:
        """Return whether the result of this attempt is no longer needed."""
        return self.request.done or self.attempt.cancelled


class RequestTable:
    """Owns the requests in flight. Implements `client_interfaces.QueryHandler`."""

    def __init__(
        self,
        clock: Clock,
        classes: Iterable[api.RequestClass],
        *,
        post: Callable[[api.Event], None],
        may_write: MayWrite,
        may_act_on: MayActOn,
        endpoints: EndpointList,
        pool: UpstreamPool,
        pending_answers: PendingAnswers,
    ) -> None:
        """Create an empty table.

        `post` passes an event to the policy engine. `may_write` is the engine's final check before an attempt
        is written. `may_act_on` returns whether the lease of the endpoint list covers a server.
        """
        self._clock = clock
        self._classes = {request_class.name: request_class for request_class in classes}
        self._invariants = pending_answers.invariants
        self._trace = pending_answers.trace
        self._latest_deadline: int | None = None  # microseconds of the clock; set while draining
        self._post = post
        self._may_write = may_write
        self._may_act_on = may_act_on
        self._endpoints = endpoints
        self._pool = pool
        self._requests: dict[str, _Request] = {}  # by request id
        self._ran_ids = RanIds()
        self._task_group: TaskGroup | None = None
        self._operations: OperationCoordinator | None = None

    def __len__(self) -> int:
        """Return the number of requests in flight."""
        return len(self._requests)

    @property
    def attempts_in_flight(self) -> int:
        """The number of attempts, over all requests, that have not ended."""
        return sum(request.in_flight for request in self._requests.values())

    def start(self, task_group: TaskGroup, operations: OperationCoordinator | None) -> None:
        """Set the task group that runs attempts.

        With `operations`, non-idempotent attempts are recorded before they are written.
        """
        self._task_group = task_group
        self._operations = operations

    def handle_query(self, client: ClientConnection, text: bytes) -> str | None:
        """Accept a client's query; return the reason if it is malformed, else None."""
        now = self._clock.now()
        parsed = statement.parse(text)
        if isinstance(parsed, str):
            return parsed
        if parsed.class_name not in self._classes:
            return "an unknown class"
        operations = self._operations
        if parsed.request in self._requests and not (operations and operations.is_known(parsed)):
            return "an id that is in use"
        deadline = now + parsed.wait_ms * 1000
        if self._latest_deadline is not None:
            deadline = min(deadline, self._latest_deadline)
        client.request, client.progress.class_name = parsed.request, parsed.class_name
        if operations:
            try:
                if operations.handle_query(parsed, client, deadline):
                    return None
            except OperationConflict as conflict:
                client.request = None
                return str(conflict)
        if self._has_run(parsed):
            client.answer(failure_answer())
            return None
        self._requests[parsed.request] = _Request(parsed, client, deadline)
        if self._trace.enabled:
            self._trace.record(
                Step.ACCEPTED,
                request=parsed.request,
                connection=client.number,
                class_name=parsed.class_name,
                wait_ms=(deadline - now) // 1000,
            )
        self._post(
            api.RequestArrived(
                parsed.request,
                parsed.class_name,
                deadline,
                parsed.key,
                parsed.service_time_hint,
                None,
                parsed.is_retry,
            )
        )
        return None

    def _has_run(self, parsed: statement.Statement) -> bool:
        """Return whether an earlier request with this id may have run; its client may have left since."""
        request_class = self._classes[parsed.class_name]
        if self._is_recorded(request_class) or request_class.idempotency is api.Idempotency.IDEMPOTENT:
            return False
        self._ran_ids.forget_expired(self._clock.now())
        return parsed.request in self._ran_ids

    def _is_recorded(self, request_class: api.RequestClass) -> bool:
        """Return whether the group's record of operations decides if a request of this class may run."""
        is_non_idempotent = request_class.idempotency is api.Idempotency.NON_IDEMPOTENT
        return self._operations is not None and is_non_idempotent

    def client_disconnected(self, client: ClientConnection) -> None:
        """Cancel the pending request of a client that has disconnected, if there is one.

        Another client's request may have the same id: in a group, the client that has disconnected may have
        waited for the operation of that request.
        """
        name, client.request = client.request, None
        if name is not None and (request := self._requests.get(name)) and request.client is client:
            request.done = True
            if self._trace.enabled:
                self._trace.record(Step.CLIENT_LEFT, request=name)
            self._post(api.ClientDisconnected(name))
            self._remove_if_finished(name)

    def limit_deadlines(self, latest: int) -> None:
        """Cap the deadline of every query accepted later at `latest`, in microseconds of the clock."""
        self._latest_deadline = latest

    def answer_all(self) -> None:
        """Have the engine send the final answer of every open request now."""
        for name in [name for name, request in self._requests.items() if not request.done]:
            self._post(api.AnswerDue(name))

    def conclude(self, name: str, answer: bytes, outcome: FinalOutcome) -> None:
        """Send the final answer of a request and cancel the attempts that the engine has in flight for it."""
        if (request := self._requests.get(name)) and not request.done:
            self.finish(name, answer, outcome)
            self._post(api.ClientDisconnected(name))

    def fail_after_fault(self, event: api.Event) -> None:
        """Fail the request of an event on which the engine raised an exception, if the event has one."""
        name = getattr(event, "request", None)
        if isinstance(name, str) and name in self._requests:
            self.finish(name, failure_answer(), FinalOutcome.FAILED)

    def finish(self, name: str, answer: bytes, outcome: FinalOutcome) -> None:
        """Answer a request; has no effect if the request is already answered or unknown."""
        request = self._requests.get(name)
        if request is None or request.done:
            return
        request.done = True
        if all_attempts_ended := not request.in_flight:
            self._remove(name)
        if self._operations:
            self._operations.finish_request(name, answer, outcome, request.client, all_attempts_ended)
        else:
            request.client.answer(answer)

    def _remove_if_finished(self, name: str) -> None:
        if (request := self._requests.get(name)) and request.done and not request.in_flight:
            self._remove(name)
            if self._operations:
                self._operations.request_closed(name)

    def _remove(self, name: str) -> None:
        request = self._requests.pop(name)
        request_class = self._classes[request.statement.class_name]
        if not self._is_recorded(request_class):
            self._ran_ids.record_end(self._clock.now(), name, request_class, request.written_attempts())

    def cancel_attempt(self, name: str, number: int) -> None:
        """Cancel an attempt of a request; the end of the attempt is still reported."""
        if (request := self._requests.get(name)) and number < len(request.attempts):
            if self._trace.enabled:
                self._trace_cancellation(name, CancelReason.DECIDED)
            request.attempts[number].cancel()

    def send_attempt(self, action: api.SendAttempt) -> None:
        """Start an attempt; exactly one `AttemptEnded` event is posted for each attempt that starts."""
        request = self._requests.get(action.request)
        started_at = self._clock.now()
        if request is None or request.done or self._task_group is None:
            _log.error("attempt refused: request has ended", request=action.request)
            return
        number = len(request.attempts)
        if self._trace.enabled:
            self._trace.record(
                Step.ATTEMPT_STARTED, request=action.request, attempt=number, server=action.server
            )

        # Posted before the end of the attempt, so that the engine does not retry on the same server.
        def on_degraded() -> None:
            self._post(api.ServerDegraded(action.server))

        attempt = UpstreamAttempt(request.statement.class_name, on_degraded)
        request.attempts.append(attempt)
        target = self._endpoints.address_of(action.server)
        if target is None:
            unreachable = api.Outcome.UNREACHABLE
            self._post(api.AttemptEnded(action.request, number, action.server, unreachable, 0, False))
            return
        request.in_flight += 1
        deadline = min(started_at + action.timeout, request.deadline) if action.timeout else request.deadline
        dispatch = _Dispatch(request, action, number, attempt, target, started_at, deadline)
        self._task_group.start_soon(self._run_when_authorized if self._operations else self._run, dispatch)

    async def _run(self, dispatch: _Dispatch) -> None:
        await self._pool.run_attempt(
            dispatch.attempt,
            dispatch.target,
            lambda: self._statement_to_write(dispatch),
            dispatch.deadline,
            lambda ending: self._attempt_ended(dispatch, ending),
        )

    async def _run_when_authorized(self, dispatch: _Dispatch) -> None:
        """Run an attempt once it is authorized: a non-idempotent one waits until its record is durable."""
        authorized = False
        try:
            if self._operations:
                authorized = await self._operations.authorize_dispatch(
                    dispatch.action.request, dispatch.is_obsolete, dispatch.deadline
                )
        except Exception:  # the attempt must still end, or its request would stay unanswered
            _log.exception("dispatch authorization failed")
        if authorized:
            await self._run(dispatch)
        else:
            self._attempt_ended(
                dispatch,
                AttemptResult(AttemptProgress.NOT_WRITTEN, withheld=True, reason="not to be written"),
            )

    def _statement_to_write(self, dispatch: _Dispatch) -> bytes | None:
        """Return the query text immediately before its first byte is written; None if it must not be sent."""
        request, action = dispatch.request, dispatch.action
        now = self._clock.now()
        # The address may have changed since the attempt began; another process may listen at the old one.
        if (
            request.done
            or request.client.detect_disconnection()
            or self._endpoints.address_of(action.server) != dispatch.target
            or not self._may_write(now, action.request, dispatch.number)
        ):
            return None
        if not self._invariants_hold(dispatch, now):
            return None
        dispatch.attempt.written_at = now
        if self._trace.enabled:
            self._trace.record(Step.ATTEMPT_WRITTEN, request=action.request, attempt=dispatch.number)
        return request.statement.with_wait((dispatch.deadline - now) // 1000)

    def _invariants_hold(self, dispatch: _Dispatch, now: int) -> bool:
        """Check, before each write, the invariants that are independent of the policies' decisions."""
        request, name = dispatch.request, dispatch.action.request
        is_pending = request.client.request == name or self._operations is not None
        is_leased = self._may_act_on(now, dispatch.action.server)
        if is_pending and is_leased and now < request.deadline and len(request.attempts) == 1:
            return True  # the common case: the first attempt of a request
        earlier = request.written_attempts(dispatch.attempt)
        is_safe = may_repeat(now, self._classes[request.statement.class_name], earlier)
        check = self._invariants.check
        return (
            check(Invariant.WRITE_FOR_OPEN_REQUEST, is_pending, name)
            and check(Invariant.WRITE_IN_TIME, now < request.deadline, name)
            and check(Invariant.WRITE_ON_LEASE, is_leased, name, f"server {dispatch.action.server}")
            and check(Invariant.REPEAT_IF_SAFE, is_safe, name, f"{len(earlier)} earlier attempts")
        )

    def _trace_cancellation(self, name: str, reason: CancelReason) -> None:
        self._trace.record(Step.ATTEMPT_CANCELLED, request=name, reason=reason.value)

    def _attempt_ended(self, dispatch: _Dispatch, ending: AttemptResult) -> None:
        request, action = dispatch.request, dispatch.action
        request.in_flight -= 1
        name, outcome = action.request, ending.outcome
        dispatch.attempt.outcome = outcome
        if self._trace.enabled:
            self._trace.record(
                Step.ATTEMPT_ENDED,
                request=name,
                attempt=dispatch.number,
                outcome=outcome.name,
                progress=ending.progress.name,
                why=ending.reason,
            )
        elif outcome is not api.Outcome.SUCCESS:
            _log.debug(
                "attempt ended",
                request=name,
                server=action.server,
                outcome=outcome.name,
                progress=ending.progress.name,
                why=ending.reason,
            )
        if isinstance(ending.answer, Row):
            self.finish(name, ending.answer.data + READY_FOR_QUERY, FinalOutcome.SERVED)
        if self._operations:
            self._operations.attempt_ended(name, ending)
        elapsed = self._clock.now() - dispatch.started_at
        self._post(
            api.AttemptEnded(
                name, dispatch.number, action.server, outcome, elapsed, request.done, _load_report(ending)
            )
        )
        self._remove_if_finished(name)


def _load_report(ending: AttemptResult) -> api.LoadReport | None:
    try:
        return endpoint_adapter.parse_load_report(ending.load_report)
    except Exception:  # the end of the attempt must be posted even if the server's report is malformed
        _log.exception("unreadable load report")
        return None
