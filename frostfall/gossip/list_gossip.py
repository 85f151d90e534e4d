"""What agents tell each other of the endpoint list, whom they ask and when (types: frostfall/interface.py).

An agent whose watch does not stand asks a few peers at random, again and again. Each answers with what has
changed since the asker's list, and with the age of discovery's confirmation. While all watches stand nobody
asks, and nothing is sent. Addresses and new servers come from discovery alone: a peer only restricts.
"""

import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import Enum

from frostfall import interface as api
from frostfall.gossip.change_history import ChangeHistory
from frostfall.gossip.list_messages import (
    ENTRIES_PER_FRAGMENT,
    MAX_FRAGMENTS,
    MAX_GENERATION,
    ChangedEntry,
    ListedState,
    ListQuery,
    ListUpdate,
    changed_entry,
    decode,
    encode_query,
    encode_update,
    fingerprint,
    removed_entry,
    server_key,
)
from frostfall.gossip.peer_restrictions import PeerRestrictions
from frostfall.interface import ListSource, Microseconds, ServerListKind
from frostfall.mechanisms.server_list import ServerList
from frostfall.policy.endpoint_lease import EndpointLease, LeaseState

FIRST_QUERIES = 4  # peers that a new process asks at once, and in each turn until it has a confirmation
QUERIES_PER_TURN = 2  # peers asked in a turn while nobody's confirmation is fresh ...
REFRESH_PERIOD = 1_000_000  # us between queries once it is; a lease takes several of them
MAX_UPDATES_PER_TURN = 32  # datagrams by which others are answered
MAX_FRAGMENTS_PER_QUERY = 16  # datagrams that one query is answered by
RECENT_QUERY = 1_500_000  # us for which a peer that asked is told what changes
MAX_ASKERS = 64  # that are remembered for that
MAX_NONCES = 256  # queries whose time is remembered
NONCE_MASK = 0xFFFF
PARTIAL_QUERIES = 5  # to one peer for the missing fragments of its update, until that is given up


class DropReason(Enum):
    """Why a message was dropped."""

    MALFORMED = "malformed, or of another version"
    UNASKED = "an answer to no query of this process"
    NOT_NEEDED = "discovery itself tells what changes"
    OVER_BUDGET = "more queries than are answered in a turn"


@dataclass(frozen=True, slots=True)
class _Summary:
    """What is reported when it changes."""

    generation: int
    source: ListSource
    state: LeaseState
    withdrawn: int


@dataclass(frozen=True, slots=True)
class _Asker:
    """A peer whose watch does not stand."""

    generation: int  # of its list
    nonce: int
    at: Microseconds


@dataclass(slots=True)
class _Partial:
    """The fragments of one peer's update that have come."""

    since: int
    generation: int
    fragments: int
    asked_at: Microseconds  # of the earliest query that any fragment answers
    entries: dict[int, tuple[ChangedEntry, ...]] = field(default_factory=dict)  # by fragment
    queries_left: int = PARTIAL_QUERIES

    def first_missing(self) -> int:
        """The number of the first fragment that has not come."""
        return next(
            (fragment for fragment in range(self.fragments) if fragment not in self.entries), self.fragments
        )

    def add(self, update: ListUpdate, asked_at: Microseconds) -> bool:
        """Take in a fragment; whether that was the last one missing."""
        self.asked_at = min(self.asked_at, asked_at)
        self.entries[update.fragment] = update.entries
        return len(self.entries) == self.fragments

    def all_entries(self) -> Iterator[ChangedEntry]:
        """The entries of all fragments, in order."""
        for fragment in range(self.fragments):
            yield from self.entries[fragment]


class ListGossip:
    """Asks, answers, and takes out of use what peers say has changed."""

    def __init__(
        self, settings: api.Settings, servers: ServerList, lease: EndpointLease, source: random.Random
    ) -> None:
        """Without a list."""
        self._agent = settings.agent
        self._agents = max(settings.agents, settings.agent + 1)
        self._servers = servers
        self._lease = lease
        self._random = source
        self._restrictions = PeerRestrictions(self._agents)
        self._history = ChangeHistory()  # by discovery
        self._hearsay = ChangeHistory()  # by peers, since discovery last answered
        self._is_confirmed = False  # the latest generation is known from discovery, or from a quorum
        self._generation = 0  # of the list here, which discovery or the configuration gave
        self._servers_by_key: dict[int, int] | None = None  # made when it is needed
        self._askers: dict[int, _Asker] = {}  # by peer, the latest last
        self._query_times: dict[int, Microseconds] = {}  # by nonce
        self._partials: dict[int, _Partial] = {}  # by peer
        self._next_query_at: Microseconds = 0
        self._updates_left = MAX_UPDATES_PER_TURN
        self._reported: _Summary | None = None
        self.dropped = Counter[DropReason]()

    @property
    def generation(self) -> int:
        """The latest generation of which all changes are known here."""
        return self._hearsay.generation

    # ---- the list of discovery ---------------------------------------------------------------------

    def list_updated(self, now: Microseconds, event: api.ServerListUpdated) -> list[api.Action]:
        """Before the list takes over an update: note what it changes, and tell those that asked lately."""
        self._servers_by_key = None
        generation = min(event.generation, MAX_GENERATION)
        if event.kind is ServerListKind.CACHED:
            self._generation = generation
            self._history.start(generation)
            self._hearsay.start(generation)
            if self._lease.watch_is_open:  # as lists are pushed: there is nothing to report before a change
                self._reported = self._summary(now)
            return self._first_queries(now)
        before, self._generation = self.generation, generation
        self._restrictions.clear()
        self._servers.withdraw(set())
        self._partials.clear()
        self._history.record(generation, self._changes(event))
        self._hearsay.start(generation)
        self._is_confirmed = True
        return list(self._tell_askers(now)) if generation > before else []

    def _changes(self, event: api.ServerListUpdated) -> Iterator[ChangedEntry]:
        """The entries that an update adds, changes or removes."""
        known = self._servers.by_id
        for entry in event.servers:
            if (old := known.get(entry.id)) is None or _differs(old.info, entry):
                yield changed_entry(entry)
        if event.kind is ServerListKind.COMPLETE:
            listed = {entry.id for entry in event.servers}
            yield from (removed_entry(id) for id in known if id not in listed)

    # ---- asking ------------------------------------------------------------------------------------

    def _first_queries(self, now: Microseconds) -> list[api.Action]:
        return list(self._ask(now, FIRST_QUERIES)) if self._lease.has_peers else []

    def end_turn(self, now: Microseconds) -> Iterator[api.Action]:
        """Ask peers where that is due. To be called once a turn."""
        self._updates_left = MAX_UPDATES_PER_TURN
        if self._restrictions and self._restrictions.expire(now):
            self._withdraw()
        if self._lease.has_peers and not self._lease.watch_is_open and now >= self._next_query_at:
            is_new = self._lease.state(now) is LeaseState.STARTING
            yield from self._ask(now, FIRST_QUERIES if is_new else QUERIES_PER_TURN)
        yield from self.report(now)

    def _ask(self, now: Microseconds, count: int) -> Iterator[api.SendGossip]:
        """Ask a few peers; first those of whose update some fragments are missing."""
        chosen = list(self._partials)[:count]
        for peer in chosen:
            partial = self._partials[peer]
            partial.queries_left -= 1
            if not partial.queries_left:
                del self._partials[peer]
        while len(chosen) < min(count, self._agents - 1):
            peer = self._random.randrange(self._agents)
            if peer != self._agent and peer not in chosen:
                chosen.append(peer)
        for peer in chosen:
            yield self._query(now, peer)

    def _query(self, now: Microseconds, peer: int) -> api.SendGossip:
        nonce = self._random.randrange(1, NONCE_MASK + 1)
        self._query_times[nonce] = now
        if len(self._query_times) > MAX_NONCES:
            del self._query_times[next(iter(self._query_times))]
        partial = self._partials.get(peer)
        first_fragment = partial.first_missing() if partial else 0
        return api.SendGossip(peer, encode_query(ListQuery(nonce, self._generation, first_fragment)))

    # ---- answering ---------------------------------------------------------------------------------

    def receive(self, now: Microseconds, sender: int, text: str) -> list[api.Action]:
        """Take in a message of another agent on the list."""
        message = decode(text)
        if isinstance(message, ListQuery):
            return list(self._answer(now, sender, message))
        if isinstance(message, ListUpdate):
            return list(self._take(now, sender, message))
        self.dropped[DropReason.MALFORMED] += 1
        return []

    def _answer(self, now: Microseconds, peer: int, query: ListQuery) -> Iterator[api.Action]:
        self._askers.pop(peer, None)
        self._askers[peer] = _Asker(query.generation, query.nonce, now)
        if len(self._askers) > MAX_ASKERS:
            del self._askers[next(iter(self._askers))]
        yield from self._updates(now, peer, query)

    def _updates(self, now: Microseconds, peer: int, query: ListQuery) -> Iterator[api.Action]:
        """The fragments of what has changed since a peer's list, as many as the turn still allows."""
        latest = {entry.key: entry for entry in self._history.since(query.generation)}
        latest.update({entry.key: entry for entry in self._hearsay.since(query.generation)})
        entries = list(latest.values())
        groups = [
            entries[at : at + ENTRIES_PER_FRAGMENT] for at in range(0, len(entries), ENTRIES_PER_FRAGMENT)
        ]
        groups = groups[:MAX_FRAGMENTS] or [[]]
        confirmed_at = self._lease.confirmed_at
        can_compare = confirmed_at is not None and self._generation > 0
        whole = ListUpdate(
            nonce=query.nonce,
            since=min(max(query.generation, self._history.base), self.generation),
            generation=self.generation,
            age=now - confirmed_at if confirmed_at is not None and can_compare else None,
            fragment=0,
            fragments=len(groups),
            is_confirmed=self._is_confirmed,
            entries=(),
        )
        for fragment in range(
            query.first_fragment, min(len(groups), query.first_fragment + MAX_FRAGMENTS_PER_QUERY)
        ):
            if self._updates_left <= 0:
                self.dropped[DropReason.OVER_BUDGET] += 1
                return
            self._updates_left -= 1
            yield api.SendGossip(
                peer, encode_update(replace(whole, fragment=fragment, entries=tuple(groups[fragment])))
            )

    def _tell_askers(self, now: Microseconds) -> Iterator[api.Action]:
        """Tell the peers that have asked lately what has changed since their lists."""
        for peer, asker in list(self._askers.items()):
            if now - asker.at > RECENT_QUERY:
                del self._askers[peer]
            elif asker.generation < self.generation:
                yield from self._updates(now, peer, ListQuery(asker.nonce, asker.generation))

    # ---- being told --------------------------------------------------------------------------------

    def _take(self, now: Microseconds, peer: int, update: ListUpdate) -> Iterator[api.Action]:
        if self._lease.watch_is_open:
            self.dropped[DropReason.NOT_NEEDED] += 1
            return
        asked_at = self._query_times.get(update.nonce)
        if asked_at is None:
            self.dropped[DropReason.UNASKED] += 1
            return
        self._lease.peer_answered(now, peer, None if update.age is None else asked_at - update.age)
        if update.generation < self._generation:
            return  # its list is older than the one here
        self._restrict(now, peer, update)
        whole = self._assemble(peer, update, asked_at)
        if update.age is None:
            return
        if whole is None or self._servers.withdrawn < len(self._restrictions):
            self._lease.peer_is_ahead(now, asked_at - update.age)
            return
        if self._lease.peer_confirmed(now, whole.asked_at - update.age):
            self._next_query_at = now + REFRESH_PERIOD
        is_news = update.generation > self.generation
        is_confirmed = self._restrictions.all_confirmed
        if is_news:
            self._hearsay.record(update.generation, whole.all_entries())
        if is_news or (is_confirmed and not self._is_confirmed):
            self._is_confirmed = is_confirmed
            yield from self._tell_askers(now)

    def _restrict(self, now: Microseconds, peer: int, update: ListUpdate) -> None:
        """Take out of use what the update says is not as it stands in the list here."""
        for entry in update.entries:
            server = self._by_key().get(entry.key)
            if server is not None and self._is_restricted_by(entry, server):
                self._restrictions.add(now, server, peer, is_confirmed=update.is_confirmed)
        if update.entries:
            self._withdraw()

    def _is_restricted_by(self, entry: ChangedEntry, server: int) -> bool:
        known = self._servers.by_id.get(server)
        if known is None:
            return False
        return entry.state is not ListedState.UP or entry.fingerprint != fingerprint(known.info)

    def _withdraw(self) -> None:
        believed = self._restrictions.believed(self._servers.listed_up)
        self._servers.withdraw(believed)

    def _by_key(self) -> dict[int, int]:
        if self._servers_by_key is None:
            self._servers_by_key = {server_key(id): id for id in self._servers.by_id}
        return self._servers_by_key

    def _assemble(self, peer: int, update: ListUpdate, asked_at: Microseconds) -> _Partial | None:
        """All that changed since the list here, once every fragment of it has come from this peer."""
        if update.since > self._generation:
            return None  # the peer does not know what came before
        key = (update.since, update.generation, update.fragments)
        partial = self._partials.pop(peer, None)
        if partial is None or (partial.since, partial.generation, partial.fragments) != key:
            partial = _Partial(*key, asked_at)
        if partial.add(update, asked_at):
            return partial
        self._partials[peer] = partial
        return None

    # ---- reports -----------------------------------------------------------------------------------

    def report(self, now: Microseconds) -> Iterator[api.ReportServerList]:
        """Report the state of the list where it has changed since the last report."""
        summary = self._summary(now)
        if summary == self._reported:
            return
        self._reported = summary
        confirmed_at = self._lease.confirmed_at
        yield api.ReportServerList(
            generation=summary.generation,
            source=summary.source,
            lease=summary.state.name.lower(),
            age=None if confirmed_at is None else now - confirmed_at,
            withdrawn=summary.withdrawn,
        )

    def _summary(self, now: Microseconds) -> _Summary:
        return _Summary(self.generation, self._lease.source, self._lease.state(now), self._servers.withdrawn)


def _differs(old: api.Server, new: api.Server) -> bool:
    return (old.availability, old.build, old.started_at) != (new.availability, new.build, new.started_at)
