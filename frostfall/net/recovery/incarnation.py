"""The incarnation of this member: the one that its log ended with, and the one it begins."""

from __future__ import annotations

from collections.abc import Iterable
from uuid import uuid4

from frostfall.membership.member_list import Incarnation
from frostfall.net.recovery.core import MemberCore
from frostfall.recovery.metadata import IncarnationStarted, MetadataRecord

TOKEN_CHARACTERS = 16  # hexadecimal digits


class IncarnationDriver:
    """Owns the incarnation that the log ended with, and begins the present one."""

    def __init__(self, core: MemberCore) -> None:
        """Nothing has been replayed yet."""
        self._core = core
        self.previous = Incarnation()  # what other members compare with what they have recorded

    def restore(self, record: IncarnationStarted) -> None:
        """Take over a record of the log."""
        self.previous.number = record.incarnation
        self.previous.token = record.token

    def accept_present(self) -> None:
        """From now on, the present incarnation is the one that other members compare with theirs."""
        membership = self._core.membership
        self.previous = Incarnation(
            membership.incarnation, self._core.wal.last_durable_batch, membership.incarnation_token
        )

    def records(self) -> Iterable[MetadataRecord]:
        """The metadata record that a new segment begins with."""
        membership = self._core.membership
        if membership.incarnation:
            yield IncarnationStarted(membership.incarnation, membership.incarnation_token)
        elif self.previous.number:
            yield IncarnationStarted(self.previous.number, self.previous.token)

    async def run(self) -> None:
        """Begin an incarnation, and a higher one whenever other members have seen its number before."""
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
