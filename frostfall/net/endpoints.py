"""The agent's endpoint list: the address of each server that may receive requests."""

from __future__ import annotations

from collections.abc import Mapping

from frostfall import interface as api
from frostfall import log
from frostfall.config import Address, ConfigError, parse_address
from frostfall.protocol import endpoint_adapter
from frostfall.protocol.discovery import EndpointListUpdate

_log = log.get_logger("agent")


class EndpointList:
    """Addresses by server id, according to the last list or delta that was applied."""

    def __init__(self) -> None:
        """Start with an empty list."""
        self._addresses: dict[int, Address] = {}

    def __len__(self) -> int:
        """Return the number of servers with a usable address."""
        return len(self._addresses)

    def address_of(self, server: int) -> Address | None:
        """Return a server's address, or None if it is not listed or its address is invalid."""
        return self._addresses.get(server)

    @property
    def by_server(self) -> Mapping[int, Address]:
        """All usable addresses by server id."""
        return self._addresses

    def apply(self, update: EndpointListUpdate, kind: api.ServerListKind) -> api.ServerListUpdated:
        """Apply a whole list, or a change with `DELTA`; return the event that reports it to the engine."""
        event = endpoint_adapter.to_list_update(update, kind)
        if kind is not api.ServerListKind.DELTA:
            self._addresses.clear()
        for instance, server in zip(update.instances, event.servers):
            self._addresses.pop(server.id, None)
            if server.availability is api.Availability.REMOVED:
                continue
            try:
                self._addresses[server.id] = parse_address(instance.host_port, instance.instance_id)
            except ConfigError as error:  # without an address, attempts to this server end as unreachable
                _log.warning("unusable address", why=str(error))
        return event
