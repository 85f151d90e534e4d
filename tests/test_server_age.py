"""Estimates of servers' start times if the wall clock of this machine or of the servers is wrong."""

from __future__ import annotations

import pytest

from frostfall import interface as api
from frostfall.policy.server_age import LONG_AGO, MAX_DISCOVERY_DELAY, StartTimeEstimator
from tests.support import SECOND

HOUR = 3600 * SECOND
NOW = 5 * HOUR  # by the agent's clock
COMPLETE, DELTA, CACHED = api.ServerListKind.COMPLETE, api.ServerListKind.DELTA, api.ServerListKind.CACHED


def updated_estimator(*, since: int) -> StartTimeEstimator:
    """An estimator with an update now, and the one before it `since` microseconds ago."""
    estimator = StartTimeEstimator()
    estimator.begin_update(NOW - since, COMPLETE)
    estimator.begin_update(NOW, DELTA)
    return estimator


@pytest.mark.parametrize("age", [0, SECOND, MAX_DISCOVERY_DELAY])
def test_a_plausible_start_is_taken_as_reported(age: int) -> None:
    assert updated_estimator(since=2 * SECOND).estimate(NOW, NOW - age) == NOW - age


@pytest.mark.parametrize("clock_error", [HOUR, -HOUR, -5 * SECOND, 20 * SECOND])
def test_a_server_that_was_not_listed_before_has_just_started_despite_a_wrong_clock(
    clock_error: int,
) -> None:
    assert updated_estimator(since=2 * SECOND).estimate(NOW, NOW - clock_error) == NOW


def test_after_a_long_outage_of_discovery_a_start_within_the_outage_is_taken_as_reported() -> None:
    assert updated_estimator(since=HOUR).estimate(NOW, NOW - HOUR // 2) == NOW - HOUR // 2


@pytest.mark.parametrize("kind", [COMPLETE, CACHED, DELTA])
def test_on_the_first_list_a_start_in_the_far_future_is_ignored_and_one_in_the_past_is_used(
    kind: api.ServerListKind,
) -> None:
    estimator = StartTimeEstimator()
    estimator.begin_update(NOW - SECOND, CACHED)
    estimator.begin_update(NOW, kind)
    assert estimator.estimate(NOW, NOW + HOUR) == LONG_AGO
    # a small clock error: the server may have just started
    assert estimator.estimate(NOW, NOW + SECOND) == NOW
    assert estimator.estimate(NOW, NOW - HOUR) == NOW - HOUR
    assert estimator.estimate(NOW, LONG_AGO) == LONG_AGO
