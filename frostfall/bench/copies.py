"""Run `frostfall bench copies`: machine and disk losses under load, the cost of replication, fault schedules.

Servers, clients and disks are stand-ins of this project. Figures with a required value are in `targets`.
"""

from __future__ import annotations

import os
import random
import statistics
import tempfile
from concurrent.futures import ProcessPoolExecutor
from dataclasses import fields
from functools import partial
from pathlib import Path
from time import monotonic, sleep
from typing import Any

from frostfall.bench import repair, report
from frostfall.bench.check import Findings, check
from frostfall.bench.cluster import Cluster
from frostfall.bench.power_loss import Progress, compare_without_group, older_checkout, target
from frostfall.bench.schedules import check_seed
from frostfall.model.replication_search import Mutation, search
from frostfall.replication.options import ReplicationOptions

LOAD = {"rate": 80.0, "unsafe": 0.6, "patience": 5.0}
MAX_REQUERIED = 12  # operations of a lost machine that are queried again at other agents
THREE_REPLICAS = {"kept": 3, "acknowledged": 2}
REPLICATION_BY_AGENTS = {3: repair.TWO_REPLICAS, 5: THREE_REPLICAS, 9: THREE_REPLICAS}


def measure_machine_loss(folder: Path, agents: int, seed: int) -> tuple[dict[str, Any], Findings]:
    """Destroy one agent's machine and disk under load, then query its operations at the other agents."""
    rng = random.Random(seed)
    cluster = Cluster(folder, agents, servers=3, seed=seed, copies=REPLICATION_BY_AGENTS[agents], crowd=LOAD)
    figures: dict[str, Any] = {"agents": agents, "lost": [], "settled": []}
    try:
        cluster.open()
        cluster.start()
        cluster.gate("unsafe")
        cluster.start_clients()
        cluster.wait("answered", 40, what="served")
        victim = rng.choice(cluster.names)
        address = cluster.links[f"clients>{victim}"]
        if rng.random() < 0.5:
            cluster.servers(hold=["order"])
            cluster.wait("asked", 10, since=cluster.now)
        cluster.kill(victim)
        cluster.lose(victim)
        cluster.servers(let_go=True)
        lost_at = monotonic()
        events = list(cluster.history.events)
        served_values = {
            event["op"]: event["value"]
            for event in events
            if event.get("event") == "answered" and event["what"] == "served" and event["agent"] == address
        }
        unanswered = {
            event["op"] for event in events if event.get("event") == "asked" and event["agent"] == address
        } - {event["op"] for event in events if event.get("event") == "answered"}
        others = [name for name in cluster.names if name != victim]
        for operation in sorted(served_values)[:MAX_REQUERIED]:
            since = cluster.now
            cluster.ask(rng.choice(others), operation, 50)
            answer = cluster.wait("answered", since=since, id=f"{operation}-t50")
            if answer["what"] != "served" or answer["value"] != served_values[operation]:
                figures["lost"].append(f"{operation}: {answer['what'] or 'no answer'}")
        for operation in sorted(unanswered)[:MAX_REQUERIED]:
            since, queried_at = cluster.now, monotonic()
            cluster.ask(rng.choice(others), operation, 50)
            cluster.wait("answered", since=since, id=f"{operation}-t50")
            figures["settled"].append(monotonic() - queried_at)
        figures["given"], figures["open"], figures["after"] = (
            len(served_values),
            len(unanswered),
            monotonic() - lost_at,
        )
        cluster.drain()
    finally:
        cluster.close()
    return figures, check(cluster.history)


def measure_latency(folder: Path, copies: dict[str, int] | None, seconds: float) -> dict[str, float]:
    """Return latencies at 200 unsafe requests a second over three agents, in milliseconds."""
    options: dict[str, Any] = {"copies": copies} if copies else {}
    cluster = Cluster(folder, 3, servers=3, held=False, crowd={"rate": 200.0, "unsafe": 1.0}, **options)
    try:
        cluster.open()
        cluster.start()
        cluster.gate("unsafe")
        cluster.start_clients()
        cluster.wait("answered", 100, what="served")
        since = cluster.now
        sleep(seconds)
        cluster.drain()
    finally:
        cluster.close()
    sent_at = {event["id"]: event["at"] for event in cluster.history.of("asked", since)}
    answers = cluster.history.of("answered", since)
    times = sorted(
        (event["at"] - sent_at[event["id"]]) * 1000
        for event in answers
        if event["what"] == "served" and event["id"] in sent_at
    )
    return {"p50": times[len(times) // 2], "p99": times[int(len(times) * 0.99)], "count": len(times)}


def measure_repairs(records: int, items: int, progress: Progress) -> tuple[dict[str, Any], list[report.Row]]:
    """Measure replica repair, the settlement of open items and CPU per replicated operation by group size."""
    full_repair = repair.measure_repair(records, 1.0)
    progress(f"whole again: {full_repair}")
    partial_repair = repair.measure_repair(records, 0.01)
    progress(f"a hundredth: {partial_repair}")
    settlement = repair.measure_settlement(items)
    progress(f"settled: {settlement}")
    sizes = [repair.measure_cpu(agents) for agents in (3, 9)]
    progress(f"growth: {sizes}")
    cpu_ratio = round(sizes[0]["CPU ms an operation"] / max(sizes[1]["CPU ms an operation"], 1e-9), 3)
    latency_ratio = round(full_repair["p99 meanwhile"] / max(full_repair["p99 before"], 1e-9), 3)
    byte_share = round(partial_repair["bytes"] / max(full_repair["bytes"], 1), 4)
    record_count = f"{full_repair['operations']} records"
    rows = [
        target(
            f"copies whole again after a machine is lost, s ({record_count})",
            "30",
            full_repair["seconds"],
            full_repair["seconds"] <= 30 and full_repair["operations"] >= records * 0.9,
        ),
        target(
            "99th percentile of unsafe requests meanwhile, ratio",
            "1.10",
            latency_ratio,
            latency_ratio <= 1.10,
        ),
        target(
            "a returned machine with 1% differing, of a full copy's bytes",
            "0.03",
            byte_share,
            byte_share < 0.03,
        ),
        target(
            f"items of a dead owner settled, s ({settlement['open']} open; the aim is for 1000)",
            "2.0",
            settlement["seconds"],
            settlement["seconds"] <= 2.0 and settlement["open"] >= 1000,
        ),
        target(
            "operations a second an agent from 3 to 9 members, by CPU an operation",
            "0.9",
            cpu_ratio,
            cpu_ratio >= 0.9,
        ),
    ]
    return {
        "whole again": full_repair,
        "a hundredth": partial_repair,
        "settled": settlement,
        "growth": sizes,
    }, rows


def search_small_model(items: int) -> tuple[dict[str, Any], report.Row]:
    """Search all states of the protocol, and all states of each of its mutants with one item."""
    options = ReplicationOptions(2, 1)
    result = search(options, items)
    mutant_results = {
        field.name: search(options, 1, Mutation(**{field.name: True})) for field in fields(Mutation)
    }
    states_until_breach = {
        name: mutant_result.states
        for name, mutant_result in mutant_results.items()
        if mutant_result.violation
    }
    row = target(
        f"small world, {result.states} states: breaches; mutants found, of {len(mutant_results)}",
        f"0; {len(mutant_results)}",
        f"{int(result.violation is not None)}; {len(states_until_breach)}",
        result.violation is None and len(states_until_breach) == len(mutant_results),
    )
    return {
        "items": items,
        "states": result.states,
        "depth": result.depth,
        "mutants found after": states_until_breach,
    }, row


def plot(path: Path, latencies: dict[str, list[dict[str, float]]], repairs: dict[str, Any]) -> None:
    """Plot request latencies by round, and those during replica repair."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.2))
    for name, samples in latencies.items():
        for key, style in (("p50", "-"), ("p99", ":")):
            left.plot([each[key] for each in samples], style, marker="o", label=f"{name}, {key}")
    left.set(title="a promise, 200 a second", xlabel="round", ylabel="ms", ylim=(0, None))
    left.legend(fontsize=7)
    kinds = ("whole again", "a hundredth")
    for bar, key in enumerate(("p99 before", "p99 meanwhile")):
        right.bar(
            [position + 0.4 * bar for position in range(2)],
            [repairs[kind][key] for kind in kinds],
            0.38,
            label=key,
        )
    right.set(title="unsafe requests beside repair", ylabel="ms", xticks=[0.2, 1.2], xticklabels=kinds)
    right.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def run(
    losses: int,
    schedules: int,
    rounds: int,
    records: int,
    items: int,
    revision: str,
    output: Path,
    progress: Progress = print,
) -> None:
    """Take all measurements and write JSON, a table and a plot."""
    repair_figures, rows = measure_repairs(records, items, progress)
    model_figures, model_row = search_small_model(1)
    progress(f"small world: {model_figures}")
    findings, machines = Findings(), list[dict[str, Any]]()
    for number in range(losses):
        with tempfile.TemporaryDirectory() as name:
            machine, checked = measure_machine_loss(Path(name), (3, 5, 9)[number % 3], number)
        machines.append(machine)
        findings.add(checked)
        progress(f"machine {number + 1} of {losses}: {machine}")
    latencies: dict[str, list[dict[str, float]]] = {"one disk": [], "copies": []}
    for round_number in range(rounds):
        for name, copies in (("one disk", None), ("copies", REPLICATION_BY_AGENTS[3]))[
            :: 1 if round_number % 2 else -1
        ]:
            with tempfile.TemporaryDirectory() as folder:
                latencies[name].append(measure_latency(Path(folder), copies, 4.0))
    failing, operations = list[tuple[int, list[str]]](), 0
    with ProcessPoolExecutor(max((os.cpu_count() or 2) - 1, 1)) as pool:
        for seed, lines, operation_count in pool.map(
            partial(check_seed, replicated=True), range(schedules), chunksize=10
        ):
            operations += operation_count
            if lines:
                failing.append((seed, lines))
    medians = {
        name: {key: statistics.median(each[key] for each in values) for key in ("p50", "p99", "count")}
        for name, values in latencies.items()
    }
    lost = [line for machine in machines for line in machine["lost"]]
    settled = [time for machine in machines for time in machine["settled"]]
    slowest = round(max(settled, default=0.0), 3)
    requeried = sum(min(machine["given"], MAX_REQUERIED) for machine in machines)
    with older_checkout(revision) as checkout:
        without_copies = compare_without_group(checkout, 6.0, 5)
    targets = [
        *rows,
        model_row,
        target(
            f"promises lost, of {requeried} asked for again, in {losses} machine losses",
            "0",
            len(lost),
            not lost,
        ),
        target(
            "copies off: CPU against the landing before",
            "1.02",
            round(without_copies["cpu"], 3),
            without_copies["cpu"] <= 1.02,
        ),
        target(
            "copies off: memory against the landing before",
            "1.02",
            round(without_copies["memory"], 3),
            without_copies["memory"] <= 1.02,
        ),
        target("operations run twice", "0", len(findings.duplicates), not findings.duplicates),
        target(
            "answers that differ or were not true",
            "0",
            len(findings.wrong_answers),
            not findings.wrong_answers,
        ),
        target(
            "tries without exactly one final answer",
            "0",
            len(findings.answer_counts),
            not findings.answer_counts,
        ),
        target(f"schedules with copies that broke something, of {schedules}", "0", len(failing), not failing),
        target(
            f"an open item of a lost machine settled, s (latest of {len(settled)})",
            "2.0",
            slowest,
            slowest <= 2.0,
        ),
    ]
    cost = [{"record": name, **figures} for name, figures in medians.items()]
    text = (
        report.table(targets, ["name", "aim", "measured", "met"])
        + "\n"
        + report.table(cost, ["record", "p50", "p99", "count"])
    )
    report.write(
        output,
        "copies",
        {
            "targets": targets,
            "repair": repair_figures,
            "small world": model_figures,
            "machines": machines,
            "cost": medians,
            "each cost": latencies,
            "off": without_copies,
            "against": revision,
            "schedules": {"played": schedules, "operations": operations, "failing": failing},
            "findings": {
                "operations": findings.operations,
                "ran": findings.ran,
                "twice": findings.duplicates,
                "answers": findings.answer_counts,
                "promises": findings.wrong_answers,
            },
        },
        text,
    )
    plot(output / "copies.png", latencies, repair_figures)
    progress(text)
