"""Which members hold an owner's record: every member computes the same, and few replicas move on a change.

Rendezvous hashing (Thaler and Ravishankar, 1998): each member has a weight for each owner, and the members of
the largest weights are chosen; a member that leaves moves only the records that it held. Zones come first: a
zone gives a second holder only once every other zone has given one, and the owner's own zone comes last.
"""

from __future__ import annotations

from hashlib import blake2b


def rendezvous_weight(owner: str, member: str) -> int:
    """Return a member's weight for an owner, a hash of both names."""
    return int.from_bytes(blake2b(f"{owner}\0{member}".encode(), digest_size=8).digest(), "big")


def replica_holders(owner: str, zones: dict[str, str], count: int) -> tuple[str, ...]:
    """Return up to `count` holders of an owner's record, best first.

    `zones` has the zone of every member, the owner included.
    """
    others = (name for name in zones if name != owner)
    by_weight = sorted(others, key=lambda name: rendezvous_weight(owner, name), reverse=True)
    chosen: list[str] = []
    members_in_zone = {zones[owner]: 1}
    while by_weight and len(chosen) < count:
        # `min` gives the first of several equals, which is the one of the largest weight.
        best = min(by_weight, key=lambda name: members_in_zone.get(zones[name], 0))
        by_weight.remove(best)
        chosen.append(best)
        members_in_zone[zones[best]] = members_in_zone.get(zones[best], 0) + 1
    return tuple(chosen)
