"""Options for slow peers: section `slow_peers` of the operator file, with its defaults.

The names of fields are the keys of the file. Invalid values raise ValueError.
"""

from __future__ import annotations

import math

import msgspec

from frostfall.limits.arrival_pacing import ArrivalRate
from frostfall.limits.buffer_budget import BufferLimits
from frostfall.limits.fair_scheduling import Quantum
from frostfall.limits.throughput_monitor import MinimumRate
from frostfall.routing.outlier_ejection import EjectionOptions


class ClientClassOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Overrides for one request class: only for reading, as a query's class is unknown while it is sent."""

    reading: MinimumRate | None = None


class ServerClassOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Overrides for one request class."""

    reading: MinimumRate | None = None
    sending: MinimumRate | None = None


class ClientOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Minimum rates of clients, for `reading` answers and `sending` queries; None means no minimum."""

    reading: MinimumRate | None = None
    sending: MinimumRate | None = None
    sending_most: float = 60.0  # seconds within which a query has to be complete, at any rate
    classes: dict[str, ClientClassOptions] = {}

    def __post_init__(self) -> None:
        """Check the ranges."""
        if not 0 < self.sending_most < math.inf:
            raise ValueError(f"sending_most: {self.sending_most:g} is not above 0")

    def reading_rate(self, class_name: str) -> MinimumRate | None:
        """Return the minimum rate for reading answers of this class."""
        override = self.classes.get(class_name)
        return override.reading if override and override.reading else self.reading


class ServerOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Minimum rates of servers, for `reading` queries and `sending` answers from the first byte on."""

    reading: MinimumRate | None = None
    sending: MinimumRate | None = None
    classes: dict[str, ServerClassOptions] = {}
    apart: EjectionOptions = EjectionOptions()  # ejection of slow servers

    def reading_rate(self, class_name: str) -> MinimumRate | None:
        """Return the minimum rate for reading queries of this class."""
        override = self.classes.get(class_name)
        return override.reading if override and override.reading else self.reading

    def sending_rate(self, class_name: str) -> MinimumRate | None:
        """Return the minimum rate for sending answers of this class, from the first byte on."""
        override = self.classes.get(class_name)
        return override.sending if override and override.sending else self.sending


class SlowPeerOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The complete section; without it, only the limits that are not configurable apply."""

    clients: ClientOptions = ClientOptions()
    servers: ServerOptions = ServerOptions()
    waiting: BufferLimits | None = None  # limits of bytes buffered for clients; None means no limit
    turn: Quantum = Quantum()  # of the fair scheduling of connections
    arrivals: ArrivalRate | None = None  # rate of accepting connections; None means no limit
    log_every: float = 10.0  # minimum seconds between log lines about shed peers

    def __post_init__(self) -> None:
        """Check the ranges."""
        if not 0 < self.log_every < math.inf:
            raise ValueError(f"log_every: {self.log_every:g} is not above 0")

    @property
    def monitors_clients(self) -> bool:
        """Return whether clients' connections have to be monitored while answers are sent to them."""
        return bool(
            self.waiting
            or self.clients.reading
            or any(options.reading for options in self.clients.classes.values())
        )

    @property
    def monitors_servers(self) -> bool:
        """Return whether connections to servers have to be monitored during attempts."""
        class_rates = (options.reading or options.sending for options in self.servers.classes.values())
        return bool(self.servers.reading or self.servers.sending or any(class_rates))
