"""Zones: evidence with its stated error rates, plans against the plain ways, and steps between plans."""

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
    ZoneStatus,
)
from frostfall.zones.traffic_plan import (
    RoutingCosts,
    TrafficPlan,
    ZoneCapacity,
    greedy_plan,
    optimal_plan,
    proportional_plan,
    step_towards,
)

ZONES = ("a", "b", "c")
PRICES = RoutingCosts()


def rounds(
    evidence: ZoneFaultDetector, count: int, bad: dict[tuple[str, str], AttemptCounts], usual: AttemptCounts
) -> None:
    for _ in range(count):
        evidence.record_round(
            {(one, other): bad.get((one, other), usual) for one in ZONES for other in ZONES}
        )


def test_a_lost_zone_is_told_from_one_that_is_cut_off_from_here() -> None:
    usual, silent = AttemptCounts(20), AttemptCounts(20, silent=18)
    evidence = ZoneFaultDetector(DetectionRates())
    rounds(evidence, 50, {}, usual)
    rounds(evidence, 3, {("a", "c"): silent}, usual)
    assert (
        evidence.status("a", "c") is ZoneStatus.PARTITIONED
        and evidence.status("b", "c") is ZoneStatus.HEALTHY
    )
    rounds(evidence, 3, {(one, "c"): silent for one in ZONES}, usual)
    assert evidence.status("a", "c") is evidence.status("b", "c") is ZoneStatus.LOST
    assert evidence.status("a", "b") is ZoneStatus.HEALTHY
    evidence.forget("c")
    rounds(evidence, 1, {}, usual)
    assert evidence.status("a", "c") is ZoneStatus.HEALTHY


def test_one_who_alone_sees_a_zone_silent_takes_itself_for_cut_off() -> None:
    evidence = ZoneFaultDetector(DetectionRates())
    for _ in range(5):
        evidence.record_round({("a", "a"): AttemptCounts(20), ("a", "b"): AttemptCounts(20, silent=20)})
    assert evidence.status("a", "b") is ZoneStatus.PARTITIONED


def test_errors_and_lateness_seen_from_everywhere_are_the_zones_and_an_overload_is_nobodys() -> None:
    for kind, finding in (({"error": 10}, ZoneStatus.FAILING), ({"late": 10}, ZoneStatus.SLOW)):
        evidence = ZoneFaultDetector(DetectionRates())
        rounds(evidence, 6, {(one, "c"): AttemptCounts(20, **kind) for one in ZONES}, AttemptCounts(20))
        assert evidence.status("a", "c") is finding and evidence.status("a", "b") is ZoneStatus.HEALTHY
        evidence = ZoneFaultDetector(DetectionRates())
        rounds(evidence, 6, {("a", "c"): AttemptCounts(20, **kind)}, AttemptCounts(20))
        assert evidence.status("a", "c") is ZoneStatus.HEALTHY  # only from here: the way, or the agent itself
    evidence = ZoneFaultDetector(DetectionRates())
    rounds(evidence, 20, {}, AttemptCounts(20, late=12))
    assert all(evidence.status("a", zone) is ZoneStatus.HEALTHY for zone in ZONES)


def test_the_stated_rates_of_false_alarm_and_miss_hold() -> None:
    rates, rng = DetectionRates(false_alarm=1e-3, miss=0.05), random.Random(4)

    def runs(share: float, most: int) -> int:
        raised = 0
        for _ in range(2000):
            test = FaultTest(rates)
            for _ in range(most):
                bad = rng.random() < share
                if test.record(bad, not bad):
                    raised += 1
                    break
        return raised

    assert runs(rates.usual, 400) <= 2000 * rates.false_alarm * 60  # each of some sixty returns may fail
    assert runs(rates.trouble, 60) >= 2000 * (1 - rates.miss)


def test_it_takes_few_outcomes_however_long_all_was_well() -> None:
    test = FaultTest(DetectionRates())
    for _ in range(100_000):
        test.record(0, 1)
    needed = next(count for count in range(1, 100) if test.record(1, 0))
    assert needed <= 7


@pytest.mark.parametrize(("more", "part"), [({"trouble": 0.01}, "trouble"), ({"miss": 0.0}, "miss")])
def test_rates_that_do_not_go_together_name_the_key(more: dict[str, float], part: str) -> None:
    with pytest.raises(ValueError, match=part):
        DetectionRates(**more)


# ---- plans ----------------------------------------------------------------------------------------------


def keeps(plan: TrafficPlan, zones: list[ZoneCapacity]) -> None:
    """Nothing over the room, all demand sent or refused, nothing below nought."""
    for zone in zones:
        assert plan.load(zone.name) <= zone.capacity * (1 + 1e-6) + 1e-6
        sent = sum(flow for (one, _), flow in plan.flows.items() if one == zone.name)
        assert sent + plan.rejected.get(zone.name, 0.0) == pytest.approx(zone.demand, abs=1e-5)
    assert all(flow >= -1e-9 for flow in (*plan.flows.values(), *plan.rejected.values()))


@st.composite
def fleets(draw: st.DrawFn) -> list[ZoneCapacity]:
    count = draw(st.integers(1, 8))
    amount = st.floats(0, 100).map(lambda value: round(value, 2))
    return [
        ZoneCapacity(
            f"z{place}",
            f"r{draw(st.integers(0, 2))}",
            draw(amount),
            draw(amount),
            draw(st.sampled_from([0.5, 1.0, 3.0])),
        )
        for place in range(count)
    ]


@settings(max_examples=60, deadline=None)
@given(fleets())
def test_the_plan_is_the_cheapest_and_all_ways_keep_to_the_room(zones: list[ZoneCapacity]) -> None:
    best = optimal_plan(zones, PRICES)
    for plan in (best, greedy_plan(zones, PRICES), proportional_plan(zones, PRICES)):
        keeps(plan, zones)
        assert best.total_cost(zones, PRICES) <= plan.total_cost(zones, PRICES) + 1e-5


def test_what_is_near_stays_and_what_has_no_room_is_refused_by_worth() -> None:
    zones = [ZoneCapacity("a", "r", 60, 100), ZoneCapacity("b", "r", 60, 100)]
    assert optimal_plan(zones, PRICES).traffic_split("a") == {"a": 1.0}
    zones = [
        ZoneCapacity("a", "r", 60, 0),
        ZoneCapacity("b", "r", 60, 100),
        ZoneCapacity("c", "s", 10, 15, 2.0),
    ]
    plan = optimal_plan(zones, PRICES)
    assert plan.load("b") == pytest.approx(100) and plan.rejected.get("c", 0) == 0
    assert plan.flows["a", "c"] == pytest.approx(5) and plan.rejected["a"] == pytest.approx(15)
    assert sum(plan.traffic_split("a").values()) == pytest.approx(0.75)
    assert TrafficPlan().traffic_split("a") == {}


@settings(max_examples=40, deadline=None)
@given(fleets(), st.lists(st.floats(0, 100), min_size=8, max_size=8))
def test_steps_lead_from_one_plan_to_another_and_never_over_the_room(
    zones: list[ZoneCapacity], rooms: list[float]
) -> None:
    old = optimal_plan(
        [
            ZoneCapacity(zone.name, zone.region, zone.demand, room, zone.priority_weight)
            for zone, room in zip(zones, rooms)
        ],
        PRICES,
    )
    new, plan = optimal_plan(zones, PRICES), old
    for _ in range(200):
        before, plan = plan, step_towards(plan, new, zones, 0.1)
        keeps(
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
