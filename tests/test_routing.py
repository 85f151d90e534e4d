"""The choice of a server for a request."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from frostfall.policy.guards import AttemptGuards
from frostfall.policy.learning import STATISTICS_PARAMETERS
from frostfall.policy.rollout_test import EXCHANGE_PERIOD
from frostfall.policy.routing import MIN_SERVERS, SAMPLE_SIZE, Routing
from frostfall.records import RoutingChoice
from tests.support import SECOND, SETTINGS, EngineHarness, sent_attempts, server


def test_a_low_score_stops_no_traffic_before_a_vote_has_its_outcomes() -> None:
    agent = EngineHarness(SETTINGS, server(1), server(9, build=2))
    agent.update_rollout(2, cap=1.0)
    test = agent.engine.rollout_test.test
    assert test is not None
    test.position, test.settled = -1.0, test.settled._replace(outcomes=4.0)
    assert 9 in {send.server for _ in range(20) for send in sent_attempts(agent.send_request())}
    test.settled = test.settled._replace(outcomes=40.0)
    assert 9 not in {send.server for _ in range(20) for send in sent_attempts(agent.send_request())}


def test_many_agents_do_not_all_pick_the_same_server() -> None:
    picked = {
        sent_attempts(EngineHarness(SETTINGS, *(server(i) for i in range(8)), seed=seed).send_request())[
            0
        ].server
        for seed in range(30)
    }
    assert len(picked) >= 6


def test_the_statistics_of_a_server_fade_with_time() -> None:
    agent = EngineHarness(SETTINGS, server(1), server(2))
    known = agent.engine.servers[1]
    known.slowness, known.error_rate, known.others_in_flight = 8.0, 0.9, 30.0
    known.learned_at = known.reported_at = agent.now
    assert agent.engine.routing.load(agent.now, known) == 31
    agent.advance(12 * SECOND)
    known.decay(agent.now, STATISTICS_PARAMETERS.server_decay_time)
    assert known.slowness < 1.2
    assert known.error_rate < 0.05
    assert agent.engine.routing.load(agent.now, known) == pytest.approx(1.0)


def test_a_failing_server_is_compared_with_others_of_its_build() -> None:
    agent = EngineHarness(SETTINGS, server(1), server(2), server(8, build=2), server(9, build=2))
    agent.update_rollout(2, cap=1.0)
    engine, profiles = agent.engine, agent.engine.statistics.profiles
    agent.send_request()
    request = engine.requests["q1"]

    def cost(name: int) -> float:
        entry, routing = engine.servers[name], engine.routing
        load, sharpness = routing.load(agent.now, entry), routing.sharpness(agent.now, entry)
        choice = RoutingChoice(entry, load, mean_load=1.0, sharpness=sharpness)
        return routing.cost(agent.now, request, choice, informed=1.0)

    for name in (1, 2, 8, 9):
        engine.servers[name].in_flight.clear()
    for name in (8, 9):
        engine.servers[name].error_rate, engine.servers[name].learned_at = 0.6, agent.now
    profiles[2].error_rate = 0.6
    # If a whole build fails, routing does not avoid its servers: the test's score decides.
    assert cost(9) < 1.2 * min(cost(1), cost(2))
    engine.servers[8].error_rate, profiles[2].error_rate = 0.0, 0.3
    assert cost(9) > 1.3 * cost(8)  # if one server fails, it is avoided


@pytest.mark.parametrize("servers", [30, 600])
def test_the_work_of_a_request_and_of_an_idle_second_does_not_grow_with_the_fleet(
    servers: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    agent = EngineHarness(replace(SETTINGS, agents=1000), *(server(i) for i in range(servers)))
    calls: list[int] = []
    for owner, name in ((Routing, "cost"), (AttemptGuards, "may_send")):
        original = getattr(owner, name)

        def counted(policy: object, *args: object, original: Callable[..., object] = original) -> object:
            calls.append(1)
            return original(policy, *args)

        monkeypatch.setattr(owner, name, counted)
    assert sent_attempts(agent.send_request())
    assert len(calls) <= 2 * SAMPLE_SIZE + 1
    calls.clear()
    assert len(agent.pass_time(SECOND)) <= 2 * SECOND // EXCHANGE_PERIOD  # a timer and a message per exchange
    assert not calls


def test_an_agent_uses_few_servers_and_all_agents_together_use_all_of_them() -> None:
    used: set[int] = set()
    for i in range(100):
        agent = EngineHarness(replace(SETTINGS, agent=i, agents=100), *(server(j) for j in range(60)), seed=i)
        own = set()
        for _ in range(30):
            agent.advance(SECOND)
            (send,) = sent_attempts(agent.send_request())
            agent.end_attempt(send)
            own.add(send.server)
        # Hundreds of agents with connections to every server would fill the servers' connection tables.
        assert len(own) <= MIN_SERVERS
        used |= own
    assert len(used) == 60
