"""A simulated member of a group: its disk, power supply and the incarnations of the program."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar, TypeVarTuple, cast

import anyio

from frostfall import config
from frostfall import interface as api
from frostfall.model.disk import PowerLoss, SimulatedDisk, SimulatedSegmentDirectory
from frostfall.model.environment import Environment
from frostfall.model.links import Handler, Network, SimulatedConnection, SimulatedListener
from frostfall.model.member_config import member_config
from frostfall.model.requests import ClientConnection, RequestDispatcher
from frostfall.model.schedule import Schedule
from frostfall.model.upstream import SimulatedServer
from frostfall.net.member_transport import MemberConnection, MemberListener
from frostfall.net.recovery import Dependencies, GroupMember
from frostfall.protocol.attempt_result import FinalOutcome
from frostfall.protocol.discovery import Endpoint, EndpointListUpdate
from frostfall.protocol.member_messages import Heartbeat
from frostfall.protocol.statement import Statement, parse

MIN_DISK_DELAY = 0.0001  # seconds per file operation
MAX_DISK_DELAY = 0.004  # seconds per file operation
STALL_CHECK_INTERVAL = 0.02  # seconds
ENDPOINTS = EndpointListUpdate(1, True, [Endpoint("s-0", "127.0.0.1:9", "in_service", "a", 0, 1.0, 0.0, 1)])

Result = TypeVar("Result")
Arguments = TypeVarTuple("Arguments")


class Incarnation:
    """One run of the program, from power-on to power-off.

    `post`, `stop` and `conclude` are the interface of the agent that `net.recovery` calls.
    """

    def __init__(self, member: Member, settings: config.Config) -> None:
        """Create the program without running it."""
        self.replaced = False  # the program stopped because a later incarnation exists
        self.directory = SimulatedSegmentDirectory(member.disk)
        self._member = member
        self._scope = anyio.CancelScope()
        self._dispatcher: RequestDispatcher | None = None
        dependencies = Dependencies(
            open_folder=lambda path: self.directory,
            connect=self._connect,
            listen=self._listen,
            run_blocking=self._run_blocking,
            wall_clock=member.environment.seconds,
            monotonic_clock=member.environment.seconds,
        )
        self.program = GroupMember(settings, self, member.environment.micros, dependencies)

    async def run(self) -> None:
        """Run the program until it ends or loses power."""
        member = self._member
        with self._scope:
            async with anyio.create_task_group() as tasks:
                self._dispatcher = RequestDispatcher(
                    member.environment,
                    member.server,
                    self.program,
                    tasks,
                    lambda: member.incarnation is self,
                    member.wait_until_running,
                )
                self.program.endpoints_changed(ENDPOINTS)
                await self.program.run(lambda endpoints: None)

    def cancel(self) -> None:
        """Cancel the program immediately."""
        self._scope.cancel()

    def receive_query(self, text: bytes, client: ClientConnection) -> None:
        """Handle a client's query."""
        statement = parse(text)
        if not isinstance(statement, Statement):
            raise ValueError(f"the program does not accept this statement: {text!r}")
        if self._dispatcher is not None and not self.replaced:
            self._dispatcher.dispatch(statement, client)

    def post(self, event: api.Event) -> None:
        """Ignore the event, as no policy engine is simulated."""

    def stop(self) -> None:
        """Stop handling queries because a later incarnation exists."""
        self.replaced = True

    def conclude(self, request: str, answer: bytes, end: FinalOutcome) -> None:
        """Finish a request with an outcome from the record."""
        if self._dispatcher is not None:
            self._dispatcher.conclude(request, answer, end)

    async def _run_blocking(self, call: Callable[[*Arguments], Result], *arguments: *Arguments) -> Result:
        await self._member.environment.delay(MIN_DISK_DELAY, MAX_DISK_DELAY)
        try:
            return call(*arguments)
        except PowerLoss:
            self._member.power_off(disk_stopped=True)
            await anyio.sleep_forever()
            raise

    def _connect(
        self,
        name: str,
        address: object,
        key: str,
        interval: float,
        make_heartbeat: Callable[[str], Heartbeat | None],
        on_heartbeat: Callable[[Heartbeat], None],
        identify: Callable[[], tuple[str, str]],
    ) -> MemberConnection:
        member = self._member
        connection = SimulatedConnection(
            member, member.network, name, interval, make_heartbeat, on_heartbeat, identify
        )
        return cast(MemberConnection, connection)

    def _listen(self, key: str, max_connections: int, handler: Handler) -> MemberListener:
        return cast(MemberListener, SimulatedListener(self._member, self._member.network, handler))


class Member:
    """One machine of the group; the content of its disk outlives its incarnations."""

    def __init__(
        self,
        name: str,
        schedule: Schedule,
        environment: Environment,
        network: Network,
        server: SimulatedServer,
    ) -> None:
        """Create a member without power and with an empty disk."""
        self.name = name
        self.environment = environment
        self.network = network
        self.server = server
        self.disk = SimulatedDisk(f"{schedule.seed} {name}")
        self.snapshots: list[dict[int, bytes]] = []  # the disk's segments after each power loss
        self.incarnation: Incarnation | None = None
        self.stalled_until = 0.0  # virtual seconds; until then, no message is received or sent
        self._first_config = member_config(schedule, name, new_group=True)
        self._config = member_config(schedule, name, new_group=False)
        self._started = False

    async def wait_until_running(self) -> None:
        """Return once the member is not stalled."""
        while self.environment.seconds() < self.stalled_until:
            await anyio.sleep(STALL_CHECK_INTERVAL)

    def power_on(self) -> None:
        """Start the program if the power is off."""
        if self.incarnation is None:
            self.environment.tasks.start_soon(self._run)

    async def _run(self) -> None:
        if self.incarnation is not None:
            return
        settings = self._config if self._started else self._first_config
        self._started = True
        incarnation = self.incarnation = Incarnation(self, settings)
        self.environment.record("listening", who=self.name)
        await incarnation.run()
        if self.incarnation is incarnation:
            self.incarnation = None

    def power_off(self, *, disk_stopped: bool = False) -> None:
        """Cut the power; `disk_stopped`: the disk has already lost power, during a file operation."""
        incarnation = self.incarnation
        if incarnation is None:
            return
        if not disk_stopped and not self.disk.steps_to_power_loss:
            incarnation.directory.lose_power()
        self.disk.clear_faults()
        self.snapshots.append(dict(self.disk.segments))
        self.environment.record("killed", who=self.name)
        self.incarnation = None
        incarnation.cancel()
