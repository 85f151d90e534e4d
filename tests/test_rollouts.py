"""Error rates of the rollout's test, from simulated rollouts in virtual time: few here, hundreds by hand.

Guards against this failure: a build that made the answers of all servers late, including those of the earlier
build, was released in 169 of 300 rollouts if the lateness began with the second stage, and in 299 of 300 if
it began with the last stage. In 167 of 300 rollouts, a build whose lateness began after its release was never
rolled back. The reference share of late answers was learned from the baseline only while the trial had fewer
than ten outcomes. In a fleet of 200 agents ten outcomes arrive within one round, so that mostly no reference
was learned and lateness of all servers was ignored.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from frostfall.model.event_queue import SECOND, Micros
from frostfall.model.rollouts import STAGE_CAPS, Fault, RolloutResult, Scenario, SimulatedRollout
from tests.support import SETTINGS

ROLLOUTS = 25  # for each kind of fault; 300 when run by hand
FULL_DURATION = (len(STAGE_CAPS) * 3 + 2) * SECOND  # of a rollout without delay, including its votes

MakeScenario = Callable[[random.Random], Scenario]


def random_time(source: random.Random, minimum: float, maximum: float) -> Micros:
    return int(source.uniform(minimum, maximum) * SECOND)


def random_scenario(fault: Fault, source: random.Random, **times: Micros) -> Scenario:
    calm, late = source.uniform(0.04, 0.12), source.uniform(0.35, 0.8)
    return Scenario(fault, baseline_late_share=calm, late_share=late, **times)


def simulate(make_scenario: MakeScenario) -> list[tuple[Scenario, RolloutResult]]:
    source = random.Random(make_scenario.__name__)
    scenarios = [make_scenario(source) for _ in range(ROLLOUTS)]
    return [
        (scenario, SimulatedRollout(scenario, SETTINGS, seed).run())
        for seed, scenario in enumerate(scenarios)
    ]


def shared_slowdown(source: random.Random) -> Scenario:
    """Return a slowdown of one to five seconds that starts at any time in any stage or after the release."""
    begins, duration = random_time(source, -2, 16), random_time(source, 1, 5)
    return random_scenario(Fault.SHARED_SLOWDOWN, source, begins=begins, duration=duration)


def test_a_good_build_is_released_without_delay() -> None:
    for _, result in simulate(lambda source: random_scenario(Fault.NONE, source)):
        assert result.rolled_back_at is None
        assert result.released_at is not None
        assert result.released_at < FULL_DURATION


def test_a_shared_slowdown_rolls_no_good_build_back_and_delays_it_by_at_most_its_duration() -> None:
    for scenario, result in simulate(shared_slowdown):
        assert result.rolled_back_at is None
        assert result.released_at is not None
        assert result.released_at < FULL_DURATION + scenario.duration + SECOND


@pytest.mark.parametrize("stage", [0, 1, 2])
def test_a_build_that_slows_all_servers_from_a_stage_on_does_not_advance_further(stage: int) -> None:
    for _, result in simulate(
        lambda source: random_scenario(Fault.SLOWS_ALL_SERVERS, source, first_stage=stage)
    ):
        assert result.released_at is None
        assert result.rolled_back_at is not None
        assert result.max_cap <= STAGE_CAPS[max(stage, 1)]


def test_a_build_that_degrades_after_its_release_is_rolled_back() -> None:
    for _, result in simulate(
        lambda source: random_scenario(Fault.DEGRADES_AFTER_RELEASE, source, begins=random_time(source, 0, 8))
    ):
        assert result.rolled_back_at is not None
        assert result.onset_at is not None
        assert result.rolled_back_at - result.onset_at < 10 * SECOND


def test_a_build_that_slows_its_own_servers_is_not_released() -> None:
    for _, result in simulate(lambda source: random_scenario(Fault.SLOWS_OWN_ANSWERS, source)):
        assert result.released_at is None
        assert result.rolled_back_at is not None
