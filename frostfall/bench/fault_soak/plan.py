"""The fault schedule of one seed, drawn before the start, so that a seed always gives the same schedule."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from frostfall.bench.fault_soak import thundering_herd

FIRST_FAULT_SECONDS = 1.0
SETTLE_SECONDS = 1.0  # without new faults, at the end of the schedule
FAULTS_PER_SECOND = 2.0
WALL_CLOCK_STEPS = (3600.0, -3600.0, 5.0, -5.0)  # seconds
LARGE_SERVER_COUNT = 2000
HERD_SEED_INTERVAL = 5  # every seed divisible by this is a thundering herd
SIGNAL_SERIES_COUNT = 4  # number of different signal series


class FaultKind(Enum):
    """The kind of a fault; the comment names the type of its target."""

    TERMINATE = "SIGTERM, then a new start"  # agent
    RESTARTS = "SIGTERM and a new start, several times in a row"  # agent
    KILL = "SIGKILL, then a new start"  # agent
    SIGNALS = "signals in a series, and starts that overlap"  # agent
    STALL = "SIGSTOP for a while"  # agent
    RELOAD = "SIGHUP with a new address of discovery"  # agent
    WALL_CLOCK = "a step of the wall clock"  # agent
    SYSTEM_CALLS = "failing and short system calls"  # agent
    CLIENT_LINK_PAUSED = "the link from clients held"  # agent
    CLIENT_LINK_RESET = "the link from clients reset"  # agent
    CLIENT_LINK_PAUSED_BACK = "the link from clients held in one direction"  # agent
    DISCOVERY_LINK_CUT = "the link to discovery held"  # agent
    ROLLOUT_LINK_CUT = "the link to the rollout API held"  # agent
    SERVER_HANGS = "a server that answers nothing"  # server
    SERVER_LATE = "a server that answers late"  # server
    SERVER_TWICE = "a server that answers twice"  # server
    SERVER_PIECES = "a server that answers in pieces"  # server
    SERVER_RESETS = "a server that resets connections under requests"  # server
    SERVER_FULL = "a server that turns requests away"  # server
    SERVER_CLOSES_IDLE = "a server that closes idle connections"  # server
    SERVER_DRAINS = "a server that drains, is removed and comes back"  # server
    DISCOVERY_SLOW = "discovery answers late"
    DISCOVERY_SILENT = "discovery answers nothing"
    DISCOVERY_OVERLOADED = "discovery answers 503"
    DISCOVERY_RESETS = "discovery resets every connection"
    ROLLOUT_STAGE = "a new build goes on trial"
    SILENT_CONNECTIONS = "many connections that say nothing"  # agent


AGENT_FAULTS = (
    FaultKind.TERMINATE,
    FaultKind.TERMINATE,
    FaultKind.RESTARTS,
    FaultKind.KILL,
    FaultKind.SIGNALS,
    FaultKind.STALL,
    FaultKind.STALL,
    FaultKind.RELOAD,
    FaultKind.WALL_CLOCK,
    FaultKind.SYSTEM_CALLS,
    FaultKind.CLIENT_LINK_PAUSED,
    FaultKind.CLIENT_LINK_RESET,
    FaultKind.CLIENT_LINK_PAUSED_BACK,
    FaultKind.DISCOVERY_LINK_CUT,
    FaultKind.ROLLOUT_LINK_CUT,
    FaultKind.SILENT_CONNECTIONS,
)
SERVER_FAULTS = (
    FaultKind.SERVER_HANGS,
    FaultKind.SERVER_LATE,
    FaultKind.SERVER_TWICE,
    FaultKind.SERVER_PIECES,
    FaultKind.SERVER_RESETS,
    FaultKind.SERVER_FULL,
    FaultKind.SERVER_CLOSES_IDLE,
    FaultKind.SERVER_DRAINS,
)
SERVICE_FAULTS = (
    FaultKind.DISCOVERY_SLOW,
    FaultKind.DISCOVERY_SILENT,
    FaultKind.DISCOVERY_OVERLOADED,
    FaultKind.DISCOVERY_RESETS,
    FaultKind.ROLLOUT_STAGE,
)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of the schedule; times are seconds since its beginning."""

    at: float
    seconds: float  # duration, for kinds of faults that have one
    kind: FaultKind
    target: int  # number of the agent or the server
    amount: float = 0.0  # clock step in seconds, SystemCallFault value or number of a signal series


@dataclass(frozen=True, slots=True)
class Plan:
    """The parameters and the faults that are drawn from a seed."""

    seed: int
    agents: int
    seconds: float
    servers: int
    longest_deadline: float  # seconds
    server_delays: tuple[float, ...]
    initial_wall_offsets: tuple[float, ...]  # seconds, of each agent's clock at its start
    faults: tuple[Fault, ...]
    herd: thundering_herd.ThunderingHerd | None = None


def is_herd(seed: int) -> bool:
    """Return whether this seed is a thundering herd at discovery."""
    return seed % HERD_SEED_INTERVAL == 0


def draw(seed: int, agents: int, seconds: float) -> Plan:
    """Draw the plan of a seed."""
    if is_herd(seed):
        return _draw_herd(seed, agents, max(seconds, thundering_herd.MIN_SECONDS))
    source = random.Random(f"fault-soak {seed}")
    servers = LARGE_SERVER_COUNT if source.random() < 0.1 else source.randint(6, 24)
    starts_late = source.random() < 0.2  # faults start after a long time without any
    first = seconds * 0.5 if starts_late else FIRST_FAULT_SECONDS
    count = max(int((seconds - first - SETTLE_SECONDS) * FAULTS_PER_SECOND * (2 if starts_late else 1)), 1)
    faults = [_draw_fault(source, first, seconds - SETTLE_SECONDS, agents, servers) for _ in range(count)]
    if source.random() < 0.3:  # several faults hit one agent at once
        at, target = source.uniform(first, seconds - SETTLE_SECONDS), source.randrange(agents)
        faults += [_draw_agent_fault(source, at + source.uniform(0.0, 0.3), target) for _ in range(3)]
    return Plan(
        seed=seed,
        agents=agents,
        seconds=seconds,
        servers=servers,
        longest_deadline=source.choice((1.0, 1.5, 2.0)),
        server_delays=tuple(source.choice((0.01, 0.03, 0.03, 0.06, 0.2)) for _ in range(servers)),
        initial_wall_offsets=tuple(
            source.choice(WALL_CLOCK_STEPS) if source.random() < 0.15 else 0.0 for _ in range(agents)
        ),
        faults=tuple(sorted(faults, key=lambda fault: fault.at)),
    )


def _draw_herd(seed: int, agents: int, seconds: float) -> Plan:
    """Draw a thundering herd at discovery, with faults of servers, but none of discovery or the links."""
    source = random.Random(f"fault-soak crowd {seed}")
    servers = source.randint(6, 24)
    herd = thundering_herd.draw(source, agents, servers)
    changed = {change.server for change in herd.changes}
    steady = [number for number in range(servers) if number not in changed]
    kinds = [kind for kind in SERVER_FAULTS if kind is not FaultKind.SERVER_DRAINS]
    faults = [
        Fault(
            source.uniform(FIRST_FAULT_SECONDS, seconds - SETTLE_SECONDS),
            source.uniform(0.2, 2.0),
            source.choice(kinds),
            source.choice(steady),
        )
        for _ in range(int(seconds / 4))
    ]
    return Plan(
        seed=seed,
        agents=agents,
        seconds=seconds,
        servers=servers,
        longest_deadline=source.choice((1.0, 1.5, 2.0)),
        server_delays=tuple(source.choice((0.01, 0.03, 0.06)) for _ in range(servers)),
        initial_wall_offsets=(0.0,) * agents,
        faults=tuple(sorted(faults, key=lambda fault: fault.at)),
        herd=herd,
    )


def _draw_fault(source: random.Random, first: float, last: float, agents: int, servers: int) -> Fault:
    at = source.uniform(first, max(last, first))
    share = source.random()
    if share < 0.55:
        return _draw_agent_fault(source, at, source.randrange(agents))
    if share < 0.85:
        kind = source.choice(SERVER_FAULTS)
        return Fault(at, source.uniform(0.2, 2.5), kind, source.randrange(servers))
    return Fault(at, source.uniform(0.5, 4.0), source.choice(SERVICE_FAULTS), 0)


def _draw_agent_fault(source: random.Random, at: float, target: int) -> Fault:
    kind = source.choice(AGENT_FAULTS)
    amount = 0.0
    seconds = source.uniform(0.2, 2.0)
    if kind is FaultKind.STALL:
        seconds = source.uniform(0.02, 0.15) if source.random() < 0.7 else source.uniform(0.15, 1.0)
    elif kind is FaultKind.WALL_CLOCK:
        amount = source.choice(WALL_CLOCK_STEPS)
    elif kind is FaultKind.SYSTEM_CALLS:
        amount = float(source.randrange(7))
    elif kind is FaultKind.SIGNALS:
        amount = float(source.randrange(SIGNAL_SERIES_COUNT))
    return Fault(at, seconds, kind, target, amount)
