"""Request handling of a simulated member: attempts, retries and deadlines.

Only the parts that the group's record of operations depends on are modelled.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from frostfall.model.environment import Environment
from frostfall.model.upstream import SimulatedServer
from frostfall.net.recovery import GroupMember
from frostfall.protocol.attempt_result import AttemptProgress, AttemptResult, FinalOutcome
from frostfall.protocol.pg import READY_FOR_QUERY
from frostfall.protocol.pg_client import Row
from frostfall.protocol.pg_server import failure_answer, rejection_answer
from frostfall.protocol.statement import Statement

RETRY_DELAY = 0.02  # seconds
DEADLINE_MARGIN = 0.01  # seconds before the deadline at which an unfinished request is answered
RETRY_AFTER_MS = 100


class ClientConnection:
    """The connection of a client that waits for the answer to one request."""

    def __init__(self, request: str) -> None:
        """Create the connection with the name of its pending request."""
        self.request: str | None = request
        self.answers: list[bytes] = []
        self.answered = anyio.Event()

    def answer(self, data: bytes) -> None:
        """Receive the answer to the pending request."""
        self.request = None
        self.answers.append(data)
        self.answered.set()


@dataclass(slots=True)
class PendingRequest:
    """A request that the member has accepted."""

    client: ClientConnection
    deadline: int  # microseconds, virtual clock
    finished: bool = False
    attempts_in_flight: int = 0


@dataclass
class RequestDispatcher:
    """Handles the requests of one incarnation of a member."""

    environment: Environment
    server: SimulatedServer
    program: GroupMember
    tasks: TaskGroup
    is_powered: Callable[[], bool]
    wait_until_running: Callable[[], Awaitable[None]]
    _pending: dict[str, PendingRequest] = field(default_factory=dict)

    def dispatch(self, statement: Statement, client: ClientConnection) -> None:
        """Answer a request from the record, or start attempts."""
        deadline = self.environment.micros() + statement.wait_ms * 1000
        if self.program.operations.handle_query(statement, client, deadline):
            return
        request = self._pending[statement.request] = PendingRequest(client, deadline)
        self.tasks.start_soon(self._attempt_until_finished, statement, request)

    def conclude(self, name: str, answer: bytes, end: FinalOutcome) -> None:
        """Finish a request with an outcome from the record."""
        request = self._pending.get(name)
        if request and not request.finished:
            self._finish(name, request, answer, end)

    async def _attempt_until_finished(self, statement: Statement, request: PendingRequest) -> None:
        name, operations = statement.request, self.program.operations
        self.tasks.start_soon(self._finish_before_deadline, name, request)
        while not request.finished:
            request.attempts_in_flight += 1
            result = await self._attempt(statement, request)
            request.attempts_in_flight -= 1
            if isinstance(result.answer, Row):
                self._finish(name, request, result.answer.data + READY_FOR_QUERY, FinalOutcome.SERVED)
            operations.attempt_ended(name, result)
            if request.finished:
                break
            if result.outcome.never_ran:
                await anyio.sleep(RETRY_DELAY)
            else:
                self._finish(name, request, failure_answer(), FinalOutcome.FAILED)
        if request.finished and not request.attempts_in_flight:
            operations.request_closed(name)

    async def _attempt(self, statement: Statement, request: PendingRequest) -> AttemptResult:
        authorized = await self.program.operations.authorize_dispatch(
            statement.request, lambda: request.finished, request.deadline
        )
        if not authorized:
            return AttemptResult(AttemptProgress.NOT_WRITTEN, withheld=True)
        await self.wait_until_running()
        return await self.server.execute(statement)

    async def _finish_before_deadline(self, name: str, request: PendingRequest) -> None:
        remaining = (request.deadline - self.environment.micros()) / 1e6
        await anyio.sleep(max(remaining - DEADLINE_MARGIN, 0))
        if request.finished:
            return
        if request.attempts_in_flight:
            self._finish(name, request, failure_answer(), FinalOutcome.FAILED)
        else:
            self._finish(name, request, rejection_answer(RETRY_AFTER_MS), FinalOutcome.REJECTED)

    def _finish(self, name: str, request: PendingRequest, answer: bytes, end: FinalOutcome) -> None:
        if request.finished or not self.is_powered():
            return
        request.finished = True
        self.program.operations.finish_request(
            name, answer, end, request.client, not request.attempts_in_flight
        )
