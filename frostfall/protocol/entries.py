"""Discovery's entries and appliances' load reports in the project's terms."""

from __future__ import annotations

from hashlib import blake2b

from frostfall import interface as api
from frostfall import settings
from frostfall.protocol.listing import Entry, Listing
from frostfall.protocol.statement import load_values

_AVAILABILITY = {
    "in_service": api.Availability.UP,
    "terminating": api.Availability.DRAINING,
    "terminated": api.Availability.REMOVED,
}
_LOAD_NAMES = {  # appliances' words for what the settings name
    "inflight": "busy_reqs",
    "queue": "pending",
    "util": "cpu_share",
    "latency_ms": "svc_ms",
    "qps": "served_ps",
    "eps": "failed_ps",
}


def server_id(instance_id: str) -> int:
    """The number of an instance: the same at every agent, so that they order appliances alike."""
    return int.from_bytes(blake2b(instance_id.encode(), digest_size=6).digest())


def server(entry: Entry) -> api.Server:
    """One entry."""
    return api.Server(
        id=server_id(entry.instance_id),
        build=entry.build,
        zone=entry.zone,
        cell=entry.cell,
        size=entry.weight,
        started_at=int(entry.started_at_ms * 1000),
        availability=_AVAILABILITY[entry.lifecycle],
    )


def listed(listing: Listing, kind: api.ServerListKind) -> api.ServerListUpdated:
    """A list or its changes."""
    servers = tuple(server(entry) for entry in listing.instances)
    return api.ServerListUpdated(kind, servers, listing.generation)


def load(text: str | None) -> api.LoadReport | None:
    """A load report; None where there is none."""
    if not text:
        return None
    return settings.decode_load_report(
        {_LOAD_NAMES.get(name, name): value for name, value in load_values(text).items()}
    )
