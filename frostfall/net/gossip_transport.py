"""Peers: one datagram a message."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable

import anyio
from anyio.abc import UDPSocket

from frostfall import log
from frostfall.config import Address

MAX_DATAGRAM_BYTES = 256  # bytes: the protocol's limit; a longer one voids the run
MAX_QUEUED_DATAGRAMS = 64  # datagrams: far more than a tick's; a late one is worth nothing
SOCKET_RETRY_SECONDS = 0.1  # seconds: how long the socket rests after an error

_log = log.get_logger("peers")


class GossipTransport:
    """Sends to agents by their numbers and tells what they send."""

    def __init__(
        self,
        listen: Address,
        peers: tuple[Address, ...],
        broadcast: Address | None,
        on_message: Callable[[int, str], None],
    ) -> None:
        """Listen here; agents are numbered by their place in `peers`."""
        self._listen, self._peers, self._everyone, self._told = listen, peers, broadcast, on_message
        self._numbers = {(peer.host, peer.port): number for number, peer in enumerate(peers)}
        self._queue: deque[tuple[bytes, Address]] = deque(maxlen=MAX_QUEUED_DATAGRAMS)
        self._wake = anyio.Event()

    def send(self, peer: int | None, text: str) -> None:
        """Send one message to an agent, or to all with None; what cannot be sent is dropped."""
        data = text.encode()
        target = (
            self._everyone if peer is None else (self._peers[peer] if 0 <= peer < len(self._peers) else None)
        )
        if target is None or len(data) > MAX_DATAGRAM_BYTES:
            _log.warning("message dropped", peer=peer, size=len(data))
            return
        self._queue.append((data, target))
        self._wake.set()

    async def run(self) -> None:
        """Send and receive."""
        while True:
            try:
                async with (
                    await anyio.create_udp_socket(
                        family=socket.AF_INET, local_host=self._listen.host, local_port=self._listen.port
                    ) as udp,
                    anyio.create_task_group() as group,
                ):
                    group.start_soon(self._send, udp)
                    async for data, (host, port) in udp:
                        self._receive(data, host, port)
                    group.cancel_scope.cancel()
            except Exception as error:
                _log.warning("socket failed", why=repr(error))
            await anyio.sleep(SOCKET_RETRY_SECONDS)

    def _receive(self, data: bytes, host: str, port: int) -> None:
        sender = self._numbers.get((host, port))
        if sender is None or len(data) > MAX_DATAGRAM_BYTES:
            return
        try:
            text = data.decode()
        except UnicodeDecodeError:
            return
        self._told(sender, text)

    async def _send(self, udp: UDPSocket) -> None:
        while True:
            while self._queue:
                data, target = self._queue.popleft()
                await udp.sendto(data, target.host, target.port)
            self._wake = anyio.Event()
            await self._wake.wait()
