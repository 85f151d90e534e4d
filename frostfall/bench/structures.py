"""Data structures made for the job against plain ones: `frostfall bench structures`."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from functools import partial
from pathlib import Path
from time import perf_counter

import click

from frostfall.bench import report
from frostfall.limits.indexed_heap import IndexedHeap
from frostfall.limits.timer_wheel import Timer, TimerWheel

TURNS = 40  # of a wheel
CHANGES = 500  # of amounts that wait
Timed = tuple[float, int]  # seconds without the set-up, and a checksum


def wheel(count: int, moved: float, due_in: int = 30) -> Timed:
    """Every turn a part of the timers is moved; what comes due is set anew. How many came due."""
    chance, clock, fired = random.Random(1), TimerWheel[Timer](), 0
    timers = [Timer() for _ in range(count)]
    for timer in timers:
        clock.schedule(timer, due_in + chance.randrange(due_in))
    began = perf_counter()
    for turn in range(1, TURNS + 1):
        for name in chance.sample(range(count), int(count * moved)):
            clock.schedule(timers[name], due_in)
        for timer in clock.advance(turn):
            fired += 1
            clock.schedule(timer, due_in)
    return perf_counter() - began, fired


def heap(count: int, moved: float, due_in: int = 30) -> Timed:
    """The same with `heapq`: a moved timer leaves its old entry behind, void."""
    chance, fired = random.Random(1), 0
    due = [due_in + chance.randrange(due_in) for _ in range(count)]
    entries = [(at, name) for name, at in enumerate(due)]
    heapq.heapify(entries)
    began = perf_counter()
    for turn in range(1, TURNS + 1):
        for name in chance.sample(range(count), int(count * moved)):
            due[name] = turn - 1 + due_in
            heapq.heappush(entries, (due[name], name))
        while entries[0][0] <= turn:
            at, name = heapq.heappop(entries)
            if due[name] == at:
                fired += 1
                due[name] = turn + due_in
                heapq.heappush(entries, (due[name], name))
    return perf_counter() - began, fired


def scan(count: int, moved: float, due_in: int = 30) -> Timed:
    """The same by looking at every timer in every turn."""
    chance, fired = random.Random(1), 0
    due = [due_in + chance.randrange(due_in) for _ in range(count)]
    began = perf_counter()
    for turn in range(1, TURNS + 1):
        for name in chance.sample(range(count), int(count * moved)):
            due[name] = turn - 1 + due_in
        for name, at in enumerate(due):
            if at <= turn:
                fired += 1
                due[name] = turn + due_in
    return perf_counter() - began, fired


def _changes(count: int, changes: int) -> list[tuple[int, float]]:
    chance = random.Random(2)
    return [(chance.randrange(count), float(chance.randrange(1 << 20))) for _ in range(changes)]


def ranking(count: int, changes: int, every: int) -> Timed:
    """Amounts that wait change; every so often the first has to leave and comes back empty. A checksum."""
    index, check = IndexedHeap[int](), 0
    for name in range(count):
        index.put(name, (float(name),))
    work, began = _changes(count, changes), perf_counter()
    for number, (name, amount) in enumerate(work):
        index.put(name, (amount,))
        if number % every == 0 and (first := index.first) is not None:
            check = (check * 31 + first) % 1_000_003
            index.put(first, (0.0,))
    return perf_counter() - began, check


def ranking_heap(count: int, changes: int, every: int) -> Timed:
    """The same with `heapq`, void entries left behind; those of equal rank in the order of their names."""
    amounts = [float(name) for name in range(count)]
    entries = [(-amount, name) for name, amount in enumerate(amounts)]
    heapq.heapify(entries)
    check = 0
    work, began = _changes(count, changes), perf_counter()
    for number, (name, amount) in enumerate(work):
        amounts[name] = amount
        heapq.heappush(entries, (-amount, name))
        if number % every == 0:
            while -entries[0][0] != amounts[entries[0][1]]:
                heapq.heappop(entries)
            first = entries[0][1]
            check = (check * 31 + first) % 1_000_003
            amounts[first] = 0.0
            heapq.heappush(entries, (-0.0, first))
    return perf_counter() - began, check


def ranking_scan(count: int, changes: int, every: int) -> Timed:
    """The same by looking at every amount."""
    amounts, check = {name: float(name) for name in range(count)}, 0
    work, began = _changes(count, changes), perf_counter()
    for number, (name, amount) in enumerate(work):
        amounts[name] = amount
        if number % every == 0:
            first = max(amounts, key=lambda each: (amounts[each], -each))
            check = (check * 31 + first) % 1_000_003
            amounts[first] = 0.0
    return perf_counter() - began, check


def run(rounds: int, out: Path) -> None:
    """Each structure in turn, round after round; microseconds, medians."""
    rows: list[report.Row] = []
    for count, moved in ((n, part) for part in (0.5, 0.01) for n in (1_000, 10_000, 100_000)):
        kinds: dict[str, Callable[[], Timed]] = {
            "wheel": partial(wheel, count, moved),
            "heap": partial(heap, count, moved),
            "scan": partial(scan, count, moved),
        }
        job = f"a turn of timers, 1 in {round(1 / moved)} moved"
        rows.append({"job": job, "count": count, **_compare(kinds, rounds, TURNS)})
        click.echo(str(rows[-1]))
    for count, every in ((1_000, 1), (10_000, 1), (10_000, 50), (100_000, 50)):
        kinds = {
            "indexed heap": partial(ranking, count, CHANGES, every),
            "heap": partial(ranking_heap, count, CHANGES, every),
            "scan": partial(ranking_scan, count, CHANGES, every),
        }
        job = f"who leaves, 1 in {every} changes"
        rows.append({"job": job, "count": count, **_compare(kinds, rounds, CHANGES)})
        click.echo(str(rows[-1]))
    names = ("job", "count", "wheel", "indexed heap", "heap", "scan")
    report.write(out, "structures", rows, "Microseconds a turn, or a change.\n\n" + report.table(rows, names))


def _compare(kinds: dict[str, Callable[[], Timed]], rounds: int, operations: float) -> dict[str, float]:
    times: dict[str, list[float]] = {name: [] for name in kinds}
    for _ in range(rounds):
        checks = set()
        for name, work in kinds.items():
            took, check = work()
            times[name].append(took / operations * 1e6)
            checks.add(check)
        if len(checks) > 1:
            raise AssertionError(f"the structures disagree: {checks}")
    return {name: report.median(each) for name, each in times.items()}
