"""Traffic plans: how much traffic each zone sends to each zone, its cost, and bounded steps. No I/O.

`zones.planners` computes the plans.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

FLOW_EPSILON = 1e-9  # requests per second; a smaller flow counts as zero


class RoutingCosts(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The cost of sending a request to another zone, as a fraction of its priority weight."""

    zone: float = 0.02  # to another zone of the region
    region: float = 0.2  # to another region

    def __post_init__(self) -> None:
        """Check the order of the costs. Raises ValueError, whose message begins with the key."""
        if not 0 <= self.zone <= self.region <= 1:
            raise ValueError(f"region: {self.region:g} is not from zone, {self.zone:g}, to 1")


@dataclass(frozen=True, slots=True)
class ZoneCapacity:
    """One zone's input to a plan."""

    name: str
    region: str
    demand: float  # requests per second that its agents receive
    capacity: float  # requests per second that its servers can serve; 0 while the zone is out of service
    priority_weight: float = 1.0  # of one request


class Route(NamedTuple):
    """A source and a target zone of traffic, which may be the same zone."""

    source: str
    target: str


@dataclass(frozen=True, slots=True)
class TrafficPlan:
    """Requests per second that are sent, by route, and that are rejected, by zone."""

    flows: dict[Route, float] = field(default_factory=dict)
    rejected: dict[str, float] = field(default_factory=dict)

    def traffic_split(self, zone: str) -> dict[str, float]:
        """Return the shares of a zone's requests by target; the remainder up to 1 is rejected."""
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
        """Return the requests per second that a zone's agents send."""
        return sum(flow for route, flow in self.flows.items() if route.source == zone)

    def load(self, zone: str) -> float:
        """Return the requests per second that a zone's servers receive."""
        return sum(flow for route, flow in self.flows.items() if route.target == zone)

    def total_cost(self, zones: Sequence[ZoneCapacity], routing_costs: RoutingCosts) -> float:
        """Return the cost per second: routing costs, and the priority weight of rejected requests."""
        by_name = {zone.name: zone for zone in zones}
        routed = sum(
            flow * routing_cost(by_name[route.source], by_name[route.target], routing_costs)
            for route, flow in self.flows.items()
        )
        return routed + sum(flow * by_name[name].priority_weight for name, flow in self.rejected.items())


def routing_cost(source: ZoneCapacity, target: ZoneCapacity, routing_costs: RoutingCosts) -> float:
    """Return the cost of sending one request from a zone to another."""
    if source.name == target.name:
        return 0.0
    fraction = routing_costs.zone if source.region == target.region else routing_costs.region
    return fraction * source.priority_weight


def step_towards(
    old: TrafficPlan, new: TrafficPlan, zones: Sequence[ZoneCapacity], max_growth: float
) -> TrafficPlan:
    """Return a step from one plan towards another that limits the growth of each zone's load.

    `max_growth` is the allowed growth as a fraction of the zone's capacity. One factor applies to all flows,
    so that sent and rejected requests add up to the demand, and a point between two plans within the
    capacities is within them too. Flows of the old plan to a zone without capacity end at once.
    """
    by_name = {zone.name: zone for zone in zones}
    remaining = {route: flow for route, flow in old.flows.items() if by_name[route.target].capacity > 0}
    start = TrafficPlan(remaining, dict(old.rejected))
    factor = _step_factor(start, new, zones, max_growth)
    flows = {
        route: (1 - factor) * start.flows.get(route, 0.0) + factor * new.flows.get(route, 0.0)
        for route in {*start.flows, *new.flows}
    }
    step = TrafficPlan(flows)
    unsent: Mapping[str, float] = {zone.name: zone.demand - step.sent(zone.name) for zone in zones}
    return TrafficPlan(
        {route: flow for route, flow in flows.items() if flow > FLOW_EPSILON},
        {name: rejected for name, rejected in unsent.items() if rejected > FLOW_EPSILON},
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
