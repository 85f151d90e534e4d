"""A crowd at discovery, drawn from a seed: servers change in an outage, then many agents restart at once."""

from __future__ import annotations

import random
from dataclasses import dataclass

MIN_SECONDS = 16.0  # of the schedule, so that changes of the outage count as known before its end
OUTAGE_AT_SECONDS = 2.0
RESTARTED_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class ServerChange:
    """A server that drains during the outage and is removed; times are seconds of the schedule."""

    server: int
    at: float
    returns_after: float | None  # seconds after its removal, with a newer build; None: it stays away


@dataclass(frozen=True, slots=True)
class DatagramFaults:
    """What happens to datagrams between agents; shares are of all datagrams."""

    lost_share: float = 0.0
    doubled_share: float = 0.0
    late_share: float = 0.0
    late_seconds: float = 0.0
    silent_agent: int | None = None  # what this agent sends reaches nobody; it still receives


@dataclass(frozen=True, slots=True)
class ThunderingHerd:
    """The schedule of one crowd."""

    outage_at: float
    outage_seconds: float
    changes: tuple[ServerChange, ...]
    restart_at: float
    restarted: tuple[int, ...]  # agents
    graceful: bool  # SIGTERM instead of SIGKILL
    call_seconds: float  # that discovery takes for the first call of a connection, one at a time
    patience_seconds: float  # after which it refuses a call that waits for its turn
    datagrams: DatagramFaults


def draw(source: random.Random, agents: int, servers: int) -> ThunderingHerd:
    """The crowd of a seed, by its source of random numbers."""
    outage_seconds = source.uniform(2.0, 4.0)
    back_at = OUTAGE_AT_SECONDS + outage_seconds
    changed = source.sample(range(servers), max(servers // 3, 1))
    return ThunderingHerd(
        outage_at=OUTAGE_AT_SECONDS,
        outage_seconds=outage_seconds,
        changes=tuple(
            ServerChange(
                server,
                OUTAGE_AT_SECONDS + source.uniform(0.2, outage_seconds - 0.5),
                source.uniform(1.0, 4.0) if source.random() < 0.4 else None,
            )
            for server in changed
        ),
        restart_at=back_at + source.uniform(0.5, 5.0),
        restarted=tuple(sorted(source.sample(range(agents), int(agents * RESTARTED_SHARE)))),
        graceful=source.random() < 0.3,
        call_seconds=source.uniform(0.1, 0.4),
        patience_seconds=source.uniform(1.5, 3.0),
        datagrams=DatagramFaults(
            lost_share=source.choice((0.0, 0.1, 0.2, 0.5)),
            doubled_share=source.choice((0.0, 0.1)),
            late_share=source.choice((0.0, 0.1)),
            late_seconds=source.uniform(0.05, 0.5),
            silent_agent=source.randrange(agents) if source.random() < 0.3 else None,
        ),
    )
