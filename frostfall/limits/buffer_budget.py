"""Limits on buffered bytes per client, per source address and in total, and the choice of clients to evict.

Bytes in the agent's memory and in the kernel's send buffers both count. The policy is longest-queue drop
(B. Suter et al., "Design considerations for supporting TCP with per-flow queueing", INFOCOM 1998): the
client with the most buffered bytes is evicted, and among equals the slowest reader. A client that reads fast
is never evicted, as its buffers will drain without intervention.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum
from typing import Generic, NamedTuple, TypeVar

import msgspec

from frostfall.limits.indexed_heap import IndexedHeap

Key = TypeVar("Key", bound=Hashable)


class BufferScope(Enum):
    """The limit that is exceeded; the value is the name of its setting."""

    CLIENT = "reader_bytes"
    SOURCE = "source_bytes"
    TOTAL = "all_bytes"


class BufferLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `waiting` of the operator file. Raises ValueError for inconsistent values."""

    reader_bytes: int = 256 * 1024  # for one client
    source_bytes: int = 4 * 1024 * 1024  # for all clients of one source address
    all_bytes: int = 12 * 1024 * 1024  # for all clients
    grain_bytes: int = 4096  # unit in which amounts are compared, so that throughput breaks near ties
    fast: float = 256 * 1024.0  # throughput in bytes per second from which a client is never evicted
    kernel_bytes: int = 64 * 1024  # for one client in the kernel's send buffer

    def __post_init__(self) -> None:
        """Check the ranges, and that no limit exceeds the next wider one."""
        for key in ("reader_bytes", "source_bytes", "all_bytes", "grain_bytes", "fast", "kernel_bytes"):
            if getattr(self, key) <= 0:
                raise ValueError(f"{key}: {getattr(self, key):g} is not above 0")
        for lower, upper in (
            ("kernel_bytes", "reader_bytes"),
            ("reader_bytes", "source_bytes"),
            ("source_bytes", "all_bytes"),
        ):
            if getattr(self, lower) > getattr(self, upper):
                raise ValueError(f"{lower}: {getattr(self, lower)} is over {upper}, {getattr(self, upper)}")


class BufferEviction(NamedTuple, Generic[Key]):
    """A client to evict, and the limit that is exceeded."""

    scope: BufferScope
    key: Key


@dataclass(slots=True)
class _Account:
    source: str
    buffered_bytes: int = 0
    throughput: float | None = None  # bytes per second; None before the first measurement


class BufferBudget(Generic[Key]):
    """Buffered bytes by client; each call takes O(log n) steps for n clients with buffered bytes.

    A client without buffered bytes has no account, and most clients never get one.
    """

    def __init__(self, limits: BufferLimits) -> None:
        """Begin with nothing buffered."""
        self.limits = limits
        self.buffered_bytes = 0  # total for all clients
        self._accounts: dict[Key, _Account] = {}
        self._bytes_by_source: dict[str, int] = {}
        # Clients that may be evicted, with the next one on top.
        self._candidates: IndexedHeap[Key] = IndexedHeap()
        self._candidates_by_source: dict[str, IndexedHeap[Key]] = {}

    def __len__(self) -> int:
        """The number of clients with buffered bytes."""
        return len(self._accounts)

    def buffered_for(self, key: Key) -> int:
        """Return the bytes buffered for one client."""
        account = self._accounts.get(key)
        return account.buffered_bytes if account else 0

    def buffered_for_source(self, source: str) -> int:
        """Return the bytes buffered for the clients of one source address."""
        return self._bytes_by_source.get(source, 0)

    def update(self, key: Key, source: str, buffered_bytes: int, throughput: float | None) -> None:
        """Set a client's buffered bytes, and its throughput in bytes per second unless that is None."""
        if buffered_bytes <= 0:
            self.release(key)
            return
        account = self._accounts.get(key)
        if account is None:
            account = self._accounts[key] = _Account(source)
            self._candidates_by_source.setdefault(source, IndexedHeap())
        added = buffered_bytes - account.buffered_bytes
        account.buffered_bytes = buffered_bytes
        if throughput is not None:
            account.throughput = throughput
        self.buffered_bytes += added
        self._bytes_by_source[account.source] = self._bytes_by_source.get(account.source, 0) + added
        self._rank(key, account)

    def _rank(self, key: Key, account: _Account) -> None:
        throughput = account.throughput
        candidates = (self._candidates, self._candidates_by_source[account.source])
        if throughput is not None and throughput >= self.limits.fast:
            for heap in candidates:
                heap.discard(key)
            return
        # Clients with a measured throughput are evicted before those that have had no time to read. Amounts
        # are compared in units of grain_bytes, otherwise a difference of one byte would decide.
        priority = (
            float(throughput is not None),
            float(account.buffered_bytes // self.limits.grain_bytes),
            -(throughput or 0.0),
        )
        for heap in candidates:
            heap.put(key, priority)

    def release(self, key: Key) -> None:
        """Delete a client's account, as nothing is buffered for the client any more."""
        account = self._accounts.pop(key, None)
        if account is None:
            return
        source = account.source
        self.buffered_bytes -= account.buffered_bytes
        self._candidates.discard(key)
        self._candidates_by_source[source].discard(key)
        self._bytes_by_source[source] -= account.buffered_bytes
        if not self._bytes_by_source[source]:
            del self._bytes_by_source[source]
            del self._candidates_by_source[source]

    def find_eviction(self, key: Key) -> BufferEviction[Key] | None:
        """Return the client to evict after an update of `key`; None if no limit is exceeded.

        The caller closes that client's connection, which releases the account, and calls again. Also None if
        only fast readers exceed a limit: these continue, and new work is deferred (see `saturated`).
        """
        account = self._accounts.get(key)
        if account is None:
            return None
        limits = self.limits
        if account.buffered_bytes > limits.reader_bytes and (account.throughput or 0.0) < limits.fast:
            return BufferEviction(BufferScope.CLIENT, key)
        if self._bytes_by_source[account.source] > limits.source_bytes:
            chosen = self._candidates_by_source[account.source].first
            if chosen is not None:
                return BufferEviction(BufferScope.SOURCE, chosen)
        if self.buffered_bytes > limits.all_bytes:
            chosen = self._candidates.first
            if chosen is not None:
                return BufferEviction(BufferScope.TOTAL, chosen)
        return None

    @property
    def saturated(self) -> bool:
        """Return whether to buffer nothing more: fast readers alone exceed the total limit."""
        return self.buffered_bytes > self.limits.all_bytes and not len(self._candidates)
