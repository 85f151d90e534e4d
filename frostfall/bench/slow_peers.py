"""Fast clients beside slow ones and beside a dripping server: `frostfall bench slow-peers`."""

from __future__ import annotations

from pathlib import Path
from time import sleep
from typing import Any

import click
import matplotlib
from hdrh.histogram import HdrHistogram

from frostfall.bench import harness, report

RATE, WINDOW = 8_000, 4.0
OPERATOR = f"""{{slow_peers: {{
  clients: {{reading: {{rate: {RATE}, window: {WINDOW}, grace: 1.5}}}},
  servers: {{reading: {{rate: 2000, window: 1.0, grace: 0.25}},
            sending: {{rate: 2000, window: 1.0, grace: 0.25}}}},
  arrivals: {{rate: 200, burst: 4}},
  waiting: {{kernel_bytes: 16384, source_bytes: 12582912}},
}}}}"""
FAST = {"rate": 300.0, "unsafe": 0.1}
PHONE = {"queries": 1, "size": 64_000}  # a phone asks for one large value
SLOW = [{"rate": RATE * 0.1, "count": 100, **PHONE}, {"rate": RATE * 1.15, "count": 10, **PHONE}]
CROWD = [{"rate": 1e9, "count": 110, **PHONE}]  # as many usual ones that come in the same way
MUTE = 1000
PHASES = ("alone", "usual crowd", "slow clients", "dripping server")


def histogram(times: list[float]) -> HdrHistogram:
    """Latencies, told in milliseconds, kept in microseconds, to three digits."""
    kept = HdrHistogram(1, 60_000_000, 3)
    for time in times:
        kept.record_value(max(int(time * 1000), 1))
    return kept


def phase(agent: harness.Agent, servers: harness.Actor, kind: str, seconds: float, tag: str) -> report.Row:
    """One phase: what fast clients see, and what became of slow ones."""
    slow = None
    if kind in ("slow clients", "usual crowd"):
        groups = SLOW if kind == "slow clients" else CROWD
        slow = harness.Actor(
            "slow", address=agent.address, groups=groups, seconds=seconds + 0.5, tag=f"s{tag}"
        )
    if kind == "dripping server":
        servers.send(server=0, script="drip")
    before = agent.cpu
    usual = harness.Actor("usual", address=agent.address, seconds=seconds, tag=f"u{tag}", **FAST)
    heard = usual.receive()
    usual.close()
    servers.send(server=0, script="usual")
    kept, count = histogram(heard["times"]), len(heard["times"])
    row: report.Row = {
        "phase": kind,
        "median_ms": kept.get_value_at_percentile(50) / 1000,
        "p99_ms": kept.get_value_at_percentile(99) / 1000,
        "asked": count,
        "served": heard["answers"].get("D", 0) / max(count, 1),
        "wrong": heard["answers"].get("wrong", 0),
        "cpu_ms": (agent.cpu - before) / count * 1000,
        "memory_mb": agent.memory / 2**20,
    }
    ended = slow.receive()["ended"] if slow else []
    if slow:
        slow.close()
    if kind == "slow clients":
        in_time = [each for each in ended[0] if each is not None and each <= WINDOW + 1.0]
        row |= {
            "slow": len(ended[0]),
            "shed_in_time": len(in_time) / max(len(ended[0]), 1),
            "steady": len(ended[1]),
            "steady_shed": sum(each is not None for each in ended[1]),
        }
    return row


def memory(servers: list[str]) -> report.Row:
    """Resident memory with a thousand clients that never read, over rest, and after their time."""
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 4 * MUTE}
    with harness.agent(servers, operator=OPERATOR, limits=limits) as agent:
        warm(agent)
        rest = agent.memory
        mute = harness.Actor(
            "slow",
            address=agent.address,
            groups=[{"rate": 0, "count": MUTE, **PHONE}],
            seconds=9.0,
            tag="mute",
        )
        most = rest
        for _ in range(45):
            sleep(0.2)
            most = max(most, agent.memory)
        ended = mute.receive()["ended"][0]
        mute.close()
        return {
            "never_read": len(ended),
            "over_rest_mb": (most - rest) / 2**20,
            "left_over_mb": (agent.memory - rest) / 2**20,
            "ended": sum(each is not None for each in ended),
        }


def warm(agent: harness.Agent) -> None:
    """Some traffic that nothing is told of, so that all that is measured begins alike."""
    usual = harness.Actor("usual", address=agent.address, seconds=2.0, tag="w", **FAST)
    usual.receive()
    usual.close()


def cpu(servers: list[str], against: Path, rounds: int, seconds: float) -> list[report.Row]:
    """CPU a request of this version, without and with operators' rules, in pairs with another checkout's."""
    rows = []
    for number in range(rounds):
        row: report.Row = {"round": number}
        for name, checkout, operator in (
            ("before", against, ""),
            ("now", harness.ROOT, ""),
            ("with rules", harness.ROOT, OPERATOR),
        ):
            with harness.agent(servers, checkout, operator) as agent:
                warm(agent)
                start = agent.cpu
                usual = harness.Actor(
                    "usual",
                    address=agent.address,
                    seconds=seconds,
                    tag=f"c{number}{name[0]}",
                    **FAST | {"rate": 500.0},
                )
                count = len(usual.receive()["times"])
                usual.close()
                row[name] = (agent.cpu - start) / count * 1000
        for name in ("now", "with rules"):
            row[f"{name} / before"] = row[name] / row["before"]
        rows.append(row)
        click.echo(
            f"CPU a request, round {number}: {row['now / before']:.3f}, with rules "
            f"{row['with rules / before']:.3f}"
        )
    return rows


def run(rounds: int, seconds: float, against: str | None, out: Path) -> None:
    """Go through the phases in turn, round after round, with one agent; then memory and CPU."""
    servers = harness.Actor("servers", count=4)
    addresses = servers.receive()["addresses"]
    rows: list[report.Row] = []
    with harness.agent(addresses, operator=OPERATOR) as agent:
        warm(agent)
        for number in range(rounds):
            for kind in PHASES:
                rows.append(phase(agent, servers, kind, seconds, f"{number}{kind[0]}"))
                click.echo(
                    f"{kind}, round {number}: median {rows[-1]['median_ms']:.2f} ms, 99th percentile "
                    f"{rows[-1]['p99_ms']:.2f} ms, served {rows[-1]['served']:.3f}"
                )
    held = memory(addresses)
    pairs = cpu(addresses, Path(against), rounds, seconds) if against else []
    ran = servers.close()
    figures = {
        "phases": rows,
        "memory": held,
        "cpu": pairs,
        "runs": ran,
        "targets": targets(rows, held, pairs, ran),
    }
    text = "\n".join(
        (
            report.table(
                rows,
                (
                    "phase",
                    "median_ms",
                    "p99_ms",
                    "served",
                    "cpu_ms",
                    "memory_mb",
                    "shed_in_time",
                    "steady_shed",
                ),
            ),
            report.table(figures["targets"], ("target", "aim", "measured", "met")),
        )
    )
    report.write(out, "slow-peers", figures, text)
    plot(rows, out / "slow-peers.png")
    click.echo(text)


def targets(rows: list[report.Row], held: report.Row, pairs: list[report.Row], ran: Any) -> list[report.Row]:
    """Each target with what was measured: medians over the rounds."""
    found: list[report.Row] = []

    def hold(target: str, aim: float, measured: float, least: bool = False) -> None:
        met = measured >= aim if least else measured <= aim
        found.append({"target": target, "aim": aim, "measured": measured, "met": met})

    by_round = {kind: [row for row in rows if row["phase"] == kind] for kind in PHASES}
    for kind in PHASES[1:]:
        for key in ("median_ms", "p99_ms"):
            ratios = [row[key] / base[key] for row, base in zip(by_round[kind], by_round["alone"])]
            hold(f"{key} with {kind}, ratio", 1.10, report.median(ratios))
    slow = by_round["slow clients"]
    hold(
        "slow shed within the window and 1 s",
        0.95,
        report.median([row["shed_in_time"] for row in slow]),
        least=True,
    )
    hold("steady ones shed", 0, sum(row["steady_shed"] for row in slow))
    hold(f"memory over rest with {MUTE} that never read, MB", 24, held["over_rest_mb"])
    hold("wrong answers", 0, sum(row["wrong"] for row in rows))
    hold("unsafe requests run twice", 0, sum(_unsafe(name) for name in ran["twice"]))
    for key in ("now / before", "with rules / before"):
        if pairs:
            hold(f"CPU a request, {key}", 1.03, report.median([row[key] for row in pairs]))
    return found


def _unsafe(name: str) -> bool:
    number = name.rpartition("-")[2]
    return name.startswith("u") and int(number) % 100 < FAST["unsafe"] * 100


def plot(rows: list[report.Row], path: Path) -> None:
    """Latencies by phase and round."""
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.6))
    for axis, key, title in zip(axes, ("median_ms", "p99_ms"), ("median", "99th percentile")):
        for kind in PHASES:
            axis.plot([row[key] for row in rows if row["phase"] == kind], marker="o", label=kind)
        axis.set(title=f"fast clients, {title}", xlabel="round", ylabel="ms", ylim=(0, None))
        axis.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=120)
    pyplot.close(figure)
