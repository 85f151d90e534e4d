"""Tests of anti-entropy: restored records with agents as processes, digest trees and the scheduler."""

from __future__ import annotations

import random
from dataclasses import fields
from itertools import combinations
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from frostfall.cli import main
from frostfall.model.replication_search import Mutation, search
from frostfall.replication.anti_entropy import AntiEntropyScheduler, is_record_complete
from frostfall.replication.digest_tree import DigestState, DigestTree, TreeComparison, answer_query
from frostfall.replication.operator_holds import NO_HOLD, OperatorHold, OperatorHolds
from frostfall.replication.options import ReplicationOptions
from frostfall.storage.record_index import pack_location
from frostfall.storage.segment_codec import RecordState
from tests.test_power_loss import count_runs, restart, running
from tests.test_replication import TWO_REPLICAS, lose_machine

THREE_REPLICAS = {"kept": 3, "acknowledged": 2}
WITHOUT_QUORUM, SHORT_TIMEOUTS = {**TWO_REPLICAS, "few": "take"}, {"every": 0.1, "suspect": 2, "gone": 4}
RECORD_RESTORED = "the record is whole by its copies"  # log event


def test_a_lost_machines_records_are_restored_and_the_next_loss_is_tolerated(tmp_path: Path) -> None:
    with running(tmp_path, copies=TWO_REPLICAS, load=30) as cluster:
        for name in cluster.names:
            assert cluster.query(name, f"of-{name}") == "served"
        cluster.configure(new=False)
        for attempt, name in enumerate(("n2", "n0", "n1"), 2):
            lose_machine(cluster, name)
            since = cluster.now
            restart(cluster, name)
            cluster.wait(RECORD_RESTORED, since=since, who=name)
            for owner in cluster.names:
                assert cluster.query(name, f"of-{owner}", attempt) == "served"
        assert all(count_runs(cluster, f"of-{owner}") == 1 for owner in cluster.names)


def test_a_holder_that_lost_its_fences_acknowledges_nothing_to_a_resumed_owner(tmp_path: Path) -> None:
    """n2 is paused with an unread first attempt, others settle it, a holder loses its disk, n2 resumes."""
    with running(tmp_path, copies=TWO_REPLICAS, crowd={"wait_ms": 4000}) as cluster:
        cluster.pause("n2")
        cluster.link("n0>n2", cut=["forth", "back"])  # n2 is not polled
        cluster.ask("n2", "due")
        cluster.wait("asked", op="due")
        assert cluster.query("n0", "due", 2) == "served"
        lose_machine(cluster, "n1")
        cluster.configure(new=False)
        cluster.link("n1>n0", cut=["forth", "back"])  # n1 cannot restore its record
        cluster.link("n0>n1", cut=["forth", "back"])
        cluster.link("n2>n0", cut=["forth", "back"])  # n2 receives nothing from n0, which has the fence
        since = cluster.now
        cluster.start("n1")
        cluster.wait("gate", since=since, who="n1", gate="disk", stand="open")
        cluster.wake("n2")
        cluster.wait("answered", id="due-t1")
        assert count_runs(cluster, "due") == 1
        cluster.link("*", cut=[])


def test_what_a_disk_changed_is_detected_and_restored_from_replicas(tmp_path: Path) -> None:
    frequent_rounds = {**TWO_REPLICAS, "round": 1.0}
    with running(tmp_path, copies=frequent_rounds, load=60, store={"segment_bytes": 65536}) as cluster:
        assert cluster.query("n1", "old") == "served"
        cluster.wait("answered", 700, what="served", seconds=60)
        cluster.flip("n1", 0.3)
        cluster.wait("segment corrupted", who="n1", seconds=60)
        since = cluster.now
        cluster.wait(RECORD_RESTORED, who="n1", since=since)
        cluster.wait("corrupted segments rewriting", who="n1", since=since)
        assert cluster.query("n1", "old", 2) == "served"
        cluster.wait("corrupted segments removed", who="n1", since=since)
        cluster.kill("n1")
        since = cluster.now
        restart(cluster, "n1")
        assert cluster.wait("record read", who="n1", since=since)["condition"] == "whole"
        assert cluster.query("n1", "old", 3) == "served"
        assert count_runs(cluster, "old") == 1


def test_a_member_is_removed_permanently_with_an_open_operation(tmp_path: Path) -> None:
    with running(tmp_path, copies=TWO_REPLICAS, agents=3) as cluster:
        assert cluster.query("n2", "given") == "served"
        cluster.servers(hold=["order"])
        cluster.ask("n2", "out")
        cluster.wait("ran", op="out")
        lose_machine(cluster, "n2")
        cluster.servers(let_go=True)
        cluster.removed = {"n2"}
        cluster.configure(new=False, copies={"kept": 2, "acknowledged": 1})
        for name in ("n0", "n1"):
            cluster.kill(name)
            restart(cluster, name)
        assert cluster.query("n0", "given", 2) == "served"
        assert cluster.query("n1", "out", 2) == "failed"
        # No member has a record of it, including replicas of the lost member's operations.
        assert cluster.query("n1", "fresh", 2) == "served"
        assert count_runs(cluster, "given") == count_runs(cluster, "out") == count_runs(cluster, "fresh") == 1


def test_a_joining_member_restores_the_records_that_it_holds(tmp_path: Path) -> None:
    with running(tmp_path, copies=TWO_REPLICAS, agents=4, listed=["n0", "n1", "n2"]) as cluster:
        for name in ("n0", "n1", "n2"):
            for index in range(8):
                assert cluster.query(name, f"{name}-{index}") == "served"
        cluster.listed.append("n3")
        cluster.configure(new=False)
        since = cluster.now
        for name in ("n0", "n1", "n2"):
            cluster.kill(name)
            restart(cluster, name)
        cluster.start("n3")
        cluster.wait(RECORD_RESTORED, who="n3", since=since)
        for lost_member in ("n0", "n1"):
            lose_machine(cluster, lost_member)
            since = cluster.now
            assert all(cluster.query("n3", f"{lost_member}-{index}", 2) == "served" for index in range(8))
            restart(cluster, lost_member)
            cluster.wait(RECORD_RESTORED, who=lost_member, since=since)
        assert all(count_runs(cluster, f"{name}-{index}") == 1 for name in ("n0", "n1") for index in range(8))


def test_a_machine_with_an_old_directory_restores_the_operations_that_it_missed(tmp_path: Path) -> None:
    with running(tmp_path, copies=TWO_REPLICAS) as cluster:
        assert cluster.query("n2", "early") == "served"
        cluster.kill("n2")
        cluster.save("n2")
        restart(cluster, "n2")
        assert cluster.query("n2", "later") == "served"
        cluster.servers(hold=["order"])
        cluster.ask("n2", "out")
        cluster.wait("ran", op="out")
        cluster.kill("n2")
        cluster.servers(let_go=True)
        assert cluster.query("n0", "out", 2) == "failed"  # settled while n2 is down
        cluster.restore("n2")
        cluster.configure(new=False)
        since = cluster.now
        restart(cluster, "n2")
        cluster.wait(RECORD_RESTORED, who="n2", since=since)
        answers = [cluster.query("n2", name, 3) for name in ("early", "later", "out")]
        assert answers == ["served", "served", "failed"]
        assert count_runs(cluster, "early") == count_runs(cluster, "later") == count_runs(cluster, "out") == 1


def test_two_settling_members_lose_power_and_two_others_settle_the_operation_concurrently(
    tmp_path: Path,
) -> None:
    with running(tmp_path, copies=THREE_REPLICAS, agents=5) as cluster:
        cluster.pause("n4")
        cluster.ask("n4", "left")
        cluster.wait("asked", op="left")
        for attempt, name in enumerate(("n0", "n1"), 2):
            cluster.faults(name, hold="after sync")  # the member stops after its own intent is durable
            cluster.ask(name, "left", attempt)
            cluster.wait("held", who=name)
            cluster.kill(name)
            cluster.faults(name)
            restart(cluster, name)
        since = cluster.now
        for attempt, name in enumerate(("n2", "n3"), 4):
            cluster.ask(name, "left", attempt)
        cluster.wait("answered", 2, since=since, op="left", id="left-t[45]")
        cluster.wake("n4")
        cluster.wait("answered", id="left-t1")
        answers = [
            cluster.query(name, "left", attempt) for attempt, name in enumerate(("n0", "n1", "n2", "n3"), 6)
        ]
        assert set(answers) <= {"served", "failed"}
        assert count_runs(cluster, "left") <= 1


def test_a_repair_completes_although_other_machines_fail_during_it(tmp_path: Path) -> None:
    slow_repair = {**THREE_REPLICAS, "rate": 1000.0}
    with running(tmp_path, copies=slow_repair, agents=5, load=40) as cluster:
        cluster.wait("answered", 120, what="served")
        assert cluster.query("n4", "kept") == "served"
        lose_machine(cluster, "n4")
        cluster.configure(new=False)
        since = cluster.now
        cluster.start("n4")
        cluster.wait("record read", who="n4", since=since)
        cluster.kill("n3")
        assert cluster.query("n4", "kept", 2) == "served"
        restart(cluster, "n3")
        cluster.configure(copies={**THREE_REPLICAS, "rate": 1e6})
        cluster.kill("n4")  # again, during its repair
        since = cluster.now
        restart(cluster, "n4")
        cluster.wait(RECORD_RESTORED, who="n4", since=since)
        assert cluster.query("n4", "kept", 3) == "served"
        assert count_runs(cluster, "kept") == 1


def test_replication_over_links_that_are_slow_one_way_or_reset_in_the_middle_of_messages(
    tmp_path: Path,
) -> None:
    with running(tmp_path, copies=TWO_REPLICAS) as cluster:
        cluster.link("n2>n0", cut=["back"])  # n2's messages arrive, the acknowledgements do not
        cluster.link("n2>n1", delay=0.2)
        assert cluster.query("n2", "slow") == "served"
        cluster.link("n2>n0", cut=[])
        for index in range(6):
            cluster.link("n2>n*", reset_after=300 + 97 * index)
            cluster.link("n2>n*", reset=True)
            assert cluster.query("n2", f"reset-{index}") in ("served", "refused", "failed")
        cluster.link("n2>n*", reset_after=None, delay=0.0)
        lose_machine(cluster, "n2")
        assert cluster.query("n0", "slow", 2) == "served"
        assert count_runs(cluster, "slow") == 1
        assert all(count_runs(cluster, f"reset-{index}") <= 1 for index in range(6))


def test_an_operators_hold_survives_the_loss_of_its_members_disk(tmp_path: Path) -> None:
    with running(tmp_path, copies=TWO_REPLICAS) as cluster:
        operator = str(tmp_path / "n0" / "operator.json5")
        assert (
            CliRunner()
            .invoke(main, ["group", "hold", "--operator", operator, "--by", "keeper", "n2"])
            .exit_code
            == 0
        )
        lose_machine(cluster, "n2")
        cluster.configure(new=False)
        since = cluster.now
        restart(cluster, "n2")
        cluster.wait("votes", order="as others know it", agent="n2", since=since)
        shown = CliRunner().invoke(main, ["group", "status", "--operator", operator, "--json", "n2"])
        assert msgspec.json.decode(shown.output)["held"] == "keeper"
        lift = ["group", "lift", "--operator", operator, "--by", "keeper", "n2"]
        assert CliRunner().invoke(main, lift).exit_code == 0
        cluster.kill("n0", "n1")
        rejected = CliRunner().invoke(main, ["group", "hold", "--operator", operator, "--by", "keeper", "n2"])
        assert rejected.exit_code == 1 and "on its own disk alone" in rejected.output


def test_a_hold_is_replicated_once_every_majority_includes_a_member_with_it() -> None:
    for members in (3, 5, 7):
        others = frozenset(f"n{index}" for index in range(1, members))
        holds = OperatorHolds(others)
        hold = holds.issue("keeper")
        for count, name in enumerate(sorted(others), 1):
            holds.merge_heartbeat(name, NO_HOLD, hold)
            majority_peers = members // 2  # other members that a start waits for
            assert holds.is_replicated == (count + majority_peers > len(others))
    restarted = OperatorHolds(frozenset({"n1"}))
    echoed = OperatorHold(4, "keeper")
    assert restarted.merge_heartbeat("n1", NO_HOLD, echoed) == (None, echoed) and restarted.own_hold == echoed
    newer, older = OperatorHold(2, "x"), OperatorHold(3, "")
    assert restarted.merge_heartbeat("n1", newer, older) == (newer, None)
    assert restarted.merge_heartbeat("stranger", OperatorHold(9, "x"), OperatorHold(9, "x")) == (None, None)
    restarted.restore("n1", newer)
    assert dict(restarted.items()) == {"": (4, "keeper"), "n1": (2, "x")}


def test_operators_may_allow_non_idempotent_work_with_too_few_holders(tmp_path: Path) -> None:
    with running(tmp_path, copies=WITHOUT_QUORUM, turns=SHORT_TIMEOUTS) as cluster:
        cluster.kill("n0", "n1")
        cluster.wait("copies", fewer="True", agent="n2")
        assert cluster.query("n2", "alone") == "served"
        cluster.kill("n2")
        restart(cluster, "n0", "n1")
        assert cluster.query("n0", "alone", 2) == "failed"  # nothing proves that it never ran
        assert cluster.query("n1", "other", 2) == "failed"
        restart(cluster, "n2")
        assert cluster.query("n1", "alone", 3) == "served"
        assert count_runs(cluster, "alone") == 1 and count_runs(cluster, "other") == 0


def test_no_order_of_steps_in_the_small_model_runs_an_operation_twice() -> None:
    result = search(ReplicationOptions(2, 1), items=1)
    assert result.violation is None and result.states > 20_000


@pytest.mark.parametrize("field_name", [field.name for field in fields(Mutation)])
def test_the_search_detects_the_removal_of_each_part_of_the_protocol(field_name: str) -> None:
    result = search(ReplicationOptions(2, 1), items=1, mutation=Mutation(**{field_name: True}))
    assert result.violation and result.states < 30_000


def digest_tree(states_by_key: dict[int, DigestState]) -> DigestTree:
    states = {
        DigestState.MAY_HAVE_RUN: RecordState.FAILED,
        DigestState.SERVED: RecordState.SERVED,
        DigestState.FENCED: RecordState.FENCED,
    }
    return DigestTree(
        {
            key: pack_location(1, 64 + index, states[state])
            for index, (key, state) in enumerate(states_by_key.items())
        }
    )


def compare_trees(own: dict[int, DigestState], peer: dict[int, DigestState]) -> tuple[set[int], int]:
    """Return the missing keys that a comparison finds, and its bytes of messages."""
    comparison, peer_tree, response_bytes = TreeComparison(digest_tree(own)), digest_tree(peer), 0
    while query := comparison.next_query():
        data = answer_query(peer_tree, query)
        response_bytes += len(data) + 8 * len(query.prefixes)
        comparison.handle_response(query, data)
    return set(comparison.missing_keys), response_bytes


KEYS = st.dictionaries(
    st.integers(0, 63) | st.integers(0, 2**64 - 1).map(lambda key: key),
    st.sampled_from([DigestState.MAY_HAVE_RUN, DigestState.SERVED]),
    max_size=80,
)


@given(KEYS, KEYS)
def test_a_comparison_finds_all_missing_keys_and_no_others(
    own: dict[int, DigestState], peer: dict[int, DigestState]
) -> None:
    expected = {key for key, state in peer.items() if key not in own or own[key] < state}
    assert compare_trees(own, peer)[0] == expected


def test_comparing_trees_that_differ_by_one_percent_takes_few_bytes() -> None:
    rng = random.Random(5)
    peer = {rng.randrange(2**64): DigestState.SERVED for _ in range(20_000)}
    own = {key: state for key, state in peer.items() if rng.random() > 0.01}
    result, response_bytes = compare_trees(own, peer)
    assert result == set(peer) - set(own)
    assert response_bytes < 0.03 * 100 * len(peer)  # a full copy has at least a hundred bytes an operation
    assert compare_trees(peer, peer)[1] < 200
    assert compare_trees({}, peer)[1] < 12 * len(peer)


@pytest.mark.parametrize("data", [b"", b"x" * 7])
def test_a_response_of_another_length_is_rejected(data: bytes) -> None:
    comparison = TreeComparison(digest_tree({}))
    query = comparison.next_query()
    assert query
    with pytest.raises(ValueError):
        comparison.handle_response(query, data)


@pytest.mark.parametrize(("kept", "acknowledged"), [(2, 1), (3, 2), (4, 2), (5, 3), (3, 1), (3, 3), (2, 2)])
def test_a_complete_record_has_every_acknowledged_write_and_every_fence(kept: int, acknowledged: int) -> None:
    """Check all sets of holders: of writes, of fences, of synced peers, and of the next writes."""
    options, ensemble = ReplicationOptions(kept, acknowledged), range(kept)
    read_size = options.read_quorum(kept)
    for synced in (set(each) for size in range(kept) for each in combinations(range(1, kept), size)):
        for owner in (True, False):
            if not is_record_complete(options, kept, False, owner, len(synced)):
                continue
            for write_set in combinations(ensemble, acknowledged):  # member 0 has lost its disk
                assert owner or set(write_set) & synced
            for fenced in combinations(ensemble, read_size):
                remaining = set(fenced) - {0} | ({0} if set(fenced) & synced else set())
                assert all(
                    remaining & set(next_write_set) for next_write_set in combinations(ensemble, acknowledged)
                )
    for synced in (set(each) for size in range(kept + 1) for each in combinations(ensemble, size)):
        if is_record_complete(options, kept, True, False, len(synced)):
            assert all(set(write_set) & synced for write_set in combinations(ensemble, acknowledged))
    assert is_record_complete(options, kept, False, True, kept - 1) == (acknowledged < kept)


def test_the_record_with_the_fewest_peers_is_due_first_and_failures_back_off() -> None:
    scheduler = AntiEntropyScheduler("n0", {f"n{index}": "" for index in range(7)}, ReplicationOptions(3, 2))
    scheduler.mark_all_incomplete()
    scheduler.schedule(0.0)
    available = {f"n{index}" for index in range(1, 5)}
    tasks = scheduler.due_tasks(0.0, available)
    peer_counts = [sum(name in available for name in scheduler.peers_of(task.owner)) for task in tasks]
    assert peer_counts == sorted(peer_counts) and {task.peer for task in tasks} <= available
    task, now, delays = tasks[0], 0.0, []
    for _ in range(9):
        # The peer's record is incomplete.
        scheduler.record_result(task, now, succeeded=True, authoritative=False)
        assert task not in scheduler.due_tasks(now, available)
        delays.append(task.due - now)
        now = task.due
    assert delays[0] < delays[3] < delays[-1] <= 30
    assert not scheduler.all_restored
    for owner in scheduler.owners:
        for other in scheduler.due_tasks(1000.0, {f"n{index}" for index in range(1, 7)}):
            if other.owner == owner:
                scheduler.record_result(other, 1000.0, succeeded=True, authoritative=True)
        assert scheduler.is_complete(owner)
    assert scheduler.all_restored


def test_a_spare_holds_the_record_while_a_holder_is_unavailable_for_long() -> None:
    zones = {f"n{index}": "" for index in range(6)}
    options = ReplicationOptions(3, 2, spare=60.0)
    schedulers = {name: AntiEntropyScheduler(name, zones, options) for name in zones}
    ensemble = schedulers["n0"].ensembles["n0"]
    others = set(zones) - {"n0", *ensemble}
    for scheduler in schedulers.values():
        scheduler.update_unavailable(0.0, {ensemble[0]})
        scheduler.update_unavailable(30.0, {ensemble[0]})
    assert not any(schedulers[name].due_tasks(30.0, set(zones)) for name in others)
    for scheduler in schedulers.values():
        scheduler.update_unavailable(61.0, {ensemble[0]})

    def holds_record(name: str, now: float) -> bool:
        return any(task.owner == "n0" for task in schedulers[name].due_tasks(now, set(zones)))

    (spare,) = [name for name in others if holds_record(name, 61.0)]
    schedulers[spare].update_unavailable(62.0, set())  # the holder is available again
    assert not holds_record(spare, 62.0)


def test_a_new_holder_after_a_change_of_members_is_incomplete_until_it_has_synced() -> None:
    scheduler = AntiEntropyScheduler("n0", {"n0": "", "n1": "", "n2": ""}, ReplicationOptions(2, 1))
    scheduler.apply_assignment(["n0", "n1"], ["n0", "n1", "n2"])
    assert scheduler.is_complete("n0") and scheduler.is_complete("n1") and not scheduler.is_complete("n2")
    assert scheduler.complete_owners == ["n0", "n1"] and not scheduler.is_complete("stranger")
    scheduler.schedule(0.0)
    for task in scheduler.due_tasks(0.0, {"n1", "n2"}):
        scheduler.record_result(task, 0.0, succeeded=True, authoritative=True)
    assert scheduler.is_complete("n2") and scheduler.all_restored
    joined_later = AntiEntropyScheduler("n0", {"n0": "", "n1": "", "n2": ""}, ReplicationOptions(2, 1))
    joined_later.apply_assignment(["n0", "n1"], ["n0", "n1"])
    assert joined_later.is_complete("n2")  # n2 was no member before, so no member has a record of it
