"""The rules on answers, retries, drains, warm-up and exposure, each at its limits."""

from __future__ import annotations

import statistics
from dataclasses import replace

import pytest

from frostfall import interface as api
from frostfall.engine.request_lifecycle import ForbiddenAttempt
from frostfall.mechanisms.build_outcomes import OutcomeCounts
from frostfall.records import RoutingChoice
from tests.support import (
    IDEMPOTENT,
    KEYED,
    NON_IDEMPOTENT,
    SECOND,
    SETTINGS,
    EngineHarness,
    error_answers,
    sent_attempts,
    server,
    settings_with_limits,
    settings_with_rollout,
)

O = api.Outcome  # noqa: E741


def test_a_served_request_gets_nothing_more() -> None:
    agent = EngineHarness(SETTINGS, server(1))
    (send,) = sent_attempts(agent.send_request())
    assert agent.end_attempt(send) == []
    agent.advance(4 * SECOND)
    assert agent.handle(api.TimerFired(send.request)) == []
    assert agent.handle(api.ClientDisconnected(send.request)) == []


@pytest.mark.parametrize(
    ("kind", "answer"),
    [(IDEMPOTENT, api.RejectRequest), (NON_IDEMPOTENT, api.FailRequest), (KEYED, api.FailRequest)],
)
def test_the_answer_comes_before_the_deadline(kind: api.RequestClass, answer: type) -> None:
    agent = EngineHarness(SETTINGS, server(1))
    actions = agent.send_request(kind, timeout=SECOND)
    timer = next(a for a in actions if isinstance(a, api.SetTimer))
    assert 0 < SECOND - timer.delay <= 20_000
    agent.advance(timer.delay)
    decided = agent.handle(api.TimerFired(timer.token))
    assert [type(a) for a in error_answers(decided)] == [answer]
    assert sum(isinstance(a, api.CancelAttempt) for a in decided) == 1


def test_with_an_empty_fleet_a_request_waits_briefly_and_is_rejected() -> None:
    agent = EngineHarness(SETTINGS)
    assert not error_answers(agent.send_request(NON_IDEMPOTENT))
    decided = error_answers(agent.pass_time(2 * SECOND))
    assert [type(a) for a in decided] == [api.RejectRequest]
    assert 0 < decided[0].retry_after <= SECOND


def test_a_waiting_request_is_sent_when_a_server_appears() -> None:
    agent = EngineHarness(SETTINGS)
    agent.send_request()
    agent.update_servers(server(1))
    assert len(sent_attempts(agent.pass_time(100_000))) == 1


def test_an_outcome_after_the_end_is_harmless() -> None:
    agent = EngineHarness(SETTINGS, server(1), server(2))
    (send,) = sent_attempts(agent.send_request())
    agent.handle(api.ClientDisconnected(send.request))
    assert agent.end_attempt(send, O.ERROR) == []
    assert agent.end_attempt(send, O.ERROR) == []
    assert send.request not in agent.engine.requests


@pytest.mark.parametrize("outcome", [O.ERROR, O.TIMED_OUT, O.RESET, O.CANCELLED])
def test_an_unsafe_request_that_may_have_run_is_failed_not_repeated(outcome: api.Outcome) -> None:
    agent = EngineHarness(SETTINGS, server(1), server(2))
    (send,) = sent_attempts(agent.send_request(NON_IDEMPOTENT))
    decided = agent.end_attempt(send, outcome)
    assert not sent_attempts(decided)
    assert [type(a) for a in error_answers(decided)] == [api.FailRequest]


@pytest.mark.parametrize("outcome", [O.OVERLOADED, O.UNREACHABLE, O.NEVER_SENT])
def test_an_unsafe_request_that_never_ran_is_sent_again(outcome: api.Outcome) -> None:
    agent = EngineHarness(SETTINGS, server(1), server(2))
    (send,) = sent_attempts(agent.send_request(NON_IDEMPOTENT))
    agent.advance(1000)
    again = agent.end_attempt(send, outcome) + agent.pass_time(350_000)
    assert len(sent_attempts(again)) == 1


def test_a_keyed_request_stays_in_its_group_and_its_window() -> None:
    agent = EngineHarness(SETTINGS, server(1, zone="a"), server(2, zone="b"), server(3, zone="a"))
    agent.engine.servers[2].ejected_until = agent.now + 1
    (send,) = sent_attempts(agent.send_request(KEYED, key="k"))
    request = agent.engine.requests[send.request]
    request.attempts[0].outcome = O.ERROR
    other = agent.engine.servers[3 if send.server == 1 else 1]
    agent.advance(KEYED.deduplication_window - 1)
    assert agent.engine.guards.may_send(agent.now, request, other)
    assert not agent.engine.guards.may_send(agent.now, request, agent.engine.servers[2])
    agent.advance(1)
    assert not agent.engine.guards.may_send(agent.now, request, other)


def test_no_parallel_attempt_where_forbidden_and_none_past_the_limit() -> None:
    agent = EngineHarness(SETTINGS, server(1), server(2))
    (send,) = sent_attempts(agent.send_request())
    request = agent.engine.requests[send.request]
    other = agent.engine.servers[3 - send.server]
    assert not agent.engine.guards.may_send(agent.now, request, other)
    request.attempts[0].outcome = O.ERROR
    assert agent.engine.guards.may_send(agent.now, request, other)
    request.attempts = request.attempts * 4
    assert not agent.engine.guards.may_send(agent.now, request, other)


def test_a_forbidden_attempt_raises_even_if_a_policy_chooses_it() -> None:
    agent = EngineHarness(SETTINGS, server(1))
    (send,) = sent_attempts(agent.send_request(NON_IDEMPOTENT))
    choice = RoutingChoice(agent.engine.servers[1], load=1.0, mean_load=1.0, sharpness=1.0)
    with pytest.raises(ForbiddenAttempt):
        agent.engine.lifecycle.send(agent.now, agent.engine.requests[send.request], choice)


@pytest.mark.parametrize("gone", [api.Availability.DRAINING, api.Availability.REMOVED])
def test_nothing_is_sent_to_a_draining_or_removed_server(gone: api.Availability) -> None:
    agent = EngineHarness(SETTINGS, server(1), server(2))
    agent.update_servers(server(1, availability=gone))
    assert {s.server for _ in range(6) for s in sent_attempts(agent.send_request())} == {2}


def test_a_server_missing_from_a_complete_list_is_removed() -> None:
    agent = EngineHarness(SETTINGS, server(1), server(2))
    agent.update_servers(server(2), kind=api.ServerListKind.COMPLETE)
    assert list(agent.engine.servers) == [2]


def test_a_failed_watch_is_retried_with_increasing_delays() -> None:
    delays: list[list[int]] = [[], [], []]  # after the first failure in a row, the second, the third
    for seed in range(60):
        agent = EngineHarness(replace(SETTINGS, needs_watch=True), server(1), seed=seed)
        for waits in delays:
            agent.update_servers(kind=api.ServerListKind.FAILED)
            failed_at = agent.now
            while api.WatchServerList() not in agent.pass_time(50_000):
                assert agent.now - failed_at < 10 * SECOND
            waits.append(agent.now - failed_at)
    # Each delay is drawn from the whole range of the backoff, which doubles.
    first, second, third = (statistics.mean(waits) for waits in delays)
    assert first < second < third
    assert third > 2 * first


def test_a_new_process_opens_a_watch_at_once_despite_a_cached_list() -> None:
    agent = EngineHarness(replace(SETTINGS, needs_watch=True, agents=200), server(1))
    assert api.WatchServerList() in agent.pass_time(2 * SECOND + 100_000)


def test_a_silent_watch_is_renewed_within_its_period() -> None:
    agent = EngineHarness(replace(SETTINGS, needs_watch=True), server(1))
    assert api.WatchServerList() in agent.pass_time(10 * SECOND)


def test_a_cold_server_gets_no_more_than_its_warm_up_budget() -> None:
    agent = EngineHarness(SETTINGS, server(1), server(2))
    for _ in range(200):
        for send in sent_attempts(agent.send_request()):
            agent.end_attempt(send)
        agent.pass_time(50_000)
    agent.update_servers(server(2, started=agent.now))
    got = 0
    for _ in range(20):
        for send in sent_attempts(agent.send_request()):
            got += send.server == 2
        agent.pass_time(50_000)
    # Of 20 requests per second on two servers, a warm server gets 10 and a cold server 3 x 10 x 0.3 or more.
    assert 0 < got <= 3 * 10 * 0.48


def test_hundreds_of_agents_together_stay_within_the_warm_up_budget() -> None:
    # 300 agents send 160 requests per second to ten servers, one of them cold; a tenth of the agents send
    # half.
    settings, got = replace(SETTINGS, agents=300), []
    rates = [80 / 30 if i % 10 == 0 else 80 / 270 for i in range(300)]
    fleet = [
        EngineHarness(replace(settings, agent=i), *(server(j) for j in range(10)), seed=i) for i in range(300)
    ]
    for agent, rate in zip(fleet, rates, strict=True):
        throughput, test = agent.engine.statistics.throughput, agent.engine.rollout_test.test
        throughput.rate, throughput.updated_at = rate, agent.now
        assert test is not None
        test.settled = test.settled._replace(served_per_server=160 / 300 / 10)
        agent.update_servers(server(0, started=agent.now))
    for _ in range(40):  # every agent sends to the cold server whenever its guard allows it
        for agent, rate in zip(fleet, rates, strict=True):
            agent.advance(100_000)
            throughput = agent.engine.statistics.throughput
            throughput.rate, throughput.updated_at = rate, agent.now
            if agent.may_send(0):
                agent.engine.servers[0].warm_up_credit -= 1
                got.append(agent.now)
    # A warm server serves 16 requests per second. A cold one serves 0.3 of that at first, and is overloaded
    # at three times its capacity.
    start = 100 * SECOND
    for at in range(0, 3 * SECOND, 100_000):
        least = 16 * (0.3 + 0.7 * at / (4 * SECOND))
        window = [time for time in got if start + at <= time < start + at + SECOND]
        assert len(window) <= 3 * least
    assert len(got) >= 16


def test_a_new_start_time_or_build_is_a_new_server() -> None:
    agent = EngineHarness(SETTINGS, server(1))
    old = agent.engine.servers[1]
    old.warm_up_credit = 1.5
    agent.update_servers(server(1, started=agent.now))
    assert agent.engine.servers[1] is not old
    agent.engine.servers[1].warm_up_credit = 0.0
    assert not agent.may_send(1)
    agent.advance(SETTINGS.rules.warm_up_duration)
    assert agent.may_send(1)


def agent_with_trial(settings: api.Settings = SETTINGS, **news: float) -> EngineHarness:
    agent = EngineHarness(settings, server(1), server(9, build=2))
    agent.update_rollout(2, **news)  # type: ignore[arg-type]
    return agent


def record_sent_attempts(agent: EngineHarness, times: int) -> None:
    for _ in range(times):
        agent.engine.guards.exposure.log.record_sent(agent.now, 2, "")


def record_taken_requests(agent: EngineHarness, times: int) -> None:
    for _ in range(times):
        agent.engine.guards.exposure.log.record_admitted(agent.now, "")


def test_the_cap_at_its_limit_and_the_sliding_window() -> None:
    agent = agent_with_trial()
    record_taken_requests(agent, 20)
    record_sent_attempts(agent, 3)
    assert agent.may_send(9)  # 3 + 1 <= 2 + 0.1 x 20
    record_sent_attempts(agent, 1)
    assert not agent.may_send(9)
    agent.advance(2 * SECOND)
    assert not agent.may_send(9)
    agent.advance(1)
    assert agent.may_send(9)  # the window contains neither the attempts nor the requests


def test_an_unannounced_build_counts_as_the_first_stage() -> None:
    agent = EngineHarness(SETTINGS, server(1), server(9, build=2))
    record_sent_attempts(agent, 1)
    assert agent.may_send(9)
    record_sent_attempts(agent, 1)
    assert not agent.may_send(9)


def test_a_lowered_cap_applies_at_once_and_restarts_the_count() -> None:
    agent = agent_with_trial(stage=1, cap=0.5)
    record_taken_requests(agent, 100)
    record_sent_attempts(agent, 10)
    assert agent.may_send(9)
    agent.update_rollout(2, cap=0.05)
    assert not agent.may_send(9)  # 11 > 2 + 5
    agent = agent_with_trial(stage=1, cap=0.5)
    record_taken_requests(agent, 100)
    agent.update_rollout(2, cap=0.1)
    record_sent_attempts(agent, 2)
    assert agent.may_send(9)
    agent.advance(SETTINGS.rules.drain_grace)
    assert not agent.may_send(9)  # requests taken before the end of the grace period no longer count


def test_nothing_at_cap_zero_and_all_after_the_release() -> None:
    agent = agent_with_trial(phase=api.RolloutPhase.ROLLING_BACK, cap=0.0)
    assert not agent.may_send(9)
    agent.update_rollout(2, phase=api.RolloutPhase.RELEASED, cap=1.0)
    record_sent_attempts(agent, 50)
    assert agent.may_send(9)


def test_idempotent_only_stages_accept_only_idempotent_requests() -> None:
    agent = agent_with_trial(settings_with_rollout(idempotent_only_stages=1))
    assert agent.may_send(9, IDEMPOTENT)
    assert not agent.may_send(9, NON_IDEMPOTENT)
    agent.update_rollout(2, stage=1, cap=0.5)
    assert agent.may_send(9, NON_IDEMPOTENT)


def test_counting_per_class() -> None:
    agent = agent_with_trial(settings_with_rollout(exposure_per_class=True))
    for _ in range(2):
        agent.engine.guards.exposure.log.record_sent(agent.now, 2, "read")
    assert not agent.may_send(9, IDEMPOTENT)
    assert agent.may_send(9, NON_IDEMPOTENT)


def test_a_forward_only_key_does_not_go_back_to_the_earlier_build() -> None:
    agent = agent_with_trial(settings_with_rollout(forward_only_keys=True))
    agent.update_servers(server(1, availability=api.Availability.DRAINING))
    (send,) = sent_attempts(agent.send_request(key="k"))
    assert send.server == 9
    agent.end_attempt(send)
    agent.update_servers(server(1))
    assert not agent.may_send(1, key="k")
    assert agent.may_send(1, key="other")
    agent.update_rollout(2, phase=api.RolloutPhase.ROLLING_BACK, cap=0.0)
    assert agent.may_send(1, key="k")


def test_parallel_attempts_count_against_the_cap() -> None:
    agent = EngineHarness(settings_with_limits(parallel_attempts=True), server(1), server(9, build=2))
    agent.update_rollout(2)
    agent.update_servers(server(1, availability=api.Availability.DRAINING))
    for _ in range(2):
        assert sent_attempts(agent.send_request())
    assert not sent_attempts(agent.send_request())  # 3 > 2 + 0.1 x 3


def test_the_state_of_obsolete_builds_is_removed() -> None:
    agent = EngineHarness(SETTINGS, server(1), server(2, build=2))
    for build in range(2, 40):
        agent.update_rollout(build, cap=1.0)
        agent.update_servers(server(1, build=build - 1), server(2, build=build))
        for n in range(30):
            asked = agent.send_request(key=f"key{build}-{n}")
            for send in sent_attempts(asked):
                agent.end_attempt(send)
            agent.pass_time(200_000)
        agent.update_rollout(build, phase=api.RolloutPhase.RELEASED, cap=1.0)
    outcomes, exposure = agent.engine.rollout_test.outcomes, agent.engine.guards.exposure
    builds = {build for build, _ in (*outcomes.by_class, *exposure.log.sent)}
    builds |= set(outcomes.disputes) | set(agent.engine.statistics.profiles)
    assert builds <= {37, 38, 39}
    assert not exposure.latest_builds  # recorded only if keys may not return to earlier builds
    window = SETTINGS.rollout.exposure_window if SETTINGS.rollout else 0
    for log in (*exposure.log.admitted.values(), *exposure.log.sent.values()):
        assert not log.times or log.times[-1] - log.times[0] <= window


def test_a_rolled_back_build_is_no_baseline_for_the_next() -> None:
    agent = EngineHarness(SETTINGS, server(1), server(2, build=2))
    outcomes = agent.engine.rollout_test.outcomes
    outcomes.by_class[1, "read"] = OutcomeCounts(100.0, 1.0, 100.0)
    outcomes.by_class[2, "read"] = OutcomeCounts(50.0, 25.0, 50.0)
    agent.update_rollout(2)
    agent.update_rollout(2, phase=api.RolloutPhase.ROLLED_BACK, cap=0.0)
    agent.update_rollout(3)
    test = agent.engine.rollout_test.test
    assert test is not None
    assert (test.settled.baseline_outcomes, test.settled.baseline_failures) == (100.0, 1.0)
    assert {build for build, _ in outcomes.by_class} == {1}


def test_the_warm_up_budget_of_an_entirely_cold_fleet_uses_its_earlier_throughput() -> None:
    agent = EngineHarness(SETTINGS, *(server(n) for n in range(4)))
    for _ in range(400):  # 40 requests a second on four servers
        for send in sent_attempts(agent.send_request()):
            agent.end_attempt(send)
        agent.pass_time(25_000)
    agent.update_servers(*(server(n, started=agent.now) for n in range(4)))
    throughput = agent.engine.statistics.throughput
    before, got = throughput.peak_per_server, 0
    agent.pass_time(3 * SECOND)  # nothing has been served since
    agent.update_servers(*(server(n, started=agent.now) for n in range(4)))
    for _ in range(40):
        for send in sent_attempts([*agent.send_request(), *agent.pass_time(25_000)]):
            got += 1
            agent.end_attempt(send)
    assert before > 5 and throughput.peak_per_server > 0.8 * before
    assert got > 14  # of 40 in a second, at 0.3 to 0.48 of what they can do


@pytest.mark.parametrize(("window", "cut"), [(2 * SECOND, True), (700_000, True), (SECOND // 10, False)])
def test_a_keyed_attempt_times_out_early_only_if_its_retry_is_still_allowed(window: int, cut: bool) -> None:
    keyed = replace(KEYED, deduplication_window=window)
    agent = EngineHarness(
        replace(SETTINGS, classes=(IDEMPOTENT, keyed, NON_IDEMPOTENT)), server(1), server(2)
    )
    for _ in range(5):
        agent.end_attempt(sent_attempts(agent.send_request(keyed))[0])
    (send,) = sent_attempts(agent.send_request(keyed))
    # After its deduplication window, an attempt that timed out could not be retried, although its answer may
    # still arrive in time.
    assert (send.timeout < keyed.deadline) is cut
    agent.advance(send.timeout)
    more = agent.end_attempt(send, api.Outcome.TIMED_OUT, elapsed=send.timeout)
    assert bool(sent_attempts(more)) is cut
