"""End-to-end tests of the simulator adapter: batches, replies, and messages about malformed input."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from typing import Any

import pytest

CONF: dict[str, Any] = {
    "ordinal": 0,
    "nInstances": 2,
    "zone": "a",
    "unheardOf": {"x": 1},
    "grades": [{"name": "read", "aimUs": 1000000, "deadlineUs": 3000000, "effect": "safe", "new": 1}],
    "bounds": {"maxAttempts": 3, "peers": True, "mayCancel": True},
    "familyInfo": {"control": "first_voice", "caps": [0.5, 1.0], "windowUs": 2000000, "uncounted": 2},
    "rules": {"coldFrom": 0.3, "warmUpUs": 4000000, "fallMultiple": 3, "fallUs": 1000000},
}


def batch(at: int, *lines: dict[str, Any]) -> str:
    batch_lines = [{"verb": "clock", "timeUs": at}, *lines, {"verb": "commit"}]
    return "".join(json.dumps(line) + "\n" for line in batch_lines)


def opening() -> str:
    nodes = [{"appliance": i, "edition": 1, "rackZone": "a", "availability": "up"} for i in (11, 12, 13)]
    return batch(1000) + batch(
        5000,
        {"verb": "enlist", "agent": 4, "seed": 9, "conf": CONF},
        {"verb": "roster", "bank": 0, "nodesList": nodes},
        {"verb": "view", "agent": 4, "generation": 1, "bank": 0, "kind": "disk"},
        {"verb": "stepNews", "agent": 4, "image": 1, "progress": 2, "limitShare": 1.0, "extra": 5},
    )


def run(text: str, seed: str = "0") -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "frostfall.simulator"],
        input=text,
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, "PYTHONHASHSEED": seed},
        check=False,
    )


def request(number: int) -> dict[str, Any]:
    return {
        "verb": "req",
        "agent": 4,
        "corr": f"{number:016x}",
        "cls": "read",
        "giveUpAtUs": 3_000_000,
        "targetKey": f"k:{number}",
    }


def test_a_request_is_forwarded_and_every_batch_is_answered() -> None:
    process = run(opening() + batch(10_000, request(1)))
    lines = [json.loads(line) for line in process.stdout.splitlines()]
    assert (process.returncode, process.stderr) == (0, "")
    assert sum(line["verb"] == "finished" for line in lines) == 3
    (forward,) = (line for line in lines if line["verb"] == "forward")
    assert forward["agent"] == 4
    assert forward["corr"] == f"{1:016x}"
    assert forward["appliance"] in (11, 12, 13)


def test_a_killed_agent_loses_its_state_and_may_start_again() -> None:
    restart = opening().split("\n", 2)[2]
    process = run(opening() + batch(10_000, request(1), {"verb": "detach", "agent": 4}) + restart)
    assert (process.returncode, process.stderr) == (0, "")


def test_the_same_events_give_the_same_actions_under_any_hash_seed() -> None:
    text = opening() + "".join(batch(10_000 + 5000 * i, request(i)) for i in range(40))
    assert run(text, "1").stdout == run(text, "2").stdout


@pytest.mark.parametrize(
    ("line", "names"),
    [
        ("not json", "malformed"),
        ('{"verb":"mystery","agent":4}', "mystery"),
        ('{"verb":"clientGone","agent":4}', "corr"),
        ('{"verb":"reminder","agent":77,"ref":"x"}', "77"),
        ('{"verb":"view","agent":4,"bank":9,"kind":"diff"}', "bank 9"),
        ('{"verb":"view","agent":4,"bank":0,"kind":"odd"}', "odd"),
        ('{"verb":"enlist","agent":5,"seed":1,"conf":{"ordinal":0}}', "settings"),
        ("[1,2]", "object"),
        ("", "ended inside a batch"),
    ],
)
def test_malformed_input_ends_with_a_message_of_one_line(line: str, names: str) -> None:
    process = run(opening() + '{"verb":"clock","timeUs":9000}\n' + line + "\n")
    assert process.returncode != 0
    assert len(process.stderr.splitlines()) == 1
    assert names in process.stderr
    assert "Traceback" not in process.stderr
    assert all("verb" in json.loads(each) for each in process.stdout.splitlines())


def test_the_end_of_input_ends_the_adapter_normally() -> None:
    process = run("")
    assert (process.returncode, process.stdout, process.stderr) == (0, "", "")
