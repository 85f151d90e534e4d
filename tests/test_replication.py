"""Tests of replication: loss of machines with their disks, placement, replica store and quorum read.

The losses of machines are tested with agents as processes.
"""

from __future__ import annotations

from itertools import combinations
from pathlib import Path

import pytest

from frostfall import config
from frostfall.bench.cluster import Cluster
from frostfall.recovery.operation_log import OperationResult, OperationStatus
from frostfall.replication.options import ReplicationOptions
from frostfall.replication.placement import replica_holders
from frostfall.replication.quorum_read import resolve_outcome
from frostfall.replication.replica_store import ReplicaStore, ReplicaUpdate
from frostfall.storage.segment_codec import RecordState
from tests.test_power_loss import count_runs, restart, running
from tests.test_recovery import GROUP, SEGMENT_SPAN, InMemoryMember

# Replication options for three members; one machine with its disk may be lost.
TWO_REPLICAS = {"kept": 2, "acknowledged": 1}


def lose_machine(cluster: Cluster, name: str) -> None:
    cluster.kill(name)
    cluster.lose(name)


def test_an_answer_survives_the_loss_of_its_agents_machine_and_disk(tmp_path: Path) -> None:
    with running(tmp_path, copies=TWO_REPLICAS) as cluster:
        assert cluster.query("n2", "promised") == "served"
        lose_machine(cluster, "n2")
        assert cluster.query("n0", "promised", 2) == "served"
        assert cluster.query("n1", "promised", 3) == "served"
        assert cluster.query("n0", "unknown", 2) == "served"  # no member has it, so it is provably absent
        assert cluster.query("n1", "unknown", 3) == "served"
        cluster.configure(new=False)
        restart(cluster, "n2")
        assert cluster.query("n2", "promised", 4) == "served"
        assert count_runs(cluster, "promised") == count_runs(cluster, "unknown") == 1


def test_an_operation_fails_if_its_machine_is_lost_between_write_and_outcome(tmp_path: Path) -> None:
    with running(tmp_path, copies=TWO_REPLICAS) as cluster:
        cluster.servers(hold=["order"])
        cluster.ask("n2", "out")
        cluster.wait("ran", op="out")
        lose_machine(cluster, "n2")
        cluster.servers(let_go=True)
        for attempt, name in enumerate(("n0", "n1"), 2):
            assert cluster.query(name, "out", attempt) == "failed"
        assert count_runs(cluster, "out") == 1


def test_an_operation_runs_at_most_once_if_its_machine_is_lost_between_intent_and_write(
    tmp_path: Path,
) -> None:
    with running(tmp_path, copies=TWO_REPLICAS) as cluster:
        cluster.faults("n2", hold="before sync")
        cluster.ask("n2", "held")
        cluster.wait("held", who="n2")
        lose_machine(cluster, "n2")
        assert cluster.query("n0", "held", 2) in ("served", "failed")
        assert cluster.query("n1", "held", 3) in ("served", "failed")
        assert count_runs(cluster, "held") <= 1


def test_a_paused_owners_operation_is_settled_by_another_and_not_repeated_by_the_resumed_owner(
    tmp_path: Path,
) -> None:
    with running(tmp_path, copies=TWO_REPLICAS) as cluster:
        cluster.pause("n2")
        cluster.ask("n2", "due")
        cluster.wait("asked", op="due")
        assert cluster.query("n0", "due", 2) == "served"
        cluster.wake("n2")
        cluster.wait("answered", id="due-t1")
        assert cluster.query("n2", "due", 3) in ("served", "failed")
        assert count_runs(cluster, "due") == 1


def test_an_owner_partitioned_from_its_holders_admits_no_non_idempotent_work(tmp_path: Path) -> None:
    with running(tmp_path, copies=TWO_REPLICAS, turns={"every": 0.1, "suspect": 2, "gone": 4}) as cluster:
        for link in ("n2>n0", "n2>n1"):
            cluster.link(link, cut=["forth", "back"])
        assert cluster.query("n2", "alone") in ("refused", "failed")
        assert count_runs(cluster, "alone") == 0
        assert cluster.query("n0", "alone", 2) in ("served", "failed")
        cluster.link("*", cut=[])
        assert count_runs(cluster, "alone") <= 1


def test_a_holder_whose_disk_is_full_acknowledges_nothing_and_the_others_do(tmp_path: Path) -> None:
    with running(tmp_path, copies=TWO_REPLICAS) as cluster:
        cluster.faults("n1", full=True)
        assert cluster.query("n2", "promised") == "served"
        lose_machine(cluster, "n2")
        assert cluster.query("n0", "promised", 2) == "served"
        assert count_runs(cluster, "promised") == 1


def test_the_loss_of_more_machines_than_the_options_tolerate_is_reported(tmp_path: Path) -> None:
    with running(tmp_path, copies=TWO_REPLICAS) as cluster:
        assert cluster.query("n2", "gone") == "served"
        for name in ("n1", "n2"):
            lose_machine(cluster, name)
        cluster.configure(new=False)
        since = cluster.now
        cluster.start("n1", "n2")
        cluster.wait("a majority has come back without its records", since=since)
        assert cluster.query("n1", "gone", 2) in ("served", "failed")
        assert cluster.query("n2", "gone", 3) in ("served", "failed")
        assert count_runs(cluster, "gone") == 1


def test_holders_are_in_other_zones_first_and_few_move_when_a_member_is_removed() -> None:
    zones = {f"n{index}": f"z{index % 3}" for index in range(9)}
    for owner in zones:
        holders = replica_holders(owner, zones, 3)
        assert owner not in holders and len(set(holders)) == 3
        assert {zones[name] for name in holders[:2]} == set(zones.values()) - {zones[owner]}
    moved = 0
    for owner in [name for name in zones if name != "n4"]:
        before = replica_holders(owner, zones, 3)
        after = replica_holders(owner, {name: zone for name, zone in zones.items() if name != "n4"}, 3)
        moved += len(set(after) - set(before))
        assert ("n4" in before) >= bool(set(after) - set(before))
    assert moved <= 9
    assert len(replica_holders("n0", {"n0": "a", "n1": "a"}, 3)) == 1


@pytest.mark.parametrize(("kept", "acknowledged"), [(2, 1), (3, 2), (5, 3), (3, 3), (1, 1)])
def test_every_read_quorum_meets_every_write_quorum(kept: int, acknowledged: int) -> None:
    options = ReplicationOptions(kept, acknowledged)
    for write_set in combinations(range(kept), acknowledged):
        for read_set in combinations(range(kept), options.read_quorum(kept)):
            assert set(write_set) & set(read_set)
            results = [
                OperationResult(OperationStatus.FAILED if holder in write_set else OperationStatus.ABSENT)
                for holder in read_set
            ]
            assert resolve_outcome(results, options.read_quorum(kept)) == OperationResult(
                OperationStatus.FAILED
            )


def test_too_few_authoritative_results_resolve_nothing_and_an_answer_takes_precedence() -> None:
    absent, indeterminate, answered = (
        OperationResult(OperationStatus.ABSENT),
        OperationResult(OperationStatus.INDETERMINATE),
        OperationResult(OperationStatus.SERVED, b"row"),
    )
    assert resolve_outcome([absent], 2) is None
    assert resolve_outcome([absent, indeterminate, indeterminate], 2) is None
    assert resolve_outcome([absent, absent], 2) == absent
    failed, served = OperationResult(OperationStatus.FAILED), OperationResult(OperationStatus.SERVED)
    assert resolve_outcome([failed, served, answered], 2) == answered


def test_an_absent_operation_is_fenced_and_an_open_one_stays_open_over_a_restart() -> None:
    member = InMemoryMember()
    store = ReplicaStore(member.wal, member.find_record)
    member.wal.carried_records = store.open_records
    intent = store.store("b", ReplicaUpdate(RecordState.OPEN, "known"))
    assert intent
    early_end = store.store("b", ReplicaUpdate(RecordState.SERVED, "known", b"row"))
    assert early_end and early_end.retry_after_sync  # its intent has no location on disk yet
    assert store.read("b", "known") == OperationResult(OperationStatus.FAILED)
    assert store.read("b", "other") == OperationResult(OperationStatus.ABSENT)
    ticket = store.fence("b", "other")
    assert store.store("b", ReplicaUpdate(RecordState.OPEN, "other")) is None
    member.sync()
    assert member.wal.durable_ticket >= ticket
    store.on_fence_synced("b", "other")
    assert store.store("b", ReplicaUpdate(RecordState.OPEN, "other")) is None
    assert store.read("b", "other") == OperationResult(OperationStatus.ABSENT)
    # An operation of the same name, but of another owner, is not fenced.
    assert store.store("c", ReplicaUpdate(RecordState.OPEN, "other")) is not None
    assert store.fence("b", "known") == 0
    member.elapsed += SEGMENT_SPAN  # a new segment begins with the open replicas
    end = store.store("b", ReplicaUpdate(RecordState.SERVED, "known", b"row"))
    assert end and not end.retry_after_sync
    member.sync()
    assert store.read("b", "known") == OperationResult(OperationStatus.SERVED, b"row")
    assert store.store("b", ReplicaUpdate(RecordState.NOT_EXECUTED, "nothing of it")) is not None
    restarted = InMemoryMember()
    restarted.segments = member.segments
    restarted.wal.recover(
        sorted(restarted.segments), lambda number: bytes(restarted.segments[number]), lambda payload: None
    )
    restarted_store = ReplicaStore(restarted.wal, restarted.find_record)
    assert restarted_store.read("b", "known") == OperationResult(OperationStatus.SERVED, b"row")
    assert restarted_store.store("b", ReplicaUpdate(RecordState.OPEN, "other")) is None


def test_an_error_in_the_replication_options_names_the_key() -> None:
    for extra_keys, part in (
        (", copies: {kept: 1, acknowledged: 2}", "copies.acknowledged: 2 is not from 1"),
        (", copies: {}", "2 other members are to acknowledge, and there are 0"),
    ):
        with pytest.raises(config.ConfigError, match=part):
            config.parse_operator_file((GROUP % extra_keys).encode(), "own.json5")
