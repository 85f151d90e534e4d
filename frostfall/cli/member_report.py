"""The report of a group member to operators, and its rendering as text."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import field

BYTES_PER_MB = 1e6


class ReadinessCondition(msgspec.Struct, array_like=True):
    """The readiness condition of one stage of a member's start."""

    status: str
    reason: str | None
    since: float  # time of the last change, in seconds after the start


class PeerReport(msgspec.Struct, array_like=True):
    """The state of another member, as the reporting member observes it."""

    state: str
    incarnation: int
    readiness_stage: str | None
    incomplete_reason: str | None
    clock_offset: float  # seconds by which the other member's clock is ahead


class RegisterEntry(msgspec.Struct, array_like=True):
    """A value, with its version, in the members' common register."""

    value: Any
    version: int


class CommandResult(msgspec.Struct):
    """The result of a command in a report; if the fields are missing, the command counts as completed."""

    is_stored: bool = field(default=True, name="kept")  # stored on the member's own disk
    is_replicated: bool = field(default=True, name="copied")  # stored by enough other members


class MemberReport(msgspec.Struct):
    """The fields of a report that are printed; `name=` gives the name on the wire where it differs."""

    name: str
    incarnation: int = field(name="life")
    log_condition: str = field(name="record")
    operations: int
    segments: int
    total_bytes: int = field(name="bytes")
    unready_stage: str | None = field(name="waits_for")
    unready_reason: str | None = field(name="because")
    log_fault: str | None = field(name="why")
    incomplete_reason: str | None = field(name="doubt")
    votes_held_by: str | None = field(name="held")
    conditions: dict[str, ReadinessCondition] = field(name="gates")
    peers: dict[str, PeerReport] = field(name="members")
    leader: str | msgspec.UnsetType | None = msgspec.UNSET  # unset if the members have no register
    term: int = 0
    register: dict[str, RegisterEntry] = field(default_factory=dict)


def format_report(report: MemberReport) -> str:
    """Render a report as lines of text for operators."""
    lines = [
        f"{report.name}: life {report.incarnation}, record {report.log_condition}, {report.operations} "
        f"operations, {report.segments} segments of {report.total_bytes / BYTES_PER_MB:.1f} MB"
    ]
    if report.unready_stage:
        lines.append(f"  waits for {report.unready_stage}: {report.unready_reason}")
    if report.log_fault:
        lines.append(f"  why: {report.log_fault}")
    if report.incomplete_reason:
        lines.append(f"  doubt: {report.incomplete_reason}")
    if report.votes_held_by:
        lines.append(f"  held: {report.votes_held_by}")
    lines += [_format_condition(stage, condition) for stage, condition in report.conditions.items()]
    lines += [_format_peer(name, peer) for name, peer in report.peers.items()]
    if report.leader is not msgspec.UNSET:
        lines.append(f"  register: led by {report.leader or 'nobody'} in term {report.term}")
        lines += [
            f"    {key} = {entry.value} (version {entry.version})" for key, entry in report.register.items()
        ]
    return "\n".join(lines)


def _format_condition(stage: str, condition: ReadinessCondition) -> str:
    reason = f", {condition.reason}" if condition.reason else ""
    return f"  gate {stage}: {condition.status}{reason} (since {condition.since:g} s after the start)"


def _format_peer(name: str, peer: PeerReport) -> str:
    stage = f", waits for {peer.readiness_stage}" if peer.readiness_stage else ""
    reason = f", in doubt: {peer.incomplete_reason}" if peer.incomplete_reason else ""
    clock = f", clock {peer.clock_offset:+.1f} s"
    return f"  member {name}: {peer.state}, life {peer.incarnation}{stage}{reason}{clock}"
