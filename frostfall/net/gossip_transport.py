"""Gossip between agents: one UDP datagram a message."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable

import anyio
from anyio.abc import UDPSocket

from frostfall import log
from frostfall.config import Address

MAX_DATAGRAM_BYTES = 256  # the protocol's limit
MAX_QUEUED_DATAGRAMS = 64  # far more than one tick's; a late one is worth nothing
SOCKET_RETRY_SECONDS = 0.1  # until the socket is opened again after an error

_log = log.get_logger("peers")


class GossipTransport:
    """Owns the socket; sends to agents by their numbers and reports what they send."""

    def __init__(
        self,
        listen: Address,
        peers: tuple[Address, ...],
        broadcast: Address | None,
        on_message: Callable[[int, str], None],
    ) -> None:
        """Listen at `listen`; agents are numbered by their place in `peers`."""
        self._listen = listen
        self._peers = peers
        self._broadcast = broadcast
        self._on_message = on_message
        self._numbers = {(peer.host, peer.port): number for number, peer in enumerate(peers)}
        self._queue: deque[tuple[bytes, Address]] = deque(maxlen=MAX_QUEUED_DATAGRAMS)
        self._wake = anyio.Event()

    def send(self, peer: int | None, text: str) -> None:
        """Send one message to an agent, or to all with None; what cannot be sent is dropped."""
        data = text.encode()
        target = self._target(peer)
        if target is None or len(data) > MAX_DATAGRAM_BYTES:
            _log.warning("message dropped", peer=peer, size=len(data))
            return
        self._queue.append((data, target))
        self._wake.set()

    def _target(self, peer: int | None) -> Address | None:
        if peer is None:
            return self._broadcast
        return self._peers[peer] if 0 <= peer < len(self._peers) else None

    async def run(self) -> None:
        """Send and receive, on a new socket after each failure of one."""
        while True:
            try:
                async with (
                    await anyio.create_udp_socket(
                        family=socket.AF_INET, local_host=self._listen.host, local_port=self._listen.port
                    ) as udp,
                    anyio.create_task_group() as task_group,
                ):
                    task_group.start_soon(self._send_queued, udp)
                    async for data, (host, port) in udp:
                        self._receive(data, host, port)
                    task_group.cancel_scope.cancel()
            except Exception as error:  # a task boundary: whatever failed, the next socket may work
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
        self._on_message(sender, text)

    async def _send_queued(self, udp: UDPSocket) -> None:
        while True:
            while self._queue:
                data, target = self._queue.popleft()
                await udp.sendto(data, target.host, target.port)
            self._wake = anyio.Event()
            await self._wake.wait()
