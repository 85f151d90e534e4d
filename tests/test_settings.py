"""The policy engine under unusual settings."""

from __future__ import annotations

from dataclasses import replace

import pytest

from frostfall import interface as api
from tests.support import KEYED, SAFE, SETTINGS, UNSAFE, Agent, S, answers, limits, rollout, sends, server

ODD = {
    "no rollout": replace(SETTINGS, rollout=None),
    "no peers": limits(gossip=False),
    "no cancel": limits(may_cancel=False),
    "no advice": limits(retry_after=False),
    "one attempt": limits(max_attempts=1),
    "probes": replace(limits(health_checks=True), load_by_health_check=True),
    "probes forbidden": replace(SETTINGS, load_by_health_check=True),
    "many agents": replace(SETTINGS, agents=40, agent=17),
    "number out of range": replace(SETTINGS, agents=2, agent=2),
    "automatic": rollout(control=api.RolloutControl.AUTOMATIC, hold_votes=1),
    "replaced servers": rollout(keeps_old_servers=False),
    "no warm-up": replace(SETTINGS, rules=replace(SETTINGS.rules, warm_up_duration=0)),
    "no classes": replace(SETTINGS, classes=()),
}


@pytest.mark.parametrize("name", ODD)
def test_a_whole_rollout_runs_under_unusual_settings(name: str) -> None:
    agent = Agent(ODD[name], server(1), server(2), server(9, build=2))
    actions: list[api.Action] = []
    phases = (
        api.RolloutPhase.TRIAL,
        api.RolloutPhase.TRIAL,
        api.RolloutPhase.RELEASED,
        api.RolloutPhase.ROLLING_BACK,
    )
    for stage, phase in enumerate(phases):
        if ODD[name].rollout:
            agent.news(2, stage=stage, phase=phase, cap=0.5)
        for number in range(30):
            started = agent.ask((SAFE, KEYED, UNSAFE)[number % 3], key=f"k{number}", tenant="unknown")
            for send in sends(started):
                outcome = api.Outcome.ERROR if number % 7 == 0 else api.Outcome.SUCCESS
                ended = agent.end(send, outcome)
                actions += ended
                for retry in sends(ended):
                    actions += agent.end(retry, attempt=1)
            actions += started + agent.pass_time(100_000)
    actions += agent.pass_time(6 * S)
    assert sends(actions)
    assert not agent.engine.requests  # all requests have ended
    checked = any(isinstance(action, api.CheckServerHealth) for action in actions)
    assert checked == (name == "probes")
    sent_gossip = any(isinstance(action, api.SendGossip) for action in actions)
    assert sent_gossip == (name in ("many agents", "number out of range"))
    cancelled = any(isinstance(action, api.CancelAttempt) for action in actions)
    assert not (cancelled and name == "no cancel")


def test_an_unknown_class_is_treated_as_unsafe() -> None:
    agent = Agent(SETTINGS, server(1), server(2))
    (send,) = sends(agent.tell(api.RequestArrived("x", "unheard of", agent.now + S)))
    assert [type(a) for a in answers(agent.end(send, api.Outcome.ERROR))] == [api.FailRequest]


def test_missing_or_partial_load_reports_are_accepted() -> None:
    agent = Agent(SETTINGS, server(1))
    for load in (None, api.LoadReport(), api.LoadReport(queued=3.0), api.LoadReport(in_flight=2.0, cpu=0.5)):
        (send,) = sends(agent.ask())
        agent.tell(api.AttemptEnded(send.request, 0, 1, api.Outcome.SUCCESS, 1000, True, load))
    assert agent.engine.servers[1].others_in_flight > 0
