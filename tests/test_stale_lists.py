"""Many agents restart at once and overload discovery: none sends requests to a server that has drained.

These tests run agents as processes.
"""

from __future__ import annotations

from pathlib import Path

import anyio
import pytest

from frostfall.bench.fault_soak import shim
from frostfall.bench.fault_soak.oracle import Oracle, Rule
from frostfall.bench.fault_soak.plan import Plan
from frostfall.bench.fault_soak.play import Soak
from frostfall.bench.fault_soak.records import AttemptRecord, SoakRecords
from frostfall.bench.fault_soak.thundering_herd import DatagramFaults, ServerChange, ThunderingHerd

AGENTS = 24
SERVERS = 8
CALL_SECONDS = 0.33
PATIENCE_SECONDS = 3.0


def herd_plan(restart_at: float = 8.5, datagrams: DatagramFaults | None = None) -> Plan:
    """Return a plan: an outage from 3 s to 6 s, a server that drains at 4 s, restarts of 17 of 24 agents."""
    herd = ThunderingHerd(
        outage_at=3.0,
        outage_seconds=3.0,
        changes=(ServerChange(server=0, at=4.0, returns_after=None),),
        restart_at=restart_at,
        restarted=tuple(range(17)),
        graceful=False,
        call_seconds=CALL_SECONDS,
        max_wait_seconds=PATIENCE_SECONDS,
        datagrams=datagrams or DatagramFaults(),
    )
    return Plan(
        seed=0,
        agents=AGENTS,
        seconds=16.0,
        servers=SERVERS,
        longest_deadline=1.0,
        server_delays=(0.01,) * SERVERS,
        initial_wall_offsets=(0.0,) * AGENTS,
        faults=(),
        herd=herd,
    )


def play(plan: Plan, folder: Path) -> tuple[SoakRecords, list[str]]:
    """Run a plan; return its records, and the oracle's findings of requests sent after the drain grace."""
    shim.build()
    records = anyio.run(Soak(plan, folder).run)
    findings = Oracle(records).findings()
    return records, [each.detail for each in findings if each.rule is Rule.FORWARDED_PAST_GRACE]


def test_agents_of_a_mass_restart_send_nothing_to_a_server_after_its_drain_grace(tmp_path: Path) -> None:
    records, past_grace = play(herd_plan(), tmp_path / "agents")
    assert len([attempt for attempt in records.attempts if attempt.ran]) > 1000
    assert past_grace == []
    # The oracle detects a single late attempt that is added to the records.
    last = max(records.requests, key=lambda record: record.written_at)
    records.attempts.append(AttemptRecord(last.request_id, "s-0", last.written_at + 0.01, ran=True))
    (found,) = (each for each in Oracle(records).findings() if each.rule is Rule.FORWARDED_PAST_GRACE)
    assert found.subject == last.request_id


@pytest.mark.parametrize("restart_at", [12.8])
def test_agents_that_start_after_they_count_as_notified_do_not_rely_on_their_configuration(
    tmp_path: Path, restart_at: float
) -> None:
    datagrams = DatagramFaults(lost_share=0.2, duplicated_share=0.1)
    records, past_grace = play(herd_plan(restart_at, datagrams), tmp_path / "agents")
    assert len([attempt for attempt in records.attempts if attempt.ran]) > 1000
    assert past_grace == []
