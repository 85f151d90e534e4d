"""The endpoint list as the agent uses it: the address of each server that may be sent to."""

from __future__ import annotations

from collections.abc import Mapping

from frostfall import interface as api
from frostfall import log
from frostfall.config import Address, ConfigError, parse_address
from frostfall.protocol import endpoint_adapter
from frostfall.protocol.discovery import EndpointListUpdate

_log = log.get_logger("agent")


class EndpointList:
    """Addresses by server id, as of the last list or change that was applied."""

    def __init__(self) -> None:
        """Start with no server known."""
        self._addresses: dict[int, Address] = {}

    def __len__(self) -> int:
        """How many servers have a usable address."""
        return len(self._addresses)

    def address_of(self, server: int) -> Address | None:
        """Where a server listens; None for one that is not listed or whose address is unusable."""
        return self._addresses.get(server)

    @property
    def by_server(self) -> Mapping[int, Address]:
        """All usable addresses, by server id."""
        return self._addresses

    def apply(self, listing: EndpointListUpdate, kind: api.ServerListKind) -> api.ServerListUpdated:
        """Adopt a list, or a change of one with `DELTA`; the event that reports it to the engine."""
        event = endpoint_adapter.to_list_update(listing, kind)
        if kind is not api.ServerListKind.DELTA:
            self._addresses.clear()
        for entry, server in zip(listing.instances, event.servers):
            self._addresses.pop(server.id, None)
            if server.availability is api.Availability.REMOVED:
                continue
            try:
                self._addresses[server.id] = parse_address(entry.host_port, entry.instance_id)
            except ConfigError as error:  # attempts to this server end as unreachable
                _log.warning("unusable address", why=str(error))
        return event
