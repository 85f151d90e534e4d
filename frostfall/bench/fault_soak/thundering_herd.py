"""A thundering herd at discovery: servers change during an outage, then many agents restart at once."""

from __future__ import annotations

import random
from dataclasses import dataclass

MIN_SECONDS = 16.0  # of the schedule, so that agents have to know the outage's changes before the end
OUTAGE_AT_SECONDS = 2.0
RESTARTED_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class ServerChange:
    """A server that drains during the outage and is removed; times are seconds of the schedule."""

    server: int
    at: float
    returns_after: float | None  # seconds after the removal, with a newer build; None: does not return


@dataclass(frozen=True, slots=True)
class DatagramFaults:
    """Faults of datagrams between agents; shares refer to all datagrams."""

    lost_share: float = 0.0
    duplicated_share: float = 0.0
    late_share: float = 0.0
    late_seconds: float = 0.0
    silent_agent: int | None = None  # datagrams of this agent are dropped; it still receives


@dataclass(frozen=True, slots=True)
class ThunderingHerd:
    """The schedule of one thundering herd; times are seconds of the schedule."""

    outage_at: float
    outage_seconds: float
    changes: tuple[ServerChange, ...]
    restart_at: float
    restarted: tuple[int, ...]  # numbers of agents
    graceful: bool  # SIGTERM instead of SIGKILL
    call_seconds: float  # duration of the first call of a connection at discovery, one at a time
    max_wait_seconds: float  # longest wait of a call, after which discovery refuses it
    datagrams: DatagramFaults


def draw(source: random.Random, agents: int, servers: int) -> ThunderingHerd:
    """Draw the thundering herd of a seed from its source of random numbers."""
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
        max_wait_seconds=source.uniform(1.5, 3.0),
        datagrams=DatagramFaults(
            lost_share=source.choice((0.0, 0.1, 0.2, 0.5)),
            duplicated_share=source.choice((0.0, 0.1)),
            late_share=source.choice((0.0, 0.1)),
            late_seconds=source.uniform(0.05, 0.5),
            silent_agent=source.randrange(agents) if source.random() < 0.3 else None,
        ),
    )
