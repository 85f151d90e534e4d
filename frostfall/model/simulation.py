"""Simulation of a group of agents under power losses and other faults, in virtual time.

The code for the record of operations and for readiness is the real one; disks, links, the server and clients
are simulated. A schedule is data, and the same schedule always gives the same history.
"""

from __future__ import annotations

import anyio

from frostfall.model.client import ClientDriver
from frostfall.model.clock import VirtualTimeLoop
from frostfall.model.environment import Environment, Event
from frostfall.model.links import Network
from frostfall.model.member import Member
from frostfall.model.schedule import END_AT, HEAL_AT, Fault, FaultKind, Schedule, member_names
from frostfall.model.upstream import SimulatedServer
from frostfall.recovery.readiness import ReadinessStage

RESTART_PAUSE = 0.01  # seconds from the repair of all faults until all members are powered on


class Simulation:
    """One run of a schedule with its members, links, server and clients."""

    def __init__(self, schedule: Schedule) -> None:
        """Create all parts without running them."""
        self._schedule = schedule
        self._environment = Environment(schedule.seed)
        self._network = Network(self._environment)
        server = SimulatedServer(self._environment, schedule.operations)
        self._members = {
            name: Member(name, schedule, self._environment, self._network, server)
            for name in member_names(schedule.member_count)
        }
        self._network.endpoints.update(self._members)
        self._clients = ClientDriver(self._environment, self._members)

    @property
    def events(self) -> list[Event]:
        """The history up to the present virtual time."""
        return self._environment.events

    async def run(self) -> None:
        """Run the schedule to its end."""
        async with anyio.create_task_group() as tasks:
            self._environment.tasks = tasks
            for member in self._members.values():
                member.power_on()
            for fault in self._schedule.faults:
                tasks.start_soon(self._inject, fault)
            for operation in self._schedule.operations:
                tasks.start_soon(self._clients.run, operation)
            await anyio.sleep(HEAL_AT)
            await self._heal()
            await anyio.sleep(END_AT - HEAL_AT - RESTART_PAUSE)
            self._record_stuck_members()
            tasks.cancel_scope.cancel()

    async def _heal(self) -> None:
        """Repair links and disks, and restart replaced members; failed logs then recover."""
        self._network.heal()
        for member in self._members.values():
            member.disk.clear_faults()
            incarnation = member.incarnation
            if incarnation and incarnation.replaced:
                member.power_off()
        await anyio.sleep(RESTART_PAUSE)
        for member in self._members.values():
            member.stalled_until = 0.0
            member.power_on()

    def _record_stuck_members(self) -> None:
        for name, member in self._members.items():
            for reason in _stuck_reasons(member):
                self._environment.record("stuck", who=name, why=reason)

    async def _inject(self, fault: Fault) -> None:
        await anyio.sleep(fault.at)
        if fault.kind is FaultKind.LINK_CUT:
            await self._network.cut_link(fault.members[0], fault.peer, fault.duration)
            return
        members = [self._members[name] for name in fault.members]
        for member in members:
            self._apply_fault(fault, member)
        await anyio.sleep(fault.duration)
        for member in members:
            if fault.kind in (FaultKind.SYNC_FAILURE, FaultKind.DISK_FULL):
                member.disk.clear_faults()
            member.power_on()
            if fault.kind is FaultKind.STALL:
                await member.wait_until_running()
                self._environment.record("woken", who=member.name)

    def _apply_fault(self, fault: Fault, member: Member) -> None:
        match fault.kind:
            case FaultKind.STALL:
                stalled_until = self._environment.seconds() + fault.duration
                member.stalled_until = max(member.stalled_until, stalled_until)
                self._environment.record("paused", who=member.name)
            case FaultKind.SYNC_FAILURE:
                member.disk.sync_fails = True
            case FaultKind.DISK_FULL:
                member.disk.is_full = True
            case FaultKind.POWER_OFF_IN_WRITE:
                member.disk.steps_to_power_loss = fault.disk_step
            case FaultKind.DISK_LOST:
                member.power_off()
                member.disk.segments.clear()
            case FaultKind.DISK_ROLLED_BACK:
                member.power_off()
                if len(member.snapshots) > 1:
                    member.disk.segments = dict(member.snapshots[-2])
            case _:
                member.power_off()


def _stuck_reasons(member: Member) -> list[str]:
    """Return the reasons why a member has not recovered after the repair of all faults, if any."""
    if member.incarnation is None:
        return ["off"]
    program = member.incarnation.program
    inputs, readiness = program.readiness_inputs, program.readiness
    reasons = []
    unusable = inputs.unusable_reason or inputs.incomplete_reason
    if not readiness.is_ready(ReadinessStage.NON_IDEMPOTENT) and not unusable:
        reasons.append(str(readiness.first_unready()))
    in_progress = program.operation_log.in_progress.values()
    unfinished = [operation for operation in in_progress if operation.end_state is None]
    if unfinished:
        reasons.append(f"{unfinished[0].name} is open")
    return reasons


def run_schedule(schedule: Schedule) -> list[Event]:
    """Run a schedule and return its history."""
    simulation = Simulation(schedule)
    anyio.run(simulation.run, backend="asyncio", backend_options={"loop_factory": VirtualTimeLoop})
    return simulation.events
