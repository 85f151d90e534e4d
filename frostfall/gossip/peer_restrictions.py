"""Servers that peers report as unusable, limited against faulty reports (types: frostfall/interface.py).

Peers can only take servers out of use. A claim that a quorum of peers confirms (each has it from discovery or
from a quorum itself) applies to any number of servers and may be forwarded as confirmed. Claims that fewer
peers confirm apply to a limited share of the servers that are up. A single faulty peer or sender of forged
messages, together with all agents that repeat its claims, therefore takes at most that share out of use.
"""

from dataclasses import dataclass, field

from frostfall.interface import Microseconds

QUORUM = 2  # agents that have to confirm a claim; confirmed claims apply to any number of servers
MAX_UNCONFIRMED_SHARE = 0.25  # of the servers that are up, to which claims without a quorum apply
CLAIM_LIFETIME = 60_000_000  # microseconds after its last repetition at which a claim expires


@dataclass(slots=True)
class _Claim:
    """The peers' claim that one server is unusable."""

    expires_at: Microseconds
    confirmed_by: set[int] = field(default_factory=set)  # agents


class PeerRestrictions:
    """Stores peers' claims until discovery itself answers or the claims expire."""

    def __init__(self, agents: int) -> None:
        """Start without claims; `agents` is the number of agents in the fleet."""
        self._quorum = min(QUORUM, max(agents - 1, 1))
        self._claims: dict[int, _Claim] = {}  # by server

    def __len__(self) -> int:
        """Return the number of servers that are claimed to be unusable."""
        return len(self._claims)

    def add(self, now: Microseconds, server: int, peer: int, *, is_confirmed: bool) -> None:
        """Record a peer's claim that a server may not be used as this agent's endpoint list describes it."""
        claim = self._claims.setdefault(server, _Claim(now + CLAIM_LIFETIME))
        claim.expires_at = now + CLAIM_LIFETIME
        if is_confirmed:
            claim.confirmed_by.add(peer)

    def clear(self) -> None:
        """Discard all claims, because an answer of discovery itself supersedes them."""
        self._claims.clear()

    def expire(self, now: Microseconds) -> bool:
        """Discard claims that no peer has repeated for `CLAIM_LIFETIME`; return whether there were any."""
        remaining = {server: claim for server, claim in self._claims.items() if claim.expires_at > now}
        has_expired = len(remaining) < len(self._claims)
        self._claims = remaining
        return has_expired

    @property
    def all_confirmed(self) -> bool:
        """Whether a quorum confirms every claim."""
        return all(self._is_confirmed(claim) for claim in self._claims.values())

    def _is_confirmed(self, claim: _Claim) -> bool:
        return len(claim.confirmed_by) >= self._quorum

    def effective(self, up: int) -> set[int]:
        """Return the servers to take out of use; `up` is the number of servers that the list has as up.

        Claims without a quorum take effect in the order in which they arrived.
        """
        confirmed = {server for server, claim in self._claims.items() if self._is_confirmed(claim)}
        unconfirmed = [server for server in self._claims if server not in confirmed]
        return confirmed | set(unconfirmed[: max(int(up * MAX_UNCONFIRMED_SHARE), 1)])
