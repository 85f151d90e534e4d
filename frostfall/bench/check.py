"""Check a history of events for violations of the guarantees. The checker shares no code with the program.

An operation is what a client wants done once; each of its attempts has an id of its own, which servers see.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from frostfall.bench.history import Event, History


@dataclass(slots=True)
class Findings:
    """The violations that a check found, one line of text each."""

    duplicates: list[str] = field(default_factory=list)  # operations that ran more than once
    answer_counts: list[str] = field(default_factory=list)  # attempts without exactly one final answer
    wrong_answers: list[str] = field(default_factory=list)  # false or contradictory answers
    crashes: list[str] = field(default_factory=list)  # servers that crashed under overload
    operations: int = 0
    ran: int = 0

    @property
    def clean(self) -> bool:
        """Return whether no violation was found."""
        return not (self.duplicates or self.answer_counts or self.wrong_answers or self.crashes)

    def add(self, other: Findings) -> None:
        """Add the findings of another run."""
        for name in ("duplicates", "answer_counts", "wrong_answers", "crashes"):
            getattr(self, name).extend(getattr(other, name))
        self.operations += other.operations
        self.ran += other.ran


def check(history: History) -> Findings:
    """Return all violations in the history of a run."""
    found = Findings()
    runs: dict[str, list[Event]] = defaultdict(list)
    attempts: dict[str, list[Event]] = defaultdict(list)
    answers: dict[str, list[Event]] = defaultdict(list)
    unavailable = _unavailable_intervals(history)
    for event in history.events:
        match event.get("event"):
            case "ran":
                runs[event["op"]].append(event)
            case "asked":
                attempts[event["op"]].append(event)
            case "answered":
                answers[event["id"]].append(event)
            case "fell":
                found.crashes.append(f"server {event['server']} fell over at a share of {event['share']}")
    found.operations, found.ran = len(attempts), len(runs)
    for operation, ran in runs.items():
        if len(ran) > 1:
            found.duplicates.append(f"{operation} ran {len(ran)} times: {[each['id'] for each in ran]}")
        if operation not in attempts:
            found.wrong_answers.append(f"{operation} ran and nobody asked for it")
    for operation, asked in attempts.items():
        _check_answer_counts(operation, asked, answers, unavailable, found)
        _check_answers(operation, asked, answers, runs.get(operation, []), found)
    return found


def _unavailable_intervals(history: History) -> dict[str, list[tuple[float, float]]]:
    """Return the intervals in which each agent was down, paused or cut off from clients."""
    end_events = {"killed": "listening", "paused": "woken", "cut off": "joined"}
    open_since: dict[tuple[str, str], float] = {}
    intervals: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for event in history.events:
        kind, who = event.get("event"), event.get("who", "")
        if kind in end_events:
            open_since.setdefault((end_events[kind], who), event["at"])
        elif (str(kind), who) in open_since:
            intervals[who].append((open_since.pop((str(kind), who)), event["at"]))
    for (_, who), at in open_since.items():
        intervals[who].append((at, float("inf")))
    return intervals


def _check_answer_counts(
    operation: str,
    asked: list[Event],
    answers: dict[str, list[Event]],
    unavailable: dict[str, list[tuple[float, float]]],
    found: Findings,
) -> None:
    for attempt in asked:
        received, agent = answers.get(attempt["id"], []), attempt.get("who", "")
        if len(received) != 1:
            found.answer_counts.append(f"{attempt['id']} got {len(received)} answers")
        elif not received[0]["what"] and not any(
            begin <= received[0]["at"] and attempt["at"] <= end for begin, end in unavailable.get(agent, [])
        ):
            found.answer_counts.append(f"{attempt['id']} got none, and {agent} was there")


def _check_answers(
    operation: str, asked: list[Event], answers: dict[str, list[Event]], ran: list[Event], found: Findings
) -> None:
    values: Counter[str] = Counter()
    order = {attempt["id"]: index for index, attempt in enumerate(asked)}
    for attempt in asked:
        for answer in answers.get(attempt["id"], []):
            if answer["what"] == "served":
                values[answer["value"]] += 1
                if not ran:
                    found.wrong_answers.append(f"{operation} was served and never ran")
            elif answer["what"] == "refused" and any(
                order.get(run["id"], 0) <= order[attempt["id"]] for run in ran
            ):
                found.wrong_answers.append(
                    f"{attempt['id']} was called harmless to repeat; it or an earlier one ran"
                )
    if len(values) > 1:
        found.wrong_answers.append(f"{operation} got different answers: {dict(values)}")
