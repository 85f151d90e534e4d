"""The simulated server of all members, which runs every operation that arrives."""

from __future__ import annotations

import anyio

from frostfall.model.environment import Environment
from frostfall.model.schedule import Operation
from frostfall.protocol.attempt_result import AttemptProgress, AttemptResult
from frostfall.protocol.pg_client import ErrorAnswer, Row
from frostfall.protocol.statement import Statement

MIN_DELAY = 0.0002  # seconds to the server
MAX_DELAY = 0.004  # seconds to the server
BASE_SERVICE_TIME = 0.002  # seconds
REJECTED_SHARE = 0.08  # share of attempts that are rejected without running the operation
TOO_MANY_CONNECTIONS = "53300"  # SQLSTATE, PostgreSQL manual, appendix A


class SimulatedServer:
    """Runs and records operations to their end, even if the sending member fails."""

    def __init__(self, environment: Environment, operations: tuple[Operation, ...]) -> None:
        """Create the server with the service times of the schedule's operations."""
        self._environment = environment
        self._service_times = {operation.name: operation.service_time for operation in operations}

    async def execute(self, statement: Statement) -> AttemptResult:
        """Execute one attempt; the request is considered written as soon as this is called."""
        operation = statement.field("op")
        environment = self._environment
        delay = environment.random.uniform(MIN_DELAY, MAX_DELAY)
        if environment.random.random() < REJECTED_SHARE:
            await anyio.sleep(delay)
            return AttemptResult(AttemptProgress.WRITTEN, ErrorAnswer(TOO_MANY_CONNECTIONS))
        done = anyio.Event()

        async def execute_once() -> None:
            await anyio.sleep(delay)
            environment.record("ran", op=operation, id=statement.request)
            await anyio.sleep(BASE_SERVICE_TIME + self._service_times.get(operation, 0.0))
            done.set()

        environment.tasks.start_soon(execute_once)
        await done.wait()
        return AttemptResult(
            AttemptProgress.ANSWERING, Row(b"D" + operation.encode() + b"@" + statement.request.encode())
        )
