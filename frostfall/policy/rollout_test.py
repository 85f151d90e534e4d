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

EXCHANGE_PERIOD = 100_000  # us between exchanges with peers, over a message's way
FAST_EXCHANGE_PERIOD = 50_000  # us, while a build is on trial and a round is long: stages wait for rounds
LONG_ROUND = 6  # exchanges
TEST_PARAMETERS = HypothesisParameters(
    advance_error=0.05,
    rollback_error=0.05,  # of all agents together
    max_p1=0.9,
    failure_margin=0.05,
    prior_failure_share=0.01,
    prior_weight=50.0,  # keeps p0 off 0
    late_margin=0.2,
    prior_late_share=0.1,
    prior_late_weight=10.0,
    min_timed=15.0,
    min_timed_ratio=0.33,
    max_late_share=0.25,
    min_dispute_share=0.003,
)
OUTCOME_MEMORY = 600.0  # outcomes of the baseline that p0 remembers
LATE_OBJECTIVES = 1.5  # an answer is late after so many latency objectives ...
LATE_EXPECTED_TIMES = 2.5  # ... or so many expected response times
LATE_MEMORY = 5e5  # us: p0 of late answers is that of the moment
MAX_LATE_STEP = 0.34  # of the way to a rollback that late answers may go in a round
CALM_MARGIN = 0.4  # p1 - p0 of late answers against calmer times
CALM_MEMORY = 5_000_000  # us for which the share of calmer times remembers what answers were late
SLOWDOWN_MEMORY = 30_000_000  # us, of answers that are late more often: not at once the new normal
CALM_ROLLBACK_TIME = 5_500_000  # us of lateness of all servers for a rollback: longer than a shared slowdown
HOLD_POSITION = -0.5  # of the worst score in its band, below which a stage is not left
MIN_POOLED_OUTCOMES = 10  # that a vote needs
SETTLING_TIME = 5_000_000  # us after its start in which a server may be slow
VOTE_RATE_SHARE = 0.5  # of the votes a second that the platform takes
LOGGING_AGENTS = 3  # that write a line on their vote
VOTE_RETRY_DELAY = 300_000  # us after a vote that may not have counted
VOTE_RETRY_JITTER = 500_000  # us


class RolloutTest:
    """Collects evidence on the newest build, reaches a verdict together with other agents and votes."""

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
        self.calm_late_share = 0.0  # of all answers while no build is on trial; 0: not known

    @property
    def lacks_outcomes(self) -> bool:
        """Whether a test is running that has too few outcomes for a vote."""
        return self.test is not None and self.test.pooled_outcomes < MIN_POOLED_OUTCOMES

    def tested(self, build: int) -> SequentialTest | None:
        """The running test, if it is one of this build."""
        return self.test if self.test and self.test.key.build == build else None

    def update(self, now: Microseconds, state: api.RolloutState) -> bool:
        """Follow the rollout; whether a new test begins."""
        on_trial = state.phase is RolloutPhase.TRIAL
        # In a large fleet a round takes a second, and each stage would wait for two of them.
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
        old = self.tested(state.build)
        totals = old.carried_over() if old else self.outcomes.as_baseline(baseline)
        self.test = SequentialTest.begin(key, now - state.age, self.schedule.agents, totals)
        if old:
            self.test.slowdown = old.slowdown.carried_over()
        self.shared_health.set_trial_stage(key)
        return True

    def record_outcome(self, request: PendingRequest, attempt: Attempt, event: api.AttemptEnded) -> None:
        """Learn from the end of an attempt."""
        server, test, late = attempt.server, self.test, None
        build, failed = server.info.build, event.outcome is Outcome.ERROR
        settled = attempt.sent_at - server.started_at >= SETTLING_TIME  # a cold server is slow
        # A server that has been silent since is lost or cut off; that tells nothing of its build.
        slow = event.outcome is Outcome.TIMED_OUT and server.last_response_at > attempt.sent_at and settled
        counts = slow or failed or event.outcome is Outcome.SUCCESS
        if build == self.outcomes.rolled_back_build or not counts:
            return
        if settled and not failed and not attempt.timing_judged:
            late = event.elapsed > self._late_after(request, attempt)
        class_name = request.request_class.name
        self.outcomes.record(build, class_name, failed)
        if test is None or build > test.key.build or request.judged:
            return
        if build < test.key.build:
            test.innovations.add_baseline(failed=failed, late=late)
            return
        request.judged = True  # one failing request, retried, would count again and again
        test.innovations.add_trial(failed=failed, late=late)
        evidence = self.hypotheses.failures(test, class_name).evidence(failed)
        test.innovations.failure_evidence += evidence
        if not failed and (disputes := self.hypotheses.disputes(test)):
            test.innovations.dispute_evidence += disputes.evidence(False)
        self.shared_health.record_trial_outcome(server.incarnation, failed, evidence if failed else 0.0)

    def _late_after(self, request: PendingRequest, attempt: Attempt) -> float:
        """The time after which an answer to an attempt is late, in microseconds."""
        # Servers of the trial build that are sent more than others are slower for that alone.
        objective = LATE_OBJECTIVES * request.request_class.latency_objective
        limit = min(objective, LATE_EXPECTED_TIMES * self.statistics.expected_time(request))
        return limit * attempt.relative_load

    def record_overdue(self, now: Microseconds, request: PendingRequest, attempt: Attempt) -> None:
        """Count an attempt in flight as late once its answer can only be that."""
        # Late answers end last. Counted at their ends, those of a stage's first seconds would all be timely.
        server, test = attempt.server, self.test
        if test is None or request.judged or attempt.timing_judged or server.info.build > test.key.build:
            return
        settled = attempt.sent_at - server.started_at >= SETTLING_TIME
        # A server that has been silent since is lost or cut off; that tells nothing of its build.
        answers = server.last_response_at > attempt.sent_at
        if settled and answers and now - attempt.sent_at > self._late_after(request, attempt):
            attempt.timing_judged = True
            test.innovations.add_overdue(on_trial=server.info.build == test.key.build)

    def record_dispute(self, build: int) -> None:
        """A client has judged an answer of this build wrong."""
        # A wrong answer counts as a good one when it comes; only a dispute tells, and some of them err.
        self.outcomes.record_dispute(build)
        test = self.tested(build)
        if test and (disputes := self.hypotheses.disputes(test)):
            test.innovations.dispute_evidence += disputes.evidence(True) - disputes.evidence(False)

    def end_round(self, now: Microseconds, test: SequentialTest) -> None:
        """Judge what was mixed in a round, and begin the next one."""
        missed = test.settle(self.schedule.exchanges)
        # Held against a p0 of a moment ago, the onset of a shared slowdown speaks against the trial.
        test.fade_lateness(math.exp(-self.schedule.round_duration / LATE_MEMORY))
        pool, settled = test.effective_agents, test.settled
        outcomes, failures = settled.outcomes * pool, settled.trial_failures * pool
        excused = self.shared_health.outlier_evidence(outcomes, failures, MIN_POOLED_OUTCOMES) / pool
        bands = self.hypotheses.bands(test)
        lateness = self._lateness_score(test, bands[1])
        test.slowdown.add(
            self._calm_evidence(test), bands[1], self.schedule.round_duration / CALM_ROLLBACK_TIME
        )
        if test.key.is_released:
            self._learn_calm_share(test)
        test.update_scores(Scores(settled.failure_score - excused, lateness, settled.dispute_score), bands)
        # A rollback waits until a shared slowdown would be over. To keep a stage costs a good build no more
        # than the slowdown's length, so that what is seen now is enough.
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
        """The score of lateness with a round's evidence, held against the baseline of the same moment."""
        hypothesis, settled = self.hypotheses.lateness(test), test.settled
        if hypothesis is None:
            return settled.lateness_score
        if not self.calm_late_share:  # this agent started in the middle of a trial
            self.calm_late_share = hypothesis.p0
        gain = hypothesis.evidence_of_counts(settled.trial_timed, settled.trial_late)
        max_step = MAX_LATE_STEP * self.schedule.period / EXCHANGE_PERIOD
        return settled.lateness_score + max(gain, band.lower * max_step)

    def _calm_evidence(self, test: SequentialTest) -> float:
        """A round's evidence on the answers of all servers, against the late share of calmer times."""
        # A build that slows all servers alike has nothing of the same moment to be held against.
        if not self.calm_late_share or not test.key.stage:
            return 0.0
        p0 = min(self.calm_late_share, TEST_PARAMETERS.max_p1 - CALM_MARGIN)
        settled = test.settled
        return Hypothesis(p0, CALM_MARGIN).evidence_of_counts(settled.timed, settled.late)

    def _learn_calm_share(self, test: SequentialTest) -> None:
        """Let a round in which no build was on trial tell what is usual."""
        # Not from a trial's first moments: in a large fleet its ten outcomes come within one round, so that
        # these often gave no share at all, and a build that slowed all servers was held against nothing.
        parameters, timed, late = (
            TEST_PARAMETERS,
            test.settled.timed * test.effective_agents,
            test.settled.late * test.effective_agents,
        )
        prior, weight = parameters.prior_late_share, parameters.prior_late_weight
        if not self.calm_late_share:
            if timed >= parameters.min_timed:
                self.calm_late_share = smoothed_share(late, timed, prior=prior, weight=weight)
            return
        share = smoothed_share(late, timed, prior=self.calm_late_share, weight=weight)
        memory = CALM_MEMORY if self._calm_evidence(test) >= 0 else SLOWDOWN_MEMORY
        forgotten = 1 - math.exp(-self.schedule.round_duration / memory)
        self.calm_late_share += forgotten * (share - self.calm_late_share)

    def _verdict(self, now: Microseconds, test: SequentialTest) -> Verdict:
        age, doubtful = now - test.started_at, test.all_servers_slow or test.position < HOLD_POSITION
        if not self.rollout or self.lacks_outcomes or age < self.rollout.min_stage_duration:
            return Verdict.NONE
        if test.position <= -1:
            return Verdict.NONE if self._may_be_single_servers(test) else Verdict.BACK
        if test.key.is_released:
            return Verdict.NONE
        if self.by_votes:  # it waits for no more evidence: a vote stands, and waiting costs delay
            return Verdict.NONE if doubtful else Verdict.ON
        return Verdict.HOLD if doubtful else Verdict.NONE

    def _may_be_single_servers(self, test: SequentialTest) -> bool:
        """Whether the failures of this round may turn out to be those of a few servers alone."""
        # A server that fails by itself is told from the others by its second failure, often a round later.
        return test.failing_rounds == 1 and self.shared_health.few_trial_servers_fail

    def retry_vote(self, now: Microseconds, source: random.Random) -> None:
        """The last vote may not have counted."""
        if self.vote:
            self.vote.renew_at = now + VOTE_RETRY_DELAY + source.randrange(VOTE_RETRY_JITTER)

    def cast_vote(
        self, now: Microseconds, test: SequentialTest, rollout: api.RolloutSettings
    ) -> Iterator[api.Action]:
        """The vote that is due now, if one is."""
        last = self.vote if self.vote and self.vote.key == test.key else None
        standing, verdict = last.verdict if last else Verdict.NONE, test.verdict
        if verdict is standing and last and now < last.renew_at:
            return
        withdraws = standing is Verdict.HOLD or (standing is Verdict.ON and test.all_servers_slow)
        if verdict is Verdict.NONE and not withdraws:
            return
        # All agents see the same score, and the platform turns away what comes at once: take turns.
        place = (self.schedule.agent + crc32(b"%d %d" % test.key)) % self.schedule.agents
        votes_per_second = max(rollout.votes_per_second * VOTE_RATE_SHARE, 1e-3)
        if now < test.decided_at + place * 1e6 / votes_per_second:
            return
        if verdict is not standing and place < LOGGING_AGENTS:
            text = f"vote {verdict.name} build {test.key.build} stage {test.key.stage}"
            share, position = self.calm_late_share, test.slowdown.lasting_position
            calm = f", calm late share {share:.3f} at {position:.2f}" if share else ""
            yield api.WriteLog(f"{text}: {self.hypotheses.describe(test)}{calm}")
        yield api.CastVote(test.key.build, max(test.key.stage, 0), verdict)
        lifetime = max(rollout.vote_lifetime * 3 // 4, rollout.vote_timeout)
        self.vote = PendingVote(verdict, test.key, now + lifetime)
