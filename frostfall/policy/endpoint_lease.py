"""Until when the endpoint list may be acted on, and on whose word (types: frostfall/interface.py).

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
FIRST_WORD_PATIENCE = 400_000  # us that a new process waits for a word; less than the grace of a drain
FIRST_WORD_PEERS = 3  # that have answered without a word, from which on it waits no longer
PEER_SILENCE = 1_000_000  # us without any answer, from which on peers count as out of reach
WITNESS_AGE = 1_000_000  # us for which a server's own answer shows that it still serves


class LeaseState(Enum):
    """On what ground the list is acted on."""

    HELD = "discovery has vouched for the list within the lease, here or at a peer"
    STARTING = "nobody has vouched for the list of the configuration yet"
    OUTAGE = "no agent in reach has had word of discovery for longer than the lease"
    EXPIRED = "neither discovery nor any peer answers"


@dataclass(slots=True)
class _Voucher:
    """Who vouched last, and when discovery's word was given."""

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
        self._peer_answered_at: Microseconds | None = None
        self._silent_peers = set[int]()  # that have answered a new process, but had no word
        self._valid_until: float = 0.0  # until when nothing needs to be looked at again

    @property
    def source(self) -> ListSource:
        """From whom the last word came."""
        return self._voucher.source

    @property
    def watch_stands(self) -> bool:
        """Whether discovery itself tells every change at once."""
        return self._watch_stands

    @property
    def vouched_at(self) -> Microseconds | None:
        """When discovery's last word on the list was given; None: nobody has passed one on."""
        return self._voucher.at

    # ---- what happens ------------------------------------------------------------------------------

    def start(self, now: Microseconds) -> None:
        """A new process has the list of its configuration."""
        self._started_at = now
        self._update(now)

    def renew(self, now: Microseconds) -> None:
        """Discovery has answered: its watch stands from here on."""
        self._voucher = _Voucher(ListSource.DISCOVERY, now)
        self._watch_stands = True
        self._moved_until = math.inf
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

    def peer_answered(self, now: Microseconds, peer: int, *, has_word: bool) -> None:
        """A peer is in reach."""
        self._peer_answered_at = now
        if not has_word:
            self._silent_peers.add(peer)
        self._update(now)

    def peer_vouched(self, now: Microseconds, vouched_at: Microseconds) -> bool:
        """A peer passes on discovery's word on all that is known here; whether it is news."""
        if self._voucher.at is not None and vouched_at <= self._voucher.at:
            return False
        self._voucher = _Voucher(ListSource.PEER, vouched_at)
        self._moved_until = math.inf
        self._update(now)
        return True

    # ---- what follows ------------------------------------------------------------------------------

    def _update(self, now: Microseconds) -> None:
        if self._watch_stands:
            self._valid_until = math.inf
        else:
            at = self._voucher.at
            self._valid_until = min(at + DURATION, self._moved_until) if at is not None else 0.0

    def state(self, now: Microseconds) -> LeaseState:
        """On what ground the list is acted on now."""
        if now < self._valid_until:
            return LeaseState.HELD
        if not self.has_peers:  # nobody else could know more
            return LeaseState.OUTAGE
        if self._voucher.at is None and self._waits_for_first_word(now):
            return LeaseState.STARTING
        answered_at = self._peer_answered_at
        if answered_at is not None and now - answered_at < PEER_SILENCE:
            return LeaseState.OUTAGE
        return LeaseState.EXPIRED

    def _waits_for_first_word(self, now: Microseconds) -> bool:
        enough = min(FIRST_WORD_PEERS, self._peer_count)
        return now < self._started_at + FIRST_WORD_PATIENCE and len(self._silent_peers) < enough

    def allows(self, now: Microseconds, server: ServerState) -> bool:
        """Whether an attempt or a health check may go to a listed server now."""
        if now < self._valid_until:  # nearly always
            return True
        state = self.state(now)
        if state is LeaseState.EXPIRED:
            return server.served_at is not None and now - server.served_at < WITNESS_AGE
        return state is not LeaseState.STARTING
