"""Who sends how much where: a plan of shares by zone, as near as possible within what each zone can bear.

No I/O. A transportation problem: each zone's demand goes to zones that serve, at a price by distance, within
their room; what has no room is refused where it is worth least. Solved exactly by linear programming (HiGHS
by scipy's `linprog`; Huangfu and Hall, 2018). `nearest` and `filled` are plain ways to measure it against.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

TINY = 1e-9


class Prices(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What it costs to send one request away, of what its answer is worth."""

    zone: float = 0.02  # to another zone of the region
    region: float = 0.2  # to another region

    def __post_init__(self) -> None:
        """Check the order."""
        if not 0 <= self.zone <= self.region <= 1:
            raise ValueError(f"region: {self.region:g} is not from zone, {self.zone:g}, to 1")


@dataclass(frozen=True, slots=True)
class Zone:
    """One zone as a plan sees it."""

    name: str
    region: str
    demand: float  # requests a second that come to its agents
    room: float  # requests a second that its servers bear; 0 while it is out
    worth: float = 1.0  # of one of its requests


@dataclass(frozen=True, slots=True)
class Plan:
    """Requests a second from each zone to each, and what is refused."""

    flows: dict[tuple[str, str], float] = field(default_factory=dict)
    refused: dict[str, float] = field(default_factory=dict)

    def shares(self, zone: str) -> dict[str, float]:
        """What part of a zone's requests goes where; what is left of 1 is refused."""
        total = self.refused.get(zone, 0.0) + sum(
            flow for (one, _), flow in self.flows.items() if one == zone
        )
        return (
            {
                other: flow / total
                for (one, other), flow in sorted(self.flows.items())
                if one == zone and flow > TINY * max(total, 1.0)
            }
            if total
            else {}
        )

    def load(self, zone: str) -> float:
        """Requests a second that a zone gets."""
        return sum(flow for (_, other), flow in self.flows.items() if other == zone)

    def cost(self, zones: Sequence[Zone], prices: Prices) -> float:
        """What the plan costs a second: ways, and the worth of what is refused."""
        known = {zone.name: zone for zone in zones}
        ways = sum(
            flow * price(known[one], known[other], prices) for (one, other), flow in self.flows.items()
        )
        return ways + sum(flow * known[name].worth for name, flow in self.refused.items())


def price(one: Zone, other: Zone, prices: Prices) -> float:
    """What a request costs on its way."""
    if one.name == other.name:
        return 0.0
    return (prices.zone if one.region == other.region else prices.region) * one.worth


def solved(zones: Sequence[Zone], prices: Prices) -> Plan:
    """The cheapest plan; RuntimeError where the solver finds none, which refusing all always is."""
    from scipy.optimize import linprog
    from scipy.sparse import coo_array

    ways = [
        (row, column)
        for row, one in enumerate(zones)
        for column, other in enumerate(zones)
        if one.demand > 0 and other.room > 0
    ]
    costs = [price(zones[row], zones[column], prices) for row, column in ways]
    costs += [zone.worth for zone in zones]
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
        b_ub=[zone.room for zone in zones],
        A_eq=equal,
        b_eq=[zone.demand for zone in zones],
        method="highs",
    )
    if not found.success:
        raise RuntimeError(f"no plan: {found.message}")
    flows = {
        (zones[row].name, zones[column].name): float(found.x[number])
        for number, (row, column) in enumerate(ways)
        if found.x[number] > TINY
    }
    refused = {
        zone.name: float(found.x[len(ways) + row])
        for row, zone in enumerate(zones)
        if found.x[len(ways) + row] > TINY
    }
    return Plan(flows, refused)


def nearest(zones: Sequence[Zone], prices: Prices) -> Plan:
    """Each zone in turn takes the nearest room that is left: the plain way."""
    left = {zone.name: zone.room for zone in zones}
    plan = Plan()
    for zone in zones:
        rest = zone.demand
        for other in sorted(zones, key=lambda each: (price(zone, each, prices), each.name)):
            if (flow := min(rest, left[other.name])) > TINY:
                plan.flows[zone.name, other.name] = flow
                left[other.name] -= flow
                rest -= flow
        if rest > TINY:
            plan.refused[zone.name] = rest
    return plan


def filled(zones: Sequence[Zone], prices: Prices) -> Plan:
    """Own zones first, then what is over is poured evenly over the room that is left, own regions first."""
    left = {zone.name: zone.room - min(zone.room, zone.demand) for zone in zones}
    over = {zone.name: zone.demand - min(zone.room, zone.demand) for zone in zones}
    plan = Plan(
        {
            (zone.name, zone.name): min(zone.room, zone.demand)
            for zone in zones
            if min(zone.room, zone.demand) > TINY
        }
    )
    for inside in (True, False):
        for region in sorted({zone.region for zone in zones}):
            givers = [zone for zone in zones if zone.region == region and over[zone.name] > TINY]
            takers = [zone for zone in zones if (zone.region == region) == inside and left[zone.name] > TINY]
            wanted, room = sum(over[zone.name] for zone in givers), sum(left[zone.name] for zone in takers)
            if wanted <= TINY or room <= TINY:
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
    plan.refused.update({name: rest for name, rest in over.items() if rest > TINY})
    return plan


def stepped(old: Plan, new: Plan, zones: Sequence[Zone], step: float) -> Plan:
    """From one plan towards another, no zone's load growing by more than `step` of its room at once.

    One factor for all flows, so that what is sent stays what is asked: a part of the way between two plans
    that keep to the room keeps to it too. A zone of the old plan that has no room any more is left at once.
    """
    known = {zone.name: zone for zone in zones}
    start = Plan({key: flow for key, flow in old.flows.items() if known[key[1]].room > 0}, dict(old.refused))
    part = 1.0
    for zone in zones:
        if (growth := new.load(zone.name) - start.load(zone.name)) > step * zone.room > 0:
            part = min(part, step * zone.room / growth)
    keys = {*start.flows, *new.flows}
    flows = {key: (1 - part) * start.flows.get(key, 0.0) + part * new.flows.get(key, 0.0) for key in keys}
    sent: Mapping[str, float] = {
        zone.name: sum(flow for (one, _), flow in flows.items() if one == zone.name) for zone in zones
    }
    refused = {
        zone.name: zone.demand - sent[zone.name] for zone in zones if zone.demand - sent[zone.name] > TINY
    }
    return Plan({key: flow for key, flow in flows.items() if flow > TINY}, refused)
