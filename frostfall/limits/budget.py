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

from frostfall.limits.ranking import Ranking

Name = TypeVar("Name", bound=Hashable)


class Scope(Enum):
    """Which of the limits is passed; the value is the name of its setting."""

    READER = "reader_bytes"
    SOURCE = "source_bytes"
    ALL = "all_bytes"


class Allowance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
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


class Budget(Generic[Name]):
    """The accounts of all readers; each call takes O(log n) steps in those that something waits for.

    A reader for which nothing waits has no account: most never get one.
    """

    def __init__(self, allowance: Allowance) -> None:
        """With nothing waiting."""
        self.allowance = allowance
        self.waiting = 0  # bytes, for all
        self._accounts: dict[Name, _Account] = {}
        self._sources: dict[str, Ranking[Name]] = {}
        self._by_source: dict[str, int] = {}
        self._ranking: Ranking[Name] = Ranking()

    def __len__(self) -> int:
        """How many readers something waits for."""
        return len(self._accounts)

    def of(self, name: Name) -> int:
        """The bytes that wait for one reader."""
        account = self._accounts.get(name)
        return account.waiting if account else 0

    def of_source(self, source: str) -> int:
        """The bytes that wait for the readers of one source address."""
        return self._by_source.get(source, 0)

    def hold(self, name: Name, source: str, waiting: int, pace: float | None) -> None:
        """So many bytes wait for this reader now, and it takes so many a second (None: not looked at)."""
        if waiting <= 0:
            self.release(name)
            return
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = _Account(source)
            self._sources.setdefault(source, Ranking())
        more = waiting - account.waiting
        account.waiting = waiting
        pace = account.pace = account.pace if pace is None else pace
        self.waiting += more
        self._by_source[account.source] = self._by_source.get(account.source, 0) + more
        # Danger: by the exact amount alone, the one that goes is whoever happens to have a byte more.
        # Nor may it be one that has had no time to take them, while others had and did not.
        rank = (float(pace is not None), float(waiting // self.allowance.grain_bytes), -(pace or 0.0))
        for ranking in (self._ranking, self._sources[account.source]):
            if pace is not None and pace >= self.allowance.fast:
                ranking.drop(name)
            else:
                ranking.put(name, rank)

    def release(self, name: Name) -> None:
        """Nothing waits for this reader any more."""
        account = self._accounts.pop(name, None)
        if account is None:
            return
        self.waiting -= account.waiting
        self._ranking.drop(name)
        self._sources[account.source].drop(name)
        self._by_source[account.source] -= account.waiting
        if not self._by_source[account.source]:
            del self._by_source[account.source], self._sources[account.source]

    def excess(self, name: Name) -> tuple[Scope, Name] | None:
        """Who has to leave, and why, after this account has changed; None where all is within limits.

        The caller closes that one, which releases its account, and asks again. None too where only fast
        readers hold more than the limit: they go on, and their callers hold back new work (`full`).
        """
        account = self._accounts.get(name)
        if account is None:
            return None
        if account.waiting > self.allowance.reader_bytes and (account.pace or 0.0) < self.allowance.fast:
            return Scope.READER, name
        if (
            self._by_source[account.source] > self.allowance.source_bytes
            and (chosen := self._sources[account.source].first) is not None
        ):
            return Scope.SOURCE, chosen
        if self.waiting > self.allowance.all_bytes and (chosen := self._ranking.first) is not None:
            return Scope.ALL, chosen
        return None

    @property
    def full(self) -> bool:
        """Whether no more should be made to wait: only readers that move fast are left to hold it."""
        return self.waiting > self.allowance.all_bytes and not len(self._ranking)
