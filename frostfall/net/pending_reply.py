"""A reply of another member that a task waits for."""

from __future__ import annotations

import anyio

from frostfall.protocol.member_messages import MemberMessage


class PendingReply:
    """Joins the callback of `MemberConnection.request` to a task that waits."""

    def __init__(self) -> None:
        """Begin without a reply."""
        self._message: MemberMessage | None = None
        self._arrived = anyio.Event()

    def resolve(self, message: MemberMessage | None) -> None:
        """Take the reply, the first one only; None where the connection was lost, or there is none."""
        if not self._arrived.is_set():
            self._message = message
            self._arrived.set()

    async def wait(self) -> MemberMessage | None:
        """Wait for the reply; None where none will come."""
        await self._arrived.wait()
        return self._message
