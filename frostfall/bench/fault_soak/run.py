"""Runs a set of seeds, several in parallel, each in its own process, and reports the results."""

from __future__ import annotations

import signal
import subprocess
import sys
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor, as_completed
from pathlib import Path
from time import monotonic

import anyio
import msgspec

from frostfall.bench.fault_soak import plan as plans
from frostfall.bench.fault_soak import report, shim
from frostfall.bench.fault_soak.oracle import Oracle
from frostfall.bench.fault_soak.play import Soak
from frostfall.bench.harness import ROOT

EXTRA_SECONDS = 120.0  # beyond the schedule, before a seed is interrupted
MAX_TIMELINES = 10  # per seed


def parse_seeds(text: str) -> list[int]:
    """Parse comma-separated seeds and ranges `A-B`; raise ValueError if that fails or a range is empty."""
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        numbers = range(int(first), int(last or first) + 1)
        if not numbers:
            raise ValueError(f"{part}: an empty range")
        seeds += numbers
    return seeds


def play_seed(seed: int, agents: int, seconds: float, folder: Path) -> report.SeedResult:
    """Run one seed in this process, and write its findings and its result to `folder`."""
    plan = plans.draw(seed, agents, seconds)
    folder.mkdir(parents=True)
    began = monotonic()
    soak = Soak(plan, folder / "agents")
    records = anyio.run(soak.run)
    findings = Oracle(records).findings()
    for number, finding in enumerate(findings[:MAX_TIMELINES]):
        path = folder / f"finding-{number}-{finding.rule.name.lower()}.txt"
        path.write_text(report.timeline(plan, records, finding, soak.faults_started_at))
    result = report.summarise(plan, records, findings, monotonic() - began, soak.faults_started_at)
    (folder / "result.json").write_bytes(msgspec.json.encode(result))
    return result


def run(
    seeds: list[int], agents: int, seconds: float, parallel: int, out: Path, echo: Callable[[str], None]
) -> bool:
    """Run all seeds, write the report and return whether every target was met.

    An interrupted run reports the seeds that have ended, and returns False.
    """
    out.mkdir(parents=True, exist_ok=True)
    shim.build()
    results: list[report.SeedResult] = []
    players = SeedPlayers(agents, seconds, out)
    executor = ThreadPoolExecutor(parallel)
    try:
        futures = [executor.submit(players.play, seed) for seed in seeds]
        for future in as_completed(futures):
            result = future.result()
            results.append(result)
            found = ", ".join(f"{name} {count}" for name, count in result.findings.items())
            echo(
                f"{len(results)}/{len(seeds)}: seed {result.seed}, {result.requests} requests, "
                f"{result.error or found or 'nothing found'}"
            )
    except KeyboardInterrupt:
        echo("broken off")
    finally:
        executor.shutdown(wait=False, cancel_futures=True)
        players.interrupt_all()
    results.sort(key=lambda result: result.seed)
    reached = report.write(results, out, agents=agents, seconds=seconds)
    echo(report.table([], reached))
    return all(target.met for target in reached) and len(results) == len(seeds)


class SeedPlayers:
    """Runs each seed in its own process, which ends its agents when it is interrupted."""

    def __init__(self, agents: int, seconds: float, out: Path) -> None:
        """Run each seed with `agents` agents for `seconds`; its files go to a folder in `out`."""
        self._agents = agents
        self._seconds = seconds
        self._out = out
        self._processes: set[subprocess.Popen[bytes]] = set()

    def play(self, seed: int) -> report.SeedResult:
        """Run one seed to its end, or until it exceeds its time limit."""
        folder = self._out / f"seed-{seed}"
        arguments = [str(seed), str(self._agents), str(self._seconds), str(folder)]
        process = subprocess.Popen(
            [sys.executable, "-m", "frostfall.bench.fault_soak.run", *arguments],
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
        )
        self._processes.add(process)
        failed = report.SeedResult(seed, self._seconds, 0)
        try:
            _, errors = process.communicate(timeout=self._seconds * 3 + EXTRA_SECONDS)
        except subprocess.TimeoutExpired:
            process.send_signal(signal.SIGINT)
            failed.error = "not over in time"
            return failed
        finally:
            self._processes.discard(process)
        if process.returncode or not (folder / "result.json").exists():
            error_text = errors.decode(errors="replace")[-300:].strip()
            failed.error = error_text or f"ended with {process.returncode}"
            return failed
        return msgspec.json.decode((folder / "result.json").read_bytes(), type=report.SeedResult)

    def interrupt_all(self) -> None:
        """Interrupt the seeds that are running."""
        for process in list(self._processes):
            process.send_signal(signal.SIGINT)


if __name__ == "__main__":
    play_seed(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), Path(sys.argv[4]))
