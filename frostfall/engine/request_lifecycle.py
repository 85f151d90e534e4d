"""The life of a request, from its arrival to its one final answer."""

from __future__ import annotations

from collections.abc import Iterator

from frostfall import interface as api
from frostfall.interface import Microseconds, Outcome
from frostfall.policy.learning import Learning
from frostfall.policy.placement import WAITING_PERIOD, PlacementPolicy
from frostfall.policy.retries import ANSWER_MARGIN, RetryPolicy
from frostfall.policy.rollout_test import RolloutTest
from frostfall.records import Attempt, PendingRequest, RoutingChoice, unknown_class

WAITING_TIMER = "*hold"  # its token: no request may be named so


class ForbiddenAttempt(Exception):
    """A policy chose an attempt that the guards forbid."""


class RequestLifecycle:
    """Keeps the requests taken until they are answered and their attempts have ended."""

    def __init__(
        self,
        settings: api.Settings,
        placement: PlacementPolicy,
        learning: Learning,
        rollout_test: RolloutTest,
    ) -> None:
        """Without a request."""
        self._placement = placement
        self._learning = learning
        self._rollout_test = rollout_test
        self._routing = placement.routing
        self._guards = placement.routing.guards
        self._exposure = placement.routing.exposure
        self._statistics = learning.statistics
        self._retries = RetryPolicy(learning.statistics)
        self._may_cancel = settings.limits.may_cancel
        self.classes = {each.name: each for each in settings.classes}
        self._timer_set = False  # the one for requests that wait
        self.by_name: dict[str, PendingRequest] = {}

    # ---- from an event to decisions ----------------------------------------------------------------

    def arrive(self, now: Microseconds, event: api.RequestArrived) -> Iterator[api.Action]:
        """Take a request."""
        left = event.deadline - now
        request_class = self.classes.get(event.class_name) or unknown_class(event.class_name, left)
        group = self._exposure.group(request_class)
        request = self.by_name[event.request] = PendingRequest(event, request_class, now, group)
        self._retries.record_request()
        self._exposure.log.record_admitted(now, group)
        self._statistics.times.record_hint(request_class.name, event.service_time_hint)
        yield api.SetTimer(max(left - ANSWER_MARGIN, 0), event.request)
        if self._placement.admits(request):
            yield from self._place(now, request)
        else:
            yield from self._end_unserved(request)

    def attempt_ended(self, now: Microseconds, event: api.AttemptEnded) -> Iterator[api.Action]:
        """Learn from the end of an attempt, and go on with its request."""
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
            if self._retries.takes_retry(now, request, outcome):
                yield from self._place(now, request)
            else:
                yield from self._end_unserved(request)

    def _record_end(
        self, now: Microseconds, request: PendingRequest, attempt: Attempt, event: api.AttemptEnded
    ) -> None:
        self._placement.admission.in_flight -= 1
        if event.outcome is Outcome.SUCCESS:
            self._routing.ejections.record_success(now, event.server)
        self._learning.record_outcome(now, request, attempt, event)
        self._placement.admission.record_outcome(request, attempt, event)
        self._rollout_test.record_outcome(request, attempt, event)

    def record_overdue(self, now: Microseconds) -> None:
        """Let the rollout's test count the attempts in flight that can only be answered late."""
        for request in self.by_name.values():
            for attempt in request.attempts:
                if attempt.outcome is None:
                    self._rollout_test.record_overdue(now, request, attempt)

    def timer_fired(self, now: Microseconds, event: api.TimerFired) -> Iterator[api.Action]:
        """Try to place the requests that wait, or answer the one whose deadline comes."""
        if event.token == WAITING_TIMER:
            self._timer_set = False
            for request in list(self._placement.admission.waiting.values()):
                yield from self._place(now, request)
            return
        late = self.by_name.get(event.token)
        # If it is too early, the timer was an earlier request's of this name.
        if late and now >= late.arrival.deadline - ANSWER_MARGIN:
            yield from self._end_unserved(late)

    def stream_started(self, event: api.StreamStarted) -> None:
        """The attempt belongs to the client from now on."""
        if request := self.by_name.get(event.request):
            request.streaming = True

    def client_disconnected(self, event: api.ClientDisconnected) -> None:
        """No answer is owed any more."""
        if request := self.by_name.get(event.request):
            request.streaming = False
            self._close(request)

    def answer_due(self, event: api.AnswerDue) -> Iterator[api.Action]:
        """Give up a request that cannot be waited for any longer."""
        if request := self.by_name.get(event.request):
            yield from self._end_unserved(request)

    def may_write(self, now: Microseconds, name: str, number: int) -> bool:
        """Whether an attempt may still go out: to be asked just before its first byte."""
        request = self.by_name.get(name)
        if request is None or request.attempts[number].outcome is not None:
            return False
        return self._guards.may_write(now, request, request.attempts[number])

    # ---- from a decision to actions ----------------------------------------------------------------

    def _place(self, now: Microseconds, request: PendingRequest) -> Iterator[api.Action]:
        placement = self._placement.place(now, request)
        if placement.choice:
            self._placement.admission.waiting.pop(request.name, None)
            yield self.send(now, request, placement.choice)
        elif placement.waits:
            self._placement.admission.waiting[request.name] = request
            if not self._timer_set:
                self._timer_set = True
                yield api.SetTimer(WAITING_PERIOD, WAITING_TIMER)
        else:
            yield from self._end_unserved(request)
        if placement.health_check:
            yield api.CheckServerHealth(placement.health_check.info.id)

    def send(self, now: Microseconds, request: PendingRequest, choice: RoutingChoice) -> api.SendAttempt:
        """Begin an attempt; only this does. ForbiddenAttempt where the guards do not allow it."""
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
            for number in request.attempts_out():
                yield api.CancelAttempt(request.name, number)

    def _close(self, request: PendingRequest) -> None:
        request.done = True
        self._placement.admission.waiting.pop(request.name, None)
        if request.attempts_ended:
            self.by_name.pop(request.name, None)
