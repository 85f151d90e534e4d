"""What operators set on slow peers: the section `slow_peers` of the operator file, its defaults included."""

from __future__ import annotations

import math

import msgspec

from frostfall.limits.buffer_budget import BufferLimits
from frostfall.limits.fair_scheduling import ArrivalRate, Quantum
from frostfall.limits.throughput_monitor import MinimumRate
from frostfall.routing.outlier_ejection import EjectionOptions


class ClientClassOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What differs for the answers of one class; which class a query is of is known only once it has come."""

    reading: MinimumRate | None = None


class ServerClassOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What differs for one class."""

    reading: MinimumRate | None = None
    sending: MinimumRate | None = None


class ClientOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Least rates of clients: `reading` answers, `sending` queries; without one, none is asked."""

    reading: MinimumRate | None = None
    sending: MinimumRate | None = None
    sending_most: float = 60.0  # seconds that one query may take to come in, however steadily
    classes: dict[str, ClientClassOptions] = {}

    def __post_init__(self) -> None:
        """Check that the figures go together."""
        if not 0 < self.sending_most < math.inf:
            raise ValueError(f"sending_most: {self.sending_most:g} is not above 0")

    def reading_rate(self, class_name: str) -> MinimumRate | None:
        """The rate at which answers of this class are to be read."""
        own = self.classes.get(class_name)
        return own.reading if own and own.reading else self.reading


class ServerOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Least rates of servers: `reading` the queries, `sending` an answer once its first byte has come."""

    reading: MinimumRate | None = None
    sending: MinimumRate | None = None
    classes: dict[str, ServerClassOptions] = {}
    apart: EjectionOptions = EjectionOptions()

    def reading_rate(self, class_name: str) -> MinimumRate | None:
        """The rate at which queries of this class are to be read."""
        own = self.classes.get(class_name)
        return own.reading if own and own.reading else self.reading

    def sending_rate(self, class_name: str) -> MinimumRate | None:
        """The rate at which answers of this class are to come, once begun."""
        own = self.classes.get(class_name)
        return own.sending if own and own.sending else self.sending


class SlowPeerOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole section; without it only the bounds hold that always do."""

    clients: ClientOptions = ClientOptions()
    servers: ServerOptions = ServerOptions()
    waiting: BufferLimits | None = None
    turn: Quantum = Quantum()
    arrivals: ArrivalRate | None = None  # without it, connections are taken in as they come
    log_every: float = 10.0  # seconds between log lines on what was shed

    def __post_init__(self) -> None:
        """Check that the figures go together."""
        if not 0 < self.log_every < math.inf:
            raise ValueError(f"log_every: {self.log_every:g} is not above 0")

    @property
    def watches_clients(self) -> bool:
        """Whether clients' connections need to be looked at while answers are on their way to them."""
        return bool(
            self.waiting
            or self.clients.reading
            or any(each.reading for each in self.clients.classes.values())
        )

    @property
    def watches_servers(self) -> bool:
        """Whether attempts need to be looked at."""
        of_classes = (each.reading or each.sending for each in self.servers.classes.values())
        return bool(self.servers.reading or self.servers.sending or any(of_classes))
