"""Which members keep an owner's record: the same by everybody's reckoning, and stable as members come and go.

Rendezvous hashing (Thaler and Ravishankar, 1998): each member has a weight for each owner, and the heaviest
are taken; a member that leaves moves only what it kept. Zones first: a zone gives a second holder only once
each other zone has given one, and the owner's own zone comes last.
"""

from __future__ import annotations

from hashlib import blake2b


def rendezvous_weight(owner: str, member: str) -> int:
    """How much a member is the owner's."""
    return int.from_bytes(blake2b(f"{owner}\0{member}".encode(), digest_size=8).digest(), "big")


def replica_holders(owner: str, zones: dict[str, str], count: int) -> tuple[str, ...]:
    """The holders of an owner's record, best first; `zones` by member, all of them, the owner too."""
    others = (name for name in zones if name != owner)
    order = sorted(others, key=lambda name: rendezvous_weight(owner, name), reverse=True)
    taken: list[str] = []
    used = {zones[owner]: 1}
    while order and len(taken) < count:
        best = min(order, key=lambda name: used.get(zones[name], 0))  # the first of them in the order
        order.remove(best)
        taken.append(best)
        used[zones[best]] = used.get(zones[best], 0) + 1
    return tuple(taken)
