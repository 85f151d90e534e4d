"""Agents that restart in a crowd after an outage of discovery, in virtual time: when all know a drain.

Each agent is a real policy engine; discovery works through its calls in turn. A server drains while discovery
is down. Once it is back, two agents in three restart on the list of before. Without a word between agents
(datagrams all lost), what each learns comes from discovery alone.
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
LOSSES = (0.0, 0.2, 0.5, 1.0)
SERVERS = 20
REQUESTS_PER_AGENT = 3.0  # a second
ONE_WAY_DELAY: Micros = 10_000
RESTARTED_SHARE = 0.64
OUTAGE_AT = START + 12 * SECOND
OUTAGE: Micros = 4 * SECOND
RESTART_AFTER: Micros = 4 * SECOND  # since discovery is back
OBSERVED: Micros = 5 * SECOND  # since the restart
STEP: Micros = 20_000
NOTIFIED_AFTER: Micros = 6 * SECOND  # since discovery is back, a change counts as known
GRACE: Micros = 550_000


@dataclass(frozen=True, slots=True)
class Play:
    """What one play gave; times are seconds since the restart."""

    half_informed: float
    p99_informed: float
    uninformed: int  # agents that never learned it
    past_grace: int  # attempts at the draining server
    messages: float  # on the list, for each agent
    calls: int  # of discovery since the restart
    refused: int  # of them


def play(agents: int, loss: float, seed: int) -> Play:
    """One outage and one restart."""
    limits = replace(SETTINGS.limits, gossip=True)
    settings = replace(SETTINGS, agents=agents, limits=limits, rollout=None)
    servers = [
        QueueingServer(api.Server(number, 1, "a", 0, 1.0, 0, api.Availability.UP))
        for number in range(SERVERS)
    ]
    fleet = DiscoveryQueueFleet(settings, servers, seed, ONE_WAY_DELAY)
    fleet.generate_traffic(agents * REQUESTS_PER_AGENT, OUTAGE_AT + OUTAGE + RESTART_AFTER + OBSERVED)
    fleet.run(OUTAGE_AT - START)
    fleet.start_outage()
    drained = fleet.servers[0]
    drained.info = replace(drained.info, availability=api.Availability.DRAINING)
    fleet.run(OUTAGE)
    fleet.end_outage()
    back_at = fleet.now
    fleet.run(RESTART_AFTER)
    fleet.is_cut = lambda sender, receiver: fleet.random.random() < loss
    messages, calls, refused = (
        fleet.statistics.messages,
        len(fleet.statistics.list_calls),
        fleet.rejected_calls,
    )
    fleet.restart(range(int(agents * RESTARTED_SHARE)))
    known = _observe(fleet)
    late = [each for each in drained.arrivals if each.at > back_at + NOTIFIED_AFTER + GRACE]
    times = sorted(known.values())
    return Play(
        half_informed=times[len(times) // 2] if times else 0.0,
        p99_informed=times[min(int(len(times) * 0.99), len(times) - 1)] if times else 0.0,
        uninformed=agents - len(known),
        past_grace=len(late),
        messages=(fleet.statistics.messages - messages) / agents,
        calls=len(fleet.statistics.list_calls) - calls,
        refused=fleet.rejected_calls - refused,
    )


def _observe(fleet: DiscoveryQueueFleet) -> dict[int, float]:
    """When each agent leaves the draining server alone, in seconds since now."""
    began = fleet.now
    known: dict[int, float] = {}
    while fleet.now < began + OBSERVED:
        for number, agent in enumerate(fleet.agents):
            if number not in known and agent.servers[0].info.availability is not api.Availability.UP:
                known[number] = (fleet.now - began) / SECOND
        fleet.run(STEP)
    return known


def run(seeds: int, out: Path, sizes: Sequence[int] = SIZES, losses: Sequence[float] = LOSSES) -> None:
    """All sizes and losses; the middle of the seeds, and sums of what must not happen."""
    rows: list[report.Row] = []
    for agents in sizes:
        for loss in losses:
            plays = [play(agents, loss, seed) for seed in range(1, seeds + 1)]
            rows.append(
                {
                    "agents": agents,
                    "lost": loss,
                    "known to half, s": median(each.half_informed for each in plays),
                    "known to 99%, s": median(each.p99_informed for each in plays),
                    "never known": sum(each.uninformed for each in plays),
                    "past the grace": sum(each.past_grace for each in plays),
                    "messages an agent": median(each.messages for each in plays),
                    "calls": median(each.calls for each in plays),
                    "refused": median(each.refused for each in plays),
                    "seeds": seeds,
                }
            )
            click.echo(str(rows[-1]))
    text = "Modelled discovery, virtual time, since the restart; sums and medians over the seeds.\n\n"
    report.write(out, "stale-lists", rows, text + report.table(rows, list(rows[0])))
    _plot(rows, out / "stale-lists.png")


def _plot(rows: Sequence[report.Row], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, places = pyplot.subplots(1, 3, figsize=(12, 3.5))
    for place, column in zip(places, ("known to 99%, s", "messages an agent", "calls")):
        for loss in sorted({row["lost"] for row in rows}):
            mine = [row for row in rows if row["lost"] == loss]
            label = "no datagrams" if loss == 1.0 else f"{loss:.0%} lost"
            place.plot([row["agents"] for row in mine], [row[column] for row in mine], "o-", label=label)
        place.set(xscale="log", xlabel="agents", title=column)
    places[0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=120)
    pyplot.close(figure)
