"""Options on slow peers: the section `slow_peers` of the operator file, with its defaults.

The fields' names are the keys of the file and stay as they are.
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
    """What differs for one class of requests: reading only, as a query's class is known late."""

    reading: MinimumRate | None = None


class ServerClassOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What differs for one class of requests."""

    reading: MinimumRate | None = None
    sending: MinimumRate | None = None


class ClientOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Minimum rates of clients, for `reading` answers and `sending` queries; None requires none."""

    reading: MinimumRate | None = None
    sending: MinimumRate | None = None
    sending_most: float = 60.0  # seconds in which one query has to come in, at whatever rate
    classes: dict[str, ClientClassOptions] = {}

    def __post_init__(self) -> None:
        """Check the ranges."""
        if not 0 < self.sending_most < math.inf:
            raise ValueError(f"sending_most: {self.sending_most:g} is not above 0")

    def reading_rate(self, class_name: str) -> MinimumRate | None:
        """The minimum rate for reading answers of this class."""
        own = self.classes.get(class_name)
        return own.reading if own and own.reading else self.reading


class ServerOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Minimum rates of servers, for `reading` queries and `sending` an answer from its first byte on."""

    reading: MinimumRate | None = None
    sending: MinimumRate | None = None
    classes: dict[str, ServerClassOptions] = {}
    apart: EjectionOptions = EjectionOptions()

    def reading_rate(self, class_name: str) -> MinimumRate | None:
        """The minimum rate for reading queries of this class."""
        own = self.classes.get(class_name)
        return own.reading if own and own.reading else self.reading

    def sending_rate(self, class_name: str) -> MinimumRate | None:
        """The minimum rate for sending answers of this class, once begun."""
        own = self.classes.get(class_name)
        return own.sending if own and own.sending else self.sending


class SlowPeerOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole section; without it only the limits hold that cannot be set."""

    clients: ClientOptions = ClientOptions()
    servers: ServerOptions = ServerOptions()
    waiting: BufferLimits | None = None
    turn: Quantum = Quantum()
    arrivals: ArrivalRate | None = None  # without it, connections are accepted as they come
    log_every: float = 10.0  # seconds between log lines on shed peers

    def __post_init__(self) -> None:
        """Check the ranges."""
        if not 0 < self.log_every < math.inf:
            raise ValueError(f"log_every: {self.log_every:g} is not above 0")

    @property
    def watches_clients(self) -> bool:
        """Whether clients' connections have to be observed while answers are sent to them."""
        return bool(
            self.waiting
            or self.clients.reading
            or any(options.reading for options in self.clients.classes.values())
        )

    @property
    def watches_servers(self) -> bool:
        """Whether attempts have to be observed."""
        of_classes = (options.reading or options.sending for options in self.servers.classes.values())
        return bool(self.servers.reading or self.servers.sending or any(of_classes))
