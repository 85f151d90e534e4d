"""An agent that starts while the wall clock of its machine is wrong.

The failure: an agent whose clock was off by an hour treated a server that had just started as warm, and sent
it 81 and 83 requests in its first second, where 43 are usual (rule `failback`). It computed the server's age
from `startedAtMs` and its own clock whenever it had no earlier update from discovery: for the list of its
configuration, for discovery's first answer, and for every complete list, as after SIGHUP. The `Date` of each
of discovery's answers shows the error of the clock. In a complete list that follows an earlier one, the age
of a new server has an upper bound, as it has in a delta.
"""

from __future__ import annotations

import pytest

from frostfall import interface as api
from tests.support import SAFE, SETTINGS, Agent, S, sends, server

HOUR = 3600 * S
COMPLETE = api.ServerListKind.COMPLETE


def test_an_agent_whose_clock_is_an_hour_behind_sends_to_servers_at_once() -> None:
    agent = Agent(SETTINGS, *(server(n, started=100 * S + HOUR) for n in range(4)))
    # If the servers were treated as cold until the clock has caught up, they would get almost no requests for
    # an hour.
    for _ in range(50):
        (send,) = sends(agent.ask())
        agent.advance(20_000)
        agent.end(send)


def test_a_server_that_is_added_at_an_agent_whose_clock_is_an_hour_ahead_is_cold() -> None:
    agent = Agent(SETTINGS, server(1), build=1)
    agent.listed(server(1), kind=COMPLETE)
    agent.advance(S)
    agent.listed(server(2, started=agent.now - HOUR))
    assert agent.engine.servers[2].age(agent.now) == 0
    assert agent.engine.servers[2].warm_up_share(agent.now, SETTINGS.rules) < 1
    assert agent.may(1, SAFE)


def test_a_server_restarted_on_a_machine_whose_clock_is_an_hour_behind_is_cold() -> None:
    agent = Agent(SETTINGS, server(1, started=90 * S), server(2), build=1)
    agent.listed(server(1, started=90 * S), server(2), kind=COMPLETE)
    agent.advance(S)
    agent.listed(server(1, started=agent.now - HOUR))
    assert agent.engine.servers[1].age(agent.now) == 0


@pytest.mark.parametrize("clock_error", [HOUR, -HOUR, 20 * S, -20 * S])
@pytest.mark.parametrize("kind", [COMPLETE, api.ServerListKind.DELTA])
def test_a_server_that_has_just_started_is_cold_in_discoverys_first_answer(
    clock_error: int, kind: api.ServerListKind
) -> None:
    agent = Agent(SETTINGS, server(1), build=1)
    agent.advance(S)
    true_time = agent.now - clock_error
    agent.tell(api.DiscoveryTimeRead(true_time))
    agent.listed(server(1), server(2, started=true_time - S), server(3, started=true_time - HOUR), kind=kind)
    servers = agent.engine.servers
    assert servers[2].age(agent.now) == S
    assert (
        servers[3].warm_up_share(agent.now, SETTINGS.rules)
        == servers[1].warm_up_share(agent.now, SETTINGS.rules)
        == 1
    )


@pytest.mark.parametrize("clock_error", [HOUR, -HOUR])
def test_a_server_that_started_just_before_the_agent_is_cold_once_discoverys_time_is_known(
    clock_error: int,
) -> None:
    true_start = 100 * S - clock_error - 2 * S  # the agent starts at 100 s by its own clock
    agent = Agent(SETTINGS, server(1, started=true_start), server(2), build=1)
    agent.advance(S)
    agent.tell(api.DiscoveryTimeRead(agent.now - clock_error))
    assert agent.engine.servers[1].age(agent.now) == 3 * S
    assert agent.engine.servers[2].warm_up_share(agent.now, SETTINGS.rules) == 1
    # The first estimate of a start time stays, whatever time the next answer has.
    agent.advance(S)
    agent.tell(api.DiscoveryTimeRead(agent.now - clock_error + S))
    assert agent.engine.servers[1].age(agent.now) == 4 * S


def test_a_date_that_differs_by_less_than_its_resolution_changes_nothing() -> None:
    agent = Agent(SETTINGS, server(1, started=98 * S), build=1)
    agent.advance(S)
    agent.tell(api.DiscoveryTimeRead(agent.now - 1_900_000))
    assert agent.engine.servers[1].age(agent.now) == 3 * S


@pytest.mark.parametrize("clock_error", [HOUR, -HOUR])
def test_a_server_that_is_new_in_a_complete_list_after_an_earlier_one_is_cold(clock_error: int) -> None:
    agent = Agent(SETTINGS, server(1), build=1)
    agent.listed(server(1), kind=COMPLETE)
    agent.advance(S)
    agent.listed(server(1), server(2, started=agent.now - clock_error), kind=COMPLETE)
    assert agent.engine.servers[2].age(agent.now) == 0
