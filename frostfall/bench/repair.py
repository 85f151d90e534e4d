"""Measure the repair of replicas, the settlement of open items and the CPU cost of replication.

These measurements are part of `frostfall bench copies`.
"""

from __future__ import annotations

import os
import random
import tempfile
from collections.abc import Callable
from pathlib import Path
from time import monotonic, sleep
from typing import Any
from uuid import uuid4

from frostfall.bench.cluster import Cluster
from frostfall.net.log_writer import SegmentDirectory, execute_write
from frostfall.recovery.metadata import IncarnationStarted, ReplicaAssignment, encode
from frostfall.recovery.operation_log import encode_payload
from frostfall.replication.placement import replica_holders
from frostfall.replication.replica_store import replica_name
from frostfall.storage.options import StorageOptions
from frostfall.storage.segment_codec import Record, RecordState
from frostfall.storage.write_ahead_log import WriteAheadLog, operation_key

ANSWER = b"D" + b"a" * 60
RECORDS_PER_COMMIT = 500
TWO_REPLICAS = {"kept": 2, "acknowledged": 1}
REPLICAS_COMPLETE = "the record is whole by its copies"  # log event
RATE = 90.0  # operations a second of the load during the repair


def write_logs(
    cluster: Cluster,
    operations_per_owner: int,
    is_missing: Callable[[str, str, int], bool] = lambda *_: False,
) -> None:
    """Write the logs of members that each served operations and store replicas of the others' operations.

    Each owner has `operations_per_owner` operations. `is_missing(member, owner, number)` omits an operation
    from one member's log.
    """
    names = cluster.names
    zones = dict.fromkeys(names, "z0")
    for member in names:
        stored_owners = [
            owner
            for owner in names
            if owner == member or member in replica_holders(owner, zones, TWO_REPLICAS["kept"])
        ]
        metadata = [
            Record(RecordState.METADATA, 0, encode(entry))
            for entry in (
                IncarnationStarted(1, uuid4().hex[:16]),
                ReplicaAssignment(sorted(stored_owners), sorted(names)),
            )
        ]
        directory = SegmentDirectory(cluster.data(member))
        wal = WriteAheadLog(member, StorageOptions(), lambda metadata=metadata: metadata)  # type: ignore[misc]
        wal.store_id = uuid4().hex
        directory.lock()
        directory.sync_data = directory.sync_directory = lambda: None  # type: ignore[method-assign]
        unflushed = 0
        for owner in stored_owners:
            for number in range(operations_per_owner):
                if not is_missing(member, owner, number):
                    name = f"{owner}-old-{number}"
                    stored_name = name if owner == member else replica_name(owner, name)
                    wal.append(
                        Record(
                            RecordState.SERVED,
                            operation_key(stored_name),
                            encode_payload(stored_name, ANSWER),
                        )
                    )
                    unflushed += 1
                if unflushed >= RECORDS_PER_COMMIT:
                    unflushed = 0
                    _flush(directory, wal)
        _flush(directory, wal)
        directory.close()


def _flush(directory: SegmentDirectory, wal: WriteAheadLog) -> None:
    while write := wal.next_write(0.0):
        execute_write(directory, write)
        wal.write_synced()


def measure_repair(records: int, missing: float) -> dict[str, Any]:
    """Restart one of three members without its disk and measure the repair of its records.

    With `missing` below 1, the member keeps its disk but lacks that share of its records.
    """
    random_source = random.Random(3)
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(
            Path(folder),
            3,
            servers=3,
            held=False,
            copies=TWO_REPLICAS,
            new=False,
            crowd={"rate": RATE, "unsafe": 1.0},
        )
        try:
            cluster.open()
            write_logs(
                cluster,
                records // 3,
                lambda member, *_: missing < 1 and member == "n2" and (random_source.random() < missing),
            )
            others, since = ["n0", "n1"], cluster.now
            cluster.start(*(others if missing < 1 else cluster.names))
            cluster.gate("unsafe", *others, since=since)
            cluster.start_clients()
            cluster.wait("answered", 100, what="served")
            sleep(1.0)
            begin = cluster.now
            sleep(6.0)
            p99_before = _p99(cluster, begin, cluster.now, others)
            if missing >= 1:
                cluster.kill("n2")
                cluster.lose("n2")
            since = cluster.now
            cluster.start("n2")
            recovered_at = float(cluster.wait("record read", who="n2", since=since)["at"])
            completion_event = REPLICAS_COMPLETE if missing >= 1 else "taken over"
            completed_at = float(cluster.wait(completion_event, who="n2", since=since, seconds=120)["at"])
            p99_during = _p99(cluster, since, cluster.now, others)
            takeovers = [event for event in cluster.history.of("taken over", since) if event["who"] == "n2"]
            cluster.drain()
        finally:
            cluster.close()
    return {
        "records": records,
        "missing": missing,
        "seconds": round(completed_at - recovered_at, 2),
        "operations": sum(event["operations"] for event in takeovers),
        "bytes": sum(event["bytes"] for event in takeovers),
        "p99 before": p99_before,
        "p99 meanwhile": p99_during,
    }


def _p99(cluster: Cluster, begin: int, end: int, names: list[str]) -> float:
    sent_at = {event["id"]: event["at"] for event in cluster.history.of("asked")}
    links = {cluster.links[f"clients>{name}"] for name in names}
    times = sorted(
        (event["at"] - sent_at[event["id"]]) * 1000
        for event in cluster.history.events[begin:end]
        if event.get("event") == "answered"
        and event["what"] == "served"
        and event["agent"] in links
        and event["id"] in sent_at
    )
    return round(times[int(len(times) * 0.99)], 2) if times else -1.0


def measure_cpu(agents: int, seconds: float = 5.0) -> dict[str, Any]:
    """Return the CPU time of all agents per replicated operation, at the same load on each agent."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(
            Path(folder),
            agents,
            servers=3,
            held=False,
            copies=TWO_REPLICAS,
            crowd={"rate": 30.0 * agents, "unsafe": 1.0},
        )
        try:
            cluster.open()
            cluster.start()
            cluster.gate("unsafe")
            sleep(1.0)
            idle = _cpu_cores(cluster, 2.0)
            cluster.start_clients()
            cluster.wait("answered", 50, what="served")
            begin = cluster.now
            busy = _cpu_cores(cluster, seconds)
            count = sum(event["what"] == "served" for event in cluster.history.of("answered", begin))
            cluster.drain()
        finally:
            cluster.close()
    return {
        "agents": agents,
        "operations a second": round(count / seconds, 1),
        "CPU ms an operation": round(1000 * (busy - idle) * seconds / max(count, 1), 2),
        "CPU idle, of a core": round(idle, 3),
    }


def _cpu_cores(cluster: Cluster, seconds: float) -> float:
    """Return the average number of CPU cores that all agents use during `seconds`."""

    def cpu_seconds() -> float:
        ticks = 0
        for agent in cluster.agents.values():
            fields = Path(f"/proc/{agent.process.pid}/stat").read_text().rpartition(")")[2].split()
            ticks += int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    before, started_at = cpu_seconds(), monotonic()
    sleep(seconds)
    return (cpu_seconds() - before) / (monotonic() - started_at)


def measure_settlement(item_count: int) -> dict[str, Any]:
    """Destroy a machine with many open items and measure how long the others take to settle them."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(
            Path(folder),
            3,
            servers=3,
            held=False,
            copies=TWO_REPLICAS,
            sockets=4 * item_count + 256,
            crowd={"rate": 0.0, "wait_ms": 20_000},
        )
        try:
            cluster.open()
            cluster.start()
            cluster.gate("unsafe")
            cluster.start_clients()
            cluster.servers(hold=["order"])
            for number in range(item_count):
                cluster.ask("n2", f"open-{number}")
            deadline, executed = monotonic() + 15.0, 0
            while monotonic() < deadline and executed < item_count:
                sleep(0.2)
                executed = len(cluster.history.of("ran"))
            cluster.kill("n2")
            cluster.lose("n2")
            cluster.servers(let_go=True)
            names = sorted({event["op"] for event in cluster.history.of("ran")})
            since, started_at = cluster.now, monotonic()
            for position, operation in enumerate(names):
                cluster.ask(("n0", "n1")[position % 2], operation, 2)
            cluster.wait("answered", len(names), since=since, id="*-t2")
            duration = monotonic() - started_at
            answers = [
                event["what"]
                for event in cluster.history.of("answered", since)
                if event["id"].endswith("-t2")
            ]
        finally:
            cluster.close()
    duplicates = len(cluster.history.of("ran")) - len(names)
    return {
        "open": len(names),
        "wanted": item_count,
        "seconds": round(duration, 3),
        "ran twice": duplicates,
        "answers": {what: answers.count(what) for what in sorted(set(answers))},
    }
