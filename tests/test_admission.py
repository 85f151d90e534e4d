"""Which requests are sent, wait or are shed when servers are busy."""

from __future__ import annotations

from dataclasses import replace

from frostfall import interface as api
from frostfall.policy.admission import MIN_WAITING
from frostfall.records import PendingRequest
from tests.support import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    SECOND,
    SETTINGS,
    EngineHarness,
    error_answers,
    sent_attempts,
    server,
)


def test_requests_in_flight_are_bounded_and_the_lowest_priority_waits_first() -> None:
    agent = EngineHarness(SETTINGS, server(1), server(2))
    admission, throughput = agent.engine.admission, agent.engine.statistics.throughput
    throughput.rate, throughput.updated_at, admission.in_flight = 10.0, agent.now, 7
    request = [
        agent.engine.requests[f"q{i}"]
        for i in (1, 2)
        if agent.send_request(IDEMPOTENT if i == 1 else NON_IDEMPOTENT)
    ]
    admission.in_flight = 7
    assert [admission.has_capacity(agent.now, each) for each in request] == [False, True]
    admission.in_flight = 8
    assert not admission.has_capacity(agent.now, request[1])


def test_late_answers_shed_the_lowest_priority_first_and_timely_ones_stop_it() -> None:
    agent = EngineHarness(SETTINGS, server(1), server(2))
    for _ in range(30):
        for send in sent_attempts(agent.send_request()):
            agent.end_attempt(send, elapsed=3 * SECOND // 2)
    shed = agent.engine.admission.shed_share
    assert shed > 0.3

    def count_rejected(kind: api.RequestClass) -> int:
        agent.engine.admission.shed_share, count = shed, 0
        for _ in range(200):
            actions = agent.send_request(kind)
            for send in sent_attempts(actions):
                agent.end_attempt(send)
                agent.engine.admission.shed_share = shed
            count += any(isinstance(action, api.RejectRequest) for action in actions)
        return count

    assert count_rejected(IDEMPOTENT) > 1.5 * count_rejected(NON_IDEMPOTENT) > 0
    for _ in range(300):
        for send in sent_attempts(agent.send_request()):
            agent.end_attempt(send)
    assert agent.engine.admission.shed_share == 0


def pending_request(agent: EngineHarness, kind: api.RequestClass) -> PendingRequest:
    """A request that has not been passed to the engine."""
    return PendingRequest(api.RequestArrived("q", kind.name, agent.now + SECOND), kind, agent.now)


def test_more_may_be_in_flight_while_servers_report_empty_queues() -> None:
    agent = EngineHarness(SETTINGS, *(server(n) for n in range(4)))
    now, admission, statistics = agent.now, agent.engine.admission, agent.engine.statistics
    statistics.throughput.rate, statistics.throughput.updated_at = 40.0, now
    admission.in_flight = 30  # more than the throughput of 0.6 latency objectives
    request, first = pending_request(agent, NON_IDEMPOTENT), agent.engine.server_list.available[0]
    assert not admission.has_capacity(now, request)
    for _ in range(100):
        statistics.record_load(now, first, api.LoadReport(in_flight=3.0, queued=0.0))
    assert admission.has_capacity(now, request)
    for _ in range(100):
        statistics.record_load(now, first, api.LoadReport(in_flight=9.0, queued=4.0))
    assert not admission.has_capacity(now, request)


def test_no_more_requests_wait_than_can_be_served_in_time() -> None:
    agent = EngineHarness(SETTINGS, *(server(n) for n in range(4)))
    agent.engine.admission.in_flight = 1000  # no capacity
    ends = [error_answers(agent.send_request()) for _ in range(50)]
    assert [bool(end) for end in ends] == [False] * MIN_WAITING + [True] * (50 - MIN_WAITING)
    assert all(isinstance(end[0], api.RejectRequest) for end in ends if end)
    assert len(agent.engine.admission.waiting) == MIN_WAITING


def test_a_class_with_short_answers_and_a_short_objective_has_no_less_capacity() -> None:
    short = replace(NON_IDEMPOTENT, latency_objective=SECOND // 4, priority_weight=3.0)
    agent = EngineHarness(replace(SETTINGS, classes=(IDEMPOTENT, short)), *(server(n) for n in range(4)))
    admission, statistics = agent.engine.admission, agent.engine.statistics
    statistics.throughput.rate, statistics.throughput.updated_at = 100.0, agent.now
    statistics.times.overall_mean = 100_000.0
    statistics.times.means |= {IDEMPOTENT.name: 125_000.0, short.name: 25_000.0}

    def max_in_flight(kind: api.RequestClass) -> int:
        request = pending_request(agent, kind)
        admission.in_flight = 0
        while admission.has_capacity(agent.now, request):
            admission.in_flight += 1
        return admission.in_flight

    assert max_in_flight(short) > max_in_flight(IDEMPOTENT) > 10


def test_there_is_capacity_while_servers_hold_few_requests_each() -> None:
    agent = EngineHarness(SETTINGS, *(server(n) for n in range(10)))
    admission, request = agent.engine.admission, pending_request(agent, NON_IDEMPOTENT)
    admission.in_flight = 10  # no recent throughput, and 1.2 requests on each server
    agent.engine.statistics.others_in_flight = 0.2
    assert admission.has_capacity(agent.now, request)
    agent.engine.statistics.others_in_flight = 1.0
    assert not admission.has_capacity(agent.now, request)
