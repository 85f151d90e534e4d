"""The agent's end: admission stops, what was accepted is answered, and all connections close."""

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
    """What the agent does with connections and queries; each change is logged."""

    ACCEPTING = "accepting"
    DRAINING = "draining"  # connections end with their answers; new ones still come
    CLOSING = "closing"  # no connection is accepted, and further queries are rejected
    STOPPED = "stopped"


class GracefulShutdown:
    """Leads the agent from `ACCEPTING` to `STOPPED`, by a schedule."""

    def __init__(
        self,
        clock: Clock,
        clients: ClientConnections,
        requests: RequestTable,
        pending_answers: PendingAnswers,
        longest_deadline: float,
    ) -> None:
        """`longest_deadline`: of all request classes, in seconds."""
        self.state = AgentState.ACCEPTING
        self._clock = clock
        self._clients = clients
        self._requests = requests
        self._pending_answers = pending_answers
        self._longest_deadline = longest_deadline
        self._ordered = anyio.Event()
        self._abandoned = anyio.Event()

    def order(self) -> None:
        """Begin to drain; no effect on a drain that has begun."""
        self._ordered.set()

    def abandon(self) -> None:
        """Give all that is open its final answer now, and end."""
        self._abandoned.set()
        self._ordered.set()

    async def run(self) -> None:
        """Wait for the order, then drain; what has not ended by the end of the schedule is cut off."""
        await self._ordered.wait()
        schedule = drain.graceful(monotonic(), self._longest_deadline)
        self._enter(AgentState.DRAINING)
        self._requests.limit_deadlines(self._clock.now() + _micros_until(schedule.answers_due_at))
        self._clients.drain()
        schedule = await self._wait_until(schedule.admission_ends_at, schedule)
        self._enter(AgentState.CLOSING)
        self._pending_answers.end_admission()
        self._clients.stop()
        schedule = await self._wait_until(schedule.answers_due_at, schedule)
        self._requests.give_up_all()
        self._clients.finish()
        await anyio.sleep(max(schedule.exit_at - monotonic(), 0.0))
        _log.warning("stopped before all was read", clients=len(self._clients))
        self._clients.force_close()

    def finished(self) -> None:
        """All connections have ended."""
        self._pending_answers.may_exit()
        self._enter(AgentState.STOPPED)

    async def _wait_until(self, moment: float, schedule: DrainSchedule) -> DrainSchedule:
        """Wait for a moment of the schedule; the one to go on by, which is another if abandoned meanwhile."""
        with anyio.move_on_after(max(moment - monotonic(), 0.0)):
            await self._abandoned.wait()
        return drain.immediate(monotonic()) if self._abandoned.is_set() else schedule

    def _enter(self, state: AgentState) -> None:
        self.state = state
        _log.info(
            "state",
            state=state.value,
            clients=len(self._clients),
            requests=len(self._requests),
            pending=len(self._pending_answers),
        )


def _micros_until(moment: float) -> int:
    return int((moment - monotonic()) * 1e6)
