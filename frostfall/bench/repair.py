"""For `frostfall bench copies`: large records, what it takes to make them whole, what copies cost in CPU."""

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
TOGETHER = 500  # records a commit
TWO = {"kept": 2, "acknowledged": 1}
WHOLE = "the record is whole by its copies"
RATE = 90.0  # operations a second of the load beside


def fill(cluster: Cluster, each: int, lacks: Callable[[str, str, int], bool] = lambda *_: False) -> None:
    """Write records as if each member had served so many operations and kept the others' copies.

    `lacks(member, owner, number)` leaves an operation out of one member's record.
    """
    names = cluster.names
    zones = dict.fromkeys(names, "z0")
    for member in names:
        own = [
            owner
            for owner in names
            if owner == member or member in replica_holders(owner, zones, TWO["kept"])
        ]
        told = [
            Record(RecordState.METADATA, 0, encode(fact))
            for fact in (
                IncarnationStarted(1, uuid4().hex[:16]),
                ReplicaAssignment(sorted(own), sorted(names)),
            )
        ]
        folder = SegmentDirectory(cluster.data(member))
        journal = WriteAheadLog(member, StorageOptions(), lambda told=told: told)  # type: ignore[misc]
        journal.store_id = uuid4().hex
        folder.lock()
        folder.sync_data = folder.sync_directory = lambda: None  # type: ignore[method-assign]
        waiting = 0
        for owner in own:
            for number in range(each):
                if not lacks(member, owner, number):
                    name = f"{owner}-old-{number}"
                    full = name if owner == member else replica_name(owner, name)
                    journal.append(
                        Record(RecordState.SERVED, operation_key(full), encode_payload(full, ANSWER))
                    )
                    waiting += 1
                if waiting >= TOGETHER:
                    waiting = 0
                    _flush(folder, journal)
        _flush(folder, journal)
        folder.close()


def _flush(folder: SegmentDirectory, journal: WriteAheadLog) -> None:
    while write := journal.next_write(0.0):
        execute_write(folder, write)
        journal.write_synced()


def whole_again(records: int, missing: float) -> dict[str, Any]:
    """One of three members returns without its disk, or (missing below 1) without a part of its records."""
    rng = random.Random(3)
    with tempfile.TemporaryDirectory() as name:
        cluster = Cluster(
            Path(name), 3, servers=3, held=False, copies=TWO, new=False, crowd={"rate": RATE, "unsafe": 1.0}
        )
        try:
            cluster.open()
            fill(
                cluster,
                records // 3,
                lambda member, *_: missing < 1 and member == "n2" and (rng.random() < missing),
            )
            others, since = ["n0", "n1"], cluster.now
            cluster.start(*(others if missing < 1 else cluster.names))
            cluster.gate("unsafe", *others, since=since)
            cluster.start_clients()
            cluster.wait("answered", 100, what="served")
            sleep(1.0)
            begin = cluster.now
            sleep(6.0)
            usual = _p99(cluster, begin, cluster.now, others)
            if missing >= 1:
                cluster.kill("n2")
                cluster.lose("n2")
            since = cluster.now
            cluster.start("n2")
            at = float(cluster.wait("record read", who="n2", since=since)["at"])
            kind = WHOLE if missing >= 1 else "taken over"
            done = float(cluster.wait(kind, who="n2", since=since, seconds=120)["at"])
            meanwhile = _p99(cluster, since, cluster.now, others)
            taken = [event for event in cluster.history.of("taken over", since) if event["who"] == "n2"]
            cluster.drain()
        finally:
            cluster.close()
    return {
        "records": records,
        "missing": missing,
        "seconds": round(done - at, 2),
        "operations": sum(event["operations"] for event in taken),
        "bytes": sum(event["bytes"] for event in taken),
        "p99 before": usual,
        "p99 meanwhile": meanwhile,
    }


def _p99(cluster: Cluster, begin: int, end: int, names: list[str]) -> float:
    asked = {event["id"]: event["at"] for event in cluster.history.of("asked")}
    where = {cluster.links[f"clients>{name}"] for name in names}
    times = sorted(
        (event["at"] - asked[event["id"]]) * 1000
        for event in cluster.history.events[begin:end]
        if event.get("event") == "answered"
        and event["what"] == "served"
        and event["agent"] in where
        and event["id"] in asked
    )
    return round(times[int(len(times) * 0.99)], 2) if times else -1.0


def growth(agents: int, seconds: float = 5.0) -> dict[str, Any]:
    """CPU of all agents for one copied operation, at the same load on each of them."""
    with tempfile.TemporaryDirectory() as name:
        cluster = Cluster(
            Path(name),
            agents,
            servers=3,
            held=False,
            copies=TWO,
            crowd={"rate": 30.0 * agents, "unsafe": 1.0},
        )
        try:
            cluster.open()
            cluster.start()
            cluster.gate("unsafe")
            sleep(1.0)
            idle = _cpu(cluster, 2.0)
            cluster.start_clients()
            cluster.wait("answered", 50, what="served")
            begin = cluster.now
            busy = _cpu(cluster, seconds)
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


def _cpu(cluster: Cluster, seconds: float) -> float:
    """Cores that all agents use over some seconds."""

    def used() -> float:
        ticks = 0
        for agent in cluster.agents.values():
            fields = Path(f"/proc/{agent.process.pid}/stat").read_text().rpartition(")")[2].split()
            ticks += int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    before, at = used(), monotonic()
    sleep(seconds)
    return (used() - before) / (monotonic() - at)


def settled(wanted: int) -> dict[str, Any]:
    """A machine goes with its disk and many open items; how long until others have settled all of them."""
    with tempfile.TemporaryDirectory() as name:
        cluster = Cluster(
            Path(name),
            3,
            servers=3,
            held=False,
            copies=TWO,
            sockets=4 * wanted + 256,
            crowd={"rate": 0.0, "wait_ms": 20_000},
        )
        try:
            cluster.open()
            cluster.start()
            cluster.gate("unsafe")
            cluster.start_clients()
            cluster.servers(hold=["order"])
            for number in range(wanted):
                cluster.ask("n2", f"open-{number}")
            until, ran = monotonic() + 15.0, 0
            while monotonic() < until and ran < wanted:
                sleep(0.2)
                ran = len(cluster.history.of("ran"))
            cluster.kill("n2")
            cluster.lose("n2")
            cluster.servers(let_go=True)
            names = sorted({event["op"] for event in cluster.history.of("ran")})
            since, begin = cluster.now, monotonic()
            for place, each in enumerate(names):
                cluster.ask(("n0", "n1")[place % 2], each, 2)
            cluster.wait("answered", len(names), since=since, id="*-t2")
            took = monotonic() - begin
            answers = [
                event["what"]
                for event in cluster.history.of("answered", since)
                if event["id"].endswith("-t2")
            ]
        finally:
            cluster.close()
    twice = len(cluster.history.of("ran")) - len(names)
    return {
        "open": len(names),
        "wanted": wanted,
        "seconds": round(took, 3),
        "ran twice": twice,
        "answers": {what: answers.count(what) for what in sorted(set(answers))},
    }
