"""Simulate a mass restart of agents after a discovery outage and measure when all agents learn of a drain.

Each agent is a real policy engine in virtual time; discovery processes its calls one at a time. A server
drains while discovery is down. After discovery recovers, two agents in three restart with the cached endpoint
list from before the outage. With all datagrams lost, agents learn of the drain from discovery alone.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from statistics import median

import click

from frostfall import interface as api
from frostfall.bench import report
from frostfall.bench.many_agents import SETTINGS
from frostfall.model.discovery_queue_fleet import DiscoveryQueueFleet
from frostfall.model.event_queue import SECOND, Micros
from frostfall.model.fleet import START
from frostfall.model.servers import QueueingServer

SIZES = (10, 40, 200, 1000)
LOSS_RATES = (0.0, 0.2, 0.5, 1.0)
SERVERS = 20
REQUESTS_PER_AGENT = 3.0  # a second
ONE_WAY_DELAY: Micros = 10_000
RESTARTED_SHARE = 0.64
OUTAGE_AT = START + 12 * SECOND
OUTAGE: Micros = 4 * SECOND
RESTART_AFTER: Micros = 4 * SECOND  # after discovery recovers
OBSERVATION: Micros = 5 * SECOND  # after the restart
SAMPLING_INTERVAL: Micros = 20_000
NOTIFIED_AFTER: Micros = 6 * SECOND  # after discovery recovers, all agents have to have the change
GRACE: Micros = 550_000


@dataclass(frozen=True, slots=True)
class OutageResult:
    """Result of one simulated outage; times are in seconds since the restart."""

    half_informed: float
    p99_informed: float
    uninformed: int  # agents that never learned of the drain
    past_grace: int  # attempts at the draining server after the grace
    messages: float  # gossip messages per agent since the restart
    calls: int  # calls to discovery since the restart
    refused: int  # calls that discovery refused


def simulate_outage(agents: int, loss: float, seed: int) -> OutageResult:
    """Simulate one discovery outage and one mass restart."""
    limits = replace(SETTINGS.limits, gossip=True)
    settings = replace(SETTINGS, agents=agents, limits=limits, rollout=None)
    servers = [
        QueueingServer(api.Server(number, 1, "a", 0, 1.0, 0, api.Availability.UP))
        for number in range(SERVERS)
    ]
    fleet = DiscoveryQueueFleet(settings, servers, seed, ONE_WAY_DELAY)
    fleet.generate_traffic(agents * REQUESTS_PER_AGENT, OUTAGE_AT + OUTAGE + RESTART_AFTER + OBSERVATION)
    fleet.run(OUTAGE_AT - START)
    fleet.start_outage()
    drained = fleet.servers[0]
    drained.info = replace(drained.info, availability=api.Availability.DRAINING)
    fleet.run(OUTAGE)
    fleet.end_outage()
    recovered_at = fleet.now
    fleet.run(RESTART_AFTER)
    fleet.is_cut = lambda sender, receiver: fleet.random.random() < loss
    messages_before, calls_before, refused_before = (
        fleet.statistics.messages,
        len(fleet.statistics.list_calls),
        fleet.rejected_calls,
    )
    fleet.restart(range(int(agents * RESTARTED_SHARE)))
    informed_at = _observe_drain(fleet)
    late_attempts = [each for each in drained.arrivals if each.at > recovered_at + NOTIFIED_AFTER + GRACE]
    times = sorted(informed_at.values())
    return OutageResult(
        half_informed=times[len(times) // 2] if times else 0.0,
        p99_informed=times[min(int(len(times) * 0.99), len(times) - 1)] if times else 0.0,
        uninformed=agents - len(informed_at),
        past_grace=len(late_attempts),
        messages=(fleet.statistics.messages - messages_before) / agents,
        calls=len(fleet.statistics.list_calls) - calls_before,
        refused=fleet.rejected_calls - refused_before,
    )


def _observe_drain(fleet: DiscoveryQueueFleet) -> dict[int, float]:
    """Return when each agent stops using the draining server, in seconds from now."""
    started_at = fleet.now
    informed_at: dict[int, float] = {}
    while fleet.now < started_at + OBSERVATION:
        for number, agent in enumerate(fleet.agents):
            if number not in informed_at and agent.servers[0].info.availability is not api.Availability.UP:
                informed_at[number] = (fleet.now - started_at) / SECOND
        fleet.run(SAMPLING_INTERVAL)
    return informed_at


def run(
    seeds: int, output: Path, sizes: Sequence[int] = SIZES, loss_rates: Sequence[float] = LOSS_RATES
) -> None:
    """Run all sizes and loss rates; report medians over the seeds, and sums of events that must not occur."""
    rows: list[report.Row] = []
    for agents in sizes:
        for loss in loss_rates:
            results = [simulate_outage(agents, loss, seed) for seed in range(1, seeds + 1)]
            rows.append(
                {
                    "agents": agents,
                    "lost": loss,
                    "known to half, s": median(each.half_informed for each in results),
                    "known to 99%, s": median(each.p99_informed for each in results),
                    "never known": sum(each.uninformed for each in results),
                    "past the grace": sum(each.past_grace for each in results),
                    "messages an agent": median(each.messages for each in results),
                    "calls": median(each.calls for each in results),
                    "refused": median(each.refused for each in results),
                    "seeds": seeds,
                }
            )
            click.echo(str(rows[-1]))
    text = "Modelled discovery, virtual time, since the restart; sums and medians over the seeds.\n\n"
    report.write(output, "stale-lists", rows, text + report.table(rows, list(rows[0])))
    _plot(rows, output / "stale-lists.png")


def _plot(rows: Sequence[report.Row], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 3, figsize=(12, 3.5))
    for axis, column in zip(axes, ("known to 99%, s", "messages an agent", "calls")):
        for loss in sorted({row["lost"] for row in rows}):
            selected = [row for row in rows if row["lost"] == loss]
            label = "no datagrams" if loss == 1.0 else f"{loss:.0%} lost"
            axis.plot(
                [row["agents"] for row in selected], [row[column] for row in selected], "o-", label=label
            )
        axis.set(xscale="log", xlabel="agents", title=column)
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=120)
    pyplot.close(figure)
