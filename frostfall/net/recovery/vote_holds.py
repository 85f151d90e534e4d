"""Operators' holds on votes for builds, replicated to the other members."""

from __future__ import annotations

from collections.abc import Iterable

import anyio

from frostfall import log
from frostfall.net.recovery.core import MemberCore
from frostfall.protocol.member_messages import Heartbeat
from frostfall.recovery.metadata import MetadataRecord, VoteHold
from frostfall.replication.operator_holds import NO_HOLD, OperatorHold, OperatorHolds

MAX_REPLICATION_WAIT = 1.0  # seconds that an operator waits for other members to record a hold

_log = log.get_logger("recovery")


class VoteHoldDriver:
    """Owns the holds of this member and what it has recorded of others'."""

    def __init__(self, core: MemberCore) -> None:
        """There are no holds yet."""
        self._core = core
        self._holds = OperatorHolds(frozenset(core.membership.peers))

    @property
    def own_hold(self) -> OperatorHold:
        """Hold of this member."""
        return self._holds.own_hold

    @property
    def is_replicated(self) -> bool:
        """Whether the own hold outlives this member's disk."""
        return self._holds.is_replicated

    def recorded_hold(self, member: str) -> OperatorHold:
        """Another member's hold, as it is in the log here."""
        return self._holds.peer_holds.get(member, NO_HOLD)

    def restore(self, record: VoteHold) -> None:
        """Take over a record of the log."""
        operator = record.operator if record.active else ""
        self._holds.restore(record.member, OperatorHold(record.serial, operator))
        self._core.inputs.votes_held_by = self._holds.own_hold.operator

    def records(self) -> Iterable[MetadataRecord]:
        """The metadata records that a new segment begins with."""
        for member, (serial, operator) in self._holds.items():
            yield VoteHold(operator, bool(operator), serial, member)

    def issue(self, operator: str, *, active: bool) -> int:
        """An operator holds votes or releases them; return the log ticket."""
        serial, self._core.inputs.votes_held_by = self._holds.issue(operator if active else "")
        return self._core.metadata.append(VoteHold(operator, active, serial))

    def merge(self, heartbeat: Heartbeat) -> None:
        """Take over what a member tells of its own hold and of this member's."""
        if not self._core.disk.is_open:
            return
        theirs, mine = self._holds.merge_heartbeat(
            heartbeat.sender,
            OperatorHold(*heartbeat.operator_hold),
            OperatorHold(*heartbeat.recorded_operator_hold),
        )
        if mine:
            self._core.inputs.votes_held_by = mine.operator
            self._core.metadata.append(VoteHold(mine.operator, bool(mine.operator), mine.serial))
            _log.warning("votes", order="as others know it", who=mine.operator)
        if theirs:
            self._record_peer_hold(heartbeat.sender, theirs)

    def _record_peer_hold(self, member: str, hold: OperatorHold) -> None:
        record = VoteHold(hold.operator, bool(hold.operator), hold.serial, member)
        ticket = self._core.metadata.append(record)
        self._core.disk.when_written(ticket, lambda: self._holds.restore(member, hold))

    async def wait_replicated(self) -> None:
        """Wait a moment for the other members to record the own hold."""
        self._core.send_heartbeats_now()
        with anyio.move_on_after(MAX_REPLICATION_WAIT):
            while not self._holds.is_replicated:
                await anyio.sleep(self._core.options.turns.every / 4)
