"""Gossip about the endpoint list: messages, exchange between agents, and limits on faulty peers."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import replace

import pytest

from frostfall import interface as api
from frostfall.gossip.change_history import MAX_CHANGES, ChangeHistory
from frostfall.gossip.list_gossip import DropReason
from frostfall.gossip.list_messages import (
    CHANGES_PER_FRAGMENT,
    MAX_CHARS,
    EndpointChange,
    EndpointState,
    ListQuery,
    ListUpdate,
    decode,
    encode_query,
    encode_update,
    endpoint_change,
    server_key,
)
from frostfall.interface import Availability, ListSource, ServerListKind
from frostfall.mechanisms.sequential_test import GossipMessage, RoundTotals
from frostfall.policy.endpoint_lease import LEASE_DURATION, LeaseState
from tests.support import SECOND, EngineHarness, server, settings_with_limits

AGENTS = 6
SETTINGS = replace(settings_with_limits(gossip=True), agents=AGENTS, needs_watch=True, rollout=None)
SERVERS = tuple(server(name) for name in range(1, 21))
UPDATE = ListUpdate(7, 3, 9, 2 * SECOND, 0, 1, True, (EndpointChange(5, EndpointState.DRAINING, 77),))


class Fleet:
    """Engines that deliver messages to each other at once, except those for which `is_lost` returns true."""

    def __init__(self, servers: Iterable[api.Server] = SERVERS, agents: int = AGENTS) -> None:
        self.is_lost: Callable[[int, int], bool] = lambda sender, receiver: False
        self.sent: list[tuple[int, api.SendGossip]] = []
        listed = tuple(servers)
        self.agents = [
            EngineHarness(replace(SETTINGS, agents=agents, agent=number), seed=number)
            for number in range(agents)
        ]
        for agent in self.agents:
            agent.handle(api.ServerListUpdated(ServerListKind.CACHED, listed, 1))

    def deliver(self, sender: int, actions: Iterable[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.SendGossip):
                self.sent.append((sender, action))
                if not self.is_lost(sender, action.peer):
                    responses = self.agents[action.peer].handle(api.GossipReceived(sender, action.text))
                    self.deliver(action.peer, responses)

    def answer(self, number: int, *changed: api.Server, generation: int = 1) -> None:
        """Deliver an answer of discovery to one agent."""
        event = api.ServerListUpdated(ServerListKind.DELTA, changed, generation)
        self.deliver(number, self.agents[number].handle(event))

    def end_watch(self, number: int) -> None:
        self.deliver(number, self.agents[number].update_servers(kind=ServerListKind.FAILED))

    def pass_time(self, span: int) -> None:
        for _ in range(span // 100_000):
            for number, agent in enumerate(self.agents):
                self.deliver(number, agent.pass_time(100_000))

    def state(self, number: int) -> LeaseState:
        return self.agents[number].engine.lease.state(self.agents[number].now)

    def unusable(self, number: int) -> set[int]:
        """Return the servers to which an agent would send no requests."""
        agent = self.agents[number]
        return {name for name in agent.engine.servers if not agent.may_send(name)}


def draining(*names: int) -> tuple[api.Server, ...]:
    return tuple(server(name, availability=Availability.DRAINING) for name in names)


def test_messages_survive_encoding_and_decoding_and_fit_into_a_datagram() -> None:
    query = ListQuery(nonce=65535, generation=(1 << 32) - 1, first_fragment=255)
    assert decode(encode_query(query)) == query
    assert decode(encode_update(UPDATE)) == UPDATE
    changes = tuple(
        EndpointChange((1 << 30) - 1 - n, EndpointState.UP, 65535) for n in range(CHANGES_PER_FRAGMENT)
    )
    largest = replace(UPDATE, changes=changes, age=None)
    assert decode(encode_update(largest)) == largest
    assert len(encode_update(largest).encode()) <= MAX_CHARS


def test_malformed_messages_decode_to_none_without_an_exception() -> None:
    source = random.Random(3)
    whole = encode_update(UPDATE)
    for text in (":", ":x", ":u", ":q", ":u!!", whole[:-1], whole[:12], encode_query(ListQuery(1, 2))[:-2]):
        assert decode(text) is None
    assert decode(encode_update(replace(UPDATE, since=10))) is None  # later than the update's generation
    for _ in range(2000):
        letters = [chr(source.randrange(32, 127)) for _ in range(source.randrange(60))]
        decode(source.choice((":u", ":q", ":z")) + "".join(letters))


def test_endpoint_list_messages_and_rollout_messages_are_not_mistaken_for_each_other() -> None:
    for text in (encode_update(UPDATE), encode_query(ListQuery(1, 2))):
        assert GossipMessage.decode(text.partition(" ")[0]) is None
    totals = GossipMessage(1, 2, 3, RoundTotals()).encode()
    assert decode(totals) is None and not totals.startswith(":")


def test_a_history_returns_the_changes_after_any_generation_since_its_base() -> None:
    history = ChangeHistory()
    history.start(5)
    changes = [endpoint_change(each) for each in draining(1, 2, 3)]
    history.record(7, changes[:2])
    history.record(9, [changes[2], changes[0]])
    assert history.since(5) == [changes[1], changes[2], changes[0]]
    assert history.since(7) == [changes[2], changes[0]]
    assert history.since(9) == []
    history.record(10, [EndpointChange(key, EndpointState.UP, 0) for key in range(MAX_CHANGES)])
    assert history.base == 9 and len(history.since(0)) == MAX_CHANGES  # older changes are discarded
    history.record(2, [])  # a lower generation starts a new history
    assert (history.base, history.generation) == (2, 2)


def test_no_messages_are_sent_while_all_watches_are_established() -> None:
    fleet = Fleet()
    for number in range(AGENTS):
        fleet.answer(number)
    fleet.sent.clear()
    fleet.pass_time(2 * SECOND)
    for number in range(AGENTS):
        fleet.answer(number, *draining(4), generation=2)
    fleet.pass_time(2 * SECOND)
    assert fleet.sent == []


def test_agents_without_a_watch_receive_changes_from_an_agent_that_has_one() -> None:
    fleet = Fleet()
    for number in range(AGENTS):
        fleet.answer(number)
        fleet.end_watch(number)
    fleet.pass_time(SECOND)
    fleet.answer(0, *draining(4, 9), generation=2)  # the others have queried it recently or query it again
    fleet.pass_time(int(1.2 * SECOND))
    for number in range(1, AGENTS):
        assert fleet.unusable(number) == {4, 9}
        assert fleet.agents[number].engine.lease.source is ListSource.PEER
        assert fleet.agents[number].engine.list_gossip.generation == 2


def test_a_new_process_queries_peers_before_it_sends_requests_and_discovery_supersedes_their_answers() -> (
    None
):
    fleet = Fleet()
    for number in range(AGENTS):
        fleet.answer(number, *draining(4), generation=2)
    restarted = fleet.agents[0] = EngineHarness(replace(SETTINGS, agent=0), seed=99)
    restarted.now = fleet.agents[1].now
    queries = restarted.handle(api.ServerListUpdated(ServerListKind.CACHED, SERVERS, 1))
    assert not restarted.may_send(1)  # its list is not confirmed yet
    fleet.deliver(0, queries)
    assert fleet.unusable(0) == {4} and fleet.state(0) is LeaseState.HELD
    fleet.answer(0, server(4), generation=3)  # server 4 is up again
    assert fleet.unusable(0) == set()


@pytest.mark.parametrize("changed", [server(4, build=2), server(4, started=5 * SECOND)])
def test_a_server_with_another_build_or_start_time_is_unusable_until_discovery_lists_it(
    changed: api.Server,
) -> None:
    fleet = Fleet()
    for number in range(1, AGENTS):
        fleet.answer(number, changed, generation=2)
    fleet.pass_time(SECOND // 2)
    assert fleet.unusable(0) == {4}


def test_an_update_of_many_fragments_is_applied_in_spite_of_lost_messages() -> None:
    servers = [server(name) for name in range(1, 3201)]
    fleet = Fleet(servers, agents=3)
    drained = [replace(each, availability=Availability.DRAINING) for each in servers[:900]]
    for number in (1, 2):
        fleet.answer(number, *drained, generation=2)
    source = random.Random(2)
    fleet.is_lost = lambda sender, receiver: source.random() < 0.2
    fleet.pass_time(4 * SECOND)
    assert fleet.state(0) is LeaseState.HELD
    assert len(fleet.unusable(0)) == 900
    max_sent = max(sum(sender == number for sender, _ in fleet.sent) for number in range(3))
    assert max_sent <= 40 * 45  # follows from the limits on updates and queries per slot


def test_updates_bypass_one_way_loss_and_the_lease_of_a_partitioned_agent_expires() -> None:
    fleet = Fleet()
    for number in range(AGENTS):
        fleet.answer(number)
    for number in range(1, AGENTS):
        fleet.end_watch(number)
    fleet.is_lost = lambda sender, receiver: (sender, receiver) in {(0, 1), (0, 2)}
    fleet.answer(0, *draining(4), generation=2)
    fleet.pass_time(3 * SECOND)
    assert all(fleet.unusable(number) == {4} for number in range(AGENTS))
    fleet.is_lost = lambda sender, receiver: receiver == 5
    for _ in range(LEASE_DURATION // SECOND + 1):
        fleet.pass_time(SECOND)
        fleet.answer(0, generation=2)  # the answer of a watch when nothing has changed
    fleet.pass_time(SECOND)
    assert fleet.state(5) is LeaseState.EXPIRED and fleet.state(4) is LeaseState.HELD


def faulty_update(agent: EngineHarness, query: str, **changes: object) -> str:
    """Return an answer to a query that claims that every server was removed."""
    decoded_query = decode(query)
    assert isinstance(decoded_query, ListQuery)
    removals = tuple(EndpointChange(server_key(each.id), EndpointState.REMOVED, 0) for each in SERVERS)
    update = ListUpdate(decoded_query.nonce, 0, 4_000_000_000, 0, 0, 1, True, removals)
    return encode_update(replace(update, **changes))


def test_a_single_faulty_peer_takes_at_most_a_quarter_of_the_servers_out_of_use_at_any_agent() -> None:
    fleet = Fleet()
    faulty = 5
    for number in range(AGENTS):
        fleet.answer(number)
        fleet.end_watch(number)
    fleet.agents[faulty].handle = lambda event: [  # type: ignore[method-assign]
        api.SendGossip(event.sender, faulty_update(fleet.agents[faulty], event.text))
        for _ in range(isinstance(event, api.GossipReceived) and event.text.startswith(":q"))
    ]
    fleet.pass_time(2 * SECOND)
    for number in range(faulty):
        assert len(fleet.unusable(number)) <= len(SERVERS) // 4
    for number in range(faulty):  # an answer of discovery itself overrides all claims
        fleet.answer(number)
        assert fleet.unusable(number) == set()


def test_an_unsolicited_update_or_one_received_with_an_established_watch_changes_nothing() -> None:
    fleet = Fleet()
    agent = fleet.agents[0]
    forged = faulty_update(agent, encode_query(ListQuery(12345, 1)))
    agent.handle(api.GossipReceived(3, forged))
    fleet.answer(0)
    agent.handle(api.GossipReceived(3, forged))
    agent.handle(api.GossipReceived(3, ":unreadable"))
    dropped = agent.engine.list_gossip.dropped
    assert dropped == {DropReason.UNASKED: 1, DropReason.NOT_NEEDED: 1, DropReason.MALFORMED: 1}
    assert fleet.unusable(0) == set()


def test_the_age_in_a_late_answer_counts_from_the_time_of_the_query() -> None:
    agent = EngineHarness(SETTINGS, seed=4)
    (query, *_) = [
        action
        for action in agent.handle(api.ServerListUpdated(ServerListKind.CACHED, SERVERS, 1))
        if isinstance(action, api.SendGossip)
    ]
    queried_at = agent.now
    decoded_query = decode(query.text)
    assert isinstance(decoded_query, ListQuery)
    agent.advance(3 * SECOND)
    answer = ListUpdate(decoded_query.nonce, 1, 1, SECOND, 0, 1, True, ())
    agent.handle(api.GossipReceived(query.peer, encode_update(answer)))
    assert agent.engine.lease.confirmed_at == queried_at - SECOND


def test_the_number_of_answers_to_a_flood_of_queries_is_bounded() -> None:
    fleet = Fleet()
    fleet.answer(0)
    fleet.pass_time(100_000)
    answers = [
        action
        for number in range(500)
        for action in fleet.agents[0].handle(api.GossipReceived(1, encode_query(ListQuery(number, 1))))
    ]
    assert 0 < len(answers) <= 32
    assert fleet.agents[0].engine.list_gossip.dropped[DropReason.OVER_BUDGET] > 400
