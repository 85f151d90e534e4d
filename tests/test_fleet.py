"""Whole fleets in virtual time: what all agents do together, at 3, 40 and 200 of them."""

from __future__ import annotations

from dataclasses import replace

import pytest

from frostfall import interface as api
from frostfall.model.event_queue import SECOND
from frostfall.model.fleet import START, Fleet
from frostfall.model.fleet_statistics import RequestOutcome
from frostfall.model.servers import QueueingServer, ServerFault
from tests.support import KEYED, ROLLOUT, SAFE, SETTINGS, server

FEW_PEERS = replace(SETTINGS.limits, gossip=True)
VOTES = replace(ROLLOUT, votes_per_second=50.0)


def make_fleet(agents: int, servers: int, trial: int = 0, bad: float = 0.0, seed: int = 1) -> Fleet:
    """A fleet whose last servers run the trial build and fail in this share, all of them long warm."""
    told = replace(SETTINGS, agents=agents, classes=(SAFE, KEYED), limits=FEW_PEERS, rollout=VOTES)
    made = [QueueingServer(server(n, build=1 + (n >= servers - trial))) for n in range(servers)]
    for each in made[servers - trial :]:
        each.faults = [ServerFault(error_share=bad)] if bad else []
    return Fleet(told, made, seed)


@pytest.mark.parametrize(("agents", "seed"), [(3, 1), (3, 3), (3, 5), (3, 6), (40, 1), (40, 2), (200, 1)])
def test_machines_that_fail_by_themselves_send_no_good_build_back(agents: int, seed: int) -> None:
    """Three of thirty machines on trial begin to fail.

    What happened: with seeds 3, 5 and 6 (of 1 to 20) an agent voted BACK in the round in which their first
    failures came, one or two each, and ON in the next, once each machine's second failure told it from the
    others. Where one vote is enough, that is the fleet's verdict.
    """
    fleet = make_fleet(agents, 60, trial=30, seed=seed)
    for name in (57, 58, 59):
        fleet.servers[name].faults = [ServerFault(begins=START + 3 * SECOND, error_share=0.5)]
    fleet.generate_traffic(600, fleet.now + 12 * SECOND)
    fleet.run(SECOND)
    fleet.publish_rollout(api.RolloutState(2, 2, api.RolloutPhase.TRIAL, 1.0, 0, api.VoteReply.NONE))
    fleet.run(10 * SECOND)
    verdicts = {vote.verdict for vote in fleet.statistics.votes}
    assert verdicts == {api.Verdict.ON}
    # Each agent alone meets a bad server every other second and has forgotten it by then.
    late = [error.at for error in fleet.statistics.errors if error.at > START + 8 * SECOND]
    early = [error.at for error in fleet.statistics.errors if error.at < START + 5 * SECOND]
    assert len(late) / 3 < 0.5 * len(early) / 2


@pytest.mark.parametrize("agents", [3, 40, 200])
def test_a_bad_build_is_sent_back(agents: int) -> None:
    fleet = make_fleet(agents, 40, trial=10, bad=0.3)
    fleet.generate_traffic(400, fleet.now + 8 * SECOND)
    fleet.run(SECOND)
    fleet.publish_rollout(api.RolloutState(2, 1, api.RolloutPhase.TRIAL, 0.5, 0, api.VoteReply.NONE))
    fleet.run(6 * SECOND)
    backs = fleet.statistics.vote_times(api.Verdict.BACK)
    assert backs
    assert min(backs) < START + 5 * SECOND
    assert not [vote for vote in fleet.statistics.votes if vote.verdict is api.Verdict.ON]


def test_each_request_has_one_final_answer() -> None:
    fleet = make_fleet(40, 20, seed=3)
    fleet.servers[3].faults = [ServerFault(silent=True)]
    fleet.servers[4].faults = [ServerFault(error_share=0.7)]
    fleet.generate_traffic(300, fleet.now + 5 * SECOND)
    fleet.run(12 * SECOND)
    assert fleet.statistics.duplicate_answers == 0
    assert sum(fleet.statistics.outcomes.values()) == fleet.statistics.requests
    assert fleet.statistics.outcomes[RequestOutcome.SERVED] > 0.97 * fleet.statistics.requests


@pytest.mark.parametrize("agents", [3, 80])
def test_a_fleet_that_is_all_cold_is_used_up_to_its_budget_and_not_beyond(agents: int) -> None:
    fleet, rate = make_fleet(agents, 60, seed=4), 300.0
    fleet.generate_traffic(rate, fleet.now + 10 * SECOND)
    fleet.run(6 * SECOND)
    before, began = fleet.statistics.outcomes[RequestOutcome.REJECTED], fleet.now
    for each in fleet.servers.values():
        each.info = replace(each.info, started_at=began)
        each.arrivals.clear()
    fleet.publish_server_list()
    fleet.run(3 * SECOND)
    # With the twelve servers it keeps to, an agent has a fifth of its part of the budget.
    assert fleet.statistics.outcomes[RequestOutcome.REJECTED] - before < 0.4 * 3 * rate
    rules = fleet.settings.rules
    for each in fleet.servers.values():
        times = [arrival.at for arrival in each.arrivals]
        for at in times:
            share = rules.warm_up_initial_share + (1 - rules.warm_up_initial_share) * min(
                (at - began) / rules.warm_up_duration, 1
            )
            within = sum(at - rules.overload_window < other <= at for other in times)
            assert within <= rules.overload_multiple * share * rate / 60 * rules.overload_window / SECOND + 1


def test_waiting_for_servers_that_are_gone_refuses_nobody() -> None:
    fleet = make_fleet(40, 60, seed=5)
    for name in range(20):
        fleet.servers[name].info = replace(fleet.servers[name].info, zone="b")
    fleet.publish_server_list()
    fleet.generate_traffic(300, fleet.now + 8 * SECOND)
    fleet.run(4 * SECOND)
    for name in range(20):
        fleet.servers[name].faults = [ServerFault(silent=True)]
    fleet.run(4 * SECOND)
    assert fleet.statistics.outcomes[RequestOutcome.REJECTED] < 0.03 * 300 * 3
    # Each agent would find each server of a lost zone by itself, a time-out at a time.
    lost = [
        sum(arrival.at > fleet.now - SECOND for arrival in fleet.servers[name].arrivals) for name in range(20)
    ]
    assert sum(lost) < 0.4 * 300 / 3


@pytest.mark.parametrize("agents", [40, 200])
def test_a_build_that_sours_everywhere_is_sent_back_soon(agents: int) -> None:
    fleet = make_fleet(agents, 60, trial=60)
    for each in fleet.servers.values():
        each.faults = [ServerFault(begins=START + 4 * SECOND, error_share=0.12)]
    fleet.generate_traffic(400, fleet.now + 9 * SECOND)
    fleet.run(SECOND)
    fleet.publish_rollout(api.RolloutState(2, 2, api.RolloutPhase.RELEASED, 1.0, 0, api.VoteReply.NONE))
    fleet.run(8 * SECOND)
    # The worst of many machines look as if they failed alone, and would be excused one by one.
    backs = fleet.statistics.vote_times(api.Verdict.BACK)
    assert backs and min(backs) < START + 7 * SECOND


def test_what_is_known_of_a_stage_that_has_passed_is_told_no_more() -> None:
    fleet = make_fleet(40, 60, trial=30, bad=0.2)
    fleet.generate_traffic(400, fleet.now + 9 * SECOND)
    fleet.run(SECOND)
    fleet.publish_rollout(api.RolloutState(2, 2, api.RolloutPhase.TRIAL, 1.0, 0, api.VoteReply.NONE))
    fleet.run(3 * SECOND)
    fleet.publish_rollout(api.RolloutState(2, 2, api.RolloutPhase.ROLLED_BACK, 0.0, 0, api.VoteReply.NONE))
    for each in fleet.servers.values():
        each.faults, each.info = [], replace(each.info, build=1, started_at=1)
    fleet.publish_server_list()
    fleet.run(2 * SECOND)
    sizes = [len(agent.shared_health.build_message(agent.schedule.slot, 200)) for agent in fleet.agents]
    # Evidence that nobody needs any more went round in full messages for the rest of the day.
    assert max(sizes) < 50


def test_a_run_is_the_same_every_time_and_messages_stay_short_while_all_is_well() -> None:
    def once() -> tuple[dict[str, int], int, list[int]]:
        fleet = make_fleet(40, 20, seed=7)
        fleet.generate_traffic(200, fleet.now + 3 * SECOND)
        fleet.run(3 * SECOND)
        sizes = [len(agent.shared_health.build_message(agent.schedule.slot, 200)) for agent in fleet.agents]
        return dict(fleet.statistics.outcomes), fleet.statistics.messages, sizes

    first = once()
    assert first == once()
    assert max(first[2]) < 10


@pytest.mark.parametrize("agents", [3, 40, 200])
def test_a_mass_restart_spreads_its_calls_for_the_list(agents: int) -> None:
    told = replace(SETTINGS, agents=agents, needs_watch=True, limits=FEW_PEERS)
    fleet = Fleet(told, [QueueingServer(server(n)) for n in range(20)], seed=2)
    fleet.run(3 * SECOND)
    fleet.statistics.list_calls.clear()
    fleet.restart(range(agents * 7 // 10))
    fleet.run(12 * SECOND)
    callers = {call.agent for call in fleet.statistics.list_calls}
    assert callers >= set(range(agents * 7 // 10))
    # Discovery works through calls in turn, and turns away who comes with all the others.
    assert fleet.statistics.peak_list_calls() <= max(agents * 7 // 10 * 0.75, 2)


@pytest.mark.parametrize("agents", [3, 40, 200])
def test_exposure_stays_under_the_cap_in_every_window(agents: int) -> None:
    fleet = make_fleet(agents, 30, trial=3)
    fleet.generate_traffic(300, fleet.now + 7 * SECOND)
    fleet.run(2 * SECOND)
    taken = fleet.statistics.requests
    fleet.publish_rollout(api.RolloutState(2, 0, api.RolloutPhase.TRIAL, 0.1, 0, api.VoteReply.NONE))
    fleet.run(4 * SECOND)
    sent = [
        arrival.at
        for name in (27, 28, 29)
        for arrival in fleet.servers[name].arrivals
        if arrival.at > START + 2 * SECOND
    ]
    assert sent
    window, rate = ROLLOUT.exposure_window, (fleet.statistics.requests - taken) / 4
    most = max(sum(at - window < other <= at for other in sent) for at in sent)
    # Each agent keeps to its own part: a few attempts that go uncounted, and the cap of what it has taken.
    assert most <= ROLLOUT.uncounted_attempts * agents + 0.1 * rate * window / SECOND * 1.5


def known_to_all(fleet: Fleet, name: int, most: int, among: range) -> int:
    """Turns until all of these know that a server errs, of so many."""
    start = fleet.servers[name].info
    for turns in range(most):
        if all(
            fleet.agents[n].shared_health.failure_share((start.id, start.started_at)) > 0.2 for n in among
        ):
            return turns
        fleet.run(fleet.agents[0].schedule.period)
    return most


@pytest.mark.parametrize("agents", [3, 40, 200])
def test_what_one_knows_reaches_all_in_two_rounds_and_a_part_that_was_cut_off_once_it_is_back(
    agents: int,
) -> None:
    fleet = make_fleet(agents, 10, seed=6)
    fleet.run(SECOND)
    half = range(agents // 2)
    fleet.is_cut = lambda sender, receiver: (sender in half) != (receiver in half)
    fleet.run(3 * SECOND)
    for _ in range(2 * agents):
        fleet.agents[-1].shared_health.record_attempt((3, 0), "a", True, False)
    fleet.run(4 * SECOND)
    assert all(
        not agent.shared_health.failure_share((3, 0)) for agent in fleet.agents[: agents // 2]
    )  # cut off
    fleet.is_cut = lambda sender, receiver: False
    rounds = fleet.agents[0].schedule.exchanges
    for _ in range(2 * agents):
        fleet.agents[0].shared_health.record_attempt((4, 0), "a", True, False)
    assert known_to_all(fleet, 4, 99, range(agents)) <= 2 * rounds + 1


def test_on_trial_a_large_fleet_exchanges_twice_as_often_and_votes_sooner() -> None:
    fleet = make_fleet(200, 60, trial=20, seed=8)
    fleet.generate_traffic(500, fleet.now + 6 * SECOND)
    fleet.run(SECOND)
    fleet.publish_rollout(api.RolloutState(2, 1, api.RolloutPhase.TRIAL, 0.5, 0, api.VoteReply.NONE))
    fleet.run(3 * SECOND)
    ons = fleet.statistics.vote_times(api.Verdict.ON)
    # At a hundred milliseconds a turn, ten outcomes of the first half second were known 2 s later.
    assert ons and min(ons) <= START + 2 * SECOND + 700_000
    assert {agent.schedule.period for agent in fleet.agents} == {50_000}
    fleet.publish_rollout(api.RolloutState(2, 1, api.RolloutPhase.RELEASED, 1.0, 0, api.VoteReply.NONE))
    assert {agent.schedule.period for agent in fleet.agents} == {100_000}
    timed = Fleet(
        replace(fleet.settings, rollout=replace(VOTES, control=api.RolloutControl.AUTOMATIC)), [], 1
    )
    timed.publish_rollout(api.RolloutState(2, 1, api.RolloutPhase.TRIAL, 0.5, 0, api.VoteReply.NONE))
    assert {agent.schedule.period for agent in timed.agents} == {100_000}  # time moves the stages there


def test_a_build_that_slows_all_servers_is_sent_back_within_seven_seconds_of_it() -> None:
    fleet = make_fleet(40, 30, trial=1, seed=9)
    fleet.generate_traffic(300, fleet.now + 19 * SECOND)
    fleet.run(SECOND)
    fleet.publish_rollout(api.RolloutState(2, 0, api.RolloutPhase.TRIAL, 0.4, 0, api.VoteReply.NONE))
    fleet.run(4 * SECOND)
    for each in fleet.servers.values():
        each.info = replace(each.info, build=2, started_at=START)
    fleet.publish_server_list()
    fleet.publish_rollout(api.RolloutState(2, 2, api.RolloutPhase.RELEASED, 1.0, 0, api.VoteReply.NONE))
    fleet.run(5 * SECOND)
    assert not [vote for vote in fleet.statistics.votes if vote.verdict is api.Verdict.BACK]
    began = fleet.now
    for agent in fleet.agents:
        agent.calm = 0.05  # as a first stage with few outcomes leaves it
    for each in fleet.servers.values():
        each.faults = [ServerFault(slowdown=40.0)]
    fleet.run(8 * SECOND)
    backs = fleet.statistics.vote_times(api.Verdict.BACK)
    # All that time clients of the whole fleet are served late, and nothing is left to compare with.
    assert backs and began + 4 * SECOND < min(backs) < began + 7 * SECOND + 500_000


# ---- a crowd of callers at discovery ---------------------------------------------------------------------


class CrowdedFleet(Fleet):
    """A fleet whose discovery works through calls in turn, and refuses those that have waited too long."""

    call_time = 40_000  # us for each
    patience = 3 * SECOND
    _free_at = 0

    def _call_discovery(self, number: int, incarnation: int) -> None:
        self._free_at = max(self._free_at, self.now) + self.call_time
        wait = self._free_at - self.now
        if wait > self.patience:
            self._free_at -= self.call_time
            failed = api.ServerListUpdated(api.ServerListKind.FAILED, ())
            self._deliver_later(number, incarnation, self.patience, failed)
            return
        self._deliver_later(number, incarnation, wait, self.list_event(api.ServerListKind.COMPLETE))


def test_agents_that_restart_in_a_crowd_send_nothing_to_a_server_that_drained_meanwhile() -> None:
    told = replace(SETTINGS, agents=200, needs_watch=True, classes=(SAFE, KEYED), limits=FEW_PEERS)
    fleet = CrowdedFleet(told, [QueueingServer(server(n)) for n in range(20)])
    fleet.run(12 * SECOND)
    fleet.discovery_up = False  # down while a server drains, as are the agents' lists
    old_list = fleet.server_list()
    fleet.servers[0].info = replace(fleet.servers[0].info, availability=api.Availability.DRAINING)
    fleet.run(4 * SECOND)
    fleet.discovery_up = True
    back_at = fleet.now
    fleet.run(4 * SECOND)
    fresh = fleet.server_list
    fleet.server_list = lambda: old_list  # type: ignore[method-assign]  # what their configuration holds
    restarted = range(127)
    fleet.restart(restarted)
    fleet.server_list = fresh  # type: ignore[method-assign]
    fleet.run(back_at + 6 * SECOND + 550_000 - fleet.now)  # told by now, arrived or not
    uninformed = [
        number
        for number in restarted
        if fleet.agents[number].servers[0].info.availability is api.Availability.UP
    ]
    assert uninformed == []
