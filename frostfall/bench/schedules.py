"""Schedules of faults in virtual time: judged by the checker of histories, shrunk where they fail."""

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


def judge(schedule: Schedule) -> list[str]:
    """Play a schedule; what was found, each as one line, nothing where all is well."""
    events = run_schedule(schedule)
    found = check(History(events))
    stuck = _stuck_members(schedule, events)
    lost = _lost_answers(schedule, events) if schedule.replication else []
    return [*found.duplicates, *found.answer_counts, *found.wrong_answers, *found.crashes, *stuck, *lost]


def _stuck_members(schedule: Schedule, events: list[Event]) -> list[str]:
    waits_for_operators = schedule.replication and len(_members_without_disk(schedule)) > 1
    return [
        f"{event['who']} is stuck: {event['why']}"
        for event in events
        if event["event"] == "stuck" and not (waits_for_operators and "sound holders" in event["why"])
    ]


def _members_without_disk(schedule: Schedule) -> set[str]:
    """Members whose folders were lost or old; with more than one, unsafe work waits for operators."""
    return {name for fault in schedule.faults if fault.kind in _DISK_LOSSES for name in fault.members}


def _lost_answers(schedule: Schedule, events: list[Event]) -> list[str]:
    """Answers that were given and that nobody gives again once all has healed; one disk may be lost."""
    disk_failed = any(fault.kind in _DISK_FAILURES for fault in schedule.faults)
    if disk_failed or len(_members_without_disk(schedule)) > 1:
        return []  # more than the setting survives, or a disk that took nothing down
    served = {
        event["op"]
        for event in events
        if event["event"] == "answered" and event["what"] == "served" and event["at"] < HEAL_AT
    }
    last = {event["op"]: event["what"] for event in events if event["event"] == "answered"}
    return [
        f"{operation} was served, and at the end it was {last[operation] or 'not answered'}"
        for operation in sorted(served)
        if last[operation] != "served"
    ]


def judge_seed(seed: int, copies: bool = False) -> tuple[int, list[str], int]:
    """The same for a seed, without log lines; and how many operations ran."""
    structlog.configure(
        logger_factory=structlog.ReturnLoggerFactory(),
        wrapper_class=structlog.make_filtering_bound_logger(50),
    )
    schedule = draw_schedule(seed, copies)
    try:
        return seed, judge(schedule), len(schedule.operations)
    except Exception as error:
        return seed, [f"failed: {error!r}"], 0


def _fails(schedule: Schedule) -> bool:
    return bool(judge(schedule))


def shrink(schedule: Schedule, fails: Callable[[Schedule], bool] = _fails) -> Schedule:
    """A part of a failing schedule that still fails and of which nothing more can be left out.

    Leaves out halves first, then single items, until that no longer helps (after Zeller's ddmin, 2002).
    """
    for part in ("faults", "operations"):
        items = list(getattr(schedule, part))
        size = max(len(items) // 2, 1)
        while items and size:
            at = 0
            while at < len(items):
                rest = items[:at] + items[at + size :]
                smaller = msgspec.structs.replace(schedule, **{part: tuple(rest)})
                if fails(smaller):
                    items, schedule = rest, smaller
                else:
                    at += size
            size //= 2
    return schedule


def script(schedule: Schedule) -> str:
    """A schedule as a text that `read` takes again."""
    return msgspec.json.format(msgspec.json.encode(schedule), indent=1).decode()


def read(text: bytes) -> Schedule:
    """A schedule from a text; msgspec.ValidationError names the key that cannot be used."""
    return msgspec.json.decode(text, type=Schedule)
