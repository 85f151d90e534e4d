"""Simulated clients: each requests one operation from several agents in sequence."""

from __future__ import annotations

from enum import StrEnum

import anyio

from frostfall.model.environment import Environment
from frostfall.model.member import Incarnation, Member
from frostfall.model.requests import ClientConnection
from frostfall.model.schedule import HEAL_AT, Operation
from frostfall.protocol.pg import READY_FOR_QUERY

WAIT_MS = 1500  # milliseconds until the deadline that the query states
ANSWER_TIMEOUT = WAIT_MS / 1000 + 0.5  # seconds
POLL_INTERVAL = 0.05  # seconds between checks for a power loss of the agent
RETRIES_AFTER_HEALING = 2
FIRST_RETRY_AFTER_HEALING_AT = HEAL_AT + 1.5  # seconds
REPEAT_SHARE = 0.7  # share of served attempts after which the client sends the next one without a pause
MIN_PAUSE = 0.02  # seconds between two attempts
MAX_PAUSE = 0.4  # seconds between two attempts
MIN_DELAY = 0.0002  # seconds to the agent
MAX_DELAY = 0.004  # seconds to the agent


class Outcome(StrEnum):
    """Outcome of an attempt for the client; the values are recorded in histories."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    UNANSWERED = ""


def outcome_of(answer: bytes) -> Outcome:
    """Return the outcome that an answer stands for; an empty answer means that none arrived."""
    if not answer:
        return Outcome.UNANSWERED
    if answer[:1] == b"D":
        return Outcome.SERVED
    return Outcome.REJECTED if b"53300" in answer else Outcome.FAILED


class ClientDriver:
    """Runs the clients of a schedule against the members."""

    def __init__(self, environment: Environment, members: dict[str, Member]) -> None:
        """Create the driver for members given by name."""
        self._environment = environment
        self._members = members

    async def run(self, operation: Operation) -> None:
        """Attempt an operation at each of its agents; repeat some attempts after all faults have ended."""
        await anyio.sleep(operation.at)
        agents = (*operation.agents, *operation.agents[:RETRIES_AFTER_HEALING])
        for attempt, agent in enumerate(agents, 1):
            healed = attempt > len(operation.agents)
            if healed:
                await anyio.sleep(max(FIRST_RETRY_AFTER_HEALING_AT - self._environment.seconds(), 0))
            outcome = await self._attempt(operation, agent, attempt)
            if outcome is Outcome.SERVED and not healed and self._environment.random.random() < REPEAT_SHARE:
                continue
            await self._environment.delay(MIN_PAUSE, MAX_PAUSE)

    async def _attempt(self, operation: Operation, agent: str, attempt: int) -> Outcome:
        request, member = f"{operation.name}-t{attempt}", self._members[agent]
        client = ClientConnection(request)
        self._environment.record("asked", op=operation.name, id=request, who=agent)
        await self._environment.delay(MIN_DELAY, MAX_DELAY)
        incarnation = member.incarnation
        if incarnation is not None:
            query = _query(operation, request, is_retry=attempt > 1)
            self._environment.tasks.start_soon(self._deliver, member, incarnation, query, client)
            with anyio.move_on_after(ANSWER_TIMEOUT):
                while not client.answered.is_set() and member.incarnation is incarnation:
                    with anyio.move_on_after(POLL_INTERVAL):
                        await client.answered.wait()
        for answer in client.answers or [b""]:
            outcome = outcome_of(answer)
            value = answer[: -len(READY_FOR_QUERY)].decode() if outcome is Outcome.SERVED else ""
            self._environment.record(
                "answered", op=operation.name, id=request, what=outcome.value, value=value
            )
        return outcome

    async def _deliver(
        self, member: Member, incarnation: Incarnation, query: bytes, client: ClientConnection
    ) -> None:
        # A stalled member reads the query once it runs again, even if the client has stopped waiting.
        await member.wait_until_running()
        if member.incarnation is incarnation:
            incarnation.receive_query(query, client)


def _query(operation: Operation, request: str, *, is_retry: bool) -> bytes:
    fields = f"id={request},c=order,d={WAIT_MS},op={operation.name}" + (",r=1" if is_retry else "")
    insert = "INSERT INTO entries (ref, payload) VALUES ('k', '\\x00') RETURNING payload"
    return f"{insert} /* {fields} */".encode()
