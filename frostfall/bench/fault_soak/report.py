"""Reports of a soak: JSON with targets, a table, a plot of the service around faults, and timelines."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from frostfall.bench.fault_soak.oracle import Finding, Rule
from frostfall.bench.fault_soak.plan import Fault, Plan
from frostfall.bench.fault_soak.records import AnswerKind, SoakRecords

BIN_SECONDS = 0.25  # of the plot
WINDOW_SECONDS = 3.0  # before and after a fault
LOSS_RULES = (Rule.LOST, Rule.LOST_RESEND, Rule.LATE)


@dataclass(slots=True)
class SeedResult:
    """The result of one seed."""

    seed: int
    seconds: float  # duration of the run
    faults: int
    requests: int = 0
    rows: int = 0
    rejected: int = 0
    failed: int = 0
    unread: int = 0  # sent, but never read by an agent
    processes: int = 0
    largest_lag: float = 0.0
    findings: dict[str, int] = field(default_factory=dict)  # by rule
    error: str = ""  # the reason why the run did not end normally
    # Around faults: seconds since the start of the fault, requests sent, rows.
    service: list[tuple[float, int, int]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Target:
    """One target of the soak, with the measured figure."""

    name: str
    aim: str
    measured: str
    met: bool


def summarise(
    plan: Plan, records: SoakRecords, findings: list[Finding], seconds: float, began: float
) -> SeedResult:
    """Return the figures of one seed; `began` is the monotonic time of the start of its schedule."""
    kinds = Counter(record.answers[0] for record in records.requests if record.answers)
    read = {(each.agent, each.request_id) for each in records.reads}
    unread = sum((record.agent, record.request_id) not in read for record in records.requests)
    return SeedResult(
        seed=plan.seed,
        seconds=round(seconds, 1),
        faults=len(plan.faults),
        requests=len(records.requests),
        rows=kinds[AnswerKind.ROW],
        rejected=kinds[AnswerKind.REJECTED],
        failed=kinds[AnswerKind.FAILED],
        unread=unread,
        processes=len(records.processes),
        largest_lag=round(records.largest_lag, 3),
        findings=dict(Counter(finding.rule.name.lower() for finding in findings)),
        service=_service_around(plan.faults, records, began),
    )


def _service_around(
    faults: tuple[Fault, ...], records: SoakRecords, began: float
) -> list[tuple[float, int, int]]:
    """Count requests sent and answered with a row, by the time since the start of each fault."""
    written, rows = Counter[int](), Counter[int]()
    for fault in faults:
        for record in records.requests:
            bin_index = int((record.written_at - began - fault.at) // BIN_SECONDS)
            if abs(bin_index * BIN_SECONDS) > WINDOW_SECONDS:
                continue
            written[bin_index] += 1
            rows[bin_index] += bool(record.answers) and record.answers[0] is AnswerKind.ROW
    return [(bin_index * BIN_SECONDS, written[bin_index], rows[bin_index]) for bin_index in sorted(written)]


def targets(results: list[SeedResult]) -> list[Target]:
    """Return the targets of the soak, evaluated over all seeds."""
    found = Counter[str]()
    for result in results:
        found.update(result.findings)
    completed = [result for result in results if not result.error]
    lost = sum(found[rule.name.lower()] for rule in LOSS_RULES)
    twice = found[Rule.RAN_TWICE.name.lower()] + found[Rule.ANSWERED_TWICE.name.lower()]
    others = sum(found.values()) - lost - twice - found[Rule.REPORTED.name.lower()]
    return [
        Target(
            "seeds played to their end",
            f"{len(results)}",
            f"{len(completed)}",
            len(completed) == len(results),
        ),
        Target("requests lost or late", "0", f"{lost}", lost == 0),
        Target("requests run or answered twice", "0", f"{twice}", twice == 0),
        Target("other rules broken", "0", f"{others}", others == 0),
        Target(
            "violations and faults reported by agents",
            "0",
            f"{found[Rule.REPORTED.name.lower()]}",
            not found[Rule.REPORTED.name.lower()],
        ),
    ]


def write(results: list[SeedResult], folder: Path, *, agents: int, seconds: float) -> list[Target]:
    """Write the JSON file, the table and, if matplotlib is installed, the plot."""
    reached = targets(results)
    content = {
        "agents": agents,
        "seconds": seconds,
        "targets": reached,
        "totals": _totals(results),
        "seeds": [{**msgspec.to_builtins(result), "service": None} for result in results],
    }
    encoded = msgspec.json.format(msgspec.json.encode(content), indent=1)
    (folder / "fault-soak.json").write_bytes(encoded + b"\n")
    (folder / "fault-soak.txt").write_text(table(results, reached))
    _plot(results, folder / "fault-soak.png")
    return reached


def _totals(results: list[SeedResult]) -> dict[str, int]:
    names = ("faults", "requests", "rows", "rejected", "failed", "unread", "processes")
    return {name: sum(getattr(result, name) for result in results) for name in names}


def table(results: list[SeedResult], reached: list[Target]) -> str:
    """Format one line for each seed, then the targets."""
    lines = ["seed  faults  requests  rows  rejected  failed  unread  processes  lag  findings"]
    for result in results:
        found = ", ".join(f"{name} {count}" for name, count in result.findings.items()) or "none"
        lines.append(
            f"{result.seed:4}  {result.faults:6}  {result.requests:8}  {result.rows:4}  {result.rejected:8}  "
            f"{result.failed:6}  {result.unread:6}  {result.processes:9}  {result.largest_lag:.3f}  "
            f"{result.error or found}"
        )
    lines += [""]
    for target in reached:
        verdict = "met" if target.met else "MISSED"
        lines.append(f"{target.name}: {target.measured} (aim {target.aim}), {verdict}")
    return "\n".join(lines) + "\n"


def timeline(plan: Plan, records: SoakRecords, finding: Finding, began: float) -> str:
    """Format the faults, and the records that concern a finding, in order of time."""
    events: list[tuple[float, str]] = [
        (fault.at, f"fault: {fault.kind.value}, target {fault.target}, {fault.seconds:.2f} s, {fault.amount}")
        for fault in plan.faults
    ]
    subject = finding.subject
    for record in records.requests:
        if record.request_id == subject:
            events.append((record.written_at - began, f"client: written to {record.agent}"))
            for name, moment in (
                ("answered", record.answered_at),
                ("connection ended", record.connection_ended_at),
                ("client left", record.client_disconnected_at),
            ):
                if moment is not None:
                    events.append((moment - began, f"client: {name} ({record.agent})"))
    for read in records.reads:
        if read.request_id == subject:
            events.append((read.read_at - began, f"agent {read.agent}: read"))
    for attempt in records.attempts:
        if attempt.request_id == subject:
            what = "received" if attempt.ran else "turned away"
            events.append((attempt.received_at - began, f"server {attempt.server}: {what}"))
    for process in records.processes:
        for name in ("started_at", "ready_at", "terminated_at", "killed_at", "ended_at"):
            if (moment := getattr(process, name)) is not None:
                events.append((moment - began, f"agent {process.agent}: {name.removesuffix('_at')}"))
    lines = [f"seed {plan.seed}: {finding.rule.value}", f"{subject}: {finding.detail}", ""]
    lines += [f"{moment:9.3f}  {text}" for moment, text in sorted(events)]
    return "\n".join(lines) + "\n"


def _plot(results: list[SeedResult], path: Path) -> None:
    try:
        import matplotlib
    except ImportError:
        return
    matplotlib.use("Agg")
    from matplotlib import pyplot

    written, rows = Counter[float](), Counter[float]()
    for result in results:
        for moment, count, served in result.service:
            written[moment] += count
            rows[moment] += served
    moments = sorted(written)
    figure, axes = pyplot.subplots(figsize=(8, 3))
    axes.plot(moments, [rows[moment] / max(written[moment], 1) for moment in moments])
    axes.axvline(0.0, linestyle=":", color="grey")
    axes.set(xlabel="seconds since a fault began", ylabel="share served with a row", ylim=(0, 1))
    figure.tight_layout()
    figure.savefig(path, dpi=120)
    pyplot.close(figure)
