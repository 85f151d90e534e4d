"""Algorithms that compute a traffic plan. No I/O.

This is a transportation problem: each zone's demand is sent to zones with capacity, at a cost by distance and
within their capacity. Demand above the total capacity is rejected where its priority weight is lowest.
`optimal_plan` solves the problem exactly by linear programming (HiGHS in scipy's `linprog`; Huangfu and Hall,
2018). `greedy_plan` and `proportional_plan` are simple heuristics for comparison.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from frostfall.zones.traffic_plan import (
    FLOW_EPSILON,
    Route,
    RoutingCosts,
    TrafficPlan,
    ZoneCapacity,
    routing_cost,
)


class PlanningError(RuntimeError):
    """The solver has found no plan, although rejecting all requests is always feasible."""


def optimal_plan(zones: Sequence[ZoneCapacity], routing_costs: RoutingCosts) -> TrafficPlan:
    """Return the plan with the lowest total cost. Raises PlanningError if the solver finds none."""
    # A local import, because nothing else in the program needs scipy.
    from scipy.optimize import linprog
    from scipy.sparse import coo_array

    # One variable for each possible pair of source and target, and one for each zone's rejected requests.
    pairs = _possible_pairs(zones)
    variable_count = len(pairs) + len(zones)
    shape = (len(zones), variable_count)
    costs = [routing_cost(zones[source], zones[target], routing_costs) for source, target in pairs]
    costs += [zone.priority_weight for zone in zones]
    sources = [pair.source for pair in pairs]
    targets = [pair.target for pair in pairs]
    # All of a zone's demand is sent or rejected, and no zone receives more than its capacity.
    sent_or_rejected = coo_array(
        ([1.0] * variable_count, (sources + list(range(len(zones))), range(variable_count))), shape=shape
    )
    received = coo_array(([1.0] * len(pairs), (targets, range(len(pairs)))), shape=shape)
    result = linprog(
        costs,
        A_ub=received,
        b_ub=[zone.capacity for zone in zones],
        A_eq=sent_or_rejected,
        b_eq=[zone.demand for zone in zones],
        method="highs",
    )
    if not result.success:
        raise PlanningError(f"the solver found no traffic plan: {result.message}")
    solution = [float(value) for value in result.x]
    routes = [Route(zones[source].name, zones[target].name) for source, target in pairs]
    return TrafficPlan(
        {route: flow for route, flow in zip(routes, solution) if flow > FLOW_EPSILON},
        {
            zone.name: rejected
            for zone, rejected in zip(zones, solution[len(pairs) :])
            if rejected > FLOW_EPSILON
        },
    )


class _IndexPair(NamedTuple):
    source: int  # index of a zone with demand
    target: int  # index of a zone with capacity


def _possible_pairs(zones: Sequence[ZoneCapacity]) -> list[_IndexPair]:
    return [
        _IndexPair(source, target)
        for source in range(len(zones))
        for target in range(len(zones))
        if zones[source].demand > 0 and zones[target].capacity > 0
    ]


def greedy_plan(zones: Sequence[ZoneCapacity], routing_costs: RoutingCosts) -> TrafficPlan:
    """Return a plan in which each zone, one after the other, takes the nearest capacity still free."""
    spare = {zone.name: zone.capacity for zone in zones}
    plan = TrafficPlan()
    for zone in zones:
        unsent = zone.demand
        for target in sorted(
            zones, key=lambda target: (routing_cost(zone, target, routing_costs), target.name)
        ):
            if (flow := min(unsent, spare[target.name])) > FLOW_EPSILON:
                plan.flows[Route(zone.name, target.name)] = flow
                spare[target.name] -= flow
                unsent -= flow
        if unsent > FLOW_EPSILON:
            plan.rejected[zone.name] = unsent
    return plan


def proportional_plan(zones: Sequence[ZoneCapacity], routing_costs: RoutingCosts) -> TrafficPlan:
    """Return a plan that serves demand in its own zone and distributes the excess.

    The excess goes to zones in proportion to their spare capacity, first within the region, then outside it.
    """
    local = {zone.name: min(zone.capacity, zone.demand) for zone in zones}
    spare = {zone.name: zone.capacity - local[zone.name] for zone in zones}
    excess = {zone.name: zone.demand - local[zone.name] for zone in zones}
    plan = TrafficPlan({Route(name, name): flow for name, flow in local.items() if flow > FLOW_EPSILON})
    for same_region in (True, False):
        for region in sorted({zone.region for zone in zones}):
            sources = [
                zone.name for zone in zones if zone.region == region and excess[zone.name] > FLOW_EPSILON
            ]
            targets = [
                zone.name
                for zone in zones
                if (zone.region == region) == same_region and spare[zone.name] > FLOW_EPSILON
            ]
            _distribute(plan, sources, targets, excess, spare)
    plan.rejected.update({name: unsent for name, unsent in excess.items() if unsent > FLOW_EPSILON})
    return plan


def _distribute(
    plan: TrafficPlan,
    sources: Sequence[str],
    targets: Sequence[str],
    excess: dict[str, float],
    spare: dict[str, float],
) -> None:
    """Send the sources' excess to the targets in proportion to their spare capacity.

    Updates `plan`, `excess` and `spare`.
    """
    total_excess = sum(excess[name] for name in sources)
    capacity = sum(spare[name] for name in targets)
    if total_excess <= FLOW_EPSILON or capacity <= FLOW_EPSILON:
        return
    moved_share = min(1.0, capacity / total_excess)
    for source in sources:
        moved = excess[source] * moved_share
        for target in targets:
            route = Route(source, target)
            plan.flows[route] = plan.flows.get(route, 0.0) + moved * spare[target] / capacity
    for target in targets:
        spare[target] -= min(total_excess, capacity) * spare[target] / capacity
    for source in sources:
        excess[source] *= 1 - moved_share
