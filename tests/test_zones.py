"""Zones: fault detection with given error rates, traffic plans, and steps between plans."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from frostfall.zones.fault_detection import (
    AttemptCounts,
    DetectionRates,
    FaultTest,
    ZoneFaultDetector,
    ZonePair,
    ZoneStatus,
)
from frostfall.zones.planners import greedy_plan, optimal_plan, proportional_plan
from frostfall.zones.traffic_plan import Route, RoutingCosts, TrafficPlan, ZoneCapacity, step_towards

ZONES = ("a", "b", "c")
PAIRS = [ZonePair(agents, servers) for agents in ZONES for servers in ZONES]
COSTS = RoutingCosts()


def record_rounds(
    detector: ZoneFaultDetector, count: int, faulty: dict[ZonePair, AttemptCounts], usual: AttemptCounts
) -> None:
    for _ in range(count):
        detector.record_round({pair: faulty.get(pair, usual) for pair in PAIRS})


def test_a_lost_zone_is_distinguished_from_a_partitioned_one() -> None:
    usual, silent = AttemptCounts(20), AttemptCounts(20, silent=18)
    detector = ZoneFaultDetector(DetectionRates())
    record_rounds(detector, 50, {}, usual)
    record_rounds(detector, 3, {ZonePair("a", "c"): silent}, usual)
    assert (
        detector.status("a", "c") is ZoneStatus.PARTITIONED
        and detector.status("b", "c") is ZoneStatus.HEALTHY
    )
    record_rounds(detector, 3, {ZonePair(observer, "c"): silent for observer in ZONES}, usual)
    assert detector.status("a", "c") is detector.status("b", "c") is ZoneStatus.LOST
    assert detector.status("a", "b") is ZoneStatus.HEALTHY
    detector.discard_tests("c")
    record_rounds(detector, 1, {}, usual)
    assert detector.status("a", "c") is ZoneStatus.HEALTHY


def test_a_silent_zone_with_a_single_observer_is_partitioned() -> None:
    detector = ZoneFaultDetector(DetectionRates())
    for _ in range(5):
        detector.record_round(
            {ZonePair("a", "a"): AttemptCounts(20), ZonePair("a", "b"): AttemptCounts(20, silent=20)}
        )
    assert detector.status("a", "b") is ZoneStatus.PARTITIONED


def test_errors_and_lateness_seen_from_all_zones_are_the_zones_fault_and_shared_lateness_is_not() -> None:
    for counts, status in (({"error": 10}, ZoneStatus.FAILING), ({"late": 10}, ZoneStatus.SLOW)):
        detector = ZoneFaultDetector(DetectionRates())
        record_rounds(
            detector,
            6,
            {ZonePair(observer, "c"): AttemptCounts(20, **counts) for observer in ZONES},
            AttemptCounts(20),
        )
        assert detector.status("a", "c") is status and detector.status("a", "b") is ZoneStatus.HEALTHY
        detector = ZoneFaultDetector(DetectionRates())
        record_rounds(detector, 6, {ZonePair("a", "c"): AttemptCounts(20, **counts)}, AttemptCounts(20))
        # Seen from one zone alone, the cause is the path between the zones or the observer itself.
        assert detector.status("a", "c") is ZoneStatus.HEALTHY
    detector = ZoneFaultDetector(DetectionRates())
    record_rounds(detector, 20, {}, AttemptCounts(20, late=12))
    assert all(detector.status("a", zone) is ZoneStatus.HEALTHY for zone in ZONES)


def test_the_configured_rates_of_false_alarms_and_misses_hold() -> None:
    rates, rng = DetectionRates(false_alarm=1e-3, miss=0.05), random.Random(4)

    def count_accepted(share: float, max_outcomes: int) -> int:
        """Return in how many of 2000 runs the fault is accepted."""
        accepted = 0
        for _ in range(2000):
            test = FaultTest(rates)
            for _ in range(max_outcomes):
                is_faulty = rng.random() < share
                if test.record(is_faulty, not is_faulty):
                    accepted += 1
                    break
        return accepted

    # The rate of false alarms applies to each of some 60 returns of the score to its lower bound.
    assert count_accepted(rates.usual_share, 400) <= 2000 * rates.false_alarm * 60
    assert count_accepted(rates.fault_share, 60) >= 2000 * (1 - rates.miss)


def test_a_fault_is_detected_after_few_outcomes_however_long_the_zone_was_healthy() -> None:
    test = FaultTest(DetectionRates())
    for _ in range(100_000):
        test.record(0, 1)
    needed = next(count for count in range(1, 100) if test.record(1, 0))
    assert needed <= 7


@pytest.mark.parametrize(
    ("rates", "field"), [({"fault_share": 0.01}, "fault_share"), ({"miss": 0.0}, "miss")]
)
def test_the_error_for_inconsistent_rates_names_the_field(rates: dict[str, float], field: str) -> None:
    with pytest.raises(ValueError, match=field):
        DetectionRates(**rates)


def assert_feasible(plan: TrafficPlan, zones: list[ZoneCapacity]) -> None:
    """Assert that no load exceeds its capacity, all demand is sent or rejected, and no flow is negative."""
    for zone in zones:
        assert plan.load(zone.name) <= zone.capacity * (1 + 1e-6) + 1e-6
        sent = sum(flow for route, flow in plan.flows.items() if route.source == zone.name)
        assert sent + plan.rejected.get(zone.name, 0.0) == pytest.approx(zone.demand, abs=1e-5)
    assert all(flow >= -1e-9 for flow in (*plan.flows.values(), *plan.rejected.values()))


@st.composite
def fleets(draw: st.DrawFn) -> list[ZoneCapacity]:
    count = draw(st.integers(1, 8))
    amount = st.floats(0, 100).map(lambda value: round(value, 2))
    return [
        ZoneCapacity(
            f"z{number}",
            f"r{draw(st.integers(0, 2))}",
            draw(amount),
            draw(amount),
            draw(st.sampled_from([0.5, 1.0, 3.0])),
        )
        for number in range(count)
    ]


@settings(max_examples=60, deadline=None)
@given(fleets())
def test_the_optimal_plan_is_the_cheapest_and_all_plans_are_feasible(
    zones: list[ZoneCapacity],
) -> None:
    optimal = optimal_plan(zones, COSTS)
    for plan in (optimal, greedy_plan(zones, COSTS), proportional_plan(zones, COSTS)):
        assert_feasible(plan, zones)
        assert optimal.total_cost(zones, COSTS) <= plan.total_cost(zones, COSTS) + 1e-5


def test_traffic_stays_local_and_excess_is_rejected_by_priority_weight() -> None:
    zones = [ZoneCapacity("a", "r", 60, 100), ZoneCapacity("b", "r", 60, 100)]
    assert optimal_plan(zones, COSTS).traffic_split("a") == {"a": 1.0}
    zones = [
        ZoneCapacity("a", "r", 60, 0),
        ZoneCapacity("b", "r", 60, 100),
        ZoneCapacity("c", "s", 10, 15, 2.0),
    ]
    plan = optimal_plan(zones, COSTS)
    assert plan.load("b") == pytest.approx(100) and plan.rejected.get("c", 0) == 0
    assert plan.flows[Route("a", "c")] == pytest.approx(5) and plan.rejected["a"] == pytest.approx(15)
    assert sum(plan.traffic_split("a").values()) == pytest.approx(0.75)
    assert TrafficPlan().traffic_split("a") == {}


@settings(max_examples=40, deadline=None)
@given(fleets(), st.lists(st.floats(0, 100), min_size=8, max_size=8))
def test_steps_lead_from_one_plan_to_another_without_exceeding_capacities(
    zones: list[ZoneCapacity], capacities: list[float]
) -> None:
    old = optimal_plan(
        [
            ZoneCapacity(zone.name, zone.region, zone.demand, capacity, zone.priority_weight)
            for zone, capacity in zip(zones, capacities)
        ],
        COSTS,
    )
    new, plan = optimal_plan(zones, COSTS), old
    for _ in range(200):
        before, plan = plan, step_towards(plan, new, zones, 0.1)
        assert_feasible(
            TrafficPlan({key: flow for key, flow in plan.flows.items()}, plan.rejected),
            [
                ZoneCapacity(
                    zone.name,
                    zone.region,
                    zone.demand,
                    max(zone.capacity, before.load(zone.name)),
                    zone.priority_weight,
                )
                for zone in zones
            ],
        )
        for zone in zones:
            assert plan.load(zone.name) <= max(before.load(zone.name), new.load(zone.name)) + 1e-6
            assert plan.load(zone.name) - before.load(zone.name) <= 0.1 * zone.capacity + 1e-6
    for zone in zones:
        assert plan.load(zone.name) == pytest.approx(new.load(zone.name), abs=1e-3)
