"""Simulated links between members, with random delays and delivery in order on each link."""

from __future__ import annotations

import copy
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import anyio

from frostfall.model.environment import Environment
from frostfall.net.member_transport import PeerOperationStatus, Response
from frostfall.protocol.member_messages import Heartbeat, MemberMessage, StatusQuery, StatusReply

MIN_DELAY = 0.0002  # seconds, one way
MAX_DELAY = 0.006  # seconds, one way
MIN_SPACING = 1e-6  # seconds between deliveries on one link, which keeps their order
HEARTBEAT_RETRY_INTERVAL = 0.02  # seconds until a member that had no heartbeat to send tries again

Handler = Callable[[MemberMessage], Response]
ReplyHandler = Callable[[MemberMessage | None], None]


class Endpoint(Protocol):
    """The interface of a member that links use."""

    @property
    def name(self) -> str:
        """The member's name in the group."""

    @property
    def incarnation(self) -> object | None:
        """The running program; None while the power is off."""

    async def wait_until_running(self) -> None:
        """Return once the member is not stalled."""


class Network:
    """All directed links between members, with their delays and cuts, and the listening members."""

    def __init__(self, environment: Environment) -> None:
        """Create links without cuts; the caller adds all members to `endpoints`."""
        self.endpoints: dict[str, Endpoint] = {}
        self._environment = environment
        self._listeners: dict[str, tuple[object | None, Handler]] = {}  # with the listening incarnation
        self._cuts: dict[tuple[str, str], int] = {}  # number of active cuts by link, as cuts may overlap
        self._last_delivery: dict[tuple[str, str], float] = {}

    def listen(self, endpoint: Endpoint, handler: Handler) -> None:
        """Pass messages to this handler for as long as the endpoint's present incarnation runs."""
        self._listeners[endpoint.name] = endpoint.incarnation, handler

    async def cut_link(self, source: str, target: str, duration: float) -> None:
        """Lose all messages of one directed link for a duration in seconds."""
        link = source, target
        self._cuts[link] = self._cuts.get(link, 0) + 1
        await anyio.sleep(duration)
        if self._cuts.get(link):
            self._cuts[link] -= 1

    def heal(self) -> None:
        """End all cuts."""
        self._cuts.clear()

    def send(self, sender: Endpoint, target: str, message: MemberMessage, on_reply: ReplyHandler) -> None:
        """Deliver one message and its reply.

        `on_reply` receives None if the target does not listen. It is not called if the message or the reply
        is lost.
        """
        self._environment.tasks.start_soon(
            self._exchange, sender, sender.incarnation, target, message, on_reply
        )

    async def _exchange(
        self,
        sender: Endpoint,
        incarnation: object | None,
        target_name: str,
        message: MemberMessage,
        on_reply: ReplyHandler,
    ) -> None:
        if not await self._transmit(sender.name, target_name):
            return
        target, listener = self.endpoints[target_name], self._listeners.get(target_name)
        await target.wait_until_running()
        if listener is None or target.incarnation is None or listener[0] is not target.incarnation:
            if await self._transmit(target_name, sender.name) and sender.incarnation is incarnation:
                on_reply(None)
            return
        response = listener[1](copy.deepcopy(message))
        reply = await response if isinstance(response, Awaitable) else response
        if reply is None or not await self._transmit(target_name, sender.name):
            return
        if sender.incarnation is not incarnation:
            return
        await sender.wait_until_running()
        if sender.incarnation is incarnation:
            on_reply(reply)

    async def _transmit(self, source: str, target: str) -> bool:
        """Wait for the delay of one message; return False if a cut loses the message."""
        link = source, target
        now = self._environment.seconds()
        earliest = self._last_delivery.get(link, 0.0) + MIN_SPACING
        due = max(now + self._environment.random.uniform(MIN_DELAY, MAX_DELAY), earliest)
        self._last_delivery[link] = due
        await anyio.sleep(due - now)
        return not self._cuts.get(link)


class SimulatedConnection:
    """Replaces `MemberConnection`: sends heartbeats and requests to one member."""

    def __init__(
        self,
        owner: Endpoint,
        network: Network,
        name: str,
        heartbeat_interval: float,
        make_heartbeat: Callable[[str], Heartbeat | None],
        on_heartbeat: Callable[[Heartbeat], None],
        identify: Callable[[], tuple[str, str]],
    ) -> None:
        """Connect `owner` to the member `name`; the interval is in seconds."""
        self.name = name
        self.connected = False
        self._owner = owner
        self._network = network
        self._heartbeat_interval = heartbeat_interval
        self._make_heartbeat = make_heartbeat
        self._on_heartbeat = on_heartbeat
        self._identify = identify
        self._wake = anyio.Event()

    def send_heartbeat_now(self) -> None:
        """See MemberConnection."""
        self._wake.set()

    def request(self, make: Callable[[int], MemberMessage], on_reply: ReplyHandler) -> None:
        """See MemberConnection."""
        self._send(make(1), on_reply)

    def request_endpoint_list(self, on_list: Callable[[Any], None]) -> None:
        """Do nothing, as all members have the same endpoint list."""

    def query_status(self, operation: str, on_status: Callable[[PeerOperationStatus | None], None]) -> None:
        """See MemberConnection."""

        def on_reply(message: MemberMessage | None) -> None:
            if not isinstance(message, StatusReply):
                on_status(None)
                return
            on_status(
                PeerOperationStatus(*message.statuses[0], message.incarnation_token, message.recorded_tokens)
            )

        self._send(StatusQuery(1, [operation], *self._identify()), on_reply)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self._wake = anyio.Event()
            heartbeat = self._make_heartbeat(self.name)
            if heartbeat:
                self._send(heartbeat, self._receive_heartbeat)
            with anyio.move_on_after(self._heartbeat_interval if heartbeat else HEARTBEAT_RETRY_INTERVAL):
                await self._wake.wait()

    def _send(self, message: MemberMessage, on_reply: ReplyHandler) -> None:
        self._network.send(self._owner, self.name, message, on_reply)

    def _receive_heartbeat(self, message: MemberMessage | None) -> None:
        self.connected = message is not None
        if isinstance(message, Heartbeat):
            self._on_heartbeat(message)


class SimulatedListener:
    """Replaces `MemberListener`."""

    def __init__(self, owner: Endpoint, network: Network, handler: Handler) -> None:
        """Create a listener that passes messages to `handler` once `run` is called."""
        self._owner = owner
        self._network = network
        self._handler = handler

    async def run(self, address: object) -> None:
        """Listen until cancelled."""
        self._network.listen(self._owner, self._handler)
        await anyio.sleep_forever()
