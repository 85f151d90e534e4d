"""The rules on answers, retries, drains, warm-up and exposure, each at its limits."""

from __future__ import annotations

import statistics
from dataclasses import replace

import pytest

from frostfall import interface as api
from frostfall.engine.request_lifecycle import ForbiddenAttempt
from frostfall.mechanisms.build_outcomes import OutcomeCounts
from frostfall.records import RoutingChoice
from tests.support import KEYED, SAFE, SETTINGS, UNSAFE, Agent, S, answers, limits, rollout, sends, server

O = api.Outcome  # noqa: E741


def test_a_served_request_gets_nothing_more() -> None:
    agent = Agent(SETTINGS, server(1))
    (send,) = sends(agent.ask())
    assert agent.end(send) == []
    agent.advance(4 * S)
    assert agent.tell(api.TimerFired(send.request)) == []
    assert agent.tell(api.ClientDisconnected(send.request)) == []


@pytest.mark.parametrize(
    ("kind", "answer"), [(SAFE, api.RejectRequest), (UNSAFE, api.FailRequest), (KEYED, api.FailRequest)]
)
def test_the_answer_comes_before_the_deadline(kind: api.RequestClass, answer: type) -> None:
    agent = Agent(SETTINGS, server(1))
    actions = agent.ask(kind, within=S)
    timer = next(a for a in actions if isinstance(a, api.SetTimer))
    assert 0 < S - timer.delay <= 20_000
    agent.advance(timer.delay)
    decided = agent.tell(api.TimerFired(timer.token))
    assert [type(a) for a in answers(decided)] == [answer]
    assert sum(isinstance(a, api.CancelAttempt) for a in decided) == 1


def test_with_an_empty_fleet_a_request_waits_briefly_and_is_rejected() -> None:
    agent = Agent(SETTINGS)
    assert not answers(agent.ask(UNSAFE))
    decided = answers(agent.pass_time(2 * S))
    assert [type(a) for a in decided] == [api.RejectRequest]
    assert 0 < decided[0].retry_after <= S


def test_a_waiting_request_is_sent_when_a_server_appears() -> None:
    agent = Agent(SETTINGS)
    agent.ask()
    agent.listed(server(1))
    assert len(sends(agent.pass_time(100_000))) == 1


def test_an_outcome_after_the_end_is_harmless() -> None:
    agent = Agent(SETTINGS, server(1), server(2))
    (send,) = sends(agent.ask())
    agent.tell(api.ClientDisconnected(send.request))
    assert agent.end(send, O.ERROR) == []
    assert agent.end(send, O.ERROR) == []
    assert send.request not in agent.engine.requests


@pytest.mark.parametrize("outcome", [O.ERROR, O.TIMED_OUT, O.RESET, O.CANCELLED])
def test_an_unsafe_request_that_may_have_run_is_failed_not_repeated(outcome: api.Outcome) -> None:
    agent = Agent(SETTINGS, server(1), server(2))
    (send,) = sends(agent.ask(UNSAFE))
    decided = agent.end(send, outcome)
    assert not sends(decided)
    assert [type(a) for a in answers(decided)] == [api.FailRequest]


@pytest.mark.parametrize("outcome", [O.OVERLOADED, O.UNREACHABLE, O.NEVER_SENT])
def test_an_unsafe_request_that_never_ran_is_sent_again(outcome: api.Outcome) -> None:
    agent = Agent(SETTINGS, server(1), server(2))
    (send,) = sends(agent.ask(UNSAFE))
    agent.advance(1000)
    again = agent.end(send, outcome) + agent.pass_time(350_000)
    assert len(sends(again)) == 1


def test_a_keyed_request_stays_in_its_group_and_its_window() -> None:
    agent = Agent(SETTINGS, server(1, zone="a"), server(2, zone="b"), server(3, zone="a"))
    agent.engine.servers[2].ejected_until = agent.now + 1
    (send,) = sends(agent.ask(KEYED, key="k"))
    request = agent.engine.requests[send.request]
    request.attempts[0].outcome = O.ERROR
    other = agent.engine.servers[3 if send.server == 1 else 1]
    agent.advance(KEYED.deduplication_window - 1)
    assert agent.engine.guards.may_send(agent.now, request, other)
    assert not agent.engine.guards.may_send(agent.now, request, agent.engine.servers[2])
    agent.advance(1)
    assert not agent.engine.guards.may_send(agent.now, request, other)


def test_no_parallel_attempt_where_forbidden_and_none_past_the_limit() -> None:
    agent = Agent(SETTINGS, server(1), server(2))
    (send,) = sends(agent.ask())
    request = agent.engine.requests[send.request]
    other = agent.engine.servers[3 - send.server]
    assert not agent.engine.guards.may_send(agent.now, request, other)
    request.attempts[0].outcome = O.ERROR
    assert agent.engine.guards.may_send(agent.now, request, other)
    request.attempts = request.attempts * 4
    assert not agent.engine.guards.may_send(agent.now, request, other)


def test_a_forbidden_attempt_raises_even_if_a_policy_chooses_it() -> None:
    agent = Agent(SETTINGS, server(1))
    (send,) = sends(agent.ask(UNSAFE))
    choice = RoutingChoice(agent.engine.servers[1], load=1.0, mean_load=1.0, sharpness=1.0)
    with pytest.raises(ForbiddenAttempt):
        agent.engine.lifecycle.send(agent.now, agent.engine.requests[send.request], choice)


@pytest.mark.parametrize("gone", [api.Availability.DRAINING, api.Availability.REMOVED])
def test_nothing_is_sent_to_a_draining_or_removed_server(gone: api.Availability) -> None:
    agent = Agent(SETTINGS, server(1), server(2))
    agent.listed(server(1, availability=gone))
    assert {s.server for _ in range(6) for s in sends(agent.ask())} == {2}


def test_a_server_missing_from_a_complete_list_is_removed() -> None:
    agent = Agent(SETTINGS, server(1), server(2))
    agent.listed(server(2), kind=api.ServerListKind.COMPLETE)
    assert list(agent.engine.servers) == [2]


def test_a_failed_watch_is_retried_with_increasing_delays() -> None:
    delays: list[list[int]] = [[], [], []]  # after the first failure in a row, the second, the third
    for seed in range(60):
        agent = Agent(replace(SETTINGS, needs_watch=True), server(1), seed=seed)
        for waits in delays:
            agent.listed(kind=api.ServerListKind.FAILED)
            failed_at = agent.now
            while api.WatchServerList() not in agent.pass_time(50_000):
                assert agent.now - failed_at < 10 * S
            waits.append(agent.now - failed_at)
    # Each delay is drawn from the whole range of the backoff, which doubles.
    first, second, third = (statistics.mean(waits) for waits in delays)
    assert first < second < third
    assert third > 2 * first


def test_a_new_process_opens_a_watch_at_once_despite_a_cached_list() -> None:
    agent = Agent(replace(SETTINGS, needs_watch=True, agents=200), server(1))
    assert api.WatchServerList() in agent.pass_time(2 * S + 100_000)


def test_a_silent_watch_is_renewed_within_its_period() -> None:
    agent = Agent(replace(SETTINGS, needs_watch=True), server(1))
    assert api.WatchServerList() in agent.pass_time(10 * S)


def test_a_cold_server_gets_no_more_than_its_warm_up_budget() -> None:
    agent = Agent(SETTINGS, server(1), server(2))
    for _ in range(200):
        for send in sends(agent.ask()):
            agent.end(send)
        agent.pass_time(50_000)
    agent.listed(server(2, started=agent.now))
    got = 0
    for _ in range(20):
        for send in sends(agent.ask()):
            got += send.server == 2
        agent.pass_time(50_000)
    # Of 20 requests per second on two servers, a warm server gets 10 and a cold server 3 x 10 x 0.3 or more.
    assert 0 < got <= 3 * 10 * 0.48


def test_hundreds_of_agents_together_stay_within_the_warm_up_budget() -> None:
    # 300 agents send 160 requests per second to ten servers, one of them cold; a tenth of the agents send
    # half.
    settings, got = replace(SETTINGS, agents=300), []
    rates = [80 / 30 if i % 10 == 0 else 80 / 270 for i in range(300)]
    fleet = [Agent(replace(settings, agent=i), *(server(j) for j in range(10)), seed=i) for i in range(300)]
    for agent, rate in zip(fleet, rates, strict=True):
        throughput, test = agent.engine.statistics.throughput, agent.engine.rollout_test.test
        throughput.rate, throughput.updated_at = rate, agent.now
        assert test is not None
        test.settled = test.settled._replace(served_per_server=160 / 300 / 10)
        agent.listed(server(0, started=agent.now))
    for _ in range(40):  # every agent sends to the cold server whenever its guard allows it
        for agent, rate in zip(fleet, rates, strict=True):
            agent.advance(100_000)
            throughput = agent.engine.statistics.throughput
            throughput.rate, throughput.updated_at = rate, agent.now
            if agent.may(0):
                agent.engine.servers[0].warm_up_credit -= 1
                got.append(agent.now)
    # A warm server serves 16 requests per second. A cold one serves 0.3 of that at first, and is overloaded
    # at three times its capacity.
    start = 100 * S
    for at in range(0, 3 * S, 100_000):
        least = 16 * (0.3 + 0.7 * at / (4 * S))
        window = [time for time in got if start + at <= time < start + at + S]
        assert len(window) <= 3 * least
    assert len(got) >= 16


def test_a_new_start_time_or_build_is_a_new_server() -> None:
    agent = Agent(SETTINGS, server(1))
    old = agent.engine.servers[1]
    old.warm_up_credit = 1.5
    agent.listed(server(1, started=agent.now))
    assert agent.engine.servers[1] is not old
    agent.engine.servers[1].warm_up_credit = 0.0
    assert not agent.may(1)
    agent.advance(SETTINGS.rules.warm_up_duration)
    assert agent.may(1)


def agent_with_trial(settings: api.Settings = SETTINGS, **news: float) -> Agent:
    agent = Agent(settings, server(1), server(9, build=2))
    agent.news(2, **news)  # type: ignore[arg-type]
    return agent


def record_sent_attempts(agent: Agent, times: int) -> None:
    for _ in range(times):
        agent.engine.guards.exposure.log.record_sent(agent.now, 2, "")


def record_taken_requests(agent: Agent, times: int) -> None:
    for _ in range(times):
        agent.engine.guards.exposure.log.record_admitted(agent.now, "")


def test_the_cap_at_its_limit_and_the_sliding_window() -> None:
    agent = agent_with_trial()
    record_taken_requests(agent, 20)
    record_sent_attempts(agent, 3)
    assert agent.may(9)  # 3 + 1 <= 2 + 0.1 x 20
    record_sent_attempts(agent, 1)
    assert not agent.may(9)
    agent.advance(2 * S)
    assert not agent.may(9)
    agent.advance(1)
    assert agent.may(9)  # the window contains neither the attempts nor the requests


def test_an_unannounced_build_counts_as_the_first_stage() -> None:
    agent = Agent(SETTINGS, server(1), server(9, build=2))
    record_sent_attempts(agent, 1)
    assert agent.may(9)
    record_sent_attempts(agent, 1)
    assert not agent.may(9)


def test_a_lowered_cap_applies_at_once_and_restarts_the_count() -> None:
    agent = agent_with_trial(stage=1, cap=0.5)
    record_taken_requests(agent, 100)
    record_sent_attempts(agent, 10)
    assert agent.may(9)
    agent.news(2, cap=0.05)
    assert not agent.may(9)  # 11 > 2 + 5
    agent = agent_with_trial(stage=1, cap=0.5)
    record_taken_requests(agent, 100)
    agent.news(2, cap=0.1)
    record_sent_attempts(agent, 2)
    assert agent.may(9)
    agent.advance(SETTINGS.rules.drain_grace)
    assert not agent.may(9)  # requests taken before the end of the grace period no longer count


def test_nothing_at_cap_zero_and_all_after_the_release() -> None:
    agent = agent_with_trial(phase=api.RolloutPhase.ROLLING_BACK, cap=0.0)
    assert not agent.may(9)
    agent.news(2, phase=api.RolloutPhase.RELEASED, cap=1.0)
    record_sent_attempts(agent, 50)
    assert agent.may(9)


def test_idempotent_only_stages_accept_only_idempotent_requests() -> None:
    agent = agent_with_trial(rollout(idempotent_only_stages=1))
    assert agent.may(9, SAFE)
    assert not agent.may(9, UNSAFE)
    agent.news(2, stage=1, cap=0.5)
    assert agent.may(9, UNSAFE)


def test_counting_per_class() -> None:
    agent = agent_with_trial(rollout(exposure_per_class=True))
    for _ in range(2):
        agent.engine.guards.exposure.log.record_sent(agent.now, 2, "read")
    assert not agent.may(9, SAFE)
    assert agent.may(9, UNSAFE)


def test_a_forward_only_key_does_not_go_back_to_the_earlier_build() -> None:
    agent = agent_with_trial(rollout(forward_only_keys=True))
    agent.listed(server(1, availability=api.Availability.DRAINING))
    (send,) = sends(agent.ask(key="k"))
    assert send.server == 9
    agent.end(send)
    agent.listed(server(1))
    assert not agent.may(1, key="k")
    assert agent.may(1, key="other")
    agent.news(2, phase=api.RolloutPhase.ROLLING_BACK, cap=0.0)
    assert agent.may(1, key="k")


def test_parallel_attempts_count_against_the_cap() -> None:
    agent = Agent(limits(parallel_attempts=True), server(1), server(9, build=2))
    agent.news(2)
    agent.listed(server(1, availability=api.Availability.DRAINING))
    for _ in range(2):
        assert sends(agent.ask())
    assert not sends(agent.ask())  # 3 > 2 + 0.1 x 3


def test_the_state_of_obsolete_builds_is_removed() -> None:
    agent = Agent(SETTINGS, server(1), server(2, build=2))
    for build in range(2, 40):
        agent.news(build, cap=1.0)
        agent.listed(server(1, build=build - 1), server(2, build=build))
        for n in range(30):
            asked = agent.ask(key=f"key{build}-{n}")
            for send in sends(asked):
                agent.end(send)
            agent.pass_time(200_000)
        agent.news(build, phase=api.RolloutPhase.RELEASED, cap=1.0)
    outcomes, exposure = agent.engine.rollout_test.outcomes, agent.engine.guards.exposure
    builds = {build for build, _ in (*outcomes.by_class, *exposure.log.sent)}
    builds |= set(outcomes.disputes) | set(agent.engine.statistics.profiles)
    assert builds <= {37, 38, 39}
    assert not exposure.latest_builds  # recorded only if keys may not return to earlier builds
    window = SETTINGS.rollout.exposure_window if SETTINGS.rollout else 0
    for log in (*exposure.log.admitted.values(), *exposure.log.sent.values()):
        assert not log.times or log.times[-1] - log.times[0] <= window


def test_a_rolled_back_build_is_no_baseline_for_the_next() -> None:
    agent = Agent(SETTINGS, server(1), server(2, build=2))
    outcomes = agent.engine.rollout_test.outcomes
    outcomes.by_class[1, "read"] = OutcomeCounts(100.0, 1.0, 100.0)
    outcomes.by_class[2, "read"] = OutcomeCounts(50.0, 25.0, 50.0)
    agent.news(2)
    agent.news(2, phase=api.RolloutPhase.ROLLED_BACK, cap=0.0)
    agent.news(3)
    test = agent.engine.rollout_test.test
    assert test is not None
    assert (test.settled.baseline_outcomes, test.settled.baseline_failures) == (100.0, 1.0)
    assert {build for build, _ in outcomes.by_class} == {1}


def test_the_warm_up_budget_of_an_entirely_cold_fleet_uses_its_earlier_throughput() -> None:
    agent = Agent(SETTINGS, *(server(n) for n in range(4)))
    for _ in range(400):  # 40 requests a second on four servers
        for send in sends(agent.ask()):
            agent.end(send)
        agent.pass_time(25_000)
    agent.listed(*(server(n, started=agent.now) for n in range(4)))
    throughput = agent.engine.statistics.throughput
    before, got = throughput.peak_per_server, 0
    agent.pass_time(3 * S)  # nothing has been served since
    agent.listed(*(server(n, started=agent.now) for n in range(4)))
    for _ in range(40):
        for send in sends([*agent.ask(), *agent.pass_time(25_000)]):
            got += 1
            agent.end(send)
    assert before > 5 and throughput.peak_per_server > 0.8 * before
    assert got > 14  # of 40 in a second, at 0.3 to 0.48 of what they can do


@pytest.mark.parametrize(("window", "cut"), [(2 * S, True), (700_000, True), (S // 10, False)])
def test_a_keyed_attempt_times_out_early_only_if_its_retry_is_still_allowed(window: int, cut: bool) -> None:
    keyed = replace(KEYED, deduplication_window=window)
    agent = Agent(replace(SETTINGS, classes=(SAFE, keyed, UNSAFE)), server(1), server(2))
    for _ in range(5):
        agent.end(sends(agent.ask(keyed))[0])
    (send,) = sends(agent.ask(keyed))
    # After its deduplication window, an attempt that timed out could not be retried, although its answer may
    # still arrive in time.
    assert (send.timeout < keyed.deadline) is cut
    agent.advance(send.timeout)
    more = agent.end(send, api.Outcome.TIMED_OUT, elapsed=send.timeout)
    assert bool(sends(more)) is cut
