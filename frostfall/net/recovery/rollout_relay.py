"""Relays the rollout state to the decision module once votes may be cast."""

from __future__ import annotations

from collections.abc import Iterable

from frostfall import interface as api
from frostfall.net.operations import RequestHandler
from frostfall.net.recovery.core import MemberCore
from frostfall.recovery.metadata import BuildRolledBack, MetadataRecord
from frostfall.recovery.readiness import ReadinessStage


class RolloutRelay:
    """Owns the newest rollout state and the highest build that was rolled back."""

    def __init__(self, core: MemberCore, handler: RequestHandler) -> None:
        """Post states to `handler`."""
        self._core = core
        self._handler = handler
        self._state: api.RolloutState | None = None
        self.rolled_back_build = 0

    def restore(self, record: BuildRolledBack) -> None:
        """Restore the highest rolled-back build from a record of the log."""
        self.rolled_back_build = max(self.rolled_back_build, record.build)

    def records(self) -> Iterable[MetadataRecord]:
        """Yield the metadata record that a new segment begins with, if any."""
        if self.rolled_back_build:
            yield BuildRolledBack(self.rolled_back_build)

    def set_initial(self, state: api.RolloutState) -> None:
        """Set the state of the configuration unless a newer state exists or the build was rolled back."""
        if self._state is None and state.build > self.rolled_back_build:
            self._state = state

    def update(self, state: api.RolloutState) -> None:
        """Process a state of the rollout API.

        A reply to a vote is posted at once, any other state once votes may be cast.
        """
        if state.phase in (api.RolloutPhase.ROLLING_BACK, api.RolloutPhase.ROLLED_BACK):
            self.record_rollback(state.build)
        self._state = state
        if state.reply is not api.VoteReply.NONE or self._core.readiness.is_ready(ReadinessStage.VOTES):
            self._handler.post(state)

    def release(self) -> None:
        """Post the latest state, as votes may be cast now."""
        if self._state:
            self._handler.post(self._state)

    def record_rollback(self, build: int) -> None:
        """Record in the log that a build was rolled back, as reported by the rollout API or a member."""
        if build <= self.rolled_back_build:
            return
        self.rolled_back_build = build
        if self._core.disk.is_open and not self._core.wal.failure_reason:
            self._core.metadata.append(BuildRolledBack(build))
