"""A reply from another member that a task awaits."""

from __future__ import annotations

import anyio

from frostfall.protocol.member_messages import MemberMessage


class PendingReply:
    """Passes the reply from the callback of `MemberConnection.request` to a waiting task."""

    def __init__(self) -> None:
        """Start without a reply."""
        self._message: MemberMessage | None = None
        self._received = anyio.Event()

    def resolve(self, message: MemberMessage | None) -> None:
        """Set the reply and ignore later ones; None if the connection was lost or no reply will follow."""
        if not self._received.is_set():
            self._message = message
            self._received.set()

    async def wait(self) -> MemberMessage | None:
        """Wait for the reply; None if none will arrive."""
        await self._received.wait()
        return self._message
