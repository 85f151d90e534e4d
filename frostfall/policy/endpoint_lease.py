"""The lease on the endpoint list: how long its servers may be used (types: frostfall/interface.py).

Every attempt checks the lease when it begins and again just before its first byte. While the watch on
discovery is open, discovery itself confirms the list; the driver of the watch reports a silent watch within
seconds. Without a watch, the list is valid for `LEASE_DURATION` after discovery last confirmed it, either to
this agent or to a peer that passed the confirmation on.
"""

import math
from dataclasses import dataclass
from enum import Enum

from frostfall import interface as api
from frostfall.interface import ListSource, Microseconds
from frostfall.records import ServerState

# Microseconds. Once discovery has had a change for this long, every agent counts as notified of it.
LEASE_DURATION = 6_000_000
LEASE_DURATION_AFTER_MOVE = 4_000_000  # us from the move of the watch to another address
FIRST_CONFIRMATION_TIMEOUT = 3_000_000  # us that a new process waits for its first confirmation
# A new process stops waiting once this many peers have answered without a valid confirmation.
FIRST_CONFIRMATION_PEERS = 12
# Discovery counts as down once this many peers, or this part of a small fleet, have no valid confirmation.
OUTAGE_PEERS = 6
OUTAGE_DIVISOR = 2
PEER_ANSWER_LIFETIME = 3_000_000  # us for which a peer's answer without a valid confirmation is counted
PEER_AHEAD_LIFETIME = 1_000_000  # us for which a peer's confirmation that cannot be applied means BEHIND
CATCH_UP_TIMEOUT = 1_000_000  # us to wait for an answer of discovery after a pause of the process
RECENT_SUCCESS_AGE = 1_000_000  # us for which a successful response shows that its server still serves


class LeaseState(Enum):
    """Whether the list may be acted on, and for what reason."""

    HELD = "discovery has confirmed the list to this agent or a peer within the lease duration"
    CATCHING_UP = "the process was paused, and discovery has not answered since"
    STARTING = "the list is from the configuration, and neither discovery nor a peer has confirmed it"
    OUTAGE = "enough peers answer, and none has a confirmation of discovery within the lease duration"
    BEHIND = "a peer has a confirmation of discovery that this agent cannot apply yet"
    EXPIRED = "neither discovery nor enough peers answer"


@dataclass(slots=True)
class _Confirmation:
    """The last confirmation of the list, and the time at which discovery gave it."""

    source: ListSource = ListSource.CONFIGURATION
    at: Microseconds | None = None


class EndpointLease:
    """Decides whether attempts and health checks may go to servers of the endpoint list."""

    def __init__(self, settings: api.Settings) -> None:
        """Create a lease without a list.

        If lists are pushed, the watch counts as open until the driver reports that it is not.
        """
        self.has_peers = settings.limits.gossip and settings.agents > 1
        self._peer_count = settings.agents - 1
        self._watch_is_open = not settings.needs_watch
        self._confirmation = _Confirmation()
        self._started_at: Microseconds = 0
        self._lease_end_after_move = math.inf
        # When a peer last passed on a valid confirmation that could not be applied.
        self._peer_ahead_at: Microseconds | None = None
        self._catching_up_until: Microseconds | None = None  # set by a pause of the process
        # The times of the last answers of peers that had no valid confirmation.
        self._unconfirmed_peers: dict[int, Microseconds] = {}
        self._valid_until: float = 0.0  # before this time the state is HELD without further checks

    @property
    def source(self) -> ListSource:
        """The source of the last confirmation."""
        return self._confirmation.source

    @property
    def watch_is_open(self) -> bool:
        """Whether discovery notifies this agent of every change at once."""
        return self._watch_is_open

    @property
    def confirmed_at(self) -> Microseconds | None:
        """When discovery last confirmed the list, or None without any confirmation."""
        return self._confirmation.at

    def start(self, now: Microseconds) -> None:
        """Begin with the list of the configuration, in a new process."""
        self._started_at = now
        self._update(now)

    def renew(self, now: Microseconds) -> None:
        """Record an answer of discovery, which confirms the list and opens the watch."""
        self._confirmation = _Confirmation(ListSource.DISCOVERY, now)
        self._peer_ahead_at = None
        self._watch_is_open = True
        self._lease_end_after_move = math.inf
        self._catching_up_until = None
        self._update(now)

    def watch_ended(self, now: Microseconds) -> None:
        """Record that the watch broke, became silent or could not be opened."""
        self._watch_is_open = False
        self._update(now)

    def watch_moved(self, now: Microseconds) -> None:
        """Record that the watch is being opened again at another address."""
        if math.isinf(self._lease_end_after_move):
            self._lease_end_after_move = now + LEASE_DURATION_AFTER_MOVE
        self.watch_ended(now)

    def process_paused(self, now: Microseconds) -> None:
        """Record that the process was paused until now."""
        # Changes of the list may be unread in a socket, or were never sent. Requests wait in other sockets
        # and may be read before the changes, so an open watch proves nothing.
        self._catching_up_until = now + CATCH_UP_TIMEOUT
        self.watch_ended(now)

    def peer_answered(self, now: Microseconds, peer: int, confirmed_at: Microseconds | None) -> None:
        """Record an answer of a peer whose last confirmation is of `confirmed_at`; None if it has none."""
        if confirmed_at is None or now >= confirmed_at + LEASE_DURATION:
            self._unconfirmed_peers[peer] = now
        else:
            self._unconfirmed_peers.pop(peer, None)

    def peer_is_ahead(self, now: Microseconds, confirmed_at: Microseconds) -> None:
        """Record a peer's confirmation of a list that this agent lacks in part or does not trust yet."""
        if now < confirmed_at + LEASE_DURATION:
            self._peer_ahead_at = now

    def peer_confirmed(self, now: Microseconds, confirmed_at: Microseconds) -> bool:
        """Record a peer's confirmation of the list that this agent has.

        Return whether the confirmation is later than the one before.
        """
        if self._confirmation.at is not None and confirmed_at <= self._confirmation.at:
            return False
        self._confirmation = _Confirmation(ListSource.PEER, confirmed_at)
        self._peer_ahead_at = None
        self._lease_end_after_move = math.inf
        self._update(now)
        return True

    def _update(self, now: Microseconds) -> None:
        if self._catching_up_until is not None:
            self._valid_until = 0.0
        elif self._watch_is_open:
            self._valid_until = math.inf
        else:
            at = self._confirmation.at
            self._valid_until = (
                min(at + LEASE_DURATION, self._lease_end_after_move) if at is not None else 0.0
            )

    def state(self, now: Microseconds) -> LeaseState:
        """Return the state of the lease now."""
        if self._catching_up_until is not None:
            if now < self._catching_up_until:
                return LeaseState.CATCHING_UP
            # Discovery cannot be reached: the lease continues from the last confirmation.
            self._catching_up_until = None
            self._update(now)
        if now < self._valid_until:
            return LeaseState.HELD
        if not self.has_peers:  # no other agent could have a later confirmation
            return LeaseState.OUTAGE
        if self._peer_ahead_at is not None and now - self._peer_ahead_at < PEER_AHEAD_LIFETIME:
            return LeaseState.BEHIND
        unconfirmed = sum(now - at < PEER_ANSWER_LIFETIME for at in self._unconfirmed_peers.values())
        if self._confirmation.at is None and now < self._started_at + FIRST_CONFIRMATION_TIMEOUT:
            enough = unconfirmed >= min(FIRST_CONFIRMATION_PEERS, self._peer_count)
            return LeaseState.OUTAGE if enough else LeaseState.STARTING
        enough = unconfirmed >= min(OUTAGE_PEERS, math.ceil(self._peer_count / OUTAGE_DIVISOR))
        return LeaseState.OUTAGE if enough else LeaseState.EXPIRED

    def allows(self, now: Microseconds, server: ServerState) -> bool:
        """Return whether an attempt or a health check may go to a server of the list now."""
        if now < self._valid_until:  # the usual case
            return True
        state = self.state(now)
        if state in (LeaseState.EXPIRED, LeaseState.BEHIND):
            # Without a valid list, only a recent response shows that the server still serves.
            return server.served_at is not None and now - server.served_at < RECENT_SUCCESS_AGE
        return state not in (LeaseState.STARTING, LeaseState.CATCHING_UP)
