"""Budgets of buffered bytes for one client, one source address and all, and who is evicted above them.

Bytes in the agent's memory and in the kernel's send buffers both count. The rule is longest-queue drop
(B. Suter et al., "Design considerations for supporting TCP with per-flow queueing", INFOCOM 1998): the
client with most buffered bytes is evicted, among equals the one that reads most slowly. A client that reads
fast is never chosen, as its buffers drain by themselves.
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
    """Which limit is exceeded; the value is the name of its setting."""

    CLIENT = "reader_bytes"
    SOURCE = "source_bytes"
    TOTAL = "all_bytes"


class BufferLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The section `waiting` of the operator file. ValueError where the values do not fit together."""

    reader_bytes: int = 256 * 1024  # for one client
    source_bytes: int = 4 * 1024 * 1024  # for all clients of one source address
    all_bytes: int = 12 * 1024 * 1024  # for all clients
    grain_bytes: int = 4096  # amounts are compared in these units, so that throughput decides near equals
    fast: float = 256 * 1024.0  # bytes a second from which a client is never evicted
    kernel_bytes: int = 64 * 1024  # of a client's, in the kernel's send buffer

    def __post_init__(self) -> None:
        """Check that the values fit together."""
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
    """A client to be evicted, and the limit that is exceeded."""

    scope: BufferScope
    key: Key


@dataclass(slots=True)
class _Account:
    source: str
    buffered_bytes: int = 0
    throughput: float | None = None  # bytes a second; None until it is first measured


class BufferBudget(Generic[Key]):
    """Buffered bytes by client; each call takes O(log n) steps in the number of clients with any.

    A client without buffered bytes has no account, and most never get one.
    """

    def __init__(self, limits: BufferLimits) -> None:
        """Begin with nothing buffered."""
        self.limits = limits
        self.buffered_bytes = 0  # for all clients
        self._accounts: dict[Key, _Account] = {}
        self._bytes_by_source: dict[str, int] = {}
        # Clients that may be evicted, the first to go on top.
        self._candidates: IndexedHeap[Key] = IndexedHeap()
        self._candidates_by_source: dict[str, IndexedHeap[Key]] = {}

    def __len__(self) -> int:
        """The number of clients with buffered bytes."""
        return len(self._accounts)

    def buffered_for(self, key: Key) -> int:
        """The bytes buffered for one client."""
        account = self._accounts.get(key)
        return account.buffered_bytes if account else 0

    def buffered_for_source(self, source: str) -> int:
        """The bytes buffered for the clients of one source address."""
        return self._bytes_by_source.get(source, 0)

    def update(self, key: Key, source: str, buffered_bytes: int, throughput: float | None) -> None:
        """Set a client's buffered bytes, and its throughput in bytes a second (None: not measured now)."""
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
        # A client that has had no time to read goes after all that had and did not. Amounts are compared in
        # grains, or a difference of one byte would decide.
        priority = (
            float(throughput is not None),
            float(account.buffered_bytes // self.limits.grain_bytes),
            -(throughput or 0.0),
        )
        for heap in candidates:
            heap.put(key, priority)

    def release(self, key: Key) -> None:
        """Drop a client's account: nothing is buffered for it any more."""
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
        """The client to evict after an update of `key`; None where no limit is exceeded.

        The caller closes that client, which releases its account, and calls again. None too where only fast
        readers are above a limit: they continue, and new work is held back (`saturated`).
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
        """Whether no more should be buffered: the total is exceeded and only fast readers hold it."""
        return self.buffered_bytes > self.limits.all_bytes and not len(self._candidates)
