"""Streams: opened within a time, closed whatever happens, and the ways in which one ends."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
from anyio.abc import SocketStream

from frostfall.config import Address

READ_MOST = 64 * 1024  # bytes: what one read takes at most
CONNECT_TIMEOUT = 1.0  # seconds: a service that is cut off never accepts; appliances have settings
ENDED = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)


class Sockets:
    """The descriptors that clients and appliances share."""

    def __init__(self, most: int) -> None:
        """So many at most."""
        self.most, self.used = most, 0

    @property
    def full(self) -> bool:
        """Whether another needs one of these closed first."""
        return self.used >= self.most


class BackOff:
    """Rests between tries that fail: doubling, with jitter, from the first again after one that went well."""

    def __init__(self, first: float, most: float) -> None:
        """Rest for so many seconds at first, and at most."""
        self._first, self._most, self._wait = first, most, first

    async def rest(self, went_well: bool) -> None:
        """Rest before the next try."""
        self._wait = self._first if went_well else min(self._wait * 2, self._most)
        await anyio.sleep(self._wait * random.uniform(0.5, 1.0))


async def close(stream: SocketStream) -> None:
    """Close it now, whatever happens to the caller."""
    with anyio.CancelScope(shield=True):
        await stream.aclose()


@asynccontextmanager
async def connected(address: Address) -> AsyncIterator[SocketStream]:
    """A connection for as long as the block lasts; TimeoutError where none comes up."""
    with anyio.fail_after(CONNECT_TIMEOUT):
        stream = await anyio.connect_tcp(address.host, address.port)
    try:
        yield stream
    finally:
        await close(stream)
