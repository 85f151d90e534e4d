"""Run `frostfall bench structures`: compare specialised data structures with plain ones."""

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

TICKS = 40  # of the timer wheel
CHANGES = 500  # of queued amounts
TimedResult = tuple[float, int]  # seconds without the set-up; checksum


def time_timer_wheel(count: int, moved_share: float, timeout: int = 30) -> TimedResult:
    """Reschedule a share of the timers and all expired timers in every tick; the checksum counts expiries."""
    rng, wheel, expired = random.Random(1), TimerWheel[Timer](), 0
    timers = [Timer() for _ in range(count)]
    for timer in timers:
        wheel.schedule(timer, timeout + rng.randrange(timeout))
    began = perf_counter()
    for tick in range(1, TICKS + 1):
        for name in rng.sample(range(count), int(count * moved_share)):
            wheel.schedule(timers[name], timeout)
        for timer in wheel.advance(tick):
            expired += 1
            wheel.schedule(timer, timeout)
    return perf_counter() - began, expired


def time_timer_heap(count: int, moved_share: float, timeout: int = 30) -> TimedResult:
    """Run the load of `time_timer_wheel` with `heapq`; a rescheduled timer leaves a void entry behind."""
    rng, expired = random.Random(1), 0
    due = [timeout + rng.randrange(timeout) for _ in range(count)]
    entries = [(at, name) for name, at in enumerate(due)]
    heapq.heapify(entries)
    began = perf_counter()
    for tick in range(1, TICKS + 1):
        for name in rng.sample(range(count), int(count * moved_share)):
            due[name] = tick - 1 + timeout
            heapq.heappush(entries, (due[name], name))
        while entries[0][0] <= tick:
            at, name = heapq.heappop(entries)
            if due[name] == at:
                expired += 1
                due[name] = tick + timeout
                heapq.heappush(entries, (due[name], name))
    return perf_counter() - began, expired


def time_timer_scan(count: int, moved_share: float, timeout: int = 30) -> TimedResult:
    """Run the load of `time_timer_wheel` with a scan of all timers in every tick."""
    rng, expired = random.Random(1), 0
    due = [timeout + rng.randrange(timeout) for _ in range(count)]
    began = perf_counter()
    for tick in range(1, TICKS + 1):
        for name in rng.sample(range(count), int(count * moved_share)):
            due[name] = tick - 1 + timeout
        for name, at in enumerate(due):
            if at <= tick:
                expired += 1
                due[name] = tick + timeout
    return perf_counter() - began, expired


def _changes(count: int, changes: int) -> list[tuple[int, float]]:
    rng = random.Random(2)
    return [(rng.randrange(count), float(rng.randrange(1 << 20))) for _ in range(changes)]


def time_ranking(count: int, changes: int, every: int) -> TimedResult:
    """Change queued amounts; every `every` changes, evict the largest amount and reinsert its name with zero.

    The checksum covers the names evicted, in order.
    """
    index, checksum = IndexedHeap[int](), 0
    for name in range(count):
        index.put(name, (float(name),))
    updates, began = _changes(count, changes), perf_counter()
    for number, (name, amount) in enumerate(updates):
        index.put(name, (amount,))
        if number % every == 0 and (first := index.first) is not None:
            checksum = (checksum * 31 + first) % 1_000_003
            index.put(first, (0.0,))
    return perf_counter() - began, checksum


def time_ranking_heap(count: int, changes: int, every: int) -> TimedResult:
    """Run the load of `time_ranking` with `heapq`; void entries remain, and names break ties."""
    amounts = [float(name) for name in range(count)]
    entries = [(-amount, name) for name, amount in enumerate(amounts)]
    heapq.heapify(entries)
    checksum = 0
    updates, began = _changes(count, changes), perf_counter()
    for number, (name, amount) in enumerate(updates):
        amounts[name] = amount
        heapq.heappush(entries, (-amount, name))
        if number % every == 0:
            while -entries[0][0] != amounts[entries[0][1]]:
                heapq.heappop(entries)
            first = entries[0][1]
            checksum = (checksum * 31 + first) % 1_000_003
            amounts[first] = 0.0
            heapq.heappush(entries, (-0.0, first))
    return perf_counter() - began, checksum


def time_ranking_scan(count: int, changes: int, every: int) -> TimedResult:
    """Run the load of `time_ranking` with a scan of all amounts."""
    amounts, checksum = {name: float(name) for name in range(count)}, 0
    updates, began = _changes(count, changes), perf_counter()
    for number, (name, amount) in enumerate(updates):
        amounts[name] = amount
        if number % every == 0:
            first = max(amounts, key=lambda each: (amounts[each], -each))
            checksum = (checksum * 31 + first) % 1_000_003
            amounts[first] = 0.0
    return perf_counter() - began, checksum


def run(rounds: int, output: Path) -> None:
    """Time all structures in each round and report medians in microseconds."""
    rows: list[report.Row] = []
    for count, moved_share in ((n, share) for share in (0.5, 0.01) for n in (1_000, 10_000, 100_000)):
        structures: dict[str, Callable[[], TimedResult]] = {
            "wheel": partial(time_timer_wheel, count, moved_share),
            "heap": partial(time_timer_heap, count, moved_share),
            "scan": partial(time_timer_scan, count, moved_share),
        }
        job = f"a turn of timers, 1 in {round(1 / moved_share)} moved"
        rows.append({"job": job, "count": count, **_compare(structures, rounds, TICKS)})
        click.echo(str(rows[-1]))
    for count, every in ((1_000, 1), (10_000, 1), (10_000, 50), (100_000, 50)):
        structures = {
            "indexed heap": partial(time_ranking, count, CHANGES, every),
            "heap": partial(time_ranking_heap, count, CHANGES, every),
            "scan": partial(time_ranking_scan, count, CHANGES, every),
        }
        job = f"who leaves, 1 in {every} changes"
        rows.append({"job": job, "count": count, **_compare(structures, rounds, CHANGES)})
        click.echo(str(rows[-1]))
    names = ("job", "count", "wheel", "indexed heap", "heap", "scan")
    report.write(
        output, "structures", rows, "Microseconds a turn, or a change.\n\n" + report.table(rows, names)
    )


def _compare(
    structures: dict[str, Callable[[], TimedResult]], rounds: int, operations: float
) -> dict[str, float]:
    times: dict[str, list[float]] = {name: [] for name in structures}
    for _ in range(rounds):
        checksums = set()
        for name, measure in structures.items():
            seconds, checksum = measure()
            times[name].append(seconds / operations * 1e6)
            checksums.add(checksum)
        if len(checksums) > 1:
            raise AssertionError(f"the structures disagree: {checksums}")
    return {name: report.median(each) for name, each in times.items()}
