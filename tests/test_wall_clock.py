"""An agent that starts while the wall clock of its machine is wrong."""

from __future__ import annotations

from frostfall import interface as api
from tests.support import SAFE, SETTINGS, Agent, S, sends, server

HOUR = 3600 * S
COMPLETE = api.ServerListKind.COMPLETE


def test_an_agent_whose_clock_is_an_hour_behind_sends_to_servers_at_once() -> None:
    agent = Agent(SETTINGS, *(server(n, started=100 * S + HOUR) for n in range(4)))
    # Danger: taken for cold until the clock has caught up, they get next to nothing for an hour.
    for _ in range(50):
        (send,) = sends(agent.ask())
        agent.advance(20_000)
        agent.end(send)


def test_a_server_that_comes_to_an_agent_whose_clock_is_an_hour_ahead_is_cold() -> None:
    agent = Agent(SETTINGS, server(1), build=1)
    agent.listed(server(1), kind=COMPLETE)
    agent.advance(S)
    agent.listed(server(2, started=agent.now - HOUR))
    assert agent.engine.servers[2].age(agent.now) == 0
    assert agent.engine.servers[2].warmth(agent.now, SETTINGS.rules) < 1
    assert agent.may(1, SAFE)


def test_a_server_restarted_by_a_machine_whose_clock_is_an_hour_behind_is_cold() -> None:
    agent = Agent(SETTINGS, server(1, started=90 * S), server(2), build=1)
    agent.listed(server(1, started=90 * S), server(2), kind=COMPLETE)
    agent.advance(S)
    agent.listed(server(1, started=agent.now - HOUR))
    assert agent.engine.servers[1].age(agent.now) == 0
