"""Evaluates readiness after each change of its inputs, and acts on stages that become ready."""

from __future__ import annotations

import anyio

from frostfall import log
from frostfall.net.operations import RequestHandler
from frostfall.net.recovery.core import MemberCore
from frostfall.net.recovery.endpoint_cache import EndpointCache
from frostfall.net.recovery.record_completeness import RecordCompleteness
from frostfall.net.recovery.rollout_relay import RolloutRelay
from frostfall.net.replication import ReplicationDriver
from frostfall.recovery.readiness import ReadinessStage

MAX_EVALUATION_INTERVAL = 0.1  # seconds between two evaluations without a change

_log = log.get_logger("recovery")


class ReadinessDriver:
    """Updates the readiness inputs of one member, and owns the start time from which timeouts count."""

    def __init__(
        self,
        core: MemberCore,
        handler: RequestHandler,
        completeness: RecordCompleteness,
        endpoints: EndpointCache,
        rollout: RolloutRelay,
        replication: ReplicationDriver | None,
        exposure_window: float,
    ) -> None:
        """Start the clock of the startup timeouts.

        `exposure_window` is the time in seconds for which attempts sent to a canary before the start still
        count as exposure.
        """
        self._core = core
        self._handler = handler
        self._completeness = completeness
        self._endpoints = endpoints
        self._rollout = rollout
        self._replication = replication
        self._exposure_window = exposure_window
        self._degradation_reported = False
        self._started_at = core.monotonic_clock()

    def restart_clock(self) -> None:
        """Restart the clock from which startup timeouts count."""
        self._started_at = self._core.monotonic_clock()

    async def run(self) -> None:
        """Evaluate readiness on every change until cancelled."""
        while True:
            self._core.changed.rearm()
            self._evaluate()
            with anyio.move_on_after(MAX_EVALUATION_INTERVAL):
                await self._core.changed.wait()

    def _evaluate(self) -> None:
        now = self._core.monotonic_clock() - self._started_at
        self._update_inputs(now)
        for stage in self._core.readiness.evaluate(now, self._core.inputs):
            condition = self._core.readiness.conditions[stage]
            _log.info(
                "gate",
                gate=stage.value,
                stand=condition.status.value,
                why=condition.reason,
                after_s=round(now, 3),
            )
            if self._core.readiness.is_ready(stage):
                self._act_on_ready(stage)

    def _act_on_ready(self, stage: ReadinessStage) -> None:
        if stage is ReadinessStage.READS and not self._core.inputs.endpoint_list_received:
            self._endpoints.publish_unconfirmed()
        elif stage is ReadinessStage.VOTES:
            self._rollout.release()

    def _update_inputs(self, now: float) -> None:
        inputs, membership, wal = self._core.inputs, self._core.membership, self._core.wal
        inputs.storage_fault = wal.failure_reason
        inputs.storage_full = wal.is_full
        inputs.acknowledging_members = membership.acknowledgement_count
        alive = set(membership.alive)
        inputs.silent_members = tuple(name for name in membership.peers if name not in alive)
        inputs.exposure_window_elapsed = now >= self._exposure_window
        self._update_replicas()
        inputs.contesting_incarnation = membership.contested_incarnation
        self._stop_if_superseded()
        self._completeness.report_majority_loss()

    def _update_replicas(self) -> None:
        if self._replication is None:
            return
        inputs = self._core.inputs
        inputs.reachable_replicas, inputs.required_replicas = self._replication.holder_counts
        if self._replication.is_degraded != self._degradation_reported:
            self._degradation_reported = self._replication.is_degraded
            _log.warning("copies", fewer=self._degradation_reported, holders=inputs.reachable_replicas)

    def _stop_if_superseded(self) -> None:
        inputs, superseded_by = self._core.inputs, self._core.membership.superseded_by
        if superseded_by and not inputs.superseded_reason:
            inputs.superseded_reason = f"life {superseded_by} of this member has begun elsewhere"
            _log.error("incarnation superseded", reason=inputs.superseded_reason)
            self._handler.stop()
