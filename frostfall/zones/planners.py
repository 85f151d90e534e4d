"""Ways to make a traffic plan. No I/O.

A transportation problem: each zone's demand goes to zones that serve, at a cost by distance, within their
capacity; what exceeds all capacity is rejected where its priority weight is least. `optimal_plan` solves it
exactly by linear programming (HiGHS by scipy's `linprog`; Huangfu and Hall, 2018). `greedy_plan` and
`proportional_plan` are simple ways to compare it with.
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
    """The solver has found no plan, although rejecting everything always is one."""


def optimal_plan(zones: Sequence[ZoneCapacity], routing_costs: RoutingCosts) -> TrafficPlan:
    """The cheapest plan. Raises PlanningError where the solver finds none."""
    # Imported here, as nothing else of the program needs scipy.
    from scipy.optimize import linprog
    from scipy.sparse import coo_array

    # One variable for each possible pair of source and target, and one for each zone's rejections.
    pairs = _possible_pairs(zones)
    variables = len(pairs) + len(zones)
    shape = (len(zones), variables)
    costs = [routing_cost(zones[source], zones[target], routing_costs) for source, target in pairs]
    costs += [zone.priority_weight for zone in zones]
    sources = [pair.source for pair in pairs]
    targets = [pair.target for pair in pairs]
    # Of each zone's demand, all is sent or rejected; to each zone, no more is sent than its capacity.
    sent_or_rejected = coo_array(
        ([1.0] * variables, (sources + list(range(len(zones))), range(variables))), shape=shape
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
        raise PlanningError(f"no plan: {result.message}")
    solution = [float(value) for value in result.x]
    routes = [Route(zones[source].name, zones[target].name) for source, target in pairs]
    return TrafficPlan(
        {route: flow for route, flow in zip(routes, solution) if flow > FLOW_EPSILON},
        {zone.name: rest for zone, rest in zip(zones, solution[len(pairs) :]) if rest > FLOW_EPSILON},
    )


class _Pair(NamedTuple):
    source: int  # index of a zone with demand
    target: int  # index of a zone with capacity


def _possible_pairs(zones: Sequence[ZoneCapacity]) -> list[_Pair]:
    return [
        _Pair(source, target)
        for source in range(len(zones))
        for target in range(len(zones))
        if zones[source].demand > 0 and zones[target].capacity > 0
    ]


def greedy_plan(zones: Sequence[ZoneCapacity], routing_costs: RoutingCosts) -> TrafficPlan:
    """Each zone in turn takes the nearest capacity that is left."""
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
    """Own zones first, then the excess in proportion to the spare capacity, own regions first."""
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
    plan.rejected.update({name: rest for name, rest in excess.items() if rest > FLOW_EPSILON})
    return plan


def _distribute(
    plan: TrafficPlan,
    sources: Sequence[str],
    targets: Sequence[str],
    excess: dict[str, float],
    spare: dict[str, float],
) -> None:
    """Send the sources' excess to the targets in proportion to their spare capacity; updates all three."""
    wanted = sum(excess[name] for name in sources)
    capacity = sum(spare[name] for name in targets)
    if wanted <= FLOW_EPSILON or capacity <= FLOW_EPSILON:
        return
    part = min(1.0, capacity / wanted)
    for source in sources:
        moved = excess[source] * part
        for target in targets:
            route = Route(source, target)
            plan.flows[route] = plan.flows.get(route, 0.0) + moved * spare[target] / capacity
    for target in targets:
        spare[target] -= min(wanted, capacity) * spare[target] / capacity
    for source in sources:
        excess[source] *= 1 - part
