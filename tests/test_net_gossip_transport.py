"""Tests of the transport of gossip datagrams between agents."""

from __future__ import annotations

import socket

import anyio
import pytest

from frostfall.config import Address
from frostfall.net.gossip_transport import MAX_DATAGRAM_BYTES, GossipTransport
from tests.standins import TEST_TIMEOUT_SECONDS, free_port

pytestmark = pytest.mark.anyio


async def test_valid_messages_of_peers_arrive_and_other_datagrams_are_ignored() -> None:
    addresses = tuple(Address("127.0.0.1", free_port()) for _ in range(3))
    received, changed = list[tuple[int, str]](), anyio.Event()

    def record_message(sender: int, text: str) -> None:
        received.append((sender, text))
        changed.set()

    receiver = GossipTransport(addresses[0], addresses[:2], None, record_message)
    sender = GossipTransport(addresses[1], addresses[:2], addresses[0], lambda *_: None)
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unknown_socket,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer_socket,
    ):
        peer_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        peer_socket.bind((addresses[1].host, addresses[1].port))
        async with anyio.create_task_group() as group:
            group.start_soon(receiver.run)
            await anyio.wait_all_tasks_blocked()
            target = (addresses[0].host, addresses[0].port)
            unknown_socket.sendto(b"foreign", target)
            peer_socket.sendto(b"x" * (MAX_DATAGRAM_BYTES + 1), target)
            peer_socket.sendto(b"\xff\xfe", target)
            peer_socket.close()
            group.start_soon(sender.run)
            sender.send(0, "one")
            sender.send(None, "all")
            sender.send(7, "nobody")
            sender.send(0, "x" * (MAX_DATAGRAM_BYTES + 1))
            sender.send(0, "last")
            with anyio.fail_after(TEST_TIMEOUT_SECONDS):
                while len(received) < 3:
                    changed = anyio.Event()
                    await changed.wait()
            group.cancel_scope.cancel()
    assert received == [(1, "one"), (1, "all"), (1, "last")]
