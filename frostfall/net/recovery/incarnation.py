"""Incarnations of this member: the previous one, with which its log ended, and the present one."""

from __future__ import annotations

from collections.abc import Iterable
from uuid import uuid4

from frostfall.membership.member_list import Incarnation
from frostfall.net.recovery.core import MemberCore
from frostfall.recovery.metadata import IncarnationStarted, MetadataRecord

TOKEN_CHARACTERS = 16  # hexadecimal digits


class IncarnationDriver:
    """Owns the previous incarnation, with which the log ended, and starts the present one."""

    def __init__(self, core: MemberCore) -> None:
        """Create a driver without a previous incarnation; log replay restores it."""
        self._core = core
        self.previous = Incarnation()  # compared by other members with their records of this member

    def restore(self, record: IncarnationStarted) -> None:
        """Restore the previous incarnation from a record of the log."""
        self.previous.number = record.incarnation
        self.previous.token = record.token

    def accept_present(self) -> None:
        """Make other members compare the present incarnation, not the previous one, with their records."""
        membership = self._core.membership
        self.previous = Incarnation(
            membership.incarnation, self._core.wal.last_durable_batch, membership.incarnation_token
        )

    def records(self) -> Iterable[MetadataRecord]:
        """Yield the metadata record that a new segment begins with, if any."""
        membership = self._core.membership
        if membership.incarnation:
            yield IncarnationStarted(membership.incarnation, membership.incarnation_token)
        elif self.previous.number:
            yield IncarnationStarted(self.previous.number, self.previous.token)

    async def run(self) -> None:
        """Start an incarnation, and a higher one whenever another member has already recorded its number."""
        membership, inputs = self._core.membership, self._core.inputs
        number = self.previous.number
        while True:
            number = max(number, membership.incarnation_floor) + 1
            token = uuid4().hex[:TOKEN_CHARACTERS]
            ticket = self._core.metadata.append(IncarnationStarted(number, token))
            await self._core.disk.wait_written(ticket)
            membership.incarnation = number
            membership.incarnation_token = token
            inputs.incarnation_durable = True
            inputs.unsettled_operations = 0
            self._core.changed.notify()
            self._core.send_heartbeats_now()
            while membership.incarnation_floor < number:
                await self._core.changed.wait()
            inputs.incarnation_durable = False
