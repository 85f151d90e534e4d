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
from tests.support import IDEMPOTENT, SECOND, SETTINGS, EngineHarness, sent_attempts, server

HOUR = 3600 * SECOND
COMPLETE = api.ServerListKind.COMPLETE


def test_an_agent_whose_clock_is_an_hour_behind_sends_to_servers_at_once() -> None:
    agent = EngineHarness(SETTINGS, *(server(n, started=100 * SECOND + HOUR) for n in range(4)))
    # If the servers were treated as cold until the clock has caught up, they would get almost no requests for
    # an hour.
    for _ in range(50):
        (send,) = sent_attempts(agent.send_request())
        agent.advance(20_000)
        agent.end_attempt(send)


def test_a_server_that_is_added_at_an_agent_whose_clock_is_an_hour_ahead_is_cold() -> None:
    agent = EngineHarness(SETTINGS, server(1), build=1)
    agent.update_servers(server(1), kind=COMPLETE)
    agent.advance(SECOND)
    agent.update_servers(server(2, started=agent.now - HOUR))
    assert agent.engine.servers[2].age(agent.now) == 0
    assert agent.engine.servers[2].warm_up_share(agent.now, SETTINGS.rules) < 1
    assert agent.may_send(1, IDEMPOTENT)


def test_a_server_restarted_on_a_machine_whose_clock_is_an_hour_behind_is_cold() -> None:
    agent = EngineHarness(SETTINGS, server(1, started=90 * SECOND), server(2), build=1)
    agent.update_servers(server(1, started=90 * SECOND), server(2), kind=COMPLETE)
    agent.advance(SECOND)
    agent.update_servers(server(1, started=agent.now - HOUR))
    assert agent.engine.servers[1].age(agent.now) == 0


@pytest.mark.parametrize("clock_error", [HOUR, -HOUR, 20 * SECOND, -20 * SECOND])
@pytest.mark.parametrize("kind", [COMPLETE, api.ServerListKind.DELTA])
def test_a_server_that_has_just_started_is_cold_in_discoverys_first_answer(
    clock_error: int, kind: api.ServerListKind
) -> None:
    agent = EngineHarness(SETTINGS, server(1), build=1)
    agent.advance(SECOND)
    true_time = agent.now - clock_error
    agent.handle(api.DiscoveryTimeRead(true_time))
    agent.update_servers(
        server(1), server(2, started=true_time - SECOND), server(3, started=true_time - HOUR), kind=kind
    )
    servers = agent.engine.servers
    assert servers[2].age(agent.now) == SECOND
    assert (
        servers[3].warm_up_share(agent.now, SETTINGS.rules)
        == servers[1].warm_up_share(agent.now, SETTINGS.rules)
        == 1
    )


@pytest.mark.parametrize("clock_error", [HOUR, -HOUR])
def test_a_server_that_started_just_before_the_agent_is_cold_once_discoverys_time_is_known(
    clock_error: int,
) -> None:
    true_start = 100 * SECOND - clock_error - 2 * SECOND  # the agent starts at 100 s by its own clock
    agent = EngineHarness(SETTINGS, server(1, started=true_start), server(2), build=1)
    agent.advance(SECOND)
    agent.handle(api.DiscoveryTimeRead(agent.now - clock_error))
    assert agent.engine.servers[1].age(agent.now) == 3 * SECOND
    assert agent.engine.servers[2].warm_up_share(agent.now, SETTINGS.rules) == 1
    # The first estimate of a start time stays, whatever time the next answer has.
    agent.advance(SECOND)
    agent.handle(api.DiscoveryTimeRead(agent.now - clock_error + SECOND))
    assert agent.engine.servers[1].age(agent.now) == 4 * SECOND


def test_a_date_that_differs_by_less_than_its_resolution_changes_nothing() -> None:
    agent = EngineHarness(SETTINGS, server(1, started=98 * SECOND), build=1)
    agent.advance(SECOND)
    agent.handle(api.DiscoveryTimeRead(agent.now - 1_900_000))
    assert agent.engine.servers[1].age(agent.now) == 3 * SECOND


@pytest.mark.parametrize("clock_error", [HOUR, -HOUR])
def test_a_server_that_is_new_in_a_complete_list_after_an_earlier_one_is_cold(clock_error: int) -> None:
    agent = EngineHarness(SETTINGS, server(1), build=1)
    agent.update_servers(server(1), kind=COMPLETE)
    agent.advance(SECOND)
    agent.update_servers(server(1), server(2, started=agent.now - clock_error), kind=COMPLETE)
    assert agent.engine.servers[2].age(agent.now) == 0
