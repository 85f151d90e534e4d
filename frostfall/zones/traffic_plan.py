"""Who sends how much where: a plan of shares by zone, as near as possible within what each zone can bear.

No I/O. A transportation problem: each zone's demand goes to zones that serve, at a price by distance, within
their room; what has no room is refused where it is worth least. Solved exactly by linear programming (HiGHS
by scipy's `linprog`; Huangfu and Hall, 2018). `nearest` and `filled` are plain ways to measure it against.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

FLOW_EPSILON = 1e-9


class RoutingCosts(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What it costs to send one request away, of what its answer is worth."""

    zone: float = 0.02  # to another zone of the region
    region: float = 0.2  # to another region

    def __post_init__(self) -> None:
        """Check the order."""
        if not 0 <= self.zone <= self.region <= 1:
            raise ValueError(f"region: {self.region:g} is not from zone, {self.zone:g}, to 1")


@dataclass(frozen=True, slots=True)
class ZoneCapacity:
    """One zone as a plan sees it."""

    name: str
    region: str
    demand: float  # requests a second that come to its agents
    capacity: float  # requests a second that its servers bear; 0 while it is out
    priority_weight: float = 1.0  # of one of its requests


@dataclass(frozen=True, slots=True)
class TrafficPlan:
    """Requests a second from each zone to each, and what is refused."""

    flows: dict[tuple[str, str], float] = field(default_factory=dict)
    rejected: dict[str, float] = field(default_factory=dict)

    def traffic_split(self, zone: str) -> dict[str, float]:
        """What part of a zone's requests goes where; what is left of 1 is refused."""
        total = self.rejected.get(zone, 0.0) + sum(
            flow for (one, _), flow in self.flows.items() if one == zone
        )
        return (
            {
                other: flow / total
                for (one, other), flow in sorted(self.flows.items())
                if one == zone and flow > FLOW_EPSILON * max(total, 1.0)
            }
            if total
            else {}
        )

    def load(self, zone: str) -> float:
        """Requests a second that a zone gets."""
        return sum(flow for (_, other), flow in self.flows.items() if other == zone)

    def total_cost(self, zones: Sequence[ZoneCapacity], routing_costs: RoutingCosts) -> float:
        """What the plan costs a second: ways, and the worth of what is refused."""
        known = {zone.name: zone for zone in zones}
        ways = sum(
            flow * routing_cost(known[one], known[other], routing_costs)
            for (one, other), flow in self.flows.items()
        )
        return ways + sum(flow * known[name].priority_weight for name, flow in self.rejected.items())


def routing_cost(source: ZoneCapacity, target: ZoneCapacity, routing_costs: RoutingCosts) -> float:
    """What a request costs on its way."""
    if source.name == target.name:
        return 0.0
    return (
        routing_costs.zone if source.region == target.region else routing_costs.region
    ) * source.priority_weight


def optimal_plan(zones: Sequence[ZoneCapacity], routing_costs: RoutingCosts) -> TrafficPlan:
    """The cheapest plan; RuntimeError where the solver finds none, which refusing all always is."""
    from scipy.optimize import linprog
    from scipy.sparse import coo_array

    ways = [
        (row, column)
        for row, one in enumerate(zones)
        for column, other in enumerate(zones)
        if one.demand > 0 and other.capacity > 0
    ]
    costs = [routing_cost(zones[row], zones[column], routing_costs) for row, column in ways]
    costs += [zone.priority_weight for zone in zones]
    numbers = range(len(ways))
    equal = coo_array(
        (
            [1.0] * (len(ways) + len(zones)),
            ([row for row, _ in ways] + list(range(len(zones))), range(len(ways) + len(zones))),
        ),
        shape=(len(zones), len(ways) + len(zones)),
    )
    most = coo_array(
        ([1.0] * len(ways), ([column for _, column in ways], numbers)),
        shape=(len(zones), len(ways) + len(zones)),
    )
    found = linprog(
        costs,
        A_ub=most,
        b_ub=[zone.capacity for zone in zones],
        A_eq=equal,
        b_eq=[zone.demand for zone in zones],
        method="highs",
    )
    if not found.success:
        raise RuntimeError(f"no plan: {found.message}")
    flows = {
        (zones[row].name, zones[column].name): float(found.x[number])
        for number, (row, column) in enumerate(ways)
        if found.x[number] > FLOW_EPSILON
    }
    refused = {
        zone.name: float(found.x[len(ways) + row])
        for row, zone in enumerate(zones)
        if found.x[len(ways) + row] > FLOW_EPSILON
    }
    return TrafficPlan(flows, refused)


def greedy_plan(zones: Sequence[ZoneCapacity], routing_costs: RoutingCosts) -> TrafficPlan:
    """Each zone in turn takes the nearest room that is left: the plain way."""
    left = {zone.name: zone.capacity for zone in zones}
    plan = TrafficPlan()
    for zone in zones:
        rest = zone.demand
        for other in sorted(zones, key=lambda each: (routing_cost(zone, each, routing_costs), each.name)):
            if (flow := min(rest, left[other.name])) > FLOW_EPSILON:
                plan.flows[zone.name, other.name] = flow
                left[other.name] -= flow
                rest -= flow
        if rest > FLOW_EPSILON:
            plan.rejected[zone.name] = rest
    return plan


def proportional_plan(zones: Sequence[ZoneCapacity], routing_costs: RoutingCosts) -> TrafficPlan:
    """Own zones first, then what is over is poured evenly over the room that is left, own regions first."""
    left = {zone.name: zone.capacity - min(zone.capacity, zone.demand) for zone in zones}
    over = {zone.name: zone.demand - min(zone.capacity, zone.demand) for zone in zones}
    plan = TrafficPlan(
        {
            (zone.name, zone.name): min(zone.capacity, zone.demand)
            for zone in zones
            if min(zone.capacity, zone.demand) > FLOW_EPSILON
        }
    )
    for inside in (True, False):
        for region in sorted({zone.region for zone in zones}):
            givers = [zone for zone in zones if zone.region == region and over[zone.name] > FLOW_EPSILON]
            takers = [
                zone for zone in zones if (zone.region == region) == inside and left[zone.name] > FLOW_EPSILON
            ]
            wanted, room = sum(over[zone.name] for zone in givers), sum(left[zone.name] for zone in takers)
            if wanted <= FLOW_EPSILON or room <= FLOW_EPSILON:
                continue
            part = min(1.0, room / wanted)
            for giver in givers:
                moved = over[giver.name] * part
                for taker in takers:
                    flow = moved * left[taker.name] / room
                    key = giver.name, taker.name
                    plan.flows[key] = plan.flows.get(key, 0.0) + flow
            for taker in takers:
                left[taker.name] -= min(wanted, room) * left[taker.name] / room
            for giver in givers:
                over[giver.name] *= 1 - part
    plan.rejected.update({name: rest for name, rest in over.items() if rest > FLOW_EPSILON})
    return plan


def step_towards(
    old: TrafficPlan, new: TrafficPlan, zones: Sequence[ZoneCapacity], max_growth: float
) -> TrafficPlan:
    """From one plan towards another, no zone's load growing by more than `step` of its room at once.

    One factor for all flows, so that what is sent stays what is asked: a part of the way between two plans
    that keep to the room keeps to it too. A zone of the old plan that has no room any more is left at once.
    """
    known = {zone.name: zone for zone in zones}
    start = TrafficPlan(
        {key: flow for key, flow in old.flows.items() if known[key[1]].capacity > 0}, dict(old.rejected)
    )
    part = 1.0
    for zone in zones:
        if (growth := new.load(zone.name) - start.load(zone.name)) > max_growth * zone.capacity > 0:
            part = min(part, max_growth * zone.capacity / growth)
    keys = {*start.flows, *new.flows}
    flows = {key: (1 - part) * start.flows.get(key, 0.0) + part * new.flows.get(key, 0.0) for key in keys}
    sent: Mapping[str, float] = {
        zone.name: sum(flow for (one, _), flow in flows.items() if one == zone.name) for zone in zones
    }
    refused = {
        zone.name: zone.demand - sent[zone.name]
        for zone in zones
        if zone.demand - sent[zone.name] > FLOW_EPSILON
    }
    return TrafficPlan({key: flow for key, flow in flows.items() if flow > FLOW_EPSILON}, refused)
