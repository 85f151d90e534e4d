"""Tests of power losses and disk faults on three agents that run as processes.

Tests wait for events of the history instead of sleeping, and end with a check of the whole history.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner

from frostfall.bench.check import Findings, check
from frostfall.bench.cluster import Cluster
from frostfall.cli import main


@contextmanager
def running(
    directory: Path, load: float = 0.0, expect_clean: bool = True, **cluster_options: Any
) -> Iterator[Cluster]:
    """Run a cluster until its agents admit non-idempotent work, and check its history at the end.

    `load` is in operations a second. `expect_clean` requires a history without violations.
    """
    cluster = Cluster(directory, **{"agents": 3, "servers": 2, **cluster_options})
    try:
        cluster.open()
        cluster.start()
        cluster.gate("unsafe")
        cluster.start_clients(rate=load)
        yield cluster
        cluster.drain()
    finally:
        cluster.close()
        cluster.history.write(directory / "history.jsonl")
    findings = check(cluster.history)
    assert not expect_clean or findings.clean, findings


def count_runs(cluster: Cluster, operation: str) -> int:
    return sum(event["op"] == operation for event in cluster.history.of("ran"))


def restart(cluster: Cluster, *names: str) -> None:
    """Start these agents, or all, and wait until they admit non-idempotent work."""
    since = cluster.now
    cluster.start(*names)
    cluster.gate("unsafe", *names, since=since)


def test_all_lose_power_before_the_intents_sync_and_the_operation_may_still_run_once(tmp_path: Path) -> None:
    with running(tmp_path, load=40) as cluster:
        cluster.faults("n0", hold="before sync")
        cluster.ask("n0", "early")
        cluster.wait("held", who="n0", where="before sync")
        cluster.kill()
        cluster.faults()
        restart(cluster)
        assert count_runs(cluster, "early") == 0
        assert cluster.query("n1", "early", 2) == "served"
        assert count_runs(cluster, "early") == 1


def test_all_lose_power_between_sync_and_write_and_the_operation_stays_failed(tmp_path: Path) -> None:
    with running(tmp_path) as cluster:
        cluster.faults("n0", hold="after sync")
        cluster.ask("n0", "late")
        cluster.wait("held", who="n0", where="after sync")
        cluster.kill()
        cluster.faults()
        restart(cluster)
        for attempt, name in enumerate(cluster.names, 2):
            assert cluster.query(name, "late", attempt) == "failed"
        cluster.kill()  # a second power loss does not change an intent without an end
        restart(cluster)
        assert cluster.query("n1", "late", 5) == "failed"
        assert count_runs(cluster, "late") == 0


def test_all_lose_power_before_the_outcome_during_recovery_and_a_compaction(tmp_path: Path) -> None:
    with running(tmp_path) as cluster:
        cluster.servers(hold=["order"])
        for name in cluster.names:
            cluster.ask(name, f"out-{name}")
        cluster.wait("ran", 3)
        cluster.kill()
        cluster.servers(let_go=True, restart=True)
        since = cluster.now
        cluster.start()
        cluster.wait("record read", since=since)
        cluster.kill()
        cluster.faults(hold="compaction")
        since = cluster.now
        cluster.start()
        for name in cluster.names:
            cluster.wait("held", since=since, who=name, where="compaction")
        cluster.kill()
        cluster.faults()
        restart(cluster)
        for name in cluster.names:
            for other in cluster.names:
                assert cluster.query(other, f"out-{name}", 2 + cluster.names.index(other)) == "failed"
            assert count_runs(cluster, f"out-{name}") == 1
        assert cluster.query("n0", "fresh") == "served"


def test_an_answer_is_replayed_by_every_member_after_a_power_loss(tmp_path: Path) -> None:
    with running(tmp_path) as cluster:
        assert cluster.query("n0", "once") == "served"
        cluster.kill()
        restart(cluster)
        for attempt, name in enumerate(cluster.names, 2):
            assert cluster.query(name, "once", attempt) == "served"
        assert count_runs(cluster, "once") == 1


def test_a_missing_member_blocks_no_other_and_the_operations_in_its_record_alone_fail(tmp_path: Path) -> None:
    with running(tmp_path) as cluster:
        assert cluster.query("n2", "hidden") == "served"
        cluster.kill()
        restart(cluster, "n0", "n1")
        assert cluster.query("n0", "fresh") == "served"
        assert cluster.query("n0", "hidden", 2) == "failed"
        assert cluster.query("n1", "unheard-of", 2) == "failed"
        since = cluster.now
        restart(cluster, "n2")
        cluster.wait("member", who="n0", member="n2", health="here", since=since)
        assert cluster.query("n0", "hidden", 3) == "served"
        assert count_runs(cluster, "hidden") == 1


@pytest.mark.parametrize("loss", ["empty", "old", "swapped"])
def test_a_lost_old_or_foreign_directory_proves_nothing(tmp_path: Path, loss: str) -> None:
    with running(tmp_path) as cluster:
        cluster.kill()
        cluster.save("n1")
        restart(cluster)
        assert cluster.query("n1", "kept") == "served"
        cluster.kill()
        if loss == "empty":
            cluster.lose("n1")
        elif loss == "old":
            cluster.restore("n1")
        else:
            cluster.swap("n1", "n2")
        since = cluster.now
        cluster.start()
        if loss == "swapped":
            for name in ("n1", "n2"):
                cluster.gate("unsafe", name, stand="shut", since=since)
            assert cluster.wait("record read", since=since, who="n1")["condition"] == "foreign"
            cluster.wait("listening", since=since, who="n0")
            assert cluster.query("n1", "kept", 2) == "failed"
            assert cluster.query("n0", "kept", 3) == "failed"
        else:
            cluster.gate("unsafe", since=since)
            cluster.wait("record stale", since=since, who="n1")
            assert cluster.query("n1", "kept", 2) == "failed"
            assert cluster.query("n0", "kept", 3) == "failed"
            assert cluster.query("n1", "first-try") == "served"
        assert count_runs(cluster, "kept") == 1


def test_torn_writes_are_truncated_and_a_flipped_bit_blocks_non_idempotent_work(tmp_path: Path) -> None:
    with running(tmp_path) as cluster:
        for number in range(8):
            assert cluster.query("n0", f"x{number}") == "served"
        cluster.kill()
        cluster.flip("n0", 0.4)
        (cluster.segments("n1")[-1]).open("ab").write(b"\xf5\x1e half a frame")
        since = cluster.now
        cluster.start()
        cluster.gate("unsafe", "n1", "n2", since=since)
        cluster.gate("unsafe", "n0", since=since, stand="shut")
        reason = cluster.wait("record unusable", since=since, who="n0")["reason"]
        assert reason.startswith("damaged: segment 1")
        assert cluster.wait("record read", since=since, who="n1")["torn_bytes"]
        assert cluster.query("n0", "new") == "refused"
        assert cluster.query("n0", "x7", 2) in ("served", "failed")
        assert cluster.query("n1", "x7", 3) in ("served", "failed")
        assert cluster.query("n1", "newer") == "served"


@pytest.mark.parametrize("fault", [{"fail": 1}, {"full": True}])
def test_a_failing_or_full_disk_stops_non_idempotent_work_only_there_and_only_while_it_lasts(
    tmp_path: Path, fault: dict[str, Any]
) -> None:
    with running(tmp_path) as cluster:
        assert cluster.query("n0", "before") == "served"
        cluster.faults("n0", **fault)
        assert cluster.query("n0", "at-it") in ("refused", "failed")
        cluster.wait("write failed: no unsafe work is taken until one succeeds", who="n0")
        if fault.get("full"):  # the fault lasts
            cluster.gate("unsafe", "n0", stand="shut")
            assert cluster.query("n0", "after") == "refused"
            assert cluster.query("n1", "after", 2) == "served"
        assert cluster.query("n0", "before", 2) == "served"
        assert count_runs(cluster, "at-it") == 0
        since = len(cluster.history.events)
        cluster.faults("n0")
        cluster.wait("writes succeed again", who="n0")
        if fault.get("full"):
            cluster.gate("unsafe", "n0", since=since)
        # Operations are rejected until the readiness stages have been evaluated again.
        served_operation, end = "", time.monotonic() + 5.0
        while not served_operation and time.monotonic() < end:
            name = f"again-{cluster.now}"
            served_operation = name if cluster.query("n0", name) == "served" else ""
            time.sleep(0.05)
        assert served_operation
        cluster.kill("n0")
        restart(cluster, "n0")
        assert cluster.query("n0", "and-on") == "served"
        # The outcomes of operations before, during and after the fault are available after the restart.
        assert cluster.query("n0", "before", 3) == cluster.query("n0", served_operation, 2) == "served"
        assert count_runs(cluster, "before") == count_runs(cluster, served_operation) == 1
        assert count_runs(cluster, "at-it") == 0


def test_a_mutant_that_does_not_wait_for_the_sync_is_detected(tmp_path: Path) -> None:
    findings = Findings()
    for _ in range(4):
        with running(tmp_path / str(_), expect_clean=False) as cluster:
            cluster.kill()
            since = cluster.now
            cluster.start(mutant="intent not synced")
            cluster.gate("unsafe", since=since)
            cluster.faults("n0", hold="before sync")
            cluster.ask("n0", "unsynced")
            cluster.wait("held", who="n0", since=since)
            cluster.wait("ran", op="unsynced")
            cluster.kill()
            cluster.faults()
            restart(cluster)
            cluster.query("n1", "unsynced", 2)
        findings.add(check(cluster.history))
        if findings.duplicates:
            return
    raise AssertionError(findings)


def test_agents_start_with_an_outdated_cached_list_while_discovery_and_the_rollout_api_are_unreachable(
    tmp_path: Path,
) -> None:
    with running(tmp_path, waits={"list": 1.0}) as cluster:
        assert cluster.query("n0", "before") == "served"
        cluster.link("*>discovery", cut=["forth", "back"])
        cluster.link("*>platform", cut=["forth", "back"])
        cluster.kill()
        cluster.link("n0>s-0", cut=["forth", "back"])  # a server of the cached list is unreachable
        since = cluster.now
        cluster.start()
        cluster.gate("list", since=since, stand="past its limit")
        cluster.gate("unsafe", since=since)
        assert cluster.query("n1", "in-the-dark") == "served"
        assert cluster.query("n0", "before", 2) == "served"
        cluster.link("*", cut=[])
        cluster.gate("list", since=since)


def test_agents_start_with_one_way_links_and_clock_skew(tmp_path: Path) -> None:
    with running(tmp_path, load=30) as cluster:
        cluster.kill()
        cluster.link("n0>n1", cut=["forth"])
        cluster.link("n1>n2", cut=["back"])
        since = cluster.now
        for name, offset in zip(cluster.names, (0.0, 300.0, -240.0)):
            cluster.start(name, clock_ahead=offset)
        cluster.gate("unsafe", since=since)
        cluster.wait("clock skew", since=since)
        assert cluster.query("n0", "one-way") == "served"
        assert cluster.query("n1", "one-way", 2) in ("served", "failed")
        cluster.link("*", cut=[])
        assert count_runs(cluster, "one-way") == 1


def test_a_member_paused_during_the_recovery_of_all_others_resumes_with_requests_due(tmp_path: Path) -> None:
    with running(tmp_path, load=30) as cluster:
        cluster.pause("n2")
        cluster.ask("n2", "asleep")
        cluster.wait("asked", op="asleep")
        cluster.kill("n0", "n1")
        restart(cluster, "n0", "n1")
        assert cluster.query("n0", "asleep", 2) == "failed"  # the paused member may have sent it
        cluster.wake("n2")
        cluster.wait("answered", id="asleep-t1")
        assert count_runs(cluster, "asleep") <= 1
        assert cluster.query("n1", "awake") == "served"


def test_an_upgrade_from_the_older_format_and_an_old_version_on_a_newer_directory(tmp_path: Path) -> None:
    with running(tmp_path, load=30) as cluster:
        cluster.kill()
        for name in cluster.names:
            cluster.lose(name)
        since = cluster.now
        cluster.start(format_1=True)
        cluster.gate("unsafe", since=since)
        assert cluster.query("n0", "old-side") == "served"
        for name in cluster.names:
            cluster.kill(name)
            restart(cluster, name)
        assert cluster.query("n0", "old-side", 2) == "served"
        assert cluster.query("n2", "old-side", 3) == "served"
        cluster.kill("n0")
        since = cluster.now
        cluster.start("n0", format_1=True)
        cluster.gate("unsafe", "n0", since=since, stand="shut")
        reason = cluster.wait("record unusable", since=since, who="n0")["reason"]
        assert "format 2, and this version reads up to 1" in reason


def test_a_member_without_list_and_discovery_receives_the_newest_list_from_its_peers(tmp_path: Path) -> None:
    with running(tmp_path, waits={"list": 1.0}) as cluster:
        cluster.kill()
        cluster.lose("n0")
        cluster.link("n0>discovery", cut=["forth", "back"])
        since = cluster.now
        cluster.start()
        cluster.wait("peer endpoint list used", since=since, who="n0")
        cluster.gate("unsafe", "n0", since=since)
        assert cluster.query("n0", "by-hearsay") == "served"


def test_the_loss_of_all_directories_is_not_mistaken_for_a_first_start(tmp_path: Path) -> None:
    with running(tmp_path) as cluster:
        assert cluster.query("n0", "forgotten") == "served"
        cluster.kill()
        for name in cluster.names:
            cluster.lose(name)
        cluster.configure(new=False)
        since = cluster.now
        cluster.start()
        cluster.gate("unsafe", since=since)
        cluster.wait("a majority has come back without its records", since=since)
        assert cluster.query("n1", "forgotten", 2) == "failed"
        assert cluster.query("n1", "first-try") == "served"
        operator = str(tmp_path / "n0" / "operator.json5")
        status = CliRunner().invoke(main, ["group", "status", "--operator", operator, "n1"])
        assert "in doubt" in status.output and "gate unsafe: open" in status.output
        command = ["group", "accept", "--operator", operator, "--by", "x", *cluster.names]
        result = CliRunner().invoke(main, command)
        assert result.exit_code == 0, result.output
        # By accepting the loss, operators confirm that clients have finished their retries. From then on, an
        # operation that no member has recorded counts as never run.
        assert cluster.query("n2", "unknown-to-all", 2) == "served"
        assert count_runs(cluster, "forgotten") == 1
        unknown = CliRunner().invoke(main, ["group", "status", "--operator", operator, "nobody"])
        assert unknown.exit_code == 1 and "no member" in unknown.output


def test_votes_wait_for_the_exposure_window_and_holds_survive_a_power_loss(tmp_path: Path) -> None:
    with running(tmp_path) as cluster:
        cluster.gate("votes")
        operator = str(tmp_path / "n0" / "operator.json5")
        hold = ["group", "hold", "--operator", operator, "--by", "keeper", "n0"]
        assert CliRunner().invoke(main, hold).exit_code == 0
        cluster.gate("votes", "n0", stand="waiting")
        cluster.kill()
        since = cluster.now
        cluster.start()
        cluster.gate("votes", "n1", "n2", since=since)
        status = CliRunner().invoke(main, ["group", "status", "--operator", operator, "--json", "n0"])
        report = msgspec.json.decode(status.output)
        assert report["held"] == "keeper" and report["gates"]["votes"][0] == "waiting"
        assert CliRunner().invoke(main, ["group", "lift", "--operator", operator, "n0"]).exit_code == 0
        cluster.gate("votes", "n0", since=since)
