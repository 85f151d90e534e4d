"""Transport of gossip between agents, with one UDP datagram per message."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable

import anyio
from anyio.abc import UDPSocket

from frostfall import log
from frostfall.config import Address

MAX_DATAGRAM_BYTES = 256  # limit of the gossip protocol
# Far more than one tick sends; the oldest are dropped, as late messages are useless.
MAX_QUEUED_DATAGRAMS = 64
SOCKET_RETRY_SECONDS = 0.1  # delay before the socket is reopened after an error

_log = log.get_logger("peers")


class GossipTransport:
    """Owns the UDP socket, sends messages to agents by number, and passes on received messages."""

    def __init__(
        self,
        listen: Address,
        peers: tuple[Address, ...],
        broadcast: Address | None,
        on_message: Callable[[int, str], None],
    ) -> None:
        """Create a transport that binds to `listen`; agents are numbered by their index in `peers`."""
        self._listen = listen
        self._peers = peers
        self._broadcast = broadcast
        self._on_message = on_message
        self._numbers = {(peer.host, peer.port): number for number, peer in enumerate(peers)}
        self._queue: deque[tuple[bytes, Address]] = deque(maxlen=MAX_QUEUED_DATAGRAMS)
        self._wake = anyio.Event()

    def send(self, peer: int | None, text: str) -> None:
        """Queue a message to an agent, or to the broadcast address if `peer` is None.

        A message that is too long or has no valid receiver is dropped.
        """
        data = text.encode()
        target = self._target(peer)
        if target is None or len(data) > MAX_DATAGRAM_BYTES:
            _log.warning("gossip message dropped", peer=peer, size=len(data))
            return
        self._queue.append((data, target))
        self._wake.set()

    def _target(self, peer: int | None) -> Address | None:
        if peer is None:
            return self._broadcast
        return self._peers[peer] if 0 <= peer < len(self._peers) else None

    async def run(self) -> None:
        """Send and receive until cancelled, reopening the socket after each failure."""
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
            except Exception as error:  # task boundary: reopen the socket after any failure
                _log.warning("gossip socket failed", why=repr(error))
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
