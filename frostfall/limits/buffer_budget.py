"""What may wait for one reader, one source address, and all; and who leaves when it is too much.

Bytes wait in the agent's memory or in the kernel on the agent's side; both count. The rule is that of
longest-queue drop (B. Suter et al., "Design considerations for supporting TCP with per-flow queueing",
INFOCOM 1998): the one that holds most over its share goes, then the one that moves most slowly. Who moves
fast is never chosen: it will be gone from here by itself.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

import msgspec

from frostfall.limits.indexed_heap import IndexedHeap

Key = TypeVar("Key", bound=Hashable)


class BufferScope(Enum):
    """Which of the limits is passed; the value is the name of its setting."""

    CLIENT = "reader_bytes"
    SOURCE = "source_bytes"
    TOTAL = "all_bytes"


class BufferLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How many bytes may wait. ValueError where the figures do not go together."""

    reader_bytes: int = 256 * 1024
    source_bytes: int = 4 * 1024 * 1024
    all_bytes: int = 12 * 1024 * 1024
    grain_bytes: int = 4096  # amounts are compared in these, so that progress decides among near equals
    fast: float = 256 * 1024.0  # bytes a second from which a reader is never chosen
    kernel_bytes: int = 64 * 1024  # of them may wait in the kernel, on each connection

    def __post_init__(self) -> None:
        """Check that the figures go together."""
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


@dataclass(slots=True)
class _Account:
    source: str
    waiting: int = 0
    pace: float | None = None  # bytes a second, once it has been looked at


class BufferBudget(Generic[Key]):
    """The accounts of all readers; each call takes O(log n) steps in those that something waits for.

    A reader for which nothing waits has no account: most never get one.
    """

    def __init__(self, limits: BufferLimits) -> None:
        """With nothing waiting."""
        self.limits = limits
        self.buffered_bytes = 0  # bytes, for all
        self._accounts: dict[Key, _Account] = {}
        self._sources: dict[str, IndexedHeap[Key]] = {}
        self._by_source: dict[str, int] = {}
        self._ranking: IndexedHeap[Key] = IndexedHeap()

    def __len__(self) -> int:
        """How many readers something waits for."""
        return len(self._accounts)

    def buffered_for(self, key: Key) -> int:
        """The bytes that wait for one reader."""
        account = self._accounts.get(key)
        return account.waiting if account else 0

    def buffered_for_source(self, source: str) -> int:
        """The bytes that wait for the readers of one source address."""
        return self._by_source.get(source, 0)

    def update(self, key: Key, source: str, buffered_bytes: int, throughput: float | None) -> None:
        """So many bytes wait for this reader now, and it takes so many a second (None: not looked at)."""
        if buffered_bytes <= 0:
            self.release(key)
            return
        account = self._accounts.get(key)
        if account is None:
            account = self._accounts[key] = _Account(source)
            self._sources.setdefault(source, IndexedHeap())
        more = buffered_bytes - account.waiting
        account.waiting = buffered_bytes
        throughput = account.pace = account.pace if throughput is None else throughput
        self.buffered_bytes += more
        self._by_source[account.source] = self._by_source.get(account.source, 0) + more
        # Danger: by the exact amount alone, the one that goes is whoever happens to have a byte more.
        # Nor may it be one that has had no time to take them, while others had and did not.
        rank = (
            float(throughput is not None),
            float(buffered_bytes // self.limits.grain_bytes),
            -(throughput or 0.0),
        )
        for ranking in (self._ranking, self._sources[account.source]):
            if throughput is not None and throughput >= self.limits.fast:
                ranking.discard(key)
            else:
                ranking.put(key, rank)

    def release(self, key: Key) -> None:
        """Nothing waits for this reader any more."""
        account = self._accounts.pop(key, None)
        if account is None:
            return
        self.buffered_bytes -= account.waiting
        self._ranking.discard(key)
        self._sources[account.source].discard(key)
        self._by_source[account.source] -= account.waiting
        if not self._by_source[account.source]:
            del self._by_source[account.source], self._sources[account.source]

    def find_eviction(self, key: Key) -> tuple[BufferScope, Key] | None:
        """Who has to leave, and why, after this account has changed; None where all is within limits.

        The caller closes that one, which releases its account, and asks again. None too where only fast
        readers hold more than the limit: they go on, and their callers hold back new work (`full`).
        """
        account = self._accounts.get(key)
        if account is None:
            return None
        if account.waiting > self.limits.reader_bytes and (account.pace or 0.0) < self.limits.fast:
            return BufferScope.CLIENT, key
        if (
            self._by_source[account.source] > self.limits.source_bytes
            and (chosen := self._sources[account.source].first) is not None
        ):
            return BufferScope.SOURCE, chosen
        if self.buffered_bytes > self.limits.all_bytes and (chosen := self._ranking.first) is not None:
            return BufferScope.TOTAL, chosen
        return None

    @property
    def saturated(self) -> bool:
        """Whether no more should be made to wait: only readers that move fast are left to hold it."""
        return self.buffered_bytes > self.limits.all_bytes and not len(self._ranking)
