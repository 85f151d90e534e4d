"""Schedules of simulated runs: the operations of clients and the faults, with their times."""

from __future__ import annotations

import random
from enum import StrEnum

import msgspec

FIRST_OPERATION_AT = 0.6  # seconds from the start of the run
LAST_OPERATION_AT = 5.5  # seconds; also the latest time of a fault
FIRST_FAULT_AT = 0.2  # seconds
HEAL_AT = 7.0  # seconds; all faults end, and all members are powered and connected
END_AT = 16.5  # seconds; end of the run
ATTEMPTS = 4  # of one operation, before all faults end
SERVICE_TIMES = (0.0, 0.02, 0.3, 1.0)  # seconds
MAX_DISK_STEPS = 12  # largest number of file operations before a power loss


class FaultKind(StrEnum):
    """Kinds of faults; the values are stored in files of saved schedules."""

    POWER_OFF = "off"
    LINK_CUT = "cut"
    STALL = "stall"
    SYNC_FAILURE = "fail"
    DISK_FULL = "full"
    POWER_OFF_IN_WRITE = "die"
    DISK_LOST = "lose"
    DISK_ROLLED_BACK = "old"


# Each entry has the same probability, so a repeated kind is more frequent. The schedule of a seed depends on
# the order.
_DRAWN_KINDS = (
    FaultKind.POWER_OFF,
    FaultKind.POWER_OFF,
    FaultKind.POWER_OFF,
    FaultKind.LINK_CUT,
    FaultKind.LINK_CUT,
    FaultKind.STALL,
    FaultKind.SYNC_FAILURE,
    FaultKind.DISK_FULL,
    FaultKind.POWER_OFF_IN_WRITE,
    FaultKind.DISK_LOST,
    FaultKind.DISK_ROLLED_BACK,
)


class Fault(msgspec.Struct, frozen=True, omit_defaults=True):
    """One fault; the encoded field names are those of saved schedules."""

    at: float  # seconds from the start
    kind: FaultKind = msgspec.field(name="do")
    members: tuple[str, ...] = msgspec.field(default=(), name="who")
    peer: str = msgspec.field(default="", name="to")  # LINK_CUT: the receiving end of the directed link
    duration: float = msgspec.field(default=0.5, name="seconds")  # seconds
    disk_step: int = msgspec.field(default=0, name="step")  # POWER_OFF_IN_WRITE: operations until then


class Operation(msgspec.Struct, frozen=True, omit_defaults=True):
    """An operation that one client requests and that should run exactly once."""

    at: float  # seconds from the start
    name: str
    agents: tuple[str, ...]  # in the order in which the client tries them
    service_time: float = msgspec.field(default=0.0, name="slow")  # seconds


class ReplicationFactor(msgspec.Struct, frozen=True, array_like=True):
    """Number of replicas of each record."""

    replicas: int
    acknowledged: int  # acknowledgements that a write needs


class Schedule(msgspec.Struct, frozen=True):
    """Members, operations and faults of one run."""

    seed: int
    member_count: int = msgspec.field(name="members")
    operations: tuple[Operation, ...]
    faults: tuple[Fault, ...]
    marks_retries: bool = msgspec.field(default=True, name="marked")
    replication: ReplicationFactor | None = msgspec.field(default=None, name="copies")


def draw_schedule(seed: int, replicated: bool = False) -> Schedule:
    """Return the random schedule of a seed: 2 to 7 members (3 to 9 if replicated) and overlapping faults."""
    rng = random.Random(f"copies {seed}" if replicated else seed)
    member_count = rng.randint(3, 9) if replicated else rng.randint(2, 7)
    names = member_names(member_count)
    operations = [_draw_operation(rng, number, names) for number in range(rng.randint(6, 24))]
    faults = [_draw_fault(rng, names) for _ in range(rng.randint(1, 6))]
    return Schedule(
        seed,
        member_count,
        tuple(sorted(operations, key=lambda operation: operation.at)),
        tuple(sorted(faults, key=lambda fault: fault.at)),
        rng.random() < 0.7,
        _draw_replication_factor(rng, member_count) if replicated else None,
    )


def member_names(count: int) -> list[str]:
    """Return the names of a group's members."""
    return [f"n{index}" for index in range(count)]


def _draw_operation(rng: random.Random, number: int, names: list[str]) -> Operation:
    agents = tuple(rng.choice(names) for _ in range(ATTEMPTS))
    at = round(rng.uniform(FIRST_OPERATION_AT, LAST_OPERATION_AT), 3)
    return Operation(at, f"o{number}", agents, round(rng.choice(SERVICE_TIMES), 3))


def _draw_fault(rng: random.Random, names: list[str]) -> Fault:
    at = round(rng.uniform(FIRST_FAULT_AT, LAST_OPERATION_AT), 3)
    duration = round(rng.uniform(0.05, 1.5), 3)
    kind = rng.choice(_DRAWN_KINDS)
    # Drawn for every kind, so that the schedule of a seed does not change.
    count = rng.choice((1, 1, rng.randint(1, len(names)), len(names)))
    members = tuple(sorted(rng.sample(names, count)))
    if kind is FaultKind.LINK_CUT:
        source, target = rng.sample(names, 2)
        return Fault(at, kind, (source,), target, duration)
    if kind is not FaultKind.POWER_OFF:
        members = members[:1]
    return Fault(at, kind, members, duration=duration, disk_step=rng.randint(1, MAX_DISK_STEPS))


def _draw_replication_factor(rng: random.Random, member_count: int) -> ReplicationFactor:
    if member_count <= 3:
        return ReplicationFactor(2, 1)
    return rng.choice((ReplicationFactor(2, 1), ReplicationFactor(3, 2)))
