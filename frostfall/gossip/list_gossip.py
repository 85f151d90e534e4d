"""Gossip of changes of the endpoint list between agents (types: frostfall/interface.py).

An agent without an established watch at discovery periodically queries a few random peers. Each peer answers
with the changes since the requester's list, and with the age of discovery's latest confirmation. While all
watches are established, no agent sends queries or updates. Addresses and new servers come from discovery
alone: a peer can only take servers out of use.
"""

import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import Enum

from frostfall import interface as api
from frostfall.gossip.change_history import ChangeHistory
from frostfall.gossip.list_messages import (
    CHANGES_PER_FRAGMENT,
    MAX_FRAGMENTS,
    MAX_GENERATION,
    EndpointChange,
    EndpointState,
    ListQuery,
    ListUpdate,
    decode,
    encode_query,
    encode_update,
    endpoint_change,
    endpoint_removal,
    fingerprint,
    server_key,
)
from frostfall.gossip.peer_restrictions import PeerRestrictions
from frostfall.interface import ListSource, Microseconds, ServerListKind
from frostfall.mechanisms.server_list import ServerList
from frostfall.policy.endpoint_lease import EndpointLease, LeaseState

STARTUP_QUERIES = 4  # peers that a new process queries at once, and in each slot until it has a confirmation
QUERIES_PER_SLOT = 2  # peers queried in a slot while this agent has no recent confirmation
REFRESH_PERIOD = 1_000_000  # microseconds between queries after a confirmation; a lease spans several periods
MAX_UPDATES_PER_SLOT = 32  # datagrams sent to answer or notify peers
MAX_FRAGMENTS_PER_QUERY = 16  # datagrams that answer one query
RECENT_QUERY_PERIOD = 1_500_000  # microseconds after its query for which a peer is notified of changes
MAX_REQUESTERS = 64  # peers recorded for these notifications
MAX_NONCES = 256  # queries whose send time is recorded
NONCE_MASK = 0xFFFF
MAX_PARTIAL_QUERIES = 5  # queries to one peer for missing fragments before its partial update is discarded


class DropReason(Enum):
    """Why a message was dropped."""

    MALFORMED = "malformed, or of another version"
    UNASKED = "an update that answers no query of this process"
    NOT_NEEDED = "the watch is established, so changes come from discovery itself"
    OVER_BUDGET = "more queries than are answered in a slot"


@dataclass(frozen=True, slots=True)
class _Summary:
    """State of the endpoint list that is reported when it changes."""

    generation: int
    source: ListSource
    state: LeaseState
    withdrawn: int


@dataclass(frozen=True, slots=True)
class _Requester:
    """The latest query of a peer, which has no established watch."""

    generation: int  # of the peer's list
    nonce: int
    at: Microseconds


@dataclass(slots=True)
class _PartialUpdate:
    """The fragments of one peer's update that have arrived."""

    since: int
    generation: int
    fragment_count: int
    queried_at: Microseconds  # send time of the earliest query that any fragment answers
    changes: dict[int, tuple[EndpointChange, ...]] = field(default_factory=dict)  # by fragment
    queries_left: int = MAX_PARTIAL_QUERIES

    def first_missing_fragment(self) -> int:
        """Return the number of the first fragment that has not arrived."""
        return next(
            (fragment for fragment in range(self.fragment_count) if fragment not in self.changes),
            self.fragment_count,
        )

    def add(self, update: ListUpdate, queried_at: Microseconds) -> bool:
        """Add a fragment; return whether the update is complete now."""
        self.queried_at = min(self.queried_at, queried_at)
        self.changes[update.fragment] = update.changes
        return len(self.changes) == self.fragment_count

    def all_changes(self) -> Iterator[EndpointChange]:
        """Return the changes of all fragments, in order."""
        for fragment in range(self.fragment_count):
            yield from self.changes[fragment]


class ListGossip:
    """Queries peers, answers their queries, and takes out of use the servers that peers report as changed."""

    def __init__(
        self, settings: api.Settings, servers: ServerList, lease: EndpointLease, source: random.Random
    ) -> None:
        """Start without an endpoint list."""
        self._agent = settings.agent
        self._agents = max(settings.agents, settings.agent + 1)
        self._servers = servers
        self._lease = lease
        self._random = source
        self._restrictions = PeerRestrictions(self._agents)
        self._discovery_history = ChangeHistory()  # changes received from discovery
        self._peer_history = ChangeHistory()  # changes received from peers since discovery last answered
        self._is_generation_confirmed = False  # the latest generation comes from discovery or from a quorum
        self._generation = 0  # of this agent's list, from discovery or the configuration
        self._server_ids_by_key: dict[int, int] | None = None  # computed on demand
        self._requesters: dict[int, _Requester] = {}  # by peer, the latest last
        self._query_times: dict[int, Microseconds] = {}  # by nonce
        self._partial_updates: dict[int, _PartialUpdate] = {}  # by peer
        self._next_query_at: Microseconds = 0
        self._updates_left = MAX_UPDATES_PER_SLOT
        self._reported: _Summary | None = None
        self.dropped = Counter[DropReason]()

    @property
    def generation(self) -> int:
        """Return the latest generation up to which this agent has all changes."""
        return self._peer_history.generation

    def list_updated(self, now: Microseconds, event: api.ServerListUpdated) -> list[api.Action]:
        """Record the changes of an update, and notify the peers that have sent a query recently.

        To be called before the server list applies the update.
        """
        self._server_ids_by_key = None
        generation = min(event.generation, MAX_GENERATION)
        if event.kind is ServerListKind.CACHED:
            self._generation = generation
            self._discovery_history.start(generation)
            self._peer_history.start(generation)
            # Where lists are pushed, the watch is established from the start: only changes are reported.
            if self._lease.watch_is_open:
                self._reported = self._summary(now)
            return self._startup_queries(now)
        before, self._generation = self.generation, generation
        self._restrictions.clear()
        self._servers.withdraw(set())
        self._partial_updates.clear()
        self._discovery_history.record(generation, self._changes(event))
        self._peer_history.start(generation)
        self._is_generation_confirmed = True
        return list(self._notify_requesters(now)) if generation > before else []

    def _changes(self, event: api.ServerListUpdated) -> Iterator[EndpointChange]:
        """Return the servers that an update adds, changes or removes."""
        known = self._servers.by_id
        for server in event.servers:
            if (old := known.get(server.id)) is None or _differs(old.info, server):
                yield endpoint_change(server)
        if event.kind is ServerListKind.COMPLETE:
            listed = {server.id for server in event.servers}
            yield from (endpoint_removal(id) for id in known if id not in listed)

    def _startup_queries(self, now: Microseconds) -> list[api.Action]:
        return list(self._query_peers(now, STARTUP_QUERIES)) if self._lease.has_peers else []

    def end_slot(self, now: Microseconds) -> Iterator[api.Action]:
        """Query peers if a query is due. To be called once a slot."""
        self._updates_left = MAX_UPDATES_PER_SLOT
        if self._restrictions and self._restrictions.expire(now):
            self._apply_restrictions()
        if self._lease.has_peers and not self._lease.watch_is_open and now >= self._next_query_at:
            is_new = self._lease.state(now) is LeaseState.STARTING
            yield from self._query_peers(now, STARTUP_QUERIES if is_new else QUERIES_PER_SLOT)
        yield from self.report(now)

    def _query_peers(self, now: Microseconds, count: int) -> Iterator[api.SendGossip]:
        """Query up to `count` peers, first those whose updates still have missing fragments."""
        peers = list(self._partial_updates)[:count]
        for peer in peers:
            partial = self._partial_updates[peer]
            partial.queries_left -= 1
            if not partial.queries_left:
                del self._partial_updates[peer]
        while len(peers) < min(count, self._agents - 1):
            peer = self._random.randrange(self._agents)
            if peer != self._agent and peer not in peers:
                peers.append(peer)
        for peer in peers:
            yield self._query_to(now, peer)

    def _query_to(self, now: Microseconds, peer: int) -> api.SendGossip:
        nonce = self._random.randrange(1, NONCE_MASK + 1)
        self._query_times[nonce] = now
        if len(self._query_times) > MAX_NONCES:
            del self._query_times[next(iter(self._query_times))]
        partial = self._partial_updates.get(peer)
        first_fragment = partial.first_missing_fragment() if partial else 0
        return api.SendGossip(peer, encode_query(ListQuery(nonce, self._generation, first_fragment)))

    def receive(self, now: Microseconds, sender: int, text: str) -> list[api.Action]:
        """Process another agent's message about the endpoint list."""
        message = decode(text)
        if isinstance(message, ListQuery):
            return list(self._answer_query(now, sender, message))
        if isinstance(message, ListUpdate):
            return list(self._process_update(now, sender, message))
        self.dropped[DropReason.MALFORMED] += 1
        return []

    def _answer_query(self, now: Microseconds, peer: int, query: ListQuery) -> Iterator[api.Action]:
        self._requesters.pop(peer, None)
        self._requesters[peer] = _Requester(query.generation, query.nonce, now)
        if len(self._requesters) > MAX_REQUESTERS:
            del self._requesters[next(iter(self._requesters))]
        yield from self._updates(now, peer, query)

    def _updates(self, now: Microseconds, peer: int, query: ListQuery) -> Iterator[api.Action]:
        """Return fragments of the changes since a peer's list, as many as the slot's budget still allows."""
        latest = {change.key: change for change in self._discovery_history.since(query.generation)}
        latest.update({change.key: change for change in self._peer_history.since(query.generation)})
        changes = list(latest.values())
        fragments = [
            changes[at : at + CHANGES_PER_FRAGMENT] for at in range(0, len(changes), CHANGES_PER_FRAGMENT)
        ]
        fragments = fragments[:MAX_FRAGMENTS] or [[]]
        confirmed_at = self._lease.confirmed_at
        can_compare = confirmed_at is not None and self._generation > 0
        template = ListUpdate(
            nonce=query.nonce,
            since=min(max(query.generation, self._discovery_history.base), self.generation),
            generation=self.generation,
            age=now - confirmed_at if confirmed_at is not None and can_compare else None,
            fragment=0,
            fragment_count=len(fragments),
            is_confirmed=self._is_generation_confirmed,
            changes=(),
        )
        for index in range(
            query.first_fragment, min(len(fragments), query.first_fragment + MAX_FRAGMENTS_PER_QUERY)
        ):
            if self._updates_left <= 0:
                self.dropped[DropReason.OVER_BUDGET] += 1
                return
            self._updates_left -= 1
            yield api.SendGossip(
                peer,
                encode_update(replace(template, fragment=index, changes=tuple(fragments[index]))),
            )

    def _notify_requesters(self, now: Microseconds) -> Iterator[api.Action]:
        """Send the peers with a recent query the changes since their lists."""
        for peer, requester in list(self._requesters.items()):
            if now - requester.at > RECENT_QUERY_PERIOD:
                del self._requesters[peer]
            elif requester.generation < self.generation:
                yield from self._updates(now, peer, ListQuery(requester.nonce, requester.generation))

    def _process_update(self, now: Microseconds, peer: int, update: ListUpdate) -> Iterator[api.Action]:
        if self._lease.watch_is_open:
            self.dropped[DropReason.NOT_NEEDED] += 1
            return
        queried_at = self._query_times.get(update.nonce)
        if queried_at is None:
            self.dropped[DropReason.UNASKED] += 1
            return
        self._lease.peer_answered(now, peer, None if update.age is None else queried_at - update.age)
        if update.generation < self._generation:
            return  # the peer's list is older than this agent's
        self._restrict(now, peer, update)
        complete = self._assemble(peer, update, queried_at)
        if update.age is None:
            return
        if complete is None or self._servers.withdrawn < len(self._restrictions):
            self._lease.peer_is_ahead(now, queried_at - update.age)
            return
        if self._lease.peer_confirmed(now, complete.queried_at - update.age):
            self._next_query_at = now + REFRESH_PERIOD
        is_newer = update.generation > self.generation
        is_confirmed = self._restrictions.all_confirmed
        if is_newer:
            self._peer_history.record(update.generation, complete.all_changes())
        if is_newer or (is_confirmed and not self._is_generation_confirmed):
            self._is_generation_confirmed = is_confirmed
            yield from self._notify_requesters(now)

    def _restrict(self, now: Microseconds, peer: int, update: ListUpdate) -> None:
        """Take out of use the servers whose state in the update differs from this agent's list."""
        for change in update.changes:
            server = self._server_ids().get(change.key)
            if server is not None and self._is_restricted_by(change, server):
                self._restrictions.add(now, server, peer, is_confirmed=update.is_confirmed)
        if update.changes:
            self._apply_restrictions()

    def _is_restricted_by(self, change: EndpointChange, server: int) -> bool:
        known = self._servers.by_id.get(server)
        if known is None:
            return False
        return change.state is not EndpointState.UP or change.fingerprint != fingerprint(known.info)

    def _apply_restrictions(self) -> None:
        effective = self._restrictions.effective(self._servers.listed_up)
        self._servers.withdraw(effective)

    def _server_ids(self) -> dict[int, int]:
        if self._server_ids_by_key is None:
            self._server_ids_by_key = {server_key(id): id for id in self._servers.by_id}
        return self._server_ids_by_key

    def _assemble(self, peer: int, update: ListUpdate, queried_at: Microseconds) -> _PartialUpdate | None:
        """Return a peer's update once all its fragments have arrived, else None."""
        if update.since > self._generation:
            return None  # the peer does not have the changes between this agent's list and `since`
        key = (update.since, update.generation, update.fragment_count)
        partial = self._partial_updates.pop(peer, None)
        if partial is None or (partial.since, partial.generation, partial.fragment_count) != key:
            partial = _PartialUpdate(*key, queried_at)
        if partial.add(update, queried_at):
            return partial
        self._partial_updates[peer] = partial
        return None

    def report(self, now: Microseconds) -> Iterator[api.ReportServerList]:
        """Report the state of the endpoint list if it has changed since the last report."""
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
