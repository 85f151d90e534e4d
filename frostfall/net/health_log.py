"""Periodic log line with the health of the agent process."""

from __future__ import annotations

import os
import resource
from collections.abc import Sized
from dataclasses import dataclass
from typing import Any

import anyio

from frostfall import log
from frostfall.gossip.list_gossip import ListGossip
from frostfall.limits.slow_peer_detector import SlowPeerDetector
from frostfall.net.client_connections import ClientConnections
from frostfall.net.clock import TimerQueue
from frostfall.net.connection_monitor import ConnectionMonitor
from frostfall.net.invariants import InvariantMonitor

INTERVAL_SECONDS = 5.0

_log = log.get_logger("agent")


@dataclass(frozen=True, slots=True, kw_only=True)
class HealthLog:
    """Collects health figures from the agent's components and logs them periodically."""

    timers: TimerQueue
    clients: ClientConnections
    upstream_connections: Sized
    requests: Sized
    slow_peers: SlowPeerDetector[Any]
    monitor: ConnectionMonitor
    invariants: InvariantMonitor
    list_gossip: ListGossip
    max_descriptors: int

    async def run(self) -> None:
        """Write a log line every `INTERVAL_SECONDS` until cancelled."""
        while True:
            await anyio.sleep(INTERVAL_SECONDS)
            self.write()

    def write(self) -> None:
        """Write one log line and reset the figures that are counted per line."""
        lateness_micros, self.timers.max_lateness = self.timers.max_lateness, 0
        _log.info(
            "health",
            late_ms_most=round(lateness_micros / 1000, 1),
            timers=len(self.timers),
            memory_mb_most=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
            descriptors=self._open_descriptors(),
            clients=len(self.clients),
            connections=len(self.upstream_connections),
            requests=len(self.requests),
            malformed=dict(self.clients.malformed_counts),
            evicted={group.value: count for group, count in self.clients.evictions.counts.items()},
            shed=self.slow_peers.shed_counter.totals(),
            waiting=self.slow_peers.budget.buffered_bytes,
            violations=self.invariants.counts,
            list_messages_dropped={
                reason.name.lower(): count for reason, count in self.list_gossip.dropped.items()
            },
            slept_s=round(self.monitor.clock.stalled_seconds, 3),
        )
        self.clients.malformed_counts.clear()
        self.clients.evictions.counts.clear()

    def _open_descriptors(self) -> int:
        try:
            return len(os.listdir("/proc/self/fd"))
        except OSError:  # listing the directory needs a free descriptor, so all are in use
            return self.max_descriptors
