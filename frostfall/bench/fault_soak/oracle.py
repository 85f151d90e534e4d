"""Checks the records of a soak against the protocol's rules. It shares no code with the program."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from math import inf

from frostfall.bench.fault_soak.records import (
    ALL_AGENTS,
    AttemptRecord,
    Idempotency,
    ProcessRecord,
    RequestRecord,
    SoakRecords,
)

SLACK_SECONDS = 0.05  # added to every time limit, by the protocol
LATE_ANSWER_SECONDS = 0.5  # after the deadline; a later answer counts as a lost request
FORWARD_TOLERANCE_SECONDS = 0.1  # allowed after a client disconnects or a request ends
DRAIN_GRACE_SECONDS = 0.5  # as in the settings of the soak
# From a change until agents have to respect it if discovery is reachable, whether they received it or not.
NOTIFICATION_LIMIT_SECONDS = 6.0
HALF_QUERY_LIMIT_SECONDS = 3.0
READY_LIMIT_SECONDS = 10.0
LINGER_SECONDS = 0.7  # after SIGTERM, in addition to the longest deadline
MAX_COUNTED_DEADLINE_SECONDS = 3.0  # upper bound of the longest deadline, by the protocol
MAX_EXTRA_DESCRIPTORS = 8
MAX_MEMORY_GROWTH = 24 * 1024 * 1024  # bytes
STAND_IN_LAG_FACTOR = 3  # lags of the stand-ins' process between two timestamps: client, relay and server
KILL_WINDOW_SECONDS = 0.2  # before and after a SIGKILL; connections that end in this window are excused


class Rule(Enum):
    """A rule of the protocol; the value describes its violation."""

    LOST = "a request that was read has no final answer"
    LOST_RESEND = "a request that was sent once more was not answered either"
    LATE = "a final answer came more than half a second late"
    ANSWERED_TWICE = "more than one final answer"
    WRONG_VALUE = "an answer that no server made for the request"
    RAN_TWICE = "a non-idempotent request ran more than once"
    FORWARDED_AFTER_END = "an attempt after the request's end"
    FORWARDED_AFTER_LEAVING = "an attempt after the client's leaving"
    FORWARDED_PAST_GRACE = "an attempt at a draining or removed server past the grace"
    HALF_QUERY = "a half query without an error or a close"
    EXIT_CODE = "an agent that ended by itself with another code than 0"
    EXIT_LATE = "an agent that did not end in time after SIGTERM"
    CRASHED = "an agent that ended without an order"
    NOT_READY = "an agent that was not ready within ten seconds"
    DESCRIPTORS = "descriptors that did not come back"
    MEMORY = "memory that did not come back"
    REPORTED = "an agent has reported a violation or a fault"


@dataclass(frozen=True, slots=True)
class Finding:
    """One violation of a rule."""

    rule: Rule
    subject: str  # the request's id or the agent's name
    detail: str


class Oracle:
    """Checks the records of one seed against all rules."""

    def __init__(self, records: SoakRecords) -> None:
        """Index the records by request, connection and server."""
        self._records = records
        self._by_id: defaultdict[str, list[RequestRecord]] = defaultdict(list)
        self._by_connection: defaultdict[int, list[RequestRecord]] = defaultdict(list)
        for record in records.requests:
            self._by_id[record.request_id].append(record)
            self._by_connection[record.connection].append(record)
        self._attempts: defaultdict[str, list[AttemptRecord]] = defaultdict(list)
        for attempt in records.attempts:
            self._attempts[attempt.request_id].append(attempt)
        self._notified: defaultdict[tuple[str, str], list[tuple[float, str]]] = defaultdict(list)
        for notice in records.notified:
            self._notified[notice.agent, notice.server].append((notice.notified_at, notice.lifecycle))
        self._listed: defaultdict[str, list[tuple[float, str]]] = defaultdict(list)
        for change in records.list_changes:
            self._listed[change.server].append((change.listed_at, change.lifecycle))
        self._tolerance = SLACK_SECONDS + STAND_IN_LAG_FACTOR * records.largest_lag

    def findings(self) -> list[Finding]:
        """Return all violations, in the order in which the rules are checked."""
        return [
            *self._check_lost_requests(),
            *self._check_answers(),
            *self._check_executions(),
            *self._check_late_attempts(),
            *self._check_drain_grace(),
            *self._check_half_queries(),
            *self._check_processes(),
            *self._check_resources(),
            *(Finding(Rule.REPORTED, line[:80], line) for line in self._records.reported),
        ]

    def _check_lost_requests(self) -> Iterator[Finding]:
        # If a request was sent again to the same agent, the agent may have read only one of the copies.
        read = Counter((each.agent, each.request_id) for each in self._records.reads)
        read.subtract(
            (record.agent, record.request_id)
            for record in self._records.requests
            if record.answers or self._is_excused(record)
        )
        for record in self._records.requests:
            if record.answers or self._is_excused(record):
                continue
            if read[record.agent, record.request_id] > 0:
                yield Finding(Rule.LOST, record.request_id, _describe_request(record))
            elif record.is_resend and record.connection_ended_at is not None:
                yield Finding(Rule.LOST_RESEND, record.request_id, _describe_request(record))

    def _is_excused(self, record: RequestRecord) -> bool:
        """Return whether the client, the network or a SIGKILL ended the request, which excuses the agent."""
        if record.client_disconnected_at is not None:
            return (
                record.client_disconnected_at < self._deadline(record) + LATE_ANSWER_SECONDS
                or record.reads_slowly
            )
        if record.ended_by_fault or record.is_duplicate_id:
            return True
        ended = record.connection_ended_at
        return any(
            process.agent == record.agent
            and process.killed_at is not None
            and process.killed_at > record.written_at - KILL_WINDOW_SECONDS
            and (ended is None or process.killed_at < ended + KILL_WINDOW_SECONDS)
            for process in self._records.processes
        )

    def _check_answers(self) -> Iterator[Finding]:
        for record in self._records.requests:
            if len(record.answers) > 1:
                yield Finding(Rule.ANSWERED_TWICE, record.request_id, _describe_request(record))
            if not record.is_value_correct:
                yield Finding(Rule.WRONG_VALUE, record.request_id, _describe_request(record))
            if record.answered_at is not None and not record.reads_slowly:
                latest = self._answer_limit(record)
                if record.answered_at > latest:
                    detail = (
                        f"{record.answered_at - latest:.3f} s past the bound; {_describe_request(record)}"
                    )
                    yield Finding(Rule.LATE, record.request_id, detail)
        for request_id in self._records.unexpected_answers:
            yield Finding(Rule.ANSWERED_TWICE, request_id, "an answer on a connection that owed none")

    def _answer_limit(self, record: RequestRecord) -> float:
        """Return the time by which the final answer has to arrive."""
        limit = self._deadline(record) + LATE_ANSWER_SECONDS + self._tolerance
        return limit + self._paused_seconds(record.agent, record.written_at, limit)

    def _deadline(self, record: RequestRecord) -> float:
        """Return the deadline, which does not count the wait for earlier answers on the same connection."""
        began = record.written_at
        answered_at = inf if record.answered_at is None else record.answered_at
        for other in self._by_connection[record.connection]:
            if other.answered_at is not None and other.answered_at < answered_at:
                began = max(began, other.answered_at)
        return began + record.wait_seconds

    def _paused_seconds(self, agent: str, since: float, until: float) -> float:
        """Return for how many seconds of a span the agent, or its link to clients, was paused."""
        return sum(
            max(min(each.ended_at, until) - max(each.began_at, since), 0.0)
            for each in (*self._records.stalls, *self._records.link_pauses)
            if each.agent == agent
        )

    def _check_executions(self) -> Iterator[Finding]:
        for request_id, records in self._by_id.items():
            if records[0].idempotency is not Idempotency.NON_IDEMPOTENT:
                continue
            if any(record.is_duplicate_id for record in records):
                continue
            runs = [attempt for attempt in self._attempts[request_id] if attempt.ran]
            if len(runs) > 1:
                places = ", ".join(f"{run.server} at {run.received_at:.3f}" for run in runs)
                yield Finding(Rule.RAN_TWICE, request_id, f"{places}; {_describe_request(records[0])}")

    def _check_late_attempts(self) -> Iterator[Finding]:
        for request_id, records in self._by_id.items():
            attempts = self._attempts[request_id]
            if not attempts or any(record.is_duplicate_id or record.is_resend for record in records):
                continue
            record = records[0]
            last = max(attempt.received_at for attempt in attempts)
            tolerance = FORWARD_TOLERANCE_SECONDS + self._tolerance
            if record.client_disconnected_at is not None:
                latest = record.client_disconnected_at + tolerance
                latest += self._paused_seconds(record.agent, record.client_disconnected_at, last)
                if last > latest:
                    yield Finding(
                        Rule.FORWARDED_AFTER_LEAVING, request_id, _describe_excess(last, latest, record)
                    )
            ends = [self._deadline(record)] + ([record.answered_at] if record.answered_at else [])
            latest = min(ends) + tolerance
            latest += self._paused_seconds(record.agent, record.written_at, last)
            if last > latest and record.client_disconnected_at is None:
                yield Finding(Rule.FORWARDED_AFTER_END, request_id, _describe_excess(last, latest, record))

    def _check_drain_grace(self) -> Iterator[Finding]:
        """Find attempts at servers that the agent knows, or has to know, to be draining or removed."""
        for attempts in self._attempts.values():
            for attempt in attempts:
                record = self._by_id.get(attempt.request_id, [None])[0]
                if record is None or record.is_resend or record.is_duplicate_id:
                    continue
                since = self._known_unavailable_since(record.agent, attempt)
                if since is None:
                    continue
                latest = since + DRAIN_GRACE_SECONDS + self._tolerance
                latest += self._paused_seconds(record.agent, since, attempt.received_at)
                if attempt.received_at > latest:
                    detail = f"{attempt.server}, {_describe_excess(attempt.received_at, latest, record)}"
                    yield Finding(Rule.FORWARDED_PAST_GRACE, attempt.request_id, detail)

    def _known_unavailable_since(self, agent: str, attempt: AttemptRecord) -> float | None:
        """Return when the agent counts as notified that the server is unavailable; None if it does not."""
        notified = _unavailable_since(self._notified[agent, attempt.server], attempt.received_at)
        listed = _unavailable_since(self._listed[attempt.server], attempt.received_at)
        if listed is None:
            return notified
        latest = self._reachable_since(agent, listed) + NOTIFICATION_LIMIT_SECONDS
        return latest if notified is None else min(notified, latest)

    def _reachable_since(self, agent: str, moment: float) -> float:
        """Return when, after a change, the agent began to reach discovery for long enough to be notified."""
        for outage in sorted(self._records.unreachable, key=lambda each: each.began_at):
            concerns = outage.agent in (agent, ALL_AGENTS)
            if concerns and outage.began_at < moment + NOTIFICATION_LIMIT_SECONDS:
                moment = max(moment, outage.ended_at)
        return moment

    def _check_half_queries(self) -> Iterator[Finding]:
        for half in self._records.half_queries:
            limit = half.stopped_at + HALF_QUERY_LIMIT_SECONDS + self._tolerance
            limit += self._paused_seconds(half.agent, half.stopped_at, limit)
            if half.ended_at is None or half.ended_at > limit:
                yield Finding(Rule.HALF_QUERY, half.agent, f"stopped at {half.stopped_at:.3f}")

    def _check_processes(self) -> Iterator[Finding]:
        for process in self._records.processes:
            paused = self._paused_seconds(
                process.agent, process.started_at, process.started_at + READY_LIMIT_SECONDS
            )
            limit = process.started_at + READY_LIMIT_SECONDS + paused
            ended_before = process.ended_at is not None and process.ended_at < limit
            if not ended_before and (process.ready_at is None or process.ready_at > limit):
                yield Finding(Rule.NOT_READY, process.agent, f"started at {process.started_at:.3f}")
            if process.killed_at is None and process.ended_at is not None:
                yield from self._check_exit(process)

    def _check_exit(self, process: ProcessRecord) -> Iterator[Finding]:
        if process.terminated_at is None:
            yield Finding(Rule.CRASHED, process.agent, f"ended with {process.exit_code}")
            return
        if process.drain_killed_at is not None:  # its unanswered requests are separate findings
            return
        if process.exit_code != 0:
            yield Finding(Rule.EXIT_CODE, process.agent, f"ended with {process.exit_code}")
        longest = min(self._records.longest_deadline, MAX_COUNTED_DEADLINE_SECONDS)
        limit = process.terminated_at + LINGER_SECONDS + longest + self._tolerance
        if process.ready_at is not None:  # before readiness, SIGTERM waits for the start to finish
            limit += self._paused_seconds(process.agent, process.terminated_at, limit)
            if process.ended_at is not None and process.ended_at > limit:
                took = process.ended_at - process.terminated_at
                yield Finding(Rule.EXIT_LATE, process.agent, f"ended {took:.3f} s after SIGTERM")

    def _check_resources(self) -> Iterator[Finding]:
        for each in self._records.resources:
            if each.descriptors_after > each.descriptors_before + MAX_EXTRA_DESCRIPTORS:
                detail = f"{each.descriptors_before} before, {each.descriptors_after} after"
                yield Finding(Rule.DESCRIPTORS, each.agent, detail)
            if each.memory_after > each.memory_before + MAX_MEMORY_GROWTH:
                detail = f"{each.memory_before >> 20} MB before, {each.memory_after >> 20} MB after"
                yield Finding(Rule.MEMORY, each.agent, detail)


def _unavailable_since(changes: list[tuple[float, str]], moment: float) -> float | None:
    """Return since when a server had been unavailable at `moment`; None if it was in service."""
    since: float | None = None
    for at, lifecycle in changes:
        if at >= moment:
            break
        if lifecycle == "in_service":
            since = None
        elif since is None:
            since = at
    return since


def _describe_request(record: RequestRecord) -> str:
    answers = ",".join(answer.value for answer in record.answers) or "no answer"
    parts = [
        f"to {record.agent}",
        f"written {record.written_at:.3f}",
        f"waits {record.wait_seconds:.3f}",
        answers,
    ]
    if record.answered_at is not None:
        parts.append(f"answered {record.answered_at:.3f}")
    if record.connection_ended_at is not None:
        parts.append(f"connection ended {record.connection_ended_at:.3f}")
    if record.client_disconnected_at is not None:
        parts.append(f"client left {record.client_disconnected_at:.3f}")
    return ", ".join(parts)


def _describe_excess(at: float, latest: float, record: RequestRecord) -> str:
    return f"at {at:.3f}, {at - latest:.3f} s past the bound; {_describe_request(record)}"
