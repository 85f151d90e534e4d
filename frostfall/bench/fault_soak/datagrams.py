"""A relay of datagrams between agents, which drops, duplicates or delays some of them."""

from __future__ import annotations

import random
import socket
from contextlib import suppress

import anyio
from anyio.abc import TaskGroup

from frostfall.bench.fault_soak.thundering_herd import DatagramFaults
from frostfall.config import Address

HOST = "127.0.0.1"
MAX_BYTES = 2048  # of a datagram, far above the size of an agent's messages


class DatagramRelay:
    """Relays datagrams by one socket for each agent, whose address the other agents use."""

    def __init__(
        self, faults: DatagramFaults, source: random.Random, listening: list[Address], group: TaskGroup
    ) -> None:
        """Relay between the agents at `listening` with tasks of `group`; `source` draws the faults."""
        self._faults = faults
        self._random = source
        self._listening = listening
        self._numbers = {address: number for number, address in enumerate(listening)}
        self._sockets = [_open_socket() for _ in listening]
        self._group = group
        for receiver in range(len(listening)):
            group.start_soon(self._serve, receiver)

    @property
    def addresses(self) -> list[Address]:
        """The addresses at which the relay receives datagrams for the agents."""
        return [Address(*each.getsockname()) for each in self._sockets]

    async def _serve(self, receiver: int) -> None:
        """Relay the datagrams that are sent to one agent."""
        with self._sockets[receiver] as own:
            while True:
                await anyio.wait_readable(own)
                with suppress(BlockingIOError, ConnectionError):  # a stopped agent refuses datagrams
                    while True:  # read all, so that a busy relay does not delay every datagram
                        data, source = own.recvfrom(MAX_BYTES)
                        self._pass_on(self._numbers.get(Address(*source)), receiver, data)

    def _pass_on(self, sender: int | None, receiver: int, data: bytes) -> None:
        if sender is None or sender == self._faults.silent_agent:
            return
        if self._random.random() < self._faults.lost_share:
            return
        copies = 2 if self._random.random() < self._faults.duplicated_share else 1
        is_late = self._random.random() < self._faults.late_share
        for _ in range(copies):
            if is_late:
                self._group.start_soon(self._send_late, sender, receiver, data)
            else:
                self._send(sender, receiver, data)

    async def _send_late(self, sender: int, receiver: int, data: bytes) -> None:
        await anyio.sleep(self._faults.late_seconds)
        self._send(sender, receiver, data)

    def _send(self, sender: int, receiver: int, data: bytes) -> None:
        target = self._listening[receiver]
        with suppress(BlockingIOError, ConnectionError):  # the datagram counts as lost
            self._sockets[sender].sendto(data, (target.host, target.port))


def _open_socket() -> socket.socket:
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    opened.bind((HOST, 0))
    return opened
