"""The sequential test of a build: what counts as evidence, verdicts and votes."""

from __future__ import annotations

import math
import random
from dataclasses import replace

import pytest

from frostfall import interface as api
from frostfall.mechanisms.build_outcomes import OutcomeCounts
from frostfall.mechanisms.sequential_test import Innovations, RoundTotals, SequentialTest
from frostfall.mechanisms.slowdown_cusum import SlowdownCusum
from frostfall.mechanisms.sprt import Band
from frostfall.policy.rollout_test import EXCHANGE_PERIOD
from frostfall.records import Attempt, PendingRequest, RoutingChoice
from tests.support import (
    IDEMPOTENT,
    ROLLOUT,
    SECOND,
    SETTINGS,
    EngineHarness,
    sent_attempts,
    server,
    settings_with_rollout,
    votes,
)


def test_p0_is_positive_and_uses_the_outcomes_of_all_classes() -> None:
    agent = EngineHarness(SETTINGS, server(1))
    agent.update_rollout(2)
    test, rollout_test = agent.engine.rollout_test.test, agent.engine.rollout_test

    def p0(test: SequentialTest, class_name: str | None) -> float:
        return rollout_test.hypotheses.failures(test, class_name).p0

    assert test is not None
    assert 0 < p0(test, None) <= 0.02
    test.settled = test.settled._replace(baseline_outcomes=200.0, baseline_failures=25.0)
    rollout_test.outcomes.by_class[1, "read"] = OutcomeCounts(150.0, 0.0, 150.0)
    rollout_test.outcomes.by_class[1, "order"] = OutcomeCounts(50.0, 25.0, 50.0)
    assert p0(test, None) == pytest.approx(25.5 / 250)
    assert p0(test, "read") < p0(test, None) < p0(test, "order")
    assert p0(test, "unseen") == p0(test, None)


def run_trial(
    failure_share: float, settings: api.Settings = SETTINGS, seconds: int = 40
) -> list[api.CastVote]:
    """Run a fleet in which the trial build fails a share of its requests; return the first votes."""
    agent = EngineHarness(settings, server(1), server(2), server(9, build=2))
    agent.update_rollout(2, cap=1.0)
    generator, cast = random.Random(7), []
    for _ in range(seconds * 20):
        for send in sent_attempts(agent.send_request()):
            fails = send.server == 9 and generator.random() < failure_share
            for more in sent_attempts(
                agent.end_attempt(send, api.Outcome.ERROR if fails else api.Outcome.SUCCESS)
            ):
                agent.end_attempt(more, attempt=1)
        cast += votes(agent.pass_time(50_000))
        if cast:
            break
    return cast


def test_a_faulty_build_is_rolled_back() -> None:
    (vote,) = run_trial(0.5)
    assert (vote.build, vote.verdict) == (2, api.Verdict.BACK)


def test_a_good_build_gets_a_vote_to_go_on() -> None:
    (vote,) = run_trial(0.0)
    assert (vote.build, vote.stage, vote.verdict) == (2, 0, api.Verdict.ON)


def test_automatic_control_casts_no_vote_to_go_on() -> None:
    assert run_trial(0.0, settings_with_rollout(control=api.RolloutControl.AUTOMATIC), seconds=10) == []
    assert {
        vote.verdict for vote in run_trial(0.5, settings_with_rollout(control=api.RolloutControl.AUTOMATIC))
    } <= {
        api.Verdict.BACK,
        api.Verdict.HOLD,
    }


def test_retries_of_one_request_count_once() -> None:
    agent = EngineHarness(SETTINGS, server(9, build=2), server(8, build=2))
    agent.update_rollout(2, cap=1.0)
    test = agent.engine.rollout_test.test
    assert test is not None
    (send,) = sent_attempts(agent.send_request())
    (again,) = sent_attempts(agent.end_attempt(send, api.Outcome.ERROR))
    agent.end_attempt(again, api.Outcome.ERROR, attempt=1)
    assert test.innovations.outcomes == 1


@pytest.mark.parametrize(
    ("outcome", "counted"),
    [
        (api.Outcome.ERROR, 1),
        (api.Outcome.SUCCESS, 1),
        (api.Outcome.TIMED_OUT, 0),
        (api.Outcome.UNREACHABLE, 0),
    ],
)
def test_a_recently_started_server_that_is_slow_gives_no_evidence(outcome: api.Outcome, counted: int) -> None:
    agent = EngineHarness(SETTINGS, server(1), server(9, build=2, started=99 * SECOND))
    agent.update_rollout(2, cap=1.0)
    agent.update_servers(server(1, availability=api.Availability.DRAINING))
    agent.engine.servers[9].warm_up_credit = 1.5
    (send,) = sent_attempts(agent.send_request())
    agent.end_attempt(send, outcome)
    assert agent.engine.rollout_test.test is not None
    assert agent.engine.rollout_test.test.innovations.outcomes == counted


def test_disputed_answers_count_against_the_build() -> None:
    agent = EngineHarness(SETTINGS, server(1), server(9, build=2))
    agent.update_rollout(2)
    test = agent.engine.rollout_test.test
    assert test is not None
    agent.handle(api.AnswerDisputed(9, "read", SECOND))
    # One dispute adds log(0.003 / 0.018), and takes back the evidence of the answer as a success.
    assert test.innovations.dispute_evidence == pytest.approx(
        math.log(0.003 / 0.018) - math.log(0.997 / 0.982)
    )
    agent.update_servers(server(9, build=2, started=agent.now))
    agent.handle(api.AnswerDisputed(9, "read", SECOND))
    assert test.innovations.dispute_evidence > -2  # the answer is older than the server's last start


def test_a_vote_is_repeated_when_its_reply_is_lost_and_renewed_before_it_lapses() -> None:
    agent = EngineHarness(SETTINGS, server(1), server(9, build=2))
    agent.update_rollout(2)
    test = agent.engine.rollout_test.test
    assert test is not None
    test.totals = test.totals._replace(failure_score=-50.0, outcomes=50.0)
    assert len(votes(agent.pass_time(3 * SECOND))) == 1
    agent.update_rollout(2, reply=api.VoteReply.UNKNOWN)
    assert len(votes(agent.pass_time(SECOND))) == 1
    assert votes(agent.pass_time(ROLLOUT.vote_lifetime))


def test_agents_that_agree_vote_one_after_another() -> None:
    first = []
    for i in range(100):
        agent = EngineHarness(replace(SETTINGS, agent=i, agents=100), server(1), server(9, build=2))
        agent.update_rollout(2)
        test = agent.engine.rollout_test.test
        assert test is not None
        test.totals = test.totals._replace(failure_score=-50.0, outcomes=50.0)
        since = agent.now
        while not votes(agent.pass_time(EXCHANGE_PERIOD)):
            assert agent.now < since + 10 * SECOND
        first.append(agent.now)
    # The platform accepts 50 votes per second and rejects the others.
    assert max(sum(at <= other < at + SECOND for other in first) for at in first) <= 50
    assert min(first) <= min(first) + SECOND


def test_lateness_counts_against_the_earlier_build_of_the_same_moment_only() -> None:
    agent = EngineHarness(SETTINGS, server(1), server(9, build=2))
    agent.update_rollout(2, cap=1.0)
    test, lateness = agent.engine.rollout_test.test, agent.engine.rollout_test.hypotheses.lateness
    assert test is not None
    assert lateness(test) is None
    test.recent_timed, test.recent_late = 40.0, 4.0
    test.settled = RoundTotals(baseline_timed=10.0, baseline_late=1.0, trial_timed=10.0, trial_late=1.0)
    hypothesis = lateness(test)
    assert hypothesis and hypothesis.p0 == pytest.approx(5 / 50)
    test.settled = test.settled._replace(trial_timed=50.0)
    assert lateness(test) is None  # the baseline has too few answers left; idle servers are never late
    test.settled = test.settled._replace(trial_timed=10.0)
    agent.pass_time(5 * SECOND)
    assert lateness(test) is None  # a later slowdown of all servers would be attributed to the build


def set_times(
    test: SequentialTest, baseline_timed: float, baseline_late: float, trial_timed: float, trial_late: float
) -> None:
    test.totals = test.totals._replace(
        baseline_timed=baseline_timed,
        baseline_late=baseline_late,
        trial_timed=trial_timed,
        trial_late=trial_late,
    )


def add_failure_score(test: SequentialTest, amount: float) -> None:
    test.totals = test.totals._replace(failure_score=test.totals.failure_score + amount)


def test_a_slowdown_of_all_servers_at_once_is_no_evidence_against_the_trial() -> None:
    agent = EngineHarness(SETTINGS, server(1), server(9, build=2))
    agent.update_rollout(2, cap=1.0)
    test = agent.engine.rollout_test.test
    assert test is not None
    for late in (0.0, 30.0):  # a round without late answers, then one in which 3 of 4 answers are late
        set_times(test, 40.0, late, 40.0, late)
        agent.pass_time(agent.engine.schedule.exchanges * EXCHANGE_PERIOD)
    assert test.scores.lateness > -1
    steps = []
    for _ in range(8):  # without evidence at first, as the slowdown just before was an overload
        set_times(test, 40.0, 0.0, 40.0, 30.0)  # only answers of the trial's servers are late
        agent.pass_time(agent.engine.schedule.exchanges * EXCHANGE_PERIOD)
        steps.append(test.position)
    assert steps[0] > -0.5  # one round of late answers is not enough
    assert steps[-1] == -1


def test_lasting_lateness_after_the_release_is_compared_with_the_reference_share() -> None:
    def lateness(seconds: int) -> float:
        agent = EngineHarness(SETTINGS, server(1), server(9, build=2))
        agent.update_rollout(2, cap=0.1)
        agent.engine.rollout_test.reference_late_share = 0.05
        agent.update_rollout(2, phase=api.RolloutPhase.RELEASED, cap=1.0)
        test = agent.engine.rollout_test.test
        assert test is not None
        for _ in range(seconds * SECOND // (agent.engine.schedule.exchanges * EXCHANGE_PERIOD)):
            set_times(test, 0.0, 0.0, 40.0, 30.0)
            agent.pass_time(agent.engine.schedule.exchanges * EXCHANGE_PERIOD)
        return test.position

    assert lateness(4) > -1  # a burst or a short slowdown causes no rollback
    assert lateness(13) == -1


def test_lasting_lateness_of_all_servers_in_a_trial_is_compared_with_the_reference_share() -> None:
    def lateness(seconds: float, stages: int) -> float:
        agent = EngineHarness(SETTINGS, server(1), server(9, build=2))
        agent.update_rollout(2, cap=0.1)
        agent.engine.rollout_test.reference_late_share = 0.05  # the share before the trial
        steps = round(seconds * SECOND / (agent.engine.schedule.exchanges * EXCHANGE_PERIOD))
        for step in range(steps):
            if step % (steps // stages + 1) == 0:
                agent.update_rollout(2, stage=1 + step // (steps // stages + 1), cap=0.5)
            test = agent.engine.rollout_test.test
            assert test is not None
            set_times(test, 40.0, 20.0, 4.0, 2.0)  # an overload, in which lateness depends on a server's load
            agent.pass_time(agent.engine.schedule.exchanges * EXCHANGE_PERIOD)
        test = agent.engine.rollout_test.test
        assert test is not None
        return test.position

    assert lateness(2, 1) > -0.5  # a short slowdown is far from a rollback
    assert -1 < lateness(4, 1) < -0.5  # a longer slowdown is nearer to a rollback
    # If each stage began at zero, three stages of three seconds each would cause no rollback.
    assert lateness(9, 1) == lateness(9, 3) == -1


def test_a_build_that_slows_all_servers_alike_is_not_released() -> None:
    agent = EngineHarness(SETTINGS, server(1), server(9, build=2))
    agent.update_rollout(2, cap=0.1)
    agent.engine.rollout_test.reference_late_share = 0.1
    cast: list[api.CastVote] = []
    for stage, late in ((1, 0.22), (2, 0.45)):  # shares of all answers, as in the run that fails its limit
        agent.update_rollout(2, stage=stage, cap=0.5)
        test = agent.engine.rollout_test.test
        assert test is not None
        for _ in range(3 * SECOND // (agent.engine.schedule.exchanges * EXCHANGE_PERIOD)):
            test.totals = test.totals._replace(outcomes=40.0)
            set_times(test, 40.0, 40 * late, 4.0, 4 * late)
            cast += votes(agent.pass_time(agent.engine.schedule.exchanges * EXCHANGE_PERIOD))
    assert [vote.stage for vote in cast if vote.verdict is api.Verdict.ON] == [1]


def play_rounds(agent: EngineHarness, rounds: int, late_share: float) -> list[api.CastVote]:
    """Play rounds in which this share of the answers of both builds is late; return the votes."""
    cast: list[api.CastVote] = []
    test = agent.engine.rollout_test.test
    assert test is not None
    for _ in range(rounds):
        test.totals = test.totals._replace(outcomes=40.0)
        set_times(test, 40.0, 40 * late_share, 40.0, 40 * late_share)
        cast += votes(agent.pass_time(agent.engine.schedule.exchanges * EXCHANGE_PERIOD))
    return cast


def agent_on_second_stage() -> EngineHarness:
    agent = EngineHarness(SETTINGS, server(1), server(9, build=2))
    agent.update_rollout(2, cap=0.1)
    agent.engine.rollout_test.reference_late_share = 0.1
    agent.update_rollout(2, stage=1, cap=0.5)
    return agent


def test_a_shared_slowdown_delays_a_stage_at_most_for_its_own_length() -> None:
    agent = agent_on_second_stage()
    play_rounds(agent, 15, 0.1)
    agent.update_rollout(2, stage=2, cap=1.0)
    assert play_rounds(agent, 30, 0.5) == []
    assert [vote.verdict for vote in play_rounds(agent, 5, 0.1)] == [api.Verdict.ON]


def test_an_on_vote_is_withdrawn_if_the_build_becomes_doubtful_before_the_stage_ends() -> None:
    agent = agent_on_second_stage()
    assert [vote.verdict for vote in play_rounds(agent, 15, 0.1)] == [api.Verdict.ON]
    assert [vote.verdict for vote in play_rounds(agent, 5, 0.5)] == [api.Verdict.NONE]


def test_a_high_score_does_not_delay_the_rollback_of_a_build_that_slows_all_servers() -> None:
    agent = agent_on_second_stage()
    play_rounds(agent, 40, 0.1)  # as few late answers as the earlier build: up to the upper threshold
    test = agent.engine.rollout_test.test
    assert test is not None
    assert test.scores.lateness > 0
    play_rounds(agent, 60, 0.5)  # 6 s
    assert test.position == -1


def test_lateness_during_missed_exchanges_causes_no_rollback_afterwards() -> None:
    """Guards against the rollback of a good build after a partition (run split+mass).

    In a partition of six seconds the band is a hundred times as wide. A step that is limited to a part of the
    wide band exceeds the whole of the narrow band that follows.
    """
    comparison = SlowdownCusum()
    cut_off, together = Band(upper=4000.0, lower=-5000.0), Band(upper=6.0, lower=-8.0)
    for _ in range(5):
        comparison.add(-30.0, cut_off, max_step=0.1)
    comparison.add(-30.0, together, max_step=0.1)
    assert -0.2 < comparison.lasting_position < 0
    for _ in range(9):
        comparison.add(-30.0, together, max_step=0.1)
    assert comparison.lasting_position == -1


@pytest.mark.parametrize(("build", "counted"), [(1, (1, 1, 0, 0)), (2, (0, 0, 1, 1))])
def test_an_attempt_that_can_only_be_answered_late_counts_as_late_before_its_end(
    build: int, counted: tuple[int, int, int, int]
) -> None:
    # Late attempts end last: the attempts that end in the first two seconds of a stage are all timely.
    agent = EngineHarness(SETTINGS, server(9, build=build))
    agent.update_rollout(2, cap=1.0)
    engine = agent.engine
    (send,) = sent_attempts(agent.send_request())
    agent.advance(SECOND)
    engine.servers[9].last_response_at = agent.now  # the server answers other attempts

    def times() -> tuple[int, int, int, int]:
        assert engine.rollout_test.test is not None
        fresh = engine.rollout_test.test.innovations
        return fresh.baseline_timed, fresh.baseline_late, fresh.trial_timed, fresh.trial_late

    engine.lifecycle.record_overdue(agent.now)
    assert times() == (0, 0, 0, 0)  # the objective is 1 s, and an answer is late after 1.5 s
    agent.advance(SECOND)
    engine.lifecycle.record_overdue(agent.now)
    engine.lifecycle.record_overdue(agent.now)
    assert times() == counted
    agent.end_attempt(send, elapsed=2 * SECOND)
    assert times() == counted  # the attempt is counted only once


def test_an_attempt_at_a_server_that_has_been_silent_since_is_not_overdue() -> None:
    agent = EngineHarness(SETTINGS, server(9, build=2))
    agent.update_rollout(2, cap=1.0)
    agent.send_request()
    agent.advance(2 * SECOND)
    agent.engine.lifecycle.record_overdue(agent.now)
    assert agent.engine.rollout_test.test is not None
    assert agent.engine.rollout_test.test.innovations.trial_timed == 0


def test_a_high_score_before_the_release_does_not_delay_the_detection_of_later_failures() -> None:
    agent = EngineHarness(SETTINGS, server(1), server(9, build=2))
    agent.update_rollout(2, cap=1.0)
    agent.update_rollout(2, phase=api.RolloutPhase.RELEASED, cap=1.0)
    test = agent.engine.rollout_test.test
    assert test is not None
    for _ in range(40):
        add_failure_score(test, 1.0)  # failures are rare for a long time
        agent.pass_time(agent.engine.schedule.exchanges * EXCHANGE_PERIOD)
    # A score at the upper threshold would have to fall by that much more before a rollback.
    assert test.scores.failures == 0
    add_failure_score(test, -1.0)
    agent.pass_time(agent.engine.schedule.exchanges * EXCHANGE_PERIOD)
    assert test.scores.failures == pytest.approx(-1.0, abs=0.1)


def test_a_slow_answer_of_a_loaded_server_is_not_counted_as_late() -> None:
    agent = EngineHarness(SETTINGS, server(1), server(9, build=2))
    agent.update_rollout(2, cap=1.0)
    engine, test = agent.engine, agent.engine.rollout_test.test
    assert test is not None
    times = engine.statistics.times
    times.means["read"], times.counts["read"] = 100_000.0, 100
    for others, late in ((0.0, True), (2.0, False)):
        agent.update_servers(server(1), server(9, build=2), kind=api.ServerListKind.COMPLETE)
        busy = engine.servers[9]
        busy.others_in_flight, busy.reported_at = others, agent.now
        test.innovations = Innovations()
        agent.send_request()
        request = engine.requests.popitem()[1]
        request.attempts.clear()
        busy.in_flight.clear()
        choice = RoutingChoice(busy, engine.routing.load(agent.now, busy), mean_load=1.0, sharpness=1.0)
        engine.lifecycle.send(agent.now, request, choice)
        engine.requests[request.arrival.request] = request
        agent.end_attempt(api.SendAttempt(request.arrival.request, 9), elapsed=400_000)
        assert [test.innovations.trial_timed, test.innovations.trial_late] == [1, late]


def test_a_silent_server_is_no_evidence_on_its_build() -> None:
    agent = EngineHarness(SETTINGS, server(9, build=2))
    agent.update_rollout(2, cap=1.0)
    (send,) = sent_attempts(agent.send_request())
    agent.advance(2 * SECOND)
    agent.end_attempt(send, api.Outcome.TIMED_OUT, elapsed=2 * SECOND)
    assert agent.engine.rollout_test.test is not None
    assert agent.engine.rollout_test.test.innovations.outcomes == 0


def test_evidence_of_one_kind_is_not_offset_by_the_other_kinds() -> None:
    agent = EngineHarness(SETTINGS, server(1), server(9, build=2))
    agent.update_rollout(2, phase=api.RolloutPhase.RELEASED, cap=1.0)
    agent.update_servers(server(1, availability=api.Availability.DRAINING))
    cast: list[api.CastVote] = []
    for i in range(400):
        # No answer fails, but one in 40 is disputed. As a third of wrong answers are disputed, one in 12 is
        # wrong.
        for send in sent_attempts(agent.send_request()):
            agent.end_attempt(send)
        if i % 40 == 39:
            agent.handle(api.AnswerDisputed(9, "read", SECOND))
        cast += votes(agent.pass_time(50_000))
    assert api.Verdict.BACK in {vote.verdict for vote in cast}


def failure_score_after(agent: EngineHarness, outcomes: list[tuple[int, bool]]) -> float:
    """Return the score of failures after a round with these outcomes of trial servers, by id."""
    test = agent.engine.rollout_test.test
    assert test is not None
    for name, failed in outcomes:
        entry, outcome = agent.engine.servers[name], api.Outcome.ERROR if failed else api.Outcome.SUCCESS
        request = PendingRequest(
            api.RequestArrived("q", IDEMPOTENT.name, agent.now + SECOND), IDEMPOTENT, agent.now
        )
        event = api.AttemptEnded("q", 0, name, outcome, 10_000, not failed)
        agent.engine.rollout_test.record_outcome(request, Attempt(entry, agent.now), event)
    agent.pass_time(3 * agent.engine.schedule.exchanges * EXCHANGE_PERIOD)
    return test.scores.failures


def test_one_server_that_fails_alone_is_no_evidence_against_its_build() -> None:
    fleet = [server(n, build=1 + (n > 3)) for n in range(8)]
    alone, spread = EngineHarness(SETTINGS, *fleet), EngineHarness(SETTINGS, *fleet)
    for agent in (alone, spread):
        agent.update_rollout(2)
    other_outcomes = [(n, False) for n in (5, 6, 7) for _ in range(10)]
    assert failure_score_after(alone, other_outcomes + [(4, True)] * 10) > 0
    assert (
        failure_score_after(spread, other_outcomes + [(n, True) for n in (4, 5, 6, 7) for _ in range(3)])
        < -10
    )


def test_a_build_whose_only_server_fails_is_judged_by_that_server() -> None:
    agent = EngineHarness(SETTINGS, *(server(n, build=1 + (n > 6)) for n in range(8)))
    agent.update_rollout(2)
    assert failure_score_after(agent, [(7, True)] * 10) < -10


@pytest.mark.parametrize(("late", "is_tested"), [(2.0, True), (9.0, True), (11.0, False), (30.0, False)])
def test_lateness_is_not_tested_if_a_quarter_of_the_baselines_answers_are_late(
    late: float, is_tested: bool
) -> None:
    agent = EngineHarness(SETTINGS, server(1), server(2, build=2))
    agent.update_rollout(2)
    test = agent.engine.rollout_test.test
    assert test is not None
    test.recent_timed, test.recent_late = 40.0, late
    test.settled = RoundTotals(baseline_timed=40.0, baseline_late=late, trial_timed=10.0, trial_late=10.0)
    assert (agent.engine.rollout_test.hypotheses.lateness(test) is not None) == is_tested
