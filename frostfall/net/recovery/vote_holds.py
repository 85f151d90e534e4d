"""Operators' holds on votes for builds, replicated to the other members."""

from __future__ import annotations

from collections.abc import Iterable

import anyio

from frostfall import log
from frostfall.net.recovery.core import MemberCore
from frostfall.protocol.member_messages import Heartbeat
from frostfall.recovery.metadata import MetadataRecord, VoteHold
from frostfall.replication.operator_holds import NO_HOLD, OperatorHold, OperatorHolds

MAX_REPLICATION_WAIT = 1.0  # seconds for which a command waits until other members have recorded a hold

_log = log.get_logger("recovery")


class VoteHoldDriver:
    """Owns this member's hold and the holds that it has recorded for other members."""

    def __init__(self, core: MemberCore) -> None:
        """Create a driver without holds; log replay restores them."""
        self._core = core
        self._holds = OperatorHolds(frozenset(core.membership.peers))

    @property
    def own_hold(self) -> OperatorHold:
        """Return the hold of this member."""
        return self._holds.own_hold

    @property
    def is_replicated(self) -> bool:
        """Return whether the own hold survives the loss of this member's disk."""
        return self._holds.is_replicated

    def recorded_hold(self, member: str) -> OperatorHold:
        """Return another member's hold as recorded in this member's log."""
        return self._holds.peer_holds.get(member, NO_HOLD)

    def restore(self, record: VoteHold) -> None:
        """Restore a hold from a record of the log."""
        operator = record.operator if record.active else ""
        self._holds.restore(record.member, OperatorHold(record.serial, operator))
        self._core.inputs.votes_held_by = self._holds.own_hold.operator

    def records(self) -> Iterable[MetadataRecord]:
        """Yield the metadata records that a new segment begins with."""
        for member, (serial, operator) in self._holds.items():
            yield VoteHold(operator, bool(operator), serial, member)

    def issue(self, operator: str, *, active: bool) -> int:
        """Set a hold of `operator` if `active`, otherwise lift the hold; return the log ticket."""
        serial, self._core.inputs.votes_held_by = self._holds.issue(operator if active else "")
        return self._core.metadata.append(VoteHold(operator, active, serial))

    def merge(self, heartbeat: Heartbeat) -> None:
        """Merge the sender's hold, and the hold that the sender has recorded for this member."""
        if not self._core.disk.is_open:
            return
        newer_peer_hold, newer_own_hold = self._holds.merge_heartbeat(
            heartbeat.sender,
            OperatorHold(*heartbeat.operator_hold),
            OperatorHold(*heartbeat.recorded_operator_hold),
        )
        if newer_own_hold:
            self._core.inputs.votes_held_by = newer_own_hold.operator
            self._core.metadata.append(
                VoteHold(newer_own_hold.operator, bool(newer_own_hold.operator), newer_own_hold.serial)
            )
            _log.warning("votes", order="as others know it", who=newer_own_hold.operator)
        if newer_peer_hold:
            self._record_peer_hold(heartbeat.sender, newer_peer_hold)

    def _record_peer_hold(self, member: str, hold: OperatorHold) -> None:
        record = VoteHold(hold.operator, bool(hold.operator), hold.serial, member)
        ticket = self._core.metadata.append(record)
        self._core.disk.when_written(ticket, lambda: self._holds.restore(member, hold))

    async def wait_replicated(self) -> None:
        """Wait until enough members have recorded the own hold, for at most MAX_REPLICATION_WAIT."""
        self._core.send_heartbeats_now()
        with anyio.move_on_after(MAX_REPLICATION_WAIT):
            while not self._holds.is_replicated:
                await anyio.sleep(self._core.options.turns.every / 4)
