"""Operators' commands to a member: accept a loss, hold and release votes, set a key of the register."""

from __future__ import annotations

from collections.abc import Callable

from frostfall import log
from frostfall.net.consensus import ConsensusDriver
from frostfall.net.recovery.core import MemberCore
from frostfall.net.recovery.record_completeness import RecordCompleteness
from frostfall.net.recovery.status import StatusReporter
from frostfall.net.recovery.vote_holds import VoteHoldDriver
from frostfall.net.replication import ReplicationDriver
from frostfall.protocol.member_messages import OperatorReport

# Names of the commands on the wire.
ACCEPT_LOSS = "accept"
HOLD_VOTES = "hold"
RELEASE_VOTES = "lift"
SET_KEY = "put"

_log = log.get_logger("recovery")


class OperatorCommands:
    """Executes operators' commands; every command, also an unknown one, is answered with the status."""

    def __init__(
        self,
        core: MemberCore,
        completeness: RecordCompleteness,
        vote_holds: VoteHoldDriver,
        status: StatusReporter,
        replication: ReplicationDriver | None,
        clock: Callable[[], int],
    ) -> None:
        """`clock` returns microseconds on the time base of request deadlines."""
        self._core = core
        self._completeness = completeness
        self._vote_holds = vote_holds
        self._status = status
        self._replication = replication
        self._clock = clock

    async def run(self, request_id: int, command: str, operator: str) -> OperatorReport:
        """Execute a command; report the status once the effect is durable, and so survives power loss."""
        ticket = 0
        if command == ACCEPT_LOSS and self._has_loss() and self._core.disk.is_open:
            _log.warning("record loss accepted", operator=operator, reason=self._completeness.detail)
            ticket = self._completeness.accept_loss()
        elif command in (HOLD_VOTES, RELEASE_VOTES):
            ticket = self._vote_holds.issue(operator, active=command == HOLD_VOTES)
            _log.warning("votes", order=command, who=operator)
        self._core.changed.notify()
        durable = not ticket or (self._core.disk.is_open and await self._core.disk.wait_durable(ticket))
        if command in (HOLD_VOTES, RELEASE_VOTES) and self._replication:
            await self._vote_holds.wait_replicated()
        replicated = self._vote_holds.is_replicated or not self._replication
        return OperatorReport(request_id, {**self._status.report(), "kept": durable, "copied": replicated})

    def _has_loss(self) -> bool:
        completeness = self._completeness
        return bool(completeness.reason or completeness.consensus_excluded or completeness.incomplete_owners)

    async def set_key(
        self, consensus: ConsensusDriver, request_id: int, operator: str, key: str, value: str
    ) -> OperatorReport:
        """Set a key of the register if its version is still the one known to this member."""
        _log.warning("register write requested", key=key, value=value, operator=operator)
        version = consensus.register.get(key).version
        succeeded = await consensus.compare_and_set(key, value, version, self._clock())
        return OperatorReport(request_id, {**self._status.report(), "put": succeeded})
