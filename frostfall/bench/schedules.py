"""Check fault schedules in virtual time, shrink failing schedules, and encode and decode schedules."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import structlog

from frostfall.bench.check import check
from frostfall.bench.history import Event, History
from frostfall.model.schedule import HEAL_AT, FaultKind, Schedule, draw_schedule
from frostfall.model.simulation import run_schedule

_DISK_LOSSES = (FaultKind.DISK_LOST, FaultKind.DISK_ROLLED_BACK)
_DISK_FAILURES = (FaultKind.SYNC_FAILURE, FaultKind.DISK_FULL)


def find_violations(schedule: Schedule) -> list[str]:
    """Simulate a schedule and return its violations, one line each."""
    events = run_schedule(schedule)
    findings = check(History(events))
    stuck = _stuck_members(schedule, events)
    lost = _lost_answers(schedule, events) if schedule.replication else []
    return [
        *findings.duplicates,
        *findings.answer_counts,
        *findings.wrong_answers,
        *findings.crashes,
        *stuck,
        *lost,
    ]


def _stuck_members(schedule: Schedule, events: list[Event]) -> list[str]:
    waits_for_operators = schedule.replication and len(_members_without_disk(schedule)) > 1
    return [
        f"{event['who']} is stuck: {event['why']}"
        for event in events
        if event["event"] == "stuck" and not (waits_for_operators and "sound holders" in event["why"])
    ]


def _members_without_disk(schedule: Schedule) -> set[str]:
    """Return members with a lost or rolled-back disk; if several, unsafe operations wait for operators."""
    return {name for fault in schedule.faults if fault.kind in _DISK_LOSSES for name in fault.members}


def _lost_answers(schedule: Schedule, events: list[Event]) -> list[str]:
    """Return a line for each served answer that is lost after all faults have healed.

    Replication has to tolerate the loss of one disk.
    """
    disk_failed = any(fault.kind in _DISK_FAILURES for fault in schedule.faults)
    if disk_failed or len(_members_without_disk(schedule)) > 1:
        return []  # more losses than replication tolerates, or a disk that stored nothing
    served = {
        event["op"]
        for event in events
        if event["event"] == "answered" and event["what"] == "served" and event["at"] < HEAL_AT
    }
    last_outcomes = {event["op"]: event["what"] for event in events if event["event"] == "answered"}
    return [
        f"{operation} was served, and at the end it was {last_outcomes[operation] or 'not answered'}"
        for operation in sorted(served)
        if last_outcomes[operation] != "served"
    ]


def check_seed(seed: int, replicated: bool = False) -> tuple[int, list[str], int]:
    """Return the seed, the violations of its schedule and the operation count, with logging disabled."""
    structlog.configure(
        logger_factory=structlog.ReturnLoggerFactory(),
        wrapper_class=structlog.make_filtering_bound_logger(50),
    )
    schedule = draw_schedule(seed, replicated)
    try:
        return seed, find_violations(schedule), len(schedule.operations)
    except Exception as error:
        return seed, [f"failed: {error!r}"], 0


def _fails(schedule: Schedule) -> bool:
    return bool(find_violations(schedule))


def shrink(schedule: Schedule, fails: Callable[[Schedule], bool] = _fails) -> Schedule:
    """Return a minimal part of a failing schedule that still fails.

    Removes halves of the faults and of the operations first, then smaller parts down to single items (after
    Zeller's ddmin, 2002).
    """
    for field in ("faults", "operations"):
        items = list(getattr(schedule, field))
        size = max(len(items) // 2, 1)
        while items and size:
            position = 0
            while position < len(items):
                remaining = items[:position] + items[position + size :]
                candidate = msgspec.structs.replace(schedule, **{field: tuple(remaining)})
                if fails(candidate):
                    items, schedule = remaining, candidate
                else:
                    position += size
            size //= 2
    return schedule


def encode_schedule(schedule: Schedule) -> str:
    """Encode a schedule as JSON text for `decode_schedule`."""
    return msgspec.json.format(msgspec.json.encode(schedule), indent=1).decode()


def decode_schedule(text: bytes) -> Schedule:
    """Decode a schedule from JSON text; msgspec.ValidationError names an invalid key."""
    return msgspec.json.decode(text, type=Schedule)
