"""Tests of retries that an agent rejects by itself, before it has polled the other members.

They guard against a failure on lossy links under load: a first attempt was rejected, and its marked retry was
answered "failed" after 5 to 32 ms although the operation had not run anywhere.
"""

from __future__ import annotations

from itertools import count
from pathlib import Path
from time import sleep

import pytest

from frostfall.bench.cluster import Cluster
from tests.test_power_loss import count_runs, running


def drain_all_servers(cluster: Cluster, name: str) -> None:
    """Mark all servers as draining in one agent's endpoint list, and wait until it rejects requests."""
    for instance in cluster.views[name]:
        instance["lifecycle"] = "terminating"
    cluster.actors["discovery"].send_command(views=cluster.views)
    probes = (f"probe-{number}" for number in count())
    while cluster.query(name, next(probes)) != "refused":
        sleep(0.05)


def test_a_retry_of_an_operation_that_never_ran_is_rejected_and_not_failed(tmp_path: Path) -> None:
    with running(tmp_path) as cluster:
        drain_all_servers(cluster, "n0")
        assert cluster.query("n0", "fresh") == "refused"
        assert cluster.query("n0", "fresh", 2) == "refused"
        assert cluster.query("n1", "fresh", 3) == "served"
        assert count_runs(cluster, "fresh") == 1


def test_a_retry_of_an_operation_that_another_member_served_is_served(tmp_path: Path) -> None:
    with running(tmp_path) as cluster:
        assert cluster.query("n1", "given") == "served"
        drain_all_servers(cluster, "n0")
        assert cluster.query("n0", "given", 2) == "served"
        assert count_runs(cluster, "given") == 1


@pytest.mark.parametrize("at_another", [True, False])
def test_a_retry_of_an_operation_that_may_have_run_fails(tmp_path: Path, at_another: bool) -> None:
    with running(tmp_path) as cluster:
        cluster.servers(hold=["order"])
        first = "n1" if at_another else "n0"
        cluster.ask(first, "out")
        cluster.wait("ran", op="out")
        drain_all_servers(cluster, "n0")
        assert cluster.query("n0", "out", 2) == "failed"
        cluster.servers(let_go=True)
        assert count_runs(cluster, "out") == 1


def test_a_retry_fails_while_a_member_cannot_be_polled(tmp_path: Path) -> None:
    with running(tmp_path) as cluster:
        cluster.pause("n2")
        drain_all_servers(cluster, "n0")
        assert cluster.query("n0", "fresh", 2) == "failed"
        cluster.wake("n2")
