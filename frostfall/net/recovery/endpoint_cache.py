"""The endpoint list: as discovery sent it, as cached in the log, and as other members have it."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from frostfall import log
from frostfall.net.recovery.core import MemberCore
from frostfall.protocol.discovery import Endpoint, EndpointListUpdate
from frostfall.recovery.metadata import CachedEndpointList, MetadataRecord
from frostfall.recovery.readiness import ReadinessStage

NO_GENERATION = -1  # sent to members before discovery has sent a list

_log = log.get_logger("recovery")


def _ignore(listing: EndpointListUpdate) -> None:
    """Nobody takes lists yet."""


class EndpointCache:
    """Owns the endpoint list, and the newest cached one until discovery has sent its own."""

    def __init__(self, core: MemberCore, configured: EndpointListUpdate, zone: str) -> None:
        """`configured`: the cached list of the configuration; `zone`: this agent's own."""
        self._core = core
        self._zone = zone
        self._unconfirmed = configured  # the newest list that discovery has not confirmed
        self._stored: CachedEndpointList | None = None
        self._entries: dict[str, Endpoint] = {}  # by instance, as discovery sent them
        self._generation = 0
        self._needs_save = False
        self._publish: Callable[[EndpointListUpdate], None] = _ignore

    @property
    def advertised_generation(self) -> int:
        """The generation that members are told: only a list received from discovery has one."""
        return self._generation if self._core.inputs.endpoint_list_received else NO_GENERATION

    def publish_to(self, publish: Callable[[EndpointListUpdate], None]) -> None:
        """Hand over unconfirmed lists to `publish`."""
        self._publish = publish

    # ---- the log -----------------------------------------------------------------------------------

    def restore(self, record: CachedEndpointList) -> None:
        """Take over a record of the log."""
        self._stored = record

    def records(self) -> Iterable[MetadataRecord]:
        """The metadata record that a new segment begins with."""
        if self._stored:
            yield self._stored

    def publish_stored(self) -> None:
        """Publish the list of the log, where it is not older than the configured one."""
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

    # ---- lists that come in ------------------------------------------------------------------------

    def update(self, listing: EndpointListUpdate, *, cached: bool) -> None:
        """Take over a list or changes of it; `cached`: it does not come from discovery."""
        inputs = self._core.inputs
        inputs.endpoint_list_known = inputs.endpoint_list_known or bool(listing.instances)
        if not cached:
            inputs.endpoint_list_received = True
            self._apply(listing)
        self._core.changed.notify()

    def _apply(self, listing: EndpointListUpdate) -> None:
        if listing.reset:
            self._entries.clear()
        for entry in listing.instances:
            self._entries.pop(entry.instance_id, None)
            if entry.lifecycle != "terminated":
                self._entries[entry.instance_id] = entry
        self._generation = listing.generation
        self._needs_save = True

    def request_newer(self, member: str, generation: int) -> None:
        """Request a member's list where it is newer, and discovery has not sent one here."""
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
        # Servers may have other addresses for other agents: those known here are kept.
        own_addresses = {entry.instance_id: entry.host_port for entry in self._unconfirmed.instances}
        for entry in received.instances:
            entry.host_port = own_addresses.get(entry.instance_id, entry.host_port)
        self._unconfirmed = received
        _log.info("peer endpoint list used", generation=received.generation)
        self.publish_unconfirmed()

    # ---- lists that go out -------------------------------------------------------------------------

    def publish_unconfirmed(self) -> None:
        """Publish what may be used of the newest list that discovery has not confirmed."""
        self._publish(self.usable(self._unconfirmed))

    def usable(self, listing: EndpointListUpdate) -> EndpointListUpdate:
        """What may be used of an unconfirmed list: the own zone's servers first, all once reads are ready."""
        if self._core.readiness.is_ready(ReadinessStage.READS):
            return listing
        in_zone = [entry for entry in listing.instances if entry.zone == self._zone]
        return EndpointListUpdate(listing.generation, listing.reset, in_zone or listing.instances)

    def to_builtins(self) -> Any:
        """The list as it is stored and sent to members."""
        return msgspec.to_builtins(EndpointListUpdate(self._generation, True, list(self._entries.values())))

    def reply(self) -> Any:
        """The list as another member is given it; None before discovery has sent one."""
        return self.to_builtins() if self._core.inputs.endpoint_list_received else None
