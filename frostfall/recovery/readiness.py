"""In which order service returns after a start: named gates, each with its condition and its time limit.

No I/O; times are seconds of this life. Nobody waits for somebody who may be waiting for him: what a member
tells another needs only its own disk. Past its limit a gate lets pass what is safe without it; unsafe work
has no limit, as no time proves that a record is whole.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from frostfall.recovery.options import StartupTimeouts


class ReadinessStage(Enum):
    """The gates, in order; the first five are steps, the others are service."""

    DISK = "disk"  # the record has been read, and may be written to
    IDENTITY = "identity"  # the own incarnation is on disk
    ENDPOINT_LIST = "list"  # discovery's list is there
    QUORUM = "group"  # a majority has the own incarnation on disk, and the others were waited for a little
    OPERATIONS_SETTLED = "settled"  # what was open when the last life ended has its end on disk
    LOCAL_READS = "reads near"
    READS = "reads"
    KEYED = "keyed"
    NON_IDEMPOTENT = "unsafe"
    VOTES = "votes"


class ConditionStatus(Enum):
    """How a gate stands."""

    PENDING = "waiting"
    READY = "open"
    TIMED_OUT = "past its limit"  # its condition does not hold, and what can do without goes on
    BLOCKED = "shut"  # it will not open in this life unless operators do something


STAGE_REQUIREMENTS: dict[
    ReadinessStage, tuple[tuple[ReadinessStage, bool], ...]
] = {  # for service: steps, and whether past its limit will do
    ReadinessStage.LOCAL_READS: (),
    ReadinessStage.READS: ((ReadinessStage.ENDPOINT_LIST, True),),
    ReadinessStage.KEYED: ((ReadinessStage.ENDPOINT_LIST, True), (ReadinessStage.QUORUM, True)),
    ReadinessStage.NON_IDEMPOTENT: (
        (ReadinessStage.DISK, False),
        (ReadinessStage.IDENTITY, False),
        (ReadinessStage.ENDPOINT_LIST, True),
        (ReadinessStage.QUORUM, False),
        (ReadinessStage.OPERATIONS_SETTLED, False),
    ),
    ReadinessStage.VOTES: ((ReadinessStage.ENDPOINT_LIST, True), (ReadinessStage.QUORUM, True)),
}


@dataclass(slots=True)
class StageCondition:
    """One gate as it stands."""

    status: ConditionStatus = ConditionStatus.PENDING
    reason: str = ""  # what it waits for, or why it is shut
    since: float = 0.0  # when it came to stand so


@dataclass(slots=True)
class ReadinessInputs:
    """What the gates go by; the owner keeps it up to date."""

    log_replayed: bool = False
    unusable_reason: str = ""  # why the record cannot be written to
    incarnation_durable: bool = False
    endpoint_list_received: bool = False
    endpoint_list_known: bool = False  # at least a remembered one
    acknowledging_members: int = 0
    silent_members: tuple[str, ...] = ()
    unsettled_operations: int = 0
    storage_fault: str = ""  # why nothing can be written any more
    storage_full: bool = False
    replica_holders: tuple[int, int] = (0, 0)  # of copies: how many are heard, and how many a promise needs
    incomplete_reason: str = ""  # why the record proves nothing of what it does not hold
    superseded_reason: str = ""
    contesting_incarnation: int = 0  # a newer life of this member, which may be over
    exposure_window_elapsed: bool = False  # what was sent to a trial before has left the window
    votes_held_by: str = ""  # who holds votes


@dataclass(slots=True)
class Readiness:
    """All gates of one start."""

    member_count: int
    retries_marked: bool
    timeouts: StartupTimeouts
    conditions: dict[ReadinessStage, StageCondition] = field(
        default_factory=lambda: {gate: StageCondition() for gate in ReadinessStage}
    )
    quorum_since: float | None = None

    def is_ready(self, stage: ReadinessStage) -> bool:
        """Whether this gate lets pass."""
        return self.conditions[stage].status is ConditionStatus.READY

    def evaluate(self, now: float, inputs: ReadinessInputs) -> list[ReadinessStage]:
        """Look at all gates; those that came to stand differently."""
        before = {gate: point.status for gate, point in self.conditions.items()}
        self._steps(now, inputs)
        for gate, needs in STAGE_REQUIREMENTS.items():
            self._service(gate, needs, now, inputs)
        return [gate for gate in ReadinessStage if self.conditions[gate].status is not before[gate]]

    def first_unready(self) -> tuple[ReadinessStage, str] | None:
        """The first gate that is not open, and why."""
        return next(
            (
                (gate, point.reason)
                for gate, point in self.conditions.items()
                if point.status is not ConditionStatus.READY
            ),
            None,
        )

    def _set(self, gate: ReadinessStage, now: float, stand: ConditionStatus, why: str = "") -> None:
        point = self.conditions[gate]
        if point.status is not stand:
            point.status, point.since = stand, now
        point.reason = why

    def _steps(self, now: float, facts: ReadinessInputs) -> None:
        broken = facts.unusable_reason or facts.storage_fault
        if broken:
            self._set(ReadinessStage.DISK, now, ConditionStatus.BLOCKED, broken)
        else:
            self._set(
                ReadinessStage.DISK,
                now,
                ConditionStatus.READY if facts.log_replayed else ConditionStatus.PENDING,
                "" if facts.log_replayed else "the record is being read",
            )
        if facts.superseded_reason:
            self._set(ReadinessStage.IDENTITY, now, ConditionStatus.BLOCKED, facts.superseded_reason)
        elif facts.contesting_incarnation:
            self._set(
                ReadinessStage.IDENTITY,
                now,
                ConditionStatus.PENDING,
                f"life {facts.contesting_incarnation} may be there elsewhere",
            )
        elif facts.incarnation_durable:
            self._set(ReadinessStage.IDENTITY, now, ConditionStatus.READY)
        else:
            self._set(
                ReadinessStage.IDENTITY,
                now,
                ConditionStatus.BLOCKED if broken else ConditionStatus.PENDING,
                broken or "the own incarnation is on its way to the disk",
            )
        if facts.endpoint_list_received:
            self._set(ReadinessStage.ENDPOINT_LIST, now, ConditionStatus.READY)
        elif not self.is_ready(ReadinessStage.ENDPOINT_LIST):
            late = now >= self.timeouts.list
            self._set(
                ReadinessStage.ENDPOINT_LIST,
                now,
                ConditionStatus.TIMED_OUT if late else ConditionStatus.PENDING,
                "discovery has told no list",
            )
        self._group(now, facts)
        if facts.unsettled_operations or not facts.log_replayed:
            self._set(
                ReadinessStage.OPERATIONS_SETTLED,
                now,
                ConditionStatus.BLOCKED if broken else ConditionStatus.PENDING,
                f"{facts.unsettled_operations} open operations"
                if facts.log_replayed
                else "the record is being read",
            )
        else:
            self._set(ReadinessStage.OPERATIONS_SETTLED, now, ConditionStatus.READY)

    def _group(self, now: float, facts: ReadinessInputs) -> None:
        if self.is_ready(
            ReadinessStage.QUORUM
        ):  # it was heard; who leaves afterwards is no matter of the start
            return
        if facts.acknowledging_members > self.member_count // 2:
            if self.quorum_since is None:
                self.quorum_since = now
            if not facts.silent_members or now - self.quorum_since >= self.timeouts.others:
                self._set(ReadinessStage.QUORUM, now, ConditionStatus.READY)
            else:
                self._set(
                    ReadinessStage.QUORUM,
                    now,
                    ConditionStatus.PENDING,
                    f"not heard yet: {', '.join(facts.silent_members)}",
                )
            return
        self.quorum_since = None
        late = now >= self.timeouts.group
        self._set(
            ReadinessStage.QUORUM,
            now,
            ConditionStatus.TIMED_OUT if late else ConditionStatus.PENDING,
            f"{facts.acknowledging_members} of {self.member_count} have this life on disk, "
            f"{self.member_count // 2 + 1} are needed",
        )

    def _service(
        self,
        gate: ReadinessStage,
        needs: tuple[tuple[ReadinessStage, bool], ...],
        now: float,
        facts: ReadinessInputs,
    ) -> None:
        for step, late_will_do in needs:
            point = self.conditions[step]
            if point.status is ConditionStatus.READY or (
                late_will_do and point.status is ConditionStatus.TIMED_OUT
            ):
                continue
            shut = point.status is ConditionStatus.BLOCKED
            self._set(
                gate,
                now,
                ConditionStatus.BLOCKED if shut else ConditionStatus.PENDING,
                f"{step.value}: {point.reason}",
            )
            return
        why = self._own_reason(gate, facts)
        self._set(gate, now, ConditionStatus.PENDING if why else ConditionStatus.READY, why)

    def _own_reason(self, gate: ReadinessStage, facts: ReadinessInputs) -> str:
        if gate is ReadinessStage.LOCAL_READS and not facts.endpoint_list_known:
            return "no server is known"
        if gate is ReadinessStage.NON_IDEMPOTENT:
            heard, needed = facts.replica_holders
            if heard < needed:
                return f"{heard} sound holders of copies are heard, {needed} are needed"
            if facts.storage_full:
                return "the folder has reached its bound"
            if facts.incomplete_reason and not self.retries_marked:
                return f"the record proves nothing: {facts.incomplete_reason}; operators have to accept that"
        if gate is ReadinessStage.VOTES:
            if not facts.exposure_window_elapsed:
                return "exposure may be spent for one window more"
            if facts.votes_held_by:
                return f"held by {facts.votes_held_by}"
        return ""
