"""Tests of the fault soak: its oracle on planted violations, its schedule, its library and a few seeds."""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest

from frostfall.bench.fault_soak import plan, run
from frostfall.bench.fault_soak.oracle import Oracle, Rule
from frostfall.bench.fault_soak.records import (
    AnswerKind,
    AttemptRecord,
    HalfQueryRecord,
    Idempotency,
    Interval,
    ListChangeRecord,
    NotifiedRecord,
    ProcessRecord,
    ReadRecord,
    RequestRecord,
    ResourceRecord,
    SoakRecords,
)
from frostfall.bench.fault_soak.shim import FaultShim, SystemCallFault

SHORT_RUN_SEEDS = [1, 2, 3, 5]  # the last seed is a thundering herd at discovery
SHORT_RUN_SECONDS = 5.0
NON_IDEMPOTENT = Idempotency.NON_IDEMPOTENT


def answered_request(**changes: object) -> RequestRecord:
    """Return a request that was read, run once and answered with a row."""
    record = RequestRecord("a1", "n0", 1, Idempotency.IDEMPOTENT, written_at=10.0, wait_seconds=1.0)
    record.answers, record.answered_at = [AnswerKind.ROW], 10.2
    for name, value in changes.items():
        setattr(record, name, value)
    return record


def unanswered_request(**changes: object) -> RequestRecord:
    return answered_request(**({"answers": [], "answered_at": None, "connection_ended_at": 10.1} | changes))


def records_without_violations() -> SoakRecords:
    process = ProcessRecord("n0", 1.0, ready_at=1.5, terminated_at=30.0, ended_at=30.5, exit_code=0)
    return SoakRecords(
        requests=[answered_request()],
        attempts=[AttemptRecord("a1", "s-0", 10.1, ran=True)],
        reads=[ReadRecord("a1", "n0", 10.01)],
        half_queries=[HalfQueryRecord("n0", 12.0, 14.2)],
        processes=[process],
        resources=[ResourceRecord("n0", 20, 24, 30 << 20, 40 << 20)],
    )


def added(**fields: list[object]) -> Callable[[SoakRecords], None]:
    def change(records: SoakRecords) -> None:
        for name, values in fields.items():
            getattr(records, name).extend(values)

    return change


def replaced(**fields: list[object]) -> Callable[[SoakRecords], None]:
    def change(records: SoakRecords) -> None:
        for name, value in fields.items():
            setattr(records, name, value)

    return change


PROCESS = records_without_violations().processes[0]
LATE_ATTEMPT = AttemptRecord("a1", "s-0", 10.5, ran=True)
DRAINING = NotifiedRecord("n0", "s-0", "terminating", 9.0)
VIOLATIONS = {
    Rule.LOST: replaced(requests=[unanswered_request()]),
    Rule.LOST_RESEND: replaced(requests=[unanswered_request(is_resend=True)], reads=[]),
    Rule.LATE: replaced(requests=[answered_request(answered_at=11.7)]),
    Rule.ANSWERED_TWICE: replaced(requests=[answered_request(answers=[AnswerKind.ROW, AnswerKind.FAILED])]),
    Rule.WRONG_VALUE: replaced(requests=[answered_request(is_value_correct=False)]),
    Rule.RAN_TWICE: replaced(
        requests=[answered_request(idempotency=NON_IDEMPOTENT)],
        attempts=[AttemptRecord("a1", f"s-{number}", 10.1, ran=True) for number in range(2)],
    ),
    Rule.FORWARDED_AFTER_END: added(attempts=[LATE_ATTEMPT]),
    Rule.FORWARDED_AFTER_LEAVING: replaced(
        requests=[unanswered_request(client_disconnected_at=10.05, connection_ended_at=None)],
        attempts=[LATE_ATTEMPT],
    ),
    Rule.FORWARDED_PAST_GRACE: added(notified=[DRAINING]),
    Rule.HALF_QUERY: added(half_queries=[HalfQueryRecord("n0", 12.0, None)]),
    Rule.EXIT_CODE: replaced(processes=[replace(PROCESS, exit_code=1)]),
    Rule.EXIT_LATE: replaced(processes=[replace(PROCESS, ended_at=32.9)]),
    Rule.CRASHED: replaced(processes=[replace(PROCESS, terminated_at=None)]),
    Rule.NOT_READY: replaced(processes=[replace(PROCESS, ready_at=11.2)]),
    Rule.DESCRIPTORS: replaced(resources=[ResourceRecord("n0", 20, 60, 1, 1)]),
    Rule.MEMORY: replaced(resources=[ResourceRecord("n0", 1, 1, 30 << 20, 90 << 20)]),
    Rule.REPORTED: added(reported=["n0: invariant violated"]),
}


def test_the_oracle_finds_nothing_in_records_without_violations() -> None:
    assert Oracle(records_without_violations()).findings() == []


@pytest.mark.parametrize("rule", Rule, ids=lambda rule: rule.name)
def test_a_planted_violation_is_the_only_finding(rule: Rule) -> None:
    records = records_without_violations()
    VIOLATIONS[rule](records)
    assert {finding.rule for finding in Oracle(records).findings()} == {rule}


def test_requests_ended_by_the_client_the_network_or_a_sigkill_are_not_lost() -> None:
    for record in (
        unanswered_request(client_disconnected_at=10.05, connection_ended_at=None),
        unanswered_request(ended_by_fault=True),
    ):
        records = records_without_violations()
        records.requests, records.attempts = [record], []
        assert Oracle(records).findings() == []
    records = records_without_violations()
    records.requests, records.attempts = [unanswered_request()], []
    records.processes[0].killed_at = 10.09
    assert Oracle(records).findings() == []


def test_a_client_may_disconnect_while_its_query_waits_for_earlier_answers() -> None:
    records = records_without_violations()
    earlier = answered_request(request_id="a0", answered_at=11.4, wait_seconds=2.0)
    left = unanswered_request(connection_ended_at=None, client_disconnected_at=12.0)
    records.requests, records.attempts = [earlier, left], []
    assert Oracle(records).findings() == []
    left.client_disconnected_at = 13.0  # more than half a second after the request's own deadline
    assert [finding.rule for finding in Oracle(records).findings()] == [Rule.LOST]


def test_only_the_copy_that_was_read_of_a_resent_request_needs_an_answer() -> None:
    records = records_without_violations()
    records.requests = [unanswered_request(), answered_request(is_resend=True, connection=2)]
    assert Oracle(records).findings() == []
    records.reads *= 2  # both copies were read
    assert [finding.rule for finding in Oracle(records).findings()] == [Rule.LOST]


@pytest.mark.parametrize(
    ("listed_at", "outages", "is_found"),
    [
        (3.0, [], True),
        (4.0, [], False),
        (3.0, [Interval("", 2.0, 5.0)], False),  # the six seconds start when discovery is reachable again
        (1.0, [Interval("", 0.5, 3.0)], True),
        (3.0, [Interval("n1", 2.0, 5.0)], True),  # an outage of another agent
        (1.0, [Interval("n0", 6.5, 6.9)], False),  # the six seconds must be without an outage
    ],
)
def test_a_change_counts_as_known_after_discovery_was_reachable_for_six_seconds(
    listed_at: float, outages: list[Interval], is_found: bool
) -> None:
    records = records_without_violations()
    records.list_changes = [ListChangeRecord("s-0", "terminating", listed_at)]
    records.unreachable = outages
    found = [finding.rule for finding in Oracle(records).findings()]
    assert found == ([Rule.FORWARDED_PAST_GRACE] if is_found else [])


def test_attempts_at_a_server_that_is_in_service_again_are_allowed() -> None:
    records = records_without_violations()
    records.list_changes = [
        ListChangeRecord("s-0", "terminated", 1.0),
        ListChangeRecord("s-0", "in_service", 9.0),
    ]
    assert Oracle(records).findings() == []


def test_time_limits_do_not_count_the_pauses_of_an_agent() -> None:
    records = records_without_violations()
    records.requests = [answered_request(answered_at=11.9)]
    records.stalls = [Interval("n0", 10.1, 10.8)]
    assert Oracle(records).findings() == []


def test_the_schedule_depends_only_on_the_seed() -> None:
    assert plan.draw(7, 10, 12.0) == plan.draw(7, 10, 12.0)
    assert plan.draw(7, 10, 12.0).faults != plan.draw(8, 10, 12.0).faults
    kinds = {fault.kind for seed in range(200) for fault in plan.draw(seed, 10, 12.0).faults}
    assert kinds == set(plan.FaultKind)


def test_every_fifth_seed_is_a_thundering_herd_after_an_outage_with_server_changes() -> None:
    herds = [drawn.herd for seed in range(50) if (drawn := plan.draw(seed, 30, 8.0)).herd]
    assert len(herds) == 10
    for herd in herds:
        back_at = herd.outage_at + herd.outage_seconds
        assert all(herd.outage_at < change.at < back_at for change in herd.changes)
        assert herd.restart_at > back_at and len(herd.restarted) == 21
    assert plan.draw(5, 30, 8.0) == plan.draw(5, 30, 8.0)


def test_the_library_shifts_only_the_wall_clock_and_makes_calls_fail(tmp_path: Path) -> None:
    shim = FaultShim(tmp_path)
    shim.step_wall_clock(-3600)
    shim.set_rate(SystemCallFault.SOCKET, 1.0)
    program = (
        "import socket, time\n"
        "print(time.time(), time.monotonic())\n"
        "try: socket.socket()\n"
        "except OSError as error: print(error.errno)"
    )
    environment = {**os.environ, **shim.environment()}
    out = subprocess.run([sys.executable, "-c", program], env=environment, capture_output=True, text=True)
    clocks, code = out.stdout.splitlines()
    plain_output = subprocess.run(
        [sys.executable, "-c", program.splitlines()[0] + "\n" + program.splitlines()[1]],
        capture_output=True,
        text=True,
    ).stdout
    wall, steady = map(float, clocks.split())
    expected_wall, expected_steady = map(float, plain_output.split())
    assert 3590 < expected_wall - wall < 3610 and abs(expected_steady - steady) < 10
    assert int(code) > 0


def test_seeds_are_parsed_from_ranges_and_single_numbers() -> None:
    assert run.parse_seeds("3") == [3]
    assert run.parse_seeds("1-3,5,7-8") == [1, 2, 3, 5, 7, 8]


@pytest.mark.parametrize("text", ["3-1", "x", "", "1,", "1-2,4-3"])
def test_invalid_seeds_raise_an_error(text: str) -> None:
    with pytest.raises(ValueError):
        run.parse_seeds(text)


def test_a_few_seeds_on_real_processes_have_no_findings(tmp_path: Path) -> None:
    messages: list[str] = []
    targets_met = run.run(SHORT_RUN_SEEDS, 10, SHORT_RUN_SECONDS, 2, tmp_path / "out", messages.append)
    findings = [path.read_text() for path in sorted(tmp_path.glob("out/seed-*/finding-*"))]
    assert targets_met, "\n".join([*messages, *findings])
