"""Unit tests of the policy's building blocks: windows, buckets, means, choices, schedules."""

from __future__ import annotations

import math
import random
import statistics
from collections import Counter

import pytest

from frostfall import interface as api
from frostfall.mechanisms.backoff import ExponentialBackoff
from frostfall.mechanisms.build_outcomes import BuildOutcomes, OutcomeCounts
from frostfall.mechanisms.exposure_log import ExposureCounts, ExposureLog
from frostfall.mechanisms.fleet_statistics import FleetStatistics
from frostfall.mechanisms.mixing import ExchangeSchedule
from frostfall.mechanisms.poisson import safe_utilization
from frostfall.mechanisms.sequential_test import RoundTotals, Scores, SequentialTest, StageKey
from frostfall.mechanisms.server_list import ServerList
from frostfall.mechanisms.service_times import ServiceTimes
from frostfall.mechanisms.sliding_window import SlidingWindow
from frostfall.mechanisms.sprt import Band, Hypothesis, smoothed_share
from frostfall.mechanisms.throughput import Throughput
from frostfall.mechanisms.token_bucket import TokenBucket
from frostfall.mechanisms.watch_schedule import WatchParameters, WatchSchedule
from frostfall.mechanisms.weighted_choice import choose_by_cost
from frostfall.policy.learning import STATISTICS_PARAMETERS
from tests.support import SECOND, server

KEY = StageKey(build=2, stage=0)


def test_a_sliding_window_counts_events_until_they_are_older_than_its_span() -> None:
    window = SlidingWindow(10)
    for time in (0, 5, 5):
        window.record(time)
    assert window.count(10) == 3
    assert window.count(11) == 2
    window.remove(5)
    window.remove(7)  # no event has this time
    assert window.count(11) == 1
    assert window.times == (5,)
    assert window.count(16) == 0


def test_a_token_bucket_holds_at_most_its_capacity() -> None:
    bucket = TokenBucket(capacity=2.0, tokens=1.5)
    bucket.earn(0.25)
    assert bucket.tokens == 1.75
    bucket.earn(5.0)
    assert bucket.tokens == 2.0
    bucket.spend(0.5)
    assert bucket.tokens == 1.5


def test_a_backoff_doubles_up_to_its_longest_delay_until_it_is_reset() -> None:
    backoff = ExponentialBackoff(first=3, longest=10)
    assert [backoff.next() for _ in range(4)] == [3, 6, 10, 10]
    backoff.reset()
    assert backoff.next() == 3


def test_throughput_decays_and_stores_the_peak_per_server() -> None:
    throughput = Throughput(decay_time=2 * SECOND, peak_decay_time=20 * SECOND)
    throughput.record(0, 2, served=True)
    throughput.record(0, 2, served=False)
    assert throughput.rate == 0.5  # one served request per decay time of 2 s
    assert throughput.update(2 * SECOND, 2) == pytest.approx(0.5 / math.e)
    assert throughput.peak_per_server == pytest.approx(0.25 * math.exp(-0.1))
    assert throughput.update(22 * SECOND, 0) == pytest.approx(0.5 * math.exp(-11))
    assert throughput.peak_per_server == pytest.approx(0.25 * math.exp(-1.1))


def test_expected_response_times_depend_on_class_and_hint() -> None:
    times = ServiceTimes(weight=0.1, smallest_scale=0.5, largest_scale=2.0)
    assert times.expected("read", None, default=70.0) == 70.0
    for elapsed in (100, 200, 300):
        times.record("read", elapsed)
    times.record("write", 600)
    assert times.means == {"read": pytest.approx(200), "write": 600}  # the first values have equal weights
    assert times.ratio("write") == pytest.approx(600 / times.overall_mean)
    assert times.ratio("unseen") == 1
    times.record_hint("read", 10)
    for hint, scale in ((10, 1.0), (15, 1.5), (90, 2.0), (1, 0.5)):
        assert times.expected("read", hint, default=70.0) == pytest.approx(200 * scale)
    times.record_hint("read", 20)
    assert times.hint_means["read"] == pytest.approx(11)
    times.record_hint("read", None)
    assert times.hint_means["read"] == pytest.approx(11)


def test_exposure_is_counted_by_group_and_build_and_restarts_at_the_given_time() -> None:
    log = ExposureLog(10)
    for now in (0, 4):
        log.record_admitted(now, "a")
        log.record_sent(now, 2, "a")
    log.record_admitted(4, "b")
    assert log.counts(10, 2, "a") == ExposureCounts(admitted=2, sent=2)
    assert log.counts(11, 2, "a") == ExposureCounts(admitted=1, sent=1)
    assert log.counts(11, 3, "b") == ExposureCounts(admitted=1, sent=0)
    log.withdraw_sent(4, 2, "a")
    log.restart_at(13)
    assert log.counts(12, 2, "a") == ExposureCounts(admitted=1, sent=0)
    log.record_admitted(12, "a")
    assert log.counts(13, 2, "a") == ExposureCounts(admitted=0, sent=0)  # admitted before the restart
    log.record_admitted(13, "a")
    assert log.counts(14, 2, "a").admitted == 1  # the restart is applied only once
    log.forget(2)
    assert log.builds() == {3}


WATCH = WatchParameters(
    initial_retry_delay=10, max_retry_delay=30, min_retry_delay=4, call_spacing=100, initial_spread_divisor=5
)


@pytest.mark.parametrize(("agents", "within"), [(1, 100 // 5), (3, 300 // 5), (1000, 1000 // 5)])
def test_first_calls_are_spread_over_a_part_of_the_renewal_time(agents: int, within: int) -> None:
    waits = Counter[int]()
    for seed in range(400):
        watch = WatchSchedule(WATCH, agents=agents, renewal=1000, source=random.Random(seed))
        watch.start(50)
        waits[next(wait for wait in range(within + 2) if watch.is_due(50 + wait))] += 1
    assert 0 <= min(waits) < 0.1 * within and 0.9 * within < max(waits) <= within


def retry_waits(failures: int, *, is_urgent: bool) -> list[int]:
    """Return, for many seeds, the delay before a retry after this many consecutive failures."""
    waits = []
    for seed in range(400):
        watch = WatchSchedule(WATCH, agents=3, renewal=1000, source=random.Random(seed))
        for _ in range(failures):
            watch.failed(2000, is_urgent=is_urgent)
        waits.append(next(wait for wait in range(400) if watch.is_due(2000 + wait)))
    return waits


@pytest.mark.parametrize(
    ("failures", "is_urgent", "longest"),
    [(1, True, 10), (2, True, 20), (3, True, 30), (9, True, 30), (3, False, 40), (9, False, 300)],
)
def test_retries_of_failed_calls_are_spread_over_the_whole_backoff(
    failures: int, is_urgent: bool, longest: int
) -> None:
    waits = retry_waits(failures, is_urgent=is_urgent)
    assert min(waits) >= 4 and max(waits) <= longest
    assert min(waits) < 4 + 0.2 * longest and max(waits) > 0.8 * longest
    assert statistics.mean(waits) == pytest.approx((4 + longest) / 2, rel=0.1)


def test_a_watch_is_renewed_in_time_and_a_success_resets_the_backoff() -> None:
    watch = WatchSchedule(WATCH, agents=3, renewal=1000, source=random.Random(1))
    watch.renew(50)
    assert not watch.is_due(1049) and watch.is_due(1050)
    for _ in range(5):
        watch.failed(2000, is_urgent=True)
    watch.succeeded()
    watch.failed(2000, is_urgent=True)
    assert not watch.is_due(2003) and watch.is_due(2010)


def test_agents_with_a_confirmation_from_a_peer_defer_their_calls() -> None:
    waits = []
    for seed in range(400):
        watch = WatchSchedule(WATCH, agents=3, renewal=1000, source=random.Random(seed))
        watch.start(50)
        watch.defer(50)
        waits.append(next(wait for wait in range(302) if watch.is_due(50 + wait)))
    assert max(waits) <= 300 and statistics.mean(waits) > 150


def test_cheaper_options_are_chosen_more_often_the_higher_the_sharpness() -> None:
    draw = random.Random(5)
    for power in (0.0, 1.0, 4.0):
        chosen = Counter(choose_by_cost(draw, "ab", [1.0, 2.0], [power, power]) for _ in range(4000))
        assert chosen["b"] / 4000 == pytest.approx(1 / (1 + 2**power), abs=0.03)


@pytest.mark.parametrize("budget", [6.0, 40.0, 900.0])
def test_a_poisson_mean_at_safe_utilization_keeps_its_distance_from_the_budget(budget: float) -> None:
    mean = budget * safe_utilization(budget, 2.0)
    assert 0 < mean < budget
    assert mean + 2.0 * math.sqrt(2 * mean) == pytest.approx(budget)
    assert safe_utilization(1e-9, 2.0) == 0


def test_evidence_of_an_outcome_and_divergence() -> None:
    hypothesis = Hypothesis(p0=0.1, margin=0.1)
    good, bad = hypothesis.evidence(False), hypothesis.evidence(True)
    assert good == pytest.approx(math.log(0.9 / 0.8))
    assert bad == pytest.approx(-math.log(2))
    assert hypothesis.divergence == pytest.approx(-(0.2 * bad + 0.8 * good))
    assert smoothed_share(3, 10, prior=0.5, weight=10) == pytest.approx(0.4)


def test_the_position_in_a_band_is_between_minus_one_and_one() -> None:
    band = Band(upper=4.0, lower=-2.0)
    assert [band.position(score) for score in (-2.0, -1.0, 0.0, 1.0, 4.0)] == [-1, -0.5, 0, 0.25, 1]


def test_schedules_with_equal_clocks_agree_on_slots_and_partners() -> None:
    schedules = [ExchangeSchedule(agent, 5, 100) for agent in range(5)]
    for schedule in schedules:
        assert schedule.advance(1_230) == -1
        assert schedule.advance(1_300) == 12
        assert schedule.slot == 13
        assert schedule.round_duration == 100 * schedule.exchanges
        assert schedule.begins_round == (13 % schedule.exchanges == 0)
        partner = schedules[schedule.partner(13)]
        assert partner.partner(13) == schedule.agent
        assert schedule.is_unpaired(13) == (partner is schedule)


def sequential_test(totals: RoundTotals, agents: int = 8) -> SequentialTest:
    return SequentialTest.begin(KEY, 0, agents, totals)


def test_only_totals_received_in_consecutive_slots_are_averaged() -> None:
    test = sequential_test(RoundTotals(outcomes=2.0))
    test.received = RoundTotals(outcomes=6.0, failure_score=-1.0)
    test.end_slot(consecutive=True, unpaired=False)
    assert test.totals == RoundTotals(outcomes=4.0, failure_score=-0.5)
    test.received = RoundTotals(outcomes=100.0)
    test.end_slot(consecutive=False, unpaired=False)
    test.end_slot(consecutive=True, unpaired=True)
    test.end_slot(consecutive=True, unpaired=False)  # the partner sent nothing
    assert test.totals.outcomes == 4.0
    assert test.settle(4) == 1
    assert (test.missed_exchanges, test.mixed_exchanges, test.effective_agents) == (1, 3, 8)
    assert test.settled.outcomes == 4.0
    assert test.pooled_outcomes == 32


def test_missed_exchanges_reduce_the_effective_number_of_agents() -> None:
    test = sequential_test(RoundTotals(missed_exchanges=2.0, served_per_server=3.0))
    for _ in range(4):
        test.end_slot(consecutive=True, unpaired=True)
    assert test.settle(4) == 0  # but other agents missed exchanges
    assert test.effective_agents == 4
    assert test.pooled_served_per_server == 12
    assert test.mixing_rate(0.1) == 0.5
    assert sequential_test(RoundTotals()).mixing_rate(0.1) == 0.1


def test_scores_are_limited_to_their_bands_and_after_the_release_to_zero() -> None:
    bands = [Band(upper=2.0, lower=-4.0)] * 3
    test = sequential_test(RoundTotals())
    test.update_scores(Scores(failures=5.0, lateness=1.0, disputes=-3.0), bands)
    assert test.scores == Scores(failures=2.0, lateness=1.0, disputes=-3.0)
    assert test.position == -0.75
    test.update_scores(Scores(failures=-9.0), bands)
    assert test.position == -1
    released = SequentialTest.begin(StageKey(2, -1), 0, 8, RoundTotals())
    released.update_scores(Scores(failures=5.0, lateness=1.0, disputes=-3.0), bands)
    assert released.scores == Scores(failures=0.0, lateness=0.0, disputes=-3.0)


def test_a_round_begins_with_settled_totals_and_new_outcomes() -> None:
    test = sequential_test(RoundTotals(baseline_outcomes=100.0, baseline_failures=10.0, outcomes=7.0))
    test.innovations.add_baseline(failed=True, late=None)
    test.innovations.add_baseline(failed=False, late=True)
    test.innovations.add_trial(failed=False, late=False)
    test.innovations.failure_evidence = 0.5
    test.settle(3)
    test.update_scores(Scores(failures=1.0, lateness=-1.0, disputes=0.25), [Band(9.0, -9.0)] * 3)
    test.begin_round(baseline_retention=0.5, excluded_evidence=-2.0, served_per_server=3.0, missed=1)
    assert test.totals == RoundTotals(
        failure_score=-0.5,
        lateness_score=-1.0,
        dispute_score=0.25,
        outcomes=8.0,
        baseline_outcomes=52.0,
        baseline_failures=6.0,
        baseline_timed=1,
        baseline_late=1,
        trial_timed=1,
        served_per_server=3.0,
        missed_exchanges=1,
    )
    assert test.innovations.outcomes == 0
    assert test.carried_over() == RoundTotals(
        lateness_score=-1.0, baseline_outcomes=100.0, baseline_failures=10.0
    )


def test_outcomes_of_builds_decay_and_obsolete_builds_are_dropped() -> None:
    outcomes = BuildOutcomes(decay_outcomes=2.0)
    for build, class_name, failed in ((1, "a", True), (1, "a", False), (1, "b", True), (2, "a", True)):
        outcomes.record(build, class_name, failed)
    assert outcomes.of_class(1, "a") == OutcomeCounts(recent=1.5, recent_failures=0.5, total=2)
    assert outcomes.of_class(3, "a") == OutcomeCounts()
    assert outcomes.as_baseline(1) == RoundTotals(baseline_outcomes=2.5, baseline_failures=1.5)
    assert outcomes.total(1) == 3
    outcomes.record_dispute(1)
    outcomes.record_dispute(1)
    assert outcomes.disputes == {1: 2}
    assert (outcomes.baseline(1), outcomes.baseline(2), outcomes.baseline(3)) == (-1, 1, 2)
    outcomes.rolled_back_build = 2
    assert outcomes.baseline(3) == 1  # a build that was rolled back is no baseline
    outcomes.forget_obsolete(1)
    assert set(outcomes.by_class) == {(1, "a"), (1, "b")}
    outcomes.forget_obsolete(3)
    assert not outcomes.by_class and not outcomes.disputes


def listed(*entries: api.Server) -> ServerList:
    servers = ServerList(random.Random(1), ejection=lambda: ExponentialBackoff(first=1, longest=4))
    servers.update(0, api.ServerListKind.COMPLETE, entries)
    return servers


def test_a_server_list_update_returns_new_restarted_and_removed_servers() -> None:
    servers = listed(server(1), server(2), server(3))
    first = servers.by_id[1]
    moved, restarted = server(1, zone="b"), server(2, started=5)
    removed = server(3, availability=api.Availability.REMOVED)
    draining = server(4, availability=api.Availability.DRAINING)
    entries = (moved, restarted, removed, draining)
    assert servers.update(9, api.ServerListKind.DELTA, entries) == [2, 3, 4]
    assert servers.by_id[1] is first and first.info is moved
    assert set(servers.by_id) == {1, 2, 4}
    assert {each.info.id for each in servers.available} == {1, 2}
    assert servers.incarnations() == {(1, 0), (2, 5), (4, 0)}
    servers.update(9, api.ServerListKind.COMPLETE, (server(4, build=7), server(5, build=8)))
    assert set(servers.by_id) == {4, 5}
    assert servers.lowest_build == 7
    ranks = [each.rank for each in servers.available]
    assert ranks == sorted(ranks)


def test_a_server_warms_up_from_the_initial_share_to_all_of_its_capacity() -> None:
    state = listed(server(1, started=100 * SECOND)).by_id[1]
    rules = api.Rules(20_000, 500_000, 10 * SECOND, 0.3, 4 * SECOND, 3.0, SECOND)
    warmth = [state.warm_up_share((100 + at) * SECOND, rules) for at in (-1, 0, 2, 4, 9)]
    assert warmth == pytest.approx([0.3, 0.3, 0.65, 1, 1])
    assert state.age(103 * SECOND) == 3 * SECOND
    # a start time of 0 means long ago
    assert listed(server(1)).by_id[1].age(0) > 1000 * 365 * 86_400 * SECOND


def test_the_credit_of_a_warming_server_accrues_to_one_send() -> None:
    state = listed(server(1)).by_id[1]
    state.warm_up_credit = 0.0
    assert state.accrue_credit(SECOND, 0.25, 2 * SECOND) == pytest.approx(0.25)
    # limited to the longest span
    assert state.accrue_credit(9 * SECOND, 0.25, 2 * SECOND) == pytest.approx(0.75)
    assert state.accrue_credit(10 * SECOND, 9.0, 2 * SECOND) == 1
    state.spend_credit()
    assert state.warm_up_credit == 0
    state.spend_credit()
    assert state.warm_up_credit == 0


def test_a_server_is_compared_with_others_of_its_build() -> None:
    servers = listed(server(1), server(2))
    statistics, state = FleetStatistics(STATISTICS_PARAMETERS, servers), servers.by_id[1]
    assert statistics.penalty(0, state, 0.9) == 1
    state.error_rate, state.slowness = 0.5, 3.0
    assert statistics.penalty(0, state, 0.9) == pytest.approx(3.0 / 0.25)
    statistics.profiles[1].error_rate, statistics.profiles[1].slowness = 0.5, 2.0
    assert statistics.penalty(0, state, 0.9) == pytest.approx(1.5)
    state.shared_error_rate = 1.0
    assert statistics.penalty(0, state, 0.25) == pytest.approx(1.5 / 0.75**2)
    decayed = statistics.penalty(100 * STATISTICS_PARAMETERS.server_decay_time, state, 0.25)
    assert decayed == pytest.approx(0.5 / 0.75**2)
    statistics.forget(1)
    assert not statistics.profiles
