"""`frostfall bench copies`: machines go with their disks under load; what a promise costs; schedules.

All servers, clients and disks are stand-ins of this project. Each figure that has an aim stands in `targets`.
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
from frostfall.bench.power_loss import Progress, group_off, older, target
from frostfall.bench.schedules import judge_seed
from frostfall.model.replication_search import Mutation, search
from frostfall.replication.options import ReplicationOptions

LOAD = {"rate": 80.0, "unsafe": 0.6, "patience": 5.0}
ASKED_AGAIN = 12  # operations of a lost machine that are asked for again at others
THREE = {"kept": 3, "acknowledged": 2}
SIZES = {3: repair.TWO, 5: THREE, 9: THREE}


def machine_lost(folder: Path, agents: int, seed: int) -> tuple[dict[str, Any], Findings]:
    """One agent's machine goes with its disk under load; what others know of its promises afterwards."""
    rng = random.Random(seed)
    cluster = Cluster(folder, agents, servers=3, seed=seed, copies=SIZES[agents], crowd=LOAD)
    seen: dict[str, Any] = {"agents": agents, "lost": [], "settled": []}
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
        at = monotonic()
        events = list(cluster.history.events)
        given = {
            event["op"]: event["value"]
            for event in events
            if event.get("event") == "answered" and event["what"] == "served" and event["agent"] == address
        }
        open_ones = {
            event["op"] for event in events if event.get("event") == "asked" and event["agent"] == address
        } - {event["op"] for event in events if event.get("event") == "answered"}
        others = [name for name in cluster.names if name != victim]
        for operation in sorted(given)[:ASKED_AGAIN]:
            since = cluster.now
            cluster.ask(rng.choice(others), operation, 50)
            got = cluster.wait("answered", since=since, id=f"{operation}-t50")
            if got["what"] != "served" or got["value"] != given[operation]:
                seen["lost"].append(f"{operation}: {got['what'] or 'no answer'}")
        for operation in sorted(open_ones)[:ASKED_AGAIN]:
            since, begin = cluster.now, monotonic()
            cluster.ask(rng.choice(others), operation, 50)
            cluster.wait("answered", since=since, id=f"{operation}-t50")
            seen["settled"].append(monotonic() - begin)
        seen["given"], seen["open"], seen["after"] = len(given), len(open_ones), monotonic() - at
        cluster.drain()
    finally:
        cluster.close()
    return seen, check(cluster.history)


def promise_cost(folder: Path, copies: dict[str, int] | None, seconds: float) -> dict[str, float]:
    """Latencies at 200 unsafe requests a second over three agents; milliseconds."""
    more: dict[str, Any] = {"copies": copies} if copies else {}
    cluster = Cluster(folder, 3, servers=3, held=False, crowd={"rate": 200.0, "unsafe": 1.0}, **more)
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
    asked = {event["id"]: event["at"] for event in cluster.history.of("asked", since)}
    answers = cluster.history.of("answered", since)
    times = sorted(
        (event["at"] - asked[event["id"]]) * 1000
        for event in answers
        if event["what"] == "served" and event["id"] in asked
    )
    return {"p50": times[len(times) // 2], "p99": times[int(len(times) * 0.99)], "count": len(times)}


def repairs(records: int, items: int, progress: Progress) -> tuple[dict[str, Any], list[report.Row]]:
    """Records made whole, items settled, and the CPU of a copied operation as members grow."""
    whole = repair.whole_again(records, 1.0)
    progress(f"whole again: {whole}")
    part = repair.whole_again(records, 0.01)
    progress(f"a hundredth: {part}")
    many = repair.settled(items)
    progress(f"settled: {many}")
    sizes = [repair.growth(agents) for agents in (3, 9)]
    progress(f"growth: {sizes}")
    ratio = round(sizes[0]["CPU ms an operation"] / max(sizes[1]["CPU ms an operation"], 1e-9), 3)
    less = round(whole["p99 meanwhile"] / max(whole["p99 before"], 1e-9), 3)
    share = round(part["bytes"] / max(whole["bytes"], 1), 4)
    kept = f"{whole['operations']} records"
    rows = [
        target(
            f"copies whole again after a machine is lost, s ({kept})",
            "30",
            whole["seconds"],
            whole["seconds"] <= 30 and whole["operations"] >= records * 0.9,
        ),
        target("99th percentile of unsafe requests meanwhile, ratio", "1.10", less, less <= 1.10),
        target("a returned machine with 1% differing, of a full copy's bytes", "0.03", share, share < 0.03),
        target(
            f"items of a dead owner settled, s ({many['open']} open; the aim is for 1000)",
            "2.0",
            many["seconds"],
            many["seconds"] <= 2.0 and many["open"] >= 1000,
        ),
        target(
            "operations a second an agent from 3 to 9 members, by CPU an operation",
            "0.9",
            ratio,
            ratio >= 0.9,
        ),
    ]
    return {"whole again": whole, "a hundredth": part, "settled": many, "growth": sizes}, rows


def small_world(items: int) -> tuple[dict[str, Any], report.Row]:
    """The exhaustive search, of the protocol and of its mutants with one item."""
    rules = ReplicationOptions(2, 1)
    whole = search(rules, items)
    found = {field.name: search(rules, 1, Mutation(**{field.name: True})) for field in fields(Mutation)}
    states = {name: each.states for name, each in found.items() if each.violation}
    row = target(
        f"small world, {whole.states} states: breaches; mutants found, of {len(found)}",
        f"0; {len(found)}",
        f"{int(whole.violation is not None)}; {len(states)}",
        whole.violation is None and len(states) == len(found),
    )
    return {"items": items, "states": whole.states, "depth": whole.depth, "mutants found after": states}, row


def plot(path: Path, costs: dict[str, list[dict[str, float]]], repaired: dict[str, Any]) -> None:
    """What a promise costs by round, and requests while a record is made whole."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.2))
    for name, figures in costs.items():
        for key, style in (("p50", "-"), ("p99", ":")):
            left.plot([each[key] for each in figures], style, marker="o", label=f"{name}, {key}")
    left.set(title="a promise, 200 a second", xlabel="round", ylabel="ms", ylim=(0, None))
    left.legend(fontsize=7)
    kinds = ("whole again", "a hundredth")
    for place, key in enumerate(("p99 before", "p99 meanwhile")):
        right.bar(
            [spot + 0.4 * place for spot in range(2)],
            [repaired[kind][key] for kind in kinds],
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
    against: str,
    out: Path,
    progress: Progress = print,
) -> None:
    """Take all figures, and leave JSON, table and plot."""
    more, rows = repairs(records, items, progress)
    world, row = small_world(1)
    progress(f"small world: {world}")
    findings, seen = Findings(), list[dict[str, Any]]()
    for number in range(losses):
        with tempfile.TemporaryDirectory() as name:
            one, checked = machine_lost(Path(name), (3, 5, 9)[number % 3], number)
        seen.append(one)
        findings.add(checked)
        progress(f"machine {number + 1} of {losses}: {one}")
    costs: dict[str, list[dict[str, float]]] = {"one disk": [], "copies": []}
    for turn in range(rounds):
        for name, copies in (("one disk", None), ("copies", SIZES[3]))[:: 1 if turn % 2 else -1]:
            with tempfile.TemporaryDirectory() as folder:
                costs[name].append(promise_cost(Path(folder), copies, 4.0))
    failing, operations = list[tuple[int, list[str]]](), 0
    with ProcessPoolExecutor(max((os.cpu_count() or 2) - 1, 1)) as pool:
        for seed, lines, tried in pool.map(partial(judge_seed, copies=True), range(schedules), chunksize=10):
            operations += tried
            if lines:
                failing.append((seed, lines))
    middle = {
        name: {key: statistics.median(each[key] for each in values) for key in ("p50", "p99", "count")}
        for name, values in costs.items()
    }
    lost = [line for one in seen for line in one["lost"]]
    settled = [time for one in seen for time in one["settled"]]
    slowest = round(max(settled, default=0.0), 3)
    asked = sum(min(one["given"], ASKED_AGAIN) for one in seen)
    with older(against) as checkout:
        off = group_off(checkout, 6.0, 5)
    targets = [
        *rows,
        row,
        target(
            f"promises lost, of {asked} asked for again, in {losses} machine losses", "0", len(lost), not lost
        ),
        target(
            "copies off: CPU against the landing before", "1.02", round(off["cpu"], 3), off["cpu"] <= 1.02
        ),
        target(
            "copies off: memory against the landing before",
            "1.02",
            round(off["memory"], 3),
            off["memory"] <= 1.02,
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
    cost = [{"record": name, **figures} for name, figures in middle.items()]
    text = (
        report.table(targets, ["name", "aim", "measured", "met"])
        + "\n"
        + report.table(cost, ["record", "p50", "p99", "count"])
    )
    report.write(
        out,
        "copies",
        {
            "targets": targets,
            "repair": more,
            "small world": world,
            "machines": seen,
            "cost": middle,
            "each cost": costs,
            "off": off,
            "against": against,
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
    plot(out / "copies.png", costs, more)
    progress(text)
