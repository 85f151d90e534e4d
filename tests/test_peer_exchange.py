"""Messages between agents about a running test, and their effect on the scores."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from frostfall import interface as api
from frostfall.mechanisms.mixing import exchange_partner
from frostfall.mechanisms.sequential_test import (
    GossipMessage,
    Innovations,
    RoundTotals,
    Scores,
    SequentialTest,
)
from frostfall.policy.rollout_test import EXCHANGE_PERIOD
from tests.support import SECOND, SETTINGS, EngineHarness, server


def agent_in_test(agents: int = 3) -> EngineHarness:
    agent = EngineHarness(replace(SETTINGS, agents=agents), server(1), server(9, build=2))
    agent.update_rollout(2)
    return agent


def message(agent: EngineHarness, totals: RoundTotals, build: int = 2, stage: int = 0, late: int = 0) -> str:
    """Return the message that a peer would send for the agent's current slot."""
    return GossipMessage(build, stage, agent.engine.schedule.slot - late, totals).encode()


def peer(agent: EngineHarness) -> int:
    """Return the agent's partner in the current slot."""
    schedule = agent.engine.schedule
    return exchange_partner(schedule.agent, schedule.agents, schedule.slot, schedule.exchanges)


def advance_to_partner(agent: EngineHarness) -> int:
    """Advance to a slot in which the agent has a partner, and return the partner."""
    agent.pass_time(EXCHANGE_PERIOD)
    while peer(agent) == agent.engine.settings.agent:
        agent.pass_time(EXCHANGE_PERIOD)
    return peer(agent)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "s",
        "s 2 0 1.0 1.0",
        "AAAA",
        "=",
        "\u00e9",
        "A" * 255,
        GossipMessage(2, 0, 0, RoundTotals(*[math.nan] * 13)).encode(),
        GossipMessage(2, 0, 0, RoundTotals(*[-9.0] * 13)).encode(),
    ],
)
def test_malformed_messages_are_ignored(text: str) -> None:
    agent = agent_in_test()
    agent.handle(api.GossipReceived(advance_to_partner(agent), text))
    assert agent.engine.rollout_test.test is not None
    assert agent.engine.rollout_test.test.received is None


def test_only_messages_of_this_slots_partner_on_the_same_build_and_stage_count() -> None:
    agent = agent_in_test()
    other = advance_to_partner(agent)
    test, numbers = agent.engine.rollout_test.test, RoundTotals(-3.0, 0.0, -1.0, 9.0)
    assert test is not None
    agent.handle(api.GossipReceived(3 - other, message(agent, numbers)))
    agent.handle(api.GossipReceived(7, message(agent, numbers)))
    agent.handle(api.GossipReceived(other, message(agent, numbers, build=3)))
    agent.handle(api.GossipReceived(other, message(agent, numbers, stage=1)))
    agent.handle(api.GossipReceived(other, message(agent, numbers, late=1)))
    assert test.received is None
    agent.handle(api.GossipReceived(other, message(agent, numbers)))
    assert test.received == numbers
    agent.pass_time(EXCHANGE_PERIOD)
    # The mean of both; it has moved to the scores if the round has ended.
    assert test.totals.failure_score + test.scores.failures in (-1.5, -3.0)


def test_a_silent_peer_freezes_no_score() -> None:
    agent = agent_in_test()
    test = agent.engine.rollout_test.test
    assert test is not None
    agent.handle(api.GossipReceived(advance_to_partner(agent), message(agent, RoundTotals(-9.0))))
    agent.pass_time(3 * SECOND)
    settled = test.scores.failures
    assert settled == -4.5  # half of the peer's -9, added once
    agent.pass_time(5 * SECOND)
    assert test.scores.failures == settled


def test_with_silent_peers_an_agent_uses_the_band_of_a_single_agent() -> None:
    agent = agent_in_test(200)
    test = agent.engine.rollout_test.test
    assert test is not None
    agent.pass_time(3 * SECOND)
    test.settled = test.settled._replace(outcomes=50.0)
    bands = agent.engine.rollout_test.hypotheses.bands
    alone = bands(test)[0]
    test.mixed_exchanges, test.missed_exchanges = agent.engine.schedule.exchanges, 0
    pooled = bands(test)[0]
    # With the band for the mean of 200 agents, a single failure at this agent would cause a rollback.
    assert alone.lower < -math.log(6) < pooled.lower < 0
    assert test.effective_agents == 200


def test_exchanges_missed_by_others_widen_the_band_as_own_ones_do() -> None:
    agent = agent_in_test(200)
    test = agent.engine.rollout_test.test
    assert test is not None
    agent.pass_time(3 * SECOND)
    test.exchanges = test.slots  # this agent missed none, but the mean over all agents is six
    test.totals = test.totals._replace(missed_exchanges=6.0)
    agent.engine.rollout_test.end_round(agent.now, test)
    assert test.effective_agents == 2 ** (agent.engine.schedule.exchanges - 6)


def run_exchanges(agents: int, cut: frozenset[int] = frozenset(), bad: int = 0) -> list[EngineHarness]:
    """Run agents for three rounds: `cut` are behind a partition, the first `bad` have one failure each."""
    fleet = [
        EngineHarness(replace(SETTINGS, agent=i, agents=agents), server(1), server(9, build=2), seed=i)
        for i in range(agents)
    ]
    for i, agent in enumerate(fleet):
        agent.update_rollout(2, cap=1.0)
        test = agent.engine.rollout_test.test
        assert test is not None
        test.innovations = Innovations(failure_evidence=-1.8 * (i < bad), outcomes=1)
    for _ in range(3 * fleet[0].engine.schedule.exchanges):
        sent = [(i, action) for i, agent in enumerate(fleet) for action in agent.pass_time(EXCHANGE_PERIOD)]
        for i, action in sent:
            if isinstance(action, api.SendGossip) and (i in cut) == (action.peer in cut):
                fleet[action.peer].handle(api.GossipReceived(i, action.text))
    return fleet


def test_hundreds_of_agents_converge_to_the_same_score_in_two_rounds() -> None:
    tests = [agent.engine.rollout_test.test for agent in run_exchanges(150, bad=30)]
    scores = [test.scores.failures for test in tests if test]
    assert sum(scores) / 150 == pytest.approx(-1.8 * 30 / 150, rel=0.01)
    assert max(scores) - min(scores) < 0.05 * 1.8 * 30 / 150


def test_agents_behind_a_partition_do_not_get_the_others_score() -> None:
    fleet = run_exchanges(24, cut=frozenset(range(18, 24)), bad=12)
    tests = [agent.engine.rollout_test.test for agent in fleet]
    here = [test.scores.failures for test in tests[:18] if test]
    there = [test.scores.failures for test in tests[18:] if test]
    assert max(here) < 0
    assert there == [0.0] * 6


def test_scores_are_reset_for_each_build_and_stage() -> None:
    agent = agent_in_test()
    first = agent.engine.rollout_test.test
    assert first is not None
    first.scores = Scores(failures=-3.0)
    agent.update_rollout(2)
    assert agent.engine.rollout_test.test is first
    agent.update_rollout(2, stage=1)
    assert isinstance(agent.engine.rollout_test.test, SequentialTest)
    assert agent.engine.rollout_test.test.scores == Scores(0.0, 0.0, 0.0)
    agent.update_rollout(2, phase=api.RolloutPhase.ROLLED_BACK, cap=0.0)
    assert agent.engine.rollout_test.test is None
