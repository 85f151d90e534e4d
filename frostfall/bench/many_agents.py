"""Simulate faults in fleets of 3 to 200 agents in virtual time, with and without shared server health.

Both variants run on the same seeds. Without shared health, agents still exchange scores and votes, but the
part of each message about servers is removed before delivery.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from statistics import median

import click

from frostfall import interface as api
from frostfall.bench import report
from frostfall.model.event_queue import SECOND
from frostfall.model.fleet import START, Fleet
from frostfall.model.fleet_statistics import RequestOutcome
from frostfall.model.servers import QueueingServer, ServerFault

SIZES = (3, 40, 200)
SERVERS = 60
SERVER_RATE = 10.0  # requests a second to each server
ZONES = 3
FAULT_AT = START + 4 * SECOND
DURATION = 10 * SECOND
READ = api.RequestClass(
    "read", api.Idempotency.IDEMPOTENT, api.DeduplicationScope.ALL, 0, SECOND, 3 * SECOND, 3.0
)
ORDER = api.RequestClass(
    "order", api.Idempotency.NON_IDEMPOTENT, api.DeduplicationScope.ALL, 0, SECOND // 2, 2 * SECOND, 9.0
)
ROLLOUT = api.RolloutSettings(
    control=api.RolloutControl.VOTES,
    stage_caps=(0.1, 0.35, 1.0),
    stage_shares=(0.08, 0.25, 1.0),
    exposure_window=3 * SECOND,
    uncounted_attempts=2,
    exposure_per_class=False,
    idempotent_only_stages=0,
    forward_only_keys=False,
    keeps_old_servers=False,
    min_stage_duration=SECOND,
    stage_duration=0,
    advance_votes=1,
    rollback_votes=1,
    hold_votes=0,
    vote_lifetime=10 * SECOND,
    vote_timeout=2 * SECOND,
    votes_per_second=16.0,
    state_period=4 * SECOND,
    tally_period=0,
    tally_sample_rate=0.0,
    dispute_report_share=0.0,
    delay_price=0.5,
    harm_price=2.0,
    key_affinity=False,
)
SETTINGS = api.Settings(
    agent=0,
    agents=1,
    zone="a",
    classes=(READ, ORDER),
    tenants=(),
    rollout=ROLLOUT,
    limits=api.Limits(4, False, True, False, True, False, SECOND, SECOND // 4, 15 * SECOND),
    rules=api.Rules(5_000, SECOND // 2, 10 * SECOND, 0.3, 3 * SECOND, 4.0, 2 * SECOND),
    prices=api.Prices(0.02, 0.05, 0.08, 0.03, 0.08),
    needs_watch=True,
    load_by_health_check=False,
    over_quota_priority_weight=0.1,
)


@dataclass(frozen=True, slots=True)
class Case:
    """A fault injected at FAULT_AT, the servers that it affects and the rollout in progress, if any."""

    name: str
    inject: Callable[[Fleet], None]
    affects: Callable[[int], bool]
    rollout: api.RolloutState | None = None


def _is_faulty(name: int) -> bool:
    """Return True for one server in eight, equally among both builds."""
    return name // 2 % 8 == 3


def _make_one_in_eight_fail(fleet: Fleet) -> None:
    for name, server in fleet.servers.items():
        if _is_faulty(name):
            server.faults = [ServerFault(error_share=0.5)]


def _lose_zone(fleet: Fleet) -> None:
    for server in fleet.servers.values():
        if server.info.zone == "a":
            server.faults = [ServerFault(ends=FAULT_AT + 5 * SECOND, silent=True)]


def _make_all_cold(fleet: Fleet) -> None:
    for server in fleet.servers.values():
        server.info = replace(server.info, started_at=fleet.now)
    fleet.publish_server_list()


def _restart_most_agents(fleet: Fleet) -> None:
    fleet.restart(range(0, len(fleet.agents) * 7 // 10))


TRIAL = api.RolloutState(2, 2, api.RolloutPhase.TRIAL, 1.0, 0, api.VoteReply.NONE)
CASES = (
    Case("one server in eight errs, on a good build's trial", _make_one_in_eight_fail, _is_faulty, TRIAL),
    Case("a zone of three is lost for 5 s", _lose_zone, lambda name: name % ZONES == 0),
    Case("all servers are cold", _make_all_cold, lambda name: False),
    Case("seven agents in ten are killed", _restart_most_agents, lambda name: False),
)


class _FleetWithoutSharedHealth(Fleet):
    """Fleet whose agents exchange scores and votes but no server health."""

    def deliver(self, number: int, event: api.Event) -> None:
        """Deliver an event, without the server health in a gossip message."""
        if isinstance(event, api.GossipReceived):
            event = replace(event, text=event.text.partition(" ")[0])
        super().deliver(number, event)


def _server(number: int, *, mixed_builds: bool) -> QueueingServer:
    build = 2 if mixed_builds and number % 2 else 1
    return QueueingServer(api.Server(number, build, "abc"[number % ZONES], 0, 1.0, 0, api.Availability.UP))


def _agent_weight(agent: int) -> float:
    """Return the traffic weight of an agent: one agent in ten gets four times the requests of the others."""
    return 4.0 if agent % 10 == 0 else 1.0


def simulate(fleet_class: type[Fleet], agents: int, case: Case, seed: int) -> dict[str, float]:
    """Run one case and return its figures since the start of the fault."""
    servers = [_server(number, mixed_builds=case.rollout is not None) for number in range(SERVERS)]
    fleet = fleet_class(replace(SETTINGS, agents=agents), servers, seed)
    fleet.generate_traffic(SERVERS * SERVER_RATE, START + DURATION, _agent_weight)
    if case.rollout:
        fleet.schedule(START + 2 * SECOND, lambda: fleet.publish_rollout(case.rollout or TRIAL))
    fleet.run(FAULT_AT - START)
    before = fleet.statistics.outcomes.copy()
    fleet.statistics.list_calls.clear()
    case.inject(fleet)
    messages_before = fleet.statistics.messages
    fleet.run(START + DURATION - FAULT_AT)
    outcomes = fleet.statistics.outcomes - before
    request_count = max(outcomes.total(), 1)
    affected = [server for name, server in fleet.servers.items() if case.affects(name)]
    late_requests = [
        sum(arrival.at > FAULT_AT + 2 * SECOND for arrival in server.arrivals) for server in affected
    ]
    expected_requests = SERVER_RATE * (DURATION / SECOND - 6)
    return {
        "served": outcomes[RequestOutcome.SERVED] / request_count,
        "refused": outcomes[RequestOutcome.REJECTED] / request_count,
        "failed": outcomes[RequestOutcome.FAILED] / request_count,
        "twice": float(fleet.statistics.duplicate_answers),
        "bad servers' part": sum(late_requests) / (len(affected) * expected_requests) if affected else 0.0,
        "votes back": float(len(fleet.statistics.vote_times(api.Verdict.BACK))),
        "list calls, peak a second": float(fleet.statistics.peak_list_calls()),
        "messages an agent and second": (fleet.statistics.messages - messages_before)
        / agents
        / (DURATION / SECOND - 4),
    }


def run(rounds: int, output: Path, sizes: Sequence[int] = SIZES) -> None:
    """Run all cases at all sizes, alternating the two variants, and report medians over the rounds."""
    rows: list[report.Row] = []
    for case in CASES:
        for agents in sizes:
            figures: dict[str, list[dict[str, float]]] = {"told": [], "not told": []}
            for seed in range(1, rounds + 1):
                for variant, fleet_class in (("told", Fleet), ("not told", _FleetWithoutSharedHealth)):
                    figures[variant].append(simulate(fleet_class, agents, case, seed))
            for variant, samples in figures.items():
                rows.append(
                    {
                        "case": case.name,
                        "agents": agents,
                        "of servers": variant,
                        **{key: median(each[key] for each in samples) for key in samples[0]},
                    }
                )
                click.echo(str(rows[-1]))
    columns = list(rows[0])
    text = "Modelled servers, virtual time; the middle of the rounds, since the trouble began.\n\n"
    report.write(output, "many-agents", rows, text + report.table(rows, columns))
    _plot(rows, output / "many-agents.png")


def _plot(rows: Sequence[report.Row], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, len(CASES), figsize=(4 * len(CASES), 3.5), sharey=True)
    for axis, case in zip(axes, CASES):
        for variant in ("told", "not told"):
            selected = [row for row in rows if row["case"] == case.name and row["of servers"] == variant]
            axis.plot(
                [row["agents"] for row in selected], [row["served"] for row in selected], "o-", label=variant
            )
        axis.set_title(case.name, fontsize=8)
        axis.set_xscale("log")
        axis.set_xlabel("agents")
    axes[0].set_ylabel("part served since the trouble began")
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=120)
    pyplot.close(figure)
