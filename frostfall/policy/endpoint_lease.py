"""Until when the endpoint list may be acted on, and on whose confirmation (types: frostfall/interface.py).

Every attempt asks this lease, when it begins and again just before its first byte. While the watch of the
list stands, discovery itself vouches for it; its driver reports a silent watch within seconds. Otherwise the
list is valid for `DURATION` since somebody vouched for it: discovery, or a peer that had it from discovery.
"""

import math
from dataclasses import dataclass
from enum import Enum

from frostfall import interface as api
from frostfall.interface import ListSource, Microseconds
from frostfall.records import ServerState

DURATION = 6_000_000  # us after discovery had a change, from which on each agent counts as notified of it
DURATION_AFTER_MOVE = 4_000_000  # us after the watch was moved to another address, likewise
FIRST_CONFIRMATION_PATIENCE = 3_000_000  # us that a new process waits for a confirmation
FIRST_CONFIRMATION_PEERS = 12  # that have answered without a fresh one, from which on it waits no longer
OUTAGE_PEERS = 6  # that have no fresh one either, for an outage ...
OUTAGE_DIVISOR = 2  # ... or this part of a small fleet
PEER_MEMORY = 3_000_000  # us for which such an answer counts
AHEAD_MEMORY = 1_000_000  # us for which a fresh confirmation counts that could not be taken over
CATCH_UP_PATIENCE = 1_000_000  # us that discovery's answer is waited for after the process was stopped
WITNESS_AGE = 1_000_000  # us for which a server's own answer shows that it still serves


class LeaseState(Enum):
    """On what ground the list is acted on."""

    HELD = "discovery has vouched for the list within the lease, here or at a peer"
    CATCHING_UP = "the process was stopped, and discovery has not answered since"
    STARTING = "nobody has vouched for the list of the configuration yet"
    OUTAGE = "of some agents in reach none has had a confirmation of discovery within the lease"
    BEHIND = "a peer has a confirmation of discovery that cannot be taken over yet"
    EXPIRED = "neither discovery nor enough peers answer"


@dataclass(slots=True)
class _Voucher:
    """Who vouched last, and when discovery gave its confirmation."""

    source: ListSource = ListSource.CONFIGURATION
    at: Microseconds | None = None


class EndpointLease:
    """Owns the answer to whether the list, or one entry of it, may be acted on."""

    def __init__(self, settings: api.Settings) -> None:
        """Without a list. Where lists are pushed, whoever drives a watch says that none stands yet."""
        self.has_peers = settings.limits.gossip and settings.agents > 1
        self._peer_count = settings.agents - 1
        self._watch_stands = not settings.needs_watch
        self._voucher = _Voucher()
        self._started_at: Microseconds = 0
        self._moved_until = math.inf  # the end of the lease after a move of the watch
        self._ahead_at: Microseconds | None = None  # when a fresh confirmation last could not be taken over
        self._catching_up_until: Microseconds | None = None  # after a stop of the process
        self._uninformed: dict[int, Microseconds] = {}  # peers without a fresh one, by their last answers
        self._valid_until: float = 0.0  # until when nothing needs to be looked at again

    @property
    def source(self) -> ListSource:
        """From whom the last confirmation came."""
        return self._voucher.source

    @property
    def watch_stands(self) -> bool:
        """Whether discovery itself tells every change at once."""
        return self._watch_stands

    @property
    def vouched_at(self) -> Microseconds | None:
        """When discovery last confirmed the list; None: nobody has passed one on."""
        return self._voucher.at

    # ---- what happens ------------------------------------------------------------------------------

    def start(self, now: Microseconds) -> None:
        """A new process has the list of its configuration."""
        self._started_at = now
        self._update(now)

    def renew(self, now: Microseconds) -> None:
        """Discovery has answered: its watch stands from here on."""
        self._voucher = _Voucher(ListSource.DISCOVERY, now)
        self._ahead_at = None
        self._watch_stands = True
        self._moved_until = math.inf
        self._catching_up_until = None
        self._update(now)

    def watch_ended(self, now: Microseconds) -> None:
        """The watch broke, fell silent or could not be opened."""
        self._watch_stands = False
        self._update(now)

    def watch_moved(self, now: Microseconds) -> None:
        """The watch is opened anew at another address."""
        if math.isinf(self._moved_until):
            self._moved_until = now + DURATION_AFTER_MOVE
        self.watch_ended(now)

    def process_paused(self, now: Microseconds) -> None:
        """The process was stopped until now: what has changed waits in a socket, or was never sent."""
        # Requests wait in other sockets, and may be read first. A watch that stood vouches for nothing then.
        self._catching_up_until = now + CATCH_UP_PATIENCE
        self.watch_ended(now)

    def peer_answered(self, now: Microseconds, peer: int, vouched_at: Microseconds | None) -> None:
        """A peer is in reach, whose own last confirmation is of then; None: it has none."""
        if vouched_at is None or now >= vouched_at + DURATION:
            self._uninformed[peer] = now
        else:
            self._uninformed.pop(peer, None)

    def peer_is_ahead(self, now: Microseconds, vouched_at: Microseconds) -> None:
        """A peer passes on a confirmation, but what it brings is incomplete here or not believed yet."""
        if now < vouched_at + DURATION:
            self._ahead_at = now

    def peer_vouched(self, now: Microseconds, vouched_at: Microseconds) -> bool:
        """A peer passes on discovery's confirmation of all that is known here; whether it is news."""
        if self._voucher.at is not None and vouched_at <= self._voucher.at:
            return False
        self._voucher = _Voucher(ListSource.PEER, vouched_at)
        self._ahead_at = None
        self._moved_until = math.inf
        self._update(now)
        return True

    # ---- what follows ------------------------------------------------------------------------------

    def _update(self, now: Microseconds) -> None:
        if self._catching_up_until is not None:
            self._valid_until = 0.0
        elif self._watch_stands:
            self._valid_until = math.inf
        else:
            at = self._voucher.at
            self._valid_until = min(at + DURATION, self._moved_until) if at is not None else 0.0

    def state(self, now: Microseconds) -> LeaseState:
        """On what ground the list is acted on now."""
        if self._catching_up_until is not None:
            if now < self._catching_up_until:
                return LeaseState.CATCHING_UP
            self._catching_up_until = (
                None  # discovery cannot be reached: the lease goes on from its last confirmation
            )
            self._update(now)
        if now < self._valid_until:
            return LeaseState.HELD
        if not self.has_peers:  # nobody else could know more
            return LeaseState.OUTAGE
        if self._ahead_at is not None and now - self._ahead_at < AHEAD_MEMORY:
            return LeaseState.BEHIND
        uninformed = sum(now - at < PEER_MEMORY for at in self._uninformed.values())
        if self._voucher.at is None and now < self._started_at + FIRST_CONFIRMATION_PATIENCE:
            enough = uninformed >= min(FIRST_CONFIRMATION_PEERS, self._peer_count)
            return LeaseState.OUTAGE if enough else LeaseState.STARTING
        enough = uninformed >= min(OUTAGE_PEERS, math.ceil(self._peer_count / OUTAGE_DIVISOR))
        return LeaseState.OUTAGE if enough else LeaseState.EXPIRED

    def allows(self, now: Microseconds, server: ServerState) -> bool:
        """Whether an attempt or a health check may go to a listed server now."""
        if now < self._valid_until:  # nearly always
            return True
        state = self.state(now)
        if state in (LeaseState.EXPIRED, LeaseState.BEHIND):  # beside the list, its own answer vouches for it
            return server.served_at is not None and now - server.served_at < WITNESS_AGE
        return state not in (LeaseState.STARTING, LeaseState.CATCHING_UP)
