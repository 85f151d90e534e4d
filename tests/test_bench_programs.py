"""Run the programs that the benches contain as text, which the type checker does not cover."""

from __future__ import annotations

from frostfall.bench import power_loss


def test_another_process_recovers_a_filled_log() -> None:
    assert power_loss.measure_recovery(2000)["seconds"] > 0


def test_the_record_index_is_compared_with_a_dict() -> None:
    rows = power_loss.compare_index(1000)
    assert [row["structure"] for row in rows] == ["index", "dict"]


def test_commits_are_counted() -> None:
    assert all(rate > 0 for rate in power_loss.measure_commit_rate(0.1).values())
