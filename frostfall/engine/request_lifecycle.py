"""The lifecycle of a request, from its arrival to its only final answer."""

from __future__ import annotations

from collections.abc import Iterator

from frostfall import interface as api
from frostfall.interface import Microseconds, Outcome
from frostfall.policy.learning import OutcomeRecorder
from frostfall.policy.placement import PLACEMENT_RETRY_PERIOD, PlacementPolicy
from frostfall.policy.retries import ANSWER_MARGIN, RetryPolicy
from frostfall.policy.rollout_test import RolloutTest
from frostfall.records import Attempt, PendingRequest, RoutingChoice, unknown_class

MAX_TIMER_DELAY = 10_000_000  # microseconds; an answered request's timer stays in memory no longer
WAITING_TIMER = "*hold"  # token of the timer for waiting requests; no request may have this name


class ForbiddenAttempt(Exception):
    """Raised when a policy chooses an attempt that the guards forbid."""


class RequestLifecycle:
    """Handles accepted requests until they are answered and their attempts have ended."""

    def __init__(
        self,
        settings: api.Settings,
        placement: PlacementPolicy,
        outcome_recorder: OutcomeRecorder,
        rollout_test: RolloutTest,
    ) -> None:
        """Create a lifecycle without requests."""
        self._placement = placement
        self._outcome_recorder = outcome_recorder
        self._rollout_test = rollout_test
        self._routing = placement.routing
        self._guards = placement.routing.guards
        self._exposure = placement.routing.exposure
        self._statistics = outcome_recorder.statistics
        self._retries = RetryPolicy(outcome_recorder.statistics)
        self._may_cancel = settings.limits.may_cancel
        self.classes = {each.name: each for each in settings.classes}
        self._timer_set = False  # whether the timer for waiting requests is set
        self.by_name: dict[str, PendingRequest] = {}

    def request_arrived(self, now: Microseconds, event: api.RequestArrived) -> Iterator[api.Action]:
        """Accept a request: send it, let it wait, or give its final answer."""
        remaining = event.deadline - now
        request_class = self.classes.get(event.class_name) or unknown_class(event.class_name, remaining)
        group = self._exposure.group(request_class)
        request = self.by_name[event.request] = PendingRequest(event, request_class, now, group)
        self._retries.record_request()
        self._exposure.log.record_admitted(now, group)
        self._statistics.times.record_hint(request_class.name, event.service_time_hint)
        yield self._deadline_timer(now, request)
        if self._placement.admits(request):
            yield from self._place(now, request)
        else:
            yield from self._end_unserved(request)

    def attempt_ended(self, now: Microseconds, event: api.AttemptEnded) -> Iterator[api.Action]:
        """Record the end of an attempt; retry its request, give it a final answer, or close it."""
        request = self.by_name.get(event.request)
        if request is None or request.attempts[event.attempt].outcome is not None:
            return
        attempt, outcome = request.attempts[event.attempt], event.outcome
        attempt.outcome = outcome
        attempt.server.in_flight.pop((event.request, event.attempt), None)
        self._record_end(now, request, attempt, event)
        if event.final or request.done:
            if outcome is Outcome.SUCCESS:
                self._exposure.record_success(request, attempt.server.info.build)
            yield from self._cancel(request)
            self._close(request)
        elif request.attempts_ended:
            if self._retries.claim_retry(now, request, outcome):
                yield from self._place(now, request)
            else:
                yield from self._end_unserved(request)

    def _record_end(
        self, now: Microseconds, request: PendingRequest, attempt: Attempt, event: api.AttemptEnded
    ) -> None:
        self._placement.admission.in_flight -= 1
        if event.outcome is Outcome.SUCCESS:
            self._routing.ejections.record_success(now, event.server)
        self._outcome_recorder.record_outcome(now, request, attempt, event)
        self._placement.admission.record_outcome(request, attempt, event)
        self._rollout_test.record_outcome(request, attempt, event)

    def record_overdue(self, now: Microseconds) -> None:
        """Let the rollout test count the attempts in flight whose answers can only be late."""
        for request in self.by_name.values():
            for attempt in request.attempts:
                if attempt.outcome is None:
                    self._rollout_test.record_overdue(now, request, attempt)

    def timer_fired(self, now: Microseconds, event: api.TimerFired) -> Iterator[api.Action]:
        """Try to place the waiting requests, or answer the request whose deadline is near."""
        if event.token == WAITING_TIMER:
            self._timer_set = False
            for request in list(self._placement.admission.waiting.values()):
                yield from self._place(now, request)
            return
        due = self.by_name.get(event.token)
        # A timer that fires before the request's own was set for an earlier request of the same name.
        if due is None or now < due.timer_due:
            return
        if now >= due.arrival.deadline - ANSWER_MARGIN:
            yield from self._end_unserved(due)
        elif not due.done:
            yield self._deadline_timer(now, due)

    def _deadline_timer(self, now: Microseconds, request: PendingRequest) -> api.SetTimer:
        """Return a timer for the request's last answer, or for an earlier time if that is far away."""
        remaining = request.arrival.deadline - ANSWER_MARGIN - now
        delay = min(max(remaining, 0), MAX_TIMER_DELAY)
        request.timer_due = now + delay
        return api.SetTimer(delay, request.name)

    def stream_started(self, event: api.StreamStarted) -> None:
        """Record that an answer is being streamed: its request is no longer cancelled or answered here."""
        if request := self.by_name.get(event.request):
            request.streaming = True

    def client_disconnected(self, event: api.ClientDisconnected) -> None:
        """Close the request of a client that has disconnected, which no longer awaits an answer."""
        if request := self.by_name.get(event.request):
            request.streaming = False
            self._close(request)

    def answer_due(self, event: api.AnswerDue) -> Iterator[api.Action]:
        """Give up a request whose answer can no longer be awaited."""
        if request := self.by_name.get(event.request):
            yield from self._end_unserved(request)

    def may_write(self, now: Microseconds, name: str, number: int) -> bool:
        """Return whether an attempt may still be written; called just before its first byte."""
        request = self.by_name.get(name)
        if request is None or request.attempts[number].outcome is not None:
            return False
        return self._guards.may_write(now, request, request.attempts[number])

    def _place(self, now: Microseconds, request: PendingRequest) -> Iterator[api.Action]:
        placement = self._placement.place(now, request)
        if placement.choice:
            self._placement.admission.waiting.pop(request.name, None)
            yield self.send(now, request, placement.choice)
        elif placement.waits:
            self._placement.admission.waiting[request.name] = request
            if not self._timer_set:
                self._timer_set = True
                yield api.SetTimer(PLACEMENT_RETRY_PERIOD, WAITING_TIMER)
        else:
            yield from self._end_unserved(request)
        if placement.health_check:
            yield api.CheckServerHealth(placement.health_check.info.id)

    def send(self, now: Microseconds, request: PendingRequest, choice: RoutingChoice) -> api.SendAttempt:
        """Begin an attempt; no other method does. Raises ForbiddenAttempt if the guards do not allow it."""
        server = choice.server
        if not self._guards.may_send(now, request, server):
            raise ForbiddenAttempt(f"{request.name} to server {server.info.id}")
        self._exposure.log.record_sent(now, server.info.build, request.exposure_group)
        server.spend_credit()
        self._placement.admission.in_flight += 1
        server.in_flight[request.name, len(request.attempts)] = now
        request.attempts.append(Attempt(server, now, choice.relative_load))
        return api.SendAttempt(request.name, server.info.id, self._retries.timeout(now, request))

    def _end_unserved(self, request: PendingRequest) -> Iterator[api.Action]:
        if request.done or request.streaming:
            return
        yield from self._cancel(request)
        yield self._placement.final_answer(request)
        self._close(request)

    def _cancel(self, request: PendingRequest) -> Iterator[api.Action]:
        if self._may_cancel and not request.streaming:
            for number in request.attempts_in_flight():
                yield api.CancelAttempt(request.name, number)

    def _close(self, request: PendingRequest) -> None:
        request.done = True
        self._placement.admission.waiting.pop(request.name, None)
        if request.attempts_ended:
            self.by_name.pop(request.name, None)
