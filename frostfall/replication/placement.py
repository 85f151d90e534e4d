"""Placement of replicas: every member computes the same holders for an owner's record.

Few replicas move when the members change, by rendezvous hashing (Thaler and Ravishankar, 1998): each member
has a weight for each owner, and the members with the largest weights are selected. The removal of a member
moves only the records that it held. Zones take precedence over weights: a zone has a second holder only if
every other zone has one, and the owner's own zone is used last.
"""

from __future__ import annotations

from hashlib import blake2b


def rendezvous_weight(owner: str, member: str) -> int:
    """Return a member's weight for an owner: a hash of both names."""
    return int.from_bytes(blake2b(f"{owner}\0{member}".encode(), digest_size=8).digest(), "big")


def replica_holders(owner: str, zones: dict[str, str], count: int) -> tuple[str, ...]:
    """Return up to `count` holders of an owner's record, best first.

    `zones` contains the zone of every member, including the owner.
    """
    others = (name for name in zones if name != owner)
    by_weight = sorted(others, key=lambda name: rendezvous_weight(owner, name), reverse=True)
    chosen: list[str] = []
    members_in_zone = {zones[owner]: 1}
    while by_weight and len(chosen) < count:
        # `min` returns the first of several equal members, which is the one with the largest weight.
        best = min(by_weight, key=lambda name: members_in_zone.get(zones[name], 0))
        by_weight.remove(best)
        chosen.append(best)
        members_in_zone[zones[best]] = members_in_zone.get(zones[best], 0) + 1
    return tuple(chosen)
