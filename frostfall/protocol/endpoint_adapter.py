"""Translates discovery's endpoints and servers' load reports into the types of `frostfall.interface`."""

from __future__ import annotations

from hashlib import blake2b

from frostfall import interface as api
from frostfall import settings
from frostfall.protocol.discovery import Endpoint, EndpointListUpdate
from frostfall.protocol.statement import load_values

_AVAILABILITY = {
    "in_service": api.Availability.UP,
    "terminating": api.Availability.DRAINING,
    "terminated": api.Availability.REMOVED,
}
_LOAD_NAMES = {  # names of values in load reports, and the names of the same values in the settings
    "inflight": "busy_reqs",
    "queue": "pending",
    "util": "cpu_share",
    "latency_ms": "svc_ms",
    "qps": "served_ps",
    "eps": "failed_ps",
}


def server_id(instance_id: str) -> int:
    """Return a number for an instance. All agents compute the same one, so they sort servers alike."""
    return int.from_bytes(blake2b(instance_id.encode(), digest_size=6).digest())


def to_server(endpoint: Endpoint) -> api.Server:
    """Translate one endpoint."""
    return api.Server(
        id=server_id(endpoint.instance_id),
        build=endpoint.build,
        zone=endpoint.zone,
        cell=endpoint.cell,
        size=endpoint.weight,
        started_at=int(endpoint.started_at_ms * 1000),
        availability=_AVAILABILITY[endpoint.lifecycle],
    )


def to_list_update(update: EndpointListUpdate, kind: api.ServerListKind) -> api.ServerListUpdated:
    """Translate an endpoint list or the changes to one."""
    servers = tuple(to_server(endpoint) for endpoint in update.instances)
    return api.ServerListUpdated(kind, servers, update.generation)


def parse_load_report(text: str | None) -> api.LoadReport | None:
    """Parse a load report; None if there is no report."""
    if not text:
        return None
    return settings.decode_load_report(
        {_LOAD_NAMES.get(name, name): value for name, value in load_values(text).items()}
    )
