"""The endpoint list: received from discovery, cached in the log, and exchanged with other members."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from frostfall import log
from frostfall.net.recovery.core import MemberCore
from frostfall.protocol.discovery import Endpoint, EndpointListUpdate
from frostfall.recovery.metadata import CachedEndpointList, MetadataRecord
from frostfall.recovery.readiness import ReadinessStage

NO_GENERATION = -1  # sent to members until discovery has sent a list

_log = log.get_logger("recovery")


def _ignore(endpoint_list: EndpointListUpdate) -> None:
    """Discard a list, as no receiver is registered yet."""


class EndpointCache:
    """Owns the endpoint list of discovery, and until that is received, the newest cached list."""

    def __init__(self, core: MemberCore, configured: EndpointListUpdate, zone: str) -> None:
        """`configured` is the cached list of the configuration; `zone` is the zone of this agent."""
        self._core = core
        self._zone = zone
        self._unconfirmed = configured  # the newest list that discovery has not confirmed
        self._stored: CachedEndpointList | None = None
        self._endpoints: dict[str, Endpoint] = {}  # by instance, as sent by discovery
        self._generation = 0
        self._needs_save = False
        self._publish: Callable[[EndpointListUpdate], None] = _ignore

    @property
    def advertised_generation(self) -> int:
        """Return the generation sent to members; NO_GENERATION until discovery has sent a list."""
        return self._generation if self._core.inputs.endpoint_list_received else NO_GENERATION

    def publish_to(self, publish: Callable[[EndpointListUpdate], None]) -> None:
        """Call `publish` with every unconfirmed list from now on."""
        self._publish = publish

    def restore(self, record: CachedEndpointList) -> None:
        """Restore the cached list from a record of the log."""
        self._stored = record

    def records(self) -> Iterable[MetadataRecord]:
        """Yield the metadata record that a new segment begins with, if any."""
        if self._stored:
            yield self._stored

    def publish_stored(self) -> None:
        """Publish the list of the log unless it is older than the configured one."""
        if self._stored is None:
            return
        try:
            stored = msgspec.convert(self._stored.endpoint_list, EndpointListUpdate)
        except msgspec.ValidationError as error:
            _log.warning("cached endpoint list unreadable", reason=str(error))
            return
        if stored.generation >= self._unconfirmed.generation:
            self._unconfirmed = stored
            self._generation = max(self._generation, stored.generation)
            self.publish_unconfirmed()
        age = self._core.wall_clock() - self._stored.saved_at
        _log.info("cached endpoint list used", age_s=round(age, 1))

    def save_if_changed(self) -> None:
        """Append the list to the log if it has changed since the last call."""
        if self._needs_save and not self._core.wal.failure_reason:
            self._needs_save = False
            self._stored = CachedEndpointList(self._core.wall_clock(), self.to_builtins())
            self._core.metadata.append(self._stored)

    def update(self, endpoint_list: EndpointListUpdate, *, cached: bool) -> None:
        """Process a list or changes of it; `cached` is False if discovery has sent them."""
        inputs = self._core.inputs
        inputs.endpoint_list_known = inputs.endpoint_list_known or bool(endpoint_list.instances)
        if not cached:
            inputs.endpoint_list_received = True
            self._apply(endpoint_list)
        self._core.changed.notify()

    def _apply(self, endpoint_list: EndpointListUpdate) -> None:
        if endpoint_list.reset:
            self._endpoints.clear()
        for endpoint in endpoint_list.instances:
            self._endpoints.pop(endpoint.instance_id, None)
            if endpoint.lifecycle != "terminated":
                self._endpoints[endpoint.instance_id] = endpoint
        self._generation = endpoint_list.generation
        self._needs_save = True

    def request_newer(self, member: str, generation: int) -> None:
        """Request a member's list if it is newer and this agent has not received a list from discovery."""
        if self._core.inputs.endpoint_list_received or generation <= self._generation:
            return
        if connection := self._core.connections.get(member):
            self._generation = generation
            connection.request_endpoint_list(self._receive_from_member)

    def _receive_from_member(self, raw: Any) -> None:
        if raw is None or self._core.inputs.endpoint_list_received:
            return
        try:
            received = msgspec.convert(raw, EndpointListUpdate)
        except msgspec.ValidationError as error:
            _log.warning("peer endpoint list unreadable", reason=str(error))
            return
        # A server may have different addresses for different agents, so addresses known here are retained.
        own_addresses = {endpoint.instance_id: endpoint.host_port for endpoint in self._unconfirmed.instances}
        for endpoint in received.instances:
            endpoint.host_port = own_addresses.get(endpoint.instance_id, endpoint.host_port)
        self._unconfirmed = received
        _log.info("peer endpoint list used", generation=received.generation)
        self.publish_unconfirmed()

    def publish_unconfirmed(self) -> None:
        """Publish the usable endpoints of the newest list that discovery has not confirmed."""
        self._publish(self.usable(self._unconfirmed))

    def usable(self, endpoint_list: EndpointListUpdate) -> EndpointListUpdate:
        """Return the usable endpoints of an unconfirmed list.

        Until `ReadinessStage.READS` is ready, these are the own zone's servers, or all if it has none.
        """
        if self._core.readiness.is_ready(ReadinessStage.READS):
            return endpoint_list
        in_zone = [endpoint for endpoint in endpoint_list.instances if endpoint.zone == self._zone]
        return EndpointListUpdate(
            endpoint_list.generation, endpoint_list.reset, in_zone or endpoint_list.instances
        )

    def to_builtins(self) -> Any:
        """Return the list in the form in which it is stored and sent to members."""
        return msgspec.to_builtins(EndpointListUpdate(self._generation, True, list(self._endpoints.values())))

    def reply(self) -> Any:
        """Return the list for another member; None until discovery has sent one."""
        return self.to_builtins() if self._core.inputs.endpoint_list_received else None
