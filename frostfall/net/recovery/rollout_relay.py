"""Rollout state on its way to the decision module: held back until votes may be cast."""

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
        """States are posted to `handler`."""
        self._core = core
        self._handler = handler
        self._state: api.RolloutState | None = None
        self.rolled_back_build = 0

    def restore(self, record: BuildRolledBack) -> None:
        """Take over a record of the log."""
        self.rolled_back_build = max(self.rolled_back_build, record.build)

    def records(self) -> Iterable[MetadataRecord]:
        """The metadata record that a new segment begins with."""
        if self.rolled_back_build:
            yield BuildRolledBack(self.rolled_back_build)

    def set_initial(self, state: api.RolloutState) -> None:
        """The configuration's state, which may be older than what is in the log."""
        if self._state is None and state.build > self.rolled_back_build:
            self._state = state

    def update(self, state: api.RolloutState) -> None:
        """A state of the rollout API; it is posted once votes may be cast, a reply to a vote at once."""
        if state.phase in (api.RolloutPhase.ROLLING_BACK, api.RolloutPhase.ROLLED_BACK):
            self.record_rollback(state.build)
        self._state = state
        if state.reply is not api.VoteReply.NONE or self._core.readiness.is_ready(ReadinessStage.VOTES):
            self._handler.post(state)

    def release(self) -> None:
        """Votes may be cast: post the state that was held back."""
        if self._state:
            self._handler.post(self._state)

    def record_rollback(self, build: int) -> None:
        """A build was rolled back, by the rollout API's word or a member's: append it to the log."""
        if build <= self.rolled_back_build:
            return
        self.rolled_back_build = build
        if self._core.disk.is_open and not self._core.wal.failure_reason:
            self._core.metadata.append(BuildRolledBack(build))
