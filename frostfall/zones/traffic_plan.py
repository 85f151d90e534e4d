"""A plan of which zone sends how much traffic where, its cost, and bounded steps between plans. No I/O.

How a plan is made: `zones.planners`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

FLOW_EPSILON = 1e-9  # requests a second; a smaller flow counts as none


class RoutingCosts(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The cost of sending a request elsewhere, as a part of its priority weight."""

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
    capacity: float  # requests a second that its servers can serve; 0 while it is out
    priority_weight: float = 1.0  # of one of its requests


class Route(NamedTuple):
    """A direction of traffic between two zones, or within one."""

    source: str
    target: str


@dataclass(frozen=True, slots=True)
class TrafficPlan:
    """Requests a second by route, and those that are rejected by zone."""

    flows: dict[Route, float] = field(default_factory=dict)
    rejected: dict[str, float] = field(default_factory=dict)

    def traffic_split(self, zone: str) -> dict[str, float]:
        """The shares of a zone's requests by target; the rest to 1 is rejected."""
        total = self.rejected.get(zone, 0.0) + self.sent(zone)
        if not total:
            return {}
        min_flow = FLOW_EPSILON * max(total, 1.0)
        return {
            route.target: flow / total
            for route, flow in sorted(self.flows.items())
            if route.source == zone and flow > min_flow
        }

    def sent(self, zone: str) -> float:
        """Requests a second that a zone's agents send."""
        return sum(flow for route, flow in self.flows.items() if route.source == zone)

    def load(self, zone: str) -> float:
        """Requests a second that a zone's servers get."""
        return sum(flow for route, flow in self.flows.items() if route.target == zone)

    def total_cost(self, zones: Sequence[ZoneCapacity], routing_costs: RoutingCosts) -> float:
        """The cost a second: of routes, and the priority weight of what is rejected."""
        by_name = {zone.name: zone for zone in zones}
        routed = sum(
            flow * routing_cost(by_name[route.source], by_name[route.target], routing_costs)
            for route, flow in self.flows.items()
        )
        return routed + sum(flow * by_name[name].priority_weight for name, flow in self.rejected.items())


def routing_cost(source: ZoneCapacity, target: ZoneCapacity, routing_costs: RoutingCosts) -> float:
    """The cost of sending one request from a zone to another."""
    if source.name == target.name:
        return 0.0
    part = routing_costs.zone if source.region == target.region else routing_costs.region
    return part * source.priority_weight


def step_towards(
    old: TrafficPlan, new: TrafficPlan, zones: Sequence[ZoneCapacity], max_growth: float
) -> TrafficPlan:
    """A step from one plan to another, in which no zone's load grows by more than a part of its capacity.

    One factor applies to all flows, so that what is sent adds up to the demand: a point between two plans
    within the capacities is within them too. A zone of the old plan without capacity is left at once.
    """
    by_name = {zone.name: zone for zone in zones}
    kept = {route: flow for route, flow in old.flows.items() if by_name[route.target].capacity > 0}
    start = TrafficPlan(kept, dict(old.rejected))
    factor = _step_factor(start, new, zones, max_growth)
    flows = {
        route: (1 - factor) * start.flows.get(route, 0.0) + factor * new.flows.get(route, 0.0)
        for route in {*start.flows, *new.flows}
    }
    step = TrafficPlan(flows)
    unsent: Mapping[str, float] = {zone.name: zone.demand - step.sent(zone.name) for zone in zones}
    return TrafficPlan(
        {route: flow for route, flow in flows.items() if flow > FLOW_EPSILON},
        {name: rest for name, rest in unsent.items() if rest > FLOW_EPSILON},
    )


def _step_factor(
    start: TrafficPlan, new: TrafficPlan, zones: Sequence[ZoneCapacity], max_growth: float
) -> float:
    factor = 1.0
    for zone in zones:
        allowed = max_growth * zone.capacity
        growth = new.load(zone.name) - start.load(zone.name)
        if growth > allowed > 0:
            factor = min(factor, allowed / growth)
    return factor
