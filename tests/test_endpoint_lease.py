"""The lease on the endpoint list: confirmations, expiry, outages, and restrictions by peers."""

from __future__ import annotations

from dataclasses import replace

import pytest

from frostfall import interface as api
from frostfall.config import Address
from frostfall.engine.policy_engine import PolicyEngine
from frostfall.gossip.peer_restrictions import CLAIM_LIFETIME, MAX_UNCONFIRMED_SHARE, PeerRestrictions
from frostfall.interface import ListSource, ServerListKind, WatchInterruption
from frostfall.net.agent import Agent as AgentOnSockets
from frostfall.net.clock import Clock
from frostfall.net.engine_driver import EngineDriver
from frostfall.policy.endpoint_lease import (
    CATCH_UP_TIMEOUT,
    FIRST_CONFIRMATION_PEERS,
    FIRST_CONFIRMATION_TIMEOUT,
    LEASE_DURATION,
    LEASE_DURATION_AFTER_MOVE,
    OUTAGE_PEERS,
    PEER_ANSWER_LIFETIME,
    RECENT_SUCCESS_AGE,
    EndpointLease,
    LeaseState,
)
from tests.standins import instance, make_config
from tests.support import IDEMPOTENT, SECOND, EngineHarness, sent_attempts, server, settings_with_limits

WATCHED = replace(settings_with_limits(gossip=True), agents=5, needs_watch=True)
START = 100 * SECOND


def new_lease(settings: api.Settings = WATCHED) -> EndpointLease:
    lease = EndpointLease(settings)
    lease.start(START)
    return lease


def test_the_list_of_the_configuration_is_unconfirmed_until_discovery_answers() -> None:
    lease = new_lease()
    assert lease.state(START) is LeaseState.STARTING and lease.source is ListSource.CONFIGURATION
    assert lease.state(START + FIRST_CONFIRMATION_TIMEOUT) is LeaseState.EXPIRED
    lease.renew(START + SECOND)
    assert lease.state(START + 99 * SECOND) is LeaseState.HELD  # the watch is open


def test_after_a_pause_of_the_process_nothing_is_sent_until_discovery_answers() -> None:
    lease, known = new_lease(), EngineHarness(WATCHED, server(1)).engine.servers[1]
    known.served_at = START + SECOND
    lease.renew(START)
    lease.process_paused(START + SECOND)
    assert lease.state(START + SECOND) is LeaseState.CATCHING_UP
    assert not lease.allows(START + SECOND, known)  # a response from before the pause is no evidence
    lease.watch_ended(START + SECOND)  # a failed call is no answer
    assert lease.state(START + SECOND) is LeaseState.CATCHING_UP
    lease.renew(START + SECOND)
    assert lease.state(START + SECOND) is LeaseState.HELD


def test_after_a_pause_the_wait_for_discovery_is_limited() -> None:
    lease = new_lease()
    lease.renew(START)
    lease.process_paused(START + SECOND)
    assert lease.state(START + SECOND + CATCH_UP_TIMEOUT - 1) is LeaseState.CATCHING_UP
    assert lease.state(START + SECOND + CATCH_UP_TIMEOUT) is LeaseState.HELD  # by the last confirmation
    assert lease.state(START + LEASE_DURATION) is LeaseState.EXPIRED


def test_a_gap_between_events_is_noticed_before_the_event_that_ends_it() -> None:
    now, events, pauses = [0], list[api.Event](), list[int]()
    clock = Clock(wall=lambda: 0, monotonic=lambda: now[0] * 1000)

    class Engine(PolicyEngine):
        def handle(self, at: int, event: api.Event) -> list[api.Action]:
            events.append(event)
            return []

        def may_write(self, at: int, request: str, attempt: int) -> bool:
            return not pauses

    engine = Engine(WATCHED, 1)
    driver = EngineDriver(
        engine,
        clock,
        lambda action: None,
        lambda event: None,
        max_gap=350_000,
        on_pause=lambda: pauses.append(len(events)),
    )
    for now[0] in (100_000, 450_000):
        driver.post(api.TimerFired("t"))
    assert pauses == []
    now[0] += 350_001
    driver.post(api.TimerFired("t"))
    assert pauses == [2]
    assert not driver.may_write(now[0], "q", 0)
    now[0] += 350_001
    driver.may_write(now[0], "q", 0)
    assert pauses == [2, 3]


def test_a_new_process_stops_waiting_once_enough_peers_lack_a_confirmation() -> None:
    lease = new_lease(replace(WATCHED, agents=40))
    for peer in range(FIRST_CONFIRMATION_PEERS):
        assert lease.state(START) is LeaseState.STARTING
        lease.peer_answered(START, peer, None)
    assert lease.state(START) is LeaseState.OUTAGE  # no peer has a confirmation: the list is used


def test_after_the_watch_has_ended_the_lease_lasts_for_its_duration() -> None:
    lease = new_lease()
    lease.renew(START)
    lease.watch_ended(START + SECOND)
    assert lease.state(START + LEASE_DURATION - 1) is LeaseState.HELD
    assert lease.state(START + LEASE_DURATION) is LeaseState.EXPIRED
    for peer in (2, 3):  # half of the peers, in a small fleet
        assert lease.state(START + LEASE_DURATION) is LeaseState.EXPIRED
        lease.peer_answered(START + LEASE_DURATION, peer, START)
    assert lease.state(START + LEASE_DURATION) is LeaseState.OUTAGE
    lease.peer_answered(START + LEASE_DURATION, 3, START + SECOND)  # this peer has a valid confirmation
    assert lease.state(START + LEASE_DURATION) is LeaseState.EXPIRED
    lease.peer_answered(START + LEASE_DURATION, 3, START)
    assert lease.state(START + LEASE_DURATION + PEER_ANSWER_LIFETIME) is LeaseState.EXPIRED


def test_in_a_large_fleet_a_few_peers_without_a_confirmation_mean_an_outage() -> None:
    lease = new_lease(replace(WATCHED, agents=200))
    lease.peer_confirmed(START, START - LEASE_DURATION)
    for peer in range(OUTAGE_PEERS):
        assert lease.state(START) is LeaseState.EXPIRED
        lease.peer_answered(START, peer, None)
    assert lease.state(START) is LeaseState.OUTAGE


def test_after_a_move_the_lease_is_shorter_and_a_second_move_does_not_extend_it() -> None:
    lease = new_lease()
    lease.renew(START)
    lease.watch_moved(START + SECOND)
    lease.watch_moved(START + 3 * SECOND)
    assert lease.state(START + SECOND + LEASE_DURATION_AFTER_MOVE - 1) is LeaseState.HELD
    assert lease.state(START + SECOND + LEASE_DURATION_AFTER_MOVE) is LeaseState.EXPIRED


def test_a_peers_confirmation_counts_from_when_discovery_gave_it_and_an_older_one_is_ignored() -> None:
    lease = new_lease()
    assert lease.peer_confirmed(START, START - 2 * SECOND)
    assert lease.source is ListSource.PEER
    assert lease.state(START + LEASE_DURATION - 2 * SECOND - 1) is LeaseState.HELD
    assert not lease.peer_confirmed(START, START - 3 * SECOND)
    assert lease.state(START + LEASE_DURATION - 2 * SECOND) is LeaseState.EXPIRED


def test_a_peers_confirmation_that_cannot_be_applied_makes_the_lease_behind() -> None:
    lease = new_lease()
    lease.peer_is_ahead(START, START - LEASE_DURATION)  # an expired confirmation has no effect
    assert lease.state(START + FIRST_CONFIRMATION_TIMEOUT - 1) is LeaseState.STARTING
    later = START + 2 * SECOND
    for peer in range(1, 5):
        lease.peer_answered(later, peer, None)
    assert lease.state(later) is LeaseState.OUTAGE
    lease.peer_is_ahead(later, later - SECOND)
    assert lease.state(later) is LeaseState.BEHIND
    lease.peer_confirmed(later, later - SECOND)
    assert lease.state(later) is LeaseState.HELD


def test_without_peers_an_expired_lease_counts_as_an_outage() -> None:
    for settings in (
        replace(WATCHED, agents=1),
        replace(settings_with_limits(gossip=False), agents=5, needs_watch=True),
    ):
        assert new_lease(settings).state(START + 99 * SECOND) is LeaseState.OUTAGE


def cut_off_agent() -> EngineHarness:
    """An agent that has had one answer of discovery, and none from discovery or peers since."""
    agent = EngineHarness(replace(WATCHED, rollout=None), server(1), server(2))
    agent.handle(api.ServerListUpdated(ServerListKind.COMPLETE, (server(1), server(2)), 7))
    agent.update_servers(kind=ServerListKind.FAILED)
    return agent


def test_an_agent_with_an_expired_lease_sends_only_to_servers_that_answered_recently() -> None:
    agent = cut_off_agent()
    agent.advance(LEASE_DURATION - SECOND // 2)
    (sent,) = sent_attempts(agent.send_request(IDEMPOTENT))
    agent.end_attempt(sent)
    agent.advance(SECOND // 2)
    assert [agent.may_send(name) for name in (sent.server, 3 - sent.server)] == [True, False]
    agent.advance(RECENT_SUCCESS_AGE)
    assert not agent.may_send(1) and not agent.may_send(2)
    assert not sent_attempts(agent.send_request(IDEMPOTENT))


def test_a_lease_that_expires_while_an_attempt_waits_for_its_connection_stops_it() -> None:
    agent = cut_off_agent()
    agent.advance(LEASE_DURATION - 1)
    (sent,) = sent_attempts(agent.send_request(IDEMPOTENT))
    assert agent.engine.may_write(agent.now, sent.request, 0)
    agent.advance(1)
    assert not agent.engine.may_write(agent.now, sent.request, 0)
    assert not agent.engine.may_act_on(agent.now, sent.server)


def test_a_new_process_sends_nothing_before_a_confirmation_and_a_silent_watch_ends_its_lease() -> None:
    # lists are pushed
    agent = EngineHarness(replace(settings_with_limits(gossip=True), agents=5, rollout=None), server(1))
    assert agent.may_send(1)
    agent.handle(api.WatchInterrupted(WatchInterruption.NOT_OPEN))
    assert not agent.may_send(1)
    agent.handle(api.ServerListUpdated(ServerListKind.DELTA, (), 3))
    assert agent.may_send(1)
    agent.handle(api.WatchInterrupted(WatchInterruption.SILENT))
    agent.advance(LEASE_DURATION)
    assert not agent.may_send(1)


@pytest.mark.parametrize("reason", [WatchInterruption.SILENT, WatchInterruption.MOVED])
def test_each_change_of_the_lease_is_reported_once(reason: WatchInterruption) -> None:
    agent = EngineHarness(replace(WATCHED, rollout=None), server(1))
    (report,) = agent.handle(api.ServerListUpdated(ServerListKind.COMPLETE, (server(1),), 7))
    assert report == api.ReportServerList(7, ListSource.DISCOVERY, "held", 0, 0)
    assert agent.handle(api.WatchInterrupted(reason)) == []
    reports = [each for each in agent.pass_time(8 * SECOND) if isinstance(each, api.ReportServerList)]
    assert [each.lease for each in reports] == ["expired"]


def test_one_peer_withdraws_a_quarter_of_the_servers_at_most_and_two_that_agree_any_number() -> None:
    restrictions = PeerRestrictions(agents=5)
    for name in range(20):
        restrictions.add(START, name, 1, is_confirmed=True)
        restrictions.add(START, name, 2, is_confirmed=False)  # repeats the claim of another peer
    assert len(restrictions.effective(20)) == 5
    for name in range(20):
        restrictions.add(START, name, 3, is_confirmed=True)
    assert restrictions.effective(20) == set(range(20))


def test_a_claim_that_nobody_repeats_expires_and_discovery_supersedes_all() -> None:
    restrictions = PeerRestrictions(agents=5)
    restrictions.add(START, 1, 1, is_confirmed=True)
    restrictions.add(START + CLAIM_LIFETIME // 2, 2, 1, is_confirmed=True)
    assert not restrictions.expire(START + CLAIM_LIFETIME - 1)
    assert restrictions.expire(START + CLAIM_LIFETIME)
    assert restrictions.effective(20) == {2}
    restrictions.clear()
    assert not restrictions.effective(20)


def test_an_agent_whose_configuration_names_no_peers_has_none_to_wait_for() -> None:
    config = make_config(instance("s-1", Address("127.0.0.1", 9)))
    several = replace(config.settings, agents=3, limits=replace(config.settings.limits, gossip=True))
    assert not AgentOnSockets(replace(config, settings=several)).engine.lease.has_peers
    peers = tuple(Address("127.0.0.1", port) for port in (7, 8, 9))
    linked = replace(config, settings=several, peer_listen=peers[0], peers=peers)
    assert AgentOnSockets(linked).engine.lease.has_peers


def test_two_faulty_peers_withdraw_no_more_servers_than_one() -> None:
    """Both claim, as confirmed, that all servers are removed; the 197 other peers claim nothing."""
    server_count = 100
    restrictions = PeerRestrictions(agents=200)
    for peer in (7, 8):
        for server_id in range(server_count):
            restrictions.add(START, server_id, peer, is_confirmed=True)
    assert len(restrictions.effective(server_count)) <= server_count * MAX_UNCONFIRMED_SHARE
