"""Simulation of rollouts in virtual time for the error rates of `RolloutTest`; deterministic for a seed.

A single `RolloutTest` represents a fleet with perfectly mixing gossip: each round it receives the mean of
the observations of all agents. The platform advances to the next stage when the votes are in favour and the
stage has lasted its minimum time. Servers are not modelled: an answer is late with a probability that depends
on the time, the build and the stage.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field, replace
from enum import Enum

from frostfall import interface as api
from frostfall.interface import RolloutPhase, Verdict
from frostfall.mechanisms.fleet_statistics import FleetStatistics
from frostfall.mechanisms.mixing import ExchangeSchedule
from frostfall.mechanisms.sequential_test import Innovations
from frostfall.mechanisms.server_list import ServerList
from frostfall.model.event_queue import SECOND, Micros
from frostfall.policy.learning import STATISTICS_PARAMETERS, UNREACHABLE_EJECTION
from frostfall.policy.rollout_test import EXCHANGE_PERIOD, RolloutTest
from frostfall.shared_health.server_health import SharedHealth

AGENTS = 200
REQUEST_RATE = 400.0  # requests per second, total of all agents
STAGE_CAPS = (0.08, 0.25, 1.0)  # by stage: share of requests routed to the build under test
STAGE_DURATION: Micros = 3 * SECOND  # minimum duration of a stage
VOTE_DELAY: Micros = 300_000  # from a verdict until enough agents have voted
TIMELY_ANSWER: Micros = 200_000
LATE_ANSWER: Micros = 900_000  # from a request until its answer is counted as late
TIME_BEFORE_OFFER: Micros = 5 * SECOND  # simulated before the build is offered
TIME_AFTER_OFFER: Micros = 30 * SECOND  # an undelayed rollout takes 10 seconds
OLD_BUILD, NEW_BUILD = 1, 2
START: Micros = 1_000 * SECOND


class Fault(Enum):
    """The fault that is simulated in a rollout."""

    NONE = "a good build"
    SHARED_SLOWDOWN = "a good build, and a slowdown of all servers that ends by itself"
    SLOWS_OWN_ANSWERS = "a build whose own answers are late"
    SLOWS_ALL_SERVERS = "a build that makes all answers late from a stage on"
    DEGRADES_AFTER_RELEASE = "a build that makes all answers late some time after its release"


@dataclass(frozen=True, slots=True)
class Scenario:
    """Parameters of one rollout; times are relative to the offer of the build."""

    fault: Fault
    begins: Micros = 0  # start of a slowdown, or time from release to degradation
    duration: Micros = 0  # duration of a slowdown
    first_stage: int = 0  # first stage in which a build slows all servers
    baseline_late_share: float = 0.08
    late_share: float = 0.5  # while the fault has an effect

    @property
    def is_good(self) -> bool:
        """Return whether the build should be released."""
        return self.fault in (Fault.NONE, Fault.SHARED_SLOWDOWN)


@dataclass(slots=True)
class RolloutResult:
    """Result of one rollout; times are relative to the offer of the build."""

    released_at: Micros | None = None
    rolled_back_at: Micros | None = None
    onset_at: Micros | None = None  # first answer that a faulty build affects
    max_cap: float = 0.0


@dataclass(order=True, slots=True)
class _Answer:
    """The answer to one request, as the agents observe it."""

    known_at: Micros
    on_trial: bool = field(compare=False)
    late: bool = field(compare=False)


class SimulatedRollout:
    """One simulated rollout, including the time before the offer."""

    def __init__(self, scenario: Scenario, settings: api.Settings, seed: int) -> None:
        """Create a fleet of `AGENTS` agents with otherwise these settings."""
        self._scenario = scenario
        self._random = random.Random(seed)
        self._now: Micros = START
        self._offered_at = START + TIME_BEFORE_OFFER
        self._schedule = ExchangeSchedule(0, AGENTS, EXCHANGE_PERIOD)
        servers = ServerList(self._random, ejection=UNREACHABLE_EJECTION)
        self._test = RolloutTest(
            replace(settings, agents=AGENTS),
            self._schedule,
            SharedHealth(AGENTS, self._schedule.exchanges),
            FleetStatistics(STATISTICS_PARAMETERS, servers),
        )
        self._answers: list[_Answer] = []
        self._state = api.RolloutState(OLD_BUILD, 0, RolloutPhase.RELEASED, 1.0, 0, api.VoteReply.NONE)
        self._stage_began: Micros = START
        self._result = RolloutResult()

    def run(self) -> RolloutResult:
        """Run until the build is rolled back or the simulated time ends."""
        self._test.update(self._now, self._state)
        end = self._offered_at + TIME_AFTER_OFFER
        while self._now < end and self._result.rolled_back_at is None:
            self._simulate_round()
            self._apply_verdict()
        return self._result

    def _simulate_round(self) -> None:
        duration = self._schedule.round_duration
        end, at = self._now + duration, float(self._now)
        while (at := at + self._random.expovariate(REQUEST_RATE) * SECOND) < end:
            self._serve(int(at))
        self._now = end
        test = self._test.test
        if test is None:
            return
        while self._answers and self._answers[0].known_at <= end:
            self._record(test.innovations, heapq.heappop(self._answers))
        _average_over_agents(test.innovations)
        test.slots = test.exchanges = self._schedule.exchanges
        self._test.end_round(self._now, test)

    def _serve(self, at: Micros) -> None:
        on_trial = self._state.build == NEW_BUILD and self._random.random() < self._state.cap
        late = self._random.random() < self._late_share(at, on_trial)
        delay = LATE_ANSWER if late else TIMELY_ANSWER
        heapq.heappush(self._answers, _Answer(at + delay, on_trial, late))

    def _record(self, innovations: Innovations, answer: _Answer) -> None:
        if self._state.build != NEW_BUILD or answer.on_trial:
            innovations.add_trial(failed=False, late=answer.late)
        else:
            innovations.add_baseline(failed=False, late=answer.late)

    def _late_share(self, at: Micros, on_trial: bool) -> float:
        scenario = self._scenario
        is_affected = {
            Fault.NONE: False,
            Fault.SHARED_SLOWDOWN: 0 <= at - self._offered_at - scenario.begins < scenario.duration,
            Fault.SLOWS_OWN_ANSWERS: on_trial,
            Fault.SLOWS_ALL_SERVERS: self._slows_all_servers(),
            Fault.DEGRADES_AFTER_RELEASE: self._has_degraded(at),
        }[scenario.fault]
        if is_affected and not scenario.is_good and self._result.onset_at is None:
            self._result.onset_at = at - self._offered_at
        return scenario.late_share if is_affected else scenario.baseline_late_share

    def _slows_all_servers(self) -> bool:
        state = self._state
        if state.build != NEW_BUILD:
            return False
        return state.phase is RolloutPhase.RELEASED or state.stage >= self._scenario.first_stage

    def _has_degraded(self, at: Micros) -> bool:
        released_at = self._result.released_at
        return released_at is not None and at - self._offered_at >= released_at + self._scenario.begins

    def _apply_verdict(self) -> None:
        if self._state.build == OLD_BUILD:
            if self._now >= self._offered_at:
                self._set_state(NEW_BUILD, 0, RolloutPhase.TRIAL)
            return
        test = self._test.test
        if test is None or self._now < test.decided_at + VOTE_DELAY:
            return
        if test.verdict is Verdict.BACK:
            self._result.rolled_back_at = self._now - self._offered_at
        elif test.verdict is Verdict.ON and self._now >= self._stage_began + STAGE_DURATION:
            self._advance()

    def _advance(self) -> None:
        if self._state.stage + 1 < len(STAGE_CAPS):
            self._set_state(NEW_BUILD, self._state.stage + 1, RolloutPhase.TRIAL)
        else:
            self._result.released_at = self._now - self._offered_at
            self._set_state(NEW_BUILD, self._state.stage, RolloutPhase.RELEASED)

    def _set_state(self, build: int, stage: int, phase: RolloutPhase) -> None:
        self._stage_began = self._now
        self._state = api.RolloutState(build, stage, phase, STAGE_CAPS[stage], 0, api.VoteReply.NONE)
        self._result.max_cap = STAGE_CAPS[stage]
        self._test.update(self._now, self._state)


def _average_over_agents(innovations: Innovations) -> None:
    """Divide the sums over all agents by their number."""
    for name in Innovations.__dataclass_fields__:
        setattr(innovations, name, getattr(innovations, name) / AGENTS)
