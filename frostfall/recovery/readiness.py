"""Staged readiness after a start: named stages, each with a condition and some with a timeout.

The module does no I/O. Times are in seconds since the start of the process. Waits cannot be circular, because
a member needs only its own disk to answer other members. Once a stage has timed out, the services that are
safe without it proceed. Non-idempotent work has no timeout, because no amount of time proves that a record is
complete.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from frostfall.recovery.completeness import IncompleteReason
from frostfall.recovery.options import StartupTimeouts


class ReadinessStage(Enum):
    """The stages, in order: first the startup steps, then the services that depend on them."""

    DISK = "disk"  # The log has been replayed and is writable.
    IDENTITY = "identity"  # This member's incarnation is durable.
    ENDPOINT_LIST = "list"  # Discovery has sent its endpoint list.
    QUORUM = "group"  # A majority has recorded this incarnation, and the others had a grace period.
    OPERATIONS_SETTLED = "settled"  # Operations open in the previous incarnation have a durable end.
    LOCAL_READS = "reads near"
    READS = "reads"
    KEYED = "keyed"
    NON_IDEMPOTENT = "unsafe"
    VOTES = "votes"


class ConditionStatus(Enum):
    """Status of a stage."""

    PENDING = "waiting"
    READY = "open"
    TIMED_OUT = "past its limit"  # The condition does not hold; services that are safe without it proceed.
    BLOCKED = "shut"  # The stage stays unready for this incarnation unless operators intervene.


@dataclass(frozen=True, slots=True)
class StageRequirement:
    """A startup step that a service depends on."""

    stage: ReadinessStage
    timeout_suffices: bool  # True if the service may proceed once the step has timed out


STAGE_REQUIREMENTS: dict[ReadinessStage, tuple[StageRequirement, ...]] = {
    ReadinessStage.LOCAL_READS: (),
    ReadinessStage.READS: (StageRequirement(ReadinessStage.ENDPOINT_LIST, timeout_suffices=True),),
    ReadinessStage.KEYED: (
        StageRequirement(ReadinessStage.ENDPOINT_LIST, timeout_suffices=True),
        StageRequirement(ReadinessStage.QUORUM, timeout_suffices=True),
    ),
    ReadinessStage.NON_IDEMPOTENT: (
        StageRequirement(ReadinessStage.DISK, timeout_suffices=False),
        StageRequirement(ReadinessStage.IDENTITY, timeout_suffices=False),
        StageRequirement(ReadinessStage.ENDPOINT_LIST, timeout_suffices=True),
        StageRequirement(ReadinessStage.QUORUM, timeout_suffices=False),
        StageRequirement(ReadinessStage.OPERATIONS_SETTLED, timeout_suffices=False),
    ),
    ReadinessStage.VOTES: (
        StageRequirement(ReadinessStage.ENDPOINT_LIST, timeout_suffices=True),
        StageRequirement(ReadinessStage.QUORUM, timeout_suffices=True),
    ),
}


@dataclass(slots=True)
class StageCondition:
    """Current condition of one stage."""

    status: ConditionStatus = ConditionStatus.PENDING
    reason: str = ""  # reason why the stage is not ready; empty if it is
    since: float = 0.0  # time of the last change of status, in seconds since the start


class UnreadyStage(NamedTuple):
    """A stage that is not ready, with the reason."""

    stage: ReadinessStage
    reason: str


@dataclass(slots=True)
class ReadinessInputs:
    """Observations from which the stages are evaluated; the owner of the instance updates them."""

    log_replayed: bool = False
    unusable_reason: str = ""  # reason why the log cannot be opened for writing
    incarnation_durable: bool = False
    endpoint_list_received: bool = False
    endpoint_list_known: bool = False  # True if a list was received, or cached by an earlier incarnation
    acknowledging_members: int = 0  # members, including this one, that have recorded this incarnation
    silent_members: tuple[str, ...] = ()  # other members that are not alive
    unsettled_operations: int = 0
    storage_fault: str = ""  # reason why writes fail
    storage_full: bool = False
    reachable_replicas: int = 0  # replica holders that are alive and have complete records
    required_replicas: int = 0  # replica holders that a quorum write needs
    incomplete_reason: IncompleteReason | None = None
    superseded_reason: str = ""
    contesting_incarnation: int = 0  # newer incarnation of this member, which may have ended; 0 for none
    exposure_window_elapsed: bool = False  # True once attempts from before the start are out of the window
    votes_held_by: str = ""  # operator who holds this member's votes

    @property
    def disk_blocked_reason(self) -> str:
        """Return the reason why the log cannot be written; empty while it can."""
        return self.unusable_reason or self.storage_fault


@dataclass(slots=True)
class Readiness:
    """The conditions of all stages of one start."""

    member_count: int
    retries_marked: bool  # True if clients mark each attempt after an operation's first as a retry
    timeouts: StartupTimeouts
    conditions: dict[ReadinessStage, StageCondition] = field(
        default_factory=lambda: {stage: StageCondition() for stage in ReadinessStage}
    )
    quorum_since: float | None = None

    def is_ready(self, stage: ReadinessStage) -> bool:
        """Return whether this stage is ready."""
        return self.conditions[stage].status is ConditionStatus.READY

    def evaluate(self, now: float, inputs: ReadinessInputs) -> list[ReadinessStage]:
        """Evaluate all stages at `now`, in seconds since the start, and return those whose status changed."""
        before = {stage: condition.status for stage, condition in self.conditions.items()}
        self._evaluate_disk(now, inputs)
        self._evaluate_identity(now, inputs)
        self._evaluate_endpoint_list(now, inputs)
        self._evaluate_quorum(now, inputs)
        self._evaluate_operations_settled(now, inputs)
        for stage in STAGE_REQUIREMENTS:
            self._evaluate_service(stage, now, inputs)
        return [stage for stage in ReadinessStage if self.conditions[stage].status is not before[stage]]

    def first_unready(self) -> UnreadyStage | None:
        """Return the first stage that is not ready; None once all are ready."""
        for stage, condition in self.conditions.items():
            if condition.status is not ConditionStatus.READY:
                return UnreadyStage(stage, condition.reason)
        return None

    def _set(self, stage: ReadinessStage, now: float, status: ConditionStatus, reason: str = "") -> None:
        condition = self.conditions[stage]
        if condition.status is not status:
            condition.status = status
            condition.since = now
        condition.reason = reason

    def _evaluate_disk(self, now: float, inputs: ReadinessInputs) -> None:
        if inputs.disk_blocked_reason:
            self._set(ReadinessStage.DISK, now, ConditionStatus.BLOCKED, inputs.disk_blocked_reason)
        elif inputs.log_replayed:
            self._set(ReadinessStage.DISK, now, ConditionStatus.READY)
        else:
            self._set(ReadinessStage.DISK, now, ConditionStatus.PENDING, "the record is being read")

    def _evaluate_identity(self, now: float, inputs: ReadinessInputs) -> None:
        stage = ReadinessStage.IDENTITY
        if inputs.superseded_reason:
            self._set(stage, now, ConditionStatus.BLOCKED, inputs.superseded_reason)
        elif inputs.contesting_incarnation:
            reason = f"life {inputs.contesting_incarnation} may be there elsewhere"
            self._set(stage, now, ConditionStatus.PENDING, reason)
        elif inputs.incarnation_durable:
            self._set(stage, now, ConditionStatus.READY)
        elif inputs.disk_blocked_reason:
            self._set(stage, now, ConditionStatus.BLOCKED, inputs.disk_blocked_reason)
        else:
            reason = "the own incarnation is on its way to the disk"
            self._set(stage, now, ConditionStatus.PENDING, reason)

    def _evaluate_endpoint_list(self, now: float, inputs: ReadinessInputs) -> None:
        stage = ReadinessStage.ENDPOINT_LIST
        if inputs.endpoint_list_received:
            self._set(stage, now, ConditionStatus.READY)
        elif not self.is_ready(stage):
            status = self._timeout_status(now, self.timeouts.list)
            self._set(stage, now, status, "discovery has told no list")

    def _evaluate_quorum(self, now: float, inputs: ReadinessInputs) -> None:
        stage = ReadinessStage.QUORUM
        if self.is_ready(stage):  # The loss of a member after the start does not revoke the stage.
            return
        if inputs.acknowledging_members <= self.member_count // 2:
            self.quorum_since = None
            reason = (
                f"{inputs.acknowledging_members} of {self.member_count} have this life on disk, "
                f"{self.member_count // 2 + 1} are needed"
            )
            self._set(stage, now, self._timeout_status(now, self.timeouts.group), reason)
            return
        if self.quorum_since is None:
            self.quorum_since = now
        if not inputs.silent_members or now - self.quorum_since >= self.timeouts.others:
            self._set(stage, now, ConditionStatus.READY)
        else:
            reason = f"not heard yet: {', '.join(inputs.silent_members)}"
            self._set(stage, now, ConditionStatus.PENDING, reason)

    def _evaluate_operations_settled(self, now: float, inputs: ReadinessInputs) -> None:
        stage = ReadinessStage.OPERATIONS_SETTLED
        if inputs.log_replayed and not inputs.unsettled_operations:
            self._set(stage, now, ConditionStatus.READY)
            return
        status = ConditionStatus.BLOCKED if inputs.disk_blocked_reason else ConditionStatus.PENDING
        if inputs.log_replayed:
            self._set(stage, now, status, f"{inputs.unsettled_operations} open operations")
        else:
            self._set(stage, now, status, "the record is being read")

    def _timeout_status(self, now: float, timeout: float) -> ConditionStatus:
        return ConditionStatus.TIMED_OUT if now >= timeout else ConditionStatus.PENDING

    def _evaluate_service(self, stage: ReadinessStage, now: float, inputs: ReadinessInputs) -> None:
        for requirement in STAGE_REQUIREMENTS[stage]:
            required = self.conditions[requirement.stage]
            if required.status is ConditionStatus.READY:
                continue
            if requirement.timeout_suffices and required.status is ConditionStatus.TIMED_OUT:
                continue
            blocked = required.status is ConditionStatus.BLOCKED
            status = ConditionStatus.BLOCKED if blocked else ConditionStatus.PENDING
            self._set(stage, now, status, f"{requirement.stage.value}: {required.reason}")
            return
        reason = self._service_pending_reason(stage, inputs)
        self._set(stage, now, ConditionStatus.PENDING if reason else ConditionStatus.READY, reason)

    def _service_pending_reason(self, stage: ReadinessStage, inputs: ReadinessInputs) -> str:
        """Return the reason why a service is not ready although its requirements are met; empty if it is."""
        if stage is ReadinessStage.LOCAL_READS and not inputs.endpoint_list_known:
            return "no server is known"
        if stage is ReadinessStage.NON_IDEMPOTENT:
            return self._non_idempotent_pending_reason(inputs)
        if stage is ReadinessStage.VOTES:
            if not inputs.exposure_window_elapsed:
                return "exposure may be spent for one window more"
            if inputs.votes_held_by:
                return f"held by {inputs.votes_held_by}"
        return ""

    def _non_idempotent_pending_reason(self, inputs: ReadinessInputs) -> str:
        reachable, required = inputs.reachable_replicas, inputs.required_replicas
        if reachable < required:
            return f"{reachable} sound holders of copies are heard, {required} are needed"
        if inputs.storage_full:
            return "the folder has reached its bound"
        if inputs.incomplete_reason and not self.retries_marked:
            return f"the record proves nothing: {inputs.incomplete_reason}; operators have to accept that"
        return ""
