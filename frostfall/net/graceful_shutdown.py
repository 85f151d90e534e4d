"""Graceful shutdown: admission ends, accepted requests are answered, and all connections close."""

from __future__ import annotations

from enum import Enum
from time import monotonic

import anyio

from frostfall import log
from frostfall.net.client_connections import ClientConnections
from frostfall.net.clock import Clock
from frostfall.net.pending_answers import PendingAnswers
from frostfall.net.requests import RequestTable
from frostfall.policy import drain
from frostfall.policy.drain import DrainSchedule

_log = log.get_logger("agent")


class AgentState(Enum):
    """How the agent treats connections and queries; each change is logged."""

    ACCEPTING = "accepting"
    DRAINING = "draining"  # connections close after their answer; new connections are still accepted
    CLOSING = "closing"  # no new connections are accepted; further queries are rejected
    STOPPED = "stopped"


class GracefulShutdown:
    """Takes the agent from `ACCEPTING` to `STOPPED` according to a drain schedule."""

    def __init__(
        self,
        clock: Clock,
        clients: ClientConnections,
        requests: RequestTable,
        pending_answers: PendingAnswers,
        longest_deadline: float,
    ) -> None:
        """Create a shutdown that has not been requested.

        `longest_deadline` is the longest deadline of all request classes, in seconds.
        """
        self.state = AgentState.ACCEPTING
        self._clock = clock
        self._clients = clients
        self._requests = requests
        self._pending_answers = pending_answers
        self._longest_deadline = longest_deadline
        self._drain_requested = anyio.Event()
        self._immediate_drain_requested = anyio.Event()

    def request_drain(self) -> None:
        """Start draining; has no effect if the drain has started."""
        self._drain_requested.set()

    def request_immediate_drain(self) -> None:
        """Answer all open requests now, then stop."""
        self._immediate_drain_requested.set()
        self._drain_requested.set()

    async def run(self) -> None:
        """Wait until a drain is requested, then drain; abort connections left when the schedule ends."""
        await self._drain_requested.wait()
        schedule = drain.graceful(monotonic(), self._longest_deadline)
        self._set_state(AgentState.DRAINING)
        self._requests.limit_deadlines(self._clock.now() + _microseconds_until(schedule.answers_due_at))
        self._clients.drain()
        schedule = await self._wait_until(schedule.admission_ends_at, schedule)
        self._set_state(AgentState.CLOSING)
        self._pending_answers.end_admission()
        self._clients.stop()
        schedule = await self._wait_until(schedule.answers_due_at, schedule)
        self._requests.answer_all()
        self._clients.finish()
        await anyio.sleep(max(schedule.exit_at - monotonic(), 0.0))
        _log.warning("stopped before all was read", clients=len(self._clients))
        self._clients.force_close()

    def record_stopped(self) -> None:
        """Enter `STOPPED`, as all connections have closed."""
        self._pending_answers.may_exit()
        self._set_state(AgentState.STOPPED)

    async def _wait_until(self, moment: float, schedule: DrainSchedule) -> DrainSchedule:
        """Wait until a time of the schedule, in monotonic seconds; return the schedule to continue with.

        An immediate shutdown ends the wait and replaces the schedule.
        """
        with anyio.move_on_after(max(moment - monotonic(), 0.0)):
            await self._immediate_drain_requested.wait()
        return drain.immediate(monotonic()) if self._immediate_drain_requested.is_set() else schedule

    def _set_state(self, state: AgentState) -> None:
        self.state = state
        _log.info(
            "state",
            state=state.value,
            clients=len(self._clients),
            requests=len(self._requests),
            pending=len(self._pending_answers),
        )


def _microseconds_until(moment: float) -> int:
    return int((moment - monotonic()) * 1e6)
