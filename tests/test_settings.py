"""The policy engine under unusual settings."""

from __future__ import annotations

from dataclasses import replace

import pytest

from frostfall import interface as api
from tests.support import (
    IDEMPOTENT,
    KEYED,
    NON_IDEMPOTENT,
    SECOND,
    SETTINGS,
    EngineHarness,
    error_answers,
    sent_attempts,
    server,
    settings_with_limits,
    settings_with_rollout,
)

ODD = {
    "no rollout": replace(SETTINGS, rollout=None),
    "no peers": settings_with_limits(gossip=False),
    "no cancel": settings_with_limits(may_cancel=False),
    "no advice": settings_with_limits(retry_after=False),
    "one attempt": settings_with_limits(max_attempts=1),
    "probes": replace(settings_with_limits(health_checks=True), load_by_health_check=True),
    "probes forbidden": replace(SETTINGS, load_by_health_check=True),
    "many agents": replace(SETTINGS, agents=40, agent=17),
    "number out of range": replace(SETTINGS, agents=2, agent=2),
    "automatic": settings_with_rollout(control=api.RolloutControl.AUTOMATIC, hold_votes=1),
    "replaced servers": settings_with_rollout(keeps_old_servers=False),
    "no warm-up": replace(SETTINGS, rules=replace(SETTINGS.rules, warm_up_duration=0)),
    "no classes": replace(SETTINGS, classes=()),
}


@pytest.mark.parametrize("name", ODD)
def test_a_whole_rollout_runs_under_unusual_settings(name: str) -> None:
    agent = EngineHarness(ODD[name], server(1), server(2), server(9, build=2))
    actions: list[api.Action] = []
    phases = (
        api.RolloutPhase.TRIAL,
        api.RolloutPhase.TRIAL,
        api.RolloutPhase.RELEASED,
        api.RolloutPhase.ROLLING_BACK,
    )
    for stage, phase in enumerate(phases):
        if ODD[name].rollout:
            agent.update_rollout(2, stage=stage, phase=phase, cap=0.5)
        for number in range(30):
            started = agent.send_request(
                (IDEMPOTENT, KEYED, NON_IDEMPOTENT)[number % 3], key=f"k{number}", tenant="unknown"
            )
            for send in sent_attempts(started):
                outcome = api.Outcome.ERROR if number % 7 == 0 else api.Outcome.SUCCESS
                ended = agent.end_attempt(send, outcome)
                actions += ended
                for retry in sent_attempts(ended):
                    actions += agent.end_attempt(retry, attempt=1)
            actions += started + agent.pass_time(100_000)
    actions += agent.pass_time(6 * SECOND)
    assert sent_attempts(actions)
    assert not agent.engine.requests  # all requests have ended
    checked = any(isinstance(action, api.CheckServerHealth) for action in actions)
    assert checked == (name == "probes")
    sent_gossip = any(isinstance(action, api.SendGossip) for action in actions)
    assert sent_gossip == (name in ("many agents", "number out of range"))
    cancelled = any(isinstance(action, api.CancelAttempt) for action in actions)
    assert not (cancelled and name == "no cancel")


def test_an_unknown_class_is_treated_as_unsafe() -> None:
    agent = EngineHarness(SETTINGS, server(1), server(2))
    (send,) = sent_attempts(agent.handle(api.RequestArrived("x", "unheard of", agent.now + SECOND)))
    assert [type(a) for a in error_answers(agent.end_attempt(send, api.Outcome.ERROR))] == [api.FailRequest]


def test_missing_or_partial_load_reports_are_accepted() -> None:
    agent = EngineHarness(SETTINGS, server(1))
    for load in (None, api.LoadReport(), api.LoadReport(queued=3.0), api.LoadReport(in_flight=2.0, cpu=0.5)):
        (send,) = sent_attempts(agent.send_request())
        agent.handle(api.AttemptEnded(send.request, 0, 1, api.Outcome.SUCCESS, 1000, True, load))
    assert agent.engine.servers[1].others_in_flight > 0
