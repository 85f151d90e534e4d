"""Which servers peers' claims take out of use, mad or forged as it may be (types: frostfall/interface.py).

Peers only restrict. What a quorum of them has from discovery, or from a quorum in turn, is believed and may
be passed on as confirmed; what fewer say is believed of a part of the servers that are up. So a single mad
peer, and every echo of its claim, takes no more than that part out of use.
"""

from dataclasses import dataclass, field

from frostfall.interface import Microseconds

QUORUM = 2  # agents that confirm a change, to be believed of any number of servers
UNCONFIRMED_SHARE = 0.25  # of the servers that are up, of which fewer agents are believed
LIFETIME = 60_000_000  # us after which a claim is forgotten that nobody repeats


@dataclass(slots=True)
class _Claim:
    """What peers say of one server."""

    expires_at: Microseconds
    vouchers: set[int] = field(default_factory=set)  # agents that confirm it


class PeerRestrictions:
    """Keeps peers' claims until discovery itself answers, or until they expire."""

    def __init__(self, agents: int) -> None:
        """In a fleet of so many agents, without a claim."""
        self._quorum = min(QUORUM, max(agents - 1, 1))
        self._claims: dict[int, _Claim] = {}  # by server

    def __len__(self) -> int:
        """How many servers are claimed to be unusable."""
        return len(self._claims)

    def add(self, now: Microseconds, server: int, peer: int, *, is_confirmed: bool) -> None:
        """A peer says that a server may not be used as it stands in the list here."""
        claim = self._claims.setdefault(server, _Claim(now + LIFETIME))
        claim.expires_at = now + LIFETIME
        if is_confirmed:
            claim.vouchers.add(peer)

    def clear(self) -> None:
        """Discovery itself has answered, which supersedes every claim."""
        self._claims.clear()

    def expire(self, now: Microseconds) -> bool:
        """Forget what nobody has repeated for long; whether there was any."""
        kept = {server: claim for server, claim in self._claims.items() if claim.expires_at > now}
        has_expired = len(kept) < len(self._claims)
        self._claims = kept
        return has_expired

    @property
    def all_confirmed(self) -> bool:
        """Whether a quorum confirms every claim."""
        return all(self._is_confirmed(claim) for claim in self._claims.values())

    def _is_confirmed(self, claim: _Claim) -> bool:
        return len(claim.vouchers) >= self._quorum

    def believed(self, up: int) -> set[int]:
        """The servers to leave alone, where so many are listed as up; the first claimed come first."""
        confirmed = {server for server, claim in self._claims.items() if self._is_confirmed(claim)}
        unconfirmed = [server for server in self._claims if server not in confirmed]
        return confirmed | set(unconfirmed[: max(int(up * UNCONFIRMED_SHARE), 1)])
