"""The sequential test of a build under rollout, and the votes on it (types: frostfall/interface.py)."""

import math
import random
from collections.abc import Iterator
from zlib import crc32

from frostfall import interface as api
from frostfall.interface import Microseconds, Outcome, RolloutPhase, Verdict
from frostfall.mechanisms.build_outcomes import BuildOutcomes
from frostfall.mechanisms.fleet_statistics import FleetStatistics
from frostfall.mechanisms.hypotheses import Hypotheses, HypothesisParameters
from frostfall.mechanisms.mixing import ExchangeSchedule
from frostfall.mechanisms.sequential_test import Scores, SequentialTest, StageKey
from frostfall.mechanisms.sprt import Band, Hypothesis, smoothed_share
from frostfall.records import Attempt, PendingRequest, PendingVote
from frostfall.shared_health.server_health import SharedHealth

EXCHANGE_PERIOD = 100_000  # us between exchanges with peers, longer than a message takes
FAST_EXCHANGE_PERIOD = 50_000  # us, used in trials whose rounds are long, as each stage waits for rounds
LONG_ROUND = 6  # exchanges from which a round counts as long
TEST_PARAMETERS = HypothesisParameters(
    advance_error=0.05,
    rollback_error=0.05,  # for all agents together
    max_p1=0.9,
    failure_margin=0.05,
    prior_failure_share=0.01,
    prior_weight=50.0,  # keeps p0 above 0
    late_margin=0.2,
    prior_late_share=0.1,
    prior_late_weight=10.0,
    min_timed=15.0,
    min_timed_ratio=0.33,
    max_late_share=0.25,
    min_dispute_share=0.003,
)
OUTCOME_MEMORY = 600.0  # baseline outcomes over which p0 of failures is estimated
# An answer is late after this many latency objectives or expected response times, whichever is shorter.
LATE_OBJECTIVE_MULTIPLE = 1.5
LATE_EXPECTED_TIME_MULTIPLE = 2.5
LATE_MEMORY = 5e5  # us; short, so that p0 of late answers describes the present moment
MAX_LATE_STEP = 0.34  # largest part of the lower threshold that the lateness score may fall by in a round
SLOWDOWN_MARGIN = 0.4  # p1 - p0 in the comparison of all answers with the reference late share
REFERENCE_MEMORY = 5_000_000  # us, time constant of the reference late share
SLOWDOWN_MEMORY = 30_000_000  # us, the same while more answers are late: a slowdown is learned slowly
# Microseconds of lateness of all servers until a rollback; slowdowns unrelated to the build are shorter.
SLOWDOWN_ROLLBACK_TIME = 5_500_000
HOLD_POSITION = -0.5  # worst score, as a position in its band, with which a build may leave its stage
MIN_POOLED_OUTCOMES = 10  # outcomes of all agents that a vote requires
SETTLING_TIME = 5_000_000  # us after its start in which a server may be slow
VOTE_RATE_SHARE = 0.5  # part of the platform's limit of votes per second that agents use
LOGGING_AGENTS = 3  # number of agents that log their votes
VOTE_RETRY_DELAY = 300_000  # us until a vote that may not have counted is cast again
VOTE_RETRY_JITTER = 500_000  # us


class RolloutTest:
    """Tests the newest build on evidence that all agents exchange, and votes on it."""

    def __init__(
        self, settings: api.Settings, schedule: ExchangeSchedule, health: SharedHealth, stats: FleetStatistics
    ) -> None:
        self.schedule, self.shared_health, self.statistics = schedule, health, stats
        rollout = self.rollout = settings.rollout
        self.by_votes = rollout is not None and rollout.control is api.RolloutControl.VOTES
        self.test: SequentialTest | None = None
        self.vote: PendingVote | None = None
        self.outcomes = BuildOutcomes(decay_outcomes=OUTCOME_MEMORY)
        dispute_share = rollout.dispute_report_share if rollout else 0.0
        self.hypotheses = Hypotheses(TEST_PARAMETERS, self.outcomes, schedule.mixing_rate, dispute_share)
        self.reference_late_share = 0.0  # late share of all answers while no build is on trial; 0 if unknown

    @property
    def lacks_outcomes(self) -> bool:
        """Whether a test is running and has too few outcomes for a vote."""
        return self.test is not None and self.test.pooled_outcomes < MIN_POOLED_OUTCOMES

    def running_test(self, build: int) -> SequentialTest | None:
        """Return the running test if it tests this build."""
        return self.test if self.test and self.test.key.build == build else None

    def update(self, now: Microseconds, state: api.RolloutState) -> bool:
        """Apply a new state of the rollout; return whether a new test begins."""
        on_trial = state.phase is RolloutPhase.TRIAL
        # In a large fleet a round at the usual period takes a second, and each stage waits for two rounds.
        fast = self.by_votes and on_trial and self.schedule.exchanges >= LONG_ROUND
        self.schedule.period = FAST_EXCHANGE_PERIOD if fast else EXCHANGE_PERIOD
        if state.phase in (RolloutPhase.ROLLING_BACK, RolloutPhase.ROLLED_BACK):
            self.test, self.outcomes.rolled_back_build = None, state.build
            self.shared_health.set_trial_stage()
            return False
        key = StageKey(state.build, state.stage if on_trial else -1)
        if self.test and self.test.key == key:
            return False
        baseline = self.outcomes.baseline(state.build)
        self.outcomes.forget_obsolete(baseline)
        old = self.running_test(state.build)
        totals = old.carried_over() if old else self.outcomes.as_baseline(baseline)
        self.test = SequentialTest.begin(key, now - state.age, self.schedule.agents, totals)
        if old:
            self.test.slowdown = old.slowdown.carried_over()
        self.shared_health.set_trial_stage(key)
        return True

    def record_outcome(self, request: PendingRequest, attempt: Attempt, event: api.AttemptEnded) -> None:
        """Add the outcome of an attempt to the evidence."""
        server, test, late = attempt.server, self.test, None
        build, failed = server.info.build, event.outcome is Outcome.ERROR
        settled = attempt.sent_at - server.started_at >= SETTLING_TIME  # a cold server is slow
        # A server without responses since the attempt is lost or cut off, which is no evidence on its build.
        slow = event.outcome is Outcome.TIMED_OUT and server.last_response_at > attempt.sent_at and settled
        counts = slow or failed or event.outcome is Outcome.SUCCESS
        if build == self.outcomes.rolled_back_build or not counts:
            return
        if settled and not failed and not attempt.counted_as_late:
            late = event.elapsed > self._late_threshold(request, attempt)
        class_name = request.request_class.name
        self.outcomes.record(build, class_name, failed)
        if test is None or build > test.key.build or request.counted_in_test:
            return
        if build < test.key.build:
            test.innovations.add_baseline(failed=failed, late=late)
            return
        request.counted_in_test = True  # a failing request that is retried counts only once
        test.innovations.add_trial(failed=failed, late=late)
        evidence = self.hypotheses.failures(test, class_name).evidence(failed)
        test.innovations.failure_evidence += evidence
        if not failed and (disputes := self.hypotheses.disputes(test)):
            test.innovations.dispute_evidence += disputes.evidence(False)
        self.shared_health.record_trial_outcome(server.incarnation, failed, evidence if failed else 0.0)

    def _late_threshold(self, request: PendingRequest, attempt: Attempt) -> float:
        """Return the time after which an answer to an attempt is late, in microseconds."""
        # The limit grows with the server's load relative to others: a server of the trial build that is sent
        # more requests is slower for that reason alone.
        objective = LATE_OBJECTIVE_MULTIPLE * request.request_class.latency_objective
        limit = min(objective, LATE_EXPECTED_TIME_MULTIPLE * self.statistics.expected_time(request))
        return limit * attempt.relative_load

    def record_overdue(self, now: Microseconds, request: PendingRequest, attempt: Attempt) -> None:
        """Count an attempt in flight as late once its answer can only be late."""
        # Late attempts end last. If attempts counted only at their ends, the first seconds of a stage would
        # show timely answers alone.
        server, test = attempt.server, self.test
        if (
            test is None
            or request.counted_in_test
            or attempt.counted_as_late
            or server.info.build > test.key.build
        ):
            return
        settled = attempt.sent_at - server.started_at >= SETTLING_TIME
        # A server without responses since the attempt is lost or cut off, which is no evidence on its build.
        answers = server.last_response_at > attempt.sent_at
        if settled and answers and now - attempt.sent_at > self._late_threshold(request, attempt):
            attempt.counted_as_late = True
            test.innovations.add_overdue(on_trial=server.info.build == test.key.build)

    def record_dispute(self, build: int) -> None:
        """Record that a client disputes an answer of this build."""
        # A wrong answer counts as a success until it is disputed, and some disputes are mistaken.
        self.outcomes.record_dispute(build)
        test = self.running_test(build)
        if test and (disputes := self.hypotheses.disputes(test)):
            test.innovations.dispute_evidence += disputes.evidence(True) - disputes.evidence(False)

    def end_round(self, now: Microseconds, test: SequentialTest) -> None:
        """Update scores and verdict with the evidence of a round, and begin the next round."""
        missed = test.settle(self.schedule.exchanges)
        # Old lateness must fade: compared with an outdated p0, the onset of a shared slowdown would count
        # against the trial.
        test.fade_lateness(math.exp(-self.schedule.round_duration / LATE_MEMORY))
        pool, settled = test.effective_agents, test.settled
        outcomes, failures = settled.outcomes * pool, settled.trial_failures * pool
        excused = self.shared_health.outlier_evidence(outcomes, failures, MIN_POOLED_OUTCOMES) / pool
        bands = self.hypotheses.bands(test)
        lateness = self._lateness_score(test, bands[1])
        test.slowdown.add(
            self._slowdown_evidence(test), bands[1], self.schedule.round_duration / SLOWDOWN_ROLLBACK_TIME
        )
        if test.key.is_released:
            self._update_reference_late_share(test)
        test.update_scores(Scores(settled.failure_score - excused, lateness, settled.dispute_score), bands)
        # A rollback for lateness of all servers waits for longer than a passing slowdown lasts. A hold is
        # cheaper: it delays a good build at most for the length of the slowdown, so the current lateness is
        # enough for it.
        test.all_servers_slow = test.slowdown.position < HOLD_POSITION
        verdict = self._verdict(now, test)
        if verdict is not test.verdict:
            test.verdict, test.decided_at = verdict, now
        retention = min(1.0, OUTCOME_MEMORY / pool / max(settled.baseline_outcomes, 1e-9))
        served = self.statistics.throughput.peak_per_server
        test.begin_round(
            baseline_retention=retention, excluded_evidence=excused, served_per_server=served, missed=missed
        )

    def _lateness_score(self, test: SequentialTest, band: Band) -> float:
        """Return the lateness score with a round's evidence against the baseline of the same moment."""
        hypothesis, settled = self.hypotheses.lateness(test), test.settled
        if hypothesis is None:
            return settled.lateness_score
        if not self.reference_late_share:  # this agent started in the middle of a trial
            self.reference_late_share = hypothesis.p0
        gain = hypothesis.evidence_of_counts(settled.trial_timed, settled.trial_late)
        max_step = MAX_LATE_STEP * self.schedule.period / EXCHANGE_PERIOD
        return settled.lateness_score + max(gain, band.lower * max_step)

    def _slowdown_evidence(self, test: SequentialTest) -> float:
        """Return a round's evidence on the answers of all servers, against the reference late share."""
        # If a build slows all servers alike, no baseline of the same moment shows it.
        if not self.reference_late_share or not test.key.stage:
            return 0.0
        p0 = min(self.reference_late_share, TEST_PARAMETERS.max_p1 - SLOWDOWN_MARGIN)
        settled = test.settled
        return Hypothesis(p0, SLOWDOWN_MARGIN).evidence_of_counts(settled.timed, settled.late)

    def _update_reference_late_share(self, test: SequentialTest) -> None:
        """Update the reference late share with a round in which no build was on trial."""
        # The first rounds of a trial are not used: in a large fleet the ten outcomes that a vote needs come
        # within one round, so that the share would often stay unknown, and a build that slows all servers
        # would be compared with nothing.
        parameters, timed, late = (
            TEST_PARAMETERS,
            test.settled.timed * test.effective_agents,
            test.settled.late * test.effective_agents,
        )
        prior, weight = parameters.prior_late_share, parameters.prior_late_weight
        if not self.reference_late_share:
            if timed >= parameters.min_timed:
                self.reference_late_share = smoothed_share(late, timed, prior=prior, weight=weight)
            return
        share = smoothed_share(late, timed, prior=self.reference_late_share, weight=weight)
        memory = REFERENCE_MEMORY if self._slowdown_evidence(test) >= 0 else SLOWDOWN_MEMORY
        forgotten = 1 - math.exp(-self.schedule.round_duration / memory)
        self.reference_late_share += forgotten * (share - self.reference_late_share)

    def _verdict(self, now: Microseconds, test: SequentialTest) -> Verdict:
        age, doubtful = now - test.started_at, test.all_servers_slow or test.position < HOLD_POSITION
        if not self.rollout or self.lacks_outcomes or age < self.rollout.min_stage_duration:
            return Verdict.NONE
        if test.position <= -1:
            return Verdict.NONE if self._may_be_few_servers(test) else Verdict.BACK
        if test.key.is_released:
            return Verdict.NONE
        if self.by_votes:  # no wait for more evidence: waiting costs delay, and the vote can be withdrawn
            return Verdict.NONE if doubtful else Verdict.ON
        return Verdict.HOLD if doubtful else Verdict.NONE

    def _may_be_few_servers(self, test: SequentialTest) -> bool:
        """Return whether the failures of this round may be those of a few servers alone."""
        # A server that fails alone is recognised by its second failure, which often comes a round later.
        return test.failing_rounds == 1 and self.shared_health.few_trial_servers_fail

    def retry_vote(self, now: Microseconds, source: random.Random) -> None:
        """Schedule the last vote again, as it may not have counted."""
        if self.vote:
            self.vote.renew_at = now + VOTE_RETRY_DELAY + source.randrange(VOTE_RETRY_JITTER)

    def cast_vote(
        self, now: Microseconds, test: SequentialTest, rollout: api.RolloutSettings
    ) -> Iterator[api.Action]:
        """Yield the vote that is due now, if any, and a log line on it."""
        last = self.vote if self.vote and self.vote.key == test.key else None
        standing, verdict = last.verdict if last else Verdict.NONE, test.verdict
        if verdict is standing and last and now < last.renew_at:
            return
        withdraws = standing is Verdict.HOLD or (standing is Verdict.ON and test.all_servers_slow)
        if verdict is Verdict.NONE and not withdraws:
            return
        # All agents reach the same verdict at once, and the platform rejects votes over its rate limit. Each
        # agent therefore waits for a slot of its own.
        slot = (self.schedule.agent + crc32(b"%d %d" % test.key)) % self.schedule.agents
        votes_per_second = max(rollout.votes_per_second * VOTE_RATE_SHARE, 1e-3)
        if now < test.decided_at + slot * 1e6 / votes_per_second:
            return
        if verdict is not standing and slot < LOGGING_AGENTS:
            text = f"vote {verdict.name} build {test.key.build} stage {test.key.stage}"
            share, position = self.reference_late_share, test.slowdown.lasting_position
            calm = f", calm late share {share:.3f} at {position:.2f}" if share else ""
            yield api.WriteLog(f"{text}: {self.hypotheses.describe(test)}{calm}")
        yield api.CastVote(test.key.build, max(test.key.stage, 0), verdict)
        lifetime = max(rollout.vote_lifetime * 3 // 4, rollout.vote_timeout)
        self.vote = PendingVote(verdict, test.key, now + lifetime)
