"""Run `frostfall bench slow-peers`: fast clients next to slow clients and next to a slowly sending server."""

from __future__ import annotations

from pathlib import Path
from time import sleep
from typing import Any

import click
import matplotlib
from hdrh.histogram import HdrHistogram

from frostfall.bench import harness, report

MIN_RATE, WINDOW = 8_000, 4.0  # bytes a second required of a reading client; seconds
OPERATOR_FILE = f"""{{slow_peers: {{
  clients: {{reading: {{rate: {MIN_RATE}, window: {WINDOW}, grace: 1.5}}}},
  servers: {{reading: {{rate: 2000, window: 1.0, grace: 0.25}},
            sending: {{rate: 2000, window: 1.0, grace: 0.25}}}},
  arrivals: {{rate: 200, burst: 4}},
  waiting: {{kernel_bytes: 16384, source_bytes: 12582912}},
}}}}"""
FAST_CLIENTS = {"rate": 300.0, "unsafe": 0.1}
LARGE_READ = {"queries": 1, "size": 64_000}  # one request for a large value
SLOW_CLIENTS = [
    {"rate": MIN_RATE * 0.1, "count": 100, **LARGE_READ},
    {"rate": MIN_RATE * 1.15, "count": 10, **LARGE_READ},
]
# The control group connects like the slow clients and in the same number, but reads at full speed.
CONTROL_CLIENTS = [{"rate": 1e9, "count": 110, **LARGE_READ}]
STALLED_CLIENTS = 1000  # clients that never read
PHASES = ("alone", "usual crowd", "slow clients", "dripping server")


def build_histogram(times: list[float]) -> HdrHistogram:
    """Build a histogram in microseconds with three significant digits from latencies in milliseconds."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    for time in times:
        histogram.record_value(max(int(time * 1000), 1))
    return histogram


def run_phase(
    agent: harness.Agent, servers: harness.Actor, phase: str, seconds: float, tag: str
) -> report.Row:
    """Run one phase and return the figures of the fast clients and the outcome of the slow clients."""
    slow_clients = None
    if phase in ("slow clients", "usual crowd"):
        groups = SLOW_CLIENTS if phase == "slow clients" else CONTROL_CLIENTS
        slow_clients = harness.Actor(
            "slow", address=agent.address, groups=groups, seconds=seconds + 0.5, tag=f"s{tag}"
        )
    if phase == "dripping server":
        servers.send(server=0, script="drip")
    cpu_before = agent.cpu
    fast_clients = harness.Actor(
        "usual", address=agent.address, seconds=seconds, tag=f"u{tag}", **FAST_CLIENTS
    )
    result = fast_clients.receive()
    fast_clients.close()
    servers.send(server=0, script="usual")
    latencies, count = build_histogram(result["times"]), len(result["times"])
    row: report.Row = {
        "phase": phase,
        "median_ms": latencies.get_value_at_percentile(50) / 1000,
        "p99_ms": latencies.get_value_at_percentile(99) / 1000,
        "asked": count,
        "served": result["answers"].get("D", 0) / max(count, 1),
        "wrong": result["answers"].get("wrong", 0),
        "cpu_ms": (agent.cpu - cpu_before) / count * 1000,
        "memory_mb": agent.memory / 2**20,
    }
    end_times = slow_clients.receive()["ended"] if slow_clients else []
    if slow_clients:
        slow_clients.close()
    if phase == "slow clients":
        shed_in_time = [each for each in end_times[0] if each is not None and each <= WINDOW + 1.0]
        row |= {
            "slow": len(end_times[0]),
            "shed_in_time": len(shed_in_time) / max(len(end_times[0]), 1),
            "steady": len(end_times[1]),
            "steady_shed": sum(each is not None for each in end_times[1]),
        }
    return row


def measure_memory(servers: list[str]) -> report.Row:
    """Return the resident memory that clients which never read add at the peak and after their removal."""
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 4 * STALLED_CLIENTS}
    with harness.agent(servers, operator=OPERATOR_FILE, limits=limits) as agent:
        warm_up(agent)
        idle_memory = agent.memory
        stalled_clients = harness.Actor(
            "slow",
            address=agent.address,
            groups=[{"rate": 0, "count": STALLED_CLIENTS, **LARGE_READ}],
            seconds=9.0,
            tag="mute",
        )
        peak_memory = idle_memory
        for _ in range(45):
            sleep(0.2)
            peak_memory = max(peak_memory, agent.memory)
        end_times = stalled_clients.receive()["ended"][0]
        stalled_clients.close()
        return {
            "never_read": len(end_times),
            "over_rest_mb": (peak_memory - idle_memory) / 2**20,
            "left_over_mb": (agent.memory - idle_memory) / 2**20,
            "ended": sum(each is not None for each in end_times),
        }


def warm_up(agent: harness.Agent) -> None:
    """Send unmeasured traffic so that all measurements begin in the same state."""
    clients = harness.Actor("usual", address=agent.address, seconds=2.0, tag="w", **FAST_CLIENTS)
    clients.receive()
    clients.close()


def measure_cpu(servers: list[str], other_root: Path, rounds: int, seconds: float) -> list[report.Row]:
    """Measure CPU per request of this version, with and without operators' rules, and of another checkout."""
    rows = []
    for round_number in range(rounds):
        row: report.Row = {"round": round_number}
        for name, checkout, operator in (
            ("before", other_root, ""),
            ("now", harness.ROOT, ""),
            ("with rules", harness.ROOT, OPERATOR_FILE),
        ):
            with harness.agent(servers, checkout, operator) as agent:
                warm_up(agent)
                cpu_before = agent.cpu
                clients = harness.Actor(
                    "usual",
                    address=agent.address,
                    seconds=seconds,
                    tag=f"c{round_number}{name[0]}",
                    **FAST_CLIENTS | {"rate": 500.0},
                )
                count = len(clients.receive()["times"])
                clients.close()
                row[name] = (agent.cpu - cpu_before) / count * 1000
        for name in ("now", "with rules"):
            row[f"{name} / before"] = row[name] / row["before"]
        rows.append(row)
        click.echo(
            f"CPU a request, round {round_number}: {row['now / before']:.3f}, with rules "
            f"{row['with rules / before']:.3f}"
        )
    return rows


def run(rounds: int, seconds: float, other_root: str | None, output: Path) -> None:
    """Run all phases in each round with one agent, then measure memory and CPU."""
    servers = harness.Actor("servers", count=4)
    addresses = servers.receive()["addresses"]
    rows: list[report.Row] = []
    with harness.agent(addresses, operator=OPERATOR_FILE) as agent:
        warm_up(agent)
        for round_number in range(rounds):
            for phase in PHASES:
                rows.append(run_phase(agent, servers, phase, seconds, f"{round_number}{phase[0]}"))
                click.echo(
                    f"{phase}, round {round_number}: median {rows[-1]['median_ms']:.2f} ms, 99th percentile "
                    f"{rows[-1]['p99_ms']:.2f} ms, served {rows[-1]['served']:.3f}"
                )
    memory = measure_memory(addresses)
    cpu_rows = measure_cpu(addresses, Path(other_root), rounds, seconds) if other_root else []
    execution_counts = servers.close()
    figures = {
        "phases": rows,
        "memory": memory,
        "cpu": cpu_rows,
        "runs": execution_counts,
        "targets": targets(rows, memory, cpu_rows, execution_counts),
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
    report.write(output, "slow-peers", figures, text)
    plot(rows, output / "slow-peers.png")
    click.echo(text)


def targets(
    rows: list[report.Row], memory: report.Row, cpu_rows: list[report.Row], execution_counts: Any
) -> list[report.Row]:
    """Compare the medians over the rounds with the required values."""
    results: list[report.Row] = []

    def add_target(target: str, aim: float, measured: float, at_least: bool = False) -> None:
        met = measured >= aim if at_least else measured <= aim
        results.append({"target": target, "aim": aim, "measured": measured, "met": met})

    rows_by_phase = {phase: [row for row in rows if row["phase"] == phase] for phase in PHASES}
    for phase in PHASES[1:]:
        for key in ("median_ms", "p99_ms"):
            ratios = [row[key] / base[key] for row, base in zip(rows_by_phase[phase], rows_by_phase["alone"])]
            add_target(f"{key} with {phase}, ratio", 1.10, report.median(ratios))
    slow_rows = rows_by_phase["slow clients"]
    add_target(
        "slow shed within the window and 1 s",
        0.95,
        report.median([row["shed_in_time"] for row in slow_rows]),
        at_least=True,
    )
    add_target("steady ones shed", 0, sum(row["steady_shed"] for row in slow_rows))
    add_target(f"memory over rest with {STALLED_CLIENTS} that never read, MB", 24, memory["over_rest_mb"])
    add_target("wrong answers", 0, sum(row["wrong"] for row in rows))
    add_target("unsafe requests run twice", 0, sum(_is_unsafe(name) for name in execution_counts["twice"]))
    for key in ("now / before", "with rules / before"):
        if cpu_rows:
            add_target(f"CPU a request, {key}", 1.03, report.median([row[key] for row in cpu_rows]))
    return results


def _is_unsafe(name: str) -> bool:
    number = name.rpartition("-")[2]
    return name.startswith("u") and int(number) % 100 < FAST_CLIENTS["unsafe"] * 100


def plot(rows: list[report.Row], path: Path) -> None:
    """Plot latencies by phase and round."""
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.6))
    for axis, key, title in zip(axes, ("median_ms", "p99_ms"), ("median", "99th percentile")):
        for phase in PHASES:
            axis.plot([row[key] for row in rows if row["phase"] == phase], marker="o", label=phase)
        axis.set(title=f"fast clients, {title}", xlabel="round", ylabel="ms", ylim=(0, None))
        axis.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=120)
    pyplot.close(figure)
