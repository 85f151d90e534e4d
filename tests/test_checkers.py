"""The history checker reports each kind of violation, and reports nothing for a correct history."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from frostfall.bench.check import check
from frostfall.bench.history import Event, History

VALID_EVENTS: list[Event] = [
    {"event": "listening", "who": "n0", "at": 0.0},
    {"event": "asked", "op": "a", "id": "a-t1", "who": "n0", "at": 1.0},
    {"event": "ran", "op": "a", "id": "a-t1", "at": 1.1},
    {"event": "answered", "op": "a", "id": "a-t1", "at": 1.2, "what": "served", "value": "v"},
    {"event": "asked", "op": "b", "id": "b-t1", "who": "n0", "at": 2.0},
    {"event": "killed", "who": "n0", "at": 2.1},
    {"event": "answered", "op": "b", "id": "b-t1", "at": 2.2, "what": "", "value": ""},
    {"event": "listening", "who": "n0", "at": 3.0},
    {"event": "asked", "op": "b", "id": "b-t2", "who": "n0", "at": 4.0},
    {"event": "answered", "op": "b", "id": "b-t2", "at": 4.1, "what": "refused", "value": ""},
    {"event": "asked", "op": "b", "id": "b-t3", "who": "n0", "at": 5.0},
    {"event": "ran", "op": "b", "id": "b-t3", "at": 5.1},
    {"event": "answered", "op": "b", "id": "b-t3", "at": 5.2, "what": "served", "value": "w"},
]


def changed(*more: Event, without: int | None = None) -> History:
    """Return the correct history with more events, and without the one at this index."""
    events = [event for index, event in enumerate(VALID_EVENTS) if index != without]
    return History([*events, *more])


def test_a_correct_history_has_no_findings_after_writing_and_reading(tmp_path: Path) -> None:
    changed().write(tmp_path / "history.jsonl")
    found = check(History.read(tmp_path / "history.jsonl"))
    assert found.clean and (found.operations, found.ran) == (2, 2)


@pytest.mark.parametrize(
    ("kind", "history"),
    [
        ("duplicates", changed({"event": "ran", "op": "a", "id": "a-t2", "at": 9.0})),
        (
            "answer_counts",
            changed({"event": "answered", "op": "a", "id": "a-t1", "at": 9.0, "what": "failed"}),
        ),
        ("answer_counts", changed(without=3)),
        ("answer_counts", changed(without=5)),  # no answer, although the agent was not killed
        ("wrong_answers", changed(without=2)),  # served, but it never ran
        ("wrong_answers", changed({"event": "ran", "op": "x", "id": "x-t1", "at": 9.0})),  # no client sent it
        (
            "wrong_answers",
            changed({"event": "ran", "op": "b", "id": "b-t1", "at": 2.05}, without=11),
        ),  # refused after it ran
        (
            "wrong_answers",
            changed(
                {"event": "asked", "op": "a", "id": "a-t2", "who": "n0", "at": 9.0},
                {"event": "answered", "op": "a", "id": "a-t2", "at": 9.1, "what": "served", "value": "other"},
            ),
        ),
        ("crashes", changed({"event": "fell", "server": "s-0", "share": 0.4, "at": 9.0})),
    ],
)
def test_each_kind_of_violation_is_reported_as_its_kind(kind: str, history: History) -> None:
    found = check(history)
    lists: dict[str, Any] = {
        name: getattr(found, name) for name in ("duplicates", "answer_counts", "wrong_answers", "crashes")
    }
    assert lists[kind] and not found.clean
